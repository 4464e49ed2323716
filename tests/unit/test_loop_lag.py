"""Plays loads of one gateway: a hot team whose callers all reach the same one."""

import unittest

from masticward.state import loop_lag


class LoopLagTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lag = loop_lag.LoopLag()
        self.now = 100.0

    def play(self, late_seconds: float, count: int) -> list[bool]:
        """Let a timer fire some times, each so late, and return the judgement after each."""
        found = []
        for _ in range(count):
            self.now += 0.25 + late_seconds
            self.lag.record(late_seconds, self.now)
            found.append(self.lag.overloaded)
        return found

    def test_a_gateway_that_stays_late_sends_new_clients_elsewhere(self) -> None:
        self.assertTrue(self.play(0.4, 8)[-1])

    def test_one_freeze_is_no_overload(self) -> None:
        self.assertNotIn(True, self.play(5.0, 1) + self.play(0.0, 8))

    def test_a_busy_gateway_that_keeps_up_stays(self) -> None:
        self.assertNotIn(True, self.play(0.1, 100))

    def test_it_stays_away_until_the_balancer_has_moved_clients_and_comes_back(self) -> None:
        self.play(0.4, 8)
        left_at = self.now
        back = next(self.now for _ in range(100) if not self.play(0.0, 1)[0])
        self.assertGreater(back, left_at + 1.0)
        self.assertFalse(self.lag.overloaded)
