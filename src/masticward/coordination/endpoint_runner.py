"""Admits, stages and runs attempts at an agent's endpoint, and reports their cost."""

import asyncio
import collections.abc
import time

from masticward import events, logs, metrics
from masticward.coordination import (
    admission_checks,
    agent_metrics,
    fleet_view,
    offers,
    run_execution,
    runs,
)
from masticward.models import attempts, membership, work
from masticward.models import configuration as configuration_models
from masticward.protocol import attempt_server
from masticward.state import attempts as attempt_table
from masticward.state import capacity, service_counters, slots
from masticward.transport import endpoint as endpoint_module
from masticward.utils import clocks, tasks

DEFAULT_LOAD_PERIOD_SECONDS = 0.5
LOAD_TIMEOUT_SECONDS = 1.0
# A load report is assumed to show the endpoint's state at most this long before the request for it.
DEFAULT_REPORT_LAG_SECONDS = 1.0
RETRY_AFTER_MS = 50
# Bounds the memory for final costs while no dispatcher receives reports.
MAXIMUM_FINISHED_TICKETS = 20_000
Reason = work.RefusalReason


class EndpointRunner(offers.SlotSource, attempt_server.AttemptRunner):
    """Runs attempts at one endpoint. ``start`` must be called before the first attempt.

    An admitted run is staged first. It starts once the admission limit has room for it.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        endpoint: endpoint_module.Endpoint,
        instance: membership.Instance,
        incarnation: int,
        service_name: str,
        *,
        process_metrics: metrics.ProcessMetrics | None = None,
        load_period_seconds: float = DEFAULT_LOAD_PERIOD_SECONDS,
        report_lag_seconds: float = DEFAULT_REPORT_LAG_SECONDS,
    ) -> None:
        self.view = view
        self.endpoint = endpoint
        self.instance = instance
        self.incarnation = incarnation
        self.load_period_seconds = load_period_seconds
        self.changed = asyncio.Event()
        self.runs_changed = asyncio.Event()
        self.checks = admission_checks.AdmissionChecks(
            view, instance, incarnation, service_name, self.is_stopping
        )
        self.capacity = capacity.EndpointCapacity(time.monotonic(), report_lag_seconds)
        self.slots = slots.SlotTable()
        self.attempts = attempt_table.AttemptTable()
        self.counters = service_counters.ServiceCounters()
        self.staged = runs.StagedRuns()
        self.running: dict[str, runs.Run] = {}
        self.finished: dict[str, float] = {}
        self.open_streams = 0
        self.draining = False
        self.endpoint_leaving = False
        self.admission_opened = False
        self.report_missing = False
        # Whether tickets wait at the dispatcher, according to its latest pong.
        self.dispatcher_has_tickets = False
        self.background = tasks.TaskGroup()
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.metrics = agent_metrics.AgentMetrics(process_metrics or metrics.ProcessMetrics())
        self.logger = logs.get_logger(__name__)

    # Life cycle

    def start(self) -> None:
        """Start to poll load reports, and subscribe to changes of the fleet view."""
        self.view.subscribe(self.reconcile)
        self.background.spawn(self.poll_load(), "poll load report")
        self.reconcile()

    def is_stopping(self) -> bool:
        """Return whether this agent or its endpoint is about to stop."""
        return self.draining or self.endpoint_leaving

    def begin_drain(self) -> None:
        """Refuse new and staged attempts from now on. Running ones finish."""
        if self.draining:
            return
        self.draining = True
        self.view.announce_leaving()
        self.logger.log(
            events.Event.AGENT_DRAINING, running=len(self.running), staged=len(self.staged)
        )
        self.reconcile()

    async def drained(self) -> None:
        """Wait until no run is running or staged and all response streams have ended."""
        while self.running or self.staged or self.open_streams:
            self.runs_changed.clear()
            await self.runs_changed.wait()

    async def close(self) -> None:
        """Cancel running calls and all background tasks. Staged calls do not start."""
        self.draining = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        await self.background.cancel()

    # Attempts

    async def run(
        self, request: attempts.AttemptRequest
    ) -> collections.abc.AsyncGenerator[attempts.AttemptEvent, None]:
        """Run one attempt at most once and yield its events; the last event is final.

        Refused is yielded first or directly after Accepted. If the iterator is closed early, a
        staged call is removed, a language-model call is cancelled and a plain call continues.
        """
        refusal = self.admit(request)
        if refusal is not None:
            yield refusal
            return
        run = runs.Run(request)
        self.open_streams += 1
        self.staged.append(run)
        try:
            self.reconcile()
            yield attempts.Accepted()
            ended = False
            while not ended:
                event = await run.events.get()
                ended = isinstance(event, run_execution.FINAL_EVENTS)
                yield event
        finally:
            self.open_streams -= 1
            self.on_stream_closed(run)

    def admit(self, request: attempts.AttemptRequest) -> attempts.Refused | None:
        """Admit the attempt, or return its refusal. An attempt uses up its slot either way."""
        now = time.monotonic()
        reason = self.checks.check_target(request)
        if reason is None and self.attempts.is_accepted(request.attempt_id):
            reason = Reason.DUPLICATE_ATTEMPT
        if reason is None:
            turnaround = self.slots.age(request.slot_id, now)
            if turnaround is not None and self.dispatcher_has_tickets:
                self.capacity.staged_depth.record_turnaround(turnaround)
            slot_reason = self.slots.use(request.slot_id, now)
            reason = self.checks.check_on_arrival(request) or slot_reason
        if reason is None:
            reason = self.check_capacity(request, now)
        if reason is not None:
            return self.record_refusal(request, reason)
        self.attempts.accept(request.attempt_id, request.call.deadline, now)
        return None

    def check_capacity(self, request: attempts.AttemptRequest, now: float) -> Reason | None:
        """Check that the operation is configured and that the agent has capacity."""
        service = self.checks.service
        if service is None or not admission_checks.find_operation(service, request.call.operation):
            return Reason.NO_CONFIGURATION
        return None if self.capacity.available_calls(len(self.staged), now) > 0 else Reason.AT_LIMIT

    def record_refusal(
        self, request: attempts.AttemptRequest, reason: Reason, detail: str = ""
    ) -> attempts.Refused:
        """Record a refusal and return its event."""
        self.metrics.refusals.labels(reason=reason.value).inc()
        # A refused duplicate must not release the cost reserved for the attempt that is running.
        if all(run.request.ticket_id != request.ticket_id for run in self.running.values()):
            self.add_finished(request.ticket_id, 0.0)
        return attempts.Refused(reason, RETRY_AFTER_MS, detail)

    def on_stream_closed(self, run: runs.Run) -> None:
        """Clean up after a run's stream has ended or was closed early."""
        run.stop_delivery()
        if self.staged.remove(run):
            self.add_finished(run.request.ticket_id, 0.0)
        elif run.task is not None and run.is_model:
            run.task.cancel()
        self.reconcile()

    # Starting

    def reconcile(self) -> None:
        """Start or refuse staged runs, and notify the offer loop.

        Must be called after every change of the fleet view, the limit, the load or the runs.
        """
        self.checks.track_configuration(time.monotonic())
        service = self.checks.service
        if service is not None:
            self.capacity.limit.set_limits(service.cold_limit, service.warm_limit)
        self.refuse_failing_staged()
        if service is not None:
            while self.staged and self.capacity.may_start(service.kind, time.monotonic()):
                self.start_run(self.staged.take_first(), service)
        self.update_deadline_timer()
        self.update_metrics()
        self.changed.set()
        self.runs_changed.set()

    def refuse_failing_staged(self) -> None:
        """Refuse staged runs that may no longer start, and those that exceed the capacity."""
        for run, reason in self.staged.take_failing(
            lambda run: self.checks.check_on_start(run.request.call.deadline)
        ):
            self.refuse_staged(run, reason)
        for _ in range(self.capacity.excess_staged_calls(len(self.staged))):
            self.refuse_staged(self.staged.take_last(), Reason.AT_LIMIT)

    def refuse_staged(self, run: runs.Run, reason: Reason) -> None:
        """End a staged run with a refusal."""
        self.logger.log(
            events.Event.STAGED_REFUSED,
            request_id=run.request.call.request_id,
            reason=reason.value,
        )
        run.events.put_nowait(self.record_refusal(run.request, reason))

    def start_run(self, run: runs.Run, service: configuration_models.Service) -> None:
        """Start a task for a run's call."""
        operation = admission_checks.find_operation(service, run.request.call.operation)
        if operation is None:
            self.refuse_staged(run, Reason.NO_CONFIGURATION)
            return
        now = time.monotonic()
        run.started_at = now
        run.epoch = self.capacity.limit.epoch
        self.capacity.in_flight.start(now)
        self.running[run.request.attempt_id] = run
        if service.kind is configuration_models.ServiceKind.LANGUAGE_MODEL:
            self.capacity.awaiting_first_token += 1
        execution = run_execution.RunExecution(self, run, service, operation)
        run.is_model = execution.is_model
        run.task = self.background.spawn(execution.execute(), "attempt")
        run.task.add_done_callback(execution.on_task_done)

    def update_deadline_timer(self) -> None:
        """Schedule ``reconcile`` for the earliest deadline of the staged runs."""
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
            self.deadline_timer = None
        deadline = self.staged.next_deadline()
        if deadline is not None:
            loop = asyncio.get_running_loop()
            delay = clocks.remaining_seconds(deadline) + 0.001
            self.deadline_timer = loop.call_later(delay, self.reconcile)

    # Ending

    def release(self, run: runs.Run, confirmed: bool) -> None:
        """Remove a run and free its capacity.

        ``confirmed`` is whether the endpoint has certainly stopped working on the call.
        """
        now = time.monotonic()
        if self.running.pop(run.request.attempt_id, None) is None:
            return
        self.capacity.in_flight.end(now, confirmed)
        if run.started_at is not None:
            self.metrics.busy_slot_seconds.inc(now - run.started_at)
        self.add_finished(run.request.ticket_id, run.cost)
        self.reconcile()

    def add_finished(self, ticket_id: str, cost: float) -> None:
        """Store the final cost of a ticket for the next report."""
        offers.add_final_cost(self.finished, ticket_id, cost)
        while len(self.finished) > MAXIMUM_FINISHED_TICKETS:
            del self.finished[next(iter(self.finished))]

    def reset_to_cold(self, cause: str) -> None:
        """Reset admission to the cold limit."""
        self.capacity.limit.reset_to_cold()
        self.log_cold(cause)

    def log_cold(self, cause: str) -> None:
        """Log that admission was reset to the cold limit."""
        self.logger.log(events.Event.ENDPOINT_COLD, cause=cause, limit=self.capacity.limit.limit)

    # Load reports

    async def poll_load(self) -> None:
        """Poll load reports until cancelled."""
        while True:
            await self.poll_load_once()
            await asyncio.sleep(self.load_period_seconds)

    async def poll_load_once(self) -> None:
        """Request and apply one load report."""
        requested_at = time.monotonic()
        answer = await self.endpoint.load(requested_at + LOAD_TIMEOUT_SECONDS)
        now = time.monotonic()
        report = answer.value_or(None)
        if report is None:
            self.capacity.in_flight.record_missing_report(now)
            self.log_report_missing(str(answer.failure()), now)
        else:
            self.apply_load_report(report, requested_at, now)
        self.reconcile()

    def log_report_missing(self, cause: str, now: float) -> None:
        """Log that load reports are missing, once until the next report arrives."""
        if not self.report_missing and self.capacity.limit.is_report_missing(now):
            self.report_missing = True
            self.logger.log(events.Event.LOAD_REPORT_MISSING, cause=cause)

    def apply_load_report(
        self, report: endpoint_module.LoadReport, requested_at: float, now: float
    ) -> None:
        """Update the capacity from a load report. Times are monotonic seconds."""
        if self.report_missing:
            self.report_missing = False
            self.logger.log(events.Event.LOAD_REPORT_BACK)
        self.capacity.in_flight.record_report(report.running, requested_at, now)
        self.endpoint_leaving = report.leaving
        if self.capacity.limit.record_report(
            report.cold, report.incarnation, report.limit_hint, requested_at, now
        ):
            self.log_cold("load report")

    # Slot source of the offer loop

    def issue_slots(self) -> offers.SlotOffer:
        """Issue slots up to the free capacity."""
        now = time.monotonic()
        available_calls = 0
        if self.checks.check_may_start() is None:
            available_calls = self.capacity.available_calls(
                len(self.staged), now
            ) - self.slots.count_valid(now)
        slot_ids, deadline = self.slots.issue(available_calls, now)
        return offers.SlotOffer(slot_ids=slot_ids, deadline=deadline)

    def reclaim_slots(self, slot_ids: tuple[int, ...]) -> None:
        """Reclaim slots that a dispatcher returned, so that new ones may be issued."""
        for slot_id in slot_ids:
            self.slots.reclaim(slot_id)

    def report(self) -> offers.UsageReport:
        """Return all counters. Each finished ticket is included in one report only."""
        finished, self.finished = self.finished, {}
        return offers.UsageReport(
            counters=self.counters.snapshot(),
            progress={run.request.ticket_id: run.cost for run in self.running.values()},
            finished=finished,
            running=len(self.running),
            staged=len(self.staged),
            limit=self.capacity.limit.limit,
            admission_state=self.capacity.limit.state.value,
        )

    def is_retracted(self) -> bool:
        """Return whether the agent is out of service or about to stop."""
        return self.checks.check_out_of_service() is not None

    def record_one_way_delay(self, seconds: float) -> None:
        """Record a one-way network delay to the dispatcher."""
        self.capacity.staged_depth.record_one_way_delay(seconds)

    def record_waiting_tickets(self, count: int) -> None:
        """Record the number of tickets that wait at the dispatcher."""
        self.dispatcher_has_tickets = count > 0

    # Metrics

    def update_metrics(self) -> None:
        """Update the gauges, and log when admission opens for the first time."""
        self.metrics.running.set(len(self.running))
        self.metrics.earlier_calls.set(self.capacity.in_flight.earlier_calls)
        self.metrics.staged.set(len(self.staged))
        self.metrics.limit.set(self.capacity.limit.limit)
        if not self.admission_opened and self.capacity.limit.is_open(time.monotonic()):
            self.admission_opened = True
            self.logger.log(
                events.Event.ADMISSION_OPENED, earlier=self.capacity.in_flight.earlier_calls
            )
