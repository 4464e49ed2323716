"""Bounds of the requests that one entry holds, by count and bytes, in total and per team."""

import collections.abc

from masticward import errors, settings

TEAM_SCOPE = "team"
ENTRY_SCOPE = "entry"


class TeamHoldings:
    """What one team holds: its waiting requests in order of arrival and the bytes of all bodies."""

    __slots__ = ("body_bytes", "open_holdings", "waiting")

    def __init__(self) -> None:
        self.waiting: dict[str, Holding] = {}
        self.body_bytes = 0
        self.open_holdings = 0


class Holding:
    """The part of the bounds that one request takes, from its head to its outcome."""

    __slots__ = ("body_bytes", "closed", "queue", "request_id", "team")

    def __init__(self, queue: "EntryQueue", team: str, request_id: str) -> None:
        self.queue = queue
        self.team = team
        self.request_id = request_id
        self.body_bytes = 0
        self.closed = False

    def grow(self, size: int) -> None:
        """Take ``size`` more bytes. Raises QueueFullError."""
        self.queue.grow(self, size)

    def wait(self) -> None:
        """Count as a waiting request. Raises QueueFullError."""
        self.queue.wait(self)

    def wait_again(self) -> None:
        """Count as waiting after a refused attempt, without regard to the bounds.

        The request was admitted before, and the slots of the fleet bound how many come back.
        """
        self.queue.count_waiting(self)

    def stop_waiting(self) -> None:
        """Stop counting as a waiting request; the body still counts."""
        self.queue.stop_waiting(self)

    def close(self) -> None:
        """Give everything back; further calls do nothing."""
        self.queue.close(self)


class EntryQueue:
    """Counts requests and bytes against the entry's limits.

    When the entry as a whole is full, a request of a team that holds less than the largest team
    replaces the newest waiting request of that team, so that a few flooding teams cannot keep the
    others out. ``evict`` is called with the id of the replaced request.
    """

    __slots__ = ("body_bytes", "evict", "limits", "teams", "waiting")

    def __init__(
        self, limits: settings.EntryLimits, evict: collections.abc.Callable[[str], None]
    ) -> None:
        self.limits = limits
        self.evict = evict
        self.teams: dict[str, TeamHoldings] = {}
        self.waiting = 0
        self.body_bytes = 0

    def open(self, team: str, request_id: str) -> Holding:
        """Return the holding of a new request, with nothing in it."""
        self.teams.setdefault(team, TeamHoldings()).open_holdings += 1
        return Holding(self, team, request_id)

    def grow(self, holding: Holding, size: int) -> None:
        """Add bytes to a holding. Raises QueueFullError and then changes nothing."""
        if holding.closed:
            raise errors.QueueFullError(ENTRY_SCOPE, "the request was replaced")
        team = self.teams[holding.team]
        if team.body_bytes + size > self.limits.team_queue_bytes:
            raise errors.QueueFullError(
                TEAM_SCOPE, f"the team holds {team.body_bytes} bytes of request bodies"
            )
        while self.body_bytes + size > self.limits.queue_bytes:
            if not self.evict_for(team.body_bytes + size, by_bytes=True):
                raise errors.QueueFullError(
                    ENTRY_SCOPE, f"the entry holds {self.body_bytes} bytes of request bodies"
                )
        team.body_bytes += size
        self.body_bytes += size
        holding.body_bytes += size

    def wait(self, holding: Holding) -> None:
        """Count a request as waiting. Raises QueueFullError and then changes nothing."""
        if holding.closed:
            raise errors.QueueFullError(ENTRY_SCOPE, "the request was replaced")
        team = self.teams[holding.team]
        if len(team.waiting) >= self.limits.team_queue_requests:
            raise errors.QueueFullError(
                TEAM_SCOPE, f"the team has {len(team.waiting)} requests waiting"
            )
        if self.waiting >= self.limits.queue_requests and not self.evict_for(
            len(team.waiting) + 1, by_bytes=False
        ):
            raise errors.QueueFullError(
                ENTRY_SCOPE, f"the entry has {self.waiting} requests waiting"
            )
        self.count_waiting(holding)

    def count_waiting(self, holding: Holding) -> None:
        """Count a request as waiting, once."""
        team = self.teams.get(holding.team)
        if not holding.closed and team is not None and holding.request_id not in team.waiting:
            team.waiting[holding.request_id] = holding
            self.waiting += 1

    def stop_waiting(self, holding: Holding) -> None:
        """Stop counting a request as waiting."""
        team = self.teams.get(holding.team)
        if team is not None and team.waiting.pop(holding.request_id, None) is not None:
            self.waiting -= 1

    def close(self, holding: Holding) -> None:
        """Give back what a holding takes, once."""
        if holding.closed:
            return
        self.stop_waiting(holding)
        holding.closed = True
        team = self.teams[holding.team]
        team.body_bytes -= holding.body_bytes
        self.body_bytes -= holding.body_bytes
        team.open_holdings -= 1
        if team.open_holdings == 0:
            del self.teams[holding.team]

    def evict_for(self, size_after: int, *, by_bytes: bool) -> bool:
        """Evict the newest waiting request of the largest team if that team stays the larger one.

        ``size_after`` is what the arriving team would hold, in requests or in bytes.
        """

        def size_of(team: TeamHoldings) -> int:
            return team.body_bytes if by_bytes else len(team.waiting)

        candidates = [team for team in self.teams.values() if team.waiting]
        if not candidates:
            return False
        largest = max(candidates, key=size_of)
        if size_of(largest) <= size_after:
            return False
        victim = next(reversed(largest.waiting.values()))
        self.close(victim)
        self.evict(victim.request_id)
        return True
