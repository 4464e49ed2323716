"""``masticward demo``: a whole fleet in one process under load, with its figures."""

import asyncio
import logging
import time
import typing

import msgspec
import typer

from masticward import logs
from masticward.bench import deployment_files, experiment, fairness, fleet, mixes, summary
from masticward.cli import exit_codes
from masticward.utils import programs

SEED = 20_240
ENTRIES = 2
OUTSTANDING_TEXT_CALLS = 3
OUTSTANDING_BOOKINGS = 1
FLOODING_TEAM = 3
MEASURED_SECONDS = 18.0
ZONE_OUT_AFTER_SECONDS = 8.0
ZONE_OUT_SECONDS = 5.0
MAXIMUM_CALLS = 8_000
ENTRY_WEIGHTS = (3.0, 1.0)


class DemoFigures(summary.Counts, frozen=True, kw_only=True):
    """The figures of ``--json``. The gap and its bound are in cost units per unit of share."""

    fairness_gap: float
    fairness_bound: float
    utilization: float
    control_bytes_per_node_second: float


def command(
    as_json: typing.Annotated[
        bool, typer.Option("--json", help="Print one JSON object with the figures as last line.")
    ] = False,
) -> None:
    """Run the Mauritius fleet in this process for about 30 seconds and show what it did."""
    raise typer.Exit(programs.run(demonstrate(as_json)))


async def demonstrate(as_json: bool) -> int:
    """Run the demo and return the exit code."""
    logs.configure(level=logging.ERROR)
    plan = deployment_files.load("mauritius", ENTRIES)
    service = mixes.language_model(plan).name
    zone = plan.configuration.availability_zones[1]
    loads = mixes.text_loads(plan, OUTSTANDING_TEXT_CALLS, FLOODING_TEAM)
    loads += mixes.booking_loads(plan, OUTSTANDING_BOOKINGS)
    say(
        f"starting {len(plan.entries)} entries and {len(plan.endpoints)} agents; "
        f"{len(plan.configuration.teams)} teams send for "
        f"{experiment.WARM_UP_SECONDS + MEASURED_SECONDS:.0f} s"
    )
    moved: list[float] = []

    async def move_zone(local: fleet.LocalFleet) -> None:
        say("endpoints are warm; measuring")
        await asyncio.sleep(ZONE_OUT_AFTER_SECONDS)
        moved.append(time.monotonic())
        await local.platform.zone_out(zone)
        say(f"availability zone {zone} taken out of service")
        await asyncio.sleep(ZONE_OUT_SECONDS)
        await local.platform.zone_in(zone)
        say(f"availability zone {zone} brought back")

    measured = await experiment.run(
        experiment.Setup(
            plan=plan,
            loads=loads,
            seed=SEED,
            seconds=MEASURED_SECONDS,
            maximum_calls=MAXIMUM_CALLS,
            weights=ENTRY_WEIGHTS,
        ),
        move_zone,
    )
    steady = fairness.Interval(measured.window.start, moved[0])
    figures = collect(measured, service, steady)
    print_teams(measured, service, steady)
    print_figures(figures)
    for violation in measured.violations:
        say(f"VIOLATION {violation.rule} {violation.subject}: {violation.detail}")
    if as_json:
        print(msgspec.json.encode(figures).decode(), flush=True)
    return exit_codes.FAILURE if measured.violations else exit_codes.SUCCESS


def collect(measured: experiment.Measured, service: str, steady: fairness.Interval) -> DemoFigures:
    """Return the figures; gap over the whole measured time, utilization before the zone move."""
    plan = measured.plan
    gap = fairness.largest_gap(measured.history, service, plan.shares(), measured.window)
    return DemoFigures(
        **msgspec.structs.asdict(summary.count(measured.history)),
        fairness_gap=gap.value,
        fairness_bound=summary.fairness_bound(measured.history, plan, service),
        utilization=fairness.utilization(measured.history, service, plan.capacity(service), steady),
        control_bytes_per_node_second=measured.control_bytes_per_node_second,
    )


def print_teams(measured: experiment.Measured, service: str, window: fairness.Interval) -> None:
    """Print what each team sent and received."""
    shares = measured.plan.shares()
    received = summary.service_by_team(measured.history, service, shares, window)
    print(f"\n{'team':<24}{'share':>8}{'calls':>8}{'units':>10}{'units/share':>13}")
    for team, share in shares.items():
        calls = sum(1 for call in measured.history.calls if call.team == team)
        units = received[team] * share
        print(f"{team:<24}{share:>8.1f}{calls:>8}{units:>10.0f}{received[team]:>13.1f}")


def print_figures(figures: DemoFigures) -> None:
    """Print the figures for people."""
    print(
        f"\n{figures.sent} calls sent: {figures.complete} complete, {figures.not_run} refused as "
        f"not run, {figures.unknown} with unknown outcome\n"
        f"calls run twice: {figures.executed_twice}; answers cut: {figures.cut}\n"
        f"fairness gap {figures.fairness_gap:.1f} of at most {figures.fairness_bound:.1f} "
        "cost units per unit of share\n"
        f"slots busy while work waited: {figures.utilization:.1%}\n"
        f"control traffic: {figures.control_bytes_per_node_second:.0f} bytes per node and second\n",
        flush=True,
    )


def say(text: str) -> None:
    """Print one line of progress."""
    print(text, flush=True)


def register(app: typer.Typer) -> None:
    """Add the command."""
    app.command("demo")(command)
