"""Guards against a reader of the logs that stalls the gateway, and against lost warnings."""

import os
import unittest

from masticward import logs

LINE = "x" * 200


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
