"""Guards against requests that a gateway cuts while clients or endpoints read slowly."""

import asyncio
import collections.abc
import socket
import unittest.mock

from masticward.state import buffered_bytes, load_shedding
from tests.functional import test_endless_bytes, test_peer_watch
from tests.lib import lost_peers, paced_endpoints, paced_readers, platform_standins

BODY = bytes(100_000)
EVENT_SECONDS = 0.25
# Takes about 4 s for the body.
PIECE_BYTES = 1024
STEADY_PAUSES = (0.04,)
# A second within each 20,000 bytes.
UNEVEN_PAUSES = (*[0.0] * 19, 1.0)
WINDOWS = (4096, 8192, 65_536, None)
PACES = [
    paced_readers.Pace(buffer_bytes, PIECE_BYTES, pauses)
    for buffer_bytes in WINDOWS
    for pauses in (STEADY_PAUSES, UNEVEN_PAUSES)
]
# Takes about 8 s for the long body, and seconds for what a kernel holds of it.
LONG_BODY = bytes(400_000)
FAST_PAUSES = (0.02,)
AT_ONCE = paced_readers.Pace(None, 65_536, (0.0,))


class PacedGatewayCase(test_endless_bytes.EndlessBytesCase):
    """Starts a gateway between paced peers."""

    contracts = '"base"'

    async def start_with(self, endpoints: list[paced_endpoints.PacedEndpoint]) -> None:
        self.settings_text += f"contracts: [{self.contracts}]\n"
        for number, endpoint in enumerate(endpoints):
            await endpoint.start()
            self.addAsyncCleanup(endpoint.stop)
            self.store.put_endpoint(f"e{number}", endpoint.address)
            self.endpoints.append(endpoint)
        await self.start_patiently()
        document = platform_standins.configuration(2)
        for route in document["routes"]:
            route.update(timeout_ms=60_000, target_latency_ms=60_000, max_attempts=1)
        self.store.put("config", "main", document)
        await self.wait_until(lambda: self.fleet.configuration_version == 2)

    async def exchange(self, route: str, body: bytes, pace: paced_readers.Pace, end: bytes) -> str:
        """Send a request and read its response; return how it ended, empty if it is whole."""
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            pace.limit_buffer(sock)
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", self.port))
            sending = asyncio.ensure_future(loop.sock_sendall(sock, self.request(route, body=body)))
            reader = paced_readers.PacedReader(sock, pace)
            async with asyncio.timeout(30.0):
                await reader.read_until(end)
            await sending
            whole = bytes(reader.data).startswith(b"HTTP/1.1 200") and reader.data.endswith(end)
            return "" if whole else f"{route}, {pace}: {bytes(reader.data[:12])!r}"

    async def call_all(
        self,
        calls: collections.abc.Iterable[tuple[str, bytes, paced_readers.Pace, bytes]],
        disturb: collections.abc.Callable[[], object] = lambda: None,
    ) -> None:
        """Make calls at once, and disturb them; fail unless all responses are whole."""
        calling = [asyncio.ensure_future(self.exchange(*call)) for call in calls]
        await self.wait_until(lambda: self.attempts() == len(calling))
        await asyncio.sleep(0.3)
        disturb()
        self.assertEqual([], [text for text in await asyncio.gather(*calling) if text])
        self.assertEqual(set(), self.failed_attempts())

    async def call_all_and_stop(
        self, calls: collections.abc.Iterable[tuple[str, bytes, paced_readers.Pace, bytes]]
    ) -> None:
        """Make calls as ``call_all`` does, beside a reload and a stop."""
        stopping: list[asyncio.Future[None]] = []

        def disturb() -> None:
            self.program.reload()
            stopping.append(asyncio.ensure_future(self.program.stop()))

        with unittest.mock.patch.object(load_shedding, "ROTATION_EXIT_SECONDS", 0.1):
            await self.call_all(calls, disturb)
            await stopping[0]


