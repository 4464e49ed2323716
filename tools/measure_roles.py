"""Measures entries, agents and dispatchers as separate processes.

Run as ``PYTHONPATH=src:. python tools/measure_roles.py [--seconds S]``. For three and more load
levels it prints requests per second, processor time and resident memory of each role, and the
slopes that docs/CAPACITY.md uses, as JSON. Stand-ins and the load generator run in this process.
"""

import argparse
import asyncio
import collections
import os
import pathlib
import statistics
import time
import typing

import msgspec
from tests.lib import fleets, processes

from masticward.bench import checker, fairness, history, load, mixes, part_costs
from masticward.models import work
from masticward.utils import programs

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
WARM_UP_SECONDS = 4.0
MAXIMUM_CALLS = 40_000
SEED = 11
TEXT_LEVELS = (1, 2, 4, 8)
BOOKING_LEVELS = (2, 4, 8, 16)


class Sample(msgspec.Struct, frozen=True):
    """Processor seconds and resident bytes of one program."""

    cpu_seconds: float
    resident_bytes: int


class Level(msgspec.Struct, kw_only=True):
    """Figures of one load level. Processor time is per second and process of the role.

    The first byte is that of calls sent within the window; its time includes the endpoint's own
    of FIRST_TOKEN_MS for streams and ``service_ms`` for plain calls. Times are in milliseconds.
    """

    name: str
    calls_per_second: float
    tokens_per_second: float
    utilization: float
    first_byte_p50_ms: float
    first_byte_p95_ms: float
    between_tokens_p95_ms: float
    cpu: dict[str, float]
    resident_megabytes: dict[str, float]
    not_run: int
    unknown: int
    violations: int


