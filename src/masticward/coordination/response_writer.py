"""Passes one attempt's response to the caller and keeps a copy for the claim if there is one."""

import contextlib

from masticward import errors
from masticward.models import work
from masticward.state import claims as claims_state
from masticward.state import frames, refusals
from masticward.transport import response_sink


class ResponseWriter:
    """Holds back up to ``held_limit`` bytes, then streams.

    What is held back when the response ends is sent in one piece. With ``must_finish`` the loss of
    the caller is not an error: the rest of the response is read and dropped.
    """

    __slots__ = ("captured", "captured_bytes", "head", "held", "held_bytes", "held_limit", "keep",
                 "must_finish", "sink")  # fmt: skip

    def __init__(
        self, sink: response_sink.ResponseSink, *, held_limit: int, keep: bool, must_finish: bool
    ) -> None:
        self.sink = sink
        self.held_limit = held_limit
        self.keep = keep
        self.must_finish = must_finish
        self.head: frames.ResponseHead | None = None
        self.held: list[bytes] = []
        self.held_bytes = 0
        self.captured: list[bytes] = []
        self.captured_bytes = 0

    def add_head(self, head: frames.ResponseHead) -> None:
        """Keep the head until there is something to send with it."""
        self.head = head

    async def add_chunk(self, data: bytes) -> None:
        """Hold back or send a part of the body. Raises CallerGoneError unless ``must_finish``."""
        self.capture(data)
        if self.sink.abandoned or not data:
            return
        try:
            await self.hold_or_send(data)
        except errors.CallerGoneError:
            self.lose_caller()

    async def hold_or_send(self, data: bytes) -> None:
        """Hold the data back while the limit allows it, else send everything."""
        if self.sink.started:
            await self.sink.send(data)
            return
        self.held.append(data)
        self.held_bytes += len(data)
        if self.held_bytes > self.held_limit and self.head is not None:
            await self.sink.start(self.head.status, self.head.headers)
            held, self.held = b"".join(self.held), []
            await self.sink.send(held)

    async def finish(self) -> None:
        """Send what is held back and end the response."""
        if self.sink.abandoned or self.head is None:
            return
        try:
            if self.sink.started:
                await self.sink.finish()
            else:
                await self.sink.send_whole(
                    self.head.status, self.head.headers, b"".join(self.held), work.Outcome.COMPLETE
                )
        except errors.CallerGoneError:
            self.lose_caller()

    def lose_caller(self) -> None:
        """Go on without the caller, or end the attempt. Raises CallerGoneError for the latter."""
        if not self.must_finish:
            raise errors.CallerGoneError("the caller's connection is lost")
        self.sink.abandoned = True
        self.held = []

    def capture(self, data: bytes) -> None:
        """Copy a part of the body for the claim, up to the largest outcome that is kept."""
        if not self.keep:
            return
        self.captured_bytes += len(data)
        if self.captured_bytes > claims_state.OUTCOME_LIMIT_BYTES:
            self.captured = []
        else:
            self.captured.append(data)

    def outcome(self) -> claims_state.RecordedOutcome | None:
        """Return the captured response, None if it is too large."""
        if self.head is None or self.captured_bytes > claims_state.OUTCOME_LIMIT_BYTES:
            return None
        return claims_state.RecordedOutcome(
            status=self.head.status, headers=self.head.headers, body=b"".join(self.captured)
        )


async def send_error(
    sink: response_sink.ResponseSink, error: errors.RequestError, outcome: work.Outcome
) -> None:
    """Send the response for an error, or cut the response that was started."""
    if sink.started:
        sink.abort()
        return
    headers, body = refusals.encode(error)
    with contextlib.suppress(errors.CallerGoneError):
        await sink.send_whole(error.status, headers, body, outcome)
