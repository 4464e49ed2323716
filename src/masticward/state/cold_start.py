"""Rate limit for requests to cold endpoints, shared by all gateways."""

from masticward.utils import identifiers

# Number of gateways that may send to one cold endpoint, so that each has a usable rate.
MAX_SENDERS = 3
# A new process receives messages from all its peers within this time. Until then its list of live
# gateways, which share the rate, is incomplete and it sends nothing to cold endpoints. Without this
# delay, 26 gateways that started together sent 21 requests in one second.
PEER_DISCOVERY_SECONDS = 2.0


def senders(endpoint_id: str, gateways: list[str]) -> list[str]:
    """Return the IDs of the gateways that may send to a cold endpoint, by rendezvous hashing."""
    ranked = sorted(gateways, key=lambda item: identifiers.stable_hash(endpoint_id, item))
    return ranked[:MAX_SENDERS]


class ColdStartLimiter:
    """Limits the rate of this process's requests to each cold endpoint.

    Times are in seconds of ``clocks.boot_time``.
    """

    __slots__ = ("next_send_at",)

    def __init__(self) -> None:
        self.next_send_at: dict[str, float] = {}

    def may_send(
        self, endpoint_id: str, rate: float, own_id: str, gateways: list[str], now: float
    ) -> bool:
        """Return whether this process may send a request to a cold endpoint now.

        ``rate`` is the fleet-wide limit in requests per second, ``gateways`` has the IDs of all
        live gateways.
        """
        if now < self.next_send_at.get(endpoint_id, 0.0):
            return False
        return rate > 0 and own_id in senders(endpoint_id, gateways)

    def record_send(self, endpoint_id: str, rate: float, gateway_count: int, now: float) -> None:
        """Set the time of the next permitted request from this process's share of the rate."""
        share = rate / max(1, min(MAX_SENDERS, gateway_count))
        self.next_send_at[endpoint_id] = now + 1.0 / max(share, 0.01)

    def remove(self, endpoint_id: str) -> None:
        """Remove the state of an endpoint that is gone."""
        self.next_send_at.pop(endpoint_id, None)
