"""Claims idempotency keys in the object store and records the outcomes of keyed calls.

The keys are spread over shards, one object each. An entry commits the pending changes of a shard
as a group, with one conditional write, and retries outcomes and releases in the background.
"""

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

GROUP_COMMIT_DELAY_SECONDS = 0.005  # collects concurrent changes of a shard into one write
CLAIM_TIMEOUT_SECONDS = 5.0  # a call whose claim takes longer is refused
STORE_CALL_TIMEOUT_SECONDS = 2.0  # one request to the object API
# Upper bound of the random delay before a write that conflicted with another entry, or whose answer
# was lost, is tried again.
MAXIMUM_CONFLICT_DELAY_SECONDS = 0.02
INITIAL_BACKOFF_SECONDS = 0.1
MAXIMUM_BACKOFF_SECONDS = 5.0
RETRY_AFTER_MS = 1000
# Bounds of the outcomes and releases that are retained while the object API is down. Beyond them a
# change is dropped and its key stays unfinished: repeats of the call are answered with an unknown
# outcome.
MAXIMUM_BACKGROUND_CHANGES = 10_000
MAXIMUM_BACKGROUND_BYTES = 16 * 1024 * 1024

# Bounds of the cache of shard values that this entry wrote, which saves the read before the next
# write of the same shard. A value occupies memory until its claims are finished, and 256 of them
# occupy at most 4 MB; larger values are read again.
MAXIMUM_CACHED_SHARDS = 256
MAXIMUM_CACHED_SHARD_BYTES = 16 * 1024

logger = logs.get_logger(__name__)


class ClaimResult(msgspec.Struct, frozen=True, kw_only=True):
    """The verdict on a claim; ``outcome`` is the recorded one if the key is finished."""

    verdict: claims_state.ClaimVerdict
    claim: claims_state.Claim
    outcome: claims_state.RecordedOutcome | None = None


class ChangeKind(enum.Enum):
    """What a pending change does to the record of its key."""

    CLAIM = "claim"
    FINISH = "finish"
    RELEASE = "release"


class PendingChange:
    """A change of one key that has not been committed yet.

    ``deadline`` is in monotonic seconds. ``done`` completes when the change is committed, fails or
    is dropped.
    """

    __slots__ = (
        "claim",
        "deadline",
        "done",
        "finished_record",
        "kind",
        "size_bytes",
        "stored_record",
        "verdict",
        "write_uncertain",
    )

    def __init__(
        self, kind: ChangeKind, claim: claims_state.Claim, deadline: float, size_bytes: int = 0
    ) -> None:
        self.kind = kind
        self.claim = claim
        self.deadline = deadline
        self.size_bytes = size_bytes
        self.finished_record: claims_state.ClaimRecord | None = None
        self.stored_record: claims_state.ClaimRecord | None = None
        self.verdict = claims_state.ClaimVerdict.SHARD_FULL
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        # Set if a write with this claim got no answer and may have taken effect.
        self.write_uncertain = False


class ShardQueue:
    """The pending changes of one shard, and the task that commits them."""

    __slots__ = ("changes", "name", "task")

    def __init__(self, name: str) -> None:
        self.name = name
        self.changes: list[PendingChange] = []
        self.task: asyncio.Task[None] | None = None


