"""Guards against requests to an endpoint that has said in an answer that it leaves.

The patterns: a leaving endpoint among ready ones, all leaving, one reborn at the same address.
"""

import asyncio
import unittest

from masticward.gateway import placer
from masticward.platform import headers
from masticward.state import announcements, placement
from tests.lib import gateway_builders as builders
from tests.unit import test_gateway_waiting


class AnnouncementsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.announcements = announcements.Announcements()
        self.endpoint = builders.make_endpoint("e1", born=5)
        self.announcements.record_leaving(self.endpoint, 0.0)

    def test_another_incarnation_or_address_is_not_leaving(self) -> None:
        self.assertTrue(self.announcements.is_leaving(self.endpoint))
        for changes in ({"born": 6}, {"address": "127.0.0.1:2"}):
            reborn = builders.make_endpoint("e1", **{"born": 5, **changes})
            self.assertFalse(self.announcements.is_leaving(reborn))

    def test_it_holds_while_the_endpoint_is_listed_and_a_while_after(self) -> None:
        self.announcements.expire([self.endpoint], 1000.0)
        self.assertTrue(self.announcements.is_leaving(self.endpoint))
        self.announcements.expire([], 1000.0 + announcements.UNLISTED_MEMORY_SECONDS - 1.0)
        self.assertTrue(self.announcements.is_leaving(self.endpoint))
        self.announcements.expire([], 1001.0 + announcements.UNLISTED_MEMORY_SECONDS)
        self.assertFalse(self.announcements.is_leaving(self.endpoint))

    def test_peers_are_told_of_listed_endpoints_only(self) -> None:
        report = self.announcements.build_report([self.endpoint])
        other = announcements.Announcements()
        self.assertTrue(all(other.merge_leaving(key, 0.0) for key in report))
        self.assertTrue(other.is_leaving(self.endpoint))
        self.assertEqual([], other.build_report([]))

    def test_memory_is_bounded(self) -> None:
        for number in range(announcements.MAX_LEAVING + 10):
            self.announcements.merge_leaving(f"e{number}", float(number))
        self.announcements.merge_leaving("x" * (announcements.MAX_KEY_LENGTH + 1), 0.0)
        self.assertEqual(announcements.MAX_LEAVING, len(self.announcements.leaving))

    def test_the_mark_is_read_from_answers_of_every_status(self) -> None:
        codec = headers.HeaderCodec()
        for status in (200, 421, 429, 500, 503):
            marked = codec.decode_response_head(status, [(b"Server-Leaving", b"1")])
            self.assertTrue(marked.leaving)
            self.assertFalse(codec.decode_response_head(status, []).leaving)


class LeavingPlacementTest(test_gateway_waiting.WaitingCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.apply_endpoints([("e2", builders.make_endpoint("e2"))], False)

    def leave(self, endpoint_id: str) -> None:
        endpoint = self.fleet.table.endpoints[endpoint_id]
        self.fleet.announcements.record_leaving(endpoint, self.now)

    async def placed(self, count: int) -> set[str | None]:
        """Return the endpoints of requests, None for those that wait."""
        tasks = [await self.submit("a") for _ in range(count)]
        await asyncio.sleep(0)
        found: set[str | None] = set()
        for task in tasks:
            choice = task.result() if task.done() else None
            found.add(choice.endpoint.id if isinstance(choice, placement.Choice) else None)
        return found

    async def test_a_leaving_endpoint_gets_nothing_while_others_are_ready(self) -> None:
        self.leave("e1")
        # A listing that still says ready changes nothing.
        self.fleet.apply_endpoints([("e1", builders.make_endpoint("e1"))], False)
        self.assertEqual({"e2"}, await self.placed(3) - {None})

    async def test_requests_wait_and_are_refused_while_all_are_leaving(self) -> None:
        self.leave("e1")
        self.leave("e2")
        task = await self.submit("a", max_wait_seconds=0.5)
        self.assertFalse(task.done())
        self.now += 0.6
        self.placer.process_queue("llm")
        await asyncio.sleep(0)
        self.assertIsInstance(task.result(), placer.PlacementRefusal)

    async def test_a_reborn_endpoint_at_the_same_address_is_used(self) -> None:
        self.leave("e1")
        self.leave("e2")
        reborn = builders.make_endpoint("e1", born=9)
        self.fleet.apply_endpoints([("e1", reborn)], False)
        self.assertEqual({"e1"}, await self.placed(1))
