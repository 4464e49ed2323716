"""Where a request's response goes: the caller's connection, seen from the router."""

import abc

from masticward.models import work

Headers = tuple[tuple[str, str], ...]


class ResponseSink(abc.ABC):
    """Writes one response. Writing waits while the caller reads slowly.

    Writing raises CallerGoneError once the caller's connection is lost. ``started`` is True from
    the first byte on; ``abandoned`` silences the sink while its plain call runs to its end.
    """

    started: bool = False
    abandoned: bool = False

    @abc.abstractmethod
    async def send_whole(
        self, status: int, headers: Headers, body: bytes, outcome: work.Outcome
    ) -> None:
        """Send a whole response with its length."""

    @abc.abstractmethod
    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a stream, with outcome complete: a stream that is not whole is cut."""

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Send a part of a stream."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End a stream that is whole."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Break the caller's connection, so that a cut response is seen as an error."""
