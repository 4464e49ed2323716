"""The life of one request, from its admission to its outcome, as sequential code."""

import asyncio
import contextlib
import time

from returns import result

from masticward import errors, events, logs
from masticward.coordination import (
    claims,
    entry_meters,
    fleet_view,
    response_writer,
    ticket_desk,
)
from masticward.models import configuration as configuration_models
from masticward.models import work
from masticward.protocol import attempt_client
from masticward.state import claims as claims_state
from masticward.state import entry_queue, explain, frames, refusals, retry_budget, route_table
from masticward.transport import response_sink
from masticward.utils import clocks, identifiers

# A plain response up to this size is sent only once it is whole, so that a failure before its end
# is a 502 and not a broken connection.
HELD_RESPONSE_BYTES = 64 * 1024
# How long the entry listens for the outcome of a plain call after the caller's deadline. The
# caller is told 504 at the deadline; only the claim still needs the outcome.
OUTCOME_GRACE_SECONDS = 30.0
FINISH_WAIT_SECONDS = 0.5  # the end of a keyed response waits at most this long for its record
STARTS_OF_IDEMPOTENT = 2
FIRST_PAUSE_SECONDS = 0.02
LONGEST_PAUSE_SECONDS = 0.5
ANSWERED = "answered"
REPLAYED = "replayed"
CALLER_GONE = "caller-gone"
OLDER_REASONS = frozenset(
    (work.RefusalReason.OLDER_CONFIGURATION, work.RefusalReason.OLDER_OPERATIONS)
)

logger = logs.get_logger(__name__)


class LifeContext:
    """What all requests of one entry share."""

    __slots__ = ("attempts", "budget", "claims", "desk", "entry_id", "meters", "refusal_limit",
                 "view")  # fmt: skip

    def __init__(
        self,
        *,
        entry_id: str,
        view: fleet_view.FleetView,
        attempts: attempt_client.AttemptClient,
        claim_service: claims.ClaimService | None,
        desk: ticket_desk.TicketDesk,
        budget: retry_budget.RetryBudget,
        meters: entry_meters.EntryMeters,
        refusal_limit: int,
    ) -> None:
        self.entry_id = entry_id
        self.view = view
        self.attempts = attempts
        self.claims = claim_service
        self.desk = desk
        self.budget = budget
        self.meters = meters
        self.refusal_limit = refusal_limit


