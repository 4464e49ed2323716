"""Keeps an agent's slots filled, as a dispatcher with a backlog would."""

import asyncio
import collections
import collections.abc
import time

from masticward.coordination import endpoint_runner
from masticward.models import attempts
from tests.lib import agent_harness

OFFER_PERIOD_SECONDS = 0.02


class LoadDriver:
    """Uses every slot that the agent offers until it is stopped."""

    def __init__(
        self,
        harness: agent_harness.Harness,
        make_body: collections.abc.Callable[[], bytes] = agent_harness.generate_body,
        hop_seconds: float = 0.0,
    ) -> None:
        self.harness = harness
        self.make_body = make_body
        self.hop_seconds = hop_seconds
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.tasks: set[asyncio.Task[None]] = set()
        self.offers: asyncio.Task[None] | None = None

    def start(self) -> None:
        runner = self.harness.runner
        self.offers = asyncio.get_running_loop().create_task(self.offer(runner))

    async def stop(self) -> None:
        """Take no more offers and wait for what was sent."""
        assert self.offers is not None
        self.offers.cancel()
        await asyncio.gather(*self.tasks)

    async def offer(self, runner: endpoint_runner.EndpointRunner) -> None:
        while True:
            for slot_id in runner.issue_slots().slot_ids:
                task = asyncio.get_running_loop().create_task(self.use(slot_id))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            runner.changed.clear()
            try:
                await asyncio.wait_for(runner.changed.wait(), OFFER_PERIOD_SECONDS)
            except TimeoutError:
                continue

    async def use(self, slot_id: int) -> None:
        await asyncio.sleep(self.hop_seconds)
        call = agent_harness.call_request(body=self.make_body())
        events = await self.harness.run(self.harness.attempt(call=call, slot_id=slot_id))
        last = events[-1]
        if isinstance(last, attempts.Refused):
            self.outcomes[last.reason.value] += 1
        else:
            self.outcomes[type(last).__name__] += 1


async def busy_share(harness: agent_harness.Harness, limit: int, seconds: float) -> float:
    """Return the share of slot time in which a call was at the endpoint."""
    counter = harness.runner.metrics.busy_slot_seconds

    def busy() -> float:
        now = time.monotonic()
        ended = counter._value.get()
        return ended + sum(now - (run.started_at or now) for run in harness.runner.running.values())

    began_at, began_busy = time.monotonic(), busy()
    await asyncio.sleep(seconds)
    return (busy() - began_busy) / (limit * (time.monotonic() - began_at))
