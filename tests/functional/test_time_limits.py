"""Guards what a request may take of its caller's time, before and after its response begins."""

import asyncio
import contextlib
import socket
import time
import unittest.mock

from masticward.gateway import request_path, request_reports
from masticward.transport import http1_server
from masticward.utils import clocks
from tests.functional import test_gateway, test_planned_stop
from tests.lib import platform_standins

# Of nine seconds; leaves 1.5 s to begin a response, and the streams take 2 s.
LONG_MARGIN_SECONDS = 7.5
EVENT_INTERVAL_SECONDS = 0.25
# More than the buffers of the two sockets hold.
LONG_BODY = b"x" * 12_000_000
CLIENT_BUFFER_BYTES = 65536


async def send_long_body(
    request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
) -> bool:
    writer.write(platform_standins.complete_response(request, LONG_BODY))
    return True


class StreamTimeTest(test_planned_stop.NumberedRequestCase):
    """Guards against streams that are ended although their callers still wait."""

    async def start_with_margin(self) -> None:
        margin = unittest.mock.patch.object(
            request_path, "RESPONSE_MARGIN_SECONDS", LONG_MARGIN_SECONDS
        )
        margin.start()
        self.addCleanup(margin.stop)
        routes = platform_standins.configuration()["routes"]
        await self.start(routes=[{**route, "timeout_ms": 9000} for route in routes])

    async def exchange(self, route: str) -> test_gateway.Response:
        reader, writer = await self.send(self.make_request(route)[1])
        self.addCleanup(writer.close)
        return await self.read(reader)

    async def test_a_begun_stream_may_use_the_time_up_to_its_deadline(self) -> None:
        async def send_slowly(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            return await test_planned_stop.send_events(request, writer, EVENT_INTERVAL_SECONDS)

        endpoint = await self.add_endpoint("e1", send_slowly)
        await self.start_with_margin()
        response = await self.exchange("stream")
        self.assertEqual((200, True), (response.status, response.complete))
        handed_ms = int(endpoint.received[0].headers["x-masticward-deadline-ms"])
        self.assertGreater(handed_ms, 9000 - LONG_MARGIN_SECONDS * 1000)

    async def test_a_stream_without_an_end_ends_no_earlier_than_its_deadline(self) -> None:
        async def send_forever(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            while await test_planned_stop.send_events(request, writer, 10.0):
                pass
            return False

        await self.add_endpoint("e1", send_forever)
        await self.start()
        data = self.request("stream").replace(b"Ms: 3000", b"Ms: 1000")
        sent_at = time.monotonic()
        reader, writer = await self.send(data)
        response = await self.read(reader)
        ended_after = time.monotonic() - sent_at
        writer.close()
        self.assertEqual((200, False), (response.status, response.complete))
        self.assertGreaterEqual(ended_after, 1.0)

    async def test_no_stream_is_ended_a_part_of_a_millisecond_early(self) -> None:
        # Timers fire early by their resolution; a soak's stream ended 0.5 ms before its deadline.
        async def send_forever(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            while await test_planned_stop.send_events(request, writer, 10.0):
                pass
            return False

        left_seconds: list[float] = []

        def record(event: object, cause: str, reason: str, cut: request_reports.Cut) -> None:
            assert cut.metadata is not None
            left_seconds.append(cut.metadata.deadline - clocks.boot_time())

        await self.add_endpoint("e1", send_forever)
        self.store.put_endpoint("e1", self.endpoints[0].address, slots=200)
        await self.start()
        reporter = self.program.front.dependencies.reporter
        data = self.request("stream").replace(b"Ms: 3000", b"Ms: 400")
        with unittest.mock.patch.object(type(reporter), "report_cut", side_effect=record):
            for _ in range(40):
                _, writer = await self.send(data)
                self.addCleanup(writer.close)
                await asyncio.sleep(0.0103)
            await self.wait_until(lambda: len(left_seconds) == 40)
        self.assertEqual([], [left for left in left_seconds if left > 0.0])

    async def test_a_response_that_has_not_begun_keeps_the_margin(self) -> None:
        endpoint = await self.add_endpoint("e1", platform_standins.never_respond)
        await self.start_with_margin()
        for route in ("book", "stream"):
            with self.subTest(route):
                started = time.monotonic()
                self.assertEqual(504, (await self.exchange(route)).status)
                self.assertLess(time.monotonic() - started, 9.0)
        handed_ms = int(endpoint.received[0].headers["x-masticward-deadline-ms"])
        self.assertLessEqual(handed_ms, 9000 - LONG_MARGIN_SECONDS * 1000)


class SlowClientTest(test_gateway.GatewayCase):
    """Guards against a second response to a client that still reads the first at its deadline."""

    async def test_a_response_that_is_read_too_slowly_is_cut_once(self) -> None:
        await self.add_endpoint("e1", send_long_body)
        await self.start()
        with unittest.mock.patch.object(http1_server, "LOGGER") as log:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
            client.connect(("127.0.0.1", self.port))
            client.setblocking(False)
            client.sendall(self.request("book"))
            await self.wait_until(lambda: self.program.client_server.busy > 0)
            while self.program.client_server.busy:
                await asyncio.sleep(0.1)
                # A client that reads nothing at all is taken for gone before its deadline.
                with contextlib.suppress(BlockingIOError, ConnectionError):
                    client.recv(CLIENT_BUFFER_BYTES)
        client.close()
        outcomes = self.program.gateway_metrics.requests
        self.assertEqual([], [call.args for call in log.log.call_args_list])
        self.assertEqual(1.0, outcomes.labels("cut at deadline", "0")._value.get())
        self.assertEqual(0.0, outcomes.labels("refused", "504")._value.get())
