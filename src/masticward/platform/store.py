"""Client of the platform's store."""

import asyncio
import typing
import urllib.parse

import msgspec

from masticward import errors, events, logs
from masticward.gateway import sources
from masticward.models import rollouts
from masticward.platform import documents, names
from masticward.transport import http1
from masticward.utils import addresses, identifiers, json_fragments

KIND_NAMES = {
    sources.ObjectKind.ENDPOINTS: names.KIND_ENDPOINTS,
    sources.ObjectKind.CONFIGURATION: names.KIND_CONFIGURATION,
    sources.ObjectKind.PROOFS: names.KIND_CONFIGURATION,
    sources.ObjectKind.EVACUATIONS: names.KIND_EVACUATIONS,
    sources.ObjectKind.MEMBERS: names.KIND_MEMBERS,
    sources.ObjectKind.QUARANTINES: names.KIND_QUARANTINES,
    sources.ObjectKind.ROLLOUTS: names.KIND_ROLLOUTS,
}
CONNECT_TIMEOUT_SECONDS = 0.5
# The store usually responds in about 4 ms; this also suffices for one that is 50 times slower.
CALL_TIMEOUT_SECONDS = 1.0
GONE_STATUS = 410
CONFLICT_STATUS = 409
MISSING_STATUS = 404
# Of one listing; a faulty store may announce further pages without end.
MAX_LISTING_BYTES = http1.MAX_BODY_BYTES
MAX_ERA_DIGITS = 15
NOTHING = msgspec.Raw(b"null")
LOGGER = logs.get_logger(__name__)


class ObjectMetadata(msgspec.Struct):
    """The metadata that the store maintains for an object."""

    name: str


class ObjectRevision(msgspec.Struct):
    """The revision of an object, on which a write of its status depends."""

    revision: int


class ObjectDocument(msgspec.Struct):
    """One object. Other writers may leave parts that cannot be read, so each is read by itself."""

    metadata: msgspec.Raw = NOTHING
    spec: msgspec.Raw = NOTHING
    status: msgspec.Raw = NOTHING


class ListBody(msgspec.Struct):
    """One page of a listing. ``current_rev`` is the store's revision, not the page's highest."""

    items: list[msgspec.Raw]
    current_rev: int
    has_more: bool = False


class WatchEvent(msgspec.Struct):
    """One change of an object."""

    object: msgspec.Raw
    removed: bool = False


class WatchBody(msgspec.Struct):
    """Changes after the requested revision."""

    events: list[msgspec.Raw]
    current_rev: int


class Reply(msgspec.Struct):
    """The response to a call; ``era`` is 0 if it states none."""

    status: int
    data: bytearray
    era: int


