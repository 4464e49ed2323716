"""``masticward zone`` and ``masticward instance``: out of service and back."""

import typing

import msgspec
import typer

from masticward import settings as settings_module
from masticward.cli import base, change_report
from masticward.publishing import delivery, operations

TargetArgument = typing.Annotated[str, typer.Argument(help="Name of the zone or id.")]


class MoveCommand(base.PlatformCommand):
    """Takes a zone or instance out of service or brings it back; ``kind`` is zone or instance."""

    def __init__(
        self,
        options: base.Options,
        kind: str,
        target: str,
        *,
        out: bool,
        force: bool,
        wait: bool,
    ) -> None:
        super().__init__(options)
        self.kind = kind
        self.target = target
        self.out = out
        self.force = force
        self.wait = wait

    async def work(self, deadline: float) -> base.Report:
        """Change the operations state and, if asked for, wait."""
        what = f"{self.kind} {self.target} {'out' if self.out else 'in'}"
        self.stage = f"changing {what}"
        changes = operations.OperationsChange(self.store, self.instance_list, self.operator)
        outcome = await changes.move(self.target, self.kind, self.out, self.force, deadline)
        accepted = base.value_or_raise(outcome)
        self.stage = f"delivering version {accepted.version}"
        delivered = await delivery.deliver(
            accepted, self.peer_security(), self.instance_list, deadline
        )
        report = await change_report.report_change(
            self, accepted, what, self.wait, (0, accepted.version), deadline
        )
        report.lines += delivered.lines()
        report.data["delivery"] = msgspec.to_builtins(delivered)
        return report

    def peer_security(self) -> settings_module.PeerSecurity | None:
        """Return the authentication between the programs, None without a settings file."""
        if self.options.settings is None:
            return None
        return base.load_any(self.options.settings).peer_security


def register(app: typer.Typer) -> None:
    """Add the commands to the program."""
    for kind in ("zone", "instance"):
        app.add_typer(create_group(kind), name=kind)


def create_group(kind: str) -> typer.Typer:
    """Return the command group of zones or instances."""
    thing = "an availability zone" if kind == "zone" else "an instance"
    example = "port-louis" if kind == "zone" else "agent-7"
    group = typer.Typer(help=f"Take {thing} out of service or bring it back.")
    common_help = (
        "\n\nA change is conditional: whoever loses a race is told who changed what (exit code 4)."
    )

    @group.command(
        "out",
        help=f"Take {thing} out of service: it gets no new work within 3 s, running work ends."
        f"{common_help}\n\nExample: masticward {kind} out {example} --wait",
    )
    @base.takes_options(*base.CHANGE_OPTIONS)
    def take_out(
        options: base.Options,
        target: TargetArgument,
        force: base.ForceOption = False,
        wait: base.WaitOption = False,
    ) -> None:
        MoveCommand(options, kind, target, out=True, force=force, wait=wait).run()

    @group.command(
        "in",
        help=f"Bring {thing} back into service.{common_help}\n\n"
        f"Example: masticward {kind} in {example}",
    )
    @base.takes_options(*base.CHANGE_OPTIONS)
    def bring_in(
        options: base.Options, target: TargetArgument, wait: base.WaitOption = False
    ) -> None:
        MoveCommand(options, kind, target, out=False, force=False, wait=wait).run()

    return group
