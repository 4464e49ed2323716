"""Guards against what a store lists after it was restored from a copy some seconds old.

The failures: an endpoint that has left, or a configuration with a revoked key, comes back; an
evacuation ends; gateways that learn of the new era at different times undo each other's changes;
or keyed requests are refused although nothing has changed.
"""

import asyncio
import unittest
import unittest.mock

from masticward import errors
from masticward.gateway import fleet as fleet_module
from masticward.gateway import followers, peering, quarantine_keeper, snapshots, sources
from masticward.models import gateway
from masticward.protocol import gateway_peers, gateway_snapshots
from masticward.state import store_restore
from masticward.utils import clocks
from tests.lib import gateway_builders as builders
from tests.unit import test_frozen_reader, test_store_readers

ENDPOINTS = sources.ObjectKind.ENDPOINTS
EVACUATIONS = sources.ObjectKind.EVACUATIONS


def stored(*endpoints: gateway.Endpoint) -> tuple[sources.StoredObject, ...]:
    return tuple(sources.StoredObject(item.id, item) for item in endpoints)


class EraCase(test_frozen_reader.ClockCase):
    """A gateway that has listed the store in era 0, at revision 80."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = builders.make_fleet(
            *(builders.make_endpoint(name) for name in ("drains", "leaves", "stays")), now=self.now
        )
        self.fleet.store_era = 0
        for kind in sources.LISTED_KINDS:
            self.fleet.revisions[kind] = sources.Position(0, 80)
        self.fleet.apply_endpoints(
            [("drains", builders.make_endpoint("drains", draining=True)), ("leaves", None)], False
        )
        self.source = builders.UnusedStore()
        self.followers_by_kind = followers.create_followers(self.source, self.fleet)
        self.peering = peering.Peering(self.fleet, self.source)

    def usable(self) -> set[str]:
        return {item.id for item in self.fleet.table.usable("llm", self.now)}

    def list_endpoints(self, *endpoints: gateway.Endpoint, era: int = 1) -> None:
        listing = sources.Listing(stored(*endpoints), 60, True, era)
        self.followers_by_kind[ENDPOINTS].apply_listing(listing, self.now)

    def list_copy(self) -> None:
        """The copy is from before the departures, and lacks an endpoint that has just started."""
        self.list_endpoints(
            *(builders.make_endpoint(name) for name in ("drains", "leaves", "stays"))
        )

    def list_zones(self, *zones: str) -> None:
        items = tuple(sources.StoredObject(zone, zone) for zone in zones)
        self.followers_by_kind[EVACUATIONS].apply_listing(
            sources.Listing(items, 60, True, 1), self.now
        )

    def relay(self, from_revision: int, era: int, *items: sources.StoredObject) -> bool:
        return self.fleet.apply_changes(
            ENDPOINTS, from_revision, from_revision + 1, list(items), era
        )


class EndpointsTest(EraCase):
    def test_departures_hold_until_the_entry_is_written_anew(self) -> None:
        self.list_copy()
        self.assertEqual({"stays"}, self.usable())
        self.assertTrue(self.fleet.table.endpoints["drains"].draining)
        self.relay(60, 1, *stored(builders.make_endpoint("leaves")))
        self.assertEqual({"stays", "leaves"}, self.usable())
        # A later listing of the era does not undo it.
        self.list_copy()
        self.assertEqual({"stays", "leaves"}, self.usable())

    def test_another_incarnation_is_accepted(self) -> None:
        self.list_endpoints(
            builders.make_endpoint("drains", born=2), builders.make_endpoint("leaves", born=2)
        )
        self.assertEqual({"drains", "leaves", "stays"}, self.usable())

    def start_anew(self) -> None:
        """Let "stays" have started for the third time before the store was restored."""
        self.list_endpoints(builders.make_endpoint("stays", born=3), era=2)
        self.fleet.learn_era(3)

    def listed(self) -> dict[str, int]:
        return {item.id: item.born for item in self.fleet.table.endpoints.values()}

    def test_an_entry_of_an_earlier_start_does_not_replace_a_later_one(self) -> None:
        # The later one may be cold, which the copy doesn't know.
        self.start_anew()
        for draining in (False, True):
            earlier = builders.make_endpoint("stays", born=2, draining=draining)
            self.list_endpoints(earlier, era=3)
            self.assertEqual({"stays": 3}, self.listed())
            self.assertEqual({"stays"}, self.usable())
        self.list_endpoints(builders.make_endpoint("stays", born=4), era=3)
        self.assertEqual({"stays": 4}, self.listed())

    def test_an_earlier_start_counts_once_it_is_written_in_the_new_era(self) -> None:
        # The clock of its machine was set back.
        self.start_anew()
        self.list_endpoints(builders.make_endpoint("stays", born=2), era=3)
        self.relay(60, 3, *stored(builders.make_endpoint("stays", born=2)))
        self.assertEqual({"stays": 2}, self.listed())

    def test_an_earlier_start_that_does_not_expire_is_accepted_by_a_further_listing(self) -> None:
        self.start_anew()
        self.list_endpoints(builders.make_endpoint("stays", born=2), era=3)
        self.assertEqual(self.now + store_restore.DOUBT_SECONDS, self.fleet.check_at(ENDPOINTS))
        self.now += store_restore.DOUBT_SECONDS
        self.list_endpoints(builders.make_endpoint("stays", born=2), era=3)
        self.assertEqual({"stays": 2}, self.listed())

    def test_a_gateway_that_starts_learns_of_later_starts_from_a_peer(self) -> None:
        self.list_endpoints(builders.make_endpoint("stays", born=2))
        table = self.fleet.table
        later = builders.make_endpoint("stays", born=3)
        table.adopt_doubts({}, store_restore.DOUBT_SECONDS, self.now)
        self.assertEqual(1, len(table.adopt_starts([later], self.now)))
        self.assertEqual({"stays": 3}, self.listed())
        self.list_endpoints(builders.make_endpoint("stays", born=2))
        self.assertEqual({"stays": 3}, self.listed())

    def test_an_entry_that_does_not_expire_is_accepted_by_a_further_listing(self) -> None:
        self.list_copy()
        self.assertEqual(self.now + store_restore.DOUBT_SECONDS, self.fleet.check_at(ENDPOINTS))
        self.now += store_restore.DOUBT_SECONDS
        self.assertTrue(self.followers_by_kind[ENDPOINTS].must_list(sources.Position(1, 60)))
        self.list_copy()
        self.assertEqual({"drains", "leaves", "stays"}, self.usable())
        self.assertFalse(self.followers_by_kind[ENDPOINTS].must_list(sources.Position(1, 60)))

    def test_a_second_restoration_withholds_them_again(self) -> None:
        self.list_copy()
        self.list_endpoints(builders.make_endpoint("leaves"), era=2)
        self.assertEqual({"stays"}, self.usable())

    def test_endpoints_that_the_copy_lacks_are_kept_for_the_grace_period(self) -> None:
        self.list_endpoints(builders.make_endpoint("other"))
        self.assertEqual({"stays", "other"}, self.usable())
        self.now += 2.1
        self.assertEqual({"other"}, self.usable())

    def test_relayed_changes_of_both_eras_cross(self) -> None:
        """Also: a late departure of the former era counts, a late arrival does not."""
        added = stored(builders.make_endpoint("new"))
        self.assertFalse(self.relay(60, 1, *added))
        self.assertNotIn("new", self.usable())
        self.list_copy()
        self.assertTrue(self.relay(85, 0, *stored(builders.make_endpoint("lost"))))
        self.assertTrue(self.relay(86, 0, sources.StoredObject("stays", None, removed=True)))
        self.assertEqual(set(), self.usable())
        self.assertEqual(sources.Position(1, 60), self.fleet.revisions[ENDPOINTS])
        # Written anew, a later departure of the former era says nothing of it.
        self.relay(60, 1, *stored(builders.make_endpoint("stays")))
        self.relay(87, 0, sources.StoredObject("stays", None, removed=True))
        self.assertEqual({"stays"}, self.usable())


class EvacuationsTest(EraCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.apply_evacuations([("z1", True)], False)

    def test_it_holds_until_the_listing_has_been_stable(self) -> None:
        self.list_zones()
        self.now += 1.0
        self.list_zones("z2")
        self.now += 1.9
        self.list_zones("z2")
        self.assertEqual({"z1", "z2"}, self.fleet.table.evacuated_zones)
        self.now += 0.2
        self.assertTrue(self.followers_by_kind[EVACUATIONS].must_list(sources.Position(1, 60)))
        self.list_zones("z2")
        self.assertEqual({"z2"}, self.fleet.table.evacuated_zones)

    def test_an_evacuation_that_is_ended_in_the_new_era_ends_at_once(self) -> None:
        self.list_zones("z1")
        self.fleet.apply_evacuations([("z1", False)], False)
        self.assertEqual(set(), self.fleet.table.evacuated_zones)

    def test_one_that_began_in_the_former_era_is_relayed_late(self) -> None:
        self.list_zones()
        item = sources.StoredObject("z3", "z3")
        self.fleet.apply_changes(EVACUATIONS, 80, 81, [item], 0)
        self.assertEqual({"z1", "z3"}, self.fleet.table.evacuated_zones)

    def test_in_an_era_it_ends_with_the_listing_that_lacks_it(self) -> None:
        self.fleet.revisions[EVACUATIONS] = sources.Position(1, 50)
        self.list_zones()
        self.assertEqual(set(), self.fleet.table.evacuated_zones)


class ConfigurationTest(EraCase):
    """Version 7 is in force; the restored store lists version 5."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet.apply_configuration(builders.make_configuration(7), self.now, "test")
        self.fleet.learn_era(1)

    def list_version(self, version: int, era: int = 1) -> None:
        self.now += 1.0
        items = (sources.StoredObject("main", builders.make_configuration(version)),)
        self.followers_by_kind[sources.ObjectKind.CONFIGURATION].apply_configuration_listing(
            sources.Listing(items, 60, True, era), self.now
        )
        self.assertEqual(max(7, version), self.fleet.configuration_version)

    def is_proven(self) -> bool:
        return self.fleet.configuration_proven_at == self.now

    def test_an_older_configuration_proves_that_none_is_newer(self) -> None:
        self.list_version(5)
        self.assertTrue(self.is_proven())
        self.list_version(7)
        self.assertTrue(self.is_proven())
        # It was listed in this era: an operator has put an older one there since.
        self.list_version(5)
        self.assertFalse(self.is_proven())

    def test_an_answer_of_the_former_era_proves_nothing(self) -> None:
        self.list_version(7, era=0)
        self.assertFalse(self.is_proven())

    def test_no_proof_while_a_peer_has_a_newer_one(self) -> None:
        self.fleet.newest_peer_version = 8
        self.list_version(5)
        self.assertFalse(self.is_proven())

    def test_a_watch_without_changes_is_no_proof_while_a_peer_had_a_newer_one(self) -> None:
        """The newer one, which may have removed a key, is lost with the peer that had it."""
        follower = self.followers_by_kind[sources.ObjectKind.CONFIGURATION]
        self.fleet.newest_peer_version = 8
        self.list_version(7)
        self.assertFalse(self.is_proven())
        self.now += 1.0
        follower.apply_configuration_listing(sources.Listing((), 61, False, 1), self.now)
        self.assertFalse(self.is_proven())
        self.list_version(8)
        self.now += 1.0
        follower.apply_configuration_listing(sources.Listing((), 62, False, 1), self.now)
        self.assertTrue(self.is_proven())

    def test_no_proof_for_a_gateway_that_was_cut_off_from_peers_and_store(self) -> None:
        """Its peers may have put a newer one in force that the store has lost."""
        self.fleet.known_gateway_count = 3
        self.list_version(5)
        self.assertTrue(self.is_proven())
        self.now += 6.0
        self.list_version(5)
        self.assertFalse(self.is_proven())
        self.fleet.newest_peer_version = 7
        self.fleet.live_gateways = ["g1", "g2"]
        self.list_version(5)
        self.assertTrue(self.is_proven())


