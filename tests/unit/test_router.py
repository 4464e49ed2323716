"""Tests of the router and the request lifecycle with fake agents and dispatchers.

They fail if a call that may have run is answered with "not run", if a call runs more often than
allowed, if a disconnected caller leaves work behind, or if a queue grows without a limit.
"""

import asyncio
import unittest

import msgspec

from masticward import errors, settings
from tests.lib import entry_fakes


class AttemptRefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_refused_attempt_is_requeued_with_a_new_ticket(self) -> None:
        fixture = entry_fakes.EntryFixture(entry_fakes.refuse(), entry_fakes.answer(b"ok"))
        sink = await fixture.call("/v1/book")
        self.assertEqual((200, b"ok", "complete"), (sink.status, sink.body, sink.outcome))
        first, second = fixture.ticket_client.submitted
        self.assertNotEqual(first.id, second.id)
        self.assertEqual((False, True), (first.retried, second.retried))
        self.assertEqual(first.arrived_at, second.arrived_at)
        self.assertEqual([False], [valid for _, valid in fixture.ticket_client.declined])
        self.assertEqual(2, len({run.attempt_id for run in fixture.attempts.runs}))

    async def test_call_is_not_run_after_the_refusal_limit(self) -> None:
        fixture = entry_fakes.EntryFixture(
            entry_fakes.refuse(), limits=settings.EntryLimits(refusals_per_request=3)
        )
        sink = await fixture.call("/v1/book")
        self.assertEqual((503, "not-run"), (sink.status, sink.outcome))
        self.assertEqual(3, len(fixture.attempts.runs))

    async def test_retry_budget_limits_repeated_attempts_of_all_requests(self) -> None:
        fixture = entry_fakes.EntryFixture(
            entry_fakes.refuse(), limits=settings.EntryLimits(retry_budget_ratio=0.0)
        )
        fixture.router.context.budget.tokens = 1.5
        sinks = [await fixture.call("/v1/book") for _ in range(3)]
        self.assertEqual({"not-run"}, {sink.outcome for sink in sinks})
        self.assertEqual(2 + 1 + 1, len(fixture.attempts.runs))

    async def test_refusal_after_a_failed_attempt_is_answered_as_unknown(self) -> None:
        fixture = entry_fakes.EntryFixture(
            entry_fakes.answer(b"x", cut=True),
            entry_fakes.refuse(),
            limits=settings.EntryLimits(refusals_per_request=1),
        )
        sink = await fixture.call("/v1/look/a")
        self.assertEqual("unknown", sink.outcome)

    async def test_slots_of_out_of_service_and_suspected_agents_are_declined(self) -> None:
        """Fails if a call is sent to an agent that is out of service, or if each slot of an agent
        that only the dispatcher can reach costs a time-out of 2 s."""
        for agent_set in ("out_of_service", "suspected"):
            with self.subTest(agent_set):
                fixture = entry_fakes.EntryFixture(entry_fakes.answer(b"ok"))
                getattr(fixture.view, agent_set).add("agent-2")
                fixture.ticket_client.agents = ["agent-2", "agent-1"]
                sink = await fixture.call("/v1/book")
                self.assertEqual("complete", sink.outcome)
                self.assertEqual(["agent-1"], [run.slot.agent_id for run in fixture.attempts.runs])
                self.assertEqual([False], [valid for _, valid in fixture.ticket_client.declined])

    async def test_zone_out_refusal_fetches_the_operations_state_of_the_agent(self) -> None:
        """Fails if an entry that missed a change keeps calling agents that are out of service."""
        fixture = entry_fakes.EntryFixture(
            entry_fakes.refuse("zone-out"), entry_fakes.answer(b"ok")
        )
        self.assertEqual("complete", (await fixture.call("/v1/book")).outcome)
        version = fixture.view.configuration.version
        fixture.view.pull_newer_versions.assert_called_once_with(version, 2, "127.0.0.1:1")

    async def test_call_is_not_run_if_its_operation_changes_while_it_waits(self) -> None:
        """Fails if such a call is sent to refusing agents again and again until its deadline."""
        fixture = entry_fakes.EntryFixture(entry_fakes.refuse("older-configuration"))
        waiting = asyncio.ensure_future(fixture.call("/v1/book"))
        await asyncio.sleep(0)
        services = fixture.view.configuration.services
        changed = tuple(msgspec.structs.replace(item, name=f"new-{item.name}") for item in services)
        fixture.view.configuration = msgspec.structs.replace(
            fixture.view.configuration, services=changed
        )
        sink = await waiting
        self.assertEqual((503, "not-run"), (sink.status, sink.outcome))
        self.assertEqual(1, len(fixture.attempts.runs))


