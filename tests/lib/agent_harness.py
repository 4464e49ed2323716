"""An agent's runner against a real stand-in on 127.0.0.1, with a view that the test changes."""

import asyncio
import collections.abc
import contextlib
import itertools
import json
import time
import typing

from masticward import metrics
from masticward.coordination import endpoint_runner, fleet_view
from masticward.models import attempts, membership, work
from masticward.models import configuration as configuration_models
from masticward.standins import endpoint_server, engine, plain_service
from masticward.transport import endpoint as endpoint_module

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
INCARNATION = 7
ZONE = "ebene"
serials = itertools.count(1)


class FakeView(fleet_view.FleetView):
    """A view whose every answer the test sets."""

    def __init__(self, service: configuration_models.Service) -> None:
        self.current: configuration_models.Configuration | None = (
            configuration_models.Configuration(
                version=3, availability_zones=(ZONE,), services=(service,), teams=()
            )
        )
        self.state = configuration_models.OperationsState(version=2)
        self.leaving = False
        self.fresh = float("inf")
        self.pulls: list[tuple[int, int, str]] = []
        self.callbacks: list[collections.abc.Callable[[], None]] = []

    configuration = property(lambda self: self.current)
    operations = property(lambda self: self.state)

    def set_out(self, zones: tuple[str, ...] = (), instances: tuple[str, ...] = ()) -> None:
        self.state = configuration_models.OperationsState(
            version=self.state.version, zones_out=zones, instances_out=instances
        )
        self.call_back()

    def call_back(self) -> None:
        for callback in self.callbacks:
            callback()

    def members(self) -> list[membership.Instance]:
        return []

    def agents_of(self, service: str) -> list[membership.Instance]:
        return []

    def is_out(self, instance_id: str, availability_zone: str) -> bool:
        zone_out = availability_zone in self.state.zones_out
        return zone_out or instance_id in self.state.instances_out

    def is_leaving(self, instance_id: str) -> bool:
        return self.leaving

    def fresh_until(self) -> float:
        return self.fresh

    def suspect(self, instance_id: str) -> None:
        raise AssertionError("not used by an agent's runner")

    def note_versions(
        self, config_version: int, operations_version: int, peer_address: str
    ) -> None:
        self.pulls.append((config_version, operations_version, peer_address))

    def announce_leaving(self) -> None:
        self.leaving = True

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        self.callbacks.append(callback)


def service_of(
    kind: configuration_models.ServiceKind, cold_limit: int = 2, warm_limit: int = 8
) -> configuration_models.Service:
    """A service with one operation per method, named by it; ``GET`` ones come idempotent too."""
    path = "/v1/*"
    operations = [
        configuration_models.Operation(
            name=method, method=method, path=path, idempotent=False, cost=3
        )
        for method in METHODS
    ]
    operations.append(
        configuration_models.Operation(name="look", method="GET", path=path, idempotent=True)
    )
    return configuration_models.Service(
        name="svc",
        kind=kind,
        operations=tuple(operations),
        cold_limit=cold_limit,
        warm_limit=warm_limit,
        endpoints=1,
    )


def call_request(
    operation: str = "POST", body: bytes = b"", seconds: float = 20.0, path: str = "/v1/generate"
) -> work.CallRequest:
    return work.CallRequest(
        request_id=f"r{next(serials)}",
        team="team-1",
        service="svc",
        operation=operation,
        method="GET" if operation == "look" else operation,
        path=path,
        headers=(),
        body=body,
        deadline=time.monotonic() + seconds,
    )


def generate_body(prompt_tokens: int = 10, output_tokens: int = 5) -> bytes:
    return json.dumps(
        {"prompt_tokens": prompt_tokens, "output_tokens": output_tokens, "text": next(serials)}
        | {"text": f"t{next(serials)}"}
    ).encode()


class Harness:
    """One stand-in and the agents beside it, one after the other."""

    def __init__(self, server: endpoint_server.EndpointServer, kind: str, limits: tuple[int, int]):
        self.server = server
        self.service = service_of(configuration_models.ServiceKind(kind), *limits)
        self.view = FakeView(self.service)
        self.runner: endpoint_runner.EndpointRunner
        self.endpoint: endpoint_module.HttpEndpoint
        self.url = ""
        self.stack = contextlib.AsyncExitStack()

    async def start(self) -> None:
        self.url = f"http://127.0.0.1:{await self.server.start('127.0.0.1:0')}"
        self.stack.push_async_callback(self.server.close)

    async def start_agent(
        self, wait: bool = True, report_lag_seconds: float = 0.1, period: float = 0.05
    ) -> endpoint_runner.EndpointRunner:
        is_engine = isinstance(self.server, engine.EngineServer)
        kind = endpoint_module.EngineEndpoint if is_engine else endpoint_module.PlainEndpoint
        self.endpoint = kind(self.url)
        self.runner = endpoint_runner.EndpointRunner(
            self.view,
            self.endpoint,
            membership.Instance(
                id="agent-1",
                role=membership.Role.AGENT,
                service="svc",
                availability_zone=ZONE,
                peer_address="127.0.0.1:1",
            ),
            INCARNATION,
            "svc",
            process_metrics=metrics.ProcessMetrics(),
            load_period_seconds=period,
            report_lag_seconds=report_lag_seconds,
        )
        self.runner.start()
        self.stack.push_async_callback(self.endpoint.close)
        self.stack.push_async_callback(self.runner.close)
        while wait and not self.runner.capacity.limit.is_open(time.monotonic()):
            await asyncio.sleep(0.01)
        return self.runner

    def attempt(
        self,
        call: work.CallRequest | None = None,
        slot_id: int | None = None,
        **changes: typing.Any,
    ) -> attempts.AttemptRequest:
        """An attempt that passes every check, with a slot issued past the offer, and changes."""
        if slot_id is None:
            (slot_id,), _ = self.runner.slots.issue(1, time.monotonic())
        number = next(serials)
        fields: dict[str, typing.Any] = {
            "attempt_id": f"a{number}",
            "ticket_id": f"t{number}",
            "agent_id": "agent-1",
            "agent_incarnation": INCARNATION,
            "slot_id": slot_id,
            "config_version": 3,
            "operations_version": 2,
            "call": call or call_request(body=generate_body()),
        }
        return attempts.AttemptRequest(**(fields | changes))

    async def run(self, request: attempts.AttemptRequest) -> list[attempts.AttemptEvent]:
        return [event async for event in self.runner.run(request)]

    def spawn(self, request: attempts.AttemptRequest) -> asyncio.Task[list[attempts.AttemptEvent]]:
        return asyncio.get_running_loop().create_task(self.run(request))


async def open_harness(
    test: typing.Any, kind: str, limits: tuple[int, int] = (2, 8), **faults: typing.Any
) -> Harness:
    """Start a stand-in for a test and close everything at its end."""
    values = endpoint_server.Faults(cold_limit=limits[0], warm_limit=limits[1], **faults)
    server: endpoint_server.EndpointServer
    if kind == "language-model":
        server = engine.EngineServer(values)
    else:
        server = plain_service.PlainServer(values)
    harness = Harness(server, kind, limits)
    await harness.start()
    test.addAsyncCleanup(harness.stack.aclose)
    return harness


async def until(condition: collections.abc.Callable[[], bool], seconds: float = 10.0) -> None:
    """Wait until a condition holds. Raises TimeoutError."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)


def body_of(events: list[attempts.AttemptEvent]) -> bytes:
    return b"".join(event.data for event in events if isinstance(event, attempts.ResponseChunk))
