"""Tests explanations of placements on a fleet state, without a network.

They guard against an explanation that differs from what the placer does, that leaves out why an
endpoint gets nothing, or that changes the state of a gateway that serves requests.
"""

import asyncio
import math
import random
import typing
import unittest.mock

import msgspec

from masticward import errors, metrics
from masticward.gateway import calls, front, gateway_metrics, placer, request_path
from masticward.gateway import placement_explanation as explanation_module
from masticward.models import gateway, rollouts
from masticward.platform import headers
from masticward.protocol import placement_explanations as messages
from masticward.state import body_memory, load_table
from masticward.utils import clocks
from tests.lib import gateway_builders as builders
from tests.lib import loops

QUERY = messages.Query(
    route="r1", team="a", parts=(("doc", 13_000), ("own-q1", 3_700)), output_tokens=100
)


def fingerprint(value: typing.Any, seen: frozenset[int] = frozenset()) -> typing.Any:
    """Return all state that an object holds, as comparable text in nested tuples."""
    if id(value) in seen:
        return "seen"
    seen |= {id(value)}
    if isinstance(value, dict):
        return [(repr(key), fingerprint(item, seen)) for key, item in value.items()]
    if isinstance(value, (list, tuple)) or type(value).__name__ == "deque":
        return [fingerprint(item, seen) for item in value]
    names = [name for kind in type(value).__mro__ for name in vars(kind).get("__slots__", ())]
    names += getattr(value, "__struct_fields__", ())
    names += list(getattr(value, "__dict__", {}))
    if names and type(value).__module__.startswith(("masticward", "tests")):
        return [(name, fingerprint(getattr(value, name, None), seen)) for name in names]
    return repr(value)


class ExplanationCase(loops.UvloopTestCase):
    """A gateway with four engines, and requests of its own and of a peer at them."""

    async def asyncSetUp(self) -> None:
        self.now = clocks.boot_time()
        self.fleet = builders.make_fleet(
            *(builders.make_endpoint(f"e{number}") for number in range(1, 5)), now=self.now
        )
        answers = body_memory.AnswerMemory(10**6)
        codec = headers.HeaderCodec()
        self.client = calls.EndpointClient(self.fleet, codec, answers)
        self.placer = placer.Placer(self.fleet, lambda *_: None)
        dependencies = request_path.RequestDependencies(
            self.fleet,
            codec,
            self.placer,
            self.client,
            gateway_metrics.GatewayMetrics(metrics.ProcessMetrics()),
        )
        self.handler = front.ClientRequestHandler(dependencies)
        self.explainer = explanation_module.Explainer(self.handler)

    def explain(self, query: messages.Query = QUERY) -> messages.Explanation:
        return self.explainer.explain(query, clocks.boot_time())

    def waiting(self, request_id: str, team: str = "a", **changes: typing.Any) -> typing.Any:
        now = clocks.boot_time()
        metadata = builders.make_metadata(request_id, arrived_at=now, **changes)
        assert self.fleet.configuration is not None
        route = self.fleet.configuration.routes[0]
        return placer.WaitingRequest(metadata, route, "llm", team, now + 0.64)

    def fill(self, unread_tokens: int = 100_000) -> None:
        for name in self.fleet.table.endpoints:
            self.fleet.loads.start_request(name, unread_tokens, 20_000)


