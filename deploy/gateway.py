"""Starts the gateway from a checkout: the platform runs programs without an installation."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "src"))

from masticward.platform import program

if __name__ == "__main__":
    sys.exit(program.main())
