"""The endpoints that the platform lists, and which of them may get new work.

Moments are seconds of ``clocks.boot_time``.
"""

import collections.abc

import msgspec

from masticward.models import gateway
from masticward.utils import identifiers

# After an outage of the store, living endpoints are listed again within about 2 s (users' letter).
RELIST_GRACE_SECONDS = 2.0


class Change(msgspec.Struct, frozen=True):
    """A change of what this process believes of an endpoint."""

    endpoint_id: str
    state: str
    detail: str = ""


class EndpointTable:
    """Endpoints by id. A missing endpoint stays usable for a while after an outage of the store."""

    __slots__ = (
        "endpoints",
        "grace_until",
        "known_digest",
        "missing",
        "out_zones",
        "zone_cold_until",
    )

    def __init__(self) -> None:
        self.endpoints: dict[str, gateway.Endpoint] = {}
        # Endpoints that lapsed while the store was away, with the moment at which they are dropped.
        self.missing: dict[str, float] = {}
        self.out_zones: set[str] = set()
        # Zones taken back: their endpoints may have become cold.
        self.zone_cold_until: dict[str, float] = {}
        self.grace_until = 0.0
        # None while the digest has to be computed again.
        self.known_digest: int | None = None

    def start_relist_grace(self, now: float) -> None:
        """Keep endpoints that lapsed during an outage until they can be listed again."""
        self.grace_until = now + RELIST_GRACE_SECONDS

    def apply(
        self,
        found: collections.abc.Iterable[tuple[str, gateway.Endpoint | None]],
        complete: bool,
        now: float,
    ) -> list[Change]:
        """Take over a listing (``complete``) or the changes of a watch; None means removed."""
        changes: list[Change] = []
        self.known_digest = None
        seen = set()
        for endpoint_id, endpoint in found:
            seen.add(endpoint_id)
            if endpoint is None:
                self.remove(endpoint_id, now, changes)
            else:
                self.put(endpoint, changes)
        if complete:
            for endpoint_id in [item for item in self.endpoints if item not in seen]:
                self.remove(endpoint_id, now, changes)
        self.remove_expired(now, changes)
        return changes

    def put(self, endpoint: gateway.Endpoint, changes: list[Change]) -> None:
        """Add or replace an endpoint."""
        known = self.endpoints.get(endpoint.id)
        self.missing.pop(endpoint.id, None)
        self.endpoints[endpoint.id] = endpoint
        if known is None or known.born != endpoint.born:
            changes.append(Change(endpoint.id, "added", endpoint.address))
        if endpoint.draining and (known is None or not known.draining):
            changes.append(Change(endpoint.id, "draining"))

    def remove(self, endpoint_id: str, now: float, changes: list[Change]) -> None:
        """Drop an endpoint, at once or at the end of the grace after an outage."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None:
            return
        if now < self.grace_until and not endpoint.draining:
            self.missing.setdefault(endpoint_id, self.grace_until)
            return
        del self.endpoints[endpoint_id]
        self.missing.pop(endpoint_id, None)
        changes.append(Change(endpoint_id, "gone"))

    def remove_expired(self, now: float, changes: list[Change]) -> None:
        """Drop endpoints whose grace is over."""
        for endpoint_id in [item for item, until in self.missing.items() if until <= now]:
            self.known_digest = None
            del self.missing[endpoint_id]
            self.endpoints.pop(endpoint_id, None)
            changes.append(Change(endpoint_id, "gone", "not listed after an outage"))

    def set_out_zones(
        self, zones: set[str], now: float, services: collections.abc.Mapping[str, gateway.Service]
    ) -> bool:
        """Take over the zones that operators have taken out; returns whether they changed."""
        if zones == self.out_zones:
            return False
        self.known_digest = None
        longest = max((item.cold_start_seconds for item in services.values()), default=0.0)
        for zone in self.out_zones - zones:
            self.zone_cold_until[zone] = now + longest
        self.out_zones = set(zones)
        return True

    def usable(self, service: str, now: float) -> list[gateway.Endpoint]:
        """Return the endpoints of a service that may get new work."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service
            and not endpoint.draining
            and endpoint.availability_zone not in self.out_zones
            and self.missing.get(endpoint.id, now + 1) > now
        ]

    def digest(self) -> int:
        """Return a number that is the same in all processes with the same listed endpoints."""
        if self.known_digest is None:
            listed = sorted(
                f"{item.id} {item.born} {item.draining}"
                for item in self.endpoints.values()
                if item.id not in self.missing
            )
            self.known_digest = identifiers.stable_hash(*listed, *sorted(self.out_zones))
        return self.known_digest

    def cold_until(self, endpoint: gateway.Endpoint) -> float:
        """Return the moment until which an endpoint has to be treated as cold."""
        return max(endpoint.cold_until, self.zone_cold_until.get(endpoint.availability_zone, 0.0))
