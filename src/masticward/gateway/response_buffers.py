"""Buffers responses for clients that read slowly, within bounds on time and memory.

Used under ``GatewaySettings.limited_memory``. An endpoint's response is read ahead of its client,
and the client is cut before the endpoint breaks off a response that it cannot send.
"""

import asyncio
import collections.abc

from masticward import errors, events, logs
from masticward.gateway import calls, gateway_metrics
from masticward.state import body_memory, buffered_bytes
from masticward.transport import client_pacer, http1_server
from masticward.utils import clocks

LOGGER = logs.get_logger(__name__)


class ResponseBuffers:
    """The responses of a process that clients have not taken, and the bounds that acted."""

    __slots__ = ("buffers", "memory", "metrics")

    def __init__(
        self, memory: body_memory.BodyMemory, metrics: gateway_metrics.GatewayMetrics
    ) -> None:
        self.memory = memory
        self.metrics = metrics
        self.buffers: set[ResponseBuffer] = set()

    def open(self, responder: http1_server.Responder, request_id: str) -> "ResponseBuffer":
        """Return the buffer of a response, which bounds all writes to its client."""
        buffer = ResponseBuffer(self, responder, request_id)
        self.buffers.add(buffer)
        return buffer

    def memory_is_scarce(self) -> bool:
        """Return whether little of the memory for responses is free."""
        free_bytes = self.memory.free_bytes
        return free_bytes < buffered_bytes.SCARCE_FRACTION * self.memory.limit_bytes

    def record_bound(
        self, bound: buffered_bytes.Bound, request_id: str, endpoint_id: str | None, size: int
    ) -> None:
        """Count and log that a bound held back, refused or cut a request."""
        self.metrics.buffer_bounds.labels(bound.value).inc()
        LOGGER.log(
            events.Event.BUFFER_BOUND_REACHED,
            request_id=request_id,
            bound=bound.value,
            endpoint=endpoint_id,
            bytes=size,
            held_bytes=self.memory.held_bytes,
        )

    async def free(self, fits: collections.abc.Callable[[], bool]) -> None:
        """Cut clients that take nothing, the longest stalled first, until a response fits."""
        stalled = sorted(
            (
                (seconds, buffer.request_id, buffer)
                for buffer in self.buffers
                if (seconds := buffer.pacer.stalled_seconds())
                >= buffered_bytes.EVICTION_STALL_SECONDS
            ),
            reverse=True,
            key=lambda item: item[0],
        )
        for _, _, buffer in stalled:
            if fits():
                return
            buffer.evict()
            # The cancelled request gives its memory back.
            for _ in range(3):
                await asyncio.sleep(0)


class ResponseBuffer:
    """What the client of one response has not taken."""

    __slots__ = ("buffers", "evicted", "pacer", "request_id", "responder")

    def __init__(
        self, buffers: ResponseBuffers, responder: http1_server.Responder, request_id: str
    ) -> None:
        self.buffers = buffers
        self.responder = responder
        self.request_id = request_id
        self.evicted = False
        self.pacer = client_pacer.ClientPacer(
            responder.connection.channel, buffers.memory_is_scarce
        )
        responder.pacer = self.pacer
        responder.connection.expect_slow_client()

    def close(self) -> None:
        """Leave the buffers; the response has ended."""
        self.buffers.buffers.discard(self)

    def begin_stream(self) -> None:
        """Let writes pass that ``make_room`` has allowed."""
        self.pacer.ahead_bytes = 2 * buffered_bytes.READ_AHEAD_BYTES

    def evict(self) -> None:
        """Cut the client for the memory that others need."""
        if not self.evicted:
            self.evicted = True
            unsent_bytes = self.responder.unsent_bytes
            self.buffers.record_bound(
                buffered_bytes.Bound.MEMORY, self.request_id, None, unsent_bytes
            )
            self.responder.connection.reset("slow client while memory is scarce")

    def cut(self, error: errors.SlowClientError, endpoint_id: str | None) -> None:
        """Reset the client's connection, which drops what is held for it."""
        bound = buffered_bytes.Bound(error.bound)
        unsent_bytes = self.responder.unsent_bytes
        self.buffers.record_bound(bound, self.request_id, endpoint_id, unsent_bytes)
        # The request goes on to be reported; its end closes the rest.
        self.responder.connection.channel.protocol.on_peer_gone = None
        self.responder.connection.reset("slow client")

    async def make_room(self, call: calls.EndpointCall, size: int) -> float:
        """Wait until ``size`` bytes of a response that were read may be held beside the unsent.

        Return the seconds waited. Raise SlowClientError if the client takes nothing for too long,
        or before the endpoint breaks off because its response is not read meanwhile.
        """
        started_at = clocks.boot_time()
        channel = call.exchange.channel
        held_body = call.held_body

        def needed_bytes() -> int:
            return self.responder.unsent_bytes + size + channel.protocol.unread_bytes

        def fits() -> bool:
            return held_body.memory.fits(held_body.reserved_bytes, needed_bytes())

        def has_room() -> bool:
            if not self.responder.unsent_bytes:
                return True
            if needed_bytes() <= buffered_bytes.READ_AHEAD_BYTES and fits():
                return True
            if needed_bytes() < held_body.reserved_bytes:
                call.hold(needed_bytes())
            seconds = clocks.boot_time() - started_at
            if seconds >= buffered_bytes.ENDPOINT_UNREAD_SECONDS and channel.has_unread_bytes():
                raise errors.SlowClientError(
                    buffered_bytes.Bound.ENDPOINT_UNREAD.value,
                    f"the endpoint was not read for {seconds:.1f} s because of the client",
                )
            return False

        await self.pacer.wait(has_room)
        if not fits():
            await self.buffers.free(fits)
        return clocks.boot_time() - started_at
