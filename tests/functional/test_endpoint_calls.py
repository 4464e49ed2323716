"""Guards against calls that arrive twice at an endpoint and cut responses taken as whole."""

import asyncio
import time
import unittest

from masticward import errors
from masticward.models import attempts, work
from masticward.transport import endpoint as endpoint_module
from masticward.transport import token_stream
from tests.lib import agent_harness, raw_server

BIG_BODY = b"x" * 8_000_000
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"


class RawServerCase(unittest.IsolatedAsyncioTestCase):
    async def open(self, faults: dict[str, bytes]) -> None:
        self.server = raw_server.RawServer(faults)
        url = await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.plain = endpoint_module.PlainEndpoint(url)
        self.engine = endpoint_module.EngineEndpoint(url)
        self.addAsyncCleanup(self.plain.close)
        self.addAsyncCleanup(self.engine.close)

    def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        idempotent: bool = False,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> endpoint_module.EndpointRequest:
        call = work.CallRequest(
            request_id="r1",
            team="team-1",
            service="svc",
            operation="op",
            method=method,
            path=path,
            headers=headers,
            body=body,
            deadline=time.monotonic() + 10,
        )
        return endpoint_module.EndpointRequest(
            attempt_id="a1",
            call=call,
            idempotent=idempotent,
            fixed_cost=3.0,
            prompt_token_weight=0.1,
            output_token_weight=1.0,
        )

    async def collect(
        self, endpoint: endpoint_module.Endpoint, request: endpoint_module.EndpointRequest
    ) -> list[attempts.EndpointEvent]:
        return [event async for event in endpoint.run(request)]


class RepetitionTest(RawServerCase):
    async def test_closed_without_answer_arrives_once(self) -> None:
        await self.open({"/v1/close": b"close", "/v1/head": b"close-on-head"})
        for endpoint in (self.plain, self.engine):
            for method in agent_harness.METHODS:
                for path in ("/v1/close", "/v1/head"):
                    for idempotent in (False, True):
                        with self.subTest(method=method, path=path, idempotent=idempotent):
                            await self.expect_one_arrival(endpoint, method, path, idempotent)

    async def expect_one_arrival(
        self, endpoint: endpoint_module.Endpoint, method: str, path: str, idempotent: bool
    ) -> None:
        # Leaves a kept-alive connection behind, on which aiohttp would send the call twice.
        await self.collect(endpoint, self.request("GET", "/v1/ok", idempotent=True))
        self.server.arrivals.clear()
        body = BIG_BODY if method in ("POST", "PUT", "PATCH") else b""
        with self.assertRaises(errors.EndpointBrokenError):
            await self.collect(endpoint, self.request(method, path, body, idempotent))
        self.assertEqual([(method, path)], self.server.arrivals)

    async def test_call_that_must_not_be_repeated_gets_a_connection_of_its_own(self) -> None:
        await self.open({})
        for method in agent_harness.METHODS:
            for idempotent, expected in ((False, 2), (True, 0)):
                await self.collect(self.plain, self.request("GET", "/v1/ok", idempotent=True))
                before = self.server.connections
                for _ in range(2):
                    await self.collect(self.plain, self.request(method, "/v1/ok", b"", idempotent))
                with self.subTest(method=method, idempotent=idempotent):
                    self.assertEqual(before + expected, self.server.connections)

    async def test_refused_connection_is_not_started(self) -> None:
        await self.open({})
        await self.server.close()
        for method in agent_harness.METHODS:
            with self.assertRaises(errors.EndpointNotStartedError):
                await self.collect(self.plain, self.request(method, "/v1/ok"))

    async def test_refused_connection_after_a_lost_one_is_not_called_not_started(self) -> None:
        await self.open({"/v1/close": b"close"})
        await self.collect(self.plain, self.request("GET", "/v1/ok", idempotent=True))
        self.server.server.close()
        with self.assertRaises(errors.EndpointBrokenError):
            await self.collect(self.plain, self.request("GET", "/v1/close", idempotent=True))
        self.assertEqual(("GET", "/v1/close"), self.server.arrivals[-1])

    async def test_redirect_is_passed_on_and_not_followed(self) -> None:
        redirect = b"HTTP/1.1 307 Go\r\nLocation: /v1/ok\r\nContent-Length: 0\r\n\r\n"
        await self.open({"/v1/go": redirect})
        events = await self.collect(self.plain, self.request("GET", "/v1/go"))
        self.assertEqual(307, events[0].status)
        self.assertEqual([("GET", "/v1/go")], self.server.arrivals)

    async def test_forbidden_by_the_last_check_sends_nothing(self) -> None:
        await self.open({})

        def forbid() -> None:
            raise errors.AttemptRefusedError("zone-out")

        for idempotent in (False, True, True):
            request = self.request("PUT", "/v1/ok", b"x", idempotent)
            request = endpoint_module.msgspec.structs.replace(request, before_send=forbid)
            with self.assertRaises(errors.AttemptRefusedError):
                await self.collect(self.plain, request)
        await asyncio.sleep(0.05)
        self.assertEqual([], self.server.arrivals)


