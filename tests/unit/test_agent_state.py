"""Fuzzes the agent's state tables against simple oracles.

Guards against a limit that rises without successful calls, a slot or an attempt id that is accepted
twice, and earlier calls of an endpoint that are missing from the estimate or never removed from it.
"""

import unittest

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st

from masticward.models import work
from masticward.state import admission, attempts, first_token, in_flight, slots

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150, stateful_step_count=60
)
STEPS = st.sampled_from([0.0, 0.1, 0.49, 0.5, 0.51, 1.0, 2.0, 3.0, 61.0])
WARM_LIMIT = 5
COLD_LIMIT = 2
rule = hypothesis.stateful.rule
invariant = hypothesis.stateful.invariant
precondition = hypothesis.stateful.precondition


class ClockMachine(hypothesis.stateful.RuleBasedStateMachine):
    """A state machine with its own clock in seconds."""

    now = 100.0
    time_scale = 1.0

    @rule(step=STEPS)
    def wait(self, step: float) -> None:
        self.now += step * self.time_scale


class SlotMachine(ClockMachine):
    """The oracle keeps the deadline of every slot issued and the set of used slots."""

    def __init__(self) -> None:
        super().__init__()
        self.table = slots.SlotTable()
        self.deadlines: dict[int, float] = {}
        self.used: set[int] = set()

    @rule(count=st.integers(-1, 4))
    def issue(self, count: int) -> None:
        slot_ids, deadline = self.table.issue(count, self.now)
        assert len(slot_ids) == max(0, count)
        assert not set(slot_ids) & set(self.deadlines)
        assert deadline == self.now + 2.0
        self.deadlines |= dict.fromkeys(slot_ids, deadline)

    @rule(slot_id=st.integers(0, 30))
    def take(self, slot_id: int) -> None:
        refusal = self.table.use(slot_id, self.now)
        left = self.deadlines.get(slot_id, 0.0) - self.now
        if slot_id not in self.used and left > 0:
            assert refusal is None
            self.used.add(slot_id)
        elif slot_id not in self.used and left > -2.0:
            assert refusal is work.RefusalReason.SLOT_EXPIRED
        else:
            assert refusal is work.RefusalReason.SLOT_UNKNOWN or left <= -2.0

    @invariant()
    def counts_valid_slots(self) -> None:
        valid = {slot for slot, deadline in self.deadlines.items() if deadline > self.now}
        assert self.table.count_valid(self.now) == len(valid - self.used)
        kept = [slot for slot, deadline in self.deadlines.items() if deadline + 2.0 > self.now]
        assert len(self.table.deadlines) <= len(kept)


class AttemptMachine(ClockMachine):
    """The oracle keeps the deadline of every accepted id."""

    def __init__(self) -> None:
        super().__init__()
        self.table = attempts.AttemptTable()
        self.deadlines: dict[str, float] = {}

    @rule(number=st.integers(0, 20), seconds=st.sampled_from([-1, 0, 5, 90]))
    def accept(self, number: int, seconds: float) -> None:
        attempt_id = f"a{number}"
        accepted = self.table.accept(attempt_id, self.now + seconds, self.now)
        assert accepted == (self.deadlines.get(attempt_id, 0.0) + 60.0 <= self.now)
        if accepted:
            self.deadlines[attempt_id] = max(self.now, self.now + seconds)
        assert self.table.is_accepted(attempt_id)

    @rule()
    def forget(self) -> None:
        self.table.drop_expired(self.now)
        kept = {name for name, deadline in self.deadlines.items() if deadline + 60.0 > self.now}
        assert set(self.table.accepted) == kept
        assert len(self.table.expiries) == len(kept)


class AdmissionMachine(ClockMachine):
    """The oracle counts the successes since the limit last rose or the endpoint became cold."""

    def __init__(self) -> None:
        super().__init__()
        self.limit = admission.AdmissionLimit(COLD_LIMIT, WARM_LIMIT, self.now, 1.0)
        self.started_at = self.now
        self.expected_limit = COLD_LIMIT
        self.successes = 0
        self.reported_at = float("-inf")
        self.cold = False
        self.incarnation = 0

    def return_to_cold(self) -> None:
        self.expected_limit = COLD_LIMIT
        self.successes = 0

    @rule(cold=st.booleans(), incarnation=st.integers(1, 2))
    def report(self, cold: bool, incarnation: int) -> None:
        self.limit.note_report(cold, incarnation, 0, self.now, self.now)
        restarted = self.incarnation not in (0, incarnation)
        self.cold, self.incarnation, self.reported_at = cold, incarnation, self.now
        if cold or restarted:
            self.return_to_cold()

    @rule(old=st.booleans())
    def success(self, old: bool) -> None:
        self.limit.note_success(self.limit.epoch - old, self.now)
        if old or self.expected_limit == WARM_LIMIT:
            return
        self.successes += 1
        if self.cold or self.now - self.reported_at >= 3.0:
            self.successes = 0
        elif self.successes == self.expected_limit:
            self.successes = 0
            self.expected_limit += 1

    @rule()
    def overload(self) -> None:
        epoch = self.limit.epoch
        self.limit.reset_to_cold()
        assert self.limit.epoch > epoch
        self.return_to_cold()

    @rule()
    def failure(self) -> None:
        self.limit.note_failure()
        self.successes = 0

    @invariant()
    def agrees(self) -> None:
        assert self.limit.limit == self.expected_limit
        states = {COLD_LIMIT: "cold", WARM_LIMIT: "warm"}
        assert self.limit.state == (
            "cold" if self.cold else states.get(self.expected_limit, "warming")
        )
        waited = self.now - self.started_at
        settled = waited >= 1.0 and self.incarnation != 0
        assert self.limit.is_open(self.now) == (waited >= 3.0 or settled)


