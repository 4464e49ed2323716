"""An in-memory object store with injected failures, lost responses and late or hanging writes."""

import asyncio
import collections

from returns import result

from masticward import errors
from masticward.transport import object_api

UNAVAILABLE = "unavailable"
LOST_BEFORE_EFFECT = "lost-before-effect"
LOST_AFTER_EFFECT = "lost-after-effect"
LOST_THEN_UNREADABLE = "lost-after-effect-then-unreadable"
LATE = "late"
HANGING = "hanging"
WRITE_FAULTS = (
    UNAVAILABLE,
    LOST_BEFORE_EFFECT,
    LOST_AFTER_EFFECT,
    LOST_THEN_UNREADABLE,
    LATE,
    HANGING,
)


class FaultyStore(object_api.ObjectStore):
    """Applies queued faults to the next operations, one fault per operation.

    A late write is applied by ``apply_late_writes`` after its caller has received an error. A
    hanging write continues after ``release_hanging_writes``.
    """

    def __init__(self) -> None:
        self.objects: dict[str, object_api.StoredObject] = {}
        self.last_version = 0
        self.write_faults: collections.deque[str] = collections.deque()
        self.read_faults = 0
        self.down = False
        self.writes = 0
        self.late_writes: list[tuple[str, bytes, int]] = []
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
        if fault == HANGING:
            await self.released.wait()
        if fault == LATE:
            self.late_writes.append((name, value, expected_version))
        if fault in (LOST_BEFORE_EFFECT, LATE):
            return result.Failure(errors.StoreAnswerLostError(name))
        written = self.write(name, value, expected_version)
        if fault == LOST_THEN_UNREADABLE:
            self.read_faults = 1
        if fault in (LOST_AFTER_EFFECT, LOST_THEN_UNREADABLE) and isinstance(
            written, result.Success
        ):
            return result.Failure(errors.StoreAnswerLostError(name))
        return written

    def write(
        self, name: str, value: bytes, expected_version: int
    ) -> result.Result[int, errors.StoreError]:
        current = self.objects[name].version if name in self.objects else 0
        if current != expected_version:
            return result.Failure(errors.VersionConflictError(name, current))
        self.last_version += 1
        self.writes += 1
        self.objects[name] = object_api.StoredObject(
            name=name, version=self.last_version, value=value
        )
        return result.Success(self.last_version)

    def apply_late_writes(self) -> None:
        late_writes, self.late_writes = self.late_writes, []
        for name, value, expected_version in late_writes:
            self.write(name, value, expected_version)

    def release_hanging_writes(self) -> None:
        self.released.set()
        self.released = asyncio.Event()

    def clear_faults(self) -> None:
        self.down = False
        self.read_faults = 0
        self.write_faults.clear()
        self.release_hanging_writes()

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
