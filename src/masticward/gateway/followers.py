"""Keeps the beliefs of a process up to date with the platform's store."""

import asyncio
import random

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import sources
from masticward.models import gateway
from masticward.utils import clocks

# Each answer of this watch proves the configuration again, several times within revoke_seconds.
CONFIGURATION_WAIT_SECONDS = 1.5
# A silent connection of these must be noticed within the bounds on draining and evacuation.
WAIT_SECONDS = 2.0
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 0.6
# Endpoints lapse after three missed pings; a shorter outage removes none.
OUTAGE_SECONDS = 1.5
LOGGER = logs.get_logger(__name__)


class Follower:
    """Follows one kind of objects by a listing and watches."""

    def __init__(
        self,
        source: sources.FleetSource,
        fleet: fleet_module.Fleet,
        kind: sources.ObjectKind,
        wait_seconds: float,
    ) -> None:
        self.source = source
        self.fleet = fleet
        self.kind = kind
        self.wait_seconds = wait_seconds
        self.lost_since: float | None = None
        self.answered_at = clocks.boot_time()

    async def run(self) -> None:
        """Follow until cancelled."""
        revision: int | None = None
        retry = FIRST_RETRY_SECONDS
        while True:
            asked_at = clocks.boot_time()
            try:
                if revision is None:
                    listing = await self.source.list_objects(self.kind)
                else:
                    listing = await self.source.watch(self.kind, revision, self.wait_seconds)
            except errors.HistoryLostError:
                LOGGER.log(events.Event.STORE_HISTORY_LOST, kind=self.kind.value, revision=revision)
                revision = None
                continue
            except errors.StoreUnavailableError as error:
                self.note_lost(error)
                await asyncio.sleep(retry * random.uniform(0.6, 1.0))
                retry = min(LONGEST_RETRY_SECONDS, retry * 2)
                # A listing tells all that was missed; a watch may have lost its history.
                if self.lost_since is not None and asked_at - self.answered_at > OUTAGE_SECONDS:
                    revision = None
                continue
            retry = FIRST_RETRY_SECONDS
            self.note_answer()
            self.apply(listing, asked_at)
            revision = listing.revision

    def note_lost(self, error: errors.StoreError) -> None:
        """Log the loss of the store once."""
        if self.lost_since is None:
            self.lost_since = clocks.boot_time()
            LOGGER.log(
                events.Event.GATEWAY_STORE_UNAVAILABLE, kind=self.kind.value, error=str(error)
            )

    def note_answer(self) -> None:
        """Log the return of the store and start the grace for lapsed endpoints."""
        now = clocks.boot_time()
        if self.lost_since is not None:
            away = now - self.answered_at
            LOGGER.log(
                events.Event.GATEWAY_STORE_RESTORED, kind=self.kind.value, seconds=round(away, 2)
            )
            self.lost_since = None
            if self.kind is sources.ObjectKind.ENDPOINTS and away > OUTAGE_SECONDS:
                self.fleet.table.note_store_return(now)
        self.answered_at = now

    def apply(self, listing: sources.Listing, asked_at: float) -> None:
        """Hand an answer to the beliefs."""
        if self.kind is sources.ObjectKind.CONFIGURATION:
            self.apply_configuration(listing, asked_at)
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

    def apply_configuration(self, listing: sources.Listing, asked_at: float) -> None:
        """Put a configuration in force, or prove the present one again."""
        found = [
            item.value
            for item in listing.items
            if isinstance(item.value, gateway.FleetConfiguration)
        ]
        for configuration in found:
            self.fleet.take_configuration(configuration, asked_at, "store")
        if not found and not listing.items and not listing.complete:
            self.fleet.configuration_proven_at = max(self.fleet.configuration_proven_at, asked_at)


def create_followers(source: sources.FleetSource, fleet: fleet_module.Fleet) -> list[Follower]:
    """Return one follower for each kind of objects."""
    return [
        Follower(source, fleet, sources.ObjectKind.CONFIGURATION, CONFIGURATION_WAIT_SECONDS),
        Follower(source, fleet, sources.ObjectKind.ENDPOINTS, WAIT_SECONDS),
        Follower(source, fleet, sources.ObjectKind.EVACUATIONS, WAIT_SECONDS),
    ]
