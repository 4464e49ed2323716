"""Tokens that each team has begun recently, in this process and in its peers."""

import math

from masticward.models import gateway

# Fairness is judged over windows of 4 to 6 s (pages of the platform).
MEMORY_SECONDS = 4.0
PEER_USAGE_MAX_AGE_SECONDS = 4.0
# Requests that arrived just now have not begun; less than this is no shortage.
UNSERVED_FACTOR = 1.1
# Teams below this are left out of messages.
NEGLIGIBLE_TOKENS = 50.0


def charged_tokens(terms: gateway.RequestMetadata) -> int:
    """Return the tokens that a request counts for: each read once, each generated twice."""
    return terms.prompt_tokens + 2 * terms.output_tokens


class TeamUsage:
    """Exponentially decayed tokens by team. Times are seconds of ``clocks.boot_time``."""

    __slots__ = ("own", "peers", "updated_at")

    def __init__(self) -> None:
        self.own: dict[str, float] = {}
        self.peers: dict[str, tuple[float, dict[str, float]]] = {}
        self.updated_at = 0.0

    def decay(self, now: float) -> None:
        """Bring the own figures to the present."""
        factor = math.exp(-max(0.0, now - self.updated_at) / MEMORY_SECONDS)
        self.updated_at = now
        self.own = {
            team: tokens * factor
            for team, tokens in self.own.items()
            if tokens * factor > NEGLIGIBLE_TOKENS / 10
        }

    def record(self, team: str, tokens: int, now: float) -> None:
        """Add a request that was sent to an endpoint."""
        self.decay(now)
        self.own[team] = self.own.get(team, 0.0) + tokens

    def reportable_totals(self) -> dict[str, float]:
        """Return the own figures that are worth telling peers."""
        return {team: tokens for team, tokens in self.own.items() if tokens > NEGLIGIBLE_TOKENS}

    def set_peer_usage(self, peer: str, figures: dict[str, float], now: float) -> None:
        """Take over a peer's figures."""
        self.peers[peer] = (now, figures)

    def team_total(self, team: str, now: float) -> float:
        """Return the tokens of a team in the whole fleet, decayed."""
        return self.totals(now).get(team, 0.0)

    def totals(self, now: float) -> dict[str, float]:
        """Return the recent tokens of every team that has some."""
        factor = math.exp(-max(0.0, now - self.updated_at) / MEMORY_SECONDS)
        totals = {team: tokens * factor for team, tokens in self.own.items()}
        for heard_at, figures in self.peers.values():
            age = now - heard_at
            if age > PEER_USAGE_MAX_AGE_SECONDS:
                continue
            factor = math.exp(-max(0.0, age) / MEMORY_SECONDS)
            for team, tokens in figures.items():
                totals[team] = totals.get(team, 0.0) + tokens * factor
        return totals


def excess_over_share(asked: dict[str, float], begun: dict[str, float]) -> dict[str, float]:
    """Return how many times its max-min share each team above it was served.

    What was served is taken as the capacity: while nothing waits, all that was asked has begun and
    no team is above its share.
    """
    served = sum(begun.values())
    if sum(asked.values()) <= served * UNSERVED_FACTOR:
        return {}
    share = max_min_share(list(asked.values()), served)
    return {team: tokens / share for team, tokens in begun.items() if tokens > share}


def max_min_share(demands: list[float], capacity: float) -> float:
    """Return the max-min share: no demand above it gets more than it."""
    left = capacity
    remaining = sorted(demands)
    while remaining:
        share = left / len(remaining)
        if remaining[0] > share:
            return share
        left -= remaining.pop(0)
    return math.inf
