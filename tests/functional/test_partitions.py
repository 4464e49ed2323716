"""Guards against calls that run twice, hang or stand still while an agent is cut off silently from
sessions, exchanges and attempts, and against sides that find each other late after the partition.
"""

import asyncio
import time

from masticward.models import work
from masticward.standins import forwarder
from tests.lib import fleet_case, fleets

PARTITION_SECONDS = 4.0
# Section 2 of the design: the sides reconnect within 1 s after the partition heals.
RECONNECT_SECONDS = 1.0
LATER_CALLS = 50


# Attempts under way are cut; calls of this length are under way at any moment.
LONG_CALL_MS = 500.0
# Far above the 6 s in which keep-alive notices a silent connection.
DEADLINE_SECONDS = 30.0


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
            await self.wait_for_dispatcher(fleets.WRITER, lambda found: found != dispatcher)
            self.fleet.relays[dispatcher].set_mode(forwarder.ForwarderMode.PASS)
            healed_at, healed_clock = time.monotonic(), time.time()
            await self.wait_for_dispatcher(fleets.WRITER, lambda found: found == dispatcher)
            # The sessions in use now are the last that opened.
            opened = {
                record["entry"]: at
                for at, record in self.fleet.logged(dispatcher, "entry_session_opened")
            }
            await self.wait_for_answers(lambda call: call.service == fleets.WRITER, LATER_CALLS)
        await self.assert_safe()
        starts = self.starts(fleets.WRITER, lambda run: cut_at < run.started_at < healed_at)
        self.assertTrue(starts)
        self.assertEqual(0, self.outcomes()[work.Outcome.NOT_RUN])
        for entry in self.fleet.entry_names():
            self.assertGreater(opened[entry], healed_clock)
            self.assertLess(opened[entry] - healed_clock, RECONNECT_SECONDS)

    async def test_attempts_cut_off_silently(self) -> None:
        """Fails if a call whose attempt is cut hangs, runs again or gets a false outcome."""
        for endpoint in self.endpoints_of(fleets.BOOKING):
            await self.fleet.platform.control_endpoint(endpoint, service_ms=LONG_CALL_MS)
        async with self.load(deadline_seconds=DEADLINE_SECONDS):
            victims = []
            for service in (fleets.WRITER, fleets.BOOKING):
                dispatcher = await self.wait_for_dispatcher(service)
                victims.append(next(e for e in self.endpoints_of(service) if e != dispatcher))
            for victim in victims:
                await self.wait_until_running(victim)
                self.fleet.relays[victim].set_mode(forwarder.ForwarderMode.DROP)
            # The partition lasts until the calls under way have ended without the cut streams.
            earlier = [call for call in self.history.calls if not call.ended_at]
            await self.wait_for(lambda: all(c.ended_at for c in earlier), "ends of earlier calls")
            for victim in victims:
                self.fleet.relays[victim].set_mode(forwarder.ForwarderMode.PASS)
            healed_at = time.monotonic()
            for victim in victims:
                await self.wait_for_starts([victim], healed_at)
        await self.assert_safe()
        lengths = [call.ended_at - call.sent_at for call in self.history.calls]
        self.assertLess(max(lengths), DEADLINE_SECONDS)
        self.assertEqual(0, self.outcomes()[work.Outcome.NOT_RUN])
        elsewhere = {run.request_digest for run in self.history.runs if run.endpoint not in victims}
        unknown = [call for call in self.history.calls if call.outcome is work.Outcome.UNKNOWN]
        self.assertTrue([call for call in unknown if call.service == fleets.BOOKING])
        self.assertEqual([], [call for call in unknown if call.request_digest in elsewhere])
        print(f"longest call: {max(lengths):.2f} s, unknown: {len(unknown)}", flush=True)
