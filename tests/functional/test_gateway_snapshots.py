"""Tests snapshots between gateways.

They guard against a gateway that cannot serve because it starts, or falls behind its peers, while
it cannot read the store.
"""

import asyncio
import unittest.mock

from masticward import errors
from masticward.gateway import followers, peering, snapshots, sources
from masticward.protocol import gateway_peers
from masticward.transport import http1_server
from masticward.utils import clocks
from tests.lib import gateway_builders as builders
from tests.lib import loops


class SnapshotCase(loops.UvloopTestCase):
    """A gateway g2 with all data from the store, and g1 whose store is unavailable."""

    async def asyncSetUp(self) -> None:
        now = clocks.boot_time()
        self.other = builders.make_fleet(
            builders.make_endpoint("e1"),
            builders.make_endpoint("e2", cold_until=now + 2.0),
            now=now - 1.0,
        )
        self.other.apply_configuration(builders.make_configuration(5), now - 1.0, "test")
        self.other.apply_evacuations([("z9", True)], True)
        server = http1_server.Server(("127.0.0.1", 0), snapshots.SnapshotHandler(self.other))
        self.port = await server.start()
        self.addCleanup(server.stop_listening)
        settings = builders.make_settings(peer_port=self.port)
        self.fleet = snapshots.fleet_module.FleetState(settings)
        self.peering = peering.Peering(self.fleet, builders.UnusedStore())
        self.followers_by_kind = followers.create_followers(builders.UnusedStore(), self.fleet)
        self.fetcher = snapshots.SnapshotFetcher(self.fleet, self.peering, self.followers_by_kind)

    def receive_report(self, version: int = 5) -> None:
        report = gateway_peers.PeerReport(
            instance_id="g2",
            ip="127.0.0.1",
            incarnation=1,
            configuration_version=version,
            configuration_proof_age=1.0,
            stopping=False,
            listing_digest=self.other.table.digest(),
            loads={},
            usage={},
            demand={},
            prompts=[],
            members=[],
        )
        content = gateway_peers.encode_content(report)
        data = gateway_peers.encode(gateway_peers.PeerMessage(clocks.boot_time(), 0.0, 0, content))
        self.peering.datagram_received(data, ("127.0.0.1", 1))
        self.peering.update_liveness()


class SnapshotTest(SnapshotCase):
    """Guards against missing, outdated or endless fetches of a peer's snapshot."""

    async def test_a_gateway_that_starts_without_a_store_gets_all_data_from_a_peer(self) -> None:
        self.receive_report()
        self.assertTrue(self.fetcher.is_behind())
        before = clocks.boot_time()
        await self.fetcher.catch_up()
        assert self.fleet.configuration is not None
        self.assertEqual(5, self.fleet.configuration.version)
        self.assertEqual(self.other.table.digest(), self.fleet.table.digest())
        # The proof keeps its age and must not be dated later.
        self.assertLessEqual(self.fleet.configuration_proven_at, before)
        self.assertLess(self.fleet.table.endpoints["e1"].cold_until, clocks.boot_time())
        self.assertGreater(self.fleet.table.endpoints["e2"].cold_until, before + 1.0)
        self.assertFalse(self.fetcher.is_behind())

    async def test_a_newer_configuration_of_a_peer_is_fetched(self) -> None:
        self.fleet.apply_configuration(builders.make_configuration(3), 1.0, "test")
        self.fleet.apply_endpoints([], True)
        self.assertFalse(self.fetcher.is_behind())
        self.receive_report()
        self.assertTrue(self.fetcher.is_behind())
        await self.fetcher.catch_up()
        self.assertEqual(5, self.fleet.configuration.version)  # type: ignore[union-attr]

    async def test_a_peer_that_has_not_listed_the_zones_takes_none_back(self) -> None:
        """Guards against requests to an evacuated zone beside a gateway that starts."""
        self.fleet.apply_configuration(builders.make_configuration(3), 1.0, "test")
        for kind in sources.LISTED_KINDS:
            self.fleet.revisions[kind] = sources.Position(0, 20)
        self.fleet.apply_endpoints([("e1", builders.make_endpoint("e1"))], True)
        self.fleet.apply_evacuations([("z1", True)], True)
        self.other.apply_evacuations([], True)
        self.other.revisions[sources.ObjectKind.ENDPOINTS] = sources.Position(0, 21)
        self.receive_report()
        await self.fetcher.catch_up()
        self.assertEqual(5, self.fleet.configuration_version)
        self.assertEqual({"e1", "e2"}, set(self.fleet.table.endpoints))
        self.assertEqual({"z1"}, self.fleet.table.evacuated_zones)

    async def test_an_older_configuration_is_ignored(self) -> None:
        self.fleet.apply_configuration(builders.make_configuration(7), 1.0, "test")
        self.receive_report()
        await self.fetcher.catch_up()
        self.assertEqual(7, self.fleet.configuration.version)  # type: ignore[union-attr]

    async def test_another_listing_is_fetched_only_while_the_store_is_unavailable(self) -> None:
        self.fleet.apply_configuration(builders.make_configuration(5), 1.0, "test")
        self.fleet.apply_endpoints([], True)
        self.receive_report()
        self.fetcher.listing_differs = True
        self.assertFalse(self.fetcher.is_behind())
        self.followers_by_kind[sources.ObjectKind.ENDPOINTS].record_failure(
            errors.StoreUnavailableError("x")
        )
        self.fetcher.listing_differs = True
        self.assertTrue(self.fetcher.is_behind())
        await self.fetcher.catch_up()
        self.assertEqual({"e1", "e2"}, set(self.fleet.table.endpoints))
        self.assertTrue(
            self.followers_by_kind[sources.ObjectKind.ENDPOINTS].relist_requested.is_set()
        )

    async def test_a_peer_without_a_configuration_provides_no_snapshot(self) -> None:
        self.other.configuration = None
        self.receive_report()
        with self.assertRaises(errors.PeerSnapshotError):
            await snapshots.fetch_snapshot(("127.0.0.1", self.port))
        await self.fetcher.catch_up()
        self.assertIsNone(self.fleet.configuration)

    async def test_a_fetch_from_a_silent_peer_times_out(self) -> None:
        silent = await asyncio.start_server(lambda *_: asyncio.sleep(5.0), "127.0.0.1", 0)
        self.addCleanup(silent.close)
        port = silent.sockets[0].getsockname()[1]
        with (
            unittest.mock.patch.object(snapshots, "FETCH_TIMEOUT_SECONDS", 0.1),
            self.assertRaises(errors.PeerSnapshotError),
        ):
            await snapshots.fetch_snapshot(("127.0.0.1", port))
