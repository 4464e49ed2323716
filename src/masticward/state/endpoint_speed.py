"""How long work takes on each endpoint, from the figures in its answers and from measured times.

Some endpoints report in the head of each answer how long work currently takes on their machine, in
percent of the normal time. The figure is the endpoint's long-run speed times a slowness that lasts
for moments. Both are kept apart: the base is a median over time, the latest figure is valid for a
moment only. Times are in seconds of ``clocks.boot_time``.
"""

import collections
import collections.abc
import random

import msgspec

from masticward.utils import clocks

NORMAL_PERCENT = 100.0
# Larger or smaller figures are ignored as invalid.
MIN_PERCENT = 1.0
MAX_PERCENT = 100_000.0
MIN_TIME_FACTOR = 0.25
MAX_TIME_FACTOR = 12.0
# The latest figure counts in full up to the first age and not at all from the second one on.
# Moments of slowness last about 0.6 s.
FRESH_SECONDS = 0.3
STALE_SECONDS = 0.9
# The base is the median of one figure in each of these intervals, so that it does not depend on how
# many answers an endpoint gives. A moment of slowness covers two of them at most.
INTERVAL_SECONDS = 0.5
MAX_INTERVALS = 20
MAX_BASE_AGE_SECONDS = 30.0
# With fewer intervals, the median includes normal figures, and the base of a peer is preferred.
MIN_INTERVALS = 5
PRIOR_INTERVALS = 2
# Relative changes of a figure that peers and logs are told of.
NOTABLE_CHANGE = 0.2
# A figure that differs from the base is sent again at this interval while it lasts.
MOMENT_RESEND_SECONDS = FRESH_SECONDS
# A base other than normal is sent again after this time by any gateway, for peers that have missed
# it. Each adds a random part of it, so that not all do at once.
BASE_RESEND_SECONDS = 2.0
# Figures in one message to the peers.
MAX_REPORTED = 64
# An endpoint is taken to be faster than it reports if three quarters of this many first events came
# within half of the expected time. Single events come early because prompts were cached.
MAX_FIRST_EVENTS = 24
FASTER_RATIO = 0.5
FIRST_EVENT_QUANTILE = 0.75
MIN_EXPECTED_SECONDS = 0.05
GAP_EWMA_WEIGHT = 0.1
MAX_GAP_AGE_SECONDS = 5.0

# Of one endpoint: latest percentage, its age in milliseconds, and the base; 0 if it is unknown.
Evidence = tuple[int, int, int]


def differs(first: float, second: float) -> bool:
    """Return whether two percentages differ notably."""
    return abs(first - second) > NOTABLE_CHANGE * min(first, second)


