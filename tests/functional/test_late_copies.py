"""Guards against a second run of a request whose earlier refusal an endpoint sent once more."""

import asyncio
import socket
import time
import typing

from masticward.gateway import overlap, sources
from masticward.platform import store
from masticward.transport import http1
from masticward.utils import clocks
from tests.functional import test_gateway
from tests.lib import late_copies, loops, platform_standins

FULL_SECONDS = 0.9 * overlap.SEARCH_PAUSE_SECONDS


class RepeatedRequestTest(test_gateway.GatewayCase):
    """Guards against a copy of a refusal that passes for the answer to a later send."""

    async def start_full(self, *endpoints: late_copies.FullEndpoint) -> None:
        for number, endpoint in enumerate(endpoints):
            await self.add_endpoint(f"e{number}", endpoint)
        document = platform_standins.configuration()
        for route in document["routes"]:
            route["target_latency_ms"] = 10_000
        await self.start(routes=document["routes"])

    async def check(self, route: str, *endpoints: late_copies.FullEndpoint) -> None:
        # Both endpoints have a connection from before.
        for endpoint in self.endpoints:
            endpoint.behaviour = platform_standins.send_complete_response
        for _ in range(4):
            self.assertEqual(200, (await self.call("status")).status)
        for standin, endpoint in zip(self.endpoints, endpoints, strict=True):
            standin.behaviour = endpoint
            endpoint.runs.clear()
            endpoint.full_until = time.monotonic() + FULL_SECONDS
        before = self.attempts()
        request_id = f"q-{route}"
        data = self.request(route).replace(b"Id: q1", b"Id: " + request_id.encode())
        reader, writer = await self.send(data)
        response = await self.read(reader)
        writer.close()
        self.assertEqual((200, True), (response.status, response.complete))
        # Each has refused the request, and one of them got it again.
        self.assertEqual(len(endpoints) + 1, self.attempts() - before)
        # A second run would follow after the next pause.
        await asyncio.sleep(0.3)
        self.assertEqual([request_id], [run for endpoint in endpoints for run in endpoint.runs])

    async def test_a_request_that_was_refused_runs_once_although_a_copy_follows(self) -> None:
        endpoints = [late_copies.FullEndpoint(copies=True) for _ in range(2)]
        await self.start_full(*endpoints)
        for route in ("book", "stream", "status", "resume"):
            with self.subTest(route):
                self.fleet.budgets.clear()
                await self.check(route, *endpoints)

    async def test_a_request_is_never_sent_twice_over_one_connection(self) -> None:
        endpoint = late_copies.FullEndpoint(copies=False)
        writers: list[asyncio.StreamWriter] = []

        async def behave(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            writers.append(writer)
            return await endpoint(request, writer)

        await self.start_full(endpoint)
        self.endpoints[0].behaviour = behave
        endpoint.full_until = time.monotonic() + FULL_SECONDS
        self.assertEqual(200, (await self.call("book")).status)
        self.assertEqual(2, len(writers))
        self.assertIsNot(writers[0], writers[1])
        # The connection that was not used a second time serves other requests.
        other = self.request("book").replace(b"Id: q1", b"Id: q2")
        reader, writer = await self.send(other)
        self.assertEqual(200, (await self.read(reader)).status)
        writer.close()
        self.assertIn(writers[2], writers[:2])


class ChosenConnectionTest(test_gateway.GatewayCase):
    """Guards against bytes that arrive after a connection was chosen and before it is used."""

    async def test_bytes_before_the_request_was_written_are_no_answer_to_it(self) -> None:
        writers: list[asyncio.StreamWriter] = []

        async def behave(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            writers.append(writer)
            return await platform_standins.send_complete_response(request, writer)

        endpoint = await self.add_endpoint("e1", behave)
        await self.start()
        self.assertEqual(200, (await self.call("book")).status)
        client = self.program.endpoint_client
        connect = client.connect

        async def connect_late(*arguments: typing.Any) -> typing.Any:
            connection = await connect(*arguments)
            if connection.idle_seconds is not None:
                # The answer that the endpoint sends now has the ID of the request that follows.
                writers[0].write(
                    b"HTTP/1.1 503 X\r\nX-Masticward-Request-Id: q1\r\n"
                    b"X-Masticward-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
                await asyncio.sleep(0.05)
            return connection

        client.connect = connect_late  # type: ignore[method-assign]
        response = await self.call("book")
        self.assertEqual((200, b"answer"), (response.status, response.body))
        self.assertEqual(2, len(endpoint.received))
        self.assertIsNot(writers[0], writers[1])


class RecordingStore(platform_standins.StoreStandin):
    """Keeps the connections of its callers."""

    def __init__(self) -> None:
        super().__init__()
        self.writers: list[asyncio.StreamWriter] = []

    async def handle(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Handle one call."""
        self.writers.append(writer)
        return await super().handle(request, writer)


class StoreCallTest(loops.UvloopTestCase):
    """Guards against bytes on a kept connection to the store that pass for its next answer."""

    async def test_a_call_does_not_take_bytes_that_were_there_before_it(self) -> None:
        standin = RecordingStore()
        await standin.start()
        self.addAsyncCleanup(standin.stop)
        standin.put_endpoint("e1", "127.0.0.1:1")
        source = store.Store(standin.address)
        kind = sources.ObjectKind.ENDPOINTS

        async def list_names() -> list[str]:
            return [item.name for item in (await source.list_objects(kind)).items]

        self.assertEqual(["e1"], await list_names())
        channel = source.connections[kind]
        stale = b'{"items":[],"has_more":false,"current_rev":9}'
        head = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(stale)
        standin.writers[0].write(head + stale)
        while not channel.has_unread_bytes():
            await asyncio.sleep(0.01)
        self.assertEqual(["e1"], await list_names())
        self.assertIsNot(standin.writers[0], standin.writers[1])


class FreeConnectionTest(loops.UvloopTestCase):
    """Guards against a request behind the rest of an earlier one that its peer has not received."""

    async def test_a_connection_is_not_free_before_the_peer_has_the_whole_request(self) -> None:
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        channel = await http1.connect(server.getsockname(), 1.0)
        self.addCleanup(channel.abort)
        peer, _ = server.accept()
        self.addCleanup(peer.close)
        exchange = http1.Exchange(channel)
        # Too much for the peer's buffer, little enough for the kernel to take it at once.
        body = bytes(100_000)
        headers = [(b"host", b"test"), (b"content-length", b"%d" % len(body))]
        await exchange.send(b"POST", b"/", headers, body)
        peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
        await exchange.read_head()
        self.assertEqual(b"hello", await exchange.read_body())
        deadline = clocks.boot_time() + 5.0
        while channel.unsent_bytes and clocks.boot_time() < deadline:
            await asyncio.sleep(0.01)
        self.assertEqual(0, channel.unsent_bytes)
        self.assertFalse(exchange.reusable)
        received = 0
        loop = asyncio.get_running_loop()
        peer.setblocking(False)
        while received < len(body):
            received += len(await loop.sock_recv(peer, 65536))
        while not exchange.reusable and clocks.boot_time() < deadline:
            await asyncio.sleep(0.01)
        self.assertTrue(exchange.reusable)
