"""Calls to endpoints on kept connections."""

import asyncio

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
# Without an announced timeout. Some endpoints drop idle connections without notice.
DEFAULT_KEEP_SECONDS = 3.0
# What must not run twice takes only connections that were in use just now.
FRESH_SECONDS = 1.0
KEPT_CONNECTIONS = 24
# A reused address that answers late belongs to another request; more than this is a fault.
STRAY_ANSWERS = 2
LOGGER = logs.get_logger(__name__)


class KeptConnection(msgspec.Struct):
    """An idle connection. Times are seconds of ``clocks.boot_time``."""

    channel: http1.Channel
    returned_at: float
    expires_at: float


class ConnectionPool:
    """Idle connections by endpoint id."""

    def __init__(self) -> None:
        self.idle: dict[str, list[KeptConnection]] = {}
        self.opened = 0

    def take(self, endpoint: gateway.Endpoint, repeatable: bool) -> http1.Channel | None:
        """Return the idle connection that was used last, None if none is safe to use."""
        kept = self.idle.get(endpoint.id, [])
        now = clocks.boot_time()
        while kept:
            connection = kept.pop()
            if connection.channel.peer_gone or connection.expires_at <= now:
                connection.channel.abort()
                continue
            if not repeatable and now - connection.returned_at > FRESH_SECONDS:
                kept.append(connection)
                return None
            return connection.channel
        return None

    def give(
        self, endpoint: gateway.Endpoint, channel: http1.Channel, keep_seconds: float | None
    ) -> None:
        """Keep a connection for the next request."""
        now = clocks.boot_time()
        limit = DEFAULT_KEEP_SECONDS
        if keep_seconds is not None:
            limit = min(limit, keep_seconds - KEEP_ALIVE_MARGIN_SECONDS)
        kept = self.idle.setdefault(endpoint.id, [])
        if limit <= 0 or len(kept) >= KEPT_CONNECTIONS:
            channel.abort()
            return
        kept.append(KeptConnection(channel, now, now + limit))

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
        marks: gateway.AnswerMarks,
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


class Caller:
    """Sends requests to endpoints."""

    def __init__(self, fleet: fleet_module.Fleet, codec: sources.RequestCodec) -> None:
        self.fleet = fleet
        self.codec = codec
        self.pool = ConnectionPool()

    async def connect(self, endpoint: gateway.Endpoint, repeatable: bool) -> http1.Channel:
        """Return a connection; raises EndpointNotStartedError."""
        channel = self.pool.take(endpoint, repeatable)
        if channel is not None:
            return channel
        self.pool.opened += 1
        try:
            return await http1.connect(addresses.split(endpoint.address), CONNECT_TIMEOUT_SECONDS)
        except errors.EndpointNotStartedError:
            pause = self.fleet.health.note_unreachable(endpoint.id, clocks.boot_time())
            LOGGER.log(
                events.Event.GATEWAY_ENDPOINT_UNREACHABLE,
                endpoint=endpoint.id,
                pause_seconds=pause,
            )
            raise

    async def call(
        self,
        endpoint: gateway.Endpoint,
        terms: gateway.RequestTerms,
        team: str | None,
        body: bytes,
        remaining_ms: int,
        last_event_id: str | None,
        channel: http1.Channel,
    ) -> Call:
        """Send a request and read the head of its answer.

        Raises EndpointNotStartedError if it surely did not run, EndpointBrokenError if it may
        have run.
        """
        exchange = http1.Exchange(channel)
        headers = self.codec.encode_request(
            terms, endpoint, team, remaining_ms, len(body), last_event_id
        )
        try:
            await exchange.send(terms.method, terms.target, headers, body)
            answer, marks = await self.read_own_head(exchange, terms.request_id)
            if marks.not_run:
                await exchange.read_body()
        except (errors.EndpointError, asyncio.CancelledError):
            channel.abort()
            raise
        call = Call(self.pool, endpoint, exchange, answer, marks)
        if marks.not_run:
            call.finish()
            raise errors.EndpointNotStartedError(f"status {answer.status}", answer.status != 421)
        return call

    async def read_own_head(
        self, exchange: http1.Exchange, request_id: str
    ) -> tuple[http1.Answer, gateway.AnswerMarks]:
        """Return the head of the answer to this request, dropping answers to others."""
        for _ in range(STRAY_ANSWERS + 1):
            answer = await exchange.read_head()
            marks = self.codec.decode_answer(answer.status, answer.headers)
            if marks.request_id in (None, request_id):
                return answer, marks
            LOGGER.log(
                events.Event.STRAY_ANSWER_DROPPED, request_id=request_id, other=marks.request_id
            )
            await exchange.read_body()
            exchange.expect_next_answer()
        raise errors.EndpointBrokenError("answers to other requests only")
