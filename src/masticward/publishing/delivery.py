"""Sends an accepted operations state straight to a few processes, which pass it on.

Processes otherwise learn of a change from the object API, and none does if an outage of it begins
right after the acceptance.
"""

import asyncio
import collections.abc
import random

import msgspec
from returns import result

from masticward import settings as settings_module
from masticward.models import membership
from masticward.protocol import peers
from masticward.publishing import change
from masticward.transport import channels
from masticward.transport import instance_list as instance_list_module
from masticward.utils import clocks

# Several of each role, because some of the listed instances may be gone or cut off.
RECEIVERS_PER_ROLE = 3
DELIVERY_SECONDS = 1.0


class Delivered(msgspec.Struct, frozen=True, kw_only=True):
    """Which processes hold the state now, and why others, or all, do not."""

    adopted: tuple[str, ...] = ()
    failed: dict[str, str] = {}
    not_tried: str = ""

    def lines(self) -> list[str]:
        """Return the lines for people."""
        if self.not_tried:
            return [f"not delivered to any process: {self.not_tried}"]
        total = len(self.adopted) + len(self.failed)
        reasons = [f"  {name}: {reason}" for name, reason in sorted(self.failed.items())]
        return [f"delivered to {len(self.adopted)} of {total} processes", *reasons]


async def deliver(
    accepted: change.Accepted,
    security: settings_module.PeerSecurity | None,
    instance_list: instance_list_module.InstanceList,
    deadline: float,
) -> Delivered:
    """Deliver an accepted operations state to some listed entries and agents.

    Never fails: the change is accepted whether or not a process adopts it here. Nothing is sent
    without ``security``, the authentication between the programs.
    """
    if security is None:
        return Delivered(not_tried="no settings file with the key of the programs was given")
    answer = await instance_list.fetch(min(deadline, clocks.deadline_after(DELIVERY_SECONDS)))
    if isinstance(answer, result.Failure):
        return Delivered(not_tried=f"the instance list could not be read ({answer.failure()})")
    receivers = choose(answer.unwrap(), random.Random())
    if not receivers:
        return Delivered(not_tried="no live instance is listed")
    pool = channels.ChannelPool(channels.PeerTransport(security))
    until = min(deadline, clocks.deadline_after(DELIVERY_SECONDS))
    try:
        replies = await asyncio.gather(
            *(send(pool, instance, accepted, until) for instance in receivers)
        )
    finally:
        await pool.close()
    reasons = dict(zip((instance.id for instance in receivers), replies, strict=True))
    return Delivered(
        adopted=tuple(name for name, reason in reasons.items() if not reason),
        failed={name: reason for name, reason in reasons.items() if reason},
    )


async def send(
    pool: channels.ChannelPool,
    instance: membership.Instance,
    accepted: change.Accepted,
    deadline: float,
) -> str:
    """Deliver to one process; return why it does not hold the state, empty if it does."""
    try:
        answer = await peers.deliver(
            pool, instance.peer_address, accepted.version, accepted.document, deadline
        )
    except OSError as error:
        return f"a TLS file cannot be read: {error}"
    if isinstance(answer, result.Failure):
        return str(answer.failure())
    held = answer.unwrap()
    return "" if held >= accepted.version else f"has operations state {held}"


def choose(
    instances: collections.abc.Iterable[membership.Instance], rng: random.Random
) -> list[membership.Instance]:
    """Return up to RECEIVERS_PER_ROLE live instances of each role, from many zones."""
    live = [instance for instance in instances if not instance.leaving and instance.peer_address]
    # A fixed order would always reach the same instances, also when they do not respond.
    rng.shuffle(live)
    chosen: list[membership.Instance] = []
    for role in membership.Role:
        of_role = [instance for instance in live if instance.role is role]
        seen: dict[str, int] = {}
        ranked = []
        for instance in of_role:
            rank = seen.get(instance.availability_zone, 0)
            seen[instance.availability_zone] = rank + 1
            ranked.append((rank, instance))
        ranked.sort(key=lambda item: item[0])
        chosen += [instance for _, instance in ranked[:RECEIVERS_PER_ROLE]]
    return chosen
