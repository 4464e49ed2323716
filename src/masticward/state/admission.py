"""How many calls one endpoint bears at a time: cold, warming and warm."""

import enum

from masticward.state import first_token

FIRST_REPORT_WAIT_SECONDS = 3.0
REPORT_TIMEOUT_SECONDS = 3.0


class AdmissionState(enum.StrEnum):
    """The state of one endpoint as its agent judges it."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


class AdmissionLimit:
    """The concurrency limit of one endpoint. Times are monotonic seconds.

    ``epoch`` grows with each return to cold; successes of runs that were started in an earlier
    epoch tell nothing about the endpoint as it is now and are not counted.
    """

    __slots__ = (
        "cold_limit",
        "endpoint_incarnation",
        "epoch",
        "first_tokens",
        "last_report_at",
        "limit_hint",
        "raw_limit",
        "report_lag_seconds",
        "reported_cold",
        "started_at",
        "successes",
        "warm_limit",
    )

    def __init__(
        self, cold_limit: int, warm_limit: int, started_at: float, report_lag_seconds: float
    ) -> None:
        self.warm_limit = max(1, warm_limit)
        self.cold_limit = min(max(1, cold_limit), self.warm_limit)
        self.started_at = started_at
        # A lagging report may not yet show calls that a previous agent started just before its end.
        self.report_lag_seconds = report_lag_seconds
        self.raw_limit = self.cold_limit
        self.limit_hint = 0
        self.epoch = 0
        self.successes = 0
        self.reported_cold = False
        self.endpoint_incarnation: int | None = None
        self.last_report_at: float | None = None
        self.first_tokens = first_token.FirstTokenTimes()

    @property
    def limit(self) -> int:
        """The calls that may be in flight now, at least 1."""
        if self.limit_hint > 0:
            return min(self.raw_limit, self.limit_hint)
        return self.raw_limit

    @property
    def state(self) -> AdmissionState:
        """The state that follows from the limit; warm wins if both limits are equal."""
        if self.reported_cold:
            return AdmissionState.COLD
        if self.raw_limit >= self.warm_limit:
            return AdmissionState.WARM
        if self.raw_limit > self.cold_limit:
            return AdmissionState.WARMING
        return AdmissionState.COLD

    def is_open(self, now: float) -> bool:
        """Tell whether anything may be admitted: a load report came or the wait for it is over."""
        if now >= self.started_at + FIRST_REPORT_WAIT_SECONDS:
            return True
        settled = now >= self.started_at + self.report_lag_seconds
        return settled and self.last_report_at is not None

    def set_limits(self, cold_limit: int, warm_limit: int) -> None:
        """Take over the limits of a newer configuration; the limit itself is never raised here."""
        self.warm_limit = max(1, warm_limit)
        self.cold_limit = min(max(1, cold_limit), self.warm_limit)
        self.raw_limit = min(max(self.raw_limit, self.cold_limit), self.warm_limit)

    def reset_to_cold(self) -> None:
        """Return to the cold limit at once."""
        self.raw_limit = self.cold_limit
        self.successes = 0
        self.epoch += 1

    def note_report(
        self, cold: bool, incarnation: int, limit_hint: int, requested_at: float, now: float
    ) -> bool:
        """Take a load report into account; True if it led back to cold."""
        self.first_tokens.note_report(cold, requested_at - self.report_lag_seconds, now)
        restarted = self.endpoint_incarnation not in (None, incarnation)
        self.endpoint_incarnation = incarnation
        self.last_report_at = now
        self.limit_hint = limit_hint
        became_cold = restarted or (cold and not self.reported_cold)
        self.reported_cold = cold
        if restarted or cold:
            self.reset_to_cold()
        return became_cold

    def note_success(self, epoch: int, now: float) -> bool:
        """Count a call that ended well; True if it raised the limit."""
        if epoch != self.epoch or self.raw_limit >= self.warm_limit:
            return False
        if self.reported_cold or self.is_report_missing(now):
            self.successes = 0
            return False
        self.successes += 1
        if self.successes < self.raw_limit:
            return False
        self.successes = 0
        self.raw_limit += 1
        return True

    def note_failure(self) -> None:
        """End the run of successes without a return to cold, for example after a timeout."""
        self.successes = 0

    def is_report_missing(self, now: float) -> bool:
        """Tell whether no load report has come for 3 s."""
        return self.last_report_at is None or now - self.last_report_at >= REPORT_TIMEOUT_SECONDS

    def note_first_token(self, seconds: float, epoch: int, now: float) -> bool:
        """Take a first-token time into account; True if it led back to cold.

        The mean is learned while load reports say that the endpoint is not cold; to wait for the
        warm state would leave an endpoint that just became warm without a mean. A slow time is
        learned too, so that lastingly longer prompts do not hold the endpoint at its cold limit.
        """
        slow = self.first_tokens.is_slow(seconds)
        if slow:
            self.first_tokens.note_suspected_cold(seconds, now)
        if slow or not (self.reported_cold or self.is_report_missing(now)):
            self.first_tokens.add_sample(seconds)
        if not slow or epoch != self.epoch:
            return False
        self.reset_to_cold()
        return True

    def note_overdue_first_token(self, seconds: float, epoch: int, now: float) -> bool:
        """Take a first token that is still awaited into account; True if it led back to cold."""
        self.first_tokens.note_suspected_cold(seconds, now)
        if epoch != self.epoch:
            return False
        self.reset_to_cold()
        return True
