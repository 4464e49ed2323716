"""What the gateway knows of routes, services, endpoints and requests.

Deadlines and moments are seconds of ``clocks.boot_time`` unless a field says otherwise.
"""

import enum

import msgspec


class RequestKind(enum.Enum):
    """What may be done with a request of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """A part of a route's requests that goes to one service."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_seconds: float
    target_latency_seconds: float
    max_attempts: int
    shares: tuple[ServiceShare, ...]
    public: bool = False
    resumable: bool = False

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


class Engine(msgspec.Struct, frozen=True):
    """The declared capacity of a model engine."""

    slots: int
    cache_tokens: int


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of like endpoints."""

    name: str
    max_connections: int
    cold_start_seconds: float
    cold_requests_per_second: float
    engine: Engine | None = None


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a client may send, and how long it may take."""

    head_bytes: int = 16384
    body_bytes: int = 4194304
    head_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


class FleetConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted configuration. ``team_of_key`` is None where requests carry no keys."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits
    team_of_key: dict[str, str] | None = None


class Endpoint(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of an endpoint as the platform lists it."""

    id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    born: int = 0
    draining: bool = False
    cold_until: float = 0.0


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that requests may share."""

    id: str
    tokens: int


class RequestMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """What a client's request says of itself. ``forwarded`` holds the headers to pass on."""

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    deadline: float
    api_key: str | None
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    last_event_id: str | None
    forwarded: tuple[tuple[bytes, bytes], ...]
    arrived_at: float


class ResponseMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """What the head of an endpoint's answer says besides its status."""

    request_id: str | None
    proven: bool
    not_run: bool
    encoded: bool
    keep_alive_seconds: float | None
    closes: bool
    running: int | None
    waiting: int | None


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that hold for the fleet as a whole."""

    revoke_seconds: float
    stop_grace_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_slack: float
    cold_overage: float
    cold_slack: float


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one gateway process. Addresses are ``IP:port``."""

    instance_id: str
    ip: str
    availability_zone: str
    client_address: str
    ready_address: str
    peer_port: int
    seed_ips: tuple[str, ...]
    store_address: str
    bounds: Bounds
