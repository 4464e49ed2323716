"""The entry's router: admission of requests, their lifecycles, drain."""

import asyncio

from masticward import errors, events, logs, metrics, settings
from masticward.coordination import claims as claims_module
from masticward.coordination import (
    entry_meters,
    fleet_view,
    request_context,
    request_lifecycle,
    ticket_submitter,
)
from masticward.coordination import tickets as tickets_module
from masticward.models import work
from masticward.protocol import attempt_client
from masticward.state import entry_queue, explain, refusals, retry_budget, route_table
from masticward.transport import request_gate, response_sink
from masticward.utils import clocks, identifiers, tasks

logger = logs.get_logger(__name__)


class Admission(request_gate.Admission):
    """An accepted request with its part of the queue's bounds."""

    __slots__ = ("deadline", "head", "request_id", "reservation", "route", "router", "team")

    def __init__(
        self,
        router: "Router",
        request_id: str,
        head: request_gate.RequestHead,
        team: str,
        route: route_table.Route,
        deadline: float,
    ) -> None:
        self.router = router
        self.request_id = request_id
        self.head = head
        self.team = team
        self.route = route
        self.deadline = deadline
        self.reservation = router.queue.open(team, request_id)

    def grow(self, size: int) -> None:
        """Count bytes of the body before they are kept. Raises RequestRefusedError."""
        try:
            self.reservation.reserve_bytes(size)
        except errors.QueueFullError as error:
            raise refusals.queue_full(error) from error

    async def serve(self, body: bytes, sink: response_sink.ResponseSink) -> None:
        """Bring the request to its outcome."""
        await self.router.serve(self, body, sink)

    def close(self) -> None:
        """Forget the admission; a request that still runs keeps its part of the bounds."""
        self.router.close_admission(self)


