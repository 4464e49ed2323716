"""What one endpoint can take at this moment: limit, calls in flight and first tokens awaited."""

from masticward.models import configuration as configuration_models
from masticward.state import admission, in_flight, staged_depth


class EndpointCapacity:
    """Decides whether a call may start. Times are monotonic seconds.

    Of a language-model endpoint at most ``cold_limit`` calls wait for their first token at a time.
    An engine that became cold without warning is therefore found out, by a first token that does
    not come in time, before it has got more calls than it bears while cold.
    """

    __slots__ = ("awaiting_first_token", "in_flight", "limit", "staged_depth")

    def __init__(self, started_at: float, report_lag_seconds: float) -> None:
        self.limit = admission.AdmissionLimit(1, 1, started_at, report_lag_seconds)
        self.in_flight = in_flight.InFlightEstimate(report_lag_seconds, started_at)
        self.staged_depth = staged_depth.StagedDepth()
        self.awaiting_first_token = 0

    def may_start(self, kind: configuration_models.ServiceKind, now: float) -> bool:
        """Tell whether one more call may start now."""
        if not self.limit.is_open(now) or self.in_flight.total >= self.limit.limit:
            return False
        if kind is configuration_models.ServiceKind.LANGUAGE_MODEL:
            return self.awaiting_first_token < self.limit.cold_limit
        return True

    def available_calls(self, staged: int, now: float) -> int:
        """Return how many more calls may be running, staged or promised, not below 0."""
        if not self.limit.is_open(now):
            return 0
        limit = self.limit.limit
        return max(0, limit + self.staged_depth.slots_ahead(limit) - self.in_flight.total - staged)

    def excess_staged_calls(self, staged: int) -> int:
        """Return how many staged calls exceed the limit plus the staged depth, not below 0.

        Calls that run in excess of a limit that fell do not push out those that wait for a slot.
        """
        limit = self.limit.limit
        return max(0, staged - limit - self.staged_depth.slots_ahead(limit))
