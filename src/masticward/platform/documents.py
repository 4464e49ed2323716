"""Decoding of the platform's stored objects into the gateway's types.

The struct fields have the names of the stored documents.
"""

import typing

import msgspec

from masticward import errors
from masticward.gateway import sources
from masticward.models import gateway, rollouts
from masticward.platform import headers, names
from masticward.utils import addresses, clocks

KINDS = {
    "idempotent": gateway.RequestKind.IDEMPOTENT,
    "non_idempotent": gateway.RequestKind.NON_IDEMPOTENT,
    "stream": gateway.RequestKind.STREAM,
}


NUMBER_BOUNDS = msgspec.Meta(ge=-headers.MAX_NUMBER, le=headers.MAX_NUMBER)
WholeNumber = typing.Annotated[int, NUMBER_BOUNDS]
Milliseconds = typing.Annotated[float, NUMBER_BOUNDS]
# Gateways send these to each other in datagrams.
MAX_NAME_LENGTH = 200
Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
# What decoding raises for text that cannot be read.
UNREADABLE = (msgspec.DecodeError, RecursionError, ValueError, OverflowError)


class ServerEntry(msgspec.Struct):
    """An endpoint's registration."""

    service: Name
    address: Name
    zone: Name
    state: str
    slots: WholeNumber = 1
    born: WholeNumber = 0  # start time in Unix milliseconds; grows with each incarnation
    cold_remaining_ms: Milliseconds = 0.0
    version: msgspec.Raw = msgspec.Raw(b"null")  # a name; anything else counts as unknown


class RolloutEntry(msgspec.Struct):
    """An order to move a service, which names the object, to endpoints of a version."""

    target: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    duration_s: typing.Annotated[float, msgspec.Meta(gt=0, le=headers.MAX_NUMBER)]


class RolloutStatus(msgspec.Struct):
    """The state of an order."""

    state: rollouts.RolloutState
    target: str | None = None


class SplitEntry(msgspec.Struct):
    """One service in a route's weighted traffic split."""

    service: str
    weight: float


