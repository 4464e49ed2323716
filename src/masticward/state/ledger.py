"""Virtual times of teams and the service counters that are included in them.

Virtual times are in cost units divided by share. While no team is active, a ledger only records
the agents' counters; a standby dispatcher does so until its first ticket arrives.
"""

import collections.abc
import math

import msgspec

UNKNOWN_TEAM_SHARE = 1.0
# Weight of the newest finished request in a team's moving averages, which cover about 9 requests.
SMOOTHING_FACTOR = 0.2
# Upper limit of a corrected cost hint, as a multiple of the team's root mean square cost. A limit
# by the plain mean also cut off correct hints of teams that mix short and long requests.
HINT_LIMIT_FACTOR = 3.0
# Relative changes of a virtual time up to this size are rounding errors and do not reorder teams.
RELATIVE_TOLERANCE = 1e-12


class FairShareParameters(msgspec.Struct, frozen=True, kw_only=True):
    """The configured shares and cost limits of one service. Costs are in cost units."""

    shares: dict[str, float]
    maximum_cost: float
    debt_cap: float

    def share_of(self, team: str) -> float:
        """Return the configured share of a team, 1 for an unknown team."""
        return self.shares.get(team, UNKNOWN_TEAM_SHARE)


class TeamVirtualTime(msgspec.Struct, frozen=True):
    """The virtual time of one active team without its reservations, and its mean cost.

    The virtual time is in cost units divided by share, the mean cost in cost units.
    """

    team: str
    virtual_time: float
    mean_cost: float


class IncludedCounter(msgspec.Struct, frozen=True):
    """The service of one agent incarnation to one team that a snapshot includes, in cost units."""

    agent_id: str
    incarnation: int
    team: str
    total: float


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The state from which a new dispatcher continues, together with the agents' counters."""

    system_virtual_time: float
    teams: tuple[TeamVirtualTime, ...]
    included: tuple[IncludedCounter, ...]
    included_total: float


class AgentCounters:
    """The highest totals that one agent incarnation reported, in cost units by team."""

    __slots__ = ("incarnation", "totals")

    def __init__(self, incarnation: int, totals: dict[str, float]) -> None:
        self.incarnation = incarnation
        self.totals = totals


class TeamAccount:
    """The virtual time, reservations and cost statistics of one team.

    ``charged`` is the virtual time without reservations, ``reserved`` the reserved cost units.
    ``running`` and ``waiting`` count tickets. ``queue_virtual_time`` is the virtual time by which
    the queue orders the team, None while it has no waiting ticket.

    The other figures are exponential moving averages over the finished requests. ``mean_cost`` and
    ``mean_square_cost`` cover all of them; ``mean_hint`` and ``mean_hinted_cost`` are the hint and
    the actual cost of those that had a hint. ``hint_error`` and ``mean_error`` are the absolute
    errors of the corrected hint and of the mean cost as predictions of the actual cost.
    """

    __slots__ = (
        "charged",
        "hint_error",
        "mean_cost",
        "mean_error",
        "mean_hint",
        "mean_hinted_cost",
        "mean_square_cost",
        "queue_virtual_time",
        "reserved",
        "running",
        "share",
        "team",
        "waiting",
    )

    def __init__(self, team: str, share: float, charged: float) -> None:
        self.team = team
        self.share = share
        self.charged = charged
        self.reserved = 0.0
        self.running = 0
        self.waiting = 0
        self.mean_cost = 0.0
        self.mean_square_cost = 0.0
        self.mean_hint = 0.0
        self.mean_hinted_cost = 0.0
        self.hint_error = 0.0
        self.mean_error = 0.0
        self.queue_virtual_time: float | None = None

    @property
    def rms_cost(self) -> float:
        """The root mean square cost, but not less than the mean cost."""
        return max(self.mean_cost, math.sqrt(self.mean_square_cost))

    @property
    def uses_hints(self) -> bool:
        """Whether hints predict costs better than the mean cost; True without a mean cost."""
        return self.mean_cost == 0.0 or self.hint_error < self.mean_error

    def correct_hint(self, hint: float) -> float:
        """Return a hint multiplied by the recent ratio of actual cost to hint."""
        return hint * self.mean_hinted_cost / self.mean_hint if self.mean_hint else hint

    @property
    def effective(self) -> float:
        """The virtual time including reservations, by which teams are ordered."""
        return self.charged + self.reserved / self.share


