"""Guards against a reload signal that ends the gateway while its start script imports modules."""

import pathlib
import subprocess
import sys
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parents[2] / "deploy" / "gateway.py"
# Runs the script up to its first import of the package and prints whether SIGHUP is ignored then.
PROBE = f"""
import builtins, runpy, signal
plain_import = builtins.__import__
def probing_import(name, *args, **kwargs):
    if name.startswith("masticward"):
        print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
        raise SystemExit(0)
    return plain_import(name, *args, **kwargs)
builtins.__import__ = probing_import
runpy.run_path({str(SCRIPT)!r}, run_name="__main__")
"""


class GatewayStartTest(unittest.TestCase):
    def test_a_reload_signal_during_the_imports_does_not_end_the_process(self) -> None:
        result = subprocess.run(
            [sys.executable, "-c", PROBE], capture_output=True, text=True, timeout=30, check=True
        )
        self.assertEqual("True", result.stdout.strip())
