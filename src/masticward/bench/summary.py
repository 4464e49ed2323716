"""Counts and figures of one run, taken from its history only."""

import collections
import collections.abc
import itertools
import statistics

import msgspec

from masticward.bench import checker, fairness, plans
from masticward.bench import history as history_module
from masticward.models import work

# Agents stage slots for calls shorter than this and at most this many times their limit.
STAGING_MEAN_SECONDS = 0.25
STAGED_PER_SLOT = 4


class Counts(msgspec.Struct, frozen=True, kw_only=True):
    """What became of the calls. ``executed_twice`` counts non-idempotent calls that ran twice."""

    sent: int
    complete: int
    not_run: int
    unknown: int
    executed_twice: int
    cut: int


def count(history: history_module.History) -> Counts:
    """Return the counts of a history."""
    outcomes = collections.Counter(call.outcome for call in history.calls)
    runs = history_module.runs_by_digest(history)
    return Counts(
        sent=len(history.calls),
        complete=outcomes[work.Outcome.COMPLETE],
        not_run=outcomes[work.Outcome.NOT_RUN],
        unknown=outcomes[work.Outcome.UNKNOWN],
        executed_twice=sum(1 for _ in checker.check_at_most_once(history, runs)),
        cut=sum(1 for call in history.calls if call.cut),
    )


def runs_of(history: history_module.History, service: str) -> list[history_module.EndpointRecord]:
    """Return the runs of one service at all endpoints."""
    return [run for run in history.runs if run.service == service]


def fairness_bound(
    history: history_module.History, plan: plans.FleetPlan, service: str, overlap_cost: float = 0.0
) -> float:
    """Return the gap bound of section 6.1 with the largest request that was served."""
    runs = [run for run in runs_of(history, service) if run.finished_at]
    if not runs:
        return 0.0
    durations = [run.finished_at - run.started_at for run in runs]
    capacity = plan.capacity(service)
    staged = 0 if statistics.fmean(durations) > STAGING_MEAN_SECONDS else STAGED_PER_SLOT * capacity
    callers = {call.team for call in history.calls if call.service == service}
    shares = plan.shares()
    return fairness.gap_bound(
        capacity,
        staged,
        max(run.cost for run in runs),
        min(shares[team] for team in callers),
        overlap_cost,
    )


def service_by_team(
    history: history_module.History,
    service: str,
    shares: collections.abc.Mapping[str, float],
    window: fairness.Interval,
) -> dict[str, float]:
    """Return the service of each team within a window, divided by its share."""
    curves = fairness.service_curves(history, service, shares)
    return {team: curve.at(window.end) - curve.at(window.start) for team, curve in curves.items()}


def longest_pause(
    history: history_module.History, service: str, window: fairness.Interval
) -> float:
    """Return the longest time in seconds between two starts of a service within a window."""
    runs = runs_of(history, service)
    moments = sorted(run.started_at for run in runs if window.contains(run.started_at))
    edges = [window.start, *moments, window.end]
    return max(after - before for before, after in itertools.pairwise(edges))


def completed_cost_rate(
    history: history_module.History, service: str, window: fairness.Interval
) -> float:
    """Return the cost units per second of runs that ended within a window."""
    runs = runs_of(history, service)
    done = sum(run.cost for run in runs if window.contains(run.finished_at))
    return done / (window.end - window.start)
