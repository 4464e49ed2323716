"""Guards against service gaps above the bound of section 6.1 of the design and starved teams.

A gap is the difference of two teams' service divided by share over some interval.
"""

import itertools
import unittest

from masticward import settings
from masticward.state import ledger
from tests.lib import shared_pool


class GapBoundTest(unittest.TestCase):
    def assert_gaps_bounded(self, pool: shared_pool.SharedPool, since: int = 0) -> None:
        for first, second in itertools.combinations(pool.teams, 2):
            gap = pool.largest_gap(first, second, since)
            self.assertLessEqual(gap, pool.bound, (first, second))

    def test_hints_ten_times_off_both_ways_with_mixed_lengths(self) -> None:
        """Fails if wrong hints shift service between teams permanently."""
        pool = shared_pool.SharedPool(
            [
                shared_pool.Team("low", 1.0, (1.0, 40.0), hint_factor=0.1),
                shared_pool.Team("high", 1.0, (1.0, 40.0), hint_factor=10.0),
                shared_pool.Team("short", 2.0, (2.0,)),
                shared_pool.Team("long", 4.0, (40.0,)),
            ],
            slots=8,
        )
        pool.run(6000)
        self.assert_gaps_bounded(pool)

    def test_hints_ten_times_off_far_below_the_maximum_cost(self) -> None:
        """Fails if a wrong hint is reserved in full up to the declared maximum cost."""
        for costs in ((10.0,), (1.0, 1.0, 1.0, 100.0)):
            with self.subTest(costs=costs):
                pool = shared_pool.SharedPool(
                    [
                        shared_pool.Team("low", costs=costs, hint_factor=0.1),
                        shared_pool.Team("high", costs=costs, hint_factor=10.0),
                        shared_pool.Team("exact", costs=costs),
                    ],
                    slots=8,
                    maximum_cost=1000.0,
                    debt_cap=8000.0,
                )
                pool.run(6000)
                self.assert_gaps_bounded(pool)

    def test_hints_that_become_ten_times_too_high(self) -> None:
        """Fails if hints are not limited until their correction has adapted."""
        teams = [shared_pool.Team("turning"), shared_pool.Team("exact")]
        pool = shared_pool.SharedPool(teams, slots=8, maximum_cost=1000.0, debt_cap=8000.0)
        pool.run(1000)
        pool.teams["turning"].hint_factor = 10.0
        pool.run(2000)
        self.assert_gaps_bounded(pool)

    def test_first_come_first_served_breaks_the_bound(self) -> None:
        """Shows that the bound can be exceeded: the baseline serves teams by number of requests."""
        teams = [shared_pool.Team("few", backlog=4), shared_pool.Team("many", backlog=100)]
        policy = settings.QueuePolicyName.FIRST_COME_FIRST_SERVED
        baseline = shared_pool.SharedPool(teams, 4, policy)
        fair = shared_pool.SharedPool(teams, 4)
        baseline.run(1000)
        fair.run(1000)
        self.assertGreater(baseline.largest_gap("few", "many"), baseline.bound)
        self.assert_gaps_bounded(fair)

    def test_idle_time_gives_no_credit(self) -> None:
        """Fails if a team is compensated for the time it was idle."""
        teams = [shared_pool.Team(name, backlog=8) for name in ("steady", "returning")]
        pool = shared_pool.SharedPool(teams, slots=4)
        pool.run(50)
        pool.run(2000, {"steady"})
        pool.run(500)
        self.assert_gaps_bounded(pool, since=2050)

    def test_team_with_few_running_requests_accumulates_no_credit(self) -> None:
        """Fails if a team that never queues lowers the time to which others are raised."""
        teams = [
            shared_pool.Team("thin", costs=(40.0,)),
            shared_pool.Team("steady", costs=(10.0, 40.0), backlog=16),
            shared_pool.Team("late", costs=(10.0, 40.0), backlog=16),
        ]
        pool = shared_pool.SharedPool(teams, slots=8, debt_cap=10 * 8 * 40.0)
        for step in range(8000):
            # Two requests of 40 steps each; one is half done when the other starts.
            pool.teams["thin"].backlog = 1 if step % 20 == 0 else 0
            pool.step(frozenset(pool.teams) - ({"late"} if step < 4000 else set()))
        pool.teams["thin"].backlog = 16
        pool.run(2000)
        self.assertLessEqual(pool.largest_gap("steady", "late", 4000), pool.bound)
        self.assertLessEqual(pool.largest_gap("thin", "steady", 8000), pool.bound)

    def test_refused_and_overestimated_requests_leave_no_charge(self) -> None:
        """Fails if a reservation outlives its request."""
        teams = [
            shared_pool.Team("exact", costs=(4.0, 40.0), backlog=8),
            shared_pool.Team("over", costs=(4.0,), hint_factor=10.0, backlog=8),
        ]
        pool = shared_pool.SharedPool(teams, slots=4)
        pool.run(4000)
        self.assert_gaps_bounded(pool)


