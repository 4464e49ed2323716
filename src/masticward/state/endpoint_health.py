"""Health of endpoints, derived from the outcomes and latencies of their requests.

Times are in seconds of ``clocks.boot_time``.
"""

import math

import msgspec

# Time constant of the exponential decay of success and failure counts.
DECAY_SECONDS = 5.0
# Added to the recorded successes, so that one failure of a rarely used endpoint does not give a
# failure ratio of 1.
PRIOR_SUCCESSES = 3.0
# Exponential backoff for unreachable endpoints.
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 3.0
# An endpoint that sheds a request stays full for about this long.
SHED_BACKOFF_SECONDS = 0.25
SLOWNESS_EWMA_WEIGHT = 0.15
MAX_SLOWNESS = 12.0
# A healthy engine's first event is occasionally this late, because other prompts are prefilled in
# between and load updates from peers are delayed. Without this tolerance, random delays would make
# each gateway prefer different engines.
LATENCY_TOLERANCE_SECONDS = 0.1


class EndpointHealth(msgspec.Struct):
    """Decayed outcome counts, backoff and latency of one endpoint."""

    successes: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0
    failed_connects: int = 0
    backoff_until: float = 0.0
    # Smoothed ratio of the measured to the expected time to the first event.
    slowness: float = 1.0


class HealthTracker:
    """Health of all endpoints, by endpoint ID."""

    __slots__ = ("endpoints",)

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointHealth] = {}

    def get(self, endpoint_id: str, now: float) -> EndpointHealth:
        """Return the health of an endpoint, decayed to the time ``now``."""
        health = self.endpoints.get(endpoint_id)
        if health is None:
            health = self.endpoints[endpoint_id] = EndpointHealth(updated_at=now)
        factor = math.exp(-max(0.0, now - health.updated_at) / DECAY_SECONDS)
        health.successes *= factor
        health.failures *= factor
        health.updated_at = now
        return health

    def record_success(self, endpoint_id: str, now: float) -> None:
        """Count a complete response and end the backoff."""
        health = self.get(endpoint_id, now)
        health.successes += 1
        health.failed_connects = 0
        health.backoff_until = 0.0

    def record_failure(self, endpoint_id: str, now: float, weight: float = 1.0) -> None:
        """Count a broken or failed response as ``weight`` failures."""
        self.get(endpoint_id, now).failures += weight

    def record_unreachable(self, endpoint_id: str, now: float) -> float:
        """Count a failed connection attempt; return the backoff in seconds."""
        health = self.get(endpoint_id, now)
        health.failures += 1
        health.failed_connects += 1
        backoff = MIN_BACKOFF_SECONDS * 2.0 ** min(4, health.failed_connects - 1)
        health.backoff_until = now + min(MAX_BACKOFF_SECONDS, backoff)
        return min(MAX_BACKOFF_SECONDS, backoff)

    def record_shed(self, endpoint_id: str, now: float) -> None:
        """Back off for a short time from an endpoint that refused a request because it is full."""
        health = self.get(endpoint_id, now)
        health.backoff_until = max(health.backoff_until, now + SHED_BACKOFF_SECONDS)

    def record_latency(
        self, endpoint_id: str, measured: float, expected: float, now: float
    ) -> None:
        """Record the measured and the expected time to the first event, in seconds."""
        health = self.get(endpoint_id, now)
        ratio = (measured - LATENCY_TOLERANCE_SECONDS) / max(expected, LATENCY_TOLERANCE_SECONDS)
        ratio = min(MAX_SLOWNESS, max(1.0, ratio))
        health.slowness += SLOWNESS_EWMA_WEIGHT * (ratio - health.slowness)

    def slowness(self, endpoint_id: str) -> float:
        """Return the smoothed ratio of the measured to the expected time to the first event."""
        health = self.endpoints.get(endpoint_id)
        return 1.0 if health is None else health.slowness

    def failure_ratio(self, endpoint_id: str, now: float) -> float:
        """Return the fraction of failed requests, from 0 to 1."""
        health = self.endpoints.get(endpoint_id)
        if health is None or health.failures == 0.0:
            return 0.0
        health = self.get(endpoint_id, now)
        return health.failures / (health.failures + health.successes + PRIOR_SUCCESSES)

    def in_backoff(self, endpoint_id: str, now: float) -> bool:
        """Return whether the endpoint must not be sent requests now."""
        health = self.endpoints.get(endpoint_id)
        return health is not None and now < health.backoff_until

    def remove(self, endpoint_id: str) -> None:
        """Remove the state of an endpoint that is gone."""
        self.endpoints.pop(endpoint_id, None)
