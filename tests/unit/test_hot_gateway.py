"""Tests of a gateway that receives many times the requests of the others, without a network.

The load: the load balancer hashes all callers of a hot team to one weak gateway. On the users'
large fleet, one of 68 gateways received 40 of 100 requests; its event loop was up to 1 s late, so
that requests waited before they were placed and went on after their clients had left.
"""

import typing
import unittest
import unittest.mock

import msgspec

from masticward.gateway import front, request_path
from masticward.models import gateway
from masticward.platform import headers
from masticward.protocol import gateway_peers
from masticward.state import load_shedding
from masticward.utils import clocks
from tests.lib import gateway_builders as builders
from tests.unit import test_gateway_peering

PROBE_SECONDS = 0.02


class ShedderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.shedder = load_shedding.LoadShedder(self.now)

    def fire_timer(self, late_seconds: float, seconds: float) -> list[float]:
        """Record timers for a time; return the times at which a pause began."""
        end = self.now + seconds
        pauses = []
        while self.now < end:
            self.now += PROBE_SECONDS + late_seconds
            if self.shedder.record(late_seconds, self.now):
                pauses.append(self.now)
        return pauses

    def refusals(self, requests: int, available_peers: float = 1.0) -> int:
        return sum(self.shedder.refuses(available_peers) for _ in range(requests))

    def test_a_gateway_on_time_refuses_nothing(self) -> None:
        self.fire_timer(0.01, 5.0)
        self.assertEqual(0, self.refusals(1000))

    def test_more_requests_are_refused_the_later_the_gateway_is(self) -> None:
        refused = []
        for late_seconds in (0.05, 0.09, 0.3):
            self.fire_timer(late_seconds, 2.0)
            refused.append(self.refusals(1000))
        self.assertEqual(sorted(set(refused)), refused)
        self.assertGreater(refused[0], 0)
        # Some requests still pass, which shows when the load has fallen.
        self.assertLess(refused[-1], 1000)

    def test_refusals_are_spread_evenly(self) -> None:
        self.fire_timer(0.09, 2.0)
        decisions = [self.shedder.refuses(1.0) for _ in range(300)]
        thirds = [sum(decisions[start : start + 100]) for start in (0, 100, 200)]
        self.assertLessEqual(max(thirds) - min(thirds), 1)

    def test_nothing_is_refused_while_all_gateways_of_the_zone_are_late(self) -> None:
        self.fire_timer(0.3, 2.0)
        self.assertEqual(0, self.refusals(1000, available_peers=0.0))

    def test_refusals_end_when_the_gateway_has_caught_up(self) -> None:
        self.fire_timer(0.3, 2.0)
        self.fire_timer(0.0, 0.5)
        self.assertEqual(0, self.refusals(1000))

    def test_a_late_gateway_leaves_the_rotation_within_a_second(self) -> None:
        started = self.now
        pauses = self.fire_timer(0.3, 3.0)
        self.assertLess(pauses[0], started + 1.0)

    def test_a_single_freeze_causes_no_pause(self) -> None:
        self.assertEqual([], self.fire_timer(5.0, 1.0) + self.fire_timer(0.0, 5.0))

    def test_the_pause_doubles_when_the_same_clients_return(self) -> None:
        lengths = []
        for _ in range(6):
            started = self.fire_timer(0.3, 1.0)[-1]
            lengths.append(self.shedder.paused_until - started)
            self.fire_timer(0.0, self.shedder.paused_until - self.now + 1.0)
        self.assertEqual([4.0, 8.0, 16.0, 32.0, 32.0, 32.0], [round(item, 6) for item in lengths])

    def test_kept_connections_end_once_new_ones_reach_other_gateways(self) -> None:
        started = self.fire_timer(0.3, 1.0)[-1]
        states = [self.shedder.has_left_rotation(started + after) for after in (0.0, 2.0, 3.0, 5.0)]
        self.assertEqual([False, False, True, False], states)

    def test_the_pause_is_short_again_after_a_quiet_time(self) -> None:
        self.fire_timer(0.3, 1.0)
        self.fire_timer(0.0, load_shedding.MIN_PAUSE_SECONDS + load_shedding.RELAPSE_SECONDS)
        self.fire_timer(0.3, 1.0)
        self.assertEqual(load_shedding.MIN_PAUSE_SECONDS, self.shedder.pause_seconds)


