"""Forwards a client's request to endpoints and relays the response."""

import asyncio
import typing

from masticward import errors, events, logs
from masticward.gateway import (
    attempts,
    calls,
    crash_detector,
    event_stream,
    gateway_metrics,
    overlap,
    placer,
    request_reports,
    response_buffers,
    sources,
)
from masticward.gateway import fleet as fleet_module
from masticward.models import gateway
from masticward.state import buffered_bytes, placement
from masticward.transport import http1, http1_server
from masticward.utils import clocks, identifiers

# A response begins at least this long before the client's deadline, to arrive in time.
RESPONSE_MARGIN_SECONDS = 0.03
# Shortest remaining time with which an attempt is made.
MIN_ATTEMPT_SECONDS = 0.02
TIMER_RESOLUTION_SECONDS = 0.001
STALE_PROOF_RETRY_AFTER_SECONDS = 0.5
ENDED_UNBEGUN = "the stream ended before its first byte"
STOPPING_REASON = "the gateway stops before the request can end"
# Clients take these as "not run" and send the request again.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A healthy endpoint begins its response within its expected time multiplied by the factor, plus the
# margin. An endpoint that loses a response sends nothing at all; one that only pauses goes on. The
# stream margin is below 2 s, because clients abandon a stream after a gap of 2 s or more.
RESPONSE_TIMEOUT_FACTOR = 3.0
STREAM_RESPONSE_MARGIN_SECONDS = 1.2
PLAIN_RESPONSE_MARGIN_SECONDS = 0.35
# Longest gap within a response before another endpoint is looked for; the services' specifications
# allow gaps of 0.3 to 0.4 s.
READ_TIMEOUT_SECONDS = 1.2
# After a longer write to the client, the next events have arrived in the meantime, so that they do
# not show the endpoint's pace.
MAX_WRITE_SECONDS = 0.005
# Longest incomplete event of a resumable stream that is held in memory.
MAX_EVENT_BYTES = 1024 * 1024
# Of a longer event of another stream, only the last bytes are kept to find its end.
KEPT_EVENT_BYTES = 64 * 1024
LOGGER = logs.get_logger(__name__)


