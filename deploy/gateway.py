"""Start the gateway from a source checkout; the platform runs it without installing it."""

import pathlib
import signal
import sys

# The default action of SIGHUP would end the process during the imports, which take up to 0.5 s.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "src"))

from masticward.platform import program  # noqa: E402

if __name__ == "__main__":
    sys.exit(program.main())
