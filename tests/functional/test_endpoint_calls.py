"""Guards against calls that arrive twice at an endpoint and cut responses taken as whole."""

import asyncio
import time
import unittest

import msgspec

from masticward import errors
from masticward.models import attempts
from masticward.transport import endpoint as endpoint_module
from masticward.transport import http_calls, instance_list, token_stream
from tests.lib import agent_harness, raw_server

BIG_BODY = b"x" * 8_000_000
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
MARKLESS = CHUNKED + b"Content-Type: text/event-stream\r\n\r\n9\r\ndata: t\n\n\r\n0\r\n\r\n"


class LongBodyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a process that keeps all of a body that a faulty peer sends without end."""

    async def asyncSetUp(self) -> None:
        body = b"HTTP/1.1 200 OK\r\n\r\n" + bytes(http_calls.MAX_BODY_BYTES + 1)
        server = raw_server.RawServer({"/load": body, "/v1/instances": body})
        self.base_url = await server.start()
        self.addCleanup(server.server.close)

    async def test_a_load_report_is_not_kept_beyond_the_limit(self) -> None:
        endpoint = endpoint_module.PlainEndpoint(self.base_url)
        self.addAsyncCleanup(endpoint.close)
        self.assertIn("exceeds", str((await endpoint.load(time.monotonic() + 60.0)).failure()))

    async def test_a_list_of_instances_is_not_kept_beyond_the_limit(self) -> None:
        source = instance_list.HttpInstanceList(self.base_url)
        self.addAsyncCleanup(source.close)
        self.assertIn("exceeds", str((await source.fetch(time.monotonic() + 60.0)).failure()))


class EndpointTest(unittest.IsolatedAsyncioTestCase):
    async def open(self, faults: dict[str, bytes]) -> None:
        self.server = raw_server.RawServer(faults)
        url = await self.server.start()
        self.plain = endpoint_module.PlainEndpoint(url)
        self.engine = endpoint_module.EngineEndpoint(url)
        self.addCleanup(self.server.server.close)
        self.addAsyncCleanup(self.plain.close)
        self.addAsyncCleanup(self.engine.close)

    def request(
        self, method: str, path: str, body: bytes = b"", idempotent: bool = False
    ) -> endpoint_module.EndpointRequest:
        call = agent_harness.call_request(method, body, 10.0, path)
        call.headers = (("X-A", "1"), ("X-A", "2"), ("Connection", "x"), ("Host", "evil"))
        return endpoint_module.EndpointRequest(
            attempt_id="a1", call=call, idempotent=idempotent, fixed_cost=3.0
        )

    async def collect(
        self, endpoint: endpoint_module.Endpoint, request: endpoint_module.EndpointRequest
    ) -> list[attempts.EndpointEvent]:
        return [event async for event in endpoint.run(request)]

    async def keep_connection(self, endpoint: endpoint_module.Endpoint) -> None:
        """Leave a kept-alive connection behind, on which aiohttp would send some calls twice."""
        await self.collect(endpoint, self.request("GET", "/v1/ok", idempotent=True))

    async def test_closed_without_answer_arrives_once(self) -> None:
        await self.open({"/v1/close": b"", "/v1/head": b"close-on-head"})
        for method in agent_harness.METHODS:
            body = BIG_BODY if method in ("POST", "PUT", "PATCH") else b""
            for endpoint in (self.plain, self.engine):
                for path in self.server.faults:
                    for idempotent in (False, True):
                        with self.subTest(method=method, path=path, idempotent=idempotent):
                            await self.keep_connection(endpoint)
                            self.server.arrivals.clear()
                            request = self.request(method, path, body, idempotent)
                            with self.assertRaises(errors.EndpointBrokenError):
                                await self.collect(endpoint, request)
                            self.assertEqual([(method, path)], self.server.arrivals)

    async def test_call_that_must_not_be_repeated_gets_a_connection_of_its_own(self) -> None:
        await self.open({})
        for method in agent_harness.METHODS:
            for idempotent, expected in ((False, 2), (True, 0)):
                await self.keep_connection(self.plain)
                before = self.server.connections
                for _ in range(2):
                    await self.collect(self.plain, self.request(method, "/v1/ok", b"", idempotent))
                with self.subTest(method=method, idempotent=idempotent):
                    self.assertEqual(before + expected, self.server.connections)

    async def test_only_a_connection_refused_at_once_means_not_started(self) -> None:
        await self.open({"/v1/close": b""})
        await self.keep_connection(self.plain)
        self.server.server.close()
        with self.assertRaises(errors.EndpointBrokenError):
            await self.collect(self.plain, self.request("GET", "/v1/close", idempotent=True))
        for method in agent_harness.METHODS:
            with self.assertRaises(errors.EndpointNotStartedError):
                await self.collect(self.plain, self.request(method, "/v1/ok"))

    async def test_forbidden_by_the_last_check_sends_nothing(self) -> None:
        await self.open({})

        def forbid() -> None:
            raise errors.AttemptRefusedError("zone-out")

        for idempotent in (False, True, True):
            request = self.request("PUT", "/v1/ok", b"x", idempotent)
            request = msgspec.structs.replace(request, before_send=forbid)
            with self.assertRaises(errors.AttemptRefusedError):
                await self.collect(self.plain, request)
        await self.keep_connection(self.plain)
        self.assertEqual([("GET", "/v1/ok")], self.server.arrivals)

    async def test_cut_or_unverifiable_responses_are_broken(self) -> None:
        faults = {
            "/v1/short": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
            "/v1/chunk": CHUNKED + b"\r\n5\r\nab",
            "/v1/no-last-chunk": CHUNKED + b"\r\n2\r\nab\r\n",
            "/v1/undelimited": b"HTTP/1.1 200 OK\r\n\r\nabc",
            "/v1/half-head": b"HTTP/1.1 200 OK\r\nContent-Le",
            "/v1/no-end-mark": MARKLESS,
        }
        await self.open(faults)
        for path in faults:
            for endpoint in (self.plain, self.engine):
                if path == "/v1/no-end-mark" and endpoint is self.plain:
                    continue
                with self.subTest(path=path), self.assertRaises(errors.EndpointBrokenError):
                    await self.collect(endpoint, self.request("POST", path))

    async def test_late_copy_on_an_idle_connection_is_not_the_next_response(self) -> None:
        # An endpoint writes an earlier refusal once more; the next call would be "not run".
        await self.open({})
        copy = b"HTTP/1.1 503 X\r\nMasticward-Endpoint: not-run\r\nContent-Length: 0\r\n\r\n"
        self.server.idle_bytes = copy
        for endpoint in (self.plain, self.engine):
            for _ in range(2):
                request = self.request("GET", "/v1/ok", idempotent=True)
                head = (await self.collect(endpoint, request))[0]
                self.assertEqual(200, head.status)
                await asyncio.sleep(0.1)
        self.assertEqual(4, len(self.server.arrivals))

    async def test_response_is_passed_on_byte_exact(self) -> None:
        packed = bytes(range(256))
        # A redirect must not be followed, cookies of a team must not reach another one.
        answer = (
            b"HTTP/1.1 307 Go\r\nLocation: /v1/ok\r\nContent-Encoding: gzip\r\n"
            b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nKeep-Alive: timeout=5\r\n"
            b"Content-Length: 256\r\n\r\n" + packed
        )
        path = "/v1/packed%2Fx?q=%20"
        await self.open({path: answer, "/v1/none": b"HTTP/1.1 204 None\r\n\r\n"})
        # aiohttp keeps cookies of named hosts only.
        self.plain.base_url = self.plain.base_url.replace("127.0.0.1", "localhost")
        for _ in range(2):
            head, *chunks = await self.collect(self.plain, self.request("POST", path, b"b"))
        self.assertEqual(packed, b"".join(chunk.data for chunk in chunks))
        self.assertEqual(3.0, sum(chunk.cost for chunk in chunks))
        cookies = [value for name, value in head.headers if name == "Set-Cookie"]
        self.assertEqual((307, ["a=1", "b=2"]), (head.status, cookies))
        self.assertFalse({"Keep-Alive", "Content-Length"} & {name for name, _ in head.headers})
        self.assertEqual([("POST", path)] * 2, self.server.arrivals)
        sent = self.server.head.decode()
        for present in ("Masticward-Attempt-Id: a1\r\n", "X-A: 1\r\n", "X-A: 2\r\n"):
            self.assertEqual(1, sent.count(present))
        for absent in ("Cookie", "evil", "User-Agent", "Accept", "Connection: x"):
            self.assertNotIn(absent, sent)
        empty = await self.collect(self.plain, self.request("DELETE", "/v1/none"))
        self.assertEqual(3.0, empty[-1].cost)

    async def test_tokens_are_counted_whatever_the_pieces(self) -> None:
        stream = b": note\n\ndata: a\n\ndata:b\r\n\r\ndata: " + b"c" * 500 + b"\n\ndata: [DONE]\n\n"
        for size in (1, 3, 64, 1000):
            counter = token_stream.TokenCounter()
            pieces = [stream[start : start + size] for start in range(0, len(stream), size)]
            self.assertEqual(3, sum(counter.feed(piece) for piece in pieces))
            self.assertTrue(counter.done)
            self.assertLess(len(counter.line), 100)
        bodies = {b'{"prompt_tokens": 7}': 7, b"12345678": 2, b'{"prompt_tokens": -5}': 21 / 4}
        for body, tokens in bodies.items():
            self.assertEqual(tokens, token_stream.prompt_tokens(body))