class RefusalError(errors.MasticwardError):
    """Raised when the gateway refuses a request itself; ``status`` is the HTTP status.

    ``closes_connection`` tells the client to open another connection, which may lead to another
    gateway.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_seconds: float | None = None,
        closes_connection: bool = False,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_seconds = retry_after_seconds
        self.closes_connection = closes_connection


class RequestProgress:
    """Progress of a request over its attempts.

    ``sends`` counts attempts that were sent, ``runs`` those that may have run. Over the connections
    of ``used_channels`` the request was sent.
    """

    __slots__ = (
        "endpoint_id",
        "last_event_id",
        "response_started",
        "runs",
        "sends",
        "used_channels",
    )

    def __init__(self, last_event_id: str | None) -> None:
        self.runs = 0
        self.sends = 0
        self.used_channels: set[http1.Channel] = set()
        # The endpoint whose response is awaited or read, or was last.
        self.endpoint_id: str | None = None
        self.response_started = False
        self.last_event_id = last_event_id


class RequestDependencies:
    """Objects that all requests of a process share."""

    __slots__ = (
        "codec",
        "crash_detector",
        "endpoint_client",
        "fleet",
        "metrics",
        "placer",
        "reporter",
        "response_buffers",
    )

    def __init__(
        self,
        fleet: fleet_module.FleetState,
        codec: sources.RequestCodec,
        request_placer: placer.Placer,
        endpoint_client: calls.EndpointClient,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self.fleet = fleet
        self.codec = codec
        self.placer = request_placer
        self.endpoint_client = endpoint_client
        self.crash_detector = crash_detector.CrashDetector(fleet, endpoint_client.pool)
        self.metrics = metrics
        self.reporter = request_reports.RequestReporter(fleet, codec, metrics)
        # Used if clients and endpoints may read slowly; None if these are never expected.
        self.response_buffers: response_buffers.ResponseBuffers | None = None


def require_fresh_proof(fleet: fleet_module.FleetState) -> None:
    """Raise RefusalError if the latest proof is too old to exclude revoked API keys."""
    if not fleet.proof_is_fresh(clocks.boot_time()):
        raise RefusalError(503, "API keys cannot be verified", STALE_PROOF_RETRY_AFTER_SECONDS)


class ProxiedRequest(overlap.AttemptOwner):
    """A client's request, forwarded to one endpoint after another until it is answered."""

    def __init__(
        self,
        dependencies: RequestDependencies,
        metadata: gateway.RequestMetadata,
        route: gateway.Route,
        team: str | None,
        request: http1_server.Request,
        responder: http1_server.Responder,
    ) -> None:
        self.dependencies = dependencies
        self.fleet = dependencies.fleet
        self.metadata = metadata
        self.route = route
        self.team = team
        self.request = request
        self.responder = responder
        # When the whole request was received.
        self.received_at = clocks.boot_time()
        self.progress = RequestProgress(metadata.last_event_id)
        self.overlap = overlap.Overlap(self)
        # How long the next endpoint that refuses is left alone.
        self.refusal_pause_seconds = overlap.SEARCH_PAUSE_SECONDS
        # The latest failure of an endpoint, which is passed on if no further attempt is granted.
        self.kept_failure: calls.KeptAnswer | None = None
        self.service = choose_service(route, metadata.request_id)
        self.deadline = min(metadata.deadline, metadata.arrived_at + route.timeout_seconds)
        # Of the response until its first byte is sent, then ``deadline``.
        self.response_deadline = find_response_deadline(metadata, route)
        self.time_limit = asyncio.timeout(None)
        self.waiting_request = build_waiting_request(
            metadata, route, self.service, team, self.response_deadline
        )
        # Set if clients and endpoints may read slowly.
        self.buffer: response_buffers.ResponseBuffer | None = None
        if self.fleet.settings.limited_memory and dependencies.response_buffers is not None:
            self.waiting_request.body_bytes = len(request.body)
            self.buffer = dependencies.response_buffers.open(
                responder, metadata.request_id, self.deadline
            )

    async def run(self) -> None:
        """Serve the request; raise RefusalError if it fails before a response was started."""
        self.fleet.budget(self.service).record_request(clocks.boot_time())
        self.fleet.rollouts.record_request(self.service)
        try:
            async with self.time_limit:
                self.schedule_time_limit()
                while not await self.attempt():
                    pass
        except errors.SlowClientError as error:
            self.cut_slow_client(error)
        except RefusalError as refusal:
            if self.progress.response_started:
                self.record_cut_stream("cut by endpoint", refusal.reason)
                return
            if refusal.status != 502 or self.kept_failure is None:
                raise
            await self.send_failure(self.kept_failure)
        except TimeoutError:
            if self.progress.response_started:
                self.record_cut_stream(*self.deadline_cause())
                return
            if self.kept_failure is not None:
                await self.send_failure(self.kept_failure)
                return
            if self.progress.runs:
                raise RefusalError(504, "deadline passed after a send") from None
            raise RefusalError(503, "deadline passed", placer.MIN_RETRY_AFTER_SECONDS) from None
        finally:
            self.overlap.end(overlap.Outcome.REQUEST_ENDED)
            self.drop_failure()
            if self.buffer is not None:
                self.buffer.close()

    def cut_slow_client(self, error: errors.SlowClientError) -> None:
        """Count, log and cut a response that its client takes too slowly."""
        self.record_cut_stream("cut for slow client", str(error))
        if self.buffer is not None:
            self.buffer.cut(error, self.progress.endpoint_id)

    def schedule_time_limit(self) -> None:
        """Let the request end at ``response_deadline``."""
        remaining_seconds = self.response_deadline - clocks.boot_time()
        # A timer may fire early by its resolution.
        self.time_limit.reschedule(
            asyncio.get_running_loop().time() + remaining_seconds + TIMER_RESOLUTION_SECONDS
        )

    def begin_response(self) -> None:
        """Give a response whose first byte is sent the client's whole time."""
        self.progress.response_started = True
        self.response_deadline = self.deadline
        self.schedule_time_limit()
        self.drop_failure()

    def drop_failure(self) -> None:
        """Give back the memory of a failure that is not passed on."""
        if self.kept_failure is not None:
            self.kept_failure.release()
            self.kept_failure = None

    async def attempt(self) -> bool:
        """Make one attempt, or go on with one that was sent beside it.

        Return False if another should follow.
        """
        attempt = await self.overlap.take_second()
        if attempt is None:
            attempt = self.send(await self.acquire(self.waiting_request))
        self.progress.endpoint_id = attempt.endpoint.id
        try:
            return await self.serve(attempt)
        except errors.EndpointNotStartedError as error:
            self.progress.runs -= 1
            self.record_not_started(attempt.endpoint, error, attempt)
            self.pause_refusing(attempt.endpoint)
            return False
        except errors.EndpointBrokenError as error:
            self.record_broken(attempt, error)
            if self.may_go_on():
                return False
            if self.progress.response_started:
                self.record_cut_stream("cut by endpoint", str(error))
                return True
            raise RefusalError(502, f"endpoint failed: {error}") from error
        except asyncio.CancelledError:
            self.record_abandoned(attempt)
            raise
        finally:
            self.finish(attempt)

    def record_broken(self, attempt: attempts.Attempt, error: errors.EndpointBrokenError) -> None:
        """Record an attempt whose endpoint gave no whole answer."""
        self.fleet.health.record_failure(attempt.endpoint.id, clocks.boot_time())
        self.record_failed_attempt(attempt.endpoint, "broken", str(error), attempt)
        # A rejected response is no sign of a crash, which breaks several at once.
        broken = attempt.call is None or not self.rejection(attempt)
        self.record_version(attempt, failed=True, broken=broken)
        if not attempt.answer_begun:
            self.dependencies.crash_detector.record_unanswered(
                attempt.endpoint, self.metadata.request_id, self.waiting_request.part_keys
            )

    def record_abandoned(self, attempt: attempts.Attempt) -> None:
        """Record an attempt that is closed although its endpoint may still answer."""
        self.record_version_time(attempt, ended=False)
        if not attempt.answer_begun:
            self.dependencies.crash_detector.record_abandoned(
                attempt.endpoint, self.metadata.request_id, self.waiting_request.part_keys
            )

    def record_version(self, attempt: attempts.Attempt, failed: bool, broken: bool = False) -> None:
        """Record a response for the rollout of its endpoint's version, if there is one."""
        self.fleet.rollouts.record_end(
            attempt.endpoint,
            self.route.name,
            failed,
            attempt.sent_at,
            clocks.boot_time(),
            broken,
        )

    def record_version_time(self, attempt: attempts.Attempt, ended: bool = True) -> None:
        """Record the time that an attempt has taken for the rollout of its endpoint's version.

        Unless it has ``ended``, it counts only if the response is late.
        """
        now = clocks.boot_time()
        choice = attempt.grant.choice
        if not attempt.grant.reservation.prefilled:
            # A machine that says that it is slow says nothing of the version.
            self.fleet.rollouts.record_time(
                attempt.endpoint,
                self.route.name,
                now - attempt.sent_at,
                choice.expected_seconds * choice.time_factor,
                now,
                ended,
            )

    def finish(self, attempt: attempts.Attempt) -> None:
        """Release what an attempt holds."""
        attempt.close()
        whole = attempt.succeeded and not attempt.resumes
        self.fleet.run_times.end(attempt.run, clocks.boot_time(), whole)
        self.release(attempt.grant.choice, attempt.grant.reservation)

    async def acquire(self, waiting_request: placer.WaitingRequest) -> attempts.AttemptGrant:
        """Wait for an endpoint to which a connection exists or can be opened.

        Raise RefusalError if there is none in time or no attempt may be made.
        """
        while True:
            placed = await self.dependencies.placer.place(waiting_request)
            if isinstance(placed, placer.PlacementRefusal):
                self.log_no_endpoint(placed)
                raise self.final_refusal(placed.reason, placed.retry_after_seconds)
            reservation = attempts.LoadReservation(
                self.fleet, placed.endpoint.id, placed, self.metadata, waiting_request.body_bytes
            )
            try:
                connection = await self.connect(placed.endpoint)
            except errors.EndpointNotStartedError as error:
                self.release(placed, reservation)
                waiting_request.excluded_endpoint_ids.add(placed.endpoint.id)
                self.dependencies.crash_detector.record_unreachable(placed.endpoint)
                self.record_not_started(placed.endpoint, error)
            except BaseException:
                self.release(placed, reservation)
                raise
            else:
                if connection is not None:
                    return attempts.AttemptGrant(placed, connection, reservation)
                self.release(placed, reservation)

    async def connect(self, endpoint: gateway.Endpoint) -> calls.Connection | None:
        """Return a connection for an attempt, which is charged to the retry budget.

        Return None if, since the request was placed, the endpoint has said that it wants no
        request, its version gets none or a part of the prompt has become suspected. Raise
        RefusalError if no attempt may be made.
        """
        # Let the event loop process a disconnect of the client that has already arrived, which
        # cancels this request. In a busy process it may be queued behind the request's own bytes.
        await asyncio.sleep(0)
        connection = await self.dependencies.endpoint_client.connect(
            endpoint, self.progress.used_channels
        )
        now = clocks.boot_time()
        if (
            not self.fleet.announcements.is_open(endpoint, now)
            or not self.fleet.quarantine.may_still_send(
                self.waiting_request.part_keys, self.metadata.request_id
            )
            or not self.fleet.allows_version(endpoint, now)
        ):
            self.dependencies.endpoint_client.pool.release(endpoint, connection.channel, None)
            return None
        try:
            if self.team is not None:
                require_fresh_proof(self.fleet)
                if self.fleet.team_of(self.metadata.api_key) != self.team:
                    raise RefusalError(401, "API key revoked")
            if self.response_deadline - now < MIN_ATTEMPT_SECONDS:
                raise self.final_refusal("deadline passed", placer.MIN_RETRY_AFTER_SECONDS)
            if not self.can_finish(now):
                raise self.final_refusal(STOPPING_REASON, placer.MIN_RETRY_AFTER_SECONDS)
            if self.progress.sends and not self.fleet.budget(self.service).take(
                now, self.fleet.known_gateway_count
            ):
                raise self.final_refusal("retry budget used up", placer.MAX_RETRY_AFTER_SECONDS)
        except RefusalError:
            connection.channel.abort()
            raise
        return connection

    def release(self, choice: placement.Choice, reservation: attempts.LoadReservation) -> None:
        """Release the load of an attempt, and end its test of suspected parts if it is one."""
        reservation.release()
        endpoint, request_id = choice.endpoint, self.metadata.request_id
        if not self.dependencies.crash_detector.is_checking(endpoint.id, request_id):
            self.fleet.quarantine.end_test(
                self.waiting_request.part_keys, request_id, endpoint.incarnation
            )

    def log_no_endpoint(self, refusal: placer.PlacementRefusal) -> None:
        """Log that the request got no endpoint."""
        LOGGER.log(
            events.Event.NO_ENDPOINT_IN_TIME,
            request_id=self.metadata.request_id,
            reason=refusal.reason,
            service=self.service,
            team=self.team,
            over_share=refusal.over_share,
            waited_ms=round((clocks.boot_time() - self.metadata.arrived_at) * 1000),
            expected_wait_ms=round(refusal.expected_wait_seconds * 1000),
            tokens_ahead=refusal.tokens_ahead,
            candidates=refusal.candidate_count,
            live_gateways=len(self.fleet.live_gateways),
        )

    def record_not_started(
        self,
        endpoint: gateway.Endpoint,
        error: errors.EndpointNotStartedError,
        attempt: attempts.Attempt | None = None,
    ) -> None:
        """Record an attempt that the endpoint certainly did not run; None if it was not sent."""
        if error.overloaded:
            self.fleet.health.record_shed(endpoint.id, clocks.boot_time())
        self.record_failed_attempt(endpoint, "not started", str(error), attempt)

    def final_refusal(self, reason: str, retry_after_seconds: float) -> RefusalError:
        """Return the refusal of a request that gets no further attempt."""
        if self.progress.runs:
            return RefusalError(502, f"{reason} after a failed attempt")
        return RefusalError(503, reason, retry_after_seconds)

    def record_cut_stream(self, outcome: str, reason: str) -> None:
        """Count and log a response that was started but not completed."""
        self.dependencies.reporter.report_cut(
            events.Event.STREAM_CUT, outcome, reason, self.describe_cut()
        )

    def deadline_cause(self) -> tuple[str, str]:
        """Return outcome and reason of a stream that was cut at the response deadline."""
        if self.metadata.deadline <= self.metadata.arrived_at + self.route.timeout_seconds:
            return "cut at deadline", "deadline of the caller"
        return "cut at route timeout", "timeout of the route"

    def describe_cut(self) -> request_reports.Cut:
        """Return what is known of the request if it ends now without a whole answer."""
        return request_reports.Cut(
            self.request,
            self.responder.stage,
            self.metadata,
            self.route,
            self.responder,
            self.describe_attempts(),
        )

    def describe_attempts(self) -> dict[str, typing.Any]:
        """Return the service, and the endpoint of the latest attempt if there was one."""
        described: dict[str, typing.Any] = {"service": self.service, "runs": self.progress.runs}
        if self.progress.endpoint_id is not None:
            described["endpoint"] = self.progress.endpoint_id
        return described

    def may_retry(self) -> bool:
        """Return whether the route allows another run, and events sent so far one that goes on."""
        if self.progress.response_started and self.progress.last_event_id is None:
            return False
        return self.route.retryable and self.progress.runs < self.route.max_attempts

    def may_go_on(self) -> bool:
        """Return whether the request has another attempt, or may get one."""
        return self.overlap.second is not None or self.may_retry()

    def record_failed_attempt(
        self,
        endpoint: gateway.Endpoint,
        outcome: str,
        detail: str,
        attempt: attempts.Attempt | None,
    ) -> None:
        """Count and log a failed attempt; None if it was not sent."""
        now = clocks.boot_time()
        self.dependencies.metrics.failed_attempts.labels(outcome).inc()
        LOGGER.log(
            events.Event.GATEWAY_ATTEMPT_FAILED,
            request_id=self.metadata.request_id,
            endpoint=endpoint.id,
            outcome=outcome,
            detail=detail,
            runs=self.progress.runs,
            sent_ms_ago=None if attempt is None else round((now - attempt.sent_at) * 1000),
            left_ms=round((self.metadata.deadline - now) * 1000),
            route=self.route.name,
            received_bytes=0 if attempt is None else attempt.received_bytes,
            connection=None if attempt is None else attempt.grant.connection.channel.number,
            shared_parts=[part.id for part in self.metadata.parts[:-1]],
        )

    def send(self, grant: attempts.AttemptGrant) -> attempts.Attempt:
        """Count, log and return a new attempt; the request is sent when its head is awaited."""
        choice, endpoint = grant.choice, grant.choice.endpoint
        now = clocks.boot_time()
        # A stream may use the time up to its end; any other response has to arrive in time.
        streams = self.route.kind is gateway.RequestKind.STREAM
        remaining_seconds = (self.deadline if streams else self.response_deadline) - now
        self.progress.sends += 1
        self.progress.runs += 1
        self.waiting_request.excluded_endpoint_ids.add(endpoint.id)
        beside = self.overlap.first if self.overlap.search is not None else None
        LOGGER.log(
            events.Event.ATTEMPT_SENT,
            request_id=self.metadata.request_id,
            endpoint=endpoint.id,
            team=self.team,
            waited_ms=round((now - self.metadata.arrived_at) * 1000),
            expected_ms=round(choice.expected_seconds * 1000),
            cost_ms=round(choice.cost_seconds * 1000),
            slowness=round(choice.slowness, 2),
            time_factor=round(choice.time_factor, 2),
            unread_tokens=choice.unread_tokens,
            prompt_tokens=self.metadata.prompt_tokens,
            owner=choice.owner_id,
            attempt=self.progress.sends,
            beside=beside.endpoint.id if beside is not None else None,
            config=self.fleet.configuration.version if self.fleet.configuration else None,
        )
        sending = self.dependencies.endpoint_client.call(
            endpoint,
            self.metadata,
            self.team,
            self.request.body,
            int(remaining_seconds * 1000),
            self.progress.last_event_id,
            grant.connection,
            self.progress.used_channels,
        )
        run = self.fleet.run_times.start(self.route.name, self.metadata.output_tokens, now)
        resumes = self.progress.last_event_id is not None
        attempt = attempts.Attempt(grant, sending, run, now, resumes)
        attempt.watches_upload = (
            self.buffer is not None and len(self.request.body) > buffered_bytes.SMALL_BODY_BYTES
        )
        return attempt

    async def serve(self, attempt: attempts.Attempt) -> bool:
        """Relay the response of an attempt; return False if another attempt should follow."""
        call = await self.overlap.wait(
            attempt.receive_head,
            clocks.boot_time(),
            self.response_timeout_seconds(attempt.grant.choice),
            attempt,
        )
        reason = self.rejection(attempt)
        if reason and self.overlap.second is not None:
            raise errors.EndpointBrokenError(reason)
        if not reason:
            self.overlap.end()
        if not self.may_retry() and not call.exchange.channel.unsent_bytes:
            self.request.drop_body()
        return await self.relay(attempt, call)

    def rejection(self, attempt: attempts.Attempt) -> str:
        """Return why the head of an attempt's response doesn't serve the request, "" if it does."""
        call = attempt.call
        if call is None:
            return "no response"
        status, response_metadata = call.response.status, call.response_metadata
        if response_metadata.encoded or (200 <= status < 300 and not response_metadata.signed):
            return "response was not produced by the endpoint"
        if self.progress.response_started and not (
            status == 200 and event_stream.is_event_stream(call.response.headers)
        ):
            return f"status {status} to a resumed stream"
        if status >= 500 or status in NOT_RUN_STATUSES:
            return f"status {status}"
        return ""

    def has_begun(self, attempt: attempts.Attempt) -> bool:
        """Return whether what was read ahead of an attempt's body is enough to rely on it.

        Of a stream that is its first event. Raise EndpointBrokenError if it doesn't follow the last
        one, or if the stream ends within it.
        """
        if self.route.kind is not gateway.RequestKind.STREAM or attempt.call is None:
            return bool(attempt.ahead) or attempt.ended
        buffer = event_stream.EventBuffer()
        complete_events = buffer.feed(bytes(attempt.ahead))
        self.require_order(event_stream.find_ids(complete_events))
        if attempt.ended:
            if attempt.call.exchange.unframed and not attempt.ahead:
                raise errors.EndpointBrokenError(ENDED_UNBEGUN)
            self.require_whole_event(buffer, attempt.call)
        return attempt.ended or event_stream.EVENT_FIELD.search(complete_events) is not None

    def response_timeout_seconds(self, choice: placement.Choice) -> float:
        """Return the time within which a healthy endpoint begins its response."""
        # A fast endpoint may become slow for a moment after the send.
        slowness = choice.slowness * max(1.0, choice.time_factor)
        expected_seconds = choice.expected_seconds * slowness * RESPONSE_TIMEOUT_FACTOR
        if self.route.kind is gateway.RequestKind.STREAM:
            return expected_seconds + STREAM_RESPONSE_MARGIN_SECONDS
        return expected_seconds + PLAIN_RESPONSE_MARGIN_SECONDS

    async def acquire_replacement(self) -> attempts.AttemptGrant | None:
        """Wait for another endpoint with a connection and retry budget; None if there is none."""
        if not self.allows_send(clocks.boot_time()):
            return None
        waiting_request = placer.WaitingRequest(
            self.metadata, self.route, self.service, self.team, self.response_deadline
        )
        waiting_request.excluded_endpoint_ids = self.waiting_request.excluded_endpoint_ids
        waiting_request.body_bytes = self.waiting_request.body_bytes
        try:
            return await self.acquire(waiting_request)
        except RefusalError:
            return None

    def can_finish(self, now: float) -> bool:
        """Return whether an attempt that is made now ends before the process does."""
        return self.fleet.can_finish(
            self.route, self.metadata.output_tokens, self.deadline, now, self.received_at
        )

    def allows_send(self, now: float) -> bool:
        """Return whether time and retry budget allow another attempt now."""
        return (
            self.response_deadline - now >= MIN_ATTEMPT_SECONDS
            and self.can_finish(now)
            and self.fleet.budget(self.service).allows(now, self.fleet.known_gateway_count)
        )

    def end_refused(self, attempt: attempts.Attempt, error: errors.EndpointNotStartedError) -> None:
        """Record and close an attempt that has not run; its endpoint may be tried again later."""
        self.progress.runs -= 1
        self.record_not_started(attempt.endpoint, error, attempt)
        self.finish(attempt)
        self.pause_refusing(attempt.endpoint)

    def pause_refusing(self, endpoint: gateway.Endpoint) -> None:
        """Leave an endpoint alone for a time that has refused the request."""
        asyncio.get_running_loop().call_later(
            self.refusal_pause_seconds,
            self.waiting_request.excluded_endpoint_ids.discard,
            endpoint.id,
        )
        # Each refusal has cost a part of the retry budget, which others need as well.
        self.refusal_pause_seconds *= 2.0
        if self.progress.response_started:
            # Such a response cannot be refused any more, so it waits until the endpoint is tried.
            self.waiting_request.refuse_at = min(
                self.deadline, clocks.boot_time() + self.refusal_pause_seconds
            )

    def end_failed(self, attempt: attempts.Attempt, error: errors.EndpointBrokenError) -> None:
        """Record and close an attempt that may have run."""
        self.record_broken(attempt, error)
        self.finish(attempt)

    def end_unused(self, attempt: attempts.Attempt) -> None:
        """Close an attempt whose response nobody needs."""
        self.record_abandoned(attempt)
        self.finish(attempt)

    def report_overlap(self, overlapping: overlap.Overlap, outcome: overlap.Outcome) -> None:
        """Count and log how an overlap ended."""
        first, second = overlapping.first, overlapping.second
        if first is None or second is None:
            return
        now = clocks.boot_time()
        kept = overlap.KEPT_ATTEMPTS[outcome]
        self.dependencies.metrics.overlaps.labels(kept, outcome.value).inc()
        LOGGER.log(
            events.Event.ATTEMPTS_OVERLAPPED,
            request_id=self.metadata.request_id,
            kept=kept,
            outcome=outcome.value,
            first=first.endpoint.id,
            second=second.endpoint.id,
            silent_ms=round((now - overlapping.silent_since) * 1000),
            overlap_ms=round((now - second.sent_at) * 1000),
            left_ms=round((self.metadata.deadline - now) * 1000),
            last_event_id=self.progress.last_event_id,
        )

    async def relay(self, attempt: attempts.Attempt, call: calls.EndpointCall) -> bool:
        """Relay a response to the client; return False if another attempt should follow."""
        response = call.response
        succeeded = 200 <= response.status < 300
        reason = self.rejection(attempt)
        if reason and (
            succeeded or call.response_metadata.encoded or self.progress.response_started
        ):
            raise errors.EndpointBrokenError(reason)
        if response.status >= 500:
            self.record_version(attempt, failed=True)
        if succeeded and self.route.kind is gateway.RequestKind.STREAM:
            await self.relay_stream(attempt, call)
            self.record_success(attempt, call)
            return True
        if response.status >= 500 and self.may_retry():
            await self.discard_failure(attempt, call)
            self.fleet.health.record_failure(call.endpoint.id, clocks.boot_time())
            self.record_failed_attempt(
                call.endpoint, "failed", f"status {response.status}", attempt
            )
            return False
        body = await self.read_body(attempt, call)
        if response.status >= 500:
            self.fleet.health.record_failure(call.endpoint.id, clocks.boot_time())
        if response.status in NOT_RUN_STATUSES and not self.route.retryable:
            raise RefusalError(502, f"status {response.status}, but the request may have run")
        if succeeded:
            self.record_answer_begun(attempt)
        headers = self.dependencies.codec.response_headers(response.headers)
        self.overlap.end()
        self.begin_response()
        self.release_endpoint(attempt, call)
        await self.responder.send(response.status, headers, body)
        if response.status < 500:
            self.record_success(attempt, call)
        else:
            self.record_answered(call, clocks.boot_time())
        return True

    async def discard_failure(self, attempt: attempts.Attempt, call: calls.EndpointCall) -> None:
        """Read a failure after which another attempt may follow; keep one that may be passed on."""
        failure = calls.KeptAnswer(call)
        try:
            attempt.received_bytes = await call.discard_body(failure)
        except BaseException:
            failure.release()
            raise
        if (
            not failure.whole
            or not call.response_metadata.signed
            or call.response.status in NOT_RUN_STATUSES
        ):
            failure.release()
            return
        self.drop_failure()
        self.kept_failure = failure

    async def send_failure(self, failure: calls.KeptAnswer) -> None:
        """Pass on an endpoint's failure that was kept."""
        self.overlap.end(overlap.Outcome.REQUEST_ENDED)
        self.progress.response_started = True
        response = failure.call.response
        headers = self.dependencies.codec.response_headers(response.headers)
        try:
            await self.responder.send(response.status, headers, failure.body)
        except errors.SlowClientError as error:
            self.cut_slow_client(error)
            return
        self.record_answered(failure.call, clocks.boot_time())

    def record_answer_begun(self, attempt: attempts.Attempt) -> None:
        """Record that the request has not crashed its endpoint."""
        attempt.answer_begun = True
        self.fleet.quarantine.record_answer(self.waiting_request.part_keys, clocks.boot_time())

    async def read_body(self, attempt: attempts.Attempt, call: calls.EndpointCall) -> bytearray:
        """Return the whole body of a response that is not streamed.

        Raise EndpointBrokenError if it breaks off, is too long or does not fit into the memory.
        """
        call.require_room()
        while (
            data := await self.overlap.wait(
                attempt.next_data, clocks.boot_time(), READ_TIMEOUT_SECONDS, attempt
            )
        ) is not None:
            self.overlap.end()
            if self.buffer is not None:
                await self.buffer.make_room(call, len(data), len(call.body) + len(data))
            call.hold(len(call.body) + len(data))
            call.body += data
            attempt.received_bytes = len(call.body)
        return call.body

    def record_success(self, attempt: attempts.Attempt, call: calls.EndpointCall) -> None:
        """Count and log a complete response of a healthy endpoint."""
        now = clocks.boot_time()
        attempt.succeeded = True
        self.record_version(attempt, failed=False)
        if self.route.kind is not gateway.RequestKind.STREAM:
            self.record_version_time(attempt)
        self.fleet.health.record_success(call.endpoint.id, now)
        self.record_answered(call, now)

    def record_answered(self, call: calls.EndpointCall, now: float) -> None:
        """Count and log a response that was passed on, whatever its status."""
        self.dependencies.metrics.count_outcome("answered", call.response.status)
        LOGGER.log(
            events.Event.GATEWAY_REQUEST_ANSWERED,
            request_id=self.metadata.request_id,
            endpoint=call.endpoint.id,
            route=self.route.name,
            status=call.response.status,
            total_ms=round((now - self.metadata.arrived_at) * 1000),
        )

    async def relay_stream(self, attempt: attempts.Attempt, call: calls.EndpointCall) -> None:
        """Relay events as they arrive; only complete events if the stream may be resumed.

        Only a complete event counts as progress, not a byte or a comment. Raise
        EndpointBrokenError if the stream ends within an event.
        """
        buffer = event_stream.EventBuffer()
        reservation = attempt.grant.reservation
        usage = call.exchange.channel.usage
        silent_since = clocks.boot_time()
        # Whether the time since ``silent_since`` is the endpoint's own pause between two events.
        is_pause = False
        if self.buffer is not None:
            self.buffer.begin_stream()
        while True:
            waited_seconds = usage.waited_seconds
            data = await self.overlap.wait(
                attempt.next_data, silent_since, READ_TIMEOUT_SECONDS, attempt
            )
            silent_since += usage.waited_seconds - waited_seconds
            if not reservation.prefilled:
                self.record_version_time(attempt)
                reservation.record_first_event()
                now = clocks.boot_time()
                record_first_event(self.fleet, reservation.choice, attempt.sent_at, now)
                self.dependencies.metrics.first_event.observe(now - self.metadata.arrived_at)
            if data is None:
                break
            attempt.received_bytes += len(data)
            complete_events = buffer.feed(data)
            if not attempt.answer_begun and event_stream.EVENT_FIELD.search(complete_events):
                self.record_answer_begun(attempt)
            if self.route.resumable:
                data = complete_events
                if len(buffer.incomplete) > MAX_EVENT_BYTES:
                    raise errors.EndpointBrokenError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
            else:
                buffer.keep_last(KEPT_EVENT_BYTES)
            if self.buffer is not None:
                silent_since += await self.buffer.make_room(
                    call, len(data), len(data) + len(buffer.incomplete)
                )
            await self.hold_stream(call, len(data), len(buffer.incomplete))
            if self.route.resumable:
                # Another attempt must not go on after events for which there was no memory.
                self.record_event_ids(data)
            has_event = event_stream.EVENT_FIELD.search(data) is not None
            if has_event:
                read_at = clocks.boot_time()
                if is_pause:
                    self.fleet.speeds.record_gap(call.endpoint.id, read_at - silent_since, read_at)
                # The other attempt would send this event once more.
                self.overlap.end()
            await self.write_to_client(call, data)
            if has_event:
                silent_since = clocks.boot_time()
                is_pause = silent_since - read_at < MAX_WRITE_SECONDS
        if call.exchange.unframed and not attempt.received_bytes:
            raise errors.EndpointBrokenError(ENDED_UNBEGUN)
        self.require_whole_event(buffer, call)
        self.overlap.end()
        if self.route.resumable:
            await self.write_to_client(call, bytes(buffer.incomplete))
        await self.start_response(call)
        self.release_endpoint(attempt, call)
        await self.responder.end()

    async def hold_stream(
        self, call: calls.EndpointCall, data_bytes: int, incomplete_bytes: int
    ) -> None:
        """Hold memory for what a slow client has not read, and for what waits behind it.

        Raise EndpointBrokenError if it does not fit. What a client gets at once, which has read all
        before, is in memory already: it counts as a small answer then.
        """

        def needed_bytes() -> int:
            unread_bytes = call.exchange.channel.protocol.unread_bytes
            return self.responder.unsent_bytes + data_bytes + incomplete_bytes + unread_bytes

        if self.buffer is not None:
            self.buffer.hold(call, needed_bytes())
            return
        size = needed_bytes()
        held_body = call.held_body
        if not held_body.memory.fits(held_body.reserved_bytes, size):
            # The transport writes at the end of a pass of the event loop.
            await asyncio.sleep(0)
            size = needed_bytes()
            if not self.responder.unsent_bytes:
                size = max(incomplete_bytes, response_buffers.small(size))
        call.hold(size)

    def release_endpoint(self, attempt: attempts.Attempt, call: calls.EndpointCall) -> None:
        """Release an endpoint whose response was read to its end, before its slow client has it."""
        if self.buffer is not None:
            attempt.grant.reservation.release()
            call.release_connection()

    async def write_to_client(self, call: calls.EndpointCall, data: bytes) -> None:
        """Write data of a stream to the client, the response head before the first data."""
        if not data:
            return
        await self.start_response(call)
        await self.responder.write(data)

    async def start_response(self, call: calls.EndpointCall) -> None:
        """Write the head of a stream's response to the client unless that was done."""
        if not self.progress.response_started:
            self.begin_response()
            headers = self.dependencies.codec.response_headers(call.response.headers)
            await self.responder.start(call.response.status, headers)

    def require_whole_event(
        self, buffer: event_stream.EventBuffer, call: calls.EndpointCall
    ) -> None:
        """Raise EndpointBrokenError if a stream that has ended did so within an event.

        The end of a connection may also end a response without a length, whole or not.
        """
        if buffer.ends_in_event and event_stream.is_event_stream(call.response.headers):
            raise errors.EndpointBrokenError("the stream ended within an event")

    def record_event_ids(self, data: bytes) -> None:
        """Store the ID of the last event in data that is about to be sent to the client.

        Raise EndpointBrokenError if a resumed stream does not go on after the last event.
        """
        event_ids = event_stream.find_ids(data)
        if event_ids:
            self.require_order(event_ids)
            self.progress.last_event_id = event_ids[-1]

    def require_order(self, event_ids: list[str]) -> None:
        """Raise EndpointBrokenError unless events go on after the last one that was sent."""
        previous_id = self.progress.last_event_id
        if (
            event_ids
            and self.progress.response_started
            and previous_id is not None
            and not event_stream.follows(event_ids[0], previous_id)
        ):
            raise errors.EndpointBrokenError(f"event {event_ids[0]} follows {previous_id}")


