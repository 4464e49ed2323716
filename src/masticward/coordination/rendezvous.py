"""The choice of a service's dispatcher by rendezvous hashing."""

import collections.abc

from masticward.models import membership
from masticward.utils import identifiers


def rank(
    service: str, agents: collections.abc.Iterable[membership.Instance]
) -> list[membership.Instance]:
    """Return the agents in the order in which they are candidates for dispatcher.

    When an agent joins or leaves, the order of the others stays the same.
    """
    return sorted(
        agents,
        key=lambda agent: (identifiers.stable_hash(service, agent.id), agent.id),
        reverse=True,
    )
