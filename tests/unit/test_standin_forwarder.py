"""Guards against a forwarder that does not disturb traffic as a partition does."""

import asyncio
import contextlib
import unittest

from masticward.standins import forwarder

WAIT_SECONDS = 5.0
# Long enough for a local round trip; a late answer would show after the mode changes.
SILENCE_SECONDS = 0.2


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.forwarder = forwarder.Forwarder("127.0.0.1", port)
        await self.forwarder.start()
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.forwarder.port)

    async def asyncTearDown(self) -> None:
        self.writer.close()
        await self.forwarder.close()
        self.server.close()

    async def echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            while piece := await reader.read(1024):
                writer.write(piece)
        writer.close()

    async def exchange(self, data: bytes) -> bytes:
        self.writer.write(data)
        return await asyncio.wait_for(self.reader.readexactly(len(data)), WAIT_SECONDS)

    async def test_passes_and_counts_bytes(self) -> None:
        self.assertEqual(b"abc", await self.exchange(b"abc"))
        self.assertEqual((3, 3), (self.forwarder.bytes_up, self.forwarder.bytes_down))

    async def test_drop_is_silent_and_heals_in_order(self) -> None:
        await self.exchange(b"a")
        self.forwarder.set_mode(forwarder.ForwarderMode.DROP)
        self.writer.write(b"bc")
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(self.reader.read(1), SILENCE_SECONDS)
        self.forwarder.set_mode(forwarder.ForwarderMode.PASS)
        self.assertEqual(b"bc", await asyncio.wait_for(self.reader.readexactly(2), WAIT_SECONDS))

    async def test_cut_resets_old_and_new_connections(self) -> None:
        await self.exchange(b"a")
        self.forwarder.set_mode(forwarder.ForwarderMode.CUT)
        with self.assertRaises(ConnectionError):
            await asyncio.wait_for(self.reader.readexactly(1), WAIT_SECONDS)
        with self.assertRaises(ConnectionError):
            reader, _writer = await asyncio.open_connection("127.0.0.1", self.forwarder.port)
            await asyncio.wait_for(reader.read(1), WAIT_SECONDS)

    async def test_half_close_ends_only_one_direction(self) -> None:
        await self.exchange(b"a")
        self.forwarder.half_close()
        self.assertEqual(b"", await asyncio.wait_for(self.reader.read(1), WAIT_SECONDS))
        before = self.forwarder.bytes_up
        self.writer.write(b"late")
        await self.writer.drain()
        for _ in range(50):
            if self.forwarder.bytes_up > before:
                break
            await asyncio.sleep(0.02)
        self.assertEqual(before + 4, self.forwarder.bytes_up)
