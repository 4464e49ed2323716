"""Limits on the requests and body bytes held by one entry, in total and per team."""

import collections.abc

from masticward import errors, settings

TEAM_SCOPE = "team"
ENTRY_SCOPE = "entry"


class TeamQueueReservations:
    """Waiting requests of one team in order of arrival, and the size of all its bodies."""

    __slots__ = ("body_bytes", "open_reservations", "waiting")

    def __init__(self) -> None:
        self.waiting: dict[str, QueueReservation] = {}
        self.body_bytes = 0
        self.open_reservations = 0


class QueueReservation:
    """The share of the limits that one request uses, from its head to its outcome."""

    __slots__ = ("body_bytes", "queue", "released", "request_id", "team")

    def __init__(self, queue: "EntryQueue", team: str, request_id: str) -> None:
        self.queue = queue
        self.team = team
        self.request_id = request_id
        self.body_bytes = 0
        self.released = False

    def reserve_bytes(self, size: int) -> None:
        """Reserve ``size`` more bytes. Raises QueueFullError."""
        self.queue.reserve_bytes(self, size)

    def enter_queue(self) -> None:
        """Count the request as waiting. Raises QueueFullError."""
        self.queue.enter_queue(self)

    def requeue(self) -> None:
        """Count the request as waiting after a refused attempt, without checking the limits.

        The request was admitted before, and the number of slots in the fleet bounds how many
        requests return to the queue.
        """
        self.queue.add_waiting(self)

    def leave_queue(self) -> None:
        """Stop counting the request as waiting; its body still counts."""
        self.queue.leave_queue(self)

    def release(self) -> None:
        """Release everything that the request uses. Idempotent."""
        self.queue.release(self)


class EntryQueue:
    """Counts requests and bytes against the entry's limits.

    When the entry as a whole is full, a request of a team that uses less than the largest team
    evicts the newest waiting request of that team, so that a few flooding teams cannot lock out the
    others. ``on_evict`` is called with the id of the evicted request.
    """

    __slots__ = ("body_bytes", "limits", "on_evict", "teams", "waiting")

    def __init__(
        self, limits: settings.EntryLimits, on_evict: collections.abc.Callable[[str], None]
    ) -> None:
        self.limits = limits
        self.on_evict = on_evict
        self.teams: dict[str, TeamQueueReservations] = {}
        self.waiting = 0
        self.body_bytes = 0

    def open(self, team: str, request_id: str) -> QueueReservation:
        """Return an empty reservation for a new request."""
        self.teams.setdefault(team, TeamQueueReservations()).open_reservations += 1
        return QueueReservation(self, team, request_id)

    def reserve_bytes(self, reservation: QueueReservation, size: int) -> None:
        """Add bytes to a reservation. Raises QueueFullError, leaving the reservation unchanged."""
        if reservation.released:
            raise errors.QueueFullError(ENTRY_SCOPE, "the request was replaced")
        team = self.teams[reservation.team]
        if team.body_bytes + size > self.limits.team_queue_bytes:
            raise errors.QueueFullError(
                TEAM_SCOPE, f"the team holds {team.body_bytes} bytes of request bodies"
            )
        while self.body_bytes + size > self.limits.queue_bytes:
            if not self.evict_from_largest_team(team.body_bytes + size, by_bytes=True):
                raise errors.QueueFullError(
                    ENTRY_SCOPE, f"the entry holds {self.body_bytes} bytes of request bodies"
                )
        team.body_bytes += size
        self.body_bytes += size
        reservation.body_bytes += size

    def enter_queue(self, reservation: QueueReservation) -> None:
        """Count a request as waiting. Raises QueueFullError, leaving the queue unchanged."""
        if reservation.released:
            raise errors.QueueFullError(ENTRY_SCOPE, "the request was replaced")
        team = self.teams[reservation.team]
        if len(team.waiting) >= self.limits.team_queue_requests:
            raise errors.QueueFullError(
                TEAM_SCOPE, f"the team has {len(team.waiting)} requests waiting"
            )
        if self.waiting >= self.limits.queue_requests and not self.evict_from_largest_team(
            len(team.waiting) + 1, by_bytes=False
        ):
            raise errors.QueueFullError(
                ENTRY_SCOPE, f"the entry has {self.waiting} requests waiting"
            )
        self.add_waiting(reservation)

    def add_waiting(self, reservation: QueueReservation) -> None:
        """Count a request as waiting unless it is counted already. Does not check the limits."""
        team = self.teams.get(reservation.team)
        if (
            not reservation.released
            and team is not None
            and reservation.request_id not in team.waiting
        ):
            team.waiting[reservation.request_id] = reservation
            self.waiting += 1

    def leave_queue(self, reservation: QueueReservation) -> None:
        """Stop counting a request as waiting, if it is."""
        team = self.teams.get(reservation.team)
        if team is not None and team.waiting.pop(reservation.request_id, None) is not None:
            self.waiting -= 1

    def release(self, reservation: QueueReservation) -> None:
        """Release what a reservation uses. Idempotent."""
        if reservation.released:
            return
        self.leave_queue(reservation)
        reservation.released = True
        team = self.teams[reservation.team]
        team.body_bytes -= reservation.body_bytes
        self.body_bytes -= reservation.body_bytes
        team.open_reservations -= 1
        if team.open_reservations == 0:
            del self.teams[reservation.team]

    def evict_from_largest_team(self, size_after: int, *, by_bytes: bool) -> bool:
        """Evict the newest waiting request of the largest team if it is larger than ``size_after``.

        ``size_after`` is the size, in requests or bytes, that the arriving request's team would
        reach. Returns whether a request was evicted.
        """

        def size_of(team: TeamQueueReservations) -> int:
            return team.body_bytes if by_bytes else len(team.waiting)

        candidates = [team for team in self.teams.values() if team.waiting]
        if not candidates:
            return False
        largest = max(candidates, key=size_of)
        if size_of(largest) <= size_after:
            return False
        victim = next(reversed(largest.waiting.values()))
        self.release(victim)
        self.on_evict(victim.request_id)
        return True
