"""Reads a configuration from the object API: the manifest, then its shards."""

import asyncio

import msgspec
from returns import result

from masticward import errors
from masticward.models import configuration as configuration_models
from masticward.models import objects
from masticward.state import shards
from masticward.transport import object_api

CONCURRENT_SHARD_READS = 8


class ConfigurationReader:
    """Keeps the shards of the latest configuration, so that only changed ones are read."""

    __slots__ = ("known_shards", "store")

    def __init__(self, store: object_api.ObjectStore) -> None:
        self.store = store
        self.known_shards: dict[str, bytes] = {}

    async def assemble(
        self, manifest: configuration_models.Manifest, deadline: float
    ) -> result.Result[configuration_models.Configuration, errors.MasticwardError]:
        """Return the configuration of a manifest before a monotonic deadline.

        StoreError if a shard cannot be read, VersionRefusedError if one is damaged.
        """
        limit = asyncio.Semaphore(CONCURRENT_SHARD_READS)

        async def read(name: str) -> result.Result[bytes, errors.StoreError]:
            if name in self.known_shards:
                return result.Success(self.known_shards[name])
            async with limit:
                answer = await self.store.get(objects.shard_name(name), deadline)
            return answer.map(lambda stored: stored.value)

        answers = await asyncio.gather(*(read(name) for name in manifest.team_shards))
        contents: dict[str, bytes] = {}
        for name, answer in zip(manifest.team_shards, answers, strict=True):
            if isinstance(answer, result.Failure):
                return result.Failure(answer.failure())
            contents[name] = answer.unwrap()
        try:
            joined = shards.join(manifest, contents)
        except (ValueError, msgspec.DecodeError) as error:
            return result.Failure(errors.VersionRefusedError(f"shard: {error}"))
        self.known_shards = contents
        return result.Success(joined)


def decode_manifest(
    raw: bytes,
) -> result.Result[configuration_models.Manifest, errors.VersionRefusedError]:
    """Decode a manifest."""
    try:
        return result.Success(msgspec.json.decode(raw, type=configuration_models.Manifest))
    except msgspec.DecodeError as error:
        return result.Failure(errors.VersionRefusedError(f"manifest: {error}"))
