"""Guards against gaps beyond the bound of section 6.1 while dispatcher and agents fail."""

import msgspec

from tests.lib import dispatcher_faults, fleet_case

MEASURED_SECONDS = 9.0


class FairnessUnderFaultsTest(fleet_case.FleetCase):
    bookings = 1

    async def test_gap_with_dispatcher_killed_and_agent_restarted(self) -> None:
        """Fails if the next dispatcher serves a flooding team by its number of calls."""
        fault = dispatcher_faults.Fault.KILLED_AND_RESTARTED
        measured = await dispatcher_faults.measure(
            self.fleet, self.history, fault, MEASURED_SECONDS
        )
        print(msgspec.json.encode(measured).decode(), flush=True)
        await self.assert_safe()
        self.assertGreater(measured.least_service, 0.0)
        self.assertLessEqual(measured.gap, measured.bound)
