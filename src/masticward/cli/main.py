"""The ``masticward`` command."""

import typer

from masticward.utils import programs

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


def main() -> None:
    """Run the command line."""
    app()
