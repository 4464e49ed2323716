"""Virtual times of teams and the service counters that are included in them.

Virtual times are in cost units divided by share. A ledger is passive while no team is active; a
standby dispatcher stays passive and only records counters until its first ticket arrives.
"""

import collections.abc
import math

import msgspec

UNKNOWN_TEAM_SHARE = 1.0
# Weight of the newest finished request in a team's recent means; about the last 9 requests count.
SMOOTHING_FACTOR = 0.2
# A corrected hint counts up to this multiple of the corrected mean. With multiples of the plain
# mean, right hints of teams that mix short and long requests were cut off too.
HINT_LIMIT_FACTOR = 3.0
# Smaller relative changes of a virtual time are rounding errors and do not change the order.
RELATIVE_TOLERANCE = 1e-12


class FairShareParameters(msgspec.Struct, frozen=True, kw_only=True):
    """What the configuration says about sharing one service. Costs are in cost units."""

    shares: dict[str, float]
    maximum_cost: float
    debt_cap: float

    def share_of(self, team: str) -> float:
        """Return the share of a team; an unknown team has share 1."""
        return self.shares.get(team, UNKNOWN_TEAM_SHARE)


class TeamVirtualTime(msgspec.Struct, frozen=True):
    """The virtual time of one active team without its reservations, and its mean cost."""

    team: str
    virtual_time: float
    mean_cost: float


class IncludedCounter(msgspec.Struct, frozen=True):
    """The total of one agent incarnation and team that a snapshot includes, in cost units."""

    agent_id: str
    incarnation: int
    team: str
    total: float


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """What a new dispatcher needs besides the agents' counters."""

    system_virtual_time: float
    teams: tuple[TeamVirtualTime, ...]
    included: tuple[IncludedCounter, ...]
    included_total: float


class AgentCounters:
    """The totals that one agent incarnation last reported, in cost units by team."""

    __slots__ = ("incarnation", "totals")

    def __init__(self, incarnation: int, totals: dict[str, float]) -> None:
        self.incarnation = incarnation
        self.totals = totals


