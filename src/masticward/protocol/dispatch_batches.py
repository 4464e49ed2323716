"""Batching of dispatch session messages: those ready at the same time share one gRPC message."""

import asyncio
import collections.abc
import typing

# A larger batch saves little more, and all of it is lost if the session breaks.
MAXIMUM_BATCH_MESSAGES = 64

Item = typing.TypeVar("Item")


async def take_ready(outbox: asyncio.Queue[Item]) -> list[Item]:
    """Wait for an item and return it with those queued behind it, in order."""
    items = [await outbox.get()]
    while len(items) < MAXIMUM_BATCH_MESSAGES and not outbox.empty():
        items.append(outbox.get_nowait())
    return items


def join(items: list[typing.Any]) -> typing.Any:
    """Return one message of the items' type that contains all of them."""
    return items[0] if len(items) == 1 else type(items[0])(batch=items)


def split(message: typing.Any) -> collections.abc.Iterable[typing.Any]:
    """Return the messages that one gRPC message contains, in order."""
    return message.batch or (message,)
