"""Guards against an endpoint in cold start that gets more work than it bears and falls over."""

import asyncio
import time
import unittest

from masticward.models import attempts, work
from masticward.standins import endpoint_server
from tests.lib import agent_harness, load_driver

COLD_LIMIT = 2
WARM_LIMIT = 8


class ColdStartTest(unittest.IsolatedAsyncioTestCase):
    async def open(self, kind: str, **faults: object) -> None:
        limits = (COLD_LIMIT, WARM_LIMIT)
        self.harness = await agent_harness.open_harness(self, kind, limits, **faults)
        self.server = self.harness.server

    def control(self, **changes: object) -> None:
        faults = endpoint_server.msgspec.structs.replace(self.server.faults, **changes)
        self.server.set_faults(faults)

    def state(self) -> str:
        return self.harness.runner.report().admission_state

    async def start_load(self) -> load_driver.LoadDriver:
        driver = load_driver.LoadDriver(
            self.harness, lambda: agent_harness.generate_body(output_tokens=20)
        )
        driver.start()
        self.addAsyncCleanup(driver.stop)
        return driver

    async def test_warms_up_under_load_and_uses_the_warm_limit(self) -> None:
        await self.open("language-model", first_token_ms=10, token_ms=10, cold=True)
        runner = await self.harness.start_agent()
        await self.start_load()
        await asyncio.sleep(0.5)
        self.assertEqual((COLD_LIMIT, "cold"), (runner.report().limit, self.state()))
        self.assertEqual(COLD_LIMIT, self.server.recorder.peak_running)
        self.control(cold=False)
        await agent_harness.until(lambda: self.state() == "warm")
        await agent_harness.until(lambda: self.server.recorder.running == WARM_LIMIT)
        self.assertEqual(WARM_LIMIT, self.server.recorder.peak_running)

    async def test_cold_again_without_warning_under_full_load(self) -> None:
        await self.check_cold_again(endpoint_server.ReportMode.NORMAL)

    async def test_cold_again_while_the_load_report_is_late(self) -> None:
        await self.check_cold_again(endpoint_server.ReportMode.LATE)

    async def test_cold_again_while_the_load_report_is_missing(self) -> None:
        await self.check_cold_again(endpoint_server.ReportMode.MISSING)

    async def check_cold_again(self, mode: endpoint_server.ReportMode) -> None:
        await self.open("language-model", first_token_ms=10, token_ms=10)
        await self.harness.start_agent(report_lag_seconds=1.0, period=0.5)
        await self.start_load()
        for _ in range(2):
            await agent_harness.until(lambda: self.state() == "warm")
            await agent_harness.until(lambda: self.server.recorder.running == WARM_LIMIT)
            self.control(report_mode=mode, cold=True, cold_first_token_ms=600)
            await agent_harness.until(lambda: self.state() == "cold")
            await asyncio.sleep(2.5)
            self.assertFalse(self.server.overloaded)
            self.assertEqual(COLD_LIMIT, self.harness.runner.report().limit)
            self.control(report_mode=endpoint_server.ReportMode.NORMAL, cold=False)
        await agent_harness.until(lambda: self.state() == "warm")
        self.assertFalse(self.server.overloaded)

    async def test_restarted_silently_while_idle_then_a_burst(self) -> None:
        await self.open("language-model", first_token_ms=10, token_ms=5)
        await self.harness.start_agent(period=60)
        driver = await self.start_load()
        self.harness.runner.capacity.limit.last_report_at = float("inf")
        await agent_harness.until(lambda: self.state() == "warm")
        await driver.stop()
        self.control(cold=True, cold_first_token_ms=600, incarnation=2)
        await self.start_load()
        await agent_harness.until(lambda: self.state() == "cold")
        await asyncio.sleep(1)
        self.assertFalse(self.server.overloaded)

    async def test_agent_restarted_while_its_endpoint_runs_earlier_work(self) -> None:
        await self.check_restarted_agent(endpoint_server.ReportMode.NORMAL)

    async def test_agent_restarted_while_the_load_report_is_late(self) -> None:
        await self.check_restarted_agent(endpoint_server.ReportMode.LATE)

    async def check_restarted_agent(self, mode: endpoint_server.ReportMode) -> None:
        await self.open("plain", cold=True, service_ms=1500, report_mode=mode, report_lag_ms=300)
        first = await self.harness.start_agent(report_lag_seconds=0.5)
        earlier = [self.harness.spawn(self.harness.attempt()) for _ in range(COLD_LIMIT)]
        await agent_harness.until(lambda: self.server.recorder.running == COLD_LIMIT)
        await first.close()
        for task in earlier:
            task.cancel()
        await self.harness.start_agent(wait=False, report_lag_seconds=0.5)
        await self.start_load()
        await agent_harness.until(lambda: len(self.server.recorder.records) > COLD_LIMIT)
        self.assertEqual(COLD_LIMIT, self.server.recorder.peak_running)
        await agent_harness.until(lambda: self.server.recorder.running == COLD_LIMIT)
        self.assertFalse(self.server.overloaded)

    async def test_nothing_is_admitted_before_the_first_report_or_three_seconds(self) -> None:
        missing = endpoint_server.ReportMode.MISSING
        await self.open("plain", service_ms=50, report_mode=missing)
        started_at = time.monotonic()
        runner = await self.harness.start_agent(wait=False)
        early = await self.harness.run(self.harness.attempt())
        self.assertEqual(work.RefusalReason.AT_LIMIT, early[-1].reason)
        await self.start_load()
        await agent_harness.until(lambda: bool(self.server.recorder.records))
        self.assertGreaterEqual(time.monotonic() - started_at, 3.0)
        await asyncio.sleep(0.5)
        self.assertEqual((COLD_LIMIT, "cold"), (runner.report().limit, self.state()))

    async def test_every_sign_leads_back_to_cold(self) -> None:
        await self.open("plain", service_ms=10)
        runner = await self.harness.start_agent()
        signs: list[dict[str, object]] = [
            {"cold": True},
            {"cold": False, "incarnation": 2},
            {"refuse": True},
            {"refuse": False, "drop": endpoint_server.DropPoint.BEFORE_ANSWER, "drop_count": 1},
        ]
        for sign in signs:
            with self.subTest(sign=sign):
                self.control(cold=False)
                await agent_harness.until(lambda: not runner.capacity.limit.reported_cold)
                runner.capacity.limit.raw_limit = WARM_LIMIT
                self.control(**sign)
                if "cold" not in sign:
                    events = await self.harness.run(self.harness.attempt())
                    self.assertNotIsInstance(events[-1], attempts.Finished)
                await agent_harness.until(lambda: runner.report().limit == COLD_LIMIT)

    async def test_slots_stay_busy_although_reports_lag(self) -> None:
        late = endpoint_server.ReportMode.LATE
        await self.open("plain", service_ms=100, report_mode=late, report_lag_ms=300)
        runner = await self.harness.start_agent(report_lag_seconds=1.0, period=0.5)
        await self.start_load()
        await agent_harness.until(lambda: self.state() == "warm")
        share = await load_driver.busy_share(self.harness, WARM_LIMIT, 3.0)
        self.assertGreater(share, 0.9)
        self.assertEqual(0, runner.capacity.in_flight.earlier)
