"""Guards against peers that send without end and take the processor time of all others."""

import unittest

from masticward.state import read_turns
from tests.lib import read_turn_model

USE = read_turns.MAX_USE_SECONDS
ROUNDING = 1e-9


class ShareTest(unittest.TestCase):
    """Guards against a sound connection that waits, and an endless one that does not."""

    def setUp(self) -> None:
        self.model = read_turn_model.TurnModel()
        self.reader = read_turns.Reader()

    def use_until_limited(self) -> float:
        """Return how many seconds a new reader may use without a pause."""
        used = 0.0
        while not self.reader.limited:
            self.model.use(self.reader, USE / 2)
            used += USE / 2
        return used

    def test_a_use_without_pauses_is_limited(self) -> None:
        self.assertAlmostEqual(read_turns.BURST_SECONDS, self.use_until_limited(), delta=USE)

    def test_less_is_left_while_others_wait(self) -> None:
        self.model.add(read_turn_model.ReaderModel(USE))
        self.assertAlmostEqual(
            read_turns.CONTENDED_BURST_SECONDS, self.use_until_limited(), delta=USE
        )

    def test_silence_of_the_peer_restores_the_share(self) -> None:
        used = self.use_until_limited()
        for expected in (True, False):
            self.reader.silent_seconds += 0.6 * used / read_turns.READER_SHARE
            self.reader.restore_share()
            self.assertEqual(expected, self.reader.limited)

    def test_sound_streams_never_wait_beside_many_endless_ones(self) -> None:
        # 50 streams with 30 events a second.
        streams = [read_turns.Reader() for _ in range(50)]
        for _ in range(40):
            self.model.add(read_turn_model.ReaderModel(USE / 10, USE * 3))
        for _ in range(600):
            self.model.run(self.model.now + 1 / 30)
            for stream in streams:
                stream.silent_seconds += 1 / 30 - 2 * USE
                self.model.use(stream, USE / 4)
                self.assertFalse(stream.limited)

    def test_one_preemption_does_not_limit(self) -> None:
        self.model.add(read_turn_model.ReaderModel(USE))
        self.model.use(self.reader, 0.5)
        self.assertFalse(self.reader.limited)

    def test_less_is_read_at_once_while_uses_are_long(self) -> None:
        for _ in range(5):
            self.model.use(self.reader, 2 * USE)
        self.assertEqual(read_turns.MIN_READ_BYTES, self.reader.read_bytes)
        for _ in range(5):
            self.model.use(self.reader, USE / 10)
        self.assertEqual(read_turns.MAX_READ_BYTES, self.reader.read_bytes)


class TurnsTest(unittest.TestCase):
    """Guards against limited connections that together take the process, or starve each other."""

    def run_readers(self, *models: read_turn_model.ReaderModel) -> read_turn_model.TurnModel:
        """Run readers without end for 10 s."""
        model = read_turn_model.TurnModel(*models)
        model.run(model.now + 10.0)
        return model

    def test_all_together_use_their_part_of_the_time(self) -> None:
        for count in (1, 7, 200):
            with self.subTest(count):
                model = self.run_readers(*(read_turn_model.ReaderModel(USE) for _ in range(count)))
                self.assertAlmostEqual(
                    10.0 * read_turns.TURNS_SHARE, model.turns.turn_seconds, delta=2 * USE
                )

    def test_each_uses_the_same_time_whatever_its_turns_cost(self) -> None:
        costs = ((USE,), (USE / 100,), (USE / 3, USE * 5), (USE * 5,), (USE / 7,))
        models = [read_turn_model.ReaderModel(*cost) for cost in costs]
        self.run_readers(*models)
        seconds = [item.reader.turn_seconds for item in models]
        self.assertLessEqual(max(seconds) - min(seconds), USE * 5 + ROUNDING)

    def test_a_late_reader_gets_its_part_and_no_more(self) -> None:
        earlier = [read_turn_model.ReaderModel(USE) for _ in range(9)]
        model = self.run_readers(*earlier)
        before = [item.reader.turn_seconds for item in earlier]
        late = read_turn_model.ReaderModel(USE)
        model.add(late)
        joined = late.reader.turn_seconds
        model.run(model.now + 10.0)
        gained = [item.reader.turn_seconds - old for item, old in zip(earlier, before, strict=True)]
        self.assertAlmostEqual(late.reader.turn_seconds - joined, min(gained), delta=2 * USE)

    def test_a_reader_that_gives_up_leaves_its_turn_to_the_next(self) -> None:
        models = [read_turn_model.ReaderModel(USE) for _ in range(3)]
        model = read_turn_model.TurnModel(*models)
        first = model.turns.grant(model.now)
        self.assertIs(models[0].reader, first)
        self.assertIsNone(model.turns.grant(model.now))
        model.turns.withdraw(models[0].reader, model.now)
        model.turns.withdraw(models[1].reader, model.now)
        self.assertIs(models[2].reader, model.turns.grant(model.now))
        self.assertEqual(0, model.turns.waiting_count)

    def test_a_suspended_process_delays_no_turn_for_long(self) -> None:
        models = [read_turn_model.ReaderModel(5.0, *[USE] * 1000), read_turn_model.ReaderModel(USE)]
        model = read_turn_model.TurnModel(*models)
        model.run(model.now + 5.0)
        resumed_at = model.now
        model.run(resumed_at + 1.0)
        self.assertGreater(models[0].turns, 10)
        self.assertGreater(models[1].turns, 10)

    def test_the_time_of_a_wait_is_counted(self) -> None:
        model = read_turn_model.TurnModel(read_turn_model.ReaderModel(USE))
        reader = next(iter(model.models))
        self.assertEqual(2.0, reader.total_waited_seconds(model.now + 2.0))
        model.turns.grant(model.now + 3.0)
        self.assertEqual(3.0, reader.total_waited_seconds(model.now + 9.0))
        self.assertEqual(3.0, model.turns.waited_seconds)


if __name__ == "__main__":
    unittest.main()
