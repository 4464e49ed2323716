"""A scan of a queue without effect, by the code that places requests.

The scan runs on copies of all state that it changes, and draws no numbers from the generator that
placement uses.
"""

import asyncio
import collections.abc
import copy
import random

from masticward.gateway import fleet as fleet_module
from masticward.gateway import front, placer
from masticward.state import (
    buffered_bytes,
    cold_start,
    endpoint_health,
    load_table,
    part_quarantine,
    placement,
    prompt_cache,
    team_usage,
)

# In place of a random number from 0 to 1, by which retry delays are spread.
MEAN_DRAW = 0.5


class DryQuarantine(part_quarantine.PartQuarantine):
    """A copy of the restricted parts, in which tests are recorded without a log line."""

    __slots__ = ()

    def __init__(self, original: part_quarantine.PartQuarantine) -> None:
        super().__init__(original.own_id)
        self.restricted = {key: copy.copy(part) for key, part in original.restricted.items()}
        # Only read.
        self.answered = original.answered

    def start_test(
        self, keys: collections.abc.Sequence[str], endpoint_id: str, request_id: str, now: float
    ) -> None:
        """Record a test for the rest of the scan."""
        self.mark_tested(keys, endpoint_id, request_id, now)


def copy_fleet(fleet: fleet_module.FleetState) -> fleet_module.FleetState:
    """Return a fleet state with copies of all that placing a request changes."""
    copied = copy.copy(fleet)
    copied.loads = load_table.LoadTable()
    copied.loads.own.update({name: copy.copy(load) for name, load in fleet.loads.own.items()})
    # Only read.
    copied.loads.peers = fleet.loads.peers
    copied.loads.peer_totals = fleet.loads.peer_totals
    # The caches themselves are copied by ``DryPlacer.reserve``.
    copied.caches = prompt_cache.PromptCaches()
    copied.caches.caches = dict(fleet.caches.caches)
    copied.health = endpoint_health.HealthTracker()
    copied.health.endpoints = {
        name: copy.copy(health) for name, health in fleet.health.endpoints.items()
    }
    copied.view = placement.PlacementView(copied.loads, copied.caches, copied.health, copied.speeds)
    copied.usage = copy.copy(fleet.usage)
    copied.demand = copy.copy(fleet.demand)
    copied.cold_start_limiter = cold_start.ColdStartLimiter()
    copied.cold_start_limiter.next_send_at = dict(fleet.cold_start_limiter.next_send_at)
    copied.endpoint_bodies = buffered_bytes.EndpointBodies()
    copied.endpoint_bodies.held.update(fleet.endpoint_bodies.held)
    # A choice of endpoints may complete an order, and a send counts for it.
    copied.rollouts = copy.deepcopy(fleet.rollouts)
    copied.quarantine = DryQuarantine(fleet.quarantine)
    copied.shedder = copy.copy(fleet.shedder)
    copied.run_times = copy.copy(fleet.run_times)
    return copied


class DryFront(front.ClientRequestHandler):
    """Decides on a request before it is placed, as the gateway's handler of requests does."""

    def __init__(
        self, original: front.ClientRequestHandler, fleet: fleet_module.FleetState
    ) -> None:
        super().__init__(original.dependencies, original.available_peers)
        self.fleet = fleet

    def draw(self) -> float:
        """Return the mean of what is drawn."""
        return MEAN_DRAW


