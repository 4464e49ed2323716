"""Sends the response of an attempt to the caller and captures a copy for keyed calls."""

import contextlib

from masticward import errors
from masticward.models import work
from masticward.state import claims as claims_state
from masticward.state import frames, refusals
from masticward.transport import response_sink


class ResponseWriter:
    """Buffers a response up to ``buffer_limit_bytes``, then streams it.

    A response that ends within the limit is sent in one piece. With
    ``ignore_disconnect`` the loss of the caller's connection is no error: the rest of the response
    is read and discarded. ``capture`` keeps a copy of the body for ``captured_outcome``.
    """

    __slots__ = (
        "buffer_limit_bytes",
        "buffered_bytes",
        "buffered_chunks",
        "capture",
        "captured_bytes",
        "captured_chunks",
        "head",
        "ignore_disconnect",
        "sink",
    )

    def __init__(
        self,
        sink: response_sink.ResponseSink,
        *,
        buffer_limit_bytes: int,
        capture: bool,
        ignore_disconnect: bool,
    ) -> None:
        self.sink = sink
        self.buffer_limit_bytes = buffer_limit_bytes
        self.capture = capture
        self.ignore_disconnect = ignore_disconnect
        self.head: frames.ResponseHead | None = None
        self.buffered_chunks: list[bytes] = []
        self.buffered_bytes = 0
        self.captured_chunks: list[bytes] = []
        self.captured_bytes = 0

    def set_head(self, head: frames.ResponseHead) -> None:
        """Set the head; it is sent together with the first data."""
        self.head = head

    async def write_chunk(self, data: bytes) -> None:
        """Buffer or send a part of the body.

        Raises CallerGoneError if the caller disconnected, unless ``ignore_disconnect`` is set.
        """
        self.capture_chunk(data)
        if self.sink.abandoned or not data:
            return
        try:
            await self.buffer_or_send(data)
        except errors.CallerGoneError:
            self.handle_disconnect()

    async def buffer_or_send(self, data: bytes) -> None:
        """Buffer the data up to the limit; beyond it send it together with the buffered data."""
        if self.sink.started:
            await self.sink.send(data)
            return
        self.buffered_chunks.append(data)
        self.buffered_bytes += len(data)
        if self.buffered_bytes > self.buffer_limit_bytes and self.head is not None:
            await self.sink.start(self.head.status, self.head.headers)
            buffered, self.buffered_chunks = b"".join(self.buffered_chunks), []
            await self.sink.send(buffered)

    async def finish(self) -> None:
        """Send buffered data and end the response."""
        if self.sink.abandoned or self.head is None:
            return
        try:
            if self.sink.started:
                await self.sink.finish()
            else:
                await self.sink.send_whole(
                    self.head.status,
                    self.head.headers,
                    b"".join(self.buffered_chunks),
                    work.Outcome.COMPLETE,
                )
        except errors.CallerGoneError:
            self.handle_disconnect()

    def handle_disconnect(self) -> None:
        """Discard the rest of the response if disconnects are ignored.

        Raises CallerGoneError otherwise.
        """
        if not self.ignore_disconnect:
            raise errors.CallerGoneError("the caller's connection is lost")
        self.sink.abandoned = True
        self.buffered_chunks = []

    def capture_chunk(self, data: bytes) -> None:
        """Copy a part of the body; drop the copy once it is too large for a recorded outcome."""
        if not self.capture:
            return
        self.captured_bytes += len(data)
        if self.captured_bytes > claims_state.OUTCOME_LIMIT_BYTES:
            self.captured_chunks = []
        else:
            self.captured_chunks.append(data)

    def captured_outcome(self) -> claims_state.RecordedOutcome | None:
        """Return the captured response, None if it is too large to be recorded."""
        if self.head is None or self.captured_bytes > claims_state.OUTCOME_LIMIT_BYTES:
            return None
        return claims_state.RecordedOutcome(
            status=self.head.status, headers=self.head.headers, body=b"".join(self.captured_chunks)
        )


async def send_error(
    sink: response_sink.ResponseSink, error: errors.RequestError, outcome: work.Outcome
) -> None:
    """Send an error response, or abort the response that was started."""
    if sink.started:
        sink.abort()
        return
    headers, body = refusals.encode(error)
    with contextlib.suppress(errors.CallerGoneError):
        await sink.send_whole(error.status, headers, body, outcome)
