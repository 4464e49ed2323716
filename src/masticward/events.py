"""Numbered log events. docs/log-events.md is the catalogue for operators."""

import enum
import logging


class Event(enum.Enum):
    """A log event: number, name and level.

    Numbers by area: 1xxx process, 2xxx entry, 3xxx agent, 4xxx dispatch, 5xxx configuration and
    membership, 6xxx object API and claims, 7xxx publishing, 8xxx gateway.
    """

    PROCESS_STARTED = (1001, "process_started", logging.INFO)
    PROCESS_STOPPING = (1002, "process_stopping", logging.INFO)
    PROCESS_STOPPED = (1003, "process_stopped", logging.INFO)
    TASK_FAILED = (1004, "task_failed", logging.ERROR)
    PROCESS_STOP_LATE = (1005, "process_stop_late", logging.WARNING)
    PROCESS_STOP_NEAR_END = (1006, "process_stop_near_end", logging.WARNING)

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

    GATEWAY_STARTED = (8001, "gateway_started", logging.INFO)
    READINESS_CHANGED = (8002, "readiness_changed", logging.INFO)
    SETTINGS_RELOADED = (8003, "settings_reloaded", logging.INFO)
    SETTINGS_UNREADABLE = (8004, "settings_unreadable", logging.ERROR)
    LOG_LINES_DROPPED = (8005, "log_lines_dropped", logging.WARNING)
    CONNECTION_NOT_ACCEPTED = (8006, "connection_not_accepted", logging.WARNING)
    OVERLOAD_CHANGED = (8007, "overload_changed", logging.WARNING)
    CLIENT_CONNECTION_CLOSED = (8008, "client_connection_closed", logging.INFO)
    ROTATION_PAUSED = (8009, "rotation_paused", logging.WARNING)
    CALLBACK_FAILED = (8010, "callback_failed", logging.ERROR)
    CONNECTION_PEER_LOST = (8011, "connection_peer_lost", logging.INFO)
    ATTEMPT_SENT = (8101, "attempt_sent", logging.INFO)
    GATEWAY_REQUEST_ANSWERED = (8102, "gateway_request_answered", logging.INFO)
    GATEWAY_REQUEST_REFUSED = (8103, "gateway_request_refused", logging.WARNING)
    GATEWAY_ATTEMPT_FAILED = (8104, "gateway_attempt_failed", logging.WARNING)
    STREAM_CUT = (8105, "stream_cut", logging.WARNING)
    CLIENT_LEFT = (8106, "client_left", logging.INFO)
    REQUEST_UNREADABLE = (8107, "request_unreadable", logging.WARNING)
    STRAY_ANSWER_DROPPED = (8108, "stray_answer_dropped", logging.WARNING)
    NO_ENDPOINT_IN_TIME = (8109, "no_endpoint_in_time", logging.WARNING)
    PART_SUSPECTED = (8110, "part_suspected", logging.WARNING)
    PART_TESTED = (8111, "part_tested", logging.INFO)
    PART_QUARANTINED = (8112, "part_quarantined", logging.ERROR)
    PART_CLEARED = (8113, "part_cleared", logging.INFO)
    REQUEST_CUT_BY_STOP = (8114, "request_cut_by_stop", logging.ERROR)
    ANSWER_BROKEN_OFF = (8115, "answer_broken_off", logging.ERROR)
    CLIENT_SILENT = (8116, "client_silent", logging.WARNING)
    ATTEMPTS_OVERLAPPED = (8117, "attempts_overlapped", logging.INFO)
    BUFFER_BOUND_REACHED = (8125, "buffer_bound_reached", logging.WARNING)
    GATEWAY_ENDPOINT_CHANGED = (8201, "gateway_endpoint_changed", logging.INFO)
    GATEWAY_ENDPOINT_UNREACHABLE = (8202, "gateway_endpoint_unreachable", logging.WARNING)
    IDLE_CONNECTION_DROPPED = (8204, "idle_connection_dropped", logging.INFO)
    ZONES_OUT_CHANGED = (8203, "zones_out_changed", logging.INFO)
    UNEXPECTED_BYTES = (8205, "unexpected_bytes", logging.WARNING)
    ENDPOINT_CRASHED = (8206, "endpoint_crashed", logging.WARNING)
    ENDPOINT_ANNOUNCED_LEAVING = (8207, "endpoint_announced_leaving", logging.INFO)
    ENDPOINT_WANTS_NOTHING = (8208, "endpoint_wants_nothing", logging.INFO)
    ENDPOINT_SPEED_CHANGED = (8209, "endpoint_speed_changed", logging.INFO)
    GATEWAY_CONFIGURATION_TAKEN = (8301, "gateway_configuration_taken", logging.INFO)
    OLDER_CONFIGURATION_IGNORED = (8302, "older_configuration_ignored", logging.WARNING)
    STORED_OBJECT_UNREADABLE = (8303, "stored_object_unreadable", logging.WARNING)
    STORE_HISTORY_LOST = (8304, "store_history_lost", logging.WARNING)
    GATEWAY_STORE_UNAVAILABLE = (8305, "gateway_store_unavailable", logging.WARNING)
    GATEWAY_STORE_RESTORED = (8306, "gateway_store_restored", logging.INFO)
    PROOF_UNAVAILABLE = (8307, "proof_unavailable", logging.WARNING)
    WATCH_GIVEN_UP = (8308, "watch_given_up", logging.WARNING)
    STORE_READER_CHANGED = (8309, "store_reader_changed", logging.INFO)
    STORE_CHANGES_MISSED = (8310, "store_changes_missed", logging.WARNING)
    QUARANTINES_NOT_STORED = (8311, "quarantines_not_stored", logging.WARNING)
    STORE_ERA_CHANGED = (8320, "store_era_changed", logging.WARNING)
    CONFIGURATION_LOST = (8321, "configuration_lost", logging.WARNING)
    STORE_ANSWER_OUTDATED = (8322, "store_answer_outdated", logging.WARNING)
    PEER_HEARD = (8401, "peer_heard", logging.INFO)
    PEER_LOST = (8402, "peer_lost", logging.WARNING)
    PEER_MESSAGE_UNREADABLE = (8403, "peer_message_unreadable", logging.WARNING)
    MEMBER_LIST_UNAVAILABLE = (8404, "member_list_unavailable", logging.WARNING)
    PEER_SNAPSHOT_FAILED = (8405, "peer_snapshot_failed", logging.WARNING)
    ROLLOUT_ORDERED = (8501, "rollout_ordered", logging.INFO)
    ROLLOUT_STOPPED = (8502, "rollout_stopped", logging.ERROR)
    ROLLOUT_DRAINS = (8503, "rollout_drains", logging.INFO)
    ROLLOUT_STATUS = (8504, "rollout_status", logging.INFO)
    ROLLOUT_STATUS_NOT_WRITTEN = (8505, "rollout_status_not_written", logging.WARNING)

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
