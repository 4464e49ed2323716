"""Reads what the kernel knows of a TCP connection (``TCP_INFO``, struct tcp_info of Linux)."""

import socket
import struct
import typing

TCP_INFO = 11
# The structure as of Linux 5.4, which adds the peer's window; 4.6 ends it after the unsent bytes.
INFO_BYTES = 232
MIN_INFO_BYTES = 148
RETRANSMISSION_MICROSECONDS_OFFSET = 8
UNACKNOWLEDGED_PACKETS_OFFSET = 24
LAST_DATA_SENT_OFFSET = 44
LAST_DATA_RECEIVED_OFFSET = 52
LAST_ACKNOWLEDGEMENT_OFFSET = 56
UNSENT_BYTES_OFFSET = 144
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
    ``unsending_seconds`` that since the last packet with data to it.
    """

    __slots__ = (
        "retransmission_seconds",
        "silent_seconds",
        "unacknowledged_packets",
        "unsending_seconds",
        "unsent_bytes",
        "window_bytes",
    )

    def __init__(self, data: bytes) -> None:
        def field(offset: int) -> int:
            return int(struct.unpack_from("=I", data, offset)[0])

        self.retransmission_seconds = field(RETRANSMISSION_MICROSECONDS_OFFSET) / 1e6
        self.unacknowledged_packets = field(UNACKNOWLEDGED_PACKETS_OFFSET)
        self.unsending_seconds = field(LAST_DATA_SENT_OFFSET) / 1e3
        # The kernel doesn't note an acknowledgement that comes with data and is not new.
        last_packet_milliseconds = min(
            field(LAST_DATA_RECEIVED_OFFSET), field(LAST_ACKNOWLEDGEMENT_OFFSET)
        )
        self.silent_seconds = last_packet_milliseconds / 1e3
        self.unsent_bytes = field(UNSENT_BYTES_OFFSET)
        has_window = len(data) >= INFO_BYTES
        self.window_bytes = field(WINDOW_BYTES_OFFSET) if has_window else None

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
