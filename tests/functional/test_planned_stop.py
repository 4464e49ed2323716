"""Guards requests that are in flight, just accepted or late when a gateway is stopped.

The load of the first test: 100 open streams, clients that send one request after another on kept
connections, clients that open a connection for each request, and clients that send two at once.
"""

import asyncio
import collections.abc
import itertools
import time

from tests.functional import test_gateway
from tests.lib import platform_standins

STREAMS = 100
KEPT_CLIENTS = 40
NEW_CONNECTION_CLIENTS = 30
PIPELINING_CLIENTS = 30
EVENTS = 8
EVENT_INTERVAL_SECONDS = 0.2


async def send_events(
    request: platform_standins.ReceivedRequest,
    writer: asyncio.StreamWriter,
    interval_seconds: float = EVENT_INTERVAL_SECONDS,
) -> bool:
    """Answer streams slowly and other requests after a moment."""
    if not request.target.startswith("/stream/"):
        await asyncio.sleep(0.01)
        return await platform_standins.send_complete_response(request, writer)
    writer.write(
        f"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: {request.request_id}\r\n"
        f"{platform_standins.PROOF}Transfer-Encoding: chunked\r\n\r\n".encode()
    )
    for number in range(EVENTS):
        event = f"id: {number}\ndata: x\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await asyncio.sleep(interval_seconds)
    writer.write(b"0\r\n\r\n")
    return True


