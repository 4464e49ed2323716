"""Log lines about how a gateway's stop goes, which also tell of one that is killed at its end."""

import asyncio
import collections

from masticward import events, logs
from masticward.gateway import sources
from masticward.transport import http1_server
from masticward.utils import clocks

POLL_INTERVAL_SECONDS = 0.05
# A later timer has a line. It is below the margin that a stop leaves before the process is killed.
LATE_SECONDS = 0.2
# Requests that are open this long before the end are named while the process still can.
NEAR_END_SECONDS = 1.0
# Request IDs in one line.
MAX_LOGGED_IDS = 50
LOGGER = logs.get_logger(__name__)


def to_milliseconds(seconds: float) -> int:
    """Return whole milliseconds."""
    return round(seconds * clocks.MILLISECONDS_PER_SECOND)


class StopMonitor:
    """Waits during a stop, and logs lateness and requests that are open shortly before its end.

    ``ends_at`` is when open requests are cut, in seconds of ``clocks.boot_time``.
    """

    __slots__ = ("codec", "ends_at", "longest_late_seconds", "near_end_at", "server")

    def __init__(
        self, server: http1_server.Server, codec: sources.RequestCodec, ends_at: float
    ) -> None:
        self.server = server
        self.codec = codec
        self.ends_at = ends_at
        # None once the line was written.
        self.near_end_at: float | None = ends_at - NEAR_END_SECONDS
        self.longest_late_seconds = 0.0

    async def sleep_until(self, deadline: float) -> None:
        """Wait until a time of ``clocks.boot_time``."""
        while clocks.boot_time() < deadline:
            await self.sleep()

    async def sleep(self) -> None:
        """Wait for one interval."""
        due = clocks.boot_time() + POLL_INTERVAL_SECONDS
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
        now = clocks.boot_time()
        self.record_lateness(now - due)
        if self.near_end_at is not None and now >= self.near_end_at:
            self.near_end_at = None
            self.log_open_requests()

    def record_lateness(self, late_seconds: float) -> None:
        """Keep the longest lateness; log it if it endangers the end of the stop."""
        self.longest_late_seconds = max(self.longest_late_seconds, late_seconds)
        if late_seconds < LATE_SECONDS:
            return
        LOGGER.log(
            events.Event.PROCESS_STOP_LATE,
            late_ms=to_milliseconds(late_seconds),
            ends_in_ms=to_milliseconds(self.ends_at - clocks.boot_time()),
            unfinished=self.server.busy,
        )

    def log_open_requests(self) -> None:
        """Name the open requests, if there are any."""
        open_requests = self.server.open_requests()
        if not open_requests:
            return
        stages = collections.Counter(stage.value for _, stage in open_requests)
        ids = [
            self.codec.request_id(request.headers)
            for request, _ in open_requests[:MAX_LOGGED_IDS]
            if request is not None
        ]
        LOGGER.log(
            events.Event.PROCESS_STOP_NEAR_END,
            ends_in_ms=to_milliseconds(self.ends_at - clocks.boot_time()),
            unfinished=len(open_requests),
            unfinished_by_stage=dict(stages),
            late_ms=to_milliseconds(self.longest_late_seconds),
            request_ids=ids,
        )
