"""Guards against peers that are never reached and against entries that are asked too often."""

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
    def test_small_fleet_reaches_everyone_and_an_entry_every_other_round(self) -> None:
        rotation = peer_rotation.PeerRotation("a0")
        fleet = make_fleet(4, 9)
        rotation.set_members(fleet)
        reached: collections.Counter[str] = collections.Counter()
        for _ in range(10):
            chosen = [*rotation.pick(frozenset()), *rotation.pick(frozenset())]
            self.assertEqual(2 * peer_rotation.PEERS_PER_ROUND, len({item.id for item in chosen}))
            self.assertTrue(any(item.role is membership.Role.ENTRY for item in chosen))
            reached.update(item.id for item in chosen)
        self.assertEqual({item.id for item in fleet} - {"a0"}, set(reached))

    def test_extra_rounds_reach_everyone_within_six(self) -> None:
        rotation = peer_rotation.PeerRotation("a0")
        fleet = make_fleet(4, 9)
        rotation.set_members(fleet)
        reached: collections.Counter[str] = collections.Counter()
        rounds = 6
        for _ in range(rounds):
            count = peer_rotation.PEERS_PER_EXTRA_ROUND
            chosen = rotation.pick(frozenset(), count)
            self.assertEqual(count, len({item.id for item in chosen}))
            reached.update(item.id for item in chosen)
        self.assertEqual({item.id for item in fleet} - {"a0"}, set(reached))

    def test_silent_peers_are_tried_and_do_not_take_the_place_of_others(self) -> None:
        rotation = peer_rotation.PeerRotation("a0")
        rotation.set_members(make_fleet(3, 9))
        silent = {"e0", "e1", "a1", "a2"}
        for _ in range(5):
            first = {item.id for item in rotation.pick(silent)}
            second = {item.id for item in rotation.pick(silent)}
            for chosen in (first, second):
                self.assertLessEqual(silent, chosen, "each is tried in each round")
                self.assertEqual(peer_rotation.PEERS_PER_ROUND, len(chosen - silent))
            self.assertIn("e2", first | second, "the only entry that answers is asked")

    def test_target_fleet_bounds_partners_and_the_rate_at_entries(self) -> None:
        """Fails if 6,700 agents together ask each of 410 entries more than 8 times per second."""
        fleet = make_fleet(410, 6700)
        asked: collections.Counter[str] = collections.Counter()
        sample, rounds = 60, 40
        for number in range(sample):
            rotation = peer_rotation.PeerRotation(f"a{number}")
            rotation.set_members(fleet)
            self.assertEqual(
                peer_rotation.ENTRY_PARTNERS + peer_rotation.OTHER_PARTNERS,
                len(rotation.all_partners()),
            )
            for _ in range(rounds):
                asked.update(item.role.value for item in rotation.pick(frozenset()))
        seconds = rounds / peer_rotation.ROUNDS_PER_SECOND
        rate_per_entry = asked["entry"] / sample / seconds * 6700 / 410
        self.assertGreater(asked["entry"], 0)
        self.assertLessEqual(rate_per_entry, peer_rotation.AGENT_EXCHANGES_PER_ENTRY_SECOND + 1e-9)
