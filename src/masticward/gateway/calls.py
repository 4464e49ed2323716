"""HTTP calls to endpoints over pooled connections."""

import collections.abc
import contextlib
import math

import msgspec

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import sources
from masticward.models import gateway
from masticward.state import body_memory
from masticward.transport import http1
from masticward.utils import addresses, clocks

# A round trip takes a few milliseconds; waiting longer for a lost SYN gains nothing, because it is
# retransmitted only after 1 s.
CONNECT_TIMEOUT_SECONDS = 0.5
# Idle connections are closed this long before the keep-alive timeout that the endpoint announces.
KEEP_ALIVE_MARGIN_SECONDS = 0.7
# Used when the endpoint announces no keep-alive timeout.
DEFAULT_IDLE_SECONDS = 3.0
# Keeping connections idle for longer gains nothing: each counts against max_connections.
MAX_IDLE_SECONDS = 15.0
# Some endpoints drop idle connections without notice. After such a drop, connections of that
# service are reused only if they were idle for at most this fraction of the dropped
# connection's idle time. The limit doubles after each REUSE_LIMIT_DOUBLING_SECONDS.
REUSE_LIMIT_FRACTION = 0.5
MIN_REUSE_LIMIT_SECONDS = 0.1
REUSE_LIMIT_DOUBLING_SECONDS = 10.0
# After this many doublings even the shortest limit exceeds MAX_IDLE_SECONDS.
MAX_REUSE_LIMIT_DOUBLINGS = 8.0
MAX_IDLE_CONNECTIONS = 24
# Largest fraction of an endpoint's max_connections that all gateways together keep idle.
IDLE_CONNECTIONS_FRACTION = 0.5
# At a reused address, late responses to earlier requests may arrive first. This many are skipped;
# more of them are a fault.
MAX_STRAY_RESPONSES = 2
# The next attempt waits at most this long for the end of a response that nobody gets.
DISCARD_SECONDS = 0.05
LOGGER = logs.get_logger(__name__)


class IdleConnection(msgspec.Struct):
    """An idle connection. Times are in seconds of ``clocks.boot_time``."""

    channel: http1.Channel
    idle_since: float
    expires_at: float


class Connection(msgspec.Struct):
    """A connection for one request; ``idle_seconds`` is None for a new one."""

    channel: http1.Channel
    idle_seconds: float | None


class ReuseLimit(msgspec.Struct):
    """Longest reusable idle time of a service's connections, set when one was found dropped."""

    seconds: float
    reduced_at: float


