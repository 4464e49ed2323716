"""Guards what a gateway believes of its peers' messages."""

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
    ) -> None:
        figures = gateway_peers.PeerFigures(
            instance_id=name,
            ip=f"127.0.0.{name[1:]}",
            incarnation=incarnation,
            configuration_version=version,
            configuration_proof_age=proof_age,
            stopping=False,
            listing_digest=digest,
            loads=loads or {},
            usage={},
            asked={},
            prompts=[],
            members=[("g3", "127.0.0.3")],
        )
        own = self.peering.incarnation if echo_incarnation is None else echo_incarnation
        message = gateway_peers.PeerMessage(
            sent_at, echo, own, gateway_peers.encode_content(figures)
        )
        self.peering.datagram_received(gateway_peers.encode(message), ("127.0.0.2", 1))


class ProofTest(PeeringCase):
    def test_a_proof_is_dated_by_the_echo_not_by_the_receipt(self) -> None:
        # A datagram that waited while this process was frozen proves nothing newer.
        self.receive(echo=95.0, proof_age=0.5)
        self.assertEqual(94.5, self.fleet.configuration_proven_at)

    def test_a_proof_of_another_version_does_not_count(self) -> None:
        self.receive(echo=99.0, version=2)
        self.assertEqual(90.0, self.fleet.configuration_proven_at)

    def test_an_echo_of_an_earlier_incarnation_does_not_count(self) -> None:
        self.receive(echo=99.0, echo_incarnation=self.peering.incarnation - 1)
        self.assertEqual(90.0, self.fleet.configuration_proven_at)

    def test_an_echo_from_the_future_does_not_count(self) -> None:
        self.receive(echo=200.0)
        self.assertEqual(90.0, self.fleet.configuration_proven_at)


class FiguresTest(PeeringCase):
    def test_an_overtaken_datagram_is_dropped(self) -> None:
        self.receive(sent_at=2.0, loads={"e1": (10, 1, 10)})
        self.receive(sent_at=1.0, loads={"e1": (99, 9, 99)})
        self.assertEqual(1, self.fleet.loads.total("e1").requests)

    def test_a_restarted_peer_counts_from_its_new_start(self) -> None:
        self.receive(sent_at=50.0, incarnation=1, loads={"e1": (99, 9, 99)})
        self.receive(sent_at=1.0, incarnation=2, loads={"e1": (10, 1, 10)})
        self.assertEqual(1, self.fleet.loads.total("e1").requests)
        self.receive(sent_at=60.0, incarnation=1, loads={"e1": (99, 9, 99)})
        self.assertEqual(1, self.fleet.loads.total("e1").requests)

    def test_a_start_after_the_time_of_day_was_set_back_is_heard(self) -> None:
        self.receive(sent_at=50.0, incarnation=2)
        self.receive(sent_at=51.0, incarnation=1, loads={"e1": (10, 1, 10)})
        self.assertEqual(0, self.fleet.loads.total("e1").requests)
        self.now += peering.LIVENESS_TIMEOUT_SECONDS + 0.1
        self.receive(sent_at=51.0, incarnation=1, loads={"e1": (10, 1, 10)})
        self.assertEqual(1, self.fleet.loads.total("e1").requests)

    def test_silence_takes_a_peer_out_of_the_live_gateways(self) -> None:
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

    def test_members_are_learnt_from_peers(self) -> None:
        self.receive()
        self.assertEqual({"g2", "g3"}, set(self.peering.peers))


class ListingDifferenceTest(PeeringCase):
    """Guards against a watch that hangs while other gateways hear of changes."""

    def setUp(self) -> None:
        super().setUp()
        self.listings = 0
        self.peering.on_listing_mismatch = self.note_listing

    def note_listing(self) -> None:
        self.listings += 1

    def play(self, digests: dict[str, int], seconds: float = 1.2) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            for name, digest in digests.items():
                self.receive(sent_at=self.now, digest=digest, name=name)
            self.peering.update_liveness()
            self.peering.compare_listings()

    def test_a_listing_that_most_peers_know_is_fetched(self) -> None:
        self.play({"g2": 7, "g3": 7, "g4": self.fleet.table.digest()})
        self.assertEqual(1, self.listings)

    def test_one_peer_that_lags_behind_causes_no_calls(self) -> None:
        own = self.fleet.table.digest()
        self.play({"g2": 7, "g3": own, "g4": own}, 5.0)
        self.assertEqual(0, self.listings)

    def test_a_change_on_its_way_causes_no_calls(self) -> None:
        own = self.fleet.table.digest()
        self.play({"g2": 7, "g3": 7}, 0.5)
        self.play({"g2": own, "g3": own}, 2.0)
        self.assertEqual(0, self.listings)

    def test_equal_listings_have_equal_digests(self) -> None:
        other = builders.make_fleet(builders.make_endpoint("e1"), now=90.0)
        self.assertEqual(self.fleet.table.digest(), other.table.digest())
        other.apply_endpoints([("e1", builders.make_endpoint("e1", draining=True))], False)
        self.assertNotEqual(self.fleet.table.digest(), other.table.digest())


class ProverTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a call to the store by each gateway where one call proves it to all."""

    def setUp(self) -> None:
        self.now = 100.0
        patcher = unittest.mock.patch.object(clocks, "boot_time", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.fleet = builders.make_fleet(now=self.now)
        source = builders.UnusedStore()
        follower = followers.Follower(source, self.fleet, sources.ObjectKind.CONFIGURATION)
        self.told = 0
        self.prover = prover.Prover(source, self.fleet, follower, self.note_told)

    def note_told(self) -> None:
        self.told += 1

    async def test_a_proof_that_a_peer_told_saves_the_call(self) -> None:
        self.now += prover.RENEWAL_AGE_SECONDS + prover.RENEWAL_JITTER_SECONDS
        self.assertTrue(self.prover.renewal_is_due(self.now))
        self.fleet.configuration_proven_at = self.now - 0.5
        self.assertFalse(self.prover.renewal_is_due(self.now))

    async def test_a_newer_version_that_a_peer_has_is_read_at_once(self) -> None:
        self.fleet.newest_peer_version = 9
        self.assertTrue(self.prover.renewal_is_due(self.now))

    async def test_a_proof_is_read_and_told(self) -> None:
        listing = sources.Listing(
            (sources.StoredObject("main", builders.make_configuration(1)),),
            revision=7,
            complete=True,
        )
        self.now += 3.0
        with unittest.mock.patch.object(builders.UnusedStore, "list_objects", return_value=listing):
            await self.prover.renew_proof()
        self.assertEqual([self.now, 1], [self.fleet.configuration_proven_at, self.told])

    async def test_a_store_that_does_not_answer_proves_nothing(self) -> None:
        self.now += 3.0
        failure = errors.StoreUnavailableError("config", "silent")
        with unittest.mock.patch.object(builders.UnusedStore, "list_objects", side_effect=failure):
            await self.prover.renew_proof()
        self.assertEqual([100.0, 0], [self.fleet.configuration_proven_at, self.told])


class LinkedPeers:
    """Stands in for the network: a datagram reaches the gateway at its address at once."""

    def __init__(self, own_ip: str, by_ip: dict[str, peering.Peering]) -> None:
        self.own_ip = own_ip
        self.by_ip = by_ip

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.by_ip[address[0]].datagram_received(data, (self.own_ip, address[1]))


class BurstOverGatewaysTest(unittest.IsolatedAsyncioTestCase):
    """Guards against gateways that all choose one engine between two rounds of figures."""

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
            peers.transport = LinkedPeers(ip, by_ip)  # type: ignore[assignment]
            by_ip[ip] = peers
            self.gateways.append((placer.Placer(fleet, peers.announce_prompt), peers))
        for _ in range(2):
            for _, peers in self.gateways:
                for ip in by_ip:
                    peers.add_peer(f"g{int(ip.rpartition('.')[2]) - 1}", ip)
                peers.send_reports()
                peers.update_liveness()
                self.now += 0.001

    async def test_a_burst_over_all_gateways_is_spread_over_the_engines(self) -> None:
        used = []
        for number, (gateway_placer, peers) in enumerate(self.gateways):
            terms = builders.make_terms(
                f"q{number}", f"doc{number % 2}", 1_000, 3_000, arrived_at=self.now
            )
            request = placer.WaitingRequest(
                terms, builders.make_route(), "llm", "a", self.now + 5.0
            )
            async with asyncio.timeout(5.0):
                choice = await gateway_placer.place(request)
            assert isinstance(choice, placement.Choice)
            used.append(choice.endpoint.id)
            self.now += 0.001
            peers.send_changes()
        # Without changes every gateway takes the owner of its document: two engines for all.
        self.assertGreaterEqual(len(set(used)), self.GATEWAYS // 2)

    async def test_the_end_of_a_request_reaches_the_peers(self) -> None:
        gateway_placer, peers = self.gateways[0]
        other = self.gateways[1][1].fleet
        terms = builders.make_terms(arrived_at=self.now)
        request = placer.WaitingRequest(terms, builders.make_route(), "llm", "a", self.now + 5.0)
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
    async def test_own_figures_survive_encoding(self) -> None:
        fleet = builders.make_fleet(builders.make_endpoint("e1"))
        own = peering.Peering(fleet, builders.UnusedStore())
        fleet.loads.begin("e1", 5, 7)
        own.announce_prompt("e1", [(2**64 - 1, 10), (3, 20)])
        raw = gateway_peers.encode_content(own.build_report())
        message = gateway_peers.PeerMessage(1.0, 2.0, 3, raw)
        _, figures = gateway_peers.decode(gateway_peers.encode(message))
        assert isinstance(figures, gateway_peers.PeerFigures)
        self.assertEqual({"e1": (5, 1, 7)}, figures.loads)
        self.assertEqual([("e1", [(2**64 - 1, 10)])], figures.prompts)
        await asyncio.sleep(0)
