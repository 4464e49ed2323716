"""Guards against peers that read later being taken for lost ones, and against the reverse."""

import asyncio
import socket
import typing
import unittest.mock

from masticward.state import load_shedding
from masticward.transport import http1, peer_watch
from tests.functional import test_endless_bytes
from tests.lib import loops, lost_peers, platform_standins, slow_peers

BODY = bytes(1_000_000)
BUFFER_BYTES = 64 * 1024
# Long enough that the kernel's probes are seconds apart unless their interval is limited.
PAUSE_SECONDS = 5.0
# A lost peer was noticed within this time of the first unacknowledged packet: TCP_USER_TIMEOUT of
# 1.5 s, and the interval of the kernel's timers.
NOTICED_SECONDS = 2.0
# Of a test on a busy machine.
LATENESS_SECONDS = 0.5
UNKNOWN_OPTION = 9999


class Connection:
    """One connection of ``http1`` with the plain socket of its peer."""

    def __init__(self, channel: http1.Channel, peer: socket.socket) -> None:
        self.channel = channel
        self.peer = peer

    async def read_body(self) -> int:
        """Return how many bytes the peer receives."""
        loop = asyncio.get_running_loop()
        size = 0
        while size < len(BODY) and (data := await loop.sock_recv(self.peer, 65536)):
            size += len(data)
        return size

    async def wait_for_end(self) -> float:
        """Return the seconds until the connection ends."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            async with asyncio.timeout(4 * NOTICED_SECONDS):
                await self.channel.read()
        except ConnectionError:
            pass
        return loop.time() - started_at


class PeerWatchCase(loops.UvloopTestCase):
    """Opens connections of both sides: to a peer, and from one."""

    async def open(self) -> list[Connection]:
        loop = asyncio.get_running_loop()
        accepted: asyncio.Queue[http1.Channel] = asyncio.Queue()
        listener = await http1.listen(("127.0.0.1", 0), accepted.put)
        self.addCleanup(listener.close)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        client.setblocking(False)
        await loop.sock_connect(client, ("127.0.0.1", listener.port))
        server = socket.create_server(("127.0.0.1", 0))
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self.addCleanup(server.close)
        channel = await http1.connect(server.getsockname(), 1.0)
        taken, _ = server.accept()
        taken.setblocking(False)
        connections = [Connection(channel, taken), Connection(await accepted.get(), client)]
        for connection in connections:
            self.addCleanup(connection.peer.close)
            self.addCleanup(connection.channel.abort)
        return connections


class ReadsLaterTest(PeerWatchCase):
    """Guards against a connection that ends although its peer acknowledges all probes."""

    async def check(self) -> None:
        connections = await self.open()
        for connection in connections:
            connection.channel.write(BODY)
        await asyncio.sleep(PAUSE_SECONDS)
        for connection in connections:
            self.assertIs(http1.ConnectionEnd.NONE, connection.channel.end)
        sizes = await asyncio.gather(*(connection.read_body() for connection in connections))
        self.assertEqual([len(BODY)] * 2, sizes)
        # The time-out is the default again, and nothing is watched any more.
        await asyncio.sleep(2 * peer_watch.CHECK_INTERVAL_SECONDS)
        self.assertEqual({}, peer_watch.current().connections)
        for connection in connections:
            sock = connection.channel.open_socket
            assert sock is not None
            timeout = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            self.assertEqual(http1.SILENCE_MILLISECONDS, timeout)

    async def test_a_peer_that_reads_seconds_later_gets_everything(self) -> None:
        await self.check()

    async def test_it_does_where_the_interval_of_probes_cannot_be_limited(self) -> None:
        with unittest.mock.patch.object(peer_watch, "TCP_RTO_MAX_MS", UNKNOWN_OPTION):
            await self.check()


class LostPeerTest(PeerWatchCase):
    """Guards against a lost peer that is noticed later because others may read late."""

    async def check(self, pause_seconds: float, size: int) -> None:
        connections = await self.open()
        for connection in connections:
            connection.channel.write(BODY[:size])
        await asyncio.sleep(pause_seconds)
        for connection in connections:
            self.assertIs(http1.ConnectionEnd.NONE, connection.channel.end)
            lost_peers.drop_packets(connection.peer)
            # Bytes that find an open window are not acknowledged either.
            connection.channel.write(b"x")
        for seconds in await asyncio.gather(*(item.wait_for_end() for item in connections)):
            self.assertLess(seconds, NOTICED_SECONDS + LATENESS_SECONDS)
        for connection in connections:
            self.assertIs(http1.ConnectionEnd.KERNEL, connection.channel.end)

    async def test_a_peer_that_reads_is_noticed_when_it_is_lost(self) -> None:
        await self.check(0.0, 0)

    async def test_a_peer_that_has_just_stopped_reading_is_noticed(self) -> None:
        await self.check(0.3, len(BODY))

    async def test_a_peer_that_has_not_read_for_seconds_is_noticed(self) -> None:
        await self.check(PAUSE_SECONDS, len(BODY))

    async def test_it_is_where_the_interval_of_probes_cannot_be_limited(self) -> None:
        with unittest.mock.patch.object(peer_watch, "TCP_RTO_MAX_MS", UNKNOWN_OPTION):
            await self.check(PAUSE_SECONDS, len(BODY))


class KernelWithoutTimesTest(PeerWatchCase):
    """Guards against a peer that is never given up where the kernel states no times."""

    async def test_the_default_time_out_stays(self) -> None:
        state = unittest.mock.Mock(silent_seconds=0.0, unsending_seconds=0.0, window_closed=True)
        with unittest.mock.patch.object(peer_watch.tcp_state, "read", return_value=state):
            connections = await self.open()
            for connection in connections:
                connection.channel.write(BODY)
                lost_peers.drop_packets(connection.peer)
            for seconds in await asyncio.gather(*(item.wait_for_end() for item in connections)):
                self.assertLess(seconds, NOTICED_SECONDS + LATENESS_SECONDS)


class LateReader(slow_peers.PausingReader):
    """Answers a request, and reads its body once the answer is complete."""

    def __init__(self, events: int, pause_seconds: float) -> None:
        super().__init__(pause_seconds)
        self.events = events

    async def early_response(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Send the events; the body is read by the caller."""
        # The transport of uvloop is no asyncio.Transport.
        transport: typing.Any = writer.transport
        transport.pause_reading()
        writer.write(slow_peers.STREAM_HEAD.format(id=request.request_id).encode())
        for number in range(self.events):
            await asyncio.sleep(self.pause_seconds / self.events)
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        transport.resume_reading()
        return False

    async def handle(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Record a request that was answered before."""
        self.received.append(request)
        return True


class GatewayTest(test_endless_bytes.EndlessBytesCase):
    """Guards against requests cut because a sound peer acknowledges and reads later."""

    contracts = '"base"'

    async def start_with(self, endpoint: platform_standins.EndpointStandin) -> None:
        self.settings_text += f"contracts: [{self.contracts}]\n"
        await endpoint.start()
        self.addAsyncCleanup(endpoint.stop)
        assert endpoint.server is not None
        for sock in endpoint.server.sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self.store.put_endpoint("e1", endpoint.address)
        self.endpoints.append(endpoint)
        await self.start_patiently()
        document = platform_standins.configuration(2)
        document["limits"].update(max_body_bytes=len(BODY), idle_timeout_ms=3000)
        for route in document["routes"]:
            route.update(timeout_ms=60_000, target_latency_ms=60_000)
        self.store.put("config", "main", document)
        await self.wait_until(lambda: self.fleet.configuration_version == 2)

    async def test_a_stream_whose_endpoint_reads_its_body_last_is_whole(self) -> None:
        await self.start_with(LateReader(30, 4.0))
        response = await self.call("stream", body=BODY)
        self.assertEqual((200, True), (response.status, response.complete))
        self.assertEqual(30, response.body.count(b"data: x"))
        # The rest of the body was this request's.
        await self.wait_until(lambda: self.endpoints[0].open_connections == 0)
        self.assertIn(self.endpoints[0].received, ([], [unittest.mock.ANY]))

    async def test_an_endpoint_may_pause_before_it_reads_and_answers(self) -> None:
        await self.start_with(slow_peers.PausingReader(4.0))
        response = await self.call("book", body=BODY)
        self.assertEqual((200, b"answer"), (response.status, response.body))
        self.assertEqual([BODY], [request.body for request in self.endpoints[0].received])

    async def test_a_client_that_pauses_gets_its_whole_response(self) -> None:
        async def answer(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(platform_standins.complete_response(request, BODY))
            return True

        await self.start_with(platform_standins.EndpointStandin(answer))
        client = await slow_peers.connect(self.port, self.request("book"))
        self.addCleanup(client.close)
        await asyncio.sleep(4.0)
        reader, _ = await asyncio.open_connection(sock=client)
        self.assertEqual(BODY, (await self.read(reader)).body)

    async def test_a_stop_waits_for_a_client_that_takes_its_answer_later(self) -> None:
        async def answer(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(platform_standins.complete_response(request, BODY[:60_000]))
            return True

        await self.start_with(platform_standins.EndpointStandin(answer))
        clients = [await slow_peers.connect(self.port, self.request("book")) for _ in range(2)]
        for client in clients:
            self.addCleanup(client.close)
        requests = self.program.gateway_metrics.requests.labels("answered", "200")._value
        await self.wait_until(lambda: requests.get() == len(clients))
        with unittest.mock.patch.object(load_shedding, "ROTATION_EXIT_SECONDS", 0.1):
            stopping = asyncio.ensure_future(self.program.stop())
            await asyncio.sleep(3.0)
        self.assertFalse(stopping.done())
        for client in clients:
            reader, _ = await asyncio.open_connection(sock=client)
            self.assertEqual(60_000, len((await self.read(reader)).body))
        await stopping

    async def test_a_client_that_never_reads_is_cut_after_its_idle_time(self) -> None:
        # The kernel has ended such connections so far.
        async def answer(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(platform_standins.complete_response(request, BODY[:60_000]))
            return True

        await self.start_with(platform_standins.EndpointStandin(answer))
        listener = self.program.client_server.listener
        assert listener is not None
        listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        request = self.request("book", extra="Connection: close\r\n")
        client = await slow_peers.connect(self.port, request)
        self.addCleanup(client.close)
        server = self.program.client_server
        await self.wait_until(lambda: bool(server.connections))
        await asyncio.sleep(2.5)
        self.assertEqual(1, len(server.connections))
        await self.wait_until(lambda: not server.connections)


class PressureTest(GatewayTest):
    """The same under the contract ``pressure``."""

    contracts = '"base", "pressure"'
