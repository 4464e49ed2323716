"""Metrics of the entry. Label values are bounded: outcomes, error kinds and refusal reasons."""

import prometheus_client

from masticward import metrics
from masticward.models import work

QUEUE_BUCKETS_SECONDS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0, 60.0, 300.0)
OTHER_REASON = "other"
REFUSAL_REASONS = frozenset(reason.value for reason in work.RefusalReason)


class EntryMetrics:
    """The metrics of one entry."""

    __slots__ = (
        "held_bytes",
        "held_requests",
        "queue_length",
        "queue_seconds",
        "refusals",
        "requests",
    )

    def __init__(self, process_metrics: metrics.ProcessMetrics) -> None:
        registry = process_metrics.registry
        self.requests = prometheus_client.Counter(
            "masticward_entry_requests_total",
            "Requests by outcome and by the kind of refusal or failure.",
            ("outcome", "kind"),
            registry=registry,
        )
        self.refusals = prometheus_client.Counter(
            "masticward_entry_attempt_refusals_total",
            "Attempts that agents refused, by reason.",
            ("reason",),
            registry=registry,
        )
        self.queue_length = prometheus_client.Gauge(
            "masticward_entry_queue_requests", "Requests that wait for a slot.", registry=registry
        )
        self.held_requests = prometheus_client.Gauge(
            "masticward_entry_held_requests", "Requests that are not finished.", registry=registry
        )
        self.held_bytes = prometheus_client.Gauge(
            "masticward_entry_held_body_bytes", "Bytes of request bodies held.", registry=registry
        )
        self.queue_seconds = prometheus_client.Histogram(
            "masticward_entry_queue_seconds",
            "Time from arrival to the first slot.",
            buckets=QUEUE_BUCKETS_SECONDS,
            registry=registry,
        )

    def count_outcome(self, outcome: work.Outcome, kind: str) -> None:
        """Count a finished request; ``kind`` is the kind of the error or how the request ended."""
        self.requests.labels(outcome.value, kind).inc()

    def count_refusal(self, reason: str) -> None:
        """Count a refused attempt."""
        self.refusals.labels(reason if reason in REFUSAL_REASONS else OTHER_REASON).inc()
