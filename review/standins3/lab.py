"""Stand-ins and helpers of the review's scripts: store, replicas, clients and gateways.

Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import collections.abc
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_SECONDS = 1.2
# Settings of a front machine of sites/alcfm-route.toml, but for its name and addresses.
FRONT_SETTINGS: dict[str, typing.Any] = {
    "limits": {
        "cpu_share": 0.817,
        "cores": 1,
        "memory_mb": 300,
        "max_fds": 4100,
        "link_mbps": 1000.0,
        "disk_mb": 0,
    },
    "contracts": [
        *("base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"),
        *("places", "platform"),
    ],
    "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
    "bounds": {
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
    },
}
KV_CAPACITY_TOKENS = 493_853
STREAM_FIELDS = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
PROOF = "X-Masticward-Response-Seal"
REQUEST_ID = "X-Masticward-Request-Id"


class CannotRunError(Exception):
    """Raised when a case could not be played, so that it shows nothing."""


def troubled() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str, count: int = 1) -> int:
    """Return a port such that it and the next ``count - 1`` ones are free for TCP and UDP."""
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            first = int(probe.getsockname()[1])
        if first + count > 65000:
            continue
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as tried:
                        tried.bind((host, port))
        except OSError:
            continue
        return first


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self.file.write(f"{self.now:8.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Write one line and print it."""
        self.write(text)
        print(text, flush=True)


class Head:
    """The first line and the headers of a message."""

    def __init__(self, data: bytes) -> None:
        lines = data.decode("latin-1").split("\r\n")
        self.first = lines[0].split(" ", 2)
        self.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }

    def get(self, name: str, default: str = "") -> str:
        """Return a header."""
        return self.headers.get(name.lower(), default)

    @property
    def length(self) -> int:
        """The declared length of the body, 0 without one."""
        return int(self.get("content-length", "0"))


class Store:
    """The platform's store: objects by kind and name, listings and watches."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.objects: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self.history: list[tuple[int, str, dict[str, typing.Any], bool]] = []
        self.revision = 1
        self.era = 1
        self.changed = asyncio.Event()
        self.address = ""
        # Whether no call is served.
        self.away = False
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def copy(self) -> tuple[dict[tuple[str, str], dict[str, typing.Any]], int]:
        """Return a copy of the objects with its revision."""
        return dict(self.objects), self.revision

    def leave(self) -> None:
        """Be away: reset all connections and serve no call."""
        self.away = True
        self.record.write("the store is away")
        for writer in list(self.writers):
            reset(writer)

    def restore(self, copied: tuple[dict[tuple[str, str], dict[str, typing.Any]], int]) -> None:
        """Come back from a copy, in a new era."""
        self.objects, self.revision = dict(copied[0]), copied[1]
        self.history = [item for item in self.history if item[0] <= self.revision]
        self.era += 1
        self.away = False
        self.wake()

    def wake(self) -> None:
        """Let the watches look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Create or replace an object."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "finalizers": [], "deleting": False}
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self.history.append((self.revision, kind, item, False))
        self.wake()

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self.history.append((self.revision, kind, item, True))
            self.wake()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the calls of one connection."""
        if self.away:
            reset(writer)
            return
        self.writers.add(writer)
        try:
            while True:
                head = Head(await reader.readuntil(b"\r\n\r\n"))
                body = await reader.readexactly(head.length)
                status, answer = await self.respond(head, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, head: Head, body: bytes) -> tuple[int, typing.Any]:
        """Return status and body of a call."""
        method, target = head.first[0], head.first[1]
        parts = urllib.parse.urlsplit(target)
        names = [urllib.parse.unquote(item) for item in parts.path.split("/")[2:]]
        query = dict(urllib.parse.parse_qsl(parts.query))
        kind = names[0]
        if method == "POST":
            document = json.loads(body)
            name = document["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            self.put(kind, name, document["spec"])
            return 200, self.objects[kind, name]
        if method == "PUT":
            document = json.loads(body)
            if (kind, names[1]) not in self.objects:
                return 404, {}
            self.put(kind, names[1], document["spec"])
            return 200, self.objects[kind, names[1]]
        if method == "DELETE":
            found = (kind, names[1]) in self.objects
            self.remove(kind, names[1])
            return (200 if found else 404), {}
        if len(names) > 1:
            item = self.objects.get((kind, names[1]))
            return (404, {}) if item is None else (200, item)
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]), float(query["wait_ms"]) / 1000)
        items = [
            item
            for (of, name), item in sorted(self.objects.items())
            if of == kind and name > query.get("after", "")
        ]
        return 200, {"items": items, "has_more": False, "current_rev": self.revision}

    async def watch(self, kind: str, revision: int, seconds: float) -> tuple[int, typing.Any]:
        """Return the changes of a kind after a revision, once there are any."""
        deadline = time.monotonic() + seconds
        while True:
            if revision > self.revision:
                return 410, {}
            changed = self.changed
            events = [
                {"object": item, "removed": removed}
                for number, of, item, removed in self.history
                if number > revision and of == kind
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


class Run:
    """A request that a replica got."""

    def __init__(self, replica: "Replica", head: Head, record: Record) -> None:
        self.replica = replica
        self.head = head
        self.id = head.get(REQUEST_ID)
        self.began_at = record.now
        self.ended_at: float | None = None


Serve = collections.abc.Callable[
    [Run, asyncio.StreamReader, asyncio.StreamWriter], collections.abc.Awaitable[bool]
]


class Replica:
    """A replica; ``serve_run`` answers a request whose head was read."""

    def __init__(
        self, record: Record, store: Store, name: str, service: str, zone: str, serve_run: Serve
    ) -> None:
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.serve_run = serve_run
        self.slots = 64
        self.born = 0
        self.seq = 0
        self.runs: list[Run] = []
        self.host = "127.0.0.1"
        self.port = 0
        self.receive_buffer = 0
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.cold_until = 0.0
        self.state = "ready"

    async def start(self) -> None:
        """Listen and begin to write the entry in the store."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        listening.bind((self.host, self.port))
        self.server = await asyncio.start_server(self.serve, sock=listening, backlog=256)
        self.port = int(listening.getsockname()[1])
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.beats = asyncio.create_task(self.beat())

    def write_entry(self) -> None:
        """Write the entry in the store."""
        if self.store.away:
            return
        self.seq += 1
        self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": max(0, int((self.cold_until - self.record.now) * 1000)),
                "born": self.born,
                "seq": self.seq,
            },
        )

    async def beat(self) -> None:
        """Write the entry again and again."""
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def crash(self) -> None:
        """End without a word: all connections are reset and none is accepted."""
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = Head(await reader.readuntil(b"\r\n\r\n"))
                run = Run(self, head, self.record)
                if head.get("X-Masticward-Expect-Instance", self.name) != self.name:
                    await reader.readexactly(head.length)
                    writer.write(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.runs.append(run)
                if not await self.serve_run(run, reader, writer):
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def configuration(
    routes: list[dict[str, typing.Any]], services: list[dict[str, typing.Any]]
) -> dict[str, typing.Any]:
    """Return a configuration of the operator; each field of a route may be changed."""
    usual = {
        "host": "api.example",
        "timeout_ms": 8000,
        "target_latency_ms": 800,
        "priority": 1,
        "max_attempts": 1,
        "public": True,
    }
    return {
        "version": 7,
        "routes": [{**usual, "path_prefix": f"/{route['name']}/", **route} for route in routes],
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "team-a", "api_keys": ["key-a"]}],
    }


