"""Guards against a gateway that is killed because bytes from endpoints take its memory."""

import asyncio
import socket
import tracemalloc
import unittest.mock

from masticward import errors
from masticward.gateway import sources
from masticward.platform import store
from masticward.transport import http1
from tests.functional import test_gateway
from tests.lib import endless_responses, platform_standins

MEBIBYTE = 1024 * 1024
MEMORY_BYTES = 12_000_000
PART = b"x" * 80_000
# Together above all memory that answers may take.
CALLERS = 60
# More than the sockets between two processes hold, less than the longest body that is kept.
DISCARDED_LIMIT_BYTES = 8 * MEBIBYTE


class EndlessBytesCase(test_gateway.GatewayCase):
    """Starts a gateway whose requests do not expire when many of them make the loop late."""

    async def start_patiently(self, memory_mb: int = 300) -> None:
        """Start with a further service "other" that has routes of its own."""
        self.settings_text += f"limits: {{memory_mb: {memory_mb}}}\n"
        self.program.reload()
        document = platform_standins.configuration()
        times = {"timeout_ms": 60_000, "target_latency_ms": 60_000}
        routes = [{**route, **times} for route in document["routes"]]
        for number, name in ((0, "other-book"), (4, "other-stream")):
            changes = {"name": name, "path_prefix": f"/{name}/", "service": "other"}
            routes.append({**routes[number], **changes, "max_attempts": 1})
        other = {"name": "other", "max_connections": 2 * CALLERS}
        await self.start(routes=routes, services=[*document["services"], other])

    async def start_beside(self, behaviour: platform_standins.Behaviour) -> None:
        """Start with a sound endpoint, and one of the other service whose failures are its own."""
        await self.add_endpoint("sound")
        await self.add_endpoint("faulty", behaviour)
        self.store.put_endpoint("faulty", self.endpoints[1].address, service="other", slots=CALLERS)
        await self.start_patiently(memory_mb=12)

    def request(
        self, route: str, method: str = "POST", body: bytes = b"hello", extra: str = ""
    ) -> bytes:
        data = super().request(route, method, body, extra)
        return data.replace(b"Deadline-Ms: 3000", b"Deadline-Ms: 60000")

    def failed_attempts(self) -> set[str]:
        """Return the outcomes of the failed attempts."""
        return {
            sample.labels["outcome"]
            for metric in self.program.gateway_metrics.failed_attempts.collect()
            for sample in metric.samples
            if sample.name.endswith("_total") and sample.value
        }


