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


class IncompleteResponseTest(FaultyResponseCase):
    """Guards against a success made of a part of a response."""

    async def test_a_response_that_ends_within_its_head_is_no_response(self) -> None:
        cut = platform_standins.CutHead()
        await self.start_with(cut)
        head = b"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: q1\r\n"
        head += platform_standins.PROOF.encode()
        for kept in (head[:4], head[:13], head[:30], head[:-1], head, head + b"\r"):
            for cut.reset, route in itertools.product((False, True), ROUTES):
                with self.subTest(kept=kept, reset=cut.reset, route=route):
                    cut.kept = kept
                    response = await self.call(route)
                    self.assertEqual((502, b""), (response.status, response.body))

    async def test_a_body_that_is_cut_short_is_no_success(self) -> None:
        script = platform_standins.ScriptedResponse()
        await self.start_with(script)
        for script.framing, script.end, script.parts, route in itertools.product(
            ("length", "chunked"), ("closed", "reset"), ((), (EVENT,)), ROUTES
        ):
            with self.subTest(script.framing, end=script.end, parts=script.parts, route=route):
                response = await self.call(route)
                if script.parts and route in ("stream", "resume"):
                    self.assertEqual((200, False), (response.status, response.complete))
                else:
                    self.assertEqual(502, response.status)

    async def test_an_event_stream_that_ends_before_its_first_byte_is_no_success(self) -> None:
        # Without a length or chunks, this may be the start of any stream.
        await self.start_with(platform_standins.ScriptedResponse(framing="none"))
        for route in ("stream", "resume"):
            self.assertEqual(502, (await self.call(route)).status)

    async def test_an_empty_success_on_a_stream_route_is_passed_on(self) -> None:
        script = platform_standins.ScriptedResponse()
        await self.start_with(script)
        for script.framing, route in itertools.product(("length", "chunked"), ("stream", "resume")):
            with self.subTest(script.framing, route=route):
                response = await self.call(route)
                self.assertEqual((200, b""), (response.status, response.body))
                self.assertTrue(response.complete)
