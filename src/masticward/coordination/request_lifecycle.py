"""The lifecycle of one request, from its admission to its outcome."""

import asyncio
import contextlib
import time

from masticward import errors, events, logs
from masticward.coordination import call_claim, request_context, request_trace, response_writer
from masticward.models import configuration as configuration_models
from masticward.models import work
from masticward.protocol import attempt_client
from masticward.state import claims as claims_state
from masticward.state import entry_queue, explain, frames, refusals, route_table
from masticward.transport import response_sink
from masticward.utils import clocks, identifiers

# A plain response up to this size is sent only when it is complete, so that a failure before its
# end is answered with 502 instead of a broken connection.
MAXIMUM_BUFFERED_RESPONSE_BYTES = 64 * 1024
# How long the entry waits for the outcome of a plain call after the caller's deadline. The caller
# is answered with 504 at the deadline; only the claim of the idempotency key needs the outcome.
OUTCOME_GRACE_SECONDS = 30.0
# An idempotent call is given up after this many failed attempts, any other call after one.
MAXIMUM_FAILED_ATTEMPTS = 2
INITIAL_BACKOFF_SECONDS = 0.02
MAXIMUM_BACKOFF_SECONDS = 0.5
ANSWERED = "answered"
REPLAYED = "replayed"
CALLER_GONE = "caller-gone"
OUT_OF_SERVICE_REASONS = frozenset((work.RefusalReason.ZONE_OUT, work.RefusalReason.INSTANCE_OUT))

logger = logs.get_logger(__name__)