class HeldAnswersTest(EndlessBytesCase):
    """Guards against the sum of many answers that are held at once."""

    async def check_sum(self, route: str, head: str, body: bytes) -> None:
        unended = endless_responses.UnendedResponse(head, body)
        await self.start_beside(unended)
        writers = [(await self.send(self.request(route)))[1] for _ in range(CALLERS)]
        # On a slow machine, some may find no connection in time.
        await self.wait_until(lambda: unended.waiting >= 0.8 * CALLERS)
        unended.begins.set()
        # Those that fit are still open, the others were broken off.
        await self.wait_until(lambda: unended.open * len(PART) <= MEMORY_BYTES / 4)
        memory = self.program.answer_memory
        self.assertGreater(unended.open, 0)
        self.assertLessEqual(memory.held_bytes, memory.limit_bytes)
        self.assertLessEqual(memory.limit_bytes, MEMORY_BYTES / 4)
        for _ in range(5):
            response = await self.call("book")
            self.assertEqual((200, b"answer"), (response.status, response.body))
        for writer in writers:
            writer.close()
        await self.wait_until(lambda: memory.held_bytes == 0)

    async def test_many_bodies_that_do_not_end_leave_room_for_sound_answers(self) -> None:
        head = endless_responses.head(400, endless_responses.CHUNKED)
        await self.check_sum("other-book", head, endless_responses.chunked(PART))

    async def test_many_events_that_do_not_end_leave_room_for_sound_answers(self) -> None:
        head = endless_responses.head(200, endless_responses.EVENTS + endless_responses.CHUNKED)
        await self.check_sum("other-stream", head, endless_responses.chunked(b"data: " + PART))

    async def test_a_declared_length_that_does_not_fit_is_refused_at_the_head(self) -> None:
        head = endless_responses.head(400, "Content-Length: 4000000\r\n")
        behaviour = endless_responses.UnendedResponse(head)
        behaviour.begins.set()
        await self.start_beside(behaviour)
        reader, writer = await self.send(self.request("other-book"))
        self.assertEqual(502, (await self.read(reader)).status)
        writer.close()

    async def test_an_answer_that_its_client_does_not_read_is_held_once_until_it_is_read(
        self,
    ) -> None:
        body = bytes(8 * MEBIBYTE)

        async def answer(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(platform_standins.complete_response(request, body))
            return True

        await self.add_endpoint("e1", answer)
        await self.start_patiently(memory_mb=600)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=65536)
        writer.write(self.request("book"))
        await self.wait_until(lambda: bool(self.unsent_bytes()))
        self.assertLess(self.unsent_bytes(), MEBIBYTE)
        self.assertEqual(len(body), self.program.answer_memory.held_bytes)
        response = await self.read(reader)
        self.assertEqual((200, True), (response.status, response.body == body))
        await self.wait_until(lambda: self.program.answer_memory.held_bytes == 0)
        writer.close()

    async def test_many_streams_that_clients_do_not_read_are_bounded_in_their_sum(self) -> None:
        head = endless_responses.head(200, endless_responses.EVENTS + endless_responses.CHUNKED)
        block = endless_responses.chunked(endless_responses.repeated(b"data: x\n\n"))
        await self.start_beside(endless_responses.EndlessResponse(head, block))
        listener = self.program.client_server.listener
        assert listener is not None
        listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        clients = [socket.create_connection(("127.0.0.1", self.port)) for _ in range(CALLERS)]
        for client in clients:
            self.addCleanup(client.close)
            client.sendall(self.request("other-stream"))
        # Some are broken off for the memory that the others hold.
        await self.wait_until(lambda: "broken" in self.failed_attempts())
        self.assertLessEqual(self.unsent_bytes(), MEMORY_BYTES / 4)
        response = await self.call("book")
        self.assertEqual((200, b"answer"), (response.status, response.body))

    def unsent_bytes(self) -> int:
        """Return the bytes that the gateway's connections to clients hold."""
        connections = self.program.client_server.connections
        return sum(connection.channel.unsent_bytes for connection in connections)


class DiscardedBodyTest(EndlessBytesCase):
    """Guards against bodies that are kept, or waited for, though no client gets them."""

    async def check_discarded(self, kind: str, route: str) -> test_gateway.Response:
        """Call an endless endpoint, then a sound one; return the client's response."""
        endless = endless_responses.KINDS[kind]()
        await self.add_endpoint("e1", endless)
        await self.start_patiently()
        reader, writer = await self.send(self.request(route))
        await self.wait_until(lambda: endless.sent_bytes > 0)
        # The second attempt goes to an endpoint that is listed after the first one has begun.
        await self.add_endpoint("e2")
        response = await self.read(reader)
        writer.close()
        self.assertLess(endless.sent_bytes, DISCARDED_LIMIT_BYTES)
        return response

    async def test_a_refusal_with_an_endless_body_is_not_run(self) -> None:
        response = await self.check_discarded("refusal-body", "book")
        self.assertEqual((200, b"answer"), (response.status, response.body))
        self.assertEqual({"not started"}, self.failed_attempts())

    async def test_an_error_with_an_endless_body_is_followed_by_another_attempt(self) -> None:
        response = await self.check_discarded("error-body", "status")
        self.assertEqual((200, b"answer"), (response.status, response.body))
        self.assertEqual({"failed"}, self.failed_attempts())

    async def test_a_stray_answer_with_an_endless_body_is_broken_off(self) -> None:
        response = await self.check_discarded("stray-body", "book")
        self.assertEqual(502, response.status)
        self.assertEqual({"broken"}, self.failed_attempts())

    async def test_a_refusal_with_a_body_that_does_not_end_is_not_waited_for(self) -> None:
        head = endless_responses.head(503, endless_responses.NOT_RUN + endless_responses.CHUNKED)
        behaviour = endless_responses.UnendedResponse(head, b"5\r\nhello\r\n")
        behaviour.begins.set()
        await self.add_endpoint("e1", behaviour)
        await self.start_patiently()
        reader, writer = await self.send(self.request("book"))
        await self.wait_until(lambda: behaviour.waiting > behaviour.open)
        await self.add_endpoint("e2")
        self.assertEqual(200, (await self.read(reader)).status)
        writer.close()

    async def test_the_connection_of_a_short_refusal_or_error_is_kept(self) -> None:
        part = bytes(10_000)
        refusal = platform_standins.ScriptedResponse(
            part, status=503, fields=endless_responses.NOT_RUN
        )
        error = platform_standins.ScriptedResponse(part, status=500, fields="")
        await self.add_endpoint("e1", refusal)
        await self.add_endpoint("e2", error)
        await self.start()
        pool = self.program.endpoint_client.pool
        with unittest.mock.patch.object(pool, "release", wraps=pool.release) as release:
            for _ in range(2):
                await self.call("status")
        self.assertEqual({"e1", "e2"}, {call.args[0].id for call in release.call_args_list})


