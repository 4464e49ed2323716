"""The soak's fleet: gateways as processes, and stand-ins behind proxies that can be disturbed."""

import asyncio
import contextlib
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

from masticward.standins import forwarder
from tests.lib import platform_standins
from tests.soak import endpoints

ROOT = pathlib.Path(__file__).resolve().parents[2]
LAUNCHER = ROOT / "tests" / "lib" / "launch.py"
# Services with the number of their endpoints at the start.
SERVICES = {"llm": 4, "app": 3, "moved": 2, endpoints.SERIAL_SERVICE: endpoints.SERIAL_ENDPOINTS}
ENGINE_SERVICES = ("llm", endpoints.SERIAL_SERVICE)
ZONES = ("z1", "z2", "z3")
GATEWAYS = 3
TEAMS = ("team-a", "team-b", "team-c")
# Bounds of the users' sites, which the settings of the gateways state.
REVOKE_SECONDS = 5.0
DRAIN_SECONDS = 2.0
CONFIGURATION_SECONDS = 2.0
CONTACT_SECONDS = 3.0
EVACUATE_SECONDS = 5.0
GRACE_SECONDS = 8.0
ROUTE_TIMEOUTS_SECONDS = {
    "book": 4.0,
    "status": 4.0,
    "moving": 4.0,
    "plan": 4.0,
    "note": 4.0,
    "draft": 10.0,
    "story": 8.0,
    "serial": 10.0,
    "lookup": 4.0,
}
REPEAT_RATIO = 0.2
REPEAT_SLACK = 58
REPEAT_WINDOW_SECONDS = 10.0
COLD_PER_SECOND = 8.0
COLD_SECONDS = 3.0
START_SECONDS = 20.0

SETTINGS = """\
node: "{name}"
ip: "{ip}"
zone: "{zone}"
listen: {{front: "{ip}:{front}", ready: "{ip}:{ready}"}}
port_range: [{peer}, {peer}]
seeds: [{seeds}]
platform: {{address: "{store}"}}
bounds: {{revoke_ms: 5000, drain_ms: 2000, grace_s: 8, contact_ms: 3000,
  retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 58}}
"""


