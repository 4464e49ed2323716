"""Server side of the Dispatch sessions of entries and agents with this process's dispatcher."""

import asyncio
import time
import typing

import grpc
import grpc.aio

from masticward import errors, events, logs
from masticward.models import work
from masticward.protocol import (
    dispatch_assignments,
    dispatch_batches,
    dispatch_handler,
    dispatch_reports,
    snapshots,
)
from masticward.utils import clocks, tasks
from masticward.wire import masticward_pb2, masticward_pb2_grpc

logger = logs.get_logger(__name__)
SNAPSHOT_PERIOD_SECONDS = 0.5
# Agents that are no candidates to replace the dispatcher get large snapshots less often, so that
# snapshots stay within an agent's control traffic of 14 KB per second. An older snapshot is equally
# consistent, because the service that the agents have counted since then is added to it.
SNAPSHOT_BYTES_PER_SECOND = 4000.0
# Limits how long an agent without the base of its partial snapshots waits for a full one.
FULL_SNAPSHOT_PERIOD_SECONDS = 5.0
# Peers ping every 700 ms; a peer that sends no ping for this long is frozen or unreachable. If a
# ping announces a longer period, the timeout is extended by the difference, up to a limit.
SESSION_TIMEOUT_SECONDS = 2.0
PING_PERIOD_MS = 700
MAXIMUM_PING_PERIOD_MS = 5000
SessionContext = typing.Any


