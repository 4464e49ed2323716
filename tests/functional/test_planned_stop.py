"""Guards requests that are in flight, or just accepted, when a loaded gateway is stopped.

The load: 100 open streams, clients that send one request after another on kept connections, clients
that open a connection for each request, and clients that send two requests at once.
"""

import asyncio
import itertools

from tests.functional import test_gateway
from tests.lib import platform_standins

STREAMS = 100
KEPT_CLIENTS = 40
NEW_CONNECTION_CLIENTS = 30
PIPELINING_CLIENTS = 30
EVENTS = 8
EVENT_INTERVAL_SECONDS = 0.2


async def send_events(
    request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
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
        await asyncio.sleep(EVENT_INTERVAL_SECONDS)
    writer.write(b"0\r\n\r\n")
    return True


class PlannedStopTest(test_gateway.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.serials = itertools.count()
        self.open = True
        # Request IDs by outcome.
        self.answered: set[str] = set()
        self.refused: set[str] = set()
        self.cut: set[str] = set()
        # Sent on a connection that had served requests; the close may have crossed it.
        self.crossed: set[str] = set()

    def make_request(self, route: str) -> tuple[str, bytes]:
        request_id = f"q{next(self.serials)}"
        data = self.request(route).replace(b"Id: q1\r\n", f"Id: {request_id}\r\n".encode())
        return request_id, data.replace(b"Ms: 3000", b"Ms: 9000")

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
        await asyncio.sleep(0.5)
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