class ResponseTest(RawServerCase):
    async def test_cut_or_unverifiable_responses_are_broken(self) -> None:
        event_stream = CHUNKED + b"Content-Type: text/event-stream\r\n\r\n"
        faults = {
            "/v1/short": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
            "/v1/chunk": CHUNKED + b"\r\n5\r\nab",
            "/v1/no-last-chunk": CHUNKED + b"\r\n2\r\nab\r\n",
            "/v1/undelimited": b"HTTP/1.1 200 OK\r\n\r\nabc",
            "/v1/half-head": b"HTTP/1.1 200 OK\r\nContent-Le",
            "/v1/no-http": b"hello\r\n\r\n",
        }
        await self.open(faults | {"/v1/no-mark": event_stream + b"9\r\ndata: t\n\n\r\n0\r\n\r\n"})
        for path in faults:
            for endpoint in (self.plain, self.engine):
                with self.subTest(path=path), self.assertRaises(errors.EndpointBrokenError):
                    await self.collect(endpoint, self.request("POST", path))
        with self.assertRaises(errors.EndpointBrokenError):
            await self.collect(self.engine, self.request("POST", "/v1/no-mark"))

    async def test_response_is_byte_exact_and_cookies_do_not_cross(self) -> None:
        packed = bytes(range(256))
        await self.open(
            {
                "/v1/packed%2Fx?q=%20": b"HTTP/1.1 201 Made\r\nContent-Encoding: gzip\r\n"
                b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nKeep-Alive: timeout=5\r\n"
                b"Content-Length: 256\r\n\r\n" + packed
            }
        )
        for _ in range(2):
            headers = (("X-A", "1"), ("X-A", "2"), ("Connection", "x"), ("Host", "evil"))
            request = self.request("POST", "/v1/packed%2Fx?q=%20", b"b", headers=headers)
            head, *chunks = await self.collect(self.plain, request)
        self.assertEqual(packed, b"".join(chunk.data for chunk in chunks))
        self.assertEqual(3.0, sum(chunk.cost for chunk in chunks))
        cookies = [value for name, value in head.headers if name == "Set-Cookie"]
        self.assertEqual((201, ["a=1", "b=2"]), (head.status, cookies))
        self.assertFalse({"Keep-Alive", "Content-Length"} & {name for name, _ in head.headers})
        sent = self.server.heads[-1].decode()
        self.assertEqual(1, sent.count("Masticward-Attempt-Id: a1\r\n"))
        self.assertEqual((1, 1), (sent.count("X-A: 1\r\n"), sent.count("X-A: 2\r\n")))
        for absent in ("Cookie", "evil", "User-Agent", "Accept", "Connection: x"):
            self.assertNotIn(absent, sent)

    async def test_empty_response_still_costs(self) -> None:
        await self.open({"/v1/none": b"HTTP/1.1 204 None\r\n\r\n"})
        events = await self.collect(self.plain, self.request("DELETE", "/v1/none"))
        self.assertEqual(3.0, events[-1].cost)

    async def test_tokens_are_counted_whatever_the_pieces(self) -> None:
        stream = b": note\n\ndata: a\n\ndata:b\r\n\r\ndata: " + b"c" * 500 + b"\n\ndata: [DONE]\n\n"
        for size in (1, 2, 3, 7, 64, 1000):
            counter = token_stream.TokenCounter()
            pieces = [stream[start : start + size] for start in range(0, len(stream), size)]
            self.assertEqual(3, sum(counter.feed(piece) for piece in pieces))
            self.assertTrue(counter.done)
        for body, tokens in (
            (b'{"prompt_tokens": 7}', 7),
            (b"12345678", 2),
            (b'{"prompt_tokens": -5}', 21 / 4),
            (b'{"prompt_tokens": "x"}', 22 / 4),
        ):
            self.assertEqual(tokens, token_stream.prompt_tokens(body))
