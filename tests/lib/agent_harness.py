"""Runs an agent's endpoint runner against a stand-in endpoint server.

The fleet view is a mock, which tests change.
"""

import asyncio
import collections.abc
import contextlib
import itertools
import json
import time
import typing
from unittest import mock

import msgspec

from masticward.coordination import endpoint_runner, fleet_view
from masticward.models import attempts, membership, work
from masticward.models import configuration as configuration_models
from masticward.standins import endpoint_server, engine, plain_service
from masticward.transport import endpoint as endpoint_module
from masticward.utils import addresses

HOST = addresses.own_loopback_host()
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
INCARNATION = 7
ZONE = "ebene"
Events = list[attempts.AttemptEvent]
serials = itertools.count(1)


def make_view(service: configuration_models.Service) -> typing.Any:
    """Return a mock fleet view that allows all calls. Tests change what its methods return."""
    view = mock.Mock(
        spec=fleet_view.FleetView,
        configuration=configuration_models.Configuration(
            version=3, availability_zones=(ZONE,), services=(service,), teams=()
        ),
        operations=configuration_models.OperationsState(version=2),
    )
    view.is_out_of_service = lambda instance_id, zone: bool(
        {instance_id, zone} & {*view.operations.zones_out, *view.operations.instances_out}
    )
    view.is_leaving.return_value = False
    view.fresh_until.return_value = float("inf")
    return view


def call_request(
    operation: str = "POST", body: bytes = b"", seconds: float = 20.0, path: str = "/v1/generate"
) -> work.CallRequest:
    fields = {"operation": operation, "method": operation, "path": path, "headers": ()}
    return work.CallRequest(
        request_id=f"r{next(serials)}",
        team="team-1",
        service="svc",
        body=body,
        deadline=time.monotonic() + seconds,
        **fields,
    )


def generate_body(prompt_tokens: int = 10, output_tokens: int = 5) -> bytes:
    sizes = {"prompt_tokens": prompt_tokens, "output_tokens": output_tokens}
    return json.dumps(sizes | {"text": f"t{next(serials)}"}).encode()


class Harness:
    """One stand-in endpoint server and its agents, of which one runs at a time."""

    runner: endpoint_runner.EndpointRunner
    endpoint: endpoint_module.HttpEndpoint

    def __init__(self, kind: str, limits: tuple[int, int], faults: dict[str, typing.Any]) -> None:
        values = endpoint_server.Faults(cold_limit=limits[0], warm_limit=limits[1], **faults)
        is_engine = kind == "language-model"
        self.server = (engine.EngineServer if is_engine else plain_service.PlainServer)(values)
        make = endpoint_module.EngineEndpoint if is_engine else endpoint_module.PlainEndpoint
        self.make_endpoint = make
        operations = [
            {"name": method, "method": method, "path": "/v1/*", "idempotent": False, "cost": 3}
            for method in METHODS
        ]
        limits_of = {"cold_limit": limits[0], "warm_limit": limits[1], "endpoints": 1}
        service = {"name": "svc", "kind": kind, "operations": operations, **limits_of}
        self.service = msgspec.convert(service, configuration_models.Service)
        self.view = make_view(self.service)
        self.stack = contextlib.AsyncExitStack()

    def control(self, **changes: object) -> None:
        self.server.set_faults(msgspec.structs.replace(self.server.faults, **changes))

    async def start_agent(
        self, wait: bool = True, report_lag_seconds: float = 0.1, period: float = 0.05
    ) -> endpoint_runner.EndpointRunner:
        instance = membership.Instance(
            id="agent-1", role="agent", service="svc", availability_zone=ZONE, peer_address=""
        )
        self.endpoint = self.make_endpoint(self.url)
        options = {"load_period_seconds": period, "report_lag_seconds": report_lag_seconds}
        self.runner = endpoint_runner.EndpointRunner(
            self.view, self.endpoint, instance, INCARNATION, "svc", **options
        )
        self.runner.start()
        self.stack.push_async_callback(self.endpoint.close)
        self.stack.push_async_callback(self.runner.close)
        while wait and not self.runner.capacity.limit.is_open(time.monotonic()):
            await asyncio.sleep(0.01)
        return self.runner

    def call_digest(self, name: str) -> int:
        """Return the digest of an operation as initially configured, 0 if there is none."""
        operations = {operation.name: operation for operation in self.service.operations}
        if name not in operations:
            return 0
        return configuration_models.call_digest(self.service, operations[name])

    def attempt(
        self, call: work.CallRequest | None = None, slot: int | None = None, **changes: typing.Any
    ) -> attempts.AttemptRequest:
        """Return an attempt that passes all checks, except for the given field changes.

        Its slot is issued directly, without an offer to a dispatcher.
        """
        number = next(serials)
        call = call or call_request(body=generate_body())
        fields: dict[str, typing.Any] = {
            "attempt_id": f"a{number}",
            "ticket_id": f"t{number}",
            "agent_id": "agent-1",
            "agent_incarnation": INCARNATION,
            "slot_id": slot or self.runner.slots.issue(1, time.monotonic())[0][0],
            "config_version": 3,
            "operations_version": 2,
            "call_digest": self.call_digest(call.operation),
            "call": call,
        }
        return attempts.AttemptRequest(**(fields | changes))

    async def run(self, request: attempts.AttemptRequest) -> Events:
        return [event async for event in self.runner.run(request)]

    def spawn(self, request: attempts.AttemptRequest) -> asyncio.Task[Events]:
        return asyncio.get_running_loop().create_task(self.run(request))

    async def use_offers(self, make_body: collections.abc.Callable[[], bytes]) -> None:
        """Use every slot that the agent offers, as a dispatcher with a backlog does."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                for slot_id in self.runner.issue_slots().slot_ids:
                    tasks.create_task(
                        self.run(self.attempt(call_request(body=make_body()), slot_id))
                    )
                self.runner.changed.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.runner.changed.wait(), 0.02)


async def open_harness(
    test: typing.Any, kind: str, limits: tuple[int, int] = (2, 8), **faults: typing.Any
) -> Harness:
    """Start a stand-in endpoint server, and close it and its agents when the test ends."""
    # The event loop's debug mode makes each step so slow that it hides the behaviour under load.
    asyncio.get_running_loop().set_debug(False)
    harness = Harness(kind, limits, faults)
    harness.url = f"http://{HOST}:{await harness.server.start(f'{HOST}:0')}"
    harness.stack.push_async_callback(harness.server.close)
    test.addAsyncCleanup(harness.stack.aclose)
    return harness


async def until(condition: collections.abc.Callable[[], bool], seconds: float = 20.0) -> None:
    """Wait until a condition holds. Raises TimeoutError after ``seconds``."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)
