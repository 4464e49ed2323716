"""``masticward config``: the published configuration, its differences and its history."""

import pathlib

import msgspec
import typer

from masticward.cli import audit, base, check
from masticward.models import configuration as configuration_models
from masticward.publishing import differences, publisher
from masticward.transport import object_api


async def read_configuration(
    store: object_api.ObjectStore, deadline: float
) -> configuration_models.Configuration | None:
    """Return the published configuration, None if there is none. Raises PublishingError."""
    read = await publisher.read_published(store, deadline)
    return base.value_or_raise(read).configuration


class ShowCommand(base.PlatformCommand):
    """Shows the published configuration."""

    async def work(self, deadline: float) -> base.Report:
        """Read manifest and shards."""
        self.stage = "reading the configuration"
        found = await read_configuration(self.store, deadline)
        if found is None:
            return base.Report(lines=["no configuration is published"], data={"version": 0})
        return base.Report(lines=configuration_lines(found), data=msgspec.to_builtins(found))


def configuration_lines(found: configuration_models.Configuration) -> list[str]:
    """Return a configuration as text, one line for each zone list, service, operation and team."""
    lines = [
        f"version {found.version}",
        f"availability zones: {', '.join(found.availability_zones)}",
    ]
    for service in found.services:
        lines.append(
            f"service {service.name} ({service.kind}): {service.endpoints} endpoints, limits"
            f" {service.cold_limit} cold, {service.warm_limit} warm"
        )
        lines += [
            f"  {operation.method} {operation.path} {operation.name}"
            f"{' idempotent' if operation.idempotent else ''}"
            for operation in service.operations
        ]
    lines += [f"team {team.name}: share {team.share:g}" for team in found.teams]
    return lines


class DiffCommand(base.PlatformCommand):
    """Shows what publishing some files would change."""

    def __init__(self, options: base.Options, paths: list[pathlib.Path]) -> None:
        super().__init__(options)
        self.paths = paths

    async def work(self, deadline: float) -> base.Report:
        """Compare the files with the published configuration."""
        self.stage = "comparing"
        wanted = check.collect_and_check(self.paths)
        found = await read_configuration(self.store, deadline)
        lines = differences.describe(found, wanted)
        return base.Report(
            lines=lines or ["no differences"],
            data={"version": found.version if found else 0, "differences": lines},
        )


def register(app: typer.Typer) -> None:
    """Add the commands to the program."""
    group = typer.Typer(help="Show the published configuration, its differences and history.")
    app.add_typer(group, name="config")

    @group.command("show")
    @base.takes_options(*base.READ_OPTIONS)
    def show(options: base.Options) -> None:
        """Show the published configuration.

        Example: masticward config show --json
        """
        ShowCommand(options).run()

    @group.command("diff")
    @base.takes_options(*base.READ_OPTIONS)
    def diff(options: base.Options, paths: base.PathsArgument) -> None:
        """Show what publishing the files would change.

        Example: masticward config diff services/
        """
        DiffCommand(options, paths).run()

    @group.command("history")
    @base.takes_options(*base.READ_OPTIONS)
    def history(options: base.Options, limit: audit.LimitOption = audit.DEFAULT_LIMIT) -> None:
        """List the published versions, the newest last.

        Example: masticward config history --limit 5
        """
        audit.AuditCommand(options, ("config",), limit).run()
