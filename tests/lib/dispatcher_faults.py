"""Disturbs the dispatcher of a fleet of processes and measures the fairness gap."""

import asyncio
import enum
import signal
import time

import msgspec

from masticward.bench import fairness, history, load, mixes, summary
from tests.lib import fleets, processes

SEED = 4711
# The flooding team keeps this many calls under way, about twice as many as all others together.
FLOOD_OUTSTANDING = 180
MAXIMUM_CALLS = 6_000
DEADLINE_SECONDS = 30.0
TOKEN_MS = 10.0
WARM_SECONDS = 3.0
FREEZE_SECONDS = 3.0
START_SECONDS = 30.0
POLL_SECONDS = 0.02
# Sessions leave a silent dispatcher after this time; until then two of them may dispatch.
OVERLAP_SECONDS = 1.5
# Service of one agent that is lost with its counters (section 6.2 of the design).
UNREPORTED_SECONDS = 0.5


class Fault(enum.StrEnum):
    """What happens to the dispatcher and to another agent of its service."""

    NONE = "none"
    KILLED = "dispatcher killed"
    FROZEN = "dispatcher frozen and thawed"
    AGENT_RESTARTED = "agent restarted"
    KILLED_AND_RESTARTED = "dispatcher killed, agent restarted"
    FROZEN_AND_RESTARTED = "dispatcher frozen and thawed, agent restarted"


KILLS = (Fault.KILLED, Fault.KILLED_AND_RESTARTED)
FREEZES = (Fault.FROZEN, Fault.FROZEN_AND_RESTARTED)
RESTARTS = (Fault.AGENT_RESTARTED, Fault.KILLED_AND_RESTARTED, Fault.FROZEN_AND_RESTARTED)


class Measured(msgspec.Struct, frozen=True, kw_only=True):
    """The gap of one run, its bound, and the part of the bound that the fault adds.

    All are in cost units for each unit of share.
    """

    fault: str
    gap: float
    teams: tuple[str, str]
    bound: float
    overlap_cost: float
    least_service: float
    most_service: float
    calls: int


async def measure(
    fleet: processes.ProcessFleet, record: history.History, fault: Fault, seconds: float
) -> Measured:
    """Keep 16 teams backlogged, one of them flooding, and return the gap with the fault.

    ``seconds`` are measured from the fault on; the gap also covers the warm time before it.
    """
    for endpoint in fleet.plan.endpoints:
        if endpoint.service == fleets.WRITER:
            await fleet.platform.control_endpoint(endpoint.id, token_ms=TOKEN_MS)
    loads = mixes.text_loads(fleet.plan, 3)
    loads[-1] = msgspec.structs.replace(loads[-1], outstanding=FLOOD_OUTSTANDING, patient=False)
    generator = load.LoadGenerator(
        record, load.Balancer(fleet.targets()), SEED, MAXIMUM_CALLS, DEADLINE_SECONDS
    )
    async with generator:
        calls = asyncio.create_task(generator.run(loads, START_SECONDS + WARM_SECONDS + seconds))
        try:
            await wait_until_used(fleet)
            begin = time.monotonic()
            await asyncio.sleep(WARM_SECONDS)
            disturbed_at = time.monotonic()
            await inject(fleet, fault)
            await asyncio.sleep(max(0.0, disturbed_at + seconds - time.monotonic()))
            end = time.monotonic()
            generator.stop()
            await calls
        finally:
            calls.cancel()
    await fleet.platform.complete_history(record)
    return summarize(fleet, record, fault, disturbed_at, fairness.Interval(begin, end))


async def wait_until_used(fleet: processes.ProcessFleet) -> None:
    """Wait until every language-model endpoint has begun a call."""
    names = [item.id for item in fleet.plan.endpoints if item.service == fleets.WRITER]
    servers = fleet.platform.endpoints
    async with asyncio.timeout(START_SECONDS):
        while not all(servers[name].recorder.records for name in names):
            await asyncio.sleep(POLL_SECONDS)


async def inject(fleet: processes.ProcessFleet, fault: Fault) -> None:
    """Disturb the dispatcher, another agent, or both at once; return when they are back.

    A killed dispatcher stays away.
    """
    dispatcher = await fleet.dispatcher_of(fleets.WRITER)
    other = next(
        item.id
        for item in fleet.plan.endpoints
        if item.service == fleets.WRITER and item.id != dispatcher
    )
    if fault in KILLS:
        fleet.signal(dispatcher, signal.SIGKILL)
    if fault in FREEZES:
        fleet.signal(dispatcher, signal.SIGSTOP)
    frozen_until = time.monotonic() + FREEZE_SECONDS
    if fault in RESTARTS:
        await fleet.kill(other)
        await fleet.restart(other)
    if fault in FREEZES:
        await asyncio.sleep(max(0.0, frozen_until - time.monotonic()))
        fleet.signal(dispatcher, signal.SIGCONT)


def summarize(
    fleet: processes.ProcessFleet,
    record: history.History,
    fault: Fault,
    disturbed_at: float,
    window: fairness.Interval,
) -> Measured:
    """Return the gap and the bound of section 6.1."""
    shares = fleet.plan.shares()
    service = fleet.plan.service(fleets.WRITER)
    overlap_cost = 0.0
    if fault in KILLS or fault in FREEZES:
        # What was dispatched while some sessions were still with the earlier dispatcher.
        overlap = fairness.Interval(disturbed_at, disturbed_at + OVERLAP_SECONDS)
        overlap_cost += sum(
            run.cost
            for run in record.runs
            if run.service == fleets.WRITER and overlap.start <= run.started_at <= overlap.end
        )
    if fault in RESTARTS:
        overlap_cost += service.warm_limit * UNREPORTED_SECONDS * 1000.0 / TOKEN_MS
    debt_cap = service.maximum_cost * fleet.plan.capacity(fleets.WRITER)
    overlap_cost = min(overlap_cost, debt_cap)
    gap = fairness.largest_gap(record, fleets.WRITER, shares, window)
    received = summary.service_by_team(record, fleets.WRITER, shares, window)
    return Measured(
        fault=str(fault),
        gap=gap.value,
        teams=gap.teams,
        bound=summary.fairness_bound(record, fleet.plan, fleets.WRITER, overlap_cost),
        overlap_cost=overlap_cost,
        least_service=min(received.values()),
        most_service=max(received.values()),
        calls=len(record.calls),
    )
