"""Gauges that both programs read from their state when they are scraped."""

import collections.abc

import prometheus_client

from masticward import metrics
from masticward.coordination import dispatcher as dispatcher_module
from masticward.coordination import view as view_module


def register_view(
    process_metrics: metrics.ProcessMetrics, view: view_module.PlatformFleetView
) -> None:
    """Register the versions in force and the number of known and suspected members."""

    def config_version() -> float:
        configuration = view.configuration
        return float(configuration.version if configuration is not None else 0)

    add(process_metrics, "masticward_config_version", "Configuration in force.", config_version)
    add(
        process_metrics,
        "masticward_operations_version",
        "State of zones and instances in force.",
        lambda: float(view.operations.version),
    )
    add(
        process_metrics,
        "masticward_member_instances",
        "Instances known to this process.",
        lambda: float(len(view.members())),
    )
    add(
        process_metrics,
        "masticward_suspected_instances",
        "Instances that do not answer this process.",
        lambda: float(len(view.membership.suspected_ids())),
    )


def register_dispatcher(
    process_metrics: metrics.ProcessMetrics, dispatcher: dispatcher_module.Dispatcher
) -> None:
    """Register the figures of the dispatcher role; all are 0 while no entry uses it."""
    add(
        process_metrics,
        "masticward_dispatch_waiting_tickets",
        "Tickets that wait at this dispatcher.",
        lambda: float(dispatcher.waiting),
    )
    add(
        process_metrics,
        "masticward_dispatch_free_slots",
        "Slots offered to this dispatcher and not assigned.",
        lambda: float(dispatcher.free_slots),
    )
    add(
        process_metrics,
        "masticward_dispatch_entry_sessions",
        "Entries that queue tickets at this dispatcher.",
        lambda: float(len(dispatcher.entries)),
    )
    add(
        process_metrics,
        "masticward_dispatch_agent_sessions",
        "Agents that offer slots to this dispatcher.",
        lambda: float(len(dispatcher.agents)),
    )


def add(
    process_metrics: metrics.ProcessMetrics,
    name: str,
    documentation: str,
    read: collections.abc.Callable[[], float],
) -> None:
    """Register a gauge whose value is read when it is scraped."""
    gauge = prometheus_client.Gauge(name, documentation, registry=process_metrics.registry)
    gauge.set_function(read)
