"""Choice of the endpoint that serves a request.

An engine is the endpoint of a service with a declared engine capacity; a plain endpoint belongs to
a service without one. Unread tokens are prompt tokens that an engine has not prefilled yet.
"""

import collections.abc
import functools
import heapq
import math
import random

import msgspec

from masticward.models import gateway
from masticward.state import endpoint_health, endpoint_speed, load_table, prompt_cache
from masticward.utils import identifiers

# Prefill rate of a healthy engine, assumed until an engine's own slowness has been measured.
PREFILL_TOKENS_PER_SECOND = 50_000.0
# Delay of the first event for each request that is already at the engine.
REQUEST_OVERHEAD_SECONDS = 0.0008
# Cost of an endpoint with a failure ratio of 1; scales with the ratio.
FAILURE_PENALTY_SECONDS = 3.0
# Weight of the time to recompute a shared prefix. It is above 1 because the recomputation takes
# capacity from other requests as well as time from this one.
RECOMPUTE_WEIGHT = 2.5
# Fraction of the latency target after which a waiting request takes any idle engine, also one
# without its shared prefix.
AFFINITY_WAIT_FRACTION = 0.4
# A shared prefix has this many owners. Its requests go to others only after a wait, because each
# further copy displaces prefixes that would otherwise stay cached.
PREFIX_OWNERS = 3
# Cost of an engine for each owner that ranks before it, as a fraction of the prefix's prefill time.
OWNER_RANK_FRACTION = 1.5
# With idle connections to fewer engines than this, too few would share the load.
MIN_CONNECTED_ENGINES = 6
# Rank of an engine that owned a prefix before engines were added or came back.
FORMER_OWNER_RANK = 1
# Shared prefixes below this size are recomputed faster than they are waited for.
MIN_OWNED_TOKENS = 1000
# Number of engines that a request without an owner is compared at. Loads are known with a delay, so
# that gateways which compare all engines choose the same one.
SAMPLE_SIZE = 3
# Prefill window: the longest prefill backlog up to which an engine is sent requests. Other requests
# wait in the gateways, which decide their order.
PREFILL_WINDOW_SECONDS = 0.35
# Prefill window of a team above its fair share, before division by the team's excess. It is long
# enough to keep engines busy and leaves the rest of PREFILL_WINDOW_SECONDS to other teams.
OVER_SHARE_WINDOW_SECONDS = 0.22
# Smallest prefill window of any team: load updates reach a busy gateway up to 60 ms late, and
# engines must not run idle in the meantime.
MIN_WINDOW_SECONDS = 0.06
# Unread tokens of a prompt's own part that count against the prefill window under insufficient
# capacity. They leave 0.19 s of the window for the backlog ahead, so that a prompt of up to 30,000
# tokens is in time for a target of 0.8 s.
MAX_COUNTED_OWN_TOKENS = 8_000
# Fraction of an engine's cache tokens that running requests may occupy.
MAX_MEMORY_FRACTION = 0.9
# Owners are cached because each placement attempt would otherwise hash all endpoints again.
OWNER_CACHE_ENTRIES = 4096
# A plain endpoint with a larger failure ratio is not preferred for its free slots. The limit is
# lower for requests that may not be repeated, because each failure loses one of them. A single
# failure of a rarely used endpoint stays below it.
MAX_FAILURE_RATIO = 0.5
MAX_UNREPEATABLE_FAILURE_RATIO = 0.3
# Expected duration of a request at a plain endpoint, whose slots execute requests in parallel.
PLAIN_REQUEST_SECONDS = 0.03


class Choice(msgspec.Struct, frozen=True):
    """An endpoint for a request; the request should wait while ``has_capacity`` is False."""

    endpoint: gateway.Endpoint
    cost_seconds: float
    # Expected time to the first event at an endpoint of normal speed, without penalties or
    # preferences.
    expected_seconds: float
    unread_tokens: int
    has_capacity: bool
    slowness: float
    # First owner of the shared prefix; None without a shared prefix that has owners.
    owner_id: str | None
    # How long work takes at the endpoint by its own figures, as a multiple of normal.
    time_factor: float = 1.0


class EngineCost(msgspec.Struct, frozen=True, gc=False):
    """The expected cost of a request at one engine, with its terms in seconds."""

    cached_tokens: int
    unread_tokens: int
    # Expected time to the first event at normal speed.
    expected_seconds: float
    # The same at the engine's own speed.
    work_seconds: float
    failure_seconds: float
    recompute_seconds: float
    rank_seconds: float
    cost_seconds: float


