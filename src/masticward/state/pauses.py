"""Spans in which this process did not run, such as while its instance was frozen.

Times are in seconds of ``clocks.boot_time``.
"""

import collections

# A later tick than this is a pause. A busy event loop is late by less.
MIN_PAUSE_SECONDS = 0.5
MAX_PAUSES = 32


class Pauses:
    """The latest pauses of this process, found by the time between two ticks."""

    __slots__ = ("spans", "ticked_at")

    def __init__(self, now: float) -> None:
        self.ticked_at = now
        self.spans: collections.deque[tuple[float, float]] = collections.deque(maxlen=MAX_PAUSES)

    def tick(self, now: float) -> None:
        """Record that the process runs; a pause has ended if the latest tick is long ago."""
        if now - self.ticked_at > MIN_PAUSE_SECONDS:
            self.spans.append((self.ticked_at, now))
        self.ticked_at = now

    def seconds_within(self, start: float, now: float) -> float:
        """Return the paused seconds of a span that ends now, with a pause that ends just now."""
        spans = list(self.spans)
        if now - self.ticked_at > MIN_PAUSE_SECONDS:
            spans.append((self.ticked_at, now))
        return sum(max(0.0, min(end, now) - max(begun, start)) for begun, end in spans)
