"""The agent's side of an attempt: admission, staging, running, and the reports about them."""

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
# A load report is taken to show the endpoint as it was at most this long before it was asked for.
DEFAULT_REPORT_LAG_SECONDS = 1.0
RETRY_AFTER_MS = 50
# Bounds what is kept while no dispatcher takes reports.
FINISHED_KEPT = 20_000
Reason = work.RefusalReason


class EndpointRunner(offers.SlotSource, attempt_server.AttemptRunner):
    """Runs attempts at one endpoint. ``start`` must be called before the first attempt."""

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
        self.idle = asyncio.Event()
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
        self.opened = False
        self.report_missing = False
        # Whether the dispatcher last told that tickets wait there.
        self.work_waits = False
        self.tasks = tasks.TaskGroup()
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.metrics = agent_metrics.AgentMetrics(process_metrics or metrics.ProcessMetrics())
        self.logger = logs.get_logger(__name__)

    # Life cycle

    def start(self) -> None:
        """Begin to read load reports and to follow the view."""
        self.view.subscribe(self.reconcile)
        self.tasks.spawn(self.poll_load(), "poll load report")
        self.reconcile()

    def is_stopping(self) -> bool:
        """Tell whether this agent or its endpoint is about to stop."""
        return self.draining or self.endpoint_leaving

    def begin_drain(self) -> None:
        """Refuse new attempts and those that wait; running ones finish."""
        if self.draining:
            return
        self.draining = True
        self.view.announce_leaving()
        self.logger.log(
            events.Event.AGENT_DRAINING, running=len(self.running), staged=len(self.staged)
        )
        self.reconcile()

    async def drained(self) -> None:
        """Wait until nothing runs or waits and every stream has been handed over."""
        while self.running or self.staged or self.open_streams:
            self.idle.clear()
            await self.idle.wait()

    async def close(self) -> None:
        """Stop at once; running calls break off and waiting ones do not start."""
        self.draining = True
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        await self.tasks.cancel()

    # Attempts

    async def run(
        self, request: attempts.AttemptRequest
    ) -> collections.abc.AsyncGenerator[attempts.AttemptEvent, None]:
        """Run one attempt at most once and yield its events; the last one ends it.

        A Refused comes first or right after Accepted. If the iterator is closed early, a waiting
        call is dropped, a language-model call is cancelled and a plain call runs to its end.
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
                ended = isinstance(event, run_execution.LAST_EVENTS)
                yield event
        finally:
            self.open_streams -= 1
            self.leave(run)

    def admit(self, request: attempts.AttemptRequest) -> attempts.Refused | None:
        """Take the attempt in or tell why not. Its slot is used up in both cases."""
        now = time.monotonic()
        reason = self.checks.check_target(request)
        if reason is None and self.attempts.is_accepted(request.attempt_id):
            reason = Reason.DUPLICATE_ATTEMPT
        if reason is None:
            turnaround = self.slots.age(request.slot_id, now)
            if turnaround is not None and self.work_waits:
                self.capacity.staged_depth.note_turnaround(turnaround)
            slot_reason = self.slots.use(request.slot_id, now)
            reason = self.checks.on_arrival(request) or slot_reason
        if reason is None:
            reason = self.check_room(request, now)
        if reason is not None:
            return self.refusal_of(request, reason)
        self.attempts.accept(request.attempt_id, request.call.deadline, now)
        return None

    def check_room(self, request: attempts.AttemptRequest, now: float) -> Reason | None:
        """Check the operation and the limit."""
        service = self.checks.service
        if service is None or not admission_checks.find_operation(service, request.call.operation):
            return Reason.NO_CONFIGURATION
        return None if self.capacity.available_calls(len(self.staged), now) > 0 else Reason.AT_LIMIT

    def refusal_of(
        self, request: attempts.AttemptRequest, reason: Reason, detail: str = ""
    ) -> attempts.Refused:
        """Record a refusal and return its event."""
        self.metrics.refusals.labels(reason=reason.value).inc()
        # A duplicate must not end the reservation of the ticket's attempt that runs.
        if all(run.request.ticket_id != request.ticket_id for run in self.running.values()):
            self.note_finished(request.ticket_id, 0.0)
        return attempts.Refused(reason, RETRY_AFTER_MS, detail)

    def leave(self, run: runs.Run) -> None:
        """Let go of a run whose stream has ended or was closed early."""
        run.stop_listening()
        if self.staged.remove(run):
            self.note_finished(run.request.ticket_id, 0.0)
        elif run.task is not None and run.is_model:
            run.task.cancel()
        self.reconcile()

    # Starting

    def reconcile(self) -> None:
        """Start what may start, refuse what may not, and tell the offer loop."""
        self.checks.note_view(time.monotonic())
        service = self.checks.service
        if service is not None:
            self.capacity.limit.set_limits(service.cold_limit, service.warm_limit)
        self.refuse_unfit()
        if service is not None:
            while self.staged and self.capacity.may_start(service.kind, time.monotonic()):
                self.launch(self.staged.take_first(), service)
        self.arm_deadline_timer()
        self.note_state()
        self.changed.set()
        self.idle.set()

    def refuse_unfit(self) -> None:
        """Refuse the waiting runs that may not start any more, none of which has started."""
        for run, reason in self.staged.take_unfit(
            lambda run: self.checks.on_start(run.request.call.deadline)
        ):
            self.refuse_waiting(run, reason)
        for _ in range(self.capacity.excess_staged_calls(len(self.staged))):
            self.refuse_waiting(self.staged.take_last(), Reason.AT_LIMIT)

    def refuse_waiting(self, run: runs.Run, reason: Reason) -> None:
        """End a run that waited."""
        self.logger.log(
            events.Event.STAGED_REFUSED,
            request_id=run.request.call.request_id,
            reason=reason.value,
        )
        run.events.put_nowait(self.refusal_of(run.request, reason))

    def launch(self, run: runs.Run, service: configuration_models.Service) -> None:
        """Start a run's call in a task of its own."""
        operation = admission_checks.find_operation(service, run.request.call.operation)
        if operation is None:
            self.refuse_waiting(run, Reason.NO_CONFIGURATION)
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
        run.task = self.tasks.spawn(execution.carry_out(), "attempt")
        run.task.add_done_callback(execution.note_task_end)

    def arm_deadline_timer(self) -> None:
        """Wake up when the next waiting run's deadline passes."""
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
        """Free the run's slot; ``confirmed`` tells that the endpoint no longer works on it."""
        now = time.monotonic()
        if self.running.pop(run.request.attempt_id, None) is None:
            return
        self.capacity.in_flight.end(now, confirmed)
        if run.started_at is not None:
            self.metrics.busy_slot_seconds.inc(now - run.started_at)
        self.note_finished(run.request.ticket_id, run.cost)
        self.reconcile()

    def note_finished(self, ticket_id: str, cost: float) -> None:
        """Keep the final cost of a ticket for the next report."""
        self.finished[ticket_id] = cost
        while len(self.finished) > FINISHED_KEPT:
            del self.finished[next(iter(self.finished))]

    def go_cold(self, cause: str) -> None:
        """Return to the cold limit."""
        self.capacity.limit.reset_to_cold()
        self.note_cold(cause)

    def note_cold(self, cause: str) -> None:
        """Log a return to the cold limit."""
        self.logger.log(events.Event.ENDPOINT_COLD, cause=cause, limit=self.capacity.limit.limit)

    # Load reports

    async def poll_load(self) -> None:
        """Read the load report again and again."""
        while True:
            await self.read_load()
            await asyncio.sleep(self.load_period_seconds)

    async def read_load(self) -> None:
        """Read the load report once."""
        requested_at = time.monotonic()
        answer = await self.endpoint.load(requested_at + LOAD_TIMEOUT_SECONDS)
        now = time.monotonic()
        report = answer.value_or(None)
        if report is None:
            self.capacity.in_flight.note_missing_report(now)
            self.log_report_missing(str(answer.failure()), now)
        else:
            self.take_report(report, requested_at, now)
        self.reconcile()

    def log_report_missing(self, cause: str, now: float) -> None:
        """Log once that the load report is missing."""
        if not self.report_missing and self.capacity.limit.is_report_missing(now):
            self.report_missing = True
            self.logger.log(events.Event.LOAD_REPORT_MISSING, cause=cause)

    def take_report(
        self, report: endpoint_module.LoadReport, requested_at: float, now: float
    ) -> None:
        """Take a load report into account."""
        if self.report_missing:
            self.report_missing = False
            self.logger.log(events.Event.LOAD_REPORT_BACK)
        self.capacity.in_flight.note_report(report.running, requested_at, now)
        self.endpoint_leaving = report.leaving
        if self.capacity.limit.note_report(
            report.cold, report.incarnation, report.limit_hint, requested_at, now
        ):
            self.note_cold("load report")

    # What the offer loop reads

    def issue_slots(self) -> offers.SlotOffer:
        """Issue what there is room for."""
        now = time.monotonic()
        room = 0
        if self.checks.check_standing() is None:
            room = self.capacity.available_calls(len(self.staged), now) - self.slots.count_valid(
                now
            )
        slot_ids, deadline = self.slots.issue(room, now)
        return offers.SlotOffer(slot_ids=slot_ids, deadline=deadline)

    def reclaim_slots(self, slot_ids: tuple[int, ...]) -> None:
        """Take back slots that a dispatcher discarded, so that new ones may be issued."""
        for slot_id in slot_ids:
            self.slots.withdraw(slot_id)

    def report(self) -> offers.UsageReport:
        """Return all counters; the finished tickets are handed over once."""
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
        """Tell whether the agent is out of service or about to stop."""
        return self.checks.check_out_of_service() is not None

    def record_one_way_delay(self, seconds: float) -> None:
        """Record a one-way time to the dispatcher in seconds."""
        self.capacity.staged_depth.note_hop_time(seconds)

    def record_waiting_tickets(self, count: int) -> None:
        """Record how many tickets wait at the dispatcher."""
        self.work_waits = count > 0

    # Metrics

    def note_state(self) -> None:
        """Bring the gauges up to date and log when admission opens."""
        self.metrics.running.set(len(self.running))
        self.metrics.earlier.set(self.capacity.in_flight.earlier_calls)
        self.metrics.staged.set(len(self.staged))
        self.metrics.limit.set(self.capacity.limit.limit)
        if not self.opened and self.capacity.limit.is_open(time.monotonic()):
            self.opened = True
            self.logger.log(
                events.Event.ADMISSION_OPENED, earlier=self.capacity.in_flight.earlier_calls
            )
