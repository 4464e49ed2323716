"""Data types of the gateway: routes, services, endpoints, requests and settings.

Deadlines and points in time are in seconds of ``clocks.boot_time`` unless a field says otherwise.
"""

import enum

import msgspec


class RequestKind(enum.Enum):
    """Whether a route's requests may be retried, and whether they are streamed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """The weight of one service in a route's traffic split."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A route, matched by host and path prefix.

    Requests of a ``public`` route need no API key. A broken stream of a ``resumable`` route is
    resumed at another endpoint after the last event that was sent to the client.
    """

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
        """Whether a request may be executed more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable


class Engine(msgspec.Struct, frozen=True):
    """The declared capacity of a model engine: concurrent requests and cached tokens."""

    slots: int
    cache_tokens: int


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of interchangeable endpoints."""

    name: str
    max_connections: int
    cold_start_seconds: float
    cold_requests_per_second: float
    engine: Engine | None = None


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size and duration of a client's requests."""

    head_bytes: int = 16384
    body_bytes: int = 4194304
    head_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


class FleetConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted configuration. ``team_of_key`` is None if requests carry no API keys."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ClientLimits
    team_of_key: dict[str, str] | None = None


class Endpoint(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One incarnation of an endpoint, as listed by the platform; ``version`` is "" if unknown."""

    id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    born: int = 0
    draining: bool = False
    cold_until: float = 0.0
    version: str = ""

    @property
    def incarnation(self) -> str:
        """ID of one life of the endpoint; it may start again under the ID that it had."""
        return f"{self.id}@{self.born}" if self.born else self.id

    def to_relative(self, now: float) -> "Endpoint":
        """Return a copy for another process: ``cold_until`` holds the remaining seconds."""
        return msgspec.structs.replace(self, cold_until=max(0.0, self.cold_until - now))

    def to_absolute(self, now: float) -> "Endpoint":
        """Return a copy with the deadline of an endpoint that ``to_relative`` returned."""
        return msgspec.structs.replace(self, cold_until=now + self.cold_until)


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt. Requests with the same leading parts share a prefix."""

    id: str
    tokens: int


class RequestMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata of a client's request. ``forwarded_headers`` go on to the endpoint."""

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
    forwarded_headers: tuple[tuple[bytes, bytes], ...]
    arrived_at: float


class ResponseMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata from the headers of an endpoint's response.

    ``signed`` is set if the response carries the endpoint's signature, ``not_run`` if the
    endpoint did not execute the request, ``encoded`` if the body has a content encoding, and
    ``closes`` if the connection ends after the response, ``leaving`` if the endpoint says that it
    wants no further request because it leaves. It wants none for ``wanted_pause_seconds``, None if
    it does not say so. ``running`` and ``waiting`` count
    requests at the endpoint, which runs up to ``slots`` at once. ``work_percent`` is how long work
    currently takes there, in percent of the normal time. Each is None if it is not stated.
    """

    request_id: str | None
    signed: bool
    not_run: bool
    encoded: bool
    keep_alive_seconds: float | None
    closes: bool
    leaving: bool
    wanted_pause_seconds: float | None
    running: int | None
    waiting: int | None
    slots: int | None
    work_percent: float | None


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that apply to the fleet as a whole.

    API keys are accepted only while the latest proof that the configuration is the newest one is
    younger than ``revoke_seconds``. The platform kills a stopping process after
    ``stop_grace_seconds``. Within ``retry_window_seconds``, retries of a service are limited to
    ``retry_ratio`` times its requests plus ``retry_slack``. A cold endpoint gets at most its
    rate times ``cold_overage`` plus ``cold_slack`` requests per second. A new version of a service
    gets at most ``canary_share`` of its requests plus ``canary_slack`` before it is known to be
    good, and nothing ``rollback_seconds`` after it has shown that it is bad; while the store is
    unstable, after another ``max_stretch_seconds``. ``canary_share`` is None without rollouts.
    """

    revoke_seconds: float
    stop_grace_seconds: float
    retry_ratio: float
    retry_window_seconds: float
    retry_slack: float
    cold_overage: float
    cold_slack: float
    canary_share: float | None = None
    canary_slack: float = 50.0
    rollback_seconds: float = 5.0
    max_stretch_seconds: float = 0.0


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one gateway process. Addresses are ``IP:port``.

    The platform kills a process that takes more than ``memory_bytes``. With ``limited_memory``,
    clients and endpoints may read slowly, and endpoints have little memory for requests.
    """

    instance_id: str
    ip: str
    availability_zone: str
    client_address: str
    ready_address: str
    peer_port: int
    seed_ips: tuple[str, ...]
    store_address: str
    bounds: Bounds
    memory_bytes: int = 256 * 2**20
    limited_memory: bool = False
