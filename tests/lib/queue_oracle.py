"""A slow model of the fair queue that computes every state anew from the list of events."""

import collections
import math
import typing

MEAN_WEIGHT = 0.2
HINT_LIMIT = 3.0


class Ticket(typing.NamedTuple):
    id: str
    team: str
    hint: float
    order: tuple[int, float, int]


class Finished(typing.NamedTuple):
    """A finished request with the mean cost of its team before it."""

    cost: float
    hint: float
    mean_before: float


class State:
    """Everything the fair queue should hold after a list of events."""

    def __init__(self, shares: dict[str, float], maximum_cost: float, debt_cap: float) -> None:
        self.shares = shares
        self.maximum_cost = maximum_cost
        self.debt_cap = debt_cap
        self.charged: dict[str, float] = {}
        self.means: dict[str, float] = collections.defaultdict(float)
        self.finished: dict[str, list[Finished]] = collections.defaultdict(list)
        self.waiting: dict[str, Ticket] = {}
        self.hints: dict[str, float] = {}
        # Team, estimate and progress by ticket.
        self.running: dict[str, tuple[str, float, float]] = {}
        self.known: dict[str, tuple[int, dict[str, float]]] = {}
        self.last_system = 0.0
        self.total = 0.0
        self.restored: set[str] = set()

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

    def system(self) -> float:
        return self.last_system

    def cap(self, team: str, system: float) -> None:
        limit = system + self.debt_cap / self.share(team)
        self.charged[team] = min(self.charged[team], limit)

    def add(self, ticket: Ticket) -> None:
        if ticket.team not in self.backlogged():
            system = self.system()
            before = self.charged.get(ticket.team, system)
            least = system - self.reserved(ticket.team) / self.share(ticket.team)
            lifted = before if ticket.team in self.restored else max(before, least)
            self.charged[ticket.team] = lifted
            self.cap(ticket.team, system)
            self.restored.discard(ticket.team)
        self.waiting[ticket.id] = ticket

    def drop(self, ticket_id: str) -> None:
        del self.waiting[ticket_id]

    def take(self, ticket_id: str) -> None:
        ticket = self.waiting.pop(ticket_id)
        self.last_system = self.effective(ticket.team)
        self.hints[ticket_id] = hint = min(ticket.hint, self.maximum_cost)
        estimate = min(self.estimate(ticket.team, hint), self.maximum_cost)
        self.running[ticket_id] = (ticket.team, estimate, 0.0)

    def estimate(self, team: str, hint: float) -> float:
        """Return the larger of the mean and the corrected hint, which is limited."""
        mean = self.means[team]
        if mean == 0.0:
            return hint
        finished = self.finished[team]
        if not self.hints_are_better(team):
            return mean
        square = recent_mean([done.cost * done.cost for done in finished])
        limit = HINT_LIMIT * max(mean, math.sqrt(square))
        return max(mean, min(corrected(hint, finished), limit))

    def hints_are_better(self, team: str) -> bool:
        """Compare the errors of corrected hints and means over the finished requests."""
        hint_error = mean_error = 0.0
        for number, done in enumerate(self.finished[team]):
            if done.hint > 0.0 and done.mean_before > 0.0:
                foretold = corrected(done.hint, self.finished[team][:number])
                hint_error += MEAN_WEIGHT * (abs(done.cost - foretold) - hint_error)
                mean_error += MEAN_WEIGHT * (abs(done.cost - done.mean_before) - mean_error)
        return hint_error < mean_error

    def settle(self, ticket_id: str, cost: float) -> None:
        team = self.running[ticket_id][0]
        if cost > 0.0:
            mean = self.means[team]
            self.finished[team].append(Finished(cost, self.hints[ticket_id], mean))
            self.means[team] = cost if mean == 0.0 else mean + MEAN_WEIGHT * (cost - mean)
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
        known_incarnation, known = self.known.get(agent, (0, {}))
        if incarnation < known_incarnation:
            return
        if incarnation > known_incarnation:
            known = {}
        self.known[agent] = (incarnation, known)
        system = self.system()
        for team, total in totals.items():
            increase = total - known.get(team, 0.0)
            if increase <= 0.0:
                continue
            known[team] = total
            if self.active():
                self.charge(team, increase, system)

    def charge(self, team: str, cost: float, system: float) -> None:
        self.charged[team] = self.charged.get(team, system) + cost / self.share(team)
        self.cap(team, system)
        self.total += cost

    def recover(self, stored: "State", counters: dict[str, tuple[int, dict[str, float]]]) -> None:
        """Become a new dispatcher that has ``stored`` as snapshot and the agents' counters."""
        teams = stored.active()
        self.charged = {team: stored.charged[team] for team in teams}
        self.means = collections.defaultdict(float, {team: stored.means[team] for team in teams})
        self.last_system = stored.system()
        self.total = stored.total
        self.restored = set(teams)
        self.known = {
            agent: (incarnation, {team: known[team] for team in known if team in teams})
            for agent, (incarnation, known) in stored.known.items()
            if any(team in teams for team in known)
        }
        increases: dict[str, float] = collections.defaultdict(float)
        for agent, (incarnation, totals) in counters.items():
            known_incarnation, known = self.known.get(agent, (0, {}))
            base = known if incarnation == known_incarnation else {}
            for team in totals.keys() & teams:
                increases[team] += max(0.0, totals[team] - base.get(team, 0.0))
            self.known[agent] = (incarnation, {**base, **totals})
        for team, cost in increases.items():
            if cost:
                self.charge(team, cost, self.last_system)


def recent_mean(samples: list[float]) -> float:
    """Return the mean of samples whose weights fall from the newest to the oldest; 0 if none."""
    weights = [
        MEAN_WEIGHT * (1.0 - MEAN_WEIGHT) ** age
        if age < len(samples) - 1
        else (1.0 - MEAN_WEIGHT) ** age
        for age in reversed(range(len(samples)))
    ]
    return math.fsum(weight * sample for weight, sample in zip(weights, samples, strict=True))


def corrected(hint: float, finished: list[Finished]) -> float:
    """Return a hint multiplied by the ratio of cost to hint over the finished requests."""
    hinted = [done for done in finished if done.hint > 0.0]
    if not hinted:
        return hint
    cost = recent_mean([done.cost for done in hinted])
    return hint * cost / recent_mean([done.hint for done in hinted])


class Oracle:
    """The list of events and the state that follows from it."""

    def __init__(self, shares: dict[str, float], maximum_cost: float, debt_cap: float) -> None:
        self.terms = (shares, maximum_cost, debt_cap)
        self.events: list[tuple[typing.Any, ...]] = []

    def append(self, name: str, *arguments: typing.Any) -> None:
        self.events.append((name, *arguments))

    def state(self, length: int | None = None) -> State:
        """Return the state after the first ``length`` events, or after all of them."""
        events = self.events[:length]
        state = State(*self.terms)
        for name, *arguments in events:
            if name == "recover":
                index, counters = arguments
                state = State(*self.terms)
                state.recover(self.state(index), counters)
            else:
                getattr(state, name)(*arguments)
        return state
