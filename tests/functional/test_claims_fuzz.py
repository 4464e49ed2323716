"""Model-based tests of idempotency key claims.

They guard against keys that are run twice, refused without cause or lose their outcome. Several
entries claim the same keys in a store with injected faults, while claim holders crash, finish or
release and callers cancel.
"""

import asyncio
import collections.abc
import random
import time
import typing
import unittest.mock

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful, strategies
from returns import result

from masticward.coordination import claims
from masticward.state import claims as claims_state
from tests.lib import claim_store

KEYS = ("k1", "k2")
PATCHED_SECONDS = {
    "GROUP_COMMIT_DELAY_SECONDS": 0.0,
    "MAXIMUM_CONFLICT_DELAY_SECONDS": 0.0,
    "INITIAL_BACKOFF_SECONDS": 0.0,
    "MAXIMUM_BACKOFF_SECONDS": 0.0,
}
LOOP_ITERATIONS = 40


class Call:
    """One keyed request of a caller, with its pending or granted claim."""

    def __init__(self, service: claims.ClaimService, key: str, digest: str) -> None:
        self.service = service
        self.key = key
        self.digest = digest
        self.claim: claims_state.Claim | None = None
        self.task = asyncio.ensure_future(
            service.claim("team", "svc", key, digest, time.monotonic() + 60)
        )


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """``runs`` is the oracle: the digest and response of the single run of each key."""

    def __init__(self) -> None:
        super().__init__()
        random.seed(0)
        self.patches = [
            unittest.mock.patch.object(claims, name, value)
            for name, value in PATCHED_SECONDS.items()
        ]
        for patch in self.patches:
            patch.start()
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.store = claim_store.FaultyStore()
        self.services = [claims.ClaimService(self.store, f"entry-{index}") for index in range(3)]
        self.pending: list[Call] = []
        self.held: list[Call] = []
        self.crashed_nonces: set[str] = set()
        self.runs: dict[str, tuple[str, bytes]] = {}
        self.serial = 0

    def run_loop(self) -> None:
        async def iterate() -> None:
            for _ in range(LOOP_ITERATIONS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(iterate())
        for call in [call for call in self.pending if call.task.done()]:
            self.pending.remove(call)
            self.check_answer(call, call.task.result())

    def check_answer(self, call: Call, answer: typing.Any) -> None:
        if not isinstance(answer, result.Success):
            return
        verdict = answer.unwrap().verdict
        if verdict is claims_state.ClaimVerdict.GRANTED:
            assert call.key not in self.runs, "claim granted for a key that was already run"
            assert call.key not in [other.key for other in self.held], "key granted to two holders"
            call.claim = answer.unwrap().claim
            self.held.append(call)
        elif verdict is claims_state.ClaimVerdict.FINISHED:
            digest, body = self.runs[call.key]
            assert (call.digest, body) == (digest, answer.unwrap().outcome.body)

    def call_on_loop(self, action: collections.abc.Callable[[], object]) -> None:
        async def run() -> None:
            action()

        self.loop.run_until_complete(run())

    @stateful.rule(
        entry=strategies.integers(0, 2),
        key=strategies.sampled_from(KEYS),
        digest=strategies.sampled_from(("d1", "d1", "d1", "d2")),
        run_loop=strategies.booleans(),
    )
    def call(self, entry: int, key: str, digest: str, run_loop: bool) -> None:
        self.call_on_loop(lambda: self.pending.append(Call(self.services[entry], key, digest)))
        if run_loop:
            self.run_loop()

    @stateful.rule(faults=strategies.lists(strategies.sampled_from(claim_store.WRITE_FAULTS)))
    def writes_fail(self, faults: list[str]) -> None:
        self.store.write_faults.extend(faults)

    @stateful.rule(count=strategies.integers(1, 2))
    def reads_fail(self, count: int) -> None:
        self.store.read_faults = count

    @stateful.rule()
    def late_writes_are_applied(self) -> None:
        self.store.apply_late_writes()
        self.run_loop()

    @stateful.rule()
    def hanging_writes_proceed(self) -> None:
        self.call_on_loop(self.store.release_hanging_writes)
        self.run_loop()

    @stateful.rule()
    def tasks_run(self) -> None:
        self.run_loop()

    @stateful.precondition(lambda self: self.pending)
    @stateful.rule(data=strategies.data())
    def caller_cancels(self, data: strategies.DataObject) -> None:
        call = data.draw(strategies.sampled_from(self.pending))
        self.pending.remove(call)
        call.task.cancel()
        self.run_loop()

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(data=strategies.data(), large=strategies.booleans())
    def holder_runs_and_finishes(self, data: strategies.DataObject, large: bool) -> None:
        call = self.run_held(data)
        body = self.runs[call.key][1] * (20_000 if large else 1)
        self.runs[call.key] = (call.digest, body)
        outcome = claims_state.RecordedOutcome(status=200, headers=(), body=body)
        self.call_on_loop(lambda: call.service.finish(call.claim, outcome))
        self.run_loop()

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(data=strategies.data())
    def holder_runs_and_crashes(self, data: strategies.DataObject) -> None:
        call = self.run_held(data)
        self.crashed_nonces.add(call.claim.nonce)

    def run_held(self, data: strategies.DataObject) -> Call:
        call = data.draw(strategies.sampled_from(self.held))
        self.held.remove(call)
        assert call.key not in self.runs, "key run twice"
        self.serial += 1
        self.runs[call.key] = (call.digest, b"%d" % self.serial)
        return call

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(data=strategies.data())
    def holder_is_refused_and_releases(self, data: strategies.DataObject) -> None:
        call = data.draw(strategies.sampled_from(self.held))
        self.held.remove(call)
        self.call_on_loop(lambda: call.service.release(call.claim))
        self.run_loop()

    def teardown(self) -> None:
        try:
            self.settle()
            self.check_records()
        finally:
            self.loop.close()
            asyncio.set_event_loop(None)
            for patch in self.patches:
                patch.stop()

    def settle(self) -> None:
        """Clear all faults and run until no change is pending."""
        self.call_on_loop(self.store.clear_faults)
        for _ in range(200):
            self.run_loop()
            if not any(service.group.tasks for service in self.services):
                break
        self.store.apply_late_writes()
        assert not any(service.group.tasks for service in self.services), (
            "changes still pending after the store recovered"
        )
        assert not self.pending

    def check_records(self) -> None:
        """Check that every unfinished record belongs to a holder, live or crashed."""
        holder_nonces = {call.claim.nonce for call in self.held}
        for name, stored in self.store.objects.items():
            if not name.startswith("claims/"):
                continue
            for record in claims_state.ClaimShard.decode(stored.value).records.values():
                if record.state is claims_state.ClaimState.CLAIMED:
                    assert record.nonce in holder_nonces | self.crashed_nonces, (
                        "key of a refused call was not released"
                    )
        for key in KEYS:
            self.check_repeat(key)

    def check_repeat(self, key: str) -> None:
        """Check that a claim for a key is granted only if the key is free."""
        digest = self.runs[key][0] if key in self.runs else "d1"
        self.call_on_loop(lambda: self.pending.append(Call(self.services[0], key, digest)))
        free = key not in self.runs and key not in [call.key for call in self.held]
        before = len(self.held)
        self.run_loop()
        assert (len(self.held) > before) == free


ClaimsFuzz = ClaimsMachine.TestCase
ClaimsFuzz.settings = hypothesis_settings(
    max_examples=300, stateful_step_count=30, deadline=None, derandomize=True, database=None
)
