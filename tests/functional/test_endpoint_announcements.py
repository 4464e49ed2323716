"""Guards against requests to an endpoint after what it has said of itself in an answer."""

import asyncio

from masticward.utils import clocks
from tests.functional import test_gateway
from tests.lib import platform_standins

LEAVING = "Server-Leaving: 1\r\n"
EVENT = b"id: 1\ndata: a\n\n"


class AnnouncingEndpoint:
    """Answers as the test sets it, with a field of its own in the head."""

    def __init__(self) -> None:
        self.fields = ""
        self.status = 200
        self.not_run = False

    async def __call__(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        fields = platform_standins.PROOF + self.fields
        if self.not_run:
            fields += "X-Masticward-Not-Executed: 1\r\n"
        answer = platform_standins.ScriptedResponse(EVENT, status=self.status, fields=fields)
        return await answer(request, writer)


class LeavingTest(test_gateway.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.leaving = AnnouncingEndpoint()
        self.leaving.fields = LEAVING
        await self.add_endpoint("e1", self.leaving)

    async def call_many(self, count: int) -> list[int]:
        """Send requests of several kinds and return their statuses."""
        routes = ["book", "status", "stream", "resume"]
        return [(await self.call(routes[number % 4])).status for number in range(count)]

    async def mark_and_add_another(self, route: str) -> int:
        """Let e1 answer one request, then add e2; return the status."""
        await self.start()
        status = (await self.call(route)).status
        await self.add_endpoint("e2", AnnouncingEndpoint())
        await self.wait_until(lambda: len(self.fleet.table.endpoints) == 2)
        return status

    async def test_a_whole_answer_or_a_stream_closes_its_endpoint(self) -> None:
        for route in ("book", "stream"):
            with self.subTest(route):
                self.assertEqual(200, await self.mark_and_add_another(route))
                self.assertEqual({200}, set(await self.call_many(12)))
                self.assertEqual(1, len(self.endpoints[0].received))
            await self.asyncTearDown()
            await self.asyncSetUp()

    async def test_a_refusal_closes_its_endpoint(self) -> None:
        self.leaving.status, self.leaving.not_run = 503, True
        self.assertEqual(503, await self.mark_and_add_another("book"))
        self.assertEqual({200}, set(await self.call_many(12)))
        self.assertEqual(1, len(self.endpoints[0].received))

    async def test_it_holds_against_listings_and_while_the_store_is_away(self) -> None:
        await self.mark_and_add_another("book")
        self.store.put_endpoint("e1", self.endpoints[0].address, seq=2)
        await asyncio.sleep(0.2)
        self.store.unavailable = True
        self.assertEqual({200}, set(await self.call_many(12)))
        self.assertEqual(1, len(self.endpoints[0].received))

    async def test_the_next_incarnation_is_used_again(self) -> None:
        await self.start()
        await self.call("book")
        self.assertEqual(503, (await self.call("short")).status)
        self.leaving.fields = ""
        self.store.put_endpoint("e1", self.endpoints[0].address, born=77)
        await self.wait_until(lambda: self.fleet.table.endpoints["e1"].born == 77)
        self.assertEqual(200, (await self.call("book")).status)


class SpeedTest(test_gateway.GatewayCase):
    async def test_the_figure_of_each_response_is_recorded_for_its_incarnation(self) -> None:
        slow = AnnouncingEndpoint()
        await self.add_endpoint("e1", slow)
        await self.start()
        for figures, expected in (("1,0,6", 1.0), ("1,0,6,250", 2.5), ("1,x,6,70", 0.7)):
            for route in ("book", "stream"):
                slow.fields = f"X-Masticward-Server-Load: {figures}\r\n"
                self.assertEqual(200, (await self.call(route)).status)
                factor = self.fleet.speeds.time_factor("e1", clocks.boot_time())
                self.assertAlmostEqual(expected, factor, msg=figures)
        self.store.put_endpoint("e1", self.endpoints[0].address, born=77)
        await self.wait_until(lambda: self.fleet.table.endpoints["e1"].born == 77)
        self.assertEqual(1.0, self.fleet.speeds.time_factor("e1", clocks.boot_time()))


class PausedTest(test_gateway.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.pausing = AnnouncingEndpoint()
        self.pausing.status, self.pausing.not_run = 503, True
        self.pausing.fields = "Retry-After: 1.2\r\n"
        await self.add_endpoint("e1", self.pausing)

    async def test_an_endpoint_gets_nothing_until_its_time_is_over(self) -> None:
        await self.start()
        self.assertEqual(503, (await self.call("short")).status)
        await self.add_endpoint("e2", AnnouncingEndpoint())
        await self.wait_until(lambda: len(self.fleet.table.endpoints) == 2)
        before = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < before + 0.8:
            self.assertEqual(200, (await self.call("status")).status)
        self.assertEqual(1, len(self.endpoints[0].received))
        self.pausing.status, self.pausing.not_run, self.pausing.fields = 200, False, ""
        await self.endpoints[1].stop()
        self.store.remove("servers", "e2")
        await self.wait_until(lambda: len(self.fleet.table.endpoints) == 1)
        await asyncio.sleep(1.0)
        self.assertEqual(200, (await self.call("status")).status)

    async def test_the_client_learns_when_all_want_nothing(self) -> None:
        self.pausing.fields = "Retry-After: 7\r\n"
        await self.start()
        await self.call("book")
        before = asyncio.get_running_loop().time()
        response = await self.call("book")
        self.assertLess(asyncio.get_running_loop().time() - before, 0.5)
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["retry-after"]), 6.0)
        self.assertEqual(1, len(self.endpoints[0].received))
