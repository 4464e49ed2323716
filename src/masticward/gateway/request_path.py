"""One request on its way to endpoints and back."""

import asyncio
import collections.abc
import re
import typing

from masticward import errors, events, logs
from masticward.gateway import calls, gateway_metrics, placer, sources
from masticward.gateway import fleet as fleet_module
from masticward.models import gateway
from masticward.state import placement
from masticward.transport import http1_server
from masticward.utils import clocks, identifiers

# The final answer leaves this much before the client's deadline, to arrive within it.
ANSWER_MARGIN_SECONDS = 0.03
# Less time than this is not worth an attempt.
SHORTEST_ATTEMPT_SECONDS = 0.02
STALE_KEYS_RETURN_SECONDS = 0.5
# A sound endpoint begins to answer within its expected time, this factor and this much more.
# Replicas that lose an answer stay silent; callers give a stream up after a gap of 2 s or more.
SILENCE_FACTOR = 3.0
SILENCE_SECONDS = 1.2
PLAIN_SILENCE_SECONDS = 0.35
# Longest pause within a stream before it is resumed elsewhere; sheets allow 0.3 to 0.4 s.
PAUSE_SECONDS = 1.2
EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
LOGGER = logs.get_logger(__name__)
StepT = typing.TypeVar("StepT")


