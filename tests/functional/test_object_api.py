"""Guards against misread failures of the object API, over real HTTP."""

import asyncio
import unittest

from masticward import errors
from masticward.standins import instance_list as instance_list_standin
from masticward.standins import object_api as standin
from masticward.transport import object_api
from masticward.utils import clocks
from tests.lib import platforms, raw_server


class ObjectApiTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = platforms.Platform()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.close)
        self.store = self.platform.store

    async def test_conditions_watch_and_listing(self) -> None:
        """Fails if a write ignores its condition or a watch misses a version."""
        first = (await self.store.put("a/1", b"one", 0, platforms.make_deadline())).unwrap()
        conflict = (await self.store.put("a/1", b"two", 0, platforms.make_deadline())).failure()
        self.assertIsInstance(conflict, errors.VersionConflictError)
        self.assertEqual(first, conflict.current_version)
        watch = asyncio.create_task(self.store.watch("a/1", first, platforms.make_deadline()))
        await asyncio.sleep(0.05)
        second = (await self.store.put("a/1", b"two", first, platforms.make_deadline())).unwrap()
        seen = (await watch).unwrap()
        self.assertEqual((second, b"two"), (seen.version, seen.value))
        quiet = await self.store.watch("a/1", second, clocks.deadline_after(0.4))
        self.assertIsNone(quiet.unwrap())
        self.assertEqual(
            ["a/1"], (await self.store.list_names("a/", platforms.make_deadline())).unwrap()
        )
        (await self.store.delete("a/1", second, platforms.make_deadline())).unwrap()
        missing = (await self.store.get("a/1", platforms.make_deadline())).failure()
        self.assertIsInstance(missing, errors.ObjectNotFoundError)
        again = (await self.store.put("a/1", b"one", 0, platforms.make_deadline())).unwrap()
        self.assertGreater(again, second, "a version must not repeat after a deletion")

    async def test_calls_carry_only_headers_that_the_object_api_uses(self) -> None:
        """Fails if each small call pays for headers that nobody reads."""
        server = raw_server.RawServer({})
        store = object_api.HttpObjectStore(await server.start())
        self.addAsyncCleanup(store.close)
        self.addCleanup(server.server.close)
        calls = (
            (lambda: store.get("a", platforms.make_deadline()), {"host", "accept-encoding"}),
            (
                lambda: store.put("a", b"x", 7, platforms.make_deadline()),
                {"host", "if-match", "content-length", "connection"},
            ),
        )
        for call, expected in calls:
            await call()
            lines = server.head.decode().lower().split("\r\n")[1:-2]
            self.assertEqual(expected, {line.partition(":")[0] for line in lines})

    async def test_lost_answer_is_reported_and_the_write_is_sent_once(self) -> None:
        """Fails if aiohttp repeats a write, whose second answer would be a false conflict."""
        await self.platform.objects.set_faults(standin.StoreFaults(lose_answers=1))
        lost = (await self.store.put("a", b"x", 0, platforms.make_deadline())).failure()
        self.assertIsInstance(lost, errors.StoreAnswerLostError)
        self.assertEqual(1, self.platform.objects.calls["put"])
        stored = (await self.store.get("a", platforms.make_deadline())).unwrap()
        await self.platform.objects.set_faults(standin.StoreFaults(lose_answers=1))
        lost = (await self.store.delete("a", stored.version, platforms.make_deadline())).failure()
        self.assertIsInstance(lost, errors.StoreAnswerLostError)
        self.assertEqual(1, self.platform.objects.calls["delete"])

    async def test_failures_before_the_write_had_no_effect(self) -> None:
        """Fails if a refusal is taken for a lost answer, or a timeout for a refusal."""
        await self.platform.objects.set_faults(standin.StoreFaults(mode="down"))
        refused = (await self.store.put("a", b"x", 0, platforms.make_deadline())).failure()
        self.assertIsInstance(refused, errors.StoreUnavailableError)
        unreachable = object_api.HttpObjectStore(platforms.UNREACHABLE_URL)
        refused = (await unreachable.put("a", b"x", 0, platforms.make_deadline())).failure()
        self.assertIsInstance(refused, errors.StoreUnavailableError)
        await unreachable.close()
        await self.platform.objects.set_faults(standin.StoreFaults(mode="slow", delay_ms=500))
        late = (await self.store.put("a", b"x", 0, clocks.deadline_after(0.1))).failure()
        self.assertIsInstance(late, errors.StoreAnswerLostError)
        await self.platform.objects.set_faults(standin.StoreFaults(mode="cut"))
        broken = (await self.store.get("a", platforms.make_deadline())).failure()
        self.assertIsInstance(broken, errors.StoreUnavailableError)

    async def test_rate_limit_refuses_without_effect(self) -> None:
        """Fails if 429 is read as anything but a call without effect."""
        self.platform.objects.calls_per_second = 1
        await self.store.get("a", platforms.make_deadline())
        refused = (await self.store.put("a", b"x", 0, platforms.make_deadline())).failure()
        self.assertIsInstance(refused, errors.StoreUnavailableError)
        self.assertEqual({}, self.platform.objects.objects)

    async def test_instance_list_lags_and_fails(self) -> None:
        """Fails if the stand-in shows a change before its lag, or a failure empties the list."""
        self.platform.list_instance(platforms.make_agent("a1"))
        self.platform.instances.faults = instance_list_standin.ListFaults(lag_ms=400)
        self.assertEqual([], (await self.platform.list.fetch(platforms.make_deadline())).unwrap())
        await asyncio.sleep(0.45)
        listed = (await self.platform.list.fetch(platforms.make_deadline())).unwrap()
        self.assertEqual([platforms.make_agent("a1")], listed)
        again = (await self.platform.list.fetch(platforms.make_deadline())).unwrap()
        self.assertIs(listed, again, "an unchanged list is not transferred again")
        for number in range(100):
            self.platform.list_instance(platforms.make_agent(f"b{number}"))
        await asyncio.sleep(0.45)
        self.assertEqual(
            101, len((await self.platform.list.fetch(platforms.make_deadline())).unwrap())
        )
        self.platform.instances.faults = instance_list_standin.ListFaults(mode="down")
        failed = (await self.platform.list.fetch(platforms.make_deadline())).failure()
        self.assertIsInstance(failed, errors.InstanceListError)
