"""Requests that wait for an endpoint, and the order in which they get one."""

import asyncio
import collections.abc
import random

import msgspec

from masticward.gateway import fleet as fleet_module
from masticward.models import gateway
from masticward.state import cold_start, placement, prompt_cache, team_usage
from masticward.utils import clocks

# Waiting requests are looked at this often, because peers' loads change without an event here.
PUMP_SECONDS = 0.02
# Choices that fail before the rest of the queue is only checked for refusal. Small requests must
# still be tried behind large ones that wait for the engines of their shared parts.
MOST_BLOCKED = 60
# The looks at a long queue take at most this part of the processor.
LOOKING_SHARE = 0.2
# A request is refused when it has waited for this part of its objective: what is left is needed
# to read its prompt, and a later answer is worth little to the caller.
WAIT_SHARE = 0.8
# Sent later than this part of its objective, a request is late: the rest passes in the engine's
# window and while its own prompt is read. It goes behind those that can still be in time.
IN_TIME_SHARE = 0.5
# Callers come back at different times, so that they do not meet again.
RETURN_SPREAD = 0.5
SHORTEST_RETURN_SECONDS = 0.2
LONGEST_RETURN_SECONDS = 1.5


class PlacementRefusal(msgspec.Struct, frozen=True):
    """A request that surely does not run; the caller may come back after a time."""

    reason: str
    retry_after_seconds: float
    # What decided: expected wait, tokens of this gateway's requests ahead, endpoints that were not
    # paused, and whether the team was above its share.
    wait_seconds: float
    tokens_ahead: int
    candidates: int
    over_share: bool


class WaitingRequest:
    """One request that needs an endpoint."""

    __slots__ = (
        "arrived_at",
        "excluded",
        "future",
        "in_time_until",
        "keys",
        "refuse_at",
        "route",
        "service",
        "team",
        "terms",
        "unread_tokens",
    )

    def __init__(
        self,
        terms: gateway.RequestMetadata,
        route: gateway.Route,
        service: str,
        team: str | None,
        refuse_at: float,
    ) -> None:
        self.terms = terms
        self.route = route
        self.service = service
        self.team = team or ""
        self.refuse_at = refuse_at
        self.arrived_at = terms.arrived_at
        # As the last choice found; all of them before the first one.
        self.unread_tokens = terms.prompt_tokens
        self.in_time_until = terms.arrived_at + IN_TIME_SHARE * route.target_latency_seconds
        self.keys = prompt_cache.prefix_keys(terms.parts)
        self.excluded: set[str] = set()
        self.future: asyncio.Future[placement.Choice | PlacementRefusal] | None = None


class Pool:
    """The endpoints of a service that may get requests, during one look at those that wait."""

    __slots__ = ("busy", "candidates", "engine", "fleet", "full_for", "now", "placer", "states")

    def __init__(self, request_placer: "Placer", service_name: str, now: float) -> None:
        self.placer = request_placer
        self.fleet = request_placer.fleet
        self.now = now
        self.candidates = request_placer.candidates(service_name, now)
        configuration = self.fleet.configuration
        service = configuration.services.get(service_name) if configuration else None
        self.engine = service.engine if service else None
        self.states: list[placement.EngineState] = []
        self.busy = 0.0
        # The widest window for which no engine has room; engines only fill up during a look.
        self.full_for = 0.0
        if self.engine is not None:
            self.states = placement.engine_states(
                self.candidates, self.engine, self.fleet.view, now
            )
            self.busy = placement.prefill_utilization(self.states)

    def choose(self, request: WaitingRequest, over: dict[str, float]) -> placement.Choice | None:
        """Return the best endpoint for a request; ``over`` has the teams above their share."""
        if self.engine is None:
            candidates = self.candidates
            if request.excluded:
                candidates = [item for item in candidates if item.id not in request.excluded]
            zone = self.fleet.settings.availability_zone
            return placement.choose_plain_endpoint(candidates, zone, self.fleet.view, self.now)
        states = self.states
        if request.excluded:
            states = [item for item in states if item.endpoint.id not in request.excluded]
        target = max(0.01, request.route.target_latency_seconds)
        # Who is short while others have too much soon takes any engine.
        short = bool(over) and request.team not in over
        busy = 0.0 if short else self.busy
        return placement.choose_engine(
            states,
            self.engine,
            request.keys,
            request.terms,
            placement.recompute_weight(self.now - request.arrived_at, target, busy),
            placement.prefill_window_seconds(over.get(request.team)),
        )

    def may_have_room(self, excess: float | None) -> bool:
        """Whether some endpoint could take a request of a team with this excess of its share.

        In an overloaded gateway this saves the choice for each of hundreds of waiting requests.
        """
        if self.engine is None:
            return True
        window = placement.prefill_window_seconds(excess)
        if window <= self.full_for:
            return False
        if placement.any_has_capacity(self.states, self.engine, window):
            return True
        self.full_for = window
        return False

    def refresh(self, endpoint: gateway.Endpoint) -> None:
        """Take in that an endpoint was given a request."""
        if not self.placer.may_get(endpoint, self.now):
            self.candidates = [item for item in self.candidates if item.id != endpoint.id]
            self.states = [item for item in self.states if item.endpoint.id != endpoint.id]
        for index, state in enumerate(self.states):
            if state.endpoint.id == endpoint.id and self.engine is not None:
                view = self.fleet.view
                self.states[index] = placement.EngineState(endpoint, self.engine, view, self.now)