class PacedEndpointTest(PacedGatewayCase):
    """Guards against requests that are cut while their endpoint reads them slowly."""

    async def start_paced(self, event_seconds: float | None) -> None:
        await self.start_with(
            [paced_endpoints.PacedEndpoint(pace, event_seconds) for pace in PACES]
        )

    async def test_a_stream_is_whole_while_its_endpoint_reads_a_long_body(self) -> None:
        await self.start_paced(EVENT_SECONDS)
        await self.call_all([("stream", BODY, AT_ONCE, b"0\r\n\r\n")] * len(PACES))

    async def test_a_stream_is_whole_beside_a_reload_and_a_stop(self) -> None:
        await self.start_paced(EVENT_SECONDS)
        await self.call_all_and_stop([("stream", BODY, AT_ONCE, b"0\r\n\r\n")] * len(PACES))

    async def test_an_endpoint_answers_after_it_has_read_a_long_body(self) -> None:
        await self.start_paced(None)
        await self.call_all([("book", BODY, AT_ONCE, b"answer")] * len(PACES))

    async def test_both_sides_may_be_slow(self) -> None:
        endpoints = [paced_endpoints.PacedEndpoint(pace, answer=BODY + b"end") for pace in PACES]
        await self.start_with(endpoints)
        await self.call_all([("book", BODY, pace, b"end") for pace in PACES])

    async def test_a_lost_endpoint_is_noticed_while_it_reads_slowly(self) -> None:
        endpoint = paced_endpoints.PacedEndpoint(PACES[0])
        await self.start_with([endpoint])
        calling = asyncio.ensure_future(self.call("book", body=BODY))
        await self.wait_until(lambda: bool(endpoint.received))
        await asyncio.sleep(2.0)
        loop = asyncio.get_running_loop()
        lost_peers.drop_packets(endpoint.sockets[0])
        lost_at = loop.time()
        self.assertEqual(502, (await calling).status)
        limit = test_peer_watch.NOTICED_SECONDS + test_peer_watch.LATENESS_SECONDS
        self.assertLess(loop.time() - lost_at, limit)


class PacedClientTest(PacedGatewayCase):
    """Guards against responses that are cut while their client reads them slowly."""

    async def start_answering(self) -> None:
        await self.start_with(
            [
                paced_endpoints.PacedEndpoint(AT_ONCE, answer=BODY + b"end")
                for _ in range(len(PACES))
            ]
        )

    async def test_a_client_that_reads_slowly_gets_a_whole_response(self) -> None:
        await self.start_answering()
        await self.call_all([("book", b"hello", pace, b"end") for pace in PACES])

    async def test_a_client_that_reads_slowly_gets_a_whole_stream(self) -> None:
        events = [paced_endpoints.build_event(5000)] * 20
        await self.start_with(
            [paced_endpoints.PacedEndpoint(AT_ONCE, 0.0, events=events) for _ in PACES]
        )
        await self.call_all([("stream", b"hello", pace, b"0\r\n\r\n") for pace in PACES])

    async def test_it_does_beside_a_reload_and_a_stop(self) -> None:
        await self.start_answering()
        await self.call_all_and_stop([("book", b"hello", pace, b"end") for pace in PACES])


class PacedEndpointUnderPressureTest(PacedEndpointTest):
    """The same under the contract ``pressure``."""

    contracts = '"base", "pressure"'


class PacedClientUnderPressureTest(PacedClientTest):
    """The same under the contract ``pressure``."""

    contracts = '"base", "pressure"'

    async def test_a_client_is_not_stalled_while_it_reads_what_its_kernel_holds(self) -> None:
        paces = [paced_readers.Pace(size, PIECE_BYTES, FAST_PAUSES) for size in (32_768, None)]
        await self.start_with(
            [paced_endpoints.PacedEndpoint(AT_ONCE, answer=LONG_BODY + b"end") for _ in paces]
        )
        with unittest.mock.patch.object(buffered_bytes, "CLIENT_STALL_SECONDS", 1.0):
            await self.call_all([("book", b"hello", pace, b"end") for pace in paces])
