"""``masticward check``: checks configuration files without publishing them."""

import pathlib

import typer

from masticward.cli import base
from masticward.models import configuration as configuration_models
from masticward.publishing import check, collect


def collect_and_check(paths: list[pathlib.Path]) -> configuration_models.Configuration:
    """Return the configuration of the files. Raises ConfigurationError with every problem."""
    return base.value_or_raise(check.check(collect.collect(paths)))


class CheckCommand(base.Command):
    """Checks the files below some paths."""

    def __init__(self, options: base.Options, paths: list[pathlib.Path]) -> None:
        super().__init__(options)
        self.paths = paths

    async def execute(self, deadline: float) -> base.Report:
        """Collect and check the files."""
        self.stage = "checking files"
        found = collect_and_check(self.paths)
        counts = {
            "availability_zones": len(found.availability_zones),
            "services": len(found.services),
            "teams": len(found.teams),
        }
        shown = ", ".join(f"{count} {name.replace('_', ' ')}" for name, count in counts.items())
        return base.Report(lines=[f"no problems: {shown}"], data={"problems": [], **counts})


def register(app: typer.Typer) -> None:
    """Add the command to the program."""

    @app.command("check")
    @base.takes_options(*base.OUTPUT_OPTIONS)
    def check_files(options: base.Options, paths: base.PathsArgument) -> None:
        """Check configuration files and report every problem at once.

        Example: masticward check services/
        """
        CheckCommand(options, paths).run()
