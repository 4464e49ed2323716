"""Interfaces of the gateway to the platform, implemented by the platform adapter."""

import abc
import collections.abc
import enum
import typing

import msgspec

from masticward.models import gateway, rollouts
from masticward.state import body_memory

# Most bytes of responses that are being read at the same time.
MAX_HELD_BYTES = 24 * 1024 * 1024


class ObjectKind(enum.Enum):
    """The kinds of stored object that the gateway reads."""

    ENDPOINTS = "endpoints"
    CONFIGURATION = "configuration"
    # The configuration again, on a separate connection because a watch may block the other one.
    PROOFS = "proofs"
    EVACUATIONS = "evacuations"
    MEMBERS = "members"
    QUARANTINES = "quarantines"
    ROLLOUTS = "rollouts"


# The kinds that gateways relay and hand over to each other object by object.
LISTED_KINDS = (ObjectKind.ENDPOINTS, ObjectKind.EVACUATIONS, ObjectKind.ROLLOUTS)


class Position(msgspec.Struct, frozen=True, order=True):
    """A point in the store's history, ordered by era and then by revision.

    The store begins a new era when it is restored from a copy; revisions are then given out again.
    """

    era: int
    revision: int


class Member(msgspec.Struct, frozen=True):
    """A gateway process as it is registered in the store."""

    instance_id: typing.Annotated[str, msgspec.Meta(max_length=200)]
    ip: str


class StoredQuarantine(msgspec.Struct, frozen=True):
    """A part of prompts in quarantine, as it is stored.

    ``expires_at`` is Unix time in seconds, because the object outlives all processes.
    """

    key: str
    quarantines: int
    expires_at: float


class StoredObject(msgspec.Struct, frozen=True):
    """A stored object; ``value`` is None if it was removed or cannot be used."""

    name: str
    value: typing.Any
    removed: bool = False


class Listing(msgspec.Struct, frozen=True):
    """Objects at a revision of the store; ``complete`` is False for the changes of a watch.

    ``era`` is the store's era; 0 if the store states none.
    """

    items: tuple[StoredObject, ...]
    revision: int
    complete: bool
    era: int = 0

    @property
    def position(self) -> Position:
        """The point in the store's history up to which the listing has all changes."""
        return Position(self.era, self.revision)


class FleetSource(abc.ABC):
    """Reads and writes objects of the platform's store.

    Every call raises StoreUnavailableError if there is no usable response, HistoryLostError if
    the store no longer has the changes since a revision. ``calls`` and ``failed_calls`` count
    from the start of the process. ``memory`` bounds the responses that are being read. ``on_era``
    is called with the store's era that a response states, before the response is returned.
    """

    def __init__(self) -> None:
        self.calls = 0
        self.failed_calls = 0
        self.memory = body_memory.BodyMemory(MAX_HELD_BYTES)
        self.on_era: collections.abc.Callable[[int], object] = lambda era: None

    @abc.abstractmethod
    async def list_objects(self, kind: ObjectKind) -> Listing:
        """Return all current objects of a kind."""

    @abc.abstractmethod
    async def watch(self, kind: ObjectKind, revision: int, wait_seconds: float) -> Listing:
        """Return the changes after a revision, or none after ``wait_seconds``."""

    @abc.abstractmethod
    async def register(self, member: Member) -> None:
        """Register this process as a member."""

    @abc.abstractmethod
    async def save_quarantine(self, quarantine: StoredQuarantine) -> None:
        """Create or replace the entry of a part in quarantine."""

    @abc.abstractmethod
    async def delete_quarantine(self, key: str) -> None:
        """Delete the entry of a part, if there is one."""

    @abc.abstractmethod
    async def save_rollout_state(
        self, order: rollouts.Order, state: rollouts.RolloutState
    ) -> rollouts.Order | None:
        """Write the state of an order if its object still has the order's revision.

        Return what the store has then: the written order or another writer's; None if the object
        is gone or unreadable.
        """


class RequestCodec(abc.ABC):
    """Translates headers of requests and responses."""

    @abc.abstractmethod
    def request_id(self, headers: list[tuple[bytes, bytes]]) -> str | None:
        """Return the ID of a client's request, None without a valid one."""

    @abc.abstractmethod
    def decode_request(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        arrived_at: float,
    ) -> gateway.RequestMetadata:
        """Return the metadata of a client's request; raise BadRequestError if it is invalid."""

    @abc.abstractmethod
    def encode_request(
        self,
        metadata: gateway.RequestMetadata,
        endpoint: gateway.Endpoint,
        team: str | None,
        remaining_ms: int,
        body_bytes: int,
        last_event_id: str | None,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request to an endpoint."""

    @abc.abstractmethod
    def decode_response_head(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> gateway.ResponseMetadata:
        """Return the metadata in the head of an endpoint's response."""

    @abc.abstractmethod
    def response_headers(self, headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        """Return the headers of an endpoint's response that are forwarded to the client."""

    @abc.abstractmethod
    def refusal_headers(
        self, request_id: str | None, retry_after_seconds: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a response that the gateway generates itself."""
