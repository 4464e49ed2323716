"""Tests the ping period and the timeouts of entry sessions.

Guards against frequent pings on idle sessions, and against late detection of a failed dispatcher
while tickets wait.
"""

import asyncio
import typing
import unittest
import unittest.mock

import grpc.aio

from masticward.models import work
from masticward.protocol import dispatch_client, dispatch_handler, dispatch_server
from masticward.wire import masticward_pb2
from tests.lib import dispatch_fleet


class FakeListener(dispatch_client.EntryListener):
    """An entry with a number of waiting tickets that the test sets."""

    def __init__(self) -> None:
        self.waiting = 0

    def on_assign(self, assignment: work.Assignment) -> None:
        raise AssertionError("unexpected assignment")

    def on_pong(self) -> None:
        pass

    def has_tickets(self) -> bool:
        return self.waiting > 0


class ScriptedDispatcher:
    """Stream to a dispatcher that answers a given number of pings and then stops responding."""

    def __init__(self, answers: int) -> None:
        self.answers = answers
        self.pings: list[masticward_pb2.Ping] = []
        self.inbox: asyncio.Queue[masticward_pb2.DispatcherToEntry] = asyncio.Queue()

    async def write(self, message: masticward_pb2.EntryMessage) -> None:
        for item in message.batch or (message,):
            if item.HasField("ping"):
                self.pings.append(item.ping)
                if len(self.pings) <= self.answers:
                    pong = masticward_pb2.EntryPong(sequence=item.ping.sequence)
                    self.inbox.put_nowait(masticward_pb2.DispatcherToEntry(pong=pong))

    async def read(self) -> masticward_pb2.DispatcherToEntry:
        return await self.inbox.get()


class PingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        for name, value in (("PING_PERIOD_SECONDS", 0.02), ("IDLE_PING_PERIOD_SECONDS", 3600.0)):
            patch = unittest.mock.patch.object(dispatch_client, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def open_link(self, answers: int) -> None:
        self.listener = FakeListener()
        hello = masticward_pb2.EntryHello(entry_id="entry-1", service=dispatch_fleet.SERVICE)
        self.link = dispatch_client.EntryLink(None, "", hello, self.listener)
        self.dispatcher = ScriptedDispatcher(answers)
        for running in (self.link.write(self.dispatcher), self.link.ping()):
            self.addCleanup(asyncio.ensure_future(running).cancel)

    async def test_ping_period_is_short_only_while_tickets_wait(self) -> None:
        self.open_link(answers=1000)
        reading = asyncio.ensure_future(self.link.read(self.dispatcher))
        self.addCleanup(reading.cancel)
        await dispatch_fleet.wait_until(lambda: self.link.established)
        await asyncio.sleep(0.2)
        self.assertEqual([3_600_000], [ping.next_ms for ping in self.dispatcher.pings])
        self.listener.waiting = 1
        self.link.enqueue(dispatch_fleet.ticket("t1", "red"))
        await dispatch_fleet.wait_until(lambda: len(self.dispatcher.pings) >= 5)
        self.assertEqual({20}, {ping.next_ms for ping in self.dispatcher.pings[1:5]})
        self.listener.waiting = 0
        await dispatch_fleet.wait_until(lambda: self.dispatcher.pings[-1].next_ms == 3_600_000)
        count = len(self.dispatcher.pings)
        await asyncio.sleep(0.2)
        self.assertEqual(count, len(self.dispatcher.pings))
        self.assertFalse(reading.done())

    async def test_unresponsive_dispatcher_is_detected_after_the_first_ticket(self) -> None:
        """Fails if a frozen dispatcher is detected only after the next ping of the idle period."""
        with unittest.mock.patch.object(dispatch_client, "PONG_TIMEOUT_SECONDS", 1.0):
            self.open_link(answers=1)
            reading = asyncio.ensure_future(self.link.read(self.dispatcher))
            self.addCleanup(reading.cancel)
            await dispatch_fleet.wait_until(lambda: self.link.established)
            await asyncio.sleep(1.2)
            self.assertFalse(reading.done(), "the idle session timed out between its pings")
            self.listener.waiting = 1
            self.link.enqueue(dispatch_fleet.ticket("t1", "red"))
            self.assertTrue(await dispatch_fleet.wait_until(reading.done))
            self.assertIsInstance(reading.exception(), TimeoutError)

    async def test_server_waits_for_the_announced_ping_up_to_a_limit(self) -> None:
        async def read(*next_ms: int) -> typing.Any:
            pings = [
                masticward_pb2.EntryMessage(ping=masticward_pb2.Ping(sequence=1, next_ms=value))
                for value in next_ms
            ]

            async def receive() -> typing.Any:
                if pings:
                    return pings.pop()
                await asyncio.sleep(0.6)
                return grpc.aio.EOF

            role = unittest.mock.Mock(waiting=0, free_slots=0)
            servicer = dispatch_server.DispatchServicer(role)
            context = unittest.mock.Mock(read=receive)
            await servicer.read_entry(dispatch_handler.EntryPeer("entry-1", 1), context)

        with unittest.mock.patch.object(dispatch_server, "SESSION_TIMEOUT_SECONDS", 0.1):
            await read(5000)
            for announced_ms in ((), (0,), (700,)):
                with self.assertRaises(TimeoutError):
                    await read(*announced_ms)
        with (
            unittest.mock.patch.object(dispatch_server, "SESSION_TIMEOUT_SECONDS", 0.1),
            unittest.mock.patch.object(dispatch_server, "MAXIMUM_PING_PERIOD_MS", 800),
            self.assertRaises(TimeoutError),
        ):
            await read(3_600_000)


if __name__ == "__main__":
    unittest.main()
