"""Start and stop of the stand-ins' HTTP servers."""

import asyncio
import signal
import typing

import typer
from aiohttp import web

from masticward.utils import addresses, programs

SHUTDOWN_SECONDS = 0.1


class Server(typing.Protocol):
    """What the stand-ins have in common."""

    async def start(self, address: str) -> int:
        """Listen on ``host:port`` and return the port in use."""

    async def close(self) -> None:
        """Stop listening."""


class WebServer:
    """One aiohttp application on one address.

    ``cancels_handlers`` cancels the handler of a request whose caller closes the connection.
    """

    __slots__ = ("application", "cancels_handlers", "runner", "shutdown_seconds")

    def __init__(
        self,
        maximum_body_bytes: int = 4 * 1024 * 1024,
        cancels_handlers: bool = False,
        shutdown_seconds: float = SHUTDOWN_SECONDS,
    ) -> None:
        self.application = web.Application(client_max_size=maximum_body_bytes)
        self.cancels_handlers = cancels_handlers
        self.shutdown_seconds = shutdown_seconds
        self.runner: web.AppRunner | None = None

    async def start(self, address: str) -> int:
        """Listen on ``host:port`` (port 0: any free one) and return the port in use."""
        self.runner = web.AppRunner(
            self.application,
            access_log=None,
            handler_cancellation=self.cancels_handlers,
            shutdown_timeout=self.shutdown_seconds,
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, *addresses.split(address)).start()
        return int(self.runner.addresses[0][1])

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None


def drop_connection(request: web.Request) -> None:
    """Close the caller's connection without an answer."""
    if request.transport is not None:
        request.transport.abort()


def serve_until_signal(server: Server, address: str, announcement: str) -> None:
    """Run a stand-in as a program until SIGTERM or SIGINT.

    ``announcement`` is printed once it listens, with ``{port}`` and ``{address}`` filled in.
    """

    async def serve() -> int:
        stopped = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stopped.set)
        port = await server.start(address)
        bound = addresses.with_port(address, port)
        typer.echo(announcement.format(port=port, address=bound))
        await stopped.wait()
        await server.close()
        return 0

    raise typer.Exit(programs.run(serve()))
