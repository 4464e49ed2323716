"""Records of idempotency keys in one object, and the changes that are made to them.

Values are MessagePack with digests as bytes, half the size of the JSON that earlier versions wrote.
JSON is still read, since a record outlives the version that wrote it.
"""

import enum
import hashlib
import typing

import msgspec

from masticward import errors

SHARD_COUNT = 4096  # at two writes a call, the object API's write rate is used up before the space
SHARD_LIMIT_BYTES = 1_000_000  # the object API takes values up to 1 MB
INLINE_OUTCOME_LIMIT_BYTES = 16 * 1024
OUTCOME_LIMIT_BYTES = 700_000  # with its headers it must stay below 1 MB
FINISH_RESERVE_BYTES = 320  # room that a claim keeps for the reference to its outcome
FINISHED_RETENTION_SECONDS = 24 * 3600.0
MAP_HEADER_BYTES = 5  # the largest one of MessagePack
TEXT_TAG, DIGEST_TAG = b"\0", b"\1"  # the first byte of a packed digest


class ClaimState(enum.StrEnum):
    """Whether the holder of a claim has recorded an outcome."""

    CLAIMED = "claimed"
    FINISHED = "finished"


class RecordedOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """A response that is replayed to repeats of its key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One key. ``changed_at`` is the writer's wall clock in seconds, used only for pruning.

    ``outcome_object`` names the object of an outcome that is too large for the record;
    ``outcome_lost`` tells that the call finished with a response too large for any object.
    """

    request_digest: str
    nonce: str
    state: ClaimState
    changed_at: float
    outcome: RecordedOutcome | None = None
    outcome_object: str = ""
    outcome_lost: bool = False


class StoredOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The stored form of RecordedOutcome."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class StoredRecord(msgspec.Struct, frozen=True, array_like=True):
    """The stored form of ClaimRecord: digests are bytes."""

    request_digest: bytes
    nonce: str
    state: ClaimState
    changed_at: float
    outcome: StoredOutcome | None = None
    outcome_object: str = ""
    outcome_lost: bool = False


class ClaimVerdict(enum.Enum):
    """What a claim found."""

    GRANTED = "granted"
    FINISHED = "finished"
    UNFINISHED = "unfinished"
    OTHER_REQUEST = "other-request"
    SHARD_FULL = "shard-full"


class Claim(msgspec.Struct, frozen=True):
    """A wish to hold a key, for one request of one entry (the nonce)."""

    key_digest: str
    request_digest: str
    nonce: str


class ClaimShard:
    """The records of one object.

    Changes are idempotent, so that they can be applied again after a conflict or a lost answer.
    ``dirty`` tells whether the object must be written.
    """

    __slots__ = ("dirty", "pruned", "records", "size_bytes")

    def __init__(self, records: dict[str, ClaimRecord], stored_size_bytes: int) -> None:
        self.records = records
        self.dirty = False
        self.pruned: list[ClaimRecord] = []
        unfinished = sum(record.state is ClaimState.CLAIMED for record in records.values())
        # An upper bound of the encoded size once every claim is finished.
        self.size_bytes = MAP_HEADER_BYTES + stored_size_bytes + unfinished * FINISH_RESERVE_BYTES

    @classmethod
    def empty(cls) -> "ClaimShard":
        """Return a shard without records."""
        return cls({}, 0)

    @classmethod
    def decode(cls, value: bytes) -> "ClaimShard":
        """Return the shard in an object's value. Raises ClaimShardError."""
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
        """Return the object's value."""
        return msgspec.msgpack.encode(
            {pack_digest(key): pack_record(record) for key, record in self.records.items()}
        )

    def claim(self, claim: Claim, now: float) -> ClaimVerdict:
        """Give the key to the claim if no other holds it. ``now`` is wall clock seconds."""
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
        """Replace the claim's own record; returns False if the claim does not hold the key."""
        record = self.records.get(claim.key_digest)
        if record is None or record.nonce != claim.nonce:
            return False
        if record.state is ClaimState.CLAIMED:
            self.put(claim.key_digest, finished)
        return True

    def release(self, claim: Claim) -> None:
        """Remove the claim's own unfinished record, if there is one."""
        record = self.records.get(claim.key_digest)
        if (
            record is not None
            and record.nonce == claim.nonce
            and record.state is ClaimState.CLAIMED
        ):
            self.remove(claim.key_digest)

    def fits(self, claim: Claim, finished: ClaimRecord) -> bool:
        """Tell whether the finished record fits beside the other records."""
        record = self.records.get(claim.key_digest)
        freed = reserved_size_bytes(claim.key_digest, record) if record is not None else 0
        needed = reserved_size_bytes(claim.key_digest, finished)
        return self.size_bytes - freed + needed <= SHARD_LIMIT_BYTES

    def prune(self, now: float) -> None:
        """Remove finished records older than the retention, never unfinished ones."""
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
    """Return what an existing record means for a claim of its key."""
    if record.nonce == claim.nonce:
        return ClaimVerdict.GRANTED
    if record.request_digest != claim.request_digest:
        return ClaimVerdict.OTHER_REQUEST
    if record.state is ClaimState.FINISHED:
        return ClaimVerdict.FINISHED
    return ClaimVerdict.UNFINISHED


