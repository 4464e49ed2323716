"""Lets connections wait for their turns in an event loop."""

import asyncio
import time
import weakref

from masticward.state import read_turns

QUEUES: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, "TurnQueue"] = (
    weakref.WeakKeyDictionary()
)


class TurnQueue:
    """The turns of all connections of one event loop."""

    __slots__ = ("futures", "loop", "timer", "turns")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        # A reference to the loop would keep its entry in QUEUES.
        self.loop = weakref.ref(loop)
        self.turns = read_turns.ReadTurns(self.schedule)
        self.futures: dict[read_turns.Reader, asyncio.Future[None]] = {}
        self.timer: asyncio.Handle | None = None

    async def wait(self, reader: read_turns.Reader) -> None:
        """Wait for a reader's turn, which lasts until it reads again or is suspended."""
        future = asyncio.get_running_loop().create_future()
        self.futures[reader] = future
        self.turns.enqueue(reader, time.perf_counter())
        self.schedule()
        try:
            await future
        except asyncio.CancelledError:
            self.turns.withdraw(reader, time.perf_counter())
            raise
        finally:
            del self.futures[reader]

    def schedule(self) -> None:
        """Set the timer for the next turn unless it is set."""
        due_at = self.turns.next_grant_at()
        loop = self.loop()
        if due_at is None or loop is None or self.timer is not None:
            return
        self.timer = loop.call_later(max(0.0, due_at - time.perf_counter()), self.grant)

    def grant(self) -> None:
        """Give the turn to the next reader if it is due."""
        self.timer = None
        reader = self.turns.grant(time.perf_counter())
        if reader is None:
            self.schedule()
            return
        future = self.futures[reader]
        if future.done():
            # Its task is cancelled and has not run since.
            self.turns.withdraw(reader, time.perf_counter())
        else:
            future.set_result(None)

    def stop(self) -> None:
        """End the use that is billed, to be called when a task is suspended or after it was."""
        if self.turns.running is not None:
            self.turns.stop(time.perf_counter())


def current() -> TurnQueue:
    """Return the queue of the running event loop."""
    loop = asyncio.get_running_loop()
    queue = QUEUES.get(loop)
    if queue is None:
        queue = QUEUES[loop] = TurnQueue(loop)
    return queue
