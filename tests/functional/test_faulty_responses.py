"""Tests of faulty responses of endpoints through one gateway, over real sockets."""

import asyncio
import itertools
import re
import typing

from masticward.state import body_memory
from tests.functional import test_gateway
from tests.lib import platform_standins

ROUTES = ("book", "status", "stream", "resume")
NOT_RUN = "X-Masticward-Not-Executed: 1\r\n"
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

    async def call(self, route: str, **arguments: typing.Any) -> test_gateway.Response:
        # Earlier cases of a test must not use up the retries of later ones.
        self.fleet.budgets.clear()
        return await super().call(route, **arguments)


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


class ResumptionTest(FaultyResponseCase):
    """Guards against anything but the next events in a stream that is resumed."""

    async def stream(self, route: str) -> test_gateway.Response:
        response = await self.call(route)
        self.assertEqual(200, response.status)
        self.assertTrue(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n".startswith(response.body))
        return response

    async def test_an_error_to_a_resumption_does_not_reach_the_stream(self) -> None:
        first = platform_standins.ScriptedResponse(EVENT, b"id: 2\nda", end="closed")
        error = platform_standins.ScriptedResponse(b'{"error": "boom"}')
        await self.start_with(platform_standins.ResumedStream(first, error), 4)
        for error.status, error.fields, error.framing, route in itertools.product(
            (404, 421, 429, 500, 503),
            ("", NOT_RUN, platform_standins.PROOF),
            ("chunked", "length", "none"),
            ("resume", "patient"),
        ):
            with self.subTest(error.status, fields=error.fields, framing=error.framing):
                before = self.attempts()
                self.assertFalse((await self.stream(route)).complete)
                self.assertGreaterEqual(self.attempts() - before, 2)

    async def test_after_an_error_to_a_resumption_a_further_attempt_completes_the_stream(
        self,
    ) -> None:
        errors = 0

        async def error_once(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            nonlocal errors
            errors += 1
            script = platform_standins.ScriptedResponse(b"id: 2\ndata: b\n\n")
            if errors == 1:
                script.status, script.parts = 500, (b"boom",)
            return await script(request, writer)

        first = platform_standins.ScriptedResponse(EVENT, end="closed")
        await self.start_with(platform_standins.ResumedStream(first, error_once), 3)
        response = await self.stream("patient")
        self.assertTrue(response.complete)
        self.assertEqual(EVENT + b"id: 2\ndata: b\n\n", response.body)
        self.assertEqual(3, self.attempts())

    async def test_a_success_that_does_not_continue_the_stream_is_not_passed_on(self) -> None:
        first = platform_standins.ScriptedResponse(EVENT, b"id: 2\nda", end="closed")
        resumed = platform_standins.ScriptedResponse()
        await self.start_with(platform_standins.ResumedStream(first, resumed))
        proof = platform_standins.PROOF
        following = b"id: 2\ndata: b\n\n"
        for name, parts, fields, framing, status in (
            ("content type", (b"{}",), proof + "Content-Type: text/json\r\n", "length", 200),
            ("content type", (following,), proof + "Content-Type: text/json\r\n", "none", 200),
            ("without an end", (), proof, "none", 200),
            ("no content", (), proof, "none", 204),
            ("other status", (following,), proof, "chunked", 206),
            ("repeated", (EVENT, following), proof, "chunked", 200),
            ("repeated, split", (b"id: ", b"1\ndata: a\n\n", following), proof, "chunked", 200),
            ("from the start", (b"id: 0\ndata: x\n\n" + EVENT,), proof, "chunked", 200),
            ("not signed", (following,), "", "chunked", 200),
        ):
            with self.subTest(name, parts=parts):
                resumed.parts, resumed.fields, resumed.framing = parts, fields, framing
                resumed.status = status
                response = await self.stream("resume")
                self.assertEqual((EVENT, False), (response.body, response.complete))

    async def test_a_stream_without_event_ids_is_not_started_again(self) -> None:
        first = platform_standins.ScriptedResponse(b"data: a\n\n", b"data: b", end="closed")
        await self.start_with(first)
        response = await self.call("resume")
        self.assertEqual((b"data: a\n\n", False), (response.body, response.complete))
        self.assertEqual(1, self.attempts())

    async def test_an_empty_resumption_with_an_end_completes_the_stream(self) -> None:
        # The first endpoint broke off after its last event.
        first = platform_standins.ScriptedResponse(EVENT, end="closed")
        resumed = platform_standins.ScriptedResponse()
        await self.start_with(platform_standins.ResumedStream(first, resumed))
        for resumed.framing in ("chunked", "length"):
            response = await self.stream("resume")
            self.assertEqual((EVENT, True), (response.body, response.complete))


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


class LostEventsTest(FaultyResponseCase):
    """Guards against events that found no memory, were dropped and never asked for again."""

    async def test_a_stream_is_resumed_after_the_last_event_that_was_sent(self) -> None:
        memory = self.program.answer_memory
        last_ids: list[str | None] = []
        taken_bytes = 0

        async def stream(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            nonlocal taken_bytes
            last_ids.append(request.headers.get("last-event-id"))
            # The other responses end.
            memory.held_bytes -= taken_bytes
            taken_bytes = 0
            head = f"X-Masticward-Request-Id: {request.request_id}\r\n{platform_standins.PROOF}"
            writer.write(f"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n".encode())
            for number in range(int(last_ids[-1] or 0) + 1, 5):
                if number == 2 and len(last_ids) == 1:
                    # Other responses take the memory.
                    await asyncio.sleep(0.1)
                    taken_bytes = int(memory.free_bytes)
                    memory.held_bytes += taken_bytes
                event = b"id: %d\ndata: %b\n\n" % (number, b"x" * 100)
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            writer.write(b"0\r\n\r\n")
            return True

        self.settings_text += "limits: {memory_mb: 300}\n"
        self.program.reload()
        await self.start_with(stream)
        response = await self.call("patient")
        self.assertEqual((200, True), (response.status, response.complete))
        self.assertEqual([b"1", b"2", b"3", b"4"], re.findall(rb"id: (\d)", response.body))
        self.assertEqual([None, "1"], last_ids)

    async def test_a_stream_that_its_client_reads_needs_little_of_scarce_memory(self) -> None:
        body = b"".join(b"id: %d\ndata: %b\n\n" % (number, b"x" * 500) for number in range(60))
        script = platform_standins.ScriptedResponse(body)
        await self.start_with(script, count=1)
        memory = self.program.answer_memory
        # Other responses have taken all but the part for small ones.
        memory.held_bytes = int(memory.limit_bytes * (1 - body_memory.SMALL_ANSWER_FRACTION))
        for route in ("stream", "resume"):
            with self.subTest(route):
                response = await self.call(route)
                self.assertEqual((200, True), (response.status, response.complete))
                self.assertEqual(body, response.body)
