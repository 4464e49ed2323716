"""Loads one gateway beside endpoints that send bytes without end, and shows what it uses.

``python -m tests.soak.endless --kind error-body --callers 200``: a third of the endpoints is
faulty. Shown are the gateway's peak of memory, the processor time that it used in each second, and
the answers that callers got. ``--list`` names the kinds of faults. The exit code is 1 if the
gateway ended or exceeded its memory.
"""

import argparse
import asyncio
import collections
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
import typing

from masticward import errors
from masticward.transport import http1
from tests.lib import endless_responses, platform_standins
from tests.soak import world

ENDPOINTS = 12
MEMORY_MB = 300
DEADLINE_SECONDS = 2.5
SOUND_BODY = b"x" * 800
ROUTES = ("book", "status", "stream", "resume")
SAMPLE_SECONDS = 0.05
MEGABYTE = 1024 * 1024
START_SECONDS = 20.0
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class Usage:
    """What a process uses, sampled until it is stopped."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.peak_bytes = 0
        self.first_above_limit: float | None = None
        self.started_at = time.monotonic()
        self.cpu_at_start = self.cpu_seconds()

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has used."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def sample(self) -> None:
        """Record the resident memory until cancelled or the process ends."""
        while True:
            try:
                text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
            except OSError:
                return
            lines = [line for line in text.splitlines() if line.startswith("VmRSS:")]
            resident = sum(int(line.split()[1]) * 1024 for line in lines)
            self.peak_bytes = max(self.peak_bytes, resident)
            if resident > MEMORY_MB * MEGABYTE and self.first_above_limit is None:
                self.first_above_limit = time.monotonic() - self.started_at
            await asyncio.sleep(SAMPLE_SECONDS)


class Load:
    """Callers of one gateway, and what they got."""

    def __init__(self, port: int, routes: tuple[str, ...]) -> None:
        self.port = port
        self.routes = routes
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.seconds: list[float] = []
        self.until = 0.0

    async def run(self, number: int) -> None:
        """Send one request after the other, each on a connection of its own."""
        sent = 0
        while time.monotonic() < self.until:
            route = self.routes[(number + sent) % len(self.routes)]
            sent += 1
            started_at = time.monotonic()
            outcome = await self.call(route)
            self.outcomes[outcome] += 1
            if outcome == "200":
                self.seconds.append(time.monotonic() - started_at)
            await asyncio.sleep(0.01)

    async def call(self, route: str) -> str:
        """Send one request and read its response; return its status or what went wrong."""
        try:
            channel = await http1.connect(("127.0.0.1", self.port), 1.0)
        except errors.EndpointError:
            return "no connection"
        headers = [
            (b"Host", b"api.example"),
            (b"X-Masticward-Request-Id", endless_responses.new_id().encode()),
            (b"X-Masticward-Deadline-Ms", str(int(DEADLINE_SECONDS * 1000)).encode()),
            (b"Content-Length", b"5"),
        ]
        exchange = http1.Exchange(channel)
        try:
            async with asyncio.timeout(DEADLINE_SECONDS + 0.5):
                await exchange.send(b"POST", f"/{route}/x".encode(), headers, b"hello")
                answer = await exchange.read_head()
                while await exchange.read_data() is not None:
                    pass
            return str(answer.status)
        except TimeoutError:
            return "late"
        except (errors.EndpointError, OSError):
            return "cut"
        finally:
            channel.abort()


async def answer_soundly(
    request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    """Answer as a sound endpoint."""
    await asyncio.sleep(0.02)
    stream = request.target.startswith(("/stream/", "/resume/"))
    body = EVENTS if stream else SOUND_BODY
    extra = "Content-Type: text/event-stream\r\n" if stream else ""
    writer.write(platform_standins.complete_response(request, body, extra))
    return True


async def serve_endpoints(kind: str | None, count: int) -> None:
    """Serve endpoints, print their addresses and go on until killed."""
    behaviour = endless_responses.KINDS[kind]() if kind else answer_soundly
    standins = [platform_standins.EndpointStandin(behaviour) for _ in range(count)]
    for standin in standins:
        await standin.start()
    print(" ".join(standin.address for standin in standins), flush=True)
    await asyncio.sleep(3600.0)


def start_endpoints(kind: str | None, count: int) -> tuple[subprocess.Popen[bytes], list[str]]:
    """Start a process with endpoints; return it and their addresses."""
    command = [sys.executable, str(world.LAUNCHER), "-m", "tests.soak.endless"]
    options = ["--serve", str(count), *(["--kind", kind] if kind else [])]
    process = subprocess.Popen([*command, *options], stdout=subprocess.PIPE)
    assert process.stdout is not None
    return process, process.stdout.readline().decode().split()


def start_gateway(directory: pathlib.Path, store: str) -> tuple[subprocess.Popen[bytes], int]:
    """Start a gateway; return its process and the port for clients."""
    port = world.free_port()
    text = platform_standins.SETTINGS.format(
        ip="127.0.0.1", store=store, revoke_ms=5000, grace_s=8
    ).replace('front: "127.0.0.1:0"', f'front: "127.0.0.1:{port}"')
    path = directory / "node.yaml"
    path.write_text(f"{text}limits: {{memory_mb: {MEMORY_MB}}}\n")
    environment = {name: value for name, value in os.environ.items() if name[:3] != "UV_"}
    environment["MASTICWARD_SETTINGS"] = str(path)
    with (directory / "gateway.log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, str(world.LAUNCHER), str(world.ROOT / "deploy" / "gateway.py")],
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    return process, port


class Report(typing.NamedTuple):
    """What one run showed. Memory is in MB, processor time in cores."""

    peak_mb: float
    above_after: float | None
    cores: float
    outcomes: dict[str, int]
    median_ms: float
    ended: bool


async def play(
    kind: str | None, callers: int, seconds: float, routes: tuple[str, ...], faulty: int
) -> Report:
    """Load one gateway and report what it used."""
    store = platform_standins.StoreStandin()
    await store.start()
    processes = []
    with tempfile.TemporaryDirectory(prefix="masticward-endless-") as name:
        try:
            sound, addresses = start_endpoints(None, ENDPOINTS - faulty)
            processes.append(sound)
            if faulty:
                process, more = start_endpoints(kind, faulty)
                processes.append(process)
                addresses += more
            for number, address in enumerate(addresses):
                store.put_endpoint(f"e{number}", address)
            store.put("config", "main", platform_standins.configuration())
            gateway, port = start_gateway(pathlib.Path(name), store.address)
            processes.append(gateway)
            load = Load(port, routes)
            async with asyncio.timeout(START_SECONDS):
                while await load.call("book") not in ("200", "500", "502"):
                    await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)
            usage = Usage(gateway.pid)
            sampling = asyncio.create_task(usage.sample())
            load.until = time.monotonic() + seconds
            await asyncio.gather(*(load.run(number) for number in range(callers)))
            ended = gateway.poll() is not None
            elapsed = time.monotonic() - usage.started_at
            cores = 0.0 if ended else (usage.cpu_seconds() - usage.cpu_at_start) / elapsed
            sampling.cancel()
            return Report(
                usage.peak_bytes / MEGABYTE,
                usage.first_above_limit,
                cores,
                dict(load.outcomes),
                statistics.median(load.seconds) * 1000 if load.seconds else 0.0,
                ended,
            )
        finally:
            for process in processes:
                process.kill()
                process.wait(10)
            await store.stop()


def main() -> None:
    """Play the kind on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kind", choices=sorted(endless_responses.KINDS))
    parser.add_argument("--list", action="store_true", help="name the kinds and end")
    parser.add_argument("--callers", type=int, default=60)
    parser.add_argument("--faulty", type=int, default=ENDPOINTS // 3, help="of 12 endpoints")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--routes", default=",".join(ROUTES), help="of the callers, by commas")
    parser.add_argument("--serve", type=int, help="only serve this many endpoints")
    arguments = parser.parse_args()
    if arguments.list:
        print("\n".join(sorted(endless_responses.KINDS)))
        return
    if arguments.serve:
        asyncio.run(serve_endpoints(arguments.kind, arguments.serve))
        return
    faulty = arguments.faulty if arguments.kind else 0
    routes = tuple(arguments.routes.split(","))
    report = asyncio.run(play(arguments.kind, arguments.callers, arguments.seconds, routes, faulty))
    above = "never" if report.above_after is None else f"after {report.above_after:.1f} s"
    print(
        f"{arguments.kind}: peak {report.peak_mb:.0f} MB (above {MEMORY_MB} MB {above}), "
        f"{report.cores:.2f} cores, {report.outcomes.get('200', 0)} answers 200, "
        f"median {report.median_ms:.0f} ms, {report.outcomes}"
        + (", THE GATEWAY ENDED" if report.ended else "")
    )
    sys.exit(1 if report.ended or report.above_after is not None else 0)


if __name__ == "__main__":
    main()
