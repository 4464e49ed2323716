"""Paces requests to cold endpoints over all gateways."""

from masticward.utils import identifiers

# Only this many gateways send to a cold endpoint, so that each still has a usable rate.
MAX_SENDERS = 3
# A process that has just started hears all its peers within this time. Before, it does not know who
# else sends: 26 gateways that were started together sent 21 requests in a second.
PEER_DISCOVERY_SECONDS = 2.0


def senders(endpoint_id: str, gateways: list[str]) -> list[str]:
    """Return the gateways that may send to a cold endpoint, by rendezvous hashing."""
    ranked = sorted(gateways, key=lambda item: identifiers.stable_hash(endpoint_id, item))
    return ranked[:MAX_SENDERS]


class ColdStartLimiter:
    """Spaces the sends of this process. Times are seconds of ``clocks.boot_time``."""

    __slots__ = ("next_send_at",)

    def __init__(self) -> None:
        self.next_send_at: dict[str, float] = {}

    def may_send(
        self, endpoint_id: str, rate: float, own_id: str, gateways: list[str], now: float
    ) -> bool:
        """Whether this process may send a request to a cold endpoint now."""
        if now < self.next_send_at.get(endpoint_id, 0.0):
            return False
        return rate > 0 and own_id in senders(endpoint_id, gateways)

    def record_send(self, endpoint_id: str, rate: float, gateways: int, now: float) -> None:
        """Reserve the time until this process may send again."""
        share = rate / max(1, min(MAX_SENDERS, gateways))
        self.next_send_at[endpoint_id] = now + 1.0 / max(share, 0.01)

    def remove(self, endpoint_id: str) -> None:
        """Drop an endpoint that is gone."""
        self.next_send_at.pop(endpoint_id, None)
