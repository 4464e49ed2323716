"""Processor time of connections, and turns of those that use more than a small share of it.

A peer that sends without end costs processor time for all that is read from it. A connection within
its share never waits. The others are limited: they wait for turns and together use at most a fixed
part of the process's time, so that their peers are slowed by full buffers. The turn goes to the one
whose turns took the least time.

All times are in seconds of one monotonic clock.
"""

import collections.abc
import heapq
import itertools
import math

# Part of the process's time that a connection may use without being limited.
READER_SHARE = 0.01
# Use above that share from which on a connection is limited; the lower value applies while others
# wait for turns.
BURST_SECONDS = 0.01
CONTENDED_BURST_SECONDS = 0.002
# Part of the process's time for all limited connections together.
TURNS_SHARE = 0.25
# A use lasts from one read to the next. A reader reads less at once while its uses are longer, and
# more while they are shorter than a quarter of this.
MAX_USE_SECONDS = 0.001
# Longest time that one turn counts as; the process may have been suspended.
MAX_TURN_SECONDS = 0.05
MIN_READ_BYTES = 1024
FIRST_READ_BYTES = 16 * 1024
MAX_READ_BYTES = 64 * 1024
READ_BYTES_FACTOR = 4


class Reader:
    """What one sender's bytes have used. ``limited`` tells whether it waits for turns."""

    __slots__ = (
        "excess_seconds",
        "limited",
        "queue_number",
        "read_bytes",
        "silent_seconds",
        "turn_seconds",
        "waited_seconds",
        "waiting_since",
    )

    def __init__(self) -> None:
        # Use above the share.
        self.excess_seconds = 0.0
        # Time in which its peer sent nothing, which restores its share. It is taken into account
        # only when the excess matters, because that is rare.
        self.silent_seconds = 0.0
        self.limited = False
        # Most that should be read at once.
        self.read_bytes = FIRST_READ_BYTES
        # Use in turns, not below that of the others when it was first limited.
        self.turn_seconds = 0.0
        # Time for which it waited for turns that it got or gave up.
        self.waited_seconds = 0.0
        self.waiting_since: float | None = None
        # Its entry in the queue; 0 while there is none.
        self.queue_number = 0

    def total_waited_seconds(self, now: float) -> float:
        """Return the time for which it has waited for turns, the current wait included."""
        if self.waiting_since is None:
            return self.waited_seconds
        return self.waited_seconds + now - self.waiting_since

    def restore_share(self) -> None:
        """Reduce the excess by the share of the time in which the peer sent nothing."""
        restored = READER_SHARE * self.silent_seconds
        self.silent_seconds = 0.0
        self.excess_seconds = max(0.0, self.excess_seconds - restored)
        if self.excess_seconds <= 0.0:
            self.limited = False


class ReadTurns:
    """The readers of a process, of which one runs at a time."""

    __slots__ = (
        "holder",
        "next_turn_at",
        "numbers",
        "on_turn_end",
        "queue",
        "running",
        "running_since",
        "turn_seconds",
        "virtual_seconds",
        "waited_seconds",
        "waiting_count",
    )

    def __init__(self, on_turn_end: collections.abc.Callable[[], object] = lambda: None) -> None:
        # Called at the end of a turn; the next one may begin at ``next_turn_at``.
        self.on_turn_end = on_turn_end
        self.running: Reader | None = None
        self.running_since = 0.0
        # The reader that has the turn, from its grant to the end of its use.
        self.holder: Reader | None = None
        self.next_turn_at = -math.inf
        self.queue: list[tuple[float, int, Reader]] = []
        self.numbers = itertools.count(1)
        self.waiting_count = 0
        # ``turn_seconds`` of the reader that got the latest turn.
        self.virtual_seconds = 0.0
        # Sums since the start.
        self.turn_seconds = 0.0
        self.waited_seconds = 0.0

    def start(self, reader: Reader, now: float) -> None:
        """Bill the time from now on to a reader."""
        if self.running is not None:
            self.stop(now)
        self.running = reader
        self.running_since = now

    def stop(self, now: float) -> float:
        """End the use of the running reader; return how long it ran, 0 if none did."""
        reader = self.running
        if reader is None:
            return 0.0
        self.running = None
        used = now - self.running_since
        if used > MAX_USE_SECONDS:
            reader.read_bytes = max(MIN_READ_BYTES, reader.read_bytes // READ_BYTES_FACTOR)
            # The process may have been preempted, which is no use.
            reader.excess_seconds += MAX_USE_SECONDS
        else:
            reader.excess_seconds += used
            if reader.read_bytes < MAX_READ_BYTES and used < MAX_USE_SECONDS / READ_BYTES_FACTOR:
                reader.read_bytes = min(MAX_READ_BYTES, reader.read_bytes * READ_BYTES_FACTOR)
        if reader.excess_seconds > CONTENDED_BURST_SECONDS:
            reader.restore_share()
            if reader.excess_seconds > CONTENDED_BURST_SECONDS and not reader.limited:
                reader.limited = reader.excess_seconds > BURST_SECONDS or self.is_contended(now)
        if reader is self.holder:
            self.holder = None
            billed = min(used, MAX_TURN_SECONDS)
            reader.turn_seconds += billed
            self.turn_seconds += billed
            self.next_turn_at = now + billed / TURNS_SHARE - billed
            self.on_turn_end()
        return used

    def is_contended(self, now: float) -> bool:
        """Return whether limited readers use all of their part of the time."""
        return self.waiting_count > 0 or self.holder is not None or now < self.next_turn_at

    def enqueue(self, reader: Reader, now: float) -> None:
        """Let a limited reader wait for a turn."""
        reader.turn_seconds = max(reader.turn_seconds, self.virtual_seconds)
        reader.queue_number = next(self.numbers)
        reader.waiting_since = now
        self.waiting_count += 1
        heapq.heappush(self.queue, (reader.turn_seconds, reader.queue_number, reader))

    def grant(self, now: float) -> Reader | None:
        """Give the turn to the next reader and return it; None if no turn is due."""
        if self.holder is not None or now < self.next_turn_at:
            return None
        while self.queue:
            seconds, number, reader = heapq.heappop(self.queue)
            if reader.queue_number == number:
                self.leave_queue(reader, now)
                self.virtual_seconds = seconds
                self.holder = reader
                return reader
        return None

    def withdraw(self, reader: Reader, now: float) -> None:
        """Take back a reader's wait or its turn, which it does not use."""
        if reader.queue_number:
            self.leave_queue(reader, now)
        elif self.holder is reader:
            self.holder = None
            self.on_turn_end()

    def leave_queue(self, reader: Reader, now: float) -> None:
        """Count the wait of a reader as over."""
        reader.queue_number = 0
        self.waiting_count -= 1
        waited = reader.total_waited_seconds(now) - reader.waited_seconds
        reader.waited_seconds += waited
        reader.waiting_since = None
        self.waited_seconds += waited

    def next_grant_at(self) -> float | None:
        """Return when the next turn may begin; None if nobody waits or the turn is taken."""
        if self.holder is not None or not self.waiting_count:
            return None
        return self.next_turn_at
