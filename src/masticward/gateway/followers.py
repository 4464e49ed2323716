"""Keeps the beliefs of a process up to date with the platform's store."""

import asyncio
import random

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import sources
from masticward.models import gateway
from masticward.utils import clocks

# Each call counts against the store's rates. A watch that hangs is noticed sooner by the peers'
# figures (endpoints, zones) and by the prover (configuration).
WAIT_SECONDS = 15.0
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 0.6
# Endpoints lapse after three missed pings, 2.4 s after an outage's start at the soonest.
OUTAGE_SECONDS = 2.0
LOGGER = logs.get_logger(__name__)


class Follower:
    """Follows one kind of objects by a listing and watches."""

    def __init__(
        self,
        source: sources.FleetSource,
        fleet: fleet_module.FleetState,
        kind: sources.ObjectKind,
    ) -> None:
        self.source = source
        self.fleet = fleet
        self.kind = kind
        self.lost = False
        # While the store is lost: the last moment at which it is known to have answered anybody.
        self.away_since = 0.0
        self.answered_at = clocks.boot_time()
        # Set when others know what this process does not: the watch may hang.
        self.relist_requested = asyncio.Event()

    async def run(self) -> None:
        """Follow until cancelled."""
        revision: int | None = None
        retry = FIRST_RETRY_SECONDS
        while True:
            asked_at = clocks.boot_time()
            try:
                if revision is None:
                    self.relist_requested.clear()
                    listing = await self.source.list_objects(self.kind)
                else:
                    watched = await self.watch(revision)
                    if watched is None:
                        revision = None
                        continue
                    listing = watched
            except errors.HistoryLostError:
                LOGGER.log(events.Event.STORE_HISTORY_LOST, kind=self.kind.value, revision=revision)
                revision = None
                continue
            except errors.StoreUnavailableError as error:
                self.note_lost(error)
                await asyncio.sleep(retry * random.uniform(0.6, 1.0))
                retry = min(LONGEST_RETRY_SECONDS, retry * 2)
                # A listing tells all that was missed; a watch may have lost its history.
                if asked_at - self.away_since > OUTAGE_SECONDS:
                    revision = None
                continue
            retry = FIRST_RETRY_SECONDS
            self.note_answer()
            self.apply(listing, asked_at)
            revision = listing.revision

    async def watch(self, revision: int) -> sources.Listing | None:
        """Return the changes after a revision; None if everything has to be listed again."""
        watch = asyncio.ensure_future(self.source.watch(self.kind, revision, WAIT_SECONDS))
        again = asyncio.ensure_future(self.relist_requested.wait())
        try:
            await asyncio.wait((watch, again), return_when=asyncio.FIRST_COMPLETED)
            if not watch.done():
                LOGGER.log(events.Event.WATCH_GIVEN_UP, kind=self.kind.value, revision=revision)
                return None
            return watch.result()
        finally:
            watch.cancel()
            again.cancel()

    def note_lost(self, error: errors.StoreError) -> None:
        """Log the loss of the store once."""
        if not self.lost:
            self.lost = True
            self.away_since = max(self.answered_at, self.fleet.configuration_proven_at)
            LOGGER.log(
                events.Event.GATEWAY_STORE_UNAVAILABLE, kind=self.kind.value, error=str(error)
            )

    def note_answer(self) -> None:
        """Log the return of the store and start the grace for lapsed endpoints."""
        now = clocks.boot_time()
        if self.lost:
            away = now - self.away_since
            LOGGER.log(
                events.Event.GATEWAY_STORE_RESTORED, kind=self.kind.value, seconds=round(away, 2)
            )
            self.lost = False
            if self.kind is sources.ObjectKind.ENDPOINTS and away > OUTAGE_SECONDS:
                self.fleet.table.start_relist_grace(now)
        self.answered_at = now

    def apply(self, listing: sources.Listing, asked_at: float) -> None:
        """Hand an answer to the beliefs."""
        if self.kind is sources.ObjectKind.CONFIGURATION:
            self.apply_configuration_listing(listing, asked_at)
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

    def apply_configuration_listing(self, listing: sources.Listing, asked_at: float) -> None:
        """Put a configuration in force, or prove the present one again."""
        found = [
            item.value
            for item in listing.items
            if isinstance(item.value, gateway.FleetConfiguration)
        ]
        for configuration in found:
            self.fleet.apply_configuration(configuration, asked_at, "store")
        if not found and not listing.items and not listing.complete:
            self.fleet.configuration_proven_at = max(self.fleet.configuration_proven_at, asked_at)


def create_followers(
    source: sources.FleetSource, fleet: fleet_module.FleetState
) -> dict[sources.ObjectKind, Follower]:
    """Return one follower for each kind of objects."""
    return {
        kind: Follower(source, fleet, kind)
        for kind in (
            sources.ObjectKind.CONFIGURATION,
            sources.ObjectKind.ENDPOINTS,
            sources.ObjectKind.EVACUATIONS,
        )
    }
