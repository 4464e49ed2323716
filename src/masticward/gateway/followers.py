"""Keeps the fleet state up to date with the platform's store by listings and watches."""

import asyncio
import random

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import sources
from masticward.models import gateway
from masticward.utils import clocks

# Long, because each call counts against the store's rate limits. A hanging watch is detected sooner
# by the peers' reports (endpoints, zones) and by the prover (configuration).
WATCH_TIMEOUT_SECONDS = 15.0
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.6
# The store entry of an endpoint expires after three missed heartbeats, at the earliest 2.4 s after
# the start of an outage. Shorter outages need neither a new listing nor a grace period.
MIN_OUTAGE_SECONDS = 2.0
LOGGER = logs.get_logger(__name__)


class Follower:
    """Follows one kind of stored object by a listing and subsequent watches."""

    def __init__(
        self,
        source: sources.FleetSource,
        fleet: fleet_module.FleetState,
        kind: sources.ObjectKind,
    ) -> None:
        self.source = source
        self.fleet = fleet
        self.kind = kind
        self.store_unavailable = False
        # During an outage: the latest time at which the store responded to any gateway.
        self.unavailable_since = 0.0
        self.last_response_at = clocks.boot_time()
        # Set when peers have changes that this process lacks, because its watch may hang.
        self.relist_requested = asyncio.Event()

    async def run(self) -> None:
        """List and watch the objects until cancelled."""
        revision: int | None = None
        retry_seconds = MIN_RETRY_SECONDS
        while True:
            requested_at = clocks.boot_time()
            try:
                if revision is None:
                    self.relist_requested.clear()
                    listing = await self.source.list_objects(self.kind)
                else:
                    changes = await self.watch(revision)
                    if changes is None:
                        revision = None
                        continue
                    listing = changes
            except errors.HistoryLostError:
                LOGGER.log(events.Event.STORE_HISTORY_LOST, kind=self.kind.value, revision=revision)
                revision = None
                continue
            except errors.StoreUnavailableError as error:
                self.record_failure(error)
                await asyncio.sleep(retry_seconds * random.uniform(0.6, 1.0))
                retry_seconds = min(MAX_RETRY_SECONDS, retry_seconds * 2)
                # After an outage a listing covers every change; the history of a watch may be lost.
                if requested_at - self.unavailable_since > MIN_OUTAGE_SECONDS:
                    revision = None
                continue
            retry_seconds = MIN_RETRY_SECONDS
            self.record_response()
            self.apply_listing(listing, requested_at)
            revision = listing.revision

    async def watch(self, revision: int) -> sources.Listing | None:
        """Return the changes after a revision; None if a new listing is needed."""
        watch = asyncio.ensure_future(self.source.watch(self.kind, revision, WATCH_TIMEOUT_SECONDS))
        relist = asyncio.ensure_future(self.relist_requested.wait())
        try:
            await asyncio.wait((watch, relist), return_when=asyncio.FIRST_COMPLETED)
            if not watch.done():
                LOGGER.log(events.Event.WATCH_GIVEN_UP, kind=self.kind.value, revision=revision)
                return None
            return watch.result()
        finally:
            watch.cancel()
            relist.cancel()

    def record_failure(self, error: errors.StoreError) -> None:
        """Record a failed call and log the start of an outage once."""
        if not self.store_unavailable:
            self.store_unavailable = True
            self.unavailable_since = max(self.last_response_at, self.fleet.configuration_proven_at)
            LOGGER.log(
                events.Event.GATEWAY_STORE_UNAVAILABLE, kind=self.kind.value, error=str(error)
            )

    def record_response(self) -> None:
        """Record a successful call; after an outage, log its end and start the grace period."""
        now = clocks.boot_time()
        if self.store_unavailable:
            outage_seconds = now - self.unavailable_since
            LOGGER.log(
                events.Event.GATEWAY_STORE_RESTORED,
                kind=self.kind.value,
                seconds=round(outage_seconds, 2),
            )
            self.store_unavailable = False
            if self.kind is sources.ObjectKind.ENDPOINTS and outage_seconds > MIN_OUTAGE_SECONDS:
                self.fleet.table.start_relist_grace(now)
        self.last_response_at = now

    def apply_listing(self, listing: sources.Listing, requested_at: float) -> None:
        """Apply a listing or the changes of a watch to the fleet state."""
        if self.kind is sources.ObjectKind.CONFIGURATION:
            self.apply_configuration_listing(listing, requested_at)
        elif self.kind is sources.ObjectKind.ENDPOINTS:
            if listing.complete or listing.items:
                self.fleet.apply_endpoints(
                    [(item.name, None if item.removed else item.value) for item in listing.items],
                    listing.complete,
                )
        elif listing.complete or listing.items:
            self.fleet.apply_evacuations(
                [(item.name, not item.removed) for item in listing.items], listing.complete
            )

    def apply_configuration_listing(self, listing: sources.Listing, requested_at: float) -> None:
        """Apply a configuration; a watch without changes proves that the current one is newest."""
        configurations = [
            item.value
            for item in listing.items
            if isinstance(item.value, gateway.FleetConfiguration)
        ]
        for configuration in configurations:
            self.fleet.apply_configuration(configuration, requested_at, "store")
        if not configurations and not listing.items and not listing.complete:
            self.fleet.configuration_proven_at = max(
                self.fleet.configuration_proven_at, requested_at
            )


def create_followers(
    source: sources.FleetSource, fleet: fleet_module.FleetState
) -> dict[sources.ObjectKind, Follower]:
    """Return one follower for each kind of object that has to be followed."""
    return {
        kind: Follower(source, fleet, kind)
        for kind in (
            sources.ObjectKind.CONFIGURATION,
            sources.ObjectKind.ENDPOINTS,
            sources.ObjectKind.EVACUATIONS,
        )
    }
