"""Stand-in for model replicas that answer at once and read a long body slowly."""

import asyncio
import collections.abc
import socket
import time
import typing

import replicas
import wire

EVENTS = 24
EVENT_SECONDS = 0.25
HEAD_BYTES = 4096
# What the kernel keeps for a replica before it reads; Linux doubles the figure.
RECEIVE_BUFFER_BYTES = 8192


class SlowReader:
    """Answers a stream at once and reads the request's body beside it, to its end.

    It reads ``piece_bytes`` at most every ``piece_seconds``. Each channel ends after the answer and
    the body.
    """

    def __init__(
        self, replica_id: str, service: str, piece_bytes: int, piece_seconds: float
    ) -> None:
        self.id = replica_id
        self.service = service
        self.piece_bytes = piece_bytes
        self.piece_seconds = piece_seconds
        self.address = ""
        self.arrivals: list[replicas.Arrival] = []
        # By request ID: bytes of the body that were read, and why the channel has failed.
        self.read_bytes: dict[str, int] = {}
        self.failures: dict[str, str] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.socket: socket.socket | None = None

    def entry(self) -> dict[str, typing.Any]:
        """Return what the replica writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.bind((host, 0))
        self.socket.listen(64)
        self.socket.setblocking(False)
        self.address = f"{host}:{self.socket.getsockname()[1]}"
        self.spawn(self.accept())

    def spawn(self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
        """Run a task of the replica."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def end(self) -> None:
        """Stop listening and end all channels."""
        for task in list(self.tasks):
            task.cancel()
        if self.socket is not None:
            self.socket.close()

    async def accept(self) -> None:
        """Take the channels."""
        assert self.socket is not None
        while True:
            channel, _ = await asyncio.get_running_loop().sock_accept(self.socket)
            channel.setblocking(False)
            self.spawn(self.serve(channel))

    async def serve(self, channel: socket.socket) -> None:
        """Answer one request."""
        loop = asyncio.get_running_loop()
        request_id = ""
        try:
            received = b""
            while b"\r\n\r\n" not in received:
                data = await loop.sock_recv(channel, HEAD_BYTES)
                if not data:
                    return
                received += data
            head, _, rest = received.partition(b"\r\n\r\n")
            start, *lines = head.decode("latin-1").split("\r\n")
            pairs = [line.partition(":") for line in lines]
            request = wire.Message(start, [(name, value.strip()) for name, _, value in pairs])
            arrival = replicas.Arrival(time.monotonic(), self.id, request)
            self.arrivals.append(arrival)
            request_id = arrival.request_id
            arrival.outcome = "begun"
            self.read_bytes[request_id] = len(rest)
            length = int(request.get("content-length") or "0")
            await asyncio.gather(
                self.read_body(channel, request_id, length), self.stream(channel, request_id)
            )
            arrival.outcome = "answered"
        except OSError as error:
            self.failures[request_id] = f"{type(error).__name__}: {error}"
        finally:
            channel.close()

    async def read_body(self, channel: socket.socket, request_id: str, length: int) -> None:
        """Read the body to its end; raise OSError if the channel ends before."""
        while (left := length - self.read_bytes[request_id]) > 0:
            await asyncio.sleep(self.piece_seconds)
            data = await asyncio.get_running_loop().sock_recv(channel, min(left, self.piece_bytes))
            if not data:
                raise ConnectionError("ended within the body")
            self.read_bytes[request_id] += len(data)

    async def stream(self, channel: socket.socket, request_id: str) -> None:
        """Write the answer, an event at a time."""
        loop = asyncio.get_running_loop()
        headers = [("X-Masticward-Request-Id", request_id), ("X-Masticward-Response-Seal", "s")]
        headers += [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        headers.append(("Connection", "close"))
        start = "HTTP/1.1 200 OK"
        await loop.sock_sendall(channel, wire.encode(start, headers, with_length=False))
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            await loop.sock_sendall(channel, b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_SECONDS)
        await loop.sock_sendall(channel, b"0\r\n\r\n")