class ConnectionPool:
    """The idle connections to all endpoints, by endpoint ID."""

    def __init__(self, fleet: fleet_module.FleetState) -> None:
        self.fleet = fleet
        self.idle: dict[str, list[IdleConnection]] = {}
        self.reuse_limits: dict[str, ReuseLimit] = {}
        self.opened = 0

    def acquire(
        self,
        endpoint: gateway.Endpoint,
        excluded: collections.abc.Collection[http1.Channel] = (),
    ) -> Connection | None:
        """Return the most recently used idle connection, None if there is none to reuse.

        Those over ``excluded`` channels stay idle. ``is_clean`` has to be asked before a send.
        """
        idle = self.idle.get(endpoint.id, [])
        now = clocks.boot_time()
        for index in range(len(idle) - 1, -1, -1):
            if idle[index].channel in excluded:
                continue
            connection = idle.pop(index)
            idle_seconds = now - connection.idle_since
            if (
                connection.channel.peer_gone
                or connection.expires_at <= now
                or idle_seconds > self.reuse_limit_seconds(endpoint.service, now)
            ):
                connection.channel.abort()
                continue
            return Connection(connection.channel, idle_seconds)
        return None

    def connected_ids(self) -> list[str]:
        """Return the IDs of the endpoints to which an idle connection may be reused."""
        now = clocks.boot_time()
        return [
            endpoint_id
            for endpoint_id, idle in self.idle.items()
            if idle and idle[-1].expires_at > now
        ]

    def reuse_limit_seconds(self, service: str, now: float) -> float:
        """Return how long a service's connections may have been idle and still be reused."""
        reuse_limit = self.reuse_limits.get(service)
        if reuse_limit is None:
            return MAX_IDLE_SECONDS
        doublings = (now - reuse_limit.reduced_at) // REUSE_LIMIT_DOUBLING_SECONDS
        return reuse_limit.seconds * math.pow(2.0, min(doublings, MAX_REUSE_LIMIT_DOUBLINGS))

    def record_drop(self, endpoint: gateway.Endpoint, idle_seconds: float) -> None:
        """Lower the service's reuse limit after an endpoint dropped an idle connection."""
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

    def release(
        self, endpoint: gateway.Endpoint, channel: http1.Channel, keep_alive_seconds: float | None
    ) -> None:
        """Keep a connection for reuse, or close it if the limits do not allow that.

        ``keep_alive_seconds`` is the timeout that the endpoint announced, None without one.
        """
        now = clocks.boot_time()
        max_idle_seconds = DEFAULT_IDLE_SECONDS
        if keep_alive_seconds is not None:
            max_idle_seconds = min(MAX_IDLE_SECONDS, keep_alive_seconds - KEEP_ALIVE_MARGIN_SECONDS)
        idle = self.idle.setdefault(endpoint.id, [])
        if max_idle_seconds <= 0 or len(idle) >= self.idle_limit(endpoint.service):
            channel.abort()
            return
        idle.append(IdleConnection(channel, now, now + max_idle_seconds))

    def idle_limit(self, service_name: str) -> int:
        """Return the largest number of idle connections to an endpoint of a service."""
        configuration = self.fleet.configuration
        service = configuration.services.get(service_name) if configuration else None
        if service is None:
            return 0
        limit = IDLE_CONNECTIONS_FRACTION * service.max_connections / len(self.fleet.live_gateways)
        return min(MAX_IDLE_CONNECTIONS, max(1, int(limit)))

    def expire(self, known_ids: set[str]) -> None:
        """Close idle connections that have expired or whose endpoint is not in ``known_ids``."""
        now = clocks.boot_time()
        for endpoint_id in list(self.idle):
            idle = self.idle[endpoint_id]
            open_connections = []
            for connection in idle:
                usable = connection.expires_at > now and not connection.channel.peer_gone
                if usable and endpoint_id in known_ids:
                    open_connections.append(connection)
                else:
                    connection.channel.abort()
            if open_connections:
                self.idle[endpoint_id] = open_connections
            else:
                del self.idle[endpoint_id]


def is_clean(endpoint: gateway.Endpoint, connection: Connection) -> bool:
    """Return whether a connection may take a request; close a kept one otherwise."""
    channel = connection.channel
    if connection.idle_seconds is None:
        return True
    if channel.peer_gone:
        channel.abort()
        return False
    if not channel.has_unread_bytes():
        return True
    # They belong to no request; the next answer on this connection may not either.
    LOGGER.log(
        events.Event.UNEXPECTED_BYTES,
        endpoint=endpoint.id,
        idle_seconds=round(connection.idle_seconds, 3),
    )
    channel.abort()
    return False


class EndpointCall:
    """A request sent to an endpoint, with the head of its response received.

    ``body`` is what was read of a body that is passed on as a whole, ``held_body`` the memory that
    the response takes.
    """

    __slots__ = (
        "body",
        "endpoint",
        "exchange",
        "held_body",
        "pool",
        "released",
        "response",
        "response_metadata",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        endpoint: gateway.Endpoint,
        exchange: http1.Exchange,
        response: http1.Answer,
        response_metadata: gateway.ResponseMetadata,
        held_body: body_memory.HeldBody,
    ) -> None:
        self.body = bytearray()
        self.held_body = held_body
        # Whether the connection was released or reset.
        self.released = False
        self.pool = pool
        self.endpoint = endpoint
        self.exchange = exchange
        self.response = response
        self.response_metadata = response_metadata

    def require_room(self) -> None:
        """Raise EndpointBrokenError if the response declares a length that cannot be held."""
        length = self.exchange.expected_length(self.response)
        if length > http1.MAX_BODY_BYTES:
            raise errors.EndpointBrokenError(f"the body exceeds {http1.MAX_BODY_BYTES} bytes")
        try:
            self.held_body.require(length)
        except errors.BodyMemoryError as error:
            raise errors.EndpointBrokenError(str(error)) from error

    def hold(self, size: int) -> None:
        """Hold memory for this many bytes of the body and for no others.

        Raise EndpointBrokenError if they do not fit or are above ``http1.MAX_BODY_BYTES``.
        """
        if size > http1.MAX_BODY_BYTES:
            raise errors.EndpointBrokenError(f"the body exceeds {http1.MAX_BODY_BYTES} bytes")
        try:
            self.held_body.resize(size)
        except errors.BodyMemoryError as error:
            raise errors.EndpointBrokenError(str(error)) from error

    async def discard_body(self, kept: "KeptAnswer | None" = None) -> int:
        """Read a body if it is short; return the bytes that were read.

        The connection of a longer one cannot be used again. ``kept`` gets the body. Raise
        EndpointBrokenError if it breaks off.
        """
        deadline = clocks.boot_time() + DISCARD_SECONDS
        if kept is None:
            return await self.exchange.discard_body(deadline)
        return await self.exchange.discard_body(deadline, kept.add)

    def finish(self) -> None:
        """Release the connection if its response was read completely, otherwise reset it.

        The body's memory is given back.
        """
        # Tracebacks of a failure may refer to it until the next collection of garbage.
        self.body.clear()
        self.held_body.release()
        self.release_connection()

    def release_connection(self) -> None:
        """Release the connection if its response was read completely, otherwise reset it; once."""
        if self.released:
            return
        self.released = True
        if self.exchange.reusable and not self.response_metadata.closes:
            self.pool.release(
                self.endpoint, self.exchange.channel, self.response_metadata.keep_alive_seconds
            )
        else:
            self.exchange.channel.reset()


