"""Limits the tickets of one team that are outstanding at the dispatcher of one service."""

import collections


class TicketWindow:
    """Keeps ticket ids in order and tells which of them may be submitted.

    At most ``limit`` submitted tickets are without a slot; the rest waits in the entry, so that a
    flooding team does not fill the dispatcher.
    """

    __slots__ = ("limit", "outstanding", "waiting")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.outstanding: set[str] = set()
        self.waiting: collections.OrderedDict[str, None] = collections.OrderedDict()

    def add(self, ticket_id: str, *, front: bool) -> None:
        """Add a ticket at the end, or at the front if it was refused before."""
        self.waiting[ticket_id] = None
        if front:
            self.waiting.move_to_end(ticket_id, last=False)

    def pop_submittable(self) -> list[str]:
        """Return the tickets to submit now; they count as outstanding from here on."""
        submittable = []
        while self.waiting and len(self.outstanding) < self.limit:
            ticket_id, _ = self.waiting.popitem(last=False)
            self.outstanding.add(ticket_id)
            submittable.append(ticket_id)
        return submittable

    def remove(self, ticket_id: str) -> bool:
        """Remove a ticket; returns True if it was outstanding at the dispatcher."""
        self.waiting.pop(ticket_id, None)
        if ticket_id not in self.outstanding:
            return False
        self.outstanding.discard(ticket_id)
        return True

    @property
    def empty(self) -> bool:
        """Whether the window holds no ticket."""
        return not self.outstanding and not self.waiting
