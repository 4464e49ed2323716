"""Stored quarantines while the store is slow or fails."""

import asyncio
import time
import unittest

from masticward import errors
from masticward.gateway import quarantine_keeper, sources
from masticward.state import part_quarantine
from masticward.utils import clocks
from tests.lib import gateway_builders as builders


class SlowStore(builders.UnusedStore):
    """Stores quarantines; calls wait for ``released``, and the first ``failures`` ones fail."""

    def __init__(self) -> None:
        super().__init__()
        self.stored: dict[str, sources.StoredQuarantine] = {}
        self.called = asyncio.Event()
        self.released = asyncio.Event()
        self.failures = 0

    async def list_objects(self, kind: sources.ObjectKind) -> sources.Listing:
        items = [sources.StoredObject(key, value) for key, value in self.stored.items()]
        return sources.Listing(tuple(items), 1, True)

    async def serve(self) -> None:
        self.called.set()
        await self.released.wait()
        if self.failures:
            self.failures -= 1
            raise errors.StoreUnavailableError("quarantines", "no answer")

    async def save_quarantine(self, quarantine: sources.StoredQuarantine) -> None:
        await self.serve()
        self.stored[quarantine.key] = quarantine

    async def delete_quarantine(self, key: str) -> None:
        await self.serve()
        self.stored.pop(key, None)


class QuarantineKeeperTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a stored quarantine that is given up before its successor is stored."""

    async def asyncSetUp(self) -> None:
        self.store = SlowStore()
        self.fleet = builders.make_fleet(now=clocks.boot_time())
        self.quarantine = self.fleet.quarantine
        self.keeper = quarantine_keeper.QuarantineKeeper(self.store, self.fleet)

    async def store_beside(self, second: str) -> None:
        """Store a decision, and make a second one while the call runs."""
        self.store.called.clear()
        self.store.released.clear()
        storing = asyncio.create_task(self.keeper.store_decisions())
        await self.store.called.wait()
        self.decide(second)
        self.store.released.set()
        await storing

    def decide(self, decision: str) -> None:
        now = clocks.boot_time()
        if decision == "quarantined":
            self.quarantine.quarantine(self.quarantine.get("a"), now)
        else:
            self.quarantine.record_answer(["a"], now)

    async def test_a_decision_that_is_made_while_another_is_stored_is_stored_too(self) -> None:
        """Guards against quarantines that are forgotten, or come back, after a restart."""
        self.decide("quarantined")
        self.quarantine.update(self.quarantine.parts["a"], clocks.boot_time())
        await self.store_beside("answered")
        self.assertEqual({}, self.store.stored)
        self.decide("quarantined")
        self.store.released.set()
        await self.keeper.store_decisions()
        self.decide("answered")
        await self.store_beside("quarantined")
        self.assertEqual({"a"}, set(self.store.stored))
        self.assertEqual(set(), self.quarantine.decided)

    async def test_a_failed_delete_of_an_old_quarantine_keeps_none_from_being_restored(
        self,
    ) -> None:
        """Guards against deadly parts that are sent again after a restart beside a bad store."""
        age = part_quarantine.QUARANTINE_MEMORY_SECONDS + 1.0
        for key, seconds in (("old", -age), ("new", 30.0)):
            stored = sources.StoredQuarantine(key, 1, time.time() + seconds)
            self.store.stored[key] = stored
        self.store.failures = 1
        self.store.released.set()
        running = asyncio.create_task(self.keeper.run())
        async with asyncio.timeout(5.0):
            while set(self.store.stored) != {"new"}:
                await asyncio.sleep(0.01)
        running.cancel()
        self.assertTrue(self.quarantine.parts["new"].is_quarantined(clocks.boot_time()))