class StartTest(unittest.IsolatedAsyncioTestCase):
    """A gateway starts while the restored store lists version 5; its peer has 7 in force."""

    async def asyncSetUp(self) -> None:
        self.fleet = fleet_module.FleetState(builders.make_settings(seed_ips=("127.0.0.2",)))
        self.peering = peering.Peering(self.fleet, builders.UnusedStore())
        self.peer = builders.make_fleet(builders.make_endpoint("e1"), now=clocks.boot_time())
        self.peer.apply_configuration(builders.make_configuration(7), clocks.boot_time(), "test")
        self.follower = followers.Follower(
            builders.UnusedStore(), self.fleet, sources.ObjectKind.CONFIGURATION
        )
        item = sources.StoredObject("main", builders.make_configuration(5))
        self.listing = sources.Listing((item,), 60, True, 1)

    def hear_peer(self, version: int) -> None:
        report = peering.Peering(self.peer, builders.UnusedStore()).build_report()
        report = gateway_peers.PeerReport(
            **{
                name: getattr(report, name)
                for name in report.__struct_fields__
                if name not in ("instance_id", "ip", "configuration_version")
            },
            instance_id="g2",
            ip="127.0.0.2",
            configuration_version=version,
        )
        message = gateway_peers.PeerMessage(
            clocks.boot_time(), 0.0, 0, gateway_peers.encode_content(report)
        )
        self.peering.datagram_received(gateway_peers.encode(message), ("127.0.0.2", 1))
        self.peering.update_liveness()

    async def waits(self) -> bool:
        waiting = asyncio.ensure_future(self.follower.wait_for_peers(self.listing))
        await asyncio.wait({waiting}, timeout=0.2)
        return waiting.cancel()

    async def test_the_newest_version_of_the_peers_is_put_in_force(self) -> None:
        self.assertTrue(await self.waits())
        self.hear_peer(7)
        self.fleet.started_at -= 60.0
        self.assertTrue(await self.waits())
        snapshot = snapshots.build_snapshot(self.peer)
        assert snapshot is not None
        snapshots.apply_snapshot(self.fleet, snapshot, clocks.boot_time(), "g2")
        self.assertFalse(await self.waits())
        self.follower.apply_listing(self.listing, clocks.boot_time())
        self.assertEqual(7, self.fleet.configuration_version)

    async def test_the_snapshot_is_fetched_as_soon_as_a_peer_is_heard(self) -> None:
        fetcher = snapshots.SnapshotFetcher(
            self.fleet, self.peering, followers.create_followers(builders.UnusedStore(), self.fleet)
        )
        self.fleet.learn_era(1)
        self.hear_peer(7)
        running = asyncio.ensure_future(fetcher.run())
        with unittest.mock.patch.object(
            snapshots, "fetch_snapshot", return_value=snapshots.build_snapshot(self.peer)
        ):
            await asyncio.wait({running}, timeout=2.0 * snapshots.POLL_SECONDS)
        running.cancel()
        self.assertEqual(7, self.fleet.configuration_version)

    async def test_alone_it_serves_what_the_store_lists(self) -> None:
        self.fleet.started_at -= fleet_module.PEERS_FIRST_SECONDS
        self.assertFalse(await self.waits())
        other = fleet_module.FleetState(builders.make_settings())
        self.assertFalse(other.awaits_peers(5, 1, other.started_at))
        # Without eras, nothing is waited for.
        self.assertFalse(self.fleet.awaits_peers(5, 0, self.fleet.started_at))


