"""Tests of claim shard limits, recorded outcomes, group commit and keyed calls in the router."""

import asyncio
import time
import unittest
import unittest.mock

import msgspec
from returns import result

from masticward import errors
from masticward.coordination import claims
from masticward.state import claims as claims_state
from masticward.transport import object_api
from tests.lib import claim_store, entry_fakes

DAY_SECONDS = 24 * 3600.0


def make_record(state: claims_state.ClaimState, age_seconds: float) -> claims_state.ClaimRecord:
    body = b"x" * 9000 if state is claims_state.ClaimState.FINISHED else b""
    return claims_state.ClaimRecord(
        request_digest="d",
        nonce="old",
        state=state,
        changed_at=time.time() - age_seconds,
        outcome=claims_state.RecordedOutcome(status=200, headers=(), body=body),
    )


def make_full_shard(state: claims_state.ClaimState, age_seconds: float) -> claims_state.ClaimShard:
    """Return a shard with no space for another claim."""
    shard = claims_state.ClaimShard.empty()
    record = make_record(state, age_seconds)
    size = claims_state.reserved_size_bytes("k0000", record)
    for index in range((claims_state.SHARD_LIMIT_BYTES - 2) // size):
        shard.put(f"k{index:04}", record)
    filler = claims_state.SHARD_LIMIT_BYTES - shard.size_bytes - 400
    if filler > 0:
        record = make_record(claims_state.ClaimState.CLAIMED, 0)
        shard.put("f" * filler, record)
    return shard


class UnexpectedErrorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against outcomes that are given up before they are stored."""

    async def test_an_outcome_is_stored_although_a_write_ended_by_an_unexpected_error(self) -> None:
        store = claim_store.FaultyStore()
        service = claims.ClaimService(store, "entry-1")
        arguments = "red", "llm", "key", "digest"
        deadline = time.monotonic() + 5.0
        claimed = (await service.claim(*arguments, deadline)).unwrap()
        outcome = claims_state.RecordedOutcome(status=200, headers=(), body=b"done")
        with unittest.mock.patch.object(store, "put", side_effect=ValueError("not a number")):
            recorded = service.finish(claimed.claim, outcome)
            refused = await service.claim("red", "llm", "other", "digest", time.monotonic() + 0.5)
            await asyncio.sleep(0.05)
        self.assertIsInstance(refused, result.Failure)
        async with asyncio.timeout(5.0):
            await recorded
            while service.background_count:
                await asyncio.sleep(0.01)
        self.assertEqual(outcome, (await service.claim(*arguments, deadline)).unwrap().outcome)
        await service.close(time.monotonic())


class ShardLimitTest(unittest.TestCase):
    claim = claims_state.Claim("new", "d", "n")

    def test_only_expired_finished_records_of_a_full_shard_are_pruned(self) -> None:
        """Fails if pruning removes an unfinished record or one within the retention period."""
        for state, age, granted in (
            (claims_state.ClaimState.FINISHED, DAY_SECONDS + 60, True),
            (claims_state.ClaimState.FINISHED, DAY_SECONDS - 60, False),
            (claims_state.ClaimState.CLAIMED, DAY_SECONDS * 9, False),
        ):
            shard = make_full_shard(state, age)
            count = len(shard.records)
            verdict = shard.claim(self.claim, time.time())
            self.assertEqual(granted, verdict is claims_state.ClaimVerdict.GRANTED, (state, age))
            self.assertEqual(granted, len(shard.records) < count)
        shard = claims_state.ClaimShard.empty()
        shard.put("k", make_record(claims_state.ClaimState.FINISHED, DAY_SECONDS * 9))
        shard.claim(self.claim, time.time())
        self.assertIn("k", shard.records)

    def test_size_limit_holds_for_the_encoded_object(self) -> None:
        for state in claims_state.ClaimState:
            shard = make_full_shard(state, 0)
            self.assertLess(len(shard.encode()), claims_state.SHARD_LIMIT_BYTES)
            decoded = claims_state.ClaimShard.decode(shard.encode())
            self.assertEqual(shard.size_bytes, decoded.size_bytes)

    def test_records_round_trip_in_less_than_60_percent_of_their_json_size(self) -> None:
        outcome = claims_state.RecordedOutcome(
            status=201, headers=(("a", "b"),), body=b"\xff\x00" * 200
        )
        fields = {"nonce": "entry-1/0123456789abcdef", "changed_at": 1796365622.123456}
        digests = [claims_state.hash_parts(b"%d" % n) for n in range(20)]
        records = {
            digests[0]: {"state": claims_state.ClaimState.CLAIMED},
            digests[1]: {"state": claims_state.ClaimState.FINISHED, "outcome": outcome},
            digests[2]: {"state": claims_state.ClaimState.FINISHED, "outcome_object": "outcomes/x"},
            digests[3]: {"state": claims_state.ClaimState.FINISHED, "outcome_lost": True},
            "FF" * 32: {"state": claims_state.ClaimState.CLAIMED},
            **{digest: {"state": claims_state.ClaimState.CLAIMED} for digest in digests[4:]},
        }
        shard = claims_state.ClaimShard.empty()
        for key, changes in records.items():
            shard.put(
                key,
                claims_state.ClaimRecord(request_digest=digests[0], **fields, **changes),
            )
        decoded = claims_state.ClaimShard.decode(shard.encode())
        self.assertEqual(shard.records, decoded.records)
        self.assertEqual(shard.size_bytes, decoded.size_bytes)
        json = msgspec.json.encode(shard.records)
        self.assertLess(len(shard.encode()), 0.6 * len(json))
        # Guards against an upgrade that loses the keys recorded as JSON by earlier releases.
        earlier = claims_state.ClaimShard.decode(json)
        self.assertEqual(shard.records, earlier.records)
        self.assertEqual(shard.size_bytes, earlier.size_bytes)
        for value in (claims_state.encode_outcome(outcome), msgspec.json.encode(outcome)):
            self.assertEqual(outcome, claims_state.decode_outcome(value))
        for value in (b"", b"{", b"\xc1", b"\x81\x01\x02"):
            with self.assertRaises(errors.ClaimShardError):
                claims_state.ClaimShard.decode(value)


class ClaimServiceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = claim_store.FaultyStore()
        self.service = claims.ClaimService(self.store, "entry-1")
        # Use a single shard, so that all claims of a test share one object.
        patch = unittest.mock.patch.object(claims_state, "SHARD_COUNT", 1)
        patch.start()
        self.addCleanup(patch.stop)

    async def claim(self, key: str) -> result.Result[claims.ClaimResult, object]:
        return await self.service.claim("t", "s", key, "d", time.monotonic() + 10)

    async def test_concurrent_claims_share_one_write(self) -> None:
        claiming = []
        with unittest.mock.patch.object(claims, "GROUP_COMMIT_DELAY_SECONDS", 1.0):
            for index in range(50):
                claiming.append(asyncio.ensure_future(self.claim(f"k{index}")))
                await asyncio.sleep(0)
            answers = await asyncio.gather(*claiming)
        verdicts = {answer.unwrap().verdict for answer in answers}
        self.assertEqual({claims_state.ClaimVerdict.GRANTED}, verdicts)
        self.assertEqual(1, self.store.writes)

    async def test_outcomes_of_every_size_are_replayed_and_all_objects_stay_below_1_mb(
        self,
    ) -> None:
        for size in (0, 16 * 1024, 16 * 1024 + 1, claims_state.OUTCOME_LIMIT_BYTES):
            claim = (await self.claim(f"k{size}")).unwrap().claim
            body = b"\xff" * size
            await self.service.finish(
                claim, claims_state.RecordedOutcome(status=201, headers=(("a", "b"),), body=body)
            )
            repeat = (await self.claim(f"k{size}")).unwrap()
            self.assertEqual(claims_state.ClaimVerdict.FINISHED, repeat.verdict)
            self.assertEqual((201, body), (repeat.outcome.status, repeat.outcome.body))
        sizes = {name: len(stored.value) for name, stored in self.store.objects.items()}
        self.assertLess(max(sizes.values()), 1_000_000)
        self.assertEqual(2, len([name for name in sizes if name.startswith("outcomes/")]))

    async def test_full_shard_refuses_claims_but_accepts_outcomes(self) -> None:
        claim = (await self.claim("held")).unwrap().claim
        shard = claims_state.ClaimShard.decode(self.store.objects["claims/0000"].value)
        held = shard.records[claim.key_digest]
        full_shard = make_full_shard(claims_state.ClaimState.CLAIMED, 0)
        full_shard.records.pop("k0000")
        full_shard.records[claim.key_digest] = held
        self.store.objects["claims/0000"] = object_api.StoredObject(
            name="claims/0000", version=9, value=full_shard.encode()
        )
        self.assertIsInstance(await self.claim("new"), result.Failure)
        outcome = claims_state.RecordedOutcome(status=200, headers=(), body=b"x" * 9000)
        await self.service.finish(claim, outcome)
        self.assertEqual(outcome, (await self.claim("held")).unwrap().outcome)
        shard = claims_state.ClaimShard.decode(self.store.objects["claims/0000"].value)
        self.assertLessEqual(shard.size_bytes, claims_state.SHARD_LIMIT_BYTES)

    async def test_outage_is_retried_for_one_shard_at_a_time(self) -> None:
        """Fails if each shard with a pending change retries independently during an outage."""
        reads = 0

        async def get(name: str, deadline: float) -> object:
            nonlocal reads
            reads += 1
            return await claim_store.FaultyStore.get(self.store, name, deadline)

        with unittest.mock.patch.object(claims_state, "SHARD_COUNT", 4096):
            held = [(await self.claim(f"k{index}")).unwrap().claim for index in range(40)]
            self.store.down = True
            for claim in held:
                self.service.release(claim)
            await entry_fakes.until(lambda: not self.service.shard_queues)
            with unittest.mock.patch.object(self.store, "get", get):
                await asyncio.sleep(0.5)
            self.assertLess(reads, 10)
            self.store.down = False
            await entry_fakes.until(lambda: not self.service.postponed, 30)
        await self.service.close(time.monotonic() + 5)
        records = [claims_state.ClaimShard.decode(o.value) for o in self.store.objects.values()]
        self.assertEqual([{}], [dict(x) for x in {tuple(r.records) for r in records}])

    async def test_finish_reuses_the_last_written_value_without_a_read(self) -> None:
        """Fails if recording an outcome reads a shard that no other entry has written."""
        claim = (await self.claim("k")).unwrap().claim
        outcome = claims_state.RecordedOutcome(status=200, headers=(), body=b"x")
        with unittest.mock.patch.object(self.store, "get", wraps=self.store.get) as read:
            await self.service.finish(claim, outcome)
        self.assertEqual(0, read.call_count)
        self.assertEqual(outcome, (await self.claim("k")).unwrap().outcome)

    async def test_another_entry_may_write_between_claim_and_finish(self) -> None:
        """Fails if an entry overwrites another entry's write or answers from an outdated value."""
        other = claims.ClaimService(self.store, "entry-2")
        held = (await other.claim("t", "s", "k2", "d", time.monotonic() + 10)).unwrap().claim
        own = (await self.claim("k1")).unwrap().claim
        outcome = claims_state.RecordedOutcome(status=200, headers=(), body=b"x")
        await other.finish(held, outcome)
        self.assertEqual(
            claims_state.ClaimVerdict.FINISHED, (await self.claim("k2")).unwrap().verdict
        )
        await other.claim("t", "s", "k3", "d", time.monotonic() + 10)
        await self.service.finish(own, outcome)
        shard = claims_state.ClaimShard.decode(self.store.objects["claims/0000"].value)
        states = sorted(record.state for record in shard.records.values())
        self.assertEqual(["claimed", "finished", "finished"], states)

    async def test_cached_shard_values_are_bounded(self) -> None:
        """Fails if an entry caches every shard that it has written, or large values."""
        with (
            unittest.mock.patch.object(claims_state, "SHARD_COUNT", 4096),
            unittest.mock.patch.object(claims, "MAXIMUM_CACHED_SHARDS", 5),
            unittest.mock.patch.object(claims, "MAXIMUM_CACHED_SHARD_BYTES", 1000),
        ):
            for index in range(20):
                claim = (await self.claim(f"k{index}")).unwrap().claim
            self.assertEqual(5, len(self.service.cached_shards))
            outcome = claims_state.RecordedOutcome(status=200, headers=(), body=b"x" * 2000)
            await self.service.finish(claim, outcome)
            self.assertEqual(4, len(self.service.cached_shards))


class KeyedRouterTest(unittest.IsolatedAsyncioTestCase):
    def build(self, *steps: entry_fakes.Step) -> entry_fakes.EntryFixture:
        self.store = claim_store.FaultyStore()
        return entry_fakes.EntryFixture(*steps, claims=claims.ClaimService(self.store, "entry-1"))

    async def test_repeat_of_a_finished_key_replays_the_outcome_without_a_run(self) -> None:
        fixture = self.build(entry_fakes.answer(b"seat 7"))
        sinks = [await fixture.call("/v1/book", key="k")]
        # Other entries must find the outcome as soon as the caller has its response.
        self.assertIn(b"finished", next(iter(self.store.objects.values())).value)
        sinks.append(await fixture.call("/v1/book", key="k"))
        self.assertEqual([(200, b"seat 7")] * 2, [(sink.status, sink.body) for sink in sinks])
        self.assertEqual(1, len(fixture.attempts.runs))
        sink = await fixture.call("/v1/book", key="k", body=b"other")
        self.assertEqual((422, "not-run"), (sink.status, sink.outcome))
        sink = await fixture.call("/v1/book", key="k", team="papaya")
        self.assertEqual(2, len(fixture.attempts.runs))

    async def test_repeat_of_a_key_with_unknown_outcome_is_not_run(self) -> None:
        fixture = self.build(entry_fakes.answer(b"x", cut=True))
        for status in (502, 409):
            sink = await fixture.call("/v1/book", key="k")
            self.assertEqual((status, "unknown"), (sink.status, sink.outcome))
        self.assertEqual(1, len(fixture.attempts.runs))

    async def test_key_of_a_refused_call_is_released(self) -> None:
        fixture = self.build(entry_fakes.refuse("deadline-passed"), entry_fakes.answer(b"ok"))
        self.assertEqual("not-run", (await fixture.call("/v1/book", key="k")).outcome)
        self.assertEqual("complete", (await fixture.call("/v1/book", key="k")).outcome)

    async def test_outcome_is_recorded_after_the_caller_disconnected_or_timed_out(self) -> None:
        gate = asyncio.Event()
        fixture = self.build(entry_fakes.answer(b"seat", gate=gate))
        left = fixture.start("/v1/book", key="left")
        late = fixture.start("/v1/book", key="late", seconds=0.2)
        await entry_fakes.until(lambda: len(fixture.attempts.runs) == 2)
        left.cancel()
        self.assertEqual(504, (await late).status)
        gate.set()
        await fixture.router.drained()
        for key in ("left", "late"):
            self.assertEqual(b"seat", (await fixture.call("/v1/book", key=key)).body)
        self.assertEqual(2, len(fixture.attempts.runs))

    async def test_key_of_a_cancelled_model_call_stays_claimed(self) -> None:
        """Fails if a call that may have run releases its claim because its caller disconnected."""
        fixture = self.build(entry_fakes.answer(b"x", gate=asyncio.Event()))
        call = fixture.start("/v1/act", key="k")
        await entry_fakes.until(lambda: fixture.attempts.runs)
        call.cancel()
        await fixture.router.drained()
        self.assertEqual(409, (await fixture.call("/v1/act", key="k")).status)
        self.assertEqual(1, len(fixture.attempts.runs))

    async def test_store_outage_refuses_only_keyed_calls(self) -> None:
        fixture = self.build(entry_fakes.answer(b"ok"))
        self.store.down = True
        sink = await fixture.call("/v1/book", key="k")
        self.assertEqual((503, "not-run"), (sink.status, sink.outcome))
        self.assertIn(b'"retry_after_ms":1000', sink.body)
        self.assertEqual("complete", (await fixture.call("/v1/book")).outcome)
        self.assertEqual("complete", (await fixture.call("/v1/look/a", key="k")).outcome)
