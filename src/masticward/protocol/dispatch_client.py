"""One session of an entry or an agent with a dispatcher."""

import abc
import asyncio
import contextlib
import time
import typing

import grpc.aio

from masticward import errors
from masticward.models import work
from masticward.protocol import dispatch_assignments, dispatch_batches
from masticward.transport import channels as channels_module
from masticward.utils import clocks, tasks
from masticward.wire import masticward_pb2, masticward_pb2_grpc

# Two pings fit into the time after which a silent dispatcher is left; each costs both sides 0.5 ms.
PING_SECONDS = 0.7
# Period of a session that nobody waits for, which saves two of three pings. A dispatcher that is
# lost meanwhile is noticed 1.5 s after the first ticket, as if it had been lost at that moment.
IDLE_PING_SECONDS = 2.1
# Three pings: a dispatcher that answers none of them is frozen or cut off.
PONG_TIMEOUT_SECONDS = 1.5


class EntryListener(abc.ABC):
    """Receives what a dispatcher sends to an entry."""

    @abc.abstractmethod
    def on_assign(self, assignment: work.Assignment) -> None:
        """Handle an assigned slot."""

    @abc.abstractmethod
    def on_pong(self) -> None:
        """Note that the dispatcher answers."""

    @abc.abstractmethod
    def has_tickets(self) -> bool:
        """Tell whether tickets wait for the dispatcher, so that its loss must be noticed soon."""


class AgentListener(abc.ABC):
    """Receives what a dispatcher sends to an agent."""

    @abc.abstractmethod
    def on_pong(self, waiting: int, round_trip_seconds: float) -> None:
        """Handle the number of tickets that wait at the dispatcher."""

    @abc.abstractmethod
    def on_snapshot(self, message: masticward_pb2.Snapshot) -> None:
        """Store a snapshot."""

    @abc.abstractmethod
    def on_returned(self, slot_ids: tuple[int, ...]) -> None:
        """Take back slots that were discarded without being assigned."""