class TeamAccount:
    """The virtual time of one team.

    ``charged`` is the virtual time without reservations, ``reserved`` the reserved cost units,
    ``running`` and ``waiting`` count tickets, ``sort_time`` is the virtual time by which the queue
    orders the team, None while it has no waiting ticket. ``mean_cost`` and
    ``mean_square_cost`` are recent means over the finished requests; ``mean_hint`` and
    ``mean_hinted_cost`` are those of hint and true cost over the requests that had a hint.
    ``hint_error`` and ``mean_error`` are the recent distances of these costs from what the
    corrected hint and the mean cost foretold.
    """

    __slots__ = (
        "charged",
        "hint_error",
        "mean_cost",
        "mean_error",
        "mean_hint",
        "mean_hinted_cost",
        "mean_square_cost",
        "reserved",
        "running",
        "share",
        "sort_time",
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
        self.sort_time: float | None = None

    @property
    def rms_cost(self) -> float:
        """The mean cost corrected for its spread: the root mean square, not below the mean."""
        return max(self.mean_cost, math.sqrt(self.mean_square_cost))

    @property
    def uses_hints(self) -> bool:
        """Whether hints count: without a mean cost, or if they foretell costs better than it."""
        return self.mean_cost == 0.0 or self.hint_error < self.mean_error

    def correct_hint(self, hint: float) -> float:
        """Return a hint multiplied by the recent ratio of true cost to hint."""
        return hint * self.mean_hinted_cost / self.mean_hint if self.mean_hint else hint

    @property
    def effective(self) -> float:
        """The virtual time with reservations, by which teams are ordered."""
        return self.charged + self.reserved / self.share


class VirtualTimeLedger:
    """The virtual times of all teams of one service.

    ``on_change(team)`` is called after the effective virtual time of a backlogged team changed.
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
        # Teams with waiting or running tickets.
        self.active: set[str] = set()
        # The virtual time at which the latest ticket was taken.
        self.system_time = 0.0
        self.counters: dict[str, AgentCounters] = {}
        self.included_total = 0.0
        self.pending_snapshot: Snapshot | None = None
        # Teams of an adopted snapshot that have not been active here yet. They were active there,
        # so they are not lifted at first: their tickets arrive one after the other.
        self.restored_teams: set[str] = set()
        self.on_change: collections.abc.Callable[[str], None] = ignore_change

    def set_parameters(self, parameters: FairShareParameters) -> None:
        """Use other shares and limits from now on; earlier charges stay as they are."""
        self.parameters = parameters
        for account in self.accounts.values():
            account.share = parameters.share_of(account.team)
            self.reposition(account)

    def account_of(self, team: str) -> TeamAccount:
        """Return the account of a team, opened at the system's virtual time if it is new."""
        account = self.accounts.get(team)
        if account is None:
            account = TeamAccount(team, self.parameters.share_of(team), self.system_time)
            self.accounts[team] = account
        return account

    def effective_of(self, team: str) -> float:
        """Return the virtual time of a team with its reservations."""
        return self.account_of(team).effective

    def estimate(self, team: str, hint: float) -> float:
        """Return the cost units to reserve for a request.

        This is the larger of the team's mean cost and the hint. Once the team has a mean cost, the
        hint is corrected and limited, and it counts only if hints are better than the mean.
        """
        account = self.account_of(team)
        expected = self.valid_hint(hint) if account.uses_hints else 0.0
        if account.mean_cost > 0.0:
            limit = HINT_LIMIT_FACTOR * account.rms_cost
            expected = max(account.mean_cost, min(account.correct_hint(expected), limit))
        return min(expected, self.parameters.maximum_cost)

    def valid_hint(self, hint: float) -> float:
        """Return a hint clamped to the costs that are possible; 0 if it is no finite number."""
        return min(max(hint, 0.0), self.parameters.maximum_cost) if math.isfinite(hint) else 0.0

    def add_waiting(self, team: str) -> None:
        """Count one more waiting ticket of a team; one that had none joins the backlogged teams."""
        account = self.activate(team)
        if account.waiting == 0:
            self.start_backlog(account)
        account.waiting += 1

    def remove_waiting(self, team: str) -> None:
        """Count one waiting ticket less."""
        account = self.accounts[team]
        account.waiting -= 1
        if account.waiting == 0:
            account.sort_time = None
            self.deactivate_if_idle(account)

    def reserve(self, team: str, cost: float) -> None:
        """Count one more running ticket and reserve cost units for it."""
        account = self.activate(team)
        self.system_time = account.effective
        account.running += 1
        account.reserved += cost
        self.reposition(account)

    def adjust_reservation(self, team: str, cost: float) -> None:
        """Add cost units, which may be negative, to the reservations of a team."""
        account = self.accounts[team]
        account.reserved = max(0.0, account.reserved + cost)

    def release(self, team: str, cost: float) -> None:
        """End one running ticket and drop what is still reserved for it."""
        account = self.accounts[team]
        account.running -= 1
        # The sum of reservations collects rounding errors, so it starts afresh when none is left.
        account.reserved = max(0.0, account.reserved - cost) if account.running else 0.0
        self.reposition(account)
        self.deactivate_if_idle(account)

    def observe_cost(self, team: str, cost: float, hint: float) -> None:
        """Let the cost of a finished request count in the recent means of its team."""
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
        """Count a team as active; the first one ends the passive state."""
        if not self.active and self.pending_snapshot is not None:
            self.adopt(self.pending_snapshot)
        self.active.add(team)
        return self.account_of(team)

    def start_backlog(self, account: TeamAccount) -> None:
        """Lift a team that becomes backlogged to the system's virtual time and cap its debt.

        A team that only runs is lifted too when its queue is empty: otherwise one that always
        runs a little would collect credit, and pull down the time to which others are lifted.
        """
        system_time = self.system_time
        if account.team not in self.restored_teams:
            lifted = system_time - account.reserved / account.share
            account.charged = max(account.charged, lifted)
        self.restored_teams.discard(account.team)
        self.cap_debt(account, system_time)
        account.sort_time = account.effective

    def deactivate_if_idle(self, account: TeamAccount) -> None:
        """Take a team without waiting and running tickets out of the active teams."""
        if not account.waiting and not account.running:
            self.active.discard(account.team)

    def cap_debt(self, account: TeamAccount, system_time: float) -> None:
        """Forgive the part of a team's debt that lies above the cap.

        Reservations are not capped: they end by themselves, and a cap on them would credit a team
        whose estimate was too high.
        """
        limit = system_time + self.parameters.debt_cap / account.share
        account.charged = min(account.charged, limit)

    def reposition(self, account: TeamAccount) -> None:
        """Tell the queue that the virtual time of a backlogged team changed."""
        if account.sort_time is None:
            return
        effective = account.effective
        if abs(effective - account.sort_time) <= RELATIVE_TOLERANCE * abs(effective):
            return
        account.sort_time = effective
        self.on_change(account.team)

    def charge_counters(
        self, agent_id: str, incarnation: int, totals: collections.abc.Mapping[str, float]
    ) -> list[TeamAccount]:
        """Charge the increase of an agent's counters; the caller repositions what is returned.

        Counters of a lower incarnation and totals that did not grow are ignored. While no team is
        active, totals are only recorded.
        """
        known = self.counters.get(agent_id)
        if known is not None and incarnation < known.incarnation:
            return []
        if known is None or incarnation > known.incarnation:
            known = AgentCounters(incarnation, {})
            self.counters[agent_id] = known
        charged = []
        system_time = self.system_time
        for team, total in totals.items():
            increase = total - known.totals.get(team, 0.0)
            if not math.isfinite(total) or increase <= 0.0:
                continue
            known.totals[team] = total
            if self.active:
                charged.append(self.charge(team, increase, system_time))
        return charged

    def charge(self, team: str, cost: float, system_time: float) -> TeamAccount:
        """Add service in cost units to a team's virtual time, up to the debt cap."""
        account = self.account_of(team)
        account.charged += cost / account.share
        self.cap_debt(account, system_time)
        self.included_total += cost
        return account

    def snapshot(self) -> Snapshot:
        """Return the active teams and the counters included in their virtual times."""
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
        """Forget the counters of agents that are no members and served no active team."""
        for agent_id in [known for known in self.counters if known not in members]:
            if self.active.isdisjoint(self.counters[agent_id].totals):
                del self.counters[agent_id]

    def offer_snapshot(self, snapshot: Snapshot) -> bool:
        """Consider a stored snapshot; True if it includes more service than is known here.

        It is adopted at once while teams are active, otherwise when the first becomes active.
        """
        known = (
            self.included_total
            if self.pending_snapshot is None
            else self.pending_snapshot.included_total
        )
        fresh = self.pending_snapshot is None and not self.accounts
        if snapshot.included_total <= max(known, self.included_total) and not fresh:
            return False
        self.pending_snapshot = snapshot
        if self.active:
            self.adopt(snapshot)
        return True

    def adopt(self, snapshot: Snapshot) -> None:
        """Replace the virtual times by a snapshot and charge what counters grew since then."""
        self.pending_snapshot = None
        times = {entry.team: entry for entry in snapshot.teams}
        for name, entry in times.items():
            account = self.account_of(name)
            account.charged = entry.virtual_time
            account.mean_cost = account.mean_cost or entry.mean_cost
        for name, account in self.accounts.items():
            if name not in times:
                account.charged = snapshot.system_virtual_time
        self.system_time = snapshot.system_virtual_time
        self.included_total = snapshot.included_total
        self.restored_teams = {name for name in times if name not in self.active}
        increases = self.merge_snapshot_counters(snapshot.included, times.keys())
        for account in self.accounts.values():
            self.reposition(account)
        system_time = self.system_time
        for name, cost in increases.items():
            self.reposition(self.charge(name, cost, system_time))

    def end_restoration(self) -> None:
        """Lift teams of the adopted snapshot like others when they become active from now on."""
        self.restored_teams.clear()

    def merge_snapshot_counters(
        self,
        included: collections.abc.Iterable[IncludedCounter],
        teams: collections.abc.Set[str],
    ) -> dict[str, float]:
        """Return by team what the recorded counters exceed the included ones, and record both.

        A team that is not in the snapshot was idle; it starts again at the system's virtual time.
        """
        snapshot_counters: dict[str, AgentCounters] = {}
        for entry in included:
            known = snapshot_counters.setdefault(
                entry.agent_id, AgentCounters(entry.incarnation, {})
            )
            known.totals[entry.team] = entry.total
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
        """Record the counters of a snapshot, so that later reports are compared with them."""
        known = self.counters.get(agent_id)
        if known is None or known.incarnation < base.incarnation:
            self.counters[agent_id] = base
        elif known.incarnation == base.incarnation:
            for team, total in base.totals.items():
                known.totals[team] = max(total, known.totals.get(team, 0.0))


def updated_mean(mean: float, sample: float) -> float:
    """Return a recent mean after one more sample; a mean of 0 stands for none."""
    return mean + SMOOTHING_FACTOR * (sample - mean) if mean else sample


def ignore_change(team: str) -> None:
    """Do nothing; used until a queue listens."""
