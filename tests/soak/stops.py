"""Describes the requests of one seed that were cut, and counts those lost around stops."""

import json
import pathlib

from tests.soak import callers, promises, world

SUMMARY = "stops {}: {} lost, {} cut otherwise, {} excused"


class CutReport:
    """Counts by verdict, and one line for each cut request."""

    def __init__(self) -> None:
        self.stops = 0
        self.lost = 0
        self.cut_otherwise = 0
        self.excused = 0
        self.lines: list[str] = []

    @property
    def summary(self) -> str:
        """The counts in one line."""
        return SUMMARY.format(self.stops, self.lost, self.cut_otherwise, self.excused)

    def add(self, fleet: world.World, checks: promises.Promises) -> None:
        """Add what was played."""
        self.stops += sum(len(gateway.stops) for gateway in fleet.gateways)
        for call in checks.calls:
            if call.outcome is callers.Outcome.CUT:
                self.add_cut(fleet.directory, checks, call)

    def add_cut(
        self, directory: pathlib.Path, checks: promises.Promises, call: callers.Call
    ) -> None:
        """Add one cut request."""
        over_seconds = world.GRACE_SECONDS + promises.AFTER_GRACE_SECONDS
        stop_at = max((at for at in call.gateway.stops if at <= call.ended_at), default=None)
        if stop_at is not None and call.ended_at > stop_at + over_seconds:
            stop_at = None
        excuse = checks.excuse(call, stop_at)
        if excuse:
            self.excused += 1
            verdict = f"excused ({excuse})"
        elif stop_at is None:
            self.cut_otherwise += 1
            verdict = "CUT otherwise"
        else:
            self.lost += 1
            verdict = "LOST"
        if excuse != promises.LIMIT_REACHED:
            self.lines.append(f"{verdict}: {describe(directory, checks, call, stop_at)}")


def describe(
    directory: pathlib.Path,
    checks: promises.Promises,
    call: callers.Call,
    stop_at: float | None,
) -> str:
    """Return a line on a cut request; moments are seconds after SIGTERM, else after its sending."""
    origin = call.sent_whole_at if stop_at is None else stop_at
    sent = f"sent {call.sent_whole_at - origin:.2f} s after SIGTERM" if stop_at else "no stop"
    runs = ", ".join(
        f"{run.endpoint.id} {run.at - origin:.2f} to {run.ended_at - origin:.2f}"
        for run in checks.runs.get(call.request_id, [])
    )
    return (
        f"{call.request_id} {call.route} at {call.gateway.name}, {sent}, ended "
        f"{call.ended_at - origin:.2f} s, status {call.status}, {len(call.body)} bytes, "
        f"runs [{runs}]: {call.detail}; named by "
        f"{', '.join(log_lines_of(directory, call)) or 'no line'}"
    )


def log_lines_of(directory: pathlib.Path, call: callers.Call) -> list[str]:
    """Return number and level of the log lines of a call's gateway that name the call."""
    found = []
    for path in sorted(directory.glob(f"{call.gateway.name}.*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if f'"{call.request_id}"' not in line:
                continue
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            detail = entry.get("reason") or entry.get("detail") or ""
            found.append(f"{entry.get('number')} {entry.get('level')} {detail}".rstrip())
    return found
