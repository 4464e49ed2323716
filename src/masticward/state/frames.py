"""Validation of the numbered response frames of one attempt."""

import typing

import msgspec
import xxhash

from masticward import errors
from masticward.wire import masticward_pb2

FINAL_STATUSES = range(200, 600)


class ResponseHead(msgspec.Struct, frozen=True):
    """Status code and headers of the endpoint's response."""

    status: int
    headers: tuple[tuple[str, str], ...]


class ResponseChunk(msgspec.Struct, frozen=True):
    """A part of the endpoint's response body."""

    data: bytes


class ResponseEnd(msgspec.Struct, frozen=True):
    """The complete response was received and matches its digest. ``cost`` is in cost units."""

    cost: float


class AttemptAccepted(msgspec.Struct, frozen=True):
    """The agent admitted the attempt; the call may run from here on."""


AttemptEvent: typing.TypeAlias = AttemptAccepted | ResponseHead | ResponseChunk | ResponseEnd


class FrameAssembler:
    """Decodes the frames of one attempt, in sequence, and verifies count, length and digest.

    The frame order is accepted, head, any number of chunks, end. Refused and failed frames are
    valid at any point before the end, but show that the call was not run only before the head.
    """

    __slots__ = (
        "accepted",
        "attempt_id",
        "complete",
        "digest",
        "head_received",
        "length",
        "sequence",
    )

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id
        self.sequence = 0
        self.length = 0
        self.digest = xxhash.xxh3_64()
        self.accepted = False
        self.head_received = False
        self.complete = False

    def add(self, frame: masticward_pb2.RunFrame) -> AttemptEvent:
        """Return the event for the next frame.

        Raises FrameError for an invalid frame, AttemptRefusedError or AttemptFailedError if the
        agent reports a refusal or a failure.
        """
        self.check_position(frame)
        self.sequence += 1
        kind = frame.WhichOneof("frame")
        if kind == "accepted":
            return self.on_accepted()
        if kind == "head":
            return self.on_head(frame.head)
        if kind == "chunk":
            return self.on_chunk(frame.chunk)
        if kind == "end":
            return self.on_end(frame.end)
        if kind == "refused":
            raise self.refusal(frame.refused)
        if kind == "failed":
            raise self.failure(frame.failed)
        raise errors.FrameError(f"attempt {self.attempt_id}: frame of unknown kind")

    def check_position(self, frame: masticward_pb2.RunFrame) -> None:
        """Raise FrameError for a frame of another attempt, after the end or out of sequence."""
        if frame.attempt_id != self.attempt_id:
            raise errors.FrameError(
                f"attempt {self.attempt_id}: frame of attempt {frame.attempt_id!r}"
            )
        if self.complete:
            raise errors.FrameError(f"attempt {self.attempt_id}: frame after the end")
        if frame.sequence != self.sequence:
            raise errors.FrameError(
                f"attempt {self.attempt_id}: frame {frame.sequence} instead of {self.sequence}"
            )

    def on_accepted(self) -> AttemptEvent:
        """Record the admission. Raises FrameError if it was received before."""
        if self.accepted:
            raise errors.FrameError(f"attempt {self.attempt_id}: accepted twice")
        self.accepted = True
        return AttemptAccepted()

    def on_head(self, head: masticward_pb2.Head) -> AttemptEvent:
        """Return the head of the response. Raises FrameError if it is misplaced or invalid."""
        if not self.accepted or self.head_received:
            raise errors.FrameError(f"attempt {self.attempt_id}: head out of place")
        if head.status not in FINAL_STATUSES:
            raise errors.FrameError(f"attempt {self.attempt_id}: status {head.status}")
        self.head_received = True
        headers = tuple((header.name, header.value) for header in head.headers)
        return ResponseHead(head.status, headers)

    def on_chunk(self, chunk: masticward_pb2.Chunk) -> AttemptEvent:
        """Return a part of the body, after adding it to the running length and digest."""
        if not self.head_received:
            raise errors.FrameError(f"attempt {self.attempt_id}: chunk before the head")
        self.length += len(chunk.data)
        self.digest.update(chunk.data)
        return ResponseChunk(chunk.data)

    def on_end(self, end: masticward_pb2.End) -> AttemptEvent:
        """Return the end. Raises FrameError unless count, length and digest match."""
        if not self.head_received:
            raise errors.FrameError(f"attempt {self.attempt_id}: end before the head")
        received = (self.sequence, self.length, self.digest.intdigest())
        declared = (end.frame_count, end.length, end.digest)
        if received != declared:
            raise errors.FrameError(
                f"attempt {self.attempt_id}: count, length, digest are {received}, "
                f"declared {declared}"
            )
        self.complete = True
        return ResponseEnd(end.cost)

    def refusal(self, refused: masticward_pb2.Refused) -> errors.MasticwardError:
        """Return the error for a refusal, which contradicts a response head."""
        if self.head_received:
            return errors.FrameError(f"attempt {self.attempt_id}: refused after the head")
        return errors.AttemptRefusedError(refused.reason, refused.retry_after_ms, refused.detail)

    def failure(self, failed: masticward_pb2.Failed) -> errors.MasticwardError:
        """Return the error for a failure; a claim of "not run" is accepted only before the head."""
        if failed.may_have_run or self.head_received:
            return errors.AttemptFailedError(failed.reason or "the agent reports a failure")
        return errors.AttemptRefusedError("endpoint-not-started", 0, failed.reason)
