"""Records of the calls that an endpoint stand-in ran; tests compare them with callers' records."""

import collections
import collections.abc
import time

import msgspec

from masticward.utils import identifiers

RECORDS_KEPT = 200_000
# A report that lags is taken from this many past states.
STATES_KEPT = 20_000


class CallRecord(msgspec.Struct, kw_only=True):
    """One call that the stand-in started. Times are monotonic seconds, cost in cost units."""

    attempt_id: str
    request_id: str
    team: str
    method: str
    path: str
    body_digest: int
    started_at: float
    finished_at: float | None = None
    response_digest: int = 0
    response_length: int = 0
    cost: float = 0.0
    cancelled: bool = False

    def finish(self, response: bytes, cost: float) -> None:
        """Note that the work was done, whether or not the response can be delivered."""
        self.finished_at = time.monotonic()
        self.response_digest = identifiers.body_digest(response)
        self.response_length = len(response)
        self.cost = cost


class Recorder:
    """Keeps the latest records and the load as it was at past moments."""

    __slots__ = ("peak_running", "records", "running", "states")

    def __init__(self) -> None:
        self.records: collections.deque[CallRecord] = collections.deque(maxlen=RECORDS_KEPT)
        self.running = 0
        self.peak_running = 0
        self.states: collections.deque[tuple[float, dict[str, object]]] = collections.deque(
            maxlen=STATES_KEPT
        )

    def begin(
        self, method: str, path: str, headers: collections.abc.Mapping[str, str], body: bytes
    ) -> CallRecord:
        """Record a call that starts now."""
        record = CallRecord(
            attempt_id=headers.get("Masticward-Attempt-Id", ""),
            request_id=headers.get("Masticward-Request-Id", ""),
            team=headers.get("Masticward-Team", ""),
            method=method,
            path=path,
            body_digest=identifiers.body_digest(body),
            started_at=time.monotonic(),
        )
        self.records.append(record)
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        return record

    def end(self) -> None:
        """Count one running call less."""
        self.running -= 1

    def note_state(self, state: dict[str, object]) -> None:
        """Keep the load as it is now."""
        self.states.append((time.monotonic(), state))

    def state_before(self, moment: float) -> dict[str, object] | None:
        """Return the load as it was at a past moment; None if it is not known."""
        for noted_at, state in reversed(self.states):
            if noted_at <= moment:
                return state
        return None
