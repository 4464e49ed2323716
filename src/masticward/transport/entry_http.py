"""The HTTP server for callers, on sanic in the current event loop."""

import asyncio
import contextlib
import itertools
import logging
import time
import typing

import sanic
import sanic.exceptions
import sanic.response

from masticward import errors, events, logs, settings
from masticward.models import work
from masticward.state import refusals
from masticward.transport import (
    caller_connection,
    caller_headers,
    channels,
    listeners,
    request_gate,
    sanic_sink,
)
from masticward.utils import addresses, clocks, identifiers

LISTEN_BACKLOG = 1024
CONNECTIONS_PER_QUEUE_PLACE = 2  # one may wait, one runs or is idle
IDLE_CONNECTION_SECONDS = 75.0
# Above the longest deadline, because sanic would otherwise cancel a request that still waits.
RESPONSE_MARGIN_SECONDS = 60.0
HEADER_LIMIT_BYTES = 16 * 1024
# What an attempt's message holds beside the body: headers, path and ids.
MESSAGE_MARGIN_BYTES = 256 * 1024
# After a refusal the rest of the body is read for a moment, because closing the connection with
# unread data resets it and the caller may lose the response.
DISCARD_SECONDS = 1.0
DISCARD_BYTES = 8 * 1024 * 1024
CLOSE_SECONDS = 5.0
BAD_REQUEST = 400  # where a request that is not understood ends is not certain either
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

logger = logs.get_logger(__name__)
instance_numbers = itertools.count()


