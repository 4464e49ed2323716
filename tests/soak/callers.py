"""Callers of the soak: they keep connections open, leave early now and then, and record."""

import asyncio
import enum
import random
import time

from masticward import errors
from masticward.transport import http1
from tests.soak import endpoints, world

CLIENTS = 24
# Callers that only send stories, from this number on.
STORY_CLIENTS = 4
FIRST_STORY_CLIENT = 1000
# Callers whose endpoints pause and refuse.
SERIAL_CLIENTS = 10
FIRST_SERIAL_CLIENT = 2000
DEADLINE_SECONDS = 2.5
# What a caller waits beyond its deadline before it leaves.
PATIENCE_SECONDS = 1.5
# Long streams have more time.
DRAFT_DEADLINE_SECONDS = 9.0
# Stories may last longer than the time that their callers or the route give them.
STORY_DEADLINES_SECONDS = (1.0, 3.0, 5.0, 10.0)
DEADLINES_SECONDS = {"draft": DRAFT_DEADLINE_SECONDS, "serial": 10.0}
ROUTES = ("book", "status", "moving", "plan", "note", "draft")
SERIAL_ROUTES = ("serial", "serial", "lookup")
KEYED_ROUTES = ("plan", "note", "draft", "story", "serial")
# Shares of requests that wait on their connection before they are sent, that are sent in two
# parts, whose bodies have no length, and of stories that are sent slowly.
HELD_SHARE = 0.1
HELD_SERIAL_SHARE = 0.3
PARTED_SHARE = 0.1
SLOW_UPLOAD_SHARE = 0.3
SLOW_UPLOAD_PARTS = 8
CHUNKED_SHARE = 0.3
METHODS = {"status": b"GET", "moving": b"GET", "lookup": b"GET"}


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    CUT = "cut"
    LEFT = "left"
    NO_CONNECTION = "no connection"
    SILENT = "silent"


class Call:
    """One client attempt. Moments are monotonic seconds."""

    __slots__ = (
        "body",
        "deadline_seconds",
        "detail",
        "ended_at",
        "events",
        "gateway",
        "headers",
        "kept",
        "key",
        "outcome",
        "request_id",
        "route",
        "sent_at",
        "sent_whole_at",
        "status",
        "team",
    )

    def __init__(self, request_id: str, route: str, gateway: world.Gateway) -> None:
        self.request_id = request_id
        self.route = route
        self.gateway = gateway
        self.key = ""
        self.team = ""
        self.kept = False
        # When its first and its last byte were sent.
        self.sent_at = 0.0
        self.sent_whole_at = 0.0
        self.ended_at = 0.0
        # Number of events that a stream is asked for.
        self.events = endpoints.STREAM_EVENTS
        # Time that the caller gives the request.
        self.deadline_seconds = DEADLINES_SECONDS.get(route, DEADLINE_SECONDS)
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.outcome = Outcome.NO_CONNECTION
        self.detail = ""

    @property
    def limit_reached(self) -> bool:
        """Whether the caller's time or the route's timeout was over at the end.

        Both begin for a gateway when it reads the request, so it ends nothing earlier.
        """
        timeout_seconds = world.ROUTE_TIMEOUTS_SECONDS[self.route]
        return self.ended_at - self.sent_at >= min(self.deadline_seconds, timeout_seconds)

    @property
    def repeatable(self) -> bool:
        """Whether the route allows more than one run."""
        return self.route in ("status", "moving", "note", "serial", "lookup")


