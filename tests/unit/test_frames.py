"""Tests that truncated, misrouted, late or corrupted frames never form a complete response."""

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

    def test_valid_frames_give_the_complete_response(self) -> None:
        self.assertEqual(
            (b"".join(attempt_fakes.PARTS), True), assemble(attempt_fakes.complete_frames())
        )

    def test_truncated_response_is_incomplete_at_every_position(self) -> None:
        complete = attempt_fakes.complete_frames()
        for position in range(len(complete)):
            self.assertFalse(assemble(complete[:position])[1], position)

    def test_missing_repeated_or_swapped_frames_are_rejected_at_every_position(self) -> None:
        complete = attempt_fakes.complete_frames()
        for position in range(len(complete)):
            if position < len(complete) - 1:
                self.assert_rejected(complete[:position] + complete[position + 1 :])
                swapped = list(complete)
                swapped[position : position + 2] = reversed(complete[position : position + 2])
                self.assert_rejected(swapped)
            self.assert_rejected(complete[: position + 1] + complete[position:])

    def test_frame_after_the_end_is_rejected(self) -> None:
        complete = attempt_fakes.complete_frames()
        late = masticward_pb2.RunFrame(attempt_id="a-1", sequence=len(complete))
        late.chunk.data = b"late"
        self.assert_rejected([*complete, late])

    def test_frame_of_another_attempt_is_rejected_at_every_position(self) -> None:
        complete, other = attempt_fakes.complete_frames(), attempt_fakes.complete_frames("a-2")
        for position in range(len(complete)):
            self.assert_rejected([*complete[:position], other[position]])

    def test_missing_frame_with_renumbered_successors_is_rejected_at_the_end(self) -> None:
        """Fails if only sequence numbers are verified, without the count, length and digest."""
        complete = attempt_fakes.complete_frames()
        for position in range(2, len(complete) - 1):
            received = complete[:position] + complete[position + 1 :]
            for sequence, frame in enumerate(received):
                frame.sequence = sequence
            self.assert_rejected(received)
            complete = attempt_fakes.complete_frames()

    def test_each_field_of_the_end_is_verified(self) -> None:
        for field in ("frame_count", "length", "digest"):
            complete = attempt_fakes.complete_frames()
            setattr(complete[-1].end, field, getattr(complete[-1].end, field) ^ 1)
            self.assert_rejected(complete)

    def test_corrupted_body_is_rejected(self) -> None:
        complete = attempt_fakes.complete_frames()
        complete[2].chunk.data = b"fIrst"
        self.assert_rejected(complete)

    def test_not_run_is_accepted_only_before_the_head(self) -> None:
        refused = masticward_pb2.Refused(reason="at-limit")
        failed = masticward_pb2.Failed(may_have_run=False)
        for position in range(len(attempt_fakes.complete_frames()) - 1):
            for content in ({"refused": refused}, {"failed": failed}):
                received = attempt_fakes.complete_frames()[:position]
                received.append(
                    masticward_pb2.RunFrame(attempt_id="a-1", sequence=position, **content)
                )
                with self.assertRaises(errors.MasticwardError) as caught:
                    assemble(received)
                not_run = isinstance(caught.exception, errors.AttemptRefusedError)
                self.assertEqual(position < 2, not_run, (position, content))