class EndpointSpeed(msgspec.Struct):
    """What is known of the speed of one endpoint incarnation. Figures are in percent."""

    latest: float = NORMAL_PERCENT
    latest_at: float = -1e9
    # The latest figure that this process itself has received.
    own_latest: float = NORMAL_PERCENT
    own_at: float = -1e9
    # The last figure of each interval: number of the interval and percentage.
    intervals: collections.deque[tuple[int, float]] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=MAX_INTERVALS)
    )
    own_base: float = NORMAL_PERCENT
    peer_base: float = NORMAL_PERCENT
    peer_base_at: float = -1e9
    # What the gateways have told each other last, and when.
    shared: float = NORMAL_PERCENT
    shared_at: float = -1e9
    shared_base: float = NORMAL_PERCENT
    shared_base_at: float = -1e9
    logged_base: float = NORMAL_PERCENT
    # Measured over expected times to first events, where the expectation includes the figure.
    first_event_ratios: collections.deque[float] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=MAX_FIRST_EVENTS)
    )
    # Factor by which the endpoint is faster than it reports; 1 normally.
    correction: float = 1.0
    gap_seconds: float = 0.0
    gap_at: float = -1e9

    def base(self, now: float) -> float:
        """Return the long-run percentage."""
        if len(self.intervals) < MIN_INTERVALS and self.knows_peer_base(now):
            return self.peer_base
        if now - self.own_at <= MAX_BASE_AGE_SECONDS:
            return self.own_base
        return self.peer_base if self.knows_peer_base(now) else NORMAL_PERCENT

    def knows_peer_base(self, now: float) -> bool:
        """Return whether a peer has reported a base recently."""
        return now - self.peer_base_at <= MAX_BASE_AGE_SECONDS

    def record_interval(self, percent: float, now: float) -> None:
        """Add an own figure to the median of the intervals."""
        number = int(now // INTERVAL_SECONDS)
        oldest = number - MAX_BASE_AGE_SECONDS / INTERVAL_SECONDS
        while self.intervals and self.intervals[0][0] < oldest:
            self.intervals.popleft()
        if self.intervals and self.intervals[-1][0] >= number:
            self.intervals.pop()
        self.intervals.append((number, percent))
        percents = [item for _, item in self.intervals]
        if len(percents) < MIN_INTERVALS:
            percents += [NORMAL_PERCENT] * PRIOR_INTERVALS
        percents.sort()
        # The lower of the two middle values: moments make work slower, never faster.
        self.own_base = percents[(len(percents) - 1) // 2]

    def build_evidence(self, now: float, resend_seconds: float) -> Evidence | None:
        """Return what the peers should be told of own figures; None if they know it."""
        known = self.shared if now - self.shared_at <= MOMENT_RESEND_SECONDS else self.shared_base
        is_news = now - self.own_at < STALE_SECONDS and differs(self.own_latest, known)
        knows_base = len(self.intervals) >= MIN_INTERVALS
        if knows_base and not is_news:
            is_news = differs(self.own_base, self.shared_base) or (
                differs(self.own_base, NORMAL_PERCENT)
                and now - self.shared_base_at > resend_seconds
            )
        if not is_news or self.own_at <= self.shared_at:
            return None
        self.shared, self.shared_at = self.own_latest, self.own_at
        if knows_base:
            self.shared_base, self.shared_base_at = self.own_base, now
        age_ms = int(max(0.0, now - self.own_at) * clocks.MILLISECONDS_PER_SECOND)
        return round(self.own_latest), age_ms, round(self.own_base) if knows_base else 0

    def percent(self, now: float) -> float:
        """Return the present percentage: the latest figure, then moving to the base."""
        age_seconds = max(0.0, now - self.latest_at)
        if age_seconds <= FRESH_SECONDS:
            return self.latest
        base = self.base(now)
        if age_seconds >= STALE_SECONDS:
            return base
        weight = (STALE_SECONDS - age_seconds) / (STALE_SECONDS - FRESH_SECONDS)
        return weight * self.latest + (1.0 - weight) * base

    def record_ratio(self, ratio: float) -> None:
        """Record a measured over an expected time to the first event."""
        # The expectation includes a correction that is in force.
        self.first_event_ratios.append(ratio * self.correction)
        if len(self.first_event_ratios) < MAX_FIRST_EVENTS:
            return
        upper = sorted(self.first_event_ratios)[int(FIRST_EVENT_QUANTILE * MAX_FIRST_EVENTS)]
        self.correction = upper if upper < FASTER_RATIO else 1.0


class SpeedTable:
    """Speeds of all endpoints that have reported a figure, by endpoint ID."""

    __slots__ = (
        "base_resend_seconds",
        "endpoints",
        "reports",
        "reset_at",
        "services",
        "unsent_ids",
    )

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointSpeed] = {}
        # A generator of its own leaves the sequence that placement draws from as it is.
        self.base_resend_seconds = BASE_RESEND_SECONDS * (1.0 + random.Random().random())
        # Services of which an endpoint has reported a figure since this process began.
        self.services: set[str] = set()
        # When an endpoint's earlier incarnation was dropped; older figures are not its own.
        self.reset_at: dict[str, float] = {}
        # Figures received in answers.
        self.reports = 0
        # Endpoints with a figure since the last message to the peers.
        self.unsent_ids: set[str] = set()

    def is_reported(self, service: str) -> bool:
        """Return whether an endpoint of a service has reported how long work takes."""
        return service in self.services

    def time_factor(self, endpoint_id: str, now: float) -> float:
        """Return how long work takes at an endpoint as a multiple of normal; 1 if unknown."""
        speed = self.endpoints.get(endpoint_id)
        if speed is None:
            return 1.0
        factor = speed.percent(now) / NORMAL_PERCENT * speed.correction
        return min(MAX_TIME_FACTOR, max(MIN_TIME_FACTOR, factor))

    def time_factors(self, now: float) -> list[float]:
        """Return the factors of all endpoints that reported; one of 1 if there are none."""
        return [self.time_factor(item, now) for item in self.endpoints] or [1.0]

    def event_gap(self, endpoint_id: str, now: float) -> float | None:
        """Return the recent seconds between events of running streams, None if unknown."""
        speed = self.endpoints.get(endpoint_id)
        if speed is None or now - speed.gap_at > MAX_GAP_AGE_SECONDS:
            return None
        return speed.gap_seconds

    def record_reported(
        self, endpoint_id: str, percent: float, now: float, service: str | None = None
    ) -> bool:
        """Record the percentage of normal time that an answer of an endpoint states.

        Return whether the base has changed notably since this was last returned.
        """
        if not MIN_PERCENT <= percent <= MAX_PERCENT:
            return False
        if service is not None:
            self.services.add(service)
        self.reports += 1
        speed = self.endpoints.setdefault(endpoint_id, EndpointSpeed())
        speed.own_latest, speed.own_at = percent, now
        if now >= speed.latest_at:
            speed.latest, speed.latest_at = percent, now
        speed.record_interval(percent, now)
        self.unsent_ids.add(endpoint_id)
        if len(speed.intervals) < MIN_INTERVALS or not differs(speed.own_base, speed.logged_base):
            return False
        speed.logged_base = speed.own_base
        return True

    def pop_evidence(self, now: float) -> dict[str, Evidence]:
        """Return what the peers should be told of the figures since the last call.

        A figure is left out if it is as the peers expect it: because one of the gateways has told
        the others, or because nothing differs from normal.
        """
        evidence: dict[str, Evidence] = {}
        for endpoint_id in list(self.unsent_ids):
            if len(evidence) >= MAX_REPORTED:
                break
            self.unsent_ids.discard(endpoint_id)
            speed = self.endpoints.get(endpoint_id)
            item = None if speed is None else speed.build_evidence(now, self.base_resend_seconds)
            if item is not None:
                evidence[endpoint_id] = item
        return evidence

    def record_first_event(
        self, endpoint_id: str, measured: float, expected: float, now: float
    ) -> None:
        """Record the measured seconds to a first event and those expected from the figures."""
        speed = self.endpoints.get(endpoint_id)
        if speed is not None and expected >= MIN_EXPECTED_SECONDS:
            speed.record_ratio(measured / expected)

    def record_gap(self, endpoint_id: str, seconds: float, now: float) -> None:
        """Record the seconds between two events of a stream."""
        speed = self.endpoints.get(endpoint_id)
        if speed is None:
            return
        weight = GAP_EWMA_WEIGHT if now - speed.gap_at <= MAX_GAP_AGE_SECONDS else 1.0
        speed.gap_seconds += weight * (seconds - speed.gap_seconds)
        speed.gap_at = now

    def merge(
        self, endpoint_id: str, evidence: Evidence, now: float, service: str | None = None
    ) -> None:
        """Record what a peer reports of an endpoint; invalid and outdated figures are ignored."""
        percent, age_ms, base = evidence
        reported_at = now - max(0, age_ms) / clocks.MILLISECONDS_PER_SECOND
        if (
            not MIN_PERCENT <= percent <= MAX_PERCENT
            or reported_at < self.reset_at.get(endpoint_id, reported_at)
            or now - reported_at > MAX_BASE_AGE_SECONDS
        ):
            return
        if service is not None:
            self.services.add(service)
        speed = self.endpoints.setdefault(endpoint_id, EndpointSpeed())
        if reported_at > speed.latest_at:
            speed.latest, speed.latest_at = percent, reported_at
        if reported_at > speed.shared_at:
            speed.shared, speed.shared_at = percent, reported_at
        if MIN_PERCENT <= base <= MAX_PERCENT:
            speed.peer_base, speed.peer_base_at = base, reported_at
            speed.shared_base, speed.shared_base_at = base, reported_at

    def remove(self, endpoint_id: str, now: float = 0.0) -> None:
        """Remove the state of an incarnation that is gone at the time ``now``."""
        self.endpoints.pop(endpoint_id, None)
        oldest = now - MAX_BASE_AGE_SECONDS
        self.reset_at = {name: at for name, at in self.reset_at.items() if at > oldest}
        self.reset_at[endpoint_id] = now
