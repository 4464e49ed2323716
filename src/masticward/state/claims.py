"""Idempotency key records, sharded over objects of the object API, and their stored encoding.

Shards are encoded as MessagePack with binary digests, about half the size of the JSON written by
earlier releases. JSON is still decoded, because records outlive the release that wrote them.
"""

import enum
import hashlib
import typing

import msgspec

from masticward import errors

# Each keyed call costs two writes, so with this many shards the write rate of the object API is
# exhausted before the shards are full.
SHARD_COUNT = 4096
SHARD_LIMIT_BYTES = 1_000_000  # largest value that the object API accepts
# Larger outcomes are stored in an object of their own.
INLINE_OUTCOME_LIMIT_BYTES = 16 * 1024
# Limits the response body of a recorded outcome, so that the outcome object with the response
# headers stays below the 1 MB limit of the object API.
OUTCOME_LIMIT_BYTES = 700_000
# Space reserved for each unfinished claim, enough to add a reference to its outcome object.
FINISH_RESERVE_BYTES = 320
FINISHED_RETENTION_SECONDS = 24 * 3600.0
MAP_HEADER_BYTES = 5  # largest map header in MessagePack
TEXT_TAG, DIGEST_TAG = b"\0", b"\1"  # type tag, the first byte of a packed digest


class ClaimState(enum.StrEnum):
    """Whether the outcome of a claimed key has been recorded."""

    CLAIMED = "claimed"
    FINISHED = "finished"


class RecordedOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """A response that is replayed to later requests with the same idempotency key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The state of one idempotency key.

    ``changed_at`` is the writer's wall clock in seconds, used only for pruning.
    ``outcome_object`` names the object of an outcome that is too large for the record;
    ``outcome_lost`` is set if the call finished with a response too large for any object.
    """

    request_digest: str
    nonce: str
    state: ClaimState
    changed_at: float
    outcome: RecordedOutcome | None = None
    outcome_object: str = ""
    outcome_lost: bool = False


class StoredOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The stored form of RecordedOutcome, encoded as an array."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class StoredRecord(msgspec.Struct, frozen=True, array_like=True):
    """The stored form of ClaimRecord, encoded as an array with packed digests."""

    request_digest: bytes
    nonce: str
    state: ClaimState
    changed_at: float
    outcome: StoredOutcome | None = None
    outcome_object: str = ""
    outcome_lost: bool = False


class ClaimVerdict(enum.Enum):
    """The result of claiming a key."""

    GRANTED = "granted"
    FINISHED = "finished"
    UNFINISHED = "unfinished"
    OTHER_REQUEST = "other-request"
    SHARD_FULL = "shard-full"


class Claim(msgspec.Struct, frozen=True):
    """A request to hold a key. The nonce identifies one request of one entry."""

    key_digest: str
    request_digest: str
    nonce: str