class Store(sources.FleetSource):
    """Store client with one persistent connection per kind of object."""

    def __init__(self, address: str) -> None:
        super().__init__()
        self.address = addresses.split(address)
        self.host = address.encode()
        self.connections: dict[sources.ObjectKind, http1.Channel] = {}

    async def call(
        self,
        kind: sources.ObjectKind,
        method: bytes,
        path: str,
        timeout_seconds: float,
        document: typing.Any = None,
    ) -> tuple[int, bytearray]:
        """Make one HTTP call and return its status and body.

        Raise StoreUnavailableError if there is no complete response in time.
        """
        reply = await self.send(kind, method, path, timeout_seconds, document)
        return reply.status, reply.data

    async def send(
        self,
        kind: sources.ObjectKind,
        method: bytes,
        path: str,
        timeout_seconds: float,
        document: typing.Any = None,
    ) -> Reply:
        """Make one HTTP call and return the response.

        Raise StoreUnavailableError if there is no complete response in time.
        """
        self.calls += 1
        channel = self.connections.pop(kind, None)
        # Bytes that have arrived belong to no call; answers of the store name none.
        if channel is not None and (channel.peer_gone or channel.has_unread_bytes()):
            channel.abort()
            channel = None
        body = b"" if document is None else msgspec.json.encode(document)
        headers = [(b"host", self.host)]
        if document is not None:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", str(len(body)).encode()))
        try:
            if channel is None:
                channel = await http1.connect(self.address, CONNECT_TIMEOUT_SECONDS)
            exchange = http1.Exchange(channel)
            async with asyncio.timeout(timeout_seconds):
                await exchange.send(method, path.encode(), headers, body)
                response = await exchange.read_head()
                era = find_era(response.headers)
                if era is not None:
                    self.on_era(era)
                data = await exchange.read_body(self.memory)
        except (TimeoutError, errors.EndpointError) as error:
            self.failed_calls += 1
            if channel is not None:
                # What the store has not received of the call is not to be executed later.
                channel.reset()
            raise errors.StoreUnavailableError(path, f"{type(error).__name__} {error}") from error
        except asyncio.CancelledError:
            if channel is not None:
                channel.reset()
            raise
        if exchange.reusable:
            self.connections[kind] = channel
        else:
            channel.abort()
        return Reply(response.status, data, era or 0)

    async def read(self, kind: sources.ObjectKind, path: str, timeout_seconds: float) -> Reply:
        """Make a GET call and return its response.

        Raise HistoryLostError if the store no longer has the requested changes, and
        StoreUnavailableError on any other failure.
        """
        reply = await self.send(kind, b"GET", path, timeout_seconds)
        if reply.status == GONE_STATUS:
            raise errors.HistoryLostError(path)
        if reply.status != 200:
            raise errors.StoreUnavailableError(path, f"status {reply.status}")
        return reply

    async def list_objects(self, kind: sources.ObjectKind) -> sources.Listing:
        """Return all current objects of a kind.

        Raise HistoryLostError if the store was restored from a copy between two pages.
        """
        name = KIND_NAMES[kind]
        items: list[sources.StoredObject] = []
        after = ""
        revision: int | None = None
        era: int | None = None
        size = 0
        while True:
            query = f"?after={urllib.parse.quote(after)}" if after else ""
            reply = await self.read(kind, f"/objects/{name}{query}", CALL_TIMEOUT_SECONDS)
            era = reply.era if era is None else era
            if reply.era != era:
                raise errors.HistoryLostError(name)
            size += len(reply.data)
            if size > MAX_LISTING_BYTES:
                raise errors.StoreUnavailableError(
                    name, f"the listing exceeds {MAX_LISTING_BYTES} bytes"
                )
            body = decode(reply.data, ListBody, name)
            # A watch from the first page's revision also returns the changes between pages.
            revision = body.current_rev if revision is None else revision
            previous = after
            for item in body.items:
                listed = decode_item(kind, item, False)
                if listed is not None:
                    items.append(listed)
                    after = listed.name
            if not body.has_more:
                return sources.Listing(tuple(items), revision, True, era)
            if after == previous:
                raise errors.StoreUnavailableError(name, "no object of a page has a readable name")

    async def watch(
        self, kind: sources.ObjectKind, revision: int, wait_seconds: float
    ) -> sources.Listing:
        """Return the changes after a revision; an empty listing if there are none in time.

        Raise HistoryLostError if it cannot be read which object changed; a listing tells what is
        left.
        """
        name = KIND_NAMES[kind]
        path = f"/objects/{name}?watch={revision}&wait_ms={int(wait_seconds * 1000)}"
        reply = await self.read(kind, path, wait_seconds + CALL_TIMEOUT_SECONDS)
        body = decode(reply.data, WatchBody, name)
        items: list[sources.StoredObject] = []
        for text in body.events:
            event = decode(text, WatchEvent, name)
            changed = decode_item(kind, event.object, event.removed)
            if changed is None:
                raise errors.HistoryLostError(path)
            items.append(changed)
        return sources.Listing(tuple(items), body.current_rev, False, reply.era)

    async def register(self, member: sources.Member) -> None:
        """Create or replace this process's entry in the list of members."""
        await self.put(sources.ObjectKind.MEMBERS, member.instance_id, member)

    async def save_quarantine(self, quarantine: sources.StoredQuarantine) -> None:
        """Create or replace the entry of a part in quarantine."""
        kind = sources.ObjectKind.QUARANTINES
        await self.put(kind, quarantine_name(quarantine.key), quarantine)

    async def delete_quarantine(self, key: str) -> None:
        """Delete the entry of a part, if there is one."""
        kind = sources.ObjectKind.QUARANTINES
        path = f"/objects/{KIND_NAMES[kind]}/{quarantine_name(key)}"
        status, _ = await self.call(kind, b"DELETE", path, CALL_TIMEOUT_SECONDS)
        if not 200 <= status < 300 and status != MISSING_STATUS:
            raise errors.StoreUnavailableError(path, f"status {status}")

    async def save_rollout_state(
        self, order: rollouts.Order, state: rollouts.RolloutState
    ) -> rollouts.Order | None:
        """Write the state of an order if its object still has the order's revision."""
        kind = sources.ObjectKind.ROLLOUTS
        path = f"/objects/{KIND_NAMES[kind]}/{urllib.parse.quote(order.service)}/status"
        document = {
            "metadata": {"name": order.service, "revision": order.revision},
            "status": {"state": state, "target": order.target},
        }
        status, data = await self.call(kind, b"PUT", path, CALL_TIMEOUT_SECONDS, document)
        if status == MISSING_STATUS:
            return None
        if not 200 <= status < 300 and status != CONFLICT_STATUS:
            raise errors.StoreUnavailableError(path, f"status {status}")
        stored = decode_item(kind, msgspec.Raw(bytes(data)), False)
        return stored.value if stored is not None else None

    async def put(self, kind: sources.ObjectKind, name: str, spec: typing.Any) -> None:
        """Create or replace an object."""
        path = f"/objects/{KIND_NAMES[kind]}"
        document = {"metadata": {"name": name}, "spec": spec}
        status, _ = await self.call(kind, b"POST", path, CALL_TIMEOUT_SECONDS, document)
        if status == CONFLICT_STATUS:
            path = f"{path}/{urllib.parse.quote(name)}"
            status, _ = await self.call(kind, b"PUT", path, CALL_TIMEOUT_SECONDS, document)
        if not 200 <= status < 300:
            raise errors.StoreUnavailableError(path, f"status {status}")


