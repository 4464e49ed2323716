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

commands = typer.Typer(no_args_is_help=True, help="Measure a fleet in this process.")

ENTRIES = 3
PICTURED = ("fairness", "zone-move")

Deployment = typing.Annotated[str, typer.Option(help="Deployment to run: mauritius or bavaria.")]
Seconds = typing.Annotated[
    float, typer.Option(min=4.0, max=60.0, help="Measured seconds of each run.")
]
Seed = typing.Annotated[int, typer.Option(help="Seed of the random choices of the load.")]
Backlogged = typing.Annotated[
    bool, typer.Option(help="Run with a backlog too, or at partial load only.")
]
Output = typing.Annotated[pathlib.Path, typer.Option(help="Directory for JSON and pictures.")]


@commands.command("fairness")
def fairness(
    deployment: Deployment = "mauritius",
    seconds: Seconds = 10.0,
    seed: Seed = 1,
    output: Output = pathlib.Path("out"),
) -> None:
    """Compare the fairness gap of the three policies with one flooding team."""
    measure("fairness", deployment, seconds, seed, output)


@commands.command("utilization")
def utilization(
    deployment: Deployment = "mauritius",
    seconds: Seconds = 8.0,
    seed: Seed = 1,
    output: Output = pathlib.Path("out"),
) -> None:
    """Measure busy slots while work waits, for streams and for short calls."""
    measure("utilization", deployment, seconds, seed, output)


@commands.command("zone-move")
def zone_move(
    deployment: Deployment = "mauritius",
    seconds: Seconds = 16.0,
    seed: Seed = 1,
    output: Output = pathlib.Path("out"),
    backlogged: Backlogged = True,
) -> None:
    """Take an availability zone out and bring it back.

    Runs each policy with a backlog, then the product at partial load: 60% of the slots that stay,
    compared with steady load at the same load per live slot (about 2 minutes, whatever --seconds).
    """
    measure("zone-move", deployment, seconds, seed, output, backlogged)


@commands.command("control")
def control(
    deployment: Deployment = "mauritius",
    seconds: Seconds = 8.0,
    seed: Seed = 1,
    output: Output = pathlib.Path("out"),
) -> None:
    """Measure control traffic of an idle and of a loaded fleet."""
    measure("control", deployment, seconds, seed, output)


@commands.command("recovery")
def recovery(
    deployment: Deployment = "mauritius",
    seconds: Seconds = 10.0,
    seed: Seed = 1,
    output: Output = pathlib.Path("out"),
) -> None:
    """Measure the pause of a service when its dispatcher stops."""
    measure("recovery", deployment, seconds, seed, output)


@commands.command("overload")
def overload(
    deployment: Deployment = "mauritius",
    seconds: Seconds = 30.0,
    seed: Seed = 1,
    output: Output = pathlib.Path("out"),
) -> None:
    """Keep five times the capacity under way and measure memory and throughput."""
    measure("overload", deployment, seconds, seed, output)


def measure(
    name: str,
    deployment: str,
    seconds: float,
    seed: int,
    output: pathlib.Path,
    backlogged: bool = True,
) -> None:
    """Run one measurement, print it, write it to ``output`` and exit."""
    plan = deployment_files.load(deployment, ENTRIES)
    options = reports.Options(plan=plan, seed=seed, seconds=seconds, backlogged=backlogged)
    raise typer.Exit(programs.run(run(name, deployment, options, output)))


async def run(name: str, deployment: str, options: reports.Options, output: pathlib.Path) -> int:
    """Run one measurement and return the exit code."""
    logs.configure(level=logging.ERROR)
    report = await reports.MEASUREMENTS[name](options)
    output.mkdir(parents=True, exist_ok=True)
    document = {
        "name": report.name,
        "deployment": deployment,
        "seed": options.seed,
        "seconds": options.seconds,
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
    app.add_typer(commands, name="bench")
