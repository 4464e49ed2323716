"""Tests how a large fleet shares the changes of the store, without a network.

The load: a release or an outage changes many endpoints while dozens of gateways follow the store.
Guards against calls that grow with gateways times changes, and against gateways that miss changes.
"""

import asyncio
import collections
import random
import typing
import unittest
import unittest.mock

from masticward.gateway import followers, peering, snapshots, sources
from masticward.models import gateway
from masticward.protocol import gateway_peers
from masticward.state import store_readers
from masticward.utils import clocks
from tests.lib import gateway_builders as builders

GATEWAYS = 30
ZONES = ("z1", "z2", "z3")


def make_candidate(
    number: int, zone: str | None = None, reaches_store: bool = True
) -> store_readers.Candidate:
    return store_readers.Candidate(f"g{number}", zone or ZONES[number % 3], reaches_store)


class ChooseReadersTest(unittest.TestCase):
    """Guards against readers that fail together and against gateways that disagree on them."""

    def test_readers_are_in_different_zones(self) -> None:
        candidates = [make_candidate(number) for number in range(GATEWAYS)]
        readers = store_readers.choose_readers(candidates)
        self.assertEqual(3, len({ZONES[int(name[1:]) % 3] for name in readers}))

    def test_the_order_of_the_candidates_does_not_matter(self) -> None:
        candidates = [make_candidate(number) for number in range(GATEWAYS)]
        readers = store_readers.choose_readers(candidates)
        self.assertEqual(readers, store_readers.choose_readers(candidates[::-1]))

    def test_gateways_that_do_not_reach_the_store_are_not_chosen(self) -> None:
        readers = store_readers.choose_readers(
            make_candidate(number, reaches_store=number >= 20) for number in range(GATEWAYS)
        )
        self.assertTrue(all(int(name[1:]) >= 20 for name in readers), readers)

    def test_without_a_gateway_that_reaches_the_store_few_try(self) -> None:
        readers = store_readers.choose_readers(
            make_candidate(number, reaches_store=False) for number in range(GATEWAYS)
        )
        self.assertEqual(store_readers.READER_COUNT, len(readers))

    def test_a_single_zone_has_all_readers(self) -> None:
        readers = store_readers.choose_readers(
            make_candidate(number, zone="z1") for number in range(GATEWAYS)
        )
        self.assertEqual(store_readers.READER_COUNT, len(readers))

    def test_the_loss_of_a_reader_moves_no_other_reader_in_its_zones(self) -> None:
        candidates = [make_candidate(number) for number in range(GATEWAYS)]
        readers = store_readers.choose_readers(candidates)
        lost = min(readers)
        left = store_readers.choose_readers(item for item in candidates if item.instance_id != lost)
        self.assertEqual(readers - {lost}, readers & left)


