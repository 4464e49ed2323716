"""The queues of requests that wait for an endpoint, and the order in which they are placed."""

import asyncio
import collections.abc
import math
import random

import msgspec

from masticward.gateway import fleet as fleet_module
from masticward.models import gateway
from masticward.state import (
    buffered_bytes,
    cold_start,
    part_quarantine,
    placement,
    prompt_cache,
    team_usage,
)
from masticward.utils import clocks

# The queues are scanned periodically because changes of the peers' loads trigger no event here.
QUEUE_SCAN_SECONDS = 0.02
# Once this many requests of a scan found no endpoint, the rest are only checked for refusal. The
# limit is high enough that small requests are still tried behind large ones, which wait for the
# engines that cache their shared prefixes.
MAX_FAILED_CHOICES = 60
# Largest fraction of processor time spent on scanning long queues.
SCAN_CPU_FRACTION = 0.2
# A request that has waited for this fraction of its latency target is refused: the rest is needed
# for the prefill of its prompt, and a later response is of little use to the client.
MAX_WAIT_FRACTION = 0.8
# A request that has not been sent after this fraction of its latency target counts as late, because
# the rest passes in the engine's backlog and during its own prefill. Late requests queue behind
# those that can still meet their target.
IN_TIME_FRACTION = 0.5
# Random fraction added to retry delays so that refused clients do not retry at the same time.
RETRY_AFTER_JITTER_FRACTION = 0.5
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 1.5

# Draws a number of endpoint IDs.
Sample = collections.abc.Callable[[list[str], int], list[str]]


class PlacementRefusal(msgspec.Struct, frozen=True):
    """The outcome for a request that certainly did not run; the client may retry it later."""

    reason: str
    retry_after_seconds: float
    expected_wait_seconds: float
    # Unread tokens of the requests before this one in this gateway's queue.
    tokens_ahead: int
    # Endpoints that were neither in backoff nor cold with a used-up request rate.
    candidate_count: int
    # Whether the request's team was above its fair share.
    over_share: bool


class WaitingRequest:
    """A request that waits for an endpoint. Times are in seconds of ``clocks.boot_time``."""

    __slots__ = (
        "arrived_at",
        "body_bytes",
        "excluded_endpoint_ids",
        "future",
        "in_time_until",
        "metadata",
        "part_keys",
        "prefix_keys",
        "refuse_at",
        "route",
        "service",
        "team",
        "unread_tokens",
        "waits_for_room",
    )

    def __init__(
        self,
        metadata: gateway.RequestMetadata,
        route: gateway.Route,
        service: str,
        team: str | None,
        refuse_at: float,
    ) -> None:
        self.metadata = metadata
        self.route = route
        self.service = service
        self.team = team or ""
        self.refuse_at = refuse_at
        self.arrived_at = metadata.arrived_at
        # Prompt tokens that the engine of the latest choice would have to prefill; the whole prompt
        # before the first choice.
        self.unread_tokens = metadata.prompt_tokens
        self.in_time_until = metadata.arrived_at + IN_TIME_FRACTION * route.target_latency_seconds
        self.prefix_keys = prompt_cache.prefix_keys(metadata.parts)
        # Of the parts that other requests may share; the last one is the request's own.
        self.part_keys = tuple(part_quarantine.part_key(part.id) for part in metadata.parts[:-1])
        # Length of the body if what endpoints hold of bodies is bounded, otherwise 0.
        self.body_bytes = 0
        # Whether every endpoint that it could use lacked room for the body in the latest scan.
        self.waits_for_room = False
        self.excluded_endpoint_ids: set[str] = set()
        self.future: asyncio.Future[placement.Choice | PlacementRefusal] | None = None


class EngineComparison(msgspec.Struct, frozen=True):
    """The engines among which a request is placed, with their ranks, and what it is judged by."""

    compared: list[tuple[int, placement.EngineState]]
    recompute_weight: float
    window_seconds: float
    max_own_tokens: float


