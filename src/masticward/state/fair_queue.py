"""Queue of the tickets that wait at one dispatcher, ordered by a queue policy."""

import abc
import collections.abc
import math

import msgspec
import sortedcontainers

from masticward import settings
from masticward.models import work
from masticward.state import ledger as ledger_module

# Within a group, tickets with the lower number are served first.
RETRIED_PRIORITY = 0
NEW_PRIORITY = 1
SINGLE_GROUP = ""


class Reservation:
    """The estimated cost of a dispatched ticket and its cost so far, in cost units."""

    __slots__ = ("estimate", "hint", "progress", "team")

    def __init__(self, team: str, estimate: float, hint: float) -> None:
        self.team = team
        self.estimate = estimate
        self.hint = hint
        self.progress = 0.0

    @property
    def outstanding(self) -> float:
        """The part of the estimate that has not been reported as cost yet, at least 0."""
        return max(0.0, self.estimate - self.progress)


class TakenTicket(msgspec.Struct, frozen=True):
    """A ticket taken for dispatch, with its cost estimate in cost units.

    ``virtual_time`` is that of its team before the estimate was reserved.
    """

    ticket: work.Ticket
    virtual_time: float
    estimate: float


class QueuePolicy(abc.ABC):
    """Assigns tickets to groups and ranks the groups; the group of lowest rank is served first."""

    @abc.abstractmethod
    def group_of(self, ticket: work.Ticket) -> str:
        """Return the name of the group to which the ticket belongs."""

    @abc.abstractmethod
    def rank_of(self, group: str) -> float:
        """Return the current rank of a group."""

    @abc.abstractmethod
    def note_group_added(self, group: str, lowest_rank: float | None) -> None:
        """Note that a group gets its first waiting ticket.

        ``lowest_rank`` is the lowest rank of the other groups, None if there are none.
        """

    @abc.abstractmethod
    def note_group_served(self, group: str) -> None:
        """Note that a ticket of the group was dispatched."""


class FairSharePolicy(QueuePolicy):
    """Serves the team with the lowest virtual time."""

    def __init__(self, ledger: ledger_module.VirtualTimeLedger) -> None:
        self.ledger = ledger

    def group_of(self, ticket: work.Ticket) -> str:
        """Return the team."""
        return ticket.team

    def rank_of(self, group: str) -> float:
        """Return the team's virtual time including its reservations."""
        return self.ledger.effective_of(group)

    def note_group_added(self, group: str, lowest_rank: float | None) -> None:
        """Do nothing: the ledger raises the virtual time of the team."""

    def note_group_served(self, group: str) -> None:
        """Do nothing: the ledger accounts for the reservation."""


class FirstComeFirstServedPolicy(QueuePolicy):
    """Serves tickets in order of arrival regardless of team. A baseline for measurements."""

    def group_of(self, ticket: work.Ticket) -> str:
        """Return the name of the only group."""
        return SINGLE_GROUP

    def rank_of(self, group: str) -> float:
        """Return 0, because there is only one group."""
        return 0.0

    def note_group_added(self, group: str, lowest_rank: float | None) -> None:
        """Do nothing."""

    def note_group_served(self, group: str) -> None:
        """Do nothing."""


class EqualSplitByEntryPolicy(QueuePolicy):
    """Gives each entry with waiting tickets the same number of slots. A baseline for measurements.

    It behaves like routers that split the capacity equally and share no state.
    """

    def __init__(self) -> None:
        self.served: dict[str, float] = {}

    def group_of(self, ticket: work.Ticket) -> str:
        """Return the entry."""
        return ticket.entry_id

    def rank_of(self, group: str) -> float:
        """Return the number of tickets served, as raised after idle times of the entry."""
        return self.served.get(group, 0.0)

    def note_group_added(self, group: str, lowest_rank: float | None) -> None:
        """Raise the entry's count to that of the others, so that idle time gives no credit."""
        self.served[group] = max(self.served.get(group, 0.0), lowest_rank or 0.0)

    def note_group_served(self, group: str) -> None:
        """Count the dispatched ticket."""
        self.served[group] = self.served.get(group, 0.0) + 1.0


class TicketGroup:
    """The waiting tickets of one group and the sort key of the group."""

    __slots__ = ("key", "tickets")

    def __init__(self) -> None:
        self.tickets: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.key: tuple[float, float, int, str] | None = None


class WaitingTicket:
    """A waiting ticket with its group and its sort key within the group."""

    __slots__ = ("group", "key", "ticket")

    def __init__(self, ticket: work.Ticket, group: str, sequence: int) -> None:
        priority = RETRIED_PRIORITY if ticket.retried else NEW_PRIORITY
        self.ticket = ticket
        self.group = group
        self.key = (priority, ticket.arrived_at, sequence, ticket.id)


