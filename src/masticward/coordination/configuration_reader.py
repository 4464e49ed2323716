"""Assembles a configuration from a manifest and shards, from the object API or from a peer."""

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
    """Caches the parts of the latest configuration, so that only changed shards are transferred."""

    __slots__ = ("cached_shards", "cached_teams", "manifest", "store", "stored_versions", "version")

    def __init__(self, store: object_api.ObjectStore) -> None:
        self.store = store
        self.cached_shards: dict[str, bytes] = {}
        self.cached_teams: dict[str, tuple[configuration_models.Team, ...]] = {}
        # Versions of the shards in the object API, by object name.
        self.stored_versions: dict[str, int] = {}
        self.manifest = b""
        self.version = 0

    async def assemble(
        self, manifest: configuration_models.Manifest, deadline: float
    ) -> result.Result[configuration_models.Configuration, errors.MasticwardError]:
        """Read the missing shards of a manifest and return the configuration.

        ``deadline`` is a monotonic time in seconds. Fails with a StoreError if a shard cannot be
        read, with a VersionRefusedError if one is damaged.
        """
        semaphore = asyncio.Semaphore(CONCURRENT_SHARD_READS)

        def record_version(stored: object_api.StoredObject) -> bytes:
            self.stored_versions[stored.name] = stored.version
            return stored.value

        async def read(name: str) -> result.Result[bytes, errors.StoreError]:
            if name in self.cached_shards:
                return result.Success(self.cached_shards[name])
            async with semaphore:
                answer = await self.store.get(objects.team_shard_object_name(name), deadline)
            return answer.map(record_version)

        answers = await asyncio.gather(*(read(name) for name in manifest.team_shards))
        contents: dict[str, bytes] = {}
        for name, answer in zip(manifest.team_shards, answers, strict=True):
            if isinstance(answer, result.Failure):
                return result.Failure(answer.failure())
            contents[name] = answer.unwrap()
        return self.join(manifest, contents)

    def assemble_received(
        self, raw_manifest: bytes, received: dict[str, bytes]
    ) -> result.Result[configuration_models.Configuration, errors.VersionRefusedError]:
        """Return the configuration from a peer's encoded manifest and the shards that it sent.

        Fails with a VersionRefusedError if the manifest is invalid, or if a shard is damaged or
        neither received nor cached.
        """
        decoded = decode_manifest(raw_manifest)
        if isinstance(decoded, result.Failure):
            return result.Failure(decoded.failure())
        manifest = decoded.unwrap()
        available = {**received, **self.cached_shards}
        missing = [name for name in manifest.team_shards if name not in available]
        if missing:
            return result.Failure(errors.VersionRefusedError(f"{len(missing)} shards are missing"))
        return self.join(manifest, {name: available[name] for name in manifest.team_shards})

    def join(
        self, manifest: configuration_models.Manifest, contents: dict[str, bytes]
    ) -> result.Result[configuration_models.Configuration, errors.VersionRefusedError]:
        """Return the configuration, and cache its parts for the next one and for peers.

        Fails with a VersionRefusedError if a shard is damaged.
        """
        try:
            # Only changed shards are decoded: decoding all shards of 31,000 teams blocked the event
            # loop for 60 ms.
            teams = {
                name: self.cached_teams.get(name) or shards.decode(name, content)
                for name, content in contents.items()
            }
        except (ValueError, msgspec.DecodeError) as error:
            return result.Failure(errors.VersionRefusedError(f"shard: {error}"))
        self.cached_shards, self.cached_teams = contents, teams
        names = {objects.team_shard_object_name(name) for name in contents}
        self.stored_versions = {
            name: version for name, version in self.stored_versions.items() if name in names
        }
        self.version = manifest.version
        # Peers do not need the audit entries, which would be most of the bytes of a small change.
        self.manifest = msgspec.json.encode(
            msgspec.structs.replace(manifest, retired=(), audit=(), audit_rolled=0)
        )
        return result.Success(shards.join(manifest, teams))


def decode_manifest(
    raw: bytes,
) -> result.Result[configuration_models.Manifest, errors.VersionRefusedError]:
    """Decode a JSON manifest. Fails with a VersionRefusedError if it is invalid."""
    try:
        return result.Success(msgspec.json.decode(raw, type=configuration_models.Manifest))
    except msgspec.DecodeError as error:
        return result.Failure(errors.VersionRefusedError(f"manifest: {error}"))
