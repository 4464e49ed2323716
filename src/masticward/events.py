"""Numbered log events. docs/log-events.md is the catalogue for operators."""

import enum
import logging


class Event(enum.Enum):
    """A log event: number, name and level.

    Numbers by area: 1xxx process, 2xxx entry, 3xxx agent, 4xxx dispatch, 5xxx configuration and
    membership, 6xxx object API and claims, 7xxx publishing.
    """

    PROCESS_STARTED = (1001, "process_started", logging.INFO)
    PROCESS_STOPPING = (1002, "process_stopping", logging.INFO)
    PROCESS_STOPPED = (1003, "process_stopped", logging.INFO)
    TASK_FAILED = (1004, "task_failed", logging.ERROR)

    DISPATCHER_CHANGED = (4001, "dispatcher_changed", logging.INFO)
    DISPATCH_SESSION_LOST = (4002, "dispatch_session_lost", logging.WARNING)
    ENTRY_SESSION_OPENED = (4003, "entry_session_opened", logging.INFO)
    ENTRY_SESSION_CLOSED = (4004, "entry_session_closed", logging.INFO)
    AGENT_SESSION_OPENED = (4005, "agent_session_opened", logging.INFO)
    AGENT_SESSION_CLOSED = (4006, "agent_session_closed", logging.INFO)
    SNAPSHOT_ACCEPTED = (4007, "snapshot_accepted", logging.INFO)

    @property
    def number(self) -> int:
        """The number of the event, which never changes."""
        return int(self.value[0])

    @property
    def text(self) -> str:
        """The name of the event in log lines."""
        return str(self.value[1])

    @property
    def level(self) -> int:
        """The level as the logging module defines it."""
        return int(self.value[2])
