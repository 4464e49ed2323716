"""Records the progress of a request in its explain record and in the metrics of the entry."""

import time

from masticward import errors
from masticward.coordination import entry_metrics
from masticward.models import work
from masticward.state import explain
from masticward.utils import clocks


class RequestTrace:
    """Records the attempts and the outcome of one request; ``arrived_at`` is monotonic seconds."""

    __slots__ = ("arrived_at", "metrics", "record")

    def __init__(self, record: explain.RequestRecord, metrics: entry_metrics.EntryMetrics) -> None:
        self.record = record
        self.metrics = metrics
        self.arrived_at = time.monotonic()

    def record_dispatch(
        self, assignment: work.Assignment, attempt_id: str, dispatcher_id: str
    ) -> None:
        """Add an attempt; the first one ends the queueing time of the request."""
        if not self.record.attempts:
            waited_seconds = time.monotonic() - self.arrived_at
            self.record.queue_ms = waited_seconds * clocks.MILLISECONDS_PER_SECOND
            self.metrics.queue_seconds.observe(waited_seconds)
        self.record.attempts.append(
            explain.AttemptRecord(
                attempt_id=attempt_id,
                ticket_id=assignment.ticket_id,
                agent_id=assignment.slot.agent_id,
                availability_zone=assignment.slot.availability_zone,
                dispatcher_id=dispatcher_id,
                reason_chosen="its slot was free when the team had the least virtual time",
                virtual_time=assignment.virtual_time,
                queue_ms=assignment.queue_ms,
            )
        )

    def record_refusal(self, reason: str) -> None:
        """Record that an agent refused the last attempt."""
        self.metrics.count_refusal(reason)
        self.record.refusals.append(reason)
        self.record.attempts[-1].result = f"refused: {reason}"

    def record_failure(self, failure: errors.AttemptFailedError) -> str:
        """Record that the last attempt failed; return the id of its agent."""
        attempt = self.record.attempts[-1]
        attempt.result = f"failed: {failure}"
        return attempt.agent_id

    def record_outcome(self, outcome: work.Outcome, kind: str, detail: str = "") -> None:
        """Record the outcome; ``kind`` is the kind of the error or how the request ended."""
        self.record.outcome = outcome.value
        self.record.detail = detail or kind
        total_seconds = time.monotonic() - self.arrived_at
        self.record.total_ms = total_seconds * clocks.MILLISECONDS_PER_SECOND
        if self.record.attempts and not self.record.attempts[-1].result:
            self.record.attempts[-1].result = outcome.value
        self.metrics.count_outcome(outcome, kind)