class Router(request_gate.RequestGate):
    """Holds callers' requests until they have an outcome.

    ``tickets`` must be set before the first request; its callback is ``on_assign``.
    """

    __slots__ = (
        "admissions",
        "claims",
        "context",
        "draining",
        "entry_id",
        "explain_log",
        "group",
        "idle",
        "lifecycles",
        "limits",
        "meters",
        "queue",
        "submitter",
        "table",
        "view",
    )

    def __init__(
        self,
        view: fleet_view.FleetView,
        limits: settings.EntryLimits,
        entry_id: str,
        attempts: attempt_client.AttemptClient,
        claims: claims_module.ClaimService | None,
        process_metrics: metrics.ProcessMetrics | None = None,
    ) -> None:
        self.view = view
        self.limits = limits
        self.entry_id = entry_id
        self.claims = claims
        self.queue = entry_queue.EntryQueue(limits, self.on_evict)
        self.submitter = ticket_submitter.TicketSubmitter(limits.tickets_per_team)
        self.explain_log = explain.ExplainLog(limits.explain_records)
        self.meters = entry_meters.EntryMeters(process_metrics or metrics.ProcessMetrics())
        self.meters.queue_length.set_function(lambda: self.queue.waiting)
        self.meters.bytes_held.set_function(lambda: self.queue.body_bytes)
        self.meters.held.set_function(lambda: len(self.admissions))
        self.context = request_context.RequestContext(
            entry_id=entry_id,
            view=view,
            attempts=attempts,
            claim_service=claims,
            submitter=self.submitter,
            budget=retry_budget.RetryBudget(limits.retry_budget_ratio),
            meters=self.meters,
            refusal_limit=limits.refusals_per_request,
        )
        self.group = tasks.TaskGroup()
        self.lifecycles: dict[str, request_lifecycle.RequestLifecycle] = {}
        self.admissions: set[str] = set()
        self.idle = asyncio.Event()
        self.idle.set()
        self.draining = False
        self.table: route_table.RouteTable | None = None

    @property
    def tickets(self) -> tickets_module.TicketClient | None:
        """The client that queues tickets at the dispatchers."""
        return self.submitter.ticket_client

    @tickets.setter
    def tickets(self, ticket_client: tickets_module.TicketClient) -> None:
        self.submitter.ticket_client = ticket_client

    def on_assign(self, assignment: work.Assignment) -> bool:
        """Hand a slot to its request; returns False if the ticket no longer waits."""
        return self.submitter.on_assign(assignment)

    def admit(self, head: request_gate.RequestHead, request_id: str = "") -> Admission:
        """Authenticate the team and find the operation. Raises RequestRefusedError."""
        table = self.current_table()
        team = table.team_for_credential(head.credential)
        if team is None:
            raise refusals.unknown_team()
        route = table.find_route(head.method, head.path)
        if route is None:
            raise refusals.unknown_service(head.method, head.path)
        seconds = min(
            head.deadline_seconds or self.limits.default_deadline_seconds,
            self.limits.maximum_deadline_seconds,
        )
        request_id = request_id or identifiers.new_identifier()
        admission = Admission(self, request_id, head, team, route, clocks.deadline_after(seconds))
        self.admissions.add(request_id)
        self.idle.clear()
        return admission

    def close_admission(self, admission: Admission) -> None:
        """Forget an admission unless its request still runs."""
        if admission.request_id not in self.lifecycles:
            admission.reservation.release()
            self.forget(admission.request_id)

    def forget(self, request_id: str) -> None:
        """Stop counting a request as held."""
        self.admissions.discard(request_id)
        if not self.admissions:
            self.idle.set()

    async def serve(
        self, admission: Admission, body: bytes, sink: response_sink.ResponseSink
    ) -> None:
        """Bring an admitted request to its outcome; the sink then has the whole response.

        If the calling task is cancelled, the caller counts as gone. A plain call in flight then
        runs to its end without it, as it does after the deadline.
        """
        lifecycle = self.new_lifecycle(admission, body, sink)
        try:
            admission.reservation.enter_queue()
        except errors.QueueFullError as error:
            await lifecycle.end_refused(refusals.queue_full(error))
            return
        self.context.budget.record_request()
        self.lifecycles[admission.request_id] = lifecycle
        lifecycle.task = self.group.spawn(lifecycle.run(), f"request {admission.request_id}")
        lifecycle.task.add_done_callback(
            lambda task: self.on_lifecycle_ended(admission.request_id, task)
        )
        await self.attend(lifecycle, lifecycle.task)

    async def attend(
        self, lifecycle: request_lifecycle.RequestLifecycle, task: asyncio.Task[None]
    ) -> None:
        """Wait for the end of a request, the caller's deadline or the loss of the caller."""
        try:
            done, _ = await asyncio.wait(
                {task}, timeout=clocks.remaining_seconds(lifecycle.call.deadline)
            )
            if not done and not await lifecycle.on_deadline():
                await asyncio.wait({task})
        except asyncio.CancelledError:
            lifecycle.on_caller_gone()
            raise

    def new_lifecycle(
        self, admission: Admission, body: bytes, sink: response_sink.ResponseSink
    ) -> request_lifecycle.RequestLifecycle:
        """Return the lifecycle of an admitted request and start its record."""
        head = admission.head
        operation = admission.route.operation
        record = explain.RequestRecord(
            request_id=admission.request_id,
            team=admission.team,
            service=admission.route.service.name,
            operation=operation.name,
        )
        self.explain_log.add(record)
        call = work.CallRequest(
            request_id=admission.request_id,
            team=admission.team,
            service=admission.route.service.name,
            operation=operation.name,
            method=head.method,
            path=head.target,
            headers=head.headers,
            body=body,
            deadline=admission.deadline,
            cost_hint=head.cost_hint,
        )
        return request_lifecycle.RequestLifecycle(
            self.context,
            call=call,
            route=admission.route,
            reservation=admission.reservation,
            sink=sink,
            record=record,
            idempotency_key=head.idempotency_key,
        )

    def on_lifecycle_ended(self, request_id: str, task: asyncio.Task[None]) -> None:
        """Forget a request; a failure that is not an outcome is logged and cuts the response."""
        lifecycle = self.lifecycles.pop(request_id)
        # A task that is cancelled before its first step never reaches its own clean-up.
        lifecycle.reservation.release()
        self.forget(request_id)
        if not task.cancelled() and task.exception() is not None:
            logger.log(
                events.Event.REQUEST_BROKEN, request_id=request_id, detail=repr(task.exception())
            )
            if not lifecycle.sink.abandoned:
                lifecycle.sink.abort()

    def on_evict(self, request_id: str) -> None:
        """Refuse a waiting request that the queue replaced."""
        lifecycle = self.lifecycles.get(request_id)
        if lifecycle is not None:
            lifecycle.on_evicted()

    def current_table(self) -> route_table.RouteTable:
        """Return the indexes of the newest configuration. Raises RequestRefusedError."""
        configuration = self.view.configuration
        if configuration is None:
            raise refusals.no_configuration()
        if self.table is None or self.table.version != configuration.version:
            self.table = route_table.RouteTable(configuration)
        return self.table

    def count_refused(self, error: errors.RequestRefusedError) -> None:
        """Count a request that was refused before it was queued."""
        self.meters.count_outcome(work.Outcome.NOT_RUN, error.kind)
        logger.log(events.Event.REQUEST_REFUSED, kind=error.kind, detail=error.message)

    def begin_drain(self) -> None:
        """Ask callers to close their connections; requests are still accepted."""
        self.draining = True
        logger.log(events.Event.ENTRY_DRAINING, held=len(self.admissions))

    async def drained(self) -> None:
        """Wait until no request is held, neither queued nor running nor being read."""
        while self.admissions:
            await self.idle.wait()
