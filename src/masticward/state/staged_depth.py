"""How many slots an agent offers ahead of its limit for short calls."""

import math

HOPS_AHEAD = 3.0
MAXIMUM_LIMITS_AHEAD = 4
LONGEST_SHORT_CALL_SECONDS = 0.25
SMOOTHING = 0.1


class StagedDepth:
    """Derives the staged depth from measured times, both smoothed and in seconds."""

    __slots__ = ("hop_seconds", "service_seconds")

    def __init__(self) -> None:
        self.hop_seconds: float | None = None
        self.service_seconds: float | None = None

    def note_hop_time(self, seconds: float) -> None:
        """Record a one-way time to the dispatcher."""
        self.hop_seconds = smooth(self.hop_seconds, seconds)

    def note_service_time(self, seconds: float) -> None:
        """Record the time that one call spent at the endpoint."""
        self.service_seconds = smooth(self.service_seconds, seconds)

    def depth(self, limit: int) -> int:
        """Return the slots to offer ahead; 0 while a time is unknown or calls are long."""
        if not self.hop_seconds or not self.service_seconds:
            return 0
        if self.service_seconds > LONGEST_SHORT_CALL_SECONDS:
            return 0
        ahead = math.ceil(limit * HOPS_AHEAD * self.hop_seconds / self.service_seconds)
        return min(ahead, MAXIMUM_LIMITS_AHEAD * limit)


def smooth(mean: float | None, sample: float) -> float:
    """Return the exponentially smoothed mean after one more sample."""
    return sample if mean is None else mean + SMOOTHING * (sample - mean)
