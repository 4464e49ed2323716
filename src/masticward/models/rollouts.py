"""Orders to roll out a version of a service, and what gateways report to each other of them."""

import enum

import msgspec


class RolloutState(enum.Enum):
    """The states of an order, as they are written to the store; the last two are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's order to move a service to the endpoints of the version ``target``.

    ``state`` is None if the stored status is missing or belongs to another target. ``revision`` is
    that of the whole object, so it also changes with the status.
    """

    service: str
    target: str
    duration_seconds: float
    revision: int
    state: RolloutState | None = None


class VersionCounts(msgspec.Struct, array_like=True):
    """Cumulative counts of one version's responses on one route.

    Responses count when they end, times when the first event arrives.
    """

    answers: int = 0
    failures: int = 0
    timed: int = 0
    slow: int = 0

    @property
    def responses(self) -> int:
        """All responses that have ended."""
        return self.answers + self.failures

    def add(self, other: "VersionCounts") -> None:
        """Add the counts of another gateway or route."""
        self.answers += other.answers
        self.failures += other.failures
        self.timed += other.timed
        self.slow += other.slow


class RouteCounts(msgspec.Struct, array_like=True):
    """Counts of one route at the new version and, over the same period, at the old one."""

    new: VersionCounts = msgspec.field(default_factory=VersionCounts)
    old: VersionCounts = msgspec.field(default_factory=VersionCounts)
    # By endpoint of the new version: times and how many of them are slow.
    endpoints: dict[str, tuple[int, int]] = {}

    def add(self, other: "RouteCounts") -> None:
        """Add the counts of another gateway or route."""
        self.new.add(other.new)
        self.old.add(other.old)
        for endpoint_id, (timed, slow) in other.endpoints.items():
            self.add_time(endpoint_id, timed, slow)

    def add_time(self, endpoint_id: str, timed: int, slow: int) -> None:
        """Add times of an endpoint of the new version."""
        known_timed, known_slow = self.endpoints.get(endpoint_id, (0, 0))
        self.endpoints[endpoint_id] = (known_timed + timed, known_slow + slow)

    @property
    def total(self) -> int:
        """Sum of all counts, which never falls."""
        return sum(side.answers + side.failures + side.timed for side in (self.new, self.old))


class RolloutReport(msgspec.Struct, array_like=True, frozen=True):
    """One gateway's evidence on one order.

    ``key`` identifies the order: the revision at which it was written. ``drain_seconds`` is the
    remaining time in which the old endpoints get no new requests although the order is not
    completed; 0 outside of it.
    """

    service: str
    target: str
    key: int
    elapsed_seconds: float
    # Whether the sender has stopped to use the new version.
    stopped: bool
    completed: bool
    drain_seconds: float
    # How long the sender could send all requests to the new version within its allowance.
    affordable_seconds: float
    counts: dict[str, RouteCounts]
