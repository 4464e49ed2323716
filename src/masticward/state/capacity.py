"""Current capacity of one endpoint: limit, calls in flight and calls awaiting a first token."""

from masticward.models import configuration as configuration_models
from masticward.state import admission, in_flight, staged_depth


class EndpointCapacity:
    """Decides whether a call may start. Times are monotonic seconds.

    At a language-model endpoint at most ``cold_limit`` calls await their first token at a time. If
    an engine becomes cold without notice, an overdue first token therefore reveals it before the
    engine has received more calls than it can run while cold.
    """

    __slots__ = ("awaiting_first_token", "in_flight", "limit", "staged_depth")

    def __init__(self, started_at: float, report_lag_seconds: float) -> None:
        self.limit = admission.AdmissionLimit(1, 1, started_at, report_lag_seconds)
        self.in_flight = in_flight.InFlightEstimate(report_lag_seconds, started_at)
        self.staged_depth = staged_depth.StagedDepth()
        self.awaiting_first_token = 0

    def may_start(self, kind: configuration_models.ServiceKind, now: float) -> bool:
        """Return whether one more call may start now."""
        if not self.limit.is_open(now) or self.in_flight.total >= self.limit.limit:
            return False
        if kind is configuration_models.ServiceKind.LANGUAGE_MODEL:
            return self.awaiting_first_token < self.limit.cold_limit
        return True

    def available_calls(self, staged: int, now: float) -> int:
        """Return how many more calls may be running, staged or covered by slots, at least 0."""
        if not self.limit.is_open(now):
            return 0
        limit = self.limit.limit
        return max(0, limit + self.staged_depth.slots_ahead(limit) - self.in_flight.total - staged)

    def excess_staged_calls(self, staged: int) -> int:
        """Return how many staged calls exceed the limit plus the staged depth, at least 0.

        Running calls do not count: those in excess of a lowered limit do not displace staged ones.
        """
        limit = self.limit.limit
        return max(0, staged - limit - self.staged_depth.slots_ahead(limit))
