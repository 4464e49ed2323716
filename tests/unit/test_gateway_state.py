"""Tests of the gateway's placement, health, retry and fairness state, without a network."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from masticward.gateway import calls
from masticward.state import (
    cold_start,
    endpoint_health,
    endpoint_table,
    load_table,
    placement,
    prompt_cache,
    retry_window,
    team_usage,
)
from tests.lib import gateway_builders as builders


def make_view() -> placement.PlacementView:
    return placement.PlacementView(
        load_table.LoadTable(), prompt_cache.PromptCaches(), endpoint_health.HealthTracker()
    )


class PlacementTest(unittest.TestCase):
    """Guards against recomputed shared prefixes and overloaded engines."""

    def setUp(self) -> None:
        self.view = make_view()
        self.engines = [builders.make_endpoint(f"e{number}") for number in range(5)]
        self.engine = builders.make_configuration().services["llm"].engine

    def choose(self, shared: str, request_id: str = "q", waited: float = 0.0) -> placement.Choice:
        metadata = builders.make_metadata(request_id, shared)
        keys = prompt_cache.prefix_keys(metadata.parts)
        assert self.engine is not None
        states = placement.engine_states(self.engines, self.engine, self.view, 0.0)
        utilization = placement.prefill_utilization(states.values())
        weight = placement.recompute_weight(waited, 0.8, utilization)
        choice = placement.choose_engine(
            placement.engines_to_compare(states, keys, waited / 0.8),
            self.engine,
            keys,
            metadata,
            weight,
            placement.PREFILL_WINDOW_SECONDS,
        )
        assert choice is not None
        return choice

    def test_gateways_without_state_choose_the_same_engine_for_a_shared_prefix(self) -> None:
        first = [self.choose(f"doc-{number}").endpoint.id for number in range(50)]
        self.view = make_view()
        self.engines.reverse()
        self.assertEqual(first, [self.choose(f"doc-{number}").endpoint.id for number in range(50)])
        self.assertEqual(5, len(set(first)))

    def test_a_request_goes_to_the_engine_that_caches_its_shared_prefix(self) -> None:
        owner = self.choose("doc").endpoint.id
        other = next(item.id for item in self.engines if item.id != owner)
        metadata = builders.make_metadata("before")
        cache = self.view.caches.get(other, builders.CACHE_TOKENS)
        cache.record_prompt(prompt_cache.prefix_keys(metadata.parts))
        choice = self.choose("doc")
        self.assertEqual(other, choice.endpoint.id)
        self.assertEqual(3_700, choice.unread_tokens)

    def test_a_shared_prefix_spills_over_when_its_owner_has_a_long_backlog(self) -> None:
        owner = self.choose("doc").endpoint.id
        self.view.loads.start_request(owner, 200_000, 200_000)
        self.assertNotEqual(owner, self.choose("doc").endpoint.id)

    def test_a_request_that_has_waited_takes_an_idle_engine_instead_of_the_owner(self) -> None:
        owner = self.choose("doc").endpoint.id
        cache = self.view.caches.get(owner, builders.CACHE_TOKENS)
        cache.record_prompt(prompt_cache.prefix_keys(builders.make_metadata("before").parts))
        self.view.loads.start_request(owner, 40_000, 40_000)
        self.assertEqual(owner, self.choose("doc").endpoint.id)
        self.assertNotEqual(owner, self.choose("doc", waited=0.4).endpoint.id)

    def test_a_shared_prefix_is_not_recomputed_while_all_engines_are_busy(self) -> None:
        # Above capacity, recomputing a prefix takes engine time from other requests.
        owner = self.choose("doc").endpoint.id
        cache = self.view.caches.get(owner, builders.CACHE_TOKENS)
        cache.record_prompt(prompt_cache.prefix_keys(builders.make_metadata("before").parts))
        for engine in self.engines:
            self.view.loads.start_request(engine.id, 12_000, 12_000)
        self.view.loads.start_request(owner, 20_000, 20_000)
        self.assertEqual(owner, self.choose("doc", waited=0.4).endpoint.id)

    def test_an_engine_with_a_full_prefill_window_has_no_capacity(self) -> None:
        for engine in self.engines:
            self.view.loads.start_request(engine.id, 100_000, 100_000)
        self.assertFalse(self.choose("doc").has_capacity)

    def test_any_has_capacity_agrees_with_the_choice_of_an_engine(self) -> None:
        assert self.engine is not None
        for unread in (0, 9_000, 17_000, 18_000):
            self.view = make_view()
            for engine in self.engines:
                self.view.loads.start_request(engine.id, unread, unread)
            states = placement.engine_states(self.engines, self.engine, self.view, 0.0)
            available = placement.any_has_capacity(
                states.values(), self.engine, placement.PREFILL_WINDOW_SECONDS
            )
            self.assertEqual(unread < 17_500, available)
            if not available:
                self.assertFalse(self.choose("doc").has_capacity)

    def test_an_idle_engine_accepts_any_request(self) -> None:
        self.engines = self.engines[:1]
        self.assertTrue(self.choose("doc").has_capacity)

    def test_a_failing_engine_is_avoided(self) -> None:
        owner = self.choose("doc").endpoint.id
        for _ in range(10):
            self.view.health.record_failure(owner, 0.0)
        self.assertNotEqual(owner, self.choose("doc").endpoint.id)

    def test_peer_loads_count_until_they_are_stale(self) -> None:
        owner = self.choose("doc").endpoint.id
        loads = {owner: load_table.EndpointLoad(200_000, 10, 200_000)}
        self.view.loads.set_peer_loads("g2", loads, 0.0)
        self.assertNotEqual(owner, self.choose("doc").endpoint.id)
        self.view.loads.remove_stale_peers(load_table.PEER_LOADS_MAX_AGE_SECONDS + 0.1)
        self.assertEqual(0, self.view.loads.total(owner).requests)
        self.assertEqual({}, dict(self.view.loads.peer_totals))


class EndpointHealthTest(unittest.TestCase):
    """Guards against a slowness that does not converge to the measured factor."""

    def test_slowness_converges_to_the_measured_factor(self) -> None:
        health = endpoint_health.HealthTracker()
        for _ in range(100):
            health.record_latency("e", 2.0 + endpoint_health.LATENCY_TOLERANCE_SECONDS, 0.5, 0.0)
        self.assertAlmostEqual(4.0, health.get("e", 0.0).slowness, places=2)

    def test_short_delays_of_healthy_engines_do_not_count_as_slowness(self) -> None:
        # Each gateway measures few requests per engine, so random delays would change its choice.
        health = endpoint_health.HealthTracker()
        for measured in (0.03, 0.09, 0.05, 0.12):
            health.record_latency("e", measured, 0.02, 0.0)
        self.assertLess(health.get("e", 0.0).slowness, 1.05)

    def test_the_failure_ratio_decays_after_failures(self) -> None:
        health = endpoint_health.HealthTracker()
        for _ in range(5):
            health.record_failure("e", 0.0)
        self.assertGreater(health.failure_ratio("e", 0.0), 0.5)
        self.assertLess(health.failure_ratio("e", 20.0), 0.05)


class EndpointTableTest(unittest.TestCase):
    """Guards against requests to departing endpoints and against losing healthy endpoints."""

    def setUp(self) -> None:
        self.table = endpoint_table.EndpointTable()
        self.endpoint = builders.make_endpoint("e1")
        self.table.apply([("e1", self.endpoint)], True, 10.0)

    def usable(self, now: float) -> list[str]:
        return [item.id for item in self.table.usable("llm", now)]

    def test_a_draining_endpoint_is_not_usable(self) -> None:
        self.table.apply([("e1", builders.make_endpoint("e1", draining=True))], False, 10.0)
        self.assertEqual([], self.usable(10.0))

    def test_a_removed_endpoint_is_not_usable(self) -> None:
        self.table.apply([("e1", None)], False, 10.0)
        self.assertEqual([], self.usable(10.0))

    def test_an_endpoint_missing_after_a_store_outage_stays_for_the_grace_period(self) -> None:
        self.table.start_relist_grace(10.0)
        self.table.apply([], True, 10.1)
        self.assertEqual(["e1"], self.usable(11.9))
        changes: list[endpoint_table.Change] = []
        self.table.remove_expired(12.1, changes)
        self.assertEqual([], self.usable(12.1))
        self.assertEqual(["gone"], [change.state for change in changes])

    def test_an_endpoint_listed_again_within_the_grace_period_stays(self) -> None:
        self.table.start_relist_grace(10.0)
        self.table.apply([], True, 10.1)
        self.table.apply([("e1", self.endpoint)], False, 11.0)
        self.table.remove_expired(20.0, [])
        self.assertEqual(["e1"], self.usable(20.0))

    def test_endpoints_of_an_evacuated_zone_are_not_usable_and_cold_after_its_return(self) -> None:
        services = builders.make_configuration().services
        self.table.set_evacuated_zones({"z1"}, 10.0, services)
        self.assertEqual([], self.usable(10.0))
        self.table.set_evacuated_zones(set(), 20.0, services)
        self.assertEqual(["e1"], self.usable(20.0))
        self.assertEqual(23.0, self.table.cold_until(self.endpoint))

    def test_an_invalid_object_adds_no_endpoint(self) -> None:
        self.table.apply([("e1", None), ("x", None)], False, 10.0)
        self.assertEqual({}, self.table.endpoints)


class IdleConnectionsTest(unittest.TestCase):
    """Guards against idle connections that use up an endpoint's connection limit."""

    def test_the_reuse_limit_recovers_days_after_a_dropped_connection(self) -> None:
        # Unlimited doubling of the reuse limit overflowed 2.8 hours after a dropped connection.
        pool = calls.ConnectionPool(builders.make_fleet())
        pool.reuse_limits["llm"] = calls.ReuseLimit(calls.MIN_REUSE_LIMIT_SECONDS, 0.0)
        self.assertGreater(pool.reuse_limit_seconds("llm", 1e6), calls.MAX_IDLE_SECONDS)

    def test_all_gateways_keep_at_most_half_of_an_endpoint_s_connections(self) -> None:
        fleet = builders.make_fleet()
        pool = calls.ConnectionPool(fleet)
        self.assertEqual(calls.MAX_IDLE_CONNECTIONS, pool.idle_limit("llm"))
        fleet.live_gateways = [f"g{number}" for number in range(25)]
        self.assertLessEqual(25 * pool.idle_limit("llm"), 370 * calls.IDLE_CONNECTIONS_FRACTION)
        fleet.live_gateways = [f"g{number}" for number in range(410)]
        self.assertEqual(1, pool.idle_limit("llm"))


