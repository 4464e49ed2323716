"""Chooses the endpoint of a request."""

import collections.abc
import functools

import msgspec

from masticward.models import gateway
from masticward.state import endpoint_health, load_board, prompt_cache
from masticward.utils import identifiers

# Prompt tokens that a sound engine reads in a second, until its own speed is known.
READ_TOKENS_PER_SECOND = 50_000.0
# Time that each request at an engine adds to the next one's first event.
REQUEST_SECONDS = 0.0008
# Seconds by which a failing endpoint looks further away, at a failure ratio of 1.
FAILURE_SECONDS = 3.0
# Reading a shared part once more takes capacity from other requests, not only time from this one.
REREAD_WEIGHT = 2.5
# A request that has waited for this part of its objective takes any engine.
PATIENT_SHARE = 0.4
# The owner of a shared prefix is preferred by this part of the time to read that prefix.
OWNER_PREFERENCE = 0.35
# An engine with more unread tokens than it reads in this time gets nothing more, so that the order
# of the waiting requests stays with the gateways.
UNREAD_WINDOW_SECONDS = 0.35
# A team above its share leaves the rest of the window to the others. Engines stay busy with this.
OVER_SHARE_WINDOW_SECONDS = 0.22
MEMORY_SHARE = 0.9
# Hashing over all endpoints is repeated for each look at a waiting request.
OWNERS_REMEMBERED = 4096
# Time that a plain call waits for each call ahead of it, per slot.
PLAIN_CALL_SECONDS = 0.03


class Choice(msgspec.Struct, frozen=True):
    """An endpoint for a request. ``allowed`` is False while the request should wait for it."""

    endpoint: gateway.Endpoint
    cost_seconds: float
    # Expected time to the first event at an endpoint of ordinary speed, without preferences.
    expected_seconds: float
    unread_tokens: int
    allowed: bool
    slowness: float
    # Endpoint that rendezvous hashing names for the shared prefix, if there is one.
    owner_id: str | None


class PlacementView(msgspec.Struct, frozen=True):
    """The state that the choice depends on."""

    loads: load_board.LoadBoard
    caches: prompt_cache.CacheMap
    health: endpoint_health.HealthBook


@functools.lru_cache(maxsize=OWNERS_REMEMBERED)
def owner_of(prefix_key: int, endpoint_ids: tuple[str, ...]) -> str:
    """Return the endpoint that keeps a shared prefix, by rendezvous hashing."""
    return max(endpoint_ids, key=lambda item: owner_weight(prefix_key, item))


def owner_weight(prefix_key: int, endpoint_id: str) -> int:
    """Return the rendezvous weight of an endpoint for a shared prefix."""
    return identifiers.stable_hash(f"{prefix_key:x}", endpoint_id)


def reread_weight(waited_seconds: float, target_seconds: float) -> float:
    """Return the weight of shared parts that would be read again, less for who has waited."""
    return REREAD_WEIGHT * max(0.0, 1.0 - waited_seconds / (PATIENT_SHARE * target_seconds))


def choose_engine(
    candidates: collections.abc.Sequence[gateway.Endpoint],
    engine: gateway.Engine,
    keys: list[tuple[int, int]],
    terms: gateway.RequestTerms,
    view: PlacementView,
    reread_weight: float,
    window_seconds: float,
    now: float,
) -> Choice | None:
    """Return the engine on which the request's first event is expected first."""
    owner_id = None
    shared = keys[-2] if len(keys) > 1 else None
    if shared is not None:
        owner_id = owner_of(shared[0], tuple(item.id for item in candidates))
    best: Choice | None = None
    for endpoint in candidates:
        total = view.loads.total(endpoint.id)
        cached = view.caches.engine(endpoint.id, engine.cache_tokens).cached_tokens(keys)
        unread = max(1, terms.prompt_tokens - min(cached, terms.prompt_tokens))
        slowness = view.health.record(endpoint.id, now).slowness
        speed = READ_TOKENS_PER_SECOND / slowness
        expected = (total.unread_tokens + unread) / READ_TOKENS_PER_SECOND
        expected += total.requests * REQUEST_SECONDS
        cost = expected * slowness + FAILURE_SECONDS * view.health.failure_ratio(endpoint.id, now)
        if shared is not None:
            cost += reread_weight * max(0, shared[1] - cached) / READ_TOKENS_PER_SECOND
            if endpoint.id == owner_id:
                cost -= OWNER_PREFERENCE * shared[1] / READ_TOKENS_PER_SECOND
        memory = total.memory_tokens + terms.prompt_tokens + terms.output_tokens
        allowed = total.requests == 0 or (
            total.requests < engine.slots
            and memory <= MEMORY_SHARE * engine.cache_tokens
            and (
                total.unread_tokens <= 0 or (total.unread_tokens + unread) / speed <= window_seconds
            )
        )
        if best is None or cost < best.cost_seconds:
            best = Choice(endpoint, cost, expected, unread, allowed, slowness, owner_id)
    return best


def choose_plain(
    candidates: collections.abc.Sequence[gateway.Endpoint],
    zone: str,
    view: PlacementView,
    now: float,
) -> Choice | None:
    """Return the plain endpoint with the shortest wait."""
    best: Choice | None = None
    for endpoint in candidates:
        requests = view.loads.total(endpoint.id).requests
        slowness = view.health.record(endpoint.id, now).slowness
        expected = PLAIN_CALL_SECONDS * (requests + 1) / endpoint.slots
        cost = expected * slowness + FAILURE_SECONDS * view.health.failure_ratio(endpoint.id, now)
        # Among equals the own zone, then a fixed order that spreads gateways.
        cost += 0.0 if endpoint.availability_zone == zone else 0.002
        if best is None or cost < best.cost_seconds:
            best = Choice(endpoint, cost, expected, 0, requests < endpoint.slots, slowness, None)
    return best