class CountingStore(builders.UnusedStore):
    """A store with endpoints that change; each waiting watch ends with the next change."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 100
        self.era = 0
        self.changes: list[tuple[int, sources.StoredObject]] = []
        self.changed = asyncio.Condition()

    async def list_objects(self, kind: sources.ObjectKind) -> sources.Listing:
        self.calls += 1
        latest = {item.name: item for _, item in self.changes}
        return sources.Listing(
            tuple(item for item in latest.values() if not item.removed),
            self.revision,
            True,
            self.era,
        )

    async def watch(
        self, kind: sources.ObjectKind, revision: int, wait_seconds: float
    ) -> sources.Listing:
        self.calls += 1
        async with self.changed:
            await self.changed.wait_for(lambda: self.revision > revision)
        items = tuple(item for number, item in self.changes if number > revision)
        return sources.Listing(items, self.revision, False, self.era)

    async def put(self, name: str, endpoint: gateway.Endpoint | None) -> None:
        async with self.changed:
            self.revision += 1
            item = sources.StoredObject(name, endpoint, endpoint is None)
            self.changes.append((self.revision, item))
            self.changed.notify_all()


class Network:
    """Delivers datagrams between gateways, except those that are lost or of cut gateways."""

    def __init__(self, loss: float = 0.0) -> None:
        self.by_ip: dict[str, peering.Peering] = {}
        self.cut_ips: set[str] = set()
        self.random = random.Random(7)
        self.loss = loss
        self.sent: collections.Counter[str] = collections.Counter()

    def send(self, own_ip: str, data: bytes, ip: str) -> None:
        self.sent[own_ip] += 1
        if {own_ip, ip} & self.cut_ips or self.random.random() < self.loss:
            return
        self.by_ip[ip].datagram_received(data, (own_ip, 1))


class NetworkTransport:
    """The transport of one gateway in a ``Network``."""

    def __init__(self, network: Network, own_ip: str) -> None:
        self.network = network
        self.own_ip = own_ip

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.network.send(self.own_ip, data, address[0])


class FollowingGateway:
    """One gateway's followers, its peering and what it knows of the store."""

    def __init__(self, number: int, store: CountingStore, network: Network) -> None:
        self.ip = f"127.0.0.{number + 1}"
        settings = builders.make_settings(
            instance_id=f"g{number}", ip=self.ip, availability_zone=ZONES[number % 3]
        )
        self.fleet = builders.make_fleet(now=clocks.boot_time())
        self.fleet.apply_settings(settings)
        self.mismatches = 0
        self.peering = peering.Peering(self.fleet, store, self.count_mismatch, self.set_reads_store)
        self.peering.transport = NetworkTransport(network, self.ip)  # type: ignore[assignment]
        network.by_ip[self.ip] = self.peering
        self.follower = followers.Follower(
            store, self.fleet, sources.ObjectKind.ENDPOINTS, self.peering.relay_changes
        )

    def set_reads_store(self, reads_store: bool) -> None:
        self.follower.set_active(reads_store)

    def count_mismatch(self) -> None:
        self.mismatches += 1

    @property
    def endpoint_ids(self) -> set[str]:
        return set(self.fleet.table.endpoints)


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """Plays a fleet of gateways with one clock and datagrams that arrive at once or never."""

    async def asyncSetUp(self) -> None:
        self.now = 100.0
        patcher = unittest.mock.patch.object(clocks, "boot_time", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        pause = unittest.mock.patch.object(followers, "WATCH_PAUSE_SECONDS", 0.0)
        pause.start()
        self.addCleanup(pause.stop)
        self.store = CountingStore()
        self.network = Network()
        self.gateways = [
            FollowingGateway(number, self.store, self.network) for number in range(GATEWAYS)
        ]
        for first in self.gateways:
            for second in self.gateways:
                first.peering.add_peer(second.fleet.settings.instance_id, second.ip)
        self.tasks = [asyncio.ensure_future(item.follower.run()) for item in self.gateways]
        await self.pass_time(2)
        await self.change("e0", builders.make_endpoint("e0"))
        await self.pass_time(1)
        self.store.calls = 0

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def settle(self) -> None:
        for _ in range(20):
            await asyncio.sleep(0)

    async def pass_time(self, rounds: int) -> None:
        for _ in range(rounds):
            self.now += 0.4
            for item in self.gateways:
                item.fleet.pauses.tick(self.now)
                if item.ip not in self.network.cut_ips:
                    item.peering.update_liveness()
                    item.peering.send_reports()
            await self.settle()

    async def change(self, name: str, endpoint: gateway.Endpoint | None) -> None:
        await self.store.put(name, endpoint)
        await self.settle()

    def readers(self) -> list[FollowingGateway]:
        return [item for item in self.gateways if item.fleet.reads_store]


class RelayTest(RelayCase):
    async def test_a_release_costs_calls_of_the_readers_only(self) -> None:
        for number in range(20):
            await self.change(f"e{number}", None)
            await self.change(f"n{number}", builders.make_endpoint(f"n{number}"))
        expected = {f"n{number}" for number in range(20)}
        self.assertEqual([expected] * GATEWAYS, [item.endpoint_ids for item in self.gateways])
        self.assertEqual(store_readers.READER_COUNT, len(self.readers()))
        self.assertLessEqual(self.store.calls, 40 * store_readers.READER_COUNT)

    async def test_changes_arrive_although_a_reader_is_cut_off(self) -> None:
        self.network.cut_ips.add(self.readers()[0].ip)
        await self.change("n1", builders.make_endpoint("n1"))
        reached = [item for item in self.gateways if item.ip not in self.network.cut_ips]
        self.assertTrue(all("n1" in item.endpoint_ids for item in reached))

    async def test_other_gateways_take_over_when_all_readers_are_lost(self) -> None:
        lost = self.readers()
        self.network.cut_ips.update(item.ip for item in lost)
        await self.pass_time(4)
        await self.change("n1", builders.make_endpoint("n1"))
        reached = [item for item in self.gateways if item not in lost]
        self.assertTrue(all("n1" in item.endpoint_ids for item in reached))
        self.assertEqual(3, sum(item.fleet.reads_store for item in reached))

    async def test_a_reader_that_does_not_reach_the_store_is_replaced(self) -> None:
        failing = self.readers()[0]
        failing.fleet.store_failed_at = self.now
        await self.pass_time(2)
        self.assertFalse(failing.fleet.reads_store)
        self.assertEqual(3, len(self.readers()))

    async def test_a_gateway_that_missed_changes_notices_it(self) -> None:
        behind = next(item for item in self.gateways if not item.fleet.reads_store)
        self.network.cut_ips.add(behind.ip)
        await self.change("n1", builders.make_endpoint("n1"))
        self.network.cut_ips.clear()
        await self.change("n2", builders.make_endpoint("n2"))
        self.assertNotIn("n2", behind.endpoint_ids)
        await self.pass_time(4)
        behind.peering.compare_listings()
        self.assertEqual(1, behind.mismatches)

    async def test_it_notices_it_although_endpoints_come_and_go_all_the_time(self) -> None:
        # The readers' listings change more often than LISTING_MISMATCH_SECONDS.
        behind = next(item for item in self.gateways if not item.fleet.reads_store)
        self.network.cut_ips.add(behind.ip)
        await self.change("n0", builders.make_endpoint("n0"))
        self.network.cut_ips.clear()
        for number in range(1, 6):
            await self.change(f"n{number}", builders.make_endpoint(f"n{number}"))
            await self.pass_time(1)
            behind.peering.compare_listings()
        self.assertGreaterEqual(behind.mismatches, 1)
        leading = behind.peering.leading_peers()
        readers = {item.fleet.settings.instance_id for item in self.readers()}
        self.assertTrue(leading)
        self.assertLessEqual({peer.instance_id for peer in leading}, readers)
        # With a snapshot of one of these it has all changes, and the next ones follow on it.
        reader = next(item for item in self.readers())
        snapshot = snapshots.build_snapshot(reader.fleet)
        assert snapshot is not None
        snapshots.apply_snapshot(behind.fleet, snapshot, self.now, "g1")
        self.assertEqual([], behind.peering.leading_peers())
        await self.change("n6", builders.make_endpoint("n6"))
        self.assertIn("n6", behind.endpoint_ids)
        self.assertEqual([], behind.peering.leading_peers())

    async def test_a_lost_last_change_is_found_by_the_digest_of_the_readers(self) -> None:
        behind = next(item for item in self.gateways if not item.fleet.reads_store)
        self.network.cut_ips.add(behind.ip)
        await self.change("n1", builders.make_endpoint("n1"))
        self.network.cut_ips.clear()
        await self.pass_time(4)
        behind.peering.compare_listings()
        self.assertEqual(1, behind.mismatches)

    async def test_an_older_snapshot_does_not_replace_a_newer_listing(self) -> None:
        reader = self.readers()[0]
        old = snapshots.build_snapshot(reader.fleet)
        assert old is not None
        other = next(item for item in self.gateways if not item.fleet.reads_store)
        await self.change("n1", builders.make_endpoint("n1"))
        snapshots.apply_snapshot(other.fleet, old, self.now, "g1")
        self.assertIn("n1", other.endpoint_ids)

    async def test_reordered_changes_do_not_bring_back_a_removed_endpoint(self) -> None:
        other = next(item for item in self.gateways if not item.fleet.reads_store)
        kind = sources.ObjectKind.ENDPOINTS
        before = other.fleet.revisions[kind].revision
        added: typing.Any = sources.StoredObject("n1", builders.make_endpoint("n1"))
        await self.change("n1", builders.make_endpoint("n1"))
        await self.change("n1", None)
        self.assertTrue(other.fleet.apply_changes(kind, before, before + 1, [added]))
        self.assertNotIn("n1", other.endpoint_ids)

    async def test_a_snapshot_is_applied_although_its_evacuations_are_older(self) -> None:
        # A gateway that has just started listed the evacuations after the readers did.
        other = next(item for item in self.gateways if not item.fleet.reads_store)
        other.fleet.revisions[sources.ObjectKind.EVACUATIONS] = sources.Position(0, 500)
        reader = self.readers()[0]
        reader.fleet.revisions[sources.ObjectKind.EVACUATIONS] = sources.Position(0, 100)
        self.network.cut_ips.add(other.ip)
        await self.change("n1", builders.make_endpoint("n1"))
        snapshot = snapshots.build_snapshot(reader.fleet)
        assert snapshot is not None
        snapshots.apply_snapshot(other.fleet, snapshot, self.now, "g1")
        self.assertIn("n1", other.endpoint_ids)

    async def test_changes_are_applied_after_the_readers_have_listed_anew(self) -> None:
        # Other kinds of object have moved the store's revision on, and its history is gone.
        self.store.revision += 50
        for item in self.readers():
            item.follower.relist_requested.set()
        await self.settle()
        await self.change("n1", builders.make_endpoint("n1"))
        self.assertTrue(all("n1" in item.endpoint_ids for item in self.gateways))

    async def test_changes_of_a_kind_that_is_not_listed_are_ignored(self) -> None:
        # Malformed: nobody relays the configuration itself.
        other = next(item for item in self.gateways if not item.fleet.reads_store)
        reader = self.readers()[0].peering
        other.fleet.revisions[sources.ObjectKind.CONFIGURATION] = sources.Position(0, 1)
        reader.send_to_live_peers(
            gateway_peers.StoreChanges(
                instance_id=reader.fleet.settings.instance_id,
                incarnation=reader.incarnation,
                kind=sources.ObjectKind.CONFIGURATION.value,
                from_revision=1,
                to_revision=2,
                items=[("z1", False, None)],
            )
        )
        self.assertEqual(set(), other.fleet.table.evacuated_zones)

    async def test_endpoints_that_the_readers_keep_after_an_outage_are_kept_by_all(self) -> None:
        """Guards against endpoints that are given up before the store lists them again."""
        for item in self.readers():
            item.fleet.table.start_relist_grace(self.now)
        await self.change("e0", None)
        self.assertEqual([{"e0"}] * GATEWAYS, [item.endpoint_ids for item in self.gateways])
        self.now += 1.0
        await self.change("e0", builders.make_endpoint("e0"))
        self.now += 2.0
        for item in self.gateways:
            item.fleet.drop_expired_endpoints()
        self.assertEqual([{"e0"}] * GATEWAYS, [item.endpoint_ids for item in self.gateways])
        await self.change("e0", None)
        self.assertEqual([set()] * GATEWAYS, [item.endpoint_ids for item in self.gateways])

    async def test_a_reader_that_is_new_after_an_outage_keeps_missing_endpoints(self) -> None:
        """Guards against a whole fleet that gives up its endpoints when a reader takes over."""
        readers = self.readers()
        for item in self.gateways:
            item.fleet.configuration_proven_at = self.now
        for number, item in enumerate(self.gateways):
            if item in readers:
                self.tasks[number].cancel()
        await self.pass_time(8)
        for item in readers:
            item.fleet.store_failed_at = self.now
        await self.change("e0", None)
        await self.pass_time(2)
        self.assertFalse(any(item.fleet.reads_store for item in readers))
        self.assertEqual([{"e0"}] * GATEWAYS, [item.endpoint_ids for item in self.gateways])
        self.assertTrue(any(item.fleet.table.missing for item in self.readers()))

    async def test_a_reader_that_is_new_without_an_outage_keeps_no_missing_endpoint(self) -> None:
        """Guards against requests to endpoints that have left."""
        await self.pass_time(10)
        for item in self.gateways:
            item.fleet.configuration_proven_at = self.now
        for item in self.readers():
            item.fleet.store_failed_at = self.now
        await self.pass_time(2)
        await self.change("e0", None)
        self.assertEqual([set()] * GATEWAYS, [item.endpoint_ids for item in self.gateways])

    async def test_listings_that_changes_of_peers_overtake_are_not_repeated_at_once(self) -> None:
        # Guards against calls without a pause to a slow store while many endpoints change.
        kind = sources.ObjectKind.ENDPOINTS
        fleet = builders.make_fleet(now=clocks.boot_time())
        fleet.revisions[kind] = sources.Position(0, 1)
        store = CountingStore()
        store.revision = 0

        async def list_late(_: sources.ObjectKind) -> sources.Listing:
            store.calls += 1
            fleet.revisions[kind] = sources.Position(0, fleet.revisions[kind].revision + 1)
            await asyncio.sleep(0.001)
            return sources.Listing((), 0, True)

        follower = followers.Follower(store, fleet, kind)
        follower.relist_requested.set()
        with unittest.mock.patch.object(store, "list_objects", list_late):
            running = asyncio.ensure_future(follower.run())
            await asyncio.wait({running}, timeout=0.5)
        running.cancel()
        self.assertLess(store.calls, 6)

    async def test_an_answer_of_the_store_does_not_replace_newer_objects_of_a_peer(self) -> None:
        """Guards against endpoints that are given up, or come back, when an answer is late."""
        released = asyncio.Event()
        originals = self.store.list_objects, self.store.watch

        async def list_late(kind: sources.ObjectKind) -> sources.Listing:
            listing = await originals[0](kind)
            await released.wait()
            return listing

        async def watch_late(
            kind: sources.ObjectKind, revision: int, wait_seconds: float
        ) -> sources.Listing:
            listing = await originals[1](kind, revision, wait_seconds)
            await released.wait()
            return listing

        lists, watches = [item for item in self.gateways if not item.fleet.reads_store][:2]
        with (
            unittest.mock.patch.object(self.store, "list_objects", list_late),
            unittest.mock.patch.object(self.store, "watch", watch_late),
        ):
            lists.follower.relist_requested.set()
            # This one reads the store until its watch ends.
            watches.follower.set_active(True)
            await self.settle()
            watches.follower.set_active(False)
        await self.change("e1", builders.make_endpoint("e1"))
        await self.change("e1", None)
        await self.change("n1", builders.make_endpoint("n1"))
        for item in (lists, watches):
            self.assertEqual({"e0", "n1"}, item.endpoint_ids)
        released.set()
        await self.settle()
        for item in (lists, watches):
            self.assertEqual({"e0", "n1"}, item.endpoint_ids)
        await self.change("n2", builders.make_endpoint("n2"))
        self.assertEqual([{"e0", "n1", "n2"}] * GATEWAYS, [i.endpoint_ids for i in self.gateways])
