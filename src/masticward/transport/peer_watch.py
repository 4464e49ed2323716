"""Tells peers that read later or slowly from those that are lost.

Linux counts ``TCP_USER_TIMEOUT`` also from the first probe of a window (RFC 9293, section 3.8.6.1)
until the peer has room for the whole next segment, even if the peer acknowledges and takes bytes
meanwhile. So the option is off while bytes wait to be acknowledged, and a peer counts as lost if it
owes a packet and has sent none for some time. Times are in seconds of ``clocks.boot_time``.
"""

import abc
import asyncio
import contextlib
import errno
import math
import os
import socket
import weakref

from masticward import events, logs
from masticward.transport import tcp_state
from masticward.utils import clocks

CHECK_INTERVAL_SECONDS = 0.25
MIN_CHECK_INTERVAL_SECONDS = 0.01
# A peer with room for bytes acknowledges them at once.
UNACKNOWLEDGED_SECONDS = 1.5
# Linux answers no second probe within 0.5 s (net.ipv4.tcp_invalid_ratelimit), so that one of a
# sequence that doubles its interval from 0.2 s may stay unanswered for 1.5 s.
UNANSWERED_PROBE_SECONDS = 1.75
# A packet that is sent after the retransmission time-out has this long to be acknowledged.
ANSWER_SECONDS = 0.75
# Linux 6.15 and later: the longest interval of probes and retransmissions.
TCP_RTO_MAX_MS = 44
MAX_PROBE_INTERVAL_MILLISECONDS = 1000
# Without TCP_RTO_MAX_MS, the next probe is sent when the kernel's time-out is over at the latest.
# The time-out is kept this far above the age of the connection.
RENEWAL_SECONDS = 1.0
# Shortest time without a write that shows whether the kernel measures times.
MEASURABLE_SECONDS = 0.1
WATCHES: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, "PeerWatch"] = (
    weakref.WeakKeyDictionary()
)
LOGGER = logs.get_logger(__name__)


class WatchedConnection(abc.ABC):
    """A connection to a peer that may be slow to read.

    ``number`` names it in log lines. ``limits_probes`` is whether the kernel limits the interval of
    probes, None if it was not asked.
    """

    __slots__ = ("limits_probes", "number", "opened_at")

    def __init__(self, number: int) -> None:
        self.number = number
        self.opened_at = clocks.boot_time()
        self.limits_probes: bool | None = None

    @property
    @abc.abstractmethod
    def open_socket(self) -> socket.socket | None:
        """The socket, None once the connection has ended."""

    @property
    @abc.abstractmethod
    def pending_bytes(self) -> int:
        """Number of written bytes that the peer has not acknowledged."""

    @abc.abstractmethod
    def allow_silence(self, milliseconds: int | None) -> None:
        """Set the kernel's time-out, 0 for none, None for the default."""

    @abc.abstractmethod
    def end_lost(self, error: OSError) -> None:
        """End the connection because its peer is lost."""


class Written:
    """What is known of a connection while its peer has not acknowledged all that was written.

    ``written_at`` is the time of the last write as long as it is needed, ``asked_at`` the one since
    which the peer owes a packet, ``answered_at`` the one at which it was last seen to have sent one
    that answers others, and ``closed_at`` the one since which it has had no room, None if it has
    some. ``is_watched`` tells whether the kernel's time-out is off.
    """

    __slots__ = (
        "answered_at",
        "answers",
        "asked_at",
        "closed_at",
        "is_watched",
        "written_at",
    )

    def __init__(self, now: float) -> None:
        self.written_at = now
        self.asked_at = now
        self.answered_at = now
        # Acknowledged bytes and packets without data; one or the other grows with each answer.
        self.answers = (0, 0)
        self.closed_at: float | None = None
        self.is_watched = False

    def record(self, state: tcp_state.TcpState, now: float) -> None:
        """Record what the kernel states now."""
        if not (state.unacknowledged_packets or state.unsent_bytes):
            # The kernel has not been given the bytes so far.
            self.asked_at = now
        answers = (state.acknowledged_bytes, state.bare_packets)
        if answers != self.answers:
            self.answers = answers
            self.answered_at = now
        if not state.window_closed:
            self.closed_at = None
        elif self.closed_at is None:
            self.closed_at = now

    def unanswered_seconds(self, state: tcp_state.TcpState, now: float) -> float:
        """Return how long the peer has owed a packet."""
        # A peer that receives nothing may send its unacknowledged data again and again.
        unanswered_seconds = min(state.silent_data_seconds, now - self.answered_at)
        return min(max(state.silent_seconds, unanswered_seconds), now - self.asked_at)


