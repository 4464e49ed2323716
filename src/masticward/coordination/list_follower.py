"""Polls the instance list."""

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

LOGGER = logs.get_logger(__name__)


class ListFollower:
    """Reads the instance list periodically and passes the result to ``apply_list``.

    The result is None if the read failed or the list has not changed.
    """

    __slots__ = ("apply_list", "available", "instance_list", "latest_list", "platform_settings")

    def __init__(
        self,
        instance_list: instance_list_module.InstanceList,
        platform_settings: settings_module.PlatformSettings,
        apply_list: ApplyList,
    ) -> None:
        self.instance_list = instance_list
        self.platform_settings = platform_settings
        self.apply_list = apply_list
        self.available = True
        self.latest_list: list[membership.Instance] = []

    async def poll(self) -> None:
        """Read the instance list once per configured period, without end."""
        while True:
            await asyncio.sleep(
                background.jittered(self.platform_settings.instance_list_period_seconds)
            )
            await self.read()

    async def read(self) -> None:
        """Read the instance list. The previous list stays in force if the read fails."""
        deadline = clocks.deadline_after(self.platform_settings.call_timeout_seconds)
        answer = await self.instance_list.fetch(deadline)
        available = isinstance(answer, result.Success)
        if available != self.available:
            self.available = available
            event = events.Event.INSTANCE_LIST_RESTORED
            if not available:
                event = events.Event.INSTANCE_LIST_UNAVAILABLE
            LOGGER.log(event, detail="" if available else str(answer.failure()))
        listed = answer.unwrap() if available else None
        if listed is self.latest_list:
            listed = None
        await self.apply_list(listed)
        if listed is not None:
            self.latest_list = listed
