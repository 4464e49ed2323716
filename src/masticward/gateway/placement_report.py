"""Describes the dry run of a placement: outcome, candidates and why other endpoints get nothing."""

import msgspec

from masticward.gateway import dry_run, placer
from masticward.models import gateway
from masticward.protocol import placement_explanations as messages
from masticward.state import (
    announcements,
    cold_start,
    part_quarantine,
    placement,
    team_usage,
)
from masticward.utils import clocks


class PlacementReport:
    """Fills in an explanation from the dry run of a scan."""

    def __init__(self, dry_placer: dry_run.DryPlacer, explanation: messages.Explanation) -> None:
        self.placer = dry_placer
        self.fleet = dry_placer.fleet
        self.request = dry_placer.explained
        self.explanation = explanation

    def fill(self) -> None:
        """Scan the queue and describe outcome, candidates and other endpoints."""
        explanation, request = self.explanation, self.request
        now = clocks.boot_time()
        usage = self.fleet.usage.totals(now)
        demand = self.fleet.demand.totals(now)
        excess_by_team = team_usage.excess_over_share(demand, usage)
        rate = self.placer.prefill_tokens_per_second(request.service, demand, now)
        opens_at = self.placer.opens_at(request.service, now)
        verdict, _ = self.fleet.quarantine.verdict(request.part_keys, self.fleet.live_gateways, now)
        is_test = verdict is part_quarantine.Verdict.TEST
        explanation.restricted_parts = self.describe_parts(now)
        explanation.team_excess = excess_by_team.get(request.team)
        # The scan changes the copies, so these come first.
        candidate_ids = {item.id for item in self.placer.candidates(request.service, now)}
        explanation.excluded = [
            messages.Excluded(
                endpoint_id=item.id,
                zone=item.availability_zone,
                reasons=self.exclusions(item, now),
            )
            for item in self.fleet.table.endpoints.values()
            if item.service == request.service and item.id not in candidate_ids
        ]
        outcome = self.placer.scan()
        pool = self.placer.pool
        if not pool.first_candidates:
            explanation.opens_in_seconds = max(0.0, opens_at - now)
        explanation.waiting = self.placer.waiting_count
        explanation.place = len(self.placer.ahead)
        explanation.tokens_ahead = sum(item.unread_tokens for item in self.placer.ahead)
        if isinstance(outcome, placement.Choice):
            explanation.outcome = "sent"
            explanation.endpoint_id = outcome.endpoint.id
        elif isinstance(outcome, placer.PlacementRefusal):
            explanation.outcome = "refused"
            explanation.tokens_ahead = outcome.tokens_ahead
            explanation.expected_wait_seconds = outcome.expected_wait_seconds
            explanation.refusal = messages.Refusal(
                status=503,
                reason=outcome.reason,
                retry_after_seconds=outcome.retry_after_seconds,
            )
        else:
            explanation.outcome = "waits"
            verdict, _ = self.fleet.quarantine.verdict(
                request.part_keys, self.fleet.live_gateways, now
            )
            explanation.held_back = verdict is part_quarantine.Verdict.WAIT
            still = [item for item in self.placer.ahead if item.future and not item.future.done()]
            explanation.place = len(still)
            # Others don't wait for what has no endpoint that it may use.
            explanation.tokens_ahead = sum(
                item.unread_tokens for item in still if not pool.excludes_all(item)
            )
            explanation.expected_wait_seconds = explanation.tokens_ahead / rate
        self.describe_candidates(pool, excess_by_team, is_test)

    def describe_parts(self, now: float) -> list[messages.RestrictedPart]:
        """Return the parts of the prompt with evidence against them."""
        found = []
        for key in self.request.part_keys:
            part = self.fleet.quarantine.restricted.get(key)
            if part is not None:
                quarantined = part.is_quarantined(now)
                found.append(
                    messages.RestrictedPart(
                        part=key,
                        state="quarantined" if quarantined else "suspected",
                        seconds=part.quarantined_until - now if quarantined else 0.0,
                    )
                )
        return found

    def exclusions(self, endpoint: gateway.Endpoint, now: float) -> list[str]:
        """Return what keeps requests from an endpoint that is no candidate.

        Further rules name their reasons here; until they do, the last one stands for them.
        """
        fleet, name = self.fleet, endpoint.id
        configuration = fleet.configuration
        service = configuration.services.get(endpoint.service) if configuration else None
        if service is None:
            return ["its service is not in the configuration"]
        reasons = []
        if endpoint.draining:
            reasons.append("draining")
        if endpoint.availability_zone in fleet.table.evacuated_zones:
            reasons.append(f"zone {endpoint.availability_zone} is evacuated")
        if fleet.table.missing.get(name, now + 1) <= now:
            reasons.append("missing after a store outage")
        if fleet.announcements.is_leaving(endpoint):
            reasons.append("said that it leaves")
        elif not fleet.announcements.is_open(endpoint, now):
            seconds = fleet.announcements.paused_until[announcements.key_of(endpoint)] - now
            reasons.append(f"wants no request for {seconds:.2f} s")
        if fleet.health.in_backoff(name, now):
            seconds = fleet.health.endpoints[name].backoff_until - now
            reasons.append(f"in backoff for {seconds:.2f} s")
        if not self.placer.is_warm_or_within_cold_rate(endpoint, service, now):
            seconds = fleet.table.cold_until(endpoint) - now
            reasons.append(f"cold for {seconds:.2f} s, {self.cold_reason(name, now)}")
        if not reasons and not fleet.allows_version(endpoint, now):
            reasons.append(f"version {endpoint.version or 'unknown'} gets no requests")
        return reasons or ["excluded by another rule"]

    def cold_reason(self, endpoint_id: str, now: float) -> str:
        """Return why a cold endpoint gets nothing from this gateway."""
        fleet = self.fleet
        if now < fleet.started_at + cold_start.PEER_DISCOVERY_SECONDS:
            return "and this gateway does not know its peers yet"
        if fleet.settings.instance_id not in cold_start.senders(endpoint_id, fleet.live_gateways):
            return "and other gateways send to it meanwhile"
        seconds = fleet.cold_start_limiter.next_send_at.get(endpoint_id, now) - now
        return f"rate used up for {seconds:.2f} s"

    def describe_candidates(
        self, pool: dry_run.DryPool, excess_by_team: dict[str, float], is_test: bool
    ) -> None:
        """Describe the candidates, those that come first for the request first."""
        explanation, request = self.explanation, self.request
        excluded_ids = pool.excluded_before or pool.excluded_ids(request, is_test)
        costs: dict[str, messages.CostTerms] = {}
        ranks: dict[str, int] = {}
        with_capacity = {name for name, cost in pool.plain_costs.items() if cost.has_slot}
        last = {name for name, cost in pool.plain_costs.items() if cost.comes_last}
        for name, plain in pool.plain_costs.items():
            if name not in excluded_ids:
                costs[name] = msgspec.convert(plain, messages.CostTerms, from_attributes=True)
        prefix = placement.owned_prefix(request.prefix_keys) if pool.engine else None
        if pool.engine is not None:
            comparison = pool.comparison or pool.compare_engines(
                request, excess_by_team, excluded_ids
            )
            explanation.shared_tokens = prefix[1] if prefix else 0
            explanation.recompute_weight = comparison.recompute_weight
            explanation.prefill_window_seconds = comparison.window_seconds
            if prefix is None and len(comparison.compared) > placement.SAMPLE_SIZE:
                explanation.sample_size = placement.SAMPLE_SIZE
            for rank, state in comparison.compared:
                name = state.endpoint.id
                cost = placement.engine_cost(
                    rank,
                    state,
                    request.prefix_keys,
                    explanation.shared_tokens,
                    request.metadata.prompt_tokens,
                    comparison.recompute_weight,
                )
                ranks[name] = rank
                costs[name] = msgspec.convert(cost, messages.CostTerms, from_attributes=True)
                if placement.has_capacity(
                    state,
                    pool.engine,
                    request.metadata,
                    cost.unread_tokens,
                    comparison.window_seconds,
                    comparison.max_own_tokens,
                ):
                    with_capacity.add(name)
        for endpoint in pool.first_candidates:
            name = endpoint.id
            state_before = pool.states_before.get(name)
            not_compared = ""
            if name in excluded_ids:
                not_compared = "is not used to test suspected parts"
            elif name not in costs and name not in pool.loads_before:
                not_compared = "its cold-start rate goes to requests before this one"
            elif name not in costs and prefix is not None:
                not_compared = "does not own the shared part"
            elif name not in costs:
                not_compared = "no idle connection, while enough others have one"
            cached = state_before.cache.cached_tokens(request.prefix_keys) if state_before else None
            explanation.candidates.append(
                msgspec.structs.replace(
                    self.describe_candidate(endpoint, pool),
                    cached_tokens=cached,
                    owner_rank=ranks.get(name) if prefix is not None else None,
                    not_compared=not_compared,
                    has_capacity=name in with_capacity and name in costs,
                    cost=costs.get(name),
                )
            )
        explanation.candidates.sort(
            key=lambda row: (
                row.cost is None,
                row.endpoint_id in last,
                row.cost.cost_seconds if row.cost else 0.0,
            )
        )

    def describe_candidate(
        self, endpoint: gateway.Endpoint, pool: dry_run.DryPool
    ) -> messages.Candidate:
        """Return the figures of an endpoint, with their ages."""
        fleet, now, name = self.fleet, pool.now, endpoint.id
        load = pool.loads_before.get(name) or fleet.loads.total(name)
        peer_ages = [now - at for at, loads in fleet.loads.peers.values() if name in loads]
        speed = fleet.speeds.endpoints.get(name)
        # Before the first answer that states the speed, its time lies far in the past.
        is_reported = speed is not None and speed.latest_at > 0.0
        return messages.Candidate(
            endpoint_id=name,
            zone=endpoint.availability_zone,
            unread_tokens=load.unread_tokens,
            requests=load.requests,
            memory_tokens=load.memory_tokens,
            slots=pool.engine.slots if pool.engine else endpoint.slots,
            peer_load_age_seconds=max(peer_ages, default=None),
            time_factor=fleet.speeds.time_factor(name, now),
            time_factor_age_seconds=now - speed.latest_at if speed and is_reported else None,
            slowness=fleet.health.slowness(name),
            failure_ratio=fleet.health.failure_ratio(name, now),
            cold_seconds=max(0.0, fleet.table.cold_until(endpoint) - now),
            missing_seconds=(
                fleet.table.missing[name] - now if name in fleet.table.missing else None
            ),
        )
