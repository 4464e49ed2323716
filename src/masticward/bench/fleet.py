"""A whole fleet in the current event loop, for the demo and for measurements."""

import asyncio
import collections.abc
import time

import aiohttp
import msgspec

from masticward import settings as settings_module
from masticward.bench import load, plans, platform
from masticward.daemons import agent as agent_daemon
from masticward.daemons import common
from masticward.daemons import entry as entry_daemon
from masticward.models import membership

READY_SECONDS = 20.0
POLL_SECONDS = 0.05
HOST = platform.HOST


class FleetNotReadyError(Exception):
    """Raised when programs of the fleet did not become ready in time."""


class LocalFleet:
    """Stand-ins, entries and agents of one plan, all on one loopback address."""

    def __init__(
        self, plan: plans.FleetPlan, limits: settings_module.EntryLimits | None = None
    ) -> None:
        self.plan = plan
        self.limits = limits
        self.platform = platform.Platform(plan)
        self.entries: dict[str, entry_daemon.EntryDaemon] = {}
        self.agents: dict[str, agent_daemon.AgentDaemon] = {}

    async def start(self) -> None:
        """Start everything; raises FleetNotReadyError if a program does not get ready."""
        await self.platform.start()
        await self.platform.publish()
        for endpoint in self.plan.endpoints:
            await self.start_agent(endpoint)
        for entry in self.plan.entries:
            await self.start_entry(entry)
        await self.wait_ready()

    async def start_agent(self, endpoint: plans.EndpointPlan) -> None:
        """Start one agent and list it."""
        settings = plans.agent_settings(
            self.plan,
            endpoint,
            self.platform.endpoint_urls[endpoint.id],
            await self.platform.settings_for(endpoint.id),
        )
        daemon = agent_daemon.AgentDaemon(settings)
        await daemon.start()
        self.agents[endpoint.id] = daemon
        await self.platform.list_instance(listed_instance(daemon, endpoint.service))

    async def start_entry(self, entry: plans.EntryPlan) -> None:
        """Start one entry and list it."""
        settings = plans.entry_settings(
            self.plan, entry, await self.platform.settings_for(entry.id), self.limits
        )
        daemon = entry_daemon.EntryDaemon(settings)
        await daemon.start()
        self.entries[entry.id] = daemon
        await self.platform.list_instance(listed_instance(daemon, service=""))

    async def wait_ready(self) -> None:
        """Wait until every program reports ready; raises FleetNotReadyError."""
        deadline = time.monotonic() + READY_SECONDS
        waiting = {
            name: f"http://{HOST}:{daemon.admin_port}{load.READINESS_PATH}"
            for name, daemon in [*self.entries.items(), *self.agents.items()]
        }
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=2.0)) as session:
            while waiting:
                for name, url in list(waiting.items()):
                    if await answers(session, url):
                        del waiting[name]
                if waiting and time.monotonic() > deadline:
                    raise FleetNotReadyError(f"not ready: {sorted(waiting)}")
                if waiting:
                    await asyncio.sleep(POLL_SECONDS)

    async def shutdown(self) -> None:
        """Shut entries, agents and stand-ins down, in this order."""
        await asyncio.gather(*(daemon.shutdown() for daemon in self.entries.values()))
        await asyncio.gather(*(daemon.shutdown() for daemon in self.agents.values()))
        await self.platform.close()

    def dispatcher_of(self, service: str) -> str:
        """Return the id of the agent that dispatches a service, as the first entry sees it."""
        first = next(iter(self.entries.values()))
        return first.tickets.dispatcher_of(service)

    async def shutdown_agent(self, agent_id: str) -> None:
        """Shut one agent down gracefully."""
        await self.agents.pop(agent_id).shutdown()

    def targets(self, weights: collections.abc.Sequence[float] = ()) -> list[load.Target]:
        """Return the entries for a load balancer, with uneven weights if given."""
        return [
            load.Target(
                id=name,
                url=f"http://{HOST}:{daemon.http_port}",
                readiness_url=f"http://{HOST}:{daemon.admin_port}{load.READINESS_PATH}",
                weight=weights[number] if number < len(weights) else 1.0,
            )
            for number, (name, daemon) in enumerate(self.entries.items())
        ]


def listed_instance(daemon: common.Node, service: str) -> membership.Instance:
    """Return a started program as the instance list shows it."""
    return membership.Instance(
        id=daemon.program_settings.instance_id,
        role=daemon.role,
        service=service,
        availability_zone=daemon.program_settings.availability_zone,
        peer_address=f"{HOST}:{daemon.peer_port}",
        admin_address=f"{HOST}:{daemon.admin_port}",
    )


async def answers(session: aiohttp.ClientSession, url: str) -> bool:
    """Tell whether a readiness check succeeds."""
    try:
        async with session.get(url) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False


def with_policy(plan: plans.FleetPlan, policy: settings_module.QueuePolicyName) -> plans.FleetPlan:
    """Return the plan with another queue policy."""
    return msgspec.structs.replace(plan, queue_policy=policy)
