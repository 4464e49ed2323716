"""Set-up that every program does before its first event loop."""

import asyncio
import collections.abc
import os
import typing


def disable_io_uring() -> None:
    """Keep uvloop from opening io_uring descriptors; must run before the first loop."""
    os.environ["UV_USE_IO_URING"] = "0"


def run(main: collections.abc.Coroutine[typing.Any, typing.Any, int]) -> int:
    """Run a program's main coroutine on uvloop and return its exit code."""
    disable_io_uring()
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)
