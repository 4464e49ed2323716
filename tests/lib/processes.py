"""Runs entries and agents of a plan as separate processes and disturbs them one by one."""

import asyncio
import datetime
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import aiohttp
import msgspec

from masticward import settings as settings_module
from masticward.bench import history, load, plans, platform
from masticward.models import membership
from masticward.standins import forwarder

SOURCE = pathlib.Path(__file__).resolve().parents[2] / "src"
# Twenty interpreters import grpc and sanic at the same time.
START_SECONDS = 30.0
STOP_SECONDS = 20.0
POLL_SECONDS = 0.05
LOG_END_CHARACTERS = 2_000
HOST = platform.HOST
LEAVING_BOUND_SECONDS = 3.0
LAUNCHER = pathlib.Path(__file__).with_name("launch.py")


class Program:
    """One running program with its addresses."""

    def __init__(self, name: str, instance: membership.Instance, command: list[str]) -> None:
        self.name = name
        self.instance = instance
        self.command = command
        self.http_url = ""
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    @property
    def admin_url(self) -> str:
        return f"http://{self.instance.admin_address}"

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid


class ProcessFleet:
    """Starts the programs of a plan; ``close`` ends each of them by its process id."""

    def __init__(self, plan: plans.FleetPlan) -> None:
        self.plan = plan
        self.platform = platform.Platform(plan)
        self.programs: dict[str, Program] = {}
        self.reserved: list[socket.socket] = []
        self.relays: dict[str, forwarder.Forwarder] = {}
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="masticward-test-"))
        self.session: aiohttp.ClientSession | None = None

    async def start(
        self,
        limits: settings_module.EntryLimits | None = None,
        relayed: typing.Collection[str] = (),
    ) -> None:
        """Start everything and wait until each program is ready.

        Peers reach the ``relayed`` agents only through forwarders, with their attempts too.
        """
        timeout = aiohttp.ClientTimeout(total=2.0)
        self.session = aiohttp.ClientSession(timeout=timeout)
        await self.platform.start()
        await self.platform.publish()
        for endpoint in self.plan.endpoints:
            await self.add_agent(endpoint, endpoint.id in relayed)
        for entry in self.plan.entries:
            await self.add_entry(entry, limits)
        for program in self.programs.values():
            await self.platform.list_instance(program.instance)
            self.spawn(program)
        await self.wait_ready(*self.programs)

    async def close(self, keep_logs: bool = False) -> None:
        """End all programs and stand-ins; logs are kept for failures."""
        for program in self.programs.values():
            end_process(program.process)
        for item in self.reserved:
            item.close()
        for relay in self.relays.values():
            await relay.close()
        if self.session is not None:
            await self.session.close()
        await self.platform.close()
        if keep_logs:
            print(f"logs kept in {self.directory}", file=sys.stderr, flush=True)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    async def relay(self, name: str, peer_address: str) -> str:
        """Put a forwarder in front of a program's peer port and return its address."""
        self.relays[name] = forwarder.Forwarder(HOST, int(peer_address.rpartition(":")[2]))
        return f"{HOST}:{await self.relays[name].start(f'{HOST}:0')}"

    async def add_agent(self, endpoint: plans.EndpointPlan, relayed: bool) -> None:
        settings = plans.agent_settings(
            self.plan,
            endpoint,
            self.platform.endpoint_urls[endpoint.id],
            await self.platform.settings_for(endpoint.id),
        )
        addresses = self.reserve("peer", "admin")
        if relayed:
            relay_address = await self.relay(endpoint.id, addresses["peer_address"])
            addresses["announced_peer_address"] = relay_address
        self.add("agent", msgspec.structs.replace(settings, **addresses))

    async def add_entry(
        self, entry: plans.EntryPlan, limits: settings_module.EntryLimits | None
    ) -> None:
        settings = plans.entry_settings(
            self.plan, entry, await self.platform.settings_for(entry.id), limits
        )
        addresses = self.reserve("http", "peer", "admin")
        self.add("entry", msgspec.structs.replace(settings, **addresses))
        self.programs[entry.id].http_url = f"http://{addresses['http_address']}"

    def add(
        self, role: str, settings: settings_module.EntrySettings | settings_module.AgentSettings
    ) -> None:
        path = self.directory / f"{settings.instance_id}.json"
        path.write_bytes(msgspec.json.encode(settings))
        service = (
            settings.endpoint.service if isinstance(settings, settings_module.AgentSettings) else ""
        )
        instance = membership.Instance(
            id=settings.instance_id,
            role=membership.Role(role),
            service=service,
            availability_zone=settings.availability_zone,
            peer_address=settings.announced_peer_address or settings.peer_address,
            admin_address=settings.admin_address,
        )
        program = ["-m", "masticward", role, "--settings", str(path)]
        command = [sys.executable, str(LAUNCHER), *program]
        self.programs[instance.id] = Program(instance.id, instance, command)

    def spawn(self, program: Program) -> None:
        """Start a program, again with the same settings if it ran before."""
        program.starts += 1
        # The programs themselves must keep uvloop from using io_uring.
        environment = {name: value for name, value in os.environ.items() if name[:3] != "UV_"}
        environment["PYTHONPATH"] = str(SOURCE)
        with (self.directory / f"{program.name}.{program.starts}.log").open("wb") as log:
            program.process = subprocess.Popen(
                program.command,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                cwd=self.directory,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one program."""
        process = self.programs[name].process
        assert process is not None
        process.send_signal(number)

    async def kill(self, name: str) -> None:
        """End a program at once."""
        self.signal(name, signal.SIGKILL)
        await self.wait(name)

    async def terminate(self, name: str, timeout: float = STOP_SECONDS) -> int:
        """Shut a program down gracefully and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return await self.wait(name, timeout)

    async def wait(self, name: str, timeout: float = STOP_SECONDS) -> int:
        """Wait for the end of a program; raises TimeoutExpired."""
        process = self.programs[name].process
        assert process is not None
        return await asyncio.to_thread(process.wait, timeout)

    async def restart(self, name: str) -> None:
        """Start a program that has ended and wait until it is ready."""
        self.spawn(self.programs[name])
        await self.wait_ready(name)

    async def wait_ready(self, *names: str, timeout: float = START_SECONDS) -> None:
        """Wait until the programs report ready; raises TimeoutError with their names."""
        deadline = time.monotonic() + timeout
        waiting = list(names)
        while waiting:
            self.check_running(waiting)
            ready = [await self.is_ready(name) for name in waiting]
            waiting = [name for name, up in zip(waiting, ready, strict=True) if not up]
            if waiting and time.monotonic() > deadline:
                raise TimeoutError(f"not ready after {timeout} s: {waiting}")
            if waiting:
                await asyncio.sleep(POLL_SECONDS)

    def check_running(self, names: typing.Iterable[str]) -> None:
        """Raise RuntimeError with the end of its log if one of the programs has ended."""
        for name in names:
            program = self.programs[name]
            if not self.is_running(name):
                log = (self.directory / f"{name}.{program.starts}.log").read_text()
                raise RuntimeError(f"{name} has ended:\n{log[-LOG_END_CHARACTERS:]}")

    async def is_ready(self, name: str) -> bool:
        """Tell whether a program answers its readiness check."""
        assert self.session is not None
        try:
            url = self.programs[name].admin_url + load.READINESS_PATH
            async with self.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def status(self, name: str) -> dict[str, typing.Any] | None:
        """Return the status of a program, None if it does not answer."""
        assert self.session is not None
        try:
            async with self.session.get(f"{self.programs[name].admin_url}/status") as response:
                answer: dict[str, typing.Any] = await response.json()
                return answer
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    def logged(self, name: str, event: str) -> list[tuple[float, dict[str, typing.Any]]]:
        """Return the events of one kind in a program's latest log, with their ``time.time()``.

        Answers of a busy program come late; the times in its log are those of what it did.
        """
        log = self.directory / f"{name}.{self.programs[name].starts}.log"
        lines = [line for line in log.read_text().splitlines() if f'"{event}"' in line]
        records = [msgspec.json.decode(line, type=dict[str, typing.Any]) for line in lines]
        return [
            (datetime.datetime.fromisoformat(record["timestamp"]).timestamp(), record)
            for record in records
            if record["event"] == event
        ]

    async def versions(self) -> list[history.VersionSample]:
        """Return the versions of all programs that answer."""
        names = list(self.programs)
        answers = await asyncio.gather(*(self.status(name) for name in names))
        return [
            history.VersionSample(
                process=name,
                incarnation=answer["incarnation"],
                at=time.monotonic(),
                config_version=answer["config_version"],
                operations_version=answer["operations_version"],
            )
            for name, answer in zip(names, answers, strict=True)
            if answer is not None
        ]

    async def dispatcher_of(self, service: str) -> str:
        """Return the id of the agent that dispatches a service, as the last entry sees it."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            dispatcher = await self.dispatcher_at(self.entry_names()[-1], service)
            if dispatcher:
                return dispatcher
            await asyncio.sleep(POLL_SECONDS)
        raise TimeoutError(f"no dispatcher of {service}")

    async def dispatcher_at(self, entry: str, service: str) -> str:
        """Return the id of the agent that an entry uses as dispatcher, an empty string if none."""
        answer = await self.status(entry)
        return str((answer or {}).get("dispatchers", {}).get(service, ""))

    def is_running(self, name: str) -> bool:
        """Tell whether a program has been started and has not ended."""
        process = self.programs[name].process
        return process is not None and process.poll() is None

    def agent_names(self) -> list[str]:
        return [endpoint.id for endpoint in self.plan.endpoints]

    def entry_names(self) -> list[str]:
        return [entry.id for entry in self.plan.entries]

    async def rolling_restart(self, name: str) -> int:
        """Shut a program down gracefully, start it again and return its exit code.

        An agent's endpoint may not start work from the bound after the signal until the restart.
        """
        restrictions = self.platform.restrictions
        if name in self.platform.endpoint_urls:
            cutoff = time.monotonic() + LEAVING_BOUND_SECONDS
            restrictions.begin_endpoint(name, "leaving", cutoff)
        code = await self.terminate(name)
        restrictions.end(name, time.monotonic())
        await self.restart(name)
        return code

    def reserve(self, *names: str) -> dict[str, str]:
        """Return settings such as ``peer_address`` with ports that the operating system chose.

        The ports stay bound without listening until ``close``, so that no other socket gets them
        before a program starts or while it is restarted.
        """
        addresses = {}
        for name in names:
            item = socket.socket()
            item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            item.bind((HOST, 0))
            self.reserved.append(item)
            addresses[f"{name}_address"] = f"{HOST}:{item.getsockname()[1]}"
        return addresses

    def targets(self, weights: typing.Sequence[float] = ()) -> list[load.Target]:
        """Return the entries for a load balancer, with uneven weights if given."""
        return [
            load.Target(
                id=entry.id,
                url=self.programs[entry.id].http_url,
                readiness_url=self.programs[entry.id].admin_url + load.READINESS_PATH,
                weight=weights[number] if number < len(weights) else 1.0,
            )
            for number, entry in enumerate(self.plan.entries)
        ]


def end_process(process: subprocess.Popen[bytes] | None) -> None:
    """End one process that this module started, even if it is stopped by SIGSTOP."""
    if process is not None and process.poll() is None:
        process.kill()
        process.wait(STOP_SECONDS)


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident size of a process so far."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines if ":" in line)
    return int(fields["VmHWM"].split()[0]) * 1024
