"""Stand-ins for the platform's store, replicas and clients, and gateways as separate processes.

They behave as the users' pages say. A script adds the one disruption that it is about.
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
import subprocess
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
SEAL = "X-Masticward-Response-Seal: 3e1b.07.5a2\r\n"
START_SECONDS = 15.0
# Exit codes of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """Raised when a case cannot be shown or refuted, for example because no gateway starts."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started_at = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class Request:
    """A request as a stand-in received it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        first, *fields = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = first.split(" ", 2)
        self.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in fields if line)
        }
        self.body = body

    @property
    def request_id(self) -> str:
        """The ID of the client attempt."""
        return self.headers.get("x-masticward-request-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a request with a length; raise IncompleteReadError at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    request = Request(head, b"")
    length = int(request.headers.get("content-length", "0"))
    request.body = await reader.readexactly(length)
    return request


class Server:
    """A server on a free port of a loopback address; one task a connection."""

    def __init__(self) -> None:
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen and set ``address``."""
        self.server = await asyncio.start_server(self.accept, ip, 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Close the port and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; implemented by each server."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: linearizable, with one revision counter, listings and watches."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.objects: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self.history: list[tuple[int, str, dict[str, typing.Any], bool]] = []
        self.revision = 1
        self.changed = asyncio.Event()

    def note_change(self, kind: str, item: dict[str, typing.Any], removed: bool) -> None:
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, kind, item, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Create or replace an object, as the operator or a replica does."""
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision, "finalizers": []},
            "spec": spec,
            "status": {},
        }
        self.objects[kind, name] = item
        self.note_change(kind, item, False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self.note_change(kind, item, True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls, one after the other."""
        while True:
            request = await read_request(reader)
            status, body = await self.answer(request)
            data = json.dumps(body).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            await writer.drain()

    async def answer(self, request: Request) -> tuple[int, typing.Any]:
        """Return status and body of a call."""
        parts = urllib.parse.urlsplit(request.target)
        path = [urllib.parse.unquote(part) for part in parts.path.split("/")[2:]]
        query = dict(urllib.parse.parse_qsl(parts.query))
        kind = path[0]
        if request.method == "POST":
            document = json.loads(request.body)
            name = document["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            self.put(kind, name, document["spec"])
            return 200, self.objects[kind, name]
        if request.method == "PUT":
            if (kind, path[1]) not in self.objects:
                return 404, {}
            self.put(kind, path[1], json.loads(request.body)["spec"])
            return 200, self.objects[kind, path[1]]
        if request.method == "DELETE":
            found = (kind, path[1]) in self.objects
            self.remove(kind, path[1])
            return (200 if found else 404), {}
        if len(path) > 1:
            stored = self.objects.get((kind, path[1]))
            return (404, {}) if stored is None else (200, stored)
        if "watch" in query:
            wait_seconds = int(query.get("wait_ms", "0")) / 1000
            return await self.watch(kind, int(query["watch"]), wait_seconds)
        items = [
            item
            for (item_kind, name), item in sorted(self.objects.items())
            if item_kind == kind and name > query.get("after", "")
        ]
        return 200, {"items": items, "has_more": False, "current_rev": self.revision}

    async def watch(self, kind: str, revision: int, wait_seconds: float) -> tuple[int, typing.Any]:
        """Return the changes after a revision as soon as there is one."""
        deadline = time.monotonic() + wait_seconds
        while True:
            changed = self.changed
            found = [
                {"object": item, "removed": removed}
                for number, item_kind, item, removed in self.history
                if number > revision and item_kind == kind
            ]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "current_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


class Proxy(Server):
    """Forwards connections to a server, and can let those that are open go silent for good."""

    def __init__(self, target: str) -> None:
        super().__init__()
        self.target = target
        # Connections with a higher number were opened after the silence.
        self.silenced = 0
        self.opened = 0

    def silence(self) -> None:
        """Forward nothing more on the connections that are open now; new ones work."""
        self.silenced = self.opened

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection in both directions."""
        self.opened += 1
        number = self.opened
        host, port = self.target.rsplit(":", 1)
        far_reader, far_writer = await asyncio.open_connection(host, int(port))

        async def forward(source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
            while data := await source.read(65536):
                if number <= self.silenced:
                    continue
                sink.write(data)
                await sink.drain()

        tasks = [
            asyncio.ensure_future(forward(reader, far_writer)),
            asyncio.ensure_future(forward(far_reader, writer)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            far_writer.close()


Work = collections.abc.Callable[
    ["Replica", Request, asyncio.StreamReader, asyncio.StreamWriter],
    collections.abc.Awaitable[bool],
]


class Replica(Server):
    """A replica: one request at a time on a connection, registered in the store.

    ``work`` answers a request and returns whether the connection is kept.
    """

    def __init__(self, store: Store, record: Record, name: str, zone: str, work: Work) -> None:
        super().__init__()
        self.store = store
        self.record = record
        self.name = name
        self.zone = zone
        self.work = work
        self.service = "app"
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        # When requests arrived that it ran, by ID.
        self.runs: dict[str, list[float]] = {}

    def register(self) -> None:
        """Write the entry into the store."""
        self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "seq": 1,
                "born": self.born,
            },
        )

    def note_run(self, request: Request) -> None:
        """Record that a request begins to run."""
        self.runs.setdefault(request.request_id, []).append(self.record.now())
        self.record.line(f"replica {self.name} runs {request.request_id}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        while True:
            request = await read_request(reader)
            expected = request.headers.get("x-masticward-expect-instance")
            if expected not in (None, self.name):
                writer.write(self.head(request, 421, "X-Masticward-Not-Executed: 1\r\n", 0))
            elif not await self.work(self, request, reader, writer):
                return
            await writer.drain()

    def head(self, request: Request, status: int, fields: str, length: int) -> bytes:
        """Return the head of a response with a length."""
        return (
            f"HTTP/1.1 {status} X\r\nX-Masticward-Request-Id: {request.request_id}\r\n{fields}"
            f"Content-Length: {length}\r\n\r\n"
        ).encode()


async def answer_at_once(
    replica: Replica,
    request: Request,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Run a request as a sound replica without delay."""
    replica.note_run(request)
    body = f"answer to {request.request_id}".encode()
    writer.write(replica.head(request, 200, SEAL, len(body)) + body)
    return True


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, directory: pathlib.Path, settings: dict[str, typing.Any]) -> None:
        self.settings = settings
        self.name = str(settings["node"])
        self.path = directory / f"{self.name}.yaml"
        self.log_path = directory / f"{self.name}.log"
        # JSON is YAML.
        self.path.write_text(json.dumps(settings), encoding="utf-8")
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """The address for clients."""
        return str(self.settings["listen"]["front"])

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["MASTICWARD_SETTINGS"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["UV_USE_IO_URING"] = "0"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )

    async def wait_ready(self) -> None:
        """Wait until the process says that it is ready."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                answer = await call(self.settings["listen"]["ready"], "GET", "/ready", {}, 1.0)
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} does not become ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


class Answer:
    """What a client got. ``status`` is 0 if the connection ended without a head."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read a response; ``whole`` tells whether its end was received."""
    answer = Answer()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *fields = head.decode("latin-1").split("\r\n")
        answer.status = int(first.split(" ")[1])
        for line in fields:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                answer.body += data[:-2]
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.whole = True
    except (asyncio.IncompleteReadError, OSError):
        pass
    return answer


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    timeout_seconds: float,
    body: bytes = b"",
) -> Answer:
    """Send one request on a new connection and return the answer."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        fields = {"Host": "api.example", **headers}
        if body or method != "GET":
            fields["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body)
        async with asyncio.timeout(timeout_seconds):
            return await read_answer(reader)
    except TimeoutError:
        return Answer()
    finally:
        writer.close()


def free_ports(ip: str, count: int) -> list[int]:
    """Return free TCP ports of an address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((ip, 0))
        return [int(item.getsockname()[1]) for item in sockets]
    finally:
        for item in sockets:
            item.close()


