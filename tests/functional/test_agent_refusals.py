"""Guards against a refusal after which the endpoint has run the call, and against late starts."""

import asyncio
import time
import typing
import unittest

from masticward.models import attempts, work
from masticward.transport import endpoint as endpoint_module
from tests.lib import agent_harness

Reason = work.RefusalReason
Tasks = list[asyncio.Task[agent_harness.Events]]


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.harness = await agent_harness.open_harness(self, "plain", (1, 1), service_ms=200)
        self.runner = await self.harness.start_agent()
        self.view = self.harness.view
        self.attempt = self.harness.attempt

    async def expect(self, reason: Reason, request: attempts.AttemptRequest) -> None:
        records = len(self.harness.server.recorder.records)
        events = await self.harness.run(request)
        self.assertEqual([attempts.Refused], [type(event) for event in events])
        self.assertEqual(reason, events[0].reason)
        await asyncio.sleep(0.05)
        self.assertEqual(records, len(self.harness.server.recorder.records))
        self.assertEqual(0.0, self.runner.report().finished.get(request.ticket_id, 0.0))

    async def test_changed_attempts(self) -> None:
        (expired,), _ = self.runner.slots.issue(1, time.monotonic() - 2.5)
        late = agent_harness.call_request(seconds=-0.001)
        newer = {"entry_peer_address": "127.0.0.1:9"}
        for reason, request in (
            (Reason.WRONG_INCARNATION, self.attempt(agent_incarnation=6)),
            (Reason.WRONG_INCARNATION, self.attempt(agent_id="agent-2")),
            (Reason.SLOT_UNKNOWN, self.attempt(slot=999)),
            (Reason.SLOT_EXPIRED, self.attempt(slot=expired)),
            (Reason.DEADLINE_PASSED, self.attempt(late)),
            (Reason.OLDER_CONFIGURATION, self.attempt(config_version=2)),
            (Reason.OLDER_OPERATIONS, self.attempt(operations_version=1)),
            (Reason.NEWER_CONFIGURATION, self.attempt(config_version=4, **newer)),
            (Reason.NEWER_OPERATIONS, self.attempt(operations_version=3, **newer)),
            (Reason.NO_CONFIGURATION, self.attempt(agent_harness.call_request("unknown"))),
        ):
            with self.subTest(reason=reason):
                await self.expect(reason, request)
        self.assertEqual([(4, 2, "127.0.0.1:9"), (3, 3, "127.0.0.1:9")], self.view.pulls)

    async def test_changed_view(self) -> None:
        usual = {"fresh": float("inf"), "leaving": False} | {
            "configuration": self.view.configuration,
            "operations": self.view.operations,
        }
        out = type(self.view.operations)
        for reason, change in (
            (Reason.ZONE_OUT, {"operations": out(version=2, zones_out=(agent_harness.ZONE,))}),
            (Reason.INSTANCE_OUT, {"operations": out(version=2, instances_out=("agent-1",))}),
            (Reason.STALE_VIEW, {"fresh": time.monotonic() - 0.001}),
            (Reason.NO_CONFIGURATION, {"configuration": None}),
            (Reason.LEAVING, {"leaving": True}),
        ):
            with self.subTest(reason=reason):
                vars(self.view).update(usual | change)
                await self.expect(reason, self.attempt())
                self.assertEqual((), self.runner.issue_slots().slot_ids)
                withdraws = reason in (Reason.ZONE_OUT, Reason.INSTANCE_OUT, Reason.LEAVING)
                self.assertEqual(withdraws, self.runner.is_retracted())
        vars(self.view).update(usual)
        self.assertIsInstance((await self.harness.run(self.attempt()))[-1], attempts.Finished)

    async def test_leaving_by_load_report_and_by_drain(self) -> None:
        self.harness.control(leaving=True)
        await agent_harness.until(self.runner.is_stopping)
        await self.expect(Reason.LEAVING, self.attempt())
        self.harness.control(leaving=False)
        await agent_harness.until(lambda: not self.runner.is_stopping())
        running = self.harness.spawn(self.attempt())
        await agent_harness.until(lambda: self.harness.server.recorder.running == 1)
        self.runner.begin_drain()
        await self.expect(Reason.LEAVING, self.attempt())
        await self.runner.drained()
        self.assertIsInstance((await running)[-1], attempts.Finished)

    async def test_at_limit_duplicate_and_used_slot(self) -> None:
        first = self.attempt()
        running = self.harness.spawn(first)
        await asyncio.sleep(0.02)
        await self.expect(Reason.AT_LIMIT, self.attempt())
        for _ in range(2):
            duplicate = self.attempt(attempt_id=first.attempt_id, ticket_id=first.ticket_id)
            await self.expect(Reason.DUPLICATE_ATTEMPT, duplicate)
            await running
        await self.expect(Reason.SLOT_UNKNOWN, self.attempt(slot=first.slot_id))

    async def test_endpoint_refuses_or_is_not_there(self) -> None:
        self.harness.control(refuse=True)
        for _ in range(2):
            events = await self.harness.run(self.attempt())
            self.assertEqual(Reason.ENDPOINT_NOT_STARTED, events[-1].reason)
            self.assertEqual(0, len(self.harness.server.recorder.records))
            await self.harness.server.close()
        self.assertEqual({}, self.runner.report().counters)


class StagedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.harness = await agent_harness.open_harness(self, "plain", (1, 1), service_ms=150)
        self.runner = await self.harness.start_agent()
        self.runner.capacity.depth.note_service_time(0.1)
        self.runner.note_hop_time(0.2)
        self.running = self.harness.spawn(self.harness.attempt())
        await agent_harness.until(lambda: self.harness.server.recorder.running == 1)

    async def stage(self, count: int = 2, seconds: float = 20.0) -> Tasks:
        calls = [agent_harness.call_request(seconds=seconds) for _ in range(count)]
        staged = [self.harness.spawn(self.harness.attempt(call)) for call in calls]
        await agent_harness.until(lambda: self.runner.report().staged == count)
        return staged

    async def expect_not_run(self, staged: Tasks, reason: Reason) -> None:
        for task in staged:
            events = await task
            kinds = [type(event) for event in events]
            self.assertEqual([attempts.Accepted, attempts.Refused], kinds)
            self.assertEqual(reason, events[-1].reason)
        self.assertIsInstance((await self.running)[-1], attempts.Finished)
        await asyncio.sleep(0.05)
        self.assertEqual(1, len(self.harness.server.recorder.records))

    async def test_staged_runs_start_in_order(self) -> None:
        staged = await self.stage(3)
        for number, task in enumerate([self.running, *staged], start=1):
            answer = (await task)[2]
            self.assertIn(f'"serial":{number},'.encode(), answer.data)
        self.assertEqual(1, self.harness.server.recorder.peak_running)

    async def test_zone_out(self) -> None:
        staged = await self.stage()
        self.harness.view.set_out(zones=(agent_harness.ZONE,))
        await self.expect_not_run(staged, Reason.ZONE_OUT)

    async def test_zone_out_that_the_view_does_not_announce(self) -> None:
        staged = await self.stage()
        self.harness.view.callbacks.clear()
        self.harness.view.set_out(zones=(agent_harness.ZONE,))
        await self.expect_not_run(staged, Reason.ZONE_OUT)

    async def test_stale_view(self) -> None:
        staged = await self.stage()
        self.harness.view.fresh = time.monotonic() - 0.001
        await self.expect_not_run(staged, Reason.STALE_VIEW)

    async def test_leaving(self) -> None:
        staged = await self.stage()
        self.runner.begin_drain()
        await self.expect_not_run(staged, Reason.LEAVING)
        await self.runner.drained()

    async def test_deadline(self) -> None:
        staged = await self.stage(seconds=0.1)
        await asyncio.wait(staged, timeout=0.12)
        self.assertFalse(self.running.done())
        await self.expect_not_run(staged, Reason.DEADLINE_PASSED)

    async def test_paused_between_launch_and_send(self) -> None:
        staged = await self.stage(1)
        run = self.harness.endpoint.run

        def pause_and_run(request: endpoint_module.EndpointRequest) -> typing.Any:
            self.harness.view.fresh = time.monotonic() - 0.001
            return run(request)

        self.harness.endpoint.run = pause_and_run
        await self.expect_not_run(staged, Reason.STALE_VIEW)

    async def test_entry_that_cancels_a_waiting_call(self) -> None:
        (staged,) = await self.stage(1)
        staged.cancel()
        await self.running
        await asyncio.sleep(0.1)
        self.assertEqual(1, len(self.harness.server.recorder.records))
