"""Attempts as received by an agent, and the events they produce."""

import msgspec

from masticward.models import work


class AttemptRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt to run a call. ``entry_peer_address`` is empty if the entry did not send it."""

    attempt_id: str
    ticket_id: str
    agent_id: str
    agent_incarnation: int
    slot_id: int
    config_version: int
    operations_version: int
    call_digest: int
    call: work.CallRequest
    entry_peer_address: str = ""


class Accepted(msgspec.Struct, frozen=True):
    """The attempt was admitted. Its call has started or is queued; a refusal may still follow."""


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of the endpoint's response, without hop-by-hop headers."""

    status: int
    headers: tuple[tuple[str, str], ...]


class ResponseChunk(msgspec.Struct, frozen=True):
    """A part of the response body, possibly empty, and the cost units that it adds."""

    data: bytes
    cost: float


class Finished(msgspec.Struct, frozen=True):
    """The complete response was delivered. ``cost`` is the total in cost units."""

    cost: float


class Refused(msgspec.Struct, frozen=True):
    """The call was not started, and this attempt will not start it."""

    reason: work.RefusalReason
    retry_after_ms: int = 0
    detail: str = ""


class Failed(msgspec.Struct, frozen=True):
    """There is no complete response. ``may_have_run`` is False if the call was not run."""

    reason: str
    may_have_run: bool = True


EndpointEvent = ResponseHead | ResponseChunk
AttemptEvent = Accepted | ResponseHead | ResponseChunk | Finished | Refused | Failed
