"""Guards idempotency keys against double runs, false refusals and lost outcomes.

Several entries claim the same keys on a store that fails in every way it may, with holders that
pause, crash, finish or give up, and callers that vanish.
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
PATCHES = {
    "GROUP_COMMIT_DELAY_SECONDS": 0.0,
    "MAXIMUM_CONFLICT_DELAY_SECONDS": 0.0,
    "INITIAL_BACKOFF_SECONDS": 0.0,
    "MAXIMUM_BACKOFF_SECONDS": 0.0,
}
STEPS_OF_LOOP = 40


class Call:
    """One caller's request with a key and what became of it."""

    def __init__(self, service: claims.ClaimService, key: str, digest: str) -> None:
        self.service = service
        self.key = key
        self.digest = digest
        self.claim: claims_state.Claim | None = None
        self.task = asyncio.ensure_future(
            service.claim("team", "svc", key, digest, time.monotonic() + 60)
        )


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """``runs`` is the oracle: the response of the one call that was run for a key."""

    def __init__(self) -> None:
        super().__init__()
        random.seed(0)
        self.patches = [
            unittest.mock.patch.object(claims, name, value) for name, value in PATCHES.items()
        ]
        for patch in self.patches:
            patch.start()
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.store = claim_store.FaultyStore()
        self.services = [claims.ClaimService(self.store, f"entry-{index}") for index in range(3)]
        self.claiming: list[Call] = []
        self.held: list[Call] = []
        self.forgotten: set[str] = set()
        self.runs: dict[str, tuple[str, bytes]] = {}
        self.serial = 0

    def pump(self) -> None:
        async def steps() -> None:
            for _ in range(STEPS_OF_LOOP):
                await asyncio.sleep(0)

        self.loop.run_until_complete(steps())
        for call in [call for call in self.claiming if call.task.done()]:
            self.claiming.remove(call)
            self.check_answer(call, call.task.result())

    def check_answer(self, call: Call, answer: typing.Any) -> None:
        if not isinstance(answer, result.Success):
            return
        verdict = answer.unwrap().verdict
        if verdict is claims_state.ClaimVerdict.GRANTED:
            assert call.key not in self.runs, "a key that was run is granted again"
            assert call.key not in [other.key for other in self.held], "two holders of a key"
            call.claim = answer.unwrap().claim
            self.held.append(call)
        elif verdict is claims_state.ClaimVerdict.FINISHED:
            digest, body = self.runs[call.key]
            assert (call.digest, body) == (digest, answer.unwrap().outcome.body)

    def on_loop(self, action: collections.abc.Callable[[], object]) -> None:
        async def run() -> None:
            action()

        self.loop.run_until_complete(run())

    @stateful.rule(
        entry=strategies.integers(0, 2),
        key=strategies.sampled_from(KEYS),
        digest=strategies.sampled_from(("d1", "d1", "d1", "d2")),
        pump=strategies.booleans(),
    )
    def call(self, entry: int, key: str, digest: str, pump: bool) -> None:
        self.on_loop(lambda: self.claiming.append(Call(self.services[entry], key, digest)))
        if pump:
            self.pump()

    @stateful.rule(faults=strategies.lists(strategies.sampled_from(claim_store.WRITE_FAULTS)))
    def writes_fail(self, faults: list[str]) -> None:
        self.store.write_faults.extend(faults)

    @stateful.rule(count=strategies.integers(1, 2))
    def reads_fail(self, count: int) -> None:
        self.store.read_faults = count

    @stateful.rule()
    def late_writes_land(self) -> None:
        self.store.land_late_writes()
        self.pump()

    @stateful.rule()
    def hanging_writes_proceed(self) -> None:
        self.on_loop(self.store.release_hanging)
        self.pump()

    @stateful.rule()
    def time_passes(self) -> None:
        self.pump()

    @stateful.precondition(lambda self: self.claiming)
    @stateful.rule(data=strategies.data())
    def caller_vanishes(self, data: strategies.DataObject) -> None:
        call = data.draw(strategies.sampled_from(self.claiming))
        self.claiming.remove(call)
        call.task.cancel()
        self.pump()

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(data=strategies.data(), large=strategies.booleans())
    def holder_runs_and_finishes(self, data: strategies.DataObject, large: bool) -> None:
        call = self.run_held(data)
        body = self.runs[call.key][1] * (20_000 if large else 1)
        self.runs[call.key] = (call.digest, body)
        outcome = claims_state.RecordedOutcome(status=200, headers=(), body=body)
        self.on_loop(lambda: call.service.finish(call.claim, outcome))
        self.pump()

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(data=strategies.data())
    def holder_runs_and_crashes(self, data: strategies.DataObject) -> None:
        call = self.run_held(data)
        self.forgotten.add(call.claim.nonce)

    def run_held(self, data: strategies.DataObject) -> Call:
        call = data.draw(strategies.sampled_from(self.held))
        self.held.remove(call)
        assert call.key not in self.runs, "a key is run twice"
        self.serial += 1
        self.runs[call.key] = (call.digest, b"%d" % self.serial)
        return call

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(data=strategies.data())
    def holder_is_refused_and_releases(self, data: strategies.DataObject) -> None:
        call = data.draw(strategies.sampled_from(self.held))
        self.held.remove(call)
        self.on_loop(lambda: call.service.release(call.claim))
        self.pump()

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
        """Let the store work again and wait until nothing is pending."""
        self.on_loop(self.store.heal)
        for _ in range(200):
            self.pump()
            if not any(service.group.tasks for service in self.services):
                break
        self.store.land_late_writes()
        assert not any(service.group.tasks for service in self.services), "changes still pending"
        assert not self.claiming

    def check_records(self) -> None:
        """Every record belongs to a holder or to a call that was run."""
        holders = {call.claim.nonce for call in self.held}
        for name, stored in self.store.objects.items():
            if not name.startswith("claims/"):
                continue
            for record in claims_state.ClaimShard.decode(stored.value).records.values():
                if record.state is claims_state.ClaimState.CLAIMED:
                    assert record.nonce in holders | self.forgotten, "a refused call keeps a key"
        for key in KEYS:
            self.check_repeat(key)

    def check_repeat(self, key: str) -> None:
        """A repeat of a key that was run is not granted; a finished one gets its outcome."""
        digest = self.runs[key][0] if key in self.runs else "d1"
        self.on_loop(lambda: self.claiming.append(Call(self.services[0], key, digest)))
        free = key not in self.runs and key not in [call.key for call in self.held]
        before = len(self.held)
        self.pump()
        assert (len(self.held) > before) == free


ClaimsFuzz = ClaimsMachine.TestCase
ClaimsFuzz.settings = hypothesis_settings(
    max_examples=300, stateful_step_count=30, deadline=None, derandomize=True, database=None
)
