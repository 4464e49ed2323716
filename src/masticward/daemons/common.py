"""What both programs share: identity, platform clients, the peer server and signals."""

import asyncio
import os
import signal
import typing

import grpc.aio

from masticward import events, logs, metrics, settings
from masticward.coordination import view
from masticward.daemons import meters
from masticward.models import membership
from masticward.protocol import peers
from masticward.transport import admin_http, channels, instance_list, object_api
from masticward.utils import addresses, identifiers
from masticward.wire import masticward_pb2_grpc

SECOND_SIGNAL_EXIT_CODE = 1
# Sanic and grpcio finish their own clean-up within this time once no request is left.
SERVER_STOP_GRACE_SECONDS = 1.0

LOGGER = logs.get_logger(__name__)


class Node(admin_http.AdminSource):
    """The parts that every process of the system has.

    ``peer_port`` and ``admin_port`` are the ports in use after ``start``.
    """

    role: membership.Role

    def __init__(self, program_settings: settings.EntrySettings | settings.AgentSettings) -> None:
        self.program_settings = program_settings
        self.incarnation = identifiers.new_incarnation()
        self.metrics = metrics.ProcessMetrics()
        self.transport = channels.PeerTransport(program_settings.peer_security)
        self.channels = channels.ChannelPool(self.transport)
        self.admin = admin_http.AdminServer(program_settings.admin_address, self, self.metrics)
        self.server: grpc.aio.Server = self.transport.create_server()
        self.store = object_api.HttpObjectStore(program_settings.platform.object_api_url)
        self.instance_list = instance_list.HttpInstanceList(
            program_settings.platform.instance_list_url
        )
        self.peer_port = 0
        self.admin_port = 0
        self.stopping = False
        self.view: view.PlatformFleetView

    async def bind(self, service: str) -> membership.Instance:
        """Open the admin and peer ports and return this process as an instance."""
        self.admin_port = await self.admin.start()
        self.peer_port = self.transport.bind(self.server, self.program_settings.peer_address)
        return membership.Instance(
            id=self.program_settings.instance_id,
            role=self.role,
            service=service,
            availability_zone=self.program_settings.availability_zone,
            peer_address=self.program_settings.announced_peer_address
            or addresses.with_port(self.program_settings.peer_address, self.peer_port),
            admin_address=addresses.with_port(self.program_settings.admin_address, self.admin_port),
        )

    def create_view(self, instance: membership.Instance, watches_object_api: bool) -> None:
        """Create the fleet view and serve it to peers."""
        self.view = view.PlatformFleetView(
            instance,
            self.incarnation,
            self.program_settings.platform,
            self.channels,
            self.store,
            self.instance_list,
            watches_object_api,
        )
        meters.register_view(self.metrics, self.view)
        masticward_pb2_grpc.add_PeerServicer_to_server(peers.PeerServicer(self.view), self.server)

    async def start_serving(self) -> None:
        """Start the peer server and the fleet view."""
        await self.server.start()
        await self.view.start()
        LOGGER.log(
            events.Event.PROCESS_STARTED,
            instance=self.program_settings.instance_id,
            role=self.role.value,
            peer_port=self.peer_port,
            admin_port=self.admin_port,
        )

    async def close_common(self) -> None:
        """Close everything that both programs have."""
        await self.view.close()
        await self.server.stop(SERVER_STOP_GRACE_SECONDS)
        await self.channels.close()
        await self.store.close()
        await self.instance_list.close()
        await self.admin.close()
        LOGGER.log(events.Event.PROCESS_STOPPED, instance=self.program_settings.instance_id)

    def is_ready(self) -> bool:
        """Tell whether there is a configuration and no shutdown has begun."""
        return not self.stopping and self.view.configuration is not None

    def common_status(self) -> dict[str, typing.Any]:
        """Return the part of the status that both programs share."""
        configuration = self.view.configuration
        return {
            "instance_id": self.program_settings.instance_id,
            "incarnation": self.incarnation,
            "role": self.role.value,
            "availability_zone": self.program_settings.availability_zone,
            "config_version": configuration.version if configuration is not None else 0,
            "operations_version": self.view.operations.version,
            "zones_out": list(self.view.operations.zones_out),
            "instances_out": list(self.view.operations.instances_out),
            "stopping": self.stopping,
            "members": len(self.view.members()),
        }

    def explain(self, request_id: str) -> dict[str, typing.Any] | None:
        """Return None: only entries keep records of requests."""
        return None

    async def start(self) -> None:
        """Start the program."""
        raise NotImplementedError

    async def shutdown(self) -> None:
        """Finish the work at hand and stop."""
        raise NotImplementedError


async def run_until_signal(node: Node) -> int:
    """Run a program until SIGTERM or SIGINT; return the exit code."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()

    def handle_signal() -> None:
        if stop_requested.is_set():
            # The operator asked a second time: stop without finishing the work at hand.
            os._exit(SECOND_SIGNAL_EXIT_CODE)
        stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle_signal)
    await node.start()
    await stop_requested.wait()
    LOGGER.log(events.Event.PROCESS_STOPPING, instance=node.program_settings.instance_id)
    await node.shutdown()
    return 0
