"""Budget for retries to one service over a sliding time window."""

import collections

# Part of the fleet's slack that known gateways use; the rest is left to gateways that this process
# does not know.
SLACK_FRACTION = 0.6
MIN_GATEWAYS = 4


class WindowedRetryBudget:
    """One process's part of the fleet's retry budget. Times are in seconds of ``boot_time``."""

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

    def take(self, now: float, gateways: int) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        self.expire(now)
        share = self.slack * SLACK_FRACTION / max(MIN_GATEWAYS, gateways)
        if len(self.retries) + 1 > self.ratio * len(self.requests) + share:
            return False
        self.retries.append(now)
        return True

    def expire(self, now: float) -> None:
        """Remove requests and retries that are older than the window."""
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_seconds:
                times.popleft()
