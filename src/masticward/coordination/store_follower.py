"""Reads of the object API: watches of entries, and rare reads of all other processes."""

import asyncio
import time

from returns import result

from masticward import errors, events, logs
from masticward.coordination import background, configuration_reader, fleet_view, version_keeper
from masticward.models import membership, objects
from masticward.transport import object_api
from masticward.utils import clocks

# Each pending watch counts as one call of the object API.
WATCH_SECONDS = 10.0
WATCH_RETRY_SECONDS = 0.5
# While the object API is down, all entries together try this often, whatever the fleet's size.
WATCH_RETRIES_PER_SECOND_OF_FLEET = 100.0
FALLBACK_SECONDS = 10.0
# Bounds what all processes without a watch read together, whatever the size of the fleet.
FALLBACK_READS_PER_SECOND_OF_FLEET = 20.0

logger = logs.get_logger(__name__)


class StoreFollower:
    """Passes what the object API holds to the process's version keeper."""

    __slots__ = ("available", "call_timeout_seconds", "keeper", "store", "view")

    def __init__(
        self,
        store: object_api.ObjectStore,
        keeper: version_keeper.VersionKeeper,
        view: fleet_view.FleetView,
        call_timeout_seconds: float,
    ) -> None:
        self.store = store
        self.keeper = keeper
        self.view = view
        self.call_timeout_seconds = call_timeout_seconds
        self.available = True

    async def watch(self, name: str) -> None:
        """Follow one object; a peer may still bring a version earlier."""
        known_version = 0
        while True:
            deadline = clocks.deadline_after(WATCH_SECONDS)
            answer = await self.store.watch(name, known_version, deadline)
            self.note_store(answer)
            if isinstance(answer, result.Failure):
                await asyncio.sleep(background.jittered(self.watch_retry_seconds()))
                continue
            stored = answer.unwrap()
            if stored is None:
                continue
            if await self.take_stored(stored):
                known_version = stored.version
            else:
                await asyncio.sleep(background.jittered(self.watch_retry_seconds()))

    def watch_retry_seconds(self) -> float:
        """Return the time between two tries of a watch that fails."""
        entries = sum(1 for item in self.view.members() if item.role is membership.Role.ENTRY)
        return max(WATCH_RETRY_SECONDS, entries / WATCH_RETRIES_PER_SECOND_OF_FLEET)

    async def read_rarely(self) -> None:
        """Read the object API at a period that grows with the fleet, in case all peers are old."""
        while True:
            members = len(self.view.members())
            period = max(FALLBACK_SECONDS, members / FALLBACK_READS_PER_SECOND_OF_FLEET)
            if (
                time.monotonic() >= self.view.fresh_until()
                or not self.keeper.versions.config_version
            ):
                period = FALLBACK_SECONDS
            await asyncio.sleep(background.jittered(period))
            await self.read()

    async def read(self) -> None:
        """Read both objects once."""
        deadline = clocks.deadline_after(self.call_timeout_seconds)
        names = (objects.MANIFEST, objects.OPERATIONS)
        answers = await asyncio.gather(*(self.store.get(name, deadline) for name in names))
        for answer in answers:
            self.note_store(answer)
            if isinstance(answer, result.Success):
                await self.take_stored(answer.unwrap())

    async def take_stored(self, stored: object_api.StoredObject) -> bool:
        """Take a value from the object API; False if it must be read again."""
        if stored.name == objects.OPERATIONS:
            self.keeper.take(version_keeper.OPERATIONS, stored.value, "object API")
            return True
        decoded = configuration_reader.decode_manifest(stored.value)
        if isinstance(decoded, result.Failure):
            logger.log(events.Event.VERSION_REFUSED, reason=str(decoded.failure()))
            return True
        manifest = decoded.unwrap()
        if manifest.version <= self.keeper.versions.config_version:
            return True
        deadline = clocks.deadline_after(self.call_timeout_seconds)
        assembled = await self.keeper.reader.assemble(manifest, deadline)
        if isinstance(assembled, result.Failure):
            error = assembled.failure()
            if isinstance(error, errors.VersionRefusedError):
                logger.log(events.Event.VERSION_REFUSED, reason=str(error))
            return False
        self.keeper.take_configuration(assembled.unwrap(), "object API")
        return True

    def note_store(self, answer: result.Result[object, errors.StoreError]) -> None:
        """Log when the object API becomes unavailable and when it is back."""
        available = isinstance(answer, result.Success) or isinstance(
            answer.failure(), errors.ObjectNotFoundError
        )
        if available != self.available:
            self.available = available
            if available:
                logger.log(events.Event.OBJECT_API_RESTORED)
            else:
                logger.log(events.Event.OBJECT_API_UNAVAILABLE, detail=str(answer.failure()))
