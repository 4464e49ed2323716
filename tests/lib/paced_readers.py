"""Peers that read at a pace of their own, through receive buffers of a given size."""

import asyncio
import collections.abc
import itertools
import math
import socket

# None leaves the size to the kernel.
BUFFER_SIZES = (4096, 8192, 16_384, 32_768, 65_536, None)
STEADY_PAUSES = (0.05,)
UNEVEN_PAUSES = (0.0, 0.0, 0.0, 1.0)
# Almost stops, and goes on.
HALTING_PAUSES = (*[0.02] * 40, 3.0)


class Pace:
    """How a peer reads: at most ``piece_bytes`` after each pause; the pauses come in turn."""

    __slots__ = ("buffer_bytes", "pause_seconds", "piece_bytes")

    def __init__(
        self,
        buffer_bytes: int | None,
        piece_bytes: int,
        pause_seconds: collections.abc.Sequence[float],
    ) -> None:
        self.buffer_bytes = buffer_bytes
        self.piece_bytes = piece_bytes
        self.pause_seconds = pause_seconds

    def __repr__(self) -> str:
        pauses = sorted(set(self.pause_seconds))
        return f"{self.piece_bytes} B after {pauses} s, buffer {self.buffer_bytes}"

    def limit_buffer(self, sock: socket.socket) -> None:
        """Limit the receive buffer of a socket before it is connected, or of a listening one."""
        if self.buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.buffer_bytes)


class PacedReader:
    """Reads from a socket at a pace and counts the bytes."""

    __slots__ = ("data", "pace", "pauses", "received", "sock")

    def __init__(self, sock: socket.socket, pace: Pace) -> None:
        self.sock = sock
        self.pace = pace
        self.pauses = itertools.cycle(pace.pause_seconds)
        self.received = 0
        # What ``read_until`` has received.
        self.data = bytearray()

    async def read(self, size: int) -> None:
        """Read until ``size`` bytes were received in all, or until the end."""
        await self.read_for(math.inf, size)

    async def read_for(self, seconds: float, size: int) -> None:
        """Read for a time, until ``size`` bytes were received in all, or until the end."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        # A read that is cancelled may lose bytes.
        while self.received < size and (left := deadline - loop.time()) > 0:
            await asyncio.sleep(min(left, next(self.pauses)))
            if not await self.read_piece(min(self.pace.piece_bytes, size - self.received)):
                return

    async def read_until(self, end: bytes) -> None:
        """Read until bytes that end in ``end`` were received, or until the end; keep them."""
        while not self.data.endswith(end):
            await asyncio.sleep(next(self.pauses))
            if not await self.read_piece(self.pace.piece_bytes, self.data):
                return

    async def read_rest(self, size: int) -> None:
        """Read without pauses until ``size`` bytes were received in all, or until the end."""
        while self.received < size and await self.read_piece(65_536):
            pass

    async def read_piece(self, size: int, data: bytearray | None = None) -> bool:
        """Read once, also into ``data``; return whether the connection goes on."""
        try:
            received = await asyncio.get_running_loop().sock_recv(self.sock, size)
        except ConnectionError:
            return False
        self.received += len(received)
        if data is not None:
            data += received
        return bool(received)


def build_paces() -> list[Pace]:
    """Return paces of each kind through buffers of each size."""
    return [
        Pace(buffer_bytes, piece_bytes, pauses)
        for buffer_bytes in BUFFER_SIZES
        for piece_bytes, pauses in (
            (1024, STEADY_PAUSES),
            (40, STEADY_PAUSES),
            (1024, UNEVEN_PAUSES),
            (16_384, UNEVEN_PAUSES),
            (2048, HALTING_PAUSES),
        )
    ]
