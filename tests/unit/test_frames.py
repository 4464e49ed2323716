"""Guards against a response made of cut, crossed, late or damaged frames that counts as whole."""

import unittest

from masticward import errors
from masticward.state import frames
from masticward.wire import masticward_pb2
from tests.lib import attempt_fakes


def assemble(received: list[masticward_pb2.RunFrame]) -> tuple[bytes, bool]:
    assembler = frames.FrameAssembler("a-1")
    events = [assembler.add(frame) for frame in received]
    body = b"".join(event.data for event in events if isinstance(event, frames.ResponseChunk))
    return body, assembler.complete


class FrameAssemblerTest(unittest.TestCase):
    def assert_rejected(self, received: list[masticward_pb2.RunFrame]) -> None:
        with self.assertRaises(errors.FrameError):
            assemble(received)

    def test_whole_response_is_complete_and_exact(self) -> None:
        self.assertEqual(
            (b"".join(attempt_fakes.PARTS), True), assemble(attempt_fakes.whole_frames())
        )

    def test_cut_at_every_position_is_not_complete(self) -> None:
        whole = attempt_fakes.whole_frames()
        for position in range(len(whole)):
            self.assertFalse(assemble(whole[:position])[1], position)

    def test_lost_repeated_or_swapped_frames_are_rejected_at_every_position(self) -> None:
        whole = attempt_fakes.whole_frames()
        for position in range(len(whole)):
            if position < len(whole) - 1:
                self.assert_rejected(whole[:position] + whole[position + 1 :])
                swapped = list(whole)
                swapped[position : position + 2] = reversed(whole[position : position + 2])
                self.assert_rejected(swapped)
            self.assert_rejected(whole[: position + 1] + whole[position:])

    def test_frame_after_the_end_is_rejected(self) -> None:
        whole = attempt_fakes.whole_frames()
        late = masticward_pb2.RunFrame(attempt_id="a-1", sequence=len(whole))
        late.chunk.data = b"late"
        self.assert_rejected([*whole, late])

    def test_frame_of_another_attempt_is_rejected_at_every_position(self) -> None:
        whole, other = attempt_fakes.whole_frames(), attempt_fakes.whole_frames("a-2")
        for position in range(len(whole)):
            self.assert_rejected([*whole[:position], other[position]])

    def test_lost_frame_with_renumbered_followers_is_found_by_the_end(self) -> None:
        """Fails if only sequence numbers are checked, and not count, length and digest."""
        whole = attempt_fakes.whole_frames()
        for position in range(2, len(whole) - 1):
            received = whole[:position] + whole[position + 1 :]
            for sequence, frame in enumerate(received):
                frame.sequence = sequence
            self.assert_rejected(received)
            whole = attempt_fakes.whole_frames()

    def test_each_figure_of_the_end_is_checked(self) -> None:
        for field in ("frame_count", "length", "digest"):
            whole = attempt_fakes.whole_frames()
            setattr(whole[-1].end, field, getattr(whole[-1].end, field) ^ 1)
            self.assert_rejected(whole)

    def test_damaged_body_is_rejected(self) -> None:
        whole = attempt_fakes.whole_frames()
        whole[2].chunk.data = b"fIrst"
        self.assert_rejected(whole)

    def test_not_run_is_believed_only_before_the_head(self) -> None:
        refused = masticward_pb2.Refused(reason="at-limit")
        failed = masticward_pb2.Failed(may_have_run=False)
        for position in range(len(attempt_fakes.whole_frames()) - 1):
            for content in ({"refused": refused}, {"failed": failed}):
                received = attempt_fakes.whole_frames()[:position]
                received.append(
                    masticward_pb2.RunFrame(attempt_id="a-1", sequence=position, **content)
                )
                with self.assertRaises(errors.MasticwardError) as caught:
                    assemble(received)
                not_run = isinstance(caught.exception, errors.AttemptRefusedError)
                self.assertEqual(position < 2, not_run, (position, content))
