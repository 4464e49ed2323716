"""Tells failing endpoints from sound ones by what their calls show.

Times are seconds of ``clocks.boot_time``.
"""

import math

import msgspec

# Failures count for about this long.
MEMORY_SECONDS = 5.0
# Outcomes that weigh as successes before anything is known.
PRIOR_SUCCESSES = 3.0
# Unreachable endpoints are left alone for this long, doubled with each further failure.
FIRST_PAUSE_SECONDS = 0.5
LONGEST_PAUSE_SECONDS = 3.0
# An endpoint that sheds is full for about this long.
SHED_PAUSE_SECONDS = 0.25
SPEED_WEIGHT = 0.15
SLOWEST_FACTOR = 12.0
# A sound engine's first event is this late now and then: other prompts are read in between, and
# peers' work is known late. Without this tolerance each gateway prefers other engines by chance.
LATENCY_TOLERANCE_SECONDS = 0.1


class EndpointHealth(msgspec.Struct):
    """What is known of one endpoint."""

    successes: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0
    unreachable: int = 0
    paused_until: float = 0.0
    # Measured over expected time to the first event.
    slowness: float = 1.0


class HealthTracker:
    """Records of all endpoints."""

    __slots__ = ("records",)

    def __init__(self) -> None:
        self.records: dict[str, EndpointHealth] = {}

    def get(self, endpoint_id: str, now: float) -> EndpointHealth:
        """Return an endpoint's record, decayed to the present."""
        found = self.records.get(endpoint_id)
        if found is None:
            found = self.records[endpoint_id] = EndpointHealth(updated_at=now)
        factor = math.exp(-max(0.0, now - found.updated_at) / MEMORY_SECONDS)
        found.successes *= factor
        found.failures *= factor
        found.updated_at = now
        return found

    def record_success(self, endpoint_id: str, now: float) -> None:
        """Note a whole answer."""
        record = self.get(endpoint_id, now)
        record.successes += 1
        record.unreachable = 0
        record.paused_until = 0.0

    def record_failure(self, endpoint_id: str, now: float, weight: float = 1.0) -> None:
        """Note a broken or failed answer."""
        self.get(endpoint_id, now).failures += weight

    def record_unreachable(self, endpoint_id: str, now: float) -> float:
        """Note that no connection could be opened; returns the pause in seconds."""
        record = self.get(endpoint_id, now)
        record.failures += 1
        record.unreachable += 1
        pause = FIRST_PAUSE_SECONDS * 2.0 ** min(4, record.unreachable - 1)
        record.paused_until = now + min(LONGEST_PAUSE_SECONDS, pause)
        return min(LONGEST_PAUSE_SECONDS, pause)

    def record_shed(self, endpoint_id: str, now: float) -> None:
        """Note that the endpoint refused a request as full."""
        record = self.get(endpoint_id, now)
        record.paused_until = max(record.paused_until, now + SHED_PAUSE_SECONDS)

    def record_latency(
        self, endpoint_id: str, measured: float, expected: float, now: float
    ) -> None:
        """Note the time to the first event against the expected one, both in seconds."""
        record = self.get(endpoint_id, now)
        ratio = (measured - LATENCY_TOLERANCE_SECONDS) / max(expected, LATENCY_TOLERANCE_SECONDS)
        ratio = min(SLOWEST_FACTOR, max(1.0, ratio))
        record.slowness += SPEED_WEIGHT * (ratio - record.slowness)

    def failure_ratio(self, endpoint_id: str, now: float) -> float:
        """Return the share of failures, between 0 and 1."""
        record = self.get(endpoint_id, now)
        return record.failures / (record.failures + record.successes + PRIOR_SUCCESSES)

    def in_backoff(self, endpoint_id: str, now: float) -> bool:
        """Whether the endpoint gets no requests now."""
        return now < self.get(endpoint_id, now).paused_until

    def remove(self, endpoint_id: str) -> None:
        """Drop an endpoint that is gone."""
        self.records.pop(endpoint_id, None)