class RouteEntry(msgspec.Struct):
    """A route of the configuration."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 1000.0
    max_attempts: WholeNumber = 1
    service: str | None = None
    weighted_services: list[SplitEntry] | None = None
    public: bool = False
    resumable: bool = False


class EngineEntry(msgspec.Struct):
    """The engine capacity of a service."""

    slots: WholeNumber
    kv_capacity_tokens: WholeNumber


class ServiceEntry(msgspec.Struct):
    """A service of the configuration."""

    name: str
    max_connections: WholeNumber = 100
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineEntry | None = None


class LimitsEntry(msgspec.Struct):
    """Limits on client requests."""

    max_header_bytes: WholeNumber = 16384
    max_body_bytes: WholeNumber = 4194304
    header_timeout_ms: Milliseconds = 3000
    idle_timeout_ms: Milliseconds = 15000


class TenantEntry(msgspec.Struct):
    """A team with its API keys."""

    name: str
    api_keys: list[str] = []


class ConfigurationEntry(msgspec.Struct):
    """The complete configuration."""

    version: WholeNumber
    routes: list[RouteEntry]
    services: list[ServiceEntry]
    limits: LimitsEntry = msgspec.field(default_factory=LimitsEntry)
    tenants: list[TenantEntry] | None = None


def has_members(text: msgspec.Raw) -> bool:
    """Return whether a JSON value is an object that is not empty."""
    stripped = bytes(text).strip()
    return stripped[:1] == b"{" and bool(stripped[1:-1].strip())


def decode_endpoint(name: str, spec: msgspec.Raw, status: msgspec.Raw) -> gateway.Endpoint | None:
    """Return an endpoint; None if the object does not describe a usable endpoint.

    Raise one of ``UNREADABLE`` if it describes nothing.
    """
    text = spec if has_members(spec) else status
    entry = msgspec.json.decode(text, type=ServerEntry)
    if entry.state not in (names.STATE_READY, names.STATE_DRAINING):
        return None
    if len(name) > MAX_NAME_LENGTH or not addresses.is_usable(entry.address):
        return None
    return gateway.Endpoint(
        id=name,
        service=entry.service,
        address=entry.address,
        availability_zone=entry.zone,
        slots=max(1, entry.slots),
        born=entry.born,
        draining=entry.state == names.STATE_DRAINING,
        cold_until=clocks.boot_time() + entry.cold_remaining_ms / clocks.MILLISECONDS_PER_SECOND,
        version=decode_version(entry.version),
    )


def decode_version(text: msgspec.Raw) -> str:
    """Return the version of an endpoint, "" without a usable one."""
    try:
        return msgspec.json.decode(text, type=Name)
    except UNREADABLE:
        return ""


def decode_order(
    name: str, spec: msgspec.Raw, status: msgspec.Raw, revision: int
) -> rollouts.Order:
    """Return an order to roll out a version; raise one of ``UNREADABLE`` if it is none.

    A status that cannot be read, or of another target, counts as missing.
    """
    entry = msgspec.json.decode(spec, type=RolloutEntry)
    state = None
    try:
        written = msgspec.json.decode(status, type=RolloutStatus)
        state = written.state if written.target in (None, entry.target) else None
    except UNREADABLE:
        pass
    return rollouts.Order(
        service=name,
        target=entry.target,
        duration_seconds=entry.duration_s,
        revision=revision,
        state=state,
    )


def decode_route(entry: RouteEntry) -> gateway.Route:
    """Return a route; raise ConfigurationError for an unknown kind."""
    kind = KINDS.get(entry.kind)
    if kind is None:
        raise errors.ConfigurationError([f"route {entry.name}: unknown kind {entry.kind!r}"])
    split = entry.weighted_services or []
    if entry.service is not None:
        split = [SplitEntry(entry.service, 1.0)]
    return gateway.Route(
        name=entry.name,
        host=entry.host.lower(),
        path_prefix=entry.path_prefix,
        kind=kind,
        timeout_seconds=entry.timeout_ms / clocks.MILLISECONDS_PER_SECOND,
        target_latency_seconds=entry.target_latency_ms / clocks.MILLISECONDS_PER_SECOND,
        max_attempts=max(1, entry.max_attempts),
        shares=tuple(gateway.ServiceShare(part.service, part.weight) for part in split),
        public=entry.public,
        resumable=entry.resumable,
    )


def decode_configuration(spec: msgspec.Raw) -> gateway.FleetConfiguration:
    """Return a configuration; raise ConfigurationError with the path of an invalid field."""
    try:
        entry = msgspec.json.decode(spec, type=ConfigurationEntry)
    except UNREADABLE as error:
        raise errors.ConfigurationError([f"configuration: {error}"]) from error
    limits = entry.limits
    team_of_key = None
    if entry.tenants is not None:
        team_of_key = {key: team.name for team in entry.tenants for key in team.api_keys}
    return gateway.FleetConfiguration(
        version=entry.version,
        routes=tuple(decode_route(route) for route in entry.routes),
        services={
            service.name: gateway.Service(
                name=service.name,
                max_connections=service.max_connections,
                cold_start_seconds=service.cold_start_s,
                cold_requests_per_second=service.cold_per_s,
                engine=gateway.Engine(service.engine.slots, service.engine.kv_capacity_tokens)
                if service.engine
                else None,
            )
            for service in entry.services
        },
        limits=gateway.ClientLimits(
            head_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            head_timeout_seconds=limits.header_timeout_ms / clocks.MILLISECONDS_PER_SECOND,
            idle_timeout_seconds=limits.idle_timeout_ms / clocks.MILLISECONDS_PER_SECOND,
        ),
        team_of_key=team_of_key,
    )


# The kinds that the gateways themselves write.
OWN_TYPES = {
    sources.ObjectKind.MEMBERS: sources.Member,
    sources.ObjectKind.QUARANTINES: sources.StoredQuarantine,
}


def decode_object(
    kind: sources.ObjectKind, name: str, spec: msgspec.Raw, status: msgspec.Raw, revision: int = 0
) -> typing.Any:
    """Return the value of a stored object; None if it is not usable.

    ``revision`` is the object's own, which only orders of rollouts need.

    Raise ConfigurationError if the object is an invalid configuration, one of ``UNREADABLE`` if it
    is no endpoint's entry.
    """
    if kind is sources.ObjectKind.ENDPOINTS:
        return decode_endpoint(name, spec, status)
    if kind in (sources.ObjectKind.CONFIGURATION, sources.ObjectKind.PROOFS):
        return decode_configuration(spec) if name == names.CONFIGURATION_NAME else None
    if kind is sources.ObjectKind.ROLLOUTS:
        return decode_order(name, spec, status, revision)
    if kind in OWN_TYPES:
        try:
            return msgspec.json.decode(spec, type=OWN_TYPES[kind])
        except UNREADABLE:
            return None
    return name
