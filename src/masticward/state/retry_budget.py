"""Limit on the retries of an entry, as a fraction of its requests."""

# Also the initial level. Lets an entry with little traffic absorb one availability zone move, in
# which attempts on the slots in flight are refused.
BURST_TOKENS = 100.0


class RetryBudget:
    """A token bucket: each request adds ``ratio`` tokens, each retry takes one."""

    __slots__ = ("ratio", "tokens")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self.tokens = BURST_TOKENS

    def record_request(self) -> None:
        """Add ``ratio`` tokens for one request, up to BURST_TOKENS."""
        self.tokens = min(BURST_TOKENS, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take one token. Returns False if less than one is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