class Placer:
    """Gives waiting requests endpoints: who can be in time, least served team, then by arrival."""

    def __init__(
        self,
        fleet: fleet_module.FleetState,
        on_prompt: collections.abc.Callable[[str, list[tuple[int, int]]], None],
    ) -> None:
        self.fleet = fleet
        self.queues: dict[str, list[WaitingRequest]] = {}
        self.pumped_at = 0.0
        self.pause_seconds = PUMP_SECONDS
        self.on_prompt = on_prompt

    async def run(self) -> None:
        """Look at the waiting requests from time to time, until cancelled."""
        while True:
            started = clocks.boot_time()
            for service in list(self.queues):
                self.pump(service)
            spent = clocks.boot_time() - started
            self.pause_seconds = max(PUMP_SECONDS, spent / LOOKING_SHARE)
            await asyncio.sleep(self.pause_seconds)

    async def place(self, request: WaitingRequest) -> placement.Choice | PlacementRefusal:
        """Wait until the request has an endpoint or is refused."""
        queue = self.queues.setdefault(request.service, [])
        request.future = asyncio.get_running_loop().create_future()
        self.fleet.demand.record(
            request.team, team_usage.charged_tokens(request.terms), clocks.boot_time()
        )
        queue.append(request)
        # With others waiting, the next regular look finds the request in its order.
        if len(queue) == 1 or clocks.boot_time() - self.pumped_at > self.pause_seconds:
            self.pump(request.service)
        try:
            return await request.future
        except asyncio.CancelledError:
            # The client may leave after the endpoint was reserved and before this task goes on.
            if request.future.done() and not request.future.cancelled():
                self.release(request, request.future.result())
            raise
        finally:
            if request in queue:
                queue.remove(request)

    def pump(self, service: str) -> None:
        """Give endpoints to the waiting requests of a service and refuse hopeless ones."""
        queue = self.queues.get(service)
        if not queue:
            self.queues.pop(service, None)
            return
        now = self.pumped_at = clocks.boot_time()
        usage = self.fleet.usage.totals(now)
        asked = self.fleet.demand.totals(now)
        over = team_usage.excess_over_share(asked, usage)
        speed = self.read_speed(service, asked, now)
        queue.sort(
            key=lambda item: (
                item.team in over,
                now > item.in_time_until,
                usage.get(item.team, 0.0),
                item.arrived_at,
            )
        )
        pool = Pool(self, service, now)
        ahead = 0
        blocked = 0
        for request in list(queue):
            if request.future is None or request.future.done():
                continue
            # When many get nothing, the rest is only checked for refusal.
            choice = None
            if blocked < MOST_BLOCKED and pool.may_have_room(over.get(request.team)):
                choice = pool.choose(request, over)
            if choice is not None and choice.has_capacity:
                self.reserve(request, choice, now)
                queue.remove(request)
                request.future.set_result(choice)
                pool.refresh(choice.endpoint)
                continue
            blocked += 1
            if choice is not None:
                request.unread_tokens = choice.unread_tokens
            waits_in_vain = bool(pool.candidates) and (now + ahead / speed > request.refuse_at)
            if now >= request.refuse_at or waits_in_vain:
                queue.remove(request)
                request.future.set_result(self.refuse(request, pool.candidates, ahead, speed, over))
                continue
            ahead += request.unread_tokens

    def read_speed(self, service: str, asked: dict[str, float], now: float) -> float:
        """Return the tokens a second that this gateway may count on.

        The balancer spreads clients unevenly; a gateway counts on the part of the engines that its
        part of all arrivals needs.
        """
        engines = max(1, len(self.fleet.table.usable(service, now)))
        total = sum(asked.values())
        part = sum(self.fleet.demand.own.values()) / total if total > 0 else 1.0
        part = min(1.0, max(part, 1.0 / len(self.fleet.live_gateways)))
        return placement.PREFILL_TOKENS_PER_SECOND * engines * part

    def refuse(
        self,
        request: WaitingRequest,
        candidates: list[gateway.Endpoint],
        ahead: int,
        speed: float,
        over: dict[str, float],
    ) -> PlacementRefusal:
        """Return a refusal with a time to come back."""
        wait = ahead / speed
        spread = 1.0 + RETURN_SPREAD * random.random()
        return PlacementRefusal(
            reason="no capacity in time" if candidates else "no endpoint",
            retry_after_seconds=min(
                LONGEST_RETURN_SECONDS, (wait + SHORTEST_RETURN_SECONDS) * spread
            ),
            wait_seconds=wait,
            tokens_ahead=ahead,
            candidates=len(candidates),
            over_share=request.team in over,
        )

    def candidates(self, service_name: str, now: float) -> list[gateway.Endpoint]:
        """Return the endpoints that may get a request now."""
        usable = self.fleet.table.usable(service_name, now)
        return [endpoint for endpoint in usable if self.may_get(endpoint, now)]

    def may_get(self, endpoint: gateway.Endpoint, now: float) -> bool:
        """Whether an endpoint is not left alone for now, and warm or within its pace."""
        configuration = self.fleet.configuration
        service = configuration.services.get(endpoint.service) if configuration else None
        return (
            service is not None
            and not self.fleet.health.in_backoff(endpoint.id, now)
            and self.warm_or_paced(endpoint, service, now)
        )

    def warm_or_paced(
        self, endpoint: gateway.Endpoint, service: gateway.Service, now: float
    ) -> bool:
        """Whether an endpoint is warm, or this process may send it a request now."""
        if self.fleet.table.cold_until(endpoint) <= now:
            return True
        rate = service.cold_requests_per_second
        if rate <= 0:
            return True
        if now < self.fleet.started_at + cold_start.PEER_DISCOVERY_SECONDS:
            return False
        gateways = self.fleet.live_gateways
        own_id = self.fleet.settings.instance_id
        return self.fleet.pace.may_send(endpoint.id, rate, own_id, gateways, now)

    def release(self, request: WaitingRequest, placed: placement.Choice | PlacementRefusal) -> None:
        """Take back the reservation of a request that will not be sent."""
        if isinstance(placed, placement.Choice):
            memory_tokens = request.terms.prompt_tokens + request.terms.output_tokens
            self.fleet.loads.finish_request(placed.endpoint.id, memory_tokens, placed.unread_tokens)

    def reserve(self, request: WaitingRequest, choice: placement.Choice, now: float) -> None:
        """Count a request at its endpoint before it is sent."""
        fleet = self.fleet
        endpoint = choice.endpoint
        terms = request.terms
        fleet.loads.start_request(
            endpoint.id, choice.unread_tokens, terms.prompt_tokens + terms.output_tokens
        )
        service = fleet.configuration.services[request.service] if fleet.configuration else None
        if service is None:
            return
        if service.engine is not None:
            cache = fleet.caches.get(endpoint.id, service.engine.cache_tokens)
            cache.record_prompt(request.keys)
            self.on_prompt(endpoint.id, request.keys)
            fleet.usage.record(request.team, team_usage.charged_tokens(terms), now)
        if fleet.table.cold_until(endpoint) > now and service.cold_requests_per_second > 0:
            fleet.pace.record_send(
                endpoint.id, service.cold_requests_per_second, fleet.known_gateways, now
            )
