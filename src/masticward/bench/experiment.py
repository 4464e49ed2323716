"""One measured run of a fleet under load."""

import asyncio
import collections.abc
import resource
import time

import msgspec

from masticward import settings as settings_module
from masticward.bench import checker, fairness, fleet, load, plans, traffic
from masticward.bench import history as history_module

Action = collections.abc.Callable[[fleet.LocalFleet], collections.abc.Awaitable[None]]

# Endpoints start cold; the limits rise to warm within this time under load, with short streams.
WARM_UP_SECONDS = 5.0
WARM_UP_TOKEN_MS = 10.0


class Setup(msgspec.Struct, kw_only=True):
    """What to run. ``weights`` spread the calls over the entries.

    ``token_ms`` is the time between tokens of one stream and ``service_ms`` that of a plain call.
    """

    plan: plans.FleetPlan
    loads: list[load.TeamLoad]
    seed: int
    seconds: float
    maximum_calls: int
    weights: tuple[float, ...] = ()
    token_ms: float = 50.0
    service_ms: float = 200.0
    warm_up_seconds: float = WARM_UP_SECONDS
    deadline_seconds: float = 30.0
    limits: settings_module.EntryLimits | None = None


class Measured(msgspec.Struct, kw_only=True):
    """What a run gave. ``window`` is the time under load after the warm-up.

    Control bytes count messages between processes (sent plus received) and the bytes exchanged
    with the object API and the instance list. CPU seconds are those of the whole process, stand-ins
    and callers included. ``peak_memory_bytes`` is the largest resident size of the process so far.
    """

    plan: plans.FleetPlan
    history: history_module.History
    violations: list[checker.Violation]
    window: fairness.Interval
    latencies: dict[str, load.Latencies]
    control_bytes_per_node_second: float
    platform_bytes_per_node_second: float
    bytes_by_method: dict[str, dict[str, int]]
    cpu_seconds: float
    peak_memory_bytes: int


class ControlSample(msgspec.Struct, frozen=True):
    """Counters at one moment."""

    at: float
    message_bytes: int
    platform_bytes: int
    cpu_seconds: float


async def run(setup: Setup, action: Action | None = None) -> Measured:
    """Run a fleet under load; ``action`` runs beside the load once it is warm.

    Raises FleetNotReadyError.
    """
    meter = traffic.Meter()
    with traffic.metered_channels(meter):
        local = fleet.LocalFleet(setup.plan, setup.limits)
        try:
            await local.start()
            await set_speed(local, WARM_UP_TOKEN_MS, setup.service_ms)
            return await run_load(setup, local, meter, action)
        finally:
            await local.shutdown()


async def run_load(
    setup: Setup, local: fleet.LocalFleet, meter: traffic.Meter, action: Action | None
) -> Measured:
    """Run the load on a fleet that is ready and collect all records."""
    history = history_module.History(seed=setup.seed)
    balancer = load.Balancer(local.targets(setup.weights))
    generator = load.LoadGenerator(
        history, balancer, setup.seed, setup.maximum_calls, setup.deadline_seconds
    )
    async with generator:
        calls = asyncio.ensure_future(
            generator.run(setup.loads, setup.warm_up_seconds + setup.seconds)
        )
        await asyncio.sleep(setup.warm_up_seconds)
        await set_speed(local, setup.token_ms, setup.service_ms)
        before = take_sample(local, meter)
        beside = asyncio.ensure_future(action(local)) if action else None
        await asyncio.sleep(max(0.0, before.at + setup.seconds - time.monotonic()))
        after = take_sample(local, meter)
        if beside is not None:
            await beside
        await calls
    await local.platform.complete_history(history)
    return evaluate(setup, local, history, generator.latencies, meter, (before, after))


def evaluate(
    setup: Setup,
    local: fleet.LocalFleet,
    history: history_module.History,
    latencies: dict[str, load.Latencies],
    meter: traffic.Meter,
    samples: tuple[ControlSample, ControlSample],
) -> Measured:
    """Return the figures of a run from its complete history and the samples around the window."""
    before, after = samples
    nodes = len(local.entries) + len(local.agents)
    node_seconds = nodes * (after.at - before.at)
    message_bytes = 2 * (after.message_bytes - before.message_bytes)
    platform_bytes = after.platform_bytes - before.platform_bytes
    return Measured(
        plan=setup.plan,
        history=history,
        violations=checker.check(history),
        window=fairness.Interval(before.at, after.at),
        latencies=latencies,
        control_bytes_per_node_second=(message_bytes + platform_bytes) / node_seconds,
        platform_bytes_per_node_second=platform_bytes / node_seconds,
        bytes_by_method=meter.by_method(),
        cpu_seconds=after.cpu_seconds - before.cpu_seconds,
        peak_memory_bytes=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
    )


def take_sample(local: fleet.LocalFleet, meter: traffic.Meter) -> ControlSample:
    """Return the counters now."""
    return ControlSample(
        time.monotonic(),
        meter.control_bytes(),
        local.platform.platform_bytes(),
        time.process_time(),
    )


async def set_speed(local: fleet.LocalFleet, token_ms: float, service_ms: float) -> None:
    """Set the time between tokens and the service time on all endpoints."""
    for endpoint in local.plan.endpoints:
        await local.platform.control_endpoint(endpoint.id, token_ms=token_ms, service_ms=service_ms)
