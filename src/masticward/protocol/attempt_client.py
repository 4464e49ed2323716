"""Client of the Attempt service: sends an attempt once and validates the response stream."""

import abc
import asyncio
import collections.abc
import contextlib
import typing

import grpc
import grpc.aio
import msgspec

from masticward import errors, events, logs
from masticward.models import work
from masticward.state import frames
from masticward.transport import channels as channels_module
from masticward.utils import clocks
from masticward.wire import masticward_pb2, masticward_pb2_grpc

# The agent closes its stream right after the end frame. A complete response is not delayed longer
# than this by a stream that stays open.
STREAM_CLOSE_TIMEOUT_SECONDS = 1.0

logger = logs.get_logger(__name__)


class AttemptRequest(msgspec.Struct, kw_only=True):
    """One attempt to run a call on one slot.

    ``answer_deadline``, in monotonic seconds, bounds how long the client waits for the response.
    It is later than ``call.deadline`` if the outcome matters even after the caller stops waiting.
    """

    attempt_id: str
    ticket_id: str
    slot: work.Slot
    call: work.CallRequest
    config_version: int
    operations_version: int
    call_digest: int
    answer_deadline: float
    sent: bool = False


class AttemptClient(abc.ABC):
    """Runs attempts on agents."""

    @abc.abstractmethod
    def run(
        self, attempt: AttemptRequest
    ) -> collections.abc.AsyncGenerator[frames.AttemptEvent, None]:
        """Send an attempt and yield its events; the last one is ResponseEnd.

        Raises AttemptRefusedError if the call certainly did not run, AttemptFailedError if it may
        have run. Closing the generator cancels the attempt.
        """


class GrpcAttemptClient(AttemptClient):
    """Sends attempts to agents over gRPC.

    ``peer_address`` is the address of this entry, from which agents fetch versions newer than
    their own.
    """

    __slots__ = ("channels", "peer_address")

    def __init__(self, channels: channels_module.ChannelPool, peer_address: str = "") -> None:
        self.channels = channels
        self.peer_address = peer_address

    async def run(
        self, attempt: AttemptRequest
    ) -> collections.abc.AsyncGenerator[frames.AttemptEvent, None]:
        """Send an attempt and yield its events, as described by the base class."""
        if attempt.sent:
            raise errors.AttemptFailedError(f"attempt {attempt.attempt_id} was sent before")
        channel = self.channels.get(attempt.slot.agent_address)
        await wait_until_ready(channel, attempt)
        message = to_wire(attempt, self.peer_address)
        attempt.sent = True
        stub: typing.Any = masticward_pb2_grpc.AttemptStub(channel)
        call = stub.Run(
            message,
            metadata=self.channels.transport.metadata,
            timeout=clocks.remaining_seconds(attempt.answer_deadline),
        )
        try:
            async for event in validated_events(call, attempt.attempt_id):
                yield event
        finally:
            call.cancel()


async def wait_until_ready(channel: grpc.aio.Channel, attempt: AttemptRequest) -> None:
    """Wait for the channel to connect, at most until the slot or the call expires.

    Raises AttemptRefusedError if it does not. The agent may have received a call that fails on a
    ready channel, so only a connection failure before the call is made proves that it did not run.
    """
    deadline = min(attempt.slot.deadline, attempt.call.deadline)
    try:
        async with asyncio.timeout(clocks.remaining_seconds(deadline)):
            detail = await connect(channel)
    except TimeoutError:
        detail = "the agent was not reached before the slot expired"
    except grpc.aio.UsageError:
        detail = "the channel was closed"
    if detail:
        raise errors.AttemptRefusedError(work.RefusalReason.UNREACHABLE, 0, detail)


async def connect(channel: grpc.aio.Channel) -> str:
    """Wait until the channel is ready or connecting fails; return the reason of failure or "".

    A channel that is in back-off at the beginning gets one more connection attempt.
    """
    previous = None
    while True:
        state = channel.get_state(try_to_connect=True)
        if state is grpc.ChannelConnectivity.READY:
            return ""
        if state is grpc.ChannelConnectivity.SHUTDOWN:
            return "the channel was closed"
        if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE and previous is not None:
            return "the connection to the agent failed"
        previous = state
        await channel.wait_for_state_change(state)


async def validated_events(
    call: typing.Any, attempt_id: str
) -> collections.abc.AsyncGenerator[frames.AttemptEvent, None]:
    """Yield the events of a call after checking its frames.

    Raises AttemptRefusedError on a refusal, AttemptFailedError on every other end of the stream
    except ResponseEnd.
    """
    assembler = frames.FrameAssembler(attempt_id)
    try:
        async for frame in call:
            event = assembler.add(frame)
            if assembler.complete:
                await wait_for_stream_end(call, assembler)
            yield event
            if assembler.complete:
                return
    except errors.FrameError as error:
        logger.log(events.Event.FRAME_REJECTED, attempt_id=attempt_id, detail=str(error))
        raise errors.AttemptFailedError(str(error)) from error
    except grpc.aio.AioRpcError as error:
        detail = f"{error.code().name}: {error.details()}"
        raise errors.AttemptFailedError(detail) from error
    except asyncio.CancelledError:
        # grpc.aio also raises CancelledError if the channel is closed during the call.
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            raise
        raise errors.AttemptFailedError("the channel was closed during the call") from None
    raise errors.AttemptFailedError("the stream ended without its end frame")


async def wait_for_stream_end(call: typing.Any, assembler: frames.FrameAssembler) -> None:
    """Wait until the agent has closed its stream. Raises FrameError on a frame after the end.

    If the call were cancelled between its end frame and its close, the agent would treat the
    caller as lost.
    """
    with contextlib.suppress(TimeoutError, grpc.aio.AioRpcError):
        async with asyncio.timeout(STREAM_CLOSE_TIMEOUT_SECONDS):
            async for frame in call:
                assembler.add(frame)


def to_wire(attempt: AttemptRequest, peer_address: str) -> masticward_pb2.RunRequest:
    """Return the request message of an attempt."""
    call = attempt.call
    return masticward_pb2.RunRequest(
        attempt_id=attempt.attempt_id,
        ticket_id=attempt.ticket_id,
        request_id=call.request_id,
        agent_id=attempt.slot.agent_id,
        agent_incarnation=attempt.slot.agent_incarnation,
        slot_id=attempt.slot.id,
        service=call.service,
        operation=call.operation,
        team=call.team,
        config_version=attempt.config_version,
        operations_version=attempt.operations_version,
        call_digest=attempt.call_digest,
        remaining_ms=clocks.remaining_ms(call.deadline),
        method=call.method,
        path=call.path,
        headers=[masticward_pb2.Header(name=name, value=value) for name, value in call.headers],
        body=call.body,
        cost_hint=call.cost_hint,
        entry_peer_address=peer_address,
    )
