"""The stand-ins that a fleet under measurement needs, in the current event loop."""

import asyncio
import time
import typing

import aiohttp
from returns import result

from masticward import errors
from masticward import settings as settings_module
from masticward.bench import history as history_module
from masticward.bench import plans, records, restrictions
from masticward.models import configuration as configuration_models
from masticward.models import membership
from masticward.publishing import change, delivery, operations, publisher
from masticward.standins import engine, forwarder, instance_list, object_api, plain_service
from masticward.transport import instance_list as instance_list_client
from masticward.transport import object_api as object_api_client
from masticward.utils import addresses, clocks

CONTROL_TIMEOUT_SECONDS = 5.0
HOST = addresses.own_loopback_host()
OPERATOR = "bench"
CHANGE_SECONDS = 10.0
# Section 2 of the design: no new start later than this after the change was accepted.
ZONE_BOUND_SECONDS = 3.0
COLD_START_MS = 2000.0
SERVICE_MS = 40.0
# Agents take a first token later than 4 times the mean as a cold start; with 5 ms, a pause of this
# process for 20 ms was enough.
FIRST_TOKEN_MS = 60.0


class Platform:
    """Object API, instance list and endpoints, each reached through HTTP as in production.

    Programs reach the object API and the instance list through forwarders, which count the bytes
    and can cut a single program off.
    """

    def __init__(self, plan: plans.FleetPlan) -> None:
        self.plan = plan
        self.object_api = object_api.ObjectApiStandin()
        self.instance_list = instance_list.InstanceListStandin()
        self.endpoints: dict[str, engine.EngineServer | plain_service.PlainServer] = {}
        self.endpoint_urls: dict[str, str] = {}
        self.object_api_url = ""
        self.instance_list_url = ""
        self.forwarders: dict[str, forwarder.Forwarder] = {}
        self.session: aiohttp.ClientSession | None = None
        self.restrictions = restrictions.Restrictions()
        self.store: object_api_client.HttpObjectStore
        self.list_client: instance_list_client.HttpInstanceList
        self.incarnations: dict[str, int] = {}

    async def start(self) -> None:
        """Start all stand-ins; raises OSError."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.object_api_url = await start_server(self.object_api)
        self.instance_list_url = await start_server(self.instance_list)
        self.store = object_api_client.HttpObjectStore(self.object_api_url)
        self.list_client = instance_list_client.HttpInstanceList(self.instance_list_url)
        for endpoint in self.plan.endpoints:
            server: engine.EngineServer | plain_service.PlainServer
            if endpoint.kind is configuration_models.ServiceKind.LANGUAGE_MODEL:
                server = engine.EngineServer()
            else:
                server = plain_service.PlainServer()
            self.endpoints[endpoint.id] = server
            self.endpoint_urls[endpoint.id] = await start_server(server)
            service = self.plan.service(endpoint.service)
            await self.control_endpoint(
                endpoint.id,
                cold_limit=service.cold_limit,
                warm_limit=service.warm_limit,
                service_ms=SERVICE_MS,
                first_token_ms=FIRST_TOKEN_MS,
            )

    async def close(self) -> None:
        """Close all stand-ins."""
        await self.store.close()
        await self.list_client.close()
        for relay in self.forwarders.values():
            await relay.close()
        # Each one waits for connections that stay open.
        await asyncio.gather(*(server.close() for server in self.endpoints.values()))
        await asyncio.gather(self.instance_list.close(), self.object_api.close())
        if self.session is not None:
            await self.session.close()

    async def settings_for(self, instance_id: str) -> settings_module.PlatformSettings:
        """Return the platform settings of one program, through forwarders of its own."""
        relays = []
        for name, url in (("objects", self.object_api_url), ("list", self.instance_list_url)):
            relay = forwarder.Forwarder(HOST, int(url.rpartition(":")[2]))
            await relay.start(f"{HOST}:0")
            self.forwarders[f"{instance_id}/{name}"] = relay
            relays.append(relay)
        return settings_module.PlatformSettings(
            object_api_url=f"http://{HOST}:{relays[0].port}",
            instance_list_url=f"http://{HOST}:{relays[1].port}",
        )

    def platform_bytes(self) -> int:
        """Return the bytes exchanged so far with the object API and the instance list."""
        return sum(relay.bytes_up + relay.bytes_down for relay in self.forwarders.values())

    def cut_off(self, instance_id: str) -> None:
        """Cut one program off from the object API; its bytes are dropped without an error."""
        self.forwarders[f"{instance_id}/objects"].set_mode(forwarder.ForwarderMode.DROP)

    async def publish(
        self, configuration: configuration_models.Configuration | None = None
    ) -> None:
        """Publish a configuration, that of the plan by default; raises PublishingError."""
        operator = publisher.Publisher(self.store, OPERATOR)
        unwrap(await operator.publish(configuration or self.plan.configuration, change_deadline()))

    async def zone_out(self, zone: str, bound: float = ZONE_BOUND_SECONDS) -> float:
        """Take a zone out; no start is allowed ``bound`` seconds after acceptance.

        Returns the monotonic time of the acceptance; raises PublishingError.
        """
        accepted = unwrap(await self.operations().take_out_zone(zone, False, change_deadline()))
        accepted_at = time.monotonic()
        self.restrictions.begin_zone(zone, accepted_at + bound)
        await self.deliver(accepted)
        return accepted_at

    async def zone_in(self, zone: str) -> float:
        """Bring a zone back and return the monotonic time of the acceptance.

        Raises PublishingError.
        """
        self.restrictions.end(zone, time.monotonic())
        accepted = unwrap(await self.operations().bring_in_zone(zone, change_deadline()))
        accepted_at = time.monotonic()
        await self.deliver(accepted)
        return accepted_at

    async def deliver(self, accepted: change.Accepted) -> None:
        """Deliver an accepted change as the operator's command does."""
        await delivery.deliver(
            accepted, plans.peer_security(self.plan), self.list_client, change_deadline()
        )

    def operations(self) -> operations.OperationsChange:
        """Return the changes of one operator."""
        return operations.OperationsChange(self.store, self.list_client, OPERATOR)

    async def restart_endpoint_cold(self, endpoint_id: str) -> None:
        """Make an endpoint cold under a new incarnation, without warning."""
        self.incarnations[endpoint_id] = self.incarnations.get(endpoint_id, 1) + 1
        await self.control_endpoint(
            endpoint_id,
            incarnation=self.incarnations[endpoint_id],
            cold=True,
            cold_ms=COLD_START_MS,
        )

    def overloaded_endpoints(self) -> list[str]:
        """Return the endpoints that received more calls than their limit."""
        return [name for name, server in self.endpoints.items() if server.overloaded]

    async def complete_history(self, history: history_module.History) -> None:
        """Add the endpoints' records, costs and the restricted periods to a history."""
        history.runs = records.with_costs(await self.records(), history.calls)
        history.restricted = self.restrictions.periods()
        history.overloaded = self.overloaded_endpoints()

    async def list_instance(self, instance: membership.Instance) -> None:
        """Add or change an instance in the instance list."""
        await self.put(
            f"{self.instance_list_url}/control/instances/{instance.id}",
            {
                "id": instance.id,
                "role": str(instance.role),
                "service": instance.service,
                "zone": instance.availability_zone,
                "peer_address": instance.peer_address,
                "admin_address": instance.admin_address,
                "state": "leaving" if instance.leaving else "live",
            },
        )

    async def set_object_api(self, mode: str, delay_ms: int = 0, lose_answers: int = 0) -> None:
        """Make the object API ``up``, ``down`` or ``slow``, or lose the next answers to writes."""
        fault = {"mode": mode, "delay_ms": delay_ms, "lose_answers": lose_answers}
        await self.post(f"{self.object_api_url}/control/faults", fault)

    async def control_endpoint(self, endpoint_id: str, **fields: typing.Any) -> None:
        """Change the behaviour of one endpoint (section 5.3 of the design)."""
        await self.post(f"{self.endpoint_urls[endpoint_id]}/control", fields)

    async def records(self) -> list[history_module.EndpointRecord]:
        """Return the records of all endpoints."""
        return await records.fetch(self.endpoint_urls, self.plan.endpoints)

    async def post(self, url: str, body: typing.Any) -> None:
        """Send a control call; raises ClientError."""
        assert self.session is not None
        async with self.session.post(url, json=body) as response:
            response.raise_for_status()

    async def put(self, url: str, body: typing.Any) -> None:
        """Send a control call; raises ClientError."""
        assert self.session is not None
        async with self.session.put(url, json=body) as response:
            response.raise_for_status()


async def start_server(
    server: object_api.ObjectApiStandin
    | instance_list.InstanceListStandin
    | engine.EngineServer
    | plain_service.PlainServer,
) -> str:
    """Start a stand-in on a port chosen by the operating system and return its URL."""
    port = await server.start(f"{HOST}:0")
    return f"http://{HOST}:{port}"


def change_deadline() -> float:
    """Return the monotonic deadline of an operator's change."""
    return clocks.deadline_after(CHANGE_SECONDS)


def unwrap(answer: result.Result[change.Accepted, errors.PublishingError]) -> change.Accepted:
    """Return the outcome of a change; raises its failure."""
    if isinstance(answer, result.Failure):
        raise answer.failure()
    return answer.unwrap()
