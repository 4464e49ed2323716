"""Admitted attempts from their arrival to their final event."""

import asyncio
import collections
import collections.abc

from masticward.models import attempts, work

# Bounds the memory of a stream whose entry reads slowly. While the queue is full, the endpoint's
# response is not read either.
MAXIMUM_QUEUED_EVENTS = 16


class Run:
    """A staged or running attempt. Times are monotonic seconds, costs are cost units."""

    __slots__ = (
        "cost",
        "delivering",
        "epoch",
        "events",
        "first_token_at",
        "first_token_wait_ended",
        "is_model",
        "request",
        "started_at",
        "task",
    )

    def __init__(self, request: attempts.AttemptRequest) -> None:
        self.request = request
        self.events: asyncio.Queue[attempts.AttemptEvent] = asyncio.Queue(MAXIMUM_QUEUED_EVENTS)
        self.delivering = True
        self.cost = 0.0
        self.epoch = 0
        self.started_at: float | None = None
        self.first_token_at: float | None = None
        self.first_token_wait_ended = False
        self.is_model = False
        self.task: asyncio.Task[None] | None = None

    async def deliver(self, event: attempts.AttemptEvent) -> None:
        """Queue an event for the entry's stream. Drops it if the delivery has been stopped."""
        if self.delivering:
            await self.events.put(event)

    def stop_delivery(self) -> None:
        """Drop queued and future events, and unblock a ``deliver`` that waits for room."""
        self.delivering = False
        while not self.events.empty():
            self.events.get_nowait()


class StagedRuns:
    """Runs that have not started, in the order of their arrival."""

    __slots__ = ("waiting",)

    def __init__(self) -> None:
        self.waiting: collections.deque[Run] = collections.deque()

    def __len__(self) -> int:
        return len(self.waiting)

    def append(self, run: Run) -> None:
        """Append a run."""
        self.waiting.append(run)

    def take_first(self) -> Run:
        """Remove and return the first run."""
        return self.waiting.popleft()

    def take_last(self) -> Run:
        """Remove and return the last run."""
        return self.waiting.pop()

    def remove(self, run: Run) -> bool:
        """Remove a run. Return False if it is not staged."""
        if run not in self.waiting:
            return False
        self.waiting.remove(run)
        return True

    def take_failing(
        self, check: collections.abc.Callable[[Run], work.RefusalReason | None]
    ) -> list[tuple[Run, work.RefusalReason]]:
        """Remove and return the runs for which ``check`` returns a reason, with that reason."""
        failing = []
        passing: collections.deque[Run] = collections.deque()
        for run in self.waiting:
            reason = check(run)
            if reason is None:
                passing.append(run)
            else:
                failing.append((run, reason))
        self.waiting = passing
        return failing

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of the staged runs, None if there are none."""
        return min((run.request.call.deadline for run in self.waiting), default=None)