class PlainCost(msgspec.Struct, frozen=True, gc=False):
    """The expected cost of a request at one plain endpoint, with its terms in seconds."""

    has_slot: bool
    # Whether endpoints with a free slot that fail less often come first.
    comes_last: bool
    expected_seconds: float
    work_seconds: float
    failure_seconds: float
    zone_seconds: float
    cost_seconds: float


class PlacementView(msgspec.Struct, frozen=True):
    """Load, prompt cache, health and speed of endpoints that a choice depends on."""

    loads: load_table.LoadTable
    caches: prompt_cache.PromptCaches
    health: endpoint_health.HealthTracker
    speeds: endpoint_speed.SpeedTable = msgspec.field(default_factory=endpoint_speed.SpeedTable)


@functools.lru_cache(maxsize=OWNER_CACHE_ENTRIES)
def prefix_owners(prefix_key: int, endpoint_ids: tuple[str, ...]) -> tuple[str, ...]:
    """Return the IDs of the endpoints that own a shared prefix, by rendezvous hashing."""
    return tuple(
        heapq.nlargest(
            PREFIX_OWNERS, endpoint_ids, key=lambda item: rendezvous_weight(prefix_key, item)
        )
    )


def rendezvous_weight(prefix_key: int, endpoint_id: str) -> int:
    """Return the rendezvous hash weight of an endpoint for a shared prefix."""
    return identifiers.stable_hash(f"{prefix_key:x}", endpoint_id)


def recompute_weight(waited_seconds: float, target_seconds: float, utilization: float) -> float:
    """Return the cost weight of recomputing a shared prefix.

    The weight falls with the time that the request has waited, but not below the prefill
    utilization (0 to 1): on busy engines, a recomputation takes time from other requests.
    """
    affinity = 1.0 - waited_seconds / (AFFINITY_WAIT_FRACTION * target_seconds)
    return RECOMPUTE_WEIGHT * max(0.0, affinity, utilization)


def prefill_window_seconds(excess: float | None) -> float:
    """Return the longest prefill backlog, in seconds, at which an engine takes a team's request.

    ``excess`` is the team's recent usage as a multiple of its fair share, None if not above it.
    """
    if excess is None:
        return PREFILL_WINDOW_SECONDS
    return max(MIN_WINDOW_SECONDS, OVER_SHARE_WINDOW_SECONDS / excess)


class EngineState:
    """Snapshot of one engine, computed once for many waiting requests."""

    __slots__ = (
        "cache",
        "endpoint",
        "failure_penalty_seconds",
        "load",
        "slowness",
        "time_factor",
    )

    def __init__(
        self, endpoint: gateway.Endpoint, engine: gateway.Engine, view: PlacementView, now: float
    ) -> None:
        self.endpoint = endpoint
        self.load = view.loads.total(endpoint.id)
        self.cache = view.caches.get(endpoint.id, engine.cache_tokens)
        # Measured time to the first event as a multiple of the one that the figures explain.
        self.slowness = view.health.slowness(endpoint.id)
        self.time_factor = view.speeds.time_factor(endpoint.id, now)
        self.failure_penalty_seconds = FAILURE_PENALTY_SECONDS * view.health.failure_ratio(
            endpoint.id, now
        )


def engine_states(
    candidates: collections.abc.Iterable[gateway.Endpoint],
    engine: gateway.Engine,
    view: PlacementView,
    now: float,
) -> dict[str, EngineState]:
    """Return snapshots of engines at the time ``now``, by endpoint ID."""
    return {endpoint.id: EngineState(endpoint, engine, view, now) for endpoint in candidates}


def prefill_utilization(states: collections.abc.Collection[EngineState]) -> float:
    """Return the average prefill utilization of the engines, from 0 (idle) to 1.

    Engines are weighted by their rates.
    """
    if not states:
        return 0.0
    window_tokens = OVER_SHARE_WINDOW_SECONDS * PREFILL_TOKENS_PER_SECOND
    total = 0.0
    total_rate = 0.0
    for state in states:
        rate = 1.0 / state.time_factor
        total += rate * min(1.0, state.load.unread_tokens / (window_tokens * rate))
        total_rate += rate
    return max(0.0, total / total_rate)


def owned_prefix(keys: list[tuple[int, int]]) -> tuple[int, int] | None:
    """Return key and tokens of the shared prefix of a prompt if it has owners.

    ``keys`` has key and cumulative tokens of each prompt prefix. The last one covers the whole
    prompt, the last but one is the shared prefix.
    """
    if len(keys) < 2 or keys[-2][1] < MIN_OWNED_TOKENS:
        return None
    return keys[-2]


