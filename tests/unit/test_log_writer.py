"""Guards against a reader of the logs that stalls the gateway, and against lost warnings."""

import os
import threading
import unittest

from masticward import logs
from masticward.utils import clocks

LINE = "x" * 200
READ_TIMEOUT_SECONDS = 60.0


class LineWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.read_end, write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, write_end)
        self.writer = logs.LineWriter(write_end)

    def read_all(self) -> bytes:
        """Read what the writer has, as a collector that has caught up."""
        os.set_blocking(self.read_end, False)
        data = b""
        while True:
            self.writer.flush()
            try:
                data += os.read(self.read_end, 1 << 20)
            except BlockingIOError:
                return data

    def test_a_reader_that_stalls_costs_routine_lines_not_time_or_memory(self) -> None:
        for _ in range(5_000):
            self.writer.msg(LINE)
        self.assertGreater(self.writer.dropped, 0)
        self.assertLessEqual(self.writer.pending_bytes, logs.ROUTINE_BUFFER_BYTES)

    def test_warnings_are_kept_when_routine_lines_are_dropped(self) -> None:
        for _ in range(5_000):
            self.writer.msg(LINE)
        self.writer.warning("important")
        data = self.read_all()
        self.assertIn(b"\nimportant\n", data)
        lines = data.splitlines()
        self.assertEqual({LINE.encode(), b"important"}, set(lines))
        self.assertEqual(0, self.writer.dropped)

    # Lines that waited for a full pipe when the process ended were lost.
    def test_lines_that_wait_at_the_end_are_written_out(self) -> None:
        for number in range(1_000):
            self.writer.warning(f"{number} {LINE}")
        self.assertGreater(self.writer.pending_bytes, 0)
        data = b""

        def read_to_end() -> None:
            nonlocal data
            while not data.endswith(b"999 " + LINE.encode() + b"\n"):
                data += os.read(self.read_end, 1 << 20)

        reader = threading.Thread(target=read_to_end)
        reader.start()
        self.writer.close(clocks.boot_time() + READ_TIMEOUT_SECONDS)
        reader.join()
        numbers = [int(line.split()[0]) for line in data.splitlines()]
        self.assertEqual(list(range(1_000)), numbers)

    # A collector that never reads again must not keep the process beyond its grace period.
    def test_the_end_does_not_wait_for_a_reader_beyond_the_deadline(self) -> None:
        for _ in range(1_000):
            self.writer.warning(LINE)
        started = clocks.boot_time()
        self.writer.close(started + 0.05)
        self.assertGreaterEqual(clocks.boot_time(), started + 0.05)
        self.assertGreater(self.writer.pending_bytes, 0)
        self.writer.close_until = started
        self.writer.close(started + READ_TIMEOUT_SECONDS)
        self.assertLess(clocks.boot_time(), started + READ_TIMEOUT_SECONDS)

    # A collector that ended made every log call, and with it every request, fail.
    def test_a_reader_that_is_gone_fails_no_caller(self) -> None:
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, write_end)
        os.close(read_end)
        writer = logs.LineWriter(write_end)
        writer.warning(LINE)
        self.assertEqual((1, 0), (writer.dropped, writer.pending_bytes))
