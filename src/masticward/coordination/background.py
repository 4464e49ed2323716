"""Background loops that outlive unexpected failures and do not act at once with others."""

import asyncio
import collections.abc
import random

from masticward import events, logs

LOOP_RESTART_SECONDS = 0.5
JITTER = 0.25

logger = logs.get_logger(__name__)


async def keep_running(
    loop: collections.abc.Callable[[], collections.abc.Awaitable[None]], name: str
) -> None:
    """Run a background loop, and run it again after an unexpected failure.

    A process whose loop has ended would keep old versions without any sign of it.
    """
    while True:
        try:
            await loop()
        except Exception as error:
            logger.log(events.Event.TASK_FAILED, task=name, error=repr(error))
        await asyncio.sleep(jittered(LOOP_RESTART_SECONDS))


def jittered(seconds: float) -> float:
    """Return a random time within JITTER of ``seconds``, so that processes do not act at once."""
    return seconds * random.uniform(1 - JITTER, 1 + JITTER)