class Callers:
    """All callers of one seed."""

    def __init__(self, fleet: world.World) -> None:
        self.fleet = fleet
        self.calls: list[Call] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.stopping = False
        self.extra = 0

    def start(self) -> None:
        """Start the callers."""
        for number in range(CLIENTS):
            self.add(number)
        for number in range(FIRST_STORY_CLIENT, FIRST_STORY_CLIENT + STORY_CLIENTS):
            self.add(number, ("story",))
        for number in range(FIRST_SERIAL_CLIENT, FIRST_SERIAL_CLIENT + SERIAL_CLIENTS):
            self.add(number, SERIAL_ROUTES)

    def add(self, number: int, routes: tuple[str, ...] = ROUTES) -> None:
        """Start one more caller."""
        seeded = random.Random(self.fleet.seed * 1000 + number)
        self.tasks.append(asyncio.create_task(self.run(seeded, number, routes)))

    async def flood(self, count: int, seconds: float) -> None:
        """Add callers for a time."""
        first = CLIENTS + self.extra
        self.extra += count
        tasks = [
            asyncio.create_task(self.run(random.Random(first + number), first + number))
            for number in range(count)
        ]
        self.tasks += tasks
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()

    async def stop(self) -> None:
        """Let the callers finish what they have sent."""
        self.stopping = True
        longest_seconds = max(*DEADLINES_SECONDS.values(), *STORY_DEADLINES_SECONDS)
        await asyncio.wait(self.tasks, timeout=longest_seconds + PATIENCE_SECONDS + 1.0)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def run(
        self, seeded: random.Random, number: int, routes: tuple[str, ...] = ROUTES
    ) -> None:
        """Send one request after the other, on one connection while it lasts."""
        channel: http1.Channel | None = None
        gateway: world.Gateway | None = None
        sent = 0
        while not self.stopping:
            await asyncio.sleep(seeded.uniform(0.02, 0.2))
            if channel is None or channel.peer_gone or gateway is None:
                ready = [item for item in self.fleet.gateways if item.in_rotation]
                gateway = seeded.choice(ready or self.fleet.gateways)
                channel = None
            sent += 1
            call = Call(f"s{self.fleet.seed}-{number}-{sent}", seeded.choice(routes), gateway)
            if call.route == "story":
                call.deadline_seconds = seeded.choice(STORY_DEADLINES_SECONDS)
            self.calls.append(call)
            try:
                channel = await self.attempt(call, channel, seeded)
            except asyncio.CancelledError:
                call.outcome = Outcome.LEFT
                call.ended_at = time.monotonic()
                if channel is not None:
                    channel.abort()
                raise

    async def attempt(
        self, call: Call, channel: http1.Channel | None, seeded: random.Random
    ) -> http1.Channel | None:
        """Send one request and read its answer; returns the connection if it can be kept."""
        call.kept = channel is not None
        try:
            if channel is None:
                address = (call.gateway.ip, call.gateway.front_port)
                channel = await http1.connect(address, 1.0)
        except errors.EndpointError as error:
            call.detail = str(error)
            call.ended_at = time.monotonic()
            return None
        held_share = HELD_SERIAL_SHARE if call.route in SERIAL_ROUTES else HELD_SHARE
        if seeded.random() < held_share:
            # Connections stay open unused, and the first request may come at any moment of a stop.
            await asyncio.sleep(seeded.uniform(0.5, 6.0))
            if channel.peer_gone:
                channel.abort()
                return None
        leaves_at = call.deadline_seconds + PATIENCE_SECONDS
        if seeded.random() < 0.04:
            leaves_at = seeded.uniform(0.0, 0.1)
        exchange = http1.Exchange(channel)
        headers = self.request_headers(call, seeded)
        call.sent_at = time.monotonic()
        try:
            async with asyncio.timeout(leaves_at):
                method = METHODS.get(call.route, b"POST")
                body = b"" if method == b"GET" else b"x" * seeded.choice((10, 3000))
                await self.send(call, exchange, method, headers(body), body, seeded)
                await self.read(call, exchange)
        except TimeoutError:
            early = leaves_at < call.deadline_seconds
            call.outcome = Outcome.LEFT if early else Outcome.SILENT
            channel.abort()
        except (errors.EndpointError, OSError) as error:
            call.outcome = Outcome.CUT
            call.detail = str(error)
            channel.abort()
        call.ended_at = time.monotonic()
        if not exchange.reusable or call.headers.get(b"connection", b"").lower() == b"close":
            channel.abort()
            return None
        return channel

    async def send(
        self,
        call: Call,
        exchange: http1.Exchange,
        method: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        seeded: random.Random,
    ) -> None:
        """Send a request, its body with a length or in chunks, now and then with a pause in it."""
        if body and seeded.random() < CHUNKED_SHARE:
            headers = [(b"Transfer-Encoding", b"chunked"), *headers[:-1]]
        target = f"/{call.route}/1?a=b".encode()
        data = b"".join(exchange.encode(method, target, headers, body))
        exchange.sent = True
        if call.route == "story" and seeded.random() < SLOW_UPLOAD_SHARE:
            size = len(data) // SLOW_UPLOAD_PARTS
            pause_seconds = seeded.uniform(0.0, call.deadline_seconds / 2 / SLOW_UPLOAD_PARTS)
            for _ in range(SLOW_UPLOAD_PARTS):
                exchange.channel.writer.write(data[:size])
                await asyncio.sleep(pause_seconds)
                data = data[size:]
        elif seeded.random() < PARTED_SHARE:
            half = seeded.randrange(1, len(data))
            exchange.channel.writer.write(data[:half])
            await asyncio.sleep(seeded.uniform(0.1, 2.0))
            data = data[half:]
        exchange.channel.writer.write(data)
        call.sent_whole_at = time.monotonic()

    def request_headers(self, call: Call, seeded: random.Random) -> "HeaderBuilder":
        """Choose team and key of a request and return a builder of its headers."""
        if call.route == "draft":
            call.events = seeded.randint(4, endpoints.MAX_DRAFT_EVENTS)
        if call.route == "story":
            call.events = seeded.randint(4, endpoints.MAX_STORY_EVENTS)
        if call.route == "serial":
            call.events = seeded.randint(4, endpoints.MAX_SERIAL_EVENTS)
        if call.route in KEYED_ROUTES:
            call.team = seeded.choice(world.TEAMS)
            keys = self.fleet.keys[call.team]
            # A key that was taken away is tried now and then, as by a caller that was not told.
            revoked = [key for key in self.fleet.revoked_at if key.startswith(f"key-{call.team}")]
            if revoked and seeded.random() < 0.3:
                call.key = seeded.choice(revoked)
            elif keys:
                call.key = seeded.choice(keys)
            else:
                call.key = "key-nobody"
        return HeaderBuilder(call, seeded.randrange(8))

    async def read(self, call: Call, exchange: http1.Exchange) -> None:
        """Read the whole answer; what came of a cut one is kept."""
        answer = await exchange.read_head()
        call.status = answer.status
        call.headers = {name.lower(): value for name, value in answer.headers}
        while (data := await exchange.read_data()) is not None:
            call.body += data
        call.outcome = Outcome.ANSWERED


