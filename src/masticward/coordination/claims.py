"""Claims of idempotency keys: group commit, lost answers, release and recorded outcomes."""

import asyncio
import enum
import random
import time
import typing

import msgspec
from returns import result

from masticward import errors, events, logs
from masticward.state import claims as claims_state
from masticward.transport import object_api
from masticward.utils import clocks, identifiers, tasks

GROUP_COMMIT_SECONDS = 0.005
CLAIM_SECONDS = 5.0  # longest wait for a claim; the call is refused after it
CALL_SECONDS = 2.0  # one call of the object API
CONFLICT_PAUSE_SECONDS = 0.02  # largest random pause after another entry changed the shard
FIRST_BACK_OFF_SECONDS = 0.1
LONGEST_BACK_OFF_SECONDS = 5.0
RETRY_AFTER_MS = 1000
# Finishes and releases kept while the object API is down. A dropped one leaves its key unfinished,
# and repeats are then told that the outcome is unknown.
BACKGROUND_CHANGES = 10_000
BACKGROUND_BYTES = 16 * 1024 * 1024

# Shard values kept after a write of this entry. Larger ones are read again: a kept value costs
# memory until its claims finish, and 256 of them take at most 4 MB.
KNOWN_SHARDS = 256
KNOWN_SHARD_BYTES = 16 * 1024

logger = logs.get_logger(__name__)


class ClaimAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The verdict on a claim, with the recorded outcome if the key is finished."""

    verdict: claims_state.ClaimVerdict
    claim: claims_state.Claim
    outcome: claims_state.RecordedOutcome | None = None


class ChangeKind(enum.Enum):
    """What a pending change does to its record."""

    CLAIM = "claim"
    FINISH = "finish"
    RELEASE = "release"


class Change:
    """One pending change of a shard, with the future of whoever waits for it."""

    __slots__ = (
        "claim",
        "deadline",
        "done",
        "finished",
        "kind",
        "record",
        "size_bytes",
        "uncertain",
        "verdict",
    )

    def __init__(
        self, kind: ChangeKind, claim: claims_state.Claim, deadline: float, size_bytes: int = 0
    ) -> None:
        self.kind = kind
        self.claim = claim
        self.deadline = deadline
        self.size_bytes = size_bytes
        self.finished: claims_state.ClaimRecord | None = None
        self.record: claims_state.ClaimRecord | None = None
        self.verdict = claims_state.ClaimVerdict.SHARD_FULL
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        # True once a write that includes this claim may have taken effect without an answer.
        self.uncertain = False


class ShardQueue:
    """The pending changes of one shard and the task that commits them."""

    __slots__ = ("changes", "name", "task")

    def __init__(self, name: str) -> None:
        self.name = name
        self.changes: list[Change] = []
        self.task: asyncio.Task[None] | None = None


class ClaimService:
    """Claims, finishes and releases keys for one entry."""

    __slots__ = (
        "back_off",
        "background_bytes",
        "background_changes",
        "entry_id",
        "group",
        "known",
        "postponed",
        "retry_task",
        "shards",
        "store",
    )

    def __init__(self, store: object_api.ObjectStore, entry_id: str) -> None:
        self.store = store
        self.entry_id = entry_id
        self.shards: dict[str, ShardQueue] = {}
        # What this entry wrote last to a shard, oldest first, as version and value.
        self.known: dict[str, tuple[int, bytes]] = {}
        self.postponed: dict[str, list[Change]] = {}
        self.group = tasks.TaskGroup()
        self.retry_task: asyncio.Task[None] | None = None
        self.back_off = 0.0
        self.background_changes = 0
        self.background_bytes = 0

    async def claim(
        self, team: str, service: str, key: str, request_digest: str, deadline: float
    ) -> result.Result[ClaimAnswer, errors.ClaimUnavailableError]:
        """Claim a key until it is finished or released; ``deadline`` is in monotonic seconds.

        ClaimUnavailableError means that the call must be refused as not run; a claim that may
        have been written nevertheless is released in the background.
        """
        claim = claims_state.Claim(
            claims_state.key_digest(team, service, key),
            request_digest,
            f"{self.entry_id}/{identifiers.new_identifier()}",
        )
        latest = min(deadline, clocks.deadline_after(CLAIM_SECONDS))
        change = Change(ChangeKind.CLAIM, claim, latest)
        self.enqueue(change)
        try:
            async with asyncio.timeout(clocks.remaining_seconds(latest)):
                await asyncio.shield(change.done)
        except TimeoutError:
            self.abandon(change)
            return unavailable("the claim was not written in time")
        except asyncio.CancelledError:
            self.abandon(change)
            raise
        except errors.ClaimUnavailableError as error:
            return result.Failure(error)
        return await self.answer(change)

    async def answer(
        self, change: Change
    ) -> result.Result[ClaimAnswer, errors.ClaimUnavailableError]:
        """Return the answer to a committed claim, reading a large outcome from its object."""
        if change.verdict is claims_state.ClaimVerdict.SHARD_FULL:
            logger.log(events.Event.CLAIM_SHARD_FULL, shard=shard_of(change.claim))
            return unavailable("the claims of this shard are full")
        if change.verdict is not claims_state.ClaimVerdict.FINISHED or change.record is None:
            return result.Success(ClaimAnswer(verdict=change.verdict, claim=change.claim))
        outcome = change.record.outcome
        if change.record.outcome_object:
            read = await self.store.get(
                change.record.outcome_object, clocks.deadline_after(CALL_SECONDS)
            )
            if not isinstance(read, result.Success):
                return unavailable("the recorded outcome cannot be read now")
            try:
                outcome = claims_state.decode_outcome(read.unwrap().value)
            except errors.ClaimShardError as error:
                return unavailable(f"the recorded outcome is unreadable: {error}")
        return result.Success(
            ClaimAnswer(verdict=change.verdict, claim=change.claim, outcome=outcome)
        )

    def finish(
        self, claim: claims_state.Claim, outcome: claims_state.RecordedOutcome | None
    ) -> asyncio.Future[None]:
        """Record the outcome of a call that was run; None if it is too large to be kept.

        It is retried in the background. The future is done once it is recorded or dropped.
        """
        size = len(outcome.body) if outcome is not None else 0
        change = Change(ChangeKind.FINISH, claim, float("inf"), size)
        change.finished = claims_state.ClaimRecord(
            request_digest=claim.request_digest,
            nonce=claim.nonce,
            state=claims_state.ClaimState.FINISHED,
            changed_at=time.time(),
            outcome=outcome,
            outcome_lost=outcome is None,
        )
        self.enqueue_background(change)
        return change.done

    def release(self, claim: claims_state.Claim, *, uncertain: bool = False) -> None:
        """Give up a claim whose call surely was not run; retried in the background.

        ``uncertain`` tells that a write of the claim may still take effect.
        """
        change = Change(ChangeKind.RELEASE, claim, float("inf"))
        change.uncertain = uncertain
        self.enqueue_background(change)

    async def close(self, deadline: float) -> None:
        """Wait for pending changes until a monotonic deadline, then drop the rest."""
        while self.group.tasks and time.monotonic() < deadline:
            await asyncio.wait(
                list(self.group.tasks),
                timeout=clocks.remaining_seconds(deadline),
                return_when=asyncio.FIRST_COMPLETED,
            )
        await self.group.cancel()

    def abandon(self, change: Change) -> None:
        """Release a claim whose caller no longer waits for it."""
        shard = self.shards.get(shard_of(change.claim))
        if shard is not None and change in shard.changes:
            shard.changes.remove(change)
            if not change.uncertain:
                return
        if change.done.done() and change.done.exception() is not None:
            return
        # It is being written, or was: the release follows it in the same queue.
        change.deadline = 0.0
        change.done.cancel()
        self.release(change.claim, uncertain=True)

    def enqueue_background(self, change: Change) -> None:
        """Queue a change that is retried until it succeeds, within the bounds."""
        full = (
            self.background_changes >= BACKGROUND_CHANGES
            or self.background_bytes + change.size_bytes > BACKGROUND_BYTES
        )
        if full:
            logger.log(events.Event.CLAIM_CHANGE_DROPPED, kind=change.kind.value)
            change.done.set_result(None)
            return
        self.background_changes += 1
        self.background_bytes += change.size_bytes
        change.done.add_done_callback(lambda _: self.forget_background(change))
        self.enqueue(change)

    def forget_background(self, change: Change) -> None:
        """Stop counting a finished background change."""
        self.background_changes -= 1
        self.background_bytes -= change.size_bytes

    def enqueue(self, change: Change) -> None:
        """Add a change to its shard's queue."""
        self.open_shard(shard_of(change.claim)).changes.append(change)

    def open_shard(self, name: str) -> ShardQueue:
        """Return a shard's queue; its committing task is started if there is none."""
        shard = self.shards.get(name)
        if shard is None:
            shard = ShardQueue(name)
            self.shards[name] = shard
            shard.task = self.group.spawn(self.commit_all(shard), f"claims {name}")
        return shard

    async def commit_all(self, shard: ShardQueue) -> None:
        """Commit the changes of a shard in groups until none is left.

        Postponed changes go first, so that a key is released before it is claimed again.
        """
        try:
            while True:
                await asyncio.sleep(GROUP_COMMIT_SECONDS)
                changes = self.postponed.pop(shard.name, []) + shard.changes
                shard.changes = []
                await self.commit(shard, changes)
                if not shard.changes:
                    return
        finally:
            del self.shards[shard.name]

    async def retry_postponed(self) -> None:
        """Commit postponed changes, one shard at a time.

        During an outage an entry thus makes one call for each back-off, however many shards wait.
        """
        while self.postponed:
            await asyncio.sleep(self.back_off)
            if self.postponed:
                shard = self.open_shard(next(iter(self.postponed)))
                if shard.task is not None:
                    await asyncio.wait({shard.task})

    async def commit(self, shard: ShardQueue, changes: list[Change]) -> None:
        """Apply a group of changes to the object until it is written or the store fails."""
        while True:
            changes = self.drop_expired(changes)
            if not changes:
                return
            attempt = await self.commit_once(shard, changes)
            if isinstance(attempt, result.Success):
                self.back_off = 0.0
                settle(changes)
                return
            error = attempt.failure()
            if isinstance(error, errors.VersionConflictError):
                await asyncio.sleep(random.uniform(0.0, CONFLICT_PAUSE_SECONDS))
                continue
            if isinstance(error, errors.StoreAnswerLostError):
                logger.log(events.Event.CLAIM_WRITE_ANSWER_LOST, shard=shard.name)
                for change in changes:
                    change.uncertain = True
                await asyncio.sleep(random.uniform(0.0, CONFLICT_PAUSE_SECONDS))
                continue
            self.postpone(shard, changes, error)
            return

    async def commit_once(
        self, shard: ShardQueue, changes: list[Change]
    ) -> result.Result[None, errors.StoreError]:
        """Apply the changes to the object and write it back if that changes anything.

        The value that this entry wrote last is used first. Only a conditional write that succeeds
        proves that it was current, so in all other cases the object is read.

        After a lost answer the read shows whether the write took effect. If it did not, the same
        version is written again, so that a delayed first write meets a conflict.
        """
        known = self.known.pop(shard.name, None)
        if known is not None:
            version, value = known
            records = claims_state.ClaimShard.decode(value)
            written = await self.write_changes(shard, changes, version, records)
            if isinstance(written, result.Success):
                if written.unwrap():
                    return result.Success(None)
            elif not isinstance(written.failure(), errors.VersionConflictError):
                return result.Failure(written.failure())
        read = await self.read_shard(shard.name)
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        version, records = read.unwrap()
        written = await self.write_changes(shard, changes, version, records)
        return written.map(lambda _: None)

    async def write_changes(
        self,
        shard: ShardQueue,
        changes: list[Change],
        version: int,
        records: claims_state.ClaimShard,
    ) -> result.Result[bool, errors.StoreError]:
        """Apply the changes to a version's content; True if they had to be written and were."""
        for change in changes:
            stored = await self.apply(records, change)
            if not isinstance(stored, result.Success):
                return result.Failure(stored.failure())
        fenced = any(change.uncertain and change.kind is ChangeKind.RELEASE for change in changes)
        if not records.dirty and not fenced:
            return result.Success(False)
        value = records.encode()
        written = await self.store.put(
            shard.name, value, version, clocks.deadline_after(CALL_SECONDS)
        )
        if not isinstance(written, result.Success):
            return result.Failure(written.failure())
        self.keep(shard.name, written.unwrap(), value)
        self.clean_up(records.pruned)
        return result.Success(True)

    def keep(self, name: str, version: int, value: bytes) -> None:
        """Keep a small shard's value for the next change of the same shard."""
        if len(value) > KNOWN_SHARD_BYTES:
            return
        self.known[name] = (version, value)
        if len(self.known) > KNOWN_SHARDS:
            del self.known[next(iter(self.known))]

    async def read_shard(
        self, name: str
    ) -> result.Result[tuple[int, claims_state.ClaimShard], errors.StoreError]:
        """Return version and content of a shard; an object that does not exist is empty."""
        read = await self.store.get(name, clocks.deadline_after(CALL_SECONDS))
        if isinstance(read, result.Success):
            stored = read.unwrap()
            try:
                return result.Success(
                    (stored.version, claims_state.ClaimShard.decode(stored.value))
                )
            except errors.ClaimShardError as error:
                logger.log(events.Event.CLAIM_SHARD_UNREADABLE, shard=name, detail=str(error))
                return result.Failure(errors.StoreUnavailableError(name, "unreadable shard"))
        failure = read.failure()
        if isinstance(failure, errors.ObjectNotFoundError):
            return result.Success((0, claims_state.ClaimShard.empty()))
        return result.Failure(failure)

    async def apply(
        self, shard: claims_state.ClaimShard, change: Change
    ) -> result.Result[None, errors.StoreError]:
        """Apply one change to the records; a large outcome is stored in its object first."""
        if change.kind is ChangeKind.CLAIM:
            change.verdict = shard.claim(change.claim, time.time())
            change.record = shard.records.get(change.claim.key_digest)
        elif change.kind is ChangeKind.RELEASE:
            shard.release(change.claim)
        elif change.finished is not None:
            if must_move_outcome(shard, change.claim, change.finished):
                moved = await self.move_outcome(change.claim, change.finished)
                if not isinstance(moved, result.Success):
                    return result.Failure(moved.failure())
                change.finished = moved.unwrap()
            shard.finish(change.claim, change.finished)
        return result.Success(None)

    async def move_outcome(
        self, claim: claims_state.Claim, finished: claims_state.ClaimRecord
    ) -> result.Result[claims_state.ClaimRecord, errors.StoreError]:
        """Write a large outcome to its object and return the record that refers to it."""
        outcome = typing.cast(claims_state.RecordedOutcome, finished.outcome)
        name = claims_state.outcome_object_name(claim)
        written = await self.store.put(
            name, claims_state.encode_outcome(outcome), 0, clocks.deadline_after(CALL_SECONDS)
        )
        # A conflict means that an earlier try was written: only this claim writes this object.
        if not isinstance(written, result.Success) and not isinstance(
            written.failure(), errors.VersionConflictError
        ):
            return result.Failure(written.failure())
        return result.Success(msgspec.structs.replace(finished, outcome=None, outcome_object=name))

    def drop_expired(self, changes: list[Change]) -> list[Change]:
        """Return the changes that somebody still waits for."""
        now = time.monotonic()
        return [
            change
            for change in changes
            if change.deadline > now or change.kind is not ChangeKind.CLAIM
        ]

    def postpone(self, shard: ShardQueue, changes: list[Change], error: errors.StoreError) -> None:
        """Fail the claims of a group and keep the other changes for later."""
        logger.log(events.Event.CLAIM_STORE_UNAVAILABLE, shard=shard.name, detail=str(error))
        self.back_off = min(
            LONGEST_BACK_OFF_SECONDS, max(FIRST_BACK_OFF_SECONDS, self.back_off * 2)
        )
        kept = [change for change in changes if change.kind is not ChangeKind.CLAIM]
        if kept:
            self.postponed.setdefault(shard.name, []).extend(kept)
            if self.retry_task is None or self.retry_task.done():
                self.retry_task = self.group.spawn(self.retry_postponed(), "claims retry")
        for change in changes:
            if change.kind is ChangeKind.CLAIM and not change.done.done():
                change.done.set_exception(
                    errors.ClaimUnavailableError("the object API is unavailable", RETRY_AFTER_MS)
                )
                if change.uncertain:
                    self.release(change.claim, uncertain=True)

    def clean_up(self, pruned: list[claims_state.ClaimRecord]) -> None:
        """Delete the outcome objects of pruned records in the background, once."""
        if pruned:
            logger.log(events.Event.CLAIM_RECORDS_PRUNED, records=len(pruned))
        names = [record.outcome_object for record in pruned if record.outcome_object]
        if names:
            self.group.spawn(self.delete_outcomes(names), "claims clean-up")

    async def delete_outcomes(self, names: list[str]) -> None:
        """Delete outcome objects; one that cannot be deleted now stays as garbage."""
        for name in names:
            read = await self.store.get(name, clocks.deadline_after(CALL_SECONDS))
            if isinstance(read, result.Success):
                await self.store.delete(
                    name, read.unwrap().version, clocks.deadline_after(CALL_SECONDS)
                )


def must_move_outcome(
    shard: claims_state.ClaimShard,
    claim: claims_state.Claim,
    finished: claims_state.ClaimRecord,
) -> bool:
    """Tell whether an outcome is too large for its record or for the shard."""
    if finished.outcome is None:
        return False
    return len(finished.outcome.body) > claims_state.INLINE_OUTCOME_LIMIT_BYTES or not shard.fits(
        claim, finished
    )


def settle(changes: list[Change]) -> None:
    """Tell everyone who waits for a committed change."""
    for change in changes:
        if not change.done.done():
            change.done.set_result(None)


def shard_of(claim: claims_state.Claim) -> str:
    """Return the name of the object that holds a claim's key."""
    return claims_state.claim_shard_object_name(claim.key_digest)


def unavailable(detail: str) -> result.Result[typing.Any, errors.ClaimUnavailableError]:
    """Return the failure of a claim that was not given."""
    return result.Failure(errors.ClaimUnavailableError(detail, RETRY_AFTER_MS))
