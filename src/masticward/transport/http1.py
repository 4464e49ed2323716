"""HTTP/1.1 connections over asyncio streams, with h11 as the protocol library.

Sanic and aiohttp do not fit here: the gateway must see where an answer ends, what bytes follow it
and whether a request was written, and neither library shows that. docs/platform.md has the
reasons.
"""

import asyncio
import collections.abc
import contextlib
import enum
import errno
import fcntl
import itertools
import os
import select
import socket
import struct
import termios
import time
import typing

import h11

from masticward import errors, events, logs
from masticward.state import body_memory, read_turns
from masticward.transport import chunked, peer_watch, turn_queue
from masticward.utils import clocks

READ_BYTES = 65536
# A stream pauses once it holds twice this many unread bytes. One read may pass that by what the
# kernel's buffer holds, which grows to megabytes without a limit.
STREAM_LIMIT_BYTES = 16 * 1024
KERNEL_BUFFER_BYTES = 64 * 1024
# Longer bodies are written apart from their heads.
MAX_JOINED_BYTES = 65536
# Longest body that is held in memory; a faulty peer may send bytes without end.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Reading a longer rest of a body that nobody gets costs more than a new connection.
MAX_DISCARDED_BYTES = 128 * 1024
STATUSES_WITHOUT_BODY = (204, 304)
# RFC 9110, section 15: values outside the range 100 to 599 are invalid.
MAX_STATUS = 599
# A faulty peer may send informational answers without end and never a final one.
MAX_INFORMATIONAL_ANSWERS = 32
# A peer that answers no packet for this long is gone; pages of the platform grant 3 s of contact.
# While bytes wait to be acknowledged, ``peer_watch`` tells whether it is.
SILENCE_MILLISECONDS = 1500
KEEP_ALIVE_IDLE_SECONDS = 1
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
LISTEN_BACKLOG = 1024
# Connections taken before others get their turn.
ACCEPT_BATCH = 256
# Descriptors become free when requests end, within about this time.
ACCEPT_PAUSE_SECONDS = 0.05
# Time in which a client may read a final refusal before its unread bytes reset the connection.
LINGER_SECONDS = 1.0
# Errors by which a peer that ends its side makes itself known.
PEER_ERRORS = (errno.ECONNRESET, errno.EPIPE)
LOGGER = logs.get_logger(__name__)


class ConnectionEnd(enum.Enum):
    """Who ended a connection."""

    NONE = "none"
    PEER = "peer"
    # The peer acknowledged nothing in time, or cannot be reached any more.
    KERNEL = "kernel"
    PROCESS = "process"


