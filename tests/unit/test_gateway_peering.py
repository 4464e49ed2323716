"""Tests the messages between gateways and the proofs of the configuration.

They guard against stale or reordered datagrams that change the fleet state, and against listings
and reads of the store that no gateway needs.
"""

import asyncio
import unittest
import unittest.mock

from masticward import errors
from masticward.gateway import followers, peering, placer, prover, sources
from masticward.protocol import gateway_peers
from masticward.state import placement
from masticward.utils import clocks
from tests.lib import gateway_builders as builders


class PeeringCase(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        patcher = unittest.mock.patch.object(clocks, "boot_time", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.fleet = builders.make_fleet(builders.make_endpoint("e1"), now=90.0)
        self.peering = peering.Peering(self.fleet, builders.UnusedStore())

    def receive(
        self,
        sent_at: float = 1.0,
        echo: float = 0.0,
        echo_incarnation: int | None = None,
        incarnation: int = 1,
        version: int = 1,
        proof_age: float = 0.2,
        loads: dict[str, tuple[int, int, int]] | None = None,
        digest: int = 0,
        name: str = "g2",
        availability_zone: str = "",
        is_shedding: bool = False,
        ip: str | None = None,
        members: tuple[tuple[str, str], ...] = (("g3", "127.0.0.3"),),
    ) -> None:
        report = gateway_peers.PeerReport(
            instance_id=name,
            ip=ip or f"127.0.0.{name[1:]}",
            incarnation=incarnation,
            configuration_version=version,
            configuration_proof_age=proof_age,
            stopping=False,
            listing_digest=digest,
            loads=loads or {},
            usage={},
            demand={},
            prompts=[],
            members=list(members),
            availability_zone=availability_zone,
            is_shedding=is_shedding,
        )
        own = self.peering.incarnation if echo_incarnation is None else echo_incarnation
        message = gateway_peers.PeerMessage(
            sent_at, echo, own, gateway_peers.encode_content(report)
        )
        self.peering.datagram_received(gateway_peers.encode(message), ("127.0.0.2", 1))


class FloodTest(PeeringCase):
    """Guards against one sender whose datagrams take the processor."""

    def test_a_sender_is_heard_up_to_a_limit_and_again_in_the_next_second(self) -> None:
        decode = unittest.mock.Mock(side_effect=gateway_peers.decode)
        with (
            unittest.mock.patch.object(gateway_peers, "decode", decode),
            unittest.mock.patch.object(peering, "LOGGER"),
        ):
            for self.now, sender, expected in (
                (100.0, "127.0.0.2", peering.MAX_DATAGRAMS_PER_SECOND),
                (100.9, "127.0.0.2", 0),
                (100.9, "127.0.0.3", peering.MAX_DATAGRAMS_PER_SECOND),
                (101.0, "127.0.0.2", peering.MAX_DATAGRAMS_PER_SECOND),
            ):
                decode.reset_mock()
                for _ in range(2 * peering.MAX_DATAGRAMS_PER_SECOND):
                    self.peering.datagram_received(b"\xff", (sender, 1))
                self.assertEqual(expected, decode.call_count)


class UnreadableMessagesTest(PeeringCase):
    """Guards against a flood of datagrams whose log lines take the processor."""

    def test_a_flood_is_logged_once_a_second_with_its_count(self) -> None:
        with unittest.mock.patch.object(peering, "LOGGER") as logger:
            for now in (100.0, 100.5, 100.9, 101.0):
                self.now = now
                for _ in range(50):
                    self.peering.datagram_received(b"\xff", ("127.0.0.9", 1))
        self.assertEqual([1, 150], [call.kwargs["count"] for call in logger.log.call_args_list])


class ProofTest(PeeringCase):
    """Guards against keys that are accepted because a peer's proof is dated too late."""

    def test_a_proof_is_dated_by_the_echo_and_not_by_the_receipt(self) -> None:
        # The datagram may have been queued while this process was suspended.
        self.receive(echo=95.0, proof_age=0.5)
        self.assertEqual(94.5, self.fleet.configuration_proven_at)

    def test_a_proof_of_another_version_is_ignored(self) -> None:
        self.receive(echo=99.0, version=2)
        self.assertEqual(90.0, self.fleet.configuration_proven_at)

    def test_an_echo_of_an_earlier_incarnation_proves_nothing(self) -> None:
        self.receive(echo=99.0, echo_incarnation=self.peering.incarnation - 1)
        self.assertEqual(90.0, self.fleet.configuration_proven_at)

    def test_an_echo_from_the_future_proves_nothing(self) -> None:
        self.receive(echo=200.0)
        self.assertEqual(90.0, self.fleet.configuration_proven_at)


class ReportTest(PeeringCase):
    """Guards against reordered, unreadable or outdated reports that replace newer ones."""

    def test_a_reordered_datagram_is_dropped(self) -> None:
        self.receive(sent_at=2.0, loads={"e1": (10, 1, 10)})
        self.receive(sent_at=1.0, loads={"e1": (99, 9, 99)})
        self.assertEqual(1, self.fleet.loads.total("e1").requests)

    def test_a_restarted_peer_replaces_its_earlier_incarnation(self) -> None:
        self.receive(sent_at=50.0, incarnation=1, loads={"e1": (99, 9, 99)})
        self.receive(sent_at=1.0, incarnation=2, loads={"e1": (10, 1, 10)})
        self.assertEqual(1, self.fleet.loads.total("e1").requests)
        self.receive(sent_at=60.0, incarnation=1, loads={"e1": (99, 9, 99)})
        self.assertEqual(1, self.fleet.loads.total("e1").requests)

    def test_a_lower_incarnation_is_accepted_after_the_liveness_timeout(self) -> None:
        # The peer was restarted after its wall clock was set back.
        self.receive(sent_at=50.0, incarnation=2)
        self.receive(sent_at=51.0, incarnation=1, loads={"e1": (10, 1, 10)})
        self.assertEqual(0, self.fleet.loads.total("e1").requests)
        self.now += peering.LIVENESS_TIMEOUT_SECONDS + 0.1
        self.receive(sent_at=51.0, incarnation=1, loads={"e1": (10, 1, 10)})
        self.assertEqual(1, self.fleet.loads.total("e1").requests)

    def test_a_silent_peer_is_removed_from_the_live_gateways(self) -> None:
        self.receive()
        self.peering.update_liveness()
        self.assertEqual(["g1", "g2"], self.fleet.live_gateways)
        self.now += peering.LIVENESS_TIMEOUT_SECONDS + 0.1
        self.peering.update_liveness()
        self.assertEqual(["g1"], self.fleet.live_gateways)
        self.assertEqual(3, self.fleet.known_gateway_count)

    def test_an_unreadable_datagram_changes_nothing(self) -> None:
        self.peering.datagram_received(b"\xc1 not msgpack", ("127.0.0.2", 1))
        self.assertEqual({}, self.peering.peers)

    def test_members_in_a_report_are_added_as_peers(self) -> None:
        self.receive()
        self.assertEqual({"g2", "g3"}, set(self.peering.peers))

    def test_a_live_peer_keeps_its_address_until_it_reports_another_one(self) -> None:
        """Guards against live peers that are given up for an address of hearsay."""
        self.receive(sent_at=50.0, incarnation=2, loads={"e1": (10, 1, 10)})
        self.receive(name="g4", members=(("g2", "127.0.0.9"),))
        # A late datagram of an earlier incarnation.
        self.receive(sent_at=60.0, incarnation=1, ip="127.0.0.8")
        self.peering.update_liveness()
        self.assertIn("g2", self.fleet.live_gateways)
        self.assertEqual("127.0.0.2", self.peering.peers["g2"].ip)
        self.receive(sent_at=51.0, incarnation=3, ip="127.0.0.7")
        self.peering.update_liveness()
        self.assertIn("g2", self.fleet.live_gateways)
        self.assertEqual("127.0.0.7", self.peering.peers["g2"].ip)
        self.now += peering.LIVENESS_TIMEOUT_SECONDS + 0.1
        self.receive(name="g4", sent_at=2.0, members=(("g2", "127.0.0.9"),))
        self.assertEqual("127.0.0.9", self.peering.peers["g2"].ip)


class ListingMismatchTest(PeeringCase):
    """Guards against a hanging watch that keeps a gateway behind, and against needless listings."""

    def setUp(self) -> None:
        super().setUp()
        self.listing_requests = 0
        self.peering.on_listing_mismatch = self.count_listing

    def count_listing(self) -> None:
        self.listing_requests += 1

    def exchange_reports(self, digests: dict[str, int], seconds: float = 1.2) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            for name, digest in digests.items():
                self.receive(sent_at=self.now, digest=digest, name=name)
            self.peering.update_liveness()
            self.peering.compare_listings()

    def test_a_listing_that_most_peers_have_is_requested_once(self) -> None:
        self.exchange_reports({"g2": 7, "g3": 7, "g4": self.fleet.table.digest()})
        self.assertEqual(1, self.listing_requests)

    def test_a_single_lagging_peer_causes_no_listing(self) -> None:
        own = self.fleet.table.digest()
        self.exchange_reports({"g2": 7, "g3": own, "g4": own}, 5.0)
        self.assertEqual(0, self.listing_requests)

    def test_a_change_still_being_delivered_causes_no_listing(self) -> None:
        own = self.fleet.table.digest()
        self.exchange_reports({"g2": 7, "g3": 7}, 0.5)
        self.exchange_reports({"g2": own, "g3": own}, 2.0)
        self.assertEqual(0, self.listing_requests)

    def test_equal_listings_have_equal_digests(self) -> None:
        other = builders.make_fleet(builders.make_endpoint("e1"), now=90.0)
        self.assertEqual(self.fleet.table.digest(), other.table.digest())
        other.apply_endpoints([("e1", builders.make_endpoint("e1", draining=True))], False)
        self.assertNotEqual(self.fleet.table.digest(), other.table.digest())


class ProverTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a read by each gateway where one read proves the configuration to all."""

    def setUp(self) -> None:
        self.now = 100.0
        patcher = unittest.mock.patch.object(clocks, "boot_time", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.fleet = builders.make_fleet(now=self.now)
        source = builders.UnusedStore()
        follower = followers.Follower(source, self.fleet, sources.ObjectKind.CONFIGURATION)
        self.notifications = 0
        self.prover = prover.Prover(source, self.fleet, follower, self.count_notification)

    def count_notification(self) -> None:
        self.notifications += 1

    async def test_a_recent_proof_of_a_peer_makes_a_read_unnecessary(self) -> None:
        self.now += prover.RENEWAL_AGE_SECONDS + prover.RENEWAL_JITTER_SECONDS
        self.assertTrue(self.prover.renewal_is_due(self.now))
        self.fleet.configuration_proven_at = self.now - 0.5
        self.assertFalse(self.prover.renewal_is_due(self.now))

    async def test_a_newer_version_of_a_peer_is_read_immediately(self) -> None:
        self.fleet.newest_peer_version = 9
        self.assertTrue(self.prover.renewal_is_due(self.now))

    async def test_a_renewed_proof_is_announced_to_the_peers(self) -> None:
        listing = sources.Listing(
            (sources.StoredObject("main", builders.make_configuration(1)),),
            revision=7,
            complete=True,
        )
        self.now += 3.0
        with unittest.mock.patch.object(builders.UnusedStore, "list_objects", return_value=listing):
            await self.prover.renew_proof()
        self.assertEqual([self.now, 1], [self.fleet.configuration_proven_at, self.notifications])

    async def test_an_unavailable_store_proves_nothing(self) -> None:
        self.now += 3.0
        failure = errors.StoreUnavailableError("config", "silent")
        with unittest.mock.patch.object(builders.UnusedStore, "list_objects", side_effect=failure):
            await self.prover.renew_proof()
        self.assertEqual([100.0, 0], [self.fleet.configuration_proven_at, self.notifications])

    async def count_reads_in_an_outage(self, readers: frozenset[str]) -> int:
        """Return the reads of this gateway, one of 68, in an outage of 8 s."""
        self.fleet.known_gateway_count = 68
        self.fleet.reader_ids = readers
        failure = errors.StoreUnavailableError("config", "silent")
        reads = 0
        with unittest.mock.patch.object(builders.UnusedStore, "list_objects", side_effect=failure):
            for _ in range(80):
                self.now += 0.1
                if self.prover.renewal_is_due(self.now):
                    reads += 1
                    await self.prover.renew_proof()
        return reads

    async def test_gateways_that_do_not_read_the_store_rarely_try_in_an_outage(self) -> None:
        # The load: the store is down for all gateways, whose proofs grow old together.
        self.assertLessEqual(await self.count_reads_in_an_outage(frozenset({"g2"})), 5)

    async def test_readers_of_the_store_try_often_in_an_outage(self) -> None:
        # Their first success ends the outage for all others.
        self.assertGreaterEqual(await self.count_reads_in_an_outage(frozenset({"g1"})), 12)


class LoopbackTransport:
    """A fake transport that delivers each datagram immediately to the gateway at its address."""

    def __init__(self, own_ip: str, by_ip: dict[str, peering.Peering]) -> None:
        self.own_ip = own_ip
        self.by_ip = by_ip

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.by_ip[address[0]].datagram_received(data, (self.own_ip, address[1]))


class BurstTest(unittest.IsolatedAsyncioTestCase):
    """Guards against gateways that all choose the same engine between two status reports."""

    GATEWAYS = 8
    ENGINES = 8

    def setUp(self) -> None:
        self.now = 100.0
        patcher = unittest.mock.patch.object(clocks, "boot_time", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        by_ip: dict[str, peering.Peering] = {}
        self.gateways: list[tuple[placer.Placer, peering.Peering]] = []
        engines = [builders.make_endpoint(f"e{number}") for number in range(self.ENGINES)]
        for number in range(self.GATEWAYS):
            name, ip = f"g{number}", f"127.0.0.{number + 1}"
            fleet = builders.make_fleet(*engines, now=self.now)
            fleet.apply_settings(builders.make_settings(instance_id=name, ip=ip))
            peers = peering.Peering(fleet, builders.UnusedStore())
            peers.transport = LoopbackTransport(ip, by_ip)  # type: ignore[assignment]
            by_ip[ip] = peers
            self.gateways.append((placer.Placer(fleet, peers.announce_prompt), peers))
        for _ in range(2):
            for _, peers in self.gateways:
                for ip in by_ip:
                    peers.add_peer(f"g{int(ip.rpartition('.')[2]) - 1}", ip)
                peers.send_reports()
                peers.update_liveness()
                self.now += 0.001

    async def test_a_burst_over_all_gateways_is_distributed_over_the_engines(self) -> None:
        used = []
        for number, (gateway_placer, peers) in enumerate(self.gateways):
            metadata = builders.make_metadata(
                f"q{number}", f"doc{number % 2}", 1_000, 3_000, arrived_at=self.now
            )
            request = placer.WaitingRequest(
                metadata, builders.make_route(), "llm", "a", self.now + 5.0
            )
            async with asyncio.timeout(5.0):
                choice = await gateway_placer.place(request)
            assert isinstance(choice, placement.Choice)
            used.append(choice.endpoint.id)
            self.now += 0.001
            peers.send_changes()
        # Without load changes, every gateway chooses the engine that owns its document: only two.
        self.assertGreaterEqual(len(set(used)), self.GATEWAYS // 2)

    async def test_a_finished_request_is_removed_from_the_peers_load(self) -> None:
        gateway_placer, peers = self.gateways[0]
        other = self.gateways[1][1].fleet
        metadata = builders.make_metadata(arrived_at=self.now)
        request = placer.WaitingRequest(metadata, builders.make_route(), "llm", "a", self.now + 5.0)
        async with asyncio.timeout(5.0):
            choice = await gateway_placer.place(request)
        assert isinstance(choice, placement.Choice)
        peers.send_changes()
        self.assertEqual(1, other.loads.total(choice.endpoint.id).requests)
        self.now += 0.001
        gateway_placer.release(request, choice)
        peers.send_changes()
        self.assertEqual(0, other.loads.total(choice.endpoint.id).requests)
        self.assertEqual({}, dict(other.loads.peer_totals))


class DatagramTest(unittest.IsolatedAsyncioTestCase):
    """Guards against reports that lose or alter data when they are encoded."""

    async def test_a_report_round_trips_through_the_encoding(self) -> None:
        fleet = builders.make_fleet(builders.make_endpoint("e1"))
        own = peering.Peering(fleet, builders.UnusedStore())
        fleet.loads.start_request("e1", 5, 7)
        own.announce_prompt("e1", [(2**64 - 1, 10), (3, 20)])
        raw = gateway_peers.encode_content(own.build_report())
        message = gateway_peers.PeerMessage(1.0, 2.0, 3, raw)
        _, report = gateway_peers.decode(gateway_peers.encode(message))
        assert isinstance(report, gateway_peers.PeerReport)
        self.assertEqual({"e1": (5, 1, 7)}, report.loads)
        self.assertEqual([("e1", [(2**64 - 1, 10)])], report.prompts)
        await asyncio.sleep(0)
