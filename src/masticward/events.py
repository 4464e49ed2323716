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

    ENTRY_LISTENING = (2001, "entry_listening", logging.INFO)
    ENTRY_STOPPED_LISTENING = (2002, "entry_stopped_listening", logging.INFO)
    ENTRY_DRAINING = (2003, "entry_draining", logging.INFO)
    REQUEST_REFUSED = (2010, "request_refused", logging.DEBUG)
    REQUEST_UNKNOWN = (2011, "request_unknown", logging.WARNING)
    REQUEST_EVICTED = (2012, "request_evicted", logging.DEBUG)
    REQUEST_BROKEN = (2013, "request_broken", logging.ERROR)
    CALLER_GONE = (2014, "caller_gone", logging.DEBUG)
    ATTEMPT_REFUSED = (2020, "attempt_refused", logging.DEBUG)
    ATTEMPT_FAILED = (2021, "attempt_failed", logging.WARNING)
    FRAME_REJECTED = (2022, "frame_rejected", logging.WARNING)

    ENDPOINT_COLD = (3001, "endpoint_cold", logging.WARNING)
    ENDPOINT_WARM = (3002, "endpoint_warm", logging.INFO)
    LOAD_REPORT_MISSING = (3003, "load_report_missing", logging.WARNING)
    LOAD_REPORT_BACK = (3004, "load_report_back", logging.INFO)
    ENDPOINT_BROKEN = (3005, "endpoint_broken", logging.WARNING)
    ENDPOINT_NOT_STARTED = (3006, "endpoint_not_started", logging.WARNING)
    STAGED_REFUSED = (3007, "staged_refused", logging.INFO)
    AGENT_DRAINING = (3008, "agent_draining", logging.INFO)
    ADMISSION_OPENED = (3009, "admission_opened", logging.INFO)

    DISPATCHER_CHANGED = (4001, "dispatcher_changed", logging.INFO)
    DISPATCH_SESSION_LOST = (4002, "dispatch_session_lost", logging.WARNING)
    ENTRY_SESSION_OPENED = (4003, "entry_session_opened", logging.INFO)
    ENTRY_SESSION_CLOSED = (4004, "entry_session_closed", logging.INFO)
    AGENT_SESSION_OPENED = (4005, "agent_session_opened", logging.INFO)
    AGENT_SESSION_CLOSED = (4006, "agent_session_closed", logging.INFO)
    SNAPSHOT_ADOPTED = (4007, "snapshot_adopted", logging.INFO)

    CONFIGURATION_TAKEN = (5001, "configuration_taken", logging.INFO)
    OPERATIONS_TAKEN = (5002, "operations_taken", logging.INFO)
    VERSION_REFUSED = (5003, "version_refused", logging.ERROR)
    MEMBER_ADDED = (5101, "member_added", logging.INFO)
    MEMBER_REMOVED = (5102, "member_removed", logging.INFO)
    MEMBER_LEAVING = (5103, "member_leaving", logging.INFO)
    MEMBER_SUSPECTED = (5104, "member_suspected", logging.WARNING)
    MEMBER_RESPONDS = (5105, "member_responds", logging.INFO)
    INSTANCE_LIST_UNAVAILABLE = (5201, "instance_list_unavailable", logging.WARNING)
    INSTANCE_LIST_RESTORED = (5202, "instance_list_restored", logging.INFO)

    CLAIM_WRITE_ANSWER_LOST = (6001, "claim_write_answer_lost", logging.WARNING)
    CLAIM_STORE_UNAVAILABLE = (6002, "claim_store_unavailable", logging.WARNING)
    CLAIM_SHARD_FULL = (6003, "claim_shard_full", logging.ERROR)
    CLAIM_SHARD_UNREADABLE = (6004, "claim_shard_unreadable", logging.ERROR)
    CLAIM_CHANGE_DROPPED = (6005, "claim_change_dropped", logging.ERROR)
    CLAIM_RECORDS_PRUNED = (6006, "claim_records_pruned", logging.INFO)
    OBJECT_API_UNAVAILABLE = (6101, "object_api_unavailable", logging.WARNING)
    OBJECT_API_RESTORED = (6102, "object_api_restored", logging.INFO)

    CHANGE_ACCEPTED = (7001, "change_accepted", logging.INFO)
    CHANGE_CONFLICT = (7002, "change_conflict", logging.WARNING)
    CHANGE_ANSWER_LOST = (7003, "change_answer_lost", logging.WARNING)

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
