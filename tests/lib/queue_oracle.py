"""Reference model of the fair queue that recomputes its state from the list of all events."""

import collections
import math
import typing

SMOOTHING_FACTOR = 0.2
HINT_LIMIT_FACTOR = 3.0


class Ticket(typing.NamedTuple):
    """A waiting ticket; ``order`` is priority, arrival and sequence number."""

    id: str
    team: str
    hint: float
    order: tuple[int, float, int]


class Finished(typing.NamedTuple):
    """A finished request and the mean cost of its team before that request."""

    cost: float
    hint: float
    mean_before: float


class State:
    """The expected state of the fair queue after a list of events."""

    def __init__(self, shares: dict[str, float], maximum_cost: float, debt_cap: float) -> None:
        self.shares = shares
        self.maximum_cost = maximum_cost
        self.debt_cap = debt_cap
        self.charged: dict[str, float] = {}
        self.means: dict[str, float] = collections.defaultdict(float)
        self.finished: dict[str, list[Finished]] = collections.defaultdict(list)
        self.waiting: dict[str, Ticket] = {}
        self.hints: dict[str, float] = {}
        # Team, estimated cost and cost so far by ticket.
        self.running: dict[str, tuple[str, float, float]] = {}
        self.counters: dict[str, tuple[int, dict[str, float]]] = {}
        self.system_time = 0.0
        self.included_total = 0.0
        self.restored_teams: set[str] = set()

    def share(self, team: str) -> float:
        return self.shares.get(team, 1.0)

    def active(self) -> set[str]:
        return self.backlogged() | {team for team, _, _ in self.running.values()}

    def effective(self, team: str) -> float:
        return self.charged[team] + self.reserved(team) / self.share(team)

    def backlogged(self) -> set[str]:
        return {ticket.team for ticket in self.waiting.values()}

    def reserved(self, team: str) -> float:
        return math.fsum(
            max(0.0, estimate - progress)
            for owner, estimate, progress in self.running.values()
            if owner == team
        )

    def system_virtual_time(self) -> float:
        return self.system_time

    def cap_debt(self, team: str, system: float) -> None:
        limit = system + self.debt_cap / self.share(team)
        self.charged[team] = min(self.charged[team], limit)

    def add(self, ticket: Ticket) -> None:
        if ticket.team not in self.backlogged():
            system = self.system_virtual_time()
            before = self.charged.get(ticket.team, system)
            minimum = system - self.reserved(ticket.team) / self.share(ticket.team)
            raised = before if ticket.team in self.restored_teams else max(before, minimum)
            self.charged[ticket.team] = raised
            self.cap_debt(ticket.team, system)
            self.restored_teams.discard(ticket.team)
        self.waiting[ticket.id] = ticket

    def drop(self, ticket_id: str) -> None:
        del self.waiting[ticket_id]

    def take(self, ticket_id: str) -> None:
        ticket = self.waiting.pop(ticket_id)
        self.system_time = self.effective(ticket.team)
        self.hints[ticket_id] = hint = min(ticket.hint, self.maximum_cost)
        estimate = min(self.estimate(ticket.team, hint), self.maximum_cost)
        self.running[ticket_id] = (ticket.team, estimate, 0.0)

    def estimate(self, team: str, hint: float) -> float:
        """Return the larger of the mean cost and the corrected and limited hint."""
        mean = self.means[team]
        if mean == 0.0:
            return hint
        finished = self.finished[team]
        if not self.hints_are_better(team):
            return mean
        square = moving_average([done.cost * done.cost for done in finished])
        limit = HINT_LIMIT_FACTOR * max(mean, math.sqrt(square))
        return max(mean, min(corrected(hint, finished), limit))

    def hints_are_better(self, team: str) -> bool:
        """Return whether corrected hints predicted the finished requests better than the mean."""
        hint_error = mean_error = 0.0
        for number, done in enumerate(self.finished[team]):
            if done.hint > 0.0 and done.mean_before > 0.0:
                predicted = corrected(done.hint, self.finished[team][:number])
                hint_error += SMOOTHING_FACTOR * (abs(done.cost - predicted) - hint_error)
                mean_error += SMOOTHING_FACTOR * (abs(done.cost - done.mean_before) - mean_error)
        return hint_error < mean_error

    def settle(self, ticket_id: str, cost: float) -> None:
        team = self.running[ticket_id][0]
        if cost > 0.0:
            mean = self.means[team]
            self.finished[team].append(Finished(cost, self.hints[ticket_id], mean))
            self.means[team] = cost if mean == 0.0 else mean + SMOOTHING_FACTOR * (cost - mean)
        del self.running[ticket_id]

    def report(
        self,
        agent: str,
        incarnation: int,
        totals: dict[str, float],
        progress: dict[str, float],
        finished: dict[str, float],
    ) -> None:
        self.charge_totals(agent, incarnation, totals)
        for ticket_id, cost in progress.items():
            if ticket_id in self.running:
                team, estimate, before = self.running[ticket_id]
                self.running[ticket_id] = (team, estimate, max(before, cost))
        for ticket_id, cost in finished.items():
            if ticket_id in self.running:
                self.settle(ticket_id, cost)

    def charge_totals(self, agent: str, incarnation: int, totals: dict[str, float]) -> None:
        recorded_incarnation, recorded = self.counters.get(agent, (0, {}))
        if incarnation < recorded_incarnation:
            return
        if incarnation > recorded_incarnation:
            recorded = {}
        self.counters[agent] = (incarnation, recorded)
        system = self.system_virtual_time()
        for team, total in totals.items():
            increase = total - recorded.get(team, 0.0)
            if increase <= 0.0:
                continue
            recorded[team] = total
            if self.active():
                self.charge(team, increase, system)

    def charge(self, team: str, cost: float, system: float) -> None:
        self.charged[team] = self.charged.get(team, system) + cost / self.share(team)
        self.cap_debt(team, system)
        self.included_total += cost

    def recover(self, stored: "State", counters: dict[str, tuple[int, dict[str, float]]]) -> None:
        """Initialize a new dispatcher from the snapshot ``stored`` and the agents' counters."""
        teams = stored.active()
        self.charged = {team: stored.charged[team] for team in teams}
        self.means = collections.defaultdict(float, {team: stored.means[team] for team in teams})
        self.system_time = stored.system_virtual_time()
        self.included_total = stored.included_total
        self.restored_teams = set(teams)
        self.counters = {
            agent: (incarnation, {team: recorded[team] for team in recorded if team in teams})
            for agent, (incarnation, recorded) in stored.counters.items()
            if any(team in teams for team in recorded)
        }
        increases: dict[str, float] = collections.defaultdict(float)
        for agent, (incarnation, totals) in counters.items():
            recorded_incarnation, recorded = self.counters.get(agent, (0, {}))
            base = recorded if incarnation == recorded_incarnation else {}
            for team in totals.keys() & teams:
                increases[team] += max(0.0, totals[team] - base.get(team, 0.0))
            self.counters[agent] = (incarnation, {**base, **totals})
        for team, cost in increases.items():
            if cost:
                self.charge(team, cost, self.system_time)


