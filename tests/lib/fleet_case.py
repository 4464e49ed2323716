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


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Starts a fleet before each test and ends all its processes afterwards."""

    entries = 2
    writers = 3
    bookings = 2
    limits: settings.EntryLimits | None = None
    relay_agents = False

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
        failed = not self._outcome.success  # type: ignore[attr-defined]
        if failed:
            self.history.save(self.fleet.directory / "history.json")
        await self.fleet.close(keep_logs=failed)

    @contextlib.asynccontextmanager
    async def load(
        self, seconds: float, text: int = 3, booking: int = 1, deadline_seconds: float = 30.0
    ) -> collections.abc.AsyncIterator[load.LoadGenerator]:
        """Run load beside the body of the context and wait for the last call at its end."""
        plan = self.fleet.plan
        balancer = load.Balancer(self.fleet.targets((3.0, 1.0, 1.0)))
        generator = load.LoadGenerator(
            self.history, balancer, SEED, MAXIMUM_CALLS, deadline_seconds
        )
        loads = (mixes.text_loads(plan, text) if text else []) + (
            mixes.booking_loads(plan, booking) if booking else []
        )
        async with generator:
            calls = asyncio.create_task(generator.run(loads, seconds))
            versions = asyncio.create_task(self.sample_versions())
            try:
                yield generator
                await calls
            finally:
                versions.cancel()
                calls.cancel()

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
