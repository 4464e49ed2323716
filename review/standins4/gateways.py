"""Starts gateways with the command of the deploy file, and ends them by their process IDs."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import typing

import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
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
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream"]
CONTRACTS += ["tenants", "places", "platform"]


def own_network() -> tuple[str, int]:
    """Return the first three numbers of loopback addresses that no other process uses."""
    number = os.getpid()
    return f"127.{128 + number // 65536 % 64}.{number // 256 % 256}", number % 200


def free_ports(host: str, count: int) -> list[int]:
    """Return free TCP ports of an address."""
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [int(item.getsockname()[1]) for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Gateway:
    """One gateway process and its addresses."""

    def __init__(
        self, name: str, ip: str, zone: str, ports: list[int], folder: pathlib.Path
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.front_port, self.ready_port, self.peer_port = ports
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None
        self.ready = False
        self.misses = 0

    def write_settings(
        self, store_address: str, seeds: list[str], changes: dict[str, typing.Any] | None = None
    ) -> None:
        """Write the settings file; JSON is a subset of YAML."""
        settings: dict[str, typing.Any] = {
            "node": self.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r1",
            "listen": {
                "front": f"{self.ip}:{self.front_port}",
                "ready": f"{self.ip}:{self.ready_port}",
                "control": f"{self.ip}:{self.peer_port + 1}",
            },
            "port_range": [self.peer_port, self.peer_port + 15],
            "seeds": seeds,
            "bootstrap": True,
            "limits": {"cpu_share": 0.817, "cores": 1, "memory_mb": 300, "max_fds": 4100},
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": CONTRACTS,
            "bounds": BOUNDS,
            "platform": {
                "address": store_address,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
        }
        settings.update(changes or {})
        text = json.dumps(settings, indent=1)
        (self.folder / f"{self.name}.yaml").write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process."""
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["MASTICWARD_SETTINGS"] = str(self.folder / f"{self.name}.yaml")
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "deploy/gateway.py"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for it."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    async def ask_ready(self) -> bool:
        """Return whether the gateway answers the platform's check with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                try:
                    writer.write(wire.encode("GET /ready HTTP/1.1", [("Host", self.ip)]))
                    return (await wire.read_message(reader, True)).status == 200
                finally:
                    writer.close()
        except (OSError, EOFError, TimeoutError):
            return False

    async def check_forever(self) -> None:
        """Check once a second, as the platform does; two misses in a row end the rotation."""
        while True:
            if await self.ask_ready():
                self.ready, self.misses = True, 0
            else:
                self.misses += 1
                self.ready = self.ready and self.misses < 2
            await asyncio.sleep(1.0)


def build_fleet(zones: list[str], folder: pathlib.Path) -> list[Gateway]:
    """Return gateways, one for each zone of the list, which share their port for peers."""
    network, first = own_network()
    ips = [f"{network}.{first + number + 1}" for number in range(len(zones))]
    peer_port = free_ports(ips[0], 1)[0] // 20 * 20
    return [
        Gateway(f"front-{zone}-{index}", ip, zone, [*free_ports(ip, 2), peer_port], folder)
        for index, (zone, ip) in enumerate(zip(zones, ips, strict=True), 1)
    ]


async def wait_ready(fleet: list[Gateway], seconds: float) -> bool:
    """Return whether all gateways become ready in time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if all([await item.ask_ready() for item in fleet]):
            return True
        await asyncio.sleep(0.2)
    return False