class DispatchServicer(masticward_pb2_grpc.DispatchServicer):
    """Serves sessions. The task of the gRPC handler reads, a second task writes."""

    def __init__(self, dispatcher: dispatch_handler.DispatchHandler) -> None:
        self.dispatcher = dispatcher
        self.sessions = 0
        self.background = tasks.TaskGroup()

    async def EntrySession(self, request_iterator: object, context: SessionContext) -> None:  # noqa: N802
        """Serve one entry until it closes the stream or times out."""
        hello = await self.read_hello(context)
        peer = dispatch_handler.EntryPeer(hello.entry_id, hello.incarnation)
        if not self.dispatcher.open_entry(peer):
            await context.abort(
                grpc.StatusCode.FAILED_PRECONDITION,
                f"a later incarnation of entry {peer.entry_id!r} has a session",
            )
        logger.log(events.Event.ENTRY_SESSION_OPENED, entry=peer.entry_id)
        try:
            await self.serve(
                context, self.write_entry(peer, context), self.read_entry(peer, context)
            )
        finally:
            self.dispatcher.close_entry(peer)
            logger.log(events.Event.ENTRY_SESSION_CLOSED, entry=peer.entry_id)

    async def AgentSession(self, request_iterator: object, context: SessionContext) -> None:  # noqa: N802
        """Serve one agent until it closes the stream or times out."""
        hello = await self.read_hello(context)
        peer = dispatch_handler.AgentPeer(
            hello.agent_id, hello.incarnation, hello.peer_address, hello.availability_zone
        )
        stored = (
            snapshots.from_wire(hello.stored_snapshot)
            if hello.HasField("stored_snapshot")
            else None
        )
        if not self.dispatcher.open_agent(peer, stored):
            await context.abort(
                grpc.StatusCode.FAILED_PRECONDITION,
                f"a later incarnation of agent {peer.agent_id!r} has a session",
            )
        logger.log(events.Event.AGENT_SESSION_OPENED, agent=peer.agent_id)
        try:
            await self.serve(
                context, self.write_agent(peer, context), self.read_agent(peer, context)
            )
        finally:
            self.dispatcher.close_agent(peer)
            logger.log(events.Event.AGENT_SESSION_CLOSED, agent=peer.agent_id)

    async def read_hello(self, context: SessionContext) -> typing.Any:
        """Read the first message, which must be a hello for this dispatcher's service."""
        async with asyncio.timeout(SESSION_TIMEOUT_SECONDS):
            message = await context.read()
        if message is grpc.aio.EOF or message.WhichOneof("message") != "hello":
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, "the first message of a session must be hello"
            )
        if message.hello.service != self.dispatcher.service:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT,
                f"this dispatcher serves {self.dispatcher.service!r}, "
                f"not {message.hello.service!r}",
            )
        return message.hello

    async def serve(
        self,
        context: SessionContext,
        writing: typing.Coroutine[typing.Any, typing.Any, None],
        reading: typing.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Run both directions of a session until reading ends."""
        self.sessions += 1
        if self.sessions == 1:
            self.background.spawn(self.send_snapshots(), "dispatcher-snapshots")
        writer = asyncio.get_running_loop().create_task(writing, name="dispatch-session-writer")
        try:
            await reading
        except TimeoutError:
            await context.abort(
                grpc.StatusCode.DEADLINE_EXCEEDED, f"no message for {SESSION_TIMEOUT_SECONDS} s"
            )
        finally:
            self.sessions -= 1
            await tasks.cancel_and_wait(writer)
            if self.sessions == 0:
                await self.background.cancel()

    async def end_if_replaced(
        self,
        peer: dispatch_handler.EntryPeer | dispatch_handler.AgentPeer,
        context: SessionContext,
    ) -> None:
        """End a session whose place another one has taken.

        A session that is still in use is thereby opened anew. After a pause of this process, the
        one that was opened last may be an earlier one, which its client has given up.
        """
        if peer.replaced:
            await context.abort(grpc.StatusCode.ABORTED, "another session has replaced this one")

    async def read_entry(self, peer: dispatch_handler.EntryPeer, context: SessionContext) -> None:
        """Pass an entry's messages to the dispatcher."""
        async with asyncio.timeout(SESSION_TIMEOUT_SECONDS) as session_timeout:
            while (message := await context.read()) is not grpc.aio.EOF:
                await self.end_if_replaced(peer, context)
                for item in dispatch_batches.split(message):
                    self.receive_from_entry(peer, item)
                    if item.HasField("ping"):
                        session_timeout.reschedule(session_deadline(item.ping))

    def receive_from_entry(
        self, peer: dispatch_handler.EntryPeer, message: masticward_pb2.EntryMessage
    ) -> None:
        """Apply one message of an entry."""
        kind = message.WhichOneof("message")
        if kind == "enqueue":
            self.dispatcher.enqueue(peer, self.read_ticket(peer, message.enqueue))
        elif kind == "cancel":
            self.dispatcher.cancel(peer, message.cancel.ticket_id)
        elif kind == "decline":
            self.dispatcher.decline(read_decline(message.decline))
        elif kind == "ping":
            pong = masticward_pb2.EntryPong(
                sequence=message.ping.sequence,
                waiting=self.dispatcher.waiting,
                free_slots=self.dispatcher.free_slots,
            )
            peer.outbox.put_nowait(masticward_pb2.DispatcherToEntry(pong=pong))

    def read_ticket(
        self, peer: dispatch_handler.EntryPeer, message: masticward_pb2.Enqueue
    ) -> work.Ticket:
        """Return the ticket of a message, with its durations converted to monotonic times."""
        return work.Ticket(
            id=message.ticket_id,
            team=message.team,
            service=self.dispatcher.service,
            entry_id=peer.entry_id,
            cost_hint=message.cost_hint,
            arrived_at=clocks.deadline_from_remaining_ms(-float(message.waited_ms)),
            deadline=clocks.deadline_from_remaining_ms(message.remaining_ms),
            retried=message.retried,
        )

    async def write_entry(self, peer: dispatch_handler.EntryPeer, context: SessionContext) -> None:
        """Write assignments and pongs from the peer's outbox, in batches."""
        assignments = dispatch_assignments.AssignmentWriter()
        while True:
            items = [
                masticward_pb2.DispatcherToEntry(assign=assignments.write(item))
                if isinstance(item, work.Assignment)
                else item
                for item in await dispatch_batches.take_ready(peer.outbox)
            ]
            await context.write(dispatch_batches.join(items))

    async def read_agent(self, peer: dispatch_handler.AgentPeer, context: SessionContext) -> None:
        """Pass an agent's messages to the dispatcher."""
        report_reader = dispatch_reports.ReportReader()
        snapshot_receiver = snapshots.SnapshotReceiver()
        async with asyncio.timeout(SESSION_TIMEOUT_SECONDS) as session_timeout:
            while (message := await context.read()) is not grpc.aio.EOF:
                await self.end_if_replaced(peer, context)
                for item in dispatch_batches.split(message):
                    try:
                        self.receive_from_agent(peer, item, report_reader, snapshot_receiver)
                    except errors.SessionMessageError as error:
                        await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
                    if item.HasField("ping"):
                        session_timeout.reschedule(session_deadline(item.ping))

    def receive_from_agent(
        self,
        peer: dispatch_handler.AgentPeer,
        message: masticward_pb2.AgentMessage,
        report_reader: dispatch_reports.ReportReader,
        snapshot_receiver: snapshots.SnapshotReceiver,
    ) -> None:
        """Apply one message of an agent. Raises SessionMessageError if it is inconsistent."""
        kind = message.WhichOneof("message")
        if kind == "offer":
            deadline = clocks.deadline_from_remaining_ms(message.offer.remaining_ms)
            self.dispatcher.offer(peer, tuple(message.offer.slot_ids), deadline)
        elif kind == "report":
            self.dispatcher.report(peer, report_reader.read(message.report))
        elif kind == "retract":
            self.dispatcher.retract(peer)
        elif kind == "snapshot":
            if snapshot_receiver.apply(message.snapshot):
                self.dispatcher.offer_snapshot(snapshot_receiver.snapshot())
        elif kind == "ping":
            pong = masticward_pb2.AgentPong(
                sequence=message.ping.sequence, waiting=self.dispatcher.waiting
            )
            peer.outbox.put_nowait(masticward_pb2.DispatcherToAgent(pong=pong))

    async def write_agent(self, peer: dispatch_handler.AgentPeer, context: SessionContext) -> None:
        """Write pongs, returned slots and snapshots from the peer's outbox, in batches."""
        while True:
            items = await dispatch_batches.take_ready(peer.outbox)
            await context.write(dispatch_batches.join(items))

    async def send_snapshots(self) -> None:
        """Periodically send snapshots to the agents while the dispatcher's state changes."""
        writer = snapshots.SnapshotWriter(self.dispatcher.service)
        while True:
            await asyncio.sleep(SNAPSHOT_PERIOD_SECONDS)
            snapshot = self.dispatcher.take_snapshot()
            if snapshot is None:
                continue
            writer.add(snapshot)
            now = time.monotonic()
            candidates = self.dispatcher.candidates()
            for peer in self.dispatcher.agent_peers():
                if peer.agent_id in candidates or peer.next_snapshot_at <= now:
                    send_snapshot(peer, writer, now)


def session_deadline(ping: masticward_pb2.Ping) -> float:
    """Return the event-loop time at which the session ends if no further ping arrives."""
    extra_ms = max(0, min(ping.next_ms, MAXIMUM_PING_PERIOD_MS) - PING_PERIOD_MS)
    timeout_seconds = SESSION_TIMEOUT_SECONDS + extra_ms / clocks.MILLISECONDS_PER_SECOND
    return asyncio.get_running_loop().time() + timeout_seconds


def send_snapshot(
    peer: dispatch_handler.AgentPeer, writer: snapshots.SnapshotWriter, now: float
) -> None:
    """Send the newest snapshot to an agent, in full if a full one is due."""
    base = peer.snapshot_sequence if now < peer.next_full_snapshot_at else 0
    message = writer.message_since(base)
    spacing_seconds = message.snapshot.ByteSize() / SNAPSHOT_BYTES_PER_SECOND
    peer.next_snapshot_at = now + spacing_seconds
    if not message.snapshot.base_sequence:
        peer.next_full_snapshot_at = now + max(FULL_SNAPSHOT_PERIOD_SECONDS, spacing_seconds)
    peer.snapshot_sequence = message.snapshot.sequence
    peer.outbox.put_nowait(message)


def read_decline(message: masticward_pb2.DeclineSlot) -> dispatch_handler.DeclinedSlot:
    """Return the declined slot of a message."""
    return dispatch_handler.DeclinedSlot(
        ticket_id=message.ticket_id,
        agent_id=message.agent_id,
        agent_incarnation=message.agent_incarnation,
        slot_id=message.slot_id,
        slot_valid=message.slot_valid,
    )
