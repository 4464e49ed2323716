"""Guards against calls that run twice, falsely "not run" refusals and long pauses when programs
are killed, frozen or leave."""

import asyncio
import itertools
import signal
import time

from masticward.bench import load
from masticward.models import work
from tests.lib import fleet_case, fleets

# The dispatcher is replaced in about 1.5 s and issued slots expire in 2 s; both may follow each
# other, and a call must then run.
RECOVERY_SECONDS = 5.0
FREEZE_SECONDS = 4.0
# Long enough that a call seen under way is still so when its agent is killed.
LONG_CALL_MS = 500.0
# Longer than a program needs to report that it stops.
DRAINED_CALL_MS = 3_000.0
SECOND_SIGNAL_EXIT_CODE = 1
# Calls that must be answered, or started, after a fault before the load ends.
LATER_CALLS = 50


class ProcessFaultTest(fleet_case.FleetCase):
    async def test_entry_killed(self) -> None:
        async with self.load():
            await self.fleet.kill("entry-1")
            await self.wait_for_answers(lambda call: call.entry == "entry-2", LATER_CALLS)
        await self.assert_safe()
        survivors = self.outcomes(lambda call: call.entry == "entry-2")
        self.assertGreater(survivors[work.Outcome.COMPLETE], 0)
        self.assertEqual(0, survivors[work.Outcome.UNKNOWN])

    async def test_agent_killed_after_send(self) -> None:
        victim = "booking-1"
        for endpoint in self.fleet.plan.endpoints:
            await self.fleet.platform.control_endpoint(endpoint.id, service_ms=LONG_CALL_MS)
        async with self.load(text=0, booking=3):
            await self.wait_until_running(victim)
            await self.fleet.kill(victim)
            killed_at = time.monotonic()
            await fleet_case.sleep_until(killed_at + RECOVERY_SECONDS / 2)
            await self.wait_for_answers(lambda call: True)
        await self.assert_safe()
        victims = {
            run.request_digest
            for run in self.history.runs
            if run.endpoint == victim and run.started_at < killed_at
        }
        # Calls that had reached the endpoint may not be repeated, whatever became of them.
        unknown = [call for call in self.history.calls if call.outcome is work.Outcome.UNKNOWN]
        self.assertTrue(unknown, "no call was under way at the killed agent")
        self.assertLessEqual({call.request_digest for call in unknown}, victims | self.never_ran())
        later = self.outcomes(lambda call: call.sent_at > killed_at + RECOVERY_SECONDS / 2)
        self.assertEqual({work.Outcome.COMPLETE}, set(later))

    async def test_dispatcher_killed(self) -> None:
        async with self.load():
            dispatcher = await self.wait_for_dispatcher(fleets.WRITER)
            await self.fleet.kill(dispatcher)
            killed_at = time.monotonic()
            await self.wait_past_recovery(killed_at, dispatcher)
        await self.assert_safe()
        self.assert_resumes(killed_at, dispatcher)

    async def test_dispatcher_frozen_and_thawed(self) -> None:
        async with self.load():
            dispatcher = await self.wait_for_dispatcher(fleets.WRITER)
            self.fleet.signal(dispatcher, signal.SIGSTOP)
            frozen_at = time.monotonic()
            await asyncio.sleep(FREEZE_SECONDS)
            self.fleet.signal(dispatcher, signal.SIGCONT)
            await self.wait_past_recovery(frozen_at, dispatcher)
        await self.assert_safe()
        self.assert_resumes(frozen_at, dispatcher)

    async def test_endpoint_cold_again_under_load(self) -> None:
        endpoint = "writer-2"
        async with self.load(text=4, booking=0):
            await self.wait_until_warm(endpoint)
            await self.wait_until_running(endpoint)
            await self.fleet.platform.restart_endpoint_cold(endpoint)
            server = self.fleet.platform.endpoints[endpoint]
            await self.wait_for(lambda: not server.faults.cold, "the end of the cold start")
            await self.wait_for_starts([endpoint], time.monotonic(), LATER_CALLS)
        await self.assert_safe()
        outcomes = self.outcomes()
        self.assertGreater(outcomes[work.Outcome.COMPLETE], 0)

    async def test_rolling_restart_loses_no_request(self) -> None:
        async with self.load(text=2, booking=1) as generator:
            for name in [*self.fleet.agent_names(), *self.fleet.entry_names()]:
                self.assertEqual(0, await self.fleet.rolling_restart(name), name)
                if name in generator.balancer.targets:
                    await self.wait_until_balanced(name, generator.balancer)
        await self.assert_safe()
        self.assertEqual({work.Outcome.COMPLETE}, set(self.outcomes()))

    async def test_second_signal_ends_the_program_at_once(self) -> None:
        """Fails if an operator cannot stop a program that still has work at hand."""
        victim = "booking-1"
        for endpoint in self.endpoints_of(fleets.BOOKING):
            await self.fleet.platform.control_endpoint(endpoint, service_ms=DRAINED_CALL_MS)
        async with self.load(text=0, booking=1):
            await self.wait_until_running(victim)
            self.fleet.signal(victim, signal.SIGTERM)
            while await self.fleet.is_ready(victim):
                await asyncio.sleep(fleet_case.POLL_SECONDS)
            # The call under way would hold the program for seconds, and the exit code would be 0.
            self.assertEqual(SECOND_SIGNAL_EXIT_CODE, await self.fleet.terminate(victim))
        await self.assert_safe()
        self.assertGreater(self.outcomes()[work.Outcome.UNKNOWN], 0)

    async def wait_until_balanced(self, name: str, balancer: load.Balancer) -> None:
        """Wait until the balancer uses a restarted entry; else it may have no entry left."""
        await self.wait_for(lambda: balancer.targets[name].ready, f"{name} in the balancer")
        await self.wait_for_answers(lambda call: call.entry == name)

    async def wait_past_recovery(self, since: float, dispatcher: str) -> None:
        """Wait until other agents start work after the recovery time."""
        await fleet_case.sleep_until(since + RECOVERY_SECONDS)
        others = [name for name in self.endpoints_of(fleets.WRITER) if name != dispatcher]
        await self.wait_for_starts(others, since + RECOVERY_SECONDS)

    def never_ran(self) -> set[int]:
        """Return the calls that no endpoint recorded."""
        ran = {run.request_digest for run in self.history.runs}
        return {call.request_digest for call in self.history.calls} - ran

    def assert_resumes(self, since: float, dispatcher: str) -> None:
        """Fail unless other agents start work again within the recovery time."""
        starts = self.starts(fleets.WRITER, lambda run: run.endpoint != dispatcher)
        later = [at for at in starts if at > since + RECOVERY_SECONDS]
        self.assertTrue(later, "no run started after the recovery time")
        edges = [since, *[at for at in starts if at > since]]
        longest = max(after - before for before, after in itertools.pairwise(edges))
        self.assertLess(longest, RECOVERY_SECONDS)
        print(f"longest time without a start: {longest:.2f} s", flush=True)