class ClaimShard:
    """The records stored in one object.

    Changes are idempotent, so that they can be applied again after a version conflict or a lost
    response. ``dirty`` is set once the object must be written. ``pruned`` collects the expired
    records that were removed. ``size_bytes`` includes the space reserved for unfinished claims.
    """

    __slots__ = ("dirty", "pruned", "records", "size_bytes")

    def __init__(self, records: dict[str, ClaimRecord], stored_size_bytes: int) -> None:
        self.records = records
        self.dirty = False
        self.pruned: list[ClaimRecord] = []
        unfinished = sum(record.state is ClaimState.CLAIMED for record in records.values())
        # Upper bound of the encoded size after every claim has finished.
        self.size_bytes = MAP_HEADER_BYTES + stored_size_bytes + unfinished * FINISH_RESERVE_BYTES

    @classmethod
    def empty(cls) -> "ClaimShard":
        """Return a shard with no records."""
        return cls({}, 0)

    @classmethod
    def decode(cls, value: bytes) -> "ClaimShard":
        """Decode the value of a shard object. Raises ClaimShardError."""
        try:
            if is_json(value):
                records = msgspec.json.decode(value, type=dict[str, ClaimRecord])
                return cls(records, sum(encoded_size_bytes(*item) for item in records.items()))
            stored = msgspec.msgpack.decode(value, type=dict[bytes, StoredRecord])
            records = {unpack_digest(key): unpack_record(record) for key, record in stored.items()}
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise errors.ClaimShardError(str(error)) from error
        return cls(
            records, len(value) - len(msgspec.msgpack.encode({})) - extra_map_header_bytes(stored)
        )

    def encode(self) -> bytes:
        """Return the value to store in the shard object."""
        return msgspec.msgpack.encode(
            {pack_digest(key): pack_record(record) for key, record in self.records.items()}
        )

    def claim(self, claim: Claim, now: float) -> ClaimVerdict:
        """Record the claim if its key is free; ``now`` is the wall clock in seconds."""
        record = self.records.get(claim.key_digest)
        if record is not None:
            return verdict_for(record, claim)
        new_record = ClaimRecord(
            request_digest=claim.request_digest,
            nonce=claim.nonce,
            state=ClaimState.CLAIMED,
            changed_at=now,
        )
        needed = reserved_size_bytes(claim.key_digest, new_record)
        if self.size_bytes + needed > SHARD_LIMIT_BYTES:
            self.prune(now)
        if self.size_bytes + needed > SHARD_LIMIT_BYTES:
            return ClaimVerdict.SHARD_FULL
        self.put(claim.key_digest, new_record)
        return ClaimVerdict.GRANTED

    def finish(self, claim: Claim, finished: ClaimRecord) -> bool:
        """Store the finished record of a claim; return False if the claim does not hold the key."""
        record = self.records.get(claim.key_digest)
        if record is None or record.nonce != claim.nonce:
            return False
        if record.state is ClaimState.CLAIMED:
            self.put(claim.key_digest, finished)
        return True

    def release(self, claim: Claim) -> None:
        """Remove the record of a claim if the claim holds the key and has not finished."""
        record = self.records.get(claim.key_digest)
        if (
            record is not None
            and record.nonce == claim.nonce
            and record.state is ClaimState.CLAIMED
        ):
            self.remove(claim.key_digest)

    def fits(self, claim: Claim, finished: ClaimRecord) -> bool:
        """Return whether the shard stays within its size limit with the finished record."""
        record = self.records.get(claim.key_digest)
        freed = reserved_size_bytes(claim.key_digest, record) if record is not None else 0
        needed = reserved_size_bytes(claim.key_digest, finished)
        return self.size_bytes - freed + needed <= SHARD_LIMIT_BYTES

    def prune(self, now: float) -> None:
        """Remove finished records older than FINISHED_RETENTION_SECONDS, never unfinished ones."""
        oldest_kept = now - FINISHED_RETENTION_SECONDS
        for key, record in list(self.records.items()):
            if record.state is ClaimState.FINISHED and record.changed_at < oldest_kept:
                self.remove(key)
                self.pruned.append(record)

    def put(self, key: str, record: ClaimRecord) -> None:
        """Add or replace a record."""
        self.remove(key)
        self.records[key] = record
        self.size_bytes += reserved_size_bytes(key, record)
        self.dirty = True

    def remove(self, key: str) -> None:
        """Remove a record if there is one."""
        record = self.records.pop(key, None)
        if record is not None:
            self.size_bytes -= reserved_size_bytes(key, record)
            self.dirty = True


def verdict_for(record: ClaimRecord, claim: Claim) -> ClaimVerdict:
    """Return the verdict on a claim for a key that already has a record."""
    if record.nonce == claim.nonce:
        return ClaimVerdict.GRANTED
    if record.request_digest != claim.request_digest:
        return ClaimVerdict.OTHER_REQUEST
    if record.state is ClaimState.FINISHED:
        return ClaimVerdict.FINISHED
    return ClaimVerdict.UNFINISHED


def reserved_size_bytes(key: str, record: ClaimRecord) -> int:
    """Return the encoded size of a record and its key, plus the reserve if it is unfinished."""
    reserve = FINISH_RESERVE_BYTES if record.state is ClaimState.CLAIMED else 0
    return encoded_size_bytes(key, record) + reserve


