"""Tests of calls with an idempotency key on a fleet of processes.

They fail if a call runs twice when it is repeated at another entry, after restarts, or while the
object API is down or loses answers.
"""

import asyncio
import random

import msgspec

from masticward.bench import calls, history, load, mixes
from masticward.models import work
from tests.lib import fleet_case

LOST_ANSWERS_PER_FAULT = 5
CALLS_AFTER_FAULT = 20


class KeyedCallTest(fleet_case.FleetCase):
    writers = 1
    bookings = 2

    async def test_repeat_at_another_entry_and_after_restarts_is_replayed(self) -> None:
        first = await self.book("entry-1")
        repeats = [await self.repeat(first, "entry-2")]
        await self.fleet.kill("entry-1")
        await self.fleet.kill("booking-1")
        await self.fleet.restart("entry-1")
        await self.fleet.restart("booking-1")
        repeats.append(await self.repeat(first, "entry-1"))
        await self.assert_safe()
        self.assertIs(work.Outcome.COMPLETE, first[1].outcome, first[1])
        for repeat in repeats:
            self.assertIs(work.Outcome.COMPLETE, repeat.outcome, repeat)
            self.assertEqual(first[1].response_digest, repeat.response_digest)

    async def test_concurrent_repeats_run_the_call_once(self) -> None:
        spec = self.build_spec("concurrent")
        async with self.build_generator() as generator:
            await asyncio.gather(
                *(
                    generator.call(self.booking_load(), spec, f"c{n}", random.Random(n), entry)
                    for n, entry in enumerate(["entry-1", "entry-2"] * 4)
                )
            )
        await self.assert_safe()
        self.assertEqual(1, len(self.history.runs))

    async def test_same_key_with_another_body_is_refused(self) -> None:
        first = await self.book("entry-1")
        other = msgspec.structs.replace(self.build_spec("other"), key=first[0].key)
        answer = await self.repeat((other, first[1]), "entry-2")
        await self.assert_safe()
        self.assertEqual(422, answer.status)

    async def test_only_keyed_calls_are_refused_while_the_object_api_is_down(self) -> None:
        async with self.load(text=0, booking=2):
            await self.fleet.platform.set_object_api("down")
            keyed = await self.book("entry-1")
            unkeyed = await self.book("entry-1", keyed=False)
            await self.fleet.platform.set_object_api("up")
            await self.wait_for_answers(lambda call: bool(call.key), CALLS_AFTER_FAULT)
        await self.assert_safe()
        self.assertIs(work.Outcome.NOT_RUN, keyed[1].outcome)
        self.assertIs(work.Outcome.COMPLETE, unkeyed[1].outcome)

    async def test_keyed_calls_run_once_when_the_object_api_loses_answers(self) -> None:
        store = self.fleet.platform.object_api
        async with self.load(text=0, booking=2):
            for _ in range(5):
                await self.fleet.platform.set_object_api("up", lose_answers=LOST_ANSWERS_PER_FAULT)
                await self.wait_for(lambda: not store.faults.lose_answers, "answers are lost")
            await self.wait_for_answers(lambda call: bool(call.key), CALLS_AFTER_FAULT)
        await self.assert_safe()
        keyed = self.outcomes(lambda call: bool(call.key))
        self.assertGreater(keyed[work.Outcome.COMPLETE], 0)

    def booking_load(self) -> load.TeamLoad:
        return mixes.booking_loads(self.fleet.plan, 1)[0]

    def build_spec(self, call_id: str, keyed: bool = True) -> calls.CallSpec:
        mix = self.booking_load().mix
        assert isinstance(mix, calls.PlainCalls)
        mix.keyed_ratio = 1.0 if keyed else 0.0
        return mix.make(random.Random(1), call_id)

    def build_generator(self) -> load.LoadGenerator:
        balancer = load.Balancer(self.fleet.targets())
        return load.LoadGenerator(self.history, balancer, fleet_case.SEED, 100)

    async def book(
        self, entry: str, keyed: bool = True
    ) -> tuple[calls.CallSpec, history.CallRecord]:
        spec = self.build_spec(f"book-{len(self.history.calls)}-{keyed}", keyed)
        async with self.build_generator() as generator:
            record = await generator.call(
                self.booking_load(), spec, f"book-{keyed}", random.Random(1), entry
            )
        return spec, record

    async def repeat(
        self, first: tuple[calls.CallSpec, history.CallRecord], entry: str
    ) -> history.CallRecord:
        async with self.build_generator() as generator:
            return await generator.call(
                self.booking_load(), first[0], f"repeat-{entry}", random.Random(2), entry
            )
