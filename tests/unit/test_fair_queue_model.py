"""Guards against virtual times that drift from the service provided, also across dispatchers.

Drives the fair queue and a reference model with the same random events and compares their states.
"""

import copy
import unittest

import hypothesis
from hypothesis import stateful, strategies

from masticward.state import fair_queue, ledger
from tests.lib import dispatch_fleet, queue_oracle

SHARES = {"red": 1.0, "green": 4.0, "blue": 0.5}
TEAMS = (*SHARES, "unlisted")
MAXIMUM_COST = 50.0
DEBT_CAP = 40.0
AGENTS = ("agent-1", "agent-2")
DISTANT_LIFETIME_SECONDS = 1e9
COSTS = strategies.integers(0, 120).map(float)
SMALL_COSTS = strategies.integers(1, 8).map(float)
HINT_FACTORS = strategies.sampled_from([1.0, 1.0, 1.0, 0.1, 10.0])
INDEXES = strategies.integers(0, 1000)
BOOLEANS = strategies.booleans()


def pick(items: dict[str, object], index: int) -> str:
    """Return one of the keys."""
    return sorted(items)[index % len(items)]


class FairQueueMachine(stateful.RuleBasedStateMachine):
    """Applies the same events to a fair queue and to the oracle."""

    def __init__(self) -> None:
        super().__init__()
        self.oracle = queue_oracle.Oracle(SHARES, MAXIMUM_COST, DEBT_CAP)
        self.queue = self.new_queue()
        self.sequence = 0
        self.now = 1.0
        # Service provided by each agent: incarnation and totals by team in cost units.
        self.agents: dict[str, tuple[int, dict[str, float]]] = {name: (1, {}) for name in AGENTS}
        # Agent, team and cost so far by running ticket.
        self.running: dict[str, tuple[str, str, float]] = {}
        self.stored: tuple[int, ledger.Snapshot] | None = None
        self.tickets: dict[str, object] = {}

    def new_queue(self) -> fair_queue.FairQueue:
        parameters = ledger.FairShareParameters(
            shares=SHARES, maximum_cost=MAXIMUM_COST, debt_cap=DEBT_CAP
        )
        times = ledger.VirtualTimeLedger(parameters)
        return fair_queue.FairQueue(fair_queue.FairSharePolicy(times), times)

    def enqueue(self, team: str, hint: float, retried: bool, lifetime: float) -> None:
        self.sequence += 1
        ticket = dispatch_fleet.ticket(
            f"t{self.sequence}",
            team,
            cost_hint=hint,
            arrived_at=self.now,
            deadline=self.now + lifetime,
            retried=retried,
        )
        self.tickets[ticket.id] = ticket
        order = (0 if retried else 1, self.now, self.sequence)
        assert self.queue.add(ticket)
        assert not self.queue.add(ticket)
        self.oracle.append("add", queue_oracle.Ticket(ticket.id, team, hint, order))

    @stateful.rule(
        team=strategies.sampled_from(TEAMS),
        hint=COSTS,
        retried=strategies.booleans(),
        lifetime=strategies.sampled_from([5.0, DISTANT_LIFETIME_SECONDS]),
    )
    def add(self, team: str, hint: float, retried: bool, lifetime: float) -> None:
        self.now += 1.0
        self.enqueue(team, hint, retried, lifetime)

    @stateful.initialize(teams=strategies.permutations(TEAMS))
    def start_backlogged(self, teams: list[str]) -> None:
        for team in teams:
            self.enqueue(team, 20.0, False, DISTANT_LIFETIME_SECONDS)
            self.enqueue(team, 1.0, False, DISTANT_LIFETIME_SECONDS)

    @stateful.precondition(lambda self: self.queue.waiting)
    @stateful.rule(index=INDEXES)
    def cancel(self, index: int) -> None:
        ticket_id = pick(self.queue.waiting, index)
        assert self.queue.remove(ticket_id) is not None
        self.oracle.append("drop", ticket_id)

    @stateful.rule(seconds=strategies.integers(0, 6))
    def expire(self, seconds: int) -> None:
        self.now += seconds
        late = {key for key in self.queue.waiting if self.tickets[key].deadline <= self.now}
        dropped = self.queue.drop_expired(self.now)
        assert {ticket.id for ticket in dropped} == late
        for ticket in dropped:
            self.oracle.append("drop", ticket.id)

    @stateful.rule(agent=strategies.sampled_from(AGENTS), count=strategies.integers(1, 4))
    def take(self, agent: str, count: int) -> None:
        self.expire(0)
        for _ in range(count):
            self.take_one(agent)

    def take_one(self, agent: str) -> None:
        state = self.oracle.state()
        taken = self.queue.take(self.now)
        if taken is None:
            assert not state.waiting
            return
        team = taken.ticket.team
        lowest = min(state.effective(ticket.team) for ticket in state.waiting.values())
        assert abs(state.effective(team) - lowest) < 1e-6
        first = min(item.order for item in state.waiting.values() if item.team == team)
        assert state.waiting[taken.ticket.id].order == first
        self.running[taken.ticket.id] = (agent, team, 0.0)
        self.oracle.append("take", taken.ticket.id)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(index=INDEXES, cost=COSTS, reported=strategies.booleans(), ends=BOOLEANS)
    def record_cost(self, index: int, cost: float, reported: bool, ends: bool) -> None:
        ticket_id = pick(self.running, index)
        agent, team, before = self.running[ticket_id]
        totals = self.agents[agent][1]
        totals[team] = totals.get(team, 0.0) + cost
        self.running[ticket_id] = (agent, team, before + cost)
        if reported:
            self.report(agent, ends)

    @stateful.rule(agent=strategies.sampled_from(AGENTS), ends=BOOLEANS)
    def report(self, agent: str, ends: bool) -> None:
        progress = {key: cost for key, (owner, _, cost) in self.running.items() if owner == agent}
        finished = progress if ends else {}
        incarnation, totals = self.agents[agent]
        arguments = (agent, incarnation, dict(totals), progress, finished)
        self.queue.apply_report(*arguments)
        self.oracle.append("report", *arguments)
        for ticket_id in finished:
            del self.running[ticket_id]

    @stateful.rule(
        agent=strategies.sampled_from(AGENTS),
        calls=strategies.lists(
            strategies.tuples(strategies.sampled_from(TEAMS), SMALL_COSTS, HINT_FACTORS),
            min_size=2,
            max_size=8,
        ),
    )
    def serve_in_sequence(self, agent: str, calls: list[tuple[str, float, float]]) -> None:
        """Run calls one after the other, so that hints are compared with means of earlier costs."""
        for team, cost, factor in calls:
            self.add(team, cost * factor, True, DISTANT_LIFETIME_SECONDS)
            self.take(agent, 1)
            self.agrees_with_the_oracle()
            self.record_cost(len(self.running) - 1, cost, False, False)
            self.report(agent, True)

    @stateful.rule(agent=strategies.sampled_from(AGENTS))
    def late_report(self, agent: str) -> None:
        """Apply reports of an earlier incarnation and with lower totals, which change nothing."""
        incarnation, totals = self.agents[agent]
        known = self.queue.ledger.counters.get(agent)
        if known is not None and known.incarnation == incarnation:
            lower = {team: known.totals.get(team, 0.0) / 2 for team in totals}
            self.queue.apply_report(agent, incarnation, lower, {}, {})
            self.queue.apply_report(
                agent, incarnation - 1, dict.fromkeys(TEAMS, 1000000000.0), {}, {}
            )

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(index=INDEXES)
    def end_unused(self, index: int) -> None:
        ticket_id = pick(self.running, index)
        del self.running[ticket_id]
        assert self.queue.end_reservation(ticket_id)
        self.oracle.append("settle", ticket_id, 0.0)

    @stateful.rule(agent=strategies.sampled_from(AGENTS))
    def restart_agent(self, agent: str) -> None:
        """Restart an agent without its counters; the reservations of its session end."""
        incarnation, _ = self.agents[agent]
        self.agents[agent] = (incarnation + 1, {})
        for ticket_id in [key for key, item in self.running.items() if item[0] == agent]:
            del self.running[ticket_id]
            self.queue.end_reservation(ticket_id)
            self.oracle.append("settle", ticket_id, 0.0)

    @stateful.precondition(lambda self: self.queue.ledger.active)
    @stateful.rule()
    def store_snapshot(self) -> None:
        self.stored = (len(self.oracle.events), self.queue.ledger.snapshot())

    @stateful.precondition(lambda self: self.stored is not None)
    @stateful.rule(
        teams=strategies.permutations(TEAMS),
        report_first=strategies.booleans(),
        older=strategies.booleans(),
    )
    def replace_dispatcher(self, teams: list[str], report_first: bool, older: bool) -> None:
        """Start a new dispatcher with the stored snapshot, all counters and then tickets."""
        index, snapshot = self.stored
        self.queue = self.new_queue()
        if not report_first:
            self.queue.ledger.offer_snapshot(snapshot)
        for agent, (incarnation, totals) in self.agents.items():
            self.queue.apply_report(agent, incarnation, dict(totals), {}, {})
        self.queue.ledger.offer_snapshot(snapshot)
        if older and snapshot.included_total > 0.0:
            fewer = ledger.Snapshot(
                system_virtual_time=1e9, teams=(), included=(), included_total=0.0
            )
            assert not self.queue.ledger.offer_snapshot(fewer)
        self.oracle.append("recover", index, copy.deepcopy(self.agents))
        self.running.clear()
        self.stored = None
        self.now += 1.0
        for team in teams:
            self.enqueue(team, 10.0, False, DISTANT_LIFETIME_SECONDS)

    @stateful.invariant()
    def agrees_with_the_oracle(self) -> None:
        state = self.oracle.state()
        times = self.queue.ledger
        assert times.active == state.active()
        assert set(self.queue.waiting) == set(state.waiting)
        for team in state.active():
            assert abs(times.effective_of(team) - state.effective(team)) < 1e-6, team
        assert abs(times.system_time - state.system_virtual_time()) < 1e-6
        assert abs(times.included_total - state.included_total) < 1e-6


FairQueueMachine.TestCase.settings = hypothesis.settings(
    max_examples=250,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
FairQueueModelTest = FairQueueMachine.TestCase


if __name__ == "__main__":
    unittest.main()
