"""Entry point of the gateway on the platform."""

import os
import pathlib
import signal
import sys

from masticward import errors, events, logs
from masticward.daemons import gateway as gateway_daemon
from masticward.platform import headers, settings, store
from masticward.utils import clocks, programs

SETTINGS_VARIABLE = "MASTICWARD_SETTINGS"
INVALID_SETTINGS_EXIT_CODE = 3
LOGGER = logs.get_logger(__name__)


def main() -> int:
    """Run the gateway with the platform's settings; return the exit code."""
    writer = logs.configure_gateway()
    try:
        return run_gateway(writer)
    finally:
        writer.close(clocks.boot_time() + logs.CLOSE_WAIT_SECONDS)


def run_gateway(writer: logs.LineWriter) -> int:
    """Load the settings and run the gateway; return the exit code."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, "/etc/masticward/node.yaml"))
    try:
        loaded = settings.load(path)
    except errors.SettingsError as error:
        LOGGER.log(events.Event.SETTINGS_UNREADABLE, path=str(path), problems=error.problems)
        return INVALID_SETTINGS_EXIT_CODE
    logs.bind(process=loaded.instance_id)

    async def run() -> int:
        source = store.Store(loaded.store_address)
        program = gateway_daemon.GatewayProgram(
            loaded, source, headers.HeaderCodec(), lambda: settings.load(path)
        )
        try:
            return await gateway_daemon.run_until_signal(program)
        finally:
            # A late process has used up part of the margin for its end.
            writer.close_until = program.fleet.ends_at + gateway_daemon.STOP_MARGIN_SECONDS / 2
            # A further signal must not end the process before the lines that wait are written.
            for number in gateway_daemon.STOP_SIGNALS:
                signal.signal(number, signal.SIG_IGN)

    return programs.run(run())


if __name__ == "__main__":
    sys.exit(main())
