"""The ``masticward`` command."""

import typer

from masticward.cli import (
    audit,
    bench,
    check,
    config,
    demo,
    explain,
    explain_placement,
    publish,
    service_state,
    settings,
    status,
)
from masticward.cli import programs as program_commands
from masticward.utils import programs

COMMAND_MODULES = (
    program_commands,
    check,
    publish,
    service_state,
    status,
    explain,
    explain_placement,
    audit,
    config,
    settings,
    demo,
    bench,
)

app = typer.Typer(
    name="masticward",
    help="A router fleet through which teams share the capacity of endpoints fairly.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


@app.callback()
def prepare() -> None:
    """Prepare the process before any event loop exists."""
    programs.disable_io_uring()


for module in COMMAND_MODULES:
    module.register(app)


def main() -> None:
    """Run the command line."""
    app()
