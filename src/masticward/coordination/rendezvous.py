"""Choice of a service's dispatcher by rendezvous hashing."""

import collections.abc

from masticward.models import membership
from masticward.utils import identifiers


def rank(
    service: str, agents: collections.abc.Iterable[membership.Instance]
) -> list[membership.Instance]:
    """Return the agents ordered as dispatcher candidates, the preferred one first.

    The relative order of the other agents does not change when an agent joins or leaves.
    """
    return sorted(
        agents,
        key=lambda agent: (identifiers.stable_hash(service, agent.id), agent.id),
        reverse=True,
    )
