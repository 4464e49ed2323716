"""Plays seeds of the soak: ``python -m tests.soak.run --seeds 1-50 --seconds 15 --jobs 3``.

Each seed is one small fleet with its own processes and ports. The exit code is 1 if a promise was
broken; the logs of the gateways of such a seed are kept.
"""

import argparse
import asyncio
import collections
import pathlib
import re
import subprocess
import sys
import tempfile
import time
import typing

from tests.soak import callers, faults, promises, stops, world

# Mean time between two faults; they last for up to nine seconds, so that several overlap.
FAULT_GAP_SECONDS = 0.8
# After the last fault everything must be served again within this time (``recover_s``).
RECOVER_SECONDS = 12.0
CALM_SECONDS = 3.0
# Part of the calm requests at the end that must be answered with success.
SERVED_SHARE = 0.9
FINDINGS_SHOWN = 12
COUNTS_PATTERN = re.compile(r"^stops (\d+): (\d+) lost, (\d+) cut otherwise, (\d+) excused$", re.M)


class Result(typing.NamedTuple):
    """What one seed showed."""

    seed: int
    findings: list[str]
    summary: str
    # What became of the requests that were cut.
    cuts: stops.CutReport


async def play_seed(
    seed: int,
    seconds: float,
    kinds: tuple[type[faults.Fault], ...] = faults.ALL_KINDS,
    gateway_count: int = world.GATEWAYS,
    checkout: pathlib.Path = world.ROOT,
) -> Result:
    """Play one seed for a time and check it."""
    fleet = world.World(seed, gateway_count, checkout)
    load = callers.Callers(fleet)
    findings: list[str] = ["it was not played to its end"]
    played: collections.Counter[str] = collections.Counter()
    cuts = stops.CutReport()
    try:
        await fleet.start()
        load.start()
        running: list[asyncio.Task[None]] = []
        end_at = time.monotonic() + seconds
        while time.monotonic() < end_at:
            await asyncio.sleep(fleet.random.expovariate(1.0 / FAULT_GAP_SECONDS))
            kind = fleet.random.choice(kinds)
            played[kind.__name__] += 1
            running.append(asyncio.create_task(kind(fleet, load).play()))
        if running:
            await asyncio.wait(running)
        findings = [f"fault failed: {task.exception()!r}" for task in running if task.exception()]
        findings += await check_recovery(fleet, load)
        await load.stop()
        checks = promises.Promises(fleet, load.calls)
        findings += checks.check()
        cuts.add(fleet, checks)
        findings += failed_tasks(fleet)
    finally:
        await load.stop()
        await fleet.close(keep=bool(findings))
    if findings:
        findings.insert(0, f"logs are in {fleet.directory}")
    outcomes = collections.Counter(f"{call.outcome.value} {call.status}" for call in load.calls)
    summary = f"{len(load.calls)} calls {dict(outcomes)}; {dict(played)}"
    return Result(seed, findings, f"{summary}; longest stall {fleet.longest_stall:.2f} s", cuts)


async def check_recovery(fleet: world.World, load: callers.Callers) -> list[str]:
    """Wait for the bound on recovery, then check that requests are served."""
    await asyncio.sleep(RECOVER_SECONDS)
    first = len(load.calls)
    await asyncio.sleep(CALM_SECONDS)
    now = time.monotonic()
    known = {key for keys in fleet.keys.values() for key in keys}
    calm = [
        call
        for call in load.calls[first:]
        if call.ended_at
        and call.outcome is not callers.Outcome.LEFT
        and (not call.key or call.key in known)
        and call.gateway.calm(now - CALM_SECONDS, now)
    ]
    served = sum(1 for call in calm if call.status == 200)
    if calm and served >= SERVED_SHARE * len(calm):
        return []
    return [f"after the faults {served} of {len(calm)} requests were served"]


def failed_tasks(fleet: world.World) -> list[str]:
    """Return the log lines of gateways that name a failed task."""
    found = []
    for path in sorted(fleet.directory.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()
        failed = [line for line in lines if '"task_failed"' in line or "Traceback" in line]
        found += [f"{path.name}: {line[:300]}" for line in failed]
    return found


def main() -> None:
    """Play the seeds of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="first-last, or one seed")
    parser.add_argument("--seconds", type=float, default=15.0, help="time with faults")
    parser.add_argument(
        "--planned", action="store_true", help="only stops, reloads and changes of configuration"
    )
    parser.add_argument("--gateways", type=int, default=world.GATEWAYS, help="in each seed")
    parser.add_argument(
        "--checkout",
        type=pathlib.Path,
        default=world.ROOT,
        help="directory of the sources whose gateways are played",
    )
    parser.add_argument("--jobs", type=int, default=1, help="seeds that play at the same time")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = list(range(int(first), int(last or first) + 1))
    if len(seeds) == 1:
        kinds = faults.PLANNED_KINDS if arguments.planned else faults.ALL_KINDS
        result = asyncio.run(
            play_seed(
                seeds[0],
                arguments.seconds,
                kinds,
                arguments.gateways,
                arguments.checkout.resolve(),
            )
        )
        print(f"seed {result.seed}: {'BROKEN' if result.findings else 'held'}; {result.summary}")
        for item in result.findings[:FINDINGS_SHOWN]:
            print(f"  {item}")
        for line in result.cuts.lines:
            print(f"  {line}")
        print(result.cuts.summary)
        sys.exit(1 if result.findings else 0)
    options = ["--seconds", str(arguments.seconds), "--gateways", str(arguments.gateways)]
    options += ["--checkout", str(arguments.checkout)]
    if arguments.planned:
        options.append("--planned")
    sys.exit(0 if play_many(seeds, options, arguments.jobs) else 1)


def play_many(seeds: list[int], options: list[str], jobs: int) -> bool:
    """Play each seed in a process of its own; returns whether all held."""
    waiting = list(seeds)
    playing: dict[int, subprocess.Popen[bytes]] = {}
    held = True
    counts = [0, 0, 0, 0]
    with tempfile.TemporaryDirectory(prefix="masticward-soak-output-") as directory:
        while waiting or playing:
            while waiting and len(playing) < jobs:
                seed = waiting.pop(0)
                playing[seed] = start_seed(seed, options, output_path(directory, seed))
            time.sleep(0.2)
            for seed in [seed for seed, process in playing.items() if process.poll() is not None]:
                held = playing.pop(seed).returncode == 0 and held
                output = output_path(directory, seed).read_text(errors="replace")
                print(output.rstrip(), flush=True)
                for found in COUNTS_PATTERN.findall(output):
                    counts = [sum(pair) for pair in zip(counts, map(int, found), strict=True)]
    if any(counts):
        print("all seeds: " + stops.SUMMARY.format(*counts))
    return held


def output_path(directory: str, seed: int) -> pathlib.Path:
    """Return the file for a seed's output; a pipe would block a seed that writes much."""
    return pathlib.Path(directory) / f"{seed}.txt"


def start_seed(seed: int, options: list[str], output: pathlib.Path) -> subprocess.Popen[bytes]:
    """Start the process that plays one seed and writes to a file."""
    command = [sys.executable, "-m", "tests.soak.run", "--seeds", str(seed)]
    with output.open("wb") as file:
        return subprocess.Popen([*command, *options], stdout=file, stderr=subprocess.STDOUT)


if __name__ == "__main__":
    main()
