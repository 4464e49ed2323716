"""The agent program: wiring and shutdown."""

import typing

from masticward import settings
from masticward.coordination import dispatcher, endpoint_runner, offers
from masticward.daemons import common, meters
from masticward.models import configuration, membership
from masticward.protocol import attempt_server, dispatch_server
from masticward.transport import endpoint
from masticward.wire import masticward_pb2_grpc


class AgentDaemon(common.Node):
    """The agent beside one endpoint, which may also dispatch the endpoint's service."""

    role = membership.Role.AGENT

    def __init__(self, agent_settings: settings.AgentSettings) -> None:
        super().__init__(agent_settings)
        self.settings = agent_settings
        self.endpoint: endpoint.Endpoint = create_endpoint(agent_settings.endpoint)
        self.runner: endpoint_runner.EndpointRunner
        self.dispatcher: dispatcher.Dispatcher
        self.offers: offers.OfferLoop

    async def start(self) -> None:
        """Start all parts; slots are offered once the endpoint's state is known."""
        service = self.settings.endpoint.service
        instance = await self.bind(service)
        self.create_view(instance, watches_object_api=False)
        self.runner = endpoint_runner.EndpointRunner(
            self.view,
            self.endpoint,
            instance,
            self.incarnation,
            service,
            process_metrics=self.metrics,
            load_period_seconds=self.settings.endpoint.load_period_seconds,
        )
        self.dispatcher = dispatcher.Dispatcher(self.view, service, self.settings.queue_policy)
        meters.register_dispatcher(self.metrics, self.dispatcher)
        masticward_pb2_grpc.add_AttemptServicer_to_server(
            attempt_server.AttemptServicer(self.runner), self.server
        )
        masticward_pb2_grpc.add_DispatchServicer_to_server(
            dispatch_server.DispatchServicer(self.dispatcher), self.server
        )
        self.offers = offers.OfferLoop(
            self.view, self.channels, self.runner, instance, self.incarnation
        )
        await self.start_serving()
        self.runner.start()
        await self.dispatcher.start()
        await self.offers.start()

    async def shutdown(self) -> None:
        """Refuse new attempts, finish running and staged work, then stop."""
        self.stopping = True
        self.view.announce_leaving()
        self.runner.begin_drain()
        await self.runner.drained()
        await self.offers.close()
        await self.dispatcher.close()
        await self.runner.close()
        await self.endpoint.close()
        await self.close_common()

    def status(self) -> dict[str, typing.Any]:
        """Return versions, the endpoint's admission state and the dispatcher's figures."""
        return {
            **self.common_status(),
            "service": self.settings.endpoint.service,
            "endpoint": self.endpoint_figures(),
            "dispatch": self.dispatcher.status(),
        }

    def endpoint_figures(self) -> dict[str, typing.Any]:
        """Return the admission state of the endpoint and the calls at it."""
        limit = self.runner.capacity.limit
        return {
            "state": limit.state.value,
            "limit": limit.limit,
            "running": len(self.runner.running),
            "staged": len(self.runner.staged),
            "leaving": self.view.is_leaving(self.settings.instance_id),
            "out": self.view.is_out_of_service(
                self.settings.instance_id, self.settings.availability_zone
            ),
        }


def create_endpoint(endpoint_settings: settings.EndpointSettings) -> endpoint.Endpoint:
    """Return the client for the kind of endpoint beside the agent."""
    if endpoint_settings.kind is configuration.ServiceKind.LANGUAGE_MODEL:
        return endpoint.EngineEndpoint(endpoint_settings.url)
    return endpoint.PlainEndpoint(endpoint_settings.url)
