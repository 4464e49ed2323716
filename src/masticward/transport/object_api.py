"""The platform's object API: versions, conditional updates and watches."""

import abc

import msgspec
from returns import result

from masticward import errors


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """A value with the version that the object API gave it."""

    name: str
    version: int
    value: bytes


class ObjectStore(abc.ABC):
    """A client of the object API. Deadlines are monotonic seconds.

    Every call may return StoreUnavailableError; it then had no effect.
    """

    @abc.abstractmethod
    async def get(
        self, name: str, deadline: float
    ) -> result.Result[StoredObject, errors.StoreError]:
        """Read one object; ObjectNotFoundError if there is none."""

    @abc.abstractmethod
    async def put(
        self, name: str, value: bytes, expected_version: int, deadline: float
    ) -> result.Result[int, errors.StoreError]:
        """Write one object if it has ``expected_version`` (0: does not exist); the new version.

        VersionConflictError if it has another version, StoreAnswerLostError if the write may have
        taken effect.
        """

    @abc.abstractmethod
    async def watch(
        self, name: str, known_version: int, deadline: float
    ) -> result.Result[StoredObject | None, errors.StoreError]:
        """Wait for a version above ``known_version``; None if there was none by the deadline."""

    @abc.abstractmethod
    async def delete(
        self, name: str, expected_version: int, deadline: float
    ) -> result.Result[None, errors.StoreError]:
        """Delete one object if it has ``expected_version``; errors as for ``put``."""

    @abc.abstractmethod
    async def list_names(
        self, prefix: str, deadline: float
    ) -> result.Result[list[str], errors.StoreError]:
        """List the names that start with ``prefix``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""
