"""Minimal HTTP/1.1 for the stand-ins: reading requests, serving a port, and a client channel."""

import asyncio
import collections.abc
import contextlib
import socket
import struct

LIMIT_BYTES = 4 * 1024 * 1024


class Request:
    """A whole request as a server received it."""

    __slots__ = ("body", "headers", "method", "target")

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, with names in lowercase."""
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_chunked(reader: asyncio.StreamReader) -> collections.abc.AsyncIterator[bytes]:
    """Yield the chunks of a body; raise IncompleteReadError if it ends early."""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        yield (await reader.readexactly(size + 2))[:-2]
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request; raise IncompleteReadError at the end of the channel."""
    first, headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
    method, target, _ = first.split(" ", 2)
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b"".join([chunk async for chunk in read_chunked(reader)])
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a channel with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Serves one loopback port; each channel carries one request after the other."""

    def __init__(self) -> None:
        self.listener: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self.serve, ip, 0, limit=LIMIT_BYTES)
        host, port = self.listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and reset all channels."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one channel."""
        self.writers.add(writer)
        try:
            while await self.handle_watched(await read_request(reader), reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle_watched(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Handle one request and drop it if the caller closes its channel."""
        handling = asyncio.ensure_future(self.handle(request, writer))
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((handling, gone), return_when=asyncio.FIRST_COMPLETED)
            return handling.result() if handling.done() else False
        finally:
            handling.cancel()
            gone.cancel()
            await asyncio.gather(handling, gone, return_exceptions=True)

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the channel stays open."""
        raise NotImplementedError


class Answer:
    """What a client got for one request. ``ended`` is "whole", "cut" or "silent"."""

    __slots__ = ("body", "ended", "headers", "status")

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.ended = "silent"


class Channel:
    """A client's channel."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: str) -> "Channel":
        """Open a channel; a client allows one second for that."""
        host, port = address.rsplit(":", 1)
        async with asyncio.timeout(1.0):
            return cls(*await asyncio.open_connection(host, int(port), limit=LIMIT_BYTES))

    def close(self) -> None:
        """Close the channel."""
        self.writer.close()

    async def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        seconds: float = 10.0,
    ) -> Answer:
        """Send a request and read its answer for as long as the client waits."""
        lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {headers[name]}" for name in headers)]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        answer = Answer()
        try:
            self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            async with asyncio.timeout(seconds):
                await self.read(answer)
            answer.ended = "whole"
        except TimeoutError:
            answer.ended = "silent"
        except (asyncio.IncompleteReadError, OSError, ValueError):
            answer.ended = "cut"
        return answer

    async def read(self, answer: Answer) -> None:
        """Read one answer."""
        first, answer.headers = parse_head(await self.reader.readuntil(b"\r\n\r\n"))
        answer.status = int(first.split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            async for chunk in read_chunked(self.reader):
                answer.body += chunk
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await self.reader.readexactly(length)

    def reusable(self, answer: Answer) -> bool:
        """Return whether another request may be sent after an answer."""
        return answer.ended == "whole" and answer.headers.get("connection", "").lower() != "close"
