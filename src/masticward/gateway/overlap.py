"""Keeps the response of a silent endpoint until another endpoint serves the request."""

import abc
import asyncio
import collections.abc
import enum
import typing

from masticward import errors, events, logs
from masticward.gateway import attempts
from masticward.utils import clocks

# An endpoint that refuses a request does so within a round trip. A stream must not be at work at
# two endpoints for 0.4 s, and the timers of a busy process are up to 0.2 s late.
OVERLAP_SECONDS = 0.15
# Time in which a late process reads what has arrived meanwhile.
LATE_READ_SECONDS = 0.05
# After this time since the send, it reads once more for a shorter time.
MAX_OVERLAP_SECONDS = 0.3
LAST_READ_SECONDS = 0.01
# A process whose event loop takes longer for a pass cannot end an overlap in time, and has not read
# what an endpoint has sent.
MAX_PASS_SECONDS = 0.05
# After a search without a result, and for the first endpoint that has refused.
SEARCH_PAUSE_SECONDS = 1.0
# A response whose bytes may not have been read is looked at again after this time at the earliest.
RECHECK_SECONDS = 0.05
# An endpoint that takes nothing of a long body for this time is silent.
UPLOAD_CHECK_SECONDS = 0.5
# A process that is late for longer goes on without an overlap. Clients leave a stream that is
# silent for 2 s.
MAX_LATE_SECONDS = 0.6
LOGGER = logs.get_logger(__name__)
StepT = typing.TypeVar("StepT")


class Outcome(enum.Enum):
    """What decided between a silent response and the attempt beside it."""

    FIRST_CONTINUED = "first continued"
    FIRST_FAILED = "first failed"
    SECOND_BEGAN = "second began"
    SECOND_DID_NOT_REFUSE = "second did not refuse in time"
    SECOND_REFUSED = "second refused"
    SECOND_FAILED = "second failed"
    SECOND_NOT_READ = "second was not read in time"
    PROCESS_LATE = "process too late for an overlap"
    REQUEST_ENDED = "request ended"


# The attempt that goes on; neither does if the request ends.
KEPT_ATTEMPTS = {
    Outcome.FIRST_CONTINUED: "first",
    Outcome.FIRST_FAILED: "second",
    Outcome.SECOND_BEGAN: "second",
    Outcome.SECOND_DID_NOT_REFUSE: "second",
    Outcome.SECOND_REFUSED: "first",
    Outcome.SECOND_FAILED: "first",
    Outcome.SECOND_NOT_READ: "first",
    Outcome.PROCESS_LATE: "second",
    Outcome.REQUEST_ENDED: "none",
}


class AttemptOwner(abc.ABC):
    """The request whose attempts overlap."""

    @abc.abstractmethod
    def may_retry(self) -> bool:
        """Return whether the request may be sent once more."""

    @abc.abstractmethod
    async def acquire_replacement(self) -> attempts.AttemptGrant | None:
        """Wait for another endpoint with a connection and retry budget; None if there is none."""

    @abc.abstractmethod
    def send(self, grant: attempts.AttemptGrant) -> attempts.Attempt:
        """Count, log and return a new attempt; whoever gets it lets it begin."""

    @abc.abstractmethod
    def rejection(self, attempt: attempts.Attempt) -> str:
        """Return why the head of an attempt's response doesn't serve the request, "" if it does."""

    @abc.abstractmethod
    def has_begun(self, attempt: attempts.Attempt) -> bool:
        """Return whether what was read ahead of an attempt's body is enough to rely on it.

        Raise EndpointBrokenError if it doesn't serve the request.
        """

    @abc.abstractmethod
    def end_refused(self, attempt: attempts.Attempt, error: errors.EndpointNotStartedError) -> None:
        """Record and close an attempt that has not run."""

    @abc.abstractmethod
    def end_failed(self, attempt: attempts.Attempt, error: errors.EndpointBrokenError) -> None:
        """Record and close an attempt that may have run."""

    @abc.abstractmethod
    def end_unused(self, attempt: attempts.Attempt) -> None:
        """Close an attempt whose response nobody needs."""

    @abc.abstractmethod
    def report_overlap(self, overlap: "Overlap", outcome: Outcome) -> None:
        """Count and log how an overlap ended."""


