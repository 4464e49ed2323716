"""Fakes for tests of the router: fleet view, ticket client, attempt client and response sink."""

import asyncio
import collections.abc
import hashlib
import time
import typing
import unittest.mock

from masticward import errors, settings
from masticward.coordination import claims as claims_module
from masticward.coordination import fleet_view, router, tickets
from masticward.models import configuration as configuration_models
from masticward.models import work
from masticward.protocol import attempt_client
from masticward.state import frames
from masticward.transport import request_gate, response_sink

Events = collections.abc.AsyncGenerator[frames.AttemptEvent, None]
Step = collections.abc.Callable[[attempt_client.AttemptRequest], Events]


def build_operation(name: str, path: str, idempotent: bool) -> configuration_models.Operation:
    return configuration_models.Operation(
        name=name, method="POST", path=path, idempotent=idempotent
    )


def build_configuration(version: int = 1) -> configuration_models.Configuration:
    common = {"cold_limit": 1, "warm_limit": 4, "endpoints": 1}
    return configuration_models.Configuration(
        version=version,
        availability_zones=("ebene",),
        services=(
            configuration_models.Service(
                name="model",
                kind=configuration_models.ServiceKind.LANGUAGE_MODEL,
                operations=(
                    build_operation("generate", "/v1/generate", True),
                    build_operation("act", "/v1/act", False),
                ),
                **common,
            ),
            configuration_models.Service(
                name="booking",
                kind=configuration_models.ServiceKind.PLAIN,
                operations=(
                    build_operation("book", "/v1/book", False),
                    build_operation("look", "/v1/look/*", True),
                ),
                **common,
            ),
        ),
        teams=tuple(
            configuration_models.Team(
                name=name,
                share=1.0,
                credential_digests=(hashlib.sha256(f"{name}-key".encode()).hexdigest(),),
            )
            for name in ("mango", "papaya", "litchi")
        ),
    )


def build_view() -> typing.Any:
    """Return a fake fleet view; ``out_of_service`` and ``suspected`` are sets of instance ids."""
    view = unittest.mock.create_autospec(fleet_view.FleetView, instance=True)
    view.configuration = build_configuration()
    view.operations = configuration_models.OperationsState(version=1)
    view.out_of_service = set()
    view.is_out_of_service.side_effect = lambda instance_id, zone: (
        instance_id in view.out_of_service
    )
    view.is_leaving.return_value = False
    view.suspected = set()
    view.is_suspected.side_effect = lambda instance_id: instance_id in view.suspected
    return view


class FakeTicketClient(tickets.TicketClient):
    """Assigns a slot to each ticket, at once with ``assign_at_once``, else by calls of ``assign``.

    Slots are on the agents in ``agents``, in order, then on agent-1.
    """

    def __init__(self, target: router.Router) -> None:
        self.router = target
        self.assign_at_once = True
        self.queued: dict[str, work.Ticket] = {}
        self.submitted: list[work.Ticket] = []
        self.withdrawn: list[str] = []
        self.declined: list[tuple[work.Assignment, bool]] = []
        self.agents: list[str] = []

    def submit(self, ticket: work.Ticket) -> None:
        self.queued[ticket.id] = ticket
        self.submitted.append(ticket)
        if self.assign_at_once:
            asyncio.get_running_loop().call_soon(self.assign, ticket.id)

    def assign(self, ticket_id: str, slot_seconds: float = 2.0) -> bool:
        agent = self.agents.pop(0) if self.agents else "agent-1"
        slot = work.Slot(
            id=len(self.submitted),
            agent_id=agent,
            agent_incarnation=1,
            agent_address="127.0.0.1:1",
            availability_zone="ebene",
            deadline=time.monotonic() + slot_seconds,
        )
        assignment = work.Assignment(ticket_id=ticket_id, slot=slot, virtual_time=3.0, queue_ms=1.0)
        assigned = self.router.on_assign(assignment)
        self.queued.pop(ticket_id, None)
        return assigned

    def withdraw(self, ticket_id: str) -> None:
        self.withdrawn.append(ticket_id)
        self.queued.pop(ticket_id, None)

    def decline(self, assignment: work.Assignment, slot_valid: bool) -> None:
        self.declined.append((assignment, slot_valid))

    def dispatcher_of(self, service: str) -> str:
        return "agent-1"


