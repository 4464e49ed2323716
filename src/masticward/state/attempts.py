"""Attempt ids that one agent incarnation has accepted."""

import heapq

# A duplicate that was delayed in the network carries a remaining time from before the delay.
RETENTION_AFTER_DEADLINE_SECONDS = 60.0


class AttemptTable:
    """Accepts each attempt id once. Times are monotonic seconds.

    An id is kept until ``RETENTION_AFTER_DEADLINE_SECONDS`` after its deadline, so the size of the
    table is bounded by the rate of attempts and their deadlines. A duplicate that arrives after
    that is refused because its slot has been used.
    """

    __slots__ = ("accepted", "expiries")

    def __init__(self) -> None:
        self.accepted: dict[str, float] = {}
        self.expiries: list[tuple[float, str]] = []

    def is_accepted(self, attempt_id: str) -> bool:
        """Return whether the id has been accepted and is still kept."""
        return attempt_id in self.accepted

    def accept(self, attempt_id: str, deadline: float, now: float) -> bool:
        """Accept an id; return False if it has been accepted before."""
        self.drop_expired(now)
        if attempt_id in self.accepted:
            return False
        expiry = max(deadline, now) + RETENTION_AFTER_DEADLINE_SECONDS
        self.accepted[attempt_id] = expiry
        heapq.heappush(self.expiries, (expiry, attempt_id))
        return True

    def drop_expired(self, now: float) -> None:
        """Remove the ids whose retention has ended."""
        while self.expiries and self.expiries[0][0] <= now:
            del self.accepted[heapq.heappop(self.expiries)[1]]
