"""Tests of the overload detection, which moves clients away from a gateway that lags.

A single gateway overloads when all callers of a busy team connect to it.
"""

import unittest

from masticward.state import loop_lag


class LoopLagTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lag = loop_lag.LoopLag()
        self.now = 100.0

    def fire_timer(self, late_seconds: float, count: int) -> list[bool]:
        """Record timers that fire ``late_seconds`` late; return the overload state after each."""
        states = []
        for _ in range(count):
            self.now += 0.25 + late_seconds
            self.lag.record(late_seconds, self.now)
            states.append(self.lag.overloaded)
        return states

    def test_persistent_lag_is_overload(self) -> None:
        self.assertTrue(self.fire_timer(0.4, 8)[-1])

    def test_a_single_freeze_is_no_overload(self) -> None:
        self.assertNotIn(True, self.fire_timer(5.0, 1) + self.fire_timer(0.0, 8))

    def test_moderate_lag_is_no_overload(self) -> None:
        self.assertNotIn(True, self.fire_timer(0.1, 100))

    def test_overload_lasts_until_the_load_balancer_has_moved_clients(self) -> None:
        self.fire_timer(0.4, 8)
        overloaded_at = self.now
        recovered_at = next(self.now for _ in range(100) if not self.fire_timer(0.0, 1)[0])
        self.assertGreater(recovered_at, overloaded_at + 1.0)
        self.assertFalse(self.lag.overloaded)

    def test_clients_are_moved_before_the_gateway_is_overloaded(self) -> None:
        self.fire_timer(0.15, 20)
        self.assertEqual((True, False), (self.lag.moves_clients, self.lag.overloaded))

    def test_clients_are_not_moved_after_a_single_freeze_or_a_short_lag(self) -> None:
        self.fire_timer(0.05, 20)
        self.assertFalse(self.lag.moves_clients)
        self.fire_timer(0.4, 1)
        self.fire_timer(0.0, 2)
        self.assertFalse(self.lag.moves_clients)
