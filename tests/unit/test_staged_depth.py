"""Guards against an idle endpoint because its agent offers too few slots ahead of its limit."""

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
        """Fails if only the hop time counts, which excludes the dispatcher's queue."""
        self.assertGreaterEqual(self.depth(*[0.025] * 50), 3)

    def test_varying_turnaround_is_covered_up_to_its_deviation(self) -> None:
        """Fails if the endpoint is idle when slots return later than the mean."""
        self.assertGreaterEqual(self.depth(*[0.005, 0.035] * 50), LIMIT * 0.035 / 0.05)

    def test_at_most_four_limits_and_none_for_long_calls(self) -> None:
        """Fails if a slow dispatcher makes agents stage calls without bound."""
        self.assertEqual(4 * LIMIT, self.depth(hop=1.0))
        self.assertEqual(0, self.depth(hop=1.0, service=0.3))

    def test_long_turnaround_counts_up_to_one_call(self) -> None:
        """Fails if slots that queue behind each other raise the depth further."""
        self.assertEqual(LIMIT, self.depth(*[1.0] * 50))

    def test_depth_does_not_raise_the_number_of_calls_that_may_start(self) -> None:
        """Fails if slots offered ahead allow calls to start above the limit."""
        now = time.monotonic()
        endpoint_capacity = capacity.EndpointCapacity(now - 60.0, 1.0)
        endpoint_capacity.limit.set_limits(LIMIT, LIMIT)
        endpoint_capacity.staged_depth.note_hop_time(0.001)
        endpoint_capacity.staged_depth.note_service_time(0.05)
        for _ in range(50):
            endpoint_capacity.staged_depth.note_turnaround(1.0)
        for _ in range(LIMIT):
            self.assertTrue(endpoint_capacity.may_start(mock.sentinel.plain, now))
            endpoint_capacity.in_flight.start(now)
        self.assertFalse(endpoint_capacity.may_start(mock.sentinel.plain, now))
        self.assertEqual(LIMIT, endpoint_capacity.available_calls(0, now))


class TurnaroundTest(unittest.IsolatedAsyncioTestCase):
    def turnaround(self, waiting: int) -> float | None:
        """Return the turnaround that an agent measures for a slot that returns after 30 ms."""
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

    async def test_waiting_tickets_in_a_pong_are_passed_on(self) -> None:
        """Fails if an agent never receives the number of waiting tickets."""
        source = mock.Mock()
        loop = offers.OfferLoop(mock.Mock(), mock.Mock(), source, mock.Mock(), 1)
        session = mock.Mock(usable=True, waiting=3)
        loop.ranked = [("agent-1", "address")]
        loop.sessions = {("agent-1", "address"): session}
        loop.handle_pong(session, 0.002, first=False)
        source.record_waiting_tickets.assert_called_once_with(3)

    async def test_turnaround_is_measured_while_tickets_wait(self) -> None:
        """Fails if the time in the queues of dispatcher and entry is not measured."""
        measured = self.turnaround(waiting=1)
        assert measured is not None
        self.assertGreaterEqual(measured, 0.03)

    async def test_turnaround_is_not_measured_without_waiting_tickets(self) -> None:
        """Fails if slots that are idle at the dispatcher raise the depth."""
        self.assertIsNone(self.turnaround(waiting=0))


if __name__ == "__main__":
    unittest.main()
