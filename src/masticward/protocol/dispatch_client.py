"""Client side of the Dispatch sessions that entries and agents hold with a dispatcher."""

import abc
import asyncio
import collections.abc
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

# Two periods fit into PONG_TIMEOUT_SECONDS; each ping costs both sides 0.5 ms.
PING_PERIOD_SECONDS = 0.7
# Period while no ticket waits, which saves two of three pings. If the dispatcher fails in the
# meantime, this is detected 1.5 s after the next ticket, as if it had failed at that moment.
IDLE_PING_PERIOD_SECONDS = 2.1
# Covers three pings (0 s, 0.7 s and 1.4 s): a dispatcher that answers none of them is frozen or
# unreachable.
PONG_TIMEOUT_SECONDS = 1.5


class EntryListener(abc.ABC):
    """Handles the messages of a dispatcher to an entry."""

    @abc.abstractmethod
    def on_assign(self, assignment: work.Assignment) -> None:
        """Handle an assigned slot."""

    @abc.abstractmethod
    def on_pong(self) -> None:
        """Handle an answered ping: the dispatcher is reachable."""

    @abc.abstractmethod
    def has_tickets(self) -> bool:
        """Return whether tickets wait at the dispatcher, so that its failure matters at once."""


class AgentListener(abc.ABC):
    """Handles the messages of a dispatcher to an agent."""

    @abc.abstractmethod
    def on_pong(self, waiting: int, round_trip_seconds: float) -> None:
        """Handle an answered ping with the number of tickets that wait at the dispatcher."""

    @abc.abstractmethod
    def on_snapshot(self, message: masticward_pb2.Snapshot) -> None:
        """Store a snapshot."""

    @abc.abstractmethod
    def on_returned(self, slot_ids: tuple[int, ...]) -> None:
        """Handle slots that the dispatcher discarded without assigning them."""


class DispatchLink(abc.ABC):
    """Client of one session. The caller's task reads, a second one writes and a third one pings."""

    def __init__(self, channels: channels_module.ChannelPool, address: str) -> None:
        self.channels = channels
        self.address = address
        self.outbox: asyncio.Queue[typing.Any] = asyncio.Queue()
        self.established = False
        # Called with the first pong.
        self.on_established: collections.abc.Callable[[], None] = lambda: None
        self.ping_sent_at: dict[int, float] = {}
        self.ping_requested = asyncio.Event()
        # Time beyond PING_PERIOD_SECONDS until the next ping; extends the pong timeout.
        self.extra_ping_delay_seconds = 0.0
        self.pong_timeout: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Exchange messages until cancelled.

        Raises PeerUnavailableError if the stream breaks or no pong arrives for 1.5 s.
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
        """Handle messages until the stream ends. Only a pong extends the pong timeout."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(PONG_TIMEOUT_SECONDS) as self.pong_timeout:
                while (message := await call.read()) is not grpc.aio.EOF:
                    for item in dispatch_batches.split(message):
                        sequence = self.receive(item)
                        if sequence is None:
                            continue
                        timeout_seconds = PONG_TIMEOUT_SECONDS + self.extra_ping_delay_seconds
                        self.pong_timeout.reschedule(loop.time() + timeout_seconds)
                        sent_at = self.ping_sent_at.pop(sequence, None)
                        if sent_at is not None:
                            first, self.established = not self.established, True
                            self.receive_pong(item.pong, time.monotonic() - sent_at)
                            if first:
                                self.on_established()
        finally:
            self.pong_timeout = None
        raise errors.PeerUnavailableError(f"{self.address} ended the session")

    async def write(self, call: typing.Any) -> None:
        """Write messages from the outbox, in batches. A broken stream is reported by ``read``."""
        # The server expects hello as a message of its own, so it is not batched with others.
        items = [await self.outbox.get()]
        while True:
            try:
                await call.write(dispatch_batches.join(items))
            except (grpc.aio.AioRpcError, grpc.aio.UsageError, asyncio.InvalidStateError):
                return
            items = await dispatch_batches.take_ready(self.outbox)

    async def ping(self) -> None:
        """Ping at once and then periodically, at a longer period while the session is idle."""
        sequence = 0
        while True:
            sequence += 1
            period = IDLE_PING_PERIOD_SECONDS if self.is_idle() else PING_PERIOD_SECONDS
            self.extra_ping_delay_seconds = max(0.0, period - PING_PERIOD_SECONDS)
            self.ping_requested.clear()
            self.ping_sent_at[sequence] = time.monotonic()
            ping = masticward_pb2.Ping(
                sequence=sequence, next_ms=int(period * clocks.MILLISECONDS_PER_SECOND)
            )
            self.outbox.put_nowait(self.ping_message(ping))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period):
                    await self.ping_requested.wait()

    def request_ping(self) -> None:
        """Ping at once if the idle period is in effect, and restore the normal pong timeout."""
        if not self.extra_ping_delay_seconds:
            return
        self.extra_ping_delay_seconds = 0.0
        self.ping_requested.set()
        if self.pong_timeout is not None and not self.pong_timeout.expired():
            latest = asyncio.get_running_loop().time() + PONG_TIMEOUT_SECONDS
            self.pong_timeout.reschedule(min(latest, self.pong_timeout.when() or latest))

    def is_idle(self) -> bool:
        """Return whether a failure of the dispatcher may be detected later than usual."""
        return False

    @abc.abstractmethod
    def open_call(self, stub: typing.Any, metadata: tuple[tuple[str, str], ...]) -> typing.Any:
        """Open the session's stream."""

    @abc.abstractmethod
    def ping_message(self, ping: masticward_pb2.Ping) -> typing.Any:
        """Return the ping as a message of the session."""

    @abc.abstractmethod
    def receive(self, message: typing.Any) -> int | None:
        """Handle one message. Return the sequence number if it is a pong, otherwise None."""

    @abc.abstractmethod
    def receive_pong(self, pong: typing.Any, round_trip_seconds: float) -> None:
        """Handle a pong; the round trip is the time since its ping."""


