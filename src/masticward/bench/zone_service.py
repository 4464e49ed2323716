"""Service while an availability zone leaves and returns, at a load that the other zones can bear.

Each phase of the move is compared with a run of all zones at the same load per live slot.
"""

import asyncio
import collections.abc

import msgspec

from masticward.bench import experiment, fairness, fleet, load, mixes, plans, platform
from masticward.bench import history as history_module
from masticward.models import work

# Part of the slots that are busy on average while the zone is out.
LOAD_OF_LIVE_SLOTS = 0.6
ROUNDS = 3
PHASE_SECONDS = 6.0
# The leaving and the return proper: the bound of the design for a change to be in force.
TRANSITION_SECONDS = 3.0
TOKEN_MS = 50.0
MAXIMUM_CALLS = 20_000
PERCENTILES = (50.0, 95.0, 99.0)
MILLISECONDS = 1000.0


class Moves:
    """Takes a zone out and brings it back several times and notes the phases."""

    __slots__ = ("phases", "zone")

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.phases: dict[str, list[fairness.Interval]] = {}

    async def run(self, local: fleet.LocalFleet) -> None:
        """Move the zone out and in; each phase begins with the acceptance of its change."""
        await asyncio.sleep(PHASE_SECONDS)
        out_at = await local.platform.zone_out(self.zone)
        self.note("before", out_at - PHASE_SECONDS, out_at)
        for number in range(ROUNDS):
            await asyncio.sleep(PHASE_SECONDS)
            in_at = await local.platform.zone_in(self.zone)
            self.note("out", out_at, in_at)
            self.note("leaving", out_at, out_at + TRANSITION_SECONDS)
            await asyncio.sleep(PHASE_SECONDS)
            out_at = in_at + PHASE_SECONDS
            if number < ROUNDS - 1:
                out_at = await local.platform.zone_out(self.zone)
            self.note("after", in_at, out_at)
            self.note("returning", in_at, in_at + TRANSITION_SECONDS)

    def note(self, phase: str, start: float, end: float) -> None:
        """Add an interval to a phase."""
        self.phases.setdefault(phase, []).append(fairness.Interval(start, end))


class Outcome(msgspec.Struct, kw_only=True):
    """The runs by label and the figures of the move."""

    runs: dict[str, experiment.Measured]
    figures: dict[str, float | int]


async def measure(plan: plans.FleetPlan, seed: int, steady_seconds: float) -> Outcome:
    """Run the moves, then the steady references for ``steady_seconds`` each.

    Raises FleetNotReadyError.
    """
    service = mixes.language_model(plan).name
    moves = Moves(plan.configuration.availability_zones[1])
    slots = plan.capacity(service)
    live = live_slots(plan, service, moves.zone)
    with_zone = LOAD_OF_LIVE_SLOTS * live / slots
    rate = calls_per_second(LOAD_OF_LIVE_SLOTS * live)
    move_seconds = PHASE_SECONDS * (1 + 2 * ROUNDS)
    runs = {"zone moves": await run(plan, rate, seed, move_seconds, moves)}
    steady_rates = {
        with_zone: rate,
        LOAD_OF_LIVE_SLOTS: calls_per_second(LOAD_OF_LIVE_SLOTS * slots),
    }
    references = {}
    for part, steady_rate in steady_rates.items():
        measured = await run(plan, steady_rate, seed, steady_seconds)
        runs[f"steady at {part:.0%} of the slots"] = measured
        references[part] = first_token_figures(measured.history, service, [measured.window])
    moved = runs["zone moves"].history
    figures: dict[str, float | int] = {
        f"first_p{percentile:.0f}_ms_steady_at_{part:.0%}": reference[percentile]
        for part, reference in references.items()
        for percentile in PERCENTILES
    }
    for phase, intervals in moves.phases.items():
        part = LOAD_OF_LIVE_SLOTS if phase in ("out", "leaving") else with_zone
        found = first_token_figures(moved, service, intervals)
        for percentile, value in found.items():
            figures[f"first_p{percentile:.0f}_ms_{phase}"] = value
        worst = PERCENTILES[-1]
        steady = references[part][worst]
        figures[f"p{worst:.0f}_ratio_{phase}"] = found[worst] / steady if steady else 0.0
        figures[f"calls_{phase}"] = len(calls_within(moved, service, intervals))
        figures[f"not_complete_{phase}"] = sum(
            1
            for call in calls_within(moved, service, intervals)
            if call.outcome is not work.Outcome.COMPLETE
        )
    return Outcome(runs=runs, figures=figures)


async def run(
    plan: plans.FleetPlan, rate: float, seed: int, seconds: float, moves: Moves | None = None
) -> experiment.Measured:
    """Run the open load at ``rate`` calls per second, with or without the moves."""
    return await experiment.run(
        experiment.Setup(
            plan=plan,
            loads=mixes.open_text_loads(plan, rate),
            seed=seed,
            seconds=seconds,
            maximum_calls=MAXIMUM_CALLS,
            token_ms=TOKEN_MS,
        ),
        moves.run if moves is not None else None,
    )


def live_slots(plan: plans.FleetPlan, service: str, zone: str) -> int:
    """Return how many slots a service has outside a zone."""
    staying = sum(
        1
        for endpoint in plan.endpoints
        if endpoint.service == service and endpoint.availability_zone != zone
    )
    return staying * plan.service(service).warm_limit


def calls_per_second(busy_slots: float) -> float:
    """Return the rate of the open load that keeps a number of slots busy on average."""
    least, most = mixes.OPEN_TOKENS[1]
    call_ms = platform.FIRST_TOKEN_MS + ((least + most) / 2 - 1) * TOKEN_MS
    return busy_slots * MILLISECONDS / call_ms


def calls_within(
    history: history_module.History,
    service: str,
    intervals: collections.abc.Sequence[fairness.Interval],
) -> list[history_module.CallRecord]:
    """Return the calls of a service that were sent within one of the intervals."""
    return [
        call
        for call in history.calls
        if call.service == service
        and any(interval.start <= call.sent_at < interval.end for interval in intervals)
    ]


def first_token_figures(
    history: history_module.History,
    service: str,
    intervals: collections.abc.Sequence[fairness.Interval],
) -> dict[float, float]:
    """Return percentiles of the time to the first token in milliseconds, 0.0 without calls."""
    histogram = load.new_histogram()
    for call in calls_within(history, service, intervals):
        if call.outcome is work.Outcome.COMPLETE and call.first_byte_at:
            load.note(histogram, call.first_byte_at - call.sent_at)
    return {
        percentile: histogram.get_value_at_percentile(percentile) / MILLISECONDS
        for percentile in PERCENTILES
    }
