"""Carries out one started run at the endpoint."""

import asyncio
import contextlib
import time
import typing

from masticward import errors, events
from masticward.coordination import runs
from masticward.models import attempts, work
from masticward.models import configuration as configuration_models
from masticward.state import admission
from masticward.transport import endpoint as endpoint_module
from masticward.utils import clocks

if typing.TYPE_CHECKING:
    from masticward.coordination import endpoint_runner

# Statuses by which an engine that took the call in says that it is overloaded.
OVERLOAD_STATUSES = frozenset({429, 503})
# Refused calls, such as malformed ones, cost the endpoint next to nothing.
FIRST_ERROR_STATUS = 400
LAST_EVENTS = (attempts.Finished, attempts.Refused, attempts.Failed)


class RunExecution:
    """Runs one call, charges its cost and hands its events over."""

    __slots__ = ("first_token_timer", "head", "is_model", "operation", "run", "runner", "service")

    def __init__(
        self,
        runner: "endpoint_runner.EndpointRunner",
        run: runs.Run,
        service: configuration_models.Service,
        operation: configuration_models.Operation,
    ) -> None:
        self.runner = runner
        self.run = run
        self.service = service
        self.operation = operation
        self.is_model = service.kind is configuration_models.ServiceKind.LANGUAGE_MODEL
        self.head: attempts.ResponseHead | None = None
        self.first_token_timer: asyncio.TimerHandle | None = None

    async def carry_out(self) -> None:
        """Run the call to its end, free the slot, then hand the last event over."""
        last: attempts.AttemptEvent = attempts.Failed("the agent stopped")
        confirmed = False
        self.arm_first_token_timer()
        try:
            await self.exchange()
            last, confirmed = self.succeeded(), True
        except errors.AttemptRefusedError as error:
            reason = work.RefusalReason(error.reason)
            last, confirmed = self.runner.refusal_of(self.run.request, reason), True
        except errors.EndpointNotStartedError as error:
            last, confirmed = self.not_started(error), True
        except errors.EndpointBrokenError as error:
            last = self.broken(str(error))
        except Exception as error:
            self.runner.logger.log(events.Event.TASK_FAILED, task="attempt", error=repr(error))
            last = attempts.Failed("internal error of the agent")
        finally:
            self.end(confirmed)
        await self.pass_on(last)

    def end(self, confirmed: bool) -> None:
        """Free the slot once; ``confirmed`` tells that the endpoint no longer works on the call."""
        self.end_first_token_wait()
        self.runner.release(self.run, confirmed)

    def note_task_end(self, task: asyncio.Task[None]) -> None:
        """Free the slot of a task that was cancelled before its first step; tell a listener."""
        self.end(confirmed=True)
        if task.cancelled() and self.run.listening:
            self.run.stop_listening()
            self.run.events.put_nowait(attempts.Failed("the agent stopped"))

    async def exchange(self) -> None:
        """Pass the endpoint's events on until the response is complete."""
        stream = self.runner.endpoint.run(self.endpoint_request())
        async with contextlib.aclosing(stream):
            async for event in stream:
                if isinstance(event, attempts.ResponseHead):
                    self.head = event
                else:
                    self.note_chunk(event)
                if isinstance(event, attempts.ResponseHead) or event.data:
                    await self.pass_on(event)

    def endpoint_request(self) -> endpoint_module.EndpointRequest:
        """Return the call as the endpoint gets it."""
        return endpoint_module.EndpointRequest(
            attempt_id=self.run.request.attempt_id,
            call=self.run.request.call,
            idempotent=self.operation.idempotent,
            fixed_cost=self.operation.cost,
            prompt_token_weight=self.service.prompt_token_weight,
            output_token_weight=self.service.output_token_weight,
            before_send=self.check_before_send,
        )

    def check_before_send(self) -> None:
        """Raise AttemptRefusedError if the call may no longer start.

        Since the run was launched the process may have been paused, the zone taken out, or the
        limit lowered below the calls in flight, of which this is one.
        """
        reason = self.runner.checks.on_start(self.run.request.call.deadline)
        capacity = self.runner.capacity
        if reason is None and capacity.in_flight.total > capacity.limit.limit:
            reason = work.RefusalReason.AT_LIMIT
        if reason is not None:
            raise errors.AttemptRefusedError(reason.value)

    def note_chunk(self, chunk: attempts.ResponseChunk) -> None:
        """Charge the chunk's cost and measure the first token."""
        self.charge(chunk.cost)
        if self.run.first_token_at is not None or not chunk.data or not self.is_token_stream():
            return
        now = time.monotonic()
        seconds = now - (self.run.started_at or now)
        self.run.first_token_at = now
        self.end_first_token_wait()
        self.runner.metrics.first_token_seconds.observe(seconds)
        if self.runner.capacity.limit.note_first_token(seconds, self.run.epoch, now):
            self.runner.note_cold("slow first token")
        self.runner.reconcile()

    def is_token_stream(self) -> bool:
        """Tell whether the engine answers with tokens; an error says nothing of how warm it is."""
        return (
            self.is_model and self.head is not None and endpoint_module.is_event_stream(self.head)
        )

    def charge(self, cost: float) -> None:
        """Add to the cost of the run and of its team."""
        self.run.cost += cost
        self.runner.counters.add(self.run.request.call.team, cost)

    async def pass_on(self, event: attempts.AttemptEvent) -> None:
        """Hand an event over by the deadline; give the entry up if it reads too slowly."""
        try:
            await self.hand_over(event)
        except TimeoutError:
            self.run.stop_listening()
            self.run.events.put_nowait(attempts.Failed("the entry read too slowly"))
            if self.is_model and not isinstance(event, LAST_EVENTS):
                raise errors.EndpointBrokenError("the entry read too slowly") from None

    async def hand_over(self, event: attempts.AttemptEvent) -> None:
        """Hand an event over. Raises TimeoutError if there is no room until the deadline."""
        if not self.run.events.full():
            await self.run.deliver(event)
            return
        seconds = clocks.remaining_seconds(self.run.request.call.deadline)
        await asyncio.wait_for(self.run.deliver(event), seconds)

    # Ends

    def succeeded(self) -> attempts.Finished:
        """Count a complete response."""
        now = time.monotonic()
        limit = self.runner.capacity.limit
        started_at = self.run.started_at or now
        self.runner.capacity.staged_depth.note_service_time(now - started_at)
        if self.head is not None and self.is_model and self.head.status in OVERLOAD_STATUSES:
            self.runner.go_cold(f"status {self.head.status}")
        elif self.is_evidence():
            raised = limit.note_success(self.run.epoch, now)
            if raised and limit.state is admission.AdmissionState.WARM:
                self.runner.logger.log(events.Event.ENDPOINT_WARM, limit=limit.limit)
        return attempts.Finished(self.run.cost)

    def is_evidence(self) -> bool:
        """Tell whether the response shows that the endpoint did work."""
        if self.is_model:
            return self.is_token_stream()
        return self.head is not None and self.head.status < FIRST_ERROR_STATUS

    def not_started(self, error: errors.EndpointNotStartedError) -> attempts.Refused:
        """Take a refusal by the endpoint as a sign of overload or of a restart."""
        self.runner.logger.log(
            events.Event.ENDPOINT_NOT_STARTED,
            request_id=self.run.request.call.request_id,
            cause=str(error),
        )
        self.runner.go_cold("endpoint refused")
        reason = work.RefusalReason.ENDPOINT_NOT_STARTED
        return self.runner.refusal_of(self.run.request, reason, str(error))

    def broken(self, cause: str) -> attempts.Failed:
        """Charge a call that may have run; a cut connection may be a restart of the endpoint."""
        self.runner.logger.log(
            events.Event.ENDPOINT_BROKEN,
            request_id=self.run.request.call.request_id,
            cause=cause,
        )
        if not self.is_model:
            self.charge(max(0.0, self.operation.cost - self.run.cost))
        if time.monotonic() >= self.run.request.call.deadline:
            self.runner.capacity.limit.note_failure()
        elif self.head is not None or not self.operation.idempotent:
            self.runner.go_cold("connection broken")
        return attempts.Failed(cause)

    # First token

    def arm_first_token_timer(self) -> None:
        """Watch for a first token that does not come in time."""
        bound = self.runner.capacity.limit.first_tokens.threshold_seconds()
        if self.is_model and bound is not None:
            loop = asyncio.get_running_loop()
            self.first_token_timer = loop.call_later(bound, self.first_token_overdue, bound)

    def first_token_overdue(self, seconds: float) -> None:
        """Take the endpoint for cold without waiting for the token any longer."""
        limit = self.runner.capacity.limit
        if limit.note_overdue_first_token(seconds, self.run.epoch, time.monotonic()):
            self.runner.note_cold("first token overdue")
            self.runner.reconcile()

    def end_first_token_wait(self) -> None:
        """Stop watching and make room for another call that waits for its first token."""
        if self.first_token_timer is not None:
            self.first_token_timer.cancel()
            self.first_token_timer = None
        if self.is_model and not self.run.first_token_done:
            self.run.first_token_done = True
            self.runner.capacity.awaiting_first_token -= 1