class EntryLink(DispatchLink):
    """Client of an entry's session."""

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
        self.request_ping()

    def is_idle(self) -> bool:
        """Return whether no ticket waits at the dispatcher."""
        return not self.listener.has_tickets()

    def cancel(self, ticket_id: str) -> None:
        """Cancel a ticket that is queued at the dispatcher."""
        message = masticward_pb2.CancelTicket(ticket_id=ticket_id)
        self.outbox.put_nowait(masticward_pb2.EntryMessage(cancel=message))

    def decline(self, assignment: work.Assignment, slot_valid: bool) -> None:
        """Return an assigned slot that the ticket does not use.

        ``slot_valid`` is False if the agent refused the slot, so that it is not assigned again.
        """
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
        """Return the ping as an entry's message."""
        return masticward_pb2.EntryMessage(ping=ping)

    def receive(self, message: masticward_pb2.DispatcherToEntry) -> int | None:
        """Pass an assignment to the listener; return the sequence number of a pong."""
        if message.HasField("assign"):
            self.listener.on_assign(self.assignments.read(message.assign))
            return None
        return message.pong.sequence if message.HasField("pong") else None

    def receive_pong(self, pong: masticward_pb2.EntryPong, round_trip_seconds: float) -> None:
        """Notify the listener of a pong."""
        self.listener.on_pong()


class AgentLink(DispatchLink):
    """Client of an agent's session."""

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
        """Send a report of provided service."""
        self.outbox.put_nowait(masticward_pb2.AgentMessage(report=message))

    def retract(self) -> None:
        """Withdraw all offered slots that are not assigned."""
        message = masticward_pb2.AgentMessage(retract=masticward_pb2.Retract())
        self.outbox.put_nowait(message)

    def forward_snapshot(self, snapshot: masticward_pb2.Snapshot) -> None:
        """Forward a snapshot of another dispatcher."""
        self.outbox.put_nowait(masticward_pb2.AgentMessage(snapshot=snapshot))

    def open_call(self, stub: typing.Any, metadata: tuple[tuple[str, str], ...]) -> typing.Any:
        """Open an agent's stream."""
        return stub.AgentSession(metadata=metadata)

    def ping_message(self, ping: masticward_pb2.Ping) -> masticward_pb2.AgentMessage:
        """Return the ping as an agent's message."""
        return masticward_pb2.AgentMessage(ping=ping)

    def receive(self, message: masticward_pb2.DispatcherToAgent) -> int | None:
        """Pass a snapshot or returned slots to the listener; return the sequence of a pong."""
        if message.HasField("snapshot"):
            self.listener.on_snapshot(message.snapshot)
        elif message.HasField("returned"):
            self.listener.on_returned(tuple(message.returned.slot_ids))
        return message.pong.sequence if message.HasField("pong") else None

    def receive_pong(self, pong: masticward_pb2.AgentPong, round_trip_seconds: float) -> None:
        """Pass the dispatcher's queue length and the round-trip time to the listener."""
        self.listener.on_pong(pong.waiting, round_trip_seconds)
