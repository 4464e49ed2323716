"""How many slots an agent offers ahead of its limit for short calls."""

import math

HOPS_PER_TURNAROUND = 3.0
MAXIMUM_SLOTS_AHEAD_PER_CALL = 4
MAXIMUM_SHORT_CALL_SECONDS = 0.25
SMOOTHING_FACTOR = 0.1
# Slots that return later than the mean by this many mean deviations still find the endpoint busy.
TURNAROUND_DEVIATIONS = 4.0


class StagedDepth:
    """Derives the staged depth from measured times, all smoothed and in seconds.

    A turnaround is the time from the offer of a slot to the arrival of its attempt while work
    waits. It counts beside the hops, because a pong does not show the time that a slot spends in
    the queues of the dispatcher and the entry.
    """

    __slots__ = ("deviation_seconds", "hop_seconds", "service_seconds", "turnaround_seconds")

    def __init__(self) -> None:
        self.hop_seconds: float | None = None
        self.turnaround_seconds: float | None = None
        self.deviation_seconds = 0.0
        self.service_seconds: float | None = None

    def note_hop_time(self, seconds: float) -> None:
        """Record a one-way time to the dispatcher."""
        self.hop_seconds = smoothed_mean(self.hop_seconds, seconds)

    def note_turnaround(self, seconds: float) -> None:
        """Record the time that a slot took to come back as an attempt while work waited."""
        if self.turnaround_seconds is not None:
            deviation = abs(seconds - self.turnaround_seconds)
            self.deviation_seconds = smoothed_mean(self.deviation_seconds, deviation)
        self.turnaround_seconds = smoothed_mean(self.turnaround_seconds, seconds)

    def note_service_time(self, seconds: float) -> None:
        """Record the time that one call spent at the endpoint."""
        self.service_seconds = smoothed_mean(self.service_seconds, seconds)

    def slots_ahead(self, limit: int) -> int:
        """Return the slots to offer ahead; 0 while a time is unknown or calls are long."""
        if not self.hop_seconds or not self.service_seconds:
            return 0
        if self.service_seconds > MAXIMUM_SHORT_CALL_SECONDS:
            return 0
        turnaround = (
            self.turnaround_seconds or 0.0
        ) + TURNAROUND_DEVIATIONS * self.deviation_seconds
        # Without this limit more slots ahead lengthened their own turnaround, up to the maximum.
        away = max(HOPS_PER_TURNAROUND * self.hop_seconds, min(turnaround, self.service_seconds))
        ahead = math.ceil(limit * (away / self.service_seconds))
        return min(ahead, MAXIMUM_SLOTS_AHEAD_PER_CALL * limit)


def smoothed_mean(mean: float | None, sample: float) -> float:
    """Return the exponentially smoothed mean after one more sample."""
    return sample if mean is None else mean + SMOOTHING_FACTOR * (sample - mean)
