"""The record of a case, and its exit code."""

import asyncio
import collections.abc
import os
import pathlib
import sys
import time

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Lines with the seconds since the start of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / "record.txt"
        self.started_at = time.monotonic()
        self.lines: list[tuple[float, str]] = []

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line; ``at`` is in monotonic seconds."""
        moment = time.monotonic() if at is None else at
        self.lines.append((moment - self.started_at, text))

    def write(self) -> None:
        """Write the lines in the order of their times."""
        lines = [f"{at:8.3f} {text}\n" for at, text in sorted(self.lines, key=lambda item: item[0])]
        self.path.write_text("".join(lines))


def trouble() -> bool:
    """Return whether the case is to be run with its disturbance."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(
    folder: pathlib.Path,
    case: collections.abc.Callable[[Record], collections.abc.Awaitable[bool]],
) -> None:
    """Run a case that returns whether the rule held, and end the process with its code."""
    record = Record(folder)
    code = NOT_RUN
    try:
        held = asyncio.run(bounded(case(record)))
        code = HELD if held else BROKEN
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
    record.add(f"result: {('the rule held', 'the rule was broken', 'not run')[code]}")
    record.write()
    print(record.lines[-1][1], flush=True)
    sys.exit(code)


async def bounded(case: collections.abc.Awaitable[bool]) -> bool:
    """Await a case for less than the 120 seconds that a script may take."""
    async with asyncio.timeout(110.0):
        return await case