class RequestLife:
    """One admitted request with its body.

    ``run`` is the whole life. The caller's connection acts on it through ``on_caller_gone`` and
    ``on_deadline``, the queue through ``on_evicted``.
    """

    __slots__ = (
        "arrived_at",
        "attempt",
        "call",
        "claim",
        "context",
        "eviction",
        "failed_starts",
        "holding",
        "idempotency_key",
        "pauses",
        "record",
        "refusal_count",
        "route",
        "sink",
        "task",
        "ticket_count",
        "ticket_id",
    )

    def __init__(
        self,
        context: LifeContext,
        *,
        call: work.CallRequest,
        route: route_table.Route,
        holding: entry_queue.Holding,
        sink: response_sink.ResponseSink,
        record: explain.RequestRecord,
        idempotency_key: str,
    ) -> None:
        self.context = context
        self.call = call
        self.route = route
        self.holding = holding
        self.sink = sink
        self.record = record
        self.idempotency_key = idempotency_key
        self.arrived_at = time.monotonic()
        self.claim: claims_state.Claim | None = None
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
            self.holding.close()

    async def run_claimed(self) -> None:
        """Claim the key if the call needs it, then attempt the call until it ends."""
        if self.idempotency_key and not self.route.operation.idempotent:
            outcome = await self.open_claim()
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

    async def open_claim(self) -> claims_state.RecordedOutcome | None:
        """Claim the key; returns the recorded outcome if the call was run before."""
        if self.context.claims is None:
            raise refusals.claim_unavailable(
                errors.ClaimUnavailableError("the entry has no object API", 0)
            )
        claimed = await self.context.claims.claim(
            self.call.team,
            self.call.service,
            self.idempotency_key,
            claims_state.request_digest(self.call.method, self.call.path, self.call.body),
            self.call.deadline,
        )
        if not isinstance(claimed, result.Success):
            raise refusals.claim_unavailable(claimed.failure())
        answer: claims.ClaimAnswer = claimed.unwrap()
        if answer.verdict is claims_state.ClaimVerdict.GRANTED:
            self.claim = answer.claim
            return None
        if answer.verdict is claims_state.ClaimVerdict.OTHER_REQUEST:
            raise refusals.key_of_other_request()
        if answer.verdict is claims_state.ClaimVerdict.UNFINISHED:
            raise refusals.key_unfinished()
        if answer.outcome is None:
            raise refusals.outcome_not_kept()
        return answer.outcome

    async def replay(self, outcome: claims_state.RecordedOutcome) -> None:
        """Send the recorded outcome of an earlier call."""
        await self.sink.send_whole(
            outcome.status, outcome.headers, outcome.body, work.Outcome.COMPLETE
        )
        self.end(work.Outcome.COMPLETE, REPLAYED)

    async def wait_for_slot(self) -> work.Assignment:
        """Wait until the dispatcher gives the request a slot that may be used."""
        while True:
            if self.eviction is not None:
                raise self.eviction
            assignment = await self.wait_for_assignment()
            slot = assignment.slot
            unusable = (
                slot.deadline <= time.monotonic()
                or self.context.view.is_out(slot.agent_id, slot.availability_zone)
                or self.context.view.is_leaving(slot.agent_id)
            )
            if not unusable:
                self.holding.stop_waiting()
                return assignment
            self.context.desk.decline(assignment, slot_valid=False)
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
            arrived_at=self.arrived_at,
            deadline=self.call.deadline,
            retried=self.ticket_count > 1,
        )
        try:
            async with asyncio.timeout(clocks.remaining_seconds(self.call.deadline)):
                return await self.context.desk.wait(ticket)
        except TimeoutError:
            raise self.no_capacity("no slot was free before the deadline") from None

    async def run_attempt(self, assignment: work.Assignment) -> None:
        """Run one attempt and pass its response on.

        Raises AttemptRefusedError, AttemptFailedError, OutcomeUnknownError or CallerGoneError.
        """
        attempt = self.new_attempt(assignment)
        self.note_dispatch(assignment, attempt)
        self.attempt = attempt
        writer = response_writer.ResponseWriter(
            self.sink,
            held_limit=HELD_RESPONSE_BYTES if self.is_plain else 0,
            keep=self.claim is not None,
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
        if self.claim is not None and self.context.claims is not None:
            recorded = self.context.claims.finish(self.claim, writer.outcome())
            self.claim = None
            await asyncio.wait({recorded}, timeout=FINISH_WAIT_SECONDS)
        await writer.finish()
        self.end(work.Outcome.COMPLETE, ANSWERED if not self.sink.abandoned else CALLER_GONE)

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
            answer_deadline=self.call.deadline + grace,
        )

    def note_dispatch(
        self, assignment: work.Assignment, attempt: attempt_client.AttemptRequest
    ) -> None:
        """Write the dispatch into the request's record and metrics."""
        if not self.record.attempts:
            waited = time.monotonic() - self.arrived_at
            self.record.queue_ms = waited * clocks.MILLISECONDS_PER_SECOND
            self.context.meters.queue_seconds.observe(waited)
        self.record.attempts.append(
            explain.AttemptRecord(
                attempt_id=attempt.attempt_id,
                ticket_id=assignment.ticket_id,
                agent_id=assignment.slot.agent_id,
                availability_zone=assignment.slot.availability_zone,
                dispatcher_id=self.context.desk.dispatcher_of(self.call.service),
                reason_chosen="its slot was free when the team had the least virtual time",
                virtual_time=assignment.virtual_time,
                queue_ms=assignment.queue_ms,
            )
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
        if self.refusal_count >= self.context.refusal_limit or not self.context.budget.take():
            raise self.no_capacity(
                f"agents refused the call {self.refusal_count} times, last: {refusal.reason}"
            )
        self.holding.wait_again()
        await self.pause(
            refusal.retry_after_ms / clocks.MILLISECONDS_PER_SECOND,
            f"an agent refused the call ({refusal.reason}) and the deadline is too near",
        )

    def note_refusal(
        self, assignment: work.Assignment, refusal: errors.AttemptRefusedError
    ) -> None:
        """Give the slot back and tell the view what the refusal says about the agent."""
        self.context.desk.decline(assignment, slot_valid=False)
        self.context.meters.count_refusal(refusal.reason)
        self.record.refusals.append(str(refusal.reason))
        self.record.attempts[-1].result = f"refused: {refusal.reason}"
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
        if refusal.reason in OLDER_REASONS:
            # The agent has a newer version than this entry, at least the next one.
            configuration = view.configuration
            version = configuration.version if configuration is not None else 0
            newer_configuration = refusal.reason == work.RefusalReason.OLDER_CONFIGURATION
            view.note_versions(
                version + int(newer_configuration),
                view.operations.version + int(not newer_configuration),
                assignment.slot.agent_address,
            )

    def after_failure(self, failure: errors.AttemptFailedError) -> None:
        """Allow one more attempt of an idempotent call, or raise OutcomeUnknownError."""
        self.attempt = None
        self.failed_starts += 1
        self.record.attempts[-1].result = f"failed: {failure}"
        logger.log(
            events.Event.ATTEMPT_FAILED,
            request_id=self.call.request_id,
            agent_id=self.record.attempts[-1].agent_id,
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
        self.holding.wait_again()

    async def pause(self, least_seconds: float, message: str) -> None:
        """Wait before the next ticket, longer each time, so that refusals do not spin."""
        backed_off = FIRST_PAUSE_SECONDS * 2 ** (self.pauses - 1) if self.pauses else 0.0
        self.pauses += 1
        seconds = max(least_seconds, min(LONGEST_PAUSE_SECONDS, backed_off))
        if time.monotonic() + seconds >= self.call.deadline:
            raise self.no_capacity(message)
        await asyncio.sleep(seconds)

    def no_capacity(self, message: str) -> errors.RequestRefusedError | errors.OutcomeUnknownError:
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
        self.release_claim()
        self.end(work.Outcome.NOT_RUN, error.kind, error.message)
        await self.answer(error, work.Outcome.NOT_RUN)

    async def end_unknown(self, error: errors.OutcomeUnknownError) -> None:
        """Tell the caller that the outcome is unknown; a started response is cut."""
        logger.log(
            events.Event.REQUEST_UNKNOWN, request_id=self.call.request_id, detail=error.message
        )
        self.end(work.Outcome.UNKNOWN, error.kind, error.message)
        await self.answer(error, work.Outcome.UNKNOWN)

    async def answer(
        self,
        error: errors.RequestRefusedError | errors.OutcomeUnknownError,
        outcome: work.Outcome,
    ) -> None:
        """Send the response for an error, or cut the response that was started.

        An abandoned sink is left alone: its connection may already serve the next request.
        """
        if self.sink.abandoned:
            return
        if self.sink.started:
            self.sink.abort()
        else:
            headers, body = refusals.encode(error)
            with contextlib.suppress(errors.CallerGoneError):
                await self.sink.send_whole(error.status, headers, body, outcome)

    def end_without_caller(self) -> None:
        """Close the books on a request whose caller left."""
        logger.log(events.Event.CALLER_GONE, request_id=self.call.request_id)
        if self.may_have_run:
            self.end(work.Outcome.UNKNOWN, CALLER_GONE)
        else:
            self.release_claim()
            self.end(work.Outcome.NOT_RUN, CALLER_GONE)

    def release_claim(self) -> None:
        """Give up the claim of a call that surely was not run."""
        if self.claim is not None and self.context.claims is not None:
            self.context.claims.release(self.claim)
            self.claim = None

    def end(self, outcome: work.Outcome, kind: str, detail: str = "") -> None:
        """Write the outcome into record and metrics."""
        self.record.outcome = outcome.value
        self.record.detail = detail or kind
        self.record.total_ms = (time.monotonic() - self.arrived_at) * clocks.MILLISECONDS_PER_SECOND
        if self.record.attempts and not self.record.attempts[-1].result:
            self.record.attempts[-1].result = outcome.value
        self.context.meters.count_outcome(outcome, kind)

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
        if self.sink.started:
            self.sink.abort()
            return True
        headers, body = refusals.encode(refusals.deadline_passed())
        with contextlib.suppress(errors.CallerGoneError):
            await self.sink.send_whole(504, headers, body, work.Outcome.UNKNOWN)
        return True

    def on_evicted(self) -> None:
        """Refuse the request in favour of a team that holds less."""
        self.eviction = refusals.evicted()
        logger.log(events.Event.REQUEST_EVICTED, request_id=self.call.request_id)
        self.context.desk.fail(self.ticket_id, self.eviction)
