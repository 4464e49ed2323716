"""Guards against refused calls that the endpoint runs anyway, and calls that start too late."""

import asyncio
import time
import typing
import unittest
from unittest import mock

import msgspec
from aiohttp import web

from masticward.coordination import admission_checks
from masticward.models import attempts, work
from masticward.models import configuration as configuration_models
from masticward.standins import endpoint_server
from tests.lib import agent_harness

Reason = work.RefusalReason
# Cost of each operation of the harness's service.
COST = 3.0
Tasks = list[asyncio.Task[agent_harness.Events]]


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.harness = await agent_harness.open_harness(self, "plain", (1, 1), service_ms=200)
        self.runner = await self.harness.start_agent()
        self.view = self.harness.view
        self.attempt = self.harness.attempt

    async def assert_refused(
        self, reason: Reason, request: attempts.AttemptRequest, cost: float = 0.0
    ) -> None:
        """Check that a request is refused without a run and its ticket is charged ``cost``."""
        records = len(self.harness.server.recorder.records)
        events = await self.harness.run(request)
        self.assertEqual([attempts.Refused], [type(event) for event in events])
        self.assertEqual(reason, events[0].reason)
        await asyncio.sleep(0.05)
        self.assertEqual(records, len(self.harness.server.recorder.records))
        self.assertEqual(cost, self.runner.report().finished.get(request.ticket_id, 0.0))

    async def test_invalid_attempts_are_refused(self) -> None:
        (expired,), _ = self.runner.slots.issue(1, time.monotonic() - 2.5)
        late = agent_harness.call_request(seconds=-0.001)
        newer = {"entry_peer_address": "127.0.0.1:9"}
        for reason, request in (
            (Reason.WRONG_INCARNATION, self.attempt(agent_incarnation=6)),
            (Reason.WRONG_INCARNATION, self.attempt(agent_id="agent-2")),
            (Reason.SLOT_UNKNOWN, self.attempt(slot=999)),
            (Reason.SLOT_EXPIRED, self.attempt(slot=expired)),
            (Reason.DEADLINE_PASSED, self.attempt(late)),
            # The agent has had its configuration since its start, so no grace period applies.
            (Reason.OLDER_CONFIGURATION, self.attempt(config_version=2)),
            (Reason.OLDER_CONFIGURATION, self.attempt(call_digest=1)),
            (Reason.NEWER_CONFIGURATION, self.attempt(config_version=4, call_digest=1, **newer)),
            (Reason.NO_CONFIGURATION, self.attempt(agent_harness.call_request("unknown"))),
        ):
            with self.subTest(reason=reason):
                await self.assert_refused(reason, request)
        pulls = [mock.call(4, 2, "127.0.0.1:9")]
        self.assertEqual(pulls, self.view.pull_newer_versions.call_args_list)

    async def test_only_configuration_changes_that_affect_the_call_refuse_it(self) -> None:
        """Guards against refusals after unrelated changes, and runs after changes of the call."""
        newer = self.attempt(config_version=4, entry_peer_address="127.0.0.1:9")
        self.assertIsInstance((await self.harness.run(newer))[-1], attempts.Finished)
        self.view.pull_newer_versions.assert_called_once_with(4, 2, "127.0.0.1:9")
        before = self.view.configuration
        self.view.configuration = msgspec.structs.replace(before, version=4)
        self.runner.reconcile()
        older = self.attempt(config_version=3)
        self.assertIsInstance((await self.harness.run(older))[-1], attempts.Finished)
        service = before.services[0]
        changed = [
            msgspec.structs.replace(operation, idempotent=not operation.idempotent)
            for operation in service.operations
        ]
        routed_before = [self.attempt(config_version=version) for version in (4, 5)]
        service = msgspec.structs.replace(service, operations=tuple(changed))
        self.view.configuration = msgspec.structs.replace(before, version=5, services=(service,))
        self.runner.reconcile()
        for request in routed_before:
            await self.assert_refused(Reason.OLDER_CONFIGURATION, request)

    async def test_earlier_configuration_is_refused_after_the_grace_period(self) -> None:
        """Guards against a partitioned entry that uses an earlier configuration forever."""
        self.view.configuration = msgspec.structs.replace(self.view.configuration, version=4)
        with mock.patch.object(admission_checks, "SUPERSEDED_GRACE_SECONDS", 0.05):
            self.runner.reconcile()
        await asyncio.sleep(0.06)
        await self.assert_refused(Reason.OLDER_CONFIGURATION, self.attempt(config_version=3))

    async def test_agent_checks_its_own_operations_state_for_any_version_of_the_entry(self) -> None:
        """Guards against starts in a zone that is out of service.

        Operations versions of the entry and the agent are not compared.
        """
        state = configuration_models.OperationsState
        for version in (1, 2, 3):
            self.view.operations = state(version=2)
            request = self.attempt(operations_version=version, entry_peer_address="127.0.0.1:9")
            self.assertIsInstance((await self.harness.run(request))[-1], attempts.Finished)
            self.view.operations = state(version=2, zones_out=(agent_harness.ZONE,))
            await self.assert_refused(Reason.ZONE_OUT, self.attempt(operations_version=version))
        self.view.pull_newer_versions.assert_any_call(3, 3, "127.0.0.1:9")

    async def test_view_changes_refuse_attempts_and_stop_offers(self) -> None:
        view = self.view
        default = view.configuration, view.operations, float("inf"), False
        out = configuration_models.OperationsState
        zone_out = out(version=2, zones_out=(agent_harness.ZONE,))
        for reason, position, value in (
            (Reason.NO_CONFIGURATION, 0, None),
            (Reason.ZONE_OUT, 1, zone_out),
            (Reason.INSTANCE_OUT, 1, out(version=2, instances_out=("agent-1",))),
            (Reason.STALE_VIEW, 2, time.monotonic() - 0.001),
            (Reason.LEAVING, 3, True),
        ):
            with self.subTest(reason=reason):
                changed = [*default[:position], value, *default[position + 1 :]]
                view.configuration, view.operations = changed[:2]
                view.fresh_until.return_value, view.is_leaving.return_value = changed[2:]
                await self.assert_refused(reason, self.attempt())
                self.assertEqual((), self.runner.issue_slots().slot_ids)
                retracts = reason in (Reason.ZONE_OUT, Reason.INSTANCE_OUT, Reason.LEAVING)
                self.assertEqual(retracts, self.runner.is_retracted())
        view.is_leaving.return_value = False
        self.assertIsInstance((await self.harness.run(self.attempt()))[-1], attempts.Finished)

    async def test_leaving_endpoint_or_draining_agent_refuses_attempts(self) -> None:
        self.harness.control(leaving=True)
        await agent_harness.until(self.runner.is_stopping)
        await self.assert_refused(Reason.LEAVING, self.attempt())
        self.harness.control(leaving=False)
        await agent_harness.until(lambda: not self.runner.is_stopping())
        running = self.harness.spawn(self.attempt())
        await agent_harness.until(lambda: self.harness.server.recorder.running == 1)
        self.runner.begin_drain()
        await self.assert_refused(Reason.LEAVING, self.attempt())
        await self.runner.drained()
        self.assertIsInstance((await running)[-1], attempts.Finished)

    async def test_full_agent_duplicate_attempt_and_used_slot_are_refused(self) -> None:
        """Guards against refused duplicates that end the charge of a run or replace its cost."""
        first = self.attempt()

        def duplicate() -> attempts.AttemptRequest:
            return self.attempt(attempt_id=first.attempt_id, ticket_id=first.ticket_id)

        release = asyncio.Event()
        serve = self.harness.server.serve

        async def serve_when_released(call: endpoint_server.Call) -> web.StreamResponse:
            await release.wait()
            return await serve(call)

        with mock.patch.object(self.harness.server, "serve", serve_when_released):
            running = self.harness.spawn(first)
            await agent_harness.until(lambda: self.harness.server.recorder.running == 1)
            await self.assert_refused(Reason.AT_LIMIT, self.attempt())
            await self.assert_refused(Reason.DUPLICATE_ATTEMPT, duplicate())
            release.set()
            self.assertIsInstance((await running)[-1], attempts.Finished)
        await self.assert_refused(Reason.DUPLICATE_ATTEMPT, duplicate(), cost=COST)
        await self.assert_refused(Reason.DUPLICATE_ATTEMPT, duplicate())
        await self.assert_refused(Reason.SLOT_UNKNOWN, self.attempt(slot=first.slot_id))

    async def test_endpoint_that_refuses_or_is_stopped(self) -> None:
        self.harness.control(refuse=True)
        for _ in range(2):
            events = await self.harness.run(self.attempt())
            self.assertEqual(Reason.ENDPOINT_NOT_STARTED, events[-1].reason)
            self.assertEqual(0, len(self.harness.server.recorder.records))
            await self.harness.server.close()
        self.assertEqual({}, self.runner.report().counters)


class StagedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.harness = await agent_harness.open_harness(self, "plain", (1, 1), service_ms=300)
        # Frequent load reports would also trigger the checks of staged calls.
        self.runner = await self.harness.start_agent(period=60.0)
        self.runner.capacity.staged_depth.record_service_time(0.1)
        self.runner.record_one_way_delay(0.2)
        self.running = self.harness.spawn(self.harness.attempt())
        await agent_harness.until(lambda: self.harness.server.recorder.running == 1)

    async def stage(self, count: int = 2, seconds: float = 20.0) -> Tasks:
        calls = [agent_harness.call_request(seconds=seconds) for _ in range(count)]
        staged = [self.harness.spawn(self.harness.attempt(call)) for call in calls]
        await agent_harness.until(lambda: self.runner.report().staged == count)
        return staged

    async def assert_refused_without_run(
        self, staged: Tasks, reason: Reason, while_another_runs: bool = False
    ) -> None:
        if while_another_runs:
            await asyncio.wait([self.running, *staged], return_when=asyncio.FIRST_COMPLETED)
            self.assertFalse(self.running.done())
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

    def take_zone_out(self) -> None:
        view = self.harness.view
        view.operations = configuration_models.OperationsState(
            version=2, zones_out=(agent_harness.ZONE,)
        )

    async def test_zone_out_of_service_refuses_staged_calls_at_once(self) -> None:
        staged = await self.stage()
        self.take_zone_out()
        for call in self.harness.view.subscribe.call_args_list:
            call.args[0]()
        await self.assert_refused_without_run(staged, Reason.ZONE_OUT, while_another_runs=True)

    async def test_zone_out_of_service_is_detected_without_notification(self) -> None:
        """Guards against starting staged calls without a check of the current view."""
        staged = await self.stage()
        self.take_zone_out()
        await self.assert_refused_without_run(staged, Reason.ZONE_OUT)

    async def test_stale_view_refuses_staged_calls(self) -> None:
        staged = await self.stage()
        self.harness.view.fresh_until.return_value = time.monotonic() - 0.001
        await self.assert_refused_without_run(staged, Reason.STALE_VIEW)

    async def test_drain_refuses_staged_calls(self) -> None:
        staged = await self.stage()
        self.runner.begin_drain()
        await self.assert_refused_without_run(staged, Reason.LEAVING)
        self.harness.view.announce_leaving.assert_called_once()
        await self.runner.drained()

    async def test_close_starts_no_staged_call_and_ends_all_streams(self) -> None:
        (staged,) = await self.stage(1)
        await self.runner.close()
        self.assertTrue((await self.running)[-1].may_have_run)
        self.assertEqual(Reason.LEAVING, (await staged)[-1].reason)
        self.assertEqual(1, len(self.harness.server.recorder.records))

    async def test_staged_calls_are_refused_at_their_deadline(self) -> None:
        """Guards against staged calls that are only refused once a running call ends."""
        staged = await self.stage(seconds=0.1)
        await self.assert_refused_without_run(
            staged, Reason.DEADLINE_PASSED, while_another_runs=True
        )

    async def test_pause_between_start_and_send_refuses_the_call(self) -> None:
        """Guards against checks that are not repeated right before the call is sent."""
        staged = await self.stage(1)
        run, fresh_until = self.harness.endpoint.run, self.harness.view.fresh_until

        def pause_and_run(request: typing.Any) -> typing.Any:
            fresh_until.return_value = time.monotonic() - 0.001
            return run(request)

        self.harness.endpoint.run = pause_and_run
        await self.assert_refused_without_run(staged, Reason.STALE_VIEW)

    async def test_staged_call_cancelled_by_the_entry_does_not_start(self) -> None:
        (staged,) = await self.stage(1)
        staged.cancel()
        await self.running
        await asyncio.sleep(0.1)
        self.assertEqual(1, len(self.harness.server.recorder.records))
