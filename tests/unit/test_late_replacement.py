"""Guards against streams lost with a dead endpoint because a late process doesn't replace it."""

import unittest

from tests.lib import overlap_model
from tests.unit import test_overlap_model

DEAD = overlap_model.Script([0.0, 0.0, 60.0])


class LateReplacementTest(unittest.TestCase):
    """An endpoint that sends nothing more, and a sound one for the only other attempt."""

    def test_a_pause_of_the_process_does_not_cost_the_only_replacement(self) -> None:
        # Its answer arrives while nothing runs for longer than an overlap may last.
        answering = overlap_model.Script([0.2])
        for after in (1.205, 1.25, 1.295):
            model = test_overlap_model.play([DEAD, answering], [(after, 0.4)])
            self.assertTrue(model.responder.ended, f"paused {after} s after the start")

    def test_a_process_that_stays_late_replaces_a_dead_endpoint(self) -> None:
        for pass_seconds in (0.06, 0.1, 0.15):
            model = test_overlap_model.play(
                [DEAD, overlap_model.Script()], pass_seconds=pass_seconds
            )
            self.assertTrue(model.responder.ended, f"passes of {pass_seconds} s")
            first, second = model.client.sent
            assert first.ended_at is not None and second.sent_at is not None
            self.assertLessEqual(first.ended_at, second.sent_at)
            for number in range(1, model.passes + 1):
                model = test_overlap_model.play(
                    [DEAD, overlap_model.Script()],
                    pass_seconds=pass_seconds,
                    leaves_in_pass=number,
                )
                for connection in model.client.connections:
                    self.assertTrue(connection.aborted or connection.released, number)
                self.assertEqual({}, dict(model.fleet.loads.own))


if __name__ == "__main__":
    unittest.main()