class SnapshotTest(EraCase):
    """Guards against a gateway that is cut off from the store, or starts, during the drill."""

    def snapshot(self, **changes: object) -> gateway_snapshots.Snapshot:
        """Return the snapshot of a peer that has listed the copy in the new era."""
        peer = builders.make_fleet(builders.make_endpoint("stays"), now=self.now)
        for kind in sources.LISTED_KINDS:
            peer.revisions[kind] = sources.Position(1, 60)
        peer.learn_era(1)
        snapshot = snapshots.build_snapshot(peer)
        assert snapshot is not None
        return gateway_snapshots.decode(
            gateway_snapshots.encode(
                gateway_snapshots.Snapshot(
                    **{
                        **{name: getattr(snapshot, name) for name in snapshot.__struct_fields__},
                        **changes,
                    }
                )
            )
        )

    def test_one_of_a_later_era_replaces_a_higher_revision_and_none_the_other_way(self) -> None:
        own = snapshots.build_snapshot(self.fleet)
        assert own is not None
        endpoints = [builders.make_endpoint(name) for name in ("leaves", "stays", "new")]
        snapshots.apply_snapshot(self.fleet, self.snapshot(endpoints=endpoints), self.now, "g2")
        self.assertEqual({"stays", "new"}, self.usable())
        self.assertEqual(1, self.fleet.known_era)
        snapshots.apply_snapshot(self.fleet, own, self.now, "g3")
        self.assertEqual({"stays", "new"}, self.usable())

    def test_a_gateway_that_starts_takes_over_what_its_peers_hold(self) -> None:
        starting = fleet_module.FleetState(builders.make_settings())
        starting.learn_era(1)
        follower = followers.Follower(self.source, starting, ENDPOINTS)
        copy = stored(builders.make_endpoint("leaves"), builders.make_endpoint("stays"))
        follower.apply_listing(sources.Listing(copy, 61, True, 1), self.now)
        snapshot = self.snapshot(doubted={"leaves": 0}, doubt_seconds=3.0, held_zones={"z2": 1.0})
        snapshots.apply_snapshot(starting, snapshot, self.now, "g2")
        self.assertEqual({"stays"}, set(starting.table.endpoints))
        self.assertEqual({"z2"}, starting.table.evacuated_zones)

    def test_a_gateway_that_starts_learns_departures_from_a_peer_in_the_former_era(self) -> None:
        """Either of the two listings may come first."""
        self.fleet.apply_evacuations([("z2", True)], False)
        former = snapshots.build_snapshot(self.fleet)
        assert former is not None
        copy = [builders.make_endpoint(name) for name in ("drains", "leaves", "stays")]
        for listed_first in (True, False):
            starting = fleet_module.FleetState(builders.make_settings())
            by_kind = followers.create_followers(self.source, starting)

            def list_copy(by_kind: dict[sources.ObjectKind, followers.Follower] = by_kind) -> None:
                for kind, items in ((ENDPOINTS, stored(*copy)), (EVACUATIONS, ())):
                    by_kind[kind].apply_listing(sources.Listing(items, 61, True, 1), self.now)

            with self.subTest(listed_first=listed_first):
                if listed_first:
                    list_copy()
                snapshots.apply_snapshot(starting, former, self.now, "g2")
                if not listed_first:
                    list_copy()
                usable = [item.id for item in starting.table.usable("llm", self.now)]
                self.assertEqual(["stays"], usable)
                self.assertEqual({"z2"}, starting.table.evacuated_zones)

    def test_a_peer_without_rollouts_is_not_taken_for_one_of_the_former_era(self) -> None:
        """Else an evacuation that was taken back in this era comes into force again."""
        starting = fleet_module.FleetState(builders.make_settings())
        starting.learn_era(1)
        by_kind = followers.create_followers(self.source, starting)
        for kind in (ENDPOINTS, EVACUATIONS):
            by_kind[kind].apply_listing(sources.Listing((), 61, True, 1), self.now)
        positions = {kind.value: 60 for kind in (ENDPOINTS, EVACUATIONS)}
        eras = dict.fromkeys(positions, 1)
        snapshot = self.snapshot(revisions=positions, eras=eras, out_zones=["z2"])
        snapshots.apply_snapshot(starting, snapshot, self.now, "g2")
        self.assertEqual(set(), starting.table.evacuated_zones)

    def test_a_peer_that_still_lists_the_former_era_is_not_followed(self) -> None:
        """Guards against listings that are repeated while a peer is cut off from the store."""
        peer = self.peering.put_peer("g2", "127.0.0.2")
        peer.live = True
        peer.listing_digest = 5
        self.now += 2.0 * peering.LISTING_MISMATCH_SECONDS
        self.assertEqual([peer], self.peering.differing_peers())
        for kind in sources.LISTED_KINDS:
            self.fleet.revisions[kind] = sources.Position(1, 60)
        self.assertEqual([], self.peering.differing_peers())
        self.peering.apply_eras(peer, 1, 1)
        self.assertEqual([peer], self.peering.differing_peers())

    def test_a_gateway_of_an_older_version_states_no_era(self) -> None:
        snapshot = self.snapshot(eras={}, store_era=0)
        snapshots.apply_snapshot(self.fleet, snapshot, self.now, "g2")
        self.assertEqual(0, self.fleet.known_era)
        self.assertEqual(sources.Position(0, 80), self.fleet.revisions[ENDPOINTS])


