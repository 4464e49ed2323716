"""Structured logs: JSON lines of numbered events on standard error."""

import logging
import sys
import typing

import structlog

from masticward import events


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
