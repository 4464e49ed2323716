"""A small deployment on loopback addresses: gateways as processes, a store and replicas."""

import asyncio
import ctypes
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import typing

from standins import http, replica, store

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("port-louis", "ebene", "curepipe")
ENGINES = "masticward-llm"
BOOKING = "booking-app"
HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"
START_SECONDS = 20.0
PR_SET_PDEATHSIG = 1
# The bounds of sites/alcfm-route.toml, as the settings file of a process states them.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 58,
    "cold_overage": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recover_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
    "quota_window_s": 4,
}


class Gateway:
    """One gateway process."""

    def __init__(self, name: str, ip: str, zone: str, ports: list[int]) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.front = f"{ip}:{ports[0]}"
        self.ready = f"{ip}:{ports[1]}"
        self.control = f"{ip}:{ports[2]}"
        self.peer_port = ports[3]
        # The address of the store in this gateway's settings, if it has one of its own.
        self.store_address = ""
        self.process: subprocess.Popen[bytes] | None = None

    async def is_ready(self) -> bool:
        """Ask the process whether it is ready, as the platform does."""
        try:
            channel = await http.Channel.open(self.ready)
        except (OSError, TimeoutError):
            return False
        answer = await channel.call("GET", "/ready", {"Host": "x"}, seconds=1.0)
        channel.close()
        return answer.status == 200

    def signal(self, number: signal.Signals) -> float:
        """Send a signal; return the time."""
        assert self.process is not None
        self.process.send_signal(number)
        return time.monotonic()


class Fleet:
    """The deployment of one case."""

    def __init__(self, gateways: int, **bounds: int) -> None:
        self.bounds = {**BOUNDS, **bounds}
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="masticward-review-"))
        self.store = store.Store()
        self.replicas: list[replica.Replica] = []
        self.gateways: list[Gateway] = []
        self.version = 6
        self.keys = {"hule930": [KEY]}
        net = random.Random(os.getpid()).randrange(1, 250)
        ports = free_ports(4)
        for number in range(gateways):
            zone = ZONES[number % len(ZONES)]
            name = f"front-{zone}-{number // len(ZONES) + 1}"
            self.gateways.append(Gateway(name, f"127.{net}.{number + 1}.33", zone, ports))

    async def start(self) -> None:
        """Start store, replicas and gateways; return when all gateways are ready."""
        await self.store.start()
        self.publish()
        for item in self.replicas:
            await item.open()
        for gateway in self.gateways:
            self.spawn(gateway)
        until = time.monotonic() + START_SECONDS
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)

    def add_replicas(self, service: str, count: int, **options: typing.Any) -> None:
        """Add replicas, one zone after the other."""
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            name = f"i-{service}-{number + 1}"
            self.replicas.append(replica.Replica(self.store, name, service, zone, **options))

    def spawn(self, gateway: Gateway) -> None:
        """Start the process of a gateway with the command of the deploy file."""
        path = self.directory / f"{gateway.name}.yaml"
        # JSON is also YAML.
        path.write_text(json.dumps(self.settings(gateway)))
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["MASTICWARD_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.directory / f"{gateway.name}.log").open("ab") as log:
            gateway.process = subprocess.Popen(
                ["python3", "deploy/gateway.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )

    def settings(self, gateway: Gateway) -> dict[str, typing.Any]:
        """Return the settings file of a gateway."""
        return {
            "node": gateway.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": gateway.ip,
            "zone": gateway.zone,
            "region": "mu-island",
            "zones": dict.fromkeys(ZONES, "mu-island"),
            "listen": {
                "front": gateway.front,
                "ready": gateway.ready,
                "control": gateway.control,
            },
            "port_range": [gateway.peer_port, gateway.peer_port],
            "seeds": [item.control for item in self.gateways[:3]],
            "bootstrap": True,
            "in_tolerance": False,
            "limits": {"cpu_share": 0.817, "cores": 1, "memory_mb": 300, "max_fds": 4100},
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": self.bounds,
            "platform": {
                "address": gateway.store_address or self.store.address,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }

    def publish(self) -> float:
        """Write the next configuration; return the time of the ack."""

        def route(name: str, kind: str, service: str, **more: typing.Any) -> dict[str, typing.Any]:
            return {
                "name": name,
                "host": HOST,
                "path_prefix": f"/{name}/",
                "kind": kind,
                "priority": 1,
                "service": service,
                "max_attempts": 1,
                "public": False,
                "session_affinity": service == ENGINES,
                "resumable": False,
                **more,
            }

        stream = {"timeout_ms": 10000, "target_latency_ms": 400, "gap_target_ms": 300}
        plain = {"timeout_ms": 2500, "target_latency_ms": 200}
        self.version += 1
        return self.store.put(
            "config",
            "main",
            {
                "version": self.version,
                "routes": [
                    route("driver-ask", "stream", ENGINES, **stream),
                    route("book-confirm", "non_idempotent", BOOKING, **plain),
                    route("order-status", "idempotent", BOOKING, **plain, max_attempts=2),
                ],
                "services": [
                    {
                        "name": ENGINES,
                        "health_path": "/health",
                        "max_connections": 370,
                        "cold_start_s": 3.0,
                        "cold_per_s": 8.0,
                        "engine": {"slots": 64, "kv_capacity_tokens": 493853},
                    },
                    {
                        "name": BOOKING,
                        "health_path": "/health",
                        "max_connections": 110,
                        "cold_start_s": 0.0,
                        "cold_per_s": 0.0,
                    },
                ],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 4194304,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
                "tenants": [{"name": name, "api_keys": keys} for name, keys in self.keys.items()],
            },
        )

    async def close(self) -> None:
        """End all processes that were started."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.kill()
                gateway.process.wait(10)
        for item in self.replicas:
            if item.pings is not None:
                item.pings.cancel()
            await item.stop()
        await self.store.stop()
        # Lets the transports close before the loop does.
        await asyncio.sleep(0.2)
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.directory, ignore_errors=True)


def end_with_parent() -> None:
    """Ask the kernel to end this process when the script ends, however it ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_ports(count: int) -> list[int]:
    """Return ports on which nobody listens now."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [int(item.getsockname()[1]) for item in sockets]
    for item in sockets:
        item.close()
    return ports


def headers(request_id: str, deadline_ms: int, engine: bool = False) -> dict[str, str]:
    """Return the headers of a client's request."""
    found = {
        "Host": HOST,
        "X-Masticward-Request-Id": request_id,
        "X-Masticward-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }
    if engine:
        own = request_id.encode().hex()[:24]
        found["X-Masticward-Model"] = "m"
        found["X-Masticward-Token-Counts"] = "1460,136"
        found["X-Masticward-Prefix-Hash"] = f"5c1e07a2:350,{own}:1110"
    return found
