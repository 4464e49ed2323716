"""Number of slots that an agent offers in excess of its limit while calls are short."""

import math

# A slot goes from agent to dispatcher to entry, and returns from there to the agent as an attempt.
HOPS_PER_TURNAROUND = 3.0
MAXIMUM_SLOTS_AHEAD_PER_CALL = 4
MAXIMUM_SHORT_CALL_SECONDS = 0.25
SMOOTHING_FACTOR = 0.1
# The endpoint stays busy while slots return up to this many mean deviations later than the mean.
TURNAROUND_DEVIATIONS = 4.0


class StagedDepth:
    """Derives the staged depth from exponential moving averages of measured times, in seconds.

    A turnaround is the time from the offer of a slot to the arrival of its attempt while tickets
    are waiting. It is measured in addition to the hop time, because the round trip of a ping does
    not include the time that a slot spends in the queues of the dispatcher and the entry.
    """

    __slots__ = ("deviation_seconds", "hop_seconds", "service_seconds", "turnaround_seconds")

    def __init__(self) -> None:
        self.hop_seconds: float | None = None
        self.turnaround_seconds: float | None = None
        self.deviation_seconds = 0.0
        self.service_seconds: float | None = None

    def note_hop_time(self, seconds: float) -> None:
        """Record a one-way time to the dispatcher."""
        self.hop_seconds = updated_mean(self.hop_seconds, seconds)

    def note_turnaround(self, seconds: float) -> None:
        """Record the time from the offer of a slot to its attempt while tickets were waiting."""
        if self.turnaround_seconds is not None:
            deviation = abs(seconds - self.turnaround_seconds)
            self.deviation_seconds = updated_mean(self.deviation_seconds, deviation)
        self.turnaround_seconds = updated_mean(self.turnaround_seconds, seconds)

    def note_service_time(self, seconds: float) -> None:
        """Record the time that one call spent at the endpoint."""
        self.service_seconds = updated_mean(self.service_seconds, seconds)

    def slots_ahead(self, limit: int) -> int:
        """Return the staged depth in slots; 0 while a time is unknown or calls are long."""
        if not self.hop_seconds or not self.service_seconds:
            return 0
        if self.service_seconds > MAXIMUM_SHORT_CALL_SECONDS:
            return 0
        turnaround = (
            self.turnaround_seconds or 0.0
        ) + TURNAROUND_DEVIATIONS * self.deviation_seconds
        # Slots queue behind each other, so without the limit to one service time a greater depth
        # lengthened the turnaround, which raised the depth in turn up to its maximum.
        expected_turnaround = max(
            HOPS_PER_TURNAROUND * self.hop_seconds, min(turnaround, self.service_seconds)
        )
        slots = math.ceil(limit * (expected_turnaround / self.service_seconds))
        return min(slots, MAXIMUM_SLOTS_AHEAD_PER_CALL * limit)


def updated_mean(mean: float | None, sample: float) -> float:
    """Return an exponential moving average after one more sample; None means no sample yet."""
    return sample if mean is None else mean + SMOOTHING_FACTOR * (sample - mean)