class WatchedProtocol(asyncio.StreamReaderProtocol):
    """Stream protocol that reports the end of the peer's side at once, without a read."""

    def __init__(self, reader: asyncio.StreamReader, client_connected_cb: typing.Any) -> None:
        super().__init__(reader, client_connected_cb)
        self.stream_reader = reader
        self.socket: socket.socket | None = None
        # Bytes that were received and not yet read from the stream.
        self.unread_bytes = 0
        self.peer_gone = False
        # Why the connection ended, for log lines, and who ended it.
        self.end_reason = ""
        self.end = ConnectionEnd.NONE
        self.on_peer_gone: collections.abc.Callable[[], object] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket, whose error tells a reset from an end."""
        super().connection_made(transport)
        self.socket = transport.get_extra_info("socket")

    def data_received(self, data: bytes) -> None:
        """Count the bytes and pass them to the stream."""
        self.unread_bytes += len(data)
        super().data_received(data)

    def eof_received(self) -> bool | None:
        """Note that the peer sends nothing more, or has reset the connection.

        When data and a reset are polled at once, libuv reads the data and reports an end of the
        stream in place of the reset. The socket still holds the error.
        """
        error = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if self.socket else 0
        if error:
            self.stream_reader.set_exception(ConnectionResetError(error, os.strerror(error)))
            self.note_gone(os.strerror(error), find_end(error))
            return False
        result = super().eof_received()
        self.note_gone("closed by the peer", ConnectionEnd.PEER)
        return result

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        super().connection_lost(exc)
        if exc is None:
            self.note_gone("closed here", ConnectionEnd.PROCESS)
        else:
            self.note_gone(str(exc), find_end(exc.errno if isinstance(exc, OSError) else None))

    def note_gone(self, reason: str, end: ConnectionEnd) -> None:
        """Store the first reason and call the listener once."""
        if not self.peer_gone:
            self.peer_gone = True
            self.end_reason = reason
            self.end = end
            if self.on_peer_gone is not None:
                self.on_peer_gone()


def find_end(error: int | None) -> ConnectionEnd:
    """Return who ended a connection with an error; None if it has no number."""
    return ConnectionEnd.PEER if error in PEER_ERRORS else ConnectionEnd.KERNEL


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Make a silent peer fail the connection, and limit what the kernel buffers of it."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return
    # Memory that is not limited is no reason to fail a connection.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MILLISECONDS)


class Channel(peer_watch.WatchedConnection):
    """One TCP connection with its reader, writer and state of the peer.

    ``usage`` is what the bytes of the present message have used of the processor's time. ``number``
    tells the connections of a process apart in log lines.
    """

    numbers = itertools.count(1)

    __slots__ = (
        "fetched",
        "peer_watch",
        "protocol",
        "reader",
        "transport",
        "turn_queue",
        "usage",
        "writer",
    )

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        protocol: WatchedProtocol,
    ) -> None:
        super().__init__(next(Channel.numbers))
        self.reader = reader
        self.writer = writer
        self.protocol = protocol
        self.transport = writer.transport
        self.turn_queue = turn_queue.current()
        self.peer_watch = peer_watch.current()
        self.usage = read_turns.Reader()
        # Bytes that were read from the stream and wait for their turn.
        self.fetched = b""
        set_socket_options(self.transport)

    @property
    def peer_gone(self) -> bool:
        """Whether the peer has closed or reset its side."""
        return self.protocol.peer_gone

    @property
    def end(self) -> ConnectionEnd:
        """Who has ended the connection."""
        return self.protocol.end

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that the transport still holds."""
        return self.transport.get_write_buffer_size()

    @property
    def open_socket(self) -> socket.socket | None:
        """The socket, None once the connection has ended."""
        return None if self.transport.is_closing() else self.protocol.socket

    def write(self, data: bytes) -> None:
        """Write bytes, and notice a peer that is lost before it has acknowledged them."""
        self.writer.write(data)
        self.peer_watch.add(self)

    async def read(self) -> bytes:
        """Return the next bytes, none at the end of the stream; raise OSError after a reset.

        The time until the next read or ``pause_use`` is billed to the peer. One that has used more
        than its share waits for its turn.
        """
        turns = self.turn_queue.turns
        now = time.perf_counter()
        if turns.running is not None and turns.stop(now) > read_turns.MAX_USE_SECONDS:
            # Bytes that were received earlier are read without a suspension.
            await asyncio.sleep(0)
            now = time.perf_counter()
        if not self.fetched:
            try:
                self.fetched = await self.reader.read(self.usage.read_bytes)
            except TimeoutError as error:
                # ETIMEDOUT. To callers, a TimeoutError is the end of their own wait.
                raise ConnectionAbortedError(error.errno, error.strerror) from error
            silent_since, now = now, time.perf_counter()
            self.usage.silent_seconds += now - silent_since
        if self.usage.limited and self.fetched:
            await self.wait_for_turn()
            now = time.perf_counter()
        data, self.fetched = self.fetched, b""
        self.protocol.unread_bytes -= len(data)
        turns.start(self.usage, now)
        return data

    async def begin_message(self) -> None:
        """Let others go on before a message is handled that was received with an earlier one."""
        self.turn_queue.stop()
        if self.usage.limited:
            await self.wait_for_turn()
        else:
            await asyncio.sleep(0)
        self.turn_queue.turns.start(self.usage, time.perf_counter())

    async def wait_for_turn(self) -> None:
        """Wait for a turn, which ends at the latest when the event loop goes on."""
        await self.turn_queue.wait(self.usage)
        asyncio.get_running_loop().call_soon(self.turn_queue.stop)

    async def read_until(self, deadline: float) -> bytes:
        """Return the next bytes; raise TimeoutError at the deadline unless any have arrived.

        The deadline is in seconds of ``clocks.boot_time``. In a late event loop, the timer and
        bytes that arrived before it are handled in the same pass, so the bytes are looked for
        once more. Bytes that wait for their turn have arrived.
        """
        while not self.fetched:
            try:
                async with asyncio.timeout(max(0.0, deadline - clocks.boot_time())):
                    return await self.read()
            except TimeoutError:
                if not self.has_unread_bytes():
                    raise
        return await self.read()

    def has_unacknowledged_bytes(self) -> bool:
        """Return whether the peer's kernel may lack bytes that were written.

        A transport that closes has dropped what it held, for example after a write that failed.
        """
        return self.transport.is_closing() or self.pending_bytes > 0

    @property
    def pending_bytes(self) -> int:
        """Number of written bytes that the peer's kernel has not acknowledged, as far as known."""
        unsent_bytes = self.unsent_bytes
        sock = self.open_socket
        if sock is None:
            return unsent_bytes
        try:
            # On a socket, TIOCOUTQ is SIOCOUTQ.
            queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        except OSError:
            return unsent_bytes
        return unsent_bytes + int(struct.unpack("i", queued)[0])

    def limit_writes(self, unsent_bytes: int, kernel_bytes: int) -> None:
        """Limit what the kernel holds of written bytes, and when writers have to wait."""
        self.transport.set_write_buffer_limits(high=unsent_bytes)
        if self.protocol.socket is not None:
            with contextlib.suppress(OSError):
                self.protocol.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, kernel_bytes)

    def allow_silence(self, milliseconds: int | None) -> None:
        """Set the kernel's time-out, 0 for none, None for the default."""
        sock = self.open_socket
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.IPPROTO_TCP,
                    socket.TCP_USER_TIMEOUT,
                    SILENCE_MILLISECONDS if milliseconds is None else milliseconds,
                )

    def end_lost(self, error: OSError) -> None:
        """End the connection because its peer is lost."""
        self.reader.set_exception(error)
        self.protocol.note_gone(str(error), find_end(error.errno))
        self.abort()

    def reset(self) -> None:
        """Reset the connection and drop what the process and the kernel hold for the peer.

        A mere ``abort`` lets the kernel go on sending, and ends the stream in order after that: a
        peer that has not read everything learns of the end only then.
        """
        if self.protocol.socket is not None and not self.transport.is_closing():
            with contextlib.suppress(OSError):
                self.protocol.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
        self.transport.abort()

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that were not read, also by the kernel alone."""
        if self.protocol.unread_bytes > 0:
            return True
        if self.peer_gone or self.transport.is_closing() or self.protocol.socket is None:
            return False
        poll = select.poll()
        poll.register(self.protocol.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def abort(self) -> None:
        """Close the connection without sending what the process holds.

        The kernel's time-out bounds how long it tries to send the rest.
        """
        self.peer_watch.remove(self)
        self.transport.abort()

    def close(self) -> None:
        """Close the connection once all that was written has been sent."""
        self.peer_watch.remove(self)
        self.writer.close()

    async def close_after_peer(self) -> None:
        """End this side and drop what the peer still sends, for ``LINGER_SECONDS`` at most.

        A connection that is closed with unread bytes is reset, and the peer may lose what was
        written last.
        """
        self.writer.write_eof()
        try:
            async with asyncio.timeout(LINGER_SECONDS):
                while await self.read():
                    pass
        except TimeoutError:
            return


async def connect(address: tuple[str, int], timeout_seconds: float) -> Channel:
    """Open a connection; raises EndpointNotStartedError if there is none in time."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=STREAM_LIMIT_BYTES, loop=loop)
    protocol = WatchedProtocol(reader, None)
    try:
        async with asyncio.timeout(timeout_seconds):
            transport, _ = await loop.create_connection(lambda: protocol, *address)
    except (TimeoutError, OSError) as error:
        raise errors.EndpointNotStartedError(f"{address[0]}:{address[1]}: {error}") from error
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    return Channel(reader, writer, protocol)


