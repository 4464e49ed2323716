"""Guards against wrong outcomes of changes when operators and faults meet in any order."""

import asyncio
import collections
import random
import unittest

from returns import result

from masticward import errors
from masticward.models import objects
from masticward.publishing import audit, change, operations
from masticward.standins import object_api as standin
from masticward.transport import object_api
from masticward.utils import clocks
from tests.lib import platforms

OPERATORS = ("ana", "ben", "eva")
CHANGES_PER_OPERATOR = 12
CHANGE_SECONDS = 1.5
SEEDS = range(3)


class CountingStore(object_api.HttpObjectStore):
    """Counts the answers to writes by their kind."""

    def __init__(self, url: str, kinds: collections.Counter[str]) -> None:
        super().__init__(url)
        self.kinds = kinds

    async def put(
        self, name: str, value: bytes, expected_version: int, deadline: float
    ) -> result.Result[int, errors.StoreError]:
        answer = await super().put(name, value, expected_version, deadline)
        failed = isinstance(answer, result.Failure)
        self.kinds[type(answer.failure()).__name__ if failed else "written"] += 1
        return answer


class ChangeOutcomesTest(unittest.IsolatedAsyncioTestCase):
    async def inject_faults(self, rng: random.Random) -> None:
        """Switch random faults of the object API until cancelled."""
        while True:
            delay_ms = rng.choice((20, 120, 400))
            fault = rng.choice(
                (
                    standin.StoreFaults(),
                    standin.StoreFaults(lose_answers=1),
                    standin.StoreFaults(lose_requests=1),
                    standin.StoreFaults(late_writes=1, delay_ms=delay_ms),
                    standin.StoreFaults(mode="cut"),
                    standin.StoreFaults(mode="down"),
                )
            )
            await self.platform.objects.set_faults(fault)
            await asyncio.sleep(rng.choice((0.02, 0.06)))

    async def operate(
        self, name: str, rng: random.Random, kinds: collections.Counter[str]
    ) -> list[result.Result[change.Accepted, errors.PublishingError]]:
        """Make random changes as one operator and return their outcomes."""
        store = CountingStore(self.platform.store_url, kinds)
        operator = operations.OperationsChange(store, self.platform.list, name)
        outcomes = []
        for _ in range(CHANGES_PER_OPERATOR):
            target, out = rng.choice("abcdef"), rng.random() < 0.5
            deadline = clocks.deadline_after(CHANGE_SECONDS)
            outcomes.append(await operator.move(target, "instance", out, True, deadline))
        await store.close()
        return outcomes

    async def run_seed(self, seed: int) -> None:
        rng = random.Random(seed)
        kinds: collections.Counter[str] = collections.Counter()
        self.platform = platforms.Platform()
        await self.platform.start()
        faults = asyncio.create_task(self.inject_faults(rng))
        try:
            results = await asyncio.gather(
                *(self.operate(name, random.Random(f"{seed}{name}"), kinds) for name in OPERATORS)
            )
            faults.cancel()
            await self.platform.objects.set_faults(standin.StoreFaults())
            await asyncio.gather(*self.platform.objects.late_tasks)
            read = await change.read_current(
                self.platform.store,
                objects.OPERATIONS,
                operations.EMPTY_OPERATIONS,
                platforms.make_deadline(),
            )
            entries = (
                await audit.list_entries(
                    self.platform.store, read.unwrap().document, platforms.make_deadline()
                )
            ).unwrap()
        finally:
            faults.cancel()
            await self.platform.close()
        self.assertEqual(list(range(1, len(entries) + 1)), [item.to_version for item in entries])
        self.assertGreater(kinds["StoreAnswerLostError"], 0, "no answer was lost")
        for name, outcomes in zip(OPERATORS, results, strict=True):
            made = [item.to_version for item in entries if item.operator == name]
            accepted = [
                item.unwrap().version
                for item in outcomes
                if isinstance(item, result.Success) and item.unwrap().changed
            ]
            unknown = [
                item
                for item in outcomes
                if isinstance(item, result.Failure)
                and isinstance(item.failure(), errors.ChangeOutcomeUnknownError)
            ]
            self.assertLessEqual(set(accepted), set(made), "accepted, but not made")
            self.assertEqual(len(accepted), len(set(accepted)))
            self.assertLessEqual(len(made) - len(accepted), len(unknown), "made, but denied")

    async def test_outcomes_agree_with_the_audit_trail(self) -> None:
        """Fails if a change is reported that was not made, or denied although it was made."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.run_seed(seed)
