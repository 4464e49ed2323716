"""Tests of shared prompts in a large fleet, without a network.

The load: many gateways place prompts with shared prefixes at the same time. They know the engines'
loads with a delay, and a rolling restart empties their models of the engines' caches. On the
users' large fleet, 36 of 100 prompt tokens were then shared parts that were read again.
"""

import random
import unittest
import unittest.mock

from masticward.models import gateway
from masticward.state import load_table, placement, prompt_cache
from masticward.utils import clocks
from tests.lib import fleet_model
from tests.lib import gateway_builders as builders

ENGINES = 24
GATEWAYS = 24
# The prefixes of an engine take half of its cache; a second copy of each leaves no room for others.
CACHE_TOKENS = 513_000
PREFIXES = 19 * ENGINES
SHARED_TOKENS = 13_300
OWN_TOKENS = 3_700
MESSAGE_INTERVAL_SECONDS = 0.11
LATENCY_TARGET_SECONDS = 0.8


class ManyGatewaysTest(unittest.TestCase):
    """Guards against gateways that choose the same engine, or another one for a known prefix."""

    def setUp(self) -> None:
        self.engines = [builders.make_endpoint(f"e{number}", slots=48) for number in range(60)]
        self.random = random.Random(1)
        patcher = unittest.mock.patch.object(placement, "random", self.random)
        patcher.start()
        self.addCleanup(patcher.stop)

    def choose(
        self,
        loads: dict[str, int],
        shared: str,
        shared_tokens: int,
        request_id: str,
        connected_ids: tuple[str, ...] = (),
    ) -> str:
        """Return the engine that a gateway without cache models chooses."""
        fleet = builders.make_fleet(*self.engines)
        fleet.loads.set_peer_loads(
            "peers",
            {name: load_table.EndpointLoad(tokens, 1, tokens) for name, tokens in loads.items()},
            0.0,
        )
        engine = gateway.Engine(48, CACHE_TOKENS)
        metadata = builders.make_metadata(request_id, shared, shared_tokens, 1_000)
        keys = prompt_cache.prefix_keys(metadata.parts)
        states = placement.engine_states(self.engines, engine, fleet.view, 0.0)
        choice = placement.choose_engine(
            placement.engines_to_compare(states, keys, 0.0, connected_ids),
            engine,
            keys,
            metadata,
            placement.RECOMPUTE_WEIGHT,
            placement.PREFILL_WINDOW_SECONDS,
        )
        assert choice is not None
        return choice.endpoint.id

    def test_restarted_gateways_send_a_prefix_to_its_owners_whatever_loads_they_know(self) -> None:
        chosen = set()
        for number in range(60):
            loads = {item.id: self.random.randrange(10_000) for item in self.engines}
            chosen.add(self.choose(loads, "doc", SHARED_TOKENS, f"q{number}"))
        self.assertLessEqual(len(chosen), placement.PREFIX_OWNERS)

    def test_prefixes_are_spread_over_all_engines(self) -> None:
        chosen = {self.choose({}, f"doc{number}", SHARED_TOKENS, "q") for number in range(400)}
        self.assertGreater(len(chosen), 55)

    def test_gateways_with_the_same_loads_do_not_all_choose_the_least_loaded_engine(self) -> None:
        loads = {item.id: 5_000 for item in self.engines[1:]}
        chosen = [self.choose(loads, "small", 300, f"q{number}") for number in range(60)]
        self.assertLess(chosen.count("e0"), 15)

    def test_requests_without_owners_use_idle_connections(self) -> None:
        # Each of 68 gateways would otherwise open a connection for every other request.
        connected = tuple(f"e{number}" for number in range(20, 30))
        chosen = {self.choose({}, "small", 300, f"q{number}", connected) for number in range(100)}
        self.assertLessEqual(chosen, set(connected))
        self.assertGreaterEqual(len(chosen), 8)

    def test_few_idle_connections_do_not_draw_all_requests(self) -> None:
        chosen = [self.choose({}, "small", 300, f"q{number}", ("e1", "e2")) for number in range(60)]
        self.assertLess(chosen.count("e1") + chosen.count("e2"), 20)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Guards against shared parts that are read again, and the late answers that follow."""

    async def run_fleet(
        self,
        large_per_second: float,
        rolling_restart: bool = False,
        hot_prefix_share: float = 0.0,
    ) -> fleet_model.FleetModel:
        """Return the model after 20 s; rates are by engine, with 3.5 small requests a large one."""
        model = fleet_model.FleetModel(GATEWAYS, ENGINES, CACHE_TOKENS)
        source = random.Random(5)
        due = {"large": 0.0, "small": 0.0}
        steps = 0

        def step() -> None:
            nonlocal steps
            steps += 1
            per_step = large_per_second * ENGINES * fleet_model.STEP_SECONDS
            due["large"] += per_step
            due["small"] += 3.5 * per_step
            while due["large"] >= 1.0:
                due["large"] -= 1.0
                hot = source.random() < hot_prefix_share
                prefix = "hot" if hot else f"doc{source.randrange(PREFIXES)}"
                model.arrive(prefix, SHARED_TOKENS, OWN_TOKENS)
            while due["small"] >= 1.0:
                due["small"] -= 1.0
                model.arrive(f"small{source.randrange(40)}", 350, 1_700)
            if rolling_restart and steps % 30 == 0:
                model.restart(steps // 30 % GATEWAYS)

        with (
            unittest.mock.patch.object(clocks, "boot_time", model.clock),
            unittest.mock.patch.object(placement, "random", model.random),
        ):
            await model.run(20.0, step, MESSAGE_INTERVAL_SECONDS)
        for task in list(model.tasks):
            task.cancel()
        return model

    def in_time_share(self, model: fleet_model.FleetModel) -> float:
        in_time = sum(wait <= LATENCY_TARGET_SECONDS for wait in model.waits)
        return in_time / (len(model.waits) + model.refused)

    async def test_few_shared_tokens_are_read_again_at_high_load(self) -> None:
        model = await self.run_fleet(3.5)
        self.assertLess(model.shared_tokens_read_again / model.shared_tokens, 0.2)
        self.assertGreater(self.in_time_share(model), 0.9)

    async def test_few_shared_tokens_are_read_again_during_a_rolling_restart(self) -> None:
        model = await self.run_fleet(3.5, rolling_restart=True)
        self.assertLess(model.shared_tokens_read_again / model.shared_tokens, 0.2)
        self.assertGreater(self.in_time_share(model), 0.9)

    async def test_requests_of_one_hot_prefix_are_served_by_more_engines_than_its_owner(
        self,
    ) -> None:
        model = await self.run_fleet(2.5, hot_prefix_share=0.3)
        self.assertGreater(self.in_time_share(model), 0.9)


if __name__ == "__main__":
    unittest.main()
