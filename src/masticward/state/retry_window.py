"""Budget for a gateway's retries to one service over a sliding time window."""

import collections

# Fraction of the fleet's slack that is divided among the known gateways; the rest is reserved for
# gateways that this process has not discovered yet.
SLACK_FRACTION = 0.6
# The slack is divided among at least this many gateways, even while fewer are known.
MIN_GATEWAYS = 4


class WindowedRetryBudget:
    """One process's share of a service's fleet-wide retry budget.

    Within ``window_seconds``, the process may make ``ratio`` retries per request that it received,
    plus an equal share of the fleet's ``slack``. In contrast, ``retry_budget.RetryBudget`` is a
    token bucket without a time window that is not shared with other processes. Times are in seconds
    of ``clocks.boot_time``.
    """

    __slots__ = ("ratio", "requests", "retries", "slack", "window_seconds")

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_seconds = window_seconds
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a client's request, which adds to the budget."""
        self.requests.append(now)
        self.expire(now)

    def take(self, now: float, gateway_count: int) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        if not self.allows(now, gateway_count):
            return False
        self.retries.append(now)
        return True

    def allows(self, now: float, gateway_count: int) -> bool:
        """Return whether the budget allows a retry now."""
        self.expire(now)
        share = self.slack * SLACK_FRACTION / max(MIN_GATEWAYS, gateway_count)
        return len(self.retries) + 1 <= self.ratio * len(self.requests) + share

    def expire(self, now: float) -> None:
        """Remove requests and retries that are older than the window."""
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_seconds:
                times.popleft()
