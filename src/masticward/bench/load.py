"""A load generator bounded in calls and time: a backlog or an open load for each team."""

import asyncio
import collections.abc
import contextlib
import random
import time

import aiohttp
import hdrh.histogram
import msgspec

from masticward.bench import calls as calls_module
from masticward.bench import history as history_module
from masticward.models import work
from masticward.utils import identifiers, tasks

MICROSECONDS_PER_SECOND = 1_000_000
LONGEST_LATENCY_MICROSECONDS = 120 * MICROSECONDS_PER_SECOND
LATENCY_DIGITS = 3
READINESS_PATH = "/ready"
READINESS_PERIOD_SECONDS = 0.1
READINESS_TIMEOUT_SECONDS = 0.5
# A pause of this process lets the probes of all entries time out together, and a balancer that
# believed a single one had no entry left.
UNANSWERED_PROBES = 3
# How long a caller waits past its own deadline before it gives up on the entry.
GRACE_SECONDS = 5.0
SHORTEST_PAUSE_SECONDS = 0.02
LONGEST_PAUSE_SECONDS = 1.0
READ_BYTES = 64 * 1024


class TeamLoad(msgspec.Struct, kw_only=True):
    """Keeps ``outstanding`` calls of one team under way. ``patient`` teams honour Retry-After.

    With ``calls_per_second`` above 0 the load is open instead: calls arrive at random (Poisson)
    whether or not earlier ones have ended, and ``outstanding`` and ``patient`` have no effect.
    """

    team: str
    credential: str
    outstanding: int
    mix: calls_module.CallMix
    patient: bool = True
    calls_per_second: float = 0.0


class Target(msgspec.Struct, kw_only=True):
    """One entry behind the load balancer; ``weight`` is its part of the traffic."""

    id: str
    url: str
    readiness_url: str = ""
    weight: float = 1.0
    ready: bool = True
    unanswered: int = 0


class Latencies:
    """Histograms in microseconds: whole calls, first byte, and between pieces of a stream."""

    __slots__ = ("between", "first", "whole")

    def __init__(self) -> None:
        self.whole = new_histogram()
        self.first = new_histogram()
        self.between = new_histogram()


class Balancer:
    """Stands for the platform's load balancer: it sends traffic only to entries that are ready."""

    def __init__(self, targets: collections.abc.Iterable[Target]) -> None:
        self.targets = {target.id: target for target in targets}
        self.background = tasks.TaskGroup()

    def choose(self, rng: random.Random, excluded: collections.abc.Set[str]) -> Target | None:
        """Return a ready entry by weight, None if there is none besides the excluded ones."""
        ready = [
            target for target in self.targets.values() if target.ready and target.id not in excluded
        ]
        if not ready:
            return None
        return rng.choices(ready, [target.weight for target in ready])[0]

    def start(self, session: aiohttp.ClientSession) -> None:
        """Poll the readiness of the entries until ``close``."""
        self.background.spawn(self.poll(session), "balancer")

    async def close(self) -> None:
        """Stop polling."""
        await self.background.cancel()

    async def poll(self, session: aiohttp.ClientSession) -> None:
        """Update the readiness of all entries once each period."""
        while True:
            targets = [target for target in self.targets.values() if target.readiness_url]
            await asyncio.gather(*(self.probe(session, target) for target in targets))
            await asyncio.sleep(READINESS_PERIOD_SECONDS)

    async def probe(self, session: aiohttp.ClientSession, target: Target) -> None:
        """Update the readiness of one entry; without an answer it stays for a few probes."""
        timeout = aiohttp.ClientTimeout(total=READINESS_TIMEOUT_SECONDS)
        try:
            async with session.get(target.readiness_url, timeout=timeout) as response:
                target.ready = response.status == 200
                target.unanswered = 0
        except TimeoutError:
            target.unanswered += 1
            target.ready = target.ready and target.unanswered < UNANSWERED_PROBES
        except (aiohttp.ClientError, OSError):
            target.ready = False


