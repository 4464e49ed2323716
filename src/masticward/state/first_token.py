"""Detection of cold engines by first-token times that are far above the mean."""

# A first token that takes longer than this multiple of the mean time indicates a cold engine.
THRESHOLD_FACTOR = 4.0
# Scheduling pauses of a busy instance reach tens of milliseconds and do not indicate a cold engine.
MINIMUM_THRESHOLD_SECONDS = 0.1
MINIMUM_SAMPLES = 5
SMOOTHING_FACTOR = 0.05
TOLERANCE_FACTOR = 1.25
# Per sample; the tolerated time is halved in about 700 samples.
TOLERANCE_DECAY = 0.999
# Twice the usual period of load reports plus some delay.
MAXIMUM_REPORT_GAP_SECONDS = 1.2


class FirstTokenTimes:
    """The mean first-token time of one endpoint and the threshold for a cold engine.

    Times are monotonic seconds. Prompts with a cached prefix get their first token much faster than
    new prompts. If a slow first token turns out to be a false alarm, its time is tolerated from
    then on; otherwise the endpoint would return to cold with every new prompt.
    """

    __slots__ = (
        "last_report_at",
        "mean_seconds",
        "not_cold_since",
        "samples",
        "suspected_at",
        "suspected_call_start",
        "suspected_seconds",
        "tolerated_seconds",
    )

    def __init__(self) -> None:
        self.mean_seconds = 0.0
        self.samples = 0
        self.tolerated_seconds = 0.0
        self.suspected_at: float | None = None
        self.suspected_call_start = 0.0
        self.suspected_seconds = 0.0
        self.not_cold_since: float | None = None
        self.last_report_at = 0.0

    def threshold_seconds(self) -> float | None:
        """Return the time above which the endpoint counts as cold; None with too few samples."""
        if self.samples < MINIMUM_SAMPLES:
            return None
        return max(
            THRESHOLD_FACTOR * self.mean_seconds, MINIMUM_THRESHOLD_SECONDS, self.tolerated_seconds
        )

    def is_slow(self, seconds: float) -> bool:
        """Return whether a first-token time is above the threshold."""
        threshold = self.threshold_seconds()
        return threshold is not None and seconds > threshold

    def add_sample(self, seconds: float) -> None:
        """Add a sample, clipped to the threshold, to the mean.

        The mean is arithmetic over the first samples and then an exponential moving average.
        """
        threshold = self.threshold_seconds()
        sample = seconds if threshold is None else min(seconds, threshold)
        self.samples += 1
        weight = max(SMOOTHING_FACTOR, 1.0 / self.samples)
        self.mean_seconds += weight * (sample - self.mean_seconds)
        self.tolerated_seconds *= TOLERANCE_DECAY

    def note_suspected_cold(self, seconds: float, now: float) -> None:
        """Record a time that led to a return to cold, until load reports confirm or refute it."""
        if self.suspected_at is None:
            self.suspected_at = now
            self.suspected_call_start = now
            self.suspected_seconds = 0.0
        self.suspected_call_start = min(self.suspected_call_start, now - seconds)
        self.suspected_seconds = max(self.suspected_seconds, seconds)

    def note_report(self, cold: bool, shows_after: float, now: float) -> None:
        """Apply a load report that shows the state of the endpoint after ``shows_after``.

        A suspicion was a false alarm only if load reports arrived without a gap and none was cold
        from before the start of the slow call until now. With a gap, a cold start may have ended
        while reports were missing.
        """
        if cold:
            self.not_cold_since = None
            self.suspected_at = None
            return
        if self.not_cold_since is None or now - self.last_report_at > MAXIMUM_REPORT_GAP_SECONDS:
            self.not_cold_since = now
        self.last_report_at = now
        if self.suspected_at is None or shows_after <= self.suspected_at:
            return
        if self.not_cold_since < self.suspected_call_start:
            self.tolerated_seconds = max(
                self.tolerated_seconds, TOLERANCE_FACTOR * self.suspected_seconds
            )
        self.suspected_at = None
