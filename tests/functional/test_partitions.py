"""Guards against calls that run twice or stand still while the dispatcher is cut off silently from
sessions and exchanges, and against sides that find each other late after the partition."""

import asyncio
import time

from masticward.models import work
from masticward.standins import forwarder
from tests.lib import fleet_case, fleets

WARM_SECONDS = 2.0
PARTITION_SECONDS = 4.0
# Section 2 of the design: the sides reconnect within 1 s after the partition heals.
RECONNECT_SECONDS = 1.0
POLL_SECONDS = 0.02
GIVE_UP_SECONDS = 10.0


class PartitionTest(fleet_case.FleetCase):
    relay_agents = True

    async def test_dispatcher_cut_off_silently(self) -> None:
        await self.partition(forwarder.ForwarderMode.DROP)

    async def test_dispatcher_cut_off_with_resets(self) -> None:
        await self.partition(forwarder.ForwarderMode.CUT)

    async def partition(self, mode: forwarder.ForwarderMode) -> None:
        """Cut the dispatcher off, heal the partition and time the return of the entries."""
        async with self.load(60.0) as generator:
            await asyncio.sleep(WARM_SECONDS)
            dispatcher = await self.fleet.dispatcher_of(fleets.WRITER)
            self.fleet.relays[dispatcher].set_mode(mode)
            cut_at = time.monotonic()
            await asyncio.sleep(PARTITION_SECONDS)
            self.assertNotEqual(dispatcher, await self.fleet.dispatcher_of(fleets.WRITER))
            self.fleet.relays[dispatcher].set_mode(forwarder.ForwarderMode.PASS)
            healed_at = time.monotonic()
            reconnected_at = await self.wait_for_dispatcher(dispatcher)
            await asyncio.sleep(1.0)
            generator.stop()
        await self.assert_safe()
        starts = self.starts(fleets.WRITER, lambda run: cut_at < run.started_at < healed_at)
        self.assertTrue(starts)
        self.assertEqual(0, self.outcomes()[work.Outcome.NOT_RUN])
        self.assertLess(reconnected_at - healed_at, RECONNECT_SECONDS)

    async def wait_for_dispatcher(self, dispatcher: str) -> float:
        """Return the time at which the last entry uses the dispatcher again."""
        deadline = time.monotonic() + GIVE_UP_SECONDS
        while await self.fleet.dispatcher_of(fleets.WRITER) != dispatcher:
            if time.monotonic() > deadline:
                self.fail("the dispatcher is not used again")
            await asyncio.sleep(POLL_SECONDS)
        return time.monotonic()