def engine_service(name: str, cold_seconds: float = 0.0) -> dict[str, typing.Any]:
    """Return a service of model engines in a configuration."""
    return {
        "name": name,
        "max_connections": 370,
        "cold_start_s": cold_seconds,
        "cold_per_s": 8,
        "engine": {"slots": 64, "kv_capacity_tokens": KV_CAPACITY_TOKENS},
    }


def event(number: int, size: int = 55) -> bytes:
    """Return one event of a stream."""
    text = f"id: {number}\ndata: ".encode()
    return text + b"t" * max(1, size - len(text) - 2) + b"\n\n"


def event_ids(body: bytes | bytearray) -> list[int]:
    """Return the IDs of the events in a stream."""
    return [int(line[4:]) for line in bytes(body).split(b"\n") if line.startswith(b"id: ")]


def answer_head(run: Run, status: int, *fields: str) -> bytes:
    """Return the head of a replica's answer."""
    lines = [f"HTTP/1.1 {status} X", f"{REQUEST_ID}: {run.id}", f"{PROOF}: seal.{run.replica.name}"]
    return "\r\n".join([*lines, *fields, "", ""]).encode()


def chunk(data: bytes) -> bytes:
    """Return data as one chunk; none for the last one."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, lab: "Lab", name: str, ip: str, zone: str) -> None:
        self.lab = lab
        self.name = name
        self.ip = ip
        self.zone = zone
        self.process: subprocess.Popen[bytes] | None = None
        self.front = self.ready_port = 0
        self.settings = lab.folder / f"{name}.yaml"
        self.log = lab.folder / f"{name}.log"

    def start(self) -> None:
        """Start the process."""
        command = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = command["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["MASTICWARD_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.lab.record.write(f"started {self.name} as process {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.lab.record.write(f"{number.name} to {self.name}")
        self.process.send_signal(number)

    def status(self, field: str) -> int:
        """Return a figure of the process's memory in bytes; 0 if it has ended."""
        assert self.process is not None
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1]) * 1024
        return 0

    async def wait_ready(self) -> None:
        """Wait until the process says that it is ready."""
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            assert self.process is not None
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended with {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    head = Head(await reader.readuntil(b"\r\n\r\n"))
                    writer.close()
                    if head.first[1] == "200":
                        return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready after 20 s")


class Lab:
    """The stand-ins and gateways of one case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="masticward-review-"))
        self.record = Record(folder)
        self.store = Store(self.record)
        self.replicas: list[Replica] = []
        self.gateways: list[Gateway] = []
        self.requests = 0

    def replica(self, name: str, service: str, zone: str, serve_run: Serve) -> Replica:
        """Add a replica, which is not started."""
        replica = Replica(self.record, self.store, name, service, zone, serve_run)
        self.replicas.append(replica)
        return replica

    def add_gateways(self, zones: list[str], limits: dict[str, typing.Any] | None = None) -> None:
        """Add a gateway for each zone and write the settings; ``limits`` may be changed."""
        fields = {**FRONT_SETTINGS, "limits": {**FRONT_SETTINGS["limits"], **(limits or {})}}
        base = f"127.{70 + os.getpid() % 50}.{os.getpid() // 50 % 250}"
        self.gateways = [
            Gateway(self, f"front-{zone}-{number}", f"{base}.{number + 1}", zone)
            for number, zone in enumerate(zones)
        ]
        first = free_port(self.gateways[0].ip, 20)
        for gateway in self.gateways:
            gateway.front, gateway.ready_port = first, first + 1
            document = {
                "node": gateway.name,
                "role": "gateway",
                "machine_class": "front",
                "serves": ["front", "control"],
                "ip": gateway.ip,
                "zone": gateway.zone,
                "region": "r",
                "zones": dict.fromkeys(zones, "r"),
                "listen": {
                    "front": f"{gateway.ip}:{first}",
                    "ready": f"{gateway.ip}:{first + 1}",
                    "control": f"{gateway.ip}:{first + 2}",
                },
                "port_range": [first + 4, first + 19],
                "seeds": [f"{item.ip}:{first + 2}" for item in self.gateways[:3]],
                "bootstrap": True,
                "data_dir": None,
                "heartbeat_ms": 1200,
                "platform": {"address": self.store.address, "form": "objects"},
                **fields,
            }
            gateway.settings.write_text(json.dumps(document))

    async def start_gateways(self) -> None:
        """Start the gateways and wait until they have served for some seconds."""
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        await asyncio.sleep(4.0)

    def new_id(self) -> str:
        """Return the ID of a new request."""
        self.requests += 1
        return f"r{self.requests:08d}"

    def close(self) -> None:
        """End what was started and remove the folder."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client got. ``whole`` tells whether the answer ended as one that is complete."""

    def __init__(self) -> None:
        self.status = 0
        self.head: Head | None = None
        self.body = bytearray()
        self.whole = False
        self.error = ""


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer; raise an error of the connection if it breaks off."""
    head = answer.head = Head(await reader.readuntil(b"\r\n\r\n"))
    answer.status = int(head.first[1])
    if head.get("transfer-encoding").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            answer.body += (await reader.readexactly(size + 2))[:size]
            if not size:
                break
    else:
        answer.body += await reader.readexactly(head.length)
    answer.whole = True


async def ask(
    gateway: Gateway,
    method: str,
    path: str,
    request_id: str,
    body: bytes = b"",
    deadline_ms: int = 10_000,
    fields: tuple[str, ...] = (),
) -> Answer:
    """Send one request on a channel of its own and return the answer."""
    answer = Answer()
    writer = None
    record = gateway.lab.record
    record.write(f"sent {request_id} to {gateway.name}: {method} {path}, {len(body)} bytes")
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
            lines = [
                f"{method} {path} HTTP/1.1",
                "Host: api.example",
                f"{REQUEST_ID}: {request_id}",
                f"X-Masticward-Deadline-Ms: {deadline_ms}",
                *fields,
            ]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            await read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        answer.error = f"{type(error).__name__} {error}"[:80]
    finally:
        if writer is not None:
            writer.close()
    record.write(
        f"answered {request_id}: {answer.status}, {len(answer.body)} bytes, "
        f"{'whole' if answer.whole else 'not whole'} {answer.error}"
    )
    return answer


async def ask_engine(
    gateway: Gateway,
    path: str,
    request_id: str,
    body: bytes = b"prompt",
    deadline_ms: int = 8000,
    shared_parts: str = "a1:50",
) -> Answer:
    """Send a request to a model; its last part is its own."""
    return await ask(
        gateway,
        "POST",
        path,
        request_id,
        body,
        deadline_ms,
        (
            "X-Masticward-Model: m",
            "X-Masticward-Token-Counts: 100,60",
            f"X-Masticward-Prefix-Hash: {shared_parts},{request_id[1:]}:50",
        ),
    )


def play(
    folder: pathlib.Path, case: collections.abc.Callable[[Lab], collections.abc.Awaitable[int]]
) -> typing.NoReturn:
    """Play a case and exit with its result; 2 if it could not run."""

    async def run() -> int:
        lab = Lab(folder)
        try:
            async with asyncio.timeout(115):
                await lab.store.start()
                return await case(lab)
        except (CannotRunError, TimeoutError) as error:
            lab.record.say(f"the case could not run: {error!r}")
            return 2
        finally:
            lab.close()

    sys.exit(asyncio.run(run()))
