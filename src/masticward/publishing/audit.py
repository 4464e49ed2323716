"""The audit trail: recent entries in the changed object, older ones in objects of their own."""

import typing

import msgspec
from returns import result

from masticward import errors
from masticward.models import configuration as configuration_models
from masticward.models import objects
from masticward.transport import object_api

MAXIMUM_RECENT_ENTRIES = 200
# A rolled object always holds the same entries, so racing writers create it with equal content.
ENTRIES_PER_OBJECT = 100

DocumentT = typing.TypeVar(
    "DocumentT", configuration_models.Manifest, configuration_models.OperationsState
)
Document = configuration_models.Manifest | configuration_models.OperationsState
AUDIT_PREFIXES: dict[type[Document], str] = {
    configuration_models.Manifest: objects.CONFIGURATION_AUDIT_PREFIX,
    configuration_models.OperationsState: objects.OPERATIONS_AUDIT_PREFIX,
}


class AuditObject(msgspec.Struct, frozen=True):
    """The content of ``audit/config/<n>`` and ``audit/ops/<n>``."""

    entries: tuple[configuration_models.AuditEntry, ...]


def object_name(kind: type[Document], number: int) -> str:
    """Return the name of the n-th object of rolled entries."""
    return f"{AUDIT_PREFIXES[kind]}{number}"


def oldest_to_roll(document: Document) -> tuple[configuration_models.AuditEntry, ...]:
    """Return the entries that must be rolled before the document is written, or none."""
    if len(document.audit) <= MAXIMUM_RECENT_ENTRIES:
        return ()
    return document.audit[:ENTRIES_PER_OBJECT]


async def roll(
    store: object_api.ObjectStore,
    document: DocumentT,
    deadline: float,
) -> result.Result[DocumentT, errors.StoreError]:
    """Move the oldest entries into an object and return the document without them.

    Returns the document as it is while it has few entries.
    """
    oldest = oldest_to_roll(document)
    if not oldest:
        return result.Success(document)
    name = object_name(type(document), document.audit_rolled // ENTRIES_PER_OBJECT)
    created = await create(store, name, msgspec.json.encode(AuditObject(oldest)), deadline)
    rolled = msgspec.structs.replace(
        document,
        audit=document.audit[len(oldest) :],
        audit_rolled=document.audit_rolled + len(oldest),
    )
    return created.map(lambda _: rolled)


async def create(
    store: object_api.ObjectStore, name: str, value: bytes, deadline: float
) -> result.Result[None, errors.StoreError]:
    """Create an immutable object; one that exists already is a success.

    A lost answer is followed by the same conditional write, which settles it.
    """
    while True:
        answer = await store.put(name, value, 0, deadline)
        if isinstance(answer, result.Success):
            return result.Success(None)
        error = answer.failure()
        if isinstance(error, errors.VersionConflictError):
            return result.Success(None)
        if not isinstance(error, errors.StoreAnswerLostError):
            return result.Failure(error)


async def list_entries(
    store: object_api.ObjectStore, document: Document, deadline: float
) -> result.Result[list[configuration_models.AuditEntry], errors.MasticwardError]:
    """Return all entries of a document's trail, the oldest first."""
    entries: list[configuration_models.AuditEntry] = []
    for number in range(document.audit_rolled // ENTRIES_PER_OBJECT):
        answer = await store.get(object_name(type(document), number), deadline)
        if isinstance(answer, result.Failure):
            return result.Failure(answer.failure())
        try:
            entries.extend(msgspec.json.decode(answer.unwrap().value, type=AuditObject).entries)
        except msgspec.DecodeError as error:
            return result.Failure(errors.VersionRefusedError(f"audit object {number}: {error}"))
    entries.extend(document.audit)
    return result.Success(entries)


async def entries_after(
    store: object_api.ObjectStore, document: Document, version: int, deadline: float
) -> result.Result[tuple[configuration_models.AuditEntry, ...], errors.MasticwardError]:
    """Return the entries of the changes after a version, the oldest first."""
    if document.audit and document.audit[0].to_version <= version + 1:
        found = document.audit
    else:
        answer = await list_entries(store, document, deadline)
        if isinstance(answer, result.Failure):
            return result.Failure(answer.failure())
        found = tuple(answer.unwrap())
    return result.Success(tuple(entry for entry in found if entry.to_version > version))
