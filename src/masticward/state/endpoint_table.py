"""Endpoints listed in the platform's store, and which of them may be sent new requests.

Times are in seconds of ``clocks.boot_time``.
"""

import collections.abc

import msgspec

from masticward.models import gateway
from masticward.state import store_restore
from masticward.utils import identifiers

# After a store outage, the platform lists live endpoints again within about 2 s.
RELIST_GRACE_SECONDS = 2.0


class Change(msgspec.Struct, frozen=True):
    """A state change of an endpoint: "added", "draining" or "gone".

    A new incarnation of a listed endpoint also counts as "added".
    """

    endpoint_id: str
    state: str
    detail: str = ""


class EndpointTable:
    """Endpoints by ID. After a store outage, missing ones stay usable for a grace period."""

    __slots__ = (
        "cached_digest",
        "departures",
        "endpoints",
        "evacuated_zones",
        "grace_until",
        "missing",
        "rollout_marks",
        "zone_cold_until",
    )

    def __init__(self) -> None:
        self.endpoints: dict[str, gateway.Endpoint] = {}
        # Endpoints whose store entries expired during an outage, with the time at which they
        # are removed.
        self.missing: dict[str, float] = {}
        self.evacuated_zones: set[str] = set()
        # Orders of rollouts, which the digest covers.
        self.rollout_marks: list[str] = []
        # Zones back in service, with the time until which their endpoints count as cold: they may
        # have lost their warm state while they received no requests.
        self.zone_cold_until: dict[str, float] = {}
        self.grace_until = 0.0
        self.departures = store_restore.DepartedEndpoints()
        # None while the digest is out of date.
        self.cached_digest: int | None = None

    def start_relist_grace(self, now: float) -> None:
        """Start the grace period in which endpoints missing after a store outage are kept."""
        self.grace_until = now + RELIST_GRACE_SECONDS

    def share_relist_grace(self, seconds: float, now: float) -> None:
        """Keep missing endpoints at least as long as a peer does that has read the store."""
        self.grace_until = max(self.grace_until, now + min(seconds, RELIST_GRACE_SECONDS))

    def begin_era(self, now: float) -> None:
        """Prepare for the listing of a store that was restored from a copy.

        Endpoints that the copy lacks are listed again within the grace period.
        """
        self.departures.begin_era(self.endpoints.values(), now)
        self.start_relist_grace(now)

    def apply(
        self,
        entries: collections.abc.Iterable[tuple[str, gateway.Endpoint | None]],
        complete: bool,
        now: float,
    ) -> list[Change]:
        """Apply a listing (``complete``) or the changes of a watch, and return the state changes.

        An ID with None stands for a removed endpoint.
        """
        changes: list[Change] = []
        self.cached_digest = None
        seen = set()
        if complete:
            self.departures.begin_listing(now)
        for endpoint_id, endpoint in entries:
            seen.add(endpoint_id)
            if not complete:
                self.departures.note_written(endpoint_id, now)
            if endpoint is None:
                self.remove(endpoint_id, now, changes)
            elif not complete or not self.departures.rejects(endpoint, now):
                self.put(endpoint, changes)
        if complete:
            for endpoint_id in [item for item in self.endpoints if item not in seen]:
                self.remove(endpoint_id, now, changes)
        self.remove_expired(now, changes)
        return changes

    def apply_departures(
        self,
        entries: collections.abc.Iterable[tuple[str, gateway.Endpoint | None]],
        now: float,
    ) -> list[Change]:
        """Apply departures before the store was restored that were relayed late.

        They count unless the endpoint has written its entry since. Other changes of that time do
        not count: the store has lost them, or its listing has them.
        """
        changes: list[Change] = []
        for endpoint_id, endpoint in entries:
            known = self.endpoints.get(endpoint_id)
            if known is None or not self.departures.may_have_left(endpoint_id, now):
                continue
            if endpoint is None:
                self.departures.doubted[endpoint_id] = known.born
                self.discard(endpoint_id, now, changes)
            elif endpoint.draining and endpoint.born == known.born:
                self.departures.doubted[endpoint_id] = known.born
                self.cached_digest = None
                self.put(endpoint, changes)
        return changes

    def adopt_doubts(self, doubted: dict[str, int], seconds: float, now: float) -> list[Change]:
        """Doubt the entries that a peer doubts after the store was restored, as long as it does."""
        changes: list[Change] = []
        if seconds <= 0.0:
            return changes
        departures = self.departures
        departures.doubted_until = max(
            departures.doubted_until, now + min(seconds, store_restore.DOUBT_SECONDS)
        )
        for endpoint_id, born in doubted.items():
            if not departures.may_have_left(endpoint_id, now):
                continue
            departures.doubted[endpoint_id] = born
            known = self.endpoints.get(endpoint_id)
            if known is not None and known.born == born and not known.draining:
                departures.withheld.add(endpoint_id)
                self.discard(endpoint_id, now, changes)
        return changes

    def adopt_starts(
        self, endpoints: collections.abc.Iterable[gateway.Endpoint], now: float
    ) -> list[Change]:
        """Replace entries of a restored copy by those of later starts that a peer knows."""
        changes: list[Change] = []
        departures = self.departures
        for endpoint in endpoints:
            if not departures.may_have_left(endpoint.id, now):
                continue
            known = self.endpoints.get(endpoint.id)
            departures.latest[endpoint.id] = max(
                endpoint.born, departures.latest.get(endpoint.id, 0)
            )
            if known is not None and known.born < endpoint.born:
                departures.withheld.add(endpoint.id)
                self.cached_digest = None
                self.put(endpoint, changes)
        return changes

    def put(self, endpoint: gateway.Endpoint, changes: list[Change]) -> None:
        """Add or replace an endpoint, and append its state changes to ``changes``."""
        previous = self.endpoints.get(endpoint.id)
        self.missing.pop(endpoint.id, None)
        self.departures.left.pop(endpoint.id, None)
        self.endpoints[endpoint.id] = endpoint
        if previous is None or previous.born != endpoint.born:
            changes.append(Change(endpoint.id, "added", endpoint.address))
        if endpoint.draining and (previous is None or not previous.draining):
            changes.append(Change(endpoint.id, "draining"))

    def remove(self, endpoint_id: str, now: float, changes: list[Change]) -> None:
        """Remove an endpoint: at once, or at the end of a current grace period."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None:
            return
        if now < self.grace_until and not endpoint.draining:
            self.missing.setdefault(endpoint_id, self.grace_until)
            return
        self.discard(endpoint_id, now, changes)

    def discard(
        self, endpoint_id: str, now: float, changes: list[Change], detail: str = ""
    ) -> None:
        """Remove an endpoint at once and remember that it has left."""
        self.cached_digest = None
        self.missing.pop(endpoint_id, None)
        endpoint = self.endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            self.departures.record(endpoint, now)
        changes.append(Change(endpoint_id, "gone", detail))

    def knows_departure(self, endpoint: gateway.Endpoint) -> bool:
        """Return whether an endpoint that a peer keeps for a grace period is known to leave.

        It was listed once. If it is not in this table, or draining, or there is another
        incarnation, the store has said that it left.
        """
        known = self.endpoints.get(endpoint.id)
        return known is None or known.draining or known.born != endpoint.born

    def mark_missing(self, expires_at: dict[str, float]) -> None:
        """Mark listed endpoints as missing after an outage, with the times of their removal."""
        self.cached_digest = None
        self.missing.update(
            {name: until for name, until in expires_at.items() if name in self.endpoints}
        )

    def remove_expired(self, now: float, changes: list[Change]) -> None:
        """Remove missing endpoints whose grace period is over."""
        for endpoint_id in [item for item, until in self.missing.items() if until <= now]:
            self.discard(endpoint_id, now, changes, "not listed after an outage")

    def set_evacuated_zones(
        self, zones: set[str], now: float, services: collections.abc.Mapping[str, gateway.Service]
    ) -> bool:
        """Set the zones that operators have evacuated; return whether they changed."""
        if zones == self.evacuated_zones:
            return False
        self.cached_digest = None
        longest_cold_start = max(
            (item.cold_start_seconds for item in services.values()), default=0.0
        )
        for zone in self.evacuated_zones - zones:
            self.zone_cold_until[zone] = now + longest_cold_start
        self.evacuated_zones = set(zones)
        return True

    def set_rollout_marks(self, marks: list[str]) -> None:
        """Set what the digest covers of the orders of rollouts."""
        if marks != self.rollout_marks:
            self.rollout_marks = marks
            self.cached_digest = None

    def usable(self, service: str, now: float) -> list[gateway.Endpoint]:
        """Return the endpoints of a service that may be sent new requests."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service
            and not endpoint.draining
            and endpoint.availability_zone not in self.evacuated_zones
            and self.missing.get(endpoint.id, now + 1) > now
        ]

    def digest(self) -> int:
        """Return a hash of the listed endpoints and evacuated zones, the same in all processes."""
        if self.cached_digest is None:
            listed = sorted(
                f"{item.id} {item.born} {item.draining}"
                for item in self.endpoints.values()
                if item.id not in self.missing
            )
            self.cached_digest = identifiers.stable_hash(
                *listed, *sorted(self.evacuated_zones), *self.rollout_marks
            )
        return self.cached_digest

    def cold_until(self, endpoint: gateway.Endpoint) -> float:
        """Return the time until which an endpoint counts as cold."""
        return max(endpoint.cold_until, self.zone_cold_until.get(endpoint.availability_zone, 0.0))
