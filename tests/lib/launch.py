"""Becomes the Python program in its arguments, which ends when the test process dies.

A test run that was killed left its programs running. They went on calling the ports of their
stand-ins, which later runs take. This is not done between fork and exec in the test process: grpc's
threads there make any code that runs after a fork unsafe.
"""

import ctypes
import os
import signal
import sys

PR_SET_PDEATHSIG = 1


def main() -> None:
    """Ask the kernel for a signal at the parent's death, then run the interpreter again."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    os.execv(sys.executable, [sys.executable, *sys.argv[1:]])


if __name__ == "__main__":
    main()
