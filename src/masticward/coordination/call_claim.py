"""The claim of one call on its idempotency key, from the claim to the recorded outcome."""

import asyncio

from returns import result

from masticward import errors
from masticward.coordination import claims
from masticward.models import work
from masticward.state import claims as claims_state
from masticward.state import refusals

# The end of the response waits at most this long for the record of its outcome.
RECORD_WAIT_SECONDS = 0.5


class CallClaim:
    """Claims a key, then records the call's outcome under it or gives it up.

    ``service`` is None at an entry without object API.
    """

    __slots__ = ("claim", "service")

    def __init__(self, service: claims.ClaimService | None) -> None:
        self.service = service
        self.claim: claims_state.Claim | None = None

    @property
    def held(self) -> bool:
        """Whether the key is claimed and no outcome was recorded."""
        return self.claim is not None

    async def open(self, call: work.CallRequest, key: str) -> claims_state.RecordedOutcome | None:
        """Claim the key; returns the recorded outcome if the call was run before.

        Raises RequestRefusedError or OutcomeUnknownError if the call may not run.
        """
        if self.service is None:
            raise refusals.claim_unavailable(
                errors.ClaimUnavailableError("the entry has no object API", 0)
            )
        claimed = await self.service.claim(
            call.team,
            call.service,
            key,
            claims_state.request_digest(call.method, call.path, call.body),
            call.deadline,
        )
        if not isinstance(claimed, result.Success):
            raise refusals.claim_unavailable(claimed.failure())
        answer: claims.ClaimResult = claimed.unwrap()
        if answer.verdict is claims_state.ClaimVerdict.GRANTED:
            self.claim = answer.claim
            return None
        if answer.verdict is claims_state.ClaimVerdict.OTHER_REQUEST:
            raise refusals.key_of_other_request()
        if answer.verdict is claims_state.ClaimVerdict.UNFINISHED:
            raise refusals.key_unfinished()
        if answer.outcome is None:
            raise refusals.outcome_not_kept()
        return answer.outcome

    async def record(self, outcome: claims_state.RecordedOutcome | None) -> None:
        """Record the outcome of a claimed call, None if it is too large to keep."""
        if self.claim is not None and self.service is not None:
            recorded = self.service.finish(self.claim, outcome)
            self.claim = None
            await asyncio.wait({recorded}, timeout=RECORD_WAIT_SECONDS)

    def release(self) -> None:
        """Give up the claim of a call that surely was not run."""
        if self.claim is not None and self.service is not None:
            self.service.release(self.claim)
            self.claim = None