class AvailablePeersTest(test_gateway_peering.PeeringCase):
    """Guards against refusals whose retry would only reach another late gateway."""

    def receive_from(self, name: str, zone: str, shedding: bool) -> None:
        self.receive(name=name, availability_zone=zone, is_shedding=shedding)
        self.peering.update_liveness()

    def deliver(self, content: msgspec.Raw) -> None:
        """Deliver content that is newer than the reports."""
        message = gateway_peers.PeerMessage(2.0, 0.0, 0, content)
        self.peering.datagram_received(gateway_peers.encode(message), ("127.0.0.2", 1))

    def test_without_peers_none_is_available(self) -> None:
        self.assertEqual(0.0, self.peering.available_peers())

    def test_peers_of_the_own_zone_that_refuse_nothing_count(self) -> None:
        self.receive_from("g2", "z1", shedding=False)
        self.receive_from("g3", "z1", shedding=True)
        self.receive_from("g4", "z2", shedding=False)
        self.assertEqual(0.5, self.peering.available_peers())

    def test_changes_between_reports_tell_it_too(self) -> None:
        self.receive_from("g2", "z1", shedding=False)
        changes = gateway_peers.PeerChanges(
            instance_id="g2", incarnation=1, loads={}, prompts=[], is_shedding=True
        )
        self.deliver(gateway_peers.encode_content(changes))
        self.assertEqual(0.0, self.peering.available_peers())

    def test_a_message_of_an_older_version_means_not_late(self) -> None:
        self.receive_from("g2", "z1", shedding=False)
        encoded = gateway_peers.encode_content(
            gateway_peers.PeerChanges(instance_id="g2", incarnation=1, loads={}, prompts=[])
        )
        fields = gateway_peers.ENCODER.encode(msgspec.msgpack.decode(bytes(encoded))[:-1])
        self.deliver(msgspec.Raw(fields))
        self.assertEqual(1.0, self.peering.available_peers())


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """Guards against untrue or useless refusals by a late gateway."""

    def setUp(self) -> None:
        self.fleet = builders.make_fleet(builders.make_endpoint("e1"), now=clocks.boot_time())
        dependencies = request_path.RequestDependencies(
            self.fleet,
            headers.HeaderCodec(),
            unittest.mock.Mock(),
            unittest.mock.Mock(),
            unittest.mock.Mock(),
        )
        self.handler = front.ClientRequestHandler(dependencies, lambda: 1.0)
        self.fleet.shedder.lag_seconds = 10 * load_shedding.MAX_LAG_SECONDS

    def shed(
        self, kind: gateway.RequestKind, seconds: float = 8.0
    ) -> list[request_path.RefusalError]:
        """Return the refusals of 100 requests that their clients await for ``seconds``."""
        refusals = []
        for _ in range(100):
            metadata = builders.make_metadata(arrived_at=clocks.boot_time(), seconds=seconds)
            try:
                self.handler.shed_load(metadata, builders.make_route(kind=kind))
            except request_path.RefusalError as refusal:
                refusals.append(refusal)
        return refusals

    def test_streams_are_refused_with_a_time_at_which_another_gateway_is_reached(self) -> None:
        refusals = self.shed(gateway.RequestKind.STREAM)
        self.assertGreater(len(refusals), 90)
        for refusal in refusals:
            self.assertEqual((503, True), (refusal.status, refusal.closes_connection))
            # The load balancer's two probes, which take the gateway out, are 1 s apart.
            self.assertGreater(typing.cast(float, refusal.retry_after_seconds), 2.0)

    def test_clients_with_little_time_are_told_to_return_within_it(self) -> None:
        for refusal in self.shed(gateway.RequestKind.STREAM, seconds=3.0):
            self.assertLess(typing.cast(float, refusal.retry_after_seconds), 2.0)

    def test_cheap_requests_are_not_refused(self) -> None:
        for kind in (gateway.RequestKind.IDEMPOTENT, gateway.RequestKind.NON_IDEMPOTENT):
            self.assertEqual([], self.shed(kind))


if __name__ == "__main__":
    unittest.main()