class WindowedRetryBudgetTest(unittest.TestCase):
    """Guards against gateways that together make more retries than the fleet-wide bound."""

    @given(
        gateways=st.integers(1, 12),
        steps=st.lists(
            st.tuples(st.integers(0, 11), st.booleans(), st.floats(0.0, 0.5)), max_size=300
        ),
    )
    def test_all_gateways_together_stay_below_the_bound(
        self, gateways: int, steps: list[tuple[int, bool, float]]
    ) -> None:
        bounds = builders.make_bounds()
        budgets = [
            retry_window.WindowedRetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_seconds
            )
            for _ in range(gateways)
        ]
        now = 0.0
        requests: list[float] = []
        taken: list[float] = []
        for index, is_request, pause in steps:
            now += pause
            budget = budgets[index % gateways]
            if is_request:
                budget.record_request(now)
                requests.append(now)
            elif budget.take(now, gateways):
                taken.append(now)
            window = now - bounds.retry_window_seconds
            in_window = sum(1 for time in taken if time > window)
            allowed = bounds.retry_slack + bounds.retry_ratio * sum(
                1 for time in requests if time > window
            )
            self.assertLessEqual(in_window, allowed)


class ColdStartLimiterTest(unittest.TestCase):
    """Guards against gateways that together exceed the rate limit of a cold endpoint."""

    @given(gateways=st.integers(1, 30), offsets=st.lists(st.floats(0.0, 2.0), max_size=200))
    def test_all_gateways_together_stay_below_the_bound(
        self, gateways: int, offsets: list[float]
    ) -> None:
        bounds = builders.make_bounds()
        names = [f"g{number}" for number in range(gateways)]
        limiters = {name: cold_start.ColdStartLimiter() for name in names}
        rate = 8.0
        sent: list[float] = []
        for now in sorted(offsets):
            for name, limiter in limiters.items():
                if limiter.may_send("e", rate, name, names, now):
                    limiter.record_send("e", rate, gateways, now)
                    sent.append(now)
        most = rate * bounds.cold_overage + bounds.cold_slack
        for start in sent:
            self.assertLessEqual(sum(1 for time in sent if start <= time < start + 1.0), most)

    def test_a_limited_number_of_gateways_sends_to_a_cold_endpoint(self) -> None:
        names = [f"g{number}" for number in range(25)]
        self.assertEqual(cold_start.MAX_SENDERS, len(cold_start.senders("e", names)))


