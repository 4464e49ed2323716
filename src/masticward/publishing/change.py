"""Conditional update of an audited object, with lost answers settled by reading back."""

import asyncio
import datetime
import time
import typing

import msgspec
from returns import result

from masticward import errors, events, logs
from masticward.models import configuration as configuration_models
from masticward.publishing import audit
from masticward.transport import object_api
from masticward.utils import clocks, identifiers

CALL_SECONDS = 2.0
RETRY_SECONDS = 0.1

DocumentT = typing.TypeVar(
    "DocumentT", configuration_models.Manifest, configuration_models.OperationsState
)

logger = logs.get_logger(__name__)


class Current(msgspec.Struct, typing.Generic[DocumentT], frozen=True):
    """A document as read, with the object API's version for the conditional update (0: none)."""

    document: DocumentT
    stored_version: int


class Accepted(msgspec.Struct, frozen=True, kw_only=True):
    """A change that was read back, or one that was not needed (``changed`` is False).

    ``document`` is the encoded object as read, which may hold later changes too.
    """

    version: int
    changed: bool
    changes: tuple[str, ...] = ()
    document: bytes = b""


def new_entry(
    operator: str, action: str, from_version: int, changes: tuple[str, ...]
) -> configuration_models.AuditEntry:
    """Return the audit entry of a change from ``from_version`` to the next version."""
    return configuration_models.AuditEntry(
        time=datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds"),
        operator=operator,
        action=action,
        from_version=from_version,
        to_version=from_version + 1,
        changes=changes,
        change_id=identifiers.new_identifier(),
    )


def call_deadline(deadline: float) -> float:
    """Return the deadline of one call within a longer attempt."""
    return min(deadline, clocks.deadline_after(CALL_SECONDS))


async def read_current(
    store: object_api.ObjectStore, name: str, empty: DocumentT, deadline: float
) -> result.Result[Current[DocumentT], errors.PublishingError]:
    """Read a document, ``empty`` if there is none; ChangeNotMadeError if that fails.

    Reads are repeated until the deadline while the object API is unavailable.
    """
    while True:
        answer = await store.get(name, call_deadline(deadline))
        if isinstance(answer, result.Success):
            return decode(answer.unwrap(), empty)
        error = answer.failure()
        if isinstance(error, errors.ObjectNotFoundError):
            return result.Success(Current(empty, 0))
        if time.monotonic() + RETRY_SECONDS >= deadline:
            return result.Failure(errors.ChangeNotMadeError(str(error)))
        await asyncio.sleep(RETRY_SECONDS)


def decode(
    stored: object_api.StoredObject, empty: DocumentT
) -> result.Result[Current[DocumentT], errors.PublishingError]:
    """Decode a stored document of the same kind as ``empty``."""
    try:
        document = msgspec.json.decode(stored.value, type=type(empty))
    except msgspec.DecodeError as error:
        return result.Failure(errors.ChangeRefusedError(f"{stored.name} is damaged: {error}"))
    return result.Success(Current(document, stored.version))


class Change(typing.Generic[DocumentT]):
    """One conditional update of one object. ``document`` ends with the entry of the change."""

    __slots__ = (
        "document",
        "empty",
        "entry",
        "may_have_happened",
        "name",
        "store",
        "stored_version",
    )

    def __init__(
        self,
        store: object_api.ObjectStore,
        name: str,
        empty: DocumentT,
        document: DocumentT,
        stored_version: int,
    ) -> None:
        self.store = store
        self.name = name
        self.empty: DocumentT = empty
        self.document: DocumentT = document
        self.stored_version = stored_version
        self.entry = document.audit[-1]
        self.may_have_happened = False

    async def commit(self, deadline: float) -> result.Result[Accepted, errors.PublishingError]:
        """Write the document and read it back.

        ChangeNotMadeError, ChangeConflictError and ChangeRefusedError mean that the change has no
        effect; ChangeOutcomeUnknownError that the deadline passed before this could be told.
        """
        rolled = await audit.roll(self.store, self.document, deadline)
        if isinstance(rolled, result.Failure):
            return result.Failure(errors.ChangeNotMadeError(str(rolled.failure())))
        value = msgspec.json.encode(rolled.unwrap())
        if len(value) > object_api.MAXIMUM_VALUE_BYTES:
            return result.Failure(
                errors.ChangeRefusedError(f"{self.name} would have {len(value)} bytes")
            )
        while True:
            answer = await self.store.put(
                self.name, value, self.stored_version, call_deadline(deadline)
            )
            settled = await self.settle(answer, deadline)
            if settled is not None:
                return settled
            if time.monotonic() + RETRY_SECONDS >= deadline:
                return result.Failure(
                    errors.ChangeOutcomeUnknownError(f"{self.name}: {answer.failure()}")
                )
            # A lost write can still arrive. The same conditional write again either takes its
            # place or meets a conflict, and both settle the outcome.
            await asyncio.sleep(RETRY_SECONDS)

    async def settle(
        self, answer: result.Result[int, errors.StoreError], deadline: float
    ) -> result.Result[Accepted, errors.PublishingError] | None:
        """Return the outcome of a write, None if the write must be repeated to settle it."""
        if isinstance(answer, result.Success):
            return await self.read_back(deadline, written=True)
        error = answer.failure()
        if isinstance(error, errors.VersionConflictError):
            return await self.read_back(deadline, written=False)
        if isinstance(error, errors.StoreAnswerLostError):
            logger.log(events.Event.CHANGE_ANSWER_LOST, object=self.name, detail=str(error))
            self.may_have_happened = True
            return None
        if self.may_have_happened:
            return None
        return result.Failure(errors.ChangeNotMadeError(str(error)))

    async def read_back(
        self, deadline: float, written: bool
    ) -> result.Result[Accepted, errors.PublishingError]:
        """Read the object and tell whose change it holds.

        ``written`` tells that the object API has confirmed this change; otherwise the object has
        another version than the expected one.
        """
        unknown = errors.ChangeOutcomeUnknownError(f"{self.name} could not be read back")
        doubtful = written or self.may_have_happened
        answer = await read_current(self.store, self.name, self.empty, deadline)
        if isinstance(answer, result.Failure):
            return result.Failure(
                unknown if doubtful else errors.ChangeConflictError(self.name, ())
            )
        document = answer.unwrap().document
        later = await audit.entries_after(self.store, document, self.entry.from_version, deadline)
        if isinstance(later, result.Failure):
            return result.Failure(
                unknown if doubtful else errors.ChangeConflictError(self.name, ())
            )
        return self.judge(document, later.unwrap(), unknown if written else None)

    def judge(
        self,
        document: DocumentT,
        later: tuple[configuration_models.AuditEntry, ...],
        unknown: errors.PublishingError | None,
    ) -> result.Result[Accepted, errors.PublishingError]:
        """Tell the outcome from the entries after the version that was read."""
        if any(entry.change_id == self.entry.change_id for entry in later):
            logger.log(
                events.Event.CHANGE_ACCEPTED, object=self.name, version=self.entry.to_version
            )
            accepted = Accepted(
                version=self.entry.to_version,
                changed=True,
                changes=self.entry.changes,
                document=msgspec.json.encode(document),
            )
            return result.Success(accepted)
        if unknown is not None:
            return result.Failure(unknown)
        logger.log(events.Event.CHANGE_CONFLICT, object=self.name)
        return result.Failure(errors.ChangeConflictError(self.name, later))
