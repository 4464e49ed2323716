"""The response of one request, written through sanic to the caller's connection."""

import asyncio
import typing

import sanic.compat
import sanic.exceptions

from masticward import errors
from masticward.models import work
from masticward.transport import caller_headers, request_gate, response_sink

REQUEST_ID_HEADER = "masticward-request-id"
OUTCOME_HEADER = "masticward-outcome"
# Sanic writes "None" if a response has no content type.
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class SanicSink(response_sink.ResponseSink):
    """Writes the response of one request through sanic."""

    __slots__ = ("abandoned", "aborted", "gate", "request", "request_id", "response", "started")

    def __init__(
        self, request: typing.Any, request_id: str, gate: request_gate.RequestGate
    ) -> None:
        self.request = request
        self.gate = gate
        self.request_id = request_id
        self.response: typing.Any = None
        self.started = False
        self.abandoned = False
        self.aborted = False

    async def send_whole(
        self, status: int, headers: response_sink.Headers, body: bytes, outcome: work.Outcome
    ) -> None:
        """Send a whole response with its length."""
        await self.respond(status, headers, outcome)
        await self.write(body, end=True)

    async def start(self, status: int, headers: response_sink.Headers) -> None:
        """Send the head with the first part of the stream."""
        await self.respond(status, headers, work.Outcome.COMPLETE)

    async def respond(
        self, status: int, headers: response_sink.Headers, outcome: work.Outcome
    ) -> None:
        """Prepare the head of the response."""
        self.check_connection()
        self.started = True
        if self.gate.draining:
            self.request.stream.keep_alive = False
        fields = sanic.compat.Header(caller_headers.forwarded(headers))
        fields.setdefault("content-type", DEFAULT_CONTENT_TYPE)
        fields[REQUEST_ID_HEADER] = self.request_id
        fields[OUTCOME_HEADER] = outcome.value
        self.response = await self.request.respond(status=status, headers=fields)

    async def send(self, data: bytes) -> None:
        """Send a part of the stream."""
        await self.write(data, end=False)

    async def finish(self) -> None:
        """End the stream."""
        await self.write(b"", end=True)

    async def write(self, data: bytes, *, end: bool) -> None:
        """Write to the connection, waiting while its buffer is full. Raises CallerGoneError."""
        self.check_connection()
        try:
            await self.response.send(data, end_stream=end)
        except asyncio.CancelledError:
            # sanic raises CancelledError also when it writes to a lost connection.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            raise errors.CallerGoneError("the caller's connection is lost") from None
        except (sanic.exceptions.SanicException, OSError, TypeError) as error:
            self.abort()
            raise errors.CallerGoneError(f"the caller's connection failed: {error}") from error

    def check_connection(self) -> None:
        """Raise CallerGoneError if nothing can be sent any more."""
        transport = self.request.transport
        if self.aborted or transport is None or transport.is_closing():
            raise errors.CallerGoneError("the caller's connection is lost")

    def abort(self) -> None:
        """Reset the caller's connection."""
        self.aborted = True
        transport = self.request.transport
        if transport is not None:
            transport.abort()
