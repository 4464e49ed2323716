"""Measures the fairness gap of separate processes while dispatcher and agents fail.

Run as ``PYTHONPATH=src:. python tools/measure_fault_gaps.py [--seconds S] [--fault NAME]``. For
each fault it starts a fleet with 16 backlogged teams, one of them flooding, and prints the largest
gap and the bound of section 6.1 of the design as JSON. Each fault takes about 20 s.
"""

import argparse
import pathlib

import msgspec
from tests.lib import dispatcher_faults, fleets, processes

from masticward.bench import checker, history
from masticward.utils import programs


async def measure(fault: dispatcher_faults.Fault, seconds: float) -> dict[str, object]:
    """Run one fleet with one fault."""
    fleet = processes.ProcessFleet(fleets.build(entries=2, writers=3, bookings=1))
    record = history.History(seed=dispatcher_faults.SEED)
    try:
        await fleet.start()
        measured = await dispatcher_faults.measure(fleet, record, fault, seconds)
    finally:
        await fleet.close()
    return {**msgspec.structs.asdict(measured), "violations": checker.check(record)}


async def run(faults: list[dispatcher_faults.Fault], seconds: float) -> int:
    """Measure the faults one after the other; 1 if a gap is beyond its bound, else 0."""
    figures = []
    for fault in faults:
        figures.append(await measure(fault, seconds))
        print(msgspec.json.encode(figures[-1]).decode(), flush=True)
    path = pathlib.Path("out/fault-gaps.json")
    path.parent.mkdir(exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(figures)))
    print(f"written to {path}")
    return int(any(item["gap"] > item["bound"] or item["violations"] for item in figures))


def main() -> None:
    """Measure and write JSON to out/fault-gaps.json."""
    names = {fault.name.lower(): fault for fault in dispatcher_faults.Fault}
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=9.0)
    parser.add_argument("--fault", action="append", choices=sorted(names))
    arguments = parser.parse_args()
    chosen = [names[name] for name in arguments.fault or names]
    raise SystemExit(programs.run(run(chosen, arguments.seconds)))


if __name__ == "__main__":
    main()
