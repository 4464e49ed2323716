"""Reads versions from the object API, with watches in entries and periodic reads elsewhere."""

import asyncio
import time

from returns import result

from masticward import errors, events, logs
from masticward.coordination import background, configuration_reader, fleet_view, version_keeper
from masticward.models import membership, objects
from masticward.transport import object_api
from masticward.utils import clocks

# Each pending watch counts as one call to the object API.
WATCH_TIMEOUT_SECONDS = 10.0
MINIMUM_WATCH_RETRY_SECONDS = 0.5
# Limits the retries of all entries together while the object API is unavailable, whatever the
# size of the fleet.
FLEET_WATCH_RETRIES_PER_SECOND = 100.0
MINIMUM_FALLBACK_PERIOD_SECONDS = 10.0
# Limits the reads of all processes without a watch together, whatever the size of the fleet.
FLEET_FALLBACK_READS_PER_SECOND = 20.0

LOGGER = logs.get_logger(__name__)


class StoreFollower:
    """Passes the values stored in the object API to the version keeper of the process."""

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
        """Adopt each new version of one object, unless a peer has sent it earlier."""
        known_version = 0
        while True:
            deadline = clocks.deadline_after(WATCH_TIMEOUT_SECONDS)
            answer = await self.store.watch(name, known_version, deadline)
            self.log_availability(answer)
            if isinstance(answer, result.Failure):
                await asyncio.sleep(background.jittered(self.watch_retry_seconds()))
                continue
            stored = answer.unwrap()
            if stored is None:
                continue
            if await self.adopt_stored(stored):
                known_version = stored.version
            else:
                await asyncio.sleep(background.jittered(self.watch_retry_seconds()))

    def watch_retry_seconds(self) -> float:
        """Return the delay in seconds before a failed watch is retried."""
        entries = sum(1 for item in self.view.members() if item.role is membership.Role.ENTRY)
        return max(MINIMUM_WATCH_RETRY_SECONDS, entries / FLEET_WATCH_RETRIES_PER_SECOND)

    async def run_fallback_reads(self) -> None:
        """Read the object API periodically, in case all peers have outdated versions.

        The period grows with the fleet, but not while the view is stale or has no configuration.
        """
        while True:
            members = len(self.view.members())
            period = max(MINIMUM_FALLBACK_PERIOD_SECONDS, members / FLEET_FALLBACK_READS_PER_SECOND)
            if (
                time.monotonic() >= self.view.fresh_until()
                or not self.keeper.versions.config_version
            ):
                period = MINIMUM_FALLBACK_PERIOD_SECONDS
            await asyncio.sleep(background.jittered(period))
            await self.read()

    async def read(self) -> None:
        """Read the manifest and the operations state once, and adopt newer versions."""
        deadline = clocks.deadline_after(self.call_timeout_seconds)
        names = (objects.MANIFEST, objects.OPERATIONS)
        answers = await asyncio.gather(*(self.store.get(name, deadline) for name in names))
        for answer in answers:
            self.log_availability(answer)
            if isinstance(answer, result.Success):
                await self.adopt_stored(answer.unwrap())

    async def adopt_stored(self, stored: object_api.StoredObject) -> bool:
        """Adopt a stored value if it is newer. Return False if it must be read again."""
        if stored.name == objects.OPERATIONS:
            self.keeper.adopt(version_keeper.OPERATIONS, stored.value, "object API")
            return True
        decoded = configuration_reader.decode_manifest(stored.value)
        if isinstance(decoded, result.Failure):
            LOGGER.log(events.Event.VERSION_REFUSED, reason=str(decoded.failure()))
            return True
        manifest = decoded.unwrap()
        if manifest.version <= self.keeper.versions.config_version:
            return True
        deadline = clocks.deadline_after(self.call_timeout_seconds)
        assembled = await self.keeper.reader.assemble(manifest, deadline)
        if isinstance(assembled, result.Failure):
            error = assembled.failure()
            if isinstance(error, errors.VersionRefusedError):
                LOGGER.log(events.Event.VERSION_REFUSED, reason=str(error))
            return False
        self.keeper.adopt_configuration(assembled.unwrap(), "object API")
        return True

    def log_availability(self, answer: result.Result[object, errors.StoreError]) -> None:
        """Log when the object API becomes unavailable and when it is available again."""
        available = isinstance(answer, result.Success) or isinstance(
            answer.failure(), errors.ObjectNotFoundError
        )
        if available != self.available:
            self.available = available
            if available:
                LOGGER.log(events.Event.OBJECT_API_RESTORED)
            else:
                LOGGER.log(events.Event.OBJECT_API_UNAVAILABLE, detail=str(answer.failure()))