class FailedAttemptTest(unittest.IsolatedAsyncioTestCase):
    async def test_non_idempotent_call_is_never_sent_twice(self) -> None:
        fixture = entry_fakes.EntryFixture(
            entry_fakes.answer(b"x", cut=True), entry_fakes.answer(b"ok")
        )
        sink = await fixture.call("/v1/book")
        self.assertEqual((502, "unknown"), (sink.status, sink.outcome))
        self.assertEqual(1, len(fixture.attempts.runs))

    async def test_idempotent_call_is_repeated_once_after_a_failure(self) -> None:
        cut = entry_fakes.answer(b"x", cut=True)
        fixture = entry_fakes.EntryFixture(cut, entry_fakes.answer(b"ok"))
        self.assertEqual(b"ok", (await fixture.call("/v1/look/a")).body)
        fixture = entry_fakes.EntryFixture(cut)
        sink = await fixture.call("/v1/look/a")
        self.assertEqual((502, "unknown"), (sink.status, sink.outcome))
        self.assertEqual(2, len(fixture.attempts.runs))

    async def test_started_stream_is_aborted_and_not_repeated(self) -> None:
        fixture = entry_fakes.EntryFixture(
            entry_fakes.answer(b"token", b"", cut=True), entry_fakes.answer(b"ok")
        )
        sink = await fixture.call("/v1/generate")
        self.assertTrue(sink.cut)
        self.assertFalse(sink.whole)
        self.assertEqual(1, len(fixture.attempts.runs))


class DeadlineTest(unittest.IsolatedAsyncioTestCase):
    async def test_deadline_in_the_queue_refuses_the_call_and_withdraws_the_ticket(self) -> None:
        fixture = entry_fakes.EntryFixture()
        fixture.ticket_client.assign_at_once = False
        sink = await fixture.call("/v1/book", seconds=0.05)
        self.assertEqual((503, "not-run"), (sink.status, sink.outcome))
        self.assertEqual([fixture.ticket_client.submitted[0].id], fixture.ticket_client.withdrawn)
        self.assertFalse(fixture.ticket_client.assign(fixture.ticket_client.submitted[0].id))

    async def test_deadline_in_flight_cancels_a_model_stream(self) -> None:
        gate = asyncio.Event()
        fixture = entry_fakes.EntryFixture(entry_fakes.answer(b"x", gate=gate))
        sink = await fixture.call("/v1/generate", seconds=0.05)
        self.assertEqual((504, "unknown"), (sink.status, sink.outcome))
        self.assertEqual(1, fixture.attempts.closed)

    async def test_deadline_in_flight_is_answered_without_cancelling_a_plain_call(self) -> None:
        gate = asyncio.Event()
        fixture = entry_fakes.EntryFixture(entry_fakes.answer(b"x", gate=gate))
        sink = await fixture.call("/v1/book", seconds=0.05)
        self.assertEqual((504, "unknown"), (sink.status, sink.outcome))
        self.assertEqual(0, fixture.attempts.closed)
        gate.set()
        await fixture.router.drained()
        self.assertEqual(504, sink.status)

    async def test_failure_after_the_deadline_does_not_abort_the_connection(self) -> None:
        """Fails if a plain call that was answered with 504 resets a connection which may already
        serve the next request."""
        gate = asyncio.Event()
        fixture = entry_fakes.EntryFixture(entry_fakes.answer(b"x", gate=gate, cut=True))
        sink = await fixture.call("/v1/book", seconds=0.05)
        gate.set()
        await fixture.router.drained()
        self.assertFalse(sink.cut)


