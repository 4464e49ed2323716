"""Prometheus metrics of an agent.

The refusal reason is the only label, which bounds the number of time series.
"""

import prometheus_client

from masticward import metrics
from masticward.models import work

FIRST_TOKEN_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.38, 0.75, 1.5, 3.0, 10.0)


class AgentMetrics:
    """The metrics of one endpoint runner."""

    __slots__ = (
        "busy_slot_seconds",
        "earlier_calls",
        "first_token_seconds",
        "limit",
        "refusals",
        "running",
        "staged",
    )

    def __init__(self, process_metrics: metrics.ProcessMetrics) -> None:
        registry = process_metrics.registry
        self.running = prometheus_client.Gauge(
            "masticward_agent_running_calls", "Calls running at the endpoint.", registry=registry
        )
        self.earlier_calls = prometheus_client.Gauge(
            "masticward_agent_earlier_calls",
            "Calls at the endpoint that this agent does not run.",
            registry=registry,
        )
        self.staged = prometheus_client.Gauge(
            "masticward_agent_staged_calls", "Calls that wait to start.", registry=registry
        )
        self.limit = prometheus_client.Gauge(
            "masticward_agent_limit_calls", "Admission limit.", registry=registry
        )
        self.refusals = prometheus_client.Counter(
            "masticward_agent_refusals_total",
            "Attempts refused as not run, by reason.",
            ["reason"],
            registry=registry,
        )
        for reason in work.RefusalReason:
            self.refusals.labels(reason=reason.value)
        self.first_token_seconds = prometheus_client.Histogram(
            "masticward_agent_first_token_seconds",
            "Time from the start of a model call to its first token.",
            buckets=FIRST_TOKEN_BUCKETS_SECONDS,
            registry=registry,
        )
        self.busy_slot_seconds = prometheus_client.Counter(
            "masticward_agent_busy_slot_seconds_total",
            "Time that calls spent at the endpoint, summed over calls.",
            registry=registry,
        )