class ClaimService:
    """Claims keys for one entry, records the outcomes of their calls and releases them.

    ``backoff_seconds`` is the delay before the next retry of postponed changes, 0 while the object
    API works.
    """

    __slots__ = (
        "background_bytes",
        "background_count",
        "backoff_seconds",
        "cached_shards",
        "entry_id",
        "group",
        "postponed",
        "retry_task",
        "shard_queues",
        "store",
    )

    def __init__(self, store: object_api.ObjectStore, entry_id: str) -> None:
        self.store = store
        self.entry_id = entry_id
        self.shard_queues: dict[str, ShardQueue] = {}
        # Version and value of the last write of this entry by shard name, oldest first.
        self.cached_shards: dict[str, tuple[int, bytes]] = {}
        self.postponed: dict[str, list[PendingChange]] = {}
        self.group = tasks.TaskGroup()
        self.retry_task: asyncio.Task[None] | None = None
        self.backoff_seconds = 0.0
        self.background_count = 0
        self.background_bytes = 0

    async def claim(
        self, team: str, service: str, key: str, request_digest: str, deadline: float
    ) -> result.Result[ClaimResult, errors.ClaimUnavailableError]:
        """Claim a key until it is finished or released; ``deadline`` is in monotonic seconds.

        On ClaimUnavailableError the call must be refused as not run. If the claim may have been
        written nevertheless, it is released in the background.
        """
        claim = claims_state.Claim(
            claims_state.key_digest(team, service, key),
            request_digest,
            f"{self.entry_id}/{identifiers.new_identifier()}",
        )
        claim_deadline = min(deadline, clocks.deadline_after(CLAIM_TIMEOUT_SECONDS))
        change = PendingChange(ChangeKind.CLAIM, claim, claim_deadline)
        self.enqueue(change)
        try:
            async with asyncio.timeout(clocks.remaining_seconds(claim_deadline)):
                await asyncio.shield(change.done)
        except TimeoutError:
            self.cancel_claim(change)
            return claim_unavailable("the claim was not written in time")
        except asyncio.CancelledError:
            self.cancel_claim(change)
            raise
        except errors.ClaimUnavailableError as error:
            return result.Failure(error)
        return await self.build_result(change)

    async def build_result(
        self, change: PendingChange
    ) -> result.Result[ClaimResult, errors.ClaimUnavailableError]:
        """Return the result of a committed claim; a large outcome is read from its own object."""
        if change.verdict is claims_state.ClaimVerdict.SHARD_FULL:
            logger.log(events.Event.CLAIM_SHARD_FULL, shard=shard_name(change.claim))
            return claim_unavailable("the claims of this shard are full")
        if change.verdict is not claims_state.ClaimVerdict.FINISHED or change.stored_record is None:
            return result.Success(ClaimResult(verdict=change.verdict, claim=change.claim))
        outcome = change.stored_record.outcome
        if change.stored_record.outcome_object:
            read = await self.store.get(
                change.stored_record.outcome_object,
                clocks.deadline_after(STORE_CALL_TIMEOUT_SECONDS),
            )
            if not isinstance(read, result.Success):
                return claim_unavailable("the recorded outcome cannot be read now")
            try:
                outcome = claims_state.decode_outcome(read.unwrap().value)
            except errors.ClaimShardError as error:
                return claim_unavailable(f"the recorded outcome is unreadable: {error}")
        return result.Success(
            ClaimResult(verdict=change.verdict, claim=change.claim, outcome=outcome)
        )

    def finish(
        self, claim: claims_state.Claim, outcome: claims_state.RecordedOutcome | None
    ) -> asyncio.Future[None]:
        """Record the outcome of a call that was run, None if it is too large to be stored.

        The write is retried in the background. Return a future that is done when the outcome is
        recorded or dropped.
        """
        size = len(outcome.body) if outcome is not None else 0
        change = PendingChange(ChangeKind.FINISH, claim, float("inf"), size)
        change.finished_record = claims_state.ClaimRecord(
            request_digest=claim.request_digest,
            nonce=claim.nonce,
            state=claims_state.ClaimState.FINISHED,
            changed_at=time.time(),
            outcome=outcome,
            outcome_lost=outcome is None,
        )
        self.enqueue_background(change)
        return change.done

    def release(self, claim: claims_state.Claim, *, write_uncertain: bool = False) -> None:
        """Release a claim whose call was certainly not run; retried in the background.

        ``write_uncertain`` means that a write of the claim may still take effect. The shard is then
        written even if it has no such claim, so that the late write meets a version conflict.
        """
        change = PendingChange(ChangeKind.RELEASE, claim, float("inf"))
        change.write_uncertain = write_uncertain
        self.enqueue_background(change)

    async def close(self, deadline: float) -> None:
        """Wait for pending changes until ``deadline`` (monotonic seconds), then drop the rest."""
        while self.group.tasks and time.monotonic() < deadline:
            await asyncio.wait(
                list(self.group.tasks),
                timeout=clocks.remaining_seconds(deadline),
                return_when=asyncio.FIRST_COMPLETED,
            )
        await self.group.cancel()

    def cancel_claim(self, change: PendingChange) -> None:
        """Withdraw a claim that its caller no longer waits for."""
        queue = self.shard_queues.get(shard_name(change.claim))
        if queue is not None and change in queue.changes:
            queue.changes.remove(change)
            if not change.write_uncertain:
                return
        if change.done.done() and change.done.exception() is not None:
            return
        # The claim has been written or is being written. The release is queued behind it, so it is
        # applied afterwards.
        change.deadline = 0.0
        change.done.cancel()
        self.release(change.claim, write_uncertain=True)

    def enqueue_background(self, change: PendingChange) -> None:
        """Queue a change that is retried until it succeeds; drop it if too many are pending."""
        full = (
            self.background_count >= MAXIMUM_BACKGROUND_CHANGES
            or self.background_bytes + change.size_bytes > MAXIMUM_BACKGROUND_BYTES
        )
        if full:
            logger.log(events.Event.CLAIM_CHANGE_DROPPED, kind=change.kind.value)
            change.done.set_result(None)
            return
        self.background_count += 1
        self.background_bytes += change.size_bytes
        change.done.add_done_callback(lambda _: self.on_background_done(change))
        self.enqueue(change)

    def on_background_done(self, change: PendingChange) -> None:
        """Stop counting a background change that was committed or dropped."""
        self.background_count -= 1
        self.background_bytes -= change.size_bytes

    def enqueue(self, change: PendingChange) -> None:
        """Add a change to the queue of its shard."""
        self.get_or_create_queue(shard_name(change.claim)).changes.append(change)

    def get_or_create_queue(self, name: str) -> ShardQueue:
        """Return the queue of a shard; create it and start its commit task if needed."""
        queue = self.shard_queues.get(name)
        if queue is None:
            queue = ShardQueue(name)
            self.shard_queues[name] = queue
            queue.task = self.group.spawn(self.commit_queue(queue), f"claims {name}")
        return queue

    async def commit_queue(self, queue: ShardQueue) -> None:
        """Commit the changes of a shard in groups until the queue is empty.

        Postponed changes are applied first, so that a key is released before it is claimed again.
        """
        try:
            while True:
                await asyncio.sleep(GROUP_COMMIT_DELAY_SECONDS)
                changes = self.postponed.pop(queue.name, []) + queue.changes
                queue.changes = []
                try:
                    await self.commit_group(queue, changes)
                except Exception as error:
                    # A write may have taken effect before the error.
                    for change in changes:
                        change.write_uncertain = True
                    failure = errors.StoreUnavailableError(queue.name, f"{error!r}")
                    self.postpone(queue, changes, failure)
                if not queue.changes:
                    return
        finally:
            del self.shard_queues[queue.name]

    async def retry_postponed(self) -> None:
        """Commit postponed changes, one shard at a time.

        During an outage an entry thus makes one attempt per backoff interval, regardless of the
        number of shards with postponed changes.
        """
        while self.postponed:
            await asyncio.sleep(self.backoff_seconds)
            if self.postponed:
                queue = self.get_or_create_queue(next(iter(self.postponed)))
                if queue.task is not None:
                    await asyncio.wait({queue.task})

    async def commit_group(self, queue: ShardQueue, changes: list[PendingChange]) -> None:
        """Commit a group of changes; retry conflicts and lost answers, postpone on other errors."""
        while True:
            changes = self.drop_expired(changes)
            if not changes:
                return
            committed = await self.try_commit(queue, changes)
            if isinstance(committed, result.Success):
                self.backoff_seconds = 0.0
                resolve(changes)
                return
            error = committed.failure()
            if isinstance(error, errors.VersionConflictError):
                await asyncio.sleep(random.uniform(0.0, MAXIMUM_CONFLICT_DELAY_SECONDS))
                continue
            if isinstance(error, errors.StoreAnswerLostError):
                logger.log(events.Event.CLAIM_WRITE_ANSWER_LOST, shard=queue.name)
                for change in changes:
                    change.write_uncertain = True
                await asyncio.sleep(random.uniform(0.0, MAXIMUM_CONFLICT_DELAY_SECONDS))
                continue
            self.postpone(queue, changes, error)
            return

    async def try_commit(
        self, queue: ShardQueue, changes: list[PendingChange]
    ) -> result.Result[None, errors.StoreError]:
        """Apply the changes to the shard's object and write it if its content changes.

        The cached value is tried first. Only a successful conditional write proves that it was
        current; in all other cases the object is read.

        After a lost answer the read shows whether the write took effect. If it did not, the new
        write expects the same version, so that the delayed first write meets a conflict.
        """
        cached = self.cached_shards.pop(queue.name, None)
        if cached is not None:
            version, value = cached
            shard = claims_state.ClaimShard.decode(value)
            written = await self.write_changes(queue, changes, version, shard)
            if isinstance(written, result.Success):
                if written.unwrap():
                    return result.Success(None)
            elif not isinstance(written.failure(), errors.VersionConflictError):
                return result.Failure(written.failure())
        read = await self.read_shard(queue.name)
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        version, shard = read.unwrap()
        written = await self.write_changes(queue, changes, version, shard)
        return written.map(lambda _: None)

    async def write_changes(
        self,
        queue: ShardQueue,
        changes: list[PendingChange],
        version: int,
        shard: claims_state.ClaimShard,
    ) -> result.Result[bool, errors.StoreError]:
        """Apply the changes to ``shard``; Success(False) means that no write was necessary."""
        for change in changes:
            stored = await self.apply_change(shard, change)
            if not isinstance(stored, result.Success):
                return result.Failure(stored.failure())
        needs_fence = any(
            change.write_uncertain and change.kind is ChangeKind.RELEASE for change in changes
        )
        if not shard.dirty and not needs_fence:
            return result.Success(False)
        value = shard.encode()
        written = await self.store.put(
            queue.name, value, version, clocks.deadline_after(STORE_CALL_TIMEOUT_SECONDS)
        )
        if not isinstance(written, result.Success):
            return result.Failure(written.failure())
        self.cache_shard(queue.name, written.unwrap(), value)
        self.schedule_outcome_deletion(shard.pruned)
        return result.Success(True)

    def cache_shard(self, name: str, version: int, value: bytes) -> None:
        """Cache the written value of a shard unless it is too large; evict the oldest one."""
        if len(value) > MAXIMUM_CACHED_SHARD_BYTES:
            return
        self.cached_shards[name] = (version, value)
        if len(self.cached_shards) > MAXIMUM_CACHED_SHARDS:
            del self.cached_shards[next(iter(self.cached_shards))]

    async def read_shard(
        self, name: str
    ) -> result.Result[tuple[int, claims_state.ClaimShard], errors.StoreError]:
        """Return version and content of a shard: 0 and an empty shard if there is no object."""
        read = await self.store.get(name, clocks.deadline_after(STORE_CALL_TIMEOUT_SECONDS))
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

    async def apply_change(
        self, shard: claims_state.ClaimShard, change: PendingChange
    ) -> result.Result[None, errors.StoreError]:
        """Apply one change to the shard; a large outcome is first stored in its own object."""
        if change.kind is ChangeKind.CLAIM:
            change.verdict = shard.claim(change.claim, time.time())
            change.stored_record = shard.records.get(change.claim.key_digest)
        elif change.kind is ChangeKind.RELEASE:
            shard.release(change.claim)
        elif change.finished_record is not None:
            if needs_outcome_object(shard, change.claim, change.finished_record):
                moved = await self.store_outcome(change.claim, change.finished_record)
                if not isinstance(moved, result.Success):
                    return result.Failure(moved.failure())
                change.finished_record = moved.unwrap()
            shard.finish(change.claim, change.finished_record)
        return result.Success(None)

    async def store_outcome(
        self, claim: claims_state.Claim, finished: claims_state.ClaimRecord
    ) -> result.Result[claims_state.ClaimRecord, errors.StoreError]:
        """Write a large outcome to its own object and return a record that refers to it."""
        outcome = typing.cast(claims_state.RecordedOutcome, finished.outcome)
        name = claims_state.outcome_object_name(claim)
        written = await self.store.put(
            name,
            claims_state.encode_outcome(outcome),
            0,
            clocks.deadline_after(STORE_CALL_TIMEOUT_SECONDS),
        )
        # Only this claim writes this object, so a conflict means that an earlier try succeeded.
        if not isinstance(written, result.Success) and not isinstance(
            written.failure(), errors.VersionConflictError
        ):
            return result.Failure(written.failure())
        return result.Success(msgspec.structs.replace(finished, outcome=None, outcome_object=name))

    def drop_expired(self, changes: list[PendingChange]) -> list[PendingChange]:
        """Return the changes without the claims whose deadline has passed."""
        now = time.monotonic()
        return [
            change
            for change in changes
            if change.deadline > now or change.kind is not ChangeKind.CLAIM
        ]

    def postpone(
        self, queue: ShardQueue, changes: list[PendingChange], error: errors.StoreError
    ) -> None:
        """Fail the claims of a group and schedule its other changes for a retry."""
        logger.log(events.Event.CLAIM_STORE_UNAVAILABLE, shard=queue.name, detail=str(error))
        self.backoff_seconds = min(
            MAXIMUM_BACKOFF_SECONDS, max(INITIAL_BACKOFF_SECONDS, self.backoff_seconds * 2)
        )
        background = [change for change in changes if change.kind is not ChangeKind.CLAIM]
        if background:
            self.postponed.setdefault(queue.name, []).extend(background)
            if self.retry_task is None or self.retry_task.done():
                self.retry_task = self.group.spawn(self.retry_postponed(), "claims retry")
        for change in changes:
            if change.kind is ChangeKind.CLAIM and not change.done.done():
                change.done.set_exception(
                    errors.ClaimUnavailableError("the object API is unavailable", RETRY_AFTER_MS)
                )
                if change.write_uncertain:
                    self.release(change.claim, write_uncertain=True)

    def schedule_outcome_deletion(self, pruned: list[claims_state.ClaimRecord]) -> None:
        """Delete the outcome objects of pruned records in the background, without retries."""
        if pruned:
            logger.log(events.Event.CLAIM_RECORDS_PRUNED, records=len(pruned))
        names = [record.outcome_object for record in pruned if record.outcome_object]
        if names:
            self.group.spawn(self.delete_outcomes(names), "claims clean-up")

    async def delete_outcomes(self, names: list[str]) -> None:
        """Delete outcome objects; one that cannot be deleted now stays in the store for good."""
        for name in names:
            read = await self.store.get(name, clocks.deadline_after(STORE_CALL_TIMEOUT_SECONDS))
            if isinstance(read, result.Success):
                await self.store.delete(
                    name, read.unwrap().version, clocks.deadline_after(STORE_CALL_TIMEOUT_SECONDS)
                )


def needs_outcome_object(
    shard: claims_state.ClaimShard,
    claim: claims_state.Claim,
    finished: claims_state.ClaimRecord,
) -> bool:
    """Return whether an outcome is too large for its record or for the shard."""
    if finished.outcome is None:
        return False
    return len(finished.outcome.body) > claims_state.INLINE_OUTCOME_LIMIT_BYTES or not shard.fits(
        claim, finished
    )


def resolve(changes: list[PendingChange]) -> None:
    """Mark committed changes as done."""
    for change in changes:
        if not change.done.done():
            change.done.set_result(None)


def shard_name(claim: claims_state.Claim) -> str:
    """Return the name of the shard object that stores the key of a claim."""
    return claims_state.claim_shard_object_name(claim.key_digest)


def claim_unavailable(detail: str) -> result.Result[typing.Any, errors.ClaimUnavailableError]:
    """Return the failure of a claim that may be tried again after RETRY_AFTER_MS."""
    return result.Failure(errors.ClaimUnavailableError(detail, RETRY_AFTER_MS))
