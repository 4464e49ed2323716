"""Tests of the speeds that endpoints report in their responses, without a network.

The load: engines that take 0.7 or 1.7 times the normal time for good, and 2.5 times longer in
moments of about 0.6 s. Before, a header with a fourth figure was dropped, so that slow engines got
as much work as fast ones.
"""

import asyncio
import random
import unittest
import unittest.mock

from masticward.gateway import peering, placer, request_path
from masticward.models import gateway
from masticward.platform import headers
from masticward.protocol import gateway_peers
from masticward.state import endpoint_speed, placement, prompt_cache
from masticward.utils import clocks
from tests.lib import fleet_model
from tests.lib import gateway_builders as builders

ENGINE = gateway.Engine(64, builders.CACHE_TOKENS)


class FiguresTest(unittest.TestCase):
    """Guards against an invalid figure that hides the valid ones beside it."""

    def test_each_figure_is_parsed_by_itself(self) -> None:
        for text, expected in (
            ("3,1,64", (3, 1, 64, None)),
            (" 3, 1 ,64, 170.5", (3, 1, 64, 170.5)),
            ("3,1,64,abc", (3, 1, 64, None)),
            ("3,-1,64,70", (3, None, 64, 70.0)),
            ("3,1.5,,70", (3, None, None, 70.0)),
            ("3,1,64,0", (3, 1, 64, None)),
            ("3,1,64,nan", (3, 1, 64, None)),
            ("3,1,64,1e9", (3, 1, 64, None)),
            ("3,1,9999999999,70", (3, 1, None, 70.0)),
            ("3,1,64,70,5,6", (3, 1, 64, 70.0)),
            ("3", (3, None, None, None)),
            (None, (None, None, None, None)),
        ):
            load = headers.parse_load(text)
            found = (load.running, load.waiting, load.slots, load.work_percent)
            self.assertEqual(expected, found, text)


class SpeedTableTest(unittest.TestCase):
    """Guards against factors that last longer or shorter than what they tell of."""

    def setUp(self) -> None:
        self.table = endpoint_speed.SpeedTable()

    def report(self, percent: float, since: float, until: float, interval: float = 0.1) -> None:
        """Record a figure from a time to another."""
        while since < until - 1e-9:
            self.table.record_reported("e1", percent, since, "llm")
            since += interval

    def test_a_moment_counts_at_once_and_is_forgotten_without_a_new_figure(self) -> None:
        self.report(70, 0.0, 5.0)
        self.table.record_reported("e1", 175, 5.0)
        factors = [self.table.time_factor("e1", 5.0 + age) for age in (0.0, 0.25, 0.6, 1.0)]
        for expected, factor in zip((1.75, 1.75, 1.225, 0.7), factors, strict=True):
            self.assertAlmostEqual(expected, factor)

    def test_the_base_does_not_depend_on_how_often_an_endpoint_is_used(self) -> None:
        # In slow moments many requests are at work, and many responses show the figure.
        for start in range(0, 12, 3):
            self.report(170, start, start + 2.4, 0.4)
            self.report(425, start + 2.4, start + 3.0, 0.01)
        self.assertAlmostEqual(1.7, self.table.time_factor("e1", 13.0))

    def test_one_figure_from_a_moment_gives_no_base(self) -> None:
        self.table.record_reported("e1", 250, 0.0)
        self.assertEqual(1.0, self.table.time_factor("e1", 1.0))

    def test_stale_figures_end(self) -> None:
        self.report(170, 0.0, 5.0)
        self.assertAlmostEqual(1.7, self.table.time_factor("e1", 30.0))
        self.assertEqual(1.0, self.table.time_factor("e1", 40.0))

    def test_figures_out_of_range_are_ignored_and_factors_bounded(self) -> None:
        for percent, expected in (
            (0.5, 1.0),
            (1e6, 1.0),
            (float("nan"), 1.0),
            (5, 0.25),
            (9e4, 12),
        ):
            self.table.record_reported("e1", percent, 0.0)
            self.assertEqual(expected, self.table.time_factor("e1", 0.0), percent)

    def test_an_endpoint_that_says_it_is_slow_and_is_not_gets_its_work(self) -> None:
        self.report(170, 0.0, 5.0)
        for _ in range(2 * endpoint_speed.MAX_FIRST_EVENTS):
            expected = 0.2 * self.table.time_factor("e1", 5.0)
            self.table.record_first_event("e1", 0.08, expected, 5.0)
        self.assertAlmostEqual(0.4, self.table.time_factor("e1", 5.0))

    def test_the_pace_of_streams_is_known_while_it_is_recent(self) -> None:
        self.assertIsNone(self.table.event_gap("e1", 0.0))
        self.report(100, 0.0, 0.1)
        self.table.record_gap("e1", 0.02, 1.0)
        self.table.record_gap("e1", 0.04, 1.1)
        self.assertAlmostEqual(0.022, self.table.event_gap("e1", 1.2) or 0.0)
        self.assertIsNone(self.table.event_gap("e1", 7.0))