class RestorableStore(test_store_readers.CountingStore):
    """A store of endpoints that can be restored; some gateways may be cut off from it."""

    async def list_objects(self, kind: sources.ObjectKind) -> sources.Listing:
        if kind is ENDPOINTS:
            return await super().list_objects(kind)
        return sources.Listing((), self.revision, True, self.era)

    async def restore(self, revision: int) -> None:
        async with self.changed:
            self.changes = [item for item in self.changes if item[0] <= revision]
            self.revision = revision
            self.era += 1


class LargeFleetTest(test_store_readers.RelayCase):
    """Three of 30 gateways read the store and relay its changes."""

    async def asyncSetUp(self) -> None:
        with unittest.mock.patch.object(test_store_readers, "CountingStore", RestorableStore):
            await super().asyncSetUp()
        for item in self.gateways:
            item.fleet.store_era = 0
            item.fleet.revisions[EVACUATIONS] = sources.Position(0, 100)

    async def list_zones(self) -> None:
        for item in self.readers():
            listing = await self.store.list_objects(EVACUATIONS)
            followers.Follower(self.store, item.fleet, EVACUATIONS).apply_listing(listing, self.now)

    async def fetch_snapshots(self) -> int:
        """Let all gateways that are behind fetch a snapshot; return how many are."""
        by_ip = {item.ip: item.fleet for item in self.gateways}
        fetched = 0

        async def fetch(address: tuple[str, int]) -> gateway_snapshots.Snapshot:
            if address[0] in self.network.cut_ips:
                raise errors.PeerSnapshotError("cut off")
            snapshot = snapshots.build_snapshot(by_ip[address[0]])
            assert snapshot is not None
            return snapshot

        with unittest.mock.patch.object(snapshots, "fetch_snapshot", fetch):
            for item in self.gateways:
                kinds = dict.fromkeys(sources.LISTED_KINDS, item.follower)
                fetcher = snapshots.SnapshotFetcher(item.fleet, item.peering, kinds)
                if item.ip not in self.network.cut_ips and fetcher.is_behind():
                    await fetcher.catch_up()
                    fetched += 1
        return fetched

    async def test_one_reader_sees_the_new_era_first(self) -> None:
        """Guards against gateways that stay in the former era, or list the store themselves."""
        assert isinstance(self.store, RestorableStore)
        await self.change("e1", builders.make_endpoint("e1"))
        copy = self.store.revision
        await self.change("e1", None)
        await self.change("e2", builders.make_endpoint("e2"))
        await self.store.restore(copy)
        self.store.calls = 0
        first = self.readers()[0]
        first.fleet.learn_era(1)
        await self.settle()
        await self.list_zones()
        self.assertEqual(1, first.fleet.listed_era)
        await self.pass_time(2)
        await self.list_zones()
        await self.pass_time(1)
        self.assertEqual(len(self.gateways) - 3, await self.fetch_snapshots())
        # The one that left is not taken back, the one that the copy lacks is kept for a while.
        expected = {"e0", "e2"}
        self.assertEqual([expected] * 30, [item.endpoint_ids for item in self.gateways])
        self.assertEqual({1}, {item.fleet.listed_era for item in self.gateways})
        self.assertLessEqual(self.store.calls, 15)
        await self.change("e2", builders.make_endpoint("e2"))
        self.now += 3.0
        for item in self.gateways:
            item.fleet.drop_expired_endpoints()
        self.assertEqual([expected] * 30, [item.endpoint_ids for item in self.gateways])

    async def test_a_gateway_that_was_cut_off_from_its_peers_catches_up(self) -> None:
        assert isinstance(self.store, RestorableStore)
        cut = next(item for item in self.gateways if not item.fleet.reads_store)
        self.network.cut_ips.add(cut.ip)
        copy = self.store.revision
        await self.change("e1", builders.make_endpoint("e1"))
        await self.store.restore(copy)
        for item in self.readers():
            item.fleet.learn_era(1)
        await self.settle()
        await self.list_zones()
        await self.change("e3", builders.make_endpoint("e3"))
        self.assertEqual(0, cut.fleet.known_era)
        self.network.cut_ips.clear()
        await self.pass_time(3)
        await self.fetch_snapshots()
        self.assertEqual(1, cut.fleet.listed_era)
        self.assertLessEqual({"e0", "e3"}, cut.endpoint_ids)