class RequestLifecycle:
    """One admitted request with its body, its attempts and its outcome.

    ``run`` covers the whole lifecycle. The caller's connection interrupts it through
    ``on_caller_gone`` and ``on_deadline``, the entry's queue through ``on_evicted``.
    """

    __slots__ = (
        "attempt",
        "backoff_count",
        "call",
        "call_claim",
        "context",
        "eviction_error",
        "failed_attempts",
        "idempotency_key",
        "refusal_count",
        "reservation",
        "route",
        "sink",
        "task",
        "ticket_count",
        "ticket_id",
        "trace",
    )

    def __init__(
        self,
        context: request_context.RequestContext,
        *,
        call: work.CallRequest,
        route: route_table.Route,
        reservation: entry_queue.QueueReservation,
        sink: response_sink.ResponseSink,
        record: explain.RequestRecord,
        idempotency_key: str,
    ) -> None:
        self.context = context
        self.call = call
        self.route = route
        self.reservation = reservation
        self.sink = sink
        self.idempotency_key = idempotency_key
        self.trace = request_trace.RequestTrace(record, context.metrics)
        self.call_claim = call_claim.CallClaim(context.claim_service)
        self.attempt: attempt_client.AttemptRequest | None = None
        self.eviction_error: errors.RequestRefusedError | None = None
        self.task: asyncio.Task[None] | None = None
        self.failed_attempts = 0
        self.refusal_count = 0
        self.backoff_count = 0
        self.ticket_count = 0
        self.ticket_id = ""

    @property
    def is_plain(self) -> bool:
        """Whether calls of the service run to completion even if their caller disconnects."""
        return self.route.service.kind is configuration_models.ServiceKind.PLAIN

    @property
    def in_flight(self) -> bool:
        """Whether an attempt was sent and has neither been refused nor failed."""
        return self.attempt is not None and self.attempt.sent

    @property
    def may_have_run(self) -> bool:
        """Whether the endpoint may have received the call."""
        return self.failed_attempts > 0 or self.in_flight

    async def run(self) -> None:
        """Process the request and send its response or error to the caller."""
        try:
            await self.run_with_retries()
        except errors.RequestRefusedError as error:
            await self.end_refused(error)
        except errors.OutcomeUnknownError as error:
            await self.end_unknown(error)
        except (errors.CallerGoneError, asyncio.CancelledError) as error:
            self.end_without_caller()
            if isinstance(error, asyncio.CancelledError):
                raise
        except Exception as error:
            logger.log(
                events.Event.REQUEST_BROKEN, request_id=self.call.request_id, detail=repr(error)
            )
            await self.end_unknown(refusals.attempt_failed("the entry failed"))
        finally:
            self.reservation.release()

    async def run_with_retries(self) -> None:
        """Claim the idempotency key if necessary, then attempt the call until it has an outcome."""
        if self.idempotency_key and not self.route.operation.idempotent:
            outcome = await self.call_claim.acquire(self.call, self.idempotency_key)
            if outcome is not None:
                await self.replay(outcome)
                return
        while True:
            assignment = await self.wait_for_slot()
            try:
                await self.run_attempt(assignment)
            except errors.AttemptRefusedError as refusal:
                await self.handle_refusal(assignment, refusal)
            except errors.AttemptFailedError as failure:
                self.handle_failure(failure)
            else:
                return

    async def replay(self, outcome: claims_state.RecordedOutcome) -> None:
        """Send the recorded outcome of an earlier call with the same idempotency key."""
        await self.sink.send_whole(
            outcome.status, outcome.headers, outcome.body, work.Outcome.COMPLETE
        )
        self.trace.record_outcome(work.Outcome.COMPLETE, REPLAYED)

    async def wait_for_slot(self) -> work.Assignment:
        """Wait for a slot that can be used; decline slots of agents that must not be called."""
        while True:
            if self.eviction_error is not None:
                raise self.eviction_error
            assignment = await self.wait_for_assignment()
            slot = assignment.slot
            unusable = (
                slot.deadline <= time.monotonic()
                or self.context.view.is_out_of_service(slot.agent_id, slot.availability_zone)
                or self.context.view.is_leaving(slot.agent_id)
                # An agent that responds to the dispatcher may be unreachable from this entry. An
                # attempt would take up to the 2 s that the slot is valid.
                or self.context.view.is_suspected(slot.agent_id)
            )
            if not unusable:
                self.reservation.leave_queue()
                return assignment
            self.context.submitter.decline(assignment, slot_valid=False)
            await self.back_off(0.0, "no usable slot was free before the deadline")

    async def wait_for_assignment(self) -> work.Assignment:
        """Submit a ticket and wait for its slot.

        Each wait has a ticket id of its own, so that a late reply to an earlier one does not match.
        """
        self.ticket_count += 1
        self.ticket_id = f"{self.call.request_id}.{self.ticket_count}"
        ticket = work.Ticket(
            id=self.ticket_id,
            team=self.call.team,
            service=self.call.service,
            entry_id=self.context.entry_id,
            cost_hint=self.call.cost_hint,
            arrived_at=self.trace.arrived_at,
            deadline=self.call.deadline,
            retried=self.ticket_count > 1,
        )
        try:
            async with asyncio.timeout(clocks.remaining_seconds(self.call.deadline)):
                return await self.context.submitter.wait(ticket)
        except TimeoutError:
            raise self.no_slot_error("no slot was free before the deadline") from None

    async def run_attempt(self, assignment: work.Assignment) -> None:
        """Run one attempt and forward its response to the caller.

        Raises AttemptRefusedError, AttemptFailedError, OutcomeUnknownError or CallerGoneError.
        """
        attempt = self.build_attempt(assignment)
        dispatcher_id = self.context.submitter.dispatcher_of(self.call.service)
        self.trace.record_dispatch(assignment, attempt.attempt_id, dispatcher_id)
        self.attempt = attempt
        writer = response_writer.ResponseWriter(
            self.sink,
            buffer_limit_bytes=MAXIMUM_BUFFERED_RESPONSE_BYTES if self.is_plain else 0,
            capture=self.call_claim.is_held,
            ignore_disconnect=self.is_plain,
        )
        try:
            async with asyncio.timeout(clocks.remaining_seconds(attempt.answer_deadline)):
                await self.forward_events(attempt, writer)
        except TimeoutError:
            if not attempt.sent:
                raise self.no_slot_error("the agent was not reached before the deadline") from None
            raise refusals.deadline_passed() from None

    async def forward_events(
        self, attempt: attempt_client.AttemptRequest, writer: response_writer.ResponseWriter
    ) -> None:
        """Forward the events of an attempt to the writer until the response is complete."""
        stream = self.context.attempts.run(attempt)
        async with contextlib.aclosing(stream):
            async for event in stream:
                if isinstance(event, frames.ResponseHead):
                    writer.set_head(event)
                elif isinstance(event, frames.ResponseChunk):
                    await writer.write_chunk(event.data)
                elif isinstance(event, frames.ResponseEnd):
                    await self.complete_response(writer)
                    return
        raise errors.AttemptFailedError("the attempt ended without its end frame")

    async def complete_response(self, writer: response_writer.ResponseWriter) -> None:
        """Record the outcome if the key is claimed, then finish the response."""
        if self.call_claim.is_held:
            await self.call_claim.record(writer.captured_outcome())
        await writer.finish()
        self.trace.record_outcome(
            work.Outcome.COMPLETE, ANSWERED if not self.sink.abandoned else CALLER_GONE
        )

    def build_attempt(self, assignment: work.Assignment) -> attempt_client.AttemptRequest:
        """Return an attempt on the assigned slot, with the newest versions that this entry has."""
        configuration = self.context.view.configuration
        grace = OUTCOME_GRACE_SECONDS if self.is_plain else 0.0
        return attempt_client.AttemptRequest(
            attempt_id=identifiers.new_identifier(),
            ticket_id=assignment.ticket_id,
            slot=assignment.slot,
            call=self.call,
            config_version=configuration.version if configuration is not None else 0,
            operations_version=self.context.view.operations.version,
            call_digest=self.route.call_digest,
            answer_deadline=self.call.deadline + grace,
        )

    async def handle_refusal(
        self, assignment: work.Assignment, refusal: errors.AttemptRefusedError
    ) -> None:
        """Requeue the request if its deadline, its refusal limit and the retry budget allow it.

        Raises RequestError or CallerGoneError otherwise.
        """
        self.attempt = None
        self.refusal_count += 1
        self.process_refusal(assignment, refusal)
        if self.sink.abandoned:
            raise errors.CallerGoneError("the caller left and its call was refused")
        if refusal.reason == work.RefusalReason.DEADLINE_PASSED:
            raise self.no_slot_error("the deadline passed before the call was started")
        if refusal.reason == work.RefusalReason.OLDER_CONFIGURATION and self.is_operation_changed():
            raise self.no_slot_error("the operation was changed while the call waited")
        if self.refusal_count >= self.context.refusal_limit or not self.context.budget.take():
            raise self.no_slot_error(
                f"agents refused the call {self.refusal_count} times, last: {refusal.reason}"
            )
        self.reservation.requeue()
        await self.back_off(
            refusal.retry_after_ms / clocks.MILLISECONDS_PER_SECOND,
            f"an agent refused the call ({refusal.reason}) and the deadline is too near",
        )

    def is_operation_changed(self) -> bool:
        """Return whether the newest configuration has changed or removed the operation."""
        configuration = self.context.view.configuration
        services = configuration.services if configuration is not None else ()
        return all(
            configuration_models.call_digest(service, operation) != self.route.call_digest
            for service in services
            for operation in service.operations
        )

    def process_refusal(
        self, assignment: work.Assignment, refusal: errors.AttemptRefusedError
    ) -> None:
        """Decline the slot and update the fleet view from the reason of the refusal."""
        self.context.submitter.decline(assignment, slot_valid=False)
        self.trace.record_refusal(str(refusal.reason))
        logger.log(
            events.Event.ATTEMPT_REFUSED,
            request_id=self.call.request_id,
            agent_id=assignment.slot.agent_id,
            reason=str(refusal.reason),
            detail=refusal.detail,
        )
        view = self.context.view
        if refusal.reason == work.RefusalReason.UNREACHABLE:
            view.suspect(assignment.slot.agent_id)
        # The attempt carried the versions of this entry, so an agent that refuses them as older has
        # at least the next one. If it does not, the fetch returns nothing.
        older_configuration = refusal.reason == work.RefusalReason.OLDER_CONFIGURATION
        older_operations = refusal.reason in OUT_OF_SERVICE_REASONS
        if older_configuration or older_operations:
            configuration = view.configuration
            version = configuration.version if configuration is not None else 0
            view.pull_newer_versions(
                version + int(older_configuration),
                view.operations.version + int(older_operations),
                assignment.slot.agent_address,
            )

    def handle_failure(self, failure: errors.AttemptFailedError) -> None:
        """Requeue an idempotent call for one more attempt, or raise OutcomeUnknownError."""
        self.attempt = None
        self.failed_attempts += 1
        agent_id = self.trace.record_failure(failure)
        logger.log(
            events.Event.ATTEMPT_FAILED,
            request_id=self.call.request_id,
            agent_id=agent_id,
            detail=str(failure),
        )
        may_repeat = (
            self.route.operation.idempotent
            and not self.sink.started
            and not self.sink.abandoned
            and self.failed_attempts < MAXIMUM_FAILED_ATTEMPTS
        )
        if not may_repeat or not self.context.budget.take():
            raise refusals.attempt_failed(str(failure))
        self.reservation.requeue()

    async def back_off(self, minimum_seconds: float, message: str) -> None:
        """Wait before the next ticket, with exponential backoff, to avoid a busy loop of refusals.

        Raises RequestError with ``message`` if the deadline would pass during the wait.
        """
        backoff_seconds = (
            INITIAL_BACKOFF_SECONDS * 2 ** (self.backoff_count - 1) if self.backoff_count else 0.0
        )
        self.backoff_count += 1
        seconds = max(minimum_seconds, min(MAXIMUM_BACKOFF_SECONDS, backoff_seconds))
        if time.monotonic() + seconds >= self.call.deadline:
            raise self.no_slot_error(message)
        await asyncio.sleep(seconds)

    def no_slot_error(self, message: str) -> errors.RequestError:
        """Return the error for a request without a slot: unknown if an attempt may have run."""
        if not self.may_have_run:
            return refusals.no_capacity(message)
        if self.call.deadline <= time.monotonic():
            return refusals.deadline_passed()
        return refusals.attempt_failed(f"an earlier attempt may have run; then {message}")

    async def end_refused(self, error: errors.RequestRefusedError) -> None:
        """Answer that the call was not run, or that it is unknown if an attempt had failed."""
        if self.may_have_run:
            await self.end_unknown(refusals.attempt_failed(error.message))
            return
        self.call_claim.release()
        self.trace.record_outcome(work.Outcome.NOT_RUN, error.kind, error.message)
        await self.send_error(error, work.Outcome.NOT_RUN)

    async def end_unknown(self, error: errors.OutcomeUnknownError) -> None:
        """Answer that the outcome is unknown; abort the response if it was started."""
        logger.log(
            events.Event.REQUEST_UNKNOWN, request_id=self.call.request_id, detail=error.message
        )
        self.trace.record_outcome(work.Outcome.UNKNOWN, error.kind, error.message)
        await self.send_error(error, work.Outcome.UNKNOWN)

    async def send_error(self, error: errors.RequestError, outcome: work.Outcome) -> None:
        """Send an error response, or abort the response that was started.

        Nothing is written to an abandoned sink: its connection may already serve the next request.
        """
        if not self.sink.abandoned:
            await response_writer.send_error(self.sink, error, outcome)

    def end_without_caller(self) -> None:
        """Record the outcome of a request whose caller disconnected, without a response."""
        logger.log(events.Event.CALLER_GONE, request_id=self.call.request_id)
        if self.may_have_run:
            self.trace.record_outcome(work.Outcome.UNKNOWN, CALLER_GONE)
        else:
            self.call_claim.release()
            self.trace.record_outcome(work.Outcome.NOT_RUN, CALLER_GONE)

    def on_caller_gone(self) -> None:
        """Cancel the request, unless it is a plain call in flight, which runs to completion."""
        if self.is_plain and self.in_flight:
            self.sink.abandoned = True
        elif self.task is not None:
            self.task.cancel()

    async def on_deadline(self) -> bool:
        """Answer 504 for a plain call in flight, which continues; return False for all others."""
        if not self.is_plain or not self.in_flight:
            return False
        self.sink.abandoned = True
        await response_writer.send_error(
            self.sink, refusals.deadline_passed(), work.Outcome.UNKNOWN
        )
        return True

    def on_evicted(self) -> None:
        """Refuse the request, which the queue evicted in favor of a team that holds less."""
        self.eviction_error = refusals.evicted()
        logger.log(events.Event.REQUEST_EVICTED, request_id=self.call.request_id)
        self.context.submitter.fail(self.ticket_id, self.eviction_error)
