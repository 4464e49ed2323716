"""What the HTTP server needs of the router, so that transport does not depend on coordination."""

import abc

import msgspec

from masticward import errors
from masticward.transport import response_sink


class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller sent before the body. ``path`` is without query, ``target`` with it.

    ``deadline_seconds`` and ``cost_hint`` (cost units) are 0 if the caller gave none.
    """

    method: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    credential: str
    deadline_seconds: float = 0.0
    cost_hint: float = 0.0
    idempotency_key: str = ""


class Admission(abc.ABC):
    """A request whose head was accepted. ``deadline`` is in monotonic seconds."""

    deadline: float

    @abc.abstractmethod
    def grow(self, size: int) -> None:
        """Count ``size`` more bytes of the body before they are kept.

        Raises RequestRefusedError if the team or the entry holds too much.
        """

    @abc.abstractmethod
    async def serve(self, body: bytes, sink: response_sink.ResponseSink) -> None:
        """Bring the request to its outcome; the sink then has the whole response.

        If the calling task is cancelled, the caller counts as gone.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Forget the admission; must be called once for each."""


class RequestGate(abc.ABC):
    """Admits requests."""

    draining: bool

    @abc.abstractmethod
    def admit(self, head: RequestHead, request_id: str = "") -> Admission:
        """Accept a request's head. Raises RequestRefusedError; nothing is held then."""

    @abc.abstractmethod
    def count_refused(self, error: errors.RequestRefusedError) -> None:
        """Count a request that was refused before it was queued."""
