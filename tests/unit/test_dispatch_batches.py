"""Tests that session messages which are ready at the same time share one gRPC message.

Guards against the cost of a separate gRPC message for each ticket, slot and report.
"""

import asyncio
import typing
import unittest
import unittest.mock

from masticward.models import work
from masticward.protocol import dispatch_batches, dispatch_client, dispatch_handler, dispatch_server
from masticward.wire import masticward_pb2
from tests.lib import dispatch_fleet


class RecordingStream:
    """Records the written messages."""

    def __init__(self) -> None:
        self.written: list[typing.Any] = []

    async def write(self, message: typing.Any) -> None:
        wire = message.SerializeToString()
        self.written.append(type(message).FromString(wire))

    def items(self) -> list[typing.Any]:
        return [item for message in self.written for item in dispatch_batches.split(message)]


class BatchTest(unittest.IsolatedAsyncioTestCase):
    async def write(self, writing: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
        task = asyncio.create_task(writing)
        for _ in range(20):
            await asyncio.sleep(0)
        task.cancel()

    async def test_both_directions_of_an_entry_session_send_batches_in_order(self) -> None:
        hello = masticward_pb2.EntryHello(entry_id="entry-1", service=dispatch_fleet.SERVICE)
        link = dispatch_client.EntryLink(None, "", hello, unittest.mock.Mock())
        for number in range(99):
            link.enqueue(dispatch_fleet.ticket(f"t{number}", "red"))
        stream = RecordingStream()
        await self.write(link.write(stream))
        self.assertEqual([0, 64, 35], [len(message.batch) for message in stream.written])
        names = [item.enqueue.ticket_id for item in stream.items()[1:]]
        self.assertEqual([f"t{number}" for number in range(99)], names)

        peer = dispatch_handler.EntryPeer("entry-1", 1)
        for number in range(10):
            slot = work.Slot(
                id=number,
                agent_id="agent-1",
                agent_incarnation=1,
                agent_address="",
                availability_zone="",
                deadline=0.0,
            )
            peer.outbox.put_nowait(
                work.Assignment(ticket_id=f"t{number}", slot=slot, virtual_time=0.0, queue_ms=0.0)
            )
        stream = RecordingStream()
        servicer = dispatch_server.DispatchServicer(unittest.mock.Mock())
        await self.write(servicer.write_entry(peer, stream))
        self.assertEqual(1, len(stream.written))
        self.assertEqual(list(range(10)), [item.assign.slot_id for item in stream.items()])

    async def test_both_directions_of_an_agent_session_send_batches(self) -> None:
        hello = masticward_pb2.AgentHello(agent_id="agent-1", service=dispatch_fleet.SERVICE)
        link = dispatch_client.AgentLink(None, "", hello, unittest.mock.Mock())
        link.offer((1, 2), 0.0)
        link.report(masticward_pb2.ServiceReport(running=1))
        stream = RecordingStream()
        await self.write(link.write(stream))
        self.assertEqual([0, 2], [len(message.batch) for message in stream.written])
        kinds = [item.WhichOneof("message") for item in stream.items()]
        self.assertEqual(["hello", "offer", "report"], kinds)

        peer = dispatch_fleet.agent_peer("agent-1")
        peer.return_slots([1])
        peer.return_slots([2])
        stream = RecordingStream()
        servicer = dispatch_server.DispatchServicer(unittest.mock.Mock())
        await self.write(servicer.write_agent(peer, stream))
        self.assertEqual([2], [len(message.batch) for message in stream.written])

    async def test_single_message_is_sent_without_a_batch(self) -> None:
        outbox: asyncio.Queue[masticward_pb2.EntryMessage] = asyncio.Queue()
        outbox.put_nowait(masticward_pb2.EntryMessage(ping=masticward_pb2.Ping(sequence=1)))
        message = dispatch_batches.join(await dispatch_batches.take_ready(outbox))
        self.assertEqual(1, message.ping.sequence)


if __name__ == "__main__":
    unittest.main()
