"""Limits repeated sends of one service over a sliding window."""

import collections

# Gateways that this process does not know of may spend a share, too.
SLACK_SHARE = 0.6
MINIMUM_GATEWAYS = 4


class WindowedRetryBudget:
    """A process's part of the fleet's budget. Times are seconds of ``clocks.boot_time``."""

    __slots__ = ("ratio", "requests", "retries", "slack", "window_seconds")

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_seconds = window_seconds
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a client's request."""
        self.requests.append(now)
        self.expire(now)

    def take(self, now: float, gateways: int) -> bool:
        """Count a repeated send if the budget allows it."""
        self.expire(now)
        share = self.slack * SLACK_SHARE / max(MINIMUM_GATEWAYS, gateways)
        if len(self.retries) + 1 > self.ratio * len(self.requests) + share:
            return False
        self.retries.append(now)
        return True

    def expire(self, now: float) -> None:
        """Drop what lies before the window."""
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_seconds:
                times.popleft()
