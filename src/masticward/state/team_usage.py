"""Recent tokens of each team, in this process and its peers.

One table holds the tokens that were served, another one those that were requested (the demand).
"""

import math

from masticward.models import gateway

# Time constant of the decay. The platform measures fairness over windows of 4 to 6 s.
DECAY_SECONDS = 4.0
PEER_USAGE_MAX_AGE_SECONDS = 4.0
# Smallest ratio of demand to served tokens at which capacity counts as short. It is above 1 because
# requests that have just arrived count as demand but are not served yet.
SHORTAGE_RATIO = 1.1
# Teams with fewer tokens are left out of peer messages.
NEGLIGIBLE_TOKENS = 50.0


def charged_tokens(metadata: gateway.RequestMetadata) -> int:
    """Return the tokens charged for a request: prompt tokens once, output tokens twice."""
    return metadata.prompt_tokens + 2 * metadata.output_tokens


class TeamUsage:
    """Exponentially decayed tokens by team. Times are in seconds of ``clocks.boot_time``."""

    __slots__ = ("own", "peers", "updated_at")

    def __init__(self) -> None:
        self.own: dict[str, float] = {}
        self.peers: dict[str, tuple[float, dict[str, float]]] = {}
        self.updated_at = 0.0

    def decay(self, now: float) -> None:
        """Decay this process's totals to the time ``now`` and drop negligible ones."""
        factor = math.exp(-max(0.0, now - self.updated_at) / DECAY_SECONDS)
        self.updated_at = now
        self.own = {
            team: tokens * factor
            for team, tokens in self.own.items()
            if tokens * factor > NEGLIGIBLE_TOKENS / 10
        }

    def record(self, team: str, tokens: int, now: float) -> None:
        """Add the tokens of a request to a team's total."""
        self.decay(now)
        self.own[team] = self.own.get(team, 0.0) + tokens

    def reportable_totals(self) -> dict[str, float]:
        """Return this process's totals that are large enough to send to peers."""
        return {team: tokens for team, tokens in self.own.items() if tokens > NEGLIGIBLE_TOKENS}

    def set_peer_usage(self, peer: str, totals: dict[str, float], now: float) -> None:
        """Replace a peer's totals by those received at the time ``now``."""
        self.peers[peer] = (now, totals)

    def team_total(self, team: str, now: float) -> float:
        """Return a team's decayed tokens in the whole fleet."""
        return self.totals(now).get(team, 0.0)

    def totals(self, now: float) -> dict[str, float]:
        """Return the decayed tokens of each team in the whole fleet."""
        factor = math.exp(-max(0.0, now - self.updated_at) / DECAY_SECONDS)
        totals = {team: tokens * factor for team, tokens in self.own.items()}
        for received_at, peer_totals in self.peers.values():
            age = now - received_at
            if age > PEER_USAGE_MAX_AGE_SECONDS:
                continue
            factor = math.exp(-max(0.0, age) / DECAY_SECONDS)
            for team, tokens in peer_totals.items():
                totals[team] = totals.get(team, 0.0) + tokens * factor
        return totals


def excess_over_share(demand: dict[str, float], served: dict[str, float]) -> dict[str, float]:
    """Return usage as a multiple of the max-min share, for each team above its share.

    ``demand`` and ``served`` are tokens by team. The sum of the served tokens is taken as the
    capacity. Unless the demand exceeds it by ``SHORTAGE_RATIO``, no team is above its share.
    """
    capacity = sum(served.values())
    if sum(demand.values()) <= capacity * SHORTAGE_RATIO:
        return {}
    share = max_min_share(list(demand.values()), capacity)
    return {team: tokens / share for team, tokens in served.items() if tokens > share}


def max_min_share(demands: list[float], capacity: float) -> float:
    """Return the max-min fair share; infinity if the capacity covers all demands."""
    left = capacity
    remaining = sorted(demands)
    while remaining:
        share = left / len(remaining)
        if remaining[0] > share:
            return share
        left -= remaining.pop(0)
    return math.inf
