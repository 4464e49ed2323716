"""Messages of ``masticward explain-placement`` and a gateway, as JSON on the gateway's peer port.

Ages and waits are in seconds. No message of a gateway contains an API key.
"""

import msgspec

PATH = b"/explain-placement"


class Query(msgspec.Struct, frozen=True, kw_only=True):
    """The request whose placement is explained: described by its fields, or as saved.

    A saved request has a ``method``, ``target`` and ``headers``; its other fields are ignored.
    """

    route: str = ""
    host: str = ""
    path: str = ""
    team: str = ""
    # ID and tokens of each part of the prompt.
    parts: tuple[tuple[str, int], ...] = ()
    # None for the sum of the parts.
    prompt_tokens: int | None = None
    output_tokens: int = 0
    request_id: str = ""
    method: str = ""
    target: str = ""
    headers: tuple[tuple[str, str], ...] = ()


class CostTerms(msgspec.Struct, frozen=True, kw_only=True):
    """The cost of an endpoint in seconds: the sum of the terms after ``expected_seconds``."""

    cost_seconds: float
    # Time to the first event at normal speed.
    expected_seconds: float
    work_seconds: float
    failure_seconds: float
    recompute_seconds: float = 0.0
    rank_seconds: float = 0.0
    zone_seconds: float = 0.0


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint that may receive a request now. None stands for what is not known."""

    endpoint_id: str
    zone: str
    unread_tokens: int
    requests: int
    memory_tokens: int
    slots: int
    # Age of the oldest load of a peer in these figures; this gateway's own are always current.
    peer_load_age_seconds: float | None
    time_factor: float
    time_factor_age_seconds: float | None
    slowness: float
    failure_ratio: float
    cold_seconds: float = 0.0
    # Until it is dropped, unless the store lists it again.
    missing_seconds: float | None = None
    cached_tokens: int | None = None
    # Place among the owners of the shared part; None without such a part.
    owner_rank: int | None = None
    # Why the request is not compared here; empty if it is.
    not_compared: str = ""
    # Of a compared endpoint: whether it takes the request now.
    has_capacity: bool = False
    cost: CostTerms | None = None


class Excluded(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint of the service that may not receive the request now."""

    endpoint_id: str
    zone: str
    reasons: list[str]


class RestrictedPart(msgspec.Struct, frozen=True, kw_only=True):
    """A part of the prompt that is suspected to crash endpoints, or quarantined for it."""

    part: str
    state: str
    seconds: float


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """The refusal that the request would get.

    A random part of ``retry_after_seconds`` is replaced by its mean.
    """

    status: int
    reason: str
    retry_after_seconds: float | None


class Explanation(msgspec.Struct, kw_only=True):
    """What would happen to a request now, and why. ``outcome`` is sent, waits or refused."""

    gateway: str
    zone: str
    # ISO 8601, by the gateway's clock.
    time: str
    configuration_version: int
    proof_age_seconds: float
    live_gateways: int
    route: str = ""
    service: str = ""
    # Share of the route's requests that go to the service.
    service_share: float = 1.0
    team: str = ""
    # Usage of a team above its fair share as a multiple of it.
    team_excess: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    # Tokens of the shared part that has owners; 0 without one.
    shared_tokens: int = 0
    outcome: str = ""
    # Whether the request waits because another one tests a suspected part, or soon will.
    held_back: bool = False
    endpoint_id: str = ""
    refusal: Refusal | None = None
    # Requests that wait for the service, those before this one, and their unread tokens.
    waiting: int = 0
    place: int = 0
    tokens_ahead: int = 0
    expected_wait_seconds: float = 0.0
    # Until the first endpoint wants a request, if all have said when; else 0.
    opens_in_seconds: float = 0.0
    # A gateway compares a random sample of this size; 0 if it compares all that are shown so.
    sample_size: int = 0
    recompute_weight: float = 0.0
    prefill_window_seconds: float = 0.0
    candidates: list[Candidate] = msgspec.field(default_factory=list)
    excluded: list[Excluded] = msgspec.field(default_factory=list)
    restricted_parts: list[RestrictedPart] = msgspec.field(default_factory=list)


class Failure(msgspec.Struct, frozen=True):
    """Why there is no explanation."""

    error: str