class VirtualTimeLedger:
    """The virtual times of all teams of one service.

    ``on_change(team)`` is called after the effective virtual time of a backlogged team changed. A
    team is backlogged while it has waiting tickets, and active while it has waiting or running
    tickets. ``system_time`` is the system virtual time: the effective virtual time that the team of
    the latest dispatched ticket had before its reservation.
    """

    __slots__ = (
        "accounts",
        "active",
        "counters",
        "included_total",
        "on_change",
        "parameters",
        "pending_snapshot",
        "restored_teams",
        "system_time",
    )

    def __init__(self, parameters: FairShareParameters) -> None:
        self.parameters = parameters
        self.accounts: dict[str, TeamAccount] = {}
        self.active: set[str] = set()
        self.system_time = 0.0
        self.counters: dict[str, AgentCounters] = {}
        self.included_total = 0.0
        self.pending_snapshot: Snapshot | None = None
        # Teams of an adopted snapshot that have not been backlogged since. They were active at the
        # previous dispatcher and their tickets arrive one by one, so their virtual times are not
        # raised when they become backlogged for the first time.
        self.restored_teams: set[str] = set()
        self.on_change: collections.abc.Callable[[str], None] = ignore_change

    def set_parameters(self, parameters: FairShareParameters) -> None:
        """Replace the shares and limits; charges made before are not recomputed."""
        self.parameters = parameters
        for account in self.accounts.values():
            account.share = parameters.share_of(account.team)
            self.notify_change(account)

    def account_of(self, team: str) -> TeamAccount:
        """Return the account of a team; a new one starts at the system virtual time."""
        account = self.accounts.get(team)
        if account is None:
            account = TeamAccount(team, self.parameters.share_of(team), self.system_time)
            self.accounts[team] = account
        return account

    def effective_of(self, team: str) -> float:
        """Return the virtual time of a team including its reservations."""
        return self.account_of(team).effective

    def estimate(self, team: str, hint: float) -> float:
        """Return the cost units to reserve for a request.

        This is the larger of the team's mean cost and the hint. Once the team has a mean cost, the
        hint is corrected and limited, and it is ignored unless hints predict costs better than the
        mean.
        """
        account = self.account_of(team)
        expected = self.valid_hint(hint) if account.uses_hints else 0.0
        if account.mean_cost > 0.0:
            limit = HINT_LIMIT_FACTOR * account.rms_cost
            expected = max(account.mean_cost, min(account.correct_hint(expected), limit))
        return min(expected, self.parameters.maximum_cost)

    def valid_hint(self, hint: float) -> float:
        """Return a hint clamped to the possible costs; 0 if it is not a finite number."""
        return min(max(hint, 0.0), self.parameters.maximum_cost) if math.isfinite(hint) else 0.0

    def add_waiting(self, team: str) -> None:
        """Count one more waiting ticket of a team; the first one makes the team backlogged."""
        account = self.activate(team)
        if account.waiting == 0:
            self.start_backlog(account)
        account.waiting += 1

    def remove_waiting(self, team: str) -> None:
        """Count one waiting ticket less; a team without tickets becomes inactive."""
        account = self.accounts[team]
        account.waiting -= 1
        if account.waiting == 0:
            account.queue_virtual_time = None
            self.deactivate_if_idle(account)

    def reserve(self, team: str, cost: float) -> None:
        """Count one more running ticket and reserve cost units for it."""
        account = self.activate(team)
        self.system_time = account.effective
        account.running += 1
        account.reserved += cost
        self.notify_change(account)

    def adjust_reservation(self, team: str, cost: float) -> None:
        """Add cost units, which may be negative, to the reservations of a team."""
        account = self.accounts[team]
        account.reserved = max(0.0, account.reserved + cost)

    def release(self, team: str, cost: float) -> None:
        """Count one running ticket less and release the cost units still reserved for it."""
        account = self.accounts[team]
        account.running -= 1
        # Reset to 0 without running tickets, so that rounding errors of the sum do not accumulate.
        account.reserved = max(0.0, account.reserved - cost) if account.running else 0.0
        self.notify_change(account)
        self.deactivate_if_idle(account)

    def observe_cost(self, team: str, cost: float, hint: float) -> None:
        """Add the cost of a finished request to the moving averages of its team."""
        account = self.account_of(team)
        hint = self.valid_hint(hint)
        if hint > 0.0 and account.mean_cost > 0.0:
            hint_error = abs(cost - account.correct_hint(hint))
            mean_error = abs(cost - account.mean_cost)
            account.hint_error += SMOOTHING_FACTOR * (hint_error - account.hint_error)
            account.mean_error += SMOOTHING_FACTOR * (mean_error - account.mean_error)
        account.mean_cost = updated_mean(account.mean_cost, cost)
        account.mean_square_cost = updated_mean(account.mean_square_cost, cost * cost)
        if hint > 0.0:
            account.mean_hint = updated_mean(account.mean_hint, hint)
            account.mean_hinted_cost = updated_mean(account.mean_hinted_cost, cost)

    def activate(self, team: str) -> TeamAccount:
        """Mark a team as active; the first active team adopts a pending snapshot."""
        if not self.active and self.pending_snapshot is not None:
            self.adopt(self.pending_snapshot)
        self.active.add(team)
        return self.account_of(team)

    def start_backlog(self, account: TeamAccount) -> None:
        """Raise a team that becomes backlogged to the system virtual time and cap its debt.

        This includes a team that still has running tickets. Otherwise a team that always runs a few
        requests without ever queueing would accumulate credit, and would lower the virtual time to
        which other teams are raised.
        """
        system_time = self.system_time
        if account.team not in self.restored_teams:
            minimum = system_time - account.reserved / account.share
            account.charged = max(account.charged, minimum)
        self.restored_teams.discard(account.team)
        self.cap_debt(account, system_time)
        account.queue_virtual_time = account.effective

    def deactivate_if_idle(self, account: TeamAccount) -> None:
        """Remove a team without waiting and running tickets from the active teams."""
        if not account.waiting and not account.running:
            self.active.discard(account.team)

    def cap_debt(self, account: TeamAccount, system_time: float) -> None:
        """Limit the distance of a team's virtual time above the system virtual time.

        Reservations are not capped: they end with their requests, and capping them would give
        credit to a team whose cost estimate was too high.
        """
        limit = system_time + self.parameters.debt_cap / account.share
        account.charged = min(account.charged, limit)

    def notify_change(self, account: TeamAccount) -> None:
        """Call ``on_change`` if the effective virtual time of a backlogged team has changed."""
        if account.queue_virtual_time is None:
            return
        effective = account.effective
        if abs(effective - account.queue_virtual_time) <= RELATIVE_TOLERANCE * abs(effective):
            return
        account.queue_virtual_time = effective
        self.on_change(account.team)

    def charge_counters(
        self, agent_id: str, incarnation: int, totals: collections.abc.Mapping[str, float]
    ) -> list[TeamAccount]:
        """Charge the increase of an agent's counters to the teams and return the charged accounts.

        The caller passes each of them to ``notify_change``. Counters of a lower incarnation and
        totals that did not grow are ignored. While no team is active, totals are only recorded.
        """
        recorded = self.counters.get(agent_id)
        if recorded is not None and incarnation < recorded.incarnation:
            return []
        if recorded is None or incarnation > recorded.incarnation:
            recorded = AgentCounters(incarnation, {})
            self.counters[agent_id] = recorded
        charged = []
        system_time = self.system_time
        for team, total in totals.items():
            increase = total - recorded.totals.get(team, 0.0)
            if not math.isfinite(total) or increase <= 0.0:
                continue
            recorded.totals[team] = total
            if self.active:
                charged.append(self.charge(team, increase, system_time))
        return charged

    def charge(self, team: str, cost: float, system_time: float) -> TeamAccount:
        """Charge cost units to a team's virtual time, up to the debt cap."""
        account = self.account_of(team)
        account.charged += cost / account.share
        self.cap_debt(account, system_time)
        self.included_total += cost
        return account

    def snapshot(self) -> Snapshot:
        """Return the state of the active teams and the counters that it includes."""
        names = self.active
        teams = tuple(
            TeamVirtualTime(name, self.accounts[name].charged, self.accounts[name].mean_cost)
            for name in sorted(names)
        )
        included = tuple(
            IncludedCounter(agent_id, counters.incarnation, team, counters.totals[team])
            for agent_id, counters in self.counters.items()
            for team in sorted(counters.totals.keys() & names)
        )
        return Snapshot(
            system_virtual_time=self.system_time,
            teams=teams,
            included=included,
            included_total=self.included_total,
        )

    def drop_departed_agents(self, members: collections.abc.Set[str]) -> None:
        """Delete the counters of agents that are not members and have served no active team."""
        for agent_id in [agent for agent in self.counters if agent not in members]:
            if self.active.isdisjoint(self.counters[agent_id].totals):
                del self.counters[agent_id]

    def offer_snapshot(self, snapshot: Snapshot) -> bool:
        """Accept a stored snapshot if it includes more service than this ledger; True if so.

        An empty ledger without a pending snapshot accepts any. The snapshot is adopted at once
        while teams are active, otherwise as soon as the first team becomes active.
        """
        included_total = (
            self.included_total
            if self.pending_snapshot is None
            else self.pending_snapshot.included_total
        )
        is_empty = self.pending_snapshot is None and not self.accounts
        if snapshot.included_total <= max(included_total, self.included_total) and not is_empty:
            return False
        self.pending_snapshot = snapshot
        if self.active:
            self.adopt(snapshot)
        return True

    def adopt(self, snapshot: Snapshot) -> None:
        """Replace the virtual times by those of a snapshot and charge the service since then."""
        self.pending_snapshot = None
        snapshot_teams = {entry.team: entry for entry in snapshot.teams}
        for name, entry in snapshot_teams.items():
            account = self.account_of(name)
            account.charged = entry.virtual_time
            account.mean_cost = account.mean_cost or entry.mean_cost
        for name, account in self.accounts.items():
            if name not in snapshot_teams:
                account.charged = snapshot.system_virtual_time
        self.system_time = snapshot.system_virtual_time
        self.included_total = snapshot.included_total
        self.restored_teams = {name for name in snapshot_teams if name not in self.active}
        increases = self.merge_snapshot_counters(snapshot.included, snapshot_teams.keys())
        for account in self.accounts.values():
            self.notify_change(account)
        system_time = self.system_time
        for name, cost in increases.items():
            self.notify_change(self.charge(name, cost, system_time))

    def end_restoration(self) -> None:
        """Treat the remaining teams of the adopted snapshot like all others from now on."""
        self.restored_teams.clear()

    def merge_snapshot_counters(
        self,
        included: collections.abc.Iterable[IncludedCounter],
        teams: collections.abc.Set[str],
    ) -> dict[str, float]:
        """Merge a snapshot's counters into the recorded ones and return the excess of the latter.

        The excess is in cost units by team. It covers only the given teams, those of the snapshot:
        any other team was idle and starts again at the system virtual time.
        """
        snapshot_counters: dict[str, AgentCounters] = {}
        for entry in included:
            agent_counters = snapshot_counters.setdefault(
                entry.agent_id, AgentCounters(entry.incarnation, {})
            )
            agent_counters.totals[entry.team] = entry.total
        increases: dict[str, float] = {}
        for agent_id, counters in self.counters.items():
            base = snapshot_counters.get(agent_id)
            if base is None or base.incarnation < counters.incarnation:
                base_totals: dict[str, float] = {}
            else:
                base_totals = base.totals
            if base is not None and base.incarnation > counters.incarnation:
                continue
            for team in counters.totals.keys() & teams:
                increase = counters.totals[team] - base_totals.get(team, 0.0)
                if increase > 0.0:
                    increases[team] = increases.get(team, 0.0) + increase
        for agent_id, base in snapshot_counters.items():
            self.record_snapshot_counters(agent_id, base)
        return increases

    def record_snapshot_counters(self, agent_id: str, base: AgentCounters) -> None:
        """Record one agent's counters of a snapshot, so that only later increases are charged."""
        recorded = self.counters.get(agent_id)
        if recorded is None or recorded.incarnation < base.incarnation:
            self.counters[agent_id] = base
        elif recorded.incarnation == base.incarnation:
            for team, total in base.totals.items():
                recorded.totals[team] = max(total, recorded.totals.get(team, 0.0))


def updated_mean(mean: float, sample: float) -> float:
    """Return a moving average after one more sample; a mean of 0 means that there was none."""
    return mean + SMOOTHING_FACTOR * (sample - mean) if mean else sample


def ignore_change(team: str) -> None:
    """Do nothing; the default for ``on_change`` until a queue sets its own."""
