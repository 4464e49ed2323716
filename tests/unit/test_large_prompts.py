"""Tests of large prompts beside many short ones, without a network.

The load: short prompts keep all engines busy, so that none is ever without unread tokens. A prompt
that takes longer than the prefill window by itself was only sent to such an engine, and the largest
tenth of the long prompts earned .45 to .74 of its worth on the users' sites.
"""

import unittest

from masticward.gateway import placer
from masticward.models import gateway
from masticward.state import load_table, placement, prompt_cache
from tests.lib import gateway_builders as builders

SHARED_TOKENS = 13_000
# Backlogs that other gateways' short prompts leave at each engine, in tokens.
BUSY_TOKENS = 6_000
FULL_TOKENS = 12_000


class LargePromptTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engines = [builders.make_endpoint(f"e{number}") for number in range(8)]
        self.fleet = builders.make_fleet(*self.engines)
        self.fleet.speeds.services.add("llm")
        self.placer = placer.Placer(self.fleet, lambda endpoint_id, keys: None)

    def begins(self, own_tokens: int, backlog_tokens: int, cached: bool = True) -> bool:
        """Return whether a prompt with a shared part begins at engines with a backlog."""
        load = load_table.EndpointLoad(backlog_tokens, 3, backlog_tokens)
        self.fleet.loads.set_peer_loads("peers", {item.id: load for item in self.engines}, 0.0)
        metadata = builders.make_metadata("q1", "doc", SHARED_TOKENS, own_tokens)
        if cached:
            for item in self.engines:
                cache = self.fleet.caches.get(item.id, builders.CACHE_TOKENS)
                cache.record_prompt(prompt_cache.prefix_keys(metadata.parts)[:-1])
        request = placer.WaitingRequest(metadata, builders.make_route(), "llm", "a", 1.0)
        pool = placer.CandidatePool(self.placer, "llm", 0.0)
        choice = pool.choose(request, {})
        assert choice is not None
        return choice.has_capacity

    def test_a_large_prompt_begins_at_engines_that_short_ones_keep_busy(self) -> None:
        self.assertTrue(self.begins(3_000, BUSY_TOKENS))
        self.assertTrue(self.begins(30_000, BUSY_TOKENS))

    def test_it_does_not_begin_behind_a_full_window(self) -> None:
        # Its first event, and those of all prompts behind it, would be late.
        self.assertFalse(self.begins(30_000, FULL_TOKENS))

    def test_a_prompt_waits_for_an_engine_that_caches_its_shared_part(self) -> None:
        # Trials that admitted these as well read shared parts again and served fewer requests.
        self.assertFalse(self.begins(5_000, BUSY_TOKENS, cached=False))

    def test_services_with_enough_capacity_are_served_as_before(self) -> None:
        self.fleet.speeds.services.clear()
        self.assertTrue(self.begins(3_000, BUSY_TOKENS))
        self.assertFalse(self.begins(30_000, BUSY_TOKENS))

    def test_the_settings_of_a_deployment_alone_are_enough(self) -> None:
        self.fleet.speeds.services.clear()
        self.fleet.apply_settings(builders.make_settings(limited_memory=True))
        self.assertTrue(self.begins(30_000, BUSY_TOKENS))

    def test_memory_and_slots_still_bound_it(self) -> None:
        state = placement.EngineState(
            self.engines[0], gateway.Engine(64, 40_000), self.fleet.view, 0.0
        )
        state.load = load_table.EndpointLoad(1_000, 1, 1_000)
        metadata = builders.make_metadata("q1", "doc", SHARED_TOKENS, 30_000)
        self.assertFalse(
            placement.has_capacity(
                state,
                gateway.Engine(64, 40_000),
                metadata,
                30_000,
                placement.PREFILL_WINDOW_SECONDS,
                placement.MAX_COUNTED_OWN_TOKENS,
            )
        )