class Overlap:
    """Sends a request to another endpoint while its response is silent, and decides between both.

    The silent response is read on until the other endpoint has begun its own, or has had
    ``OVERLAP_SECONDS`` to refuse. Whichever sends first serves; the other is closed. Times are in
    seconds of ``clocks.boot_time``.
    """

    __slots__ = (
        "first",
        "outcome",
        "owner",
        "search",
        "second",
        "silence",
        "silent_since",
        "timer",
    )

    def __init__(self, owner: AttemptOwner) -> None:
        self.owner = owner
        # The attempt whose response is read, and the one beside it.
        self.first: attempts.Attempt | None = None
        self.second: attempts.Attempt | None = None
        # Why the second attempt takes the place of the first one; None as long as it doesn't.
        self.outcome: Outcome | None = None
        self.search: asyncio.Task[None] | None = None
        # Since when the first response is silent.
        self.silent_since = 0.0
        self.timer: asyncio.TimerHandle | None = None
        # Of the present wait for the first response.
        self.silence: asyncio.Timeout | None = None

    async def wait(
        self,
        receive: collections.abc.Callable[[], collections.abc.Awaitable[StepT]],
        silent_since: float,
        timeout_seconds: float,
        first: attempts.Attempt,
    ) -> StepT:
        """Receive the next step of the first attempt's response.

        If the request may run again, another endpoint is looked for after a silence of the timeout,
        and goes on to be looked for in further waits until ``end``. Raise EndpointBrokenError once
        another attempt takes this one's place. Time in which this process let received bytes wait
        for their turn is no time of the endpoint.
        """
        if self.search is None:
            if not self.owner.may_retry():
                return await receive()
            self.first = first
            self.silent_since = silent_since
            self.timer = asyncio.get_running_loop().call_later(
                max(0.0, silent_since + timeout_seconds - clocks.boot_time()),
                self.start_search,
                first.turn_wait_seconds(),
            )
        try:
            if self.outcome is None:
                async with asyncio.timeout(None) as self.silence:
                    received = await receive()
                if self.outcome is None:
                    return received
        except TimeoutError:
            if self.outcome is None:
                raise
        finally:
            self.silence = None
            if self.search is None and self.timer is not None:
                self.timer.cancel()
        silent_seconds = clocks.boot_time() - self.silent_since
        raise errors.EndpointBrokenError(f"no response data for {silent_seconds:.2f} s")

    def start_search(self, excused_seconds: float) -> None:
        """Look for another endpoint unless the silence has another reason.

        Bytes of the response may wait for their turn, or the endpoint may still take the request.
        """
        assert self.first is not None
        loop = asyncio.get_running_loop()
        waited = self.first.turn_wait_seconds()
        if waited > excused_seconds:
            delay = max(RECHECK_SECONDS, waited - excused_seconds)
            self.timer = loop.call_later(delay, self.start_search, waited)
            return
        if self.first.takes_upload():
            # A second send would make another endpoint hold the same long body.
            self.timer = loop.call_later(UPLOAD_CHECK_SECONDS, self.start_search, waited)
            return
        self.search = loop.create_task(self.find_replacement())

    async def find_replacement(self) -> None:
        """Send the request to other endpoints until one serves it or none may."""
        try:
            while self.outcome is None and self.owner.may_retry():
                late_until = clocks.boot_time() + MAX_LATE_SECONDS
                while (late := await measure_pass() > MAX_PASS_SECONDS) and (
                    clocks.boot_time() < late_until
                ):
                    await asyncio.sleep(RECHECK_SECONDS)
                grant = await self.owner.acquire_replacement()
                if grant is None:
                    await asyncio.sleep(SEARCH_PAUSE_SECONDS)
                    continue
                self.second = self.owner.send(grant)
                if late:
                    # The first attempt is closed before the other begins.
                    self.decide(Outcome.PROCESS_LATE)
                self.second.start()
                if late:
                    return
                await self.watch(self.second)
        except Exception as error:
            LOGGER.log(events.Event.TASK_FAILED, task="replacement", error=f"{error!r}")
            self.end_second(Outcome.SECOND_FAILED)

    async def watch(self, second: attempts.Attempt) -> None:
        """Decide for the second attempt unless it refuses or fails at once."""
        # The request is written in the next pass of the loop, and has left the process after it.
        if await measure_pass() + await measure_pass() > 2 * MAX_PASS_SECONDS:
            self.end_second(Outcome.SECOND_NOT_READ)
            return
        latest = second.sent_at + MAX_OVERLAP_SECONDS
        until = min(latest, clocks.boot_time() + OVERLAP_SECONDS)
        try:
            read_last = False
            while not await self.begins(second, until):
                now = clocks.boot_time()
                if not second.has_unread_head():
                    self.decide(Outcome.SECOND_DID_NOT_REFUSE)
                    return
                if read_last:
                    self.end_second(Outcome.SECOND_NOT_READ)
                    return
                # Also after a pause of the process, what has arrived is read once.
                read_last = now >= latest
                until = now + (LAST_READ_SECONDS if read_last else LATE_READ_SECONDS)
            self.decide(Outcome.SECOND_BEGAN)
        except errors.EndpointNotStartedError as error:
            self.owner.report_overlap(self, Outcome.SECOND_REFUSED)
            self.second = None
            self.owner.end_refused(second, error)
        except errors.EndpointBrokenError as error:
            self.owner.report_overlap(self, Outcome.SECOND_FAILED)
            self.second = None
            self.owner.end_failed(second, error)

    async def begins(self, second: attempts.Attempt, until: float) -> bool:
        """Return whether the second response begins until then.

        Raise EndpointNotStartedError or EndpointBrokenError if it doesn't serve the request.
        """
        try:
            async with asyncio.timeout(max(0.0, until - clocks.boot_time())):
                await second.receive_head_beside()
                reason = self.owner.rejection(second)
                if reason:
                    raise errors.EndpointBrokenError(reason)
                while not self.owner.has_begun(second):
                    await second.read_ahead()
        except TimeoutError:
            return False
        return True

    def decide(self, outcome: Outcome) -> None:
        """Let the second attempt take the place of the first, which is read no further."""
        assert self.first is not None
        self.outcome = outcome
        if self.silence is not None:
            self.silence.reschedule(asyncio.get_running_loop().time())
        # Whoever waits for the first response may go on late.
        self.first.abort()

    def end(self, outcome: Outcome = Outcome.FIRST_CONTINUED) -> None:
        """Give up the search and the second attempt."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.search is not None:
            self.search.cancel()
            self.search = None
        self.outcome = None
        self.end_second(outcome)

    def end_second(self, outcome: Outcome) -> None:
        """Close the second attempt if there is one."""
        if self.second is not None:
            self.owner.report_overlap(self, outcome)
            second, self.second = self.second, None
            self.owner.end_unused(second)

    async def take_second(self) -> attempts.Attempt | None:
        """Return the attempt that takes the place of the first one, None without one."""
        search, self.search = self.search, None
        if search is not None:
            search.cancel()
            # Until it has ended, it may still wait for bytes of the second response.
            await asyncio.wait({search})
        if self.second is not None:
            self.owner.report_overlap(self, self.outcome or Outcome.FIRST_FAILED)
        self.outcome = None
        second, self.second = self.second, None
        return second


async def measure_pass() -> float:
    """Return how long the event loop takes for a pass, in seconds."""
    started_at = clocks.boot_time()
    await asyncio.sleep(0)
    return clocks.boot_time() - started_at
