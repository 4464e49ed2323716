"""Measures what a dispatcher spends per ticket, per backlogged team and per slot.

``python -m masticward.bench.queue_costs`` prints one JSON object: times in microseconds, memory in
bytes. Times are of one core and depend on the machine; memory is measured with tracemalloc.
"""

import collections.abc
import gc
import statistics
import sys
import time
import tracemalloc
import typing

import msgspec

from masticward import settings
from masticward.coordination import dispatcher, fleet_view
from masticward.models import configuration as configuration_models
from masticward.models import membership, work
from masticward.protocol import dispatch_handler, snapshots
from masticward.state import fair_queue, ledger

SERVICE = "bench"
ZONE = "zone"
TEAM_COUNTS = (100, 1000, 3000, 10000)
TICKET_COUNTS = (1000, 10000, 40000)
SLOT_COUNTS = (400, 4000, 16000)
AGENT_COUNT = 16
ROUNDS = 3
TICKETS_PER_ROUND = 4000
MAXIMUM_COST = 1000.0
FAR_SECONDS = 3600.0
MICROSECONDS = 1e6


class StaticView(fleet_view.FleetView):
    """A view in which every agent may receive work and nothing changes."""

    def __init__(self, agents: list[membership.Instance]) -> None:
        self.agents = agents

    @property
    def configuration(self) -> configuration_models.Configuration | None:
        """Return none: every team has share 1."""
        return None

    @property
    def operations(self) -> configuration_models.OperationsState:
        """Return that nothing is out of service."""
        return configuration_models.OperationsState(version=0)

    def members(self) -> list[membership.Instance]:
        """Return the agents."""
        return self.agents

    def available_agents(self, service: str) -> list[membership.Instance]:
        """Return the agents."""
        return self.agents

    def is_out_of_service(self, instance_id: str, availability_zone: str) -> bool:
        """Return that nothing is out of service."""
        return False

    def is_leaving(self, instance_id: str) -> bool:
        """Return that nothing is leaving."""
        return False

    def is_suspected(self, instance_id: str) -> bool:
        """Suspect no instance."""
        return False

    def fresh_until(self) -> float:
        """Return a time far ahead."""
        return time.monotonic() + FAR_SECONDS

    def suspect(self, instance_id: str) -> None:
        """Do nothing."""

    def pull_newer_versions(
        self, config_version: int, operations_version: int, peer_address: str
    ) -> None:
        """Do nothing."""

    def announce_leaving(self) -> None:
        """Do nothing."""

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Do nothing."""


class Point(msgspec.Struct, frozen=True):
    """One measured value at one size."""

    size: int
    value: float


class Slope(msgspec.Struct, frozen=True):
    """Measured points and the least-squares increase of the value per unit of size."""

    points: tuple[Point, ...]
    per_unit: float


class QueueCosts(msgspec.Struct, frozen=True, kw_only=True):
    """All results of one run."""

    python: str
    dispatch_microseconds_by_teams: Slope
    report_microseconds_by_teams: Slope
    assign_microseconds_by_slots: Slope
    snapshot_microseconds_by_teams: Slope
    snapshot_wire_bytes_by_teams: Slope
    team_bytes: Slope
    ticket_bytes: Slope
    slot_bytes: Slope


def measure() -> QueueCosts:
    """Run all measurements; takes well under a minute."""
    return QueueCosts(
        python=sys.version.split()[0],
        dispatch_microseconds_by_teams=slope(TEAM_COUNTS, dispatch_microseconds),
        report_microseconds_by_teams=slope(TEAM_COUNTS, report_microseconds),
        assign_microseconds_by_slots=slope(SLOT_COUNTS, assign_microseconds),
        snapshot_microseconds_by_teams=slope(TEAM_COUNTS, snapshot_microseconds),
        snapshot_wire_bytes_by_teams=slope(TEAM_COUNTS, snapshot_wire_bytes),
        team_bytes=slope(TEAM_COUNTS, lambda count: allocated(lambda: fill_queue(count, count))),
        ticket_bytes=slope(TICKET_COUNTS, lambda count: allocated(lambda: fill_queue(100, count))),
        slot_bytes=slope(SLOT_COUNTS, lambda count: allocated(lambda: fill_slots(count))),
    )


def slope(sizes: tuple[int, ...], measure_at: collections.abc.Callable[[int], float]) -> Slope:
    """Measure at each size; the value of a point is the median of three rounds."""
    points = tuple(
        Point(size, statistics.median(measure_at(size) for _ in range(ROUNDS))) for size in sizes
    )
    fit = statistics.linear_regression(
        [float(point.size) for point in points], [point.value for point in points]
    )
    return Slope(points, fit.slope)


def new_queue() -> fair_queue.FairQueue:
    """Return an empty fair-share queue."""
    terms = ledger.FairShareParameters(
        shares={}, maximum_cost=MAXIMUM_COST, debt_cap=MAXIMUM_COST * 100
    )
    times = ledger.VirtualTimeLedger(terms)
    return fair_queue.FairQueue(fair_queue.FairSharePolicy(times), times)


def new_ticket(number: int, teams: int, now: float) -> work.Ticket:
    """Return a ticket of one of the teams."""
    return work.Ticket(
        id=f"ticket-{number}",
        team=f"team-{number % teams}",
        service=SERVICE,
        entry_id="entry",
        cost_hint=float(number % 97 + 1),
        arrived_at=now + number * 1e-6,
        deadline=now + FAR_SECONDS,
    )


def fill_queue(teams: int, tickets: int) -> fair_queue.FairQueue:
    """Return a queue with tickets of several teams."""
    queue = new_queue()
    now = time.monotonic()
    for number in range(tickets):
        queue.add(new_ticket(number, teams, now))
    return queue


def dispatch_microseconds(teams: int) -> float:
    """Return the time to queue, take and settle one ticket while all teams are backlogged."""
    queue = fill_queue(teams, 2 * teams)
    now = time.monotonic()
    fresh = [new_ticket(2 * teams + number, teams, now) for number in range(TICKETS_PER_ROUND)]
    begun = time.perf_counter()
    for ticket in fresh:
        queue.add(ticket)
        taken = queue.take(now)
        if taken is not None:
            queue.end_reservation(taken.ticket.id, 10.0)
    return (time.perf_counter() - begun) / len(fresh) * MICROSECONDS


def report_microseconds(teams: int) -> float:
    """Return the time to charge one changed counter while all teams are backlogged."""
    queue = fill_queue(teams, teams)
    totals = {f"team-{number}": 0.0 for number in range(teams)}
    reports = []
    for number in range(TICKETS_PER_ROUND):
        team = f"team-{number * 7 % teams}"
        totals[team] += float(number % 13 + 1)
        reports.append({team: totals[team]})
    begun = time.perf_counter()
    for report in reports:
        queue.apply_report("agent", 1, report, {}, {})
    return (time.perf_counter() - begun) / len(reports) * MICROSECONDS


def new_dispatcher() -> tuple[dispatcher.Dispatcher, list[dispatch_handler.AgentPeer]]:
    """Return a dispatcher with agents."""
    agents = [
        membership.Instance(
            id=f"agent-{number}",
            role=membership.Role.AGENT,
            service=SERVICE,
            availability_zone=ZONE,
            peer_address="127.0.0.1:1",
        )
        for number in range(AGENT_COUNT)
    ]
    result = dispatcher.Dispatcher(StaticView(agents), SERVICE, settings.QueuePolicyName.FAIR_SHARE)
    peers = [dispatch_handler.AgentPeer(agent.id, 1, agent.peer_address, ZONE) for agent in agents]
    for peer in peers:
        result.open_agent(peer, None)
    return result, peers


def fill_slots(count: int) -> dispatcher.Dispatcher:
    """Return a dispatcher with free slots."""
    result, peers = new_dispatcher()
    deadline = time.monotonic() + FAR_SECONDS
    for number in range(count):
        result.offer(peers[number % len(peers)], (1_000_000 + number,), deadline)
    return result


def assign_microseconds(slots: int) -> float:
    """Return the time to queue a ticket and assign one of many free slots to it."""
    target = fill_slots(slots)
    entry = dispatch_handler.EntryPeer("entry", 1)
    target.open_entry(entry)
    now = time.monotonic()
    count = min(slots, TICKETS_PER_ROUND)
    fresh = [new_ticket(number, 100, now) for number in range(count)]
    begun = time.perf_counter()
    for ticket in fresh:
        target.enqueue(entry, ticket)
    return (time.perf_counter() - begun) / count * MICROSECONDS


def filled_ledger(teams: int) -> ledger.VirtualTimeLedger:
    """Return a ledger with backlogged teams, each served by two of the agents."""
    queue = fill_queue(teams, teams)
    for number in range(AGENT_COUNT):
        totals = {
            f"team-{team}": 1000.0 + team
            for team in range(teams)
            if team % (AGENT_COUNT // 2) == number % (AGENT_COUNT // 2)
        }
        queue.apply_report(f"agent-{number}", 1_764_000_000_000_000_000, totals, {}, {})
    return queue.ledger


def snapshot_microseconds(teams: int) -> float:
    """Return the time to take and encode one snapshot."""
    times = filled_ledger(teams)
    begun = time.perf_counter()
    snapshots.to_wire(SERVICE, times.snapshot()).SerializeToString()
    return (time.perf_counter() - begun) * MICROSECONDS


def snapshot_wire_bytes(teams: int) -> float:
    """Return the size of one snapshot on the wire."""
    message = snapshots.to_wire(SERVICE, filled_ledger(teams).snapshot())
    return float(len(message.SerializeToString()))


def allocated(build: collections.abc.Callable[[], typing.Any]) -> float:
    """Return the bytes that the built object holds."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del kept
    return float(size)


if __name__ == "__main__":
    print(msgspec.json.format(msgspec.json.encode(measure())).decode())
