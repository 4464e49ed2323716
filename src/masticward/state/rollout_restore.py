"""What holds against the orders that a store lists after it was restored from a copy.

The copy may lack orders and their statuses, and list orders that were replaced or deleted since.
Times are in seconds of ``clocks.boot_time``.
"""

import collections.abc
import math

from masticward.models import rollouts
from masticward.state import rollout, store_restore

FINAL_STATES = (rollouts.RolloutState.COMPLETED, rollouts.RolloutState.ROLLED_BACK)


class RestoredOrders:
    """Orders that are held although they are not listed, and listed ones that are not accepted."""

    __slots__ = ("entered", "is_first", "latest", "missing", "past", "rejected", "until")

    def __init__(self) -> None:
        # Whether the store was restored while this process had a listing.
        self.entered = False
        # Whether the next listing is the first one of an era.
        self.is_first = False
        # Services whose orders are held until the listing has been stable.
        self.missing: set[str] = set()
        self.until = 0.0
        # Revisions by service in the latest listing.
        self.latest: dict[str, int] = {}
        # Services whose listed order is not accepted, with its revision.
        self.rejected: dict[str, int] = {}
        # By service and target: when an order of it was replaced or deleted.
        self.past: dict[tuple[str, str], float] = {}

    def record_past(self, service: str, target: str, now: float) -> None:
        """Remember an order that is in force no longer."""
        oldest = now - store_restore.DEPARTURE_MEMORY_SECONDS
        self.past = {key: at for key, at in self.past.items() if at > oldest}
        self.past[service, target] = now

    def accept(self, service: str, target: str) -> None:
        """Note that an order is in force."""
        self.past.pop((service, target), None)
        self.rejected.pop(service, None)

    def begin_era(self, now: float) -> None:
        """Prepare for the first listing of a restored store."""
        self.entered = self.is_first = True
        self.until = now + store_restore.STABLE_LISTING_SECONDS
        self.rejected.clear()
        self.latest.clear()

    def begin_listing(
        self,
        items: collections.abc.Iterable[tuple[str, rollouts.Order | None]],
        known: dict[str, rollout.Rollout],
        now: float,
    ) -> set[str]:
        """Prepare for a complete listing; return the services whose orders are not accepted."""
        if not self.entered:
            return set()
        listed = {order.service: order for _, order in items if order is not None}
        if self.is_first:
            for service, order in listed.items():
                if self.is_outdated(order, known.get(service), now):
                    self.rejected[service] = order.revision
        self.rejected = {
            service: revision
            for service, revision in self.rejected.items()
            if service in listed and listed[service].revision == revision
        }
        latest = {service: order.revision for service, order in listed.items()}
        if self.is_first:
            self.missing = known.keys() - (listed.keys() - self.rejected.keys())
        else:
            self.missing -= listed.keys() - self.rejected.keys()
            if latest != self.latest:
                self.until = now + store_restore.STABLE_LISTING_SECONDS
            elif now >= self.until:
                self.missing.clear()
        self.is_first = False
        self.latest = latest
        return set(self.rejected)

    def is_outdated(self, order: rollouts.Order, known: rollout.Rollout | None, now: float) -> bool:
        """Return whether the copy lists an order that was replaced or deleted since.

        So does an unknown one of another target that is decided already: none is within the time
        from a restoration to the first listing.
        """
        if known is not None and known.order.target == order.target:
            return False
        left_at = self.past.get((order.service, order.target), -math.inf)
        return now - left_at <= store_restore.DEPARTURE_MEMORY_SECONDS or (
            known is not None and order.state in FINAL_STATES
        )

    def apply_change(self, service: str, now: float) -> bool:
        """Apply the change of a watch, which was written in the present era.

        Return whether the order was missing, so that it is the lost one that is written again.
        """
        if self.missing:
            self.until = now + store_restore.STABLE_LISTING_SECONDS
        self.latest.pop(service, None)
        self.rejected.pop(service, None)
        was_missing = service in self.missing
        self.missing.discard(service)
        return was_missing

    @property
    def check_at(self) -> float:
        """When a listing may end the hold; infinite without held orders."""
        return self.until if self.missing else math.inf
