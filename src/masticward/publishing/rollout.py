"""Waits until a change is in force in every listed process."""

import asyncio
import time

import msgspec
from returns import result

from masticward.models import membership
from masticward.publishing import change
from masticward.transport import admin_client
from masticward.transport import instance_list as instance_list_module

POLL_SECONDS = 0.25


class Status(msgspec.Struct, frozen=True):
    """What a process's ``/status`` says about its versions."""

    config_version: int = 0
    operations_version: int = 0


class Rollout(msgspec.Struct, frozen=True):
    """Which processes have the wanted versions, and why the others are not known to."""

    in_force: tuple[str, ...]
    missing: dict[str, str]

    @property
    def complete(self) -> bool:
        """Tell whether the change is in force in every process, of which there is one at least."""
        return bool(self.in_force) and not self.missing


async def wait_in_force(
    instance_list: instance_list_module.InstanceList,
    config_version: int,
    operations_version: int,
    deadline: float,
) -> Rollout:
    """Ask all live listed processes until they have both versions or the deadline passes."""
    async with admin_client.AdminClient() as client:
        while True:
            rollout = await ask_all(
                client, instance_list, config_version, operations_version, deadline
            )
            if rollout.complete or time.monotonic() + POLL_SECONDS >= deadline:
                return rollout
            await asyncio.sleep(POLL_SECONDS)


async def ask_all(
    client: admin_client.AdminClient,
    instance_list: instance_list_module.InstanceList,
    config_version: int,
    operations_version: int,
    deadline: float,
) -> Rollout:
    """Ask all listed processes once."""
    answer = await instance_list.fetch(change.call_deadline(deadline))
    if isinstance(answer, result.Failure):
        return Rollout((), {"instance list": str(answer.failure())})
    # One that is leaving starts nothing new and may be gone before it could answer.
    instances = [instance for instance in answer.unwrap() if not instance.leaving]
    if not instances:
        return Rollout((), {"instance list": "holds no live instance"})
    replies = await asyncio.gather(
        *(
            ask(client, instance, config_version, operations_version, deadline)
            for instance in instances
        )
    )
    reasons = dict(zip((instance.id for instance in instances), replies, strict=True))
    return Rollout(
        tuple(name for name, reason in reasons.items() if not reason),
        {name: reason for name, reason in reasons.items() if reason},
    )


async def ask(
    client: admin_client.AdminClient,
    instance: membership.Instance,
    config_version: int,
    operations_version: int,
    deadline: float,
) -> str:
    """Return why a process is not known to have the versions, an empty string if it has them."""
    answer = await client.get(
        instance.admin_address, "/status", Status, change.call_deadline(deadline)
    )
    if isinstance(answer, result.Failure):
        return str(answer.failure())
    status = answer.unwrap()
    if status.config_version < config_version:
        return f"has configuration {status.config_version}"
    if status.operations_version < operations_version:
        return f"has operations state {status.operations_version}"
    return ""