def encoded_size_bytes(key: str, record: ClaimRecord) -> int:
    """Return the encoded size of a record and its key."""
    return len(msgspec.msgpack.encode(pack_digest(key))) + len(
        msgspec.msgpack.encode(pack_record(record))
    )


def extra_map_header_bytes(stored: dict[typing.Any, typing.Any]) -> int:
    """Return how many bytes longer the MessagePack header of a map is than that of an empty map."""
    if len(stored) < 16:
        return 0
    return 2 if len(stored) < 65536 else 4


def is_json(value: bytes) -> bool:
    """Return whether a value is JSON: no stored MessagePack map or array begins with a brace."""
    return value[:1] == b"{"


def pack_digest(digest: str) -> bytes:
    """Encode a lowercase hex digest as raw bytes and other text as UTF-8, after a type tag."""
    try:
        packed = bytes.fromhex(digest)
    except ValueError:
        return TEXT_TAG + digest.encode()
    return DIGEST_TAG + packed if packed.hex() == digest else TEXT_TAG + digest.encode()


def unpack_digest(packed: bytes) -> str:
    """Decode the result of ``pack_digest``."""
    content = packed[1:]
    return content.hex() if packed.startswith(DIGEST_TAG) else content.decode()


def pack_outcome(outcome: RecordedOutcome) -> StoredOutcome:
    """Return the stored form of an outcome."""
    return StoredOutcome(outcome.status, outcome.headers, outcome.body)


def unpack_outcome(stored: StoredOutcome) -> RecordedOutcome:
    """Return the outcome in a stored form."""
    return RecordedOutcome(status=stored.status, headers=stored.headers, body=stored.body)


def pack_record(record: ClaimRecord) -> StoredRecord:
    """Return the stored form of a record."""
    return StoredRecord(
        request_digest=pack_digest(record.request_digest),
        nonce=record.nonce,
        state=record.state,
        changed_at=record.changed_at,
        outcome=None if record.outcome is None else pack_outcome(record.outcome),
        outcome_object=record.outcome_object,
        outcome_lost=record.outcome_lost,
    )


def unpack_record(stored: StoredRecord) -> ClaimRecord:
    """Return the record in a stored form."""
    return ClaimRecord(
        request_digest=unpack_digest(stored.request_digest),
        nonce=stored.nonce,
        state=stored.state,
        changed_at=stored.changed_at,
        outcome=None if stored.outcome is None else unpack_outcome(stored.outcome),
        outcome_object=stored.outcome_object,
        outcome_lost=stored.outcome_lost,
    )


def hash_parts(*parts: bytes) -> str:
    """Return the SHA-256 hex digest of length-prefixed parts, so that boundaries matter."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def key_digest(team: str, service: str, key: str) -> str:
    """Return the digest that identifies an idempotency key of a team for a service."""
    return hash_parts(team.encode(), service.encode(), key.encode())


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that identifies the content of a request, to compare repeats with it."""
    return hash_parts(method.encode(), path.encode(), body)


def claim_shard_object_name(digest: str) -> str:
    """Return the name of the shard object for a key digest."""
    return f"claims/{int(digest[:8], 16) % SHARD_COUNT:04x}"


def outcome_object_name(claim: Claim) -> str:
    """Return the name of the object for a large outcome, unique to the claim."""
    return f"outcomes/{hash_parts(claim.key_digest.encode(), claim.nonce.encode())}"


def encode_outcome(outcome: RecordedOutcome) -> bytes:
    """Return the value to store in an outcome object."""
    return msgspec.msgpack.encode(pack_outcome(outcome))


def decode_outcome(value: bytes) -> RecordedOutcome:
    """Decode the value of an outcome object. Raises ClaimShardError."""
    try:
        if is_json(value):
            return msgspec.json.decode(value, type=RecordedOutcome)
        return unpack_outcome(msgspec.msgpack.decode(value, type=StoredOutcome))
    except msgspec.DecodeError as error:
        raise errors.ClaimShardError(str(error)) from error
