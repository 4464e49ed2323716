"""Server of the Attempt service, on an agent."""

import abc
import collections.abc
import contextlib
import typing

import grpc.aio
import xxhash

from masticward.models import attempts, work
from masticward.utils import clocks
from masticward.wire import masticward_pb2, masticward_pb2_grpc


class AttemptRunner(abc.ABC):
    """Interface of the agent's endpoint runner to the servicer."""

    @abc.abstractmethod
    def run(
        self, request: attempts.AttemptRequest
    ) -> collections.abc.AsyncGenerator[attempts.AttemptEvent, None]:
        """Run an attempt at most once and yield its events; the last one is its outcome."""


class FrameWriter:
    """Encodes the frames of one attempt.

    Numbers the frames and computes the length and digest of the body for the end frame.
    """

    __slots__ = ("attempt_id", "digest", "length", "sequence")

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id
        self.sequence = 0
        self.length = 0
        self.digest = xxhash.xxh3_64()

    def frame(self, event: attempts.AttemptEvent) -> masticward_pb2.RunFrame:
        """Return the event as the next frame."""
        frame = masticward_pb2.RunFrame(attempt_id=self.attempt_id, sequence=self.sequence)
        self.sequence += 1
        self.set_content(frame, event)
        return frame

    def set_content(self, frame: masticward_pb2.RunFrame, event: attempts.AttemptEvent) -> None:
        """Set the frame's content to the event."""
        match event:
            case attempts.Accepted():
                frame.accepted.SetInParent()
            case attempts.ResponseHead(status=status, headers=headers):
                frame.head.status = status
                for name, value in headers:
                    frame.head.headers.add(name=name, value=value)
                frame.head.SetInParent()
            case attempts.ResponseChunk(data=data):
                self.length += len(data)
                self.digest.update(data)
                frame.chunk.data = data
            case attempts.Finished(cost=cost):
                frame.end.frame_count = self.sequence
                frame.end.length = self.length
                frame.end.digest = self.digest.intdigest()
                frame.end.cost = cost
            case attempts.Refused(reason=reason, retry_after_ms=retry_after_ms, detail=detail):
                frame.refused.reason = reason.value
                frame.refused.retry_after_ms = retry_after_ms
                frame.refused.detail = detail
            case attempts.Failed(reason=text, may_have_run=may_have_run):
                frame.failed.may_have_run = may_have_run
                frame.failed.reason = text


class AttemptServicer(masticward_pb2_grpc.AttemptServicer):
    """Streams the frames of attempts.

    Accepted means only that the call runs or waits to start. An entry that loses the stream after
    Accepted must assume that the call may have run. A Refused frame may still follow Accepted and
    means that the call did not run.
    """

    def __init__(self, runner: AttemptRunner) -> None:
        self.runner = runner

    async def Run(  # noqa: N802
        self,
        request: masticward_pb2.RunRequest,
        context: "grpc.aio.ServicerContext[typing.Any, typing.Any]",
    ) -> None:
        """Run an attempt. If the entry cancels the call, the event stream is closed at once.

        Frames are written with ``context.write`` instead of yielded, because grpc does not close
        a generator after its caller has disconnected.
        """
        writer = FrameWriter(request.attempt_id)
        stream = self.runner.run(attempt_request(request))
        async with contextlib.aclosing(stream) as events:
            async for event in events:
                await context.write(writer.frame(event))


def attempt_request(request: masticward_pb2.RunRequest) -> attempts.AttemptRequest:
    """Return the attempt of a request, with its deadline on this instance's monotonic clock."""
    return attempts.AttemptRequest(
        attempt_id=request.attempt_id,
        ticket_id=request.ticket_id,
        agent_id=request.agent_id,
        agent_incarnation=request.agent_incarnation,
        slot_id=request.slot_id,
        config_version=request.config_version,
        operations_version=request.operations_version,
        call_digest=request.call_digest,
        entry_peer_address=request.entry_peer_address,
        call=work.CallRequest(
            request_id=request.request_id,
            team=request.team,
            service=request.service,
            operation=request.operation,
            method=request.method,
            path=request.path,
            headers=tuple((header.name, header.value) for header in request.headers),
            body=request.body,
            deadline=clocks.deadline_from_remaining_ms(request.remaining_ms),
            cost_hint=request.cost_hint,
        ),
    )
