"""``masticward entry`` and ``masticward agent``: run the two programs."""

import pathlib
import typing

import typer

from masticward import errors, logs, settings
from masticward.cli import exit_codes
from masticward.daemons import agent as agent_daemon
from masticward.daemons import common
from masticward.daemons import entry as entry_daemon
from masticward.utils import programs

SettingsOption = typing.Annotated[
    pathlib.Path, typer.Option("--settings", help="JSON settings file of this instance.")
]


def entry(settings_file: SettingsOption) -> None:
    """Run an entry: take callers' requests until SIGTERM.

    Example: masticward entry --settings /etc/masticward/entry.json
    """
    loaded = load_settings(settings_file, settings.EntrySettings)
    run(entry_daemon.EntryDaemon, loaded)


def agent(settings_file: SettingsOption) -> None:
    """Run the agent beside one endpoint until SIGTERM.

    Example: masticward agent --settings /etc/masticward/agent.json
    """
    loaded = load_settings(settings_file, settings.AgentSettings)
    run(agent_daemon.AgentDaemon, loaded)


def load_settings(path: pathlib.Path, kind: type[settings.SettingsT]) -> settings.SettingsT:
    """Return checked settings or end the program with every problem on standard error."""
    try:
        return settings.load(path, kind)
    except errors.SettingsError as error:
        for problem in error.problems:
            typer.echo(problem, err=True)
        raise typer.Exit(exit_codes.INVALID_FILES) from error


def run(kind: type[common.Node], loaded: settings.EntrySettings | settings.AgentSettings) -> None:
    """Run one program until it is stopped."""
    logs.configure(process=loaded.instance_id)

    async def main() -> int:
        return await common.run_until_signal(kind(loaded))

    raise typer.Exit(programs.run(main()))


def register(app: typer.Typer) -> None:
    """Add the commands to the program."""
    app.command()(entry)
    app.command()(agent)
