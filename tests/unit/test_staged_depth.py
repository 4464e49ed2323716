"""Guards against slots that idle because an agent offers too few ahead of its limit."""

import time
import unittest
from unittest import mock

from masticward.coordination import endpoint_runner, offers
from masticward.models import membership
from masticward.state import capacity, staged_depth

LIMIT = 6


class StagedDepthTest(unittest.TestCase):
    def depth(self, *turnarounds: float, service: float = 0.05, hop: float = 0.001) -> int:
        depth = staged_depth.StagedDepth()
        depth.note_hop_time(hop)
        depth.note_service_time(service)
        for seconds in turnarounds:
            depth.note_turnaround(seconds)
        return depth.slots_ahead(LIMIT)

    def test_hop_time_alone_covers_three_hops(self) -> None:
        self.assertEqual(1, self.depth())

    def test_steady_turnaround_is_covered(self) -> None:
        """Fails if only the pongs' time counts: they pass the dispatcher's queue by."""
        self.assertGreaterEqual(self.depth(*[0.025] * 50), 3)

    def test_varying_turnaround_is_covered_up_to_its_deviation(self) -> None:
        """Fails if slots that return later than the mean find the endpoint idle."""
        self.assertGreaterEqual(self.depth(*[0.005, 0.035] * 50), LIMIT * 0.035 / 0.05)

    def test_at_most_four_limits_and_none_for_long_calls(self) -> None:
        """Fails if a slow dispatcher makes agents stage without bound."""
        self.assertEqual(4 * LIMIT, self.depth(hop=1.0))
        self.assertEqual(0, self.depth(hop=1.0, service=0.3))

    def test_long_turnaround_counts_up_to_one_call(self) -> None:
        """Fails if slots that queue behind each other call for more slots ahead."""
        self.assertEqual(LIMIT, self.depth(*[1.0] * 50))

    def test_depth_never_raises_the_calls_that_may_start(self) -> None:
        """Fails if slots offered ahead count as room to start."""
        now = time.monotonic()
        held = capacity.EndpointCapacity(now - 60.0, 1.0)
        held.limit.set_limits(LIMIT, LIMIT)
        held.staged_depth.note_hop_time(0.001)
        held.staged_depth.note_service_time(0.05)
        for _ in range(50):
            held.staged_depth.note_turnaround(1.0)
        for _ in range(LIMIT):
            self.assertTrue(held.may_start(mock.sentinel.plain, now))
            held.in_flight.start(now)
        self.assertFalse(held.may_start(mock.sentinel.plain, now))
        self.assertEqual(LIMIT, held.available_calls(0, now))


class TurnaroundTest(unittest.IsolatedAsyncioTestCase):
    def turnaround(self, waiting: int) -> float | None:
        """Return what an agent learns from a slot that comes back after 30 ms."""
        instance = membership.Instance(
            id="agent-1",
            role=membership.Role.AGENT,
            service="booking",
            availability_zone="east",
            peer_address="",
            admin_address="",
        )
        runner = endpoint_runner.EndpointRunner(
            mock.Mock(configuration=None), mock.Mock(), instance, 1, "booking"
        )
        (slot_id,), _ = runner.slots.issue(1, time.monotonic() - 0.03)
        runner.record_waiting_tickets(waiting)
        runner.checks = mock.Mock()
        runner.checks.check_target.return_value = None
        runner.admit(mock.Mock(slot_id=slot_id, attempt_id="a1", ticket_id="t1"))
        return runner.capacity.staged_depth.turnaround_seconds

    async def test_pong_tells_whether_work_waits(self) -> None:
        """Fails if an agent never learns that its slots are measured under a backlog."""
        source = mock.Mock()
        loop = offers.OfferLoop(mock.Mock(), mock.Mock(), source, mock.Mock(), 1)
        session = mock.Mock(usable=True, waiting=3)
        loop.ranked = [("agent-1", "address")]
        loop.sessions = {("agent-1", "address"): session}
        loop.handle_pong(session, 0.002, first=False)
        source.record_waiting_tickets.assert_called_once_with(3)

    async def test_slot_that_finds_work_waiting_is_measured(self) -> None:
        """Fails if the time in the queues of dispatcher and entry is not seen."""
        measured = self.turnaround(waiting=1)
        assert measured is not None
        self.assertGreaterEqual(measured, 0.03)

    async def test_slot_that_waits_for_work_is_not_measured(self) -> None:
        """Fails if agents offer far ahead because slots lie idle at the dispatcher."""
        self.assertIsNone(self.turnaround(waiting=0))


if __name__ == "__main__":
    unittest.main()
