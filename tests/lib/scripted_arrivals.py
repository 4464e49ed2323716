"""Behaviours of endpoints that depend on how often a request was sent before."""

import asyncio
import time

from tests.lib import platform_standins


class Arrival:
    """One send of a request. Moments are monotonic seconds."""

    __slots__ = ("at", "ended_at", "last_event_id")

    def __init__(self, request: platform_standins.ReceivedRequest) -> None:
        self.at = time.monotonic()
        # When the endpoint had answered or the gateway had closed the connection; 0 before.
        self.ended_at = 0.0
        self.last_event_id = request.headers.get("last-event-id")


class ArrivalScript:
    """Answers the first send of a request with the first behaviour, and so on; the last repeats.

    One script is shared by several endpoints, whichever of them is chosen first.
    """

    def __init__(self, *behaviours: platform_standins.Behaviour) -> None:
        self.behaviours = behaviours
        self.arrivals: list[Arrival] = []

    async def __call__(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Respond; return whether the connection stays open."""
        arrival = Arrival(request)
        self.arrivals.append(arrival)
        behaviour = self.behaviours[min(len(self.arrivals), len(self.behaviours)) - 1]
        try:
            return await behaviour(request, writer)
        finally:
            arrival.ended_at = time.monotonic()


class Pausing:
    """Waits before a behaviour."""

    def __init__(self, seconds: float, behaviour: platform_standins.Behaviour) -> None:
        self.seconds = seconds
        self.behaviour = behaviour

    async def __call__(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Respond; return whether the connection stays open."""
        await asyncio.sleep(self.seconds)
        return await self.behaviour(request, writer)


class NumberedStream:
    """Sends the events up to ``last`` that follow the one which the request names.

    ``pauses`` has the seconds before an event, by its number. Before ``broken_before`` the
    connection is closed. While it pauses, comments come every ``comment_seconds``, 0 for none.
    """

    def __init__(
        self,
        last: int = 3,
        pauses: dict[int, float] | None = None,
        broken_before: int | None = None,
        comment_seconds: float = 0.0,
        source: str = "",
    ) -> None:
        self.last = last
        self.pauses = pauses or {}
        self.broken_before = broken_before
        self.comment_seconds = comment_seconds
        # Text in each event that tells which endpoint made it.
        self.source = source

    async def __call__(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Respond; return whether the connection stays open."""
        head = (
            f"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: {request.request_id}\r\n"
            f"{platform_standins.PROOF}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.last + 1):
            await self.pause(self.pauses.get(number, 0.0), writer)
            if number == self.broken_before:
                return False
            self.write_chunk(writer, f"id: {number}\ndata: {self.source}\n\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    async def pause(self, seconds: float, writer: asyncio.StreamWriter) -> None:
        """Wait before an event."""
        until = time.monotonic() + seconds
        while self.comment_seconds and until - time.monotonic() > self.comment_seconds:
            await asyncio.sleep(self.comment_seconds)
            self.write_chunk(writer, ": still here\n\n")
        await asyncio.sleep(max(0.0, until - time.monotonic()))

    def write_chunk(self, writer: asyncio.StreamWriter, text: str) -> None:
        """Write text as one chunk."""
        writer.write(f"{len(text):x}\r\n{text}\r\n".encode())


async def refuse(request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    """Refuse a request as not executed, with its ID, so that the connection may be used again."""
    writer.write(
        b"HTTP/1.1 503 Service Unavailable\r\nX-Masticward-Not-Executed: 1\r\n"
        b"X-Masticward-Request-Id: %b\r\nContent-Length: 0\r\n\r\n" % request.request_id.encode()
    )
    return True


def expected_events(*sources: str) -> bytes:
    """Return the body of a stream whose events come from these sources, in order."""
    return b"".join(
        f"id: {number}\ndata: {source}\n\n".encode() for number, source in enumerate(sources, 1)
    )
