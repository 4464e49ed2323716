"""Waits for clients that read their responses slowly, for a bounded time."""

import asyncio
import collections.abc

from masticward import errors
from masticward.state import buffered_bytes
from masticward.transport import http1
from masticward.utils import clocks

# The first waits are short, because most clients only lack a pass of the event loop.
FIRST_POLL_SECONDS = 0.002
MAX_POLL_SECONDS = 0.05


class ClientPacer:
    """Knows when the client of one response last took bytes, and ends waits for it."""

    __slots__ = (
        "ahead_bytes",
        "channel",
        "deadline",
        "memory_is_scarce",
        "pace",
        "sent_bytes",
        "total_bytes",
        "waiting",
    )

    def __init__(
        self,
        channel: http1.Channel,
        memory_is_scarce: collections.abc.Callable[[], bool],
        deadline: float,
    ) -> None:
        self.channel = channel
        # When the client no longer needs the response.
        self.deadline = deadline
        # Bytes of the body that were written, and those that it has as far as known.
        self.sent_bytes = 0
        self.total_bytes = 0
        # Returns whether a client that stalls is cut sooner.
        self.memory_is_scarce = memory_is_scarce
        # Written bytes that the connection may hold after a write.
        self.ahead_bytes = buffered_bytes.WRITE_AHEAD_BYTES
        self.pace = buffered_bytes.ClientPace(clocks.boot_time())
        # Whether a writer waits for the client.
        self.waiting = False

    def stalled_seconds(self) -> float:
        """Return how long the client has taken nothing although bytes wait for it."""
        now = clocks.boot_time()
        pending_bytes = 0
        if self.waiting or self.channel.unsent_bytes >= buffered_bytes.MIN_PENDING_BYTES:
            pending_bytes = self.channel.pending_bytes
        self.pace.record(pending_bytes, now)
        return self.pace.stalled_seconds(now)

    def record_write(self, size: int) -> None:
        """Record that bytes of the body are written."""
        self.sent_bytes += size
        self.total_bytes = max(self.total_bytes, self.sent_bytes)

    def keeps_up(self) -> bool:
        """Return whether the client is as fast, on average, as it has to be by its deadline."""
        now = clocks.boot_time()
        return self.pace.keeps_up(self.sent_bytes, self.total_bytes, self.deadline, now)

    def require_pace(self) -> None:
        """Raise SlowClientError if the client has taken nothing for too long."""
        seconds = self.stalled_seconds()
        scarce = self.memory_is_scarce()
        limit = (
            buffered_bytes.SCARCE_STALL_SECONDS if scarce else buffered_bytes.CLIENT_STALL_SECONDS
        )
        if seconds >= limit and (scarce or not self.keeps_up()):
            bound = buffered_bytes.Bound.MEMORY if scarce else buffered_bytes.Bound.CLIENT_STALLED
            raise errors.SlowClientError(
                bound.value, f"the client took nothing for {seconds:.1f} s"
            )

    async def drain(self, ahead_bytes: int) -> None:
        """Wait until the connection holds at most this many bytes.

        Raise SlowClientError if the client takes nothing for too long.
        """
        await self.wait(lambda: self.channel.unsent_bytes <= ahead_bytes)

    async def wait(self, condition: collections.abc.Callable[[], bool]) -> None:
        """Wait for a condition that the client's progress brings about.

        Raise SlowClientError if the client takes nothing for too long, OSError if it is gone.
        """
        self.require_pace()
        if condition():
            # A connection that has failed raises here.
            await self.channel.writer.drain()
            return
        # The wait for the client is no use of the processor.
        self.channel.turn_queue.stop()
        # The transport writes at the end of a pass of the event loop.
        await asyncio.sleep(0)
        poll_seconds = FIRST_POLL_SECONDS
        self.waiting = True
        try:
            while not condition():
                self.require_pace()
                await asyncio.sleep(poll_seconds)
                poll_seconds = min(MAX_POLL_SECONDS, 2.0 * poll_seconds)
        finally:
            self.waiting = False
        await self.channel.writer.drain()
