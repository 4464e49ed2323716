"""What an agent offers to the dispatchers of its service and reports to them."""

import abc
import asyncio

import msgspec


class OfferedSlots(msgspec.Struct, frozen=True, kw_only=True):
    """Slot ids issued together, valid until a monotonic deadline in seconds."""

    slot_ids: tuple[int, ...]
    deadline: float


class ServiceReport(msgspec.Struct, frozen=True, kw_only=True):
    """What an agent rendered, in cost units. Counters grow only, within one incarnation.

    ``progress`` holds the cost so far of each running ticket. ``finished`` holds the final cost of
    the tickets that ended since the last call of ``report``; 0 if the ticket was refused.
    """

    counters: dict[str, float]
    progress: dict[str, float]
    finished: dict[str, float]
    running: int
    staged: int
    limit: int
    admission_state: str


class OfferSource(abc.ABC):
    """The side of the endpoint runner that the offer loop uses.

    ``changed`` is set whenever new slots may be issued or an attempt has ended.
    """

    changed: asyncio.Event

    @abc.abstractmethod
    def issue_slots(self) -> OfferedSlots:
        """Issue fresh slots up to the admission limit plus the staged depth; may be empty.

        Nothing is issued while the endpoint, its instance or its zone is out or leaving.
        """

    @abc.abstractmethod
    def report(self) -> ServiceReport:
        """Return all counters, the progress of running tickets and the newly finished ones."""

    @abc.abstractmethod
    def is_retracted(self) -> bool:
        """Tell whether every slot that was offered must be withdrawn."""

    @abc.abstractmethod
    def note_hop_time(self, seconds: float) -> None:
        """Record a measured one-way time to the dispatcher, used for the staged depth."""