class NumberedRequestCase(test_gateway.GatewayCase):
    """Sends requests with IDs of their own and nine seconds of time."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.serials = itertools.count()

    def make_request(self, route: str) -> tuple[str, bytes]:
        request_id = f"n{next(self.serials)}"
        data = self.request(route).replace(b"Id: q1\r\n", f"Id: {request_id}\r\n".encode())
        return request_id, data.replace(b"Ms: 3000", b"Ms: 9000")


class PlannedStopTest(NumberedRequestCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.open = True
        # Request IDs by outcome.
        self.answered: set[str] = set()
        self.refused: set[str] = set()
        self.cut: set[str] = set()
        # Sent on a connection that had served requests; the close may have crossed it.
        self.crossed: set[str] = set()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Return a connection, None once the gateway accepts no more."""
        try:
            return await asyncio.open_connection("127.0.0.1", self.port)
        except ConnectionError:
            return None

    async def receive(self, reader: asyncio.StreamReader, request_id: str, kept: bool) -> bool:
        """Read one response and record its outcome; return whether the connection stays open."""
        try:
            response = await self.read(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            (self.crossed if kept else self.cut).add(request_id)
            return False
        if not response.complete:
            self.cut.add(request_id)
        elif response.status == 200:
            self.answered.add(request_id)
        else:
            self.refused.add(request_id)
        return response.headers.get("connection") != "close"

    def attempts_of(self, path: str) -> int:
        """Return the number of requests with a path that the endpoints received."""
        return sum(
            item.target.startswith(path)
            for endpoint in self.endpoints
            for item in endpoint.received
        )

    async def send_one_by_one(self, keep: bool) -> None:
        """Send requests until the gateway accepts no more connections."""
        while self.open and (connection := await self.connect()) is not None:
            reader, writer = connection
            kept = False
            while self.open:
                request_id, data = self.make_request("book")
                writer.write(data)
                if not await self.receive(reader, request_id, kept) or not keep:
                    break
                kept = True
            writer.close()

    async def send_two_at_once(self) -> None:
        """Send two requests in one segment until the gateway accepts no more connections."""
        while self.open and (connection := await self.connect()) is not None:
            reader, writer = connection
            (first, first_data), (second, second_data) = (
                self.make_request("status"),
                self.make_request("status"),
            )
            writer.write(first_data + second_data)
            if await self.receive(reader, first, False):
                await self.receive(reader, second, False)
            writer.close()

    async def send_streams(self) -> None:
        """Send streams on connections of their own until the gateway accepts no more."""
        while self.open and (connection := await self.connect()) is not None:
            reader, writer = connection
            request_id, data = self.make_request("stream")
            writer.write(data)
            await self.receive(reader, request_id, False)
            writer.close()

    async def test_no_accepted_request_is_cut_by_a_stop_under_load(self) -> None:
        for name in ("e1", "e2", "e3", "e4"):
            await self.add_endpoint(name, send_events)
        for number in range(4):
            self.store.put_endpoint(f"e{number + 1}", self.endpoints[number].address, slots=200)
        routes = platform_standins.configuration()["routes"]
        await self.start(routes=[{**route, "timeout_ms": 9000} for route in routes])
        clients = [
            *(self.send_streams() for _ in range(STREAMS)),
            *(self.send_one_by_one(keep=True) for _ in range(KEPT_CLIENTS)),
            *(self.send_one_by_one(keep=False) for _ in range(NEW_CONNECTION_CLIENTS)),
            *(self.send_two_at_once() for _ in range(PIPELINING_CLIENTS)),
        ]
        tasks = [asyncio.ensure_future(client) for client in clients]
        # All streams are in flight, and the other clients have begun.
        await self.wait_until(
            lambda: len(self.answered) > KEPT_CLIENTS and self.attempts_of("/stream/") >= STREAMS
        )
        stopping = asyncio.ensure_future(self.program.stop())
        await asyncio.sleep(1.5)
        # A second signal while the gateway stops changes nothing.
        self.program.reload()
        await stopping
        self.open = False
        await asyncio.gather(*tasks)
        received = {item.request_id for endpoint in self.endpoints for item in endpoint.received}
        self.assertEqual(set(), self.cut)
        # A request that crossed the close of its connection was not passed on.
        self.assertEqual(set(), self.crossed & received)
        self.assertEqual(set(), received - self.answered)
        self.assertGreater(len(self.answered), STREAMS)


class LateRequestTest(NumberedRequestCase):
    """Guards against requests that a stopping gateway begins although it has to cut them.

    It stops 4.4 s after the signal; the streams take 3 s.
    """

    grace_s = 5
    event_interval_seconds = 0.375

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.add_endpoint("e1", self.send_slow_events)
        routes = platform_standins.configuration()["routes"]
        await self.start(routes=[{**route, "timeout_ms": 9000} for route in routes])
        self.stopped_at = 0.0

    async def send_slow_events(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        return await send_events(request, writer, self.event_interval_seconds)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def wait_after_signal(self, seconds: float) -> None:
        await asyncio.sleep(max(0.0, self.stopped_at + seconds - time.monotonic()))

    async def send_whole(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, route: str, at: float
    ) -> tuple[str, test_gateway.Response | None]:
        """Send a request at a time after the signal; the response is None if there was none."""
        await self.wait_after_signal(at)
        request_id, data = self.make_request(route)
        return request_id, await self.exchange(reader, writer, data)

    async def exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
    ) -> test_gateway.Response | None:
        try:
            writer.write(data)
            return await self.read(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None

    async def send_halves(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, at: float
    ) -> tuple[str, test_gateway.Response | None]:
        """Send the rest of a stream's request 0.8 s after its first half."""
        request_id, data = self.make_request("stream")
        await self.wait_after_signal(at - 0.8)
        writer.write(data[:-3])
        await self.wait_after_signal(at)
        return request_id, await self.exchange(reader, writer, data[-3:])

    def stop(self) -> "asyncio.Future[None]":
        self.stopped_at = time.monotonic()
        return asyncio.ensure_future(self.program.stop())

    def received_ids(self) -> set[str]:
        return {item.request_id for endpoint in self.endpoints for item in endpoint.received}

    def assert_refused(self, response: test_gateway.Response | None) -> None:
        assert response is not None
        self.assertEqual((503, "close"), (response.status, response.headers["connection"]))
        self.assertIn("retry-after", response.headers)

    async def play(
        self, *clients: collections.abc.Awaitable[tuple[str, test_gateway.Response | None]]
    ) -> list[test_gateway.Response | None]:
        """Stop the gateway beside clients; check that each request was answered or not begun."""
        stopping = self.stop()
        results = await asyncio.gather(*clients)
        await stopping
        for request_id, response in results:
            with self.subTest(request_id):
                whole = response is not None and response.complete and response.status == 200
                self.assertEqual(whole, request_id in self.received_ids())
        return [response for _, response in results]

    async def test_streams_that_cannot_end_in_time_are_refused_on_all_connections(self) -> None:
        self.assertEqual(200, (await self.call("stream")).status)
        kept, unused, fresh, halved = [await self.connect() for _ in range(4)]
        self.assertEqual(200, (await self.send_whole(*kept, "book", 0.0))[1].status)  # type: ignore[union-attr]
        responses = await self.play(
            self.send_whole(*kept, "stream", 1.6),
            self.send_whole(*fresh, "stream", 2.0),
            self.send_halves(*halved, 2.4),
            self.send_whole(*unused, "stream", 3.1),
        )
        for response in responses:
            self.assert_refused(response)

    async def test_streams_of_unknown_length_are_refused_from_the_signal_on(self) -> None:
        # As in review/2: no stream has ended before the stop, and one is in flight.
        first = await self.connect()
        in_flight = asyncio.ensure_future(self.send_whole(*first, "stream", 0.0))
        await asyncio.sleep(0.2)
        late, later = await self.connect(), await self.connect()
        responses = await self.play(
            self.send_whole(*late, "stream", 0.3), self.send_whole(*later, "stream", 2.0)
        )
        for response in responses:
            self.assert_refused(response)
        answered = (await in_flight)[1]
        assert answered is not None
        self.assertEqual((200, True), (answered.status, answered.complete))

    async def test_requests_that_end_in_time_are_served_while_the_gateway_stops(self) -> None:
        self.event_interval_seconds = 0.05
        for route in ("stream", "book"):
            self.assertEqual(200, (await self.call(route)).status)
        connections = [await self.connect() for _ in range(3)]
        responses = await self.play(
            self.send_whole(*connections[0], "stream", 1.0),
            self.send_whole(*connections[1], "stream", 2.7),
            self.send_whole(*connections[2], "book", 2.7),
        )
        self.assertEqual([200] * 3, [response and response.status for response in responses])

    async def test_a_late_stream_that_outlasts_all_recent_ones_is_not_cut(self) -> None:
        # A gateway that has served short streams only expects a short one, but this one pauses.
        self.event_interval_seconds = 0.05
        self.assertEqual(200, (await self.call("stream")).status)
        connection = await self.connect()
        self.event_interval_seconds = 0.375
        await self.play(self.send_halves(*connection, 3.1))

    async def test_a_stream_that_its_client_left_tells_nothing_of_late_ones(self) -> None:
        # The only recent run of the route had ended after 0.1 s because its client was gone.
        _, writer = await self.connect()
        writer.write(self.make_request("stream")[1])
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.1)
        connection = await self.connect()
        for response in await self.play(self.send_halves(*connection, 3.1)):
            self.assert_refused(response)

    async def test_an_unused_connection_is_closed_instead_of_cut_later(self) -> None:
        # A long stream keeps the process alive; the unused connection stayed open, and its first
        # request was begun late and cut.
        self.event_interval_seconds = 0.5
        busy, unused = await self.connect(), await self.connect()
        in_flight = asyncio.ensure_future(self.send_whole(*busy, "stream", 0.0))
        await asyncio.sleep(0.1)
        self.assertEqual([None], await self.play(self.send_whole(*unused, "stream", 3.6)))
        answered = (await in_flight)[1]
        assert answered is not None
        self.assertEqual((200, True), (answered.status, answered.complete))

    async def test_a_request_that_never_arrives_whole_is_refused_before_the_end(self) -> None:
        reader, writer = await self.connect()
        request_id, data = self.make_request("stream")
        writer.write(data[:-3])
        await asyncio.sleep(0.1)
        stopping = self.stop()
        response = await self.exchange(reader, writer, b"")
        assert response is not None
        self.assertEqual((503, "close"), (response.status, response.headers["connection"]))
        self.assertLess(time.monotonic() - self.stopped_at, 4.4)
        writer.close()
        await stopping
        self.assertNotIn(request_id, self.received_ids())
