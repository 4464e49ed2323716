"""Executes one started run at the endpoint."""

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

# HTTP statuses with which an engine that accepted the call reports overload.
OVERLOAD_STATUSES = frozenset({429, 503})
# Responses from this HTTP status on do not show that the endpoint can bear load: rejecting a call,
# such as a malformed one, costs it next to nothing.
FIRST_ERROR_STATUS = 400
FINAL_EVENTS = (attempts.Finished, attempts.Refused, attempts.Failed)


class RunExecution:
    """Runs one call, charges its cost and delivers its events to the run's stream."""

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

    async def execute(self) -> None:
        """Run the call to its end, free its capacity, then deliver the final event."""
        final: attempts.AttemptEvent = attempts.Failed("the agent stopped")
        confirmed = False
        self.start_first_token_timer()
        try:
            await self.relay_response()
            final, confirmed = self.complete(), True
        except errors.AttemptRefusedError as error:
            reason = work.RefusalReason(error.reason)
            final, confirmed = self.runner.record_refusal(self.run.request, reason), True
        except errors.EndpointNotStartedError as error:
            final, confirmed = self.handle_not_started(error), True
        except errors.EndpointBrokenError as error:
            final = self.handle_broken_call(str(error))
        except Exception as error:
            self.runner.logger.log(events.Event.TASK_FAILED, task="attempt", error=repr(error))
            final = attempts.Failed("internal error of the agent")
        finally:
            self.release(confirmed)
        await self.deliver(final)

    def release(self, confirmed: bool) -> None:
        """Free the run's capacity; repeated calls have no effect.

        ``confirmed`` is whether the endpoint has certainly stopped working on the call.
        """
        self.end_first_token_wait()
        self.runner.release(self.run, confirmed)

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        """Free the capacity of a task that was cancelled before it ran, and end its stream."""
        self.release(confirmed=True)
        if task.cancelled() and self.run.delivering:
            self.run.stop_delivery()
            self.run.events.put_nowait(attempts.Failed("the agent stopped"))

    async def relay_response(self) -> None:
        """Deliver the endpoint's events until the response is complete."""
        stream = self.runner.endpoint.run(self.endpoint_request())
        async with contextlib.aclosing(stream):
            async for event in stream:
                if isinstance(event, attempts.ResponseHead):
                    self.head = event
                else:
                    self.handle_chunk(event)
                if isinstance(event, attempts.ResponseHead) or event.data:
                    await self.deliver(event)

    def endpoint_request(self) -> endpoint_module.EndpointRequest:
        """Return the request that is sent to the endpoint."""
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

        Between the start of the run and the sending of the call the process may have been paused,
        the availability zone taken out of service, or the limit lowered below the number of calls
        in flight, which includes this one.
        """
        reason = self.runner.checks.check_on_start(self.run.request.call.deadline)
        capacity = self.runner.capacity
        if reason is None and capacity.in_flight.total > capacity.limit.limit:
            reason = work.RefusalReason.AT_LIMIT
        if reason is not None:
            raise errors.AttemptRefusedError(reason.value)

    def handle_chunk(self, chunk: attempts.ResponseChunk) -> None:
        """Charge the chunk's cost, and record the time to the first token."""
        self.charge(chunk.cost)
        if self.run.first_token_at is not None or not chunk.data or not self.is_token_stream():
            return
        now = time.monotonic()
        seconds = now - (self.run.started_at or now)
        self.run.first_token_at = now
        self.end_first_token_wait()
        self.runner.metrics.first_token_seconds.observe(seconds)
        if self.runner.capacity.limit.note_first_token(seconds, self.run.epoch, now):
            self.runner.log_cold("slow first token")
        self.runner.reconcile()

    def is_token_stream(self) -> bool:
        """Return whether the engine responds with tokens.

        The time to an error response does not show whether the engine is warm.
        """
        return (
            self.is_model and self.head is not None and endpoint_module.is_event_stream(self.head)
        )

    def charge(self, cost: float) -> None:
        """Add ``cost``, in cost units, to the cost of the run and of its team."""
        self.run.cost += cost
        self.runner.counters.add(self.run.request.call.team, cost)

    async def deliver(self, event: attempts.AttemptEvent) -> None:
        """Deliver an event, or end the stream if the entry reads too slowly.

        In the latter case EndpointBrokenError is raised for a language-model call that has not
        finished, so that the call is ended too.
        """
        try:
            await self.deliver_before_deadline(event)
        except TimeoutError:
            self.run.stop_delivery()
            self.run.events.put_nowait(attempts.Failed("the entry read too slowly"))
            if self.is_model and not isinstance(event, FINAL_EVENTS):
                raise errors.EndpointBrokenError("the entry read too slowly") from None

    async def deliver_before_deadline(self, event: attempts.AttemptEvent) -> None:
        """Deliver an event. Raises TimeoutError if the queue is full until the call's deadline."""
        if not self.run.events.full():
            await self.run.deliver(event)
            return
        seconds = clocks.remaining_seconds(self.run.request.call.deadline)
        await asyncio.wait_for(self.run.deliver(event), seconds)

    # Outcomes

    def complete(self) -> attempts.Finished:
        """Update the admission limit after a complete response, and return the final event."""
        now = time.monotonic()
        limit = self.runner.capacity.limit
        started_at = self.run.started_at or now
        self.runner.capacity.staged_depth.note_service_time(now - started_at)
        if self.head is not None and self.is_model and self.head.status in OVERLOAD_STATUSES:
            self.runner.reset_to_cold(f"status {self.head.status}")
        elif self.shows_work():
            raised = limit.note_success(self.run.epoch, now)
            if raised and limit.state is admission.AdmissionState.WARM:
                self.runner.logger.log(events.Event.ENDPOINT_WARM, limit=limit.limit)
        return attempts.Finished(self.run.cost)

    def shows_work(self) -> bool:
        """Return whether the response shows that the endpoint did work for the call."""
        if self.is_model:
            return self.is_token_stream()
        return self.head is not None and self.head.status < FIRST_ERROR_STATUS

    def handle_not_started(self, error: errors.EndpointNotStartedError) -> attempts.Refused:
        """Reset admission to the cold limit: the endpoint is overloaded or has restarted."""
        self.runner.logger.log(
            events.Event.ENDPOINT_NOT_STARTED,
            request_id=self.run.request.call.request_id,
            cause=str(error),
        )
        self.runner.reset_to_cold("endpoint refused")
        reason = work.RefusalReason.ENDPOINT_NOT_STARTED
        return self.runner.record_refusal(self.run.request, reason, str(error))

    def handle_broken_call(self, cause: str) -> attempts.Failed:
        """Charge a call that may have run, and update the admission limit.

        A connection that breaks before the deadline may mean that the endpoint has restarted, so
        admission is reset to the cold limit.
        """
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
            self.runner.reset_to_cold("connection broken")
        return attempts.Failed(cause)

    # First token

    def start_first_token_timer(self) -> None:
        """Start the timer that detects an overdue first token."""
        threshold_seconds = self.runner.capacity.limit.first_tokens.threshold_seconds()
        if self.is_model and threshold_seconds is not None:
            loop = asyncio.get_running_loop()
            self.first_token_timer = loop.call_later(
                threshold_seconds, self.on_first_token_overdue, threshold_seconds
            )

    def on_first_token_overdue(self, seconds: float) -> None:
        """Treat the endpoint as cold without waiting any longer for the token.

        ``seconds`` is the time that the call has waited.
        """
        limit = self.runner.capacity.limit
        if limit.note_overdue_first_token(seconds, self.run.epoch, time.monotonic()):
            self.runner.log_cold("first token overdue")
            self.runner.reconcile()

    def end_first_token_wait(self) -> None:
        """Stop the timer, and allow another call to wait for its first token."""
        if self.first_token_timer is not None:
            self.first_token_timer.cancel()
            self.first_token_timer = None
        if self.is_model and not self.run.first_token_wait_ended:
            self.run.first_token_wait_ended = True
            self.runner.capacity.awaiting_first_token -= 1
