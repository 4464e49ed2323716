"""Guards the whole path: answers that get lost, crossed or cut, calls that run twice, and programs
that start processes, use io_uring, leave shared memory or need more than 256 MB."""

import os
import pathlib

from masticward.models import work
from tests.lib import fleet_case, processes

# Enough that every team and entry has had several.
CALLS = 500
MEMORY_BOUND_BYTES = 256 * 1024 * 1024
SHARED_MEMORY = pathlib.Path("/dev/shm")


class WholePathTest(fleet_case.FleetCase):
    entries = 3
    writers = 5
    bookings = 3

    async def test_every_answer_matches_the_endpoints_records(self) -> None:
        before = set(os.listdir(SHARED_MEMORY))
        async with self.load(text=3, booking=2):
            await self.wait_for_answers(lambda call: True, CALLS)
            self.check_processes()
            await self.wait_for_answers(lambda call: True, CALLS)
        await self.assert_safe()
        outcomes = self.outcomes()
        self.assertEqual(0, outcomes[work.Outcome.UNKNOWN])
        self.assertEqual(len(self.history.calls), outcomes[work.Outcome.COMPLETE])
        for team in self.fleet.plan.configuration.teams:
            self.assertGreater(self.outcomes(lambda call, t=team.name: call.team == t).total(), 0)
        self.assertEqual(set(), set(os.listdir(SHARED_MEMORY)) - before)

    def check_processes(self) -> None:
        for program in self.fleet.programs.values():
            directory = pathlib.Path(f"/proc/{program.pid}")
            children = [
                (task / "children").read_text().split() for task in (directory / "task").iterdir()
            ]
            self.assertFalse(any(children), f"{program.name} has child processes {children}")
            links = [read_link(link) for link in (directory / "fd").iterdir()]
            self.assertGreater(len(links), 3)
            for forbidden in ("io_uring", "/dev/shm"):
                self.assertFalse(
                    [link for link in links if forbidden in link], f"{program.name} {forbidden}"
                )
            self.assertNotIn("/dev/shm", (directory / "maps").read_text())
            self.assertLess(
                processes.peak_memory_bytes(program.pid), MEMORY_BOUND_BYTES, program.name
            )


def read_link(link: pathlib.Path) -> str:
    try:
        return os.readlink(link)
    except FileNotFoundError:
        return ""
