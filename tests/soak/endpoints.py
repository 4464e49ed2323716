"""Endpoints of the soak: they record what arrives and misbehave when told."""

import asyncio
import math
import random
import time

from masticward.standins import forwarder
from tests.lib import platform_standins

STREAM_EVENTS = 6
EVENT_SECONDS = 0.02
# Drafts are long streams of different lengths.
MAX_DRAFT_EVENTS = 34
DRAFT_EVENT_SECONDS = 0.15
# The events of a story come at uneven times, up to this long apart.
MAX_STORY_EVENTS = 80
MAX_STORY_EVENT_SECONDS = 0.3
TOKENS_PER_EVENT = 5
# Endpoints of this service are sound, but pause now and then before a response, or between the
# events of a serial, and now and then refuse to run a request.
SERIAL_SERVICE = "serial"
SERIAL_ENDPOINTS = 3
MAX_SERIAL_EVENTS = 24
SERIAL_EVENT_SECONDS = 0.3
SERIAL_PAUSE_SECONDS = (1.0, 3.5)
SERIAL_PAUSE_SHARE = 0.08
SERIAL_REFUSAL_SHARE = 0.15


class Arrival:
    """A request as an endpoint got it. ``run`` is False if the endpoint refused to run it."""

    __slots__ = (
        "at",
        "cold",
        "deadline_ms",
        "ended_at",
        "endpoint",
        "headers",
        "request_id",
        "run",
        "target",
    )

    def __init__(
        self, endpoint: "SoakEndpoint", request: platform_standins.ReceivedRequest
    ) -> None:
        self.at = time.monotonic()
        # When the endpoint ended its work on it; infinite while it goes on.
        self.ended_at = math.inf
        self.endpoint = endpoint
        self.request_id = request.request_id
        self.target = request.target
        self.headers = request.headers
        self.deadline_ms = int(request.headers.get("x-masticward-deadline-ms", "-1"))
        self.run = True
        self.cold = self.at < endpoint.cold_until


