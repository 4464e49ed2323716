"""``masticward publish``: makes the collected files the configuration of the fleet."""

import pathlib

import typer

from masticward.cli import base, change_report, check
from masticward.publishing import publisher


class PublishCommand(base.PlatformCommand):
    """Publishes the files below some paths."""

    def __init__(self, options: base.Options, paths: list[pathlib.Path], wait: bool) -> None:
        super().__init__(options)
        self.paths = paths
        self.wait = wait

    async def work(self, deadline: float) -> base.Report:
        """Check, publish and, if asked for, wait."""
        self.stage = "checking files"
        wanted = check.collect_and_check(self.paths)
        self.stage = "publishing"
        outcome = await publisher.Publisher(self.store, self.operator).publish(wanted, deadline)
        accepted = base.value_or_raise(outcome)
        return await change_report.report_change(
            self,
            accepted,
            "configuration",
            self.wait,
            (accepted.version, 0),
            deadline,
        )


def register(app: typer.Typer) -> None:
    """Add the command to the program."""

    @app.command("publish")
    @base.takes_options(*base.CHANGE_OPTIONS)
    def publish(
        options: base.Options, paths: base.PathsArgument, wait: base.WaitOption = False
    ) -> None:
        """Publish all masticward.json files below the paths as one configuration.

        Exit codes: 3 problems in the files, 4 somebody else published meanwhile, 5 object API
        unavailable and nothing published, 6 outcome unknown or not yet in force everywhere.

        Example: masticward publish services/ --wait --object-api http://10.0.0.5:7100
        """
        PublishCommand(options, paths, wait).run()