class CandidatePool:
    """The endpoints of a service that may receive requests, during one scan of its queue."""

    __slots__ = (
        "canary_ids",
        "candidates",
        "connected_ids",
        "engine",
        "engine_states",
        "fleet",
        "full_window_seconds",
        "max_own_tokens",
        "now",
        "placer",
        "prefill_utilization",
        "service_name",
    )

    def __init__(self, request_placer: "Placer", service_name: str, now: float) -> None:
        self.placer = request_placer
        self.fleet = request_placer.fleet
        self.now = now
        self.service_name = service_name
        self.candidates = request_placer.candidates(service_name, now)
        # Endpoints of a new version, which get requests only within the limits of its rollout, also
        # while all old endpoints are closed for a moment and therefore no candidates.
        self.canary_ids: frozenset[str] = frozenset()
        if self.fleet.rollouts.active(service_name) is not None:
            self.canary_ids = self.fleet.rollouts.canary_ids(
                service_name, self.fleet.usable_endpoints(service_name, now)
            )
        configuration = self.fleet.configuration
        service = configuration.services.get(service_name) if configuration else None
        self.engine = service.engine if service else None
        self.engine_states: dict[str, placement.EngineState] = {}
        self.connected_ids: list[str] = []
        self.prefill_utilization = 0.0
        # Widest prefill window for which no engine has capacity; valid for the whole scan, because
        # a scan only adds load to engines.
        self.full_window_seconds = 0.0
        self.max_own_tokens = math.inf
        if self.fleet.has_limited_capacity(service_name):
            self.max_own_tokens = placement.MAX_COUNTED_OWN_TOKENS
        if self.engine is not None:
            self.connected_ids = request_placer.connected_ids()
            self.engine_states = placement.engine_states(
                self.candidates, self.engine, self.fleet.view, now
            )
            self.prefill_utilization = placement.prefill_utilization(self.engine_states.values())

    def choose(
        self, request: WaitingRequest, excess_by_team: dict[str, float], is_test: bool = False
    ) -> placement.Choice | None:
        """Return the best endpoint for a request, None without a candidate.

        ``excess_by_team`` maps teams above their fair share to the multiple of it they received.
        A test of suspected parts gets no endpoint that has crashed or at which others are tested.
        """
        if not self.canary_ids:
            return self.choose_among(request, excess_by_team, is_test, frozenset())
        choice = None
        if self.fleet.rollouts.may_send(
            self.service_name, request.metadata.request_id, self.fleet.settings.bounds, self.now
        ):
            others = frozenset(item.id for item in self.candidates) - self.canary_ids
            choice = self.choose_among(request, excess_by_team, is_test, others)
        if choice is None or not choice.has_capacity:
            choice = self.choose_among(request, excess_by_team, is_test, self.canary_ids)
        return choice

    def choose_among(
        self,
        request: WaitingRequest,
        excess_by_team: dict[str, float],
        is_test: bool,
        left_out_ids: frozenset[str],
    ) -> placement.Choice | None:
        """Return the best endpoint for a request that is not in ``left_out_ids``."""
        excluded_ids = self.excluded_ids(request, is_test) | left_out_ids
        if self.engine is None:
            candidates = self.candidates
            if excluded_ids:
                candidates = [item for item in candidates if item.id not in excluded_ids]
            zone = self.fleet.settings.availability_zone
            return placement.choose_plain_endpoint(
                candidates, zone, self.fleet.view, self.now, request.route.retryable
            )
        comparison = self.compare_engines(request, excess_by_team, excluded_ids)
        return placement.choose_engine(
            comparison.compared,
            self.engine,
            request.prefix_keys,
            request.metadata,
            comparison.recompute_weight,
            comparison.window_seconds,
            comparison.max_own_tokens,
        )

    def excluded_ids(self, request: WaitingRequest, is_test: bool) -> set[str]:
        """Return the IDs of the candidates that a request may not use."""
        excluded_ids = self.unusable_ids(request)
        if is_test:
            avoided = self.fleet.quarantine.endpoints_to_avoid(self.now)
            excluded_ids = excluded_ids | {
                item.id for item in self.candidates if item.incarnation in avoided
            }
        return excluded_ids

    def compare_engines(
        self,
        request: WaitingRequest,
        excess_by_team: dict[str, float],
        excluded_ids: set[str],
        sample: Sample | None = None,
    ) -> EngineComparison:
        """Return the engines among which a request is placed; ``sample`` draws some of many.

        Without ``sample`` they are drawn as the placer does.
        """
        states = self.engine_states
        if excluded_ids:
            states = {
                endpoint_id: state
                for endpoint_id, state in states.items()
                if endpoint_id not in excluded_ids
            }
        target_seconds = max(0.01, request.route.target_latency_seconds)
        # A team within its share while others are above theirs soon gets any engine, instead of
        # waiting for the one that caches its prefix while all of them are busy.
        others_in_excess = bool(excess_by_team) and request.team not in excess_by_team
        prefill_utilization = 0.0 if others_in_excess else self.prefill_utilization
        waited_seconds = self.now - request.arrived_at
        return EngineComparison(
            placement.engines_to_compare(
                states,
                request.prefix_keys,
                waited_seconds / target_seconds,
                self.connected_ids,
                sample or self.placer.sample,
            ),
            placement.recompute_weight(waited_seconds, target_seconds, prefill_utilization),
            placement.prefill_window_seconds(excess_by_team.get(request.team)),
            self.max_own_tokens,
        )

    def excludes_all(self, request: WaitingRequest) -> bool:
        """Return whether there are candidates, but none that a request may use."""
        excluded_ids = self.unusable_ids(request)
        return bool(self.candidates and excluded_ids) and all(
            item.id in excluded_ids for item in self.candidates
        )

    def unusable_ids(self, request: WaitingRequest) -> set[str]:
        """Return the endpoints that a request may not use or that have no room for its body."""
        bodies = self.fleet.endpoint_bodies
        configuration = self.fleet.configuration
        if not request.body_bytes or not bodies.held or configuration is None:
            return request.excluded_endpoint_ids
        full_ids = bodies.full_ids(
            request.body_bytes, configuration.limits.body_bytes, len(self.fleet.live_gateways)
        )
        return request.excluded_endpoint_ids | full_ids

    def may_have_capacity(self, excess: float | None) -> bool:
        """Return whether some endpoint could take a request of a team with this excess.

        This check is cheaper than a choice; an overloaded gateway makes it for hundreds of waiting
        requests in each scan.
        """
        if self.engine is None:
            return True
        window_seconds = placement.prefill_window_seconds(excess)
        if window_seconds <= self.full_window_seconds:
            return False
        if placement.any_has_capacity(self.engine_states.values(), self.engine, window_seconds):
            return True
        self.full_window_seconds = window_seconds
        return False

    def update(self, endpoint: gateway.Endpoint) -> None:
        """Refresh the state of an endpoint that a request was assigned to."""
        if not self.placer.is_candidate(endpoint, self.now):
            self.candidates = [item for item in self.candidates if item.id != endpoint.id]
            self.engine_states.pop(endpoint.id, None)
        if endpoint.id in self.engine_states and self.engine is not None:
            self.engine_states[endpoint.id] = placement.EngineState(
                endpoint, self.engine, self.fleet.view, self.now
            )


