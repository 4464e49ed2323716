"""Fuzzes what other gateways send: no datagram may raise, or stop the placing of requests."""

import asyncio
import unittest

import hypothesis
import hypothesis.strategies as st
import msgspec

from masticward.gateway import peering, placer, snapshots
from masticward.protocol import gateway_peers, gateway_snapshots
from tests.lib import gateway_builders as builders

SETTINGS = hypothesis.settings(max_examples=150, deadline=None, derandomize=True, database=None)
NAMES = st.sampled_from(["g1", "g2", "g3", "e1", "", "\x00"])
NUMBERS = st.floats(allow_nan=True, allow_infinity=True)
COUNTS = st.integers(-(2**63), 2**63 - 1)
LOADS = st.dictionaries(NAMES, st.tuples(COUNTS, COUNTS, COUNTS), max_size=3)
PROMPTS = st.lists(
    st.tuples(NAMES, st.lists(st.tuples(st.integers(0, 2**64 - 1), COUNTS), max_size=3)),
    max_size=3,
)
ENDPOINTS = st.one_of(st.none(), st.just(builders.make_endpoint("e9")))
REPORTS = st.builds(
    gateway_peers.PeerReport,
    instance_id=NAMES,
    ip=st.sampled_from(["127.0.0.2", "", "no address"]),
    incarnation=COUNTS,
    configuration_version=COUNTS,
    configuration_proof_age=NUMBERS,
    stopping=st.booleans(),
    listing_digest=COUNTS,
    loads=LOADS,
    usage=st.dictionaries(NAMES, NUMBERS, max_size=3),
    demand=st.dictionaries(NAMES, NUMBERS, max_size=3),
    prompts=PROMPTS,
    members=st.lists(st.tuples(NAMES, st.just("127.0.0.3")), max_size=3),
    availability_zone=NAMES,
    can_relay=st.booleans(),
    store_era=COUNTS,
    listed_era=COUNTS,
)
CHANGES = st.builds(
    gateway_peers.PeerChanges,
    instance_id=NAMES,
    incarnation=st.integers(0, 2),
    loads=LOADS,
    prompts=PROMPTS,
    configuration_version=COUNTS,
    configuration_proof_age=NUMBERS,
    listing_digest=COUNTS,
    store_era=COUNTS,
    listed_era=COUNTS,
)
STORE_CHANGES = st.builds(
    gateway_peers.StoreChanges,
    instance_id=NAMES,
    incarnation=st.integers(0, 2),
    kind=st.sampled_from(["endpoints", "evacuations", "configuration", "other"]),
    from_revision=COUNTS,
    to_revision=COUNTS,
    items=st.lists(st.tuples(NAMES, st.booleans(), ENDPOINTS), max_size=3),
    era=COUNTS,
)
MESSAGES = st.lists(
    st.tuples(NUMBERS, NUMBERS, COUNTS, st.one_of(REPORTS, CHANGES, STORE_CHANGES)), max_size=4
)


class PeerFuzzTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = builders.make_fleet(builders.make_endpoint("e1"))
        self.peering = peering.Peering(self.fleet, builders.UnusedStore())

    def check_still_works(self) -> None:
        """Run what the gateway does periodically, and place a request."""

        async def place() -> object:
            gateway_placer = placer.Placer(self.fleet, self.peering.announce_prompt)
            metadata = builders.make_metadata()
            request = placer.WaitingRequest(metadata, builders.make_route(), "llm", "a", 0.0)
            async with asyncio.timeout(5.0):
                return await gateway_placer.place(request)

        self.peering.update_liveness()
        self.peering.compare_listings()
        gateway_peers.encode_content(self.peering.build_report())
        self.assertIsNotNone(asyncio.run(place()))

    @SETTINGS
    @hypothesis.given(st.binary(max_size=200))
    def test_arbitrary_bytes_change_nothing(self, data: bytes) -> None:
        self.peering.datagram_received(data, ("127.0.0.2", 1))
        self.assertEqual({}, self.peering.peers)

    @SETTINGS
    @hypothesis.given(MESSAGES)
    def test_well_formed_messages_with_extreme_values(
        self, messages: list[tuple[float, float, int, gateway_peers.Content]]
    ) -> None:
        self.setUp()
        for sent_at, echo, incarnation, content in messages:
            raw = gateway_peers.encode_content(content)
            message = gateway_peers.PeerMessage(sent_at, echo, incarnation, raw)
            self.peering.datagram_received(gateway_peers.encode(message), ("127.0.0.2", 1))
        self.check_still_works()

    @SETTINGS
    @hypothesis.given(st.integers(0, 400), st.integers(0, 255))
    def test_a_snapshot_with_a_changed_byte_is_refused_or_applied(
        self, position: int, value: int
    ) -> None:
        self.setUp()
        snapshot = snapshots.build_snapshot(self.fleet)
        assert snapshot is not None
        data = bytearray(gateway_snapshots.encode(snapshot))
        data[position % len(data)] = value
        try:
            decoded = gateway_snapshots.decode(bytes(data))
        except msgspec.DecodeError:
            return
        snapshots.apply_snapshot(self.fleet, decoded, 0.0, "g2")
        self.peering.update_liveness()
