"""Limit on the tickets of one team that are outstanding at the dispatcher of one service."""

import collections


class TicketWindow:
    """Queues ticket ids and limits how many are submitted to the dispatcher at a time.

    At most ``limit`` tickets are submitted and not yet assigned a slot. The others wait in the
    entry, so that a flooding team cannot fill the queue of the dispatcher.
    """

    __slots__ = ("limit", "outstanding", "waiting")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.outstanding: set[str] = set()
        self.waiting: collections.OrderedDict[str, None] = collections.OrderedDict()

    def add(self, ticket_id: str, *, front: bool) -> None:
        """Append a ticket, or prepend it if ``front`` is set (after a refused attempt)."""
        self.waiting[ticket_id] = None
        if front:
            self.waiting.move_to_end(ticket_id, last=False)

    def pop_submittable(self) -> list[str]:
        """Return the tickets that may be submitted now, and count them as outstanding."""
        submittable = []
        while self.waiting and len(self.outstanding) < self.limit:
            ticket_id, _ = self.waiting.popitem(last=False)
            self.outstanding.add(ticket_id)
            submittable.append(ticket_id)
        return submittable

    def remove(self, ticket_id: str) -> bool:
        """Remove a ticket. Returns whether it was outstanding at the dispatcher."""
        self.waiting.pop(ticket_id, None)
        if ticket_id not in self.outstanding:
            return False
        self.outstanding.discard(ticket_id)
        return True

    @property
    def empty(self) -> bool:
        """Whether the window has no waiting or outstanding tickets."""
        return not self.outstanding and not self.waiting