class TeamUsageTest(unittest.TestCase):
    """Guards against a team that exceeds its share because peers' usage is not counted."""

    def test_peer_tokens_count_and_decay(self) -> None:
        usage = team_usage.TeamUsage()
        usage.record("a", 1000, 10.0)
        usage.set_peer_usage("g2", {"a": 500.0}, 10.0)
        self.assertAlmostEqual(1500.0, usage.team_total("a", 10.0))
        self.assertLess(usage.team_total("a", 14.0), 600.0)

    def test_no_team_is_above_its_share_while_all_demand_is_served(self) -> None:
        tokens = {"flood": 1_000_000.0, "small": 1_000.0}
        self.assertEqual({}, team_usage.excess_over_share(tokens, tokens))

    def test_a_flooding_team_is_above_its_share_while_others_are_short(self) -> None:
        demand = {"flood": 1_000_000.0, "middle": 300_000.0, "small": 1_000.0}
        served = {"flood": 400_000.0, "middle": 100_000.0, "small": 1_000.0}
        self.assertEqual({"flood": 1.6}, team_usage.excess_over_share(demand, served))

    def test_the_prefill_window_shrinks_with_the_excess_over_the_share(self) -> None:
        # Of two teams above capacity, one sends through a single overloaded gateway, the other
        # through many. With equal windows, the second would get several times as much.
        windows = [
            placement.prefill_window_seconds(excess) for excess in (None, 1.01, 1.5, 2.0, 9.0)
        ]
        self.assertEqual(sorted(windows, reverse=True), windows)
        self.assertEqual(placement.PREFILL_WINDOW_SECONDS, windows[0])
        self.assertAlmostEqual(windows[1] / 2, windows[3], delta=0.01)
        # The smallest window outlasts the delay of load updates, so that engines do not idle.
        self.assertEqual(placement.MIN_WINDOW_SECONDS, windows[-1])

    @given(st.lists(st.floats(0.0, 1e6), min_size=1, max_size=30), st.floats(1.0, 1e6))
    def test_fair_share_is_max_min(self, demands: list[float], capacity: float) -> None:
        share = team_usage.max_min_share(demands, capacity)
        served = sum(min(demand, share) for demand in demands)
        self.assertLessEqual(served, capacity * 1.001 + 1e-6)
        if share != float("inf"):
            self.assertAlmostEqual(served, capacity, delta=capacity * 0.001)


class PromptCacheTest(unittest.TestCase):
    """Guards against counting parts as cached whose preceding parts were evicted."""

    def test_a_part_counts_only_after_the_parts_before_it(self) -> None:
        cache = prompt_cache.EngineCache(100_000)
        first = builders.make_metadata("q1", "doc-a").parts
        cache.record_prompt(prompt_cache.prefix_keys(first))
        other = (*builders.make_metadata("q2", "doc-b").parts[:1], first[1])
        self.assertEqual(0, cache.cached_tokens(prompt_cache.prefix_keys(other)))

    def test_the_least_recently_used_prefix_is_evicted(self) -> None:
        cache = prompt_cache.EngineCache(40_000)
        for name in ("doc-a", "doc-b"):
            cache.record_prompt(prompt_cache.prefix_keys(builders.make_metadata(name, name).parts))
        first = prompt_cache.prefix_keys(builders.make_metadata("again", "doc-a").parts)
        second = prompt_cache.prefix_keys(builders.make_metadata("again", "doc-b").parts)
        self.assertEqual(0, cache.cached_tokens(first))
        self.assertEqual(13_000, cache.cached_tokens(second))
