"""Tests of a client's request through one gateway, over real sockets to a stand-in platform."""

import asyncio
import socket
import time
import typing
import unittest.mock

from masticward.daemons import gateway as gateway_daemon
from masticward.platform import headers, settings, store
from masticward.state import load_shedding
from masticward.utils import clocks
from tests.lib import loops, platform_standins

READ_TIMEOUT_SECONDS = 10.0


class Response:
    """A response as read by a client; ``complete`` is False if the connection broke off."""

    def __init__(self, status: int, fields: dict[str, str], body: bytes, complete: bool) -> None:
        self.status = status
        self.headers = fields
        self.body = body
        self.complete = complete


async def read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Read a chunked body; return it and whether its last chunk was received."""
    body = b""
    try:
        while line := await reader.readline():
            size = int(line, 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return body, False


class GatewayCase(loops.UvloopTestCase):
    """Runs a gateway between a client and stand-ins for the platform's store and endpoints."""

    revoke_ms = 5000
    grace_s = 8

    async def asyncSetUp(self) -> None:
        self.store = platform_standins.StoreStandin()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.endpoints: list[platform_standins.EndpointStandin] = []
        self.settings_text = platform_standins.SETTINGS.format(
            ip="127.0.0.1",
            store=self.store.address,
            revoke_ms=self.revoke_ms,
            grace_s=self.grace_s,
        )
        loaded = settings.decode(self.settings_text)
        self.program = gateway_daemon.GatewayProgram(
            loaded,
            store.Store(loaded.store_address),
            headers.HeaderCodec(),
            lambda: settings.decode(self.settings_text),
        )
        self.fleet = self.program.fleet

    async def asyncTearDown(self) -> None:
        self.program.client_server.abort()
        await self.program.background.cancel()

    async def add_endpoint(
        self, name: str, behaviour: platform_standins.Behaviour | None = None
    ) -> platform_standins.EndpointStandin:
        endpoint = platform_standins.EndpointStandin(behaviour)
        await endpoint.start()
        self.addAsyncCleanup(endpoint.stop)
        self.store.put_endpoint(name, endpoint.address)
        self.endpoints.append(endpoint)
        return endpoint

    async def start(self, **changes: typing.Any) -> None:
        self.store.put("config", "main", platform_standins.configuration(**changes))
        await self.program.start()
        listener = self.program.client_server.listener
        assert listener is not None
        self.port = listener.port
        await self.wait_until(lambda: self.fleet.configuration is not None)
        await self.wait_until(lambda: len(self.fleet.table.endpoints) == len(self.endpoints))

    async def wait_until(self, condition: typing.Callable[[], bool]) -> None:
        async with asyncio.timeout(READ_TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.01)

    async def send(self, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        return reader, writer

    async def read(self, reader: asyncio.StreamReader) -> Response:
        async with asyncio.timeout(READ_TIMEOUT_SECONDS):
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            fields = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(":") for line in lines[1:] if line)
            }
            status = int(lines[0].split(" ")[1])
            try:
                if "content-length" in fields:
                    body = await reader.readexactly(int(fields["content-length"]))
                    return Response(status, fields, body, True)
                body, complete = await read_chunks(reader)
                return Response(status, fields, body, complete)
            except (asyncio.IncompleteReadError, ConnectionError):
                return Response(status, fields, b"", False)

    def request(
        self, route: str, method: str = "POST", body: bytes = b"hello", extra: str = ""
    ) -> bytes:
        head = (
            f"{method} /{route}/x?y=1 HTTP/1.1\r\nHost: api.example\r\n"
            f"X-Masticward-Request-Id: q1\r\nX-Masticward-Deadline-Ms: 3000\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    async def call(self, route: str, **arguments: typing.Any) -> Response:
        reader, writer = await self.send(self.request(route, **arguments))
        try:
            return await self.read(reader)
        finally:
            writer.close()

    def attempts(self) -> int:
        return sum(len(endpoint.received) for endpoint in self.endpoints)


class ForwardingTest(GatewayCase):
    """Guards against altered, forged or incomplete requests and responses."""

    async def test_request_and_response_are_forwarded_unchanged(self) -> None:
        endpoint = await self.add_endpoint("e1")
        await self.start()
        response = await self.call("book", extra="X-Other: kept\r\n")
        self.assertEqual((200, b"answer"), (response.status, response.body))
        self.assertEqual("proof", response.headers["x-masticward-response-seal"])
        received = endpoint.received[0]
        self.assertEqual(("POST", "/book/x?y=1"), (received.method, received.target))
        self.assertEqual(b"hello", received.body)
        self.assertEqual("kept", received.headers["x-other"])
        self.assertEqual("e1", received.headers["x-masticward-expect-instance"])
        self.assertLessEqual(int(received.headers["x-masticward-deadline-ms"]), 3000)

    async def test_reserved_headers_of_a_client_are_removed(self) -> None:
        endpoint = await self.add_endpoint("e1")
        await self.start()
        forged = (
            "X-Masticward-Tenant: other\r\nX-Masticward-Hold: h\r\nX-Masticward-Pin-Ms: 4000\r\n"
            "X-Masticward-Kv-Backup: 127.0.0.1:1\r\nKv-From: 127.0.0.1:1/h\r\n"
            "Authorization: Bearer key-a\r\n"
        )
        response = await self.call("keyed", extra=forged)
        self.assertEqual(200, response.status)
        received = endpoint.received[0].headers
        self.assertEqual("team-a", received["x-masticward-tenant"])
        for name in ("x-masticward-hold", "x-masticward-pin-ms", "kv-from", "authorization"):
            self.assertNotIn(name, received)
        self.assertNotIn("x-masticward-kv-backup", received)

    async def test_a_connection_header_cannot_remove_the_host(self) -> None:
        # Without a host no request to an endpoint can be encoded.
        endpoint = await self.add_endpoint("e1")
        await self.start()
        response = await self.call("book", extra="Connection: host\r\n")
        self.assertEqual(200, response.status)
        self.assertEqual("api.example", endpoint.received[0].headers["host"])

    async def test_unknown_keys_and_routes_are_refused_without_an_attempt(self) -> None:
        await self.add_endpoint("e1")
        await self.start()
        self.assertEqual(401, (await self.call("keyed")).status)
        wrong = "Authorization: Bearer nobody\r\n"
        self.assertEqual(401, (await self.call("keyed", extra=wrong)).status)
        self.assertEqual(404, (await self.call("nowhere")).status)
        self.assertEqual(0, self.attempts())

    async def test_request_smuggling_by_ambiguous_framing_is_refused(self) -> None:
        await self.add_endpoint("e1")
        await self.start()
        smuggled = self.request("book", extra="X-Masticward-Smuggled: 1\r\n")
        for framing in ("Transfer-Encoding: chunked\r\n", "Content-Length: 3\r\n"):
            data = self.request("book", body=b"0\r\n\r\n" + smuggled, extra=framing)
            reader, writer = await self.send(data)
            self.assertEqual(400, (await self.read(reader)).status)
            writer.close()
        self.assertEqual(0, self.attempts())

    async def test_numbers_without_bounds_in_one_request_do_not_stop_the_others(self) -> None:
        # Placement raised OverflowError in each scan: every later request got 503 or no answer.
        await self.add_endpoint("e1")
        engine = {"slots": 64, "kv_capacity_tokens": 500000}
        await self.start(services=[{"name": "app", "max_connections": 100, "engine": engine}])
        huge = "9" * 400
        for extra in (
            f"X-Masticward-Token-Counts: {huge},1\r\n",
            f"X-Masticward-Token-Counts: 1,{huge}\r\n",
            f"X-Masticward-Token-Counts: 1,1\r\nX-Masticward-Prefix-Hash: a:{huge},b:1\r\n",
            f"X-Masticward-Deadline-Ms: {huge}\r\n",
        ):
            self.assertEqual(400, (await self.call("book", extra=extra)).status)
        self.assertEqual(200, (await self.call("book")).status)

    async def test_a_truncated_request_is_not_forwarded(self) -> None:
        await self.add_endpoint("e1")
        await self.start()
        _, writer = await self.send(self.request("book", body=bytes(1000))[:-10])
        writer.close()
        await asyncio.sleep(0.1)
        self.assertEqual(0, self.attempts())

    async def test_a_chunked_body_is_forwarded_completely(self) -> None:
        endpoint = await self.add_endpoint("e1")
        await self.start()
        head = self.request("book", body=b"").replace(
            b"Content-Length: 0", b"Transfer-Encoding: chunked"
        )
        reader, _ = await self.send(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual(200, (await self.read(reader)).status)
        self.assertEqual(b"abcde", endpoint.received[0].body)

    async def test_a_body_above_the_limit_gets_413(self) -> None:
        await self.add_endpoint("e1")
        await self.start()
        self.assertEqual(413, (await self.call("book", body=bytes(100001))).status)
        self.assertEqual(0, self.attempts())

    async def test_a_dropped_connection_shortens_the_reuse_limit(self) -> None:
        # An endpoint that silently drops idle connections resets the next request on each of them.
        used: set[asyncio.StreamWriter] = set()

        async def drop_after_one(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            if writer in used:
                writer.transport.abort()
                return False
            used.add(writer)
            return await platform_standins.send_complete_response(request, writer)

        await self.add_endpoint("e1", drop_after_one)
        await self.start()
        self.assertEqual(200, (await self.call("book")).status)
        await asyncio.sleep(0.4)
        self.assertEqual(502, (await self.call("book")).status)
        self.assertEqual(200, (await self.call("book")).status)
        await asyncio.sleep(0.4)
        self.assertEqual(200, (await self.call("book")).status)

    async def test_persistent_connections_serve_several_requests(self) -> None:
        endpoint = await self.add_endpoint("e1")
        await self.start()
        reader, writer = await self.send(self.request("book") + self.request("book"))
        for _ in range(2):
            self.assertEqual(200, (await self.read(reader)).status)
        writer.write(self.request("book"))
        self.assertEqual(200, (await self.read(reader)).status)
        self.assertEqual(1, endpoint.open_connections)


class AtMostOnceTest(GatewayCase):
    """Guards against a second execution of requests that must run at most once."""

    async def test_a_broken_non_idempotent_request_gets_502_without_a_retry(
        self,
    ) -> None:
        for name in ("e1", "e2"):
            await self.add_endpoint(name, platform_standins.close_without_response)
        await self.start()
        response = await self.call("book")
        self.assertEqual(502, response.status)
        self.assertNotIn("retry-after", response.headers)
        self.assertEqual(1, self.attempts())

    async def test_an_idempotent_request_is_retried_at_another_endpoint(self) -> None:
        await self.add_endpoint("e1", platform_standins.close_without_response)
        await self.add_endpoint("e2", platform_standins.close_without_response)
        await self.start()
        response = await self.call("status", method="GET", body=b"")
        self.assertEqual(502, response.status)
        self.assertEqual([1, 1], [len(endpoint.received) for endpoint in self.endpoints])

    async def test_a_request_that_did_not_run_goes_to_another_endpoint(self) -> None:
        shedding = await self.add_endpoint("e1", platform_standins.shed_request)
        await self.add_endpoint("e2", platform_standins.shed_request)
        await self.start()
        response = await self.call("book")
        self.assertEqual(503, response.status)
        self.assertIn("retry-after", response.headers)
        self.assertEqual(2, self.attempts())
        shedding.behaviour = platform_standins.send_complete_response
        await asyncio.sleep(0.5)
        self.assertEqual(200, (await self.call("book")).status)

    async def test_a_response_to_another_request_is_dropped(self) -> None:
        async def other_response_first(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            other = platform_standins.ReceivedRequest(b"POST / HTTP/1.1\r\n", b"")
            other.headers["x-masticward-request-id"] = "other"
            writer.write(platform_standins.complete_response(other, b"wrong"))
            writer.write(platform_standins.complete_response(request, b"right"))
            return True

        await self.add_endpoint("e1", other_response_first)
        await self.start()
        response = await self.call("book")
        self.assertEqual((200, b"right"), (response.status, response.body))

    async def test_bytes_after_a_response_do_not_reach_the_next_client(self) -> None:
        async def send_twice(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(platform_standins.complete_response(request, b"first") * 2)
            return True

        endpoint = await self.add_endpoint("e1", send_twice)
        await self.start()
        self.assertEqual(b"first", (await self.call("book")).body)
        endpoint.behaviour = platform_standins.send_complete_response
        self.assertEqual(b"answer", (await self.call("book")).body)

    async def test_a_success_without_a_signature_is_not_forwarded(self) -> None:
        async def send_unsigned(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            return True

        await self.add_endpoint("e1", send_unsigned)
        await self.start()
        self.assertEqual(502, (await self.call("book")).status)

    async def test_an_early_response_to_a_long_body_is_forwarded(self) -> None:
        class Early(platform_standins.EndpointStandin):
            async def early_response(
                self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> bool:
                response = platform_standins.complete_response(request).replace(
                    b"200 OK", b"413 Large"
                )
                writer.write(response)
                await writer.drain()
                await asyncio.sleep(0.2)
                return True

        endpoint = Early()
        await endpoint.start()
        self.addAsyncCleanup(endpoint.stop)
        self.store.put_endpoint("e1", endpoint.address)
        self.endpoints.append(endpoint)
        await self.start()
        self.assertEqual(413, (await self.call("book", body=bytes(90000))).status)


class StreamTest(GatewayCase):
    """Guards against broken streams that look complete or resume at the wrong event."""

    async def stream(self, first: bytes, complete: bool) -> platform_standins.Behaviour:
        """Return a behaviour that sends ``first``, or event 3 to a client that resumes.

        Without ``complete``, the connection is closed after ``first``.
        """

        async def behaviour(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            after = int(request.headers.get("last-event-id", "0"))
            head = (
                f"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: {request.request_id}\r\n"
                f"{platform_standins.PROOF}Transfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(head.encode())
            events = first if not after else b"id: 3\ndata: c\n\n"
            writer.write(f"{len(events):x}\r\n".encode() + events + b"\r\n")
            if complete or after:
                writer.write(b"0\r\n\r\n")
                return True
            await writer.drain()
            return False

        return behaviour

    async def test_a_broken_stream_does_not_look_complete(self) -> None:
        await self.add_endpoint("e1", await self.stream(b"id: 1\ndata: a\n\n", False))
        await self.start()
        response = await self.call("stream")
        self.assertEqual(200, response.status)
        self.assertFalse(response.complete)
        self.assertEqual(1, self.attempts())

    async def test_a_resumable_stream_without_another_endpoint_is_cut(self) -> None:
        # A refusal cannot be sent after the response headers.
        await self.add_endpoint("e1", await self.stream(b"id: 1\ndata: a\n\n", False))
        await self.start()
        response = await self.call("resume")
        self.assertEqual((200, False), (response.status, response.complete))
        cut = self.program.gateway_metrics.requests.labels("cut by endpoint", "0")._value.get()
        self.assertEqual(1, cut)

    async def test_a_resumable_stream_continues_at_another_endpoint(self) -> None:
        truncated_events = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
        for name in ("e1", "e2"):
            await self.add_endpoint(name, await self.stream(truncated_events, False))
        await self.start()
        response = await self.call("resume")
        self.assertTrue(response.complete)
        expected = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
        self.assertEqual(expected, response.body)
        second = next(
            e.received[0] for e in self.endpoints if "last-event-id" in e.received[0].headers
        )
        self.assertEqual("2", second.headers["last-event-id"])

    async def add_endpoints(self, behaviour: platform_standins.Behaviour, count: int = 1) -> None:
        for number in range(count):
            await self.add_endpoint(f"e{number}", behaviour)
        await self.start()

    async def test_a_stream_that_ends_within_an_event_does_not_look_complete(self) -> None:
        # Whatever the framing says: the endpoint stopped in the middle of an event.
        first = b"id: 1\ndata: a\n\n"
        script = platform_standins.ScriptedResponse(first, b"id: 2\nda")
        await self.add_endpoints(script)
        for framing in ("none", "chunked", "length"):
            for rest in (b"id: 2\nda", b"id: 2\r\ndata: b\r\n\r", b": comm"):
                for route in ("stream", "resume"):
                    with self.subTest(framing=framing, rest=rest, route=route):
                        script.parts, script.framing = (first, rest), framing
                        response = await self.call(route)
                        self.assertEqual((200, False), (response.status, response.complete))

    async def test_a_stream_that_ends_with_an_event_is_complete(self) -> None:
        script = platform_standins.ScriptedResponse()
        await self.add_endpoints(script)
        for framing in ("none", "chunked", "length"):
            for parts in (
                (b"id: 1\nda", b"ta: a\n\n"),
                (b"id: 1\r\ndata: a\r\n\r", b"\nid: 2\r\ndata: b\r\n", b"\r\n"),
                (b"id: 1\ndata: a\n\n\n: end\n",),
            ):
                for route in ("stream", "resume"):
                    with self.subTest(framing=framing, parts=parts, route=route):
                        script.parts, script.framing = parts, framing
                        response = await self.call(route)
                        self.assertTrue(response.complete)
                        self.assertEqual(b"".join(parts), response.body)

    async def test_a_response_without_events_on_a_stream_route_is_complete(self) -> None:
        script = platform_standins.ScriptedResponse(b'{"error"', b": 1}")
        script.fields += "Content-Type: application/json\r\n"
        await self.add_endpoints(script)
        for route in ("stream", "resume"):
            response = await self.call(route)
            self.assertEqual((True, b'{"error": 1}'), (response.complete, response.body))

    async def test_an_unframed_stream_that_ends_within_an_event_is_resumed(self) -> None:
        first = platform_standins.ScriptedResponse(b"id: 1\ndata: a\n\nid: 2\nda", framing="none")
        resumed = platform_standins.ScriptedResponse(b"id: 2\ndata: b\n\n", framing="none")
        await self.add_endpoints(platform_standins.ResumedStream(first, resumed), 2)
        response = await self.call("resume")
        self.assertEqual((True, 2), (response.complete, self.attempts()))
        self.assertEqual(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", response.body)

    async def test_an_unframed_response_that_is_reset_is_not_complete(self) -> None:
        reset = platform_standins.ScriptedResponse(b"id: 1\ndata: a\n\n", framing="none")
        reset.end = "reset"
        await self.add_endpoints(reset)
        self.assertEqual(502, (await self.call("book")).status)
        self.assertFalse((await self.call("stream")).complete)


class TimeoutTest(GatewayCase):
    """Guards against requests that outlive their client, route timeout or gateway."""

    async def test_a_client_disconnect_frees_the_endpoint(self) -> None:
        endpoint = await self.add_endpoint("e1", platform_standins.never_respond)
        await self.start()
        _, writer = await self.send(self.request("book"))
        await self.wait_until(lambda: endpoint.open_connections == 1)
        writer.close()
        await self.wait_until(lambda: endpoint.open_connections == 0)
        self.assertEqual({}, dict(self.fleet.loads.own))

    async def test_a_retryable_request_leaves_a_silent_endpoint(self) -> None:
        # An endpoint that ran a request and lost its response stays silent on an open connection.
        for name in ("e1", "e2"):
            await self.add_endpoint(name, platform_standins.never_respond)
        await self.start()
        started = clocks.boot_time()
        reading = asyncio.ensure_future(self.call("status", method="GET", body=b""))
        await self.wait_until(lambda: self.attempts() == 1)
        silent = next(endpoint for endpoint in self.endpoints if endpoint.received)
        other = next(endpoint for endpoint in self.endpoints if not endpoint.received)
        other.behaviour = platform_standins.send_complete_response
        self.assertEqual(200, (await reading).status)
        self.assertLess(clocks.boot_time() - started, 2.0)
        await self.wait_until(lambda: silent.open_connections == 0)

    async def test_a_non_idempotent_request_stays_at_a_silent_endpoint(self) -> None:
        for name in ("e1", "e2"):
            await self.add_endpoint(name, platform_standins.never_respond)
        await self.start()
        self.assertEqual(504, (await self.call("book")).status)
        self.assertEqual(1, self.attempts())

    async def test_a_request_of_a_disconnected_client_is_not_forwarded(self) -> None:
        # A busy process reads the request and the client's close at the same time.
        await self.add_endpoint("e1")
        await self.start()
        reader, writer = await self.send(self.request("book"))
        await self.read(reader)
        client = socket.create_connection(("127.0.0.1", self.port))
        client.sendall(self.request("book"))
        client.close()
        time.sleep(0.05)
        await asyncio.sleep(0.3)
        self.assertEqual(1, self.attempts())
        writer.close()

    async def test_a_route_timeout_gets_504(self) -> None:
        await self.add_endpoint("e1", platform_standins.never_respond)
        await self.start()
        started = clocks.boot_time()
        self.assertEqual(504, (await self.call("short")).status)
        self.assertLess(clocks.boot_time() - started, 0.3 + 0.5)

    async def test_without_an_endpoint_a_request_gets_503_with_retry_after(self) -> None:
        await self.start()
        response = await self.call("book")
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["retry-after"]), 0.0)

    async def test_a_stopping_gateway_finishes_open_requests(self) -> None:
        async def slow(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            await asyncio.sleep(1.0)
            return await platform_standins.send_complete_response(request, writer)

        endpoint = await self.add_endpoint("e1", slow)
        await self.start()
        reader, _ = await self.send(self.request("book"))
        await self.wait_until(lambda: len(endpoint.received) == 1)
        stopping = asyncio.ensure_future(self.program.stop())
        response = await self.read(reader)
        self.assertEqual(200, response.status)
        self.assertEqual("close", response.headers["connection"])
        self.assertFalse(self.program.ready())
        await stopping

    async def test_a_stopping_gateway_writes_answers_out_for_slow_clients(self) -> None:
        # The end of the process lost what was still in its buffers.
        async def send_large(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(platform_standins.complete_response(request, bytes(60000)))
            return True

        await self.add_endpoint("e1", send_large)
        await self.start()
        listener = self.program.client_server.listener
        assert listener is not None
        listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(("127.0.0.1", self.port))
        client.sendall(self.request("book"))
        answered = self.program.gateway_metrics.requests.labels("answered", "200")._value
        await self.wait_until(lambda: answered.get() == 1)
        with unittest.mock.patch.object(load_shedding, "ROTATION_EXIT_SECONDS", 0.1):
            stopping = asyncio.ensure_future(self.program.stop())
            await asyncio.sleep(1.0)
        self.assertFalse(stopping.done())
        client.setblocking(False)
        reader, _ = await asyncio.open_connection(sock=client)
        self.assertEqual(60000, len((await self.read(reader)).body))
        await stopping

    async def test_an_overloaded_gateway_asks_clients_to_reconnect(self) -> None:
        # A client that keeps its connection does not notice that the instance left the rotation.
        await self.add_endpoint("e1")
        # A tick would set the state anew.
        ticks = unittest.mock.patch.object(gateway_daemon, "TICK_INTERVAL_SECONDS", 60.0)
        ticks.start()
        self.addCleanup(ticks.stop)
        await self.start()
        self.program.client_server.overloaded = True
        reader, _ = await self.send(self.request("book"))
        response = await self.read(reader)
        self.assertEqual((200, "close"), (response.status, response.headers["connection"]))
        self.assertEqual(b"", await reader.read())


class SilentEndpointTest(GatewayCase):
    """Guards against requests lost because their endpoint paused and no other could serve them."""

    def pausing(self, seconds: float, head_first: bool) -> platform_standins.Behaviour:
        """Return a behaviour that pauses before its response, or between two events."""

        async def behaviour(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            if head_first:
                head = (
                    f"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: {request.request_id}\r\n"
                    f"{platform_standins.PROOF}Transfer-Encoding: chunked\r\n\r\n"
                )
                writer.write(head.encode() + b"7\r\nid: 1\n\n\r\n")
            await asyncio.sleep(seconds)
            if head_first:
                writer.write(b"7\r\nid: 2\n\n\r\n0\r\n\r\n")
                return True
            return await platform_standins.send_complete_response(request, writer)

        return behaviour

    async def test_a_request_is_not_lost_without_another_endpoint(self) -> None:
        await self.add_endpoint("e1", self.pausing(1.0, False))
        await self.start()
        response = await self.call("status", method="GET", body=b"")
        self.assertEqual((200, b"answer"), (response.status, response.body))
        self.assertEqual({}, dict(self.fleet.loads.own))

    async def test_a_stream_is_not_cut_without_another_endpoint(self) -> None:
        await self.add_endpoint("e1", self.pausing(1.5, True))
        await self.start()
        response = await self.call("resume")
        self.assertEqual((b"id: 1\n\nid: 2\n\n", True), (response.body, response.complete))

    async def test_a_stream_is_not_cut_without_retry_budget(self) -> None:
        for name in ("e1", "e2"):
            await self.add_endpoint(name, self.pausing(1.5, True))
        await self.start()
        now = clocks.boot_time()
        while self.fleet.budget("app").take(now, self.fleet.known_gateway_count):
            pass
        response = await self.call("resume")
        self.assertEqual((b"id: 1\n\nid: 2\n\n", True), (response.body, response.complete))
        self.assertEqual(1, self.attempts())

    async def test_a_request_is_not_lost_beside_an_unreachable_endpoint(self) -> None:
        unreachable = await self.add_endpoint("e2")
        await unreachable.stop()
        await self.add_endpoint("e1", self.pausing(1.0, False))
        await self.start()
        response = await self.call("status", method="GET", body=b"")
        self.assertEqual((200, b"answer"), (response.status, response.body))

    async def test_a_body_that_arrives_slowly_is_read_to_its_end(self) -> None:
        # The limit on gaps within a response was applied to the whole body.
        async def trickle(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            response = platform_standins.complete_response(request)
            writer.write(response[:-6])
            for byte in response[-6:]:
                writer.write(bytes([byte]))
                await asyncio.sleep(0.3)
            return True

        for name in ("e1", "e2"):
            await self.add_endpoint(name, trickle)
        await self.start()
        response = await self.call("status", method="GET", body=b"")
        self.assertEqual((200, b"answer"), (response.status, response.body))
        self.assertEqual(1, self.attempts())


class ConfigurationTest(GatewayCase):
    """Guards against the use of revoked API keys, and of old or invalid configurations."""

    revoke_ms = 1200

    async def test_without_a_configuration_a_request_gets_503(self) -> None:
        await self.program.start()
        listener = self.program.client_server.listener
        assert listener is not None
        self.port = listener.port
        self.assertEqual(503, (await self.call("keyed")).status)
        self.assertFalse(self.program.ready())

    async def test_api_keys_without_a_recent_proof_are_not_used(self) -> None:
        await self.add_endpoint("e1")
        await self.start()
        key = "Authorization: Bearer key-a\r\n"
        await self.wait_until(lambda: self.fleet.proof_is_fresh(clocks.boot_time()))
        self.assertEqual(200, (await self.call("keyed", extra=key)).status)
        self.store.unavailable = True
        await self.wait_until(lambda: not self.fleet.proof_is_fresh(clocks.boot_time()))
        self.assertEqual(503, (await self.call("keyed", extra=key)).status)
        self.assertEqual(200, (await self.call("book")).status)

    async def test_a_revoked_api_key_is_refused(self) -> None:
        await self.add_endpoint("e1")
        await self.start()
        changed = platform_standins.configuration(2, tenants=[{"name": "team-a", "api_keys": []}])
        self.store.put("config", "main", changed)
        await self.wait_until(lambda: self.fleet.configuration.version == 2)  # type: ignore[union-attr]
        response = await self.call("keyed", extra="Authorization: Bearer key-a\r\n")
        self.assertEqual(401, response.status)

    async def test_a_request_gets_an_answer_although_its_route_has_no_service(self) -> None:
        # An unexpected error in a handler closed the connection without an answer.
        await self.add_endpoint("e1")
        document = platform_standins.configuration()
        document["routes"][0].update(service=None, weighted_services=[])
        await self.start(routes=document["routes"])
        reader, writer = await self.send(self.request("book") + self.request("status"))
        response = await self.read(reader)
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["retry-after"]), 0.0)
        self.assertEqual(200, (await self.read(reader)).status)
        writer.close()

    async def test_an_error_after_a_send_is_not_answered_as_not_run(self) -> None:
        await self.add_endpoint("e1")
        await self.start()
        with unittest.mock.patch.object(
            headers.HeaderCodec, "response_headers", side_effect=ZeroDivisionError
        ):
            self.assertEqual(502, (await self.call("book")).status)

    async def test_kept_connections_follow_raised_limits(self) -> None:
        # They judged the next request by the limits in force when the last one had ended.
        await self.add_endpoint("e1")
        await self.start()
        reader, writer = await self.send(self.request("book"))
        self.assertEqual(200, (await self.read(reader)).status)
        limits = {"max_header_bytes": 32768, "max_body_bytes": 200000}
        self.store.put("config", "main", platform_standins.configuration(2, limits=limits))
        await self.wait_until(lambda: self.fleet.configuration.version == 2)  # type: ignore[union-attr]
        padding = f"X-Padding: {'x' * 20000}\r\n"
        writer.write(self.request("book", body=bytes(150000)))
        self.assertEqual(200, (await self.read(reader)).status)
        request = self.request("book", extra=padding)
        writer.write(request[:18000])
        await asyncio.sleep(0.1)
        writer.write(request[18000:])
        self.assertEqual(200, (await self.read(reader)).status)
        writer.close()

    async def test_an_older_configuration_is_ignored(self) -> None:
        await self.start(version=5)
        self.store.put("config", "main", platform_standins.configuration(4))
        self.store.put("config", "main", platform_standins.configuration(6))
        await self.wait_until(lambda: self.fleet.configuration.version == 6)  # type: ignore[union-attr]
        older = platform_standins.configuration(5)
        self.store.put("config", "main", older)
        self.store.put_endpoint("marker", "127.0.0.1:1")
        await self.wait_until(lambda: "marker" in self.fleet.table.endpoints)
        self.assertEqual(6, self.fleet.configuration.version)  # type: ignore[union-attr]

    async def test_an_invalid_configuration_keeps_the_last_valid_one(self) -> None:
        await self.add_endpoint("e1")
        await self.start()
        self.store.put("config", "main", {"version": "two", "routes": 7})
        self.store.put("servers", "odd", {"address": 5})
        self.store.put_endpoint("marker", "127.0.0.1:1")
        await self.wait_until(lambda: "marker" in self.fleet.table.endpoints)
        self.assertNotIn("odd", self.fleet.table.endpoints)
        self.assertEqual(1, self.fleet.configuration.version)  # type: ignore[union-attr]

    async def test_objects_are_listed_again_after_lost_history(self) -> None:
        await self.start()
        self.store.oldest_revision = 10**9
        self.store.put("config", "main", platform_standins.configuration(2))
        await self.wait_until(lambda: self.fleet.configuration.version == 2)  # type: ignore[union-attr]

    async def test_invalid_settings_keep_the_current_ones(self) -> None:
        await self.start()
        good = self.settings_text
        self.settings_text = "node: 7\n"
        self.program.reload()
        self.assertEqual(1.2, self.fleet.settings.bounds.revoke_seconds)
        self.settings_text = good.replace("revoke_ms: 1200", "revoke_ms: 3000")
        self.program.reload()
        self.assertEqual(3.0, self.fleet.settings.bounds.revoke_seconds)

    async def test_addresses_in_use_stay_until_a_restart(self) -> None:
        """Guards against peers that are given up for a port at which nobody listens."""
        await self.start()
        before = self.fleet.settings
        good = self.settings_text
        self.settings_text = (
            good.replace("port_range: [0, 0]", "port_range: [9, 9]")
            .replace('ip: "127.0.0.1"', 'ip: "127.0.0.9"')
            .replace("revoke_ms: 1200", "revoke_ms: 3000")
        )
        self.program.reload()
        self.assertEqual(3.0, self.fleet.settings.bounds.revoke_seconds)
        after = self.fleet.settings
        self.assertEqual((before.peer_port, before.ip), (after.peer_port, after.ip))
        self.settings_text = good
        self.program.reload()
        self.assertEqual(before, self.fleet.settings)

    async def test_relisting_abandons_a_hanging_watch(self) -> None:
        await self.add_endpoint("e1")
        self.store.hanging_watches = {"servers"}
        await self.start()
        self.store.put_endpoint("e1", self.endpoints[0].address, state="draining")
        await asyncio.sleep(0.3)
        self.assertFalse(self.fleet.table.endpoints["e1"].draining)
        self.program.relist()
        await self.wait_until(lambda: self.fleet.table.endpoints["e1"].draining)

    async def test_a_configuration_arrives_although_its_watch_hangs(self) -> None:
        self.store.hanging_watches = {"config"}
        await self.start()
        self.store.put("config", "main", platform_standins.configuration(2))
        await self.wait_until(lambda: self.fleet.configuration.version == 2)  # type: ignore[union-attr]
