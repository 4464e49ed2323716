"""Guards against missed, delayed or lost versions in a fleet view, over real gRPC and HTTP."""

import asyncio
import time
import typing
import unittest

from masticward.coordination import view
from masticward.models import objects
from masticward.standins import object_api
from masticward.wire import masticward_pb2
from tests.lib import platforms

MAXIMUM_RECOVERY_SECONDS = 1.0


class ViewTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = platforms.Platform()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.close)

    async def wait_for_versions(
        self, processes: list[platforms.Process], versions: tuple[int, int]
    ) -> float:
        return await platforms.wait_until(
            lambda: all(process.versions >= versions for process in processes),
            f"versions {versions}, have {[process.versions for process in processes]}",
        )

    async def test_versions_propagate_while_the_object_api_is_down(self) -> None:
        """Fails if only processes that reach the object API receive an accepted version."""
        entry = await self.platform.add(platforms.make_entry("e1"))
        agents = [await self.platform.add(platforms.make_agent(f"a{n}")) for n in range(3)]
        isolated = await self.platform.add(
            platforms.make_entry("e2"), object_api_url=platforms.UNREACHABLE_URL
        )
        await self.platform.publish(share=1.0)
        elapsed_seconds = await self.wait_for_versions([entry], (1, 0))
        self.assertLess(elapsed_seconds, 3.0, "an entry must watch; the fallback reads every 10 s")
        await self.platform.objects.set_faults(object_api.StoreFaults(mode="down"))
        await self.wait_for_versions([entry, isolated, *agents], (1, 0))
        for process in (isolated, *agents):
            self.assertEqual(process.view.configuration, entry.view.configuration)

    async def test_zone_out_reaches_an_entry_cut_off_from_the_object_api(self) -> None:
        """Fails if an entry without the object API keeps using a zone that is out of service.

        Property P4 requires the change within 5 s.
        """
        await self.platform.publish(share=1.0)
        await self.platform.add(platforms.make_entry("e1"))
        agent = await self.platform.add(platforms.make_agent("a1"))
        spare = await self.platform.add(platforms.make_agent("a2", availability_zone="south"))
        isolated = await self.platform.add(
            platforms.make_entry("e2"), object_api_url=platforms.UNREACHABLE_URL
        )
        await platforms.wait_until(
            lambda: len(isolated.view.available_agents("ledger")) == 2, "both agents available"
        )
        (
            await self.platform.operator().take_out_zone("north", False, platforms.make_deadline())
        ).unwrap()
        await self.wait_for_versions([isolated, agent], (1, 1))
        self.assertTrue(agent.view.is_out_of_service("a1", "north"))
        self.assertEqual(isolated.view.available_agents("ledger"), [spare.instance])
        (await self.platform.operator().bring_in_zone("north", platforms.make_deadline())).unwrap()
        await self.wait_for_versions([isolated, agent], (1, 2))
        self.assertEqual(2, len(isolated.view.available_agents("ledger")))

    async def test_restarted_process_receives_versions_from_peers(self) -> None:
        """Fails if a process that restarts during an object API outage stays without versions."""
        await self.platform.publish(share=1.0)
        await self.platform.add(platforms.make_entry("e1"))
        agent = await self.platform.add(platforms.make_agent("a1"))
        await self.wait_for_versions([agent], (1, 0))
        await self.platform.objects.set_faults(object_api.StoreFaults(mode="down"))
        await self.platform.stop_process(agent)
        restarted = await self.platform.add(platforms.make_agent("a1"), incarnation=2)
        await self.wait_for_versions([restarted], (1, 0))

    async def test_agent_without_peers_reads_the_object_api(self) -> None:
        """Fails if agents stay without configuration after a restart of the whole fleet."""
        await self.platform.publish(share=1.0)
        agent = await self.platform.add(platforms.make_agent("a1"))
        self.assertEqual((1, 0), agent.versions)

    async def test_view_updates_continue_after_unexpected_errors(self) -> None:
        """Fails if an error of a subscriber or of a watch keeps a process at an old version."""
        entry = await self.platform.add(platforms.make_entry("e1"))
        seen: list[int] = []

        def fail() -> None:
            raise RuntimeError("a subscriber's fault")

        entry.view.subscribe(fail)
        entry.view.subscribe(lambda: seen.append(entry.versions[0]))
        await self.platform.publish(share=1.0)
        await self.wait_for_versions([entry], (1, 0))
        store_watch = entry.store.watch

        async def fail_once(*arguments: typing.Any) -> typing.Any:
            entry.store.watch = store_watch
            raise RuntimeError("an unexpected fault")

        entry.store.watch = fail_once
        for share in (2.0, 3.0):
            await self.platform.publish(share=share)
            elapsed_seconds = await self.wait_for_versions([entry], (int(share), 0))
            self.assertLess(elapsed_seconds, 3.0)
        self.assertIs(entry.store.watch, store_watch, "the fault did not occur")
        self.assertIn(3, seen)

    async def test_peers_send_only_changed_shards(self) -> None:
        """Fails if a small change transfers the whole configuration."""
        teams = 3000
        await self.platform.publish(share=1.0, teams=teams)
        entry = await self.platform.add(platforms.make_entry("e1"))
        other = await self.platform.add(
            platforms.make_agent("a1"), object_api_url=platforms.UNREACHABLE_URL
        )
        await self.wait_for_versions([entry, other], (1, 0))
        sizes: list[int] = []
        fetch = other.view.puller.fetch

        async def measure(*arguments: typing.Any) -> masticward_pb2.FetchReply | None:
            reply = await fetch(*arguments)
            sizes.append(reply.ByteSize() if reply is not None else 0)
            return reply

        other.view.puller.fetch = measure
        await self.platform.publish(share=1.0, teams=teams + 1)
        await self.wait_for_versions([other], (2, 0))
        self.assertEqual(entry.view.configuration, other.view.configuration)
        self.assertLess(max(sizes), len(entry.view.versions.configuration_bytes) / 3)

    async def test_damaged_shard_from_a_peer_is_refused(self) -> None:
        """Fails if a process adopts a configuration whose shards do not match the manifest."""
        await self.platform.publish(share=1.0)
        entry = await self.platform.add(platforms.make_entry("e1"))
        name = next(iter(entry.view.reader.cached_shards))
        entry.view.reader.cached_shards[name] = b'{"teams":[]}'
        other = await self.platform.add(
            platforms.make_agent("a1"), object_api_url=platforms.UNREACHABLE_URL
        )
        await platforms.wait_until(
            lambda: other.view.membership.records.keys() >= {"e1"}, "e1 is recorded"
        )
        await other.view.exchanges.exchange_with(entry.instance)
        self.assertEqual((0, 0), other.versions)

    async def test_outdated_peer_or_store_does_not_lower_versions(self) -> None:
        """Fails if a peer or store with an older version makes a process adopt it."""
        await self.platform.publish(share=1.0)
        outdated = await self.platform.add(
            platforms.make_agent("a1"), object_api_url=platforms.UNREACHABLE_URL
        )
        entry = await self.platform.add(platforms.make_entry("e1"))
        await self.wait_for_versions([outdated], (1, 0))
        old_manifest = self.platform.objects.objects[objects.MANIFEST]
        await self.platform.publish(share=2.0)
        await self.wait_for_versions([entry, outdated], (2, 0))
        await self.platform.stop_process(outdated)
        # The store returns an earlier manifest, as after the restore of a backup.
        self.platform.objects.objects[objects.MANIFEST] = old_manifest
        newcomer = await self.platform.add(platforms.make_agent("a2"))
        seen: set[int] = set()
        entry.view.subscribe(lambda: seen.add(entry.versions[0]))
        await self.wait_for_versions([newcomer], (2, 0))
        self.assertEqual((2, 0), entry.versions)
        self.assertLessEqual(seen, {2})

    async def test_pull_newer_versions_does_not_wait_for_a_round(self) -> None:
        """Fails if an agent that receives a newer version in a request waits for the next round."""
        entry = await self.platform.add(platforms.make_entry("e1"))
        other = await self.platform.add(
            platforms.make_agent("a1"), object_api_url=platforms.UNREACHABLE_URL
        )
        # Without background tasks, the process receives versions only by pull_newer_versions.
        await other.view.task_group.cancel()
        entry.view.subscribe(lambda: None)
        await self.platform.publish(share=1.0)
        await self.wait_for_versions([entry], (1, 0))
        other.view.pull_newer_versions(1, 0, entry.instance.peer_address)
        await self.wait_for_versions([other], (1, 0))

    async def test_crashed_peer_is_suspected_until_it_answers(self) -> None:
        """Fails if a stopped agent stays available or a restarted one does not become available."""
        entry = await self.platform.add(platforms.make_entry("e1"))
        agent = await self.platform.add(platforms.make_agent("a1"))
        await platforms.wait_until(
            lambda: bool(entry.view.available_agents("ledger")), "agent available"
        )
        await self.platform.stop_process(agent)
        await platforms.wait_until(lambda: not entry.view.available_agents("ledger"), "suspected")
        self.assertIn("a1", {instance.id for instance in entry.view.members()})
        await self.platform.add(platforms.make_agent("a1"), incarnation=2)
        await platforms.wait_until(
            lambda: bool(entry.view.available_agents("ledger")), "agent available again"
        )

    async def test_leaving_is_announced_without_the_list(self) -> None:
        """Fails if peers detect a leaving agent only by the instance list, which lags (P8)."""
        entry = await self.platform.add(platforms.make_entry("e1"))
        agent = await self.platform.add(platforms.make_agent("a1"))
        await platforms.wait_until(
            lambda: bool(entry.view.available_agents("ledger")), "agent available"
        )
        agent.view.announce_leaving()
        elapsed_seconds = await platforms.wait_until(
            lambda: entry.view.is_leaving("a1"), "leaving announced"
        )
        self.assertLess(elapsed_seconds, 3.0)
        self.assertEqual([], entry.view.available_agents("ledger"))

    async def test_members_are_kept_while_the_instance_list_is_unavailable(self) -> None:
        """Fails if an outage of the instance list removes the members from the view."""
        entry = await self.platform.add(platforms.make_entry("e1"))
        self.platform.list_instance(platforms.make_agent("a1", peer_address="127.0.0.1:9"))
        await platforms.wait_until(lambda: len(entry.view.members()) == 2, "listed")
        self.platform.instances.faults.mode = "down"
        await platforms.wait_until(
            lambda: not entry.view.list_follower.available, "outage detected"
        )
        self.assertEqual(["a1", "e1"], [instance.id for instance in entry.view.members()])

    async def test_exchange_resumes_within_a_second_after_a_partition(self) -> None:
        """Fails if TCP or gRPC back-off delays the first exchange after a partition heals."""
        entry = await self.platform.add(platforms.make_entry("e1"), partitionable=True)
        agent = await self.platform.add(platforms.make_agent("a1"), partitionable=True)
        await platforms.wait_until(
            lambda: agent.view.fresh_until() > time.monotonic(), "first exchange"
        )
        partitions = [
            process.partition for process in (entry, agent) if process.partition is not None
        ]
        for partition in partitions:
            partition.begin()
        await platforms.wait_until(
            lambda: all(
                process.view.fresh_until() < time.monotonic() - 2.0 for process in (entry, agent)
            ),
            "views stale",
        )
        for partition in partitions:
            partition.heal()
        for process in (entry, agent):
            elapsed_seconds = await platforms.wait_until(
                lambda process=process: process.view.fresh_until() > time.monotonic(),
                "exchanges resumed",
            )
            self.assertLess(elapsed_seconds, MAXIMUM_RECOVERY_SECONDS)
        self.assertEqual(1, len(entry.view.available_agents("ledger")))

    async def test_exchange_does_not_wait_for_an_unresponsive_connection(self) -> None:
        """Fails if a process waits until TCP or keep-alive closes a broken connection."""
        entry = await self.platform.add(platforms.make_entry("e1"))
        agent = await self.platform.add(platforms.make_agent("a1"), partitionable=True)
        await platforms.wait_until(
            lambda: entry.view.membership.records["a1"].last_contact_at is not None,
            "first exchange",
        )
        partition = agent.partition
        assert partition is not None
        partition.begin()
        await platforms.wait_until(lambda: entry.view.membership.is_suspected("a1"), "suspected")
        partition.heal_for_new_connections()
        elapsed_seconds = await platforms.wait_until(
            lambda: not entry.view.membership.is_suspected("a1"), "exchanges resumed"
        )
        self.assertLess(elapsed_seconds, MAXIMUM_RECOVERY_SECONDS)


