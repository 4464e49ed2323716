"""Reads the instance list and asks the admin ports of the listed processes."""

import asyncio
import typing

from masticward.cli import base
from masticward.models import membership
from masticward.transport import admin_client
from masticward.transport import instance_list as instance_list_module


async def read_instances(
    instance_list: instance_list_module.InstanceList, deadline: float
) -> list[membership.Instance]:
    """Return the listed instances in a stable order. Raises InstanceListError."""
    instances = base.value_or_raise(await instance_list.fetch(deadline))
    return sorted(instances, key=lambda instance: (instance.role, instance.service, instance.id))


async def ask_all(
    instances: list[membership.Instance], path: str, deadline: float
) -> list[dict[str, typing.Any] | None]:
    """Return each process's answer, None for one that did not answer."""
    async with admin_client.AdminClient() as client:
        answers = await asyncio.gather(
            *(
                client.get(instance.admin_address, path, dict[str, typing.Any], deadline)
                for instance in instances
            )
        )
    return [answer.value_or(None) for answer in answers]
