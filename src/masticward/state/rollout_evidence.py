"""Judges a new version of a service by its responses, compared with the old version's.

docs/design/rollouts.md derives the constants.
"""

import collections
import collections.abc
import enum
import math
import statistics

from masticward.models import rollouts

# Standard deviations by which the new version has to exceed the old one. The test is repeated with
# each response and on each route, so that 2 or 3 would condemn good versions.
DEVIATIONS = 3.5
# For the latest responses, which are few and judged again and again.
RECENT_DEVIATIONS = 4.5
MIN_FAILURES = 5
# Failure ratio that an old version without failures is taken to have.
MIN_FAILURE_RATIO = 0.01
MIN_SLOW = 8
MIN_SLOW_RATIO = 0.05
# Slow responses come in bursts, because a machine slows all requests that it runs at the time.
SLOW_VARIANCE_FACTOR = 4.0
# At the end of an order with few responses, a ratio this far above the old one is enough.
FINAL_EXCESS_RATIO = 0.3
MIN_FINAL_FAILURES = 2
MIN_FINAL_SLOW = 4
# Times above this multiple of the old version's median are slow. Machines differ by up to 2.5.
SLOW_FACTOR = 3.0
# Differences below this are due to the scheduling of processes.
MIN_SLOW_SECONDS = 0.02
REFERENCE_TIMES = 64
MIN_REFERENCE_TIMES = 8
# Failures of connections of one endpoint within this time may have one cause, such as a crash.
INCIDENT_SECONDS = 1.0


class Verdict(enum.Enum):
    """What the evidence says of the new version."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


class TimeReference:
    """Recent times of the old version on one route, relative to the expected ones."""

    __slots__ = ("median", "times")

    def __init__(self) -> None:
        self.times: collections.deque[float] = collections.deque(maxlen=REFERENCE_TIMES)
        self.median = math.inf

    def record(self, ratio: float) -> None:
        """Record a time of the old version."""
        self.times.append(ratio)
        if len(self.times) >= MIN_REFERENCE_TIMES:
            self.median = statistics.median(self.times)

    def is_slow(self, seconds: float, expected_seconds: float) -> bool:
        """Return whether a time is several times the old version's."""
        usual_seconds = self.median * expected_seconds
        return seconds > SLOW_FACTOR * usual_seconds and seconds > usual_seconds + MIN_SLOW_SECONDS

    @property
    def known(self) -> bool:
        """Whether there are enough times to compare with."""
        return self.median < math.inf


def ratio_exceeds(
    new_count: int,
    new_total: int,
    old_count: int,
    old_total: int,
    min_count: int,
    min_ratio: float,
    variance_factor: float,
    deviations: float,
) -> bool:
    """Return whether the new version's ratio is certainly above the old version's."""
    if new_count < min_count:
        return False
    old_ratio = max(min_ratio, old_count / old_total if old_total else 0.0)
    expected = min(1.0, old_ratio) * new_total
    return new_count > expected + deviations * math.sqrt(variance_factor * (expected + 1.0))


def is_bad(counts: rollouts.RouteCounts, deviations: float = DEVIATIONS) -> bool:
    """Return whether the new version certainly fails more often or is slower."""
    new, old = counts.new, counts.old
    return ratio_exceeds(
        new.failures,
        new.answers + new.failures,
        old.failures,
        old.answers + old.failures,
        MIN_FAILURES,
        MIN_FAILURE_RATIO,
        1.0,
        deviations,
    ) or ratio_exceeds(
        new.slow,
        new.timed,
        old.slow,
        old.timed,
        MIN_SLOW,
        MIN_SLOW_RATIO,
        SLOW_VARIANCE_FACTOR,
        deviations,
    )


def difference(
    counts: rollouts.RouteCounts, earlier: rollouts.RouteCounts | None
) -> rollouts.RouteCounts:
    """Return what was counted since an earlier time; nothing if it was not counted then."""
    if earlier is None:
        return rollouts.RouteCounts()

    def subtract(
        side: rollouts.VersionCounts, before: rollouts.VersionCounts
    ) -> rollouts.VersionCounts:
        return rollouts.VersionCounts(
            side.answers - before.answers,
            side.failures - before.failures,
            side.timed - before.timed,
            side.slow - before.slow,
        )

    return rollouts.RouteCounts(
        subtract(counts.new, earlier.new), subtract(counts.old, earlier.old)
    )


def is_recently_bad(by_route: list[rollouts.RouteCounts]) -> bool:
    """Return whether the latest responses show that the new version is bad."""
    total = rollouts.RouteCounts()
    for counts in by_route:
        total.add(counts)
    return any(is_bad(counts, RECENT_DEVIATIONS) for counts in (*by_route, total))


def is_finally_bad(counts: rollouts.RouteCounts) -> bool:
    """Return whether few responses, after which no more will come, speak against the version."""
    new, old = counts.new, counts.old

    def exceeds(new_count: int, new_total: int, old_count: int, old_total: int) -> bool:
        old_ratio = old_count / old_total if old_total else 0.0
        return new_count > (old_ratio + FINAL_EXCESS_RATIO) * new_total

    return (
        new.failures >= MIN_FINAL_FAILURES
        and exceeds(
            new.failures,
            new.answers + new.failures,
            old.failures,
            old.answers + old.failures,
        )
    ) or (new.slow >= MIN_FINAL_SLOW and exceeds(new.slow, new.timed, old.slow, old.timed))


def judge(by_route: collections.abc.Iterable[rollouts.RouteCounts], is_final: bool) -> Verdict:
    """Return the verdict on counts by route; ``is_final`` asks for one with what there is."""
    total = rollouts.RouteCounts()
    judged = list(by_route)
    for counts in judged:
        total.add(counts)
    judged.append(total)
    if any(is_bad(counts) or (is_final and is_finally_bad(counts)) for counts in judged):
        return Verdict.BAD
    return Verdict.GOOD if is_final else Verdict.UNDECIDED
