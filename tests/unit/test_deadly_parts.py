"""Parts of prompts that crash each endpoint that begins to answer them."""

import random
import unittest

from masticward.gateway import crash_detector
from masticward.models import part_reports
from masticward.protocol import gateway_peers
from masticward.state import part_quarantine
from masticward.utils import clocks
from tests.lib import crash_model
from tests.lib import gateway_builders as builders

CONTACT_SECONDS = 3.0
MAX_SENDS_AFTER_CONTACT = 3
# Sound requests that share parts with deadly ones, and others; then the deadly ones.
SOUND = [(8.0, ["doc", "s1"]), (1.0, ["doc", "s2"]), (20.0, ["other", "s3"])]
DEADLY = (1.5, ["doc", "s2", "deadly"])


class DeadlyPartTest(unittest.TestCase):
    """Guards against requests that crash one endpoint after the other (BUDGET, LOST)."""

    def assert_sends_end(self, model: crash_model.CrashModel) -> None:
        """Check the bound on deadly requests that are sent after the fifth crash."""
        if len(model.crashes) < 5:
            return
        late = [at for at in model.deadly_sends if at > model.crashes[4] + CONTACT_SECONDS]
        self.assertLessEqual(len(late), MAX_SENDS_AFTER_CONTACT, model.crashes)

    def test_a_deadly_part_is_kept_from_endpoints_and_its_neighbours_are_served(self) -> None:
        """Guards against crashes without end, and against refusing sound requests for them."""
        for gateways, seeds in ((1, 2), (4, 4), (24, 1)):
            for seed in range(seeds):
                with self.subTest(gateways=gateways, seed=seed):
                    model = crash_model.CrashModel(gateways, 5, {"deadly"}, seed)
                    model.run(12.0, [*SOUND, DEADLY])
                    crashes = len(model.crashes)
                    self.assert_sends_end(model)
                    model.answered.clear()
                    model.refused.clear()
                    model.run(15.0, [*SOUND, DEADLY])
                    self.assertLessEqual(len(model.crashes) - crashes, 1)
                    self.assert_sends_end(model)
                    for part in ("s1", "s2", "s3"):
                        self.assertLessEqual(model.refused.get(part, 0), model.answered[part])

    def test_two_deadly_parts_with_the_same_neighbours_are_both_found(self) -> None:
        """Guards against one part's crashes that hide the other's."""
        for seed in range(3):
            with self.subTest(seed=seed):
                model = crash_model.CrashModel(4, 6, {"deadly", "deadly2"}, seed)
                model.run(25.0, [*SOUND, DEADLY, (1.0, ["doc", "s1", "deadly2"])])
                self.assertLess(len(model.crashes), 14)
                last = max(model.crashes)
                self.assertLess(last, model.now - 8.0)
                self.assertGreater(model.answered["s1"], model.refused.get("s1", 0))

    def test_restarted_and_cut_off_gateways_do_not_start_again(self) -> None:
        """Guards against a gateway that lost or missed the evidence and sends the part on."""
        model = crash_model.CrashModel(4, 5, {"deadly"}, 3)
        model.cut_off = {"g3"}
        model.run(10.0, [*SOUND, DEADLY])
        model.cut_off = set()
        model.run(1.0, [*SOUND])
        sends = len(model.deadly_sends)
        for gateway in ("g0", "g1", "g2"):
            model.restart(gateway)
            model.run(1.0, [*SOUND])
        model.run(15.0, [*SOUND, DEADLY])
        self.assertLessEqual(len(model.deadly_sends) - sends, MAX_SENDS_AFTER_CONTACT)

    def test_endpoints_that_crash_together_quarantine_nothing(self) -> None:
        """Guards against blaming common parts for a rack that fails."""
        model = crash_model.CrashModel(4, 12, set(), 1)
        model.run(3.0, SOUND)
        for endpoint_id in list(model.running)[:8]:
            model.crash(endpoint_id)
        model.refused.clear()
        model.run(20.0, SOUND)
        self.assertFalse(any(item.restricted for item in model.quarantines.values()))
        self.assertLess(sum(model.refused.values()), 12)

    def test_a_quarantine_ends_and_one_test_renews_or_clears_it(self) -> None:
        """Guards against parts that stay refused, and against free requests at the end."""
        model = crash_model.CrashModel(4, 5, {"deadly"}, 2)
        model.run(20.0, [*SOUND, DEADLY])
        sends = len(model.deadly_sends)
        model.run(40.0, [*SOUND, DEADLY])
        self.assertLessEqual(len(model.deadly_sends) - sends, 2)
        model.deadly = set()
        model.run(60.0, [*SOUND, DEADLY])
        self.assertGreater(model.answered["deadly"], 10)
        self.assertFalse(any(item.restricted for item in model.quarantines.values()))

    def test_a_part_that_was_answered_before_can_become_deadly(self) -> None:
        """Guards against old answers that protect a part for good."""
        model = crash_model.CrashModel(4, 5, set(), 1)
        model.run(5.0, [*SOUND, DEADLY])
        model.deadly = {"deadly"}
        model.run(20.0, [*SOUND, DEADLY])
        crashes = len(model.crashes)
        model.run(5.0, [*SOUND, DEADLY])
        self.assertEqual(crashes, len(model.crashes))