class QuarantinesTest(unittest.IsolatedAsyncioTestCase):
    """Guards against quarantines that are lost, or come back, with the store."""

    async def test_lost_ones_are_written_and_ended_ones_deleted(self) -> None:
        fleet = builders.make_fleet(now=clocks.boot_time())
        source = builders.UnusedStore()
        keeper = quarantine_keeper.QuarantineKeeper(source, fleet)
        now = clocks.boot_time()
        for key in ("lost", "kept", "ended"):
            fleet.quarantine.quarantine(fleet.quarantine.get(key), now)
        fleet.quarantine.record_answer(["ended"], now)
        fleet.quarantine.decided.clear()
        items = tuple(
            sources.StoredObject(key, sources.StoredQuarantine(key, 1, 1e12))
            for key in ("kept", "ended")
        )
        with unittest.mock.patch.object(
            source, "list_objects", return_value=sources.Listing(items, 5, True, 1)
        ):
            await keeper.compare_in_new_era(now)
            self.assertEqual(set(), fleet.quarantine.decided)
            fleet.learn_era(1)
            await keeper.compare_in_new_era(now)
            await keeper.compare_in_new_era(now + quarantine_keeper.RESTORE_SPREAD_SECONDS)
        self.assertEqual({"lost", "ended"}, fleet.quarantine.decided)
