"""Publishes a configuration: immutable shards first, then the manifest that names them."""

import asyncio
import time

import msgspec
from returns import result

from masticward import errors
from masticward.coordination import configuration_reader
from masticward.models import configuration as configuration_models
from masticward.models import objects
from masticward.publishing import change, differences, retired_shards
from masticward.state import shards
from masticward.transport import object_api

ACTION = "publish"
CONCURRENT_SHARD_WRITES = 8
EMPTY_MANIFEST = configuration_models.Manifest(
    version=0, availability_zones=(), services=(), team_shards=()
)


class Publisher:
    """Publishes for one operator. Nothing is kept between calls."""

    __slots__ = ("operator", "store")

    def __init__(self, store: object_api.ObjectStore, operator: str) -> None:
        self.store = store
        self.operator = operator

    async def publish(
        self, wanted: configuration_models.Configuration, deadline: float
    ) -> result.Result[change.Accepted, errors.PublishingError]:
        """Make ``wanted`` the configuration, whatever its version field, by a monotonic deadline.

        The errors are those of ``change.Change.commit``.
        """
        read = await read_published(self.store, deadline)
        if isinstance(read, result.Failure):
            return result.Failure(read.failure())
        published = read.unwrap()
        lines = differences.describe(published.configuration, wanted)
        if not lines and published.configuration is not None:
            version = published.configuration.version
            return result.Success(change.Accepted(version=version, changed=False))
        try:
            contents = shards.split(wanted.teams)
        except ValueError as error:
            return result.Failure(errors.ChangeRefusedError(str(error)))
        current = published.manifest
        new_names = [name for name in contents if name not in current.team_shards]
        written = await self.write_shards({name: contents[name] for name in new_names}, deadline)
        if isinstance(written, result.Failure):
            return result.Failure(written.failure())
        kept = await retired_shards.delete_due(self.store, current, deadline)
        team_shards = tuple(contents)
        retired = retired_shards.newly_retired(current, team_shards, published.shard_versions)
        manifest = msgspec.structs.replace(
            self.next_manifest(current, wanted, lines),
            team_shards=team_shards,
            retired=tuple(item for item in (*kept, *retired) if item.name not in contents),
        )
        return await change.Change(
            self.store, objects.MANIFEST, EMPTY_MANIFEST, manifest, published.stored_version
        ).commit(deadline)

    def next_manifest(
        self,
        current: configuration_models.Manifest,
        wanted: configuration_models.Configuration,
        lines: list[str],
    ) -> configuration_models.Manifest:
        """Return the manifest that follows ``current``, with the audit entry of the change."""
        entry = change.new_entry(self.operator, ACTION, current.version, differences.shorten(lines))
        return msgspec.structs.replace(
            current,
            version=entry.to_version,
            availability_zones=wanted.availability_zones,
            services=wanted.services,
            audit=(*current.audit, entry),
        )

    async def write_shards(
        self, contents: dict[str, bytes], deadline: float
    ) -> result.Result[None, errors.PublishingError]:
        """Write shards that the current manifest does not name."""
        limit = asyncio.Semaphore(CONCURRENT_SHARD_WRITES)

        async def write(name: str) -> result.Result[None, errors.PublishingError]:
            async with limit:
                return await write_shard(self.store, name, contents[name], deadline)

        for answer in await asyncio.gather(*(write(name) for name in contents)):
            if isinstance(answer, result.Failure):
                return answer
        return result.Success(None)


async def write_shard(
    store: object_api.ObjectStore, name: str, content: bytes, deadline: float
) -> result.Result[None, errors.PublishingError]:
    """Write one shard, also if the object exists, so that no deletion under way removes it.

    Shards have no effect before a manifest names them, so every failure is ChangeNotMadeError.
    """
    expected_version = 0
    while True:
        answer = await store.put(
            objects.team_shard_object_name(name),
            content,
            expected_version,
            change.call_deadline(deadline),
        )
        if isinstance(answer, result.Success):
            return result.Success(None)
        error = answer.failure()
        if isinstance(error, errors.VersionConflictError):
            expected_version = error.current_version
        elif not isinstance(error, errors.StoreAnswerLostError):
            return result.Failure(errors.ChangeNotMadeError(str(error)))
        if time.monotonic() + change.RETRY_SECONDS >= deadline:
            return result.Failure(errors.ChangeNotMadeError(str(error)))
        await asyncio.sleep(change.RETRY_SECONDS)


class Published(msgspec.Struct, frozen=True):
    """What is published: the manifest, the object's version (0: none) and the configuration.

    ``shard_versions`` holds the versions of the shard objects by object name.
    """

    manifest: configuration_models.Manifest
    stored_version: int
    configuration: configuration_models.Configuration | None
    shard_versions: dict[str, int]


async def read_published(
    store: object_api.ObjectStore, deadline: float
) -> result.Result[Published, errors.PublishingError]:
    """Read the manifest and its whole configuration (None if there is none yet)."""
    read = await change.read_current(store, objects.MANIFEST, EMPTY_MANIFEST, deadline)
    if isinstance(read, result.Failure):
        return result.Failure(read.failure())
    current = read.unwrap()
    if current.stored_version == 0:
        return result.Success(Published(current.document, 0, None, {}))
    reader = configuration_reader.ConfigurationReader(store)
    assembled = await reader.assemble(current.document, deadline)
    if isinstance(assembled, result.Failure):
        return result.Failure(errors.ChangeNotMadeError(str(assembled.failure())))
    return result.Success(
        Published(
            current.document, current.stored_version, assembled.unwrap(), reader.stored_versions
        )
    )
