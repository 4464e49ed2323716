"""Start and stop of the stand-ins' HTTP servers."""

import asyncio
import signal
import typing

import typer
from aiohttp import web

from masticward.utils import programs

SHUTDOWN_SECONDS = 0.1


class Server(typing.Protocol):
    """What the stand-ins have in common."""

    async def start(self, address: str) -> int:
        """Listen on ``host:port`` and return the port in use."""

    async def close(self) -> None:
        """Stop listening."""


class WebServer:
    """One aiohttp application on one address."""

    __slots__ = ("application", "runner")

    def __init__(self, maximum_body_bytes: int = 4 * 1024 * 1024) -> None:
        self.application = web.Application(client_max_size=maximum_body_bytes)
        self.runner: web.AppRunner | None = None

    async def start(self, address: str) -> int:
        """Listen on ``host:port`` (port 0: any free one) and return the port in use."""
        host, _, port = address.rpartition(":")
        self.runner = web.AppRunner(
            self.application, access_log=None, shutdown_timeout=SHUTDOWN_SECONDS
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, host, int(port)).start()
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


def serve_until_signal(server: Server, address: str, what: str) -> None:
    """Run a stand-in as a program until SIGTERM or SIGINT."""

    async def serve() -> int:
        stopped = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stopped.set)
        port = await server.start(address)
        typer.echo(f"{what} listens on {address.rpartition(':')[0]}:{port}")
        await stopped.wait()
        await server.close()
        return 0

    raise typer.Exit(programs.run(serve()))
