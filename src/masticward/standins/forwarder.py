"""A TCP forwarder that can cut, drop, delay or half-close, to bring about partitions."""

import asyncio
import collections.abc
import contextlib
import enum
import socket
import struct
import weakref

from masticward.utils import addresses, tasks

READ_BYTES = 64 * 1024
# SO_LINGER with a timeout of 0 makes close() send a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ForwarderMode(enum.StrEnum):
    """What happens to connections and to the bytes in them."""

    PASS = "pass"
    CUT = "cut"
    """Existing connections are reset and new ones are reset when they arrive."""
    DROP = "drop"
    """Nothing is passed on in either direction, and neither side is notified."""


class Connection:
    """One accepted connection with its connection to the target."""

    __slots__ = ("down", "task", "up")

    def __init__(
        self,
        down: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        up: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        task: asyncio.Task[None],
    ) -> None:
        self.down = down
        self.up = up
        self.task = task

    def reset(self) -> None:
        """Close both sides with a reset."""
        for _reader, writer in (self.down, self.up):
            reset(writer)
        self.task.cancel()

    def half_close(self) -> None:
        """Close only the direction from the target to the caller."""
        with contextlib.suppress(OSError, RuntimeError):
            self.down[1].write_eof()


class Forwarder:
    """Forwards one local port to a target and disturbs the traffic on request.

    ``bytes_up`` and ``bytes_down`` count what was passed to and from the target. ``delay`` is in
    seconds for each piece read and keeps the order of bytes. Bytes that arrive during DROP are
    kept and passed on afterwards, as TCP does with retransmission after a partition heals.
    """

    def __init__(self, target_host: str, target_port: int) -> None:
        self.target_host = target_host
        self.target_port = target_port
        self.port = 0
        self.mode = ForwarderMode.PASS
        self.delay = 0.0
        self.closed = False
        self.bytes_up = 0
        self.bytes_down = 0
        self.connections: set[Connection] = set()
        # Writers that were half-closed; what arrives for them later is discarded.
        self.ended: weakref.WeakSet[asyncio.StreamWriter] = weakref.WeakSet()
        self.server: asyncio.Server | None = None
        self.passing = asyncio.Event()
        self.passing.set()
        self.background = tasks.TaskGroup()

    async def start(self, address: str = "127.0.0.1:0") -> int:
        """Listen on ``host:port`` and return the port in use; raises OSError."""
        self.server = await asyncio.start_server(self.accept, *addresses.split(address))
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self.closed = True
        self.passing.set()
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.reset()
        await self.background.cancel()

    def set_mode(self, mode: ForwarderMode) -> None:
        """Change the treatment of existing and new connections."""
        self.mode = mode
        if mode is ForwarderMode.DROP:
            self.passing.clear()
        else:
            self.passing.set()
        if mode is ForwarderMode.CUT:
            for connection in list(self.connections):
                connection.reset()

    def half_close(self) -> None:
        """End the stream towards the caller in every connection, and keep the other direction."""
        for connection in list(self.connections):
            self.ended.add(connection.down[1])
            connection.half_close()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one accepted connection until both directions have ended."""
        if self.mode is ForwarderMode.CUT:
            reset(writer)
            return
        await self.passing.wait()
        if self.closed:
            reset(writer)
            return
        try:
            up = await asyncio.open_connection(self.target_host, self.target_port)
        except OSError:
            reset(writer)
            return
        task = self.background.spawn(self.pump_both((reader, writer), up), "forwarder")
        connection = Connection((reader, writer), up, task)
        self.connections.add(connection)
        task.add_done_callback(lambda _task: self.connections.discard(connection))

    async def pump_both(
        self,
        down: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        up: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        """Pass bytes in both directions until both have ended."""
        try:
            await asyncio.gather(
                self.pump(down[0], up[1], self.count_up),
                self.pump(up[0], down[1], self.count_down),
            )
        except OSError:
            reset(down[1])
            reset(up[1])
        finally:
            down[1].close()
            up[1].close()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        count: collections.abc.Callable[[int], None],
    ) -> None:
        """Pass bytes in one direction until its end; raises OSError if a side fails."""
        while piece := await reader.read(READ_BYTES):
            if self.delay > 0.0:
                await asyncio.sleep(self.delay)
            await self.passing.wait()
            if writer in self.ended:
                continue
            count(len(piece))
            writer.write(piece)
            await writer.drain()
        await self.passing.wait()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()

    def count_up(self, length: int) -> None:
        """Count bytes passed to the target."""
        self.bytes_up += length

    def count_down(self, length: int) -> None:
        """Count bytes passed back from the target."""
        self.bytes_down += length


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, without sending what is buffered."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