class PeerWatch:
    """Watches the connections of one event loop to which bytes were written."""

    __slots__ = ("checked_at", "connections", "loop", "measures_times", "timer")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        # A reference to the loop would keep its entry in WATCHES.
        self.loop = weakref.ref(loop)
        self.connections: dict[WatchedConnection, Written] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.checked_at = 0.0
        # Whether the kernel states when packets were sent and received; None if not known yet.
        self.measures_times: bool | None = None

    def add(self, connection: WatchedConnection) -> None:
        """Watch a connection to which bytes are written until the peer has acknowledged them."""
        if self.measures_times is False:
            return
        written = self.connections.get(connection)
        if written is None:
            written = self.connections[connection] = Written(clocks.boot_time())
            if self.measures_times:
                take_over(connection, written)
            if self.timer is None:
                self.checked_at = written.asked_at
                self.schedule(CHECK_INTERVAL_SECONDS)
        elif self.measures_times is None:
            written.written_at = clocks.boot_time()

    def remove(self, connection: WatchedConnection) -> None:
        """Leave a connection to the kernel's time-out, as before it is closed."""
        written = self.connections.pop(connection, None)
        if written is not None and written.is_watched:
            connection.allow_silence(None)

    def schedule(self, seconds: float) -> None:
        """Set the timer for the next check."""
        loop = self.loop()
        if loop is not None:
            self.timer = loop.call_later(seconds, self.check)

    def check(self) -> None:
        """Look at all connections, and forget those whose peers have acknowledged everything."""
        self.timer = None
        now = clocks.boot_time()
        # After a long pause, bytes that were just written may follow others that were acknowledged.
        is_late = now - self.checked_at >= UNACKNOWLEDGED_SECONDS
        self.checked_at = now
        next_seconds = CHECK_INTERVAL_SECONDS
        for connection, written in list(self.connections.items()):
            if is_late:
                written.asked_at = written.answered_at = now
            seconds = self.find_patience(connection, written, now)
            if seconds is None:
                self.remove(connection)
            else:
                next_seconds = min(next_seconds, seconds)
        if self.measures_times is False:
            self.connections.clear()
        if self.connections:
            self.schedule(max(next_seconds, MIN_CHECK_INTERVAL_SECONDS))

    def find_patience(
        self, connection: WatchedConnection, written: Written, now: float
    ) -> float | None:
        """Return the seconds after which a silent peer is lost, None if it is watched no more."""
        sock = connection.open_socket
        if sock is None:
            return None
        pending = connection.pending_bytes > 0
        if not pending and self.measures_times:
            return None
        state = tcp_state.read(sock)
        if state is None:
            return None
        if self.measures_times is None:
            self.find_measures(state, pending, now - written.written_at)
        if not pending:
            return None
        if not self.measures_times:
            # The kernel's own time-out has to show a loss.
            return CHECK_INTERVAL_SECONDS
        if not written.is_watched:
            take_over(connection, written)
        written.record(state, now)
        limit_seconds = find_limit(connection, written, state)
        seconds = written.unanswered_seconds(state, now)
        if seconds < limit_seconds:
            if not connection.limits_probes:
                limit_probes(connection, written, now)
            return limit_seconds - seconds
        LOGGER.log(
            events.Event.CONNECTION_PEER_LOST,
            connection=connection.number,
            silent_seconds=round(seconds, 2),
            window="closed" if state.window_closed else "open",
        )
        connection.end_lost(OSError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT)))
        return None

    def find_measures(
        self, state: tcp_state.TcpState, pending: bool, unwritten_seconds: float
    ) -> None:
        """Find whether the kernel measures times."""
        if state.unsending_seconds or state.silent_seconds:
            self.measures_times = True
        elif not pending and unwritten_seconds >= MEASURABLE_SECONDS:
            self.measures_times = False


def take_over(connection: WatchedConnection, written: Written) -> None:
    """Turn the kernel's time-out off, and limit the interval of its probes if it can."""
    written.is_watched = True
    connection.allow_silence(0)
    sock = connection.open_socket
    if connection.limits_probes is None and sock is not None:
        connection.limits_probes = False
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, TCP_RTO_MAX_MS, MAX_PROBE_INTERVAL_MILLISECONDS)
            connection.limits_probes = True


def find_limit(connection: WatchedConnection, written: Written, state: tcp_state.TcpState) -> float:
    """Return the seconds for which a peer that is not lost may leave packets unanswered."""
    answer_seconds = state.retransmission_seconds + ANSWER_SECONDS
    if written.closed_at is None:
        return max(UNACKNOWLEDGED_SECONDS, answer_seconds)
    if not connection.limits_probes:
        interval_seconds = min(
            math.ldexp(state.retransmission_seconds, state.backoff),
            RENEWAL_SECONDS + written.closed_at - connection.opened_at,
        )
        answer_seconds = max(answer_seconds, interval_seconds + ANSWER_SECONDS)
    return max(UNANSWERED_PROBE_SECONDS, answer_seconds)


def limit_probes(connection: WatchedConnection, written: Written, now: float) -> None:
    """Limit the interval of probes by the kernel's time-out, which is off unless they are sent.

    The kernel may count from a probe for bytes that were acknowledged since then, so that only the
    age of the connection is known to be above its count.
    """
    if written.closed_at is None:
        connection.allow_silence(0)
    else:
        seconds = now - connection.opened_at + RENEWAL_SECONDS
        connection.allow_silence(int(seconds * 1000))


def current() -> PeerWatch:
    """Return the watch of the running event loop."""
    loop = asyncio.get_running_loop()
    watch = WATCHES.get(loop)
    if watch is None:
        watch = WATCHES[loop] = PeerWatch(loop)
    return watch
