"""Tests the queues of waiting requests under load patterns, without a network.

They guard against unfair or late placement, late refusals, and overloaded cold engines.
"""

import asyncio
import unittest
import unittest.mock

from masticward.gateway import placer, request_path
from masticward.models import gateway
from masticward.state import cold_start, endpoint_health, load_table, placement, prompt_cache
from masticward.utils import clocks
from tests.lib import gateway_builders as builders


class WaitingCase(unittest.IsolatedAsyncioTestCase):
    """One engine, a fake clock, and requests that occupy the engine until the test frees it."""

    def setUp(self) -> None:
        self.now = 100.0
        patcher = unittest.mock.patch.object(clocks, "boot_time", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.fleet = builders.make_fleet(builders.make_endpoint("e1"), now=self.now)
        self.placer = placer.Placer(self.fleet, lambda *_: None)
        self.tasks: list[asyncio.Task[placement.Choice | placer.PlacementRefusal]] = []
        self.request_count = 0

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def submit(
        self,
        team: str,
        max_wait_seconds: float = 5.0,
        age_seconds: float = 0.0,
        excluded_endpoint_id: str | None = None,
    ) -> asyncio.Task[placement.Choice | placer.PlacementRefusal]:
        """Start a task that waits with a request without shared prompt parts."""
        self.request_count += 1
        metadata = builders.make_metadata(
            f"q{self.request_count}",
            f"doc{self.request_count}",
            arrived_at=self.now - age_seconds,
        )
        request = placer.WaitingRequest(
            metadata, builders.make_route(), "llm", team, refuse_at=self.now + max_wait_seconds
        )
        if excluded_endpoint_id is not None:
            request.excluded_endpoint_ids.add(excluded_endpoint_id)
        task = asyncio.get_running_loop().create_task(self.placer.place(request))
        self.tasks.append(task)
        await asyncio.sleep(0)
        return task

    async def free_engine(self) -> None:
        """Finish all work at the engine and place the next request."""
        self.fleet.loads.own.clear()
        self.placer.process_queue("llm")
        await asyncio.sleep(0)

    def served(self, tasks: list[asyncio.Task[placement.Choice | placer.PlacementRefusal]]) -> int:
        return sum(
            1 for task in tasks if task.done() and isinstance(task.result(), placement.Choice)
        )

    def refused(self, tasks: list[asyncio.Task[placement.Choice | placer.PlacementRefusal]]) -> int:
        return sum(
            1
            for task in tasks
            if task.done() and isinstance(task.result(), placer.PlacementRefusal)
        )


class FairOrderTest(WaitingCase):
    """Guards against a team above its share that delays the requests of other teams."""

    async def test_a_team_at_ten_times_its_share_does_not_delay_a_small_one(self) -> None:
        flooding = [await self.submit("flood") for _ in range(10)]
        small = await self.submit("small")
        self.assertEqual(1, self.served(flooding))
        await self.free_engine()
        self.assertTrue(small.done())
        self.assertEqual(1, self.served(flooding))

    async def test_usage_reported_by_peers_counts(self) -> None:
        await self.submit("other")
        first = await self.submit("a")
        second = await self.submit("b")
        self.fleet.usage.set_peer_usage("g2", {"a": 1_000_000.0}, self.now)
        await self.free_engine()
        self.assertEqual([False, True], [first.done(), second.done()])

    async def test_an_idle_engine_serves_any_team_immediately(self) -> None:
        self.fleet.usage.set_peer_usage("g2", {"a": 1_000_000.0}, self.now)
        self.assertTrue((await self.submit("a")).done())

    async def test_a_team_above_its_share_leaves_part_of_a_busy_engine_to_others(self) -> None:
        # Requests of other teams may wait at other gateways, whose queues are not visible here.
        self.fleet.usage.set_peer_usage("g2", {"flood": 500_000.0, "small": 1_000.0}, self.now)
        self.fleet.demand.set_peer_usage("g2", {"flood": 900_000.0, "small": 90_000.0}, self.now)
        self.fleet.loads.set_peer_loads(
            "g2", {"e1": load_table.EndpointLoad(200, 1, 200)}, self.now
        )
        flooding = await self.submit("flood")
        self.assertFalse(flooding.done())
        small = await self.submit("small")
        self.now += placer.QUEUE_SCAN_SECONDS
        self.placer.process_queue("llm")
        await asyncio.sleep(0)
        self.assertEqual([False, True], [flooding.done(), small.done()])

    async def test_an_underserved_team_gets_engines_that_a_team_above_its_share_may_not_fill(
        self,
    ) -> None:
        # The shared prefix of the underserved team is cached on a full engine; the others are half
        # full.
        engines = [builders.make_endpoint(f"e{number}") for number in range(4)]
        self.fleet.apply_endpoints([(item.id, item) for item in engines], True)
        self.fleet.usage.set_peer_usage("g2", {"flood": 900_000.0, "short": 100_000.0}, self.now)
        self.fleet.demand.set_peer_usage(
            "g2", {"flood": 2_000_000.0, "short": 2_000_000.0}, self.now
        )
        parts = builders.make_metadata("before", "doc", 6_000).parts
        cache = self.fleet.caches.get("e0", builders.CACHE_TOKENS)
        cache.record_prompt(prompt_cache.prefix_keys(parts))
        self.fleet.loads.start_request("e0", 17_400, 17_400)
        for name in ("e1", "e2", "e3"):
            self.fleet.loads.start_request(name, 9_000, 9_000)
        metadata = builders.make_metadata("q", "doc", 6_000, 2_000, arrived_at=self.now)
        route = builders.make_route()
        request = placer.WaitingRequest(metadata, route, "llm", "short", self.now + 5.0)
        task = asyncio.get_running_loop().create_task(self.placer.place(request))
        self.tasks.append(task)
        await asyncio.sleep(0)
        self.now += placement.AFFINITY_WAIT_FRACTION * route.target_latency_seconds
        self.fleet.usage.set_peer_usage("g2", {"flood": 900_000.0, "short": 100_000.0}, self.now)
        self.fleet.demand.set_peer_usage(
            "g2", {"flood": 2_000_000.0, "short": 2_000_000.0}, self.now
        )
        self.placer.process_queue("llm")
        await asyncio.sleep(0)
        self.assertTrue(task.done())

    async def test_requests_of_a_team_are_served_in_order_of_arrival(self) -> None:
        await self.submit("other")
        first = await self.submit("a")
        self.now += 0.01
        second = await self.submit("a")
        await self.free_engine()
        self.assertEqual([True, False], [first.done(), second.done()])


class QueueOrderTest(WaitingCase):
    """Guards against requests that block others which could be placed or be in time."""

    async def test_small_requests_overtake_large_ones_that_wait_for_a_busy_engine(self) -> None:
        # All large requests share a prefix that e1 has cached; e2 is nearly idle.
        engines = [builders.make_endpoint(name) for name in ("e1", "e2")]
        self.fleet.apply_endpoints([(item.id, item) for item in engines], True)
        shared = prompt_cache.prefix_keys(builders.make_metadata("before", "doc", 39_000).parts)
        self.fleet.caches.get("e1", builders.CACHE_TOKENS).record_prompt(shared)
        self.fleet.loads.start_request("e1", 17_000, 17_000)
        self.fleet.loads.start_request("e2", 1, 1)
        large = []
        for number in range(20):
            metadata = builders.make_metadata(f"l{number}", "doc", 39_000, arrived_at=self.now)
            request = placer.WaitingRequest(
                metadata, builders.make_route(), "llm", "a", self.now + 5.0
            )
            large.append(asyncio.get_running_loop().create_task(self.placer.place(request)))
            await asyncio.sleep(0)
        self.tasks += large
        self.assertEqual(0, self.served(large))
        metadata = builders.make_metadata("small", "tiny", 300, 1_000, arrived_at=self.now)
        request = placer.WaitingRequest(metadata, builders.make_route(), "llm", "a", self.now + 5.0)
        small = asyncio.get_running_loop().create_task(self.placer.place(request))
        self.tasks.append(small)
        await asyncio.sleep(0)
        self.now += placer.QUEUE_SCAN_SECONDS
        self.placer.process_queue("llm")
        await asyncio.sleep(0)
        self.assertEqual(1, self.served([small]))

    async def test_requests_that_may_use_no_engine_that_is_left_delay_no_others(self) -> None:
        # Guards against refusals because requests wait for another engine than their silent one.
        for _ in range(placer.MAX_FAILED_CHOICES):
            await self.submit("a", age_seconds=2.0, excluded_endpoint_id="e1")
        late = await self.submit("a", age_seconds=1.0)
        self.placer.process_queue("llm")
        await asyncio.sleep(0)
        self.assertEqual((1, 0), (self.served([late]), self.refused(self.tasks)))

    async def test_above_capacity_requests_that_can_be_in_time_precede_late_ones(self) -> None:
        # By age alone, every request would be late while the load stays above capacity.
        await self.submit("other")
        late = await self.submit("a")
        self.now += 0.9 * builders.make_route().target_latency_seconds
        timely = await self.submit("a")
        await self.free_engine()
        self.assertEqual([False, True], [late.done(), timely.done()])


class RefusalTest(WaitingCase):
    """Guards against refusals that are late or needless, and reservations that are leaked."""

    async def test_requests_at_twice_capacity_are_refused_early_and_not_at_their_deadline(
        self,
    ) -> None:
        tasks = [await self.submit("a", max_wait_seconds=0.6) for _ in range(20)]
        self.now += placer.QUEUE_SCAN_SECONDS
        self.placer.process_queue("llm")
        await asyncio.sleep(0)
        self.assertEqual(1, self.served(tasks))
        self.assertGreater(self.refused(tasks), 15)

    async def test_a_gateway_with_most_of_the_clients_may_use_most_of_the_engines(self) -> None:
        # The load balancer's hash has assigned a large part of the clients to one gateway of 25.
        self.fleet.live_gateways = [f"g{number}" for number in range(25)]
        await self.submit("a")
        waiting = [await self.submit("a", max_wait_seconds=0.8) for _ in range(2)]
        self.now += placer.QUEUE_SCAN_SECONDS
        self.placer.process_queue("llm")
        await asyncio.sleep(0)
        self.assertEqual(0, self.refused(waiting))

    async def test_retry_delays_are_randomized(self) -> None:
        tasks = [await self.submit("a", max_wait_seconds=0.0) for _ in range(20)]
        times = {
            task.result().retry_after_seconds
            for task in tasks
            if task.done() and isinstance(task.result(), placer.PlacementRefusal)
        }
        self.assertGreater(len(times), 10)
        self.assertLessEqual(max(times), placer.MAX_RETRY_AFTER_SECONDS)

    async def test_a_request_is_refused_at_its_longest_wait(self) -> None:
        await self.submit("a")
        waiting = await self.submit("a", max_wait_seconds=0.5)
        self.assertFalse(waiting.done())
        self.now += 0.6
        self.placer.process_queue("llm")
        await asyncio.sleep(0)
        self.assertIsInstance(waiting.result(), placer.PlacementRefusal)

    async def test_a_cancelled_waiting_request_is_removed_from_the_queue(self) -> None:
        await self.submit("a")
        waiting = await self.submit("a")
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual([], self.placer.queues["llm"])

    async def test_a_request_cancelled_as_it_is_placed_releases_its_load(self) -> None:
        await self.submit("a")
        waiting = await self.submit("a")
        self.fleet.loads.own.clear()
        self.placer.process_queue("llm")
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertTrue(waiting.cancelled())
        self.assertEqual({}, dict(self.fleet.loads.own))


class ScanCostTest(WaitingCase):
    """The load: a hot team's callers all reach one weak gateway, whose queue is scanned often."""

    async def test_a_scan_decays_only_the_health_of_engines_with_failures(self) -> None:
        engines = [builders.make_endpoint(f"e{number}") for number in range(60)]
        self.fleet.apply_endpoints([(item.id, item) for item in engines], True)
        for item in engines:
            self.fleet.health.record_success(item.id, self.now)
        self.fleet.health.record_failure("e7", self.now)
        await self.submit("a")
        await self.submit("a")
        with unittest.mock.patch.object(
            endpoint_health.HealthTracker,
            "get",
            autospec=True,
            side_effect=endpoint_health.HealthTracker.get,
        ) as decay:
            placement.engine_states(
                self.placer.candidates("llm", self.now),
                gateway.Engine(8, builders.CACHE_TOKENS),
                self.fleet.view,
                self.now,
            )
        self.assertEqual([("e7", self.now)], [call.args[1:] for call in decay.call_args_list])


class ColdEnginesTest(WaitingCase):
    """Guards against cold engines that receive more requests than their cold-start rate."""

    async def test_cold_engines_that_start_together_are_not_overloaded(self) -> None:
        cold = [
            builders.make_endpoint(f"c{number}", cold_until=self.now + 3.0) for number in range(3)
        ]
        self.fleet.apply_endpoints([(item.id, item) for item in cold], True)
        tasks = [await self.submit("a") for _ in range(60)]
        for _ in range(20):
            self.now += 0.05
            self.fleet.loads.own.clear()
            self.placer.process_queue("llm")
            await asyncio.sleep(0)
        bounds = builders.make_bounds()
        most = 3 * (8.0 * bounds.cold_overage + bounds.cold_slack)
        self.assertLessEqual(self.served(tasks), most)
        self.assertGreater(self.served(tasks), 10)

    async def test_gateways_restarted_together_do_not_overload_a_cold_engine(self) -> None:
        # Each of 26 gateways has just started and has received no report yet, so that it seems to
        # be the only one.
        cold = builders.make_endpoint("c1", cold_until=self.now + 3.0)
        served = 0
        for _ in range(26):
            fleet = builders.make_fleet(cold, now=self.now)
            fleet.started_at = self.now
            restarted_placer = placer.Placer(fleet, lambda *_: None)
            metadata = builders.make_metadata(arrived_at=self.now)
            request = placer.WaitingRequest(
                metadata, builders.make_route(), "llm", "a", self.now + 5.0
            )
            task = asyncio.get_running_loop().create_task(restarted_placer.place(request))
            self.tasks.append(task)
            await asyncio.sleep(0)
            served += self.served([task])
        bounds = builders.make_bounds()
        self.assertLessEqual(served, 8.0 * bounds.cold_overage + bounds.cold_slack)

    async def test_a_partitioned_gateway_uses_no_more_than_its_share_of_a_cold_engine(self) -> None:
        cold = builders.make_endpoint("c1", cold_until=self.now + 3.0)
        self.fleet.apply_endpoints([("c1", cold)], True)
        self.fleet.known_gateway_count = 26
        tasks = [await self.submit("a") for _ in range(20)]
        for _ in range(20):
            self.now += 0.05
            self.fleet.loads.own.clear()
            self.placer.process_queue("llm")
            await asyncio.sleep(0)
        self.assertLessEqual(self.served(tasks), 8.0 / cold_start.MAX_SENDERS + 1)

    async def test_with_a_third_of_the_engines_unreachable_the_others_stay_in_use(self) -> None:
        engines = [builders.make_endpoint(f"e{number}") for number in range(3)]
        self.fleet.apply_endpoints([(item.id, item) for item in engines], True)
        self.fleet.health.record_unreachable("e2", self.now)
        tasks = [await self.submit("a") for _ in range(6)]
        used = {
            task.result().endpoint.id
            for task in tasks
            if task.done() and isinstance(task.result(), placement.Choice)
        }
        self.assertEqual({"e0", "e1"}, used)


class KeysTest(unittest.TestCase):
    """Guards against the use of revoked API keys, and against splits that ignore their weights."""

    def test_a_proof_expires_before_the_revocation_bound(self) -> None:
        fleet = builders.make_fleet(now=100.0)
        self.assertTrue(fleet.proof_is_fresh(104.0))
        self.assertFalse(fleet.proof_is_fresh(100.0 + builders.make_bounds().revoke_seconds))

    def test_an_older_configuration_proves_nothing(self) -> None:
        fleet = builders.make_fleet(now=100.0)
        fleet.apply_configuration(builders.make_configuration(3), 101.0, "test")
        self.assertFalse(fleet.apply_configuration(builders.make_configuration(2), 109.0, "peer"))
        self.assertEqual(101.0, fleet.configuration_proven_at)

    def test_split_routes_follow_their_weights(self) -> None:
        shares = (gateway.ServiceShare("a", 90.0), gateway.ServiceShare("b", 10.0))
        route = builders.make_route(shares=shares)
        chosen = [request_path.choose_service(route, f"q{number}") for number in range(2000)]
        self.assertAlmostEqual(0.1, chosen.count("b") / 2000, delta=0.03)