class ExclusionTest(ExplanationCase):
    async def test_each_reason_is_named(self) -> None:
        fleet, now = self.fleet, clocks.boot_time()
        listed = {
            name: builders.make_endpoint(name, **changes)
            for name, changes in {
                "e1": {},
                "draining": {"draining": True},
                "zone": {"availability_zone": "z9"},
                "missing": {},
                "leaving": {"address": "127.0.0.1:2"},
                "paused": {"address": "127.0.0.1:3"},
                "backoff": {},
                "cold": {"cold_until": now + 60.0},
                "kept": {},
            }.items()
        }
        fleet.apply_endpoints(list(listed.items()), True)
        fleet.apply_evacuations([("z9", True)], True)
        fleet.table.mark_missing({"missing": now - 0.1, "kept": now + 60.0})
        fleet.announcements.record_leaving(listed["leaving"], now)
        fleet.announcements.record_pause(listed["paused"], 60.0, now)
        fleet.health.record_unreachable("backoff", now)
        fleet.cold_start_limiter.record_send("cold", 0.01, 1, now)
        explanation = self.explain()
        reasons = {item.endpoint_id: " ".join(item.reasons) for item in explanation.excluded}
        for name, text in {
            "draining": "draining",
            "zone": "zone z9 is evacuated",
            "missing": "missing after a store outage",
            "leaving": "said that it leaves",
            "paused": "wants no request for ",
            "backoff": "in backoff for ",
            "cold": "rate used up for ",
        }.items():
            self.assertIn(text, reasons.pop(name))
        self.assertEqual({}, reasons)
        candidates = {item.endpoint_id: item for item in explanation.candidates}
        self.assertEqual({"e1", "kept"}, set(candidates))
        self.assertIsNotNone(candidates["kept"].missing_seconds)

    async def test_an_unknown_rule_is_not_passed_over(self) -> None:
        """Guards against an endpoint that is in neither list once the placer has another rule."""
        accepts = placer.Placer.accepts_requests

        def refuse_e2(self: typing.Any, item: gateway.Endpoint, *rest: typing.Any) -> bool:
            return item.id != "e2" and accepts(self, item, *rest)

        with unittest.mock.patch.object(placer.Placer, "accepts_requests", refuse_e2):
            explanation = self.explain()
        self.assertEqual(
            [("e2", ["excluded by another rule"])],
            [(item.endpoint_id, item.reasons) for item in explanation.excluded],
        )

    async def test_a_quarantined_part_is_refused_and_named(self) -> None:
        now = clocks.boot_time()
        self.fleet.quarantine.restore("doc", 1, 20.0, now)
        explanation = self.explain()
        assert explanation.refusal is not None
        self.assertIn("quarantined", explanation.refusal.reason)
        self.assertEqual(
            [("doc", "quarantined")],
            [(item.part, item.state) for item in explanation.restricted_parts],
        )

    async def test_a_suspected_part_is_tested_by_one_request(self) -> None:
        """Guards against an explanation that lets a held request go, or names another cause."""
        for endpoint_id in ("x1", "x2"):
            self.fleet.quarantine.record_crash(endpoint_id, ["doc"], clocks.boot_time() - 9.0)
        self.assertEqual("sent", self.explain().outcome)
        first = self.waiting("q1")
        first.future = asyncio.get_running_loop().create_future()
        self.placer.queues["llm"] = [first]
        explanation = self.explain()
        self.assertEqual(("waits", True), (explanation.outcome, explanation.held_back))
        self.assertEqual("suspected", explanation.restricted_parts[0].state)