class FairQueue:
    """The waiting tickets and the reservations of dispatched tickets."""

    __slots__ = (
        "deadlines",
        "group_order",
        "groups",
        "ledger",
        "policy",
        "reservations",
        "sequence",
        "waiting",
    )

    def __init__(self, policy: QueuePolicy, ledger: ledger_module.VirtualTimeLedger) -> None:
        self.policy = policy
        self.ledger = ledger
        self.groups: dict[str, TicketGroup] = {}
        self.group_order: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.deadlines: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.waiting: dict[str, WaitingTicket] = {}
        self.reservations: dict[str, Reservation] = {}
        self.sequence = 0
        ledger.on_change = self.reposition

    def __len__(self) -> int:
        return len(self.waiting)

    def add(self, ticket: work.Ticket) -> bool:
        """Add a ticket; return False if a ticket with this id is already waiting."""
        if ticket.id in self.waiting:
            return False
        self.sequence += 1
        entry = WaitingTicket(ticket, self.policy.group_of(ticket), self.sequence)
        self.ledger.add_waiting(ticket.team)
        group = self.groups.get(entry.group)
        if group is None:
            self.policy.note_group_added(
                entry.group, self.group_order[0][0] if self.group_order else None
            )
            group = self.groups[entry.group] = TicketGroup()
        group.tickets.add(entry.key)
        self.waiting[ticket.id] = entry
        self.deadlines.add((ticket.deadline, ticket.id))
        self.reposition(entry.group)
        return True

    def remove(self, ticket_id: str) -> work.Ticket | None:
        """Remove and return a waiting ticket; None if no ticket with this id is waiting."""
        entry = self.waiting.get(ticket_id)
        if entry is None:
            return None
        self.remove_from_orders(entry)
        self.ledger.remove_waiting(entry.ticket.team)
        return entry.ticket

    def take(self, now: float) -> TakenTicket | None:
        """Remove the next ticket and reserve its estimated cost; None if no ticket is waiting.

        Tickets whose deadline has passed at ``now`` are dropped first.
        """
        self.drop_expired(now)
        if not self.group_order:
            return None
        group = self.groups[self.group_order[0][3]]
        entry = self.waiting[group.tickets[0][3]]
        ticket = entry.ticket
        virtual_time = self.ledger.effective_of(ticket.team)
        estimate = self.ledger.estimate(ticket.team, ticket.cost_hint)
        self.remove_from_orders(entry)
        self.reservations[ticket.id] = Reservation(ticket.team, estimate, ticket.cost_hint)
        self.policy.note_group_served(entry.group)
        self.ledger.reserve(ticket.team, estimate)
        self.ledger.remove_waiting(ticket.team)
        self.reposition(entry.group)
        return TakenTicket(ticket, virtual_time, estimate)

    def drop_expired(self, now: float) -> list[work.Ticket]:
        """Remove and return the waiting tickets whose deadline is not after ``now``."""
        dropped = []
        while self.deadlines and self.deadlines[0][0] <= now:
            ticket = self.remove(self.deadlines[0][1])
            if ticket is not None:
                dropped.append(ticket)
        return dropped

    def apply_report(
        self,
        agent_id: str,
        incarnation: int,
        totals: collections.abc.Mapping[str, float],
        progress: collections.abc.Mapping[str, float],
        finished: collections.abc.Mapping[str, float],
    ) -> None:
        """Charge an agent's counters, then adjust and end the reservations of its tickets.

        ``totals`` is in cost units by team; ``progress`` and ``finished`` are in cost units by
        ticket.
        """
        changed = {
            account.team: account
            for account in self.ledger.charge_counters(agent_id, incarnation, totals)
        }
        for ticket_id, cost in progress.items():
            reservation = self.reservations.get(ticket_id)
            if reservation is not None and cost > reservation.progress:
                before = reservation.outstanding
                reservation.progress = cost
                self.ledger.adjust_reservation(reservation.team, reservation.outstanding - before)
                changed[reservation.team] = self.ledger.accounts[reservation.team]
        for account in changed.values():
            self.ledger.notify_change(account)
        for ticket_id, cost in finished.items():
            self.end_reservation(ticket_id, cost)

    def end_reservation(self, ticket_id: str, cost: float = 0.0) -> bool:
        """End a ticket's reservation; return False if it has none.

        A finite cost above 0, in cost units, is added to the team's mean costs.
        """
        reservation = self.reservations.pop(ticket_id, None)
        if reservation is None:
            return False
        if cost > 0.0 and math.isfinite(cost):
            self.ledger.observe_cost(reservation.team, cost, reservation.hint)
        self.ledger.release(reservation.team, reservation.outstanding)
        return True

    def remove_from_orders(self, entry: WaitingTicket) -> None:
        """Remove a waiting ticket from its group and from the orders of groups and deadlines."""
        del self.waiting[entry.ticket.id]
        self.deadlines.remove((entry.ticket.deadline, entry.ticket.id))
        group = self.groups[entry.group]
        group.tickets.remove(entry.key)
        self.reposition(entry.group)

    def reposition(self, name: str) -> None:
        """Update a group's place in the order; delete the group if it has no tickets."""
        group = self.groups.get(name)
        if group is None:
            return
        if not group.tickets:
            if group.key is not None:
                self.group_order.remove(group.key)
            del self.groups[name]
            return
        _, arrived_at, sequence, _ = group.tickets[0]
        key = (self.policy.rank_of(name), arrived_at, sequence, name)
        if key == group.key:
            return
        if group.key is not None:
            self.group_order.remove(group.key)
        group.key = key
        self.group_order.add(key)


def create_policy(
    name: settings.QueuePolicyName, ledger: ledger_module.VirtualTimeLedger
) -> QueuePolicy:
    """Return a new policy for the configured name."""
    if name is settings.QueuePolicyName.FAIR_SHARE:
        return FairSharePolicy(ledger)
    if name is settings.QueuePolicyName.FIRST_COME_FIRST_SERVED:
        return FirstComeFirstServedPolicy()
    return EqualSplitByEntryPolicy()
