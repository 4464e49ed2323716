"""Which entries and endpoints a fleet under measurement has, and the settings of its programs."""

import msgspec

from masticward import settings as settings_module
from masticward.models import configuration as configuration_models
from masticward.utils import addresses, identifiers

ANY_LOCAL_PORT = f"{addresses.own_loopback_host()}:0"


class EntryPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One entry."""

    id: str
    availability_zone: str


class EndpointPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One endpoint with its agent; both have the same id."""

    id: str
    service: str
    kind: configuration_models.ServiceKind
    availability_zone: str


class FleetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A fleet with its configuration. ``credentials`` holds one credential for each team."""

    configuration: configuration_models.Configuration
    credentials: dict[str, str]
    entries: tuple[EntryPlan, ...]
    endpoints: tuple[EndpointPlan, ...]
    queue_policy: settings_module.QueuePolicyName = settings_module.QueuePolicyName.FAIR_SHARE
    # A key for each fleet: a port that another fleet has left must not let its processes in.
    shared_key: str = msgspec.field(default_factory=identifiers.new_identifier)

    def service(self, name: str) -> configuration_models.Service:
        """Return a service by name; raises StopIteration if there is none."""
        return next(item for item in self.configuration.services if item.name == name)

    def capacity(self, name: str) -> int:
        """Return how many concurrent calls all warm endpoints of a service may run."""
        count = sum(1 for endpoint in self.endpoints if endpoint.service == name)
        return count * self.service(name).warm_limit

    def shares(self) -> dict[str, float]:
        """Return the share of each team."""
        return {team.name: team.share for team in self.configuration.teams}


def spread(
    configuration: configuration_models.Configuration,
    credentials: dict[str, str],
    entries: int,
    queue_policy: settings_module.QueuePolicyName = settings_module.QueuePolicyName.FAIR_SHARE,
) -> FleetPlan:
    """Return a plan with the configured number of endpoints, spread evenly over the zones."""
    zones = configuration.availability_zones
    endpoints = [
        EndpointPlan(
            id=f"{service.name}-{number + 1}",
            service=service.name,
            kind=service.kind,
            availability_zone=zones[number % len(zones)],
        )
        for service in configuration.services
        for number in range(service.endpoints)
    ]
    return FleetPlan(
        configuration=configuration,
        credentials=credentials,
        entries=tuple(
            EntryPlan(id=f"entry-{number + 1}", availability_zone=zones[number % len(zones)])
            for number in range(entries)
        ),
        endpoints=tuple(endpoints),
        queue_policy=queue_policy,
    )


def peer_security(plan: FleetPlan) -> settings_module.PeerSecurity:
    """Return the authentication that all programs of the fleet share."""
    return settings_module.PeerSecurity(
        mode=settings_module.SecurityMode.SHARED_KEY, shared_key=plan.shared_key
    )


def entry_settings(
    plan: FleetPlan,
    entry: EntryPlan,
    platform: settings_module.PlatformSettings,
    limits: settings_module.EntryLimits | None = None,
) -> settings_module.EntrySettings:
    """Return the settings of one entry on ports chosen by the operating system."""
    return settings_module.EntrySettings(
        instance_id=entry.id,
        availability_zone=entry.availability_zone,
        http_address=ANY_LOCAL_PORT,
        peer_address=ANY_LOCAL_PORT,
        admin_address=ANY_LOCAL_PORT,
        platform=platform,
        peer_security=peer_security(plan),
        limits=limits or settings_module.EntryLimits(),
    )


def agent_settings(
    plan: FleetPlan,
    endpoint: EndpointPlan,
    endpoint_url: str,
    platform: settings_module.PlatformSettings,
) -> settings_module.AgentSettings:
    """Return the settings of the agent beside one endpoint."""
    return settings_module.AgentSettings(
        instance_id=endpoint.id,
        availability_zone=endpoint.availability_zone,
        peer_address=ANY_LOCAL_PORT,
        admin_address=ANY_LOCAL_PORT,
        platform=platform,
        peer_security=peer_security(plan),
        endpoint=settings_module.EndpointSettings(
            service=endpoint.service, kind=endpoint.kind, url=endpoint_url
        ),
        queue_policy=plan.queue_policy,
    )
