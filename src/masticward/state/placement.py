"""Chooses the endpoint of a request."""

import collections.abc
import functools
import math

import msgspec

from masticward.models import gateway
from masticward.state import endpoint_health, load_table, prompt_cache
from masticward.utils import identifiers

# Prompt tokens that a sound engine reads in a second, until its own speed is known.
PREFILL_TOKENS_PER_SECOND = 50_000.0
# Time that each request at an engine adds to the next one's first event.
REQUEST_SECONDS = 0.0008
# Seconds by which a failing endpoint looks further away, at a failure ratio of 1.
FAILURE_SECONDS = 3.0
# Reading a shared part once more takes capacity from other requests, not only time from this one.
REREAD_WEIGHT = 2.5
# A request that has waited for this part of its objective takes any engine that is idle.
AFFINITY_WAIT_FRACTION = 0.4
# The owner of a shared prefix is preferred by this part of the time to read that prefix.
OWNER_PREFERENCE = 0.35
# An engine with more unread tokens than it reads in this time gets nothing more, so that the order
# of the waiting requests stays with the gateways.
PREFILL_WINDOW_SECONDS = 0.35
# A team above its share leaves the rest of the window to the others. Engines stay busy with this.
OVER_SHARE_WINDOW_SECONDS = 0.22
# However far above its share a team is: news of free engines takes up to 60 ms to a busy gateway.
MIN_WINDOW_SECONDS = 0.06
MEMORY_SHARE = 0.9
# Hashing over all endpoints is repeated for each look at a waiting request.
OWNERS_REMEMBERED = 4096
# Time that a plain call waits for each call ahead of it, per slot.
PLAIN_CALL_SECONDS = 0.03


class Choice(msgspec.Struct, frozen=True):
    """An endpoint for a request. ``has_capacity`` is False while the request should wait for it."""

    endpoint: gateway.Endpoint
    cost_seconds: float
    # Expected time to the first event at an endpoint of ordinary speed, without preferences.
    expected_seconds: float
    unread_tokens: int
    has_capacity: bool
    slowness: float
    # Endpoint that rendezvous hashing names for the shared prefix, if there is one.
    owner_id: str | None


class PlacementView(msgspec.Struct, frozen=True):
    """The state that the choice depends on."""

    loads: load_table.LoadTable
    caches: prompt_cache.PromptCaches
    health: endpoint_health.HealthTracker


@functools.lru_cache(maxsize=OWNERS_REMEMBERED)
def prefix_owner(prefix_key: int, endpoint_ids: tuple[str, ...]) -> str:
    """Return the endpoint that keeps a shared prefix, by rendezvous hashing."""
    return max(endpoint_ids, key=lambda item: rendezvous_weight(prefix_key, item))


def rendezvous_weight(prefix_key: int, endpoint_id: str) -> int:
    """Return the rendezvous weight of an endpoint for a shared prefix."""
    return identifiers.stable_hash(f"{prefix_key:x}", endpoint_id)


def recompute_weight(waited_seconds: float, target_seconds: float, busy: float) -> float:
    """Return the weight of shared parts that would be read again.

    It falls for who has waited, as far as other engines are idle: while all are busy, reading a
    part once more takes their time from other requests.
    """
    patience = 1.0 - waited_seconds / (AFFINITY_WAIT_FRACTION * target_seconds)
    return REREAD_WEIGHT * max(0.0, patience, busy)


def prefill_window_seconds(excess: float | None) -> float:
    """Return the unread work up to which an engine takes a request of a team.

    ``excess`` is how many times its share the team was served, None if it is not above it.
    """
    if excess is None:
        return PREFILL_WINDOW_SECONDS
    return max(MIN_WINDOW_SECONDS, OVER_SHARE_WINDOW_SECONDS / excess)


class EngineState:
    """What the choice needs of one engine, computed once for many waiting requests."""

    __slots__ = ("cache", "endpoint", "failure_seconds", "slowness", "work")

    def __init__(
        self, endpoint: gateway.Endpoint, engine: gateway.Engine, view: PlacementView, now: float
    ) -> None:
        self.endpoint = endpoint
        self.work = view.loads.total(endpoint.id)
        self.cache = view.caches.get(endpoint.id, engine.cache_tokens)
        self.slowness = view.health.get(endpoint.id, now).slowness
        self.failure_seconds = FAILURE_SECONDS * view.health.failure_ratio(endpoint.id, now)