class ExchangeTest(unittest.TestCase):
    """Guards against gateways that learn of a slow engine only by using it, and against bytes."""

    def setUp(self) -> None:
        self.now = 100.0
        patcher = unittest.mock.patch.object(clocks, "boot_time", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.fleets = [builders.make_fleet(builders.make_endpoint("e1"), now=90.0) for _ in "ab"]
        self.sender, self.receiver = (
            peering.Peering(fleet, builders.UnusedStore()) for fleet in self.fleets
        )
        self.sender.fleet.apply_settings(builders.make_settings(instance_id="g2", ip="127.0.0.2"))
        self.entries = 0

    def send(self) -> None:
        """Deliver a report of the sender."""
        report = self.sender.build_report()
        self.entries += len(report.speeds)
        message = gateway_peers.PeerMessage(self.now, 0.0, 0, gateway_peers.encode_content(report))
        self.receiver.datagram_received(gateway_peers.encode(message), ("127.0.0.2", 1))

    def play(self, percent: float, seconds: float) -> None:
        """Let the sender's engine report a figure for some seconds."""
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            self.fleets[0].speeds.record_reported("e1", percent, self.now, "llm")
            self.send()

    def factor(self) -> float:
        """Return what the receiver knows."""
        return self.fleets[1].speeds.time_factor("e1", self.now)

    def test_moments_and_bases_reach_the_peers_in_few_entries(self) -> None:
        self.play(170, 10.0)
        self.assertAlmostEqual(1.7, self.factor())
        self.assertLessEqual(self.entries, 20)
        self.play(425, 0.1)
        self.assertAlmostEqual(4.25, self.factor())
        self.play(170, 0.1)
        self.now += 5.0
        self.assertAlmostEqual(1.7, self.factor())
        self.assertTrue(self.fleets[1].speeds.is_reported("llm"))

    def test_normal_figures_are_not_sent(self) -> None:
        self.play(100, 5.0)
        self.assertEqual(0, self.entries)

    def test_a_restarted_endpoint_begins_anew(self) -> None:
        self.play(170, 5.0)
        late = {"e1": (170, 500, 170)}
        for fleet in self.fleets:
            fleet.apply_endpoints([("e1", builders.make_endpoint("e1", born=7))], True)
        # A peer that has not learned of the restart still reports the earlier incarnation.
        self.fleets[1].merge_speeds(late, self.now)
        self.assertEqual(1.0, self.factor())
        self.fleets[1].merge_speeds({"e1": (70, 0, 0), "unlisted": (70, 0, 0)}, self.now + 0.1)
        self.assertAlmostEqual(0.7, self.factor())
        self.assertEqual({"e1"}, set(self.fleets[1].speeds.endpoints))

    def test_old_and_new_peers_understand_each_other(self) -> None:
        self.play(170, 5.0)
        report = gateway_peers.ENCODER.encode(self.sender.build_report())
        changes = gateway_peers.ENCODER.encode(
            gateway_peers.PeerChanges(instance_id="g2", incarnation=1, loads={}, prompts=[])
        )
        decode = gateway_peers.msgspec.msgpack.decode
        for encoded in (report, changes):
            shortened = gateway_peers.ENCODER.encode(decode(encoded)[:-1])
            content = gateway_peers.CONTENT_DECODER.decode(shortened)
            assert not isinstance(content, gateway_peers.StoreChanges)
            self.assertEqual({}, content.speeds)
            longer = gateway_peers.ENCODER.encode([*decode(encoded), "of a later version"])
            gateway_peers.CONTENT_DECODER.decode(longer)


class PlacementTest(unittest.TestCase):
    """Guards against slow engines with as much work as fast ones."""

    def setUp(self) -> None:
        self.now = 100.0
        self.engines = [builders.make_endpoint(name) for name in ("fast", "normal", "slow")]
        self.fleet = builders.make_fleet(*self.engines, now=self.now)
        self.placer = placer.Placer(self.fleet, lambda endpoint_id, keys: None)

    def report(self, figures: dict[str, float]) -> None:
        """Record figures for long enough that they are the engines' bases."""
        for number in range(10):
            for name, percent in figures.items():
                self.fleet.speeds.record_reported(name, percent, self.now - 5.0 + number / 2, "llm")

    def states(self) -> dict[str, placement.EngineState]:
        """Return the engines as a choice sees them."""
        return placement.engine_states(self.engines, ENGINE, self.fleet.view, self.now)

    def room(self, name: str) -> int:
        """Return the thousands of unread tokens that an engine takes."""
        self.fleet.loads.start_request(name, 1, 1)
        metadata = builders.make_metadata()
        window = placement.PREFILL_WINDOW_SECONDS
        state = self.states()[name]
        return next(
            number
            for number in range(100)
            if not placement.has_capacity(state, ENGINE, metadata, 1000 * number + 999, window)
        )

    def test_windows_costs_and_rates_follow_the_speed(self) -> None:
        before = self.placer.prefill_tokens_per_second("llm", {}, self.now)
        self.report({"fast": 60, "normal": 100, "slow": 170})
        rate = self.placer.prefill_tokens_per_second("llm", {}, self.now)
        self.assertAlmostEqual(before / 3 * (1 / 0.6 + 1 + 1 / 1.7), rate)
        self.assertEqual([29, 17, 10], [self.room(name) for name in ("fast", "normal", "slow")])
        costs = []
        for state in self.states().values():
            keys = prompt_cache.prefix_keys(builders.make_metadata().parts)
            choice = placement.choose_engine(
                [(0, state)], ENGINE, keys, builders.make_metadata(), 1.0, 0.3
            )
            assert choice is not None
            costs.append(choice.cost_seconds)
        self.assertAlmostEqual(0.6, costs[0] / costs[1])
        self.assertAlmostEqual(1.7, costs[2] / costs[1])

    def test_utilization_weighs_engines_by_their_rates(self) -> None:
        self.report({"fast": 50, "slow": 200})
        self.fleet.loads.start_request("fast", 10**6, 1)
        utilization = placement.prefill_utilization(self.states().values())
        self.assertAlmostEqual(2 / 3.5, utilization)

    def test_a_figure_that_is_wrong_is_made_up_for_by_the_measured_time(self) -> None:
        self.report({"fast": 70, "slow": 170})
        for name, measured_factor in (("fast", 3.0), ("slow", 1.0)):
            state = self.states()[name]
            choice = placement.Choice(
                state.endpoint, 0.0, 0.3, 1, True, 1.0, None, state.time_factor
            )
            for _ in range(40):
                sent_at = self.now - 0.3 * state.time_factor * measured_factor - 0.1
                request_path.record_first_event(self.fleet, choice, sent_at, self.now)
        # A slow engine that says so is not charged twice.
        self.assertAlmostEqual(1.0, self.fleet.health.slowness("slow"))
        state = self.states()["fast"]
        self.assertAlmostEqual(0.7 * 3.0, state.slowness * state.time_factor, places=1)

    def test_an_engine_in_a_slow_moment_is_avoided_until_it_is_over(self) -> None:
        self.report({"fast": 100, "normal": 100, "slow": 100})
        self.fleet.speeds.record_reported("normal", 250, self.now, "llm")
        keys = prompt_cache.prefix_keys(builders.make_metadata(shared_tokens=1).parts)
        chosen = []
        for self.now in (100.2, 101.5):
            compared = [(0, self.states()[name]) for name in ("normal", "slow")]
            choice = placement.choose_engine(
                compared, ENGINE, keys, builders.make_metadata(shared_tokens=1), 1.0, 0.3
            )
            assert choice is not None
            chosen.append(choice.endpoint.id)
        self.assertEqual(["slow", "normal"], chosen)

    def test_plain_endpoints_in_a_slow_moment_get_less(self) -> None:
        plain = [builders.make_endpoint(name, service="app", slots=6) for name in ("e1", "e2")]
        self.fleet.speeds.record_reported("e1", 250, self.now, "app")
        chosen = []
        for _ in range(7):
            choice = placement.choose_plain_endpoint(plain, "z1", self.fleet.view, self.now)
            assert choice is not None
            self.fleet.loads.start_request(choice.endpoint.id, 0, 0)
            chosen.append(choice.endpoint.id)
        self.assertEqual((2, 5), (chosen.count("e1"), chosen.count("e2")))

    def test_a_service_without_the_fourth_figure_is_served_as_before(self) -> None:
        self.fleet.speeds.record_reported("other", 300, self.now, "app")
        self.assertFalse(self.fleet.speeds.is_reported("llm"))
        self.assertEqual([1.0] * 3, [state.time_factor for state in self.states().values()])
        self.assertEqual(
            3 * placement.PREFILL_TOKENS_PER_SECOND,
            self.placer.prefill_tokens_per_second("llm", {}, self.now),
        )


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """The load: six gateways, 12 engines of two speeds with slow moments, 1.0 of their capacity."""

    async def test_engines_get_work_in_proportion_to_their_speed(self) -> None:
        # Over eight seeds, without the figures: 927 to 945 of 1000 in time, and a fast engine
        # prefilled 2.23 to 2.35 times as much; with them 970 to 976, and 2.70 to 2.90 times.
        patcher = unittest.mock.patch.object(placement, "random", random.Random(1))
        patcher.start()
        self.addCleanup(patcher.stop)
        model = fleet_model.FleetModel(6, 12, 2_000_000, 1, (0.7, 0.7, 1.7))
        arrived = 0

        def step() -> None:
            nonlocal arrived
            due = int((model.now - 100.0) * 80)
            for number in range(arrived, due):
                model.arrive(f"u{number}", 900, 8_000)
            arrived = max(arrived, due)

        with unittest.mock.patch.object(clocks, "boot_time", model.clock):
            async with asyncio.timeout(60.0):
                await model.run(12.0, step, 0.1)
        in_time = sum(seconds <= 0.8 for seconds in model.waits)
        self.assertGreater(in_time / arrived, 0.955)
        tokens: dict[float, list[int]] = {0.7: [], 1.7: []}
        for engine in model.engines.values():
            assert engine.factor is not None
            tokens[engine.factor].append(engine.prefilled_tokens)
        ratio = sum(tokens[0.7]) / 8 / (sum(tokens[1.7]) / 4)
        self.assertGreater(ratio, 2.55)