class CallerDisconnectTest(unittest.IsolatedAsyncioTestCase):
    async def disconnect_in_flight(
        self, path: str
    ) -> tuple[entry_fakes.EntryFixture, asyncio.Event]:
        gate = asyncio.Event()
        fixture = entry_fakes.EntryFixture(entry_fakes.answer(b"x", gate=gate))
        task = fixture.start(path)
        await entry_fakes.until(lambda: fixture.attempts.runs)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0.01)
        return fixture, gate

    async def test_model_attempt_is_cancelled(self) -> None:
        fixture, _ = await self.disconnect_in_flight("/v1/generate")
        self.assertEqual(1, fixture.attempts.closed)
        await fixture.router.drained()

    async def test_plain_attempt_runs_to_completion(self) -> None:
        fixture, gate = await self.disconnect_in_flight("/v1/book")
        self.assertEqual(0, fixture.attempts.closed)
        gate.set()
        await fixture.router.drained()
        record = fixture.router.explain_log.newest(1)[0]
        self.assertEqual("complete", record.outcome)

    async def test_plain_call_refused_after_the_disconnect_is_not_requeued(self) -> None:
        gate = asyncio.Event()
        fixture = entry_fakes.EntryFixture(entry_fakes.refuse(gate=gate))
        task = fixture.start("/v1/book")
        await entry_fakes.until(lambda: fixture.attempts.runs)
        task.cancel()
        gate.set()
        await fixture.router.drained()
        self.assertEqual(1, len(fixture.ticket_client.submitted))

    async def test_waiting_ticket_is_withdrawn_for_both_kinds_of_service(self) -> None:
        for path in ("/v1/generate", "/v1/book"):
            fixture = entry_fakes.EntryFixture()
            fixture.ticket_client.assign_at_once = False
            task = fixture.start(path)
            await entry_fakes.until(lambda used=fixture: used.ticket_client.submitted)
            task.cancel()
            await fixture.router.drained()
            self.assertEqual(1, len(fixture.ticket_client.withdrawn))
            self.assertEqual(0, fixture.router.queue.body_bytes)
            self.assertEqual({}, fixture.router.queue.teams)

    async def test_slot_of_a_disconnected_caller_is_declined_as_valid(self) -> None:
        fixture = entry_fakes.EntryFixture()
        fixture.ticket_client.assign_at_once = False
        task = fixture.start("/v1/book")
        await entry_fakes.until(lambda: fixture.ticket_client.submitted)
        lifecycle = next(iter(fixture.router.lifecycles.values()))
        fixture.ticket_client.assign(fixture.ticket_client.submitted[0].id)
        lifecycle.on_caller_gone()
        await asyncio.gather(task, return_exceptions=True)
        self.assertEqual([True], [valid for _, valid in fixture.ticket_client.declined])
        self.assertEqual([], fixture.attempts.runs)


