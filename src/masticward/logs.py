"""Structured logs: JSON lines of numbered events on standard error."""

import collections
import logging
import os
import select
import sys
import typing

import msgspec
import structlog

from masticward import events
from masticward.utils import clocks

# Lines that wait while the reader is behind; warnings may use the whole of it.
BUFFER_BYTES = 256 * 1024
ROUTINE_BUFFER_BYTES = 192 * 1024


def configure(level: int = logging.INFO, **context: str) -> None:
    """Write events of ``level`` and above as JSON lines, each with the given context fields."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.bind_contextvars(**context)


class EventLogger:
    """Logs numbered events of one module."""

    __slots__ = ("module",)

    def __init__(self, module: str) -> None:
        self.module = module

    def log(self, event: events.Event, **fields: typing.Any) -> None:
        """Write one event with its fields."""
        # Fetched for each event, because modules are imported before configure() runs.
        structlog.get_logger().log(
            event.level, event.text, number=event.number, module=self.module, **fields
        )


def get_logger(module: str) -> EventLogger:
    """Return the logger of a module."""
    return EventLogger(module)


class LineWriter:
    """Writes lines to a descriptor without ever blocking; what does not fit is dropped.

    Lines of level info are dropped first: the last part of the buffer is kept for warnings.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: collections.deque[bytes] = collections.deque()
        self.pending_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Write one line of level info."""
        self.write(message, ROUTINE_BUFFER_BYTES)

    debug = info = log = msg

    def warning(self, message: str) -> None:
        """Write one line that is kept before routine ones."""
        self.write(message, BUFFER_BYTES)

    error = critical = exception = warn = failure = fatal = warning

    def write(self, message: str, limit: int) -> None:
        """Queue a line unless the buffer holds ``limit`` bytes, and write what can be written."""
        line = message.encode() + b"\n"
        if self.pending_bytes + len(line) > limit:
            self.dropped += 1
        else:
            self.pending.append(line)
            self.pending_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write until the reader is behind."""
        while self.pending:
            line = self.pending[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            self.pending_bytes -= written
            if written < len(line):
                self.pending[0] = line[written:]
                return
            self.pending.popleft()
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            get_logger(__name__).log(events.Event.LOG_LINES_DROPPED, lines=dropped)

    def finish(self, deadline: float) -> None:
        """Wait until the lines are written, at most until the deadline.

        The deadline is in seconds of ``clocks.boot_time``.
        """
        poll = select.poll()
        poll.register(self.descriptor, select.POLLOUT)
        while self.pending and (remaining := deadline - clocks.boot_time()) > 0:
            poll.poll(remaining * clocks.MILLISECONDS_PER_SECOND)
            try:
                self.flush()
            except OSError:
                return


def configure_gateway() -> LineWriter:
    """Write events as JSON lines to standard output, without blocking; return the writer."""
    writer = LineWriter(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(serializer=encode_json),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )
    return writer


def bind(**context: str) -> None:
    """Add fields to each line of this process."""
    structlog.contextvars.bind_contextvars(**context)


def encode_json(value: typing.Any, **_: typing.Any) -> str:
    """Encode a line; unknown values become their text."""
    return msgspec.json.encode(value, enc_hook=str).decode()
