"""How many calls an endpoint has in flight, from the agent's own count and lagging load reports."""

import collections

# An agent whose load varies quickly cannot tell earlier work from its own in a single report.
EVIDENCE_PERIOD_SECONDS = 30.0
DETACHED_WITHOUT_REPORT_SECONDS = 10.0


class InFlightEstimate:
    """Estimates the calls in flight. Times are monotonic seconds.

    ``earlier`` counts calls that the endpoint runs and this agent does not: those of a previous
    agent, and those that were cancelled or broke off and whose end was not seen. A report that was
    asked for at time t shows the endpoint at some time after t - ``lag_seconds``; whatever it shows
    beyond the own count of that window is earlier work. Own calls that ended within the window are
    therefore not counted a second time.
    """

    __slots__ = (
        "detached_at",
        "earlier",
        "evidence",
        "evidence_until",
        "history",
        "lag_seconds",
        "last_report_at",
        "own",
    )

    def __init__(self, lag_seconds: float, now: float) -> None:
        self.lag_seconds = lag_seconds
        self.own = 0
        self.earlier = 0
        self.evidence = 0
        self.evidence_until = now + EVIDENCE_PERIOD_SECONDS
        self.last_report_at = now
        self.history: collections.deque[tuple[float, int]] = collections.deque([(now, 0)])
        self.detached_at: collections.deque[float] = collections.deque()

    @property
    def total(self) -> int:
        """Own calls and earlier work together."""
        return self.own + self.earlier

    def start(self, now: float) -> None:
        """Count one more own call."""
        self.own += 1
        self.history.append((now, self.own))
        self.trim(now - self.lag_seconds - EVIDENCE_PERIOD_SECONDS)

    def end(self, now: float, confirmed: bool) -> None:
        """Count one own call less; it counts as earlier work if its end was not seen."""
        self.own -= 1
        self.history.append((now, self.own))
        if not confirmed:
            self.earlier += 1
            self.detached_at.append(now)

    def note_report(self, running: int, requested_at: float, now: float) -> None:
        """Take a report's running calls into account."""
        window_start = requested_at - self.lag_seconds
        self.trim(window_start)
        own_counts = [own for _, own in self.history]
        lower = max(0, running - max(own_counts))
        upper = max(0, running - min(own_counts))
        while self.detached_at and self.detached_at[0] < window_start:
            self.detached_at.popleft()
        # A call that detached within the window may be missing from the report and still run.
        recent = len(self.detached_at)
        self.earlier = min(max(self.earlier, lower), upper + recent)
        self.last_report_at = now
        self.review_evidence(lower, recent, now)

    def review_evidence(self, lower: int, recent: int, now: float) -> None:
        """Forget earlier work of which no report of a whole period gave evidence."""
        self.evidence = max(self.evidence, lower)
        if now < self.evidence_until:
            return
        self.earlier = min(self.earlier, self.evidence + recent)
        self.evidence = 0
        self.evidence_until = now + EVIDENCE_PERIOD_SECONDS

    def note_missing_report(self, now: float) -> None:
        """Forget detached calls after 10 s if no report can tell of them."""
        limit = now - DETACHED_WITHOUT_REPORT_SECONDS
        if self.last_report_at > limit:
            return
        while self.detached_at and self.detached_at[0] < limit:
            self.detached_at.popleft()
            self.earlier = max(0, self.earlier - 1)

    def trim(self, before: float) -> None:
        """Drop the history before a time but keep the count that held at that time."""
        while len(self.history) > 1 and self.history[1][0] <= before:
            self.history.popleft()