def moving_average(samples: list[float]) -> float:
    """Return the exponential moving average of samples, oldest first; 0 if there are none."""
    weights = [
        SMOOTHING_FACTOR * (1.0 - SMOOTHING_FACTOR) ** age
        if age < len(samples) - 1
        else (1.0 - SMOOTHING_FACTOR) ** age
        for age in reversed(range(len(samples)))
    ]
    return math.fsum(weight * sample for weight, sample in zip(weights, samples, strict=True))


def corrected(hint: float, finished: list[Finished]) -> float:
    """Return a hint multiplied by the ratio of cost to hint over the finished requests."""
    hinted = [done for done in finished if done.hint > 0.0]
    if not hinted:
        return hint
    cost = moving_average([done.cost for done in hinted])
    return hint * cost / moving_average([done.hint for done in hinted])


class Oracle:
    """The list of events and the state that results from them."""

    def __init__(self, shares: dict[str, float], maximum_cost: float, debt_cap: float) -> None:
        self.parameters = (shares, maximum_cost, debt_cap)
        self.events: list[tuple[typing.Any, ...]] = []

    def append(self, name: str, *arguments: typing.Any) -> None:
        self.events.append((name, *arguments))

    def state(self, length: int | None = None) -> State:
        """Return the state after the first ``length`` events, or after all of them."""
        events = self.events[:length]
        state = State(*self.parameters)
        for name, *arguments in events:
            if name == "recover":
                index, counters = arguments
                state = State(*self.parameters)
                state.recover(self.state(index), counters)
            else:
                getattr(state, name)(*arguments)
        return state