class DispatchLink(abc.ABC):
    """A session: the caller's task reads, one task writes and one pings."""

    def __init__(self, channels: channels_module.ChannelPool, address: str) -> None:
        self.channels = channels
        self.address = address
        self.outbox: asyncio.Queue[typing.Any] = asyncio.Queue()
        self.established = False
        self.ping_sent_at: dict[int, float] = {}
        self.hurried = asyncio.Event()
        # How much longer than usual the next ping may be away.
        self.ping_delay_seconds = 0.0
        self.silence: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Exchange messages until cancelled.

        Raises PeerUnavailableError if the stream broke or no pong came for 1.5 s.
        """
        group = tasks.TaskGroup()
        channel = self.channels.get(self.address)
        stub = masticward_pb2_grpc.DispatchStub(channel)
        call = self.open_call(stub, self.channels.transport.metadata)
        try:
            group.spawn(self.write(call), "dispatch-link-writer")
            group.spawn(self.ping(), "dispatch-link-ping")
            await self.read(call)
        except grpc.aio.AioRpcError as error:
            raise errors.PeerUnavailableError(
                f"session with {self.address}: {error.code().name}: {error.details()}"
            ) from error
        except (grpc.aio.UsageError, asyncio.InvalidStateError) as error:
            raise errors.PeerUnavailableError(f"session with {self.address}: {error}") from error
        except errors.SessionMessageError as error:
            raise errors.PeerUnavailableError(f"session with {self.address}: {error}") from error
        except TimeoutError as error:
            raise errors.PeerUnavailableError(
                f"no pong from {self.address} for {PONG_TIMEOUT_SECONDS} s"
            ) from error
        finally:
            call.cancel()
            await group.cancel()

    async def read(self, call: typing.Any) -> None:
        """Handle messages; only a pong extends the session's time."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(PONG_TIMEOUT_SECONDS) as self.silence:
                while (message := await call.read()) is not grpc.aio.EOF:
                    for item in dispatch_batches.split(message):
                        sequence = self.receive(item)
                        if sequence is None:
                            continue
                        allowed = PONG_TIMEOUT_SECONDS + self.ping_delay_seconds
                        self.silence.reschedule(loop.time() + allowed)
                        sent_at = self.ping_sent_at.pop(sequence, None)
                        if sent_at is not None:
                            self.established = True
                            self.receive_pong(item.pong, time.monotonic() - sent_at)
        finally:
            self.silence = None
        raise errors.PeerUnavailableError(f"{self.address} ended the session")

    async def write(self, call: typing.Any) -> None:
        """Write messages as soon as they are there; the reader reports a broken stream."""
        # The server reads hello on its own, so it shares no message with others.
        items = [await self.outbox.get()]
        while True:
            try:
                await call.write(dispatch_batches.join(items))
            except (grpc.aio.AioRpcError, grpc.aio.UsageError, asyncio.InvalidStateError):
                return
            items = await dispatch_batches.take_ready(self.outbox)

    async def ping(self) -> None:
        """Ping at once and then periodically, less often while nobody waits for the session."""
        sequence = 0
        while True:
            sequence += 1
            period = IDLE_PING_SECONDS if self.is_idle() else PING_SECONDS
            self.ping_delay_seconds = max(0.0, period - PING_SECONDS)
            self.hurried.clear()
            self.ping_sent_at[sequence] = time.monotonic()
            ping = masticward_pb2.Ping(
                sequence=sequence, next_ms=int(period * clocks.MILLISECONDS_PER_SECOND)
            )
            self.outbox.put_nowait(self.ping_message(ping))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period):
                    await self.hurried.wait()

    def hurry(self) -> None:
        """Ping at once if the next ping is far away, and expect its pong within the usual time."""
        if not self.ping_delay_seconds:
            return
        self.ping_delay_seconds = 0.0
        self.hurried.set()
        if self.silence is not None and not self.silence.expired():
            latest = asyncio.get_running_loop().time() + PONG_TIMEOUT_SECONDS
            self.silence.reschedule(min(latest, self.silence.when() or latest))

    def is_idle(self) -> bool:
        """Tell whether nobody waits for the session, so that its loss may be noticed later."""
        return False

    @abc.abstractmethod
    def open_call(self, stub: typing.Any, metadata: tuple[tuple[str, str], ...]) -> typing.Any:
        """Open the stream."""

    @abc.abstractmethod
    def ping_message(self, ping: masticward_pb2.Ping) -> typing.Any:
        """Return a message with the ping."""

    @abc.abstractmethod
    def receive(self, message: typing.Any) -> int | None:
        """Handle one message; return its sequence if it is a pong."""

    @abc.abstractmethod
    def receive_pong(self, pong: typing.Any, round_trip_seconds: float) -> None:
        """Handle a pong and the time since its ping."""


