"""The claim of one call on its idempotency key."""

import asyncio

from returns import result

from masticward import errors
from masticward.coordination import claims
from masticward.models import work
from masticward.state import claims as claims_state
from masticward.state import refusals

# Longest delay of the end of a response while its outcome is being recorded.
RECORD_TIMEOUT_SECONDS = 0.5


class CallClaim:
    """Claims an idempotency key, then records the outcome of its call or releases the key.

    ``claim_service`` is None in an entry without object API, which refuses keyed calls.
    """

    __slots__ = ("claim", "claim_service")

    def __init__(self, claim_service: claims.ClaimService | None) -> None:
        self.claim_service = claim_service
        self.claim: claims_state.Claim | None = None

    @property
    def is_held(self) -> bool:
        """Whether the key is claimed and has neither been released nor given an outcome."""
        return self.claim is not None

    async def acquire(
        self, call: work.CallRequest, key: str
    ) -> claims_state.RecordedOutcome | None:
        """Claim the key; return the recorded outcome if the call was completed before.

        Raises RequestRefusedError or OutcomeUnknownError if the call may not run.
        """
        if self.claim_service is None:
            raise refusals.claim_unavailable(
                errors.ClaimUnavailableError("the entry has no object API", 0)
            )
        claim_result = await self.claim_service.claim(
            call.team,
            call.service,
            key,
            claims_state.request_digest(call.method, call.path, call.body),
            call.deadline,
        )
        if not isinstance(claim_result, result.Success):
            raise refusals.claim_unavailable(claim_result.failure())
        claimed: claims.ClaimResult = claim_result.unwrap()
        if claimed.verdict is claims_state.ClaimVerdict.GRANTED:
            self.claim = claimed.claim
            return None
        if claimed.verdict is claims_state.ClaimVerdict.OTHER_REQUEST:
            raise refusals.key_of_other_request()
        if claimed.verdict is claims_state.ClaimVerdict.UNFINISHED:
            raise refusals.key_unfinished()
        if claimed.outcome is None:
            raise refusals.outcome_not_kept()
        return claimed.outcome

    async def record(self, outcome: claims_state.RecordedOutcome | None) -> None:
        """Record the outcome of a call whose key is claimed, None if it is too large to store."""
        if self.claim is not None and self.claim_service is not None:
            recorded = self.claim_service.finish(self.claim, outcome)
            self.claim = None
            await asyncio.wait({recorded}, timeout=RECORD_TIMEOUT_SECONDS)

    def release(self) -> None:
        """Release the key of a call that was certainly not run."""
        if self.claim is not None and self.claim_service is not None:
            self.claim_service.release(self.claim)
            self.claim = None
