"""Base of tests that run a fleet of processes under load and check its history."""

import asyncio
import collections.abc
import contextlib
import logging
import time
import typing
import unittest

from masticward import logs, settings
from masticward.bench import checker, history, load, mixes
from tests.lib import fleets, processes

SEED = 4711
MAXIMUM_CALLS = 6_000
TOKEN_MS = 10.0
VERSION_PERIOD_SECONDS = 0.25
# Until every endpoint is used; a busy machine needs several seconds.
LOAD_START_SECONDS = 30.0
POLL_SECONDS = 0.02
JUST_BEGUN_SECONDS = 0.1
RECENT_RECORDS = 20


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Starts a fleet before each test and ends all its processes afterwards."""

    entries = 2
    writers = 3
    bookings = 2
    limits: settings.EntryLimits | None = None
    relay_agents = False

    def __init__(self, method_name: str = "runTest") -> None:
        super().__init__(method_name)
        self.passed = False
        method = getattr(self, method_name)

        async def run_and_note() -> None:
            await method()
            self.passed = True

        setattr(self, method_name, run_and_note)

    async def asyncSetUp(self) -> None:
        # The debug mode of the event loop slows the load and the stand-ins down.
        asyncio.get_running_loop().set_debug(False)
        logs.configure(logging.ERROR)
        self.history = history.History(seed=SEED)
        self.fleet = processes.ProcessFleet(fleets.build(self.entries, self.writers, self.bookings))
        try:
            relayed = self.fleet.agent_names() if self.relay_agents else ()
            await self.fleet.start(self.limits, relayed)
            for endpoint in self.fleet.plan.endpoints:
                if endpoint.service == fleets.WRITER:
                    await self.fleet.platform.control_endpoint(endpoint.id, token_ms=TOKEN_MS)
        except BaseException:
            await self.fleet.close(keep_logs=True)
            raise

    async def asyncTearDown(self) -> None:
        failed = not self.passed
        if failed:
            self.history.save(self.fleet.directory / "history.json")
        await self.fleet.close(keep_logs=failed)

    @contextlib.asynccontextmanager
    async def load(
        self, seconds: float, text: int = 3, booking: int = 1, deadline_seconds: float = 30.0
    ) -> collections.abc.AsyncIterator[load.LoadGenerator]:
        """Run load beside the body of the context and wait for the last call at its end.

        The body and the ``seconds`` begin once every endpoint under load has begun a call. A fixed
        time for that was too short on a busy machine, and faults then met an idle fleet.
        """
        plan = self.fleet.plan
        balancer = load.Balancer(self.fleet.targets((3.0, 1.0, 1.0)))
        generator = load.LoadGenerator(
            self.history, balancer, SEED, MAXIMUM_CALLS, deadline_seconds
        )
        loads = (mixes.text_loads(plan, text) if text else []) + (
            mixes.booking_loads(plan, booking) if booking else []
        )
        services = ({fleets.WRITER} if text else set()) | ({fleets.BOOKING} if booking else set())
        async with generator:
            calls = asyncio.create_task(generator.run(loads, LOAD_START_SECONDS + seconds))
            versions = asyncio.create_task(self.sample_versions())
            try:
                await self.wait_until_used(services)
                generator.stop_at = time.monotonic() + seconds
                yield generator
                await calls
            finally:
                versions.cancel()
                calls.cancel()

    async def wait_until_used(self, services: set[str]) -> None:
        """Wait until every endpoint of the services has begun a call."""
        endpoints = [item for item in self.fleet.plan.endpoints if item.service in services]
        servers = self.fleet.platform.endpoints
        async with asyncio.timeout(LOAD_START_SECONDS):
            while not all(servers[item.id].recorder.records for item in endpoints):
                await asyncio.sleep(POLL_SECONDS)

    async def wait_until_running(self, endpoint_id: str) -> None:
        """Wait until an endpoint has a call under way that it began just now."""
        recorder = self.fleet.platform.endpoints[endpoint_id].recorder
        async with asyncio.timeout(LOAD_START_SECONDS):
            while not any(
                record.finished_at is None
                and time.monotonic() - record.started_at < JUST_BEGUN_SECONDS
                for record in list(recorder.records)[-RECENT_RECORDS:]
            ):
                await asyncio.sleep(POLL_SECONDS)

    async def sample_versions(self) -> None:
        """Record the versions of all programs until cancelled."""
        while True:
            self.history.versions.extend(await self.fleet.versions())
            await asyncio.sleep(VERSION_PERIOD_SECONDS)

    async def assert_safe(self) -> None:
        """Fail unless the history keeps every guarantee exactly."""
        await self.fleet.platform.complete_history(self.history)
        self.assertEqual([], checker.check(self.history))

    def outcomes(
        self, accept: collections.abc.Callable[[history.CallRecord], bool] = lambda call: True
    ) -> collections.Counter[str]:
        """Count the outcomes of the accepted calls."""
        return collections.Counter(str(call.outcome) for call in self.history.calls if accept(call))

    def starts(
        self, service: str, accept: typing.Callable[[history.EndpointRecord], bool]
    ) -> list[float]:
        """Return the times at which accepted runs of a service started."""
        return sorted(
            run.started_at for run in self.history.runs if run.service == service and accept(run)
        )


async def sleep_until(moment: float) -> None:
    """Sleep until a monotonic time in seconds."""
    await asyncio.sleep(max(0.0, moment - time.monotonic()))
