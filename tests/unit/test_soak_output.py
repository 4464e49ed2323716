"""Guards against a soak that hangs because a seed writes more than a pipe holds."""

import contextlib
import io
import pathlib
import subprocess
import sys
import threading
import unittest
import unittest.mock

from tests.soak import run

OUTPUT_BYTES = 1_000_000


def start_talkative_seed(
    seed: int, options: list[str], output: pathlib.Path
) -> "subprocess.Popen[bytes]":
    """Start a process in place of a seed's that writes much before it ends."""
    program = f"print('x' * {OUTPUT_BYTES})"
    with output.open("wb") as file:
        return subprocess.Popen([sys.executable, "-c", program], stdout=file)


class SoakOutputTest(unittest.TestCase):
    def test_a_seed_with_much_output_ends(self) -> None:
        printed = io.StringIO()
        with (
            unittest.mock.patch.object(run, "start_seed", start_talkative_seed),
            contextlib.redirect_stdout(printed),
        ):
            player = threading.Thread(target=run.play_many, args=([1], [], 1), daemon=True)
            player.start()
            player.join(20.0)
        self.assertFalse(player.is_alive())
        self.assertEqual(OUTPUT_BYTES, printed.getvalue().count("x"))
