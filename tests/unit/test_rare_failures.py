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
