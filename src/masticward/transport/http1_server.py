"""Serves HTTP/1.1 connections: strict framing, limits, and answers that never look whole if cut."""

import abc
import asyncio
import collections
import contextlib
import enum
import errno
import math

import h11

from masticward import errors, events, logs
from masticward.models import gateway
from masticward.state import body_memory, buffered_bytes, read_turns
from masticward.transport import client_pacer, http1
from masticward.utils import clocks

# After a stop, connections that were just opened may send their first request for this long.
FIRST_REQUEST_SECONDS = 0.5
# Of a request that was refused before it was read, in seconds; its retry reaches another process.
RETRY_AFTER = b"0.2"
# With fewer unsent bytes, a transport does not let its writers wait.
MIN_PAUSED_BYTES = 16 * 1024
# How often it is looked whether a client has taken its last answer.
FIRST_POLL_SECONDS = 0.05
MAX_POLL_SECONDS = 0.25
LOGGER = logs.get_logger(__name__)
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class Stage(enum.Enum):
    """How far a request is.

    Of ``UNREAD`` ones, bytes or the close by the client were not read; ``WAITING`` ones have no
    answer so far; of ``WRITING`` ones, the client may lack the end of the answer.
    """

    UNREAD = "unread"
    READING = "reading"
    WAITING = "waiting"
    ANSWERING = "answering"
    WRITING = "writing"


class Request:
    """A whole request. ``arrived_at`` is the moment at which its head was read."""

    __slots__ = ("arrived_at", "body", "headers", "held_body", "method", "target")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        arrived_at: float,
        memory: body_memory.BodyMemory,
    ) -> None:
        self.held_body = body_memory.HeldBody(memory)
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.arrived_at = arrived_at

    def reserve(self, size: int) -> None:
        """Reserve memory for a body of this size; raise BodyMemoryError if there is none."""
        if size > self.held_body.reserved_bytes:
            self.held_body.resize(size)

    def drop_body(self) -> None:
        """Free the body, which is not needed any more."""
        self.body = b""
        self.held_body.release()


class Responder:
    """Writes the answer to one request."""

    __slots__ = (
        "chunked",
        "connection",
        "ended",
        "ends_connection",
        "pacer",
        "sent_bytes",
        "started",
        "status",
        "written",
    )

    def __init__(self, connection: "ServerConnection") -> None:
        self.connection = connection
        # Set by a handler to bound the time for which a slow client is waited for.
        self.pacer: client_pacer.ClientPacer | None = None
        # Set by a handler to tell the client to open another connection for its next request.
        self.ends_connection = False
        self.started = False
        # Whether the whole answer was written, and whether the connection has taken it.
        self.written = False
        self.ended = False
        # Status of the head, 0 without one, and bytes of the body that were written.
        self.status = 0
        self.sent_bytes = 0
        # Whether h11 sends the body in chunks; it decides that by head and client.
        self.chunked = False

    @property
    def closes_connection(self) -> bool:
        """Whether this answer is the last one on its connection."""
        return self.ends_connection or self.connection.server.closes_connections

    @property
    def stage(self) -> Stage:
        """How far the request is."""
        if self.written:
            return Stage.WRITING
        return Stage.ANSWERING if self.started else Stage.WAITING

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that the connection still holds."""
        return self.connection.channel.unsent_bytes

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Write the head; a head without a length is sent in chunks."""
        if self.closes_connection:
            headers = [*headers, (b"Connection", b"close")]
        self.started = True
        self.status = status
        head = self.connection.write(
            h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b""))
        )
        self.chunked = (
            self.connection.method != b"HEAD"
            and b"\r\ntransfer-encoding: chunked\r\n" in head.lower()
        )
        await self.drain()

    async def drain(self) -> None:
        """Wait while the client does not read.

        Raise OSError if it is gone, SlowClientError if it takes nothing for too long.
        """
        if self.pacer is None:
            await self.connection.drain()
        else:
            await self.pacer.drain(0 if self.written else self.pacer.ahead_bytes)

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""
        self.sent_bytes += len(data)
        if self.pacer is not None:
            self.pacer.record_write(len(data))
        if data and self.chunked:
            # h11 keeps no state of a chunk; each of its events costs as much as the write.
            self.connection.channel.write(b"%x\r\n%b\r\n" % (len(data), data))
            await self.drain()
        elif data:
            self.connection.write(h11.Data(data=data))
            await self.drain()

    async def end(self) -> None:
        """Complete the body."""
        self.written = True
        self.connection.write(h11.EndOfMessage())
        await self.drain()
        self.ended = True

    async def send(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes | bytearray
    ) -> None:
        """Write a whole answer with its length.

        Of a body above ``http1.MAX_JOINED_BYTES``, the connection buffers only a part at a time.
        """
        with_length = [*headers, (b"Content-Length", str(len(body)).encode())]
        if self.closes_connection:
            with_length.append((b"Connection", b"close"))
        self.started = True
        self.status = status
        response = h11.Response(
            status_code=status, headers=with_length, reason=REASONS.get(status, b"")
        )
        if len(body) > http1.MAX_JOINED_BYTES and self.connection.method != b"HEAD":
            self.connection.write(response)
            if self.pacer is not None:
                self.pacer.total_bytes = len(body)
            for start in range(0, len(body), http1.MAX_JOINED_BYTES):
                await self.write(bytes(body[start : start + http1.MAX_JOINED_BYTES]))
            await self.end()
            return
        self.written = True
        self.sent_bytes = len(body)
        # One write for the whole answer: each system call costs processor time.
        parts = [self.connection.machine.send(response)]
        if body and self.connection.method != b"HEAD":
            parts.append(self.connection.machine.send(h11.Data(data=bytes(body))))
        parts.append(self.connection.machine.send(h11.EndOfMessage()))
        self.connection.channel.write(b"".join(part for part in parts if part))
        await self.drain()
        self.ended = True