class DryPool(placer.CandidatePool):
    """The candidates of a dry run, and what the explained request is judged by."""

    __slots__ = (
        "comparison",
        "excluded_before",
        "explained",
        "first_candidates",
        "loads_before",
        "plain_costs",
        "states_before",
    )

    def __init__(
        self,
        dry_placer: placer.Placer,
        service: str,
        now: float,
        explained: placer.WaitingRequest,
    ) -> None:
        super().__init__(dry_placer, service, now)
        self.explained = explained
        # Before requests ahead of the explained one are placed.
        self.first_candidates = list(self.candidates)
        # Candidates that the explained request may not use.
        self.excluded_before: set[str] = set()
        self.comparison: placer.EngineComparison | None = None
        self.keep_state()

    def keep_state(self) -> None:
        """Keep the loads and costs before the explained request is placed."""
        self.states_before = dict(self.engine_states)
        self.loads_before = {item.id: self.fleet.loads.total(item.id) for item in self.candidates}
        self.plain_costs: dict[str, placement.PlainCost] = {}
        if self.engine is None:
            zone = self.fleet.settings.availability_zone
            repeatable = self.explained.route.retryable
            self.plain_costs = {
                item.id: placement.plain_cost(item, zone, self.fleet.view, self.now, repeatable)
                for item in self.candidates
            }

    def choose(
        self,
        request: placer.WaitingRequest,
        excess_by_team: dict[str, float],
        is_test: bool = False,
    ) -> placement.Choice | None:
        """Return the best endpoint for a request, None without a candidate."""
        if request is self.explained:
            self.keep_state()
            self.excluded_before = self.excluded_ids(request, is_test)
        return super().choose(request, excess_by_team, is_test)

    def compare_engines(
        self,
        request: placer.WaitingRequest,
        excess_by_team: dict[str, float],
        excluded_ids: set[str],
        sample: placer.Sample | None = None,
    ) -> placer.EngineComparison:
        """Compare the explained request at all engines, of which others get a sample."""
        if request is self.explained:
            sample = take_all
        comparison = super().compare_engines(request, excess_by_team, excluded_ids, sample)
        if request is self.explained:
            self.comparison = comparison
        return comparison


def take_all(endpoint_ids: list[str], _count: int) -> list[str]:
    """Return all engines in place of a random sample."""
    return endpoint_ids


class DryPlacer(placer.Placer):
    """Scans a copy of a service's queue in which one more request has just arrived.

    It is placed with the cheapest of all engines of which the gateway would compare a sample.
    """

    pool: DryPool

    def __init__(
        self,
        original: placer.Placer,
        fleet: fleet_module.FleetState,
        explained: placer.WaitingRequest,
        now: float,
    ) -> None:
        super().__init__(fleet, ignore_prompt, original.connected_ids)
        self.sample = random.Random().sample
        self.explained = explained
        queue = [
            copy_request(item)
            for item in original.queues.get(explained.service, [])
            if item.future is not None and not item.future.done()
        ]
        explained.future = asyncio.get_running_loop().create_future()
        fleet.demand.record(explained.team, team_usage.charged_tokens(explained.metadata), now)
        self.queues = {explained.service: [*queue, explained]}
        self.waiting_count = len(queue)
        # Requests before the explained one in the order of the scan.
        self.ahead: list[placer.WaitingRequest] = []

    def scan(self) -> placement.Choice | placer.PlacementRefusal | None:
        """Scan the queue once; return the outcome of the explained request, None if it waits."""
        self.process_queue(self.explained.service)
        future = self.explained.future
        return future.result() if future is not None and future.done() else None

    def build_pool(self, service: str, now: float) -> placer.CandidatePool:
        """Return the candidates for the scan, whose order is settled by then."""
        queue = self.queues[service]
        self.ahead = queue[: queue.index(self.explained)]
        self.pool = DryPool(self, service, now, self.explained)
        return self.pool

    def draw(self) -> float:
        """Return the mean of what is drawn."""
        return MEAN_DRAW

    def reserve(self, request: placer.WaitingRequest, choice: placement.Choice, now: float) -> None:
        """Add a request to the copied load of its endpoint, with a cache of its own."""
        caches = self.fleet.caches.caches
        original = caches.get(choice.endpoint.id)
        if original is not None:
            cache = caches[choice.endpoint.id] = copy.copy(original)
            cache.prefixes = original.prefixes.copy()
        super().reserve(request, choice, now)


def ignore_prompt(_endpoint_id: str, _keys: list[tuple[int, int]]) -> None:
    """Tell no peer of a prompt."""


def copy_request(request: placer.WaitingRequest) -> placer.WaitingRequest:
    """Return a copy of a waiting request with a future that nobody awaits."""
    copied = copy.copy(request)
    copied.future = asyncio.get_running_loop().create_future()
    return copied