class KeptAnswer:
    """An endpoint's answer that a client gets if no further attempt is granted.

    Only a small body is kept. It takes memory until ``release``.
    """

    __slots__ = ("body", "call", "fits", "held_body")

    def __init__(self, call: EndpointCall) -> None:
        self.call = call
        self.body = bytearray()
        self.held_body = body_memory.HeldBody(call.held_body.memory)
        self.fits = True

    @property
    def whole(self) -> bool:
        """Whether the body was read to its end and kept."""
        return self.fits and self.call.exchange.ended

    def add(self, data: bytes) -> None:
        """Keep the next bytes of the body, or none if it becomes too large."""
        size = len(self.body) + len(data)
        self.fits = self.fits and size <= body_memory.SMALL_ANSWER_BYTES
        if self.fits:
            try:
                self.held_body.resize(size)
            except errors.BodyMemoryError:
                self.fits = False
        if self.fits:
            self.body += data
        else:
            self.release()

    def release(self) -> None:
        """Drop the body and give its memory back."""
        self.body.clear()
        self.held_body.release()


class EndpointClient:
    """Sends requests to endpoints."""

    def __init__(
        self,
        fleet: fleet_module.FleetState,
        codec: sources.RequestCodec,
        answer_memory: body_memory.BodyMemory,
    ) -> None:
        self.fleet = fleet
        self.codec = codec
        self.answer_memory = answer_memory
        self.pool = ConnectionPool(fleet)

    async def connect(
        self,
        endpoint: gateway.Endpoint,
        excluded: collections.abc.Collection[http1.Channel] = (),
    ) -> Connection:
        """Return an idle or a new connection, none over ``excluded`` channels.

        Raise EndpointNotStartedError if that fails.
        """
        idle = self.pool.acquire(endpoint, excluded)
        if idle is not None:
            return idle
        self.pool.opened += 1
        address = addresses.split(endpoint.address)
        try:
            return Connection(await http1.connect(address, CONNECT_TIMEOUT_SECONDS), None)
        except errors.EndpointNotStartedError:
            backoff_seconds = self.fleet.health.record_unreachable(endpoint.id, clocks.boot_time())
            LOGGER.log(
                events.Event.GATEWAY_ENDPOINT_UNREACHABLE,
                endpoint=endpoint.id,
                pause_seconds=backoff_seconds,
            )
            raise

    async def call(
        self,
        endpoint: gateway.Endpoint,
        metadata: gateway.RequestMetadata,
        team: str | None,
        body: bytes,
        remaining_ms: int,
        last_event_id: str | None,
        connection: Connection,
        used_channels: set[http1.Channel],
    ) -> EndpointCall:
        """Send a request and read the head of its response.

        ``used_channels`` are those over which the same request was sent before, and gets this one.
        On them, a late copy of the earlier response would pass for the one to this send: all have
        the request's ID.

        Raise EndpointNotStartedError if the request certainly did not run, EndpointBrokenError
        if it may have run.
        """
        while not is_clean(endpoint, connection):
            # What arrives before the request is written is no response to it.
            replacement = await self.connect(endpoint, used_channels)
            connection.channel = replacement.channel
            connection.idle_seconds = replacement.idle_seconds
        channel = connection.channel
        used_channels.add(channel)
        exchange = http1.Exchange(channel)
        headers = self.codec.encode_request(
            metadata, endpoint, team, remaining_ms, len(body), last_event_id
        )
        try:
            await exchange.send(metadata.method, metadata.target, headers, body)
            response, response_metadata = await self.read_matching_head(
                exchange, endpoint, metadata.request_id, connection.idle_seconds is not None
            )
            self.record_speed(endpoint, response_metadata)
            held_body = body_memory.HeldBody(self.answer_memory)
            call = EndpointCall(
                self.pool, endpoint, exchange, response, response_metadata, held_body
            )
            if response_metadata.not_run:
                # The head alone says that the request did not run.
                with contextlib.suppress(errors.EndpointBrokenError):
                    await call.discard_body()
        except BaseException as error:
            channel.reset()
            unanswered = isinstance(error, errors.EndpointBrokenError) and not exchange.received
            if unanswered and connection.idle_seconds is not None:
                self.pool.record_drop(endpoint, connection.idle_seconds)
            raise
        if response_metadata.not_run:
            call.finish()
            raise errors.EndpointNotStartedError(
                f"status {response.status}", response.status != 421
            )
        return call

    def record_announcements(
        self, endpoint: gateway.Endpoint, request_id: str, response: gateway.ResponseMetadata
    ) -> None:
        """Record what an endpoint says of itself in any of its answers."""
        now = clocks.boot_time()
        if response.leaving and self.fleet.announcements.record_leaving(endpoint, now):
            LOGGER.log(
                events.Event.ENDPOINT_ANNOUNCED_LEAVING,
                request_id=request_id,
                endpoint=endpoint.id,
                source="answer",
            )
        if response.wanted_pause_seconds is not None:
            until = self.fleet.announcements.record_pause(
                endpoint, response.wanted_pause_seconds, now
            )
            LOGGER.log(
                events.Event.ENDPOINT_WANTS_NOTHING,
                request_id=request_id,
                endpoint=endpoint.id,
                asked_seconds=response.wanted_pause_seconds,
                seconds=round(until - now, 3),
            )

    def record_speed(self, endpoint: gateway.Endpoint, response: gateway.ResponseMetadata) -> None:
        """Record how long work takes on an endpoint, unless it is an earlier incarnation."""
        fleet = self.fleet
        listed = fleet.table.endpoints.get(endpoint.id)
        if response.work_percent is None or listed is None or listed.born != endpoint.born:
            return
        speeds = fleet.speeds
        now = clocks.boot_time()
        if speeds.record_reported(endpoint.id, response.work_percent, now, endpoint.service):
            LOGGER.log(
                events.Event.ENDPOINT_SPEED_CHANGED,
                endpoint=endpoint.id,
                service=endpoint.service,
                percent=round(speeds.endpoints[endpoint.id].own_base, 1),
                latest_percent=round(response.work_percent, 1),
                slowness=round(fleet.health.slowness(endpoint.id), 2),
            )

    async def read_matching_head(
        self,
        exchange: http1.Exchange,
        endpoint: gateway.Endpoint,
        request_id: str,
        reused: bool,
    ) -> tuple[http1.Answer, gateway.ResponseMetadata]:
        """Return the head of the response to this request, skipping responses to others.

        Raise EndpointBrokenError after ``MAX_STRAY_RESPONSES`` of those. On a reused connection,
        a response without a request ID may be a late copy of an earlier one, so it is an error.
        """
        for _ in range(MAX_STRAY_RESPONSES + 1):
            response = await exchange.read_head()
            response_metadata = self.codec.decode_response_head(response.status, response.headers)
            self.record_announcements(endpoint, request_id, response_metadata)
            if response_metadata.request_id == request_id:
                return response, response_metadata
            if response_metadata.request_id is None:
                if reused or exchange.had_stray:
                    raise errors.EndpointBrokenError(
                        "response without a request ID on a reused connection"
                    )
                return response, response_metadata
            LOGGER.log(
                events.Event.STRAY_ANSWER_DROPPED,
                request_id=request_id,
                other=response_metadata.request_id,
            )
            await exchange.discard_body(math.inf)
            if not exchange.ended:
                raise errors.EndpointBrokenError("a response to another request does not end")
            exchange.expect_next_answer()
        raise errors.EndpointBrokenError("received only responses to other requests")