class RequestHandler(abc.ABC):
    """Answers requests. It is cancelled when the client leaves."""

    @abc.abstractmethod
    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request; an answer that is not ended is cut off for the client to see."""

    @abc.abstractmethod
    def limits(self) -> gateway.ClientLimits:
        """Return what clients may send now."""

    def note_protocol_error(  # noqa: B027
        self, request: Request | None, status: int, detail: str
    ) -> None:
        """Note a request that was not handed on; None if its head could not be read."""

    def note_unfinished(  # noqa: B027
        self, request: Request | None, stage: Stage, reason: str, end: http1.ConnectionEnd | None
    ) -> None:
        """Note a request that no handler answers and whose connection has ended.

        ``request`` is None if its head was not read, ``end`` if the process ended.
        """


class Server:
    """Listens on one address and serves each connection in a task of its own."""

    def __init__(
        self,
        address: tuple[str, int],
        handler: RequestHandler,
        memory: body_memory.BodyMemory | None = None,
    ) -> None:
        self.memory = memory or body_memory.BodyMemory(math.inf)
        self.address = address
        self.handler = handler
        self.stopping = False
        # Whether clients should open their next connection elsewhere, because this process is busy.
        self.overloaded = False
        # After a stop: the time until which new connections may send a request.
        self.first_requests_until = 0.0
        # Whether requests that have arrived in part are refused, because the process ends.
        self.reading_stopped = False
        # Whether all connections were reset, because the process ends.
        self.aborted = False
        self.connections: set[ServerConnection] = set()
        self.listener: http1.Listener | None = None

    async def start(self) -> int:
        """Open the port and return its number."""
        self.listener = await http1.listen(self.address, self.serve)
        return self.listener.port

    async def serve(self, channel: http1.Channel) -> None:
        """Serve one connection to its end."""
        connection = ServerConnection(self, channel)
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)

    def stop_listening(self) -> None:
        """Take no new connection and close those that serve no request.

        A request that has arrived and is not read yet is served. So is one on a connection that
        has had none so far, if it comes within ``FIRST_REQUEST_SECONDS``.
        """
        self.stopping = True
        self.first_requests_until = clocks.boot_time() + FIRST_REQUEST_SECONDS
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.close_if_idle()

    def close_unused(self) -> None:
        """Close the connections that have had no request once the time for it is over."""
        if clocks.boot_time() < self.first_requests_until:
            return
        for connection in list(self.connections):
            if connection.awaits_first_request:
                connection.close_unless_request_arrived()

    def stop_reading(self) -> None:
        """Refuse the requests that have arrived in part; they have not run."""
        self.reading_stopped = True
        for connection in list(self.connections):
            connection.stop_reading()

    @property
    def closes_connections(self) -> bool:
        """Whether each answer is the last one on its connection."""
        return self.stopping or self.overloaded

    @property
    def busy(self) -> int:
        """Number of requests that are being read or answered, or may still arrive after a stop.

        An answer counts until it is written out, the last one on a connection until it is taken.
        """
        busy = sum(
            1
            for connection in self.connections
            if connection.busy
            or connection.closing
            or connection.channel.transport.get_write_buffer_size() > 0
        )
        if self.stopping and clocks.boot_time() < self.first_requests_until:
            busy += sum(1 for connection in self.connections if connection.awaits_first_request)
            if self.listener is not None:
                busy += len(self.listener.opening)
        return busy

    @property
    def unread_bytes(self) -> int:
        """Number of bytes that clients have sent behind requests that are being served."""
        return sum(connection.unread_bytes for connection in self.connections)

    def limit_unread(self, limit_bytes: int) -> None:
        """Reset connections, those with the most unread bytes first, to keep within a limit.

        A client that sends that much ahead would otherwise end the process with all requests.
        """
        unread_bytes = self.unread_bytes
        if unread_bytes <= limit_bytes:
            return
        for connection in sorted(self.connections, key=lambda item: -item.unread_bytes):
            if unread_bytes <= limit_bytes:
                break
            unread_bytes -= connection.unread_bytes
            connection.reset("unread bytes")

    def open_requests(self) -> list[tuple[Request | None, Stage]]:
        """Return the open requests, None for those without a head, and how far they are."""
        return [
            (connection.request, stage)
            for connection in self.connections
            if (stage := connection.stage()) is not None
        ]

    def abort(self) -> collections.Counter[Stage]:
        """Reset all connections; return the number of open requests by stage."""
        self.aborted = True
        stages: collections.Counter[Stage] = collections.Counter()
        for connection in list(self.connections):
            stage = connection.stage()
            if stage is not None:
                stages[stage] += 1
                # Handlers note their own requests when they are cancelled.
                if connection.responder is None:
                    self.handler.note_unfinished(
                        connection.request, stage, "the process ended", None
                    )
            connection.channel.abort()
        return stages


class ServerConnection:
    """One client connection."""

    __slots__ = (
        "busy",
        "channel",
        "closing",
        "head_bytes",
        "machine",
        "method",
        "paced",
        "reading",
        "request",
        "reset_cause",
        "responder",
        "served",
        "server",
        "unsent_request",
    )

    def __init__(self, server: Server, channel: http1.Channel) -> None:
        self.server = server
        self.channel = channel
        self.open_machine(server.handler.limits().head_bytes)
        self.busy = False
        # Whether the connection ends once the client has taken what was written.
        self.closing = False
        # Whether pacers bound the writes.
        self.paced = False
        # Why this process has reset the connection, for log lines; empty if it has not.
        self.reset_cause = ""
        # Number of requests that were read.
        self.served = 0
        self.method = b""
        # Set while a request is waited for or read.
        self.reading: asyncio.Timeout | None = None
        # The request whose head was read last, kept until its answer is written out.
        self.request: Request | None = None
        # Set while a handler answers.
        self.responder: Responder | None = None
        # The last request, if its answer was not written out when its handler had ended.
        self.unsent_request: Request | None = None

    def open_machine(self, head_bytes: int) -> None:
        """Start the protocol anew, with a limit on the size of heads."""
        self.head_bytes = head_bytes
        self.machine = h11.Connection(h11.SERVER, max_incomplete_event_size=head_bytes)

    @property
    def awaits_first_request(self) -> bool:
        """Whether the connection has had no request so far."""
        return not self.busy and not self.served

    def stage(self) -> Stage | None:
        """Return how far the connection's request is, None without one."""
        if self.responder is not None:
            return self.responder.stage
        if self.busy and self.reading is not None:
            return Stage.READING
        if self.channel.unsent_bytes:
            return Stage.WRITING
        return Stage.UNREAD if not self.busy and self.has_unread_request() else None

    def expect_slow_client(self) -> None:
        """Leave the bounds on what is held for the client to the pacers.

        Those of the transport would act before.
        """
        if self.paced:
            return
        self.paced = True
        self.channel.limit_writes(
            http1.MAX_BODY_BYTES + buffered_bytes.READ_AHEAD_BYTES,
            buffered_bytes.KERNEL_SEND_BYTES,
        )

    def write(self, event: h11.Event) -> bytes:
        """Write one event and return its bytes."""
        data = self.machine.send(event) or b""
        if data:
            self.channel.write(data)
        return data

    async def drain(self) -> None:
        """Wait while the client does not read; raises OSError if it is gone."""
        if self.channel.unsent_bytes < MIN_PAUSED_BYTES:
            await self.channel.writer.drain()
            return
        # The wait for the client is no use of the processor.
        self.channel.turn_queue.stop()
        await self.channel.writer.drain()

    def has_unread_request(self) -> bool:
        """Return whether bytes of a request have arrived that no request consumed."""
        return bool(self.machine.trailing_data[0]) or self.channel.has_unread_bytes()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is served, has arrived or is due to arrive."""
        if not self.busy and not self.awaits_first_request:
            self.close_unless_request_arrived()

    def close_unless_request_arrived(self) -> None:
        """Close the connection, or count a request that has arrived and is not read yet."""
        if self.has_unread_request():
            self.busy = True
        else:
            self.close("stopping")

    def stop_reading(self) -> None:
        """Refuse a request that has arrived in part."""
        if self.busy and self.reading is not None:
            self.reading.reschedule(asyncio.get_running_loop().time())

    @property
    def unread_bytes(self) -> int:
        """Number of bytes that have arrived behind the request that is being served.

        Those of a request that is being read are consumed in the next pass of the event loop.
        """
        if not self.busy or self.reading is not None:
            return 0
        return self.channel.protocol.unread_bytes + len(self.machine.trailing_data[0])

    def reset(self, cause: str) -> None:
        """Reset the connection and log the cause."""
        self.reset_cause = cause
        LOGGER.log(events.Event.CLIENT_CONNECTION_CLOSED, cause=cause, requests=self.served)
        self.break_off()

    def break_off(self) -> None:
        """End the connection so that an answer without its end does not look whole."""
        if self.paced:
            self.channel.reset()
        else:
            self.channel.abort()

    def close(self, cause: str) -> None:
        """Close the connection once the client has taken its last answer, and log the cause."""
        LOGGER.log(events.Event.CLIENT_CONNECTION_CLOSED, cause=cause, requests=self.served)
        if not self.channel.pending_bytes:
            self.channel.close()
            return
        # ``run`` ends and waits for the client.
        self.closing = True
        if self.reading is not None:
            self.reading.reschedule(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self.serve_request():
                self.machine.start_next_cycle()
                self.busy = False
                listener = self.server.listener
                if listener is not None and listener.closed:
                    self.close_unless_request_arrived()
                    if not self.busy:
                        return
            closing = self.channel.peer_gone or self.channel.transport.is_closing()
            if not closing and self.has_unread_request():
                LOGGER.log(
                    events.Event.CLIENT_CONNECTION_CLOSED,
                    cause="last answer, further bytes are not read",
                    requests=self.served,
                )
                await self.channel.close_after_peer()
        except (OSError, asyncio.CancelledError):
            # The client is gone, or the process ends: nobody is left to be answered.
            self.channel.abort()
        except Exception as error:
            LOGGER.log(events.Event.TASK_FAILED, task="client connection", error=f"{error!r}")
            self.channel.abort()
        finally:
            self.channel.protocol.on_peer_gone = None
            await self.close_when_taken()

    async def close_when_taken(self) -> None:
        """Close the connection once the client has taken what was written, or is lost.

        The kernel gives up a connection sooner once it is closed.
        """
        self.closing = True
        reason = ""
        try:
            await self.wait_taken()
            self.channel.close()
            await self.channel.writer.wait_closed()
        except OSError as error:
            reason = str(error)
        except asyncio.CancelledError:
            # The process ends.
            self.channel.abort()
        finally:
            self.channel.close()
        if self.channel.end is http1.ConnectionEnd.KERNEL:
            reason = self.channel.protocol.end_reason
        if reason and self.unsent_request is not None and not self.server.aborted:
            self.server.handler.note_unfinished(
                self.unsent_request, Stage.WRITING, reason, self.channel.end
            )

    async def wait_taken(self) -> None:
        """Wait until the client has taken what was written, or has left.

        End the connection if it takes nothing for the time for which it may be idle.
        """
        if self.channel.open_socket is None or not self.channel.pending_bytes:
            return
        limit_seconds = self.server.handler.limits().idle_timeout_seconds
        pace = buffered_bytes.ClientPace(clocks.boot_time())
        poll_seconds = FIRST_POLL_SECONDS
        left = asyncio.Event()
        self.channel.protocol.on_peer_gone = left.set
        # Most clients close their side at once when they have the end.
        self.channel.writer.write_eof()
        while not self.channel.peer_gone and self.channel.open_socket is not None:
            now = clocks.boot_time()
            pace.record(self.channel.pending_bytes, now)
            if not pace.pending_bytes:
                return
            if pace.stalled_seconds(now) >= limit_seconds:
                self.channel.end_lost(OSError(errno.ETIMEDOUT, "the client takes nothing"))
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(poll_seconds):
                    await left.wait()
            poll_seconds = min(MAX_POLL_SECONDS, 2.0 * poll_seconds)

    async def serve_request(self) -> bool:
        """Serve one request; returns whether another may follow."""
        if self.closing:
            return False
        try:
            request = await self.read_until_stopped()
        except h11.RemoteProtocolError as error:
            await self.refuse(error.error_status_hint, str(error))
            return False
        except TimeoutError:
            if self.closing:
                return False
            if not self.busy and self.channel.pending_bytes:
                self.reset("the client takes nothing")
            elif not self.busy:
                self.close("idle timeout")
            elif self.server.reading_stopped:
                await self.refuse(503, "the process stops before the request has arrived")
            else:
                await self.refuse(408, "the request did not arrive in time")
            return False
        except OSError as error:
            if self.busy and not self.server.aborted:
                self.server.handler.note_unfinished(
                    self.request, Stage.READING, str(error), self.channel.end
                )
            raise
        except errors.BadRequestError as error:
            await self.refuse(413, str(error))
            return False
        except errors.BodyMemoryError as error:
            await self.refuse(503, str(error))
            return False
        if request is None:
            return False
        responder = Responder(self)
        try:
            await self.handle_watched(request, responder)
        finally:
            request.drop_body()
            self.responder = None
            if not self.channel.unsent_bytes:
                self.request = None
        if not responder.ended:
            self.break_off()
            return False
        if self.machine.our_state is h11.DONE and self.machine.their_state is h11.DONE:
            return True
        if self.channel.unsent_bytes:
            self.unsent_request = request
        return False

    async def handle_watched(self, request: Request, responder: Responder) -> None:
        """Run the handler and cancel it when the client leaves."""
        if self.channel.peer_gone:
            if not self.server.aborted:
                reason = self.channel.protocol.end_reason
                self.server.handler.note_unfinished(
                    request, Stage.WAITING, reason, self.channel.end
                )
            self.channel.abort()
            return
        self.responder = responder
        task = asyncio.current_task()
        assert task is not None
        self.channel.protocol.on_peer_gone = task.cancel
        # A handler that waits does not use the processor.
        asyncio.get_running_loop().call_soon(self.channel.turn_queue.stop)
        try:
            await self.server.handler.handle(request, responder)
        finally:
            self.channel.protocol.on_peer_gone = None

    async def next_event(self, deadline: float) -> object:
        """Return the next h11 event; raises TimeoutError at the deadline (boot time)."""
        while True:
            event = self.machine.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.machine.receive_data(await self.channel.read_until(deadline))

    async def read_until_stopped(self) -> Request | None:
        """Return a whole request as ``read_request``; raise TimeoutError if reading is stopped."""
        try:
            async with asyncio.timeout(None) as self.reading:
                return await self.read_request()
        finally:
            self.reading = None

    async def read_request(self) -> Request | None:
        """Return a whole request, None if the client leaves instead."""
        limits = self.server.handler.limits()
        if not self.machine.trailing_data[0]:
            if not self.channel.protocol.unread_bytes:
                # The client has waited for its last answer.
                self.channel.usage = read_turns.Reader()
            data = await self.read_next(limits.idle_timeout_seconds)
            if not data:
                return None
            self.busy = True
            self.request = None
            # The limits may have changed since the last request.
            limits = self.server.handler.limits()
            if limits.head_bytes != self.head_bytes:
                self.open_machine(limits.head_bytes)
            self.machine.receive_data(data)
        else:
            self.busy = True
            self.request = None
            await self.channel.begin_message()
        self.served += 1
        event = await self.next_event(clocks.boot_time() + limits.head_timeout_seconds)
        if not isinstance(event, h11.Request):
            return None
        request = Request(
            event.method,
            event.target,
            list(event.headers.raw_items()),
            clocks.boot_time(),
            self.server.memory,
        )
        self.request = request
        self.method = event.method
        names = [name for name, _ in event.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise h11.RemoteProtocolError("both content-length and transfer-encoding", 400)
        try:
            # What does not fit is refused before it is sent.
            request.reserve(min(http1.declared_length(event), limits.body_bytes))
            if self.machine.they_are_waiting_for_100_continue:
                self.write(h11.InformationalResponse(status_code=100, headers=[]))
            request.body = await self.read_body(request, limits)
        except BaseException:
            request.drop_body()
            raise
        return request

    async def read_next(self, idle_seconds: float) -> bytes:
        """Return the first bytes of the next request, none if the client leaves instead.

        Raise TimeoutError if the client is idle for too long. One that is still taking its last
        answer is not idle.
        """
        untaken_bytes: float = math.inf
        while True:
            try:
                return await self.channel.read_until(clocks.boot_time() + idle_seconds)
            except TimeoutError:
                pending_bytes = self.channel.pending_bytes
                if not 0 < pending_bytes < untaken_bytes:
                    raise
                untaken_bytes = pending_bytes

    async def read_body(self, request: Request, limits: gateway.ClientLimits) -> bytes:
        """Return the whole body.

        Raise BadRequestError if it is above the limit, BodyMemoryError if it does not fit.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            event = await self.next_event(clocks.boot_time() + limits.idle_timeout_seconds)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > limits.body_bytes:
                    raise errors.BadRequestError(f"the body exceeds {limits.body_bytes} bytes")
                request.reserve(size)
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            else:
                raise h11.RemoteProtocolError("the connection ended within a body", 400)

    async def refuse(self, status: int, detail: str) -> None:
        """Answer a request that could not be read, and close the connection."""
        if not self.server.aborted:
            self.server.handler.note_protocol_error(self.request, status, detail)
        if self.machine.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if status == 503:
            headers.append((b"Retry-After", RETRY_AFTER))
        self.write(
            h11.Response(
                status_code=status,
                headers=headers,
                reason=REASONS.get(status, b""),
            )
        )
        self.write(h11.EndOfMessage())
        await self.channel.close_after_peer()
