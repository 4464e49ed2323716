"""Guards against overloading an endpoint that is cold."""

import asyncio
import time
import typing
import unittest

from masticward.models import attempts, work
from masticward.standins import endpoint_server
from tests.lib import agent_harness

COLD_LIMIT = 2
WARM_LIMIT = 8
Mode = endpoint_server.ReportMode


class ColdStartTest(unittest.IsolatedAsyncioTestCase):
    async def open(self, kind: str, **faults: object) -> None:
        limits = (COLD_LIMIT, WARM_LIMIT)
        self.harness = await agent_harness.open_harness(self, kind, limits, **faults)
        self.server = self.harness.server
        self.recorder = self.server.recorder

    def limit_and_state(self) -> tuple[int, str]:
        report = self.harness.runner.report()
        return report.limit, report.admission_state

    async def start_load(self) -> None:
        load = asyncio.get_running_loop().create_task(
            self.harness.use_offers(lambda: agent_harness.generate_body(output_tokens=20))
        )
        self.harness.stack.callback(load.cancel)

    async def test_endpoint_that_becomes_cold_under_full_load_is_not_overloaded(self) -> None:
        """Guards against more calls than the cold limit at an endpoint that becomes cold.

        Load reports may be on time, late or missing.
        """
        await self.open("language-model", first_token_ms=10, token_ms=10)
        await self.harness.start_agent(report_lag_seconds=1.0, period=0.5)
        await self.start_load()
        for mode in (Mode.MISSING, Mode.NORMAL, Mode.LATE, Mode.MISSING):
            await agent_harness.until(lambda: self.limit_and_state() == (WARM_LIMIT, "warm"))
            await agent_harness.until(lambda: self.recorder.running == WARM_LIMIT)
            self.harness.control(report_mode=mode, cold=True, cold_first_token_ms=600)
            await agent_harness.until(lambda: self.limit_and_state() == (COLD_LIMIT, "cold"))
            await asyncio.sleep(2.5)
            self.assertEqual(COLD_LIMIT, self.limit_and_state()[0], mode)
            self.assertFalse(self.server.overloaded, mode)
            self.harness.control(report_mode=Mode.NORMAL, cold=False)

    async def test_overdue_first_token_refuses_staged_calls(self) -> None:
        """Guards against calls that wait at an endpoint that has become cold without a report.

        Refused calls can run at other endpoints.
        """
        await self.open("language-model", first_token_ms=10, cold_first_token_ms=3000)
        limit = (await self.harness.start_agent()).capacity.limit
        for _ in range(5):
            await self.harness.run(self.harness.attempt())
        limit.raw_limit = WARM_LIMIT
        self.harness.control(report_mode=Mode.MISSING, cold=True)
        tasks = [self.harness.spawn(self.harness.attempt()) for _ in range(WARM_LIMIT)]
        done, _ = await asyncio.wait(tasks, timeout=1.0)
        self.assertEqual(WARM_LIMIT - 2 * COLD_LIMIT, len(done))
        self.assertEqual({work.RefusalReason.AT_LIMIT}, {task.result()[-1].reason for task in done})

    async def test_restarted_agent_counts_the_calls_of_its_previous_process(self) -> None:
        """Guards against a restarted agent that overloads an endpoint with unfinished calls."""
        for mode in (Mode.NORMAL, Mode.LATE):
            with self.subTest(mode=mode):
                await self.check_restarted_agent(mode)

    async def check_restarted_agent(self, mode: Mode) -> None:
        await self.open("plain", cold=True, service_ms=1500, report_mode=mode, report_lag_ms=300)
        first = await self.harness.start_agent(report_lag_seconds=0.5)
        earlier = [self.harness.spawn(self.harness.attempt()) for _ in range(COLD_LIMIT)]
        await agent_harness.until(lambda: self.recorder.running == COLD_LIMIT)
        await first.close()
        for task in earlier:
            task.cancel()
        second = await self.harness.start_agent(report_lag_seconds=0.5)
        self.assertEqual((), second.issue_slots().slot_ids)
        await self.start_load()
        await agent_harness.until(lambda: len(self.recorder.records) > COLD_LIMIT)
        await agent_harness.until(lambda: self.recorder.running == COLD_LIMIT)
        self.assertEqual(COLD_LIMIT, self.recorder.peak_running)
        self.assertFalse(self.server.overloaded)

    async def test_no_call_is_admitted_before_the_first_load_report_or_three_seconds(self) -> None:
        """Guards against starts before the endpoint can have reported its unfinished calls."""
        await self.open("plain", service_ms=50, report_mode=Mode.MISSING)
        started_at = time.monotonic()
        await self.harness.start_agent(wait=False)
        early = await self.harness.run(self.harness.attempt())
        self.assertIsInstance(early[-1], attempts.Refused)
        await self.start_load()
        await agent_harness.until(lambda: bool(self.recorder.records))
        self.assertGreaterEqual(time.monotonic() - started_at, 3.0)
        await asyncio.sleep(0.5)
        self.assertEqual((COLD_LIMIT, "cold"), self.limit_and_state())

    async def test_every_sign_of_overload_or_restart_resets_to_the_cold_limit(self) -> None:
        await self.open("plain", service_ms=10)
        limit = (await self.harness.start_agent()).capacity.limit
        before_answer = endpoint_server.DropPoint.BEFORE_ANSWER
        signs: list[dict[str, object]] = [
            {"cold": True},
            {"cold": False, "incarnation": 2},
            {"refuse": True},
            {"refuse": False, "drop": before_answer, "drop_count": 1},
        ]
        for sign in signs:
            with self.subTest(sign=sign):
                self.harness.control(cold=False)
                await agent_harness.until(lambda: not limit.reported_cold)
                limit.raw_limit = WARM_LIMIT
                self.harness.control(**sign)
                if "cold" not in sign:
                    await self.harness.run(self.harness.attempt())
                await agent_harness.until(lambda: limit.limit == COLD_LIMIT)

    async def test_limit_lowered_between_start_and_send_refuses_the_call(self) -> None:
        """Guards against sending calls without checking the limit again."""
        await self.open("plain", service_ms=50)
        limit = (await self.harness.start_agent(period=60.0)).capacity.limit
        limit.raw_limit = WARM_LIMIT
        run = self.harness.endpoint.run

        def turn_cold_and_run(request: typing.Any) -> typing.Any:
            limit.reset_to_cold()
            return run(request)

        self.harness.endpoint.run = turn_cold_and_run
        tasks = [self.harness.spawn(self.harness.attempt()) for _ in range(COLD_LIMIT + 1)]
        reasons = [getattr((await task)[-1], "reason", None) for task in tasks]
        self.assertEqual([work.RefusalReason.AT_LIMIT, None, None], reasons)
        self.assertEqual(COLD_LIMIT, len(self.recorder.records))

    async def test_late_load_reports_do_not_leave_slots_idle(self) -> None:
        """Guards against counting finished calls that a late report still shows as running."""
        await self.open("plain", service_ms=100, report_mode=Mode.LATE, report_lag_ms=300)
        runner = await self.harness.start_agent(report_lag_seconds=1.0, period=0.5)
        await self.start_load()
        await agent_harness.until(lambda: self.limit_and_state() == (WARM_LIMIT, "warm"))
        for _ in range(30):
            await asyncio.sleep(0.05)
            self.assertEqual(0, runner.capacity.in_flight.earlier_calls)

    async def test_error_responses_affect_neither_limit_nor_first_token_times(self) -> None:
        """Guards against a cold engine that is assumed to be warm because it rejects calls fast."""
        await self.open("language-model")
        limit = (await self.harness.start_agent()).capacity.limit
        for _ in range(10):
            call = agent_harness.call_request(body=b"no JSON")
            events = await self.harness.run(self.harness.attempt(call))
            self.assertEqual(400, events[1].status)
        self.assertEqual((COLD_LIMIT, 0), (limit.limit, limit.first_tokens.samples))
