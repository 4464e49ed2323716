"""Guards against requests to an endpoint that wants none for a time (503 with Retry-After).

The patterns: a burst that meets a full endpoint through several gateways, all endpoints of a
service pausing, and values that mean nothing.
"""

import unittest

from masticward.gateway import placer
from masticward.platform import headers
from masticward.state import announcements, placement
from tests.lib import gateway_builders as builders
from tests.unit import test_gateway_waiting

GATEWAYS = 20
PAUSE_SECONDS = 3.0


class PauseTest(unittest.TestCase):
    def test_a_burst_through_several_gateways_returns_one_by_one(self) -> None:
        endpoint = builders.make_endpoint("e1")
        gateways = [announcements.Announcements() for _ in range(GATEWAYS)]
        for item in gateways:
            item.record_pause(endpoint, PAUSE_SECONDS, 0.0)
        returned = [
            sum(item.is_open(endpoint, at) for item in gateways)
            for at in (0.0, PAUSE_SECONDS - 0.01, PAUSE_SECONDS + 0.4, PAUSE_SECONDS + 1.0)
        ]
        self.assertEqual([0, 0, GATEWAYS], [returned[0], returned[1], returned[3]])
        self.assertTrue(0 < returned[2] < GATEWAYS)

    def test_a_shorter_pause_does_not_end_a_longer_one(self) -> None:
        item = announcements.Announcements()
        item.record_pause(builders.make_endpoint("e1"), PAUSE_SECONDS, 0.0)
        item.record_pause(builders.make_endpoint("e1"), 0.1, 0.0)
        self.assertFalse(item.is_open(builders.make_endpoint("e1"), PAUSE_SECONDS - 0.1))

    def test_a_pause_ends_also_if_endless(self) -> None:
        item = announcements.Announcements()
        item.record_pause(builders.make_endpoint("e1"), float("inf"), 0.0)
        after = announcements.MAX_PAUSE_SECONDS + announcements.MAX_REOPENING_SECONDS
        self.assertTrue(item.is_open(builders.make_endpoint("e1"), after))
        item.expire([], after)
        self.assertEqual({}, item.paused_until)

    def test_only_plain_seconds_of_a_503_count(self) -> None:
        codec = headers.HeaderCodec()
        values = {
            b"3": 3.0,
            b"0.25": 0.25,
            b"1000000000": 1e9,
            b"9" * 400: float(headers.MAX_NUMBER),
            b"-1": None,
            b"1e9": None,
            b"soon": None,
            b"Sat, 05 Dec 2026 14:00:00 GMT": None,
            b"nan": None,
            b"": None,
        }
        for value, seconds in values.items():
            with self.subTest(value[:30]):
                fields = [(b"Retry-After", value)]
                head = codec.decode_response_head(503, fields)
                self.assertEqual(seconds, head.wanted_pause_seconds)
                self.assertIsNone(codec.decode_response_head(429, fields).wanted_pause_seconds)


class PausedPlacementTest(test_gateway_waiting.WaitingCase):
    def pause(self, endpoint_id: str, seconds: float) -> None:
        endpoint = self.fleet.table.endpoints[endpoint_id]
        self.fleet.announcements.record_pause(endpoint, seconds, self.now)

    async def test_requests_go_to_others_until_the_time_is_over(self) -> None:
        self.fleet.apply_endpoints([("e2", builders.make_endpoint("e2"))], False)
        self.pause("e1", 2.0)
        first = await self.submit("a")
        self.assertEqual("e2", first.result().endpoint.id)  # type: ignore[union-attr]
        self.fleet.loads.own.clear()
        self.fleet.apply_endpoints([("e2", None)], False)
        self.now += 2.6
        second = await self.submit("a")
        self.assertEqual("e1", second.result().endpoint.id)  # type: ignore[union-attr]

    async def test_a_request_waits_for_an_endpoint_that_opens_in_time(self) -> None:
        self.pause("e1", 1.0)
        task = await self.submit("a", max_wait_seconds=2.0)
        self.assertFalse(task.done())
        self.now += 1.3
        self.placer.process_queue("llm")
        self.assertIsInstance(await task, placement.Choice)

    async def test_a_request_that_cannot_wait_is_refused_at_once_with_the_time_left(self) -> None:
        self.pause("e1", 20.0)
        task = await self.submit("a", max_wait_seconds=2.0)
        refusal = task.result()
        assert isinstance(refusal, placer.PlacementRefusal)
        self.assertGreater(refusal.retry_after_seconds, 20.0)
        self.assertLess(refusal.retry_after_seconds, 23.0)
