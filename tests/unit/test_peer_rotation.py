"""Guards against rounds that omit some peers or exceed the exchange rate at entries."""

import collections
import unittest

from masticward.coordination import peer_rotation
from masticward.models import membership
from tests.lib import platforms


def make_fleet(entries: int, agents: int) -> list[membership.Instance]:
    """Return the instances of a fleet."""
    return [
        *(platforms.make_entry(f"e{number}") for number in range(entries)),
        *(platforms.make_agent(f"a{number}") for number in range(agents)),
    ]


class PeerRotationTest(unittest.TestCase):
    def test_rounds_reach_all_members_and_every_other_round_an_entry(self) -> None:
        rotation = peer_rotation.PeerRotation("a0")
        fleet = make_fleet(4, 9)
        rotation.set_members(fleet)
        reached: collections.Counter[str] = collections.Counter()
        for _ in range(10):
            chosen = [*rotation.choose_peers(frozenset()), *rotation.choose_peers(frozenset())]
            self.assertEqual(2 * peer_rotation.PEERS_PER_ROUND, len({item.id for item in chosen}))
            self.assertTrue(any(item.role is membership.Role.ENTRY for item in chosen))
            reached.update(item.id for item in chosen)
        self.assertEqual({item.id for item in fleet} - {"a0"}, set(reached))

    def test_six_extra_rounds_reach_all_members(self) -> None:
        rotation = peer_rotation.PeerRotation("a0")
        fleet = make_fleet(4, 9)
        rotation.set_members(fleet)
        reached: collections.Counter[str] = collections.Counter()
        rounds = 6
        for _ in range(rounds):
            count = peer_rotation.PEERS_PER_EXTRA_ROUND
            chosen = rotation.choose_peers(frozenset(), count)
            self.assertEqual(count, len({item.id for item in chosen}))
            reached.update(item.id for item in chosen)
        self.assertEqual({item.id for item in fleet} - {"a0"}, set(reached))

    def test_unresponsive_peers_are_probed_in_addition_to_others(self) -> None:
        rotation = peer_rotation.PeerRotation("a0")
        rotation.set_members(make_fleet(3, 9))
        unresponsive = {"e0", "e1", "a1", "a2"}
        for _ in range(5):
            first = {item.id for item in rotation.choose_peers(unresponsive)}
            second = {item.id for item in rotation.choose_peers(unresponsive)}
            for chosen in (first, second):
                self.assertLessEqual(unresponsive, chosen, "each is probed in each round")
                self.assertEqual(peer_rotation.PEERS_PER_ROUND, len(chosen - unresponsive))
            self.assertIn("e2", first | second, "the only responsive entry is chosen")

    def test_partners_and_rate_at_entries_are_bounded_in_a_large_fleet(self) -> None:
        """Fails if 6,700 agents make more than 8 exchanges per second with each of 410 entries."""
        fleet = make_fleet(410, 6700)
        exchanges_by_role: collections.Counter[str] = collections.Counter()
        sample, rounds = 60, 40
        for number in range(sample):
            rotation = peer_rotation.PeerRotation(f"a{number}")
            rotation.set_members(fleet)
            self.assertEqual(
                peer_rotation.MAXIMUM_ENTRY_PARTNERS + peer_rotation.MAXIMUM_AGENT_PARTNERS,
                len(rotation.all_partners()),
            )
            for _ in range(rounds):
                exchanges_by_role.update(
                    item.role.value for item in rotation.choose_peers(frozenset())
                )
        seconds = rounds / peer_rotation.ROUNDS_PER_SECOND
        rate_per_entry = exchanges_by_role["entry"] / sample / seconds * 6700 / 410
        self.assertGreater(exchanges_by_role["entry"], 0)
        self.assertLessEqual(
            rate_per_entry, peer_rotation.MAXIMUM_EXCHANGES_PER_ENTRY_PER_SECOND + 1e-9
        )
