"""Tickets, slots, assignments, calls and outcomes. Deadlines are monotonic seconds."""

import enum

import msgspec


class Outcome(enum.StrEnum):
    """The outcome of a request, sent to the caller in the ``Masticward-Outcome`` header."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(enum.StrEnum):
    """Why an attempt was refused. Each reason implies that the call was not started."""

    WRONG_INCARNATION = "wrong-incarnation"
    DUPLICATE_ATTEMPT = "duplicate-attempt"
    SLOT_UNKNOWN = "slot-unknown"
    SLOT_EXPIRED = "slot-expired"
    DEADLINE_PASSED = "deadline-passed"
    OLDER_CONFIGURATION = "older-configuration"
    NEWER_CONFIGURATION = "newer-configuration"
    ZONE_OUT = "zone-out"
    INSTANCE_OUT = "instance-out"
    LEAVING = "leaving"
    AT_LIMIT = "at-limit"
    STALE_VIEW = "stale-view"
    NO_CONFIGURATION = "no-configuration"
    ENDPOINT_NOT_STARTED = "endpoint-not-started"
    UNREACHABLE = "unreachable"


class Ticket(msgspec.Struct, kw_only=True):
    """A request waiting for a slot, without its body."""

    id: str
    team: str
    service: str
    entry_id: str
    cost_hint: float
    arrived_at: float
    deadline: float
    retried: bool = False


class Slot(msgspec.Struct, kw_only=True):
    """Permission to send one attempt to one agent incarnation before the deadline."""

    id: int
    agent_id: str
    agent_incarnation: int
    agent_address: str
    availability_zone: str
    deadline: float


class Assignment(msgspec.Struct, kw_only=True):
    """The assignment of a slot to a ticket."""

    ticket_id: str
    slot: Slot
    virtual_time: float
    queue_ms: float


class CallRequest(msgspec.Struct, kw_only=True):
    """A caller's request as it is sent to an endpoint."""

    request_id: str
    team: str
    service: str
    operation: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    cost_hint: float = 0.0
