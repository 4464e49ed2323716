"""Builds stand-ins, configurations and processes with a view over real gRPC for tests."""

import asyncio
import collections.abc
import logging
import time

import msgspec

from masticward import logs, settings
from masticward.coordination import view
from masticward.models import configuration, membership
from masticward.protocol import peers
from masticward.publishing import change, operations, publisher
from masticward.standins import forwarder
from masticward.standins import instance_list as instance_list_standin
from masticward.standins import object_api as object_api_standin
from masticward.transport import channels, instance_list, object_api
from masticward.utils import addresses, clocks
from masticward.wire import masticward_pb2_grpc

HOST = addresses.own_loopback_host()
ANY_PORT = f"{HOST}:0"
# Nothing listens on the discard port of the loopback address in a test.
UNREACHABLE_URL = "http://127.0.0.1:9"
TIMEOUT_SECONDS = 20.0
logs.configure(logging.CRITICAL)

SECURITY = settings.PeerSecurity(mode=settings.SecurityMode.SHARED_KEY, shared_key="test-key")


def make_configuration(share: float = 1.0, teams: int = 2) -> configuration.Configuration:
    """Return a configuration of two zones and one plain service; its version is 0."""
    service = configuration.Service(
        name="ledger",
        kind=configuration.ServiceKind.PLAIN,
        operations=(
            configuration.Operation(
                name="post", method="POST", path="/v1/entries", idempotent=False
            ),
        ),
        cold_limit=1,
        warm_limit=2,
        endpoints=2,
    )
    return configuration.Configuration(
        version=0,
        availability_zones=("north", "south"),
        services=(service,),
        teams=tuple(
            configuration.Team(
                name=f"team-{number}", share=share, credential_digests=(f"{number:064x}",)
            )
            for number in range(teams)
        ),
    )


def make_entry(name: str = "e1", **fields: object) -> membership.Instance:
    """Return an entry instance."""
    base = membership.Instance(
        id=name,
        role=membership.Role.ENTRY,
        service="",
        availability_zone="north",
        peer_address="127.0.0.1:1",
    )
    return msgspec.structs.replace(base, **fields)


def make_agent(name: str = "a1", **fields: object) -> membership.Instance:
    """Return an agent instance of the service ``ledger``."""
    return make_entry(name, role=membership.Role.AGENT, service="ledger", **fields)


def make_deadline() -> float:
    """Return a generous monotonic deadline."""
    return clocks.deadline_after(TIMEOUT_SECONDS)


async def wait_until(
    condition: collections.abc.Callable[[], bool], what: str, seconds: float = TIMEOUT_SECONDS
) -> float:
    """Wait until a condition holds and return the seconds it took; fail after ``seconds``."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() > started + seconds:
            raise AssertionError(f"not within {seconds} s: {what}")
        await asyncio.sleep(0.01)
    return time.monotonic() - started


class Partition(forwarder.Forwarder):
    """The network in front of a peer."""

    def begin(self) -> None:
        """Pass nothing on."""
        self.set_mode(forwarder.ForwarderMode.DROP)

    def heal(self) -> None:
        """Pass everything on, also what was held back."""
        self.set_mode(forwarder.ForwarderMode.PASS)

    def heal_for_new_connections(self) -> None:
        """Pass new connections only, as if TCP had backed off long on the others."""
        self.passing = asyncio.Event()
        self.heal()


class Process:
    """A process with a view and a peer server."""

    def __init__(self, platform: "Platform", instance: membership.Instance) -> None:
        self.platform = platform
        self.instance = instance
        self.gate: Partition | None = None

    async def start(
        self, watches_object_api: bool, object_api_url: str, incarnation: int, gated: bool
    ) -> None:
        """Start the server and the view, and list the instance."""
        transport = channels.PeerTransport(SECURITY)
        self.pool = channels.ChannelPool(transport)
        self.server = transport.create_server()
        port = transport.bind(self.server, ANY_PORT)
        address = f"{HOST}:{port}"
        if gated:
            self.gate = Partition(HOST, port)
            address = f"{HOST}:{await self.gate.start(ANY_PORT)}"
        self.instance = msgspec.structs.replace(self.instance, peer_address=address)
        self.store = object_api.HttpObjectStore(object_api_url)
        self.list = instance_list.HttpInstanceList(self.platform.list_url)
        self.view = view.PlatformFleetView(
            self.instance,
            incarnation,
            settings.PlatformSettings(
                object_api_url=object_api_url,
                instance_list_url=self.platform.list_url,
                instance_list_period_seconds=0.2,
                call_timeout_seconds=1.0,
            ),
            self.pool,
            self.store,
            self.list,
            watches_object_api,
        )
        masticward_pb2_grpc.add_PeerServicer_to_server(peers.PeerServicer(self.view), self.server)
        await self.server.start()
        self.platform.list_instance(self.instance)
        await self.view.start()

    @property
    def versions(self) -> tuple[int, int]:
        """The configuration and operations versions that the process holds."""
        return self.view.versions.config_version, self.view.versions.operations_version

    async def stop(self) -> None:
        """Stop without a word, as a crash does; the instance stays listed."""
        await self.view.close()
        await self.server.stop(None)
        await self.pool.close()
        await self.store.close()
        await self.list.close()
        if self.gate is not None:
            await self.gate.close()


class Platform:
    """Object API and instance list stand-ins with the processes of one test."""

    def __init__(self) -> None:
        self.objects = object_api_standin.ObjectApiStandin()
        self.instances = instance_list_standin.InstanceListStandin()
        self.processes: list[Process] = []

    async def start(self) -> None:
        """Start the stand-ins."""
        self.store_url = f"http://{HOST}:{await self.objects.start(ANY_PORT)}"
        self.list_url = f"http://{HOST}:{await self.instances.start(ANY_PORT)}"
        self.store = object_api.HttpObjectStore(self.store_url)
        self.list = instance_list.HttpInstanceList(self.list_url)

    async def close(self) -> None:
        """Stop everything."""
        for process in self.processes:
            await process.stop()
        await self.store.close()
        await self.list.close()
        await self.objects.close()
        await self.instances.close()

    async def add(
        self,
        instance: membership.Instance,
        object_api_url: str = "",
        incarnation: int = 1,
        gated: bool = False,
    ) -> Process:
        """Start one process; entries watch the object API."""
        process = Process(self, instance)
        self.processes.append(process)
        watches_object_api = instance.role is membership.Role.ENTRY
        await process.start(
            watches_object_api, object_api_url or self.store_url, incarnation, gated
        )
        return process

    async def stop_process(self, process: Process) -> None:
        """Stop one process."""
        self.processes.remove(process)
        await process.stop()

    def list_instance(self, instance: membership.Instance) -> None:
        """List an instance."""
        self.instances.set_instance(
            instance_list_standin.ListedInstance(
                id=instance.id,
                role=instance.role.value,
                zone=instance.availability_zone,
                peer_address=instance.peer_address,
                service=instance.service,
                state="leaving" if instance.leaving else "live",
            )
        )

    async def publish(self, share: float, teams: int = 2) -> change.Accepted:
        """Publish a configuration that differs by its share or its number of teams."""
        outcome = await publisher.Publisher(self.store, "tester").publish(
            make_configuration(share, teams), make_deadline()
        )
        return outcome.unwrap()

    def operator(self, name: str = "tester") -> operations.OperationsChange:
        """Return the changes of one operator."""
        return operations.OperationsChange(self.store, self.list, name)
