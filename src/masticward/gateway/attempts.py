"""One send of a request to an endpoint, and the load that it adds there."""

import asyncio
import collections.abc
import time
import typing

from masticward.gateway import calls
from masticward.gateway import fleet as fleet_module
from masticward.models import gateway
from masticward.state import placement, run_times


class LoadReservation:
    """The load that one attempt adds to its endpoint."""

    __slots__ = (
        "body_bytes",
        "choice",
        "endpoint_id",
        "fleet",
        "memory_tokens",
        "prefilled",
        "released",
    )

    def __init__(
        self,
        fleet: fleet_module.FleetState,
        endpoint_id: str,
        choice: placement.Choice,
        metadata: gateway.RequestMetadata,
        body_bytes: int = 0,
    ) -> None:
        # Of the request's body, which the endpoint holds.
        self.body_bytes = body_bytes
        self.fleet = fleet
        self.endpoint_id = endpoint_id
        self.choice = choice
        self.memory_tokens = metadata.prompt_tokens + metadata.output_tokens
        self.prefilled = False
        self.released = False

    def record_first_event(self) -> None:
        """Mark the prefill as finished, which the first event shows."""
        if not self.prefilled:
            self.prefilled = True
            self.fleet.loads.finish_prefill(self.endpoint_id, self.choice.unread_tokens)

    def release(self) -> None:
        """Remove the attempt's load from its endpoint, once."""
        if self.released:
            return
        self.released = True
        self.fleet.endpoint_bodies.remove(self.endpoint_id, self.body_bytes)
        remaining_unread_tokens = 0 if self.prefilled else self.choice.unread_tokens
        self.fleet.loads.finish_request(
            self.endpoint_id, self.memory_tokens, remaining_unread_tokens
        )


class AttemptGrant:
    """An endpoint for one attempt, with a connection and the load that is reserved there."""

    __slots__ = ("choice", "connection", "reservation")

    def __init__(
        self,
        choice: placement.Choice,
        connection: calls.Connection,
        reservation: LoadReservation,
    ) -> None:
        self.choice = choice
        self.connection = connection
        self.reservation = reservation


class Attempt:
    """A request that is sent to an endpoint, until its response was passed on or given up.

    ``sending`` sends the request and returns once the head of the response was received. Times are
    in seconds of ``clocks.boot_time``.
    """

    __slots__ = (
        "ahead",
        "answer_begun",
        "call",
        "ended",
        "endpoint",
        "grant",
        "received_bytes",
        "resumes",
        "run",
        "sending",
        "sent_at",
        "succeeded",
        "task",
        "upload_bytes",
        "watches_upload",
    )

    def __init__(
        self,
        grant: AttemptGrant,
        sending: collections.abc.Coroutine[typing.Any, typing.Any, calls.EndpointCall],
        run: run_times.Run,
        sent_at: float,
        resumes: bool,
    ) -> None:
        self.grant = grant
        self.endpoint = grant.choice.endpoint
        self.sending = sending
        self.run = run
        self.sent_at = sent_at
        # Whether the response goes on after an event that the client has, and whether it was passed
        # on to its end.
        self.resumes = resumes
        self.succeeded = False
        # Whether an endpoint that still takes the request is not silent, and the bytes that it had
        # not taken when that was last looked at.
        self.watches_upload = False
        self.upload_bytes: int | None = None
        # Set if the request is sent while another response is read.
        self.task: asyncio.Task[calls.EndpointCall] | None = None
        # The response, once its head was received.
        self.call: calls.EndpointCall | None = None
        # What was read of the body before it is relayed, and whether that was its end.
        self.ahead = bytearray()
        self.ended = False
        # Whether a whole event or response was received, and the bytes of the body so far.
        self.answer_begun = False
        self.received_bytes = 0

    def turn_wait_seconds(self) -> float:
        """Return how long received bytes have waited for their turn to be read."""
        usage = self.grant.connection.channel.usage
        return usage.total_waited_seconds(time.perf_counter())

    def takes_upload(self) -> bool:
        """Return whether the endpoint has taken bytes of the request since the last call."""
        if not self.watches_upload or self.call is not None:
            return False
        previous, self.upload_bytes = self.upload_bytes, self.grant.connection.channel.pending_bytes
        if previous is None:
            return self.upload_bytes > 0
        return self.upload_bytes < previous

    def has_unread_head(self) -> bool:
        """Return whether bytes of a response have arrived whose head was not received."""
        if self.call is not None or self.task is None:
            return False
        return self.task.done() or self.grant.connection.channel.has_unread_bytes()

    def start(self) -> None:
        """Send the request in a task of its own."""
        self.task = asyncio.get_running_loop().create_task(self.sending)
        self.task.add_done_callback(retrieve_exception)

    async def receive_head(self) -> calls.EndpointCall:
        """Return the response once its head was received.

        Raise EndpointNotStartedError or EndpointBrokenError as ``EndpointClient.call`` does. A
        cancellation ends the attempt.
        """
        if self.call is None:
            self.call = await (self.sending if self.task is None else self.task)
        return self.call

    async def receive_head_beside(self) -> None:
        """Receive the head of a response that nobody waits for.

        A cancellation doesn't end the attempt, which was started as a task.
        """
        assert self.task is not None
        self.call = await asyncio.shield(self.task)

    async def read_ahead(self) -> None:
        """Read the next bytes of the body, or its end, and keep them for ``next_data``.

        Raise EndpointBrokenError if the response breaks off or what is kept doesn't fit into the
        memory.
        """
        assert self.call is not None
        data = await self.call.exchange.read_data()
        if data is None:
            self.ended = True
        else:
            self.ahead += data
            self.call.hold(len(self.ahead))

    def next_data(self) -> collections.abc.Awaitable[bytes | None]:
        """Return an awaitable of the next bytes of the body, None at its end."""
        assert self.call is not None
        if self.ahead or self.ended:
            return self.pop_ahead()
        return self.call.exchange.read_data()

    async def pop_ahead(self) -> bytes | None:
        """Return the bytes that were read ahead, None if there are none."""
        if not self.ahead:
            return None
        data = bytes(self.ahead)
        self.ahead.clear()
        return data

    def abort(self) -> None:
        """Reset the connection; ``close`` has to follow."""
        self.grant.connection.channel.reset()

    def close(self) -> None:
        """Release the connection, or reset it if the response was not read to its end."""
        if self.task is not None and not self.task.done():
            self.abort()
            self.task.cancel()
            return
        if self.call is None and self.task is not None:
            failed = self.task.cancelled() or self.task.exception() is not None
            self.call = None if failed else self.task.result()
        if self.call is not None:
            self.ahead.clear()
            self.call.finish()


def retrieve_exception(task: asyncio.Task[calls.EndpointCall]) -> None:
    """Mark the failure of a task as seen; nobody may wait for it any more."""
    if not task.cancelled():
        task.exception()
