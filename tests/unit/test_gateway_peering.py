"""Guards what a gateway believes of its peers' messages."""

import asyncio
import unittest
import unittest.mock

from masticward.gateway import peering
from masticward.protocol import gateway_peers
from masticward.utils import clocks
from tests.lib import gateway_builders as builders


class PeeringCase(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        patcher = unittest.mock.patch.object(clocks, "boot_time", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.fleet = builders.make_fleet(builders.make_endpoint("e1"), now=90.0)
        self.peering = peering.Peering(self.fleet, builders.NoStore())

    def receive(
        self,
        sent_at: float = 1.0,
        echo: float = 0.0,
        echo_incarnation: int | None = None,
        incarnation: int = 1,
        version: int = 1,
        proof_age: float = 0.2,
        loads: dict[str, tuple[int, int, int]] | None = None,
    ) -> None:
        figures = gateway_peers.PeerFigures(
            instance_id="g2",
            ip="127.0.0.2",
            incarnation=incarnation,
            configuration_version=version,
            configuration_proof_age=proof_age,
            stopping=False,
            loads=loads or {},
            usage={},
            asked={},
            prompts=[],
            members=[("g3", "127.0.0.3")],
        )
        own = self.peering.incarnation if echo_incarnation is None else echo_incarnation
        message = gateway_peers.PeerMessage(
            sent_at, echo, own, gateway_peers.encode_figures(figures)
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

    def test_silence_takes_a_peer_out_of_the_live_gateways(self) -> None:
        self.receive()
        self.peering.note_silence()
        self.assertEqual(["g1", "g2"], self.fleet.live_gateways)
        self.now += peering.LIVE_SECONDS + 0.1
        self.peering.note_silence()
        self.assertEqual(["g1"], self.fleet.live_gateways)
        self.assertEqual(3, self.fleet.known_gateways)

    def test_an_unreadable_datagram_changes_nothing(self) -> None:
        self.peering.datagram_received(b"\xc1 not msgpack", ("127.0.0.2", 1))
        self.assertEqual({}, self.peering.peers)

    def test_members_are_learnt_from_peers(self) -> None:
        self.receive()
        self.assertEqual({"g2", "g3"}, set(self.peering.peers))


class DatagramTest(unittest.IsolatedAsyncioTestCase):
    async def test_own_figures_survive_encoding(self) -> None:
        fleet = builders.make_fleet(builders.make_endpoint("e1"))
        own = peering.Peering(fleet, builders.NoStore())
        fleet.loads.begin("e1", 5, 7)
        own.note_prompt("e1", [(2**64 - 1, 10), (3, 20)])
        raw = gateway_peers.encode_figures(own.own_figures())
        message = gateway_peers.PeerMessage(1.0, 2.0, 3, raw)
        _, figures = gateway_peers.decode(gateway_peers.encode(message))
        self.assertEqual({"e1": (5, 1, 7)}, figures.loads)
        self.assertEqual([("e1", [(2**64 - 1, 10)])], figures.prompts)
        await asyncio.sleep(0)