class RefusalError(errors.MasticwardError):
    """Raised when a request is answered by the gateway itself."""

    def __init__(self, status: int, reason: str, retry_after_seconds: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_seconds = retry_after_seconds


class Progress:
    """How far a request has come. ``runs`` counts sends that may have run."""

    __slots__ = ("last_event_id", "runs", "sends", "started_client")

    def __init__(self, last_event_id: str | None) -> None:
        self.runs = 0
        self.sends = 0
        self.started_client = False
        self.last_event_id = last_event_id


class RequestDependencies:
    """What all requests of a process share."""

    __slots__ = ("codec", "endpoint_client", "fleet", "meters", "placer")

    def __init__(
        self,
        fleet: fleet_module.FleetState,
        codec: sources.RequestCodec,
        request_placer: placer.Placer,
        endpoint_client: calls.EndpointClient,
        meters: gateway_metrics.GatewayMeters,
    ) -> None:
        self.fleet = fleet
        self.codec = codec
        self.placer = request_placer
        self.endpoint_client = endpoint_client
        self.meters = meters


def check_keys_provable(fleet: fleet_module.FleetState) -> None:
    """Raise RefusalError if a key may have been taken away without this process knowing."""
    if not fleet.proof_is_fresh(clocks.boot_time()):
        raise RefusalError(503, "keys cannot be proven", STALE_KEYS_RETURN_SECONDS)


class ProxiedRequest:
    """One request on its way to endpoints and back."""

    def __init__(
        self,
        dependencies: RequestDependencies,
        terms: gateway.RequestMetadata,
        route: gateway.Route,
        team: str | None,
        body: bytes,
        responder: http1_server.Responder,
    ) -> None:
        self.dependencies = dependencies
        self.fleet = dependencies.fleet
        self.terms = terms
        self.route = route
        self.team = team
        self.body = body
        self.responder = responder
        self.progress = Progress(terms.last_event_id)
        self.service = choose_service(route, terms.request_id)
        self.final_at = min(
            terms.deadline - ANSWER_MARGIN_SECONDS, terms.arrived_at + route.timeout_seconds
        )
        self.waiting = placer.WaitingRequest(
            terms,
            route,
            self.service,
            team,
            min(
                self.final_at,
                terms.arrived_at + placer.WAIT_SHARE * route.target_latency_seconds,
            ),
        )

    async def run(self) -> None:
        """Serve the request; raises RefusalError."""
        self.fleet.budget(self.service).record_request(clocks.boot_time())
        try:
            async with asyncio.timeout(max(0.0, self.final_at - clocks.boot_time())):
                while not await self.attempt():
                    pass
        except RefusalError as refusal:
            if not self.progress.started_client:
                raise
            self.note_cut("cut by endpoint", refusal.reason)
        except TimeoutError:
            if self.progress.started_client:
                self.note_cut("cut at deadline", "deadline")
                return
            if self.progress.runs:
                raise RefusalError(504, "deadline passed after a send") from None
            raise RefusalError(503, "deadline passed", placer.SHORTEST_RETURN_SECONDS) from None

    async def attempt(self) -> bool:
        """Make one attempt; returns False if another should follow."""
        placed = await self.dependencies.placer.place(self.waiting)
        if isinstance(placed, placer.PlacementRefusal):
            LOGGER.log(
                events.Event.NO_ENDPOINT_IN_TIME,
                request_id=self.terms.request_id,
                reason=placed.reason,
                service=self.service,
                team=self.team,
                over_share=placed.over_share,
                waited_ms=round((clocks.boot_time() - self.terms.arrived_at) * 1000),
                expected_wait_ms=round(placed.wait_seconds * 1000),
                tokens_ahead=placed.tokens_ahead,
                candidates=placed.candidates,
                live_gateways=len(self.fleet.live_gateways),
            )
            raise self.give_up(placed.reason, placed.retry_after_seconds)
        endpoint = placed.endpoint
        held = HeldLoad(self.fleet, endpoint.id, placed, self.terms)
        try:
            return await self.attempt_at(endpoint, placed, held)
        except errors.EndpointNotStartedError as error:
            self.waiting.excluded.add(endpoint.id)
            if error.overloaded:
                self.fleet.health.record_shed(endpoint.id, clocks.boot_time())
            self.note_failure(endpoint, "not started", str(error))
            return False
        except errors.EndpointBrokenError as error:
            self.waiting.excluded.add(endpoint.id)
            self.fleet.health.record_failure(endpoint.id, clocks.boot_time())
            self.note_failure(endpoint, "broken", str(error))
            if self.may_repeat():
                return False
            if self.progress.started_client:
                self.note_cut("cut by endpoint", str(error))
                return True
            raise RefusalError(502, f"endpoint failed: {error}") from error
        finally:
            held.end()

    def give_up(self, reason: str, retry_after_seconds: float) -> RefusalError:
        """Return the final answer of a request that gets no further endpoint."""
        if self.progress.runs:
            return RefusalError(502, f"{reason} after a failed attempt")
        return RefusalError(503, reason, retry_after_seconds)

    def note_cut(self, outcome: str, reason: str) -> None:
        """Count and log a stream whose head was sent and whose end is missing."""
        self.dependencies.meters.note_outcome(outcome, 0)
        LOGGER.log(events.Event.STREAM_CUT, request_id=self.terms.request_id, reason=reason)

    def may_repeat(self) -> bool:
        """Whether the route allows another run."""
        return self.route.retryable and self.progress.runs < self.route.max_attempts

    def note_failure(self, endpoint: gateway.Endpoint, outcome: str, detail: str) -> None:
        """Log a failed attempt."""
        self.dependencies.meters.attempts.labels(outcome).inc()
        LOGGER.log(
            events.Event.GATEWAY_ATTEMPT_FAILED,
            request_id=self.terms.request_id,
            endpoint=endpoint.id,
            outcome=outcome,
            detail=detail,
            runs=self.progress.runs,
        )

    async def attempt_at(
        self, endpoint: gateway.Endpoint, placed: placement.Choice, held: "HeldLoad"
    ) -> bool:
        """Call one endpoint and pass its answer on."""
        # A client's close that has already arrived is handled first, and cancels this request: in
        # a busy process it may lie behind the request's own bytes.
        await asyncio.sleep(0)
        connection = await self.dependencies.endpoint_client.connect(endpoint)
        now = clocks.boot_time()
        try:
            if self.team is not None:
                check_keys_provable(self.fleet)
                if self.fleet.team_of(self.terms.api_key) != self.team:
                    raise RefusalError(401, "the key was taken away")
            remaining = self.final_at - now
            if remaining < SHORTEST_ATTEMPT_SECONDS:
                raise self.give_up("deadline passed", placer.SHORTEST_RETURN_SECONDS)
            if self.progress.sends and not self.fleet.budget(self.service).take(
                now, self.fleet.known_gateways
            ):
                raise self.give_up("retry budget used up", placer.LONGEST_RETURN_SECONDS)
        except RefusalError:
            connection.channel.abort()
            raise
        self.progress.sends += 1
        self.progress.runs += 1
        LOGGER.log(
            events.Event.ATTEMPT_SENT,
            request_id=self.terms.request_id,
            endpoint=endpoint.id,
            team=self.team,
            waited_ms=round((now - self.terms.arrived_at) * 1000),
            expected_ms=round(placed.expected_seconds * 1000),
            cost_ms=round(placed.cost_seconds * 1000),
            slowness=round(placed.slowness, 2),
            unread_tokens=placed.unread_tokens,
            prompt_tokens=self.terms.prompt_tokens,
            owner=placed.owner_id,
            attempt=self.progress.sends,
            config=self.fleet.configuration.version if self.fleet.configuration else None,
        )
        try:
            call = await self.until_silent(
                self.dependencies.endpoint_client.call(
                    endpoint,
                    self.terms,
                    self.team,
                    self.body,
                    int(remaining * 1000),
                    self.progress.last_event_id,
                    connection,
                ),
                self.patience_seconds(placed),
            )
        except errors.EndpointNotStartedError:
            self.progress.runs -= 1
            raise
        try:
            return await self.relay(call, held, now)
        finally:
            call.finish()

    def patience_seconds(self, placed: placement.Choice) -> float:
        """Return the time that a sound endpoint needs at most to begin its answer."""
        expected = placed.expected_seconds * placed.slowness * SILENCE_FACTOR
        if self.route.kind is gateway.RequestKind.STREAM:
            return expected + SILENCE_SECONDS
        return expected + PLAIN_SILENCE_SECONDS

    async def until_silent(
        self, step: collections.abc.Awaitable[StepT], patience_seconds: float
    ) -> StepT:
        """Wait for a step of an endpoint's answer.

        Raises EndpointBrokenError if it takes too long and the request may run again elsewhere.
        """
        if not self.may_repeat():
            return await step
        try:
            async with asyncio.timeout(patience_seconds) as limit:
                return await step
        except TimeoutError:
            if not limit.expired():
                raise
            raise errors.EndpointBrokenError(f"silent for {patience_seconds:.2f} s") from None

    async def relay(self, call: calls.Call, held: "HeldLoad", sent_at: float) -> bool:
        """Pass an answer on to the client; returns False if another attempt should follow."""
        answer, marks = call.answer, call.marks
        succeeded = 200 <= answer.status < 300
        if marks.encoded or (succeeded and not marks.proven):
            raise errors.EndpointBrokenError("not the endpoint's own answer")
        if succeeded and self.route.kind is gateway.RequestKind.STREAM:
            await self.relay_stream(call, held, sent_at)
            self.note_success(call, sent_at)
            return True
        body = await self.until_silent(call.exchange.read_body(), PAUSE_SECONDS)
        if answer.status >= 500:
            self.fleet.health.record_failure(call.endpoint.id, clocks.boot_time())
            if self.may_repeat() and not self.progress.started_client:
                self.waiting.excluded.add(call.endpoint.id)
                self.note_failure(call.endpoint, "failed", f"status {answer.status}")
                return False
        if self.progress.started_client:
            raise errors.EndpointBrokenError(f"status {answer.status} to a resumed stream")
        headers = self.dependencies.codec.response_headers(answer.headers)
        await self.responder.send(answer.status, headers, body)
        if answer.status < 500:
            self.note_success(call, sent_at)
        else:
            self.dependencies.meters.note_outcome("answered", answer.status)
        return True

    def note_success(self, call: calls.Call, sent_at: float) -> None:
        """Count and log a whole answer."""
        now = clocks.boot_time()
        self.fleet.health.record_success(call.endpoint.id, now)
        self.dependencies.meters.note_outcome("answered", call.answer.status)
        LOGGER.log(
            events.Event.GATEWAY_REQUEST_ANSWERED,
            request_id=self.terms.request_id,
            endpoint=call.endpoint.id,
            status=call.answer.status,
            total_ms=round((now - self.terms.arrived_at) * 1000),
        )

    async def relay_stream(self, call: calls.Call, held: "HeldLoad", sent_at: float) -> None:
        """Pass events on as they arrive; whole events only where the stream may be resumed."""
        buffered = b""
        while True:
            data = await self.until_silent(call.exchange.read_data(), PAUSE_SECONDS)
            if not held.read:
                held.note_first_event()
                now = clocks.boot_time()
                expected = held.choice.expected_seconds
                self.fleet.health.record_latency(call.endpoint.id, now - sent_at, expected, now)
                self.dependencies.meters.first_event.observe(now - self.terms.arrived_at)
            if data is None:
                break
            if self.route.resumable:
                buffered += data
                data, buffered = split_events(buffered)
                self.note_event_id(data)
            await self.pass_on(call, data)
        await self.pass_on(call, buffered)
        await self.responder.end()

    async def pass_on(self, call: calls.Call, data: bytes) -> None:
        """Write bytes of a stream, after the head of its first answer."""
        if not data:
            return
        if not self.progress.started_client:
            self.progress.started_client = True
            headers = self.dependencies.codec.response_headers(call.answer.headers)
            await self.responder.start(call.answer.status, headers)
        await self.responder.write(data)

    def note_event_id(self, data: bytes) -> None:
        """Remember the last event that the client has been sent."""
        found = EVENT_ID.findall(data)
        if found:
            self.progress.last_event_id = found[-1].decode("latin-1")


class HeldLoad:
    """The load that one attempt counts for at its endpoint."""

    __slots__ = ("choice", "endpoint_id", "fleet", "memory_tokens", "read")

    def __init__(
        self,
        fleet: fleet_module.FleetState,
        endpoint_id: str,
        choice: placement.Choice,
        terms: gateway.RequestMetadata,
    ) -> None:
        self.fleet = fleet
        self.endpoint_id = endpoint_id
        self.choice = choice
        self.memory_tokens = terms.prompt_tokens + terms.output_tokens
        self.read = False

    def note_first_event(self) -> None:
        """Note that the prompt has been read."""
        if not self.read:
            self.read = True
            self.fleet.loads.record_prefill(self.endpoint_id, self.choice.unread_tokens)

    def end(self) -> None:
        """Note the end of the attempt."""
        unread_left = 0 if self.read else self.choice.unread_tokens
        self.fleet.loads.finish_request(self.endpoint_id, self.memory_tokens, unread_left)


def choose_service(route: gateway.Route, request_id: str) -> str:
    """Return the service of a request, by the weights of its route."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = identifiers.stable_hash(route.name, request_id) / 2.0**64 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def split_events(data: bytes) -> tuple[bytes, bytes]:
    """Return the whole events and the rest."""
    end = 0
    for match in EVENT_END.finditer(data):
        end = match.end()
    return data[:end], data[end:]