def find_response_deadline(metadata: gateway.RequestMetadata, route: gateway.Route) -> float:
    """Return until when the first byte of a response must be sent."""
    return min(
        metadata.deadline - RESPONSE_MARGIN_SECONDS, metadata.arrived_at + route.timeout_seconds
    )


def build_waiting_request(
    metadata: gateway.RequestMetadata,
    route: gateway.Route,
    service: str,
    team: str | None,
    response_deadline: float,
) -> placer.WaitingRequest:
    """Return a request as it waits for an endpoint."""
    target_seconds = route.target_latency_seconds
    refuse_at = metadata.arrived_at + placer.MAX_WAIT_FRACTION * target_seconds
    return placer.WaitingRequest(metadata, route, service, team, min(response_deadline, refuse_at))


def choose_service(route: gateway.Route, request_id: str) -> str:
    """Return the service of a request by the weights of its route; stable for a request ID."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = identifiers.stable_hash(route.name, request_id) / 2.0**64 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def record_first_event(
    fleet: fleet_module.FleetState, choice: placement.Choice, sent_at: float, now: float
) -> None:
    """Record the time to a first event against the one that the endpoint's figures explain.

    These are the figure at the send and the present one, which the response's head has stated.
    """
    endpoint_id = choice.endpoint.id
    measured_seconds = now - sent_at
    time_factor = max(choice.time_factor, fleet.speeds.time_factor(endpoint_id, now))
    expected_seconds = choice.expected_seconds * time_factor
    fleet.health.record_latency(endpoint_id, measured_seconds, expected_seconds, now)
    fleet.speeds.record_first_event(endpoint_id, measured_seconds, expected_seconds, now)