def find_era(headers: list[tuple[bytes, bytes]]) -> int | None:
    """Return the era of the store that a response states; None without a readable one."""
    text = next((value.strip() for name, value in headers if name.lower() == names.STORE_ERA), b"")
    return int(text) if text.isdigit() and len(text) <= MAX_ERA_DIGITS else None


def quarantine_name(key: str) -> str:
    """Return the name of a part's object; keys may have characters that names may not."""
    return f"{identifiers.stable_hash(key):016x}"


def decode(data: bytearray | msgspec.Raw, body_type: type[msgspec.Struct], name: str) -> typing.Any:
    """Decode a response body; raise StoreUnavailableError if it is malformed.

    Parts that are ``msgspec.Raw`` in ``body_type`` may hold what cannot be decoded.
    """
    try:
        return msgspec.json.decode(data, type=body_type)
    except documents.UNREADABLE:
        # The decoder reads over such parts, too, and may fail there.
        pass
    try:
        return decode_fragments(bytes(data), body_type)
    except documents.UNREADABLE as error:
        raise errors.StoreUnavailableError(name, f"malformed response body: {error}") from error


def decode_fragments(text: bytes, body_type: type[msgspec.Struct]) -> msgspec.Struct:
    """Decode an object member by member; raise one of ``UNREADABLE`` if it is malformed."""
    values: dict[str, typing.Any] = {}
    found = json_fragments.members(text)
    for field in msgspec.structs.fields(body_type):
        member = found.get(field.encode_name)
        if member is None:
            if field.required:
                raise ValueError(f"{field.encode_name} is missing")
        elif field.type is msgspec.Raw:
            values[field.name] = msgspec.Raw(member)
        elif field.type == list[msgspec.Raw]:
            values[field.name] = [msgspec.Raw(item) for item in json_fragments.elements(member)]
        else:
            values[field.name] = msgspec.json.decode(member, type=field.type)
    return body_type(**values)


def decode_item(
    kind: sources.ObjectKind, text: msgspec.Raw, removed: bool
) -> sources.StoredObject | None:
    """Return a stored object; None if its metadata is invalid.

    An object with valid metadata and invalid content is returned with the value None.
    """
    try:
        document = decode(text, ObjectDocument, kind.value)
        metadata = msgspec.json.decode(document.metadata, type=ObjectMetadata)
    except (*documents.UNREADABLE, errors.StoreUnavailableError) as error:
        LOGGER.log(events.Event.STORED_OBJECT_UNREADABLE, kind=kind.value, error=str(error))
        return None
    value = None
    if not removed:
        try:
            revision = 0
            if kind is sources.ObjectKind.ROLLOUTS:
                revision = msgspec.json.decode(document.metadata, type=ObjectRevision).revision
            value = documents.decode_object(
                kind, metadata.name, document.spec, document.status, revision
            )
        except (errors.ConfigurationError, *documents.UNREADABLE) as error:
            LOGGER.log(
                events.Event.STORED_OBJECT_UNREADABLE,
                kind=kind.value,
                name=metadata.name,
                error=str(error),
            )
    return sources.StoredObject(metadata.name, value, removed)
