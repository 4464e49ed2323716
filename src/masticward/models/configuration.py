"""The published configuration: services, teams and availability zones."""

import enum

import msgspec
import xxhash


class ServiceKind(enum.StrEnum):
    """How the endpoints of a service behave."""

    LANGUAGE_MODEL = "language-model"
    PLAIN = "plain"


class Operation(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of call of a service, chosen by method and path.

    ``path`` may end in ``/*``, which matches every path below it. ``cost`` is the fixed cost of a
    plain call in cost units; a language-model call is charged by tokens.
    """

    name: str
    method: str
    path: str
    idempotent: bool
    cost: float = 1.0


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of like endpoints with the limits each of them bears.

    Limits count concurrent calls of one endpoint. Weights are cost units per token.
    ``maximum_cost`` bounds the estimate for one request, in cost units. ``endpoints`` is the number
    of endpoints the service is planned with; the live ones come from the instance list.
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
    """Return a digest of what entry and agent must agree on to run a call of an operation."""
    return xxhash.xxh3_64_intdigest(msgspec.json.encode((service.name, service.kind, operation)))


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """A tenant with its share of each service and the SHA-256 hex digests of its credentials."""

    name: str
    share: float
    credential_digests: tuple[str, ...]


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted configuration. Version 0 means that there is none."""

    version: int
    availability_zones: tuple[str, ...]
    services: tuple[Service, ...]
    teams: tuple[Team, ...]


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change. ``time`` is the operator's wall clock in ISO 8601, for people only.

    ``change_id`` is random; it tells the writer whether its own write took effect.
    """

    time: str
    operator: str
    action: str
    from_version: int
    to_version: int
    changes: tuple[str, ...]
    change_id: str = ""


class RetiredShard(msgspec.Struct, frozen=True, kw_only=True):
    """A shard that is no longer named since manifest ``version``, to be deleted later.

    ``stored_version`` is the object's version then; a shard written again since has another one.
    """

    name: str
    version: int
    stored_version: int


class Manifest(msgspec.Struct, frozen=True, kw_only=True):
    """The small object that names the shards of one configuration.

    ``audit_rolled`` counts the oldest audit entries, which are in ``audit/config/<n>`` objects.
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
    """A part of the teams, stored as ``config/shard/<hash of the content>``."""

    teams: tuple[Team, ...]
