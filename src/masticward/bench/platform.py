"""The stand-ins that a fleet under measurement needs, in the current event loop."""

import typing

import aiohttp

from masticward import settings as settings_module
from masticward.bench import history as history_module
from masticward.bench import plans, records
from masticward.models import configuration as configuration_models
from masticward.models import membership
from masticward.standins import engine, forwarder, instance_list, object_api, plain_service

CONTROL_TIMEOUT_SECONDS = 5.0
HOST = "127.0.0.1"


class Platform:
    """Object API, instance list and endpoints, each reached through HTTP as in production.

    Programs reach the object API and the instance list through forwarders, which count the bytes
    and can cut a single program off.
    """

    def __init__(self, plan: plans.FleetPlan) -> None:
        self.plan = plan
        self.object_api = object_api.ObjectApiServer()
        self.instance_list = instance_list.InstanceListServer()
        self.endpoints: dict[str, engine.EngineServer | plain_service.PlainServiceServer] = {}
        self.endpoint_urls: dict[str, str] = {}
        self.object_api_url = ""
        self.instance_list_url = ""
        self.forwarders: dict[str, forwarder.Forwarder] = {}
        self.session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Start all stand-ins; raises OSError."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.object_api_url = await start_server(self.object_api)
        self.instance_list_url = await start_server(self.instance_list)
        for endpoint in self.plan.endpoints:
            server: engine.EngineServer | plain_service.PlainServiceServer
            if endpoint.kind is configuration_models.ServiceKind.LANGUAGE_MODEL:
                server = engine.EngineServer()
            else:
                server = plain_service.PlainServiceServer()
            self.endpoints[endpoint.id] = server
            self.endpoint_urls[endpoint.id] = await start_server(server)
            service = self.plan.service(endpoint.service)
            await self.control_endpoint(
                endpoint.id, cold_limit=service.cold_limit, warm_limit=service.warm_limit
            )

    async def close(self) -> None:
        """Close all stand-ins."""
        for relay in self.forwarders.values():
            await relay.close()
        for server in self.endpoints.values():
            await server.close()
        await self.instance_list.close()
        await self.object_api.close()
        if self.session is not None:
            await self.session.close()

    async def settings_for(self, instance_id: str) -> settings_module.PlatformSettings:
        """Return the platform settings of one program, through forwarders of its own."""
        relays = []
        for name, url in (("objects", self.object_api_url), ("list", self.instance_list_url)):
            relay = forwarder.Forwarder(HOST, int(url.rpartition(":")[2]))
            await relay.start()
            self.forwarders[f"{instance_id}/{name}"] = relay
            relays.append(relay)
        return settings_module.PlatformSettings(
            object_api_url=f"http://{HOST}:{relays[0].port}",
            instance_list_url=f"http://{HOST}:{relays[1].port}",
        )

    def platform_bytes(self) -> int:
        """Return the bytes exchanged so far with the object API and the instance list."""
        return sum(relay.bytes_up + relay.bytes_down for relay in self.forwarders.values())

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

    async def unlist(self, instance_id: str) -> None:
        """Remove an instance from the instance list."""
        assert self.session is not None
        url = f"{self.instance_list_url}/control/instances/{instance_id}"
        async with self.session.delete(url) as response:
            response.raise_for_status()

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
    server: object_api.ObjectApiServer
    | instance_list.InstanceListServer
    | engine.EngineServer
    | plain_service.PlainServiceServer,
) -> str:
    """Start a stand-in on a port chosen by the operating system and return its URL."""
    port = await server.start(f"{HOST}:0")
    return f"http://{HOST}:{port}"
