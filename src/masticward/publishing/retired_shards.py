"""Deletes shards that no manifest has named for a while.

A publisher writes every shard that the current manifest does not name, even if the object exists,
which gives it a new version. A deletion is conditional on the version at the time of retirement, so
it cannot remove a shard that a publisher at work has written again.
"""

import asyncio

from returns import result

from masticward import errors
from masticward.models import configuration as configuration_models
from masticward.models import objects
from masticward.publishing import change
from masticward.transport import object_api

# A reader of an older manifest may still fetch its shards; 4,100 changes per day make 17 minutes.
KEPT_VERSIONS = 50
# Bounds the manifest: each retired shard takes about 90 bytes of it.
MAXIMUM_RETIRED = 500
CONCURRENT_DELETIONS = 8


def split_due(
    manifest: configuration_models.Manifest,
) -> tuple[list[configuration_models.RetiredShard], list[configuration_models.RetiredShard]]:
    """Return the retired shards to delete now and those to keep, the oldest first."""
    ordered = sorted(manifest.retired, key=lambda shard: shard.version)
    excess = max(0, len(ordered) - MAXIMUM_RETIRED)
    due = [
        shard
        for index, shard in enumerate(ordered)
        if index < excess or shard.version <= manifest.version - KEPT_VERSIONS
    ]
    return due, ordered[len(due) :]


async def delete_due(
    store: object_api.ObjectStore, manifest: configuration_models.Manifest, deadline: float
) -> list[configuration_models.RetiredShard]:
    """Delete the shards that are due and return those that stay retired.

    A failed deletion is left to the next publication.
    """
    due, kept = split_due(manifest)
    limit = asyncio.Semaphore(CONCURRENT_DELETIONS)

    async def is_gone(shard: configuration_models.RetiredShard) -> bool:
        async with limit:
            answer = await store.delete(
                objects.team_shard_object_name(shard.name),
                shard.stored_version,
                change.call_deadline(deadline),
            )
        # A conflict means that it is gone or has been written again.
        return isinstance(answer, result.Success) or isinstance(
            answer.failure(), errors.VersionConflictError | errors.ObjectNotFoundError
        )

    gone = await asyncio.gather(*(is_gone(shard) for shard in due))
    failed = [shard for shard, done in zip(due, gone, strict=True) if not done]
    return failed + kept


def newly_retired(
    manifest: configuration_models.Manifest,
    next_shards: tuple[str, ...],
    stored_versions: dict[str, int],
) -> list[configuration_models.RetiredShard]:
    """Return the shards that the next manifest no longer names."""
    return [
        configuration_models.RetiredShard(
            name=name,
            version=manifest.version + 1,
            stored_version=stored_versions[objects.team_shard_object_name(name)],
        )
        for name in manifest.team_shards
        if name not in next_shards and objects.team_shard_object_name(name) in stored_versions
    ]
