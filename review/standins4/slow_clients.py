"""Stand-in for clients that keep a channel and read a long answer slowly."""

import asyncio
import secrets
import socket
import time

import clients
import deployment
import gateways
import wire

# What the kernel keeps for a client before it reads; Linux doubles the figure.
RECEIVE_BUFFER_BYTES = 8192
HEAD_BYTES = 1024


class SlowClient:
    """A client with one channel. It reads ``piece_bytes`` at most every ``piece_seconds``."""

    def __init__(
        self,
        gateway: gateways.Gateway,
        piece_bytes: int,
        piece_seconds: float,
        time_seconds: float,
    ) -> None:
        self.gateway = gateway
        self.piece_bytes = piece_bytes
        self.piece_seconds = piece_seconds
        self.time_seconds = time_seconds
        self.channel = socket.socket()

    async def connect(self) -> None:
        """Open the channel."""
        self.channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.channel.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.channel, (self.gateway.ip, self.gateway.front_port))

    async def send(self, target: str) -> clients.Outcome:
        """Send a request and read its answer, as long as the client's time lasts."""
        outcome = clients.Outcome(self.gateway.name, target)
        headers = [
            ("Host", "shop.example"),
            ("X-Masticward-Request-Id", outcome.request_id),
            ("X-Masticward-Deadline-Ms", str(int(self.time_seconds * 1000))),
            ("Authorization", f"Bearer {deployment.API_KEY}"),
        ]
        outcome.sent_at = time.monotonic()
        request = wire.encode(f"POST {target} HTTP/1.1", headers, secrets.token_bytes(100))
        received = 0
        try:
            async with asyncio.timeout(self.time_seconds):
                await asyncio.get_running_loop().sock_sendall(self.channel, request)
                head, rest = await self.read_head()
                received = len(rest)
                length = int(head.get("content-length") or "0")
                while received < length:
                    await asyncio.sleep(self.piece_seconds)
                    received += len(await self.read(min(self.piece_bytes, length - received)))
                outcome.status = head.status
                outcome.detail = f"complete, {received} bytes"
        except TimeoutError:
            outcome.detail = f"no complete answer in time, {received} bytes"
        except OSError as error:
            outcome.detail = f"channel ended: {type(error).__name__} after {received} bytes"
        outcome.ended_at = time.monotonic()
        return outcome

    async def read_head(self) -> tuple[wire.Message, bytes]:
        """Return the head of an answer, and the bytes of the body that came with it."""
        received = b""
        while b"\r\n\r\n" not in received:
            received += await self.read(HEAD_BYTES)
        head, _, rest = received.partition(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").split("\r\n")
        pairs = [line.partition(":") for line in lines]
        return wire.Message(start, [(name, value.strip()) for name, _, value in pairs]), rest

    async def read(self, size: int) -> bytes:
        """Return the next bytes; raise OSError at the end of the channel."""
        data = await asyncio.get_running_loop().sock_recv(self.channel, size)
        if not data:
            raise ConnectionError("the channel has ended")
        return data

    def close(self) -> None:
        """Close the channel."""
        self.channel.close()
