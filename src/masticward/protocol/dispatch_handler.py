"""What the Dispatch servicer needs from the dispatcher of a service. Deadlines are monotonic."""

import abc
import asyncio
import typing

import msgspec

from masticward.models import work
from masticward.state import ledger
from masticward.wire import masticward_pb2


class EntryPeer:
    """One session of an entry. ``outbox`` holds assignments and messages not yet written."""

    __slots__ = ("entry_id", "incarnation", "outbox", "tickets")

    def __init__(self, entry_id: str, incarnation: int) -> None:
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.outbox: asyncio.Queue[work.Assignment | masticward_pb2.DispatcherToEntry] = (
            asyncio.Queue()
        )
        self.tickets: set[str] = set()


class AgentPeer:
    """One session of an agent incarnation. ``outbox`` holds messages not yet written."""

    __slots__ = (
        "address",
        "agent_id",
        "availability_zone",
        "incarnation",
        "outbox",
        "snapshot_due",
        "snapshot_full_due",
        "snapshot_sequence",
    )

    def __init__(
        self, agent_id: str, incarnation: int, address: str, availability_zone: str
    ) -> None:
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.address = address
        self.availability_zone = availability_zone
        self.outbox: asyncio.Queue[masticward_pb2.DispatcherToAgent] = asyncio.Queue()
        # Monotonic seconds before which the agent gets no further snapshot.
        self.snapshot_due = 0.0
        # The snapshot that the agent has, 0 if none, and when it gets the next full one.
        self.snapshot_sequence = 0
        self.snapshot_full_due = 0.0

    def return_slots(self, slot_ids: list[int]) -> None:
        """Tell the agent that slots were discarded without being assigned."""
        returned = masticward_pb2.ReturnedSlots(slot_ids=slot_ids)
        self.outbox.put_nowait(masticward_pb2.DispatcherToAgent(returned=returned))


class DeclinedSlot(msgspec.Struct, frozen=True, kw_only=True):
    """An assigned slot that the entry does not use; it may be used again if it is valid."""

    ticket_id: str
    agent_id: str
    agent_incarnation: int
    slot_id: int
    slot_valid: bool


class AgentReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an agent rendered, in cost units, and its load in calls."""

    counters: dict[str, float]
    progress: dict[str, float]
    finished: dict[str, float]
    running: int
    staged: int
    limit: int


class DispatchHandler(abc.ABC):
    """The dispatcher of one service as the sessions see it."""

    service: str

    @abc.abstractmethod
    def open_entry(self, peer: EntryPeer) -> None:
        """Accept an entry's session."""

    @abc.abstractmethod
    def close_entry(self, peer: EntryPeer) -> None:
        """Drop the tickets of a lost entry session and use its undelivered slots again."""

    @abc.abstractmethod
    def enqueue(self, peer: EntryPeer, ticket: work.Ticket) -> None:
        """Queue a ticket."""

    @abc.abstractmethod
    def cancel(self, peer: EntryPeer, ticket_id: str) -> None:
        """Forget a ticket; one that is assigned already is declined by the entry."""

    @abc.abstractmethod
    def decline(self, declined: DeclinedSlot) -> None:
        """Take back a slot that its entry does not use."""

    @abc.abstractmethod
    def open_agent(self, peer: AgentPeer, snapshot: ledger.Snapshot | None) -> bool:
        """Accept an agent's session; False if a later incarnation has one already."""

    @abc.abstractmethod
    def close_agent(self, peer: AgentPeer) -> None:
        """Drop the free slots and end the reservations of a lost agent session."""

    @abc.abstractmethod
    def offer(self, peer: AgentPeer, slot_ids: tuple[int, ...], deadline: float) -> None:
        """Add free slots."""

    @abc.abstractmethod
    def retract(self, peer: AgentPeer) -> None:
        """Discard and return every free slot of the agent."""

    @abc.abstractmethod
    def report(self, peer: AgentPeer, report: AgentReport) -> None:
        """Charge what an agent rendered."""

    @abc.abstractmethod
    def offer_snapshot(self, snapshot: ledger.Snapshot) -> None:
        """Consider a snapshot of another dispatcher of the service."""

    @abc.abstractmethod
    def tick(self) -> None:
        """Discard what has expired and follow changes of the view; called every 100 ms."""

    @abc.abstractmethod
    def take_snapshot(self) -> ledger.Snapshot | None:
        """Return a snapshot for the agents if something changed since the last call."""

    @abc.abstractmethod
    def agent_peers(self) -> list[AgentPeer]:
        """Return the open agent sessions."""

    @abc.abstractmethod
    def candidates(self) -> frozenset[str]:
        """Return the ids of the agents that take over if this dispatcher is lost."""

    @property
    @abc.abstractmethod
    def waiting(self) -> int:
        """The number of waiting tickets."""

    @property
    @abc.abstractmethod
    def free_slots(self) -> int:
        """The number of free slots."""

    @abc.abstractmethod
    def status(self) -> dict[str, typing.Any]:
        """Return figures for operators."""
