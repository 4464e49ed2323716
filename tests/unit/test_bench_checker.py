"""Guards against a checker that misses a broken guarantee or reports a kept one."""

import collections.abc
import random
import unittest

import hypothesis
import hypothesis.strategies
import msgspec

from masticward.bench import checker, history
from masticward.models import work
from tests.lib import histories

FUZZ = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=60, print_blob=False
)
CALLS = 40


def first(
    built: history.History, accept: collections.abc.Callable[[history.CallRecord], bool]
) -> history.CallRecord:
    return next(call for call in built.calls if accept(call))


def run_of(built: history.History, call: history.CallRecord) -> history.EndpointRecord:
    return next(run for run in built.runs if run.request_digest == call.request_digest)


def run_twice(built: history.History, rng: random.Random) -> None:
    built.runs.append(
        msgspec.structs.replace(rng.choice(built.runs), attempt_id="again", endpoint="booking-9")
    )


def run_keyed_repeat(built: history.History, rng: random.Random) -> None:
    call = first(built, lambda call: bool(call.key) and call.outcome is work.Outcome.UNKNOWN)
    run = run_of(built, call)
    built.calls.append(msgspec.structs.replace(call, call_id="repeat", request_digest=7))
    built.runs.append(msgspec.structs.replace(run, attempt_id="again", request_digest=7))


def deny_a_run(built: history.History, rng: random.Random) -> None:
    first(built, lambda call: call.outcome is work.Outcome.COMPLETE).outcome = work.Outcome.NOT_RUN


def cross_answers(built: history.History, rng: random.Random) -> None:
    complete = [call for call in built.calls if call.outcome is work.Outcome.COMPLETE]
    one, other = rng.sample(complete, 2)
    one.response_digest, other.response_digest = other.response_digest, one.response_digest


def shorten_answer(built: history.History, rng: random.Random) -> None:
    first(built, lambda call: call.outcome is work.Outcome.COMPLETE).response_length -= 1


def invent_answer(built: history.History, rng: random.Random) -> None:
    first(built, lambda call: call.outcome is work.Outcome.NOT_RUN).outcome = work.Outcome.COMPLETE


def start_in_zone_out(built: history.History, rng: random.Random) -> None:
    run = rng.choice(built.runs)
    built.restricted.append(
        history.RestrictedPeriod(
            reason="zone out",
            availability_zone=run.availability_zone,
            cutoff=run.started_at - 0.001,
            until=run.started_at + 1.0,
        )
    )


def start_while_leaving(built: history.History, rng: random.Random) -> None:
    run = rng.choice(built.runs)
    built.restricted.append(
        history.RestrictedPeriod(
            reason="leaving",
            endpoint=run.endpoint,
            cutoff=run.started_at - 0.001,
            until=float("inf"),
        )
    )


def lower_version(built: history.History, rng: random.Random) -> None:
    field = rng.choice(["config_version", "operations_version"])
    built.versions.append(msgspec.structs.replace(built.versions[-1], **{field: 0}))


def charge_other_team(built: history.History, rng: random.Random) -> None:
    index = rng.randrange(len(built.runs))
    built.runs[index] = msgspec.structs.replace(built.runs[index], team="team-x")


def invent_request(built: history.History, rng: random.Random) -> None:
    index = rng.randrange(len(built.runs))
    built.runs.append(
        msgspec.structs.replace(built.runs[index], request_digest=9, attempt_id="unknown")
    )


def overload(built: history.History, rng: random.Random) -> None:
    built.overloaded.append(rng.choice(built.runs).endpoint)


VIOLATIONS = {
    run_twice: checker.Rule.AT_MOST_ONCE,
    run_keyed_repeat: checker.Rule.AT_MOST_ONCE,
    deny_a_run: checker.Rule.NOT_RUN_IS_TRUE,
    cross_answers: checker.Rule.WHOLE_ANSWER,
    shorten_answer: checker.Rule.WHOLE_ANSWER,
    invent_answer: checker.Rule.WHOLE_ANSWER,
    start_in_zone_out: checker.Rule.NO_START_AFTER_CUTOFF,
    start_while_leaving: checker.Rule.NO_START_AFTER_CUTOFF,
    lower_version: checker.Rule.VERSIONS_NEVER_FALL,
    charge_other_team: checker.Rule.RIGHT_TEAM,
    invent_request: checker.Rule.KNOWN_REQUEST,
    overload: checker.Rule.COLD_LIMIT,
}


class CheckerTest(unittest.TestCase):
    @FUZZ
    @hypothesis.given(seed=hypothesis.strategies.integers(0, 2**32))
    def test_reports_nothing_in_a_correct_history(self, seed: int) -> None:
        self.assertEqual([], checker.check(histories.build(seed, CALLS)))

    @FUZZ
    @hypothesis.given(
        seed=hypothesis.strategies.integers(0, 2**32),
        violate=hypothesis.strategies.sampled_from(list(VIOLATIONS)),
    )
    def test_finds_each_seeded_violation(
        self,
        seed: int,
        violate: collections.abc.Callable[[history.History, random.Random], None],
    ) -> None:
        built = histories.build(seed, CALLS)
        violate(built, random.Random(seed))
        rules = {violation.rule for violation in checker.check(built)}
        self.assertIn(VIOLATIONS[violate], rules)

    def test_a_truthful_repeat_of_a_key_is_no_violation(self) -> None:
        built = histories.build(1, CALLS)
        call = first(built, lambda call: call.outcome is work.Outcome.COMPLETE)
        built.calls.append(
            msgspec.structs.replace(call, call_id="repeat", outcome=work.Outcome.NOT_RUN)
        )
        self.assertEqual([], checker.check(built))
