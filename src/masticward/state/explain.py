"""A bounded record of recent requests, for operators who ask what happened to a request."""

import collections
import itertools

import msgspec


class AttemptRecord(msgspec.Struct, kw_only=True):
    """One attempt. ``queue_ms`` and ``virtual_time`` are the dispatcher's figures at dispatch."""

    attempt_id: str
    ticket_id: str
    agent_id: str
    availability_zone: str
    dispatcher_id: str
    reason_chosen: str
    virtual_time: float
    queue_ms: float
    result: str = ""


class RequestRecord(msgspec.Struct, kw_only=True):
    """One request. Times are milliseconds; ``outcome`` is empty while the request is held."""

    request_id: str
    team: str
    service: str
    operation: str
    queue_ms: float = 0.0
    total_ms: float = 0.0
    attempts: list[AttemptRecord] = []
    refusals: list[str] = []
    outcome: str = ""
    detail: str = ""


class ExplainLog:
    """Keeps the newest ``limit`` records."""

    __slots__ = ("limit", "records")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.records: collections.OrderedDict[str, RequestRecord] = collections.OrderedDict()

    def add(self, record: RequestRecord) -> None:
        """Add a record and forget the oldest one beyond the limit."""
        self.records[record.request_id] = record
        if len(self.records) > self.limit:
            self.records.popitem(last=False)

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, None if it is unknown or forgotten."""
        return self.records.get(request_id)

    def newest(self, count: int) -> list[RequestRecord]:
        """Return up to ``count`` records, newest first."""
        return list(itertools.islice(reversed(self.records.values()), count))
