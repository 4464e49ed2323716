"""Limits the repeated attempts of an entry to a share of its requests."""

BURST_TOKENS = 100.0  # lets a small entry ride out one zone move, which refuses its slots in flight


class RetryBudget:
    """A token bucket: each request adds ``ratio`` tokens, each repeated attempt takes one."""

    __slots__ = ("ratio", "tokens")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.tokens = BURST_TOKENS

    def note_request(self) -> None:
        """Add the share of one request."""
        self.tokens = min(BURST_TOKENS, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take one token; returns False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