class SoakEndpoint(platform_standins.EndpointStandin):
    """One endpoint behind a proxy. Shares are parts of the requests, from 0 to 1."""

    def __init__(self, endpoint_id: str, service: str, zone: str, seed: int) -> None:
        super().__init__(self.serve_request)
        self.id = endpoint_id
        self.service = service
        self.zone = zone
        self.random = random.Random(seed)
        self.arrivals: list[Arrival] = []
        self.proxy: forwarder.Forwarder | None = None
        self.listed_address = ""
        self.cold_until = 0.0
        self.left_at: float | None = None
        self.answer_lost = 0.0
        self.garbled = 0.0
        self.sheds = 0.0
        self.mute = 0.0
        self.fails = 0.0
        self.slow = 1.0
        # Whether its answers say that it leaves.
        self.says_leaving = False
        # Until when it refuses everything, and by request when it did so and until when.
        self.wants_nothing_until = 0.0
        self.pauses: dict[str, tuple[float, float]] = {}
        self.disturbed: list[tuple[float, float]] = []

    async def open(self) -> None:
        """Listen, directly and through the proxy."""
        await self.start()
        host, port = self.address.rsplit(":", 1)
        self.proxy = forwarder.Forwarder(host, int(port))
        self.listed_address = f"127.0.0.1:{await self.proxy.start()}"

    async def close(self) -> None:
        """Stop listening and reset what is open."""
        if self.proxy is not None:
            await self.proxy.close()
        await self.stop()

    def disturb(self, seconds: float) -> None:
        """Note a disturbance from now on."""
        now = time.monotonic()
        self.disturbed.append((now, now + seconds))

    def calm(self, start: float, end: float) -> bool:
        """Whether no disturbance reached into a span or the 3 s before it."""
        return not any(begun < end and over > start - 3.0 for begun, over in self.disturbed)

    @property
    def announcement(self) -> str:
        """The header field of an answer that says that the endpoint leaves, or nothing."""
        return "Server-Leaving: 1\r\n" if self.says_leaving else ""

    async def serve_request(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request, or misbehave."""
        arrival = Arrival(self, request)
        self.arrivals.append(arrival)
        try:
            return await self.answer(arrival, request, writer)
        finally:
            arrival.ended_at = time.monotonic()

    async def answer(
        self,
        arrival: Arrival,
        request: platform_standins.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request that was recorded."""
        if arrival.headers.get("x-masticward-expect-instance") != self.id:
            arrival.run = False
            writer.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            return True
        pause_seconds = self.wants_nothing_until - arrival.at
        if pause_seconds > 0.0:
            arrival.run = False
            self.pauses[arrival.request_id] = arrival.at, self.wants_nothing_until
            writer.write(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Masticward-Not-Executed: 1\r\n"
                b"Retry-After: %.3f\r\nContent-Length: 0\r\n\r\n" % pause_seconds
            )
            return True
        chance = self.random.random
        if chance() < self.sheds:
            arrival.run = False
            return await platform_standins.shed_request(request, writer)
        if chance() < self.mute:
            return await platform_standins.never_respond(request, writer)
        stream = request.target.startswith(("/plan/", "/note/", "/draft/", "/story/", "/serial/"))
        await asyncio.sleep(self.random.uniform(0.005, 0.04) * self.slow)
        if self.service == SERIAL_SERVICE and chance() < SERIAL_REFUSAL_SHARE:
            arrival.run = False
            writer.write(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Masticward-Not-Executed: 1\r\n"
                b"X-Masticward-Request-Id: %b\r\nContent-Length: 0\r\n\r\n"
                % request.request_id.encode()
            )
            return True
        if self.service == SERIAL_SERVICE and chance() < SERIAL_PAUSE_SHARE:
            await asyncio.sleep(self.random.uniform(*SERIAL_PAUSE_SECONDS))
        if chance() < self.answer_lost:
            return False
        if chance() < self.fails:
            writer.write(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
            return True
        garbled = chance() < self.garbled
        if stream:
            return await self.stream(request, writer, garbled)
        body = request.request_id.encode() * 3
        whole = platform_standins.complete_response(request, body, self.announcement)
        writer.write(whole[: len(whole) // 2] if garbled else whole)
        return not garbled

    async def stream(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter, cut: bool
    ) -> bool:
        """Send the events after the one that the caller has, to the end or until it is cut."""
        head = (
            f"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: {request.request_id}\r\n"
            f"{platform_standins.PROOF}{self.announcement}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        first = int(request.headers.get("last-event-id", "0")) + 1
        counts = request.headers["x-masticward-token-counts"]
        events = int(counts.partition(",")[2]) // TOKENS_PER_EVENT
        draft = request.target.startswith("/draft/")
        story = random.Random(request.request_id) if request.target.startswith("/story/") else None
        serial = None
        if request.target.startswith("/serial/"):
            serial = random.Random(f"{request.request_id} from {first}")
        interval_seconds = (DRAFT_EVENT_SECONDS if draft else EVENT_SECONDS) * self.slow
        for number in range(first, events + 1):
            event = f"id: {number}\ndata: {request.request_id}\n\n".encode()
            if cut and number == events // 2:
                writer.write(f"{len(event):x}\r\n".encode() + event[: len(event) // 2])
                return False
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if story is not None:
                interval_seconds = story.uniform(0.0, MAX_STORY_EVENT_SECONDS) * self.slow
            if serial is not None:
                interval_seconds = serial_interval_seconds(serial) * self.slow
            await asyncio.sleep(interval_seconds)
        writer.write(b"0\r\n\r\n")
        return True


def serial_interval_seconds(seeded: random.Random) -> float:
    """Return the time to the next event of a serial, now and then a pause."""
    if seeded.random() < SERIAL_PAUSE_SHARE:
        return seeded.uniform(*SERIAL_PAUSE_SECONDS)
    return seeded.uniform(0.0, SERIAL_EVENT_SECONDS)
