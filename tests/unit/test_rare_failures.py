"""Guards against an idle endpoint that gets no work for long after one failure.

The pattern: three plain endpoints, one of which failed once; requests come until all are busy.
"""

import unittest

from masticward.state import endpoint_health, load_table, placement, prompt_cache
from tests.lib import gateway_builders as builders

SLOTS = 6


class RareFailureTest(unittest.TestCase):
    def test_the_endpoint_is_used_once_the_others_are_full(self) -> None:
        view = placement.PlacementView(
            load_table.LoadTable(), prompt_cache.PromptCaches(), endpoint_health.HealthTracker()
        )
        endpoints = [
            builders.make_endpoint(f"e{number}", service="app", slots=SLOTS) for number in (1, 2, 3)
        ]
        view.health.record_failure("e1", 0.0)
        for _ in range(len(endpoints) * SLOTS):
            choice = placement.choose_plain_endpoint(endpoints, "z1", view, 1.0)
            assert choice is not None
            self.assertTrue(choice.has_capacity, "a request waits while an endpoint is idle")
            view.loads.start_request(choice.endpoint.id, 0, 0)

    def test_an_endpoint_that_fails_often_gets_only_what_may_be_repeated(self) -> None:
        for failures, repeatable_chosen, other_chosen in ((2, "e1", "e2"), (4, "e2", "e2")):
            view = placement.PlacementView(
                load_table.LoadTable(), prompt_cache.PromptCaches(), endpoint_health.HealthTracker()
            )
            endpoints = [
                builders.make_endpoint(name, service="app", slots=1) for name in ("e1", "e2")
            ]
            view.health.record_failure("e1", 0.0, failures)
            view.loads.start_request("e2", 0, 0)
            for repeatable, expected in ((True, repeatable_chosen), (False, other_chosen)):
                choice = placement.choose_plain_endpoint(endpoints, "z1", view, 0.0, repeatable)
                assert choice is not None
                self.assertEqual(expected, choice.endpoint.id, f"{failures} {repeatable}")