class QueueLimitTest(unittest.IsolatedAsyncioTestCase):
    async def refusal_of(self, call: asyncio.Task[entry_fakes.MemorySink]) -> tuple[int, str]:
        try:
            sink = await call
        except errors.RequestRefusedError as error:
            return error.status, error.kind
        return sink.status, sink.body.decode()

    async def test_team_queue_is_limited_by_count_and_bytes(self) -> None:
        limits = settings.EntryLimits(team_queue_requests=2, team_queue_bytes=100)
        fixture = entry_fakes.EntryFixture(limits=limits)
        fixture.ticket_client.assign_at_once = False
        waiting = [fixture.start(body=b"x" * 40) for _ in range(2)]
        await entry_fakes.until(lambda: len(fixture.ticket_client.submitted) == 2)
        status, body = await self.refusal_of(fixture.start(body=b"x"))
        self.assertEqual((429, True), (status, "team-queue-full" in body))
        self.assertEqual(
            (429, "team-queue-full"), await self.refusal_of(fixture.start(body=b"x" * 21))
        )
        for task in waiting:
            task.cancel()
        await fixture.router.drained()
        self.assertEqual(0, fixture.router.queue.body_bytes)

    async def test_full_entry_evicts_from_the_largest_team_for_a_smaller_one(self) -> None:
        fixture = entry_fakes.EntryFixture(limits=settings.EntryLimits(queue_requests=3))
        fixture.ticket_client.assign_at_once = False
        flood = [fixture.start(team="mango") for _ in range(3)]
        await entry_fakes.until(lambda: len(fixture.ticket_client.submitted) == 3)
        small = fixture.start(team="papaya")
        status, body = await self.refusal_of(flood[2])
        self.assertEqual((429, True), (status, "team-queue-full" in body))
        status, body = await self.refusal_of(fixture.start(team="mango"))
        self.assertEqual((429, True), (status, "entry-queue-full" in body))
        for task in (*flood[:2], small):
            task.cancel()
        await fixture.router.drained()

    async def test_outstanding_tickets_are_limited_and_later_ones_keep_their_order(self) -> None:
        fixture = entry_fakes.EntryFixture(limits=settings.EntryLimits(tickets_per_team=2))
        fixture.ticket_client.assign_at_once = False
        calls = [fixture.start(body=bytes([index])) for index in range(4)]
        await entry_fakes.until(lambda: len(fixture.router.submitter.waiters) == 4)
        self.assertEqual(2, len(fixture.ticket_client.submitted))
        for index in range(4):
            fixture.ticket_client.assign(fixture.ticket_client.submitted[index].id)
            await calls[index]
        self.assertEqual([b"\0", b"\1", b"\2", b"\3"], [r.call.body for r in fixture.attempts.runs])
        self.assertEqual({}, fixture.router.submitter.windows)
        self.assertEqual([], fixture.ticket_client.withdrawn)


class DrainTest(unittest.IsolatedAsyncioTestCase):
    async def test_drain_waits_for_queued_and_running_requests(self) -> None:
        gate = asyncio.Event()
        fixture = entry_fakes.EntryFixture(entry_fakes.answer(b"ok", gate=gate))
        fixture.ticket_client.assign_at_once = False
        running, queued = fixture.start(), fixture.start("/v1/book")
        await entry_fakes.until(lambda: len(fixture.ticket_client.submitted) == 2)
        fixture.ticket_client.assign(fixture.ticket_client.submitted[0].id)
        fixture.router.begin_drain()
        drained = asyncio.ensure_future(fixture.router.drained())
        await asyncio.sleep(0.02)
        self.assertFalse(drained.done())
        fixture.ticket_client.assign(fixture.ticket_client.submitted[1].id)
        gate.set()
        await drained
        self.assertEqual([b"ok", b"ok"], [(await running).body, (await queued).body])


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_that_cannot_be_routed_are_refused_before_the_queue(self) -> None:
        fixture = entry_fakes.EntryFixture()
        for team, path, status in (("who", "/v1/book", 401), ("mango", "/v1/none", 404)):
            with self.assertRaises(errors.RequestRefusedError) as caught:
                await fixture.call(path, team=team)
            self.assertEqual(status, caught.exception.status)
        fixture.view.configuration = None
        with self.assertRaises(errors.RequestRefusedError) as caught:
            await fixture.call("/v1/book")
        self.assertEqual(503, caught.exception.status)
        await fixture.router.drained()
