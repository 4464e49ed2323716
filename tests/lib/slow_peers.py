"""Clients and endpoints that read slowly, or not at all."""

import asyncio
import socket

from tests.lib import endless_responses, platform_standins

EVENT = endless_responses.chunked(b"data: " + b"x" * 16_000 + b"\n\n")
STREAM_HEAD = endless_responses.head(200, endless_responses.EVENTS + endless_responses.CHUNKED)
SMALL_BUFFER_BYTES = 16 * 1024


class ImpatientStream:
    """Streams events and cuts off a response of which nothing is read for a time.

    ``cut`` counts the responses that it cut off, ``left`` those that the gateway closed before.
    """

    def __init__(self, events: int, unread_limit_seconds: float) -> None:
        self.events = events
        self.unread_limit_seconds = unread_limit_seconds
        self.cut = 0
        self.left = 0
        self.open = 0
        self.whole = 0

    async def __call__(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Stream until the end, the limit of the unread time or a disconnect."""
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        writer.transport.set_write_buffer_limits(high=SMALL_BUFFER_BYTES)
        writer.write(STREAM_HEAD.format(id=request.request_id).encode())
        self.open += 1
        try:
            for _ in range(self.events):
                writer.write(EVENT)
                async with asyncio.timeout(self.unread_limit_seconds):
                    await writer.drain()
            writer.write(b"0\r\n\r\n")
            self.whole += 1
        except TimeoutError:
            self.cut += 1
            platform_standins.reset_connection(writer)
            return False
        except (OSError, asyncio.CancelledError):
            self.left += 1
            raise
        finally:
            self.open -= 1
        return True


class PausingReader(platform_standins.EndpointStandin):
    """Pauses after the head of each request before it reads the body."""

    def __init__(self, pause_seconds: float) -> None:
        super().__init__()
        self.pause_seconds = pause_seconds

    async def early_response(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Pause."""
        await asyncio.sleep(self.pause_seconds)
        return False


class SteadyReader(platform_standins.EndpointStandin):
    """Takes a request in small parts with a pause after each, then answers.

    Its kernel holds little, so that the sender sees how much was taken.
    """

    def __init__(self, pause_seconds: float) -> None:
        super().__init__()
        self.pause_seconds = pause_seconds

    async def start(self) -> None:
        """Open a listener whose connections have small buffers."""
        await super().start()
        assert self.server is not None
        for sock in self.server.sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * SMALL_BUFFER_BYTES)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one request."""
        request = platform_standins.ReceivedRequest(await reader.readuntil(b"\r\n\r\n"), b"")
        self.received.append(request)
        missing = int(request.headers["content-length"])
        while missing and (data := await reader.read(65536)):
            missing -= len(data)
            await asyncio.sleep(self.pause_seconds)
        writer.write(platform_standins.complete_response(request))
        writer.close()


async def connect(port: int, data: bytes) -> socket.socket:
    """Send a request on a connection whose kernel buffer is small; nothing is read of it."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ("127.0.0.1", port))
    await loop.sock_sendall(sock, data)
    return sock


async def read_to_end(sock: socket.socket, seconds: float = 20.0) -> tuple[bytes, bool]:
    """Return what is received until the last chunk or the end; whether it was the last chunk."""
    data = bytearray()
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(seconds):
        while not data.endswith(b"\r\n0\r\n\r\n"):
            try:
                received = await loop.sock_recv(sock, 65536)
            except OSError:
                return bytes(data), False
            if not received:
                return bytes(data), False
            data += received
    return bytes(data), True
