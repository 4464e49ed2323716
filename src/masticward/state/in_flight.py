"""Estimate of an endpoint's calls in flight, from the agent's own count and lagging reports."""

import collections

# Earlier calls are reviewed over a whole period: while an agent's load varies quickly, a single
# report does not distinguish them from its own calls.
REVIEW_PERIOD_SECONDS = 30.0
DETACHED_CALL_TIMEOUT_SECONDS = 10.0


class InFlightEstimate:
    """Estimates the calls in flight at one endpoint. Times are monotonic seconds.

    ``earlier_calls`` counts calls that the endpoint runs and this agent does not: those of a
    previous agent, and those that were cancelled or disconnected without their end being seen
    (detached calls). A report requested at time t shows the endpoint at some time after
    t - ``report_lag_seconds``. Running calls in excess of the own calls within that window are
    earlier calls, so an own call that ended within the window is not counted twice.
    """

    __slots__ = (
        "detached_at",
        "earlier_calls",
        "history",
        "last_report_at",
        "own_calls",
        "report_lag_seconds",
        "reported_earlier_calls",
        "review_at",
    )

    def __init__(self, report_lag_seconds: float, now: float) -> None:
        self.report_lag_seconds = report_lag_seconds
        self.own_calls = 0
        self.earlier_calls = 0
        self.reported_earlier_calls = 0
        self.review_at = now + REVIEW_PERIOD_SECONDS
        self.last_report_at = now
        self.history: collections.deque[tuple[float, int]] = collections.deque([(now, 0)])
        self.detached_at: collections.deque[float] = collections.deque()

    @property
    def total(self) -> int:
        """The sum of own and earlier calls."""
        return self.own_calls + self.earlier_calls

    def start(self, now: float) -> None:
        """Count the start of an own call."""
        self.own_calls += 1
        self.history.append((now, self.own_calls))
        self.trim_history(now - self.report_lag_seconds - REVIEW_PERIOD_SECONDS)

    def end(self, now: float, confirmed: bool) -> None:
        """Count the end of an own call; unless ``confirmed``, it becomes an earlier call."""
        self.own_calls -= 1
        self.history.append((now, self.own_calls))
        if not confirmed:
            self.earlier_calls += 1
            self.detached_at.append(now)

    def note_report(self, running: int, requested_at: float, now: float) -> None:
        """Correct the earlier calls by the number of running calls in a load report."""
        window_start = requested_at - self.report_lag_seconds
        self.trim_history(window_start)
        own_counts = [own for _, own in self.history]
        minimum = max(0, running - max(own_counts))
        maximum = max(0, running - min(own_counts))
        while self.detached_at and self.detached_at[0] < window_start:
            self.detached_at.popleft()
        # A call that was detached within the window may be running without being in the report.
        recently_detached = len(self.detached_at)
        self.earlier_calls = min(max(self.earlier_calls, minimum), maximum + recently_detached)
        self.last_report_at = now
        self.drop_unreported_calls(minimum, recently_detached, now)

    def drop_unreported_calls(self, minimum: int, recently_detached: int, now: float) -> None:
        """Remove earlier calls that no report within a whole review period has shown.

        ``minimum`` is the number of earlier calls that the latest report shows for certain.
        """
        self.reported_earlier_calls = max(self.reported_earlier_calls, minimum)
        if now < self.review_at:
            return
        self.earlier_calls = min(
            self.earlier_calls, self.reported_earlier_calls + recently_detached
        )
        self.reported_earlier_calls = 0
        self.review_at = now + REVIEW_PERIOD_SECONDS

    def note_missing_report(self, now: float) -> None:
        """Remove detached calls after ``DETACHED_CALL_TIMEOUT_SECONDS`` without a report."""
        limit = now - DETACHED_CALL_TIMEOUT_SECONDS
        if self.last_report_at > limit:
            return
        while self.detached_at and self.detached_at[0] < limit:
            self.detached_at.popleft()
            self.earlier_calls = max(0, self.earlier_calls - 1)

    def trim_history(self, before: float) -> None:
        """Remove the history before a time except for the count that was valid at that time."""
        while len(self.history) > 1 and self.history[1][0] <= before:
            self.history.popleft()
