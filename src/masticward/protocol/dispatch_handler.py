"""Interface between the Dispatch servicer and the dispatcher of a service.

Deadlines are in seconds on the monotonic clock.
"""

import abc
import asyncio
import typing

import msgspec

from masticward.models import work
from masticward.state import ledger
from masticward.wire import masticward_pb2


class EntryPeer:
    """One entry's session with the dispatcher.

    ``outbox`` holds assignments and messages that are not yet written to the stream, ``tickets``
    the ids of the entry's waiting tickets.
    """

    __slots__ = ("entry_id", "incarnation", "outbox", "replaced", "tickets")

    def __init__(self, entry_id: str, incarnation: int) -> None:
        self.entry_id = entry_id
        self.incarnation = incarnation
        # Whether another session of the entry has taken the place of this one.
        self.replaced = False
        self.outbox: asyncio.Queue[work.Assignment | masticward_pb2.DispatcherToEntry] = (
            asyncio.Queue()
        )
        self.tickets: set[str] = set()


class AgentPeer:
    """One agent incarnation's session with the dispatcher.

    ``outbox`` holds messages that are not yet written to the stream.
    """

    __slots__ = (
        "address",
        "agent_id",
        "availability_zone",
        "incarnation",
        "next_full_snapshot_at",
        "next_snapshot_at",
        "outbox",
        "replaced",
        "snapshot_sequence",
    )

    def __init__(
        self, agent_id: str, incarnation: int, address: str, availability_zone: str
    ) -> None:
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.address = address
        self.availability_zone = availability_zone
        # Whether another session of the agent has taken the place of this one.
        self.replaced = False
        self.outbox: asyncio.Queue[masticward_pb2.DispatcherToAgent] = asyncio.Queue()
        # Monotonic seconds before which an agent that is no candidate gets no further snapshot.
        self.next_snapshot_at = 0.0
        # Sequence of the last snapshot sent, 0 if none.
        self.snapshot_sequence = 0
        # Monotonic seconds from which the next snapshot is sent in full.
        self.next_full_snapshot_at = 0.0

    def return_slots(self, slot_ids: list[int]) -> None:
        """Send back slots that were discarded without being assigned."""
        returned = masticward_pb2.ReturnedSlots(slot_ids=slot_ids)
        self.outbox.put_nowait(masticward_pb2.DispatcherToAgent(returned=returned))


class DeclinedSlot(msgspec.Struct, frozen=True, kw_only=True):
    """An assigned slot that the entry does not use; it may be assigned again if it is valid."""

    ticket_id: str
    agent_id: str
    agent_incarnation: int
    slot_id: int
    slot_valid: bool


class AgentReport(msgspec.Struct, frozen=True, kw_only=True):
    """Service that an agent provided, in cost units, and its load in calls."""

    # By team: total since the start of the agent's incarnation.
    counters: dict[str, float]
    # By id of a running ticket: cost so far.
    progress: dict[str, float]
    # By id of a finished ticket: cost of the whole call.
    finished: dict[str, float]
    running: int
    staged: int
    limit: int


class DispatchHandler(abc.ABC):
    """Handles the sessions of entries and agents with the dispatcher of one service."""

    service: str

    @abc.abstractmethod
    def open_entry(self, peer: EntryPeer) -> bool:
        """Register an entry's session; return False if a later incarnation already has one."""

    @abc.abstractmethod
    def close_entry(self, peer: EntryPeer) -> None:
        """Drop a closed session's waiting tickets and free the slots of its unsent assignments."""

    @abc.abstractmethod
    def enqueue(self, peer: EntryPeer, ticket: work.Ticket) -> None:
        """Queue a ticket."""

    @abc.abstractmethod
    def cancel(self, peer: EntryPeer, ticket_id: str) -> None:
        """Remove a waiting ticket; if it has a slot already, the entry declines the slot."""

    @abc.abstractmethod
    def decline(self, declined: DeclinedSlot) -> None:
        """Release an assigned slot that its entry does not use."""

    @abc.abstractmethod
    def open_agent(self, peer: AgentPeer, snapshot: ledger.Snapshot | None) -> bool:
        """Register an agent's session; return False if a later incarnation already has one.

        ``snapshot`` is the one that the agent has stored, if any.
        """

    @abc.abstractmethod
    def close_agent(self, peer: AgentPeer) -> None:
        """Drop the free slots and end the reservations of a closed agent session."""

    @abc.abstractmethod
    def offer(self, peer: AgentPeer, slot_ids: tuple[int, ...], deadline: float) -> None:
        """Add free slots, which expire at the deadline."""

    @abc.abstractmethod
    def retract(self, peer: AgentPeer) -> None:
        """Discard the free slots of the agent and send them back."""

    @abc.abstractmethod
    def report(self, peer: AgentPeer, report: AgentReport) -> None:
        """Charge teams for the service that an agent provided."""

    @abc.abstractmethod
    def offer_snapshot(self, snapshot: ledger.Snapshot) -> None:
        """Adopt another dispatcher's snapshot if it includes more service than is recorded here."""

    @abc.abstractmethod
    def tick(self) -> None:
        """Discard expired state and apply changes of the fleet view; called every 100 ms."""

    @abc.abstractmethod
    def take_snapshot(self) -> ledger.Snapshot | None:
        """Return a snapshot for the agents, None if nothing has changed since the last call."""

    @abc.abstractmethod
    def agent_peers(self) -> list[AgentPeer]:
        """Return the open agent sessions."""

    @abc.abstractmethod
    def candidates(self) -> frozenset[str]:
        """Return the ids of the agents that may replace this dispatcher if it fails."""

    @property
    @abc.abstractmethod
    def waiting(self) -> int:
        """Return the number of waiting tickets."""

    @property
    @abc.abstractmethod
    def free_slots(self) -> int:
        """Return the number of free slots."""

    @abc.abstractmethod
    def status(self) -> dict[str, typing.Any]:
        """Return the dispatcher's state for the admin interface."""
