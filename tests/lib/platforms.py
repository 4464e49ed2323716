"""Platform stand-ins, configurations and processes with a fleet view over real gRPC."""

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
# In tests nothing listens on the discard port of the loopback address.
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
    """Return a monotonic deadline that a call in a test does not normally reach."""
    return clocks.deadline_after(TIMEOUT_SECONDS)


async def wait_until(
    condition: collections.abc.Callable[[], bool],
    description: str,
    seconds: float = TIMEOUT_SECONDS,
) -> float:
    """Wait until a condition holds and return the seconds it took; fail after ``seconds``."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() > started + seconds:
            raise AssertionError(f"not within {seconds} s: {description}")
        await asyncio.sleep(0.01)
    return time.monotonic() - started


class Partition(forwarder.Forwarder):
    """A forwarder in front of a peer that can simulate a network partition."""

    def begin(self) -> None:
        """Hold back all traffic, as if packets were dropped."""
        self.set_mode(forwarder.ForwarderMode.DROP)

    def heal(self) -> None:
        """Forward all traffic again, including what was held back."""
        self.set_mode(forwarder.ForwarderMode.PASS)

    def heal_for_new_connections(self) -> None:
        """Forward new connections only, as if TCP back-off delayed the existing ones."""
        self.passing = asyncio.Event()
        self.heal()


class Process:
    """A process with a view and a peer server."""

    def __init__(self, platform: "Platform", instance: membership.Instance) -> None:
        self.platform = platform
        self.instance = instance
        self.partition: Partition | None = None

    async def start(
        self, watches_object_api: bool, object_api_url: str, incarnation: int, partitionable: bool
    ) -> None:
        """Start the server and the view, and add the instance to the instance list."""
        transport = channels.PeerTransport(SECURITY)
        self.pool = channels.ChannelPool(transport)
        self.server = transport.create_server()
        port = transport.bind(self.server, ANY_PORT)
        address = f"{HOST}:{port}"
        if partitionable:
            self.partition = Partition(HOST, port)
            address = f"{HOST}:{await self.partition.start(ANY_PORT)}"
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
        """The configuration version and the operations version of the process."""
        return self.view.versions.config_version, self.view.versions.operations_version

    async def stop(self) -> None:
        """Stop without announcing it, as in a crash. The instance stays in the instance list."""
        await self.view.close()
        await self.server.stop(None)
        await self.pool.close()
        await self.store.close()
        await self.list.close()
        if self.partition is not None:
            await self.partition.close()


class Platform:
    """Stand-ins for the object API and instance list, and the processes of one test."""

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
        """Stop the processes and stand-ins."""
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
        partitionable: bool = False,
    ) -> Process:
        """Start a process. Entries watch the object API."""
        process = Process(self, instance)
        self.processes.append(process)
        watches_object_api = instance.role is membership.Role.ENTRY
        await process.start(
            watches_object_api, object_api_url or self.store_url, incarnation, partitionable
        )
        return process

    async def stop_process(self, process: Process) -> None:
        """Stop a process, which stays in the instance list."""
        self.processes.remove(process)
        await process.stop()

    def list_instance(self, instance: membership.Instance) -> None:
        """Add an instance to the instance list, or replace it."""
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
        """Publish a configuration whose teams have the given share and number."""
        outcome = await publisher.Publisher(self.store, "tester").publish(
            make_configuration(share, teams), make_deadline()
        )
        return outcome.unwrap()

    def operator(self, name: str = "tester") -> operations.OperationsChange:
        """Return an object that makes the changes of one operator."""
        return operations.OperationsChange(self.store, self.list, name)
