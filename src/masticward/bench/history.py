"""What callers, endpoints, operators and processes saw during one run.

All times are ``time.monotonic()`` seconds. The monotonic clock is common to all processes of one
machine, so records of different processes can be compared. Digests are xxh3_64 of whole bodies.
"""

import pathlib

import msgspec

from masticward.models import work


class CallRecord(msgspec.Struct, kw_only=True):
    """One call as its caller saw it.

    ``request_digest`` identifies the call, because each call has a unique body; repeats of a keyed
    call share key and body. ``cost`` is the true cost in cost units. ``cut`` is True if the
    response began and did not end. ``entry`` is the entry that took the request, empty if no
    connection could be opened.
    """

    call_id: str
    team: str
    service: str
    operation: str
    idempotent: bool
    request_digest: int
    sent_at: float
    key: str = ""
    entry: str = ""
    ended_at: float = 0.0
    first_byte_at: float = 0.0
    cost: float = 0.0
    request_id: str = ""
    status: int = 0
    outcome: work.Outcome = work.Outcome.UNKNOWN
    response_digest: int = 0
    response_length: int = 0
    cut: bool = False
    detail: str = ""


class EndpointRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One run as the endpoint recorded it. ``finished_at`` is 0.0 if the run has not ended."""

    endpoint: str
    service: str
    availability_zone: str
    attempt_id: str
    request_id: str
    team: str
    request_digest: int
    started_at: float
    finished_at: float
    response_digest: int
    response_length: int
    cost: float


class RestrictedPeriod(msgspec.Struct, frozen=True, kw_only=True):
    """A period in which no run may start, from the cut-off on until work is allowed again.

    Exactly one of ``availability_zone`` and ``endpoint`` is set. ``cutoff`` is the time at which
    the change was accepted plus the bound of the design (3 s or 5 s).
    """

    reason: str
    cutoff: float
    until: float
    availability_zone: str = ""
    endpoint: str = ""


class VersionSample(msgspec.Struct, frozen=True, kw_only=True):
    """The versions that one process reported. Samples of a process are in order of time."""

    process: str
    incarnation: int
    at: float
    config_version: int
    operations_version: int


class History(msgspec.Struct, kw_only=True):
    """All records of one run. ``overloaded`` names endpoints with calls above their limit."""

    seed: int = 0
    calls: list[CallRecord] = []
    runs: list[EndpointRecord] = []
    restricted: list[RestrictedPeriod] = []
    versions: list[VersionSample] = []
    overloaded: list[str] = []

    def save(self, path: pathlib.Path) -> None:
        """Write the history as JSON; raises OSError."""
        path.write_bytes(msgspec.json.format(msgspec.json.encode(self), indent=1))


def load(path: pathlib.Path) -> History:
    """Read a saved history; raises OSError or msgspec.ValidationError."""
    return msgspec.json.decode(path.read_bytes(), type=History)


def runs_by_digest(history: History) -> dict[int, list[EndpointRecord]]:
    """Group the endpoints' records by the digest of the request body."""
    grouped: dict[int, list[EndpointRecord]] = {}
    for run in history.runs:
        grouped.setdefault(run.request_digest, []).append(run)
    return grouped
