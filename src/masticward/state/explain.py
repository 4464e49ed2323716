"""A bounded log of recent requests, with which operators diagnose individual requests."""

import collections
import itertools

import msgspec


class AttemptRecord(msgspec.Struct, kw_only=True):
    """One attempt. The dispatcher reports ``queue_ms`` and ``virtual_time`` at dispatch."""

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
    """One request. Times are in milliseconds; ``outcome`` is empty until the request completes."""

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
    """Holds the newest ``limit`` request records."""

    __slots__ = ("limit", "records")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.records: collections.OrderedDict[str, RequestRecord] = collections.OrderedDict()

    def add(self, record: RequestRecord) -> None:
        """Add a record, evicting the oldest one if the limit is exceeded."""
        self.records[record.request_id] = record
        if len(self.records) > self.limit:
            self.records.popitem(last=False)

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, None if it is unknown or evicted."""
        return self.records.get(request_id)

    def newest(self, count: int) -> list[RequestRecord]:
        """Return up to ``count`` records, newest first."""
        return list(itertools.islice(reversed(self.records.values()), count))
