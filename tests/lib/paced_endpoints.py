"""Endpoints that read requests at a pace of their own, on plain sockets."""

import asyncio
import collections.abc
import socket
import typing

from tests.lib import paced_readers, platform_standins, slow_peers


def build_event(size: int) -> bytes:
    """Return an event with this many bytes of data."""
    return b"data: " + b"x" * size + b"\n\n"


EVENTS = [build_event(1)] * 20


class PacedEndpoint(platform_standins.EndpointStandin):
    """Reads each body at a pace, and answers once it has been read.

    With ``event_seconds``, it answers with a stream that begins at once, an event after each such
    time.
    """

    def __init__(
        self,
        pace: paced_readers.Pace,
        event_seconds: float | None = None,
        answer: bytes = b"answer",
        events: collections.abc.Sequence[bytes] = EVENTS,
    ) -> None:
        super().__init__()
        self.pace = pace
        self.event_seconds = event_seconds
        self.answer = answer
        self.events = events
        self.sockets: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener = socket.socket()

    async def start(self) -> None:
        """Listen on a free port."""
        self.pace.limit_buffer(self.listener)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.setblocking(False)
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self.spawn(self.accept())

    async def stop(self) -> None:
        """Close the listener and all connections."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.listener.close()

    def spawn(self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a task until the endpoint stops."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def accept(self) -> None:
        """Serve each connection in a task of its own."""
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            sock.setblocking(False)
            self.spawn(self.serve_socket(sock))

    async def serve_socket(self, sock: socket.socket) -> None:
        """Serve one request and close the connection."""
        self.sockets.append(sock)
        with sock:
            head = b""
            while b"\r\n\r\n" not in head:
                data = await asyncio.get_running_loop().sock_recv(sock, 4096)
                if not data:
                    return
                head += data
            head, _, rest = head.partition(b"\r\n\r\n")
            request = platform_standins.ReceivedRequest(head, b"")
            self.received.append(request)
            reader = paced_readers.PacedReader(sock, self.pace)
            reader.received = len(rest)
            length = int(request.headers["content-length"])
            try:
                if self.event_seconds is None:
                    await reader.read(length)
                    await self.respond(sock, request)
                else:
                    await asyncio.gather(reader.read(length), self.stream(sock, request))
            except ConnectionError:
                return

    async def respond(
        self, sock: socket.socket, request: platform_standins.ReceivedRequest
    ) -> None:
        """Send a whole response."""
        data = platform_standins.complete_response(
            request, self.answer, extra="Connection: close\r\n"
        )
        await asyncio.get_running_loop().sock_sendall(sock, data)

    async def stream(self, sock: socket.socket, request: platform_standins.ReceivedRequest) -> None:
        """Send the events."""
        assert self.event_seconds is not None
        loop = asyncio.get_running_loop()
        head = slow_peers.STREAM_HEAD.format(id=request.request_id)
        await loop.sock_sendall(sock, head.encode())
        for event in self.events:
            await loop.sock_sendall(sock, b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(self.event_seconds)
        await loop.sock_sendall(sock, b"0\r\n\r\n")
