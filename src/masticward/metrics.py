"""Metrics of one process, for prometheus. Label values are bounded: no team, no request."""

import prometheus_client


class ProcessMetrics:
    """Holds a registry of its own, so that several processes' roles can share an interpreter."""

    __slots__ = ("registry",)

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()

    def render(self) -> bytes:
        """Return the text exposition of all metrics."""
        return prometheus_client.generate_latest(self.registry)
