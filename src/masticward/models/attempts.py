"""An attempt as an agent receives it, and what happens in its course."""

import msgspec

from masticward.models import work


class AttemptRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt to run a call. ``entry_peer_address`` is empty if the entry did not tell it."""

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
    """The attempt was taken in. Its call has started or waits to; a refusal may still follow."""


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of the endpoint's response, without hop-by-hop headers."""

    status: int
    headers: tuple[tuple[str, str], ...]


class ResponseChunk(msgspec.Struct, frozen=True):
    """A part of the response body and the cost in cost units that it adds. May be empty."""

    data: bytes
    cost: float


class Finished(msgspec.Struct, frozen=True):
    """The whole response was delivered. ``cost`` is the total in cost units."""

    cost: float


class Refused(msgspec.Struct, frozen=True):
    """The call was not started and will not be."""

    reason: work.RefusalReason
    retry_after_ms: int = 0
    detail: str = ""


class Failed(msgspec.Struct, frozen=True):
    """The call may have run, but there is no whole response."""

    reason: str
    may_have_run: bool = True


EndpointEvent = ResponseHead | ResponseChunk
AttemptEvent = Accepted | ResponseHead | ResponseChunk | Finished | Refused | Failed