class EntryHttpServer:
    """Serves callers' requests with a router. ``address`` is ``host:port``."""

    __slots__ = ("address", "app", "limits", "request_limit", "router", "server")

    def __init__(
        self, router: request_gate.RequestGate, address: str, limits: settings.EntryLimits
    ) -> None:
        self.router = router
        self.address = address
        self.limits = limits
        self.request_limit = min(
            limits.request_body_bytes, channels.MAXIMUM_MESSAGE_BYTES - MESSAGE_MARGIN_BYTES
        )
        self.app = self.create_app()
        self.server: typing.Any = None

    def create_app(self) -> typing.Any:
        """Return a sanic application of its own, so that one process can hold several."""
        app: typing.Any = sanic.Sanic(
            f"masticward-entry-{next(instance_numbers)}", configure_logging=False
        )
        app.ctx.connection_limit = self.limits.queue_requests * CONNECTIONS_PER_QUEUE_PLACE
        app.config.update(
            {
                "RESPONSE_TIMEOUT": self.limits.maximum_deadline_seconds + RESPONSE_MARGIN_SECONDS,
                "REQUEST_TIMEOUT": self.limits.request_read_seconds,
                "KEEP_ALIVE_TIMEOUT": IDLE_CONNECTION_SECONDS,
                "GRACEFUL_SHUTDOWN_TIMEOUT": self.limits.maximum_deadline_seconds,
                "REQUEST_MAX_SIZE": self.request_limit,
                "REQUEST_MAX_HEADER_SIZE": HEADER_LIMIT_BYTES,
                "ACCESS_LOG": False,
                # The rewriting of sanic's classes fails for the second application of a process.
                "TOUCHUP": False,
            }
        )

        async def handle(request: typing.Any, path: str = "") -> None:
            request.protocol.begin_request()
            try:
                await self.handle(request)
            finally:
                request.protocol.end_request()

        app.add_route(handle, "/", methods=METHODS, stream=True, name="root")
        app.add_route(handle, "/<path:path>", methods=METHODS, stream=True, name="path")
        app.error_handler.add(Exception, self.on_exception)
        return app

    async def start(self) -> int:
        """Listen and return the port in use."""
        # Sanic's own lines are not numbered events and may hold request targets.
        for name in ("sanic.root", "sanic.error", "sanic.server", "sanic.access"):
            logging.getLogger(name).setLevel(logging.CRITICAL + 1)
        listener = listeners.listen(self.address, LISTEN_BACKLOG)
        self.server = await self.app.create_server(
            sock=listener,
            protocol=caller_connection.CallerConnection,
            return_asyncio_server=True,
            access_log=False,
        )
        await self.server.startup()
        await self.server.start_serving()
        bound_port = int(listener.getsockname()[1])
        logger.log(
            events.Event.ENTRY_LISTENING, host=addresses.split(self.address)[0], port=bound_port
        )
        return bound_port

    def stop_listening(self) -> None:
        """Close the listener and idle connections; requests in progress go on."""
        if self.server is None:
            return
        self.server.server.close()
        for connection in list(self.server.connections):
            connection.close_if_idle()
        logger.log(events.Event.ENTRY_STOPPED_LISTENING)

    async def close(self) -> None:
        """Stop listening, let written responses leave, then abort what is still connected."""
        if self.server is None:
            return
        self.stop_listening()
        deadline = clocks.deadline_after(CLOSE_SECONDS)
        while self.server.connections and time.monotonic() < deadline:
            for connection in list(self.server.connections):
                connection.close_if_idle()
            await asyncio.sleep(0.01)
        for connection in list(self.server.connections):
            connection.abort()
        sanic.Sanic.unregister_app(self.app)
        self.server = None

    async def handle(self, request: typing.Any) -> None:
        """Serve one request: admit its head, read its body, pass it to the router."""
        sink = sanic_sink.SanicSink(request, identifiers.new_identifier(), self.router)
        try:
            admission = self.router.admit(read_head(request), sink.request_id)
        except errors.RequestRefusedError as error:
            await self.refuse(request, sink, error)
            return
        try:
            try:
                body = await self.read_body(request, admission)
            except errors.RequestRefusedError as error:
                await self.refuse(request, sink, error)
                return
            await admission.serve(body, sink)
        finally:
            admission.close()

    async def read_body(self, request: typing.Any, admission: request_gate.Admission) -> bytes:
        """Read the whole body within the bounds of size and time. Raises RequestRefusedError."""
        declared = request.headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > self.request_limit:
            raise refusals.too_large(self.request_limit)
        seconds = min(
            self.limits.request_read_seconds, clocks.remaining_seconds(admission.deadline)
        )
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(seconds):
                async for data in request.stream:
                    size += len(data)
                    if size > self.request_limit:
                        raise refusals.too_large(self.request_limit)
                    admission.grow(len(data))
                    parts.append(data)
        except TimeoutError:
            raise refusals.read_too_slow(seconds) from None
        return b"".join(parts)

    async def refuse(
        self, request: typing.Any, sink: sanic_sink.SanicSink, error: errors.RequestRefusedError
    ) -> None:
        """Count and send a refusal from before the queue; an unread body ends the connection."""
        self.router.count_refused(error)
        unread = request.stream.request_body is not None
        if unread or error.status == BAD_REQUEST:
            request.stream.keep_alive = False
        headers, body = refusals.encode(error)
        with contextlib.suppress(errors.CallerGoneError):
            await sink.send_whole(error.status, headers, body, work.Outcome.NOT_RUN)
        if unread:
            await discard_body(request)

    async def on_exception(self, request: typing.Any, error: Exception) -> typing.Any:
        """Return the response for what sanic refuses itself, such as a malformed header."""
        status = getattr(error, "status_code", None) or 500
        refused = status < 500
        kind = "bad-request" if refused else "internal-error"
        if not refused:
            logger.log(events.Event.REQUEST_BROKEN, detail=repr(error))
        message = str(error) if refused else "the entry failed"
        headers, body = refusals.encode(errors.RequestRefusedError(status, kind, message))
        outcome = work.Outcome.NOT_RUN if refused else work.Outcome.UNKNOWN
        fields = dict(headers)
        fields[sanic_sink.REQUEST_ID_HEADER] = identifiers.new_identifier()
        fields[sanic_sink.OUTCOME_HEADER] = outcome.value
        return sanic.response.raw(body, status=status, headers=fields)


def read_head(request: typing.Any) -> request_gate.RequestHead:
    """Return what the router needs of a request's head. Raises RequestRefusedError."""
    if request.version != "1.1":
        # A stream needs chunked encoding, without which a cut could not be told from the end.
        raise refusals.http_version(request.version)
    headers = caller_headers.checked(request.headers.items())
    path, target = caller_headers.checked_target(request.raw_url)
    return request_gate.RequestHead(
        method=request.method.upper(),
        path=path,
        target=target,
        headers=caller_headers.forwarded(headers),
        credential=caller_headers.credential(headers),
        deadline_seconds=caller_headers.deadline_seconds(headers),
        cost_hint=caller_headers.number(headers, caller_headers.COST_HINT),
        idempotency_key=caller_headers.idempotency_key(headers),
    )


async def discard_body(request: typing.Any) -> None:
    """Read the rest of a refused body for a moment, then reset the connection if there is more."""
    size = 0
    try:
        async with asyncio.timeout(DISCARD_SECONDS):
            async for data in request.stream:
                size += len(data)
                if size > DISCARD_BYTES:
                    break
            else:
                return
    except (TimeoutError, sanic.exceptions.SanicException):
        pass
    if request.transport is not None:
        request.transport.abort()