class EvidenceTest(unittest.TestCase):
    """Guards against evidence that grows, or that depends on how messages arrive."""

    def make_reports(self) -> list[tuple[str, part_reports.PartReport]]:
        """Return reports of three gateways on the same parts."""
        reports = []
        for sender in ("g1", "g2", "g3"):
            quarantine = part_quarantine.PartQuarantine(sender)
            quarantine.record_crash(f"e-{sender}", ["a", "b"], 10.0)
            quarantine.record_crash("e-all", ["a"], 11.0)
            if sender == "g2":
                quarantine.record_answer(["b"], 11.5)
            if sender == "g3":
                quarantine.start_test(["a"], "e9", "q", 12.0)
                quarantine.record_crash("e9", ["a"], 12.1)
                quarantine.advance(13.0)
            reports += [(sender, report) for report in quarantine.build_reports(13.0)]
        return reports

    def test_messages_in_any_order_and_number_give_the_same_state(self) -> None:
        """Guards against gateways that decide differently on the same evidence."""
        reports = self.make_reports()
        states = set()
        for seed in range(20):
            order = reports * 2
            random.Random(seed).shuffle(order)
            quarantine = part_quarantine.PartQuarantine("g0")
            for sender, report in order:
                quarantine.merge(report, sender, 13.0)
            states.add(
                tuple(
                    (
                        part.key,
                        part.open_crashes,
                        part.restricted,
                        part.is_quarantined(14.0),
                        tuple(sorted(part.crashes)),
                    )
                    for part in sorted(quarantine.parts.values(), key=lambda item: item.key)
                )
            )
        self.assertEqual(1, len(states))
        self.assertIn(("a", True, True), {(state[0], *state[2:4]) for state in states.pop()})

    def test_memory_and_messages_are_bounded(self) -> None:
        """Guards against prompts with endless parts that fill memory or datagrams."""
        quarantine = part_quarantine.PartQuarantine("g1")
        for crash in range(12):
            keys = [part_quarantine.part_key("x" * 500 + str(item)) for item in range(2000)]
            quarantine.record_crash(f"endpoint-with-a-long-name-{crash}", keys, 10.0)
            quarantine.record_answer([f"{crash}-{item}" for item in range(2000)], 10.0)
        self.assertLessEqual(len(quarantine.parts), part_quarantine.MAX_PARTS)
        self.assertLessEqual(len(quarantine.answered), part_quarantine.MAX_ANSWERED_PARTS)
        reports = quarantine.build_reports(10.0)
        size = len(gateway_peers.ENCODER.encode(reports))
        self.assertLess(size, gateway_peers.MAXIMUM_DATAGRAM_BYTES / 2)

    def test_a_placed_request_is_not_sent_once_a_part_is_suspected(self) -> None:
        """Guards against requests that were placed shortly before, and against second tests."""
        quarantine = part_quarantine.PartQuarantine("g1")
        self.assertTrue(quarantine.may_still_send(["a"], "q1"))
        for endpoint_id in ("e1", "e2"):
            quarantine.record_crash(endpoint_id, ["a"], 10.0)
        self.assertFalse(quarantine.may_still_send(["a"], "q1"))
        quarantine.start_test(["a"], "e3", "q2", 11.0)
        self.assertEqual({"e1", "e2", "e3"}, quarantine.endpoints_to_avoid(11.0))
        self.assertFalse(quarantine.may_still_send(["a"], "q1"))
        self.assertTrue(quarantine.may_still_send(["a"], "q2"))
        quarantine.end_test(["a"], "q1", "e3")
        self.assertEqual(part_quarantine.Verdict.WAIT, quarantine.verdict(["a"], ["g1"], 12.0)[0])
        # The same request was at another endpoint before, which ends now.
        quarantine.end_test(["a"], "q2", "e4")
        self.assertEqual(part_quarantine.Verdict.WAIT, quarantine.verdict(["a"], ["g1"], 12.0)[0])
        quarantine.end_test(["a"], "q2", "e3")
        self.assertEqual(part_quarantine.Verdict.TEST, quarantine.verdict(["a"], ["g1"], 12.0)[0])

    def test_gateways_test_one_after_the_other(self) -> None:
        """Guards against one crash for each gateway."""
        gateways = [f"g{number}" for number in range(16)]
        quarantines = [part_quarantine.PartQuarantine(item) for item in gateways]
        for quarantine in quarantines:
            quarantine.record_crash("e1", ["a"], 10.0)
            quarantine.record_crash("e2", ["a"], 10.0)
        counts = [
            sum(
                quarantine.verdict(["a"], gateways, now)[0] is part_quarantine.Verdict.TEST
                for quarantine in quarantines
            )
            for now in (10.1, 10.3, 10.8, 13.0)
        ]
        self.assertEqual([0, 1, 2, 16], counts)
        tester = next(
            item
            for item in quarantines
            if item.verdict(["a"], gateways, 10.3)[0] is part_quarantine.Verdict.TEST
        )
        tester.start_test(["a"], "e3", "q1", 10.3)
        report = tester.build_reports(10.3)[0]
        other = quarantines[0] if quarantines[0] is not tester else quarantines[1]
        other.merge(report, tester.own_id, 10.3)
        self.assertEqual(part_quarantine.Verdict.WAIT, other.verdict(["a"], gateways, 13.0)[0])

    def test_a_crash_blames_parts_that_were_never_answered_before_others(self) -> None:
        """Guards against quarantines of the sound parts of a deadly request."""
        quarantine = part_quarantine.PartQuarantine("g1")
        quarantine.record_answer(["doc"], 9.0)
        for endpoint_id in ("e1", "e2"):
            quarantine.record_crash(endpoint_id, ["doc", "new"], 10.0)
        quarantine.start_test(["doc", "new"], "e3", "q1", 11.0)
        quarantine.record_crash("e3", ["doc", "new"], 11.1)
        quarantine.advance(12.0)
        self.assertTrue(quarantine.restricted["new"].is_quarantined(12.0))
        self.assertFalse(quarantine.restricted["doc"].is_quarantined(12.0))

    def test_faulty_reports_of_peers_restrict_nothing_for_good(self) -> None:
        """Guards against numbers of a faulty peer that no time or message can hold."""
        quarantine = part_quarantine.PartQuarantine("g1")
        for seconds in (float("inf"), float("nan"), 1e300):
            crash = part_reports.CrashReport("e" * 9000, float("nan"), False, 7)
            quarantine.merge(
                part_reports.PartReport("a", [crash] * 50, 2**63, 0, seconds, seconds, "e" * 9000),
                "g2",
                10.0,
            )
        self.assertLess(quarantine.verdict(["a"], ["g1"], 10.0)[1], 1000.0)
        size = len(gateway_peers.ENCODER.encode(quarantine.build_reports(10.0)))
        self.assertLess(size, 1000)

    def test_evidence_expires(self) -> None:
        """Guards against crashes of last week that suspect a part today."""
        quarantine = part_quarantine.PartQuarantine("g1")
        peer = part_quarantine.PartQuarantine("g2")
        quarantine.record_crash("e1", ["a"], 10.0)
        quarantine.record_crash("e2", ["a"], 11.0)
        self.assertIn("a", quarantine.restricted)
        now = 11.0
        while now < 75.0:
            now += 1.0
            for sender, receiver in ((quarantine, peer), (peer, quarantine)):
                sender.expire(now)
                for report in sender.build_reports(now):
                    receiver.merge(report, sender.own_id, now)
        self.assertEqual(({}, {}), (dict(quarantine.parts), dict(peer.parts)))

    def test_a_crash_after_the_timeout_of_a_test_is_its_outcome(self) -> None:
        """Guards against parts that crash their endpoints late, one after the other."""
        for answered in (False, True):
            with self.subTest(answered=answered):
                quarantine = part_quarantine.PartQuarantine("g1")
                for endpoint_id in ("e1", "e2"):
                    quarantine.record_crash(endpoint_id, ["a"], 10.0)
                quarantine.start_test(["a"], "e3", "q1", 11.0)
                now = 11.0 + part_quarantine.TEST_TIMEOUT_SECONDS
                quarantine.advance(now)
                # Another test may follow meanwhile, at another endpoint.
                self.assertEqual(
                    part_quarantine.Verdict.TEST, quarantine.verdict(["a"], ["g1"], now)[0]
                )
                self.assertIn("e3", quarantine.endpoints_to_avoid(now))
                quarantine.start_test(["a"], "e4", "q2", now)
                if answered:
                    quarantine.end_test(["a"], "q1", "e3")
                quarantine.record_crash("e3", ["a"], now + 1.0)
                quarantine.advance(now + 1.0 + part_quarantine.VERDICT_DELAY_SECONDS)
                part = quarantine.restricted["a"]
                self.assertEqual(not answered, part.is_quarantined(now + 2.0))
                self.assertEqual("e4", part.own_test.endpoint_id if part.own_test else "")

    def test_a_crash_after_the_client_of_a_test_has_left_is_its_outcome(self) -> None:
        """Guards against parts that crash endpoints without end because their clients leave."""
        detector = crash_detector.CrashDetector(
            builders.make_fleet(now=clocks.boot_time()),
            None,  # type: ignore[arg-type]
        )
        quarantine, now = detector.fleet.quarantine, clocks.boot_time()
        endpoint = builders.make_endpoint("e3")
        for endpoint_id in ("e1", "e2"):
            quarantine.record_crash(endpoint_id, ["a"], now)
        quarantine.start_test(["a"], endpoint.incarnation, "q1", now)
        detector.record_abandoned(endpoint, "q1", ["a"])
        quarantine.end_test(["a"], "q1", endpoint.incarnation)
        # Requests with the part are held back no longer than before.
        verdict, _ = quarantine.verdict(["a"], ["g1"], now + 1.0)
        self.assertEqual(part_quarantine.Verdict.TEST, verdict)
        detector.record_unreachable(endpoint)
        quarantine.advance(clocks.boot_time() + part_quarantine.VERDICT_DELAY_SECONDS)
        self.assertTrue(quarantine.restricted["a"].is_quarantined(clocks.boot_time()))

    def test_evidence_stays_until_the_outcome_of_a_test_is_known(self) -> None:
        """Guards against tests that are given up because the crashes before them expire."""
        for crashes in (True, False):
            with self.subTest(crashes=crashes):
                quarantine = part_quarantine.PartQuarantine("g1")
                for endpoint_id in ("e1", "e2"):
                    quarantine.record_crash(endpoint_id, ["a"], 10.0)
                now = 10.0 + part_quarantine.CRASH_MEMORY_SECONDS
                quarantine.start_test(["a"], "e3", "q1", now - 1.0)
                quarantine.expire(now)
                if crashes:
                    quarantine.record_crash("e3", ["a"], now + 1.0)
                else:
                    quarantine.end_test(["a"], "q1", "e3")
                quarantine.expire(now + 1.1)
                quarantine.advance(now + 1.2)
                part = quarantine.restricted.get("a")
                self.assertEqual(crashes, part is not None and part.is_quarantined(now + 2.0))
