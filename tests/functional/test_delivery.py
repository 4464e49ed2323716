"""Guards against accepted changes that the fleet does not learn during an outage of the object API,
and against deliveries that a process must not take."""

import random
import unittest

import msgspec

from masticward import settings
from masticward.models import membership
from masticward.publishing import change, delivery
from tests.lib import platforms

WRONG_KEY = msgspec.structs.replace(platforms.SECURITY, shared_key="another-key")


class DeliveryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = platforms.Platform()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.close)

    async def add_cut_off(self, instance: membership.Instance) -> platforms.Process:
        """Start a process that never reaches the object API."""
        return await self.platform.add(instance, object_api_url=platforms.UNREACHABLE_URL)

    async def accept(self, number: int) -> change.Accepted:
        """Make a change that gives the operations state the version ``number``."""
        operator = self.platform.operator()
        outcome = await operator.take_out_instance(f"x{number}", True, platforms.make_deadline())
        accepted = outcome.unwrap()
        self.assertEqual(number, accepted.version)
        return accepted

    async def deliver(
        self,
        accepted: change.Accepted,
        security: settings.PeerSecurity | None = platforms.SECURITY,
    ) -> delivery.Delivered:
        return await delivery.deliver(
            accepted, security, self.platform.list, platforms.make_deadline()
        )

    async def test_delivered_change_reaches_a_fleet_without_the_object_api(self) -> None:
        """Fails if an outage right after the acceptance hides the change from the fleet (P4)."""
        agents = delivery.RECEIVERS_PER_ROLE + 1
        instances = [platforms.make_agent(f"a{number}") for number in range(agents)]
        processes = [
            await self.add_cut_off(instance) for instance in [platforms.make_entry(), *instances]
        ]
        delivered = await self.deliver(await self.accept(1))
        self.assertEqual(1 + delivery.RECEIVERS_PER_ROLE, len(delivered.adopted))
        await platforms.wait_until(
            lambda: all(process.versions == (0, 1) for process in processes), "known to all"
        )

    async def test_older_state_is_refused(self) -> None:
        """Fails if a late delivery takes a process back to an older state."""
        process = await self.add_cut_off(platforms.make_entry())
        older, newer = await self.accept(1), await self.accept(2)
        await self.deliver(newer)
        await self.deliver(older)
        self.assertEqual((0, 2), process.versions)
        mislabelled = msgspec.structs.replace(older, version=3)
        delivered = await self.deliver(mislabelled)
        self.assertEqual({"e1": "has operations state 2"}, delivered.failed)
        self.assertEqual(("x1", "x2"), process.view.operations.instances_out)

    async def test_damaged_state_is_refused(self) -> None:
        """Fails if a process takes bytes that do not decode."""
        process = await self.add_cut_off(platforms.make_entry())
        accepted = await self.accept(1)
        for document in (accepted.document[:-1], b'{"version": 0}', b"\xff", b""):
            damaged = msgspec.structs.replace(accepted, document=document)
            delivered = await self.deliver(damaged)
            self.assertEqual({"e1": "has operations state 0"}, delivered.failed)
        self.assertEqual((0, 0), process.versions)

    async def test_wrong_key_is_refused(self) -> None:
        """Fails if anybody who reaches a peer port can take zones out of service."""
        process = await self.add_cut_off(platforms.make_entry())
        delivered = await self.deliver(await self.accept(1), WRONG_KEY)
        self.assertIn("UNAUTHENTICATED", delivered.failed["e1"])
        self.assertEqual((0, 0), process.versions)

    async def test_nothing_is_sent_without_a_key(self) -> None:
        """Fails if a command without the key claims a delivery."""
        process = await self.add_cut_off(platforms.make_entry())
        delivered = await self.deliver(await self.accept(1), None)
        self.assertTrue(delivered.not_tried)
        self.assertEqual((), delivered.adopted)
        self.assertEqual((0, 0), process.versions)


class ReceiversTest(unittest.TestCase):
    def test_receivers_are_live_and_in_different_zones(self) -> None:
        """Fails if the loss of one zone can take every receiver of a role with it."""
        instances = [
            make(f"{role}-{zone}-{number}", availability_zone=zone)
            for role, make in (("e", platforms.make_entry), ("a", platforms.make_agent))
            for zone, count in (("north", 6), ("south", 2), ("west", 1))
            for number in range(count)
        ]
        instances.append(platforms.make_entry("e-leaving", availability_zone="east", leaving=True))
        for seed in range(20):
            chosen = delivery.choose(instances, random.Random(seed))
            for role in membership.Role:
                zones = [item.availability_zone for item in chosen if item.role is role]
                self.assertEqual(["north", "south", "west"], sorted(zones))
        self.assertEqual(2, len(delivery.choose(instances[:2], random.Random(1))))
