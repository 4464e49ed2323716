"""How many calls an endpoint has in flight, from the agent's own count and lagging load reports."""

import collections

# An agent whose load varies quickly cannot tell earlier work from its own in a single report.
REVIEW_PERIOD_SECONDS = 30.0
DETACHED_CALL_TIMEOUT_SECONDS = 10.0


class InFlightEstimate:
    """Estimates the calls in flight. Times are monotonic seconds.

    ``earlier_calls`` counts calls that the endpoint runs and this agent does not: those of a
    previous agent, and those that were cancelled or disconnected without their end being seen. A
    report requested at time t shows the endpoint at some time after t - ``lag_seconds``. Running
    calls in excess of the own calls within that window are earlier calls, so an own call that ended
    within the window is not counted twice.
    """

    __slots__ = (
        "detached_at",
        "earlier_calls",
        "history",
        "lag_seconds",
        "last_report_at",
        "own_calls",
        "reported_earlier_calls",
        "review_at",
    )

    def __init__(self, lag_seconds: float, now: float) -> None:
        self.lag_seconds = lag_seconds
        self.own_calls = 0
        self.earlier_calls = 0
        self.reported_earlier_calls = 0
        self.review_at = now + REVIEW_PERIOD_SECONDS
        self.last_report_at = now
        self.history: collections.deque[tuple[float, int]] = collections.deque([(now, 0)])
        self.detached_at: collections.deque[float] = collections.deque()

    @property
    def total(self) -> int:
        """Own calls and earlier work together."""
        return self.own_calls + self.earlier_calls

    def start(self, now: float) -> None:
        """Count one more own call."""
        self.own_calls += 1
        self.history.append((now, self.own_calls))
        self.trim_history(now - self.lag_seconds - REVIEW_PERIOD_SECONDS)

    def end(self, now: float, confirmed: bool) -> None:
        """Count one own call less; it counts as earlier work if its end was not seen."""
        self.own_calls -= 1
        self.history.append((now, self.own_calls))
        if not confirmed:
            self.earlier_calls += 1
            self.detached_at.append(now)

    def note_report(self, running: int, requested_at: float, now: float) -> None:
        """Take a report's running calls into account."""
        window_start = requested_at - self.lag_seconds
        self.trim_history(window_start)
        own_counts = [own for _, own in self.history]
        minimum = max(0, running - max(own_counts))
        maximum = max(0, running - min(own_counts))
        while self.detached_at and self.detached_at[0] < window_start:
            self.detached_at.popleft()
        # A call that detached within the window may be missing from the report and still run.
        recent = len(self.detached_at)
        self.earlier_calls = min(max(self.earlier_calls, minimum), maximum + recent)
        self.last_report_at = now
        self.drop_unreported_calls(minimum, recent, now)

    def drop_unreported_calls(self, minimum: int, recent: int, now: float) -> None:
        """Forget earlier work of which no report of a whole period gave evidence."""
        self.reported_earlier_calls = max(self.reported_earlier_calls, minimum)
        if now < self.review_at:
            return
        self.earlier_calls = min(self.earlier_calls, self.reported_earlier_calls + recent)
        self.reported_earlier_calls = 0
        self.review_at = now + REVIEW_PERIOD_SECONDS

    def note_missing_report(self, now: float) -> None:
        """Forget detached calls after 10 s if no report can tell of them."""
        limit = now - DETACHED_CALL_TIMEOUT_SECONDS
        if self.last_report_at > limit:
            return
        while self.detached_at and self.detached_at[0] < limit:
            self.detached_at.popleft()
            self.earlier_calls = max(0, self.earlier_calls - 1)

    def trim_history(self, before: float) -> None:
        """Drop the history before a time but keep the count that held at that time."""
        while len(self.history) > 1 and self.history[1][0] <= before:
            self.history.popleft()
