"""Limits repeated sends of one service over a sliding window."""

import collections

# Gateways that this process does not know of may spend a share, too.
SLACK_SHARE = 0.6
MINIMUM_GATEWAYS = 4


class RepeatBudget:
    """A process's part of the fleet's budget. Times are seconds of ``clocks.boot_time``."""

    __slots__ = ("ratio", "repeats", "requests", "slack", "window")

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.requests: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Count a client's request."""
        self.requests.append(now)
        self.forget(now)

    def take(self, now: float, gateways: int) -> bool:
        """Count a repeated send if the budget allows it."""
        self.forget(now)
        share = self.slack * SLACK_SHARE / max(MINIMUM_GATEWAYS, gateways)
        if len(self.repeats) + 1 > self.ratio * len(self.requests) + share:
            return False
        self.repeats.append(now)
        return True

    def forget(self, now: float) -> None:
        """Drop what lies before the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] <= now - self.window:
                times.popleft()
