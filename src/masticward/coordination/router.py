"""Router of the entry: admits requests, runs their lifecycles and drains them at shutdown."""

import asyncio

from masticward import errors, events, logs, metrics, settings
from masticward.coordination import (
    claims,
    entry_metrics,
    fleet_view,
    request_context,
    request_lifecycle,
    ticket_submitter,
    tickets,
)
from masticward.models import work
from masticward.protocol import attempt_client
from masticward.state import entry_queue, explain, refusals, retry_budget, route_table
from masticward.transport import request_gate, response_sink
from masticward.utils import clocks, identifiers, tasks

logger = logs.get_logger(__name__)


class RouterAdmission(request_gate.Admission):
    """A request whose head was accepted, with its reservation in the entry's queue."""

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
        """Reserve ``size`` bytes before they are added to the body. Raises RequestRefusedError."""
        try:
            self.reservation.reserve_bytes(size)
        except errors.QueueFullError as error:
            raise refusals.queue_full(error) from error

    async def serve(self, body: bytes, sink: response_sink.ResponseSink) -> None:
        """Process the request; the sink then has the whole response."""
        await self.router.serve(self, body, sink)

    def close(self) -> None:
        """Remove the admission; a request that still runs keeps its reservation."""
        self.router.close_admission(self)


class Router(request_gate.RequestGate):
    """Holds the requests of callers until they have an outcome.

    ``ticket_client`` must be set before the first request; its callback is ``on_assign``.
    """

    __slots__ = (
        "admitted_ids",
        "claim_service",
        "context",
        "draining",
        "entry_id",
        "explain_log",
        "group",
        "idle_event",
        "lifecycles",
        "limits",
        "metrics",
        "queue",
        "route_table",
        "submitter",
        "view",
    )

    def __init__(
        self,
        view: fleet_view.FleetView,
        limits: settings.EntryLimits,
        entry_id: str,
        attempts: attempt_client.AttemptClient,
        claim_service: claims.ClaimService | None,
        process_metrics: metrics.ProcessMetrics | None = None,
    ) -> None:
        self.view = view
        self.limits = limits
        self.entry_id = entry_id
        self.claim_service = claim_service
        self.queue = entry_queue.EntryQueue(limits, self.on_evict)
        self.submitter = ticket_submitter.TicketSubmitter(limits.tickets_per_team)
        self.explain_log = explain.ExplainLog(limits.explain_records)
        self.metrics = entry_metrics.EntryMetrics(process_metrics or metrics.ProcessMetrics())
        self.metrics.queue_length.set_function(lambda: self.queue.waiting)
        self.metrics.held_bytes.set_function(lambda: self.queue.body_bytes)
        self.metrics.held_requests.set_function(lambda: len(self.admitted_ids))
        self.context = request_context.RequestContext(
            entry_id=entry_id,
            view=view,
            attempts=attempts,
            claim_service=claim_service,
            submitter=self.submitter,
            budget=retry_budget.RetryBudget(limits.retry_budget_ratio),
            metrics=self.metrics,
            refusal_limit=limits.refusals_per_request,
        )
        self.group = tasks.TaskGroup()
        self.lifecycles: dict[str, request_lifecycle.RequestLifecycle] = {}
        self.admitted_ids: set[str] = set()
        self.idle_event = asyncio.Event()
        self.idle_event.set()
        self.draining = False
        self.route_table: route_table.RouteTable | None = None

    @property
    def ticket_client(self) -> tickets.TicketClient | None:
        """The client that queues tickets with the dispatchers."""
        return self.submitter.ticket_client

    @ticket_client.setter
    def ticket_client(self, ticket_client: tickets.TicketClient) -> None:
        self.submitter.ticket_client = ticket_client

    def on_assign(self, assignment: work.Assignment) -> bool:
        """Assign a slot to its request; return False if the ticket is not waiting any more."""
        return self.submitter.on_assign(assignment)

    def admit(self, head: request_gate.RequestHead, request_id: str = "") -> RouterAdmission:
        """Authenticate the team and resolve the operation. Raises RequestRefusedError."""
        table = self.current_route_table()
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
        admission = RouterAdmission(
            self, request_id, head, team, route, clocks.deadline_after(seconds)
        )
        self.admitted_ids.add(request_id)
        self.idle_event.clear()
        return admission

    def close_admission(self, admission: RouterAdmission) -> None:
        """Remove an admission and its reservation unless its request still runs."""
        if admission.request_id not in self.lifecycles:
            admission.reservation.release()
            self.remove_admitted(admission.request_id)

    def remove_admitted(self, request_id: str) -> None:
        """Remove the id of a request that has ended."""
        self.admitted_ids.discard(request_id)
        if not self.admitted_ids:
            self.idle_event.set()

    async def serve(
        self, admission: RouterAdmission, body: bytes, sink: response_sink.ResponseSink
    ) -> None:
        """Process an admitted request; the sink then has the whole response.

        Cancellation of the calling task means that the caller has disconnected. A plain call in
        flight then runs to completion without it, as it does after the deadline.
        """
        lifecycle = self.create_lifecycle(admission, body, sink)
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
        await self.wait_for_end(lifecycle, lifecycle.task)

    async def wait_for_end(
        self, lifecycle: request_lifecycle.RequestLifecycle, task: asyncio.Task[None]
    ) -> None:
        """Wait for the end of a request; handle its deadline and the loss of the caller."""
        try:
            done, _ = await asyncio.wait(
                {task}, timeout=clocks.remaining_seconds(lifecycle.call.deadline)
            )
            if not done and not await lifecycle.on_deadline():
                await asyncio.wait({task})
        except asyncio.CancelledError:
            lifecycle.on_caller_gone()
            raise

    def create_lifecycle(
        self, admission: RouterAdmission, body: bytes, sink: response_sink.ResponseSink
    ) -> request_lifecycle.RequestLifecycle:
        """Return the lifecycle of an admitted request and add its explain record."""
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
        """Remove a request that has ended; log an unexpected error and abort the response."""
        lifecycle = self.lifecycles.pop(request_id)
        # A task that is cancelled before its first step does not run its own finally block.
        lifecycle.reservation.release()
        self.remove_admitted(request_id)
        if not task.cancelled() and task.exception() is not None:
            logger.log(
                events.Event.REQUEST_BROKEN, request_id=request_id, detail=repr(task.exception())
            )
            if not lifecycle.sink.abandoned:
                lifecycle.sink.abort()

    def on_evict(self, request_id: str) -> None:
        """Refuse a waiting request that the queue evicted."""
        lifecycle = self.lifecycles.get(request_id)
        if lifecycle is not None:
            lifecycle.on_evicted()

    def current_route_table(self) -> route_table.RouteTable:
        """Return the route table of the newest configuration. Raises RequestRefusedError."""
        configuration = self.view.configuration
        if configuration is None:
            raise refusals.no_configuration()
        if self.route_table is None or self.route_table.version != configuration.version:
            self.route_table = route_table.RouteTable(configuration)
        return self.route_table

    def count_refused(self, error: errors.RequestRefusedError) -> None:
        """Count and log a request that was refused before it was queued."""
        self.metrics.count_outcome(work.Outcome.NOT_RUN, error.kind)
        logger.log(events.Event.REQUEST_REFUSED, kind=error.kind, detail=error.message)

    def begin_drain(self) -> None:
        """Let responses ask callers to close their connections; requests are still accepted."""
        self.draining = True
        logger.log(events.Event.ENTRY_DRAINING, held=len(self.admitted_ids))

    async def drained(self) -> None:
        """Wait until no request is being read, queued or running."""
        while self.admitted_ids:
            await self.idle_event.wait()
