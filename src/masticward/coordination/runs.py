"""One admitted attempt from its arrival to its last event."""

import asyncio
import collections
import collections.abc

from masticward.models import attempts, work

# Bounds the memory of a stream whose entry reads slowly; the engine is then read slowly too.
EVENTS_KEPT = 16


class Run:
    """An attempt that waits or runs. Times are monotonic seconds, costs are cost units."""

    __slots__ = (
        "cost",
        "epoch",
        "events",
        "first_token_at",
        "first_token_done",
        "is_model",
        "listening",
        "request",
        "started_at",
        "task",
    )

    def __init__(self, request: attempts.AttemptRequest) -> None:
        self.request = request
        self.events: asyncio.Queue[attempts.AttemptEvent] = asyncio.Queue(EVENTS_KEPT)
        self.listening = True
        self.cost = 0.0
        self.epoch = 0
        self.started_at: float | None = None
        self.first_token_at: float | None = None
        self.first_token_done = False
        self.is_model = False
        self.task: asyncio.Task[None] | None = None

    async def deliver(self, event: attempts.AttemptEvent) -> None:
        """Hand an event to the entry's stream; drop it if nobody listens any more."""
        if self.listening:
            await self.events.put(event)

    def stop_listening(self) -> None:
        """Drop all events from now on and release a deliverer that waits for room."""
        self.listening = False
        while not self.events.empty():
            self.events.get_nowait()


class StagedRuns:
    """Runs that wait in the order of their arrival and have not started."""

    __slots__ = ("waiting",)

    def __init__(self) -> None:
        self.waiting: collections.deque[Run] = collections.deque()

    def __len__(self) -> int:
        return len(self.waiting)

    def append(self, run: Run) -> None:
        """Add a run at the end."""
        self.waiting.append(run)

    def take_first(self) -> Run:
        """Remove and return the first run."""
        return self.waiting.popleft()

    def take_last(self) -> Run:
        """Remove and return the last run."""
        return self.waiting.pop()

    def remove(self, run: Run) -> bool:
        """Remove a run; False if it does not wait."""
        if run not in self.waiting:
            return False
        self.waiting.remove(run)
        return True

    def take_unfit(
        self, check: collections.abc.Callable[[Run], work.RefusalReason | None]
    ) -> list[tuple[Run, work.RefusalReason]]:
        """Remove and return the runs that fail a check, with the reason."""
        unfit = []
        fit: collections.deque[Run] = collections.deque()
        for run in self.waiting:
            reason = check(run)
            if reason is None:
                fit.append(run)
            else:
                unfit.append((run, reason))
        self.waiting = fit
        return unfit

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of the waiting runs."""
        return min((run.request.call.deadline for run in self.waiting), default=None)
