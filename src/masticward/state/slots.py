"""Slots issued by one agent incarnation."""

from masticward.models import work

SLOT_LIFETIME_SECONDS = 2.0
# An expired slot is remembered this long, to tell a late attempt from one with a foreign slot.
EXPIRED_RETENTION_SECONDS = 2.0


class SlotTable:
    """Issues slot ids, each once, and takes each back at most once. Times are monotonic seconds."""

    __slots__ = ("deadlines", "next_id")

    def __init__(self) -> None:
        self.next_id = 1
        # In the order of issue, which is the order of the deadlines.
        self.deadlines: dict[int, float] = {}

    def issue(self, count: int, now: float) -> tuple[tuple[int, ...], float]:
        """Return ``count`` new slot ids and their common deadline."""
        self.drop_expired(now)
        deadline = now + SLOT_LIFETIME_SECONDS
        slot_ids = tuple(range(self.next_id, self.next_id + max(0, count)))
        self.next_id += len(slot_ids)
        for slot_id in slot_ids:
            self.deadlines[slot_id] = deadline
        return slot_ids, deadline

    def check(self, slot_id: int, now: float) -> work.RefusalReason | None:
        """Tell why a slot cannot be used; None if it can."""
        deadline = self.deadlines.get(slot_id)
        if deadline is None:
            return work.RefusalReason.SLOT_UNKNOWN
        if now >= deadline:
            return work.RefusalReason.SLOT_EXPIRED
        return None

    def use(self, slot_id: int, now: float) -> work.RefusalReason | None:
        """Use a slot up; the reason why it cannot be used, else None."""
        refusal = self.check(slot_id, now)
        if refusal is None:
            del self.deadlines[slot_id]
        return refusal

    def age(self, slot_id: int, now: float) -> float | None:
        """Return the seconds since a valid slot was issued; None if it cannot be used."""
        if self.check(slot_id, now) is not None:
            return None
        return now - (self.deadlines[slot_id] - SLOT_LIFETIME_SECONDS)

    def withdraw(self, slot_id: int) -> None:
        """Withdraw a slot that its dispatcher has discarded; it cannot be used any more."""
        self.deadlines.pop(slot_id, None)

    def count_valid(self, now: float) -> int:
        """Count the slots that are neither used nor expired."""
        self.drop_expired(now)
        return sum(1 for deadline in self.deadlines.values() if deadline > now)

    def drop_expired(self, now: float) -> None:
        """Drop slots whose deadline is longer past than they need to be remembered."""
        for slot_id, deadline in list(self.deadlines.items()):
            if deadline + EXPIRED_RETENTION_SECONDS > now:
                return
            del self.deadlines[slot_id]
