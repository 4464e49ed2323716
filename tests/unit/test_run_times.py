"""Guards the estimate by which a stopping gateway begins or refuses requests, without a network."""

import unittest

from masticward.state import run_times
from tests.lib import gateway_builders as builders


class RunTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.times = run_times.RunTimes()

    def play(self, route: str, start: float, end: float, tokens: int = 0) -> None:
        self.times.end(self.times.start(route, tokens, start), end, True)

    def test_a_route_without_an_ended_request_is_unknown(self) -> None:
        self.times.start("plan", 0, 0.0)
        self.assertIsNone(self.times.expected_seconds("plan", 0, 5.0))

    def test_a_part_of_an_answer_does_not_tell_how_long_others_take(self) -> None:
        # A stream whose client left after 0.1 s was taken for the length of all of its route.
        self.times.end(self.times.start("plan", 0, 0.0), 0.1, False)
        self.assertIsNone(self.times.expected_seconds("plan", 0, 1.0))
        self.play("plan", 0.0, 2.0)
        self.times.end(self.times.start("plan", 0, 0.0), 3.0, False)
        self.assertEqual(3.0, self.times.expected_seconds("plan", 0, 3.0))

    def test_the_longest_request_counts_also_while_it_runs(self) -> None:
        self.play("plan", 0.0, 2.0)
        self.play("plan", 0.0, 1.0)
        self.assertEqual(2.0, self.times.expected_seconds("plan", 0, 2.0))
        self.times.start("plan", 0, 3.0)
        self.assertEqual(4.0, self.times.expected_seconds("plan", 0, 7.0))
        self.assertIsNone(self.times.expected_seconds("book", 0, 7.0))

    def test_the_slowest_request_counts_for_longer_ones(self) -> None:
        # After a restart, the only request that has ended may be a short one.
        self.play("plan", 0.0, 1.0, tokens=40)
        self.play("plan", 0.0, 0.9, tokens=60)
        self.assertEqual(4.0, self.times.expected_seconds("plan", 160, 1.0))
        self.assertEqual(1.0, self.times.expected_seconds("plan", 10, 1.0))

    def test_old_times_are_forgotten(self) -> None:
        self.play("plan", 0.0, 2.0)
        self.assertEqual(2.0, self.times.expected_seconds("plan", 0, run_times.SPAN_SECONDS + 1.0))
        self.play("plan", 34.0, 35.0)
        self.assertEqual(1.0, self.times.expected_seconds("plan", 0, 65.0))
        self.assertIsNone(self.times.expected_seconds("plan", 0, 200.0))


class LastRequestsTest(unittest.TestCase):
    """The load: requests of short and long routes that arrive until a gateway ends."""

    def setUp(self) -> None:
        self.fleet = builders.make_fleet()
        self.plan, self.book = self.fleet.configuration.routes[:2]  # type: ignore[union-attr]
        for route, seconds in ((self.plan, 2.0), (self.book, 0.1)):
            self.fleet.run_times.end(self.fleet.run_times.start(route.name, 0, 0.0), seconds, True)

    def test_every_request_is_begun_while_the_gateway_runs(self) -> None:
        self.assertTrue(self.fleet.can_finish(self.plan, 0, 1e9, 5.0, 5.0))

    def test_long_requests_are_refused_before_short_ones(self) -> None:
        self.fleet.ends_at = 10.0
        begun = {
            route.name: [now for now in range(11) if self.fleet.can_finish(route, 0, 1e9, now, 0.0)]
            for route in (self.plan, self.book)
        }
        self.assertEqual({"r1": list(range(7)), "r2": list(range(10))}, begun)

    def test_a_request_whose_own_time_ends_before_is_begun(self) -> None:
        self.fleet.ends_at = 10.0
        self.assertTrue(self.fleet.can_finish(self.plan, 0, 10.0, 9.0, 9.0))
        self.assertFalse(self.fleet.can_finish(self.plan, 0, 10.5, 9.0, 9.0))

    def test_a_late_request_is_begun_only_if_its_own_time_ends_before(self) -> None:
        # It may take longer than all recent ones, and its client reaches other gateways.
        self.fleet.stopping_at, self.fleet.ends_at = 1.0, 10.0
        self.assertTrue(self.fleet.can_finish(self.book, 0, 1e9, 4.0, 3.7))
        self.assertFalse(self.fleet.can_finish(self.book, 0, 1e9, 4.0, 3.9))
        self.assertTrue(self.fleet.can_finish(self.book, 0, 10.0, 4.0, 3.9))
