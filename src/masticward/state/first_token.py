"""Judges first-token times: which are so slow that the engine must be taken for cold."""

SLOW_FACTOR = 4.0
# Scheduling pauses of a busy instance reach tens of milliseconds and are no sign of a cold engine.
FLOOR_SECONDS = 0.1
SAMPLES_NEEDED = 5
MEAN_SMOOTHING = 0.05
TOLERANCE_FACTOR = 1.25
# Halves what is tolerated in about 700 samples.
TOLERANCE_DECAY = 0.999
# Twice the usual load period and some delay.
REPORT_GAP_SECONDS = 1.2


class FirstTokenTimes:
    """The mean first-token time of one endpoint, in seconds, and the bound above it.

    With cached prompt prefixes most first tokens come much faster than those of new prompts. If a
    slow one turns out to be a false alarm, its time is tolerated from then on, or the endpoint
    would return to cold with every new prompt.
    """

    __slots__ = (
        "clear_since",
        "last_report_at",
        "mean",
        "samples",
        "suspected_at",
        "suspected_from",
        "suspected_seconds",
        "tolerated",
    )

    def __init__(self) -> None:
        self.mean = 0.0
        self.samples = 0
        self.tolerated = 0.0
        self.suspected_at: float | None = None
        self.suspected_from = 0.0
        self.suspected_seconds = 0.0
        self.clear_since: float | None = None
        self.last_report_at = 0.0

    def bound(self) -> float | None:
        """Return the time above which the endpoint counts as cold; None without a mean."""
        if self.samples < SAMPLES_NEEDED:
            return None
        return max(SLOW_FACTOR * self.mean, FLOOR_SECONDS, self.tolerated)

    def is_slow(self, seconds: float) -> bool:
        """Tell whether a first token came too slowly."""
        bound = self.bound()
        return bound is not None and seconds > bound

    def learn(self, seconds: float) -> None:
        """Move the mean towards a sample, clipped to the bound; the first are averaged plainly."""
        bound = self.bound()
        sample = seconds if bound is None else min(seconds, bound)
        self.samples += 1
        weight = max(MEAN_SMOOTHING, 1.0 / self.samples)
        self.mean += weight * (sample - self.mean)
        self.tolerated *= TOLERANCE_DECAY

    def suspect(self, seconds: float, now: float) -> None:
        """Remember a time that led back to cold, until load reports clear it or confirm it."""
        if self.suspected_at is None:
            self.suspected_at = now
            self.suspected_from = now
            self.suspected_seconds = 0.0
        self.suspected_from = min(self.suspected_from, now - seconds)
        self.suspected_seconds = max(self.suspected_seconds, seconds)

    def judge(self, cold: bool, shows_after: float, now: float) -> None:
        """Take in a load report that shows the endpoint as it was after ``shows_after``.

        A suspicion was a false alarm only if reports came without a gap and none was cold, from
        before the start of the slow call until now. A cold start that ended while reports were
        missing is no false alarm.
        """
        if cold:
            self.clear_since = None
            self.suspected_at = None
            return
        if self.clear_since is None or now - self.last_report_at > REPORT_GAP_SECONDS:
            self.clear_since = now
        self.last_report_at = now
        if self.suspected_at is None or shows_after <= self.suspected_at:
            return
        if self.clear_since < self.suspected_from:
            self.tolerated = max(self.tolerated, TOLERANCE_FACTOR * self.suspected_seconds)
        self.suspected_at = None
