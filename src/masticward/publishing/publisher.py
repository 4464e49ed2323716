"""Publishes a configuration: immutable shards first, then the manifest that names them."""

import asyncio
import time

import msgspec
from returns import result

from masticward import errors
from masticward.coordination import configuration_reader
from masticward.models import configuration as configuration_models
from masticward.models import objects
from masticward.publishing import change, differences
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
        current, published = read.unwrap()
        lines = differences.describe(published, wanted)
        if not lines and published is not None:
            return result.Success(change.Accepted(version=published.version, changed=False))
        try:
            contents = shards.split(wanted.teams)
        except ValueError as error:
            return result.Failure(errors.ChangeRefusedError(str(error)))
        new_names = [name for name in contents if name not in current.document.team_shards]
        written = await self.write_shards({name: contents[name] for name in new_names}, deadline)
        if isinstance(written, result.Failure):
            return result.Failure(written.failure())
        manifest = self.next_manifest(current.document, wanted, tuple(contents), lines)
        return await change.Change(
            self.store, objects.MANIFEST, EMPTY_MANIFEST, manifest, current.stored_version
        ).commit(deadline)

    def next_manifest(
        self,
        current: configuration_models.Manifest,
        wanted: configuration_models.Configuration,
        team_shards: tuple[str, ...],
        lines: list[str],
    ) -> configuration_models.Manifest:
        """Return the manifest that follows ``current``, with the audit entry of the change."""
        entry = change.new_entry(self.operator, ACTION, current.version, differences.shorten(lines))
        return msgspec.structs.replace(
            current,
            version=entry.to_version,
            availability_zones=wanted.availability_zones,
            services=wanted.services,
            team_shards=team_shards,
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
    """Write one shard and make sure that the object holds exactly its content.

    A damaged object of the same name is replaced. Shards have no effect before a manifest names
    them, so every failure is ChangeNotMadeError.
    """
    object_name = objects.shard_name(name)
    expected_version = 0
    while True:
        answer = await store.put(
            object_name, content, expected_version, change.call_deadline(deadline)
        )
        if isinstance(answer, result.Success):
            return result.Success(None)
        error = answer.failure()
        if isinstance(error, errors.VersionConflictError):
            stored = await store.get(object_name, change.call_deadline(deadline))
            if isinstance(stored, result.Success):
                if stored.unwrap().value == content:
                    return result.Success(None)
                expected_version = stored.unwrap().version
            else:
                expected_version = 0
        elif not isinstance(error, errors.StoreAnswerLostError):
            return result.Failure(errors.ChangeNotMadeError(str(error)))
        if time.monotonic() + change.RETRY_SECONDS >= deadline:
            return result.Failure(errors.ChangeNotMadeError(str(error)))
        await asyncio.sleep(change.RETRY_SECONDS)


async def read_published(
    store: object_api.ObjectStore, deadline: float
) -> result.Result[
    tuple[
        change.Current[configuration_models.Manifest],
        configuration_models.Configuration | None,
    ],
    errors.PublishingError,
]:
    """Read the manifest and its whole configuration (None if there is none yet)."""
    read = await change.read_current(store, objects.MANIFEST, EMPTY_MANIFEST, deadline)
    if isinstance(read, result.Failure):
        return result.Failure(read.failure())
    current = read.unwrap()
    if current.stored_version == 0:
        return result.Success((current, None))
    reader = configuration_reader.ConfigurationReader(store)
    assembled = await reader.assemble(current.document, deadline)
    if isinstance(assembled, result.Failure):
        return result.Failure(errors.ChangeNotMadeError(str(assembled.failure())))
    return result.Success((current, assembled.unwrap()))