def route(name: str, kind: str, **changes: typing.Any) -> dict[str, typing.Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "api.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 800,
        "priority": 1,
        "service": "app",
        "max_attempts": 1,
        "public": True,
        **changes,
    }


def configuration(
    version: int, routes: list[dict[str, typing.Any]], **changes: typing.Any
) -> dict[str, typing.Any]:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "app", "max_connections": 110, "health_path": "/health"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": ["asnmgkcuyj8pjbvk9m68"]}],
        **changes,
    }


class Fleet:
    """Store, replicas and gateways of one case; ends all that it started."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="masticward-review-"))
        self.record = Record(folder / "record.txt")
        self.store = Store(self.record)
        self.replicas: list[Replica] = []
        self.gateways: list[Gateway] = []
        # Where the gateways reach the store; a script may put a proxy there.
        self.store_address = ""

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start()
        self.store_address = self.store.address

    async def add_replica(
        self, name: str, zone: str = "port-louis", work: Work = answer_at_once
    ) -> Replica:
        """Start and register a replica."""
        replica = Replica(self.store, self.record, name, zone, work)
        await replica.start()
        replica.register()
        self.replicas.append(replica)
        return replica

    async def start_gateways(self, count: int, **changes: typing.Any) -> None:
        """Start gateways in one zone each and wait until they are ready."""
        zones = ["port-louis", "ebene", "curepipe"]
        ips = [f"127.0.{number + 1}.1" for number in range(count)]
        front, ready, control, peer = free_ports(ips[0], 4)
        for number, ip in enumerate(ips):
            settings = {
                "node": f"front-{number + 1}",
                "role": "gateway",
                "machine_class": "front",
                "ip": ip,
                "zone": zones[number % len(zones)],
                "region": "mu-island",
                "zones": dict.fromkeys(zones, "mu-island"),
                "listen": {
                    "front": f"{ip}:{front}",
                    "ready": f"{ip}:{ready}",
                    "control": f"{ip}:{control}",
                },
                "port_range": [peer, peer + 15],
                "seeds": [f"{item}:{control}" for item in ips[:3]],
                "limits": {"cpu_share": 0.817, "cores": 1, "memory_mb": 300, "max_fds": 4100},
                "heartbeat_ms": 1200,
                "contracts": ["base", "drain", "config", "retry", "recover", "stream", "platform"],
                "bounds": {
                    "contact_ms": 3000,
                    "drain_ms": 2000,
                    "grace_s": 8,
                    "config_ms": 2000,
                    "strict_revoke": True,
                    "revoke_ms": 5000,
                    "retry_budget_ratio": 0.2,
                    "budget_window_s": 10,
                    "budget_slack": 58,
                    "cold_overage": 1.5,
                    "cold_slack": 5,
                    "evacuate_ms": 5000,
                },
                "platform": {"address": self.store_address, "form": "objects"},
                **changes,
            }
            gateway = Gateway(self.directory, settings)
            gateway.start()
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await gateway.wait_ready()

    def close(self) -> None:
        """End all processes and servers and remove the temporary folder."""
        for gateway in self.gateways:
            gateway.end()
        for replica in self.replicas:
            replica.stop()
        self.store.stop()
        shutil.rmtree(self.directory, ignore_errors=True)


Case = collections.abc.Callable[[Fleet, bool], collections.abc.Awaitable[bool]]


def run_case(folder: pathlib.Path, case: Case) -> int:
    """Run a case with or without its disruption; return the script's exit code.

    The case returns whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    keep = os.environ.get("KEEP_LOGS")

    async def run() -> int:
        fleet = Fleet(folder)
        fleet.record.line(f"disruption: {'yes' if trouble else 'no'}")
        try:
            held = await asyncio.wait_for(case(fleet, trouble), 110.0)
            fleet.record.line("the rule held" if held else "the rule is broken")
            return HELD if held else BROKEN
        except (CannotRunError, TimeoutError, OSError) as error:
            fleet.record.line(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            if keep:
                for gateway in fleet.gateways:
                    shutil.copy(gateway.log_path, keep)
            fleet.close()

    return asyncio.run(run())