class ScriptedAttempts(attempt_client.AttemptClient):
    """Runs the next scripted step for each attempt; the last step is repeated."""

    def __init__(self, *steps: Step) -> None:
        self.steps = list(steps) or [answer()]
        self.runs: list[attempt_client.AttemptRequest] = []
        self.closed = 0

    async def run(self, attempt: attempt_client.AttemptRequest) -> Events:
        step = self.steps.pop(0) if len(self.steps) > 1 else self.steps[0]
        self.runs.append(attempt)
        attempt.sent = True
        try:
            async for event in step(attempt):
                yield event
        finally:
            self.closed += 1


def answer(*parts: bytes, gate: asyncio.Event | None = None, cut: bool = False) -> Step:
    """Return a step that answers 200 with ``parts``.

    It waits for ``gate`` before the last part; with ``cut`` the attempt fails there.
    """

    async def step(attempt: attempt_client.AttemptRequest) -> Events:
        yield frames.AttemptAccepted()
        yield frames.ResponseHead(200, (("content-type", "text/plain"),))
        for part in parts[:-1]:
            yield frames.ResponseChunk(part)
        if gate is not None:
            await gate.wait()
        if cut:
            raise errors.AttemptFailedError("cut")
        for part in parts[-1:]:
            yield frames.ResponseChunk(part)
        yield frames.ResponseEnd(1.0)

    return step


def refuse(reason: str = "at-limit", gate: asyncio.Event | None = None) -> Step:
    async def step(attempt: attempt_client.AttemptRequest) -> Events:
        if gate is not None:
            await gate.wait()
        raise errors.AttemptRefusedError(reason)
        yield

    return step


class MemorySink(response_sink.ResponseSink):
    """Records the response that a caller would receive."""

    def __init__(self) -> None:
        self.status = 0
        self.outcome = ""
        self.body = b""
        self.whole = False
        self.cut = False
        self.first_data = asyncio.Event()

    async def send_whole(
        self, status: int, headers: response_sink.Headers, body: bytes, outcome: work.Outcome
    ) -> None:
        self.started = True
        self.status, self.body, self.outcome = status, body, outcome.value
        self.whole = True

    async def start(self, status: int, headers: response_sink.Headers) -> None:
        self.started = True
        self.status, self.outcome = status, "complete"

    async def send(self, data: bytes) -> None:
        self.body += data
        self.first_data.set()

    async def finish(self) -> None:
        self.whole = True

    def abort(self) -> None:
        self.cut = True


class EntryFixture:
    """A router whose dependencies are fakes."""

    def __init__(
        self,
        *steps: Step,
        limits: settings.EntryLimits | None = None,
        claims: claims_module.ClaimService | None = None,
    ) -> None:
        self.view = build_view()
        self.attempts = ScriptedAttempts(*steps)
        self.limits = limits or settings.EntryLimits()
        self.router = router.Router(self.view, self.limits, "entry-1", self.attempts, claims)
        self.ticket_client = FakeTicketClient(self.router)
        self.router.ticket_client = self.ticket_client

    async def call(
        self,
        path: str = "/v1/generate",
        *,
        team: str = "mango",
        body: bytes = b"{}",
        key: str = "",
        seconds: float = 5.0,
        sink: MemorySink | None = None,
    ) -> MemorySink:
        """Make a call and return its sink. Raises RequestRefusedError if it is not admitted."""
        head = request_gate.RequestHead(
            method="POST",
            path=path,
            target=path,
            headers=(),
            credential=f"{team}-key",
            deadline_seconds=seconds,
            idempotency_key=key,
        )
        admission = self.router.admit(head)
        sink = sink or MemorySink()
        try:
            admission.grow(len(body))
            await admission.serve(body, sink)
        finally:
            admission.close()
        return sink

    def start(self, path: str = "/v1/generate", **options: object) -> asyncio.Task[MemorySink]:
        return asyncio.ensure_future(self.call(path, **options))


async def until(condition: collections.abc.Callable[[], object], seconds: float = 10.0) -> None:
    """Wait until a condition holds. Raises TimeoutError."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.001)
