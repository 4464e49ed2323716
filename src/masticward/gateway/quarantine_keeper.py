"""Keeps quarantines of prompt parts in the store, for the case that all gateways stop at once."""

import asyncio
import time

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import sources
from masticward.state import part_quarantine
from masticward.utils import clocks

POLL_SECONDS = 0.5
RETRY_SECONDS = 1.0
LOGGER = logs.get_logger(__name__)


class QuarantineKeeper:
    """Reads the stored quarantines at the start; stores those that this gateway begins or ends."""

    def __init__(self, source: sources.FleetSource, fleet: fleet_module.FleetState) -> None:
        self.source = source
        self.fleet = fleet
        self.loaded = False

    async def run(self) -> None:
        """Load once and store changes until cancelled."""
        while True:
            try:
                if not self.loaded:
                    await self.load()
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