class HeaderBuilder:
    """Builds the headers of one request."""

    def __init__(self, call: Call, document: int) -> None:
        self.call = call
        self.document = document

    def __call__(self, body: bytes) -> list[tuple[bytes, bytes]]:
        """Return the headers for a body."""
        headers = [
            (b"Host", b"api.example"),
            (b"X-Masticward-Request-Id", self.call.request_id.encode()),
            (b"X-Masticward-Deadline-Ms", str(int(self.call.deadline_seconds * 1000)).encode()),
            (b"X-Masticward-Tenant", b"forged"),
        ]
        if self.call.key:
            headers.append((b"Authorization", b"Bearer " + self.call.key.encode()))
            counts = f"1500,{self.call.events * endpoints.TOKENS_PER_EVENT}"
            headers.append((b"X-Masticward-Token-Counts", counts.encode()))
            parts = f"d{self.document}:1000,{self.call.request_id.encode().hex()}:500"
            headers.append((b"X-Masticward-Prefix-Hash", parts.encode()))
        if body:
            headers.append((b"Content-Length", str(len(body)).encode()))
        return headers


def expected_body(call: Call) -> bytes:
    """Return the body that the request's own endpoint sends."""
    if call.route in KEYED_ROUTES:
        return b"".join(
            f"id: {number}\ndata: {call.request_id}\n\n".encode()
            for number in range(1, call.events + 1)
        )
    return call.request_id.encode() * 3
