"""What endpoints announce in their answers, before or against what the store lists.

Times are in seconds of ``clocks.boot_time``.
"""

import collections.abc
import math
import random

from masticward.models import gateway

# An endpoint can be missing from the listings for a while, as after an outage of the store, and
# come back as the same incarnation.
UNLISTED_MEMORY_SECONDS = 120.0
MAX_LEAVING = 4096
# Endpoints in one message to the peers, and the longest key that is taken from one.
MAX_REPORTED = 64
MAX_KEY_LENGTH = 500
# An endpoint that wants nothing for longer is asked again after this time: it may have erred, and
# nothing else would ever show that.
MAX_PAUSE_SECONDS = 300.0
# Gateways return to an endpoint over this fraction of its pause, so as not to fill it at once.
REOPENING_FRACTION = 0.25
MAX_REOPENING_SECONDS = 1.0


def key_of(endpoint: gateway.Endpoint) -> str:
    """Return the key of one life of an endpoint at one address."""
    return f"{endpoint.incarnation} {endpoint.address}"


class Announcements:
    """The endpoints that have said that they are leaving, or want no request for a time.

    Such an endpoint gets no new request, whatever is listed. What it was sent before ends as it
    would. Only another incarnation, or one at another address, is not affected.
    """

    __slots__ = ("leaving", "paused_until")

    def __init__(self) -> None:
        # When each leaving endpoint was last known to be listed, by key.
        self.leaving: dict[str, float] = {}
        # When this process may send requests to an endpoint again, by key.
        self.paused_until: dict[str, float] = {}

    def record_pause(self, endpoint: gateway.Endpoint, seconds: float, now: float) -> float:
        """Record that an endpoint wants nothing from this process; return until when it gets none.

        ``seconds`` is what it asks for; more than ``MAX_PAUSE_SECONDS`` is not granted.
        """
        granted_seconds = min(seconds, MAX_PAUSE_SECONDS)
        spread_seconds = min(MAX_REOPENING_SECONDS, REOPENING_FRACTION * granted_seconds)
        until = now + granted_seconds + random.random() * spread_seconds
        key = key_of(endpoint)
        self.paused_until[key] = max(until, self.paused_until.get(key, 0.0))
        return self.paused_until[key]

    def opens_at(self, endpoint: gateway.Endpoint, now: float) -> float:
        """Return when an endpoint may be sent requests: now, later, or never (infinite)."""
        if not self.leaving and not self.paused_until:
            return now
        key = key_of(endpoint)
        return math.inf if key in self.leaving else max(now, self.paused_until.get(key, now))

    def is_open(self, endpoint: gateway.Endpoint, now: float) -> bool:
        """Return whether nothing that an endpoint has said forbids to send it requests now."""
        return self.opens_at(endpoint, now) <= now

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
        """Drop pauses that are over, and what concerns endpoints not listed for long."""
        for key in [key for key, until in self.paused_until.items() if until <= now]:
            del self.paused_until[key]
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