class UnresponsivePeersTest(unittest.IsolatedAsyncioTestCase):
    async def test_view_stays_fresh_when_several_peers_fail_together(self) -> None:
        """Fails if a view becomes stale because the rounds select one failed peer after another.

        An agent with a stale view refuses work.
        """
        platform = platforms.Platform()
        await platform.start()
        self.addAsyncCleanup(platform.close)
        failed = [
            await platform.add(platforms.make_entry("e1"), partitionable=True),
            *[
                await platform.add(platforms.make_agent(f"a{number}"), partitionable=True)
                for number in range(1, 5)
            ],
        ]
        agent = await platform.add(platforms.make_agent("a5"))
        await platform.add(platforms.make_agent("a6"))
        await platforms.wait_until(
            lambda: len(agent.view.exchanges.rotation.all_partners()) == 6, "all partners chosen"
        )
        stale_seconds: list[float] = []
        for process in failed:
            assert process.partition is not None
            process.partition.begin()
        # The rotation starts with the failed peers, as can happen by chance.
        agent.view.exchanges.rotation.position = 0
        ends_at = time.monotonic() + 3.5
        while time.monotonic() < ends_at:
            stale_seconds.append(max(0.0, time.monotonic() - agent.view.fresh_until()))
            await asyncio.sleep(0.02)
        self.assertEqual(0.0, max(stale_seconds))


class FreshnessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = platforms.Platform()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.close)
        self.entry = await self.platform.add(platforms.make_entry("e1"))
        self.agent = await self.platform.add(platforms.make_agent("a1"))
        # The entry is stopped first, because its calls make the agent exchange with it.
        for process in (self.entry, self.agent):
            while process.view.task_group.tasks:
                await process.view.task_group.cancel()
        self.agent.view.exchanges.latest_answered_sent_at = float("-inf")

    async def test_answer_received_late_counts_from_its_sending(self) -> None:
        """Fails if an answer read after a pause counts as fresh from its receipt (P4, P8)."""
        sent_before = time.monotonic()
        exchange = asyncio.create_task(self.agent.view.exchanges.exchange_with(self.entry.instance))
        await asyncio.sleep(0)
        # Blocks the event loop while the answer arrives, as in a paused process.
        time.sleep(0.4)
        await exchange
        self.assertLess(self.agent.view.fresh_until(), sent_before + 0.2 + view.FRESHNESS_SECONDS)

    async def test_exchange_without_the_newer_versions_does_not_refresh_the_view(self) -> None:
        """Fails if a process counts as fresh although it could not pull a newer version."""
        self.entry.view.digest = lambda: masticward_pb2.ViewDigest(
            instance_id="e1", role="entry", incarnation=1, operations_version=5
        )
        await self.agent.view.exchanges.exchange_with(self.entry.instance)
        self.assertEqual(float("-inf"), self.agent.view.exchanges.latest_answered_sent_at)
