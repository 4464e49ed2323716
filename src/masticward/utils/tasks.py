"""Helpers for asyncio tasks."""

import asyncio
import collections.abc
import typing


class TaskGroup:
    """Holds background tasks of one owner and cancels them together."""

    __slots__ = ("tasks",)

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[typing.Any]] = set()

    def spawn(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any], name: str
    ) -> asyncio.Task[typing.Any]:
        """Start a named task and keep it until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in list(self.tasks):
            await cancel_and_wait(task)


async def cancel_and_wait(task: asyncio.Task[typing.Any]) -> None:
    """Cancel a task and wait until it has ended, whatever it raised.

    A cancellation of the caller itself is passed on; awaiting the task directly would hide it.
    """
    task.cancel()
    await asyncio.wait([task])
    if not task.cancelled():
        task.exception()
