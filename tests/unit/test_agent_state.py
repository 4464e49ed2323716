"""Fuzzes the agent's tables against simple oracles.

Guards against a limit that rises without evidence, a slot or an attempt id that serves twice, and
earlier work of an endpoint that is lost from the count or counted for ever.
"""

import unittest

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st

from masticward.models import work
from masticward.state import admission, attempts, in_flight, service_counters, slots, staged_depth

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150, stateful_step_count=60
)
STEPS = st.sampled_from([0.0, 0.001, 0.1, 0.49, 0.5, 0.51, 1.0, 2.0, 3.0, 61.0])
WARM_LIMIT = 5
COLD_LIMIT = 2


class ClockMachine(hypothesis.stateful.RuleBasedStateMachine):
    """A machine with a clock of its own, in seconds."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0

    @hypothesis.stateful.rule(step=STEPS)
    def wait(self, step: float) -> None:
        self.now += step


class SlotMachine(ClockMachine):
    """The oracle knows every slot ever issued with its deadline, and those that were used."""

    def __init__(self) -> None:
        super().__init__()
        self.table = slots.SlotTable()
        self.deadlines: dict[int, float] = {}
        self.used: set[int] = set()

    @hypothesis.stateful.rule(count=st.integers(-1, 4))
    def issue(self, count: int) -> None:
        slot_ids, deadline = self.table.issue(count, self.now)
        assert len(slot_ids) == max(0, count)
        assert not set(slot_ids) & set(self.deadlines)
        assert deadline == self.now + 2.0
        self.deadlines |= dict.fromkeys(slot_ids, deadline)

    @hypothesis.stateful.rule(slot_id=st.integers(0, 30))
    def take(self, slot_id: int) -> None:
        refusal = self.table.take(slot_id, self.now)
        usable = slot_id in self.deadlines and slot_id not in self.used
        if usable and self.now < self.deadlines[slot_id]:
            assert refusal is None
            self.used.add(slot_id)
        elif usable and self.now < self.deadlines[slot_id] + 2.0:
            assert refusal is work.RefusalReason.SLOT_EXPIRED
        else:
            assert refusal is not None

    @hypothesis.stateful.invariant()
    def counts_what_can_be_used(self) -> None:
        valid = {slot for slot, deadline in self.deadlines.items() if deadline > self.now}
        assert self.table.issued(self.now) == len(valid - self.used)
        assert len(self.table.deadlines) <= len(
            [d for d in self.deadlines.values() if d + 2.0 > self.now]
        )


class AttemptMachine(ClockMachine):
    """The oracle knows every accepted id with its deadline."""

    def __init__(self) -> None:
        super().__init__()
        self.table = attempts.AttemptTable()
        self.deadlines: dict[str, float] = {}

    @hypothesis.stateful.rule(number=st.integers(0, 20), seconds=st.sampled_from([-1, 0, 5, 90]))
    def accept(self, number: int, seconds: float) -> None:
        attempt_id = f"a{number}"
        accepted = self.table.accept(attempt_id, self.now + seconds, self.now)
        known = self.deadlines.get(attempt_id)
        assert accepted == (known is None or known + 60.0 <= self.now)
        if accepted:
            self.deadlines[attempt_id] = max(self.now, self.now + seconds)
        assert self.table.is_known(attempt_id)

    @hypothesis.stateful.rule()
    def forget(self) -> None:
        self.table.forget(self.now)
        kept = {name for name, deadline in self.deadlines.items() if deadline + 60.0 > self.now}
        assert set(self.table.accepted) == kept
        assert len(self.table.expiries) == len(kept)


class AdmissionMachine(ClockMachine):
    """The oracle lists the successes since the last raise or sign, without any other state."""

    def __init__(self) -> None:
        super().__init__()
        self.limit = admission.AdmissionLimit(COLD_LIMIT, WARM_LIMIT, self.now, 1.0)
        self.started_at = self.now
        self.expected = COLD_LIMIT
        self.good: list[float] = []
        self.reports: list[float] = []
        self.cold = False
        self.incarnation: int | None = None
        self.epochs = [0]

    def fall_back(self) -> None:
        self.expected = COLD_LIMIT
        self.good.clear()
        self.epochs.append(self.limit.epoch)

    @hypothesis.stateful.rule(cold=st.booleans(), incarnation=st.integers(1, 2))
    def report(self, cold: bool, incarnation: int) -> None:
        self.limit.note_report(cold, incarnation, 0, self.now)
        self.reports.append(self.now)
        restarted = self.incarnation not in (None, incarnation)
        self.cold, self.incarnation = cold, incarnation
        if cold or restarted:
            self.fall_back()

    @hypothesis.stateful.rule(old=st.booleans())
    def success(self, old: bool) -> None:
        epoch = self.limit.epoch - 1 if old else self.limit.epoch
        self.limit.note_success(epoch, self.now)
        if old or self.expected == WARM_LIMIT:
            return
        if self.cold or not self.reports or self.now - self.reports[-1] >= 3.0:
            self.good.clear()
            return
        self.good.append(self.now)
        if len(self.good) == self.expected:
            self.good.clear()
            self.expected += 1

    @hypothesis.stateful.rule()
    def overload(self) -> None:
        self.limit.go_cold()
        self.fall_back()

    @hypothesis.stateful.rule()
    def failure(self) -> None:
        self.limit.note_failure()
        self.good.clear()

    @hypothesis.stateful.invariant()
    def agrees(self) -> None:
        assert self.limit.limit == self.expected
        assert len(set(self.epochs)) == len(self.epochs)
        states = {COLD_LIMIT: "cold", WARM_LIMIT: "warm"}
        if not self.cold:
            assert self.limit.state.value == states.get(self.expected, "warming")
        waited = self.now - self.started_at
        assert self.limit.is_open(self.now) == (
            waited >= 3.0 or (waited >= 1.0 and bool(self.reports))
        )


class InFlightMachine(ClockMachine):
    """The oracle is an endpoint with own and earlier calls whose reports lag by less than 1 s."""

    def __init__(self) -> None:
        super().__init__()
        self.own = 0
        self.earlier = 3
        self.past: list[tuple[float, int]] = [(0.0, self.earlier)]
        self.estimate = in_flight.InFlightEstimate(1.0, self.now)
        self.estimate.note_report(self.earlier, self.now, self.now)

    def keep(self) -> None:
        self.past.append((self.now, self.own + self.earlier))

    @hypothesis.stateful.rule()
    def start(self) -> None:
        self.own += 1
        self.estimate.start(self.now)
        self.keep()

    @hypothesis.stateful.precondition(lambda self: self.own > 0)
    @hypothesis.stateful.rule(confirmed=st.booleans(), still_runs=st.booleans())
    def end(self, confirmed: bool, still_runs: bool) -> None:
        self.own -= 1
        self.earlier += not confirmed and still_runs
        self.estimate.end(self.now, confirmed)
        self.keep()

    @hypothesis.stateful.precondition(lambda self: self.earlier > 0)
    @hypothesis.stateful.rule()
    def earlier_call_ends(self) -> None:
        self.earlier -= 1
        self.keep()

    @hypothesis.stateful.rule(lag=st.sampled_from([0.0, 0.3, 0.99]), trip=st.sampled_from([0, 0.4]))
    def report(self, lag: float, trip: float) -> None:
        shown = [running for moment, running in self.past if moment <= self.now - lag][-1]
        requested_at = self.now
        self.now += trip
        self.estimate.note_report(shown, requested_at, self.now)

    @hypothesis.stateful.rule()
    def quiet(self) -> None:
        """Two reports in a quiet time tell the truth."""
        self.now += 2.0
        self.estimate.note_report(self.own + self.earlier, self.now, self.now)
        assert self.estimate.total == self.own + self.earlier

    @hypothesis.stateful.invariant()
    def never_below_the_truth(self) -> None:
        assert self.estimate.own == self.own
        # Forgetting earlier work without evidence is allowed only after a whole period.
        if self.now < 100.0 + in_flight.EVIDENCE_PERIOD_SECONDS:
            assert self.estimate.total >= self.own + self.earlier


class SlotTest(SlotMachine.TestCase):  # type: ignore[misc]
    settings = SETTINGS


class AttemptTest(AttemptMachine.TestCase):  # type: ignore[misc]
    settings = SETTINGS


class AdmissionTest(AdmissionMachine.TestCase):  # type: ignore[misc]
    settings = SETTINGS


class InFlightTest(InFlightMachine.TestCase):  # type: ignore[misc]
    settings = SETTINGS


class FirstTokenTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limit = admission.AdmissionLimit(COLD_LIMIT, WARM_LIMIT, 0.0, 0.0)
        self.limit.note_report(False, 1, 0, 0.0)
        for _ in range(10):
            self.assertFalse(self.limit.note_first_token(0.2, 0, 1.0))
        self.limit.raw_limit = WARM_LIMIT

    def test_a_first_token_above_four_times_the_mean_is_a_sign_of_cold(self) -> None:
        self.assertFalse(self.limit.note_first_token(0.79, 0, 1.0))
        self.assertEqual(WARM_LIMIT, self.limit.limit)
        self.assertTrue(self.limit.note_first_token(1.1, 0, 1.0))
        self.assertEqual((COLD_LIMIT, 1), (self.limit.limit, self.limit.epoch))

    def test_lastingly_longer_prompts_are_learned(self) -> None:
        signs = [self.limit.note_first_token(1.5, self.limit.epoch, 1.0) for _ in range(40)]
        self.assertTrue(signs[0])
        self.assertFalse(any(signs[-20:]))


class SmallTablesTest(unittest.TestCase):
    def test_forgets_earlier_work_without_evidence_or_reports(self) -> None:
        estimate = in_flight.InFlightEstimate(1.0, 0.0)
        for number in range(200):
            now = number * 0.5
            estimate.start(now)
            estimate.end(now + 0.1, confirmed=number > 0)
            estimate.note_report(1, now + 0.2, now + 0.2)
        self.assertEqual(0, estimate.earlier)
        estimate.start(101.0)
        estimate.end(102.0, confirmed=False)
        estimate.note_missing_report(111.0)
        self.assertEqual(1, estimate.earlier)
        estimate.note_missing_report(112.1)
        self.assertEqual(0, estimate.earlier)

    def test_counters_only_grow(self) -> None:
        counters = service_counters.ServiceCounters()
        counters.add("a", 2.5)
        counters.add("a", 0.0)
        with self.assertRaises(ValueError):
            counters.add("a", -1.0)
        self.assertEqual({"a": 2.5}, counters.snapshot())

    def test_staged_depth(self) -> None:
        for hop, service, expected in (
            (0.001, 0.010, 3),
            (0.001, 0.250, 1),
            (0.001, 0.251, 0),
            (0.5, 0.001, 32),
            (None, 0.01, 0),
            (0.01, None, 0),
        ):
            depth = staged_depth.StagedDepth()
            depth.hop_seconds, depth.service_seconds = hop, service
            self.assertEqual(expected, depth.depth(8))
