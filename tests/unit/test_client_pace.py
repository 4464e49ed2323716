"""Guards against clients that are cut although they read as fast as they have to."""

import unittest

from masticward.state import buffered_bytes

TOTAL_BYTES = 400_000
DEADLINE = 60.0
# What a client's kernel takes before the client has read anything, and again once it has.
BURST_BYTES = 100_000


class KeepsUpTest(unittest.TestCase):
    """Guards against a stall that only the client's kernel shows."""

    def keeps_up(self, taken_bytes: int, now: float, total_bytes: int = TOTAL_BYTES) -> bool:
        pace = buffered_bytes.ClientPace(0.0)
        sent_bytes = min(total_bytes, taken_bytes + 200_000)
        pace.record(sent_bytes - taken_bytes, now)
        return pace.keeps_up(sent_bytes, total_bytes, DEADLINE, now)

    def test_a_client_that_reads_just_fast_enough_is_never_behind(self) -> None:
        for step in range(1, 60):
            read_bytes = int(TOTAL_BYTES * step / DEADLINE)
            # The kernel takes a burst whenever the client has read the one before.
            taken_bytes = min(TOTAL_BYTES, (read_bytes // BURST_BYTES + 1) * BURST_BYTES)
            self.assertTrue(self.keeps_up(taken_bytes, float(step)))

    def test_a_client_that_takes_nothing_is_behind(self) -> None:
        self.assertFalse(self.keeps_up(0, 5.0))

    def test_a_client_that_stops_is_behind_once_it_would_have_read_what_it_took(self) -> None:
        self.assertTrue(self.keeps_up(BURST_BYTES, 14.9))
        self.assertFalse(self.keeps_up(BURST_BYTES, 15.1))

    def test_no_client_keeps_up_after_its_deadline(self) -> None:
        self.assertFalse(self.keeps_up(TOTAL_BYTES - 1, DEADLINE + 1.0))
