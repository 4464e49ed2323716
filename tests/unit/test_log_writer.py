"""Guards against a reader of the logs that stalls the gateway, and against lost warnings."""

import os
import threading
import unittest

from masticward import logs
from masticward.utils import clocks

LINE = "x" * 200
READER_SECONDS = 10.0


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

    def test_the_last_lines_of_a_process_are_written_before_it_ends(self) -> None:
        # They name the requests that a stop cuts; a process that ended with them pending lost them.
        for _ in range(400):
            self.writer.msg(LINE)
        self.writer.warning("last")
        self.assertGreater(self.writer.pending_bytes, 0)
        self.writer.finish(clocks.boot_time() - 1.0)
        self.assertGreater(self.writer.pending_bytes, 0)
        read: list[bytes] = []

        def read_to_last() -> None:
            while not read or not read[-1].endswith(b"\nlast\n"):
                read.append(os.read(self.read_end, 1 << 20))

        reader = threading.Thread(target=read_to_last, daemon=True)
        reader.start()
        self.writer.finish(clocks.boot_time() + READER_SECONDS)
        reader.join(READER_SECONDS)
        self.assertEqual((0, 401), (self.writer.pending_bytes, b"".join(read).count(b"\n")))

    def test_warnings_are_kept_when_routine_lines_are_dropped(self) -> None:
        for _ in range(5_000):
            self.writer.msg(LINE)
        self.writer.warning("important")
        data = self.read_all()
        self.assertIn(b"\nimportant\n", data)
        lines = data.splitlines()
        self.assertEqual({LINE.encode(), b"important"}, set(lines))
        self.assertEqual(0, self.writer.dropped)
