"""Judges a new version of a service by its responses, compared with the old version's.

docs/design/rollouts.md derives the constants.
"""

import collections
import enum
import math
import statistics

import msgspec

from masticward.models import rollouts

# Standard deviations by which the new version has to exceed the old one. The test is repeated with
# each response and on each route, so that 2 or 3 would condemn good versions.
DEVIATIONS = 3.5
# For the latest responses, which are few and judged again and again.
RECENT_DEVIATIONS = 4.5
MIN_FAILURES = 5
# Failure ratio that an old version without failures is taken to have.
MIN_FAILURE_RATIO = 0.01
MIN_OLD_RESPONSES = 30
MIN_SLOW = 8
MIN_SLOW_RATIO = 0.05
# Slow responses come in bursts, because a machine slows all requests that it runs at the time.
SLOW_VARIANCE_FACTOR = 4.0
# At the end of an order with few responses, a ratio this far above the old one is enough.
FINAL_EXCESS_RATIO = 0.3
MIN_FINAL_FAILURES = 3
MIN_FINAL_SLOW = 5
# With only this many failures, nearly all responses must be.
MIN_FEW_FAILURES = 2
FEW_RATIO = 0.8
# A slow machine slows one endpoint: the others have to be slow, too, though less certainly.
MIN_SLOW_ELSEWHERE = 3
DEVIATIONS_ELSEWHERE = 1.5
# The latest responses are also judged by themselves, because a version may turn bad late.
STEP_SECONDS = 0.5
# Failures of the new version are reported at once, those of the old one with the next report, so
# that a fault of both seems to be one of the new version at first. Meanwhile it gets no requests.
CONFIRMATION_SECONDS = 0.3
WINDOW_STEPS = 8
# Fewer responses of the old version don't show that it does worse than usual.
MIN_STEP_RESPONSES = 10
ALL_ROUTES = ""
# Times above this multiple of the old version's median are slow. Machines differ by up to 2.5.
SLOW_FACTOR = 3.0
# Differences below this are due to the scheduling of processes.
MIN_SLOW_SECONDS = 0.02
REFERENCE_TIMES = 64
MIN_REFERENCE_TIMES = 4


class Verdict(enum.Enum):
    """What the evidence says of the new version."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


class TimeReference:
    """Recent times of the old version on one route, relative to the expected ones."""

    __slots__ = ("early", "median", "times")

    def __init__(self) -> None:
        self.times: collections.deque[float] = collections.deque(maxlen=REFERENCE_TIMES)
        self.median = math.inf
        # Times that are judged as soon as there are enough to compare with: the endpoint, whether
        # it has the new version, the seconds and the expected ones.
        self.early: list[tuple[str, bool, float, float]] = []

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


class Expected(msgspec.Struct):
    """Failures and slow responses of the new version beyond the old one's usual ratio.

    They are expected while the old version does worse than usual, as all endpoints of a zone may.
    """

    failures: float = 0.0
    slow: float = 0.0

    def add_step(self, step: rollouts.RouteCounts, total: rollouts.RouteCounts) -> "Expected":
        """Return the sum with what a short time, in which ``step`` was counted, adds."""
        return Expected(
            self.failures
            + excess(
                step.new.responses,
                step.old.failures,
                step.old.responses,
                total.old.failures,
                total.old.responses,
            ),
            self.slow
            + excess(
                step.new.timed, step.old.slow, step.old.timed, total.old.slow, total.old.timed
            ),
        )

    def since(self, earlier: "Expected | None") -> "Expected":
        """Return what was added since an earlier time."""
        if earlier is None:
            return self
        return Expected(self.failures - earlier.failures, self.slow - earlier.slow)


def excess(new_total: int, step_count: int, step_total: int, count: int, total: int) -> float:
    """Return what the new version is expected to have beyond the old one's usual ratio."""
    if step_total < MIN_STEP_RESPONSES:
        return 0.0
    return new_total * max(0.0, step_count / step_total - count / max(1, total))


class Comparison(msgspec.Struct):
    """Counts of a route, or of all, with what is expected and the strictness of the test."""

    counts: rollouts.RouteCounts
    expected: Expected
    deviations: float
    # Whether there are other endpoints of the new version than the slowest one.
    several_endpoints: bool

    def is_bad(self) -> bool:
        """Return whether the new version certainly fails more often or is slower."""
        new, old = self.counts.new, self.counts.old
        return exceeds(
            new.failures,
            new.responses,
            old.failures,
            old.responses,
            self.expected.failures,
            MIN_FAILURES,
            MIN_FAILURE_RATIO,
            1.0,
            self.deviations,
        ) or (
            exceeds(
                new.slow,
                new.timed,
                old.slow,
                old.timed,
                self.expected.slow,
                MIN_SLOW,
                MIN_SLOW_RATIO,
                SLOW_VARIANCE_FACTOR,
                self.deviations,
            )
            and self.is_slow_elsewhere()
        )

    def is_slow_elsewhere(self) -> bool:
        """Return whether the version is also slow without its slowest endpoint's machine."""
        if not self.several_endpoints:
            return True
        new, old = self.counts.new, self.counts.old
        timed, slow = max(self.counts.endpoints.values(), key=lambda item: item[1], default=(0, 0))
        return exceeds(
            new.slow - slow,
            new.timed - timed,
            old.slow,
            old.timed,
            self.expected.slow * (new.timed - timed) / max(1, new.timed),
            MIN_SLOW_ELSEWHERE,
            MIN_SLOW_RATIO,
            1.0,
            DEVIATIONS_ELSEWHERE,
        )


