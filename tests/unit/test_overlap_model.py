"""Plays requests whose attempts overlap, with scripted endpoints and without a network.

Guards against events twice or left out, against two endpoints at work for long, against responses
that are given up for a replacement that refuses, and against attempts that are left behind.
"""

import asyncio
import collections.abc
import math
import re
import unittest
import unittest.mock

import hypothesis
import hypothesis.strategies as st

from masticward.gateway import overlap, request_path
from masticward.utils import clocks
from tests.lib import overlap_model

TWICE_SECONDS = 0.4
SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=250, report_multiple_bugs=False
)
PAUSES = st.lists(st.sampled_from([0.0, 0.01, 0.1, 0.15, 0.3, 1.2, 1.3, 1.5, 60.0]), max_size=6)
SCRIPTS = st.builds(
    overlap_model.Script,
    PAUSES,
    st.sampled_from(["", "", "refuse", "fail", "break"]),
    st.integers(0, 5),
    st.booleans(),
)
Script = overlap_model.Script


def play(
    scripts: collections.abc.Sequence[overlap_model.Script],
    blocks: collections.abc.Sequence[tuple[float, float]] = (),
    leaves_after: float = math.inf,
    leaves_in_pass: int = 0,
    pass_seconds: float = 0.0,
    max_attempts: int = 2,
    write_seconds: float = 0.0,
    retry_slack: float = 100.0,
) -> overlap_model.Model:
    """Serve a request; ``blocks`` has seconds after its start and for how long nothing runs."""
    loop = overlap_model.VirtualLoop(pass_seconds)

    async def run() -> overlap_model.Model:
        model = overlap_model.Model(scripts, max_attempts, write_seconds, retry_slack)
        for after, seconds in blocks:
            loop.call_later(after, loop.block, seconds)
        task = loop.create_task(model.serve())
        loop.on_pass = lambda number: number == leaves_in_pass and task.cancel()
        await asyncio.wait({task}, timeout=min(60.0, leaves_after))
        task.cancel()
        await asyncio.wait({task})
        if not task.cancelled():
            task.result()
        model.passes = loop.passes
        return model

    with unittest.mock.patch.object(clocks, "boot_time", loop.time):
        try:
            return loop.run_until_complete(run())
        finally:
            loop.close()


