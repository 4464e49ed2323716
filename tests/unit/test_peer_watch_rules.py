"""Guards against sound peers that are taken for lost by what the kernel states of them."""

import errno
import socket
import struct
import typing
import unittest
import unittest.mock

from masticward.transport import peer_watch, tcp_state

RETRANSMISSION_SECONDS = 0.2


def build_state(
    silent_seconds: float = 0.0,
    silent_data_seconds: float = 100.0,
    window_bytes: int = 0,
    unacknowledged_packets: int = 1,
    retransmissions: int = 0,
    backoff: int = 0,
    acknowledged_bytes: int = 0,
    bare_packets: int = 0,
) -> tcp_state.TcpState:
    """Return the state of a connection with unacknowledged bytes."""
    data = bytearray(tcp_state.INFO_BYTES)
    data[tcp_state.RETRANSMISSIONS_OFFSET] = retransmissions
    data[tcp_state.BACKOFF_OFFSET] = backoff
    timeout = int(RETRANSMISSION_SECONDS * 1e6) << (backoff if retransmissions else 0)
    fields = {
        tcp_state.RETRANSMISSION_MICROSECONDS_OFFSET: timeout,
        tcp_state.UNACKNOWLEDGED_PACKETS_OFFSET: unacknowledged_packets,
        tcp_state.LAST_DATA_RECEIVED_OFFSET: int(silent_data_seconds * 1e3),
        tcp_state.LAST_ACKNOWLEDGEMENT_OFFSET: int(silent_seconds * 1e3),
        tcp_state.RECEIVED_PACKETS_OFFSET: bare_packets,
        tcp_state.UNSENT_BYTES_OFFSET: 1000,
        tcp_state.WINDOW_BYTES_OFFSET: window_bytes,
    }
    for offset, value in fields.items():
        struct.pack_into("=I", data, offset, value)
    struct.pack_into("=Q", data, tcp_state.ACKNOWLEDGED_BYTES_OFFSET, acknowledged_bytes)
    return tcp_state.TcpState(bytes(data))


class FakeConnection(peer_watch.WatchedConnection):
    """A connection whose peer has never acknowledged everything."""

    def __init__(self, limits_probes: bool = True) -> None:
        super().__init__(1)
        self.opened_at = 0.0
        self.limits_probes = limits_probes
        self.time_outs: list[int | None] = []
        self.error: OSError | None = None

    @property
    def open_socket(self) -> typing.Any:
        """A socket that is not used."""
        return unittest.mock.Mock(spec=socket.socket)

    @property
    def pending_bytes(self) -> int:
        """Bytes that the peer lacks."""
        return 1000

    def allow_silence(self, milliseconds: int | None) -> None:
        """Record the time-out."""
        self.time_outs.append(milliseconds)

    def end_lost(self, error: OSError) -> None:
        """Record the error."""
        self.error = error


class RulesTest(unittest.TestCase):
    """Lets a watch look at one connection, written at 0 s, at chosen times."""

    def setUp(self) -> None:
        self.watch = peer_watch.PeerWatch(unittest.mock.Mock())
        self.watch.measures_times = True
        self.connection = FakeConnection()
        with self.at(0.0):
            self.watch.add(self.connection)

    def at(self, now: float) -> typing.Any:
        return unittest.mock.patch.object(peer_watch.clocks, "boot_time", return_value=now)

    def look(self, now: float, **fields: typing.Any) -> bool:
        """Let the watch look at a state; return whether it keeps the connection."""
        state = build_state(**fields)
        with self.at(now), unittest.mock.patch.object(tcp_state, "read", return_value=state):
            self.watch.check()
        return self.connection.error is None

    def test_a_peer_that_answers_probes_is_kept_without_a_time_out_of_the_kernel(self) -> None:
        for step in range(1, 400):
            now = 0.25 * step
            # Probes and their answers are a second apart.
            fields = {"silent_seconds": now % 1.0, "bare_packets": int(now)}
            self.assertTrue(self.look(now, unacknowledged_packets=0, **fields))
        self.assertEqual([0], self.connection.time_outs)

    def test_a_peer_with_room_that_acknowledges_nothing_is_lost(self) -> None:
        self.assertTrue(self.look(0.25, silent_seconds=9.0, window_bytes=1000))
        self.assertTrue(self.look(1.25, silent_seconds=10.0, window_bytes=1000, retransmissions=2))
        fields = {"silent_seconds": 10.3, "window_bytes": 1000, "retransmissions": 3, "backoff": 3}
        self.assertFalse(self.look(1.5, **fields))
        assert self.connection.error is not None
        self.assertEqual(errno.ETIMEDOUT, self.connection.error.errno)

    def test_a_peer_without_room_that_answers_no_probe_is_lost(self) -> None:
        self.assertTrue(self.look(1.25, silent_seconds=1.2, unacknowledged_packets=0))
        self.assertTrue(self.look(1.7, silent_seconds=1.7, unacknowledged_packets=0))
        self.assertFalse(self.look(1.8, silent_seconds=1.8, unacknowledged_packets=0))

    def test_a_peer_that_repeats_its_own_data_and_answers_nothing_is_lost(self) -> None:
        self.assertTrue(self.look(0.25, silent_seconds=0.1, silent_data_seconds=0.1))
        self.assertTrue(self.look(1.25, silent_seconds=0.2, silent_data_seconds=1.1))
        self.assertFalse(self.look(2.25, silent_seconds=0.2, silent_data_seconds=2.1))

    def test_bytes_that_were_just_written_owe_no_answer_after_a_pause_of_the_process(self) -> None:
        self.assertTrue(self.look(0.25, silent_seconds=0.1))
        # The process has not run for a while, and has written right before the check.
        self.assertTrue(self.look(6.0, silent_seconds=5.5, acknowledged_bytes=500))
        self.assertTrue(self.look(7.0, silent_seconds=6.5, acknowledged_bytes=500))
        self.assertFalse(self.look(8.0, silent_seconds=7.5, acknowledged_bytes=500))

    def test_an_earlier_probe_is_within_the_time_out_of_a_kernel_that_needs_one(self) -> None:
        self.connection = FakeConnection(limits_probes=False)
        with self.at(60.0):
            self.watch.add(self.connection)
            self.watch.checked_at = 60.0
        fields = {"unacknowledged_packets": 0, "bare_packets": 1}
        self.assertTrue(self.look(60.25, silent_seconds=0.1, **fields))
        # It may count from any probe since the connection was opened.
        self.assertEqual([0, 61_250], self.connection.time_outs)
        # The interval of probes has grown meanwhile.
        fields["backoff"] = 4
        self.assertTrue(self.look(61.5, silent_seconds=1.2, **fields))
        self.assertTrue(self.look(62.9, silent_seconds=2.6, **fields))
        self.assertTrue(self.look(64.0, silent_seconds=3.7, **fields))
        self.assertFalse(self.look(64.5, silent_seconds=4.2, **fields))
