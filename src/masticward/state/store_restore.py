"""What holds against the listing of a store that was restored from a copy some seconds old.

Each restoration begins a new era of the store. The copy may list endpoints that have left since,
and lack evacuations. Times are in seconds of ``clocks.boot_time``.
"""

import collections.abc
import math

from masticward.models import gateway

# Departures are remembered this long; a copy is some seconds old.
DEPARTURE_MEMORY_SECONDS = 120.0
MAX_DEPARTURES = 4096
# An entry expires 2.4 s after its endpoint last wrote it. One that is still listed after twice that
# time was written after the store was restored.
DOUBT_SECONDS = 5.0
# Operators write lost evacuations again; the listing is taken as theirs once it is stable.
STABLE_LISTING_SECONDS = 2.0


class DepartedEndpoints:
    """Endpoints that are known to have left, to drain or to have started anew.

    Only entries of listings are doubted. A change of a watch was written in the new era.
    """

    __slots__ = ("doubted", "doubted_until", "latest", "left", "rewritten", "withheld")

    def __init__(self) -> None:
        # ``born`` of each endpoint that has left lately, and when it left.
        self.left: dict[str, tuple[int, float]] = {}
        # ``born`` of each endpoint whose entry in the copy is not accepted before that time.
        self.doubted: dict[str, int] = {}
        self.doubted_until = 0.0
        # ``born`` of each endpoint that was listed when the store was restored. Until that time, an
        # entry of an earlier start is not accepted in its place.
        self.latest: dict[str, int] = {}
        # Endpoints that the latest listing has and that are not accepted.
        self.withheld: set[str] = set()
        # Endpoints whose entries are known to have been written in the present era.
        self.rewritten: set[str] = set()

    def record(self, endpoint: gateway.Endpoint, now: float) -> None:
        """Remember an endpoint that has left."""
        self.left.pop(endpoint.id, None)
        self.left[endpoint.id] = (endpoint.born, now)
        if len(self.left) > MAX_DEPARTURES:
            del self.left[next(iter(self.left))]

    def begin_era(self, listed: collections.abc.Iterable[gateway.Endpoint], now: float) -> None:
        """Doubt the entries of endpoints known to have left or to drain, and of earlier starts.

        ``listed`` are the endpoints that are known so far.
        """
        endpoints = list(listed)
        self.rewritten.clear()
        self.withheld.clear()
        lately = self.left_lately(now)
        self.left = {key: value for key, value in self.left.items() if key in lately}
        self.doubted.update(lately)
        self.doubted.update({item.id: item.born for item in endpoints if item.draining})
        self.latest = {item.id: item.born for item in endpoints}
        self.doubted_until = now + DOUBT_SECONDS

    def left_lately(self, now: float) -> dict[str, int]:
        """Return ``born`` of each endpoint that has left within the time that is remembered."""
        return {
            endpoint_id: born
            for endpoint_id, (born, left_at) in self.left.items()
            if now - left_at <= DEPARTURE_MEMORY_SECONDS
        }

    def begin_listing(self, now: float) -> None:
        """Prepare for the entries of a complete listing."""
        self.withheld.clear()
        if now >= self.doubted_until:
            self.doubted.clear()
            self.latest.clear()

    def rejects(self, endpoint: gateway.Endpoint, now: float) -> bool:
        """Return whether an entry of a listing is taken as one that the copy has brought back."""
        if now >= self.doubted_until:
            return False
        has_left = not endpoint.draining and self.doubted.get(endpoint.id) == endpoint.born
        if not has_left and endpoint.born >= self.latest.get(endpoint.id, 0):
            return False
        self.withheld.add(endpoint.id)
        return True

    def note_written(self, endpoint_id: str, now: float) -> None:
        """Accept an endpoint whose entry was written in the present era."""
        if now < self.doubted_until:
            self.rewritten.add(endpoint_id)
            self.doubted.pop(endpoint_id, None)
            self.latest.pop(endpoint_id, None)
            self.withheld.discard(endpoint_id)

    def may_have_left(self, endpoint_id: str, now: float) -> bool:
        """Return whether a departure in the era before may concern the entry that is listed."""
        return now < self.doubted_until and endpoint_id not in self.rewritten

    @property
    def check_at(self) -> float:
        """When a listing shows whether withheld entries are current; infinite without any."""
        return self.doubted_until if self.withheld else math.inf


class HeldZones:
    """Evacuated zones that a restored copy does not list.

    They stay evacuated until they are listed, are seen to be taken back, or until the listing has
    been stable for ``STABLE_LISTING_SECONDS``.
    """

    __slots__ = ("held", "listed", "until")

    def __init__(self) -> None:
        self.held: set[str] = set()
        # The zones listed last while others are held; None before the first listing.
        self.listed: set[str] | None = None
        self.until = 0.0

    def begin_era(self, zones: collections.abc.Iterable[str], now: float) -> None:
        """Hold the zones that are evacuated when the store has been restored."""
        self.held |= set(zones)
        self.listed = None
        self.until = now + STABLE_LISTING_SECONDS

    def adopt(self, seconds_by_zone: dict[str, float], now: float) -> None:
        """Hold the zones that a peer holds, for as long as it does."""
        self.held |= seconds_by_zone.keys()
        for seconds in seconds_by_zone.values():
            self.until = max(self.until, now + min(seconds, STABLE_LISTING_SECONDS))

    def apply_listing(self, zones: set[str], now: float) -> set[str]:
        """Return the zones to evacuate after a complete listing."""
        if self.held:
            if self.listed is not None and zones != self.listed:
                self.until = now + STABLE_LISTING_SECONDS
            elif now >= self.until:
                self.held.clear()
            self.listed = set(zones)
        return zones | self.held

    def apply_change(self, zone: str, evacuated: bool, now: float) -> None:
        """Apply the change of a watch: it was written in the present era, so that it counts."""
        if not self.held:
            return
        self.held.discard(zone)
        self.until = now + STABLE_LISTING_SECONDS
        if self.listed is not None:
            if evacuated:
                self.listed.add(zone)
            else:
                self.listed.discard(zone)

    @property
    def check_at(self) -> float:
        """When a listing may end the hold; infinite without held zones."""
        return self.until if self.held else math.inf
