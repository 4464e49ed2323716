"""Tests of faulty responses of endpoints through one gateway, over real sockets."""

import asyncio
import itertools

from tests.functional import test_gateway
from tests.lib import platform_standins

ROUTES = ("book", "status", "stream", "resume")
EVENT = b"id: 1\ndata: a\n\n"


class FaultyResponseCase(test_gateway.GatewayCase):
    """Adds endpoints with one behaviour, and a gateway with routes of more attempts."""

    async def start_with(self, behaviour: platform_standins.Behaviour, count: int = 2) -> None:
        for number in range(count):
            await self.add_endpoint(f"e{number}", behaviour)
        document = platform_standins.configuration()
        patient = {**document["routes"][4], "name": "patient", "path_prefix": "/patient/"}
        patient["max_attempts"] = 3
        await self.start(routes=[*document["routes"], patient])


class RefusalTest(FaultyResponseCase):
    """Guards against "not run" for a request that an endpoint ran, and against a second run."""

    async def test_a_late_refusal_on_a_kept_connection_is_not_taken_for_the_next_request(
        self,
    ) -> None:
        late = platform_standins.LateRefusal()
        await self.start_with(late)
        refusals = (b"503 X\r\nX-Masticward-Not-Executed: 1\r\n", b"421 X\r\n")
        cases = itertools.product(
            ("at once", "idle", "sent"), refusals, ("q0", None), ("book", "status", "stream")
        )
        for late.moment, late.head, late.refused_id, route in cases:
            with self.subTest(late.moment, head=late.head, id=late.refused_id, route=route):
                self.program.endpoint_client.pool.expire(set())
                self.program.endpoint_client.pool.reuse_limits.clear()
                first = self.request("book").replace(b"Id: q1", b"Id: q0")
                reader, _ = await self.send(first)
                self.assertEqual(200, (await self.read(reader)).status)
                await asyncio.sleep(0.06 if late.moment == "idle" else 0.0)
                before = self.attempts()
                response = await self.call(route)
                self.assertIn(response.status, (200, 502))
                if late.refused_id is not None:
                    self.assertEqual((200, EVENT), (response.status, response.body))
                if route != "status":
                    self.assertEqual(1, self.attempts() - before)

    async def test_a_refusal_that_does_not_say_not_run_is_no_promise(self) -> None:
        # Clients repeat a request after these statuses; the endpoint may have run it.
        script = platform_standins.ScriptedResponse(b"busy", framing="length", fields="")
        await self.start_with(script)
        for script.status, route in itertools.product((408, 429, 503), ("book", "stream")):
            with self.subTest(status=script.status, route=route):
                before = self.attempts()
                self.assertEqual(502, (await self.call(route)).status)
                self.assertEqual(1, self.attempts() - before)
