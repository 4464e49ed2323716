"""Base of tests that run a fleet of processes under load and check its history."""

import asyncio
import collections.abc
import contextlib
import itertools
import logging
import time
import typing
import unittest

from masticward import logs, settings
from masticward.bench import checker, history, load, mixes
from masticward.models import work
from masticward.state import admission
from tests.lib import fleets, processes

SEED = 4711
# Bounds a load whose body hangs; the longest body makes about 3,000 calls.
MAXIMUM_CALLS = 20_000
TOKEN_MS = 10.0
VERSION_PERIOD_SECONDS = 0.25
# Ends a load or a wait that would never end by itself; no check depends on it.
HANG_SECONDS = 120.0
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
        self, text: float = 3, booking: int = 1, deadline_seconds: float = 30.0
    ) -> collections.abc.AsyncIterator[load.LoadGenerator]:
        """Run load beside the body of the context and wait for the last call after its end.

        The body begins once every endpoint under load has begun a call and every entry has answered
        one. A fixed time for that was too short on a busy machine, and faults then met an idle
        fleet. The load lasts as long as the body, so that no fault outlasts it.
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
            calls = asyncio.create_task(generator.run(loads, 2 * HANG_SECONDS))
            versions = asyncio.create_task(self.sample_versions())
            try:
                for endpoint_id in self.endpoints_of(*services):
                    await self.wait_for_starts([endpoint_id], 0.0)
                for entry in self.fleet.entry_names():
                    await self.wait_for_answers(lambda call, e=entry: call.entry == e)
                yield generator
                self.assertGreater(generator.calls_left, 0, "the load ran out of calls")
                generator.stop()
                await calls
            finally:
                versions.cancel()
                calls.cancel()

    async def wait_for(self, condition: collections.abc.Callable[[], bool], what: str) -> None:
        """Wait for a condition; fails with ``what`` if it never holds."""
        deadline = time.monotonic() + HANG_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                self.fail(f"not within {HANG_SECONDS} s: {what}")
            await asyncio.sleep(POLL_SECONDS)

    async def wait_for_answers(
        self, accept: collections.abc.Callable[[history.CallRecord], bool], count: int = 1
    ) -> None:
        """Wait until so many accepted calls that are sent from now on are complete."""
        first = len(self.history.calls)

        def answered() -> bool:
            complete = (
                call for call in self.history.calls[first:] if call.outcome is work.Outcome.COMPLETE
            )
            return sum(1 for call in complete if accept(call)) >= count

        await self.wait_for(answered, f"{count} complete calls")

    async def wait_for_starts(
        self, endpoint_ids: collections.abc.Iterable[str], since: float, count: int = 1
    ) -> None:
        """Wait until so many runs have started after ``since`` on the endpoints together."""
        recorders = [self.fleet.platform.endpoints[name].recorder for name in endpoint_ids]

        def started() -> int:
            return sum(
                1
                for recorder in recorders
                for _ in itertools.takewhile(
                    lambda record: record.started_at > since, reversed(recorder.records)
                )
            )

        await self.wait_for(lambda: started() >= count, f"{count} starts on {endpoint_ids}")

    async def wait_until_running(self, endpoint_id: str) -> None:
        """Wait until an endpoint has a call under way that it began just now."""
        recorder = self.fleet.platform.endpoints[endpoint_id].recorder
        await self.wait_for(
            lambda: any(
                record.finished_at is None
                and time.monotonic() - record.started_at < JUST_BEGUN_SECONDS
                for record in list(recorder.records)[-RECENT_RECORDS:]
            ),
            f"a call under way on {endpoint_id}",
        )

    async def wait_until_warm(self, endpoint_id: str) -> None:
        """Wait until an agent holds its endpoint for warm, with the whole limit."""
        deadline = time.monotonic() + HANG_SECONDS
        while time.monotonic() < deadline:
            status = await self.fleet.status(endpoint_id) or {}
            if status.get("endpoint", {}).get("state") == admission.AdmissionState.WARM:
                return
            await asyncio.sleep(POLL_SECONDS)
        self.fail(f"{endpoint_id} is not warm within {HANG_SECONDS} s")

    async def wait_for_dispatcher(
        self,
        service: str,
        accept: collections.abc.Callable[[str], bool] = lambda dispatcher: True,
    ) -> str:
        """Wait until all entries use the same accepted dispatcher of a service; return its id."""
        deadline = time.monotonic() + HANG_SECONDS
        while time.monotonic() < deadline:
            found = await asyncio.gather(
                *(
                    self.fleet.dispatcher_at(entry, service)
                    for entry in self.fleet.entry_names()
                    if self.fleet.is_running(entry)
                )
            )
            if len(set(found)) == 1 and found[0] and accept(found[0]):
                return found[0]
            await asyncio.sleep(POLL_SECONDS)
        raise AssertionError(f"no such dispatcher of {service} within {HANG_SECONDS} s")

    def endpoints_of(self, *services: str, zone: str = "") -> list[str]:
        """Return the ids of the endpoints of the services, in one zone or in all."""
        return [
            item.id
            for item in self.fleet.plan.endpoints
            if item.service in services and zone in ("", item.availability_zone)
        ]

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
