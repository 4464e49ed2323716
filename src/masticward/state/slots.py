"""Slots issued by one agent incarnation."""

from masticward.models import work

SLOT_LIFETIME_SECONDS = 2.0
# Expired slots are kept this long to distinguish a late attempt from one with an unknown slot.
EXPIRED_RETENTION_SECONDS = 2.0


class SlotTable:
    """Issues unique slot ids, each of which can be used once. Times are monotonic seconds."""

    __slots__ = ("deadlines", "next_id")

    def __init__(self) -> None:
        self.next_id = 1
        # By slot id in the order of issue, which is also the order of the deadlines.
        self.deadlines: dict[int, float] = {}

    def issue(self, count: int, now: float) -> tuple[tuple[int, ...], float]:
        """Return ``count`` new slot ids, none if it is negative, and their common deadline."""
        self.drop_expired(now)
        deadline = now + SLOT_LIFETIME_SECONDS
        slot_ids = tuple(range(self.next_id, self.next_id + max(0, count)))
        self.next_id += len(slot_ids)
        for slot_id in slot_ids:
            self.deadlines[slot_id] = deadline
        return slot_ids, deadline

    def check(self, slot_id: int, now: float) -> work.RefusalReason | None:
        """Return why a slot cannot be used; None if it can."""
        deadline = self.deadlines.get(slot_id)
        if deadline is None:
            return work.RefusalReason.SLOT_UNKNOWN
        if now >= deadline:
            return work.RefusalReason.SLOT_EXPIRED
        return None

    def use(self, slot_id: int, now: float) -> work.RefusalReason | None:
        """Use up a slot; return the reason if it cannot be used, else None."""
        refusal = self.check(slot_id, now)
        if refusal is None:
            del self.deadlines[slot_id]
        return refusal

    def age(self, slot_id: int, now: float) -> float | None:
        """Return the seconds since a slot was issued; None if it cannot be used."""
        if self.check(slot_id, now) is not None:
            return None
        return now - (self.deadlines[slot_id] - SLOT_LIFETIME_SECONDS)

    def withdraw(self, slot_id: int) -> None:
        """Invalidate a slot that its dispatcher has discarded."""
        self.deadlines.pop(slot_id, None)

    def count_valid(self, now: float) -> int:
        """Return the number of slots that are neither used nor expired."""
        self.drop_expired(now)
        return sum(1 for deadline in self.deadlines.values() if deadline > now)

    def drop_expired(self, now: float) -> None:
        """Remove slots that expired at least ``EXPIRED_RETENTION_SECONDS`` ago."""
        for slot_id, deadline in list(self.deadlines.items()):
            if deadline + EXPIRED_RETENTION_SECONDS > now:
                return
            del self.deadlines[slot_id]
