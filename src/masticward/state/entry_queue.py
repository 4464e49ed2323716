"""Bounds of the requests that one entry holds, by count and bytes, in total and per team."""

import collections.abc

from masticward import errors, settings

TEAM_SCOPE = "team"
ENTRY_SCOPE = "entry"


class TeamReservations:
    """What one team holds: its waiting requests in order of arrival and the bytes of all bodies."""

    __slots__ = ("body_bytes", "open_reservations", "waiting")

    def __init__(self) -> None:
        self.waiting: dict[str, Reservation] = {}
        self.body_bytes = 0
        self.open_reservations = 0


class Reservation:
    """The part of the bounds that one request takes, from its head to its outcome."""

    __slots__ = ("body_bytes", "queue", "released", "request_id", "team")

    def __init__(self, queue: "EntryQueue", team: str, request_id: str) -> None:
        self.queue = queue
        self.team = team
        self.request_id = request_id
        self.body_bytes = 0
        self.released = False

    def reserve_bytes(self, size: int) -> None:
        """Take ``size`` more bytes. Raises QueueFullError."""
        self.queue.reserve_bytes(self, size)

    def enter_queue(self) -> None:
        """Count as a waiting request. Raises QueueFullError."""
        self.queue.enter_queue(self)

    def requeue(self) -> None:
        """Count as waiting after a refused attempt, without regard to the bounds.

        The request was admitted before, and the slots of the fleet bound how many come back.
        """
        self.queue.add_waiting(self)

    def leave_queue(self) -> None:
        """Stop counting as a waiting request; the body still counts."""
        self.queue.leave_queue(self)

    def release(self) -> None:
        """Give everything back; further calls do nothing."""
        self.queue.release(self)


class EntryQueue:
    """Counts requests and bytes against the entry's limits.

    When the entry as a whole is full, a request of a team that holds less than the largest team
    replaces the newest waiting request of that team, so that a few flooding teams cannot keep the
    others out. ``on_evict`` is called with the id of the replaced request.
    """

    __slots__ = ("body_bytes", "limits", "on_evict", "teams", "waiting")

    def __init__(
        self, limits: settings.EntryLimits, on_evict: collections.abc.Callable[[str], None]
    ) -> None:
        self.limits = limits
        self.on_evict = on_evict
        self.teams: dict[str, TeamReservations] = {}
        self.waiting = 0
        self.body_bytes = 0

    def open(self, team: str, request_id: str) -> Reservation:
        """Return the reservation of a new request, with nothing in it."""
        self.teams.setdefault(team, TeamReservations()).open_reservations += 1
        return Reservation(self, team, request_id)

    def reserve_bytes(self, reservation: Reservation, size: int) -> None:
        """Add bytes to a reservation. Raises QueueFullError and then changes nothing."""
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

    def enter_queue(self, reservation: Reservation) -> None:
        """Count a request as waiting. Raises QueueFullError and then changes nothing."""
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

    def add_waiting(self, reservation: Reservation) -> None:
        """Count a request as waiting, once."""
        team = self.teams.get(reservation.team)
        if (
            not reservation.released
            and team is not None
            and reservation.request_id not in team.waiting
        ):
            team.waiting[reservation.request_id] = reservation
            self.waiting += 1

    def leave_queue(self, reservation: Reservation) -> None:
        """Stop counting a request as waiting."""
        team = self.teams.get(reservation.team)
        if team is not None and team.waiting.pop(reservation.request_id, None) is not None:
            self.waiting -= 1

    def release(self, reservation: Reservation) -> None:
        """Give back what a reservation takes, once."""
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
        """Evict the newest waiting request of the largest team if that team stays the larger one.

        ``size_after`` is what the arriving team would hold, in requests or in bytes.
        """

        def size_of(team: TeamReservations) -> int:
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
