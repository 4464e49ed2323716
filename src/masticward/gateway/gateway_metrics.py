"""Metrics of the gateway."""

import prometheus_client

from masticward import metrics

FIRST_EVENT_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)


class GatewayMeters:
    """Counters and histograms of one gateway process."""

    __slots__ = ("attempts", "first_event", "process", "requests")

    def __init__(self, process: metrics.ProcessMetrics) -> None:
        self.process = process
        self.requests = prometheus_client.Counter(
            "masticward_gateway_requests",
            "finished requests",
            ["outcome", "status"],
            registry=process.registry,
        )
        self.attempts = prometheus_client.Counter(
            "masticward_gateway_failed_attempts",
            "sends to endpoints without a whole answer",
            ["outcome"],
            registry=process.registry,
        )
        self.first_event = prometheus_client.Histogram(
            "masticward_gateway_first_event_seconds",
            "time from arrival to the first event of a stream, in seconds",
            buckets=FIRST_EVENT_BUCKETS,
            registry=process.registry,
        )

    def note_outcome(self, outcome: str, status: int) -> None:
        """Count a finished request."""
        self.requests.labels(outcome, str(status)).inc()