def engines_to_compare(
    states: collections.abc.Mapping[str, EngineState],
    keys: list[tuple[int, int]],
    waited_fraction: float,
    connected_ids: collections.abc.Collection[str] = (),
    sample: collections.abc.Callable[[list[str], int], list[str]] | None = None,
) -> list[tuple[int, EngineState]]:
    """Return the engines among which a request is placed, each with its rank for the prefix.

    The owners come first. Engines that still cache the prefix of former owners are compared while
    no owner does. ``waited_fraction`` is the time that the request has waited, as a fraction of its
    latency target. From ``AFFINITY_WAIT_FRACTION`` on, a sample of all engines is added.

    Without owners, the engines are a sample of those in ``connected_ids``, to which this process
    has an idle connection, or of all engines if these are few. ``sample`` draws a number of IDs;
    without it they are drawn at random.
    """
    sample = sample or random.sample
    prefix = owned_prefix(keys)
    if prefix is None:
        sampled = [endpoint_id for endpoint_id in connected_ids if endpoint_id in states]
        if len(sampled) < MIN_CONNECTED_ENGINES:
            sampled = list(states)
        sampled = sample(sampled, min(SAMPLE_SIZE, len(sampled)))
        return [(0, states[endpoint_id]) for endpoint_id in sampled]
    key = prefix[0]
    owners = prefix_owners(key, tuple(states))
    compared = [(rank, states[endpoint_id]) for rank, endpoint_id in enumerate(owners)]
    if not any(key in state.cache.prefixes for _, state in compared):
        compared += [
            (FORMER_OWNER_RANK, state) for state in states.values() if key in state.cache.prefixes
        ]
    if waited_fraction >= AFFINITY_WAIT_FRACTION:
        others = [endpoint_id for endpoint_id in states if endpoint_id not in owners]
        drawn = sample(others, min(SAMPLE_SIZE, len(others)))
        compared += [(PREFIX_OWNERS, states[endpoint_id]) for endpoint_id in drawn]
    return compared


def engine_cost(
    rank: int,
    state: EngineState,
    keys: list[tuple[int, int]],
    shared_tokens: int,
    prompt_tokens: int,
    recompute_weight: float,
) -> EngineCost:
    """Return the expected cost of a request at an engine with a rank for the shared prefix.

    ``shared_tokens`` are those of the shared prefix if it has owners, else 0.

    The cost is the expected time to the first event in seconds, plus penalties for failures, for
    recomputing the shared prefix, and for each owner that ranks before the engine.
    """
    load = state.load
    cached = state.cache.cached_tokens(keys)
    unread = max(1, prompt_tokens - cached)
    expected = (load.unread_tokens + unread) / PREFILL_TOKENS_PER_SECOND
    expected += load.requests * REQUEST_OVERHEAD_SECONDS
    work = expected * (state.slowness * state.time_factor)
    recompute = 0.0
    rank_cost = 0.0
    if shared_tokens:
        recomputed = recompute_weight * max(0, shared_tokens - cached) * state.time_factor
        recompute = recomputed / PREFILL_TOKENS_PER_SECOND
        rank_cost = rank * (OWNER_RANK_FRACTION * shared_tokens / PREFILL_TOKENS_PER_SECOND)
    failure = state.failure_penalty_seconds
    cost = work + failure + recompute + rank_cost
    # Positional arguments, because this is the innermost part of each placement.
    return EngineCost(cached, unread, expected, work, failure, recompute, rank_cost, cost)


def choose_engine(
    compared: collections.abc.Sequence[tuple[int, EngineState]],
    engine: gateway.Engine,
    keys: list[tuple[int, int]],
    metadata: gateway.RequestMetadata,
    recompute_weight: float,
    window_seconds: float,
    max_own_tokens: float = math.inf,
) -> Choice | None:
    """Return the engine with the lowest expected cost; None if there are no engines.

    ``compared`` has the engines that ``engines_to_compare`` returned for ``keys``;
    ``max_own_tokens`` is that of ``has_capacity``.
    """
    prefix = owned_prefix(keys)
    shared_tokens = prefix[1] if prefix is not None else 0
    prompt_tokens = metadata.prompt_tokens
    best = None
    best_cost = None
    for rank, state in compared:
        cost = engine_cost(rank, state, keys, shared_tokens, prompt_tokens, recompute_weight)
        if best_cost is None or cost.cost_seconds < best_cost.cost_seconds:
            best, best_cost = state, cost
    if best is None or best_cost is None:
        return None
    unread_tokens = best_cost.unread_tokens
    return Choice(
        endpoint=best.endpoint,
        cost_seconds=best_cost.cost_seconds,
        expected_seconds=best_cost.expected_seconds,
        unread_tokens=unread_tokens,
        has_capacity=has_capacity(
            best, engine, metadata, unread_tokens, window_seconds, max_own_tokens
        ),
        slowness=best.slowness,
        owner_id=compared[0][1].endpoint.id if shared_tokens else None,
        time_factor=best.time_factor,
    )


