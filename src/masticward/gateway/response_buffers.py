"""Buffers responses for clients that read slowly, within bounds on time and memory.

Used under ``GatewaySettings.limited_memory``. An endpoint's response is read ahead of its client,
and the client is cut before the endpoint breaks off a response that it cannot send.
"""

from masticward import errors, events, logs
from masticward.gateway import calls, gateway_metrics
from masticward.state import body_memory, buffered_bytes
from masticward.transport import client_pacer, http1, http1_server
from masticward.utils import clocks

# The clients' progress is looked at this often at most while memory is scarce.
MIN_FREE_INTERVAL_SECONDS = 0.02
LOGGER = logs.get_logger(__name__)


class ResponseBuffers:
    """The responses of a process that clients have not taken, and the bounds that acted."""

    __slots__ = ("buffers", "frees_at", "memory", "metrics")

    def __init__(
        self, memory: body_memory.BodyMemory, metrics: gateway_metrics.GatewayMetrics
    ) -> None:
        self.memory = memory
        self.metrics = metrics
        self.buffers: set[ResponseBuffer] = set()
        # When the next client may be cut for its memory.
        self.frees_at = 0.0

    def open(
        self, responder: http1_server.Responder, request_id: str, deadline: float
    ) -> "ResponseBuffer":
        """Return the buffer of a response, which bounds all writes to its client."""
        buffer = ResponseBuffer(self, responder, request_id, deadline)
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

    def free_memory(self, waiting: "ResponseBuffer") -> None:
        """Cut the client that has taken nothing for longest, if any has for a while.

        Its memory is given back within a few passes of the event loop, before the next one is cut.
        """
        now = clocks.boot_time()
        if now < self.frees_at:
            return
        self.frees_at = now + MIN_FREE_INTERVAL_SECONDS
        stalled = {
            buffer: buffer.pacer.stalled_seconds()
            for buffer in self.buffers
            if buffer is not waiting and buffer.responder.unsent_bytes
        }
        if not stalled or any(buffer.evicted for buffer in self.buffers):
            return
        longest = max(stalled, key=lambda item: stalled[item])
        if stalled[longest] >= buffered_bytes.EVICTION_STALL_SECONDS:
            longest.evict()


class ResponseBuffer:
    """What the client of one response has not taken."""

    __slots__ = (
        "buffers",
        "evicted",
        "pacer",
        "read_bytes",
        "request_id",
        "responder",
        "streams",
        "unread_since",
    )

    def __init__(
        self,
        buffers: ResponseBuffers,
        responder: http1_server.Responder,
        request_id: str,
        deadline: float,
    ) -> None:
        self.buffers = buffers
        self.responder = responder
        self.request_id = request_id
        self.evicted = False
        # Whether parts are passed on as they arrive.
        self.streams = False
        # Since when the endpoint may have been unable to send, None if it was not, and the bytes
        # that were read since.
        self.unread_since: float | None = None
        self.read_bytes = 0
        self.pacer = client_pacer.ClientPacer(
            responder.connection.channel, buffers.memory_is_scarce, deadline
        )
        responder.pacer = self.pacer
        responder.connection.expect_slow_client()

    def close(self) -> None:
        """Leave the buffers; the response has ended."""
        self.buffers.buffers.discard(self)

    def begin_stream(self) -> None:
        """Let writes pass that ``make_room`` has allowed."""
        self.streams = True
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

    def record_read(self, channel: http1.Channel, received: int) -> None:
        """Record a read of the endpoint's response.

        Its kernel sends more only once a large part of the buffer on this side is free.
        """
        if self.unread_since is not None:
            self.read_bytes += received
            if self.read_bytes >= http1.KERNEL_BUFFER_BYTES or not channel.has_unread_bytes():
                self.unread_since = None

    async def make_room(self, call: calls.EndpointCall, received: int, size: int) -> float:
        """Wait until ``size`` bytes of a response may be held beside those that are not sent.

        ``received`` bytes were read just now. Return the seconds waited. Raise SlowClientError if
        the client takes nothing for too long, or before the endpoint breaks off because its
        response is not read meanwhile.
        """
        channel = call.exchange.channel
        self.record_read(channel, received)
        started_at = clocks.boot_time()
        unread_since = started_at if self.unread_since is None else self.unread_since
        memory = call.held_body.memory

        def reserved() -> int:
            return call.held_body.reserved_bytes

        def needed_bytes() -> int:
            return self.responder.unsent_bytes + size + channel.protocol.unread_bytes

        def has_room() -> bool:
            unsent_bytes = self.responder.unsent_bytes
            needed = needed_bytes()
            fits = memory.fits(reserved(), needed)
            if fits and (not unsent_bytes or needed <= buffered_bytes.READ_AHEAD_BYTES):
                return True
            if self.streams and not unsent_bytes and memory.fits(reserved(), small(needed)):
                # The bytes are in memory already, and the client has taken all before them.
                return True
            if needed < reserved():
                call.hold(needed)
            if not fits:
                self.buffers.free_memory(self)
            seconds = clocks.boot_time() - unread_since
            if seconds < buffered_bytes.ENDPOINT_UNREAD_SECONDS:
                return False
            if self.responder.connection.channel.pending_bytes and channel.has_unread_bytes():
                raise errors.SlowClientError(
                    buffered_bytes.Bound.ENDPOINT_UNREAD.value,
                    f"the endpoint was not read for {seconds:.1f} s because of the client",
                )
            # What does not fit for other reasons than this client breaks off.
            return not unsent_bytes

        if not has_room():
            if self.unread_since is None:
                self.unread_since = started_at
                self.read_bytes = 0
            await self.pacer.wait(has_room)
        else:
            self.pacer.require_pace()
        return clocks.boot_time() - started_at

    def hold(self, call: calls.EndpointCall, size: int) -> None:
        """Hold memory for what a stream's client has not taken, as ``make_room`` has allowed."""
        fits = call.held_body.memory.fits(call.held_body.reserved_bytes, size)
        call.hold(size if fits else small(size))


def small(size: int) -> int:
    """Return what is counted of a size at least, which also fits while memory is scarce."""
    return min(size, body_memory.SMALL_ANSWER_BYTES)
