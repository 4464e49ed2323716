"""An object store in memory that fails, conflicts, loses answers and lets writes land late."""

import asyncio
import collections

from returns import result

from masticward import errors
from masticward.transport import object_api

UNAVAILABLE = "unavailable"
LOST_BEFORE = "lost-before-effect"
LOST_AFTER = "lost-after-effect"
LOST_THEN_DOWN = "lost-after-effect-then-unreadable"
LANDS_LATE = "lands-late"
HANGS = "hangs"
WRITE_FAULTS = (UNAVAILABLE, LOST_BEFORE, LOST_AFTER, LOST_THEN_DOWN, LANDS_LATE, HANGS)


class FaultyStore(object_api.ObjectStore):
    """Applies the queued faults to the next writes and reads, one each."""

    def __init__(self) -> None:
        self.objects: dict[str, object_api.StoredObject] = {}
        self.versions = 0
        self.write_faults: collections.deque[str] = collections.deque()
        self.read_faults = 0
        self.down = False
        self.writes = 0
        self.late: list[tuple[str, bytes, int]] = []
        self.released = asyncio.Event()

    async def get(
        self, name: str, deadline: float
    ) -> result.Result[object_api.StoredObject, errors.StoreError]:
        await asyncio.sleep(0)
        if self.down or self.read_faults:
            self.read_faults = max(0, self.read_faults - 1)
            return result.Failure(errors.StoreUnavailableError(name))
        if name not in self.objects:
            return result.Failure(errors.ObjectNotFoundError(name))
        return result.Success(self.objects[name])

    async def put(
        self, name: str, value: bytes, expected_version: int, deadline: float
    ) -> result.Result[int, errors.StoreError]:
        await asyncio.sleep(0)
        fault = self.write_faults.popleft() if self.write_faults else ""
        if self.down or fault == UNAVAILABLE:
            return result.Failure(errors.StoreUnavailableError(name))
        if fault == HANGS:
            await self.released.wait()
        if fault == LANDS_LATE:
            self.late.append((name, value, expected_version))
        if fault in (LOST_BEFORE, LANDS_LATE):
            return result.Failure(errors.StoreAnswerLostError(name))
        written = self.write(name, value, expected_version)
        if fault == LOST_THEN_DOWN:
            self.read_faults = 1
        if fault in (LOST_AFTER, LOST_THEN_DOWN) and isinstance(written, result.Success):
            return result.Failure(errors.StoreAnswerLostError(name))
        return written

    def write(
        self, name: str, value: bytes, expected_version: int
    ) -> result.Result[int, errors.StoreError]:
        current = self.objects[name].version if name in self.objects else 0
        if current != expected_version:
            return result.Failure(errors.VersionConflictError(name, current))
        self.versions += 1
        self.writes += 1
        self.objects[name] = object_api.StoredObject(name=name, version=self.versions, value=value)
        return result.Success(self.versions)

    def land_late_writes(self) -> None:
        late, self.late = self.late, []
        for name, value, expected_version in late:
            self.write(name, value, expected_version)

    def release_hanging(self) -> None:
        self.released.set()
        self.released = asyncio.Event()

    def heal(self) -> None:
        self.down = False
        self.read_faults = 0
        self.write_faults.clear()
        self.release_hanging()

    async def watch(
        self, name: str, known_version: int, deadline: float
    ) -> result.Result[object_api.StoredObject | None, errors.StoreError]:
        raise NotImplementedError

    async def delete(
        self, name: str, expected_version: int, deadline: float
    ) -> result.Result[None, errors.StoreError]:
        self.objects.pop(name, None)
        return result.Success(None)

    async def list_names(
        self, prefix: str, deadline: float
    ) -> result.Result[list[str], errors.StoreError]:
        return result.Success([name for name in self.objects if name.startswith(prefix)])

    async def close(self) -> None:
        pass
