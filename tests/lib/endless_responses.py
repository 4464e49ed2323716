"""Behaviours of faulty endpoints that send bytes without end until their caller closes."""

import asyncio
import collections.abc
import json
import os

from tests.lib import platform_standins

BLOCK_BYTES = 256 * 1024
INTERVAL_SECONDS = 0.01
FILLER = b"x" * BLOCK_BYTES


class EndlessResponse:
    """Sends the beginning of a response, then the same block until the connection closes."""

    def __init__(self, start: str, block: bytes, before: str = "") -> None:
        self.start = start
        self.block = block
        # Bytes before the status line that belong to an earlier part of the answer.
        self.before = before
        self.sent_bytes = 0

    async def __call__(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Send until the caller closes the connection."""
        writer.write((self.before + self.start).format(id=request.request_id).encode())
        while True:
            writer.write(self.block)
            self.sent_bytes += len(self.block)
            await writer.drain()
            await asyncio.sleep(INTERVAL_SECONDS)


class UnendedResponse:
    """Sends the same part of a response to all its callers at once, then nothing more.

    ``waiting`` counts the callers so far, ``open`` those that have not closed the connection.
    """

    def __init__(self, start: str, body: bytes = b"") -> None:
        self.start = start
        self.body = body
        self.begins = asyncio.Event()
        self.waiting = 0
        self.open = 0

    async def __call__(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Send until the caller closes the connection."""
        self.waiting += 1
        self.open += 1
        try:
            await self.begins.wait()
            writer.write(self.start.format(id=request.request_id).encode() + self.body)
            await asyncio.Event().wait()
        finally:
            self.open -= 1
        return False


class EndlessPages(platform_standins.SocketServer):
    """A store each of whose pages announces another one, up to a number that is not expected."""

    last_page = 100

    def __init__(self) -> None:
        super().__init__()
        self.pages = 0
        self.sent_bytes = 0

    async def handle(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer with one page."""
        self.pages += 1
        has_more = self.pages < self.last_page
        item = {"metadata": {"name": f"e{self.pages}"}, "spec": "x" * BLOCK_BYTES * 2}
        body = json.dumps({"items": [item], "current_rev": 1, "has_more": has_more}).encode()
        self.sent_bytes += len(body)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        return True


def chunked(data: bytes) -> bytes:
    """Return data as one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def repeated(data: bytes) -> bytes:
    """Return about one block of repetitions."""
    return data * (BLOCK_BYTES // len(data))


def head(status: int, fields: str = "") -> str:
    """Return the head of a response, with the place for its request ID."""
    return f"HTTP/1.1 {status} X\r\nX-Masticward-Request-Id: {{id}}\r\n{fields}\r\n"


CHUNKED = "Transfer-Encoding: chunked\r\n"
EVENTS = f"{platform_standins.PROOF}Content-Type: text/event-stream\r\n"
NOT_RUN = "X-Masticward-Not-Executed: 1\r\n"
EVENT = b"id: 1\ndata: x\n\n"

# Kinds of endless responses by name.
KINDS: dict[str, collections.abc.Callable[[], EndlessResponse]] = {
    "error-body": lambda: EndlessResponse(head(500, CHUNKED), chunked(FILLER)),
    "error-length": lambda: EndlessResponse(head(500, "Content-Length: 999999999999\r\n"), FILLER),
    "client-error-body": lambda: EndlessResponse(head(400, CHUNKED), chunked(FILLER)),
    "refusal-body": lambda: EndlessResponse(head(503, NOT_RUN + CHUNKED), chunked(FILLER)),
    "success-body": lambda: EndlessResponse(
        head(200, platform_standins.PROOF + CHUNKED), chunked(FILLER)
    ),
    "informational": lambda: EndlessResponse("", repeated(b"HTTP/1.1 102 Processing\r\n\r\n")),
    "stray-body": lambda: EndlessResponse(
        "HTTP/1.1 200 X\r\nX-Masticward-Request-Id: other\r\n" + CHUNKED + "\r\n",
        chunked(FILLER),
    ),
    "stray-heads": lambda: EndlessResponse(
        "",
        repeated(b"HTTP/1.1 200 X\r\nX-Masticward-Request-Id: other\r\nContent-Length: 0\r\n\r\n"),
    ),
    "head": lambda: EndlessResponse("HTTP/1.1 200 X\r\nX-Field: ", FILLER),
    "chunk-line": lambda: EndlessResponse(
        head(200, platform_standins.PROOF + CHUNKED) + "5;", FILLER
    ),
    "small-chunks": lambda: EndlessResponse(
        head(200, platform_standins.PROOF + CHUNKED), repeated(chunked(b"x"))
    ),
    "trailer": lambda: EndlessResponse(
        head(200, platform_standins.PROOF + CHUNKED) + "0\r\n", repeated(b"X-Field: x\r\n")
    ),
    "after-answer": lambda: EndlessResponse(
        head(200, platform_standins.PROOF + "Content-Length: 0\r\n"), FILLER
    ),
    "stream-chunked": lambda: EndlessResponse(head(200, EVENTS + CHUNKED), chunked(FILLER)),
    "stream-unframed": lambda: EndlessResponse(head(200, EVENTS), FILLER),
    "stream-length": lambda: EndlessResponse(
        head(200, EVENTS + "Content-Length: 999999999999\r\n"), FILLER
    ),
    "stream-events": lambda: EndlessResponse(head(200, EVENTS + CHUNKED), chunked(repeated(EVENT))),
}


def new_id() -> str:
    """Return an ID for a request that no other request has."""
    return os.urandom(8).hex()