class EntryLink(DispatchLink):
    """A session of an entry."""

    def __init__(
        self,
        channels: channels_module.ChannelPool,
        address: str,
        hello: masticward_pb2.EntryHello,
        listener: EntryListener,
    ) -> None:
        super().__init__(channels, address)
        self.listener = listener
        self.assignments = dispatch_assignments.AssignmentReader()
        self.outbox.put_nowait(masticward_pb2.EntryMessage(hello=hello))

    def enqueue(self, ticket: work.Ticket) -> None:
        """Queue a ticket at the dispatcher."""
        waited_ms = (time.monotonic() - ticket.arrived_at) * clocks.MILLISECONDS_PER_SECOND
        message = masticward_pb2.Enqueue(
            ticket_id=ticket.id,
            team=ticket.team,
            cost_hint=ticket.cost_hint,
            remaining_ms=clocks.remaining_ms(ticket.deadline),
            waited_ms=max(0, int(waited_ms)),
            retried=ticket.retried,
        )
        self.outbox.put_nowait(masticward_pb2.EntryMessage(enqueue=message))
        self.hurry()

    def is_idle(self) -> bool:
        """Tell whether no ticket waits at the dispatcher."""
        return not self.listener.has_tickets()

    def cancel(self, ticket_id: str) -> None:
        """Withdraw a ticket."""
        message = masticward_pb2.CancelTicket(ticket_id=ticket_id)
        self.outbox.put_nowait(masticward_pb2.EntryMessage(cancel=message))

    def decline(self, assignment: work.Assignment, slot_valid: bool) -> None:
        """Give an assigned slot back."""
        message = masticward_pb2.DeclineSlot(
            ticket_id=assignment.ticket_id,
            agent_id=assignment.slot.agent_id,
            agent_incarnation=assignment.slot.agent_incarnation,
            slot_id=assignment.slot.id,
            slot_valid=slot_valid,
        )
        self.outbox.put_nowait(masticward_pb2.EntryMessage(decline=message))

    def open_call(self, stub: typing.Any, metadata: tuple[tuple[str, str], ...]) -> typing.Any:
        """Open an entry's stream."""
        return stub.EntrySession(metadata=metadata)

    def ping_message(self, ping: masticward_pb2.Ping) -> masticward_pb2.EntryMessage:
        """Return an entry's ping."""
        return masticward_pb2.EntryMessage(ping=ping)

    def receive(self, message: masticward_pb2.DispatcherToEntry) -> int | None:
        """Pass assignments on."""
        if message.HasField("assign"):
            self.listener.on_assign(self.assignments.read(message.assign))
            return None
        return message.pong.sequence if message.HasField("pong") else None

    def receive_pong(self, pong: masticward_pb2.EntryPong, round_trip_seconds: float) -> None:
        """Note that the dispatcher answers."""
        self.listener.on_pong()


class AgentLink(DispatchLink):
    """A session of an agent."""

    def __init__(
        self,
        channels: channels_module.ChannelPool,
        address: str,
        hello: masticward_pb2.AgentHello,
        listener: AgentListener,
    ) -> None:
        super().__init__(channels, address)
        self.listener = listener
        self.outbox.put_nowait(masticward_pb2.AgentMessage(hello=hello))

    def offer(self, slot_ids: tuple[int, ...], deadline: float) -> None:
        """Offer slots until a monotonic deadline in seconds."""
        message = masticward_pb2.OfferSlots(
            slot_ids=slot_ids, remaining_ms=clocks.remaining_ms(deadline)
        )
        self.outbox.put_nowait(masticward_pb2.AgentMessage(offer=message))

    def report(self, message: masticward_pb2.ServiceReport) -> None:
        """Report rendered service."""
        self.outbox.put_nowait(masticward_pb2.AgentMessage(report=message))

    def retract(self) -> None:
        """Withdraw every slot that was not assigned."""
        message = masticward_pb2.AgentMessage(retract=masticward_pb2.Retract())
        self.outbox.put_nowait(message)

    def forward_snapshot(self, snapshot: masticward_pb2.Snapshot) -> None:
        """Pass on another dispatcher's snapshot."""
        self.outbox.put_nowait(masticward_pb2.AgentMessage(snapshot=snapshot))

    def open_call(self, stub: typing.Any, metadata: tuple[tuple[str, str], ...]) -> typing.Any:
        """Open an agent's stream."""
        return stub.AgentSession(metadata=metadata)

    def ping_message(self, ping: masticward_pb2.Ping) -> masticward_pb2.AgentMessage:
        """Return an agent's ping."""
        return masticward_pb2.AgentMessage(ping=ping)

    def receive(self, message: masticward_pb2.DispatcherToAgent) -> int | None:
        """Pass snapshots and returned slots on."""
        if message.HasField("snapshot"):
            self.listener.on_snapshot(message.snapshot)
        elif message.HasField("returned"):
            self.listener.on_returned(tuple(message.returned.slot_ids))
        return message.pong.sequence if message.HasField("pong") else None

    def receive_pong(self, pong: masticward_pb2.AgentPong, round_trip_seconds: float) -> None:
        """Pass the dispatcher's queue length and the round-trip time on."""
        self.listener.on_pong(pong.waiting, round_trip_seconds)
