"""Keeps quarantines of prompt parts in the store, for the case that all gateways stop at once."""

import asyncio
import random
import time

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import sources
from masticward.state import part_quarantine
from masticward.utils import clocks

POLL_SECONDS = 0.5
RETRY_SECONDS = 1.0
# Gateways check over this time what a restored store lacks, so that few write the same.
RESTORE_SPREAD_SECONDS = 1.5
LOGGER = logs.get_logger(__name__)


class QuarantineKeeper:
    """Reads the stored quarantines at the start; stores those that this gateway begins or ends."""

    def __init__(self, source: sources.FleetSource, fleet: fleet_module.FleetState) -> None:
        self.source = source
        self.fleet = fleet
        self.loaded = False
        # The store's era in which the stored quarantines were last compared with the known ones.
        self.era = 0
        # When they are compared again; None while that is not due.
        self.compare_at: float | None = None

    async def run(self) -> None:
        """Load once and store changes until cancelled."""
        while True:
            try:
                if not self.loaded:
                    await self.load()
                await self.compare_in_new_era(clocks.boot_time())
                await self.store_decisions()
                await asyncio.sleep(POLL_SECONDS)
            except errors.StoreError as error:
                LOGGER.log(
                    events.Event.QUARANTINES_NOT_STORED,
                    loaded=self.loaded,
                    unsaved=sorted(self.fleet.quarantine.decided),
                    error=str(error),
                )
                await asyncio.sleep(RETRY_SECONDS)

    async def load(self) -> None:
        """Restore the stored quarantines; have those deleted that are too old to matter."""
        listing = await self.source.list_objects(sources.ObjectKind.QUARANTINES)
        self.loaded = True
        self.era = max(listing.era, self.fleet.known_era)
        for item in listing.items:
            stored = item.value
            if not isinstance(stored, sources.StoredQuarantine):
                continue
            seconds = stored.expires_at - time.time()
            if seconds <= -part_quarantine.QUARANTINE_MEMORY_SECONDS:
                self.fleet.quarantine.decided.add(stored.key)
                continue
            self.fleet.quarantine.restore(
                stored.key, stored.quarantines, seconds, clocks.boot_time()
            )

    async def compare_in_new_era(self, now: float) -> None:
        """Have what a store that was restored from a copy has lost written again.

        Each gateway that knows of a quarantine does so, some time after the new era began.
        """
        era = self.fleet.known_era
        if era <= self.era:
            return
        if self.compare_at is None:
            self.compare_at = now + random.uniform(0.0, RESTORE_SPREAD_SECONDS)
        if now < self.compare_at:
            return
        quarantine = self.fleet.quarantine
        if any(part.quarantines for part in quarantine.parts.values()):
            listing = await self.source.list_objects(sources.ObjectKind.QUARANTINES)
            if listing.era < self.fleet.known_era:
                return
            stored = {
                item.value.key: item.value.quarantines
                for item in listing.items
                if isinstance(item.value, sources.StoredQuarantine)
            }
            for key, part in quarantine.parts.items():
                if part.was_quarantined:
                    if stored.get(key, 0) < part.quarantines:
                        quarantine.decided.add(key)
                elif key in stored and part.quarantines:
                    quarantine.decided.add(key)
        self.era = era
        self.compare_at = None

    async def store_decisions(self) -> None:
        """Write the quarantines that this gateway began, and delete those that it ended."""
        quarantine = self.fleet.quarantine
        while quarantine.decided:
            key = next(iter(quarantine.decided))
            decision = self.find_decision(key)
            if decision is None:
                await self.source.delete_quarantine(key)
            else:
                quarantines, until = decision
                expires_at = time.time() + until - clocks.boot_time()
                await self.source.save_quarantine(
                    sources.StoredQuarantine(key, quarantines, expires_at)
                )
            # Another decision that was made meanwhile is stored next.
            if self.find_decision(key) == decision:
                quarantine.decided.discard(key)

    def find_decision(self, key: str) -> tuple[int, float] | None:
        """Return the number of a part's quarantines and the end of the last; None if cleared."""
        part = self.fleet.quarantine.parts.get(key)
        if part is None or not part.was_quarantined:
            return None
        return part.quarantines, part.quarantined_until