def exceeds(
    new_count: int,
    new_total: int,
    old_count: int,
    old_total: int,
    expected_beyond: float,
    min_count: int,
    min_ratio: float,
    variance_factor: float,
    deviations: float,
) -> bool:
    """Return whether the new version's ratio is certainly above the old version's."""
    if new_count < min_count:
        return False
    # A few responses of the old version without a failure don't show that it has none.
    smoothed_ratio = (old_count + 1) / (old_total + MIN_OLD_RESPONSES)
    old_ratio = max(min_ratio, smoothed_ratio)
    expected = min(1.0, old_ratio) * new_total + expected_beyond
    return new_count > expected + deviations * math.sqrt(variance_factor * (expected + 1.0))


def difference(
    counts: rollouts.RouteCounts, earlier: rollouts.RouteCounts | None
) -> rollouts.RouteCounts:
    """Return what was counted since an earlier time."""
    if earlier is None:
        return counts

    def subtract(
        side: rollouts.VersionCounts, before: rollouts.VersionCounts
    ) -> rollouts.VersionCounts:
        return rollouts.VersionCounts(
            side.answers - before.answers,
            side.failures - before.failures,
            side.timed - before.timed,
            side.slow - before.slow,
        )

    result = rollouts.RouteCounts(
        subtract(counts.new, earlier.new), subtract(counts.old, earlier.old)
    )
    for endpoint_id, (timed, slow) in counts.endpoints.items():
        known_timed, known_slow = earlier.endpoints.get(endpoint_id, (0, 0))
        result.endpoints[endpoint_id] = (timed - known_timed, slow - known_slow)
    return result


def sum_routes(by_route: dict[str, rollouts.RouteCounts]) -> dict[str, rollouts.RouteCounts]:
    """Return the counts with the sum of all routes as another one, ``ALL_ROUTES``."""
    total = rollouts.RouteCounts()
    for counts in by_route.values():
        total.add(counts)
    return {**by_route, ALL_ROUTES: total}


class Judge:
    """Compares the versions in total and over the latest seconds."""

    __slots__ = ("beyond", "history", "stepped_at", "suspected_since")

    def __init__(self, now: float) -> None:
        # By route: what was expected beyond the usual ratio up to the latest step.
        self.beyond: dict[str, Expected] = {}
        # Counts and expectations at the latest steps, the oldest first.
        self.history: collections.deque[
            tuple[dict[str, rollouts.RouteCounts], dict[str, Expected]]
        ] = collections.deque(maxlen=WINDOW_STEPS)
        self.stepped_at = now
        # Since when the counts speak against the version; None while they don't.
        self.suspected_since: float | None = None

    def judge(
        self,
        by_route: dict[str, rollouts.RouteCounts],
        several_endpoints: bool,
        is_final: bool,
        now: float,
    ) -> Verdict:
        """Return the verdict on cumulative counts; ``is_final`` asks for one with what there is."""
        counted = sum_routes(by_route)
        earlier, earlier_beyond = self.history[0] if self.history else ({}, {})
        latest = self.history[-1][0] if self.history else {}
        beyond = {
            route: self.beyond.get(route, Expected()).add_step(
                difference(counts, latest.get(route)), counts
            )
            for route, counts in counted.items()
        }
        is_bad = is_finally = False
        for route, counts in counted.items():
            total = Comparison(counts, beyond[route], DEVIATIONS, several_endpoints)
            recent = Comparison(
                difference(counts, earlier.get(route)),
                beyond[route].since(earlier_beyond.get(route)),
                RECENT_DEVIATIONS,
                several_endpoints,
            )
            is_bad |= total.is_bad() or recent.is_bad()
            is_finally |= is_final and is_finally_bad(total, route == ALL_ROUTES)
        if now - self.stepped_at >= STEP_SECONDS:
            self.stepped_at = now
            self.beyond = beyond
            self.history.append((counted, beyond))
        if not is_bad:
            self.suspected_since = None
        elif self.suspected_since is None:
            self.suspected_since = now
        if is_finally:
            return Verdict.BAD
        if self.suspected_since is not None:
            is_confirmed = now - self.suspected_since >= CONFIRMATION_SECONDS
            return Verdict.BAD if is_confirmed else Verdict.UNDECIDED
        return Verdict.GOOD if is_final else Verdict.UNDECIDED


def is_finally_bad(comparison: Comparison, is_total: bool) -> bool:
    """Return whether few responses, after which no more will come, speak against the version."""
    new, old = comparison.counts.new, comparison.counts.old
    nearly_all_fail = (
        new.failures >= max(MIN_FEW_FAILURES, FEW_RATIO * new.responses)
        and old.failures <= 0.5 * old.responses
    )
    if is_total and nearly_all_fail:
        return True

    def is_above(new_count: int, new_total: int, old_count: int, old_total: int) -> bool:
        old_ratio = old_count / old_total if old_total else 0.0
        return new_count > (old_ratio + FINAL_EXCESS_RATIO) * new_total

    return (
        new.failures >= MIN_FINAL_FAILURES
        and is_above(new.failures, new.responses, old.failures, old.responses)
    ) or (
        new.slow >= MIN_FINAL_SLOW
        and is_above(new.slow, new.timed, old.slow, old.timed)
        and comparison.is_slow_elsewhere()
    )
