"""Tells peers that read later from those that are lost.

While a peer's window is closed, the kernel sends probes, which a sound peer acknowledges (RFC 9293,
section 3.8.6.1). Under ``TCP_USER_TIMEOUT``, Linux ends the connection nevertheless. So the option
is renewed while the peer acknowledges. Times are in seconds of ``clocks.boot_time``.
"""

import abc
import asyncio
import contextlib
import errno
import socket
import weakref

from masticward.transport import tcp_state
from masticward.utils import clocks

CHECK_INTERVAL_SECONDS = 0.25
# Linux answers no second probe within 0.5 s (net.ipv4.tcp_invalid_ratelimit), so that one of a
# sequence that doubles its interval from 0.2 s may stay unanswered for 1.5 s.
LOST_SECONDS = 1.75
# A probe that is sent after the retransmission time-out has this long to be acknowledged.
PROBE_ANSWER_SECONDS = 0.75
# Linux 6.15 and later: the longest interval of probes.
TCP_RTO_MAX_MS = 44
MAX_PROBE_INTERVAL_MILLISECONDS = 1000
# How long the kernel keeps the connection without a renewal. Without TCP_RTO_MAX_MS, this is also
# the longest interval of its probes.
RENEWAL_MILLISECONDS = 10_000
SHORT_RENEWAL_MILLISECONDS = 1000
# Shortest time without a write that shows whether the kernel measures times.
MEASURABLE_SECONDS = 0.1
WATCHES: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, "PeerWatch"] = (
    weakref.WeakKeyDictionary()
)


class WatchedConnection(abc.ABC):
    """A connection to a peer that may be slow to read."""

    __slots__ = ()

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
        """Let the kernel keep a peer that takes nothing for this long, None for the default."""

    @abc.abstractmethod
    def end_lost(self, error: OSError) -> None:
        """End the connection because its peer is lost."""


class Written:
    """What is known of a connection to which bytes were written.

    ``closed_since`` is the time at which its window was first seen closed, None if it is open.
    """

    __slots__ = ("closed_since", "renewal_milliseconds", "written_at")

    def __init__(self) -> None:
        self.written_at = 0.0
        self.closed_since: float | None = None
        self.renewal_milliseconds = 0


class PeerWatch:
    """Watches the connections of one event loop to which bytes were written."""

    __slots__ = ("connections", "loop", "measures_times", "timer")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        # A reference to the loop would keep its entry in WATCHES.
        self.loop = weakref.ref(loop)
        self.connections: dict[WatchedConnection, Written] = {}
        self.timer: asyncio.TimerHandle | None = None
        # Whether the kernel states when packets were sent and received; None if not known yet.
        self.measures_times: bool | None = None

    def add(self, connection: WatchedConnection) -> None:
        """Watch a connection to which bytes are written until the peer has acknowledged them."""
        if self.measures_times is False:
            return
        written = self.connections.get(connection)
        if written is None:
            written = self.connections[connection] = Written()
            self.schedule()
        if self.measures_times is None:
            written.written_at = clocks.boot_time()

    def schedule(self) -> None:
        """Set the timer for the next check unless it is set."""
        loop = self.loop()
        if self.timer is None and loop is not None:
            self.timer = loop.call_later(CHECK_INTERVAL_SECONDS, self.check)

    def check(self) -> None:
        """Look at all connections, and forget those whose peers have acknowledged everything."""
        self.timer = None
        now = clocks.boot_time()
        for connection, written in list(self.connections.items()):
            if not self.goes_on(connection, written, now):
                del self.connections[connection]
        if self.measures_times is False:
            self.connections.clear()
        if self.connections:
            self.schedule()

    def goes_on(self, connection: WatchedConnection, written: Written, now: float) -> bool:
        """Return whether a connection is to be watched further."""
        sock = connection.open_socket
        if sock is None:
            return False
        pending = connection.pending_bytes > 0
        if not pending and self.measures_times is not None:
            self.open_window(connection, written)
            return False
        state = tcp_state.read(sock)
        if state is None:
            return False
        if not pending:
            self.find_measures(state, now - written.written_at)
            self.open_window(connection, written)
            return False
        if not state.window_closed:
            self.open_window(connection, written)
        elif written.closed_since is None:
            written.closed_since = now
        elif self.measures_times is None and not state.silent_seconds:
            # A kernel that states no times shows no loss; its own time-out has to.
            pass
        elif state.silent_seconds < max(
            LOST_SECONDS, state.retransmission_seconds + PROBE_ANSWER_SECONDS
        ):
            renew(connection, written, sock, now)
        else:
            # The kernel's own error has no text of ours.
            connection.end_lost(
                OSError(
                    errno.ETIMEDOUT,
                    f"no packet from the peer for {state.silent_seconds:.1f} s, window closed",
                )
            )
            return False
        return True

    def find_measures(self, state: tcp_state.TcpState, unwritten_seconds: float) -> None:
        """Find whether the kernel measures times, once all that was written has been sent."""
        if state.unsending_seconds or state.silent_seconds:
            self.measures_times = True
        elif unwritten_seconds >= MEASURABLE_SECONDS:
            self.measures_times = False

    def open_window(self, connection: WatchedConnection, written: Written) -> None:
        """Leave a connection to the kernel's own time-out again."""
        written.closed_since = None
        if written.renewal_milliseconds:
            written.renewal_milliseconds = 0
            connection.allow_silence(None)


def renew(connection: WatchedConnection, written: Written, sock: socket.socket, now: float) -> None:
    """Let the kernel keep a connection whose peer acknowledges and does not read.

    The kernel counts from the first probe, which came after ``closed_since`` at the latest by one
    interval of the checks.
    """
    if not written.renewal_milliseconds:
        written.renewal_milliseconds = SHORT_RENEWAL_MILLISECONDS
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, TCP_RTO_MAX_MS, MAX_PROBE_INTERVAL_MILLISECONDS)
            written.renewal_milliseconds = RENEWAL_MILLISECONDS
    assert written.closed_since is not None
    closed_milliseconds = (now - written.closed_since + CHECK_INTERVAL_SECONDS) * 1000
    connection.allow_silence(int(closed_milliseconds) + written.renewal_milliseconds)


def current() -> PeerWatch:
    """Return the watch of the running event loop."""
    loop = asyncio.get_running_loop()
    watch = WATCHES.get(loop)
    if watch is None:
        watch = WATCHES[loop] = PeerWatch(loop)
    return watch
