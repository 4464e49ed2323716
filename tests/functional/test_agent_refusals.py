"""Guards against a refusal after which the endpoint has run the call, and against late starts."""

import asyncio
import time
import typing
import unittest

from masticward.models import attempts, work
from masticward.models import configuration as configuration_models
from masticward.transport import endpoint as endpoint_module
from tests.lib import agent_harness

Reason = work.RefusalReason


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.harness = await agent_harness.open_harness(self, "plain", (1, 1), service_ms=200)
        await self.harness.start_agent()

    async def expect(self, reason: Reason, request: attempts.AttemptRequest) -> None:
        records = len(self.harness.server.recorder.records)
        events = await self.harness.run(request)
        self.assertEqual([attempts.Refused], [type(event) for event in events])
        self.assertEqual(reason, events[0].reason)
        await asyncio.sleep(0.05)
        self.assertEqual(records, len(self.harness.server.recorder.records))
        self.assertEqual(0.0, self.harness.runner.report().finished.get(request.ticket_id, 0.0))

    async def test_changed_attempts(self) -> None:
        now = time.monotonic()
        (expired,), _ = self.harness.runner.slots.issue(1, now - 2.5)
        late = agent_harness.call_request(seconds=-0.001)
        attempt = self.harness.attempt
        for reason, request in (
            (Reason.WRONG_INCARNATION, attempt(agent_incarnation=6)),
            (Reason.WRONG_INCARNATION, attempt(agent_id="agent-2")),
            (Reason.SLOT_UNKNOWN, attempt(slot_id=999)),
            (Reason.SLOT_EXPIRED, attempt(slot_id=expired)),
            (Reason.DEADLINE_PASSED, attempt(call=late)),
            (Reason.OLDER_CONFIGURATION, attempt(config_version=2)),
            (Reason.OLDER_OPERATIONS, attempt(operations_version=1)),
            (Reason.NO_CONFIGURATION, attempt(call=agent_harness.call_request("unknown"))),
        ):
            with self.subTest(reason=reason):
                await self.expect(reason, request)
        self.assertEqual([], self.harness.view.pulls)

    async def test_newer_versions_are_pulled_at_once(self) -> None:
        newer = {"entry_peer_address": "127.0.0.1:9"}
        attempt = self.harness.attempt
        await self.expect(Reason.NEWER_CONFIGURATION, attempt(config_version=4, **newer))
        await self.expect(Reason.NEWER_OPERATIONS, attempt(operations_version=3, **newer))
        self.assertEqual([(4, 2, "127.0.0.1:9"), (3, 3, "127.0.0.1:9")], self.harness.view.pulls)

    async def test_changed_view(self) -> None:
        view = self.harness.view
        view.set_out(zones=(agent_harness.ZONE,))
        await self.expect(Reason.ZONE_OUT, self.harness.attempt())
        self.assertTrue(self.harness.runner.is_retracted())
        self.assertEqual((), self.harness.runner.issue_slots().slot_ids)
        view.set_out(instances=("agent-1",))
        await self.expect(Reason.INSTANCE_OUT, self.harness.attempt())
        view.set_out()
        view.fresh = time.monotonic() - 0.001
        await self.expect(Reason.STALE_VIEW, self.harness.attempt())
        self.assertEqual((), self.harness.runner.issue_slots().slot_ids)
        view.fresh = float("inf")
        configuration, view.current = view.current, None
        await self.expect(Reason.NO_CONFIGURATION, self.harness.attempt())
        view.current = configuration
        view.leaving = True
        await self.expect(Reason.LEAVING, self.harness.attempt())
        view.leaving = False
        self.assertIsInstance(
            (await self.harness.run(self.harness.attempt()))[-1], attempts.Finished
        )

    async def test_leaving_by_load_report_and_by_drain(self) -> None:
        self.harness.server.faults.leaving = True
        await agent_harness.until(self.harness.runner.is_stopping)
        await self.expect(Reason.LEAVING, self.harness.attempt())
        self.harness.server.faults.leaving = False
        await agent_harness.until(lambda: not self.harness.runner.is_stopping())
        running = self.harness.spawn(self.harness.attempt())
        await agent_harness.until(lambda: self.harness.server.recorder.running == 1)
        self.harness.runner.begin_drain()
        await self.expect(Reason.LEAVING, self.harness.attempt())
        await self.harness.runner.drained()
        self.assertIsInstance((await running)[-1], attempts.Finished)

    async def test_at_limit_and_duplicate(self) -> None:
        first = self.harness.attempt()
        running = self.harness.spawn(first)
        await asyncio.sleep(0.02)
        await self.expect(Reason.AT_LIMIT, self.harness.attempt())
        for _ in range(2):
            (slot_id,), _ = self.harness.runner.slots.issue(1, time.monotonic())
            duplicate = self.harness.attempt(slot_id=slot_id, attempt_id=first.attempt_id)
            await self.expect(Reason.DUPLICATE_ATTEMPT, duplicate)
            await running
        self.assertEqual(1, len(self.harness.server.recorder.records))

    async def test_a_slot_serves_one_attempt(self) -> None:
        first = self.harness.attempt()
        await self.harness.run(first)
        await self.expect(Reason.SLOT_UNKNOWN, self.harness.attempt(slot_id=first.slot_id))

    async def test_endpoint_refuses_or_is_not_there(self) -> None:
        self.harness.server.faults.refuse = True
        for _ in range(2):
            events = await self.harness.run(self.harness.attempt())
            self.assertEqual(Reason.ENDPOINT_NOT_STARTED, events[-1].reason)
            self.assertEqual(0, len(self.harness.server.recorder.records))
            await self.harness.server.close()
        self.assertEqual({}, self.harness.runner.report().counters)


class StagedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.harness = await agent_harness.open_harness(self, "plain", (1, 1), service_ms=150)
        runner = await self.harness.start_agent()
        runner.capacity.depth.note_service_time(0.1)
        runner.note_hop_time(0.2)
        self.running = self.harness.spawn(self.harness.attempt())
        await agent_harness.until(lambda: self.harness.server.recorder.running == 1)

    async def stage(self, count: int, seconds: float = 20.0) -> list[asyncio.Task]:
        calls = [agent_harness.call_request(seconds=seconds) for _ in range(count)]
        staged = [self.harness.spawn(self.harness.attempt(call=call)) for call in calls]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(count, self.harness.runner.report().staged)
        return staged

    async def expect_not_run(self, staged: list[asyncio.Task], reason: Reason) -> None:
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
        serials = [agent_harness.body_of(await task) for task in [self.running, *staged]]
        for number, body in enumerate(serials, start=1):
            self.assertIn(f'"serial":{number},'.encode(), body)
        self.assertEqual(1, self.harness.server.recorder.peak_running)

    async def test_zone_out(self) -> None:
        staged = await self.stage(3)
        self.harness.view.set_out(zones=(agent_harness.ZONE,))
        await self.expect_not_run(staged, Reason.ZONE_OUT)

    async def test_zone_out_that_the_view_does_not_announce(self) -> None:
        staged = await self.stage(2)
        self.harness.view.callbacks.clear()
        self.harness.view.set_out(zones=(agent_harness.ZONE,))
        await self.expect_not_run(staged, Reason.ZONE_OUT)

    async def test_stale_view(self) -> None:
        staged = await self.stage(2)
        self.harness.view.fresh = time.monotonic() - 0.001
        await self.expect_not_run(staged, Reason.STALE_VIEW)

    async def test_leaving(self) -> None:
        staged = await self.stage(2)
        self.harness.runner.begin_drain()
        await self.expect_not_run(staged, Reason.LEAVING)
        await self.harness.runner.drained()

    async def test_deadline(self) -> None:
        staged = await self.stage(2, seconds=0.05)
        await self.expect_not_run(staged, Reason.DEADLINE_PASSED)

    async def test_paused_between_launch_and_send(self) -> None:
        staged = await self.stage(1)
        run = self.harness.endpoint.run

        def pause_and_run(request: endpoint_module.EndpointRequest) -> typing.Any:
            self.harness.view.fresh = time.monotonic() - 0.001
            return run(request)

        self.harness.endpoint.run = pause_and_run
        await self.expect_not_run(staged, Reason.STALE_VIEW)

    async def test_operation_that_a_new_configuration_drops(self) -> None:
        staged = await self.stage(1)
        view = self.harness.view
        view.current = configuration_models.Configuration(
            version=4, availability_zones=(), services=(), teams=()
        )
        await self.expect_not_run(staged, Reason.NO_CONFIGURATION)

    async def test_entry_that_cancels_a_waiting_call(self) -> None:
        (staged,) = await self.stage(1)
        staged.cancel()
        await self.running
        await asyncio.sleep(0.1)
        self.assertEqual(1, len(self.harness.server.recorder.records))
        self.assertEqual(0, self.harness.runner.report().running)