class LoadGenerator:
    """Runs the calls of all teams and records them in a history."""

    def __init__(
        self,
        history: history_module.History,
        balancer: Balancer,
        seed: int,
        maximum_calls: int,
        deadline_seconds: float = 30.0,
    ) -> None:
        self.history = history
        self.balancer = balancer
        self.seed = seed
        self.calls_left = maximum_calls
        self.deadline_seconds = deadline_seconds
        self.stop_at = 0.0
        self.latencies: dict[str, Latencies] = {}
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "LoadGenerator":
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        self.balancer.start(self.session)
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.balancer.close()
        if self.session is not None:
            await self.session.close()

    async def run(self, teams: collections.abc.Iterable[TeamLoad], duration_seconds: float) -> None:
        """Keep the load up for a time, then wait until the last calls have ended."""
        self.stop_at = time.monotonic() + duration_seconds
        workers = []
        for load in teams:
            name = f"{load.team}-{load.mix.__class__.__name__}"
            if load.calls_per_second > 0.0:
                workers.append(self.arrive(load, name))
                continue
            workers += [self.work(load, f"{name}-{worker}") for worker in range(load.outstanding)]
        await asyncio.gather(*workers)

    def stop(self) -> None:
        """Start no further calls."""
        self.stop_at = 0.0

    async def work(self, load: TeamLoad, name: str) -> None:
        """Make one call after the other until the load stops."""
        rng = random.Random(f"{self.seed}-{name}")
        number = 0
        while time.monotonic() < self.stop_at and self.calls_left > 0:
            self.calls_left -= 1
            number += 1
            spec = load.mix.make(rng, f"{self.seed}-{name}-{number}")
            record = await self.call(load, spec, f"{name}-{number}", rng)
            if record.outcome is work.Outcome.NOT_RUN:
                patience = LONGEST_PAUSE_SECONDS if load.patient else SHORTEST_PAUSE_SECONDS
                await asyncio.sleep(rng.uniform(SHORTEST_PAUSE_SECONDS, patience))

    async def arrive(self, load: TeamLoad, name: str) -> None:
        """Start calls at random times until the load stops, then wait for the last ones."""
        rng = random.Random(f"{self.seed}-{name}")
        under_way: set[asyncio.Task[history_module.CallRecord]] = set()
        next_at, number = time.monotonic(), 0
        while True:
            next_at += rng.expovariate(load.calls_per_second)
            await asyncio.sleep(max(0.0, min(next_at, self.stop_at) - time.monotonic()))
            if time.monotonic() >= self.stop_at or self.calls_left <= 0:
                break
            self.calls_left -= 1
            number += 1
            spec = load.mix.make(rng, f"{self.seed}-{name}-{number}")
            task = asyncio.create_task(self.call(load, spec, f"{name}-{number}", rng))
            under_way.add(task)
            task.add_done_callback(under_way.discard)
        await asyncio.gather(*under_way)

    async def call(
        self,
        load: TeamLoad,
        spec: calls_module.CallSpec,
        call_id: str,
        rng: random.Random,
        only_entry: str = "",
    ) -> history_module.CallRecord:
        """Make one call and record it.

        An entry that accepts no connection is passed over, as a load balancer does; nothing was
        sent to it.
        """
        record = new_record(load, spec, call_id)
        self.history.calls.append(record)
        excluded: set[str] = set()
        while True:
            target = self.choose(rng, excluded, only_entry)
            if target is None:
                record.outcome = work.Outcome.NOT_RUN
                record.detail = "no entry accepts connections"
                break
            try:
                await self.send(target, load, spec, record)
                break
            except aiohttp.ClientConnectorError:
                excluded.add(target.id)
        record.ended_at = time.monotonic()
        return record

    def choose(
        self, rng: random.Random, excluded: collections.abc.Set[str], only_entry: str
    ) -> Target | None:
        """Return the entry to use, None if there is none left."""
        if only_entry:
            return None if only_entry in excluded else self.balancer.targets[only_entry]
        return self.balancer.choose(rng, excluded)

    async def send(
        self,
        target: Target,
        load: TeamLoad,
        spec: calls_module.CallSpec,
        record: history_module.CallRecord,
    ) -> None:
        """Send one call to one entry; raises ClientConnectorError if nothing was sent."""
        assert self.session is not None
        timeout = aiohttp.ClientTimeout(total=self.deadline_seconds + GRACE_SECONDS)
        try:
            async with self.session.request(
                spec.method,
                target.url + spec.path,
                data=spec.body,
                headers=request_headers(load, spec, self.deadline_seconds),
                timeout=timeout,
            ) as response:
                record.entry = target.id
                await self.receive(response, record)
        except aiohttp.ClientConnectorError:
            raise
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            record.entry = target.id
            record.cut = record.status == 200
            record.outcome = work.Outcome.UNKNOWN
            record.detail = f"{type(error).__name__}: {error}"

    async def receive(
        self, response: aiohttp.ClientResponse, record: history_module.CallRecord
    ) -> None:
        """Read the whole response into the record; raises ClientError if it is cut."""
        record.status = response.status
        record.request_id = response.headers.get("Masticward-Request-Id", "")
        latencies = self.latencies.setdefault(record.service, Latencies())
        body = bytearray()
        previous = record.sent_at
        async for piece, _end in response.content.iter_chunks():
            now = time.monotonic()
            if not record.first_byte_at:
                record.first_byte_at = now
                note(latencies.first, now - previous)
            elif piece:
                note(latencies.between, now - previous)
            previous = now
            body += piece
        note(latencies.whole, time.monotonic() - record.sent_at)
        record.response_digest = identifiers.body_digest(bytes(body))
        record.response_length = len(body)
        with contextlib.suppress(ValueError):
            record.outcome = work.Outcome(response.headers.get("Masticward-Outcome", ""))
        if record.outcome is not work.Outcome.COMPLETE:
            record.detail = bytes(body[:200]).decode(errors="replace")


def new_record(
    load: TeamLoad, spec: calls_module.CallSpec, call_id: str
) -> history_module.CallRecord:
    """Return the record of a call that is about to be sent."""
    return history_module.CallRecord(
        call_id=call_id,
        team=load.team,
        service=spec.service,
        operation=spec.operation,
        idempotent=spec.idempotent,
        key=spec.key,
        cost=spec.cost,
        request_digest=identifiers.body_digest(spec.body),
        sent_at=time.monotonic(),
    )


def request_headers(
    load: TeamLoad, spec: calls_module.CallSpec, deadline_seconds: float
) -> dict[str, str]:
    """Return the headers of a call."""
    headers = {
        "Authorization": f"Bearer {load.credential}",
        "Content-Type": "application/json",
        "Masticward-Deadline": str(int(deadline_seconds * 1000)),
    }
    if spec.cost_hint > 0.0:
        headers["Masticward-Cost-Hint"] = f"{spec.cost_hint:.3f}"
    if spec.key:
        headers["Idempotency-Key"] = spec.key
    return headers


def new_histogram() -> hdrh.histogram.HdrHistogram:
    """Return an empty histogram of microseconds."""
    return hdrh.histogram.HdrHistogram(1, LONGEST_LATENCY_MICROSECONDS, LATENCY_DIGITS)


def note(histogram: hdrh.histogram.HdrHistogram, seconds: float) -> None:
    """Record a latency."""
    histogram.record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))