class Placer:
    """Assigns endpoints to waiting requests.

    Requests of teams within their fair share come first, then those that can still meet their
    latency target, then those of the least served team, then the oldest.
    """

    def __init__(
        self,
        fleet: fleet_module.FleetState,
        on_prompt: collections.abc.Callable[[str, list[tuple[int, int]]], None],
        connected_ids: collections.abc.Callable[[], list[str]] = list,
    ) -> None:
        self.fleet = fleet
        # Returns the IDs of the endpoints to which this process has an idle connection.
        self.connected_ids = connected_ids
        self.queues: dict[str, list[WaitingRequest]] = {}
        self.scanned_at = 0.0
        self.scan_interval_seconds = QUEUE_SCAN_SECONDS
        self.on_prompt = on_prompt
        # Called with bound, request ID, endpoint ID and bytes when a bound on buffered bytes acts.
        self.on_bound: collections.abc.Callable[
            [buffered_bytes.Bound, str, str | None, int], object
        ] = lambda bound, request_id, endpoint_id, size: None
        # Draws engines to compare; None for the generator of the placement.
        self.sample: Sample | None = None

    async def run(self) -> None:
        """Scan the queues periodically until cancelled."""
        while True:
            started_at = clocks.boot_time()
            self.fleet.quarantine.advance(started_at)
            for service in list(self.queues):
                self.process_queue(service)
            scan_seconds = clocks.boot_time() - started_at
            self.scan_interval_seconds = max(QUEUE_SCAN_SECONDS, scan_seconds / SCAN_CPU_FRACTION)
            await asyncio.sleep(self.scan_interval_seconds)

    async def place(self, request: WaitingRequest) -> placement.Choice | PlacementRefusal:
        """Wait until the request is assigned to an endpoint or refused."""
        queue = self.queues.setdefault(request.service, [])
        request.future = asyncio.get_running_loop().create_future()
        self.fleet.demand.record(
            request.team, team_usage.charged_tokens(request.metadata), clocks.boot_time()
        )
        queue.append(request)
        # With other requests waiting, the next periodic scan handles this one in its order.
        if len(queue) == 1 or clocks.boot_time() - self.scanned_at > self.scan_interval_seconds:
            self.process_queue(request.service)
        try:
            return await request.future
        except asyncio.CancelledError:
            # The client may disconnect between the reservation and the resumption of this task.
            if request.future.done() and not request.future.cancelled():
                self.release(request, request.future.result())
            raise
        finally:
            if request in queue:
                queue.remove(request)

    def process_queue(self, service: str) -> None:
        """Assign endpoints to a service's waiting requests; refuse those that would be too late."""
        queue = self.queues.get(service)
        if not queue:
            self.queues.pop(service, None)
            return
        now = self.scanned_at = clocks.boot_time()
        usage = self.fleet.usage.totals(now)
        demand = self.fleet.demand.totals(now)
        excess_by_team = team_usage.excess_over_share(demand, usage)
        prefill_tokens_per_second = self.prefill_tokens_per_second(service, demand, now)
        queue.sort(
            key=lambda item: (
                item.team in excess_by_team,
                now > item.in_time_until,
                usage.get(item.team, 0.0),
                item.arrived_at,
            )
        )
        pool = self.build_pool(service, now)
        opens_at = now if pool.candidates else self.opens_at(service, now)
        quarantine = self.fleet.quarantine
        tokens_ahead = 0
        failed_choices = 0
        for request in list(queue):
            if request.future is None or request.future.done():
                continue
            verdict = part_quarantine.Verdict.SEND
            if quarantine.restricted:
                verdict, refused_until = quarantine.verdict(
                    request.part_keys, self.fleet.live_gateways, now
                )
                if self.hold_back(request, verdict, refused_until, len(pool.candidates), now):
                    if request.future.done():
                        queue.remove(request)
                    continue
            is_test = verdict is part_quarantine.Verdict.TEST
            choice = None
            # Others don't wait for what it may not use.
            delays_others = not pool.excludes_all(request)
            self.record_room(request, pool, not delays_others)
            if (
                delays_others
                and failed_choices < MAX_FAILED_CHOICES
                and pool.may_have_capacity(excess_by_team.get(request.team))
            ):
                choice = pool.choose(request, excess_by_team, is_test)
            if choice is not None and choice.has_capacity:
                self.reserve(request, choice, now)
                if is_test:
                    quarantine.start_test(
                        request.part_keys,
                        choice.endpoint.incarnation,
                        request.metadata.request_id,
                        now,
                    )
                queue.remove(request)
                request.future.set_result(choice)
                pool.update(choice.endpoint)
                continue
            failed_choices += delays_others
            if choice is not None:
                request.unread_tokens = choice.unread_tokens
            cannot_be_in_time = opens_at > request.refuse_at or (
                bool(pool.candidates)
                and now + tokens_ahead / prefill_tokens_per_second > request.refuse_at
            )
            if now >= request.refuse_at or cannot_be_in_time:
                queue.remove(request)
                request.future.set_result(
                    self.build_refusal(
                        request,
                        pool.candidates,
                        opens_at - now,
                        tokens_ahead,
                        prefill_tokens_per_second,
                        excess_by_team,
                    )
                )
                continue
            if delays_others:
                tokens_ahead += request.unread_tokens

    def record_room(self, request: WaitingRequest, pool: CandidatePool, excluded: bool) -> None:
        """Record whether a request waits because endpoints hold too many bytes of bodies."""
        waits = excluded and any(
            item.id not in request.excluded_endpoint_ids for item in pool.candidates
        )
        if waits and not request.waits_for_room:
            self.on_bound(
                buffered_bytes.Bound.ENDPOINT_BODIES,
                request.metadata.request_id,
                None,
                request.body_bytes,
            )
        request.waits_for_room = waits

    def build_pool(self, service: str, now: float) -> CandidatePool:
        """Return the endpoints of a service for one scan of its queue."""
        return CandidatePool(self, service, now)

    def draw(self) -> float:
        """Return a random number from 0 to 1, by which retry delays are spread."""
        return random.random()

    def hold_back(
        self,
        request: WaitingRequest,
        verdict: part_quarantine.Verdict,
        refused_until: float,
        candidate_count: int,
        now: float,
    ) -> bool:
        """Refuse a request with quarantined parts and hold one with suspected parts.

        Return False if the request may be sent now.
        """
        reason = ""
        jitter = RETRY_AFTER_JITTER_FRACTION * self.draw()
        retry_after_seconds = MAX_RETRY_AFTER_SECONDS * (1.0 + jitter)
        if verdict is part_quarantine.Verdict.REFUSE:
            reason = "a part of the prompt is quarantined"
            retry_after_seconds = (refused_until - now) * (1.0 + jitter)
        elif verdict is part_quarantine.Verdict.WAIT:
            if now < request.refuse_at:
                return True
            reason = "a part of the prompt is suspected to crash endpoints"
        if not reason or request.future is None:
            return False
        request.future.set_result(
            PlacementRefusal(
                reason=reason,
                retry_after_seconds=retry_after_seconds,
                expected_wait_seconds=0.0,
                tokens_ahead=0,
                candidate_count=candidate_count,
                over_share=False,
            )
        )
        return True

    def prefill_tokens_per_second(
        self, service: str, demand: dict[str, float], now: float
    ) -> float:
        """Return this gateway's expected share of the engines' prefill rate, in tokens per second.

        The load balancer distributes clients unevenly, so the share is the gateway's fraction of
        all arriving tokens, and at least an equal share among the live gateways.
        """
        usable = self.fleet.usable_endpoints(service, now)
        engines: float = max(1, len(usable))
        if usable and self.fleet.speeds.is_reported(service):
            # Engines of normal speed with the same rate in total.
            engines = sum(1.0 / self.fleet.speeds.time_factor(item.id, now) for item in usable)
        total = sum(demand.values())
        fraction = sum(self.fleet.demand.own.values()) / total if total > 0 else 1.0
        fraction = min(1.0, max(fraction, 1.0 / len(self.fleet.live_gateways)))
        return placement.PREFILL_TOKENS_PER_SECOND * engines * fraction

    def build_refusal(
        self,
        request: WaitingRequest,
        candidates: list[gateway.Endpoint],
        closed_seconds: float,
        tokens_ahead: int,
        prefill_tokens_per_second: float,
        excess_by_team: dict[str, float],
    ) -> PlacementRefusal:
        """Return a refusal with a randomized retry delay.

        For ``closed_seconds`` no endpoint of the service wants a request.
        """
        expected_wait_seconds = tokens_ahead / prefill_tokens_per_second
        jitter = 1.0 + RETRY_AFTER_JITTER_FRACTION * self.draw()
        reason = "no capacity in time" if candidates else "no endpoint"
        if request.waits_for_room:
            reason = "no endpoint has room for the body"
        if closed_seconds > 0.0:
            reason = "no endpoint wants a request yet"
        return PlacementRefusal(
            reason=reason,
            retry_after_seconds=closed_seconds
            + min(
                MAX_RETRY_AFTER_SECONDS, (expected_wait_seconds + MIN_RETRY_AFTER_SECONDS) * jitter
            ),
            expected_wait_seconds=expected_wait_seconds,
            tokens_ahead=tokens_ahead,
            candidate_count=len(candidates),
            over_share=request.team in excess_by_team,
        )

    def opens_at(self, service_name: str, now: float) -> float:
        """Return when the first endpoint of a service wants a request, if all have said when.

        Return the time ``now`` if that is unknown: one may be usable sooner for another reason, or
        all are leaving, and others may be listed at any moment.
        """
        times = [
            self.fleet.announcements.opens_at(endpoint, now)
            for endpoint in self.fleet.usable_endpoints(service_name, now)
        ]
        times = [time for time in times if time < math.inf]
        return min(times, default=now)

    def candidates(self, service_name: str, now: float) -> list[gateway.Endpoint]:
        """Return the endpoints of a service that may receive a request now."""
        usable = self.fleet.usable_endpoints(service_name, now)
        configuration = self.fleet.configuration
        service = configuration.services.get(service_name) if configuration else None
        if service is None:
            return []
        return [item for item in usable if self.accepts_requests(item, service, now)]

    def is_candidate(self, endpoint: gateway.Endpoint, now: float) -> bool:
        """Return whether an endpoint is out of backoff, and warm or within its cold-start rate."""
        configuration = self.fleet.configuration
        service = configuration.services.get(endpoint.service) if configuration else None
        return service is not None and self.accepts_requests(endpoint, service, now)

    def accepts_requests(
        self, endpoint: gateway.Endpoint, service: gateway.Service, now: float
    ) -> bool:
        """Return whether an endpoint of a known service may receive a request now."""
        return (
            not self.fleet.health.in_backoff(endpoint.id, now)
            and self.fleet.announcements.is_open(endpoint, now)
            and self.is_warm_or_within_cold_rate(endpoint, service, now)
        )

    def is_warm_or_within_cold_rate(
        self, endpoint: gateway.Endpoint, service: gateway.Service, now: float
    ) -> bool:
        """Return whether an endpoint is warm or its cold-start rate admits a request now."""
        if self.fleet.table.cold_until(endpoint) <= now:
            return True
        rate = service.cold_requests_per_second
        if rate <= 0:
            return True
        if now < self.fleet.started_at + cold_start.PEER_DISCOVERY_SECONDS:
            return False
        gateways = self.fleet.live_gateways
        own_id = self.fleet.settings.instance_id
        return self.fleet.cold_start_limiter.may_send(endpoint.id, rate, own_id, gateways, now)

    def release(self, request: WaitingRequest, placed: placement.Choice | PlacementRefusal) -> None:
        """Release the reservation of a request that will not be sent."""
        if isinstance(placed, placement.Choice):
            memory_tokens = request.metadata.prompt_tokens + request.metadata.output_tokens
            self.fleet.loads.finish_request(placed.endpoint.id, memory_tokens, placed.unread_tokens)
            self.fleet.endpoint_bodies.remove(placed.endpoint.id, request.body_bytes)
            self.fleet.quarantine.end_test(
                request.part_keys, request.metadata.request_id, placed.endpoint.incarnation
            )

    def reserve(self, request: WaitingRequest, choice: placement.Choice, now: float) -> None:
        """Add a request to the load of its endpoint before it is sent."""
        fleet = self.fleet
        endpoint = choice.endpoint
        metadata = request.metadata
        fleet.loads.start_request(
            endpoint.id,
            choice.unread_tokens,
            metadata.prompt_tokens + metadata.output_tokens,
        )
        fleet.endpoint_bodies.add(endpoint.id, request.body_bytes)
        service = fleet.configuration.services[request.service] if fleet.configuration else None
        if service is None:
            return
        is_cold = fleet.table.cold_until(endpoint) > now
        fleet.rollouts.record_send(endpoint, is_cold, now)
        if service.engine is not None:
            cache = fleet.caches.get(endpoint.id, service.engine.cache_tokens)
            cache.record_prompt(request.prefix_keys)
            self.on_prompt(endpoint.id, request.prefix_keys)
            fleet.usage.record(request.team, team_usage.charged_tokens(metadata), now)
        if is_cold and service.cold_requests_per_second > 0:
            fleet.cold_start_limiter.record_send(
                endpoint.id, service.cold_requests_per_second, fleet.known_gateway_count, now
            )