class HintTest(unittest.TestCase):
    def estimate(self, costs: list[float], factor: float, hint: float) -> float:
        """Return the estimate for a hint after requests with these costs have finished."""
        parameters = ledger.FairShareParameters(shares={}, maximum_cost=1000.0, debt_cap=1000.0)
        virtual_times = ledger.VirtualTimeLedger(parameters)
        for cost in costs:
            virtual_times.observe_cost("team", cost, cost * factor)
        return virtual_times.estimate("team", hint)

    def test_first_hint_is_reserved_in_full(self) -> None:
        """Fails if a team without a mean cost is charged nothing for its first requests."""
        self.assertEqual(self.estimate([], 1.0, 400.0), 400.0)

    def test_single_wrong_hint_is_limited(self) -> None:
        """Fails if one hint ten times too high is reserved in full."""
        # The root mean square of the recent costs is close to 10.
        self.assertAlmostEqual(self.estimate([9.0, 11.0] * 20, 1.0, 100.0), 30.0, delta=1.0)

    def test_constant_error_is_corrected(self) -> None:
        """Fails if a constant factor in a team's hints also scales its reservations."""
        for factor in (0.1, 10.0):
            with self.subTest(factor=factor):
                estimate = self.estimate([5.0, 45.0] * 20, factor, 50.0 * factor)
                self.assertAlmostEqual(estimate, 50.0)

    def test_hints_worse_than_the_mean_are_ignored(self) -> None:
        """Fails if random hints are used although the mean cost predicts requests better."""
        virtual_times = ledger.VirtualTimeLedger(
            ledger.FairShareParameters(shares={}, maximum_cost=1000.0, debt_cap=1000.0)
        )
        for number in range(30):
            virtual_times.observe_cost(
                "team", 9.0 + number % 3, 10.0 * (0.1, 1.0, 10.0)[number % 3]
            )
        self.assertAlmostEqual(virtual_times.estimate("team", 100.0), 10.0, delta=1.0)

    def test_low_hint_does_not_undercut_the_mean(self) -> None:
        """Fails if a team benefits from hints below its costs."""
        self.assertAlmostEqual(self.estimate([20.0] * 5, 1.0, 1.0), 20.0)


class StarvationTest(unittest.TestCase):
    def test_share_one_beside_share_one_thousand(self) -> None:
        """Fails if the small team waits longer than its share implies."""
        teams = [shared_pool.Team("small", 1.0), shared_pool.Team("large", 1000.0, backlog=20)]
        pool = shared_pool.SharedPool(teams, slots=4)
        starts = []
        for _ in range(9000):
            before = pool.starts["small"]
            pool.run(1)
            if pool.starts["small"] > before:
                starts.append(pool.served["large"])
        self.assertGreaterEqual(len(starts), 3)
        bound = 10.0 * 1000.0 + pool.slots * pool.maximum_request_cost
        for earlier, later in itertools.pairwise(starts):
            self.assertLessEqual(later - earlier, bound)

    def test_hundred_times_the_requests_give_no_more_service(self) -> None:
        """Fails if a team gets more service by queueing more requests."""
        teams = [shared_pool.Team("few", backlog=4), shared_pool.Team("many", backlog=400)]
        pool = shared_pool.SharedPool(teams, slots=4)
        pool.run(2000)
        self.assertLessEqual(pool.largest_gap("few", "many"), pool.bound)

    def test_debt_of_a_second_dispatcher_is_capped(self) -> None:
        """Fails if a team is charged for all service through a second dispatcher."""
        teams = [shared_pool.Team(name) for name in ("debtor", "other")]
        pool = shared_pool.SharedPool(teams, slots=4, debt_cap=200.0)
        pool.run(100)
        pool.queue.apply_report("agent-2", 1, {"debtor": 1_000_000.0}, {}, {})
        served, starts = pool.served["other"], pool.starts["debtor"]
        bound = 200.0 + 2 * pool.slots * pool.maximum_request_cost
        while pool.starts["debtor"] == starts and pool.served["other"] - served <= 2 * bound:
            pool.run(1)
        self.assertLessEqual(pool.served["other"] - served, bound)
        self.assertGreaterEqual(pool.served["other"] - served, 150.0, "the debt was not repaid")


if __name__ == "__main__":
    unittest.main()
