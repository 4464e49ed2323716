"""What endpoints announce in their answers, before or against what the store lists.

Times are in seconds of ``clocks.boot_time``.
"""

import collections.abc

from masticward.models import gateway

# An endpoint can be missing from the listings for a while, as after an outage of the store, and
# come back as the same incarnation.
UNLISTED_MEMORY_SECONDS = 120.0
MAX_LEAVING = 4096
# Endpoints in one message to the peers, and the longest key that is taken from one.
MAX_REPORTED = 64
MAX_KEY_LENGTH = 500


def key_of(endpoint: gateway.Endpoint) -> str:
    """Return the key of one life of an endpoint at one address."""
    return f"{endpoint.incarnation} {endpoint.address}"


class Announcements:
    """The endpoints that have said that they are leaving.

    Such an endpoint gets no new request, whatever is listed. What it was sent before ends as it
    would. Only another incarnation, or one at another address, is not affected.
    """

    __slots__ = ("leaving",)

    def __init__(self) -> None:
        # When each leaving endpoint was last known to be listed, by key.
        self.leaving: dict[str, float] = {}

    def record_leaving(self, endpoint: gateway.Endpoint, now: float) -> bool:
        """Record that an answer said that its endpoint is leaving; return whether that is new."""
        return self.merge_leaving(key_of(endpoint), now)

    def merge_leaving(self, key: str, now: float) -> bool:
        """Record that an endpoint is leaving, by its key; return whether that is new."""
        if key in self.leaving or len(key) > MAX_KEY_LENGTH:
            return False
        if len(self.leaving) >= MAX_LEAVING:
            del self.leaving[min(self.leaving, key=self.leaving.__getitem__)]
        self.leaving[key] = now
        return True

    def is_leaving(self, endpoint: gateway.Endpoint) -> bool:
        """Return whether an endpoint has said that it is leaving."""
        return bool(self.leaving) and key_of(endpoint) in self.leaving

    def expire(self, listed: collections.abc.Iterable[gateway.Endpoint], now: float) -> None:
        """Drop what concerns endpoints that have not been listed for long."""
        if not self.leaving:
            return
        for endpoint in listed:
            key = key_of(endpoint)
            if key in self.leaving:
                self.leaving[key] = now
        for key in [key for key, at in self.leaving.items() if now - at > UNLISTED_MEMORY_SECONDS]:
            del self.leaving[key]

    def build_report(self, listed: collections.abc.Iterable[gateway.Endpoint]) -> list[str]:
        """Return the keys of listed endpoints that are leaving, for the peers."""
        if not self.leaving:
            return []
        keys = [key for key in map(key_of, listed) if key in self.leaving]
        return keys[:MAX_REPORTED]
