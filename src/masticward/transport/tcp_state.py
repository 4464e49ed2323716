"""Reads what the kernel knows of a TCP connection (``TCP_INFO``, struct tcp_info of Linux)."""

import math
import socket
import struct
import typing

TCP_INFO = 11
# The structure as of Linux 5.4, which adds the peer's window; 4.6 ends it after the unsent bytes.
INFO_BYTES = 232
MIN_INFO_BYTES = 148
RETRANSMISSIONS_OFFSET = 2
BACKOFF_OFFSET = 4
RETRANSMISSION_MICROSECONDS_OFFSET = 8
UNACKNOWLEDGED_PACKETS_OFFSET = 24
LAST_DATA_SENT_OFFSET = 44
LAST_DATA_RECEIVED_OFFSET = 52
LAST_ACKNOWLEDGEMENT_OFFSET = 56
ACKNOWLEDGED_BYTES_OFFSET = 120
RECEIVED_PACKETS_OFFSET = 140
UNSENT_BYTES_OFFSET = 144
RECEIVED_DATA_PACKETS_OFFSET = 152
WINDOW_BYTES_OFFSET = 228


class Socket(typing.Protocol):
    """What is used of a socket; an event loop may have a class of its own."""

    def getsockopt(self, level: int, option: int, size: int, /) -> bytes:
        """Return the value of an option."""
        ...


class TcpState:
    """State of a connection.

    ``unsent_bytes`` are those that the kernel holds back, ``window_bytes`` those that the peer has
    room for, None if not known. ``silent_seconds`` is the time since the peer's last packet,
    ``silent_data_seconds`` that since its last new data, and ``unsending_seconds`` that since the
    last packet with data to it. ``acknowledged_bytes`` counts those that the peer has acknowledged,
    ``bare_packets`` the packets without data that it has sent. ``retransmission_seconds`` is the
    time-out before the kernel has doubled it, ``backoff`` how often it has, also for probes of a
    closed window.
    """

    __slots__ = (
        "acknowledged_bytes",
        "backoff",
        "bare_packets",
        "retransmission_seconds",
        "silent_data_seconds",
        "silent_seconds",
        "unacknowledged_packets",
        "unsending_seconds",
        "unsent_bytes",
        "window_bytes",
    )

    def __init__(self, data: bytes) -> None:
        def field(offset: int) -> int:
            return int(struct.unpack_from("=I", data, offset)[0])

        self.backoff = data[BACKOFF_OFFSET]
        # The kernel states the doubled time-out of retransmissions, and that of probes undoubled.
        doublings = self.backoff if data[RETRANSMISSIONS_OFFSET] else 0
        timeout_seconds = field(RETRANSMISSION_MICROSECONDS_OFFSET) / 1e6
        self.retransmission_seconds = math.ldexp(timeout_seconds, -doublings)
        self.unacknowledged_packets = field(UNACKNOWLEDGED_PACKETS_OFFSET)
        self.unsending_seconds = field(LAST_DATA_SENT_OFFSET) / 1e3
        self.silent_data_seconds = field(LAST_DATA_RECEIVED_OFFSET) / 1e3
        # The kernel doesn't note an acknowledgement that comes with data and is not new.
        last_acknowledgement_seconds = field(LAST_ACKNOWLEDGEMENT_OFFSET) / 1e3
        self.silent_seconds = min(self.silent_data_seconds, last_acknowledgement_seconds)
        self.acknowledged_bytes = int(struct.unpack_from("=Q", data, ACKNOWLEDGED_BYTES_OFFSET)[0])
        self.unsent_bytes = field(UNSENT_BYTES_OFFSET)
        is_complete = len(data) >= INFO_BYTES
        data_packets = field(RECEIVED_DATA_PACKETS_OFFSET) if is_complete else 0
        self.bare_packets = field(RECEIVED_PACKETS_OFFSET) - data_packets
        self.window_bytes = field(WINDOW_BYTES_OFFSET) if is_complete else None

    @property
    def window_closed(self) -> bool:
        """Whether bytes wait for the peer to read others.

        A peer whose buffer is full may also drop what its window allowed before.
        """
        if self.unacknowledged_packets:
            return self.window_bytes == 0
        return self.unsent_bytes > 0


def read(sock: Socket) -> TcpState | None:
    """Return the state of a connection, None if the kernel does not state it."""
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, TCP_INFO, INFO_BYTES)
    except OSError:
        return None
    return TcpState(data) if len(data) >= MIN_INFO_BYTES else None
