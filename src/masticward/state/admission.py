"""Concurrency limit of one endpoint, which depends on whether it is cold, warming or warm."""

import enum

from masticward.state import first_token

# Time after its start from which an agent admits calls even without a load report.
FIRST_REPORT_WAIT_SECONDS = 3.0
# Age of the latest load report from which successful calls no longer raise the limit.
REPORT_TIMEOUT_SECONDS = 3.0


class AdmissionState(enum.StrEnum):
    """The state of one endpoint as determined by its agent."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


class AdmissionLimit:
    """The concurrency limit of one endpoint. Times are monotonic seconds.

    The limit rises from ``cold_limit`` to ``warm_limit`` by one after as many successful calls in a
    row as it allows at a time. ``epoch`` is incremented with each return to cold: calls that were
    started in an earlier epoch say nothing about the current state and do not raise the limit.
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
        # No call is admitted for this long after the start: a lagging report may not include calls
        # that a previous agent started just before it ended.
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
        """The number of calls that may be in flight at present, at least 1."""
        if self.limit_hint > 0:
            return min(self.raw_limit, self.limit_hint)
        return self.raw_limit

    @property
    def state(self) -> AdmissionState:
        """The state derived from reports and limit; warm if cold and warm limit are equal."""
        if self.reported_cold:
            return AdmissionState.COLD
        if self.raw_limit >= self.warm_limit:
            return AdmissionState.WARM
        if self.raw_limit > self.cold_limit:
            return AdmissionState.WARMING
        return AdmissionState.COLD

    def is_open(self, now: float) -> bool:
        """Return whether calls may be admitted.

        This is the case once a load report has arrived and the report lag has passed since the
        start, or ``FIRST_REPORT_WAIT_SECONDS`` after the start.
        """
        if now >= self.started_at + FIRST_REPORT_WAIT_SECONDS:
            return True
        settled = now >= self.started_at + self.report_lag_seconds
        return settled and self.last_report_at is not None

    def set_limits(self, cold_limit: int, warm_limit: int) -> None:
        """Apply the limits of a newer configuration and clamp the current limit to their range.

        A higher warm limit does not raise the current limit.
        """
        self.warm_limit = max(1, warm_limit)
        self.cold_limit = min(max(1, cold_limit), self.warm_limit)
        self.raw_limit = min(max(self.raw_limit, self.cold_limit), self.warm_limit)

    def reset_to_cold(self) -> None:
        """Return to the cold limit and start a new epoch."""
        self.raw_limit = self.cold_limit
        self.successes = 0
        self.epoch += 1

    def note_report(
        self, cold: bool, incarnation: int, limit_hint: int, requested_at: float, now: float
    ) -> bool:
        """Apply a load report; True if the endpoint became cold or restarted."""
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
        """Count a successful call that was started in ``epoch``; True if it raised the limit."""
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
        """Restart the count of successful calls without a return to cold, e.g. after a timeout."""
        self.successes = 0

    def is_report_missing(self, now: float) -> bool:
        """Return whether no load report has arrived for ``REPORT_TIMEOUT_SECONDS``."""
        return self.last_report_at is None or now - self.last_report_at >= REPORT_TIMEOUT_SECONDS

    def note_first_token(self, seconds: float, epoch: int, now: float) -> bool:
        """Apply a first-token time; True if it led to a return to cold.

        Times are added to the mean while load reports say that the endpoint is not cold. If only
        times of the warm state were, an endpoint that had just become warm would have no mean. Slow
        times are always added, so that permanently longer prompts do not keep the endpoint at its
        cold limit.
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
        """Apply a first token that is overdue by now; True if it led to a return to cold."""
        self.first_tokens.note_suspected_cold(seconds, now)
        if epoch != self.epoch:
            return False
        self.reset_to_cold()
        return True
