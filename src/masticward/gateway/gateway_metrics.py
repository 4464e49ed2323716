"""Prometheus metrics of the gateway."""

import collections.abc

import prometheus_client

from masticward import metrics

FIRST_EVENT_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)


class GatewayMetrics:
    """Counters, histograms and gauges of one gateway process."""

    __slots__ = (
        "buffer_bounds",
        "cut_requests",
        "failed_attempts",
        "failed_callbacks",
        "first_event",
        "overlaps",
        "process_metrics",
        "requests",
    )

    def __init__(self, process_metrics: metrics.ProcessMetrics) -> None:
        self.process_metrics = process_metrics
        self.requests = prometheus_client.Counter(
            "masticward_gateway_requests",
            "finished requests",
            ["outcome", "status"],
            registry=process_metrics.registry,
        )
        self.cut_requests = prometheus_client.Counter(
            "masticward_gateway_cut_requests",
            "requests without a whole answer",
            ["cause", "stage"],
            registry=process_metrics.registry,
        )
        self.buffer_bounds = prometheus_client.Counter(
            "masticward_gateway_buffer_bounds",
            "requests held back, refused or cut by a bound on buffered bytes",
            ["bound"],
            registry=process_metrics.registry,
        )
        self.failed_attempts = prometheus_client.Counter(
            "masticward_gateway_failed_attempts",
            "sends to endpoints without a whole answer",
            ["outcome"],
            registry=process_metrics.registry,
        )
        self.overlaps = prometheus_client.Counter(
            "masticward_gateway_overlaps",
            "sends to an endpoint beside a silent one, by the attempt that went on",
            ["kept", "outcome"],
            registry=process_metrics.registry,
        )
        self.failed_callbacks = prometheus_client.Counter(
            "masticward_gateway_failed_callbacks",
            "unexpected errors in callbacks of the event loop",
            registry=process_metrics.registry,
        )
        self.first_event = prometheus_client.Histogram(
            "masticward_gateway_first_event_seconds",
            "time from arrival to the first event of a stream, in seconds",
            buckets=FIRST_EVENT_BUCKETS_SECONDS,
            registry=process_metrics.registry,
        )

    def add_gauge(
        self,
        name: str,
        description: str,
        read: collections.abc.Callable[[], float],
    ) -> None:
        """Add a gauge whose value is read at each scrape."""
        gauge = prometheus_client.Gauge(name, description, registry=self.process_metrics.registry)
        gauge.set_function(read)

    def add_labelled_gauge(
        self,
        name: str,
        description: str,
        label: str,
        read: collections.abc.Mapping[str, collections.abc.Callable[[], float]],
    ) -> None:
        """Add a gauge with one label whose values are read at each scrape."""
        gauge = prometheus_client.Gauge(
            name, description, [label], registry=self.process_metrics.registry
        )
        for value, function in read.items():
            gauge.labels(value).set_function(function)

    def count_outcome(self, outcome: str, status: int) -> None:
        """Count a finished request by outcome and HTTP status; status 0 if none was sent."""
        self.requests.labels(outcome, str(status)).inc()

    def count_cut(self, cause: str, stage: str) -> None:
        """Count a request without a whole answer by its cause and by how far it was."""
        self.count_outcome(cause, 0)
        self.cut_requests.labels(cause, stage).inc()