def any_has_capacity(
    states: collections.abc.Iterable[EngineState], engine: gateway.Engine, window_seconds: float
) -> bool:
    """Return whether any engine could take a request of minimal size now."""
    window_tokens = window_seconds * PREFILL_TOKENS_PER_SECOND
    return any(
        state.load.requests == 0
        or (
            state.load.requests < engine.slots
            and state.load.unread_tokens * (state.slowness * state.time_factor) < window_tokens
        )
        for state in states
    )


def has_capacity(
    state: EngineState,
    engine: gateway.Engine,
    metadata: gateway.RequestMetadata,
    unread_tokens: int,
    window_seconds: float,
    max_own_tokens: float = math.inf,
) -> bool:
    """Return whether an engine may be sent a request now; an idle engine takes any request.

    At most ``max_own_tokens`` of the last part of the prompt count, which no other request shares:
    no engine reads them sooner than another. A shared part counts in full, as other engines cache
    it.
    """
    load = state.load
    if load.requests == 0:
        return True
    memory = load.memory_tokens + metadata.prompt_tokens + metadata.output_tokens
    if load.requests >= engine.slots or memory > MAX_MEMORY_FRACTION * engine.cache_tokens:
        return False
    if load.unread_tokens <= 0:
        return True
    own_tokens = metadata.parts[-1].tokens if metadata.parts else metadata.prompt_tokens
    counted_tokens = unread_tokens - max(0.0, min(own_tokens, unread_tokens) - max_own_tokens)
    slowness = state.slowness * state.time_factor
    seconds = (load.unread_tokens + counted_tokens) * slowness / PREFILL_TOKENS_PER_SECOND
    return seconds <= window_seconds


def plain_cost(
    endpoint: gateway.Endpoint,
    zone: str,
    view: PlacementView,
    now: float,
    repeatable: bool,
) -> PlainCost:
    """Return the expected cost of a request that is or is not ``repeatable``."""
    max_failure_ratio = MAX_FAILURE_RATIO if repeatable else MAX_UNREPEATABLE_FAILURE_RATIO
    requests = view.loads.total(endpoint.id).requests
    slowness = view.health.slowness(endpoint.id)
    time_factor = view.speeds.time_factor(endpoint.id, now)
    failure_ratio = view.health.failure_ratio(endpoint.id, now)
    expected = PLAIN_REQUEST_SECONDS * (requests + 1) / endpoint.slots
    work = expected * (slowness * time_factor)
    failure = FAILURE_PENALTY_SECONDS * failure_ratio
    # Among equally loaded endpoints, those in this gateway's zone are preferred, so that
    # gateways of different zones choose different ones; then the first candidate.
    zone_cost = 0.0 if endpoint.availability_zone == zone else 0.002
    has_slot = requests < endpoint.slots
    return PlainCost(
        has_slot=has_slot,
        comes_last=not has_slot or failure_ratio > max_failure_ratio,
        expected_seconds=expected,
        work_seconds=work,
        failure_seconds=failure,
        zone_seconds=zone_cost,
        cost_seconds=work + failure + zone_cost,
    )


def choose_plain_endpoint(
    candidates: collections.abc.Sequence[gateway.Endpoint],
    zone: str,
    view: PlacementView,
    now: float,
    repeatable: bool = False,
) -> Choice | None:
    """Return the plain endpoint with the lowest expected cost; None without candidates.

    Endpoints with a free slot come first, unless they fail too often for a request that is or is
    not ``repeatable``.
    """
    best: Choice | None = None
    best_position = (True, math.inf)
    for endpoint in candidates:
        cost = plain_cost(endpoint, zone, view, now, repeatable)
        position = (cost.comes_last, cost.cost_seconds)
        if best is None or position < best_position:
            best_position = position
            best = Choice(
                endpoint=endpoint,
                cost_seconds=cost.cost_seconds,
                expected_seconds=cost.expected_seconds,
                unread_tokens=0,
                has_capacity=cost.has_slot,
                slowness=view.health.slowness(endpoint.id),
                owner_id=None,
                time_factor=view.speeds.time_factor(endpoint.id, now),
            )
    return best