class Listener:
    """A listening port that takes all waiting connections at once.

    libuv takes one connection in each pass of the loop. In a busy process passes are long, the
    queue of new connections fills up, and those that are taken belong to clients that have left.
    """

    def __init__(
        self,
        listening: socket.socket,
        serve: collections.abc.Callable[[Channel], collections.abc.Awaitable[None]],
    ) -> None:
        self.socket = listening
        self.serve = serve
        self.loop = asyncio.get_running_loop()
        self.opening: set[asyncio.Task[None]] = set()
        self.closed = False
        self.loop.add_reader(listening.fileno(), self.accept_waiting)

    @property
    def port(self) -> int:
        """The port in use."""
        return int(self.socket.getsockname()[1])

    def accept_waiting(self) -> None:
        """Take the connections that wait."""
        for _ in range(ACCEPT_BATCH):
            try:
                accepted, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                # Out of descriptors, or a network error of one connection: others may follow.
                LOGGER.log(events.Event.CONNECTION_NOT_ACCEPTED, error=str(error))
                self.loop.remove_reader(self.socket.fileno())
                self.loop.call_later(ACCEPT_PAUSE_SECONDS, self.resume)
                return
            accepted.setblocking(False)
            task = self.loop.create_task(self.open(accepted))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    def resume(self) -> None:
        """Take connections again after a pause."""
        if not self.closed:
            self.loop.add_reader(self.socket.fileno(), self.accept_waiting)

    async def open(self, accepted: socket.socket) -> None:
        """Serve an accepted connection in a task of its own."""
        reader = asyncio.StreamReader(limit=STREAM_LIMIT_BYTES, loop=self.loop)
        protocol: WatchedProtocol

        async def connected(stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self.serve(Channel(stream, writer, protocol))

        protocol = WatchedProtocol(reader, connected)
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, accepted)
        except OSError as error:
            LOGGER.log(events.Event.CONNECTION_NOT_ACCEPTED, error=str(error))
            accepted.close()

    def close(self) -> None:
        """Take the connections that wait, then no further one."""
        if not self.closed:
            # The kernel resets connections that wait when their listener closes.
            self.accept_waiting()
            self.closed = True
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()