class SameDecisionTest(ExplanationCase):
    """Guards against an explanation of something that the placer does not do."""

    async def test_the_choice_among_owners_is_the_placers(self) -> None:
        generator = random.Random(3)
        self.fleet.health.record_latency("e2", 0.5, 0.1, self.now)
        for number in range(40):
            self.fleet.loads.own.clear()
            for name in self.fleet.table.endpoints:
                if generator.random() < 0.5:
                    self.fleet.loads.start_request(name, generator.randrange(3000), 5000)
                self.fleet.speeds.record_reported(name, generator.randrange(60, 150), self.now)
            part = (f"doc{number % 5}", 5000)
            explanation = self.explain(msgspec.structs.replace(QUERY, parts=(part, ("own", 300))))
            request = self.waiting(f"q{number}", shared=part[0], shared_tokens=5000, own_tokens=300)
            self.assertEqual("sent", explanation.outcome)
            choice = await self.placer.place(request)
            assert not isinstance(choice, placer.PlacementRefusal)
            first = explanation.candidates[0]
            assert first.cost is not None
            self.assertEqual(choice.endpoint.id, explanation.endpoint_id)
            self.assertEqual(choice.endpoint.id, first.endpoint_id)
            self.assertAlmostEqual(choice.cost_seconds, first.cost.cost_seconds, 2)

    async def test_a_plain_endpoint_is_the_placers(self) -> None:
        listed = [builders.make_endpoint(f"p{i}", service="app", slots=4) for i in range(3)]
        self.fleet.apply_endpoints([(item.id, item) for item in listed], True)
        self.fleet.loads.start_request("p0", 0, 0)
        self.fleet.health.record_failure("p1", clocks.boot_time())
        explanation = self.explain(messages.Query(host="API.example", path="/book/x"))
        self.assertEqual(("r2", "p2"), (explanation.route, explanation.endpoint_id))
        # One request at p0 costs less than a failure at p1.
        self.assertEqual(["p2", "p0", "p1"], [item.endpoint_id for item in explanation.candidates])

    async def test_without_a_shared_part_all_engines_of_the_sample_are_shown(self) -> None:
        explanation = self.explain(msgspec.structs.replace(QUERY, parts=(("own", 300),)))
        self.assertEqual(3, explanation.sample_size)
        self.assertEqual(4, sum(item.cost is not None for item in explanation.candidates))

    async def test_a_request_behind_others_waits_with_their_tokens_ahead(self) -> None:
        self.fill()
        others = [self.waiting(f"q{number}") for number in range(3)]
        for item in others:
            item.future = asyncio.get_running_loop().create_future()
        self.placer.queues["llm"] = others
        explanation = self.explain()
        self.assertEqual(
            ("waits", 3, 3), (explanation.outcome, explanation.waiting, explanation.place)
        )
        self.assertEqual(3 * 16_700, explanation.tokens_ahead)
        self.assertAlmostEqual(3 * 16_700 / 200_000, explanation.expected_wait_seconds)
        self.assertFalse(any(item.has_capacity for item in explanation.candidates))

    async def test_the_refusal_is_the_placers(self) -> None:
        now = clocks.boot_time()
        endpoint = builders.make_endpoint("paused")
        self.fleet.apply_endpoints([("paused", endpoint)], True)
        self.fleet.announcements.record_pause(endpoint, 60.0, now)
        refusal = self.explain().refusal
        placed = await self.placer.place(self.waiting("q1"))
        assert isinstance(placed, placer.PlacementRefusal) and refusal is not None
        self.assertEqual(placed.reason, refusal.reason)
        assert refusal.retry_after_seconds is not None
        self.assertAlmostEqual(placed.retry_after_seconds, refusal.retry_after_seconds, delta=0.2)


