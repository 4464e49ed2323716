"""Guards against guessed outcomes and lost changes when operators and faults collide."""

import asyncio
import unittest

import msgspec
from returns import result

from masticward import errors
from masticward.models import configuration, objects
from masticward.publishing import audit, change, operations, publisher, retired_shards
from masticward.standins import object_api as standin
from masticward.transport import object_api
from masticward.utils import clocks
from tests.lib import platforms


class LosingStore(object_api.HttpObjectStore):
    """Switches on one fault of the stand-in just before the n-th write of one object."""

    __slots__ = ("fault", "platform", "victim", "writes_until_fault")

    def __init__(
        self, platform: platforms.Platform, victim: str, number: int, fault: standin.StoreFaults
    ) -> None:
        super().__init__(platform.store_url)
        self.platform = platform
        self.victim = victim
        self.writes_until_fault = number
        self.fault = fault

    async def put(
        self, name: str, value: bytes, expected_version: int, deadline: float
    ) -> result.Result[int, errors.StoreError]:
        if name.startswith(self.victim):
            self.writes_until_fault -= 1
            if self.writes_until_fault == 0:
                await self.platform.objects.set_faults(self.fault)
        return await super().put(name, value, expected_version, deadline)


class MeetingStore(object_api.HttpObjectStore):
    """Holds the first write of one object until all parties are about to write it."""

    __slots__ = ("meeting", "object_name", "waited")

    def __init__(self, url: str, object_name: str, meeting: asyncio.Barrier) -> None:
        super().__init__(url)
        self.object_name = object_name
        self.meeting = meeting
        self.waited = False

    async def put(
        self, name: str, value: bytes, expected_version: int, deadline: float
    ) -> result.Result[int, errors.StoreError]:
        if name == self.object_name and not self.waited:
            self.waited = True
            await self.meeting.wait()
        return await super().put(name, value, expected_version, deadline)


class OvertakenStore(object_api.HttpObjectStore):
    """Loses its first write of the manifest, while somebody else publishes."""

    __slots__ = ("overtaken", "platform")

    def __init__(self, platform: platforms.Platform) -> None:
        super().__init__(platform.store_url)
        self.platform = platform
        self.overtaken = False

    async def put(
        self, name: str, value: bytes, expected_version: int, deadline: float
    ) -> result.Result[int, errors.StoreError]:
        if name == objects.MANIFEST and not self.overtaken:
            self.overtaken = True
            await self.platform.publish(share=7.0)
            return result.Failure(errors.StoreAnswerLostError(name, "test"))
        return await super().put(name, value, expected_version, deadline)


class BlindStore(object_api.HttpObjectStore):
    """Cannot read any more once a write has met a conflict."""

    __slots__ = ("blind",)

    def __init__(self, url: str) -> None:
        super().__init__(url)
        self.blind = False

    async def put(
        self, name: str, value: bytes, expected_version: int, deadline: float
    ) -> result.Result[int, errors.StoreError]:
        answer = await super().put(name, value, expected_version, deadline)
        self.blind = isinstance(answer, result.Failure) and isinstance(
            answer.failure(), errors.VersionConflictError
        )
        return answer

    async def get(
        self, name: str, deadline: float
    ) -> result.Result[object_api.StoredObject, errors.StoreError]:
        if self.blind:
            return result.Failure(errors.StoreUnavailableError(name, "test"))
        return await super().get(name, deadline)


class PublishingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = platforms.Platform()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.close)
        for name, zone in (("a1", "north"), ("a2", "south")):
            self.platform.list_instance(platforms.make_agent(name, availability_zone=zone))

    async def manifest(self) -> configuration.Manifest:
        stored = (
            await self.platform.store.get(objects.MANIFEST, platforms.make_deadline())
        ).unwrap()
        return msgspec.json.decode(stored.value, type=configuration.Manifest)

    async def test_two_publishers_at_once_make_one_version_each_or_a_conflict(self) -> None:
        """Fails if a publisher overwrites another's change or is not told whose it was."""
        await self.platform.publish(share=1.0)
        meeting = asyncio.Barrier(4)
        stores = [
            MeetingStore(self.platform.store_url, objects.MANIFEST, meeting) for _ in range(4)
        ]
        outcomes = await asyncio.gather(
            *(
                publisher.Publisher(store, f"operator-{number}").publish(
                    platforms.make_configuration(share=2.0 + number), platforms.make_deadline()
                )
                for number, store in enumerate(stores)
            )
        )
        for store in stores:
            await store.close()
        manifest = await self.manifest()
        accepted = [item.unwrap() for item in outcomes if isinstance(item, result.Success)]
        self.assertEqual(1, len(accepted))
        self.assertEqual((2, 2), (manifest.version, len(manifest.audit)))
        refused = [item.failure() for item in outcomes if isinstance(item, result.Failure)]
        self.assertEqual(3, len(refused))
        for error in refused:
            assert isinstance(error, errors.ChangeConflictError)
            self.assertTrue(error.entries[0].operator.startswith("operator-"))

    async def test_lost_answer_at_each_write(self) -> None:
        """Fails if a publisher guesses after a lost answer instead of reading back."""
        faults = {
            "answer lost": standin.StoreFaults(lose_answers=1),
            "request lost": standin.StoreFaults(lose_requests=1),
            "write late": standin.StoreFaults(late_writes=1, delay_ms=60),
        }
        version = 0
        for victim in (objects.SHARD_PREFIX, objects.MANIFEST):
            for name, fault in faults.items():
                with self.subTest(victim=victim, fault=name):
                    version += 1
                    store = LosingStore(self.platform, victim, 1, fault)
                    outcome = await publisher.Publisher(store, "tester").publish(
                        platforms.make_configuration(share=float(version)),
                        platforms.make_deadline(),
                    )
                    await store.close()
                    self.assertEqual(version, outcome.unwrap().version)
                    self.assertLessEqual(store.writes_until_fault, 0, "no fault occurred")
                    manifest = await self.manifest()
                    self.assertEqual(version, manifest.version)
                    self.assertEqual(version, len(manifest.audit))

    async def test_lost_request_overtaken_by_another_operator_is_a_conflict(self) -> None:
        """Fails if a publisher takes another's version for its own after a lost answer."""
        await self.platform.publish(share=1.0)
        store = OvertakenStore(self.platform)
        outcome = await publisher.Publisher(store, "late").publish(
            platforms.make_configuration(share=3.0), platforms.make_deadline()
        )
        await store.close()
        error = outcome.failure()
        assert isinstance(error, errors.ChangeConflictError)
        self.assertEqual("tester", error.entries[0].operator)
        self.assertEqual(2, (await self.manifest()).version)

    async def test_store_lost_for_good_leaves_the_outcome_unknown(self) -> None:
        """Fails if a publisher reports success or failure that it did not read back."""
        await self.platform.publish(share=1.0)
        gone = standin.StoreFaults(mode="cut")
        store = LosingStore(self.platform, objects.MANIFEST, 1, gone)
        outcome = await publisher.Publisher(store, "tester").publish(
            platforms.make_configuration(share=3.0), clocks.deadline_after(1.0)
        )
        await store.close()
        self.assertIsInstance(outcome.failure(), errors.ChangeOutcomeUnknownError)

    async def test_conflict_that_cannot_be_read_is_unknown_after_a_lost_answer(self) -> None:
        """Fails if a conflict with the operator's own lost write is taken for another's."""
        await self.platform.publish(share=1.0)
        store = BlindStore(self.platform.store_url)
        operator = operations.OperationsChange(store, self.platform.list, "tester")
        await self.platform.objects.set_faults(standin.StoreFaults(lose_answers=1))
        outcome = await operator.take_out_zone("north", True, clocks.deadline_after(0.7))
        await store.close()
        self.assertIn(objects.OPERATIONS, self.platform.objects.objects)
        self.assertIsInstance(outcome.failure(), errors.ChangeOutcomeUnknownError)

    async def test_unavailable_store_changes_nothing(self) -> None:
        """Fails if an outage before any write is reported as an unknown outcome."""
        await self.platform.publish(share=1.0)
        down = standin.StoreFaults(mode="down")
        store = LosingStore(self.platform, objects.MANIFEST, 1, down)
        outcome = await publisher.Publisher(store, "tester").publish(
            platforms.make_configuration(share=3.0), clocks.deadline_after(1.0)
        )
        await store.close()
        self.assertIsInstance(outcome.failure(), errors.ChangeNotMadeError)
        await self.platform.objects.set_faults(standin.StoreFaults())
        self.assertEqual(1, (await self.manifest()).version)

    async def test_racing_zone_out_and_in(self) -> None:
        """Fails if one of two racing operators is not told who changed what."""
        await self.platform.publish(share=1.0)
        (
            await self.platform.operator("first").take_out_zone(
                "north", False, platforms.make_deadline()
            )
        ).unwrap()
        meeting = asyncio.Barrier(2)
        ana, ben = (
            operations.OperationsChange(
                MeetingStore(self.platform.store_url, objects.OPERATIONS, meeting),
                self.platform.list,
                name,
            )
            for name in ("ana", "ben")
        )
        first, second = await asyncio.gather(
            ana.bring_in_zone("north", platforms.make_deadline()),
            ben.take_out_instance("a1", False, platforms.make_deadline()),
        )
        for operator in (ana, ben):
            await operator.store.close()
        outcomes = {"ana": first, "ben": second}
        losers = [name for name, item in outcomes.items() if isinstance(item, result.Failure)]
        self.assertEqual(1, len(losers))
        error = outcomes[losers[0]].failure()
        assert isinstance(error, errors.ChangeConflictError)
        winner = {"ana": "ben", "ben": "ana"}[losers[0]]
        self.assertIn(f"by {winner}", str(error))

    async def test_last_zone_and_unknown_names_need_force(self) -> None:
        """Fails if a slip of an operator takes a service's last zone out."""
        await self.platform.publish(share=1.0)
        operator = self.platform.operator()
        (await operator.take_out_zone("north", False, platforms.make_deadline())).unwrap()
        for outcome in (
            await operator.take_out_zone("south", False, platforms.make_deadline()),
            await operator.take_out_instance("a2", False, platforms.make_deadline()),
            await operator.take_out_instance("a9", False, platforms.make_deadline()),
            await operator.take_out_zone("nowhere", True, platforms.make_deadline()),
        ):
            self.assertIsInstance(outcome.failure(), errors.ChangeRefusedError)
        forced = (await operator.take_out_zone("south", True, platforms.make_deadline())).unwrap()
        self.assertEqual(2, forced.version)
        repeated = (
            await operator.take_out_zone("south", False, platforms.make_deadline())
        ).unwrap()
        self.assertFalse(repeated.changed)

    async def test_audit_entries_roll_and_stay_listed(self) -> None:
        """Fails if an audit entry is lost or doubled when old ones move to their objects."""
        entries = audit.MAXIMUM_RECENT_ENTRIES + audit.ENTRIES_PER_OBJECT + 5
        await self.platform.publish(share=1.0)
        operator = self.platform.operator()
        for number in range(entries):
            if number == audit.MAXIMUM_RECENT_ENTRIES:
                await self.platform.objects.set_faults(standin.StoreFaults(lose_answers=2))
            changed = (
                await operator.bring_in_zone("north", platforms.make_deadline())
                if number % 2
                else await operator.take_out_zone("north", True, platforms.make_deadline())
            )
            self.assertEqual(number + 1, changed.unwrap().version)
        current = (
            await change.read_current(
                self.platform.store,
                objects.OPERATIONS,
                operations.EMPTY_OPERATIONS,
                platforms.make_deadline(),
            )
        ).unwrap()
        self.assertEqual(2 * audit.ENTRIES_PER_OBJECT, current.document.audit_rolled)
        self.assertLessEqual(len(current.document.audit), audit.MAXIMUM_RECENT_ENTRIES)
        listed = (
            await audit.list_entries(
                self.platform.store, current.document, platforms.make_deadline()
            )
        ).unwrap()
        self.assertEqual(list(range(1, entries + 1)), [entry.to_version for entry in listed])

    async def test_retired_shards_are_deleted_later(self) -> None:
        """Fails if shards pile up, or if one that a manifest names is deleted."""
        versions = retired_shards.KEPT_VERSIONS + 6
        for number in range(versions):
            # Two contents in turn, so that retired shards are named again.
            await self.platform.publish(share=float(number if number < 4 else number % 2 + 1))
        names = set(self.platform.objects.objects)
        manifest = await self.manifest()
        self.assertEqual(versions, manifest.version)
        self.assertFalse({item.name for item in manifest.retired} & set(manifest.team_shards))
        self.assertLessEqual(
            {objects.team_shard_object_name(item) for item in manifest.team_shards}, names
        )
        shard_objects = [name for name in names if name.startswith(objects.SHARD_PREFIX)]
        self.assertEqual(2, len(shard_objects), shard_objects)

    async def test_deletion_spares_a_shard_that_is_written_again(self) -> None:
        """Fails if a publisher's clean-up removes what another is about to name."""
        first = (await self.platform.publish(share=1.0)).version
        await self.platform.publish(share=2.0)
        manifest = await self.manifest()
        self.assertEqual(1, len(manifest.retired))
        due = msgspec.structs.replace(manifest, version=first + retired_shards.KEPT_VERSIONS + 1)
        name = objects.team_shard_object_name(manifest.retired[0].name)
        content = self.platform.objects.objects[name].value
        written = await publisher.write_shard(
            self.platform.store, manifest.retired[0].name, content, platforms.make_deadline()
        )
        self.assertIsInstance(written, result.Success)
        await retired_shards.delete_due(self.platform.store, due, platforms.make_deadline())
        self.assertIn(name, self.platform.objects.objects)

    async def test_unchanged_files_make_no_version(self) -> None:
        """Fails if publishing the same files again raises the version."""
        await self.platform.publish(share=1.0)
        again = await self.platform.publish(share=1.0)
        self.assertEqual((1, False), (again.version, again.changed))
