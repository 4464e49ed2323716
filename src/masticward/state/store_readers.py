"""Which gateways of a large fleet read the store and relay its changes to the others."""

import collections.abc

import msgspec

from masticward.utils import identifiers

# In fleets of up to this many gateways, each one reads the store itself.
MAX_INDEPENDENT_GATEWAYS = 8
# Number of readers in larger fleets. Each relays all changes, so that one can be lost at any time.
READER_COUNT = 3
# A gateway whose calls to the store failed is not chosen again for this long.
FAILED_READER_SECONDS = 5.0


class Candidate(msgspec.Struct, frozen=True):
    """A live gateway; ``reaches_store`` is False if its latest calls to the store failed."""

    instance_id: str
    availability_zone: str
    reaches_store: bool


def choose_readers(candidates: collections.abc.Iterable[Candidate]) -> frozenset[str]:
    """Return the IDs of the gateways that read the store, by rendezvous hashing.

    Gateways that reach the store come first. Readers are in different availability zones as far
    as possible.
    """
    ranked = sorted(
        candidates,
        key=lambda item: (
            not item.reaches_store,
            identifiers.stable_hash("store reader", item.instance_id),
        ),
    )
    if len(ranked) <= READER_COUNT:
        return frozenset(item.instance_id for item in ranked)
    chosen: list[Candidate] = []
    for item in ranked:
        zones = {reader.availability_zone for reader in chosen}
        if item.reaches_store and item.availability_zone not in zones:
            chosen.append(item)
    # Fills up with the next ones if there are fewer zones than readers.
    chosen += [item for item in ranked if item not in chosen]
    return frozenset(item.instance_id for item in chosen[:READER_COUNT])
