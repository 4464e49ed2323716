"""Guards against peers that read slowly being taken for lost ones, and against the reverse."""

import asyncio
import socket
import unittest.mock

from masticward.transport import http1, peer_watch
from tests.functional import test_peer_watch
from tests.lib import loops, lost_peers, paced_readers

BODY = bytes(600_000)
# Above the time after which connections to peers with small windows were cut.
READING_SECONDS = 8.0
# Readers are within their pauses, and windows almost closed, at the end of this time.
LOST_AFTER_SECONDS = 2.3
MESSAGE = bytes(60_000)
MESSAGES = 3
WRITE_SECONDS = 0.1


class PacedConnection:
    """One connection of ``http1`` whose peer reads at a pace."""

    def __init__(
        self, channel: http1.Channel, peer: socket.socket, pace: paced_readers.Pace, side: str
    ) -> None:
        self.channel = channel
        self.reader = paced_readers.PacedReader(peer, pace)
        self.name = f"{side}: {pace}"

    @property
    def is_open(self) -> bool:
        """Whether nobody has ended the connection."""
        return self.channel.end is http1.ConnectionEnd.NONE

    async def wait_for_end(self) -> float:
        """Return the seconds until the connection ends."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            async with asyncio.timeout(4 * test_peer_watch.NOTICED_SECONDS):
                while await self.channel.read():
                    pass
        except (ConnectionError, TimeoutError):
            pass
        return loop.time() - started_at

    async def write_events(self) -> None:
        """Let the peer send bytes until the connection ends."""
        while self.is_open:
            self.reader.sock.send(b"event")
            await asyncio.sleep(WRITE_SECONDS)


class PacedCase(loops.UvloopTestCase):
    """Opens connections of both sides for each pace."""

    async def open(self) -> list[PacedConnection]:
        loop = asyncio.get_running_loop()
        accepted: asyncio.Queue[http1.Channel] = asyncio.Queue()
        listener = await http1.listen(("127.0.0.1", 0), accepted.put)
        self.addCleanup(listener.close)
        connections = []
        for pace in paced_readers.build_paces():
            client = socket.socket()
            pace.limit_buffer(client)
            client.setblocking(False)
            await loop.sock_connect(client, ("127.0.0.1", listener.port))
            server = socket.create_server(("127.0.0.1", 0))
            pace.limit_buffer(server)
            channel = await http1.connect(server.getsockname(), 1.0)
            taken, _ = server.accept()
            server.close()
            taken.setblocking(False)
            connections.append(PacedConnection(channel, taken, pace, "to the peer"))
            connections.append(PacedConnection(await accepted.get(), client, pace, "from the peer"))
        for connection in connections:
            self.addCleanup(connection.reader.sock.close)
            self.addCleanup(connection.channel.abort)
        return connections


class PacedReaderTest(PacedCase):
    """Guards against a connection that is cut while its peer reads through a small window."""

    async def check(self) -> None:
        connections = await self.open()
        for connection in connections:
            connection.channel.write(BODY)
        await asyncio.gather(
            *(item.reader.read_for(READING_SECONDS, len(BODY)) for item in connections)
        )
        self.assertEqual([], [item.name for item in connections if not item.is_open])
        await asyncio.gather(*(item.reader.read_rest(len(BODY)) for item in connections))
        self.assertEqual({len(BODY)}, {item.reader.received for item in connections})

    async def test_a_peer_that_reads_at_any_pace_gets_everything(self) -> None:
        await self.check()

    async def test_it_does_where_the_interval_of_probes_cannot_be_limited(self) -> None:
        with unittest.mock.patch.object(
            peer_watch, "TCP_RTO_MAX_MS", test_peer_watch.UNKNOWN_OPTION
        ):
            await self.check()


class RepeatedMessageTest(PacedCase):
    """Guards against a peer that is cut for the time since probes of an earlier message."""

    async def test_a_peer_that_pauses_in_each_message_gets_all_of_them(self) -> None:
        connections = await self.open()
        for number in range(1, MESSAGES + 1):
            for connection in connections:
                connection.channel.write(MESSAGE)
            # Probes are sent, and the window opens again.
            await asyncio.sleep(0.7)
            await asyncio.gather(
                *(item.reader.read_rest(number * len(MESSAGE)) for item in connections)
            )
            await asyncio.sleep(http1.SILENCE_MILLISECONDS / 1000)
            self.assertEqual([], [item.name for item in connections if not item.is_open])
        received = {item.reader.received for item in connections}
        self.assertEqual({MESSAGES * len(MESSAGE)}, received)


class LostReaderTest(PacedCase):
    """Guards against a lost peer that is noticed later because others may read slowly."""

    async def check(self, still_writes: bool) -> None:
        connections = await self.open()
        for connection in connections:
            connection.channel.write(BODY)
        await asyncio.gather(
            *(item.reader.read_for(LOST_AFTER_SECONDS, len(BODY)) for item in connections)
        )
        self.assertEqual([], [item.name for item in connections if not item.is_open])
        for connection in connections:
            lost_peers.drop_packets(connection.reader.sock)
            # Bytes that find an open window are not acknowledged either.
            connection.channel.write(b"x")
        writing = [
            asyncio.ensure_future(item.write_events()) for item in connections if still_writes
        ]
        seconds = await asyncio.gather(*(item.wait_for_end() for item in connections))
        for task in writing:
            task.cancel()
        limit = test_peer_watch.NOTICED_SECONDS + test_peer_watch.LATENESS_SECONDS
        late = [
            f"{item.name}: {value:.2f} s"
            for item, value in zip(connections, seconds, strict=True)
            if value >= limit or item.channel.end is not http1.ConnectionEnd.KERNEL
        ]
        self.assertEqual([], late)

    async def test_a_peer_that_reads_slowly_is_noticed_when_it_is_lost(self) -> None:
        await self.check(still_writes=False)

    async def test_it_is_while_it_still_writes(self) -> None:
        await self.check(still_writes=True)
