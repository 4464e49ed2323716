"""Chooses the endpoints that get requests during and after a rollout, and who writes its status."""

from masticward.models import gateway
from masticward.state import rollout as rollout_module
from masticward.utils import identifiers


def choose_canaries(
    rollout: rollout_module.Rollout, new: list[gateway.Endpoint], count: int, now: float
) -> list[gateway.Endpoint]:
    """Return the endpoints of the new version that get requests in the present phase."""
    warm = [item for item in new if item.cold_until <= now]
    ranked = sorted(warm or new, key=lambda item: identifiers.stable_hash(item.id))
    if not ranked:
        return []
    first = int((now - rollout.started_at) / rollout.phase_seconds()) * count % len(ranked)
    return (ranked[first:] + ranked[:first])[:count]


def select_completed(
    rollout: rollout_module.Rollout, endpoints: list[gateway.Endpoint]
) -> list[gateway.Endpoint]:
    """Return the endpoints that get requests after an order was completed.

    The old ones get none. Endpoints of a third version have replaced the target's since, if those
    are gone.
    """
    target, old = rollout.order.target, rollout.old_incarnations
    selected = [item for item in endpoints if item.version == target]
    if not selected:
        selected = [item for item in endpoints if item.incarnation not in old]
    return selected


def writer_rank(service: str, instance_id: str, live_ids: list[str]) -> int:
    """Return how many of the live gateways go before one in writing an order's status."""
    own = identifiers.stable_hash(service, instance_id)
    return sum(identifiers.stable_hash(service, item) > own for item in live_ids)


def chooses_writer(service: str, instance_id: str, live_ids: list[str]) -> bool:
    """Return whether a gateway ranks first among the live ones for an order's status."""
    return writer_rank(service, instance_id, live_ids) == 0