class OverlapModelTest(unittest.TestCase):
    """Properties of every request, and faults that were found with them."""

    def check(self, model: overlap_model.Model, max_attempts: int, bound: float) -> None:
        """Check what holds whatever the endpoints do."""
        served = re.findall(rb"id: (\d+)\ndata: (\d+) at", model.responder.body)
        numbers = [int(number) for number, _ in served]
        self.assertEqual(list(range(1, len(numbers) + 1)), numbers)
        if model.responder.ended and model.responder.status == 200:
            self.assertEqual(overlap_model.LAST_EVENT, len(numbers))
        sent = model.client.sent
        self.assertLessEqual(sum(not connection.refused for connection in sent), max_attempts)
        for connection in model.client.connections:
            self.assertTrue(connection.aborted or connection.released, connection.name)
        for index, connection in enumerate(sent):
            for other in sent[index + 1 :]:
                together = min(connection.ended_at, other.ended_at) - other.sent_at
                self.assertLessEqual(together, bound)
        self.assertEqual({}, dict(model.fleet.loads.own))
        self.assertEqual(set(), model.fleet.run_times.running)
        self.assertEqual(0, model.client.memory.held_bytes)

    @SETTINGS
    @hypothesis.given(st.lists(SCRIPTS, min_size=1, max_size=5), st.integers(1, 3))
    def test_one_attempt_serves_and_the_others_are_closed(
        self, scripts: list[overlap_model.Script], max_attempts: int
    ) -> None:
        model = play(scripts, max_attempts=max_attempts)
        self.check(model, max_attempts, overlap.OVERLAP_SECONDS + overlap.LATE_READ_SECONDS)

    @SETTINGS
    @hypothesis.given(
        st.lists(SCRIPTS, min_size=1, max_size=5),
        st.lists(st.tuples(st.floats(0.0, 4.0), st.floats(0.0, 0.2)), max_size=4),
        st.sampled_from([0.0, 0.02, 0.5]),
        st.floats(0.0, 6.0),
    )
    def test_it_holds_in_a_late_process_for_a_slow_client_that_leaves(
        self,
        scripts: list[overlap_model.Script],
        blocks: list[tuple[float, float]],
        write_seconds: float,
        leaves_after: float,
    ) -> None:
        model = play(scripts, blocks, leaves_after, max_attempts=3, write_seconds=write_seconds)
        self.check(model, 3, TWICE_SECONDS)

    @SETTINGS
    @hypothesis.given(
        st.lists(st.sampled_from([0.01, 0.3, 1.3, 2.0]), min_size=6, max_size=6),
        st.lists(st.tuples(st.floats(0.0, 4.0), st.floats(0.0, 0.3)), max_size=4),
        st.booleans(),
    )
    # The refusal arrives while nothing runs for 0.25 s.
    @hypothesis.example([0.01, 0.01, 2.0, 0.01, 0.01, 0.01], [(1.24, 0.25)], False)
    def test_a_response_that_pauses_is_served_if_all_replacements_refuse(
        self, pauses: list[float], blocks: list[tuple[float, float]], comments: bool
    ) -> None:
        hypothesis.assume(sum(pauses) < 6.0)
        refusing = Script([0.03], "refuse")
        model = play([Script(pauses, comments=comments), refusing], blocks)
        self.check(model, 2, TWICE_SECONDS)
        self.assertTrue(model.responder.ended)

    def test_a_client_that_leaves_in_any_pass_of_the_loop_leaves_nothing_behind(self) -> None:
        for scripts in (
            [Script([0.0, 0.0, 60.0]), Script([0.03], "refuse"), Script([0.05], "bug"), Script()],
            [Script([0.0, 0.0, 1.25], "break", 2), Script([0.3])],
            [Script([1.3], "fail"), Script([60.0]), Script([0.0, 0.1])],
        ):
            for number in range(1, play(scripts, max_attempts=3).passes + 1):
                model = play(scripts, leaves_in_pass=number, max_attempts=3)
                self.check(model, 3, overlap.OVERLAP_SECONDS + overlap.LATE_READ_SECONDS)

    def test_a_silent_response_is_closed_in_time_although_a_slow_client_takes_a_comment(
        self,
    ) -> None:
        # The comment is being written when the second attempt has had its time to refuse.
        commenting = Script([0.0, 0.01, 4.54], comments=True)
        model = play([commenting, Script([60.0])], write_seconds=0.5)
        self.assertEqual(2, len(model.client.sent))
        self.check(model, 2, TWICE_SECONDS)

    def test_both_are_open_for_less_than_the_limit_however_long_a_pass_of_the_loop_takes(
        self,
    ) -> None:
        for pass_seconds in (0.02, 0.05, 0.1, 0.15, 0.3):
            model = play([Script([0.0, 0.0, 60.0]), Script([60.0])], pass_seconds=pass_seconds)
            self.check(model, 2, TWICE_SECONDS)
            first, second = model.client.sent
            if pass_seconds > 0.05:
                # A process that is so late closes the first before the second begins.
                assert first.ended_at is not None and second.sent_at is not None
                self.assertLessEqual(first.ended_at, second.sent_at)

    def test_events_of_both_that_arrive_in_the_same_pass_lose_neither(self) -> None:
        first, second = Script([0.0, 0.0, 1.28]), Script([0.02, 0.01, 0.05])
        for begin in (1.21, 1.23, 1.26):
            model = play([first, second], [(begin, 1.31 - begin)])
            self.check(model, 2, TWICE_SECONDS)
            self.assertTrue(model.responder.ended)

    def test_the_second_response_has_one_reader_when_the_first_breaks_off(self) -> None:
        model = play([Script([0.0, 0.0, 1.25], "break", 2), Script([0.01, 0.01, 0.1])])
        self.check(model, 2, TWICE_SECONDS)
        self.assertTrue(model.responder.ended)

    def test_an_event_that_arrived_while_the_process_was_late_is_no_silence(self) -> None:
        model = play([Script([0.01, 0.01, 1.25]), Script([60.0])], [(1.15, 0.2)])
        self.check(model, 2, TWICE_SECONDS)
        self.assertEqual(1, model.request.progress.sends)

    def test_a_response_of_which_the_end_alone_was_missing_counts_as_continued(self) -> None:
        model = play([Script([0.0, 0.0, 0.0, 0.0, 0.0, 1.3]), Script([60.0])])
        self.check(model, 2, TWICE_SECONDS)
        self.assertEqual({("first", "first continued"): 1.0}, model.outcomes())

    def test_a_silent_response_is_kept_if_the_other_ends_without_a_byte_or_by_an_error(
        self,
    ) -> None:
        pauses = [0.0, 0.0, 0.0, 0.0, 0.0, 1.8]
        for other in (Script(unframed=True), Script([0.05], "bug")):
            model = play([Script(pauses), other])
            self.check(model, 2, TWICE_SECONDS)
            self.assertTrue(model.responder.ended)
            self.assertEqual({("first", "second failed"): 1.0}, model.outcomes())

    def test_the_silence_that_is_logged_includes_that_before_a_comment(self) -> None:
        with unittest.mock.patch.object(request_path, "LOGGER") as logger:
            play([Script([0.0, 0.0, 2.3], comments=True), Script([60.0])])
        reports = [call.kwargs for call in logger.log.call_args_list if "silent_ms" in call.kwargs]
        self.assertGreater(reports[0]["silent_ms"], 1200)

    def test_a_search_without_budget_takes_no_connection_and_no_endpoint(self) -> None:
        model = play([Script([0.0, 0.0, 5.0])], retry_slack=0.0)
        self.assertTrue(model.responder.ended)
        self.assertEqual(1, len(model.client.connections))


if __name__ == "__main__":
    unittest.main()