class UnreadBytesTest(EndlessBytesCase):
    """Guards against clients that fill the memory beside or behind requests in progress."""

    async def test_clients_that_send_far_ahead_do_not_take_the_memory(self) -> None:
        endless = endless_responses.UnendedResponse("")
        await self.start_beside(endless)
        writers = [(await self.send(self.request("other-book")))[1] for _ in range(CALLERS)]
        await self.wait_until(lambda: endless.waiting >= 0.8 * CALLERS)
        for writer in writers:
            writer.write(bytes(MEBIBYTE // 4))
        connections = self.program.client_server.connections

        def unread_bytes() -> int:
            return sum(item.channel.protocol.unread_bytes for item in connections)

        await self.wait_until(
            lambda: 0 < len(connections) < CALLERS / 2 and unread_bytes() <= MEMORY_BYTES / 16
        )
        self.assertEqual(200, (await self.call("book")).status)
        for writer in writers:
            writer.close()

    async def test_bodies_on_other_ports_count_as_those_of_clients(self) -> None:
        await self.start_patiently()
        self.program.body_memory.limit_bytes = 1000
        for server in (self.program.ready_server, self.program.snapshot_server):
            assert server.listener is not None
            self.port = server.listener.port
            reader, writer = await self.send(self.request("book", body=PART))
            response = await self.read(reader)
            self.assertEqual(503, response.status)
            self.assertIn("retry-after", response.headers)
            writer.close()


class StoreTest(EndlessBytesCase):
    """Guards against a store whose bodies, or the pages of whose listings, do not end."""

    async def test_bodies_that_are_read_at_once_are_bounded_in_their_sum(self) -> None:
        body = bytes(http1.MAX_BODY_BYTES // 2)
        head = "HTTP/1.1 200 X\r\nContent-Length: 999999999\r\n\r\n"
        endless = endless_responses.UnendedResponse(head, body)
        endless.begins.set()
        faulty = await self.add_endpoint("store", endless)
        client = store.Store(faulty.address)
        with unittest.mock.patch.object(store, "CALL_TIMEOUT_SECONDS", 60.0):
            calls = [
                asyncio.ensure_future(client.list_objects(kind)) for kind in sources.ObjectKind
            ]
            self.assertGreater(len(calls) * len(body), sources.MAX_HELD_BYTES)
            await self.wait_until(lambda: any(call.done() for call in calls))
            self.assertLessEqual(client.memory.held_bytes, sources.MAX_HELD_BYTES)
            failed = [call.exception() for call in calls if call.done()]
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
        self.assertIn("no memory", str(failed[0]))
        self.assertEqual(0, client.memory.held_bytes)

    async def test_a_failure_that_is_referred_to_does_not_keep_the_body(self) -> None:
        endless = endless_responses.EndlessResponse(
            f"HTTP/1.1 200 X\r\n{endless_responses.CHUNKED}\r\n",
            endless_responses.chunked(endless_responses.FILLER),
        )
        faulty = await self.add_endpoint("store", endless)
        failure: errors.StoreUnavailableError | None = None
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with unittest.mock.patch.object(store, "CALL_TIMEOUT_SECONDS", 60.0):
            try:
                await store.Store(faulty.address).list_objects(sources.ObjectKind.ENDPOINTS)
            except errors.StoreUnavailableError as error:
                failure = error
        self.assertIn("exceeds", str(failure))
        self.assertLess(tracemalloc.get_traced_memory()[0], http1.MAX_BODY_BYTES / 4)

    async def test_a_listing_that_does_not_end_is_no_listing(self) -> None:
        pages = endless_responses.EndlessPages()
        await pages.start()
        self.addAsyncCleanup(pages.stop)
        with self.assertRaises(errors.StoreUnavailableError):
            await store.Store(pages.address).list_objects(sources.ObjectKind.ENDPOINTS)
        self.assertLess(pages.sent_bytes, 2 * http1.MAX_BODY_BYTES)