async def listen(
    address: tuple[str, int],
    serve: collections.abc.Callable[[Channel], collections.abc.Awaitable[None]],
) -> Listener:
    """Serve each connection in a task of its own; raises OSError."""
    listening = socket.create_server(address, backlog=LISTEN_BACKLOG)
    listening.setblocking(False)
    return Listener(listening, serve)


class Answer:
    """The head of an endpoint's answer."""

    __slots__ = ("headers", "status")

    def __init__(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self.status = status
        self.headers = headers


class Exchange:
    """One request and its answer on a client connection.

    Heads are read by h11, and so are bodies that are not chunked.

    ``sent`` tells whether a byte of the request may have reached the peer, ``received`` whether
    one of the answer came, ``had_stray`` whether an answer to another request came, and
    ``unframed`` whether the end of the connection ends the body. ``received_bytes`` counts all
    bytes that were read from the connection.
    """

    __slots__ = (
        "channel",
        "chunked",
        "ended",
        "had_stray",
        "informational_answers",
        "machine",
        "received",
        "received_bytes",
        "request",
        "sent",
        "unframed",
    )

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        channel.usage = read_turns.Reader()
        self.machine = h11.Connection(h11.CLIENT)
        # Decodes a chunked body; None before its head and for other bodies.
        self.chunked: chunked.ChunkedDecoder | None = None
        self.request: h11.Request | None = None
        self.sent = False
        self.received = False
        self.received_bytes = 0
        self.ended = False
        self.had_stray = False
        self.informational_answers = 0
        self.unframed = False

    def encode(
        self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> list[bytes]:
        """Return the bytes of a whole request, its body apart from its head."""
        self.request = h11.Request(method=method, target=target, headers=headers)
        parts = [self.machine.send(self.request) or b""]
        if body:
            parts.append(self.machine.send(h11.Data(data=body)) or b"")
        parts.append(self.machine.send(h11.EndOfMessage()) or b"")
        return parts

    async def send(
        self, method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Write a whole request; raises EndpointBrokenError if the connection fails."""
        parts = self.encode(method, target, headers, body)
        self.sent = True
        try:
            if len(body) > MAX_JOINED_BYTES:
                # The transport keeps what it has not sent; joining would make another copy.
                for part in parts:
                    self.channel.write(part)
            else:
                self.channel.write(b"".join(parts))
            # An early answer may come before a long body has been taken, so a full buffer
            # is not waited for here; the transport keeps on writing while the answer is read.
        except OSError as error:
            raise errors.EndpointBrokenError(str(error)) from error

    def expect_next_answer(self) -> None:
        """Drop an answer that belonged to another request and wait for the one to ours."""
        rest = self.trailing_bytes
        self.chunked = None
        machine = h11.Connection(h11.CLIENT)
        assert self.request is not None
        # The new state machine passes through the sending states; its bytes are not written again.
        machine.send(self.request)
        length = declared_length(self.request)
        if length:
            machine.send(h11.Data(data=bytes(length)))
        machine.send(h11.EndOfMessage())
        # h11 takes no bytes for the end of the connection.
        if rest:
            machine.receive_data(rest)
        self.machine = machine
        self.ended = False
        self.had_stray = True

    async def receive(self) -> bytes:
        """Return the next bytes, none at the end; raise EndpointBrokenError after a reset."""
        try:
            data = await self.channel.read()
        except OSError as error:
            raise errors.EndpointBrokenError(f"reset: {error}") from error
        self.received_bytes += len(data)
        return data

    async def next_event(self) -> typing.Any:
        """Return the next h11 event; raises EndpointBrokenError if the answer breaks off."""
        while True:
            try:
                event = self.machine.next_event()
            except h11.RemoteProtocolError as error:
                raise errors.EndpointBrokenError(f"not an answer: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            data = await self.receive()
            if not data and self.machine.their_state is h11.SEND_RESPONSE:
                raise errors.EndpointBrokenError("closed without an answer")
            self.received = self.received or bool(data)
            self.machine.receive_data(data)

    async def read_head(self) -> Answer:
        """Return the head of the final answer.

        Raise EndpointBrokenError after more than ``MAX_INFORMATIONAL_ANSWERS`` to the request.
        """
        while True:
            event = await self.next_event()
            if isinstance(event, h11.InformationalResponse):
                self.informational_answers += 1
                if self.informational_answers > MAX_INFORMATIONAL_ANSWERS:
                    raise errors.EndpointBrokenError("too many informational answers")
                continue
            if not isinstance(event, h11.Response):
                raise errors.EndpointBrokenError("closed without an answer")
            if event.status_code > MAX_STATUS:
                raise errors.EndpointBrokenError(f"status {event.status_code} is invalid")
            self.unframed = self.has_body(event) and not any(
                name in (b"content-length", b"transfer-encoding") for name, _ in event.headers
            )
            if self.has_chunked_body(event):
                # Bytes of the body may have been received together with the head.
                self.chunked = chunked.ChunkedDecoder(bytes(self.machine.trailing_data[0]))
            return Answer(event.status_code, list(event.headers.raw_items()))

    def has_body(self, response: h11.Response) -> bool:
        """Return whether a body follows a response's head."""
        assert self.request is not None
        return self.request.method != b"HEAD" and response.status_code not in STATUSES_WITHOUT_BODY

    def has_chunked_body(self, response: h11.Response) -> bool:
        """Return whether a response has a body in chunks."""
        return self.has_body(response) and any(
            name == b"transfer-encoding" for name, _ in response.headers
        )

    @property
    def trailing_bytes(self) -> bytes:
        """The bytes that were received after the answer."""
        if self.chunked is not None:
            return self.chunked.trailing
        return bytes(self.machine.trailing_data[0])

    async def read_chunked_data(self, decoder: chunked.ChunkedDecoder) -> bytes | None:
        """Return the next bytes of a chunked body, None at its end."""
        data = decoder.decode(b"") if decoder.buffered else b""
        while not data and not decoder.ended:
            received = await self.receive()
            if not received:
                raise errors.EndpointBrokenError("closed within an answer")
            data = decoder.decode(received)
        if data:
            return data
        self.ended = True
        return None

    async def read_data(self) -> bytes | None:
        """Return the next bytes of the body, None at its end."""
        if self.chunked is not None:
            return await self.read_chunked_data(self.chunked)
        event = await self.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            if self.unframed and self.channel.has_unacknowledged_bytes():
                # The peer has stopped reading, so that its kernel resets the connection once the
                # rest of the request arrives; the end that came first may be part of that.
                raise errors.EndpointBrokenError("closed before it had received the request")
            self.ended = True
            return None
        raise errors.EndpointBrokenError("closed within an answer")

    async def read_body(self, memory: body_memory.BodyMemory | None = None) -> bytearray:
        """Return the whole body, which takes bytes of ``memory`` until it has been read.

        Raise EndpointBrokenError above ``MAX_BODY_BYTES`` or if the bytes do not fit.
        """
        body = bytearray()
        held_body = body_memory.HeldBody(memory or body_memory.BodyMemory(MAX_BODY_BYTES))
        try:
            while (data := await self.read_data()) is not None:
                if len(body) + len(data) > MAX_BODY_BYTES:
                    raise errors.EndpointBrokenError(f"the body exceeds {MAX_BODY_BYTES} bytes")
                held_body.resize(len(body) + len(data))
                body += data
        except BaseException as error:
            # Tracebacks may refer to it until the next collection of garbage.
            body.clear()
            if isinstance(error, errors.BodyMemoryError):
                raise errors.EndpointBrokenError(str(error)) from error
            raise
        finally:
            held_body.release()
        return body

    def expected_length(self, answer: Answer) -> int:
        """Return the length that an answer's head declares for its body, 0 without one."""
        assert self.request is not None
        if (
            self.chunked is not None
            or self.request.method == b"HEAD"
            or answer.status in STATUSES_WITHOUT_BODY
        ):
            return 0
        return next(
            (int(value) for name, value in answer.headers if name.lower() == b"content-length"), 0
        )

    async def discard_body(
        self,
        deadline: float,
        on_data: collections.abc.Callable[[bytes], None] = lambda data: None,
    ) -> int:
        """Read the rest of the body without keeping it; return its bytes that were read.

        At most ``MAX_DISCARDED_BYTES`` are received, until a deadline in seconds of
        ``clocks.boot_time``; ``ended`` tells whether that was all. Raise EndpointBrokenError if
        the body breaks off.
        """
        size = 0
        limit = self.received_bytes + MAX_DISCARDED_BYTES
        while self.received_bytes <= limit:
            try:
                async with asyncio.timeout(max(0.0, deadline - clocks.boot_time())):
                    while self.received_bytes <= limit:
                        data = await self.read_data()
                        if data is None:
                            return size
                        size += len(data)
                        on_data(data)
            except TimeoutError:
                # The loop may be late; what has arrived until the deadline counts. Bytes that wait
                # for their turn are not worth the wait.
                if self.channel.fetched or not self.channel.has_unread_bytes():
                    break
        return size

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection.

        A peer that sent more than the one answer may send more later. One that answered before it
        had received the request would get the next one behind the rest.
        """
        return (
            self.ended
            and not self.had_stray
            and self.channel.protocol.unread_bytes == 0
            and self.machine.our_state is h11.DONE
            and (self.chunked is not None or self.machine.their_state is h11.DONE)
            and not self.trailing_bytes
            and not self.channel.peer_gone
            and not self.channel.has_unacknowledged_bytes()
        )


def declared_length(request: h11.Request) -> int:
    """Return the length of the body that a request's head declares, 0 for one in chunks."""
    return next((int(value) for name, value in request.headers if name == b"content-length"), 0)