class InFlightMachine(ClockMachine):
    """The oracle is an endpoint with own and earlier calls whose reports lag by under 1 s."""

    time_scale = 0.1

    def __init__(self) -> None:
        super().__init__()
        self.own = 0
        self.earlier = 3
        self.past: list[tuple[float, int]] = [(0.0, self.earlier)]
        self.estimate = in_flight.InFlightEstimate(1.0, self.now)
        self.estimate.note_report(self.earlier, self.now, self.now)

    @rule()
    def start(self) -> None:
        self.own += 1
        self.estimate.start(self.now)

    @precondition(lambda self: self.own > 0)
    @rule(confirmed=st.booleans(), still_runs=st.booleans())
    def end(self, confirmed: bool, still_runs: bool) -> None:
        self.own -= 1
        self.earlier += not confirmed and still_runs
        self.estimate.end(self.now, confirmed)

    @precondition(lambda self: self.earlier > 0)
    @rule()
    def earlier_call_ends(self) -> None:
        self.earlier -= 1

    @rule(lag=st.sampled_from([0.0, 0.3, 0.99]), trip=st.sampled_from([0, 0.4]))
    def report(self, lag: float, trip: float) -> None:
        shown = [running for moment, running in self.past if moment <= self.now - lag][-1]
        requested_at = self.now
        self.now += trip
        self.estimate.note_report(shown, requested_at, self.now)

    @rule()
    def quiet(self) -> None:
        """A report of a period without changes gives the exact number."""
        self.now += 1.1
        self.estimate.note_report(self.own + self.earlier, self.now, self.now)
        assert self.estimate.total == self.own + self.earlier

    @invariant()
    def never_below_the_actual_number(self) -> None:
        self.past.append((self.now, self.own + self.earlier))
        # Earlier calls that no report shows may be removed, but only after a whole review period.
        if self.now < 100.0 + in_flight.REVIEW_PERIOD_SECONDS:
            assert self.estimate.total >= self.own + self.earlier


def fuzz(machine: type[hypothesis.stateful.RuleBasedStateMachine]) -> type[unittest.TestCase]:
    machine.TestCase.settings = SETTINGS
    return machine.TestCase


SlotTest = fuzz(SlotMachine)
AttemptTest = fuzz(AttemptMachine)
AdmissionTest = fuzz(AdmissionMachine)
InFlightTest = fuzz(InFlightMachine)


class FirstTokenTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limit = admission.AdmissionLimit(COLD_LIMIT, WARM_LIMIT, 0.0, 1.0)
        self.limit.note_report(False, 1, 0, 0.0, 0.0)
        for _ in range(10):
            self.assertFalse(self.limit.note_first_token(0.2, 0, 1.0))
        self.limit.raw_limit = WARM_LIMIT

    def test_first_token_above_four_times_the_mean_returns_to_cold(self) -> None:
        self.assertFalse(self.limit.note_first_token(0.79, 0, 1.0))
        self.assertEqual(WARM_LIMIT, self.limit.limit)
        self.assertTrue(self.limit.note_first_token(1.1, 0, 1.0))
        self.assertEqual((COLD_LIMIT, 1), (self.limit.limit, self.limit.epoch))

    def test_permanently_longer_prompts_raise_the_mean(self) -> None:
        returned_to_cold = [
            self.limit.note_first_token(1.5, self.limit.epoch, 1.0) for _ in range(40)
        ]
        self.assertTrue(returned_to_cold[0])
        self.assertFalse(any(returned_to_cold[-20:]))

    def test_false_alarm_requires_reports_without_gap_and_none_cold(self) -> None:
        not_cold = [(0.5, False), (1.0, False), (1.5, False), (2.0, False)]
        for reports, tolerated in (
            ([*not_cold, (2.5, False)], 1.25 * 0.9),
            (not_cold, 0.0),
            ([(0.5, False), (2.5, False)], 0.0),
            ([(0.5, False), (1.0, True), (1.5, False), (2.5, False)], 0.0),
        ):
            times = first_token.FirstTokenTimes()
            times.note_report(False, -1.0, 0.0)
            times.note_suspected_cold(0.9, 1.2)
            for requested_at, cold in reports:
                times.note_report(cold, requested_at - 1.0, requested_at)
            self.assertEqual(tolerated, times.tolerated_seconds)


class EarlierCallsTest(unittest.TestCase):
    def test_removes_earlier_calls_that_no_report_shows(self) -> None:
        estimate = in_flight.InFlightEstimate(1.0, 0.0)
        for number in range(200):
            now = number * 0.5
            estimate.start(now)
            estimate.end(now + 0.1, confirmed=number > 0)
            estimate.note_report(1, now + 0.2, now + 0.2)
        self.assertEqual(0, estimate.earlier_calls)
        estimate.start(101.0)
        estimate.end(102.0, confirmed=False)
        for now, earlier in ((111.0, 1), (112.1, 0)):
            estimate.note_missing_report(now)
            self.assertEqual(earlier, estimate.earlier_calls)
