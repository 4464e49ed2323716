"""``masticward audit``: who changed what, and when."""

import typing

import typer

from masticward.cli import base
from masticward.models import configuration as configuration_models
from masticward.models import objects
from masticward.publishing import audit, change, operations, publisher
from masticward.transport import object_api

KINDS = ("config", "ops")
DEFAULT_LIMIT = 50
LimitOption = typing.Annotated[int, typer.Option("--limit", min=1, help="Newest entries only.")]


async def read_entries(
    store: object_api.ObjectStore, kind: str, deadline: float
) -> list[configuration_models.AuditEntry]:
    """Return all entries of one kind, the oldest first. Raises MasticwardError."""
    document: audit.Document
    if kind == "config":
        document = await read_document(store, objects.MANIFEST, publisher.EMPTY_MANIFEST, deadline)
    else:
        document = await read_document(
            store, objects.OPERATIONS, operations.EMPTY_OPERATIONS, deadline
        )
    return base.value_or_raise(await audit.list_entries(store, document, deadline))


async def read_document(
    store: object_api.ObjectStore, name: str, empty: change.DocumentT, deadline: float
) -> change.DocumentT:
    """Return an audited document. Raises PublishingError."""
    read = await change.read_current(store, name, empty, deadline)
    return base.value_or_raise(read).document


def describe_entry(kind: str, entry: configuration_models.AuditEntry) -> str:
    """Return one entry as a line."""
    return (
        f"{entry.time} {kind} {entry.from_version} -> {entry.to_version} {entry.operator}:"
        f" {entry.action}: {'; '.join(entry.changes)}"
    )


class AuditCommand(base.PlatformCommand):
    """Lists the audit entries of some kinds."""

    def __init__(self, options: base.Options, kinds: tuple[str, ...], limit: int) -> None:
        super().__init__(options)
        self.kinds = kinds
        self.limit = limit

    async def work(self, deadline: float) -> base.Report:
        """Read recent and rolled entries."""
        self.stage = "reading the audit trail"
        found = [
            (entry, kind)
            for kind in self.kinds
            for entry in await read_entries(self.store, kind, deadline)
        ]
        found.sort(key=lambda item: item[0].time)
        shown = found[-self.limit :]
        return base.Report(
            lines=[describe_entry(kind, entry) for entry, kind in shown] or ["no entries"],
            data={"entries": [{"kind": kind, "entry": entry} for entry, kind in shown]},
        )


def register(app: typer.Typer) -> None:
    """Add the command to the program."""

    @app.command("audit")
    @base.takes_options(*base.READ_OPTIONS)
    def show_audit(
        options: base.Options,
        kind: typing.Annotated[str, typer.Option(help="config, ops or all.")] = "all",
        limit: LimitOption = DEFAULT_LIMIT,
    ) -> None:
        """List who changed the configuration and the operations state, the newest last.

        Example: masticward audit --kind ops --limit 10
        """
        if kind not in (*KINDS, "all"):
            raise typer.BadParameter(f"{kind!r} is not one of config, ops, all")
        AuditCommand(options, KINDS if kind == "all" else (kind,), limit).run()