class SoakStore(platform_standins.StoreStandin):
    """A store that can also be slow, lose the answers of writes, and refuse calls."""

    def __init__(self) -> None:
        super().__init__()
        self.slow_seconds = 0.0
        self.lost_share = 0.0
        self.busy_share = 0.0
        self.random = random.Random(0)
        self.era = 0
        # Whether a copy was taken from which the store will be restored.
        self.restoring = False
        # What was removed, also if the store did not have it, since it was restored last.
        self.removed: set[tuple[str, str]] = set()

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if there is one."""
        self.removed.add((kind, name))
        super().remove(kind, name)

    async def handle(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(self.slow_seconds)
        if self.random.random() < self.busy_share:
            writer.write(b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n")
            return True
        if request.method != "GET" and self.random.random() < self.lost_share:
            await self.respond(request)
            return False
        return await super().handle(request, writer)

    def forget_history(self) -> None:
        """Answer 410 to watches from before now, as after a compaction."""
        self.oldest_revision = self.revision


class Span:
    """A time with a disturbance, in monotonic seconds."""

    __slots__ = ("end", "start")

    def __init__(self, start: float, end: float) -> None:
        self.start = start
        self.end = end


class Gateway:
    """One gateway process."""

    def __init__(self, name: str, ip: str, zone: str) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.front_port = 0
        self.ready_port = 0
        self.store_proxy: forwarder.Forwarder | None = None
        self.disturbed: list[Span] = []
        # Starts of the graceful stops, and exits that nobody asked for.
        self.stops: list[float] = []
        self.started_at: list[float] = []
        self.in_rotation = False
        self.expected_exit = False

    def disturb(self, seconds: float) -> Span:
        """Note a disturbance from now on; whoever notes it may end it at another time."""
        now = time.monotonic()
        span = Span(now, now + seconds)
        self.disturbed.append(span)
        return span

    def calm(self, start: float, end: float) -> bool:
        """Whether no disturbance reached into a span or the contact time before it."""
        return not any(
            span.start < end and span.end > start - CONTACT_SECONDS for span in self.disturbed
        )


class World:
    """Everything that one seed plays with."""

    def __init__(
        self, seed: int, gateway_count: int = GATEWAYS, checkout: pathlib.Path = ROOT
    ) -> None:
        self.gateway_count = gateway_count
        # Whose gateways are played.
        self.checkout = checkout
        self.random = random.Random(seed)
        self.seed = seed
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix=f"masticward-soak-{seed}-"))
        self.store = SoakStore()
        self.gateways: list[Gateway] = []
        self.endpoints: dict[str, endpoints.SoakEndpoint] = {}
        self.gone_endpoints: list[endpoints.SoakEndpoint] = []
        self.version = 0
        self.keys = {team: [f"key-{team}"] for team in TEAMS}
        # Key to the moment at which the store took the configuration without it.
        self.revoked_at: dict[str, float] = {}
        # Versions with the service of the moving route and the moment of acceptance.
        self.moves: list[tuple[int, str, float]] = []
        self.moving_service = "app"
        # Zone to spans in which it is out.
        self.out: list[tuple[str, float, float]] = []
        self.findings: list[str] = []
        self.background: list[asyncio.Task[None]] = []
        self.endpoint_count = 0
        self.longest_stall = 0.0

    async def start(self) -> None:
        """Start stand-ins and gateways, and wait until all gateways are ready."""
        await self.store.start()
        self.publish()
        for service, count in SERVICES.items():
            for number in range(count):
                await self.add_endpoint(service, ZONES[number % len(ZONES)])
        ports = [free_port() for _ in range(3)]
        for number in range(self.gateway_count):
            gateway = Gateway(f"g{number}", f"127.0.{1 + self.seed % 200}.{number + 1}", "")
            gateway.zone = ZONES[number % len(ZONES)]
            gateway.front_port, gateway.ready_port, peer = ports
            host, port = self.store.address.rsplit(":", 1)
            gateway.store_proxy = forwarder.Forwarder(host, int(port))
            await gateway.store_proxy.start()
            self.gateways.append(gateway)
            self.write_settings(gateway, peer)
        for gateway in self.gateways:
            self.spawn(gateway)
        self.background.append(asyncio.create_task(self.balance()))
        self.background.append(asyncio.create_task(self.watch_stalls()))
        async with asyncio.timeout(START_SECONDS):
            while not all(gateway.in_rotation for gateway in self.gateways):
                await asyncio.sleep(0.05)

    def write_settings(self, gateway: Gateway, peer_port: int) -> None:
        """Write the settings file of a gateway."""
        assert gateway.store_proxy is not None
        seeds = ", ".join(f'"{item.ip}:{peer_port}"' for item in self.gateways[:3])
        text = SETTINGS.format(
            name=gateway.name,
            ip=gateway.ip,
            zone=gateway.zone,
            front=gateway.front_port,
            ready=gateway.ready_port,
            peer=peer_port,
            seeds=seeds,
            store=f"127.0.0.1:{gateway.store_proxy.port}",
        )
        (self.directory / f"{gateway.name}.yaml").write_text(text)

    def spawn(self, gateway: Gateway) -> None:
        """Start the process of a gateway."""
        gateway.starts += 1
        gateway.expected_exit = False
        environment = {name: value for name, value in os.environ.items() if name[:3] != "UV_"}
        environment["PYTHONPATH"] = str(self.checkout / "src")
        environment["MASTICWARD_SETTINGS"] = str(self.directory / f"{gateway.name}.yaml")
        log_path = self.directory / f"{gateway.name}.{gateway.starts}.log"
        with log_path.open("wb") as log:
            gateway.process = subprocess.Popen(
                [sys.executable, str(LAUNCHER), str(self.checkout / "deploy" / "gateway.py")],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=self.directory,
            )
        gateway.started_at.append(time.monotonic())

    def signal(self, gateway: Gateway, number: signal.Signals) -> None:
        """Send a signal to a gateway's process."""
        if gateway.process is not None and gateway.process.poll() is None:
            gateway.process.send_signal(number)

    async def wait_exit(self, gateway: Gateway, seconds: float) -> bool:
        """Wait for the end of a gateway's process; returns whether it came."""
        process = gateway.process
        assert process is not None
        deadline = time.monotonic() + seconds
        while process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        return process.poll() is not None

    async def balance(self) -> None:
        """Ask each gateway for its readiness twice a second, as the platform's balancer does."""
        misses: dict[str, int] = {}
        while True:
            for gateway in self.gateways:
                ready = await is_ready(gateway)
                misses[gateway.name] = 0 if ready else misses.get(gateway.name, 0) + 1
                if misses[gateway.name] == 0:
                    gateway.in_rotation = True
                elif misses[gateway.name] >= 2:
                    gateway.in_rotation = False
                self.check_running(gateway)
            await asyncio.sleep(0.25)

    def check_running(self, gateway: Gateway) -> None:
        """Record a process that ended by itself, and start it again."""
        process = gateway.process
        if process is None or process.poll() is None or gateway.expected_exit:
            return
        self.findings.append(f"{gateway.name} ended by itself with code {process.returncode}")
        gateway.disturb(CONTACT_SECONDS)
        self.spawn(gateway)

    async def watch_stalls(self) -> None:
        """Treat a stall of the machine as a disturbance of everything."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            stall = time.monotonic() - before - 0.05
            self.longest_stall = max(self.longest_stall, stall)
            if stall > 0.3:
                for gateway in self.gateways:
                    gateway.disturbed.append(Span(before, before + stall))

    async def add_endpoint(
        self, service: str, zone: str, cold: bool = False
    ) -> endpoints.SoakEndpoint:
        """Start an endpoint behind a proxy and list it."""
        self.endpoint_count += 1
        name = f"i-{service}-{self.endpoint_count}"
        endpoint = endpoints.SoakEndpoint(name, service, zone, self.random.randrange(2**32))
        await endpoint.open()
        # Only the engines' service declares what a cold endpoint bears.
        if cold and service == "llm":
            endpoint.cold_until = time.monotonic() + COLD_SECONDS
        self.endpoints[name] = endpoint
        self.list_endpoint(endpoint)
        return endpoint

    def list_endpoint(self, endpoint: endpoints.SoakEndpoint, state: str = "ready") -> None:
        """Write an endpoint's entry as it is now."""
        remaining = max(0.0, endpoint.cold_until - time.monotonic())
        self.store.put_endpoint(
            endpoint.id,
            endpoint.listed_address,
            service=endpoint.service,
            zone=endpoint.zone,
            state=state,
            slots=64 if endpoint.service in ENGINE_SERVICES else 6,
            cold_remaining_ms=remaining * 1000,
        )

    def publish(self) -> None:
        """Write the next configuration."""
        self.version += self.random.randint(1, 4)
        self.store.put("config", "main", self.configuration())
        if not self.moves or self.moves[-1][1] != self.moving_service:
            self.moves.append((self.version, self.moving_service, time.monotonic()))

    def configuration(self) -> dict[str, typing.Any]:
        """Return the configuration as it is now."""

        def route(name: str, kind: str, service: str, **more: typing.Any) -> dict[str, typing.Any]:
            return {
                "name": name,
                "host": "api.example",
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_ms": int(ROUTE_TIMEOUTS_SECONDS[name] * 1000),
                "target_latency_ms": 800,
                "priority": 1,
                "service": service,
                "max_attempts": 1,
                "public": True,
                **more,
            }

        return platform_standins.configuration(
            self.version,
            routes=[
                route("book", "non_idempotent", "app"),
                route("status", "idempotent", "app", max_attempts=2),
                route("moving", "idempotent", self.moving_service, max_attempts=2),
                route("plan", "stream", "llm", public=False),
                route("note", "stream", "llm", public=False, resumable=True, max_attempts=2),
                route("draft", "stream", "llm", public=False),
                route("story", "stream", "llm", public=False),
                route(
                    "serial",
                    "stream",
                    endpoints.SERIAL_SERVICE,
                    public=False,
                    resumable=True,
                    max_attempts=2,
                ),
                route("lookup", "idempotent", endpoints.SERIAL_SERVICE, max_attempts=2),
            ],
            services=[
                {
                    "name": "llm",
                    "max_connections": 200,
                    "cold_start_s": COLD_SECONDS,
                    "cold_per_s": COLD_PER_SECOND,
                    "engine": {"slots": 64, "kv_capacity_tokens": 500_000},
                },
                {
                    "name": endpoints.SERIAL_SERVICE,
                    "max_connections": 200,
                    "engine": {"slots": 64, "kv_capacity_tokens": 500_000},
                },
                {"name": "app", "max_connections": 100},
                {"name": "moved", "max_connections": 100},
            ],
            tenants=[{"name": team, "api_keys": keys} for team, keys in self.keys.items()],
        )

    async def close(self, keep: bool) -> None:
        """End all that was started; logs are kept for failures."""
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.kill()
                gateway.process.wait(10)
            if gateway.store_proxy is not None:
                await gateway.store_proxy.close()
        for endpoint in [*self.endpoints.values(), *self.gone_endpoints]:
            await endpoint.close()
        await self.store.stop()
        if not keep:
            shutil.rmtree(self.directory, ignore_errors=True)


def free_port() -> int:
    """Return a port that nobody listens on now."""
    with socket.socket() as item:
        item.bind(("127.0.0.1", 0))
        return int(item.getsockname()[1])


async def is_ready(gateway: Gateway) -> bool:
    """Ask a gateway whether it is ready."""
    writer = None
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.ready_port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in await reader.readline()
    except (TimeoutError, OSError):
        return False
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
