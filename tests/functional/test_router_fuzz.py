"""Guards the outcomes that the router tells under refusals, cuts, evictions and lost callers.

The agent's record of what ran is the oracle: "not run" means that nothing ran, a response is
complete and its own, a call that must not be repeated ran at most once, and nothing stays held.
"""

import asyncio
import collections
import random
import time
import unittest
import unittest.mock

from masticward import errors, settings
from masticward.coordination import claims
from masticward.protocol import attempt_client
from masticward.state import frames
from tests.lib import claim_store, entry_fakes

ROUNDS = 20
ROUNDS_AT_ONCE = 5
CALLS = 60
PATHS = ("/v1/generate", "/v1/book", "/v1/look/a")
TEAMS = ("mango", "mango", "mango", "papaya", "litchi")
LIMITS = settings.EntryLimits(
    queue_requests=12, team_queue_requests=10, team_queue_bytes=4000, tickets_per_team=3
)


class RandomAgent:
    """Runs, refuses, cuts or delays attempts at random and records what ran."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.ran: collections.Counter[bytes] = collections.Counter()
        self.told_not_run: list[bytes] = []

    async def step(self, attempt: attempt_client.AttemptRequest) -> entry_fakes.Events:
        await asyncio.sleep(self.random.choice((0, 0, 0.002, 0.03)))
        if self.random.random() < 0.4:
            reason = self.random.choice(("at-limit", "stale-view", "unreachable", "zone-out"))
            attempt.sent = reason != "unreachable"
            raise errors.AttemptRefusedError(reason)
        self.ran[attempt.call.body] += 1
        yield frames.AttemptAccepted()
        cut = self.random.choice((None, None, None, 0, 1, 2))
        for position in range(3):
            await asyncio.sleep(self.random.choice((0, 0, 0.005)))
            if position == cut:
                raise errors.AttemptFailedError("cut")
            if position == 0:
                yield frames.ResponseHead(200, ())
            else:
                yield frames.ResponseChunk(b"%d:" % position + attempt.call.body)
        yield frames.ResponseEnd(1.0)


class RouterFuzzTest(unittest.IsolatedAsyncioTestCase):
    async def test_outcomes_are_true_and_nothing_stays_held(self) -> None:
        with unittest.mock.patch.object(claims, "MAXIMUM_BACKOFF_SECONDS", 0.01):
            rounds = []
            # A few rounds at once load the loop enough to reach the bounds of the queues.
            for first in range(0, ROUNDS, ROUNDS_AT_ONCE):
                seeds = range(first, first + ROUNDS_AT_ONCE)
                rounds += await asyncio.gather(*(self.run_round(seed) for seed in seeds))
        outcomes = {outcome for told in rounds for outcome in told}
        self.assertEqual({"complete", "not-run", "unknown", "cut", "left"}, outcomes)

    async def run_round(self, seed: int) -> "collections.Counter[str]":
        agent = RandomAgent(seed)
        store = claim_store.FaultyStore()
        service = claims.ClaimService(store, "entry-1")
        fixture = entry_fakes.EntryFixture(agent.step, limits=LIMITS, claims=service)
        chance = random.Random(seed + 1000)
        told: collections.Counter[str] = collections.Counter()

        async def caller(number: int) -> None:
            await asyncio.sleep(chance.random() * 0.2)
            path, body = chance.choice(PATHS), b"%d" % number + b"x" * chance.randrange(800)
            key = f"k{number}" if chance.random() < 0.5 else ""
            if chance.random() < 0.2:
                store.write_faults.append(chance.choice(claim_store.WRITE_FAULTS[:4]))
            sink = entry_fakes.MemorySink()
            call = fixture.start(
                path, team=chance.choice(TEAMS), body=body, key=key, sink=sink,
                seconds=chance.choice((0.02, 0.1, 60.0)),
            )  # fmt: skip
            if chance.random() < 0.15:
                await asyncio.sleep(chance.random() * 0.03)
                call.cancel()
            answered = (await asyncio.gather(call, return_exceptions=True))[0]
            told[self.check(agent, path, body, sink, answered)] += 1

        await asyncio.gather(*(caller(number) for number in range(CALLS)))
        await asyncio.wait_for(fixture.router.drained(), 120)
        self.check_nothing_held(fixture)
        for body, count in agent.ran.items():
            self.assertLessEqual(count, 2, (seed, body))
        for body in agent.told_not_run:
            self.assertEqual(0, agent.ran[body], (seed, body))
        await service.close(time.monotonic() + 30)
        return told

    def check(
        self,
        agent: RandomAgent,
        path: str,
        body: bytes,
        sink: entry_fakes.MemorySink,
        answered: object,
    ) -> str:
        ran = agent.ran[body]
        if path == "/v1/book":
            self.assertLessEqual(ran, 1)
        if isinstance(answered, errors.RequestRefusedError):
            agent.told_not_run.append(body)
            return "not-run"
        if isinstance(answered, asyncio.CancelledError):
            return "left"
        self.assertIs(sink, answered)
        self.assertNotEqual(sink.whole, sink.cut)
        if sink.cut:
            return "cut"
        if sink.outcome == "not-run":
            agent.told_not_run.append(body)
        if sink.outcome == "complete":
            self.assertEqual(b"1:" + body + b"2:" + body, sink.body)
        return sink.outcome

    def check_nothing_held(self, fixture: entry_fakes.EntryFixture) -> None:
        router = fixture.router
        self.assertEqual((0, 0), (router.queue.waiting, router.queue.body_bytes))
        for kept in (
            router.queue.teams,
            router.lifecycles,
            router.submitter.waiters,
            router.submitter.windows,
        ):
            self.assertEqual({}, kept)
        self.assertEqual({}, fixture.ticket_client.queued)
        for record in router.explain_log.newest(CALLS):
            self.assertNotEqual("", record.outcome)
