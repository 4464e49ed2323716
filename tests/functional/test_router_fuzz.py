"""Fuzz test of the outcomes that the router reports to callers.

It combines refusals, truncated responses, evictions, store faults and disconnected callers. The
agent's record of the calls that ran is the oracle: a call with outcome "not-run" did not run, a
complete response belongs to its request, a call that must not be repeated ran at most once, and no
request, ticket or reservation is left at the end.
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
CONCURRENT_ROUNDS = 5
CALLS_PER_ROUND = 60
PATHS = ("/v1/generate", "/v1/book", "/v1/look/a")
TEAMS = ("mango", "mango", "mango", "papaya", "litchi")
LIMITS = settings.EntryLimits(
    queue_requests=12, team_queue_requests=10, team_queue_bytes=4000, tickets_per_team=3
)


class RandomAgent:
    """Runs, refuses, truncates or delays attempts at random and records which calls ran."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.ran: collections.Counter[bytes] = collections.Counter()
        self.reported_not_run: list[bytes] = []

    async def run_attempt(self, attempt: attempt_client.AttemptRequest) -> entry_fakes.Events:
        await asyncio.sleep(self.rng.choice((0, 0, 0.002, 0.03)))
        if self.rng.random() < 0.4:
            reason = self.rng.choice(("at-limit", "stale-view", "unreachable", "zone-out"))
            attempt.sent = reason != "unreachable"
            raise errors.AttemptRefusedError(reason)
        self.ran[attempt.call.body] += 1
        yield frames.AttemptAccepted()
        cut = self.rng.choice((None, None, None, 0, 1, 2))
        for position in range(3):
            await asyncio.sleep(self.rng.choice((0, 0, 0.005)))
            if position == cut:
                raise errors.AttemptFailedError("cut")
            if position == 0:
                yield frames.ResponseHead(200, ())
            else:
                yield frames.ResponseChunk(b"%d:" % position + attempt.call.body)
        yield frames.ResponseEnd(1.0)


class RouterFuzzTest(unittest.IsolatedAsyncioTestCase):
    async def test_outcomes_match_what_ran_and_nothing_is_left_over(self) -> None:
        with unittest.mock.patch.object(claims, "MAXIMUM_BACKOFF_SECONDS", 0.01):
            rounds = []
            # Several concurrent rounds load the event loop enough to reach the queue limits.
            for first in range(0, ROUNDS, CONCURRENT_ROUNDS):
                seeds = range(first, first + CONCURRENT_ROUNDS)
                rounds += await asyncio.gather(*(self.run_round(seed) for seed in seeds))
        outcomes = {outcome for outcome_counts in rounds for outcome in outcome_counts}
        self.assertEqual({"complete", "not-run", "unknown", "cut", "left"}, outcomes)

    async def run_round(self, seed: int) -> "collections.Counter[str]":
        agent = RandomAgent(seed)
        store = claim_store.FaultyStore()
        service = claims.ClaimService(store, "entry-1")
        fixture = entry_fakes.EntryFixture(agent.run_attempt, limits=LIMITS, claims=service)
        rng = random.Random(seed + 1000)
        outcome_counts: collections.Counter[str] = collections.Counter()

        async def caller(number: int) -> None:
            await asyncio.sleep(rng.random() * 0.2)
            path, body = rng.choice(PATHS), b"%d" % number + b"x" * rng.randrange(800)
            key = f"k{number}" if rng.random() < 0.5 else ""
            if rng.random() < 0.2:
                store.write_faults.append(rng.choice(claim_store.WRITE_FAULTS[:4]))
            sink = entry_fakes.MemorySink()
            call = fixture.start(
                path, team=rng.choice(TEAMS), body=body, key=key, sink=sink,
                seconds=rng.choice((0.02, 0.1, 60.0)),
            )  # fmt: skip
            if rng.random() < 0.15:
                await asyncio.sleep(rng.random() * 0.03)
                call.cancel()
            call_result = (await asyncio.gather(call, return_exceptions=True))[0]
            outcome_counts[self.check_call(agent, path, body, sink, call_result)] += 1

        await asyncio.gather(*(caller(number) for number in range(CALLS_PER_ROUND)))
        await asyncio.wait_for(fixture.router.drained(), 120)
        self.check_nothing_left(fixture)
        for body, count in agent.ran.items():
            self.assertLessEqual(count, 2, (seed, body))
        for body in agent.reported_not_run:
            self.assertEqual(0, agent.ran[body], (seed, body))
        await service.close(time.monotonic() + 30)
        return outcome_counts

    def check_call(
        self,
        agent: RandomAgent,
        path: str,
        body: bytes,
        sink: entry_fakes.MemorySink,
        call_result: object,
    ) -> str:
        ran = agent.ran[body]
        if path == "/v1/book":
            self.assertLessEqual(ran, 1)
        if isinstance(call_result, errors.RequestRefusedError):
            agent.reported_not_run.append(body)
            return "not-run"
        if isinstance(call_result, asyncio.CancelledError):
            return "left"
        self.assertIs(sink, call_result)
        self.assertNotEqual(sink.whole, sink.cut)
        if sink.cut:
            return "cut"
        if sink.outcome == "not-run":
            agent.reported_not_run.append(body)
        if sink.outcome == "complete":
            self.assertEqual(b"1:" + body + b"2:" + body, sink.body)
        return sink.outcome

    def check_nothing_left(self, fixture: entry_fakes.EntryFixture) -> None:
        router = fixture.router
        self.assertEqual((0, 0), (router.queue.waiting, router.queue.body_bytes))
        for remaining in (
            router.queue.teams,
            router.lifecycles,
            router.submitter.waiters,
            router.submitter.windows,
        ):
            self.assertEqual({}, remaining)
        self.assertEqual({}, fixture.ticket_client.queued)
        for record in router.explain_log.newest(CALLS_PER_ROUND):
            self.assertNotEqual("", record.outcome)
