"""The published configuration: services, teams and availability zones."""

import enum

import msgspec
import xxhash


class ServiceKind(enum.StrEnum):
    """The kind of endpoints that a service has."""

    LANGUAGE_MODEL = "language-model"
    PLAIN = "plain"


class Operation(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of call that a service offers, selected by method and path.

    ``path`` may end in ``/*``, which matches every path below it. ``cost`` is the fixed cost of a
    plain call in cost units; language-model calls are charged by tokens instead.
    """

    name: str
    method: str
    path: str
    idempotent: bool
    cost: float = 1.0


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of identical endpoints and the limits of each endpoint.

    ``cold_limit`` and ``warm_limit`` bound the concurrent calls of one endpoint. Weights are cost
    units per token. ``maximum_cost`` bounds the estimated cost of one request, in cost units.
    ``endpoints`` is the planned number of endpoints; the live ones come from the instance list.
    """

    name: str
    kind: ServiceKind
    operations: tuple[Operation, ...]
    cold_limit: int
    warm_limit: int
    endpoints: int
    prompt_token_weight: float = 0.1
    output_token_weight: float = 1.0
    maximum_cost: float = 10_000.0


def call_digest(service: Service, operation: Operation) -> int:
    """Return a digest of the settings on which entry and agent must agree to run a call."""
    return xxhash.xxh3_64_intdigest(msgspec.json.encode((service.name, service.kind, operation)))


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """A tenant, its share of each service and the SHA-256 hex digests of its credentials."""

    name: str
    share: float
    credential_digests: tuple[str, ...]


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One published configuration. Version 0 denotes the absence of a configuration."""

    version: int
    availability_zones: tuple[str, ...]
    services: tuple[Service, ...]
    teams: tuple[Team, ...]


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One published change.

    ``time`` is the operator's wall clock in ISO 8601, for information only. ``change_id`` is random
    and shows the writer whether its own write took effect.
    """

    time: str
    operator: str
    action: str
    from_version: int
    to_version: int
    changes: tuple[str, ...]
    change_id: str = ""


class RetiredShard(msgspec.Struct, frozen=True, kw_only=True):
    """A shard that manifest ``version`` ceased to reference, to be deleted later.

    ``stored_version`` is the object's version at that time; a shard that has been written again
    since then has another version.
    """

    name: str
    version: int
    stored_version: int


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """The object that lists the shards of one configuration.

    ``audit_rolled`` counts the oldest audit entries, moved to ``audit/config/<n>`` objects.
    """

    version: int
    availability_zones: tuple[str, ...]
    services: tuple[Service, ...]
    team_shards: tuple[str, ...]
    retired: tuple[RetiredShard, ...] = ()
    audit: tuple[AuditEntry, ...] = ()
    audit_rolled: int = 0


class OperationsState(msgspec.Struct, frozen=True, kw_only=True):
    """Availability zones and instances that operators have taken out of service."""

    version: int
    zones_out: tuple[str, ...] = ()
    instances_out: tuple[str, ...] = ()
    audit: tuple[AuditEntry, ...] = ()
    audit_rolled: int = 0


class TeamShard(msgspec.Struct, frozen=True, kw_only=True):
    """A subset of the teams, stored as ``config/shard/<content hash>``."""

    teams: tuple[Team, ...]
