"""Service for each team over time, the gap between backlogged teams, and utilization.

Service is in cost units and times are monotonic seconds. The cost of a run is spread evenly over
its duration. A team is backlogged while at least one of its calls was sent and has not started.
"""

import bisect
import collections.abc
import itertools
import time

import msgspec

from masticward.bench import history as history_module


class Interval(msgspec.Struct, frozen=True):
    """A period from ``start`` to ``end``, both in monotonic seconds."""

    start: float
    end: float

    def contains(self, moment: float) -> bool:
        """Tell whether a moment lies in the period, its ends included."""
        return self.start <= moment <= self.end


class Gap(msgspec.Struct, frozen=True, kw_only=True):
    """The largest gap of normalized service and where it was seen."""

    value: float = 0.0
    teams: tuple[str, str] = ("", "")
    interval: Interval = Interval(0.0, 0.0)


class Curve:
    """A piecewise linear function of time that never falls."""

    __slots__ = ("times", "values")

    def __init__(self, times: list[float], values: list[float]) -> None:
        self.times = times
        self.values = values

    def at(self, moment: float) -> float:
        """Return the value at a time; constant before the first and after the last point."""
        if not self.times or moment <= self.times[0]:
            return 0.0
        if moment >= self.times[-1]:
            return self.values[-1]
        index = bisect.bisect_right(self.times, moment)
        start, end = self.times[index - 1], self.times[index]
        below, above = self.values[index - 1], self.values[index]
        return below + (above - below) * (moment - start) / (end - start)


def service_curves(
    history: history_module.History, service: str, shares: collections.abc.Mapping[str, float]
) -> dict[str, Curve]:
    """Return for each team the service received so far, divided by the team's share."""
    runs: dict[str, list[history_module.EndpointRecord]] = {team: [] for team in shares}
    teams = {call.request_digest: call.team for call in history.calls}
    for run in history.runs:
        team = teams.get(run.request_digest, run.team)
        if run.service == service and team in runs:
            runs[team].append(run)
    return {team: team_curve(runs[team], share) for team, share in shares.items()}


def team_curve(
    runs: collections.abc.Iterable[history_module.EndpointRecord], share: float
) -> Curve:
    """Return one team's normalized service over time."""
    minimum_duration = 1e-6
    changes: list[tuple[float, float]] = []
    for run in runs:
        if run.finished_at <= 0.0 or run.cost <= 0.0:
            continue
        duration = max(run.finished_at - run.started_at, minimum_duration)
        rate = run.cost / share / duration
        changes.append((run.started_at, rate))
        changes.append((run.started_at + duration, -rate))
    changes.sort()
    times: list[float] = []
    values: list[float] = []
    total = rate = 0.0
    for moment, change in changes:
        if times:
            total += max(0.0, rate) * (moment - times[-1])
        if times and times[-1] == moment:
            values[-1] = total
        else:
            times.append(moment)
            values.append(total)
        rate += change
    return Curve(times, values)


def waiting_intervals(history: history_module.History, service: str) -> dict[str, list[Interval]]:
    """Return for each team the periods in which its calls waited, one for each call."""
    started: dict[int, float] = {}
    for run in history.runs:
        known = started.get(run.request_digest, run.started_at)
        started[run.request_digest] = min(known, run.started_at)
    now = time.monotonic()
    waits: dict[str, list[Interval]] = {}
    for call in history.calls:
        if call.service != service:
            continue
        end = started.get(call.request_digest, call.ended_at or now)
        if end > call.sent_at:
            waits.setdefault(call.team, []).append(Interval(call.sent_at, end))
    return waits


def intervals_at_least(
    intervals: collections.abc.Iterable[Interval], minimum: int
) -> list[Interval]:
    """Return the maximal periods covered by at least ``minimum`` of the given intervals."""
    edges = sorted(
        itertools.chain.from_iterable(((item.start, 1), (item.end, -1)) for item in intervals),
        # At the same time starts come first, so that touching intervals are joined.
        key=lambda edge: (edge[0], -edge[1]),
    )
    covered: list[Interval] = []
    count, start = 0, 0.0
    for moment, change in edges:
        before, count = count, count + change
        if before < minimum <= count:
            start = moment
        elif count < minimum <= before and moment > start:
            covered.append(Interval(start, moment))
    return covered


def overlap(left: list[Interval], right: list[Interval]) -> list[Interval]:
    """Return the periods covered by both sorted lists of disjoint intervals."""
    common: list[Interval] = []
    i = j = 0
    while i < len(left) and j < len(right):
        start = max(left[i].start, right[j].start)
        end = min(left[i].end, right[j].end)
        if start < end:
            common.append(Interval(start, end))
        if left[i].end < right[j].end:
            i += 1
        else:
            j += 1
    return common


def largest_gap(
    history: history_module.History,
    service: str,
    shares: collections.abc.Mapping[str, float],
    window: Interval,
    minimum_waiting: int = 1,
) -> Gap:
    """Return the largest gap between any two teams backlogged over the same interval.

    The gap of an interval is the largest change of the difference of two normalized services
    between any two times within it and within ``window``. ``minimum_waiting`` is the number of
    waiting calls from which a team counts as backlogged.
    """
    curves = service_curves(history, service, shares)
    backlogged = {
        team: overlap(intervals_at_least(waits, minimum_waiting), [window])
        for team, waits in waiting_intervals(history, service).items()
        if team in curves
    }
    worst = Gap()
    for first, second in itertools.combinations(sorted(backlogged), 2):
        for interval in overlap(backlogged[first], backlogged[second]):
            value = gap_within(curves[first], curves[second], interval)
            if value > worst.value:
                worst = Gap(value=value, teams=(first, second), interval=interval)
    return worst


def gap_within(first: Curve, second: Curve, interval: Interval) -> float:
    """Return the range of the difference of two curves over an interval.

    The difference is piecewise linear, so its extremes lie at breakpoints or at the ends.
    """
    moments = [interval.start, interval.end]
    for curve in (first, second):
        low = bisect.bisect_left(curve.times, interval.start)
        high = bisect.bisect_right(curve.times, interval.end)
        moments.extend(curve.times[low:high])
    differences = [first.at(moment) - second.at(moment) for moment in moments]
    return max(differences) - min(differences)


def gap_bound(
    concurrency: int, staged: int, largest_cost: float, smallest_share: float, overlap_cost: float
) -> float:
    """Return the bound of section 6.1 of the design in cost units for each unit of share.

    ``overlap_cost`` is what a second dispatcher may add, 0.0 if there was only one.
    """
    return (2 * (concurrency + staged) * largest_cost + overlap_cost) / smallest_share


def utilization(
    history: history_module.History, service: str, capacity: int, window: Interval
) -> float:
    """Return busy slot time divided by slot time, over the time in ``window`` while work waits.

    ``capacity`` is the number of calls that all endpoints of the service run at once. Returns
    0.0 if no work waited.
    """
    waits = itertools.chain.from_iterable(waiting_intervals(history, service).values())
    waiting = overlap(intervals_at_least(waits, 1), [window])
    waited = sum(item.end - item.start for item in waiting)
    if waited <= 0.0:
        return 0.0
    busy = 0.0
    for run in history.runs:
        if run.service == service:
            end = run.finished_at or window.end
            busy += sum(
                item.end - item.start for item in overlap([Interval(run.started_at, end)], waiting)
            )
    return busy / (capacity * waited)
