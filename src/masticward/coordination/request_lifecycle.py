"""The lifecycle of one request, from its admission to its outcome, as sequential code."""

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

# A plain response up to this size is sent only once it is whole, so that a failure before its end
# is a 502 and not a broken connection.
HELD_RESPONSE_BYTES = 64 * 1024
# How long the entry listens for the outcome of a plain call after the caller's deadline. The
# caller is told 504 at the deadline; only the claim still needs the outcome.
OUTCOME_GRACE_SECONDS = 30.0
STARTS_OF_IDEMPOTENT = 2
FIRST_PAUSE_SECONDS = 0.02
LONGEST_PAUSE_SECONDS = 0.5
ANSWERED = "answered"
REPLAYED = "replayed"
CALLER_GONE = "caller-gone"
OUT_REASONS = frozenset((work.RefusalReason.ZONE_OUT, work.RefusalReason.INSTANCE_OUT))

logger = logs.get_logger(__name__)


class RequestLifecycle:
    """One admitted request with its body.

    ``run`` is the whole lifecycle. The caller's connection acts on it through ``on_caller_gone``
    and ``on_deadline``, the queue through ``on_evicted``.
    """

    __slots__ = (
        "attempt",
        "call",
        "claim",
        "context",
        "eviction",
        "failed_starts",
        "idempotency_key",
        "pauses",
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
        self.trace = request_trace.RequestTrace(record, context.meters)
        self.claim = call_claim.CallClaim(context.claims)
        self.attempt: attempt_client.AttemptRequest | None = None
        self.eviction: errors.RequestRefusedError | None = None
        self.task: asyncio.Task[None] | None = None
        self.failed_starts = 0
        self.refusal_count = 0
        self.pauses = 0
        self.ticket_count = 0
        self.ticket_id = ""

    @property
    def is_plain(self) -> bool:
        """Whether the service's calls run to their end even without their caller."""
        return self.route.service.kind is configuration_models.ServiceKind.PLAIN

    @property
    def in_flight(self) -> bool:
        """Whether an attempt was sent and has not been refused or ended."""
        return self.attempt is not None and self.attempt.sent

    @property
    def may_have_run(self) -> bool:
        """Whether the endpoint may have seen the call."""
        return self.failed_starts > 0 or self.in_flight

    async def run(self) -> None:
        """Bring the request to its outcome and tell the caller."""
        try:
            await self.run_claimed()
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

    async def run_claimed(self) -> None:
        """Claim the key if the call needs it, then attempt the call until it ends."""
        if self.idempotency_key and not self.route.operation.idempotent:
            outcome = await self.claim.open(self.call, self.idempotency_key)
            if outcome is not None:
                await self.replay(outcome)
                return
        while True:
            assignment = await self.wait_for_slot()
            try:
                await self.run_attempt(assignment)
            except errors.AttemptRefusedError as refusal:
                await self.after_refusal(assignment, refusal)
            except errors.AttemptFailedError as failure:
                self.after_failure(failure)
            else:
                return

    async def replay(self, outcome: claims_state.RecordedOutcome) -> None:
        """Send the recorded outcome of an earlier call."""
        await self.sink.send_whole(
            outcome.status, outcome.headers, outcome.body, work.Outcome.COMPLETE
        )
        self.trace.ended(work.Outcome.COMPLETE, REPLAYED)

    async def wait_for_slot(self) -> work.Assignment:
        """Wait until the dispatcher gives the request a slot that may be used."""
        while True:
            if self.eviction is not None:
                raise self.eviction
            assignment = await self.wait_for_assignment()
            slot = assignment.slot
            unusable = (
                slot.deadline <= time.monotonic()
                or self.context.view.is_out_of_service(slot.agent_id, slot.availability_zone)
                or self.context.view.is_leaving(slot.agent_id)
                # The dispatcher may hear from an agent that this entry cannot reach. To try it
                # costs up to the 2 s of the slot.
                or self.context.view.is_suspected(slot.agent_id)
            )
            if not unusable:
                self.reservation.leave_queue()
                return assignment
            self.context.submitter.decline(assignment, slot_valid=False)
            await self.pause(0.0, "no usable slot was free before the deadline")

    async def wait_for_assignment(self) -> work.Assignment:
        """Queue a ticket of its own for each wait, so that a late answer matches no later one."""
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
            raise self.no_capacity("no slot was free before the deadline") from None

    async def run_attempt(self, assignment: work.Assignment) -> None:
        """Run one attempt and pass its response on.

        Raises AttemptRefusedError, AttemptFailedError, OutcomeUnknownError or CallerGoneError.
        """
        attempt = self.new_attempt(assignment)
        dispatcher_id = self.context.submitter.dispatcher_of(self.call.service)
        self.trace.dispatched(assignment, attempt.attempt_id, dispatcher_id)
        self.attempt = attempt
        writer = response_writer.ResponseWriter(
            self.sink,
            held_limit=HELD_RESPONSE_BYTES if self.is_plain else 0,
            keep=self.claim.held,
            must_finish=self.is_plain,
        )
        try:
            async with asyncio.timeout(clocks.remaining_seconds(attempt.answer_deadline)):
                await self.pass_events(attempt, writer)
        except TimeoutError:
            if not attempt.sent:
                raise self.no_capacity("the agent was not reached before the deadline") from None
            raise refusals.deadline_passed() from None

    async def pass_events(
        self, attempt: attempt_client.AttemptRequest, writer: response_writer.ResponseWriter
    ) -> None:
        """Pass the events of an attempt to the writer until the response is whole."""
        stream = self.context.attempts.run(attempt)
        async with contextlib.aclosing(stream):
            async for event in stream:
                if isinstance(event, frames.ResponseHead):
                    writer.add_head(event)
                elif isinstance(event, frames.ResponseChunk):
                    await writer.add_chunk(event.data)
                elif isinstance(event, frames.ResponseEnd):
                    await self.finish(writer)
                    return
        raise errors.AttemptFailedError("the attempt ended without its end frame")

    async def finish(self, writer: response_writer.ResponseWriter) -> None:
        """Record the outcome of a keyed call, then end the response."""
        if self.claim.held:
            await self.claim.record(writer.outcome())
        await writer.finish()
        self.trace.ended(
            work.Outcome.COMPLETE, ANSWERED if not self.sink.abandoned else CALLER_GONE
        )

    def new_attempt(self, assignment: work.Assignment) -> attempt_client.AttemptRequest:
        """Return the attempt for a slot, with the newest versions this entry has."""
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

    async def after_refusal(
        self, assignment: work.Assignment, refusal: errors.AttemptRefusedError
    ) -> None:
        """Go back to the queue within the deadline and the retry budget, or give up."""
        self.attempt = None
        self.refusal_count += 1
        self.note_refusal(assignment, refusal)
        if self.sink.abandoned:
            raise errors.CallerGoneError("the caller left and its call was refused")
        if refusal.reason == work.RefusalReason.DEADLINE_PASSED:
            raise self.no_capacity("the deadline passed before the call was started")
        if refusal.reason == work.RefusalReason.OLDER_CONFIGURATION and self.is_redefined():
            raise self.no_capacity("the operation was changed while the call waited")
        if self.refusal_count >= self.context.refusal_limit or not self.context.budget.take():
            raise self.no_capacity(
                f"agents refused the call {self.refusal_count} times, last: {refusal.reason}"
            )
        self.reservation.requeue()
        await self.pause(
            refusal.retry_after_ms / clocks.MILLISECONDS_PER_SECOND,
            f"an agent refused the call ({refusal.reason}) and the deadline is too near",
        )

    def is_redefined(self) -> bool:
        """Tell whether the newest configuration defines the operation differently or not at all."""
        configuration = self.context.view.configuration
        services = configuration.services if configuration is not None else ()
        return all(
            configuration_models.call_digest(service, operation) != self.route.call_digest
            for service in services
            for operation in service.operations
        )

    def note_refusal(
        self, assignment: work.Assignment, refusal: errors.AttemptRefusedError
    ) -> None:
        """Give the slot back and tell the view what the refusal says about the agent."""
        self.context.submitter.decline(assignment, slot_valid=False)
        self.trace.refused(str(refusal.reason))
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
        # The entry sent the attempt, so the agent has at least the next version of what it refers
        # to; if it has not, the fetch returns nothing.
        older_configuration = refusal.reason == work.RefusalReason.OLDER_CONFIGURATION
        older_operations = refusal.reason in OUT_REASONS
        if older_configuration or older_operations:
            configuration = view.configuration
            version = configuration.version if configuration is not None else 0
            view.pull_newer_versions(
                version + int(older_configuration),
                view.operations.version + int(older_operations),
                assignment.slot.agent_address,
            )

    def after_failure(self, failure: errors.AttemptFailedError) -> None:
        """Allow one more attempt of an idempotent call, or raise OutcomeUnknownError."""
        self.attempt = None
        self.failed_starts += 1
        agent_id = self.trace.failed(failure)
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
            and self.failed_starts < STARTS_OF_IDEMPOTENT
        )
        if not may_repeat or not self.context.budget.take():
            raise refusals.attempt_failed(str(failure))
        self.reservation.requeue()

    async def pause(self, least_seconds: float, message: str) -> None:
        """Wait before the next ticket, longer each time, so that refusals do not spin."""
        backed_off = FIRST_PAUSE_SECONDS * 2 ** (self.pauses - 1) if self.pauses else 0.0
        self.pauses += 1
        seconds = max(least_seconds, min(LONGEST_PAUSE_SECONDS, backed_off))
        if time.monotonic() + seconds >= self.call.deadline:
            raise self.no_capacity(message)
        await asyncio.sleep(seconds)

    def no_capacity(self, message: str) -> errors.RequestError:
        """Return the end of a request without a slot, which depends on earlier attempts."""
        if not self.may_have_run:
            return refusals.no_capacity(message)
        if self.call.deadline <= time.monotonic():
            return refusals.deadline_passed()
        return refusals.attempt_failed(f"an earlier attempt may have run; then {message}")

    async def end_refused(self, error: errors.RequestRefusedError) -> None:
        """Tell the caller that the call was not run, or unknown if an attempt had failed."""
        if self.may_have_run:
            await self.end_unknown(refusals.attempt_failed(error.message))
            return
        self.claim.release()
        self.trace.ended(work.Outcome.NOT_RUN, error.kind, error.message)
        await self.answer(error, work.Outcome.NOT_RUN)

    async def end_unknown(self, error: errors.OutcomeUnknownError) -> None:
        """Tell the caller that the outcome is unknown; a started response is cut."""
        logger.log(
            events.Event.REQUEST_UNKNOWN, request_id=self.call.request_id, detail=error.message
        )
        self.trace.ended(work.Outcome.UNKNOWN, error.kind, error.message)
        await self.answer(error, work.Outcome.UNKNOWN)

    async def answer(self, error: errors.RequestError, outcome: work.Outcome) -> None:
        """Send the response for an error, or cut the response that was started.

        An abandoned sink is left alone: its connection may already serve the next request.
        """
        if not self.sink.abandoned:
            await response_writer.send_error(self.sink, error, outcome)

    def end_without_caller(self) -> None:
        """Note the outcome of a request whose caller left; nothing is sent."""
        logger.log(events.Event.CALLER_GONE, request_id=self.call.request_id)
        if self.may_have_run:
            self.trace.ended(work.Outcome.UNKNOWN, CALLER_GONE)
        else:
            self.claim.release()
            self.trace.ended(work.Outcome.NOT_RUN, CALLER_GONE)

    def on_caller_gone(self) -> None:
        """Cancel the request, except a plain call that was sent, which runs to its end."""
        if self.is_plain and self.in_flight:
            self.sink.abandoned = True
        elif self.task is not None:
            self.task.cancel()

    async def on_deadline(self) -> bool:
        """Answer 504 for a plain call in flight, which goes on; returns False for all others."""
        if not self.is_plain or not self.in_flight:
            return False
        self.sink.abandoned = True
        await response_writer.send_error(
            self.sink, refusals.deadline_passed(), work.Outcome.UNKNOWN
        )
        return True

    def on_evicted(self) -> None:
        """Refuse the request in favour of a team that holds less."""
        self.eviction = refusals.evicted()
        logger.log(events.Event.REQUEST_EVICTED, request_id=self.call.request_id)
        self.context.submitter.fail(self.ticket_id, self.eviction)