def engine_states(
    candidates: collections.abc.Iterable[gateway.Endpoint],
    engine: gateway.Engine,
    view: PlacementView,
    now: float,
) -> list[EngineState]:
    """Return the states of engines as they are now."""
    return [EngineState(endpoint, engine, view, now) for endpoint in candidates]


def prefill_utilization(states: collections.abc.Sequence[EngineState]) -> float:
    """Return how busy the engines are with reading on average, from 0 (idle) to 1."""
    if not states:
        return 0.0
    window_tokens = OVER_SHARE_WINDOW_SECONDS * PREFILL_TOKENS_PER_SECOND
    busy = sum(min(1.0, state.work.unread_tokens / window_tokens) for state in states)
    return max(0.0, busy / len(states))


def choose_engine(
    states: collections.abc.Sequence[EngineState],
    engine: gateway.Engine,
    keys: list[tuple[int, int]],
    terms: gateway.RequestMetadata,
    recompute_weight: float,
    window_seconds: float,
) -> Choice | None:
    """Return the engine on which the request's first event is expected first."""
    if not states:
        return None
    owner_id = None
    shared_key, shared_tokens = keys[-2] if len(keys) > 1 else (None, 0)
    if shared_key is not None:
        owner_id = prefix_owner(shared_key, tuple(state.endpoint.id for state in states))
    best = states[0]
    best_cost = math.inf
    best_expected = 0.0
    best_unread = 0
    for state in states:
        work = state.work
        cached = state.cache.cached_tokens(keys)
        unread = max(1, terms.prompt_tokens - cached)
        expected = (work.unread_tokens + unread) / PREFILL_TOKENS_PER_SECOND
        expected += work.requests * REQUEST_SECONDS
        cost = expected * state.slowness + state.failure_seconds
        if shared_key is not None:
            cost += recompute_weight * max(0, shared_tokens - cached) / PREFILL_TOKENS_PER_SECOND
            if state.endpoint.id == owner_id:
                cost -= OWNER_PREFERENCE * shared_tokens / PREFILL_TOKENS_PER_SECOND
        if cost < best_cost:
            best, best_cost, best_expected, best_unread = state, cost, expected, unread
    return Choice(
        endpoint=best.endpoint,
        cost_seconds=best_cost,
        expected_seconds=best_expected,
        unread_tokens=best_unread,
        has_capacity=has_capacity(best, engine, terms, best_unread, window_seconds),
        slowness=best.slowness,
        owner_id=owner_id,
    )


def any_has_capacity(
    states: collections.abc.Iterable[EngineState], engine: gateway.Engine, window_seconds: float
) -> bool:
    """Whether some engine could take a request of the smallest size now."""
    window_tokens = window_seconds * PREFILL_TOKENS_PER_SECOND
    return any(
        state.work.requests == 0
        or (
            state.work.requests < engine.slots
            and state.work.unread_tokens * state.slowness < window_tokens
        )
        for state in states
    )


def has_capacity(
    state: EngineState,
    engine: gateway.Engine,
    terms: gateway.RequestMetadata,
    unread_tokens: int,
    window_seconds: float,
) -> bool:
    """Whether an engine may get a request now; an idle one takes any."""
    work = state.work
    if work.requests == 0:
        return True
    memory = work.memory_tokens + terms.prompt_tokens + terms.output_tokens
    if work.requests >= engine.slots or memory > MEMORY_SHARE * engine.cache_tokens:
        return False
    if work.unread_tokens <= 0:
        return True
    seconds = (work.unread_tokens + unread_tokens) * state.slowness / PREFILL_TOKENS_PER_SECOND
    return seconds <= window_seconds


def choose_plain_endpoint(
    candidates: collections.abc.Sequence[gateway.Endpoint],
    zone: str,
    view: PlacementView,
    now: float,
) -> Choice | None:
    """Return the plain endpoint with the shortest wait."""
    best: Choice | None = None
    for endpoint in candidates:
        requests = view.loads.total(endpoint.id).requests
        slowness = view.health.get(endpoint.id, now).slowness
        expected = PLAIN_CALL_SECONDS * (requests + 1) / endpoint.slots
        cost = expected * slowness + FAILURE_SECONDS * view.health.failure_ratio(endpoint.id, now)
        # Among equals the own zone, then a fixed order that spreads gateways.
        cost += 0.0 if endpoint.availability_zone == zone else 0.002
        if best is None or cost < best.cost_seconds:
            best = Choice(endpoint, cost, expected, 0, requests < endpoint.slots, slowness, None)
    return best
