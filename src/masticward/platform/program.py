"""Entry point of the gateway on the platform."""

import os
import pathlib
import sys

from masticward import errors, events, logs
from masticward.daemons import gateway as gateway_daemon
from masticward.platform import headers, settings, store
from masticward.utils import clocks, programs

SETTINGS_VARIABLE = "MASTICWARD_SETTINGS"
INVALID_SETTINGS_EXIT_CODE = 3
# Time for a slow reader of the logs to take the last lines; the process must end within its grace.
LAST_LINES_SECONDS = 0.2
LOGGER = logs.get_logger(__name__)


def main() -> int:
    """Run the gateway with the platform's settings; return the exit code."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, "/etc/masticward/node.yaml"))
    log_writer = logs.configure_gateway()
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
        return await gateway_daemon.run_until_signal(program)

    try:
        return programs.run(run())
    finally:
        log_writer.finish(clocks.boot_time() + LAST_LINES_SECONDS)


if __name__ == "__main__":
    sys.exit(main())
