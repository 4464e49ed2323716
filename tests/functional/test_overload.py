"""Guards against programs that outgrow their memory, refuse without a retry time or lose work when
callers keep five times the capacity under way for 30 s."""

import asyncio
import json
import time

from masticward import settings
from masticward.bench import fairness, history
from masticward.models import work
from tests.lib import fleet_case, fleets, processes

FACTOR = 5
OVERLOAD_SECONDS = 30.0
MEMORY_BOUND_BYTES = 256 * 1024 * 1024
BOOKING_MS = 200.0
# Below what five times the capacity leaves waiting for a team, so that some calls are refused.
WAITING_OF_A_TEAM = 3


class OverloadTest(fleet_case.FleetCase):
    writers = 5
    limits = settings.EntryLimits(team_queue_requests=WAITING_OF_A_TEAM)

    async def test_five_times_the_capacity(self) -> None:
        plan = self.fleet.plan
        for endpoint in self.endpoints_of(fleets.BOOKING):
            await self.fleet.platform.control_endpoint(endpoint, service_ms=BOOKING_MS)
        text = FACTOR * plan.capacity(fleets.WRITER) / sum(plan.shares().values())
        booking = FACTOR * plan.capacity(fleets.BOOKING) // len(plan.shares()) + 1
        async with self.load(text=text, booking=booking):
            for endpoint in self.endpoints_of(fleets.WRITER, fleets.BOOKING):
                await self.wait_until_warm(endpoint)
            start = time.monotonic()
            await asyncio.sleep(OVERLOAD_SECONDS)
            window = fairness.Interval(start, time.monotonic())
            memory = {
                name: processes.peak_memory_bytes(program.pid)
                for name, program in self.fleet.programs.items()
            }
        await self.assert_safe()
        self.assertLess(max(memory.values()), MEMORY_BOUND_BYTES, memory)
        outcomes = self.outcomes()
        self.assertEqual(0, outcomes[work.Outcome.UNKNOWN])
        refused = [call for call in self.history.calls if call.outcome is work.Outcome.NOT_RUN]
        self.assertTrue(refused, "the load was no overload")
        self.assertEqual([], [call for call in refused if not has_retry_time(call)])
        self.report(window, memory, len(refused))

    def report(self, window: fairness.Interval, memory: dict[str, int], refused: int) -> None:
        """Print the figures; how much of the capacity is used depends on the machine."""
        for service in (fleets.WRITER, fleets.BOOKING):
            capacity = self.fleet.plan.capacity(service)
            busy = fairness.utilization(self.history, service, capacity, window)
            ended = sum(
                call.service == service
                and call.outcome is work.Outcome.COMPLETE
                and window.start <= call.ended_at <= window.end
                for call in self.history.calls
            )
            rate = ended / (window.end - window.start)
            print(f"{service}: slots busy {busy:.1%}, {rate:.1f} complete calls a second")
        largest = max(memory, key=lambda name: memory[name])
        print(
            f"largest program: {largest} {memory[largest] / 1e6:.0f} MB; "
            f"{refused} of {len(self.history.calls)} calls refused",
            flush=True,
        )


def has_retry_time(call: history.CallRecord) -> bool:
    """Tell whether a refusal says when to come back."""
    return int(json.loads(call.detail)["retry_after_ms"]) > 0
