"""Number of slots that an agent offers in excess of its limit while calls are short."""

import math

# One message each from agent to dispatcher (the offered slot), from dispatcher to entry (the
# assignment) and from entry to agent (the attempt).
ONE_WAY_DELAYS_PER_TURNAROUND = 3.0
# For each call that the limit allows at a time.
MAXIMUM_DEPTH_SLOTS_PER_CALL = 4
MAXIMUM_SHORT_CALL_SECONDS = 0.25
SMOOTHING_FACTOR = 0.1
# The endpoint stays busy while slots return up to this many mean deviations later than the mean.
TURNAROUND_DEVIATIONS = 4.0


class StagedDepth:
    """Derives the staged depth from exponential moving averages of measured times, in seconds.

    A turnaround is the time from the offer of a slot to the arrival of its attempt while tickets
    are waiting. It is measured in addition to the one-way network delay, which does not include the
    time that a slot spends in the queues of the dispatcher and the entry.
    """

    __slots__ = (
        "deviation_seconds",
        "one_way_delay_seconds",
        "service_seconds",
        "turnaround_seconds",
    )

    def __init__(self) -> None:
        self.one_way_delay_seconds: float | None = None
        self.turnaround_seconds: float | None = None
        self.deviation_seconds = 0.0
        self.service_seconds: float | None = None

    def record_one_way_delay(self, seconds: float) -> None:
        """Record a one-way network delay to the dispatcher."""
        self.one_way_delay_seconds = updated_mean(self.one_way_delay_seconds, seconds)

    def record_turnaround(self, seconds: float) -> None:
        """Record the time from the offer of a slot to its attempt while tickets were waiting."""
        if self.turnaround_seconds is not None:
            deviation = abs(seconds - self.turnaround_seconds)
            self.deviation_seconds = updated_mean(self.deviation_seconds, deviation)
        self.turnaround_seconds = updated_mean(self.turnaround_seconds, seconds)

    def record_service_time(self, seconds: float) -> None:
        """Record the time that one call spent at the endpoint."""
        self.service_seconds = updated_mean(self.service_seconds, seconds)

    def slots_for(self, limit: int) -> int:
        """Return the staged depth in slots; 0 while a time is unknown or calls are long."""
        if not self.one_way_delay_seconds or not self.service_seconds:
            return 0
        if self.service_seconds > MAXIMUM_SHORT_CALL_SECONDS:
            return 0
        turnaround = (
            self.turnaround_seconds or 0.0
        ) + TURNAROUND_DEVIATIONS * self.deviation_seconds
        # Slots queue behind each other, so without the limit to one service time a greater depth
        # lengthened the turnaround, which raised the depth in turn up to its maximum.
        expected_turnaround = max(
            ONE_WAY_DELAYS_PER_TURNAROUND * self.one_way_delay_seconds,
            min(turnaround, self.service_seconds),
        )
        slots = math.ceil(limit * (expected_turnaround / self.service_seconds))
        return min(slots, MAXIMUM_DEPTH_SLOTS_PER_CALL * limit)


def updated_mean(mean: float | None, sample: float) -> float:
    """Return an exponential moving average after one more sample; None means no sample yet."""
    return sample if mean is None else mean + SMOOTHING_FACTOR * (sample - mean)