def reserved_size_bytes(key: str, record: ClaimRecord) -> int:
    """Return the encoded size of a record with its key, plus what finishing it may add."""
    reserve = FINISH_RESERVE_BYTES if record.state is ClaimState.CLAIMED else 0
    return encoded_size_bytes(key, record) + reserve


def encoded_size_bytes(key: str, record: ClaimRecord) -> int:
    """Return the encoded size of a record with its key."""
    return len(msgspec.msgpack.encode(pack_digest(key))) + len(
        msgspec.msgpack.encode(pack_record(record))
    )


def extra_map_header_bytes(stored: dict[typing.Any, typing.Any]) -> int:
    """Return by how much the header of a map is longer than that of an empty one."""
    if len(stored) < 16:
        return 0
    return 2 if len(stored) < 65536 else 4


def is_json(value: bytes) -> bool:
    """Tell whether a value was written as JSON; no MessagePack map or array begins like that."""
    return value[:1] == b"{"


def pack_digest(digest: str) -> bytes:
    """Return a hex digest as bytes, and any other text as UTF-8; the first byte tells which."""
    try:
        packed = bytes.fromhex(digest)
    except ValueError:
        return TEXT_TAG + digest.encode()
    return DIGEST_TAG + packed if packed.hex() == digest else TEXT_TAG + digest.encode()


def unpack_digest(packed: bytes) -> str:
    """Return the text of a packed digest."""
    content = packed[1:]
    return content.hex() if packed.startswith(DIGEST_TAG) else content.decode()


def pack_outcome(outcome: RecordedOutcome) -> StoredOutcome:
    """Return the stored form of an outcome."""
    return StoredOutcome(outcome.status, outcome.headers, outcome.body)


def unpack_outcome(stored: StoredOutcome) -> RecordedOutcome:
    """Return the outcome of a stored form."""
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
    """Return the record of a stored form."""
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
    """Return the SHA-256 hex digest of parts whose borders count."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def key_digest(team: str, service: str, key: str) -> str:
    """Return the digest under which a team's key for a service is recorded."""
    return hash_parts(team.encode(), service.encode(), key.encode())


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells whether a repeat carries the same request."""
    return hash_parts(method.encode(), path.encode(), body)


def claim_shard_object_name(digest: str) -> str:
    """Return the name of the object that holds a key."""
    return f"claims/{int(digest[:8], 16) % SHARD_COUNT:04x}"


def outcome_object_name(claim: Claim) -> str:
    """Return the name of the object for a large outcome; each claim has its own."""
    return f"outcomes/{hash_parts(claim.key_digest.encode(), claim.nonce.encode())}"


def encode_outcome(outcome: RecordedOutcome) -> bytes:
    """Return the value of an outcome object."""
    return msgspec.msgpack.encode(pack_outcome(outcome))


def decode_outcome(value: bytes) -> RecordedOutcome:
    """Return the outcome in an object's value. Raises ClaimShardError."""
    try:
        if is_json(value):
            return msgspec.json.decode(value, type=RecordedOutcome)
        return unpack_outcome(msgspec.msgpack.decode(value, type=StoredOutcome))
    except msgspec.DecodeError as error:
        raise errors.ClaimShardError(str(error)) from error
