"""Calls to endpoints on kept connections."""

import asyncio
import math

import msgspec

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import sources
from masticward.models import gateway
from masticward.transport import http1
from masticward.utils import addresses, clocks

# One round trip takes a few milliseconds; a dropped opening packet is sent again after 1 s.
CONNECT_TIMEOUT_SECONDS = 0.5
# Kept connections are given up this much before the endpoint's announced timeout.
KEEP_ALIVE_MARGIN_SECONDS = 0.7
# Without an announced timeout.
DEFAULT_IDLE_SECONDS = 3.0
# Longer announced timeouts gain nothing: each kept connection counts against max_connections.
MAX_IDLE_SECONDS = 15.0
# Some endpoints drop idle connections without notice. After such a loss, connections of that
# service that rested half as long are trusted, and twice as long after each further span.
REUSE_LIMIT_FRACTION = 0.5
MIN_REUSE_LIMIT_SECONDS = 0.1
REUSE_LIMIT_DOUBLING_SECONDS = 10.0
# The shortest trust is longer than any kept rest after this many doublings.
MAX_REUSE_LIMIT_DOUBLINGS = 8.0
MAX_IDLE_CONNECTIONS = 24
# Idle connections of all gateways take at most this part of what an endpoint accepts.
IDLE_CONNECTIONS_FRACTION = 0.5
# A reused address that answers late belongs to another request; more than this is a fault.
STRAY_ANSWERS = 2
LOGGER = logs.get_logger(__name__)


class KeptConnection(msgspec.Struct):
    """An idle connection. Times are seconds of ``clocks.boot_time``."""

    channel: http1.Channel
    returned_at: float
    expires_at: float


class Connection(msgspec.Struct):
    """A connection for one request; ``idle_seconds`` is None for a new one."""

    channel: http1.Channel
    idle_seconds: float | None


class ReuseLimit(msgspec.Struct):
    """How long connections of a service may have rested, after one was found dropped."""

    seconds: float
    since: float


class ConnectionPool:
    """Idle connections by endpoint id."""

    def __init__(self, fleet: fleet_module.FleetState) -> None:
        self.fleet = fleet
        self.idle: dict[str, list[KeptConnection]] = {}
        self.reuse_limits: dict[str, ReuseLimit] = {}
        self.opened = 0

    def take(self, endpoint: gateway.Endpoint) -> Connection | None:
        """Return the idle connection that was used last, None if none is safe to use."""
        kept = self.idle.get(endpoint.id, [])
        now = clocks.boot_time()
        while kept:
            connection = kept.pop()
            idle_seconds = now - connection.returned_at
            if (
                connection.channel.peer_gone
                or connection.expires_at <= now
                or idle_seconds > self.reuse_limit_seconds(endpoint.service, now)
            ):
                connection.channel.abort()
                continue
            return Connection(connection.channel, idle_seconds)
        return None

    def reuse_limit_seconds(self, service: str, now: float) -> float:
        """Return how long a connection to an endpoint of a service may have rested."""
        trust = self.reuse_limits.get(service)
        if trust is None:
            return MAX_IDLE_SECONDS
        spans = (now - trust.since) // REUSE_LIMIT_DOUBLING_SECONDS
        return trust.seconds * math.pow(2.0, min(spans, MAX_REUSE_LIMIT_DOUBLINGS))

    def note_dropped(self, endpoint: gateway.Endpoint, idle_seconds: float) -> None:
        """Note that an endpoint had dropped a connection that rested for this long."""
        now = clocks.boot_time()
        seconds = min(
            self.reuse_limit_seconds(endpoint.service, now),
            max(MIN_REUSE_LIMIT_SECONDS, REUSE_LIMIT_FRACTION * idle_seconds),
        )
        self.reuse_limits[endpoint.service] = ReuseLimit(seconds, now)
        LOGGER.log(
            events.Event.IDLE_CONNECTION_DROPPED,
            endpoint=endpoint.id,
            service=endpoint.service,
            idle_seconds=round(idle_seconds, 3),
            trusted_seconds=round(seconds, 3),
        )

    def give(
        self, endpoint: gateway.Endpoint, channel: http1.Channel, keep_seconds: float | None
    ) -> None:
        """Keep a connection for the next request."""
        now = clocks.boot_time()
        limit = DEFAULT_IDLE_SECONDS
        if keep_seconds is not None:
            limit = min(MAX_IDLE_SECONDS, keep_seconds - KEEP_ALIVE_MARGIN_SECONDS)
        kept = self.idle.setdefault(endpoint.id, [])
        if limit <= 0 or len(kept) >= self.idle_limit(endpoint.service):
            channel.abort()
            return
        kept.append(KeptConnection(channel, now, now + limit))

    def idle_limit(self, service_name: str) -> int:
        """Return how many idle connections to an endpoint this process may keep."""
        configuration = self.fleet.configuration
        service = configuration.services.get(service_name) if configuration else None
        if service is None:
            return 0
        share = IDLE_CONNECTIONS_FRACTION * service.max_connections / len(self.fleet.live_gateways)
        return min(MAX_IDLE_CONNECTIONS, max(1, int(share)))

    def expire(self, known: set[str]) -> None:
        """Close idle connections that are too old or lead to endpoints that are gone."""
        now = clocks.boot_time()
        for endpoint_id in list(self.idle):
            kept = self.idle[endpoint_id]
            alive = []
            for connection in kept:
                usable = connection.expires_at > now and not connection.channel.peer_gone
                if usable and endpoint_id in known:
                    alive.append(connection)
                else:
                    connection.channel.abort()
            if alive:
                self.idle[endpoint_id] = alive
            else:
                del self.idle[endpoint_id]