class NoChangeTest(ExplanationCase):
    async def test_state_and_random_generator_stay_as_they_are(self) -> None:
        """Guards against reservations and other traces, also of new state of the placer."""
        now = clocks.boot_time()
        self.fill(100)
        for name in self.fleet.table.endpoints:
            self.fleet.caches.get(name, 50_000).record_prompt([(1, 3000), (2, 4000)])
        peer_loads = {"e1": load_table.EndpointLoad(500, 1, 900)}
        self.fleet.loads.set_peer_loads("g2", peer_loads, now)
        self.fleet.health.record_failure("e1", now - 1.0)
        self.fleet.usage.record("a", 5000, now - 1.0)
        self.fleet.demand.record("b", 90_000, now - 1.0)
        for endpoint_id in ("e1", "e2"):
            self.fleet.quarantine.record_crash(endpoint_id, ["bad"], now - 9.0)
        cold = builders.make_endpoint("cold", cold_until=now + 60.0)
        self.fleet.apply_endpoints([("cold", cold)], False)
        self.placer.queues["llm"] = [
            self.waiting("q1"),
            self.waiting("q2", shared="bad"),
            self.waiting("q3", shared_tokens=10, own_tokens=10),
        ]
        for item in self.placer.queues["llm"]:
            item.future = asyncio.get_running_loop().create_future()
        # Late, so that a part of the streams is refused.
        self.handler.available_peers = lambda: 1.0
        self.fleet.shedder.lag_seconds = 5.0
        self.fleet.shedder.unrefused = 0.99
        for ends_at in (math.inf, now + 1.0):
            self.fleet.ends_at = ends_at
            with self.subTest(ends_at=ends_at):
                before = fingerprint([self.fleet, self.placer]), random.getstate()
                refusals = [self.explain().refusal for _ in range(2)]
                self.explain(msgspec.structs.replace(QUERY, parts=(("bad", 2000), ("own", 10))))
                self.explain(msgspec.structs.replace(QUERY, parts=(("own", 10),)))
                self.explain(messages.Query(host="api.example", path="/status/x"))
                after = fingerprint([self.fleet, self.placer]), random.getstate()
                self.assertEqual(before, after)
                self.assertEqual(*refusals)
                self.assertIsNotNone(refusals[0])

    async def test_a_rollout_is_neither_counted_nor_completed(self) -> None:
        """Guards against explanations that use up the canary share or decide on an order."""
        bounds = msgspec.structs.replace(builders.make_bounds(), canary_share=0.1)
        self.fleet.apply_settings(builders.make_settings(bounds=bounds))
        engines = [
            builders.make_endpoint(f"e{number}", version="v2" if number > 2 else "v1", born=number)
            for number in range(1, 5)
        ]
        self.fleet.apply_endpoints([(item.id, item) for item in engines], True)
        order = rollouts.Order(service="llm", target="v2", duration_seconds=30.0, revision=5)
        for changes in ({}, {"target": "v1"}):
            with self.subTest(changes):
                changed = msgspec.structs.replace(order, **changes)
                self.fleet.apply_rollouts([("llm", changed)], True)
                before = fingerprint([self.fleet, self.placer])
                for _ in range(3):
                    self.explain()
                self.assertEqual(before, fingerprint([self.fleet, self.placer]))

    async def test_a_version_without_an_order_is_named(self) -> None:
        bounds = msgspec.structs.replace(builders.make_bounds(), canary_share=0.1)
        self.fleet.apply_settings(builders.make_settings(bounds=bounds))
        engines = [
            builders.make_endpoint("e1", version="v1", born=1),
            builders.make_endpoint("e2", version="v2", born=2),
        ]
        self.fleet.apply_endpoints([(item.id, item) for item in engines], True)
        excluded = {item.endpoint_id: item.reasons for item in self.explain().excluded}
        self.assertEqual({"e2": ["version v2 gets no requests"]}, excluded)


class FailureTest(ExplanationCase):
    """Guards against answers that mislead, show keys or come too often."""

    async def test_unknown_route_and_team_and_no_configuration(self) -> None:
        for changes, text in (
            ({"route": "r9"}, "unknown route 'r9'"),
            ({"team": "zz"}, "unknown team 'zz'"),
            ({"team": ""}, "the route needs a team"),
            ({"route": "", "host": "x", "path": "/y"}, "no route for x/y"),
        ):
            with self.subTest(text), self.assertRaisesRegex(errors.PlacementExplanationError, text):
                self.explain(msgspec.structs.replace(QUERY, **changes))
        self.fleet.configuration = None
        with self.assertRaisesRegex(errors.PlacementExplanationError, "no configuration yet"):
            self.explain()

    async def test_a_saved_request_is_decoded_and_its_key_not_shown(self) -> None:
        saved = messages.Query(
            method="POST",
            target="/plan/x",
            headers=(
                ("Host", "api.example"),
                ("X-Masticward-Request-Id", "q1"),
                ("Authorization", "Bearer key-b"),
                ("X-Masticward-Token-Counts", "2000,10"),
                ("X-Masticward-Prefix-Hash", "doc:1500,own:500"),
            ),
        )
        explanation = self.explain(saved)
        self.assertEqual(("b", 2000), (explanation.team, explanation.prompt_tokens))
        self.assertEqual(1500, explanation.shared_tokens)
        self.assertNotIn(b"key-", msgspec.json.encode(explanation))

    async def test_a_second_query_at_once_is_refused(self) -> None:
        body = msgspec.json.encode(QUERY)
        self.assertEqual(200, self.explainer.answer(body)[0])
        status, text = self.explainer.answer(body)
        self.assertEqual(429, status)
        self.assertIn(b"at most 4 a second", text)

    async def test_an_unexpected_error_is_answered(self) -> None:
        with unittest.mock.patch.object(self.explainer, "explain", side_effect=KeyError("x")):
            status, text = self.explainer.answer(msgspec.json.encode(QUERY))
        self.assertEqual(500, status)
        self.assertIn(b"internal error", text)
