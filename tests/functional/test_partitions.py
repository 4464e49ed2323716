"""Guards against calls that run twice or stand still while the dispatcher is cut off silently from
sessions and exchanges, and against sides that find each other late after the partition."""

import asyncio
import time

from masticward.models import work
from masticward.standins import forwarder
from tests.lib import fleet_case, fleets

PARTITION_SECONDS = 4.0
# Section 2 of the design: the sides reconnect within 1 s after the partition heals.
RECONNECT_SECONDS = 1.0
LATER_CALLS = 50


class PartitionTest(fleet_case.FleetCase):
    relay_agents = True

    async def test_dispatcher_cut_off_silently(self) -> None:
        await self.partition(forwarder.ForwarderMode.DROP)

    async def test_dispatcher_cut_off_with_resets(self) -> None:
        await self.partition(forwarder.ForwarderMode.CUT)

    async def partition(self, mode: forwarder.ForwarderMode) -> None:
        """Cut the dispatcher off, heal the partition and time the return of the entries."""
        async with self.load():
            dispatcher = await self.wait_for_dispatcher(fleets.WRITER)
            self.fleet.relays[dispatcher].set_mode(mode)
            cut_at = time.monotonic()
            await asyncio.sleep(PARTITION_SECONDS)
            # The page lets the entries move on within 1.5 s.
            self.assertNotEqual(dispatcher, await self.fleet.dispatcher_of(fleets.WRITER))
            self.fleet.relays[dispatcher].set_mode(forwarder.ForwarderMode.PASS)
            healed_at = time.monotonic()
            await self.wait_for_dispatcher(fleets.WRITER, lambda found: found == dispatcher)
            reconnected_at = time.monotonic()
            await self.wait_for_answers(lambda call: call.service == fleets.WRITER, LATER_CALLS)
        await self.assert_safe()
        starts = self.starts(fleets.WRITER, lambda run: cut_at < run.started_at < healed_at)
        self.assertTrue(starts)
        self.assertEqual(0, self.outcomes()[work.Outcome.NOT_RUN])
        self.assertLess(reconnected_at - healed_at, RECONNECT_SECONDS)
