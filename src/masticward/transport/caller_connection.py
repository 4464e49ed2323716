"""Callers' TCP connections as sanic's server handles them, bounded in time and count."""

import asyncio
import typing

import sanic.server.protocols.http_protocol as http_protocol


class CallerConnection(http_protocol.HttpProtocol):
    """A connection that bounds the time in which a request's head arrives.

    sanic restarts its own time-out with each byte, so a slow sender could stay forever. A new
    connection above the limit replaces an idle one, or is refused if none is idle.
    """

    __slots__ = ("head_seconds", "head_timer", "in_request")

    def __init__(self, *, app: typing.Any, **options: typing.Any) -> None:
        super().__init__(app=app, **options)
        self.head_seconds = float(app.config.REQUEST_TIMEOUT)
        self.head_timer: asyncio.TimerHandle | None = None
        self.in_request = False

    def connection_made(self, transport: typing.Any) -> None:
        """Accept the connection if there is room."""
        super().connection_made(transport)  # type: ignore[no-untyped-call]
        if len(self.connections) > self.app.ctx.connection_limit and not self.replace_idle():
            transport.abort()

    def replace_idle(self) -> bool:
        """Close another connection without a request; False if there is none."""
        return any(
            connection.close_if_idle()
            for connection in list(self.connections)
            if connection is not self and not connection.transport.is_closing()
        )

    def data_received(self, data: bytes) -> None:
        """Pass data on and start the timer of a new head."""
        if not self.in_request:
            self.start_timer()
        super().data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer; sanic then cancels the handler."""
        self.stop_timer()
        super().connection_lost(exc)  # type: ignore[no-untyped-call]

    def begin_request(self) -> None:
        """Note that a head has arrived."""
        self.in_request = True
        self.stop_timer()

    def end_request(self) -> None:
        """Note the end of a request; the next head may have arrived in part."""
        self.in_request = False
        if self.recv_buffer:
            self.start_timer()

    def start_timer(self) -> None:
        """Start the timer unless it runs."""
        if self.head_timer is None:
            loop = asyncio.get_running_loop()
            self.head_timer = loop.call_later(self.head_seconds, self.expire)

    def stop_timer(self) -> None:
        """Stop the timer if it runs."""
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def expire(self) -> None:
        """Break a connection whose request head did not arrive in time."""
        self.head_timer = None
        if self.transport is not None:
            self.transport.abort()
