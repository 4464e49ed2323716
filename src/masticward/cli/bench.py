"""``masticward bench``: measurements of the product and of two baseline policies."""

import logging
import pathlib
import typing

import msgspec
import typer

from masticward import logs
from masticward.bench import deployment_files, pictures, reports
from masticward.cli import exit_codes
from masticward.utils import programs

ENTRIES = 3
PICTURED = ("fairness", "zone-move")
# Each measurement with its default of --seconds and its help text.
MEASUREMENTS = {
    "fairness": (10.0, "Compare the fairness gap of the three policies with one flooding team."),
    "utilization": (8.0, "Measure busy slots while work waits, for streams and for short calls."),
    "zone-move": (16.0, "Take an availability zone out under load and bring it back."),
    "zone-service": (24.0, "Compare the first token during zone moves with steady partial load."),
    "control": (8.0, "Measure control traffic of an idle and of a loaded fleet."),
    "recovery": (10.0, "Measure the pause of a service when its dispatcher stops."),
    "overload": (30.0, "Keep five times the capacity under way and measure memory and throughput."),
    "changes": (10.0, "Publish a configuration twice a second under load; count refused attempts."),
}

Deployment = typing.Annotated[str, typer.Option(help="Deployment to run: mauritius or bavaria.")]
Seconds = typing.Annotated[
    float, typer.Option(min=4.0, max=60.0, help="Measured seconds of each run.")
]
Seed = typing.Annotated[int, typer.Option(help="Seed of the random choices of the load.")]
Output = typing.Annotated[pathlib.Path, typer.Option(help="Directory for JSON and pictures.")]


def measure(name: str, deployment: str, seconds: float, seed: int, output: pathlib.Path) -> None:
    """Run one measurement, print it, write it to ``output`` and exit."""
    if deployment not in deployment_files.NAMES:
        known = ", ".join(deployment_files.NAMES)
        raise typer.BadParameter(f"deployment {deployment!r} is not one of {known}")
    raise typer.Exit(programs.run(run(name, deployment, seconds, seed, output)))


async def run(name: str, deployment: str, seconds: float, seed: int, output: pathlib.Path) -> int:
    """Run one measurement and return the exit code."""
    logs.configure(level=logging.ERROR)
    plan = deployment_files.load(deployment, ENTRIES)
    report = await reports.MEASUREMENTS[name](
        reports.Options(plan=plan, seed=seed, seconds=seconds)
    )
    output.mkdir(parents=True, exist_ok=True)
    document = {
        "name": report.name,
        "deployment": deployment,
        "seed": seed,
        "seconds": seconds,
        "figures": report.figures,
        "violations": report.violations,
    }
    path = output / f"{name}-{deployment}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document), indent=2))
    if name in PICTURED:
        pictures.draw_service(report.runs, report.service, path.with_suffix(".png"), report.marks)
    print_report(report)
    print(f"written to {path}")
    return exit_codes.FAILURE if report.violations else exit_codes.SUCCESS


def print_report(report: reports.Report) -> None:
    """Print the figures of each run, with the ratio to the first run."""
    labels = list(report.figures)
    reference = report.figures[labels[0]]
    for label in labels:
        print(f"\n{report.name}: {label}")
        for key, value in report.figures[label].items():
            base = reference.get(key)
            note = ""
            if label != labels[0] and isinstance(value, float) and isinstance(base, float):
                note = f"   ({reports.ratio(value, base):.2f} x {labels[0]})"
            shown = f"{value:.3f}" if isinstance(value, float) else str(value)
            print(f"  {key:<40} {shown}{note}")
    for violation in report.violations:
        print(f"VIOLATION {violation}")


def register(app: typer.Typer) -> None:
    """Add the commands."""
    group = typer.Typer(no_args_is_help=True, help="Measure a fleet in this process.")
    app.add_typer(group, name="bench")
    for name, (default_seconds, description) in MEASUREMENTS.items():
        add_command(group, name, default_seconds, description)


def add_command(group: typer.Typer, name: str, default_seconds: float, description: str) -> None:
    """Add the command of one measurement."""

    @group.command(name, help=description)
    def run_measurement(
        deployment: Deployment = "mauritius",
        seconds: Seconds = default_seconds,
        seed: Seed = 1,
        output: Output = pathlib.Path("out"),
    ) -> None:
        measure(name, deployment, seconds, seed, output)
