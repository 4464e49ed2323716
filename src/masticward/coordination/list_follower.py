"""Periodic reads of the instance list."""

import asyncio
import collections.abc

from returns import result

from masticward import events, logs
from masticward import settings as settings_module
from masticward.coordination import background
from masticward.models import membership
from masticward.transport import instance_list as instance_list_module
from masticward.utils import clocks

ApplyList = collections.abc.Callable[
    [list[membership.Instance] | None], collections.abc.Awaitable[None]
]

logger = logs.get_logger(__name__)


class ListFollower:
    """Passes each list that was read to ``apply``, or None if there is no other one than before."""

    __slots__ = ("apply", "available", "instance_list", "latest", "platform")

    def __init__(
        self,
        instance_list: instance_list_module.InstanceList,
        platform: settings_module.PlatformSettings,
        apply: ApplyList,
    ) -> None:
        self.instance_list = instance_list
        self.platform = platform
        self.apply = apply
        self.available = True
        self.latest: list[membership.Instance] = []

    async def poll(self) -> None:
        """Read the instance list once per period."""
        while True:
            await asyncio.sleep(background.jittered(self.platform.instance_list_period_seconds))
            await self.read()

    async def read(self) -> None:
        """Read the instance list; the last one is kept if that fails."""
        deadline = clocks.deadline_after(self.platform.call_timeout_seconds)
        answer = await self.instance_list.fetch(deadline)
        available = isinstance(answer, result.Success)
        if available != self.available:
            self.available = available
            event = events.Event.INSTANCE_LIST_RESTORED
            if not available:
                event = events.Event.INSTANCE_LIST_UNAVAILABLE
            logger.log(event, detail="" if available else str(answer.failure()))
        listed = answer.unwrap() if available else None
        if listed is self.latest:
            listed = None
        await self.apply(listed)
        if listed is not None:
            self.latest = listed