def read_sample(pid: int) -> Sample:
    """Read processor time and resident memory of a process from /proc."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Sample(ticks / TICKS_PER_SECOND, pages * os.sysconf("SC_PAGE_SIZE"))


async def role_of(fleet: processes.ProcessFleet) -> dict[str, str]:
    """Return the role of each program: entry, agent or dispatching agent."""
    services = {endpoint.service for endpoint in fleet.plan.endpoints}
    dispatchers = {await fleet.dispatcher_of(service) for service in services}
    roles = {}
    for name in fleet.entry_names():
        roles[name] = "entry"
    for endpoint in fleet.plan.endpoints:
        suffix = "dispatching agent" if endpoint.id in dispatchers else "agent"
        roles[endpoint.id] = f"{endpoint.service} {suffix}"
    return roles


async def measure_level(
    name: str,
    loads: typing.Callable[[typing.Any], list[load.TeamLoad]],
    seconds: float,
    token_ms: float,
    service_ms: float,
) -> Level:
    """Run one fleet under one load and return its figures."""
    fleet = processes.ProcessFleet(fleets.build(entries=3, writers=5, bookings=3))
    record = history.History(seed=SEED)
    try:
        await fleet.start()
        for endpoint in fleet.plan.endpoints:
            await fleet.platform.control_endpoint(
                endpoint.id, token_ms=token_ms, service_ms=service_ms
            )
        roles = await role_of(fleet)
        generator = load.LoadGenerator(
            record, load.Balancer(fleet.targets()), SEED, MAXIMUM_CALLS, 30.0
        )
        async with generator:
            running = asyncio.create_task(
                generator.run(loads(fleet.plan), WARM_UP_SECONDS + seconds)
            )
            await asyncio.sleep(WARM_UP_SECONDS)
            before = {name: read_sample(fleet.programs[name].pid) for name in roles}
            begin = time.monotonic()
            await asyncio.sleep(seconds)
            after = {name: read_sample(fleet.programs[name].pid) for name in roles}
            end = time.monotonic()
            await running
        await fleet.platform.complete_history(record)
        window = fairness.Interval(begin, end)
        return summarize(name, fleet, record, roles, before, after, window, generator.latencies)
    finally:
        await fleet.close()


def summarize(
    name: str,
    fleet: processes.ProcessFleet,
    record: history.History,
    roles: dict[str, str],
    before: dict[str, Sample],
    after: dict[str, Sample],
    window: fairness.Interval,
    latencies: dict[str, load.Latencies],
) -> Level:
    """Return the figures of a level from samples at both ends of the window."""
    elapsed = window.end - window.start
    cpu: dict[str, list[float]] = collections.defaultdict(list)
    resident: dict[str, list[float]] = collections.defaultdict(list)
    for program, role in roles.items():
        spent = after[program].cpu_seconds - before[program].cpu_seconds
        cpu[role].append(spent / elapsed)
        resident[role].append(after[program].resident_bytes / 1e6)
    ended = [call for call in record.calls if window.start <= call.ended_at <= window.end]
    service = fleets.WRITER if name.startswith("text") else fleets.BOOKING
    first = sorted(
        (call.first_byte_at - call.sent_at) * 1000.0
        for call in record.calls
        if call.first_byte_at and window.start <= call.sent_at <= window.end
    )
    between = latencies[service].between
    return Level(
        name=name,
        first_byte_p50_ms=first[len(first) // 2],
        first_byte_p95_ms=first[len(first) * 95 // 100],
        between_tokens_p95_ms=between.get_value_at_percentile(95.0) / 1000.0,
        calls_per_second=len(ended) / elapsed,
        tokens_per_second=sum(call.cost for call in ended) / elapsed,
        utilization=fairness.utilization(record, service, fleet.plan.capacity(service), window),
        cpu={role: statistics.fmean(values) for role, values in cpu.items()},
        resident_megabytes={role: max(values) for role, values in resident.items()},
        not_run=sum(call.outcome is work.Outcome.NOT_RUN for call in record.calls),
        unknown=sum(call.outcome is work.Outcome.UNKNOWN for call in record.calls),
        violations=len(checker.check(record)),
    )


def slopes_of(levels: list[Level]) -> list[part_costs.Slope]:
    """Return processor time by calls per second for each role (microseconds per call)."""
    slopes = []
    for role in levels[0].cpu:
        points = [
            part_costs.Point(size=round(level.calls_per_second), value=level.cpu[role] * 1e6)
            for level in levels
        ]
        if len({point.size for point in points}) >= 3:
            slopes.append(
                part_costs.fit(
                    f"{levels[0].name.split()[0]} calls, {role}",
                    "processor microseconds per call of the fleet",
                    points,
                )
            )
    return slopes


async def measure(seconds: float) -> dict[str, typing.Any]:
    """Run all levels, one fleet after the other."""
    text, booking = [], []
    for level in TEXT_LEVELS:
        text.append(
            await measure_level(
                f"text {level}",
                lambda plan, level=level: mixes.text_loads(
                    plan, 1, teams=[team.name for team in plan.configuration.teams[3 : 3 + level]]
                ),
                seconds,
                token_ms=10.0,
                service_ms=20.0,
            )
        )
        print(msgspec.json.encode(text[-1]).decode(), flush=True)
    for level in BOOKING_LEVELS:
        booking.append(
            await measure_level(
                f"booking {level}",
                lambda plan, level=level: mixes.booking_loads(plan, 1, 0.0)[:level],
                seconds,
                token_ms=10.0,
                service_ms=50.0,
            )
        )
        print(msgspec.json.encode(booking[-1]).decode(), flush=True)
    return {"levels": text + booking, "slopes": slopes_of(text) + slopes_of(booking)}


def main() -> None:
    """Measure and write JSON to out/roles.json."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    arguments = parser.parse_args()

    async def run() -> int:
        figures = await measure(arguments.seconds)
        path = pathlib.Path("out/roles.json")
        path.parent.mkdir(exist_ok=True)
        path.write_bytes(msgspec.json.format(msgspec.json.encode(figures)))
        print(f"written to {path}")
        return 0

    raise SystemExit(programs.run(run()))


if __name__ == "__main__":
    main()
