"""Simulated pool of slots for fairness tests; each running request costs one unit per step."""

import collections
import itertools
import random

from masticward import settings
from masticward.state import fair_queue, ledger
from tests.lib import dispatch_fleet

AGENT_ID = "agent-1"


class Team:
    """A team that keeps ``backlog`` tickets waiting.

    ``costs`` are the possible costs of its requests in cost units; hints are the actual cost
    multiplied by ``hint_factor``.
    """

    def __init__(
        self,
        name: str,
        share: float = 1.0,
        costs: tuple[float, ...] = (10.0,),
        hint_factor: float = 1.0,
        backlog: int = 4,
    ) -> None:
        self.name = name
        self.share = share
        self.costs = costs
        self.hint_factor = hint_factor
        self.backlog = backlog


class SharedPool:
    """Serves teams through a fair queue and records the service of each after every step."""

    def __init__(
        self,
        teams: list[Team],
        slots: int,
        policy: settings.QueuePolicyName = settings.QueuePolicyName.FAIR_SHARE,
        debt_cap: float | None = None,
        maximum_cost: float | None = None,
    ) -> None:
        self.teams = {team.name: team for team in teams}
        self.slots = slots
        self.maximum_request_cost = max(cost for team in teams for cost in team.costs)
        self.ledger = ledger.VirtualTimeLedger(
            ledger.FairShareParameters(
                shares={team.name: team.share for team in teams},
                maximum_cost=maximum_cost or self.maximum_request_cost,
                debt_cap=slots * self.maximum_request_cost if debt_cap is None else debt_cap,
            )
        )
        self.queue = fair_queue.FairQueue(
            fair_queue.create_policy(policy, self.ledger), self.ledger
        )
        self.random = random.Random(7)
        self.ticket_numbers = itertools.count()
        self.true_costs: dict[str, float] = {}
        self.running: dict[str, tuple[str, float]] = {}
        self.served: collections.Counter[str] = collections.Counter()
        self.starts: collections.Counter[str] = collections.Counter()
        self.history: list[dict[str, float]] = []

    @property
    def bound(self) -> float:
        """The gap bound of section 6.1 of the design without staged slots."""
        minimum_share = min(team.share for team in self.teams.values())
        return 2 * self.slots * self.maximum_request_cost / minimum_share

    def refill(self, names: frozenset[str]) -> None:
        waiting = collections.Counter(entry.ticket.team for entry in self.queue.waiting.values())
        for name in sorted(names):
            team = self.teams[name]
            for _ in range(team.backlog - waiting[name]):
                number = next(self.ticket_numbers)
                cost = self.random.choice(team.costs)
                ticket = dispatch_fleet.ticket(
                    f"t{number}",
                    name,
                    cost_hint=cost * team.hint_factor,
                    arrived_at=float(number),
                    deadline=1e9,
                )
                self.true_costs[ticket.id] = cost
                self.queue.add(ticket)

    def step(self, backlogged: frozenset[str]) -> None:
        """Fill the free slots, serve one cost unit of each running request and report it."""
        self.refill(backlogged)
        while len(self.running) < self.slots:
            taken = self.queue.take(0.0)
            if taken is None:
                break
            self.running[taken.ticket.id] = (taken.ticket.team, 0.0)
            self.starts[taken.ticket.team] += 1
        finished = {}
        for ticket_id, (team, cost) in list(self.running.items()):
            self.running[ticket_id] = (team, cost + 1.0)
            self.served[team] += 1
            if cost + 1.0 >= self.true_costs[ticket_id]:
                finished[ticket_id] = cost + 1.0
        progress = {key: cost for key, (_, cost) in self.running.items()}
        totals = {team: float(count) for team, count in self.served.items()}
        self.queue.apply_report(AGENT_ID, 1, totals, progress, finished)
        for ticket_id in finished:
            del self.running[ticket_id]
        self.history.append(totals)

    def run(self, steps: int, backlogged: set[str] | None = None) -> None:
        names = frozenset(self.teams if backlogged is None else backlogged)
        for _ in range(steps):
            self.step(names)

    def largest_gap(self, first: str, second: str, since: int = 0) -> float:
        """Return the largest |s_i/w_i - s_j/w_j| over all intervals from step ``since`` on."""
        differences = [
            totals.get(first, 0.0) / self.teams[first].share
            - totals.get(second, 0.0) / self.teams[second].share
            for totals in self.history[since:]
        ]
        return max(differences) - min(differences)
