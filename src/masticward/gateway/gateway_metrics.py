"""Metrics of the gateway."""

import collections.abc

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

    def add_gauge(
        self,
        name: str,
        description: str,
        read: collections.abc.Callable[[], float],
    ) -> None:
        """Add a figure that is read when the metrics are collected."""
        gauge = prometheus_client.Gauge(name, description, registry=self.process.registry)
        gauge.set_function(read)

    def add_labelled_gauge(
        self,
        name: str,
        description: str,
        label: str,
        read: collections.abc.Mapping[str, collections.abc.Callable[[], float]],
    ) -> None:
        """Add one figure for each value of a label."""
        gauge = prometheus_client.Gauge(name, description, [label], registry=self.process.registry)
        for value, function in read.items():
            gauge.labels(value).set_function(function)

    def note_outcome(self, outcome: str, status: int) -> None:
        """Count a finished request."""
        self.requests.labels(outcome, str(status)).inc()
