"""Judges whether a process is too busy to take further clients."""

# Callers give up a connection that is not read within a second; half of it passes in other ways.
OVERLOADED_SECONDS = 0.2
RELIEVED_SECONDS = 0.05
# The balancer moves clients after two misses, a second apart; a shorter absence moves nobody.
LEAST_ABSENCE_SECONDS = 3.0
# One long pause, as after a freeze, is no overload: several late wake-ups in a row are.
LONGEST_SAMPLE_SECONDS = 0.5
SAMPLE_WEIGHT = 0.2


class LoopLag:
    """The smoothed lateness of a timer. Moments are seconds of ``clocks.boot_time``."""

    __slots__ = ("lag_seconds", "overloaded", "relieved_at")

    def __init__(self) -> None:
        self.lag_seconds = 0.0
        self.overloaded = False
        self.relieved_at = 0.0

    def record(self, late_seconds: float, now: float) -> bool:
        """Take in how late a timer fired; returns whether the judgement changed."""
        sample = min(LONGEST_SAMPLE_SECONDS, max(0.0, late_seconds))
        self.lag_seconds += SAMPLE_WEIGHT * (sample - self.lag_seconds)
        before = self.overloaded
        if not self.overloaded and self.lag_seconds > OVERLOADED_SECONDS:
            self.overloaded = True
            self.relieved_at = now + LEAST_ABSENCE_SECONDS
        elif self.overloaded and self.lag_seconds < RELIEVED_SECONDS and now >= self.relieved_at:
            self.overloaded = False
        return self.overloaded != before
