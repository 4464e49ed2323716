"""A small deployment: gateways, the store, replicas of a plain service, and a record."""

import asyncio
import collections.abc
import os
import pathlib
import random
import sys
import tempfile
import time
import typing

import clients
import gateways
import replicas
import store

API_KEY = "asnmgkcuyj8pjbvk9m68"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_SECONDS = 20.0
HEARTBEAT_SECONDS = 1.2


class CaseNotRunError(Exception):
    """Raised if a case cannot be run as intended."""


def has_trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name: str, kind: str, service: str, **fields: typing.Any) -> dict[str, typing.Any]:
    """Return a route whose path prefix is its name."""
    values: dict[str, typing.Any] = {
        "name": name,
        "host": "shop.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2500,
        "target_latency_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "session_affinity": False,
        "resumable": False,
    }
    values.update(fields)
    return values


def service(name: str, **fields: typing.Any) -> dict[str, typing.Any]:
    """Return a plain service."""
    values: dict[str, typing.Any] = {
        "name": name,
        "health_path": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    }
    values.update(fields)
    return values


def configuration(
    version: int,
    routes: list[dict[str, typing.Any]],
    services: list[dict[str, typing.Any]],
    keys: list[str] | None = None,
) -> dict[str, typing.Any]:
    """Return a whole configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "tokens_per_s": 120000,
        },
        "tenants": [
            {"name": "hule930", "api_keys": [API_KEY] if keys is None else keys, "priority": 1}
        ],
    }


class Deployment:
    """What a case starts, and the record of what it has seen."""

    def __init__(self, zones: list[str], folder: pathlib.Path) -> None:
        self.folder = folder
        network, first = gateways.own_network()
        self.host = f"{network}.{first + 30}"
        self.store = store.Store()
        self.store_address = ""
        self.replicas: list[replicas.Replica] = []
        self.fleet = gateways.build_fleet(zones, folder)
        self.outcomes: list[clients.Outcome] = []
        self.lines: list[str] = []
        self.started_at = time.monotonic()
        self.tasks: set[asyncio.Task[typing.Any]] = set()
        # Of the settings of all gateways, and arrivals at replicas that are not in ``replicas``.
        self.changes: dict[str, typing.Any] = {}
        self.replica_arrivals: list[replicas.Arrival] = []

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line to the record."""
        seconds = (time.monotonic() if at is None else at) - self.started_at
        self.lines.append(f"{seconds:9.3f} {text}")

    def spawn(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> None:
        """Run a task until the end of the case."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def add_replica(self, replica: replicas.Replica) -> None:
        """Start a replica and register it."""
        await replica.start(self.host)
        self.replicas.append(replica)
        self.store.put("servers", replica.id, replica.entry())
        self.note(f"replica {replica.id} of {replica.service} at {replica.address}")

    async def write_entries_forever(self) -> None:
        """Let each replica write its entry, as often as the settings say."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for replica in self.replicas:
                if not replica.has_ended and not self.store.away:
                    self.store.put("servers", replica.id, replica.entry())

    async def start_gateways(self, store_address: str) -> None:
        """Start all gateways; raise CaseNotRunError if they do not become ready."""
        seeds = [f"{item.ip}:{item.peer_port + 1}" for item in self.fleet[:3]]
        for gateway in self.fleet:
            gateway.write_settings(store_address, seeds, self.changes)
            gateway.start()
        if not await gateways.wait_ready(self.fleet, READY_SECONDS):
            raise CaseNotRunError("the gateways did not become ready")
        for gateway in self.fleet:
            gateway.ready = True
            self.spawn(gateway.check_forever())
        self.note("all gateways are ready")

    async def send(self, gateway: gateways.Gateway, method: str, target: str) -> None:
        """Send one request and keep its outcome."""
        headers = [("Authorization", f"Bearer {API_KEY}")]
        body = b"x" * 600 if method == "POST" else b""
        self.outcomes.append(await clients.send(gateway, method, target, headers, body))

    async def send_forever(self, per_second: float, method: str, target: str) -> None:
        """Send requests through gateways that are in rotation."""
        draw = random.Random(1)
        while True:
            ready = [item for item in self.fleet if item.ready]
            if ready:
                self.spawn(self.send(draw.choice(ready), method, target))
            await asyncio.sleep(1.0 / per_second)

    def arrivals(self) -> list[replicas.Arrival]:
        """Return all arrivals at replicas in their order."""
        found = [arrival for replica in self.replicas for arrival in replica.arrivals]
        return sorted([*found, *self.replica_arrivals], key=lambda item: item.at)

    def write_record(self, path: pathlib.Path) -> None:
        """Write what was noted, sent, answered and run."""
        lines = [(float(line[:9]), line) for line in self.lines]
        for outcome in self.outcomes:
            at = outcome.sent_at - self.started_at
            text = f"{at:9.3f} sent {outcome.request_id} {outcome.route} to {outcome.gateway}"
            lines.append((at, text))
            at = outcome.ended_at - self.started_at
            text = f"{at:9.3f} answered {outcome.request_id} {outcome.status} {outcome.detail}"
            lines.append((at, text))
        for arrival in self.arrivals():
            at = arrival.at - self.started_at
            text = f"{at:9.3f} arrived {arrival.request_id} at {arrival.replica_id}"
            lines.append((at, f"{text} {arrival.outcome}"))
        lines.sort(key=lambda item: item[0])
        path.write_text("\n".join(text for _, text in lines) + "\n", encoding="utf-8")

    async def end(self) -> None:
        """End all processes and tasks."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for gateway in self.fleet:
            gateway.end()
        for replica in self.replicas:
            replica.end()
        rest = asyncio.all_tasks() - {asyncio.current_task()}
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)


Case = typing.Callable[[Deployment], typing.Awaitable[int]]


def run(case: Case, zones: list[str], folder: pathlib.Path) -> typing.NoReturn:
    """Run a case, write its record into ``folder`` and exit with its result."""

    async def run_in(temporary: pathlib.Path) -> int:
        deployment = Deployment(zones, temporary)
        try:
            return await case(deployment)
        except CaseNotRunError as error:
            deployment.note(f"not run: {error}")
            return NOT_RUN
        finally:
            await deployment.end()
            deployment.write_record(folder / "record.txt")
            print("\n".join(deployment.lines))
            if keep := os.environ.get("KEEP_LOGS"):
                for log in temporary.glob("*.log"):
                    (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())

    with tempfile.TemporaryDirectory() as name:
        sys.exit(asyncio.run(run_in(pathlib.Path(name))))
