"""Background loops that restart after unexpected errors, and jitter for their periods."""

import asyncio
import collections.abc
import random

from masticward import events, logs

RESTART_DELAY_SECONDS = 0.5
JITTER_FRACTION = 0.25

LOGGER = logs.get_logger(__name__)


async def run_with_restarts(
    loop: collections.abc.Callable[[], collections.abc.Awaitable[None]], name: str
) -> None:
    """Run a background loop, and restart it when it ends or raises an unexpected error.

    Without the restart, a process could keep outdated versions with no sign of the fault.
    """
    while True:
        try:
            await loop()
        except Exception as error:
            LOGGER.log(events.Event.TASK_FAILED, task=name, error=repr(error))
        await asyncio.sleep(jittered(RESTART_DELAY_SECONDS))


def jittered(seconds: float) -> float:
    """Return a random duration around ``seconds``, so that processes do not act in step."""
    return seconds * random.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