class Call:
    """One request that was sent to one endpoint, up to the head of its answer."""

    __slots__ = ("answer", "endpoint", "exchange", "marks", "pool")

    def __init__(
        self,
        pool: ConnectionPool,
        endpoint: gateway.Endpoint,
        exchange: http1.Exchange,
        answer: http1.Answer,
        marks: gateway.ResponseMetadata,
    ) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.exchange = exchange
        self.answer = answer
        self.marks = marks

    def finish(self) -> None:
        """Keep the connection if its answer was read to the end, else reset it."""
        if self.exchange.reusable and not self.marks.closes:
            self.pool.give(self.endpoint, self.exchange.channel, self.marks.keep_alive_seconds)
        else:
            self.exchange.channel.abort()


class EndpointClient:
    """Sends requests to endpoints."""

    def __init__(self, fleet: fleet_module.FleetState, codec: sources.RequestCodec) -> None:
        self.fleet = fleet
        self.codec = codec
        self.pool = ConnectionPool(fleet)

    async def connect(self, endpoint: gateway.Endpoint) -> Connection:
        """Return a connection; raises EndpointNotStartedError."""
        kept = self.pool.take(endpoint)
        if kept is not None:
            return kept
        self.pool.opened += 1
        address = addresses.split(endpoint.address)
        try:
            return Connection(await http1.connect(address, CONNECT_TIMEOUT_SECONDS), None)
        except errors.EndpointNotStartedError:
            pause = self.fleet.health.record_unreachable(endpoint.id, clocks.boot_time())
            LOGGER.log(
                events.Event.GATEWAY_ENDPOINT_UNREACHABLE,
                endpoint=endpoint.id,
                pause_seconds=pause,
            )
            raise

    async def call(
        self,
        endpoint: gateway.Endpoint,
        terms: gateway.RequestMetadata,
        team: str | None,
        body: bytes,
        remaining_ms: int,
        last_event_id: str | None,
        connection: Connection,
    ) -> Call:
        """Send a request and read the head of its answer.

        Raises EndpointNotStartedError if it surely did not run, EndpointBrokenError if it may
        have run.
        """
        channel = connection.channel
        exchange = http1.Exchange(channel)
        headers = self.codec.encode_request(
            terms, endpoint, team, remaining_ms, len(body), last_event_id
        )
        try:
            await exchange.send(terms.method, terms.target, headers, body)
            answer, marks = await self.read_own_head(exchange, terms.request_id)
            if marks.not_run:
                await exchange.read_body()
        except (errors.EndpointError, asyncio.CancelledError) as error:
            channel.abort()
            unanswered = isinstance(error, errors.EndpointBrokenError) and not exchange.received
            if unanswered and connection.idle_seconds is not None:
                self.pool.note_dropped(endpoint, connection.idle_seconds)
            raise
        call = Call(self.pool, endpoint, exchange, answer, marks)
        if marks.not_run:
            call.finish()
            raise errors.EndpointNotStartedError(f"status {answer.status}", answer.status != 421)
        return call

    async def read_own_head(
        self, exchange: http1.Exchange, request_id: str
    ) -> tuple[http1.Answer, gateway.ResponseMetadata]:
        """Return the head of the answer to this request, dropping answers to others."""
        for _ in range(STRAY_ANSWERS + 1):
            answer = await exchange.read_head()
            marks = self.codec.decode_response_head(answer.status, answer.headers)
            if marks.request_id in (None, request_id):
                return answer, marks
            LOGGER.log(
                events.Event.STRAY_ANSWER_DROPPED, request_id=request_id, other=marks.request_id
            )
            await exchange.read_body()
            exchange.expect_next_answer()
        raise errors.EndpointBrokenError("answers to other requests only")
