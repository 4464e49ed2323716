"""Checks the numbered frames of one attempt."""

import typing

import msgspec
import xxhash

from masticward import errors
from masticward.wire import masticward_pb2

FINAL_STATUSES = range(200, 600)


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of the endpoint's response."""

    status: int
    headers: tuple[tuple[str, str], ...]


class ResponseChunk(msgspec.Struct, frozen=True):
    """A part of the endpoint's response body."""

    data: bytes


class ResponseEnd(msgspec.Struct, frozen=True):
    """The whole response has arrived and matches its digest. ``cost`` is in cost units."""

    cost: float


class AttemptAccepted(msgspec.Struct, frozen=True):
    """The agent admitted the attempt; it may run from now on."""


AttemptEvent: typing.TypeAlias = AttemptAccepted | ResponseHead | ResponseChunk | ResponseEnd


class FrameAssembler:
    """Accepts only the next frame of its own attempt and checks count, length and digest.

    The order is accepted, head, any number of chunks, end. Refused and failed may come at any
    point before the end; refused is "not run" only before the head.
    """

    __slots__ = ("accepted", "attempt_id", "complete", "digest", "head", "length", "sequence")

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id
        self.sequence = 0
        self.length = 0
        self.digest = xxhash.xxh3_64()
        self.accepted = False
        self.head = False
        self.complete = False

    def add(self, frame: masticward_pb2.RunFrame) -> AttemptEvent:
        """Return the event of the next frame.

        Raises FrameError for a frame that does not fit, AttemptRefusedError and AttemptFailedError
        for the agent's own reports.
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
        """Raise FrameError if the frame is crossed, late or out of order."""
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
        """Note the admission, which can come only once and first."""
        if self.accepted:
            raise errors.FrameError(f"attempt {self.attempt_id}: accepted twice")
        self.accepted = True
        return AttemptAccepted()

    def on_head(self, head: masticward_pb2.Head) -> AttemptEvent:
        """Return the head of the response."""
        if not self.accepted or self.head:
            raise errors.FrameError(f"attempt {self.attempt_id}: head out of place")
        if head.status not in FINAL_STATUSES:
            raise errors.FrameError(f"attempt {self.attempt_id}: status {head.status}")
        self.head = True
        headers = tuple((header.name, header.value) for header in head.headers)
        return ResponseHead(head.status, headers)

    def on_chunk(self, chunk: masticward_pb2.Chunk) -> AttemptEvent:
        """Return a part of the body and add it to length and digest."""
        if not self.head:
            raise errors.FrameError(f"attempt {self.attempt_id}: chunk before the head")
        self.length += len(chunk.data)
        self.digest.update(chunk.data)
        return ResponseChunk(chunk.data)

    def on_end(self, end: masticward_pb2.End) -> AttemptEvent:
        """Return the end if count, length and digest match."""
        if not self.head:
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
        """Return the error for a refusal; after the head it contradicts itself."""
        if self.head:
            return errors.FrameError(f"attempt {self.attempt_id}: refused after the head")
        return errors.AttemptRefusedError(refused.reason, refused.retry_after_ms, refused.detail)

    def failure(self, failed: masticward_pb2.Failed) -> errors.MasticwardError:
        """Return the error for a failure; "not run" is believed only before the head."""
        if failed.may_have_run or self.head:
            return errors.AttemptFailedError(failed.reason or "the agent reports a failure")
        return errors.AttemptRefusedError("endpoint-not-started", 0, failed.reason)
