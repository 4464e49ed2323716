"""Calls to the endpoint beside the agent: a language-model engine or a plain service."""

import abc
import collections.abc
import contextvars
import typing

import aiohttp
import aiohttp.tracing
import msgspec
import multidict
import yarl
from returns import result

from masticward import errors
from masticward.models import attempts, work
from masticward.transport import connection_headers, http_calls, token_stream
from masticward.utils import clocks

ATTEMPT_ID_HEADER = "Masticward-Attempt-Id"
REQUEST_ID_HEADER = "Masticward-Request-Id"
TEAM_HEADER = "Masticward-Team"
NOT_RUN_HEADER = "Masticward-Endpoint"
NOT_RUN_VALUE = "not-run"
SERVICE_UNAVAILABLE = 503
CONNECT_TIMEOUT_SECONDS = 2.0
# A plain call is not cut off when its caller's deadline passes; this bounds one that hangs.
PLAIN_OVERRUN_SECONDS = 60.0
# The agent sets the last three itself.
DROPPED_HEADERS = (
    connection_headers.HOP_BY_HOP
    | connection_headers.FRAMING
    | {ATTEMPT_ID_HEADER.lower(), REQUEST_ID_HEADER.lower(), TEAM_HEADER.lower()}
)
DEFAULT_HEADERS_NOT_SENT = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
BODYLESS_STATUSES = frozenset({204, 304})


def accept_always() -> None:
    """Allow every call to be sent."""


class EndpointRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A call to the endpoint. Costs are in cost units.

    ``before_send`` is called when the connection is open and nothing has been sent; what it raises
    ends the call, which has then not started.
    """

    attempt_id: str
    call: work.CallRequest
    idempotent: bool
    fixed_cost: float = 0.0
    prompt_token_weight: float = 0.0
    output_token_weight: float = 0.0
    before_send: collections.abc.Callable[[], None] = accept_always


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """The endpoint's own report, which lags. ``limit_hint`` is 0 if the endpoint gave none."""

    running: int
    limit_hint: int = 0
    cold: bool = False
    leaving: bool = False
    incarnation: int = 0


class Endpoint(abc.ABC):
    """The endpoint beside the agent."""

    @abc.abstractmethod
    def run(
        self, request: EndpointRequest
    ) -> collections.abc.AsyncGenerator[attempts.EndpointEvent, None]:
        """Run a call: one ResponseHead, then ResponseChunks, then the normal end.

        Raises EndpointNotStartedError if the call surely did not start and EndpointBrokenError if
        it may have run and its whole response did not come.
        """

    @abc.abstractmethod
    async def load(self, deadline: float) -> result.Result[LoadReport, errors.LoadReportError]:
        """Read the load report by a monotonic deadline."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class Sending:
    """One call on its way to the endpoint. ``connected`` means that it may have been sent."""

    __slots__ = ("before_send", "connected")

    def __init__(self, before_send: collections.abc.Callable[[], None]) -> None:
        self.before_send = before_send
        self.connected = False

    def allow(self) -> None:
        """Allow the call to be sent once. Raises what forbids it."""
        if self.connected:
            raise errors.EndpointBrokenError("the connection closed without a response")
        self.before_send()
        self.connected = True


current_sending: contextvars.ContextVar[Sending | None] = contextvars.ContextVar(
    "current_sending", default=None
)


class CheckingConnector(aiohttp.TCPConnector):
    """Asks the call's Sending between opening the connection and sending.

    aiohttp sends GET, PUT and DELETE once more, on another connection, if a kept-alive connection
    is closed without a response. The second connection is not allowed.
    """

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> typing.Any:
        """Return an open connection, closed again if the call may not be sent."""
        connection = await super().connect(req, traces, timeout)
        while connection.protocol is not None and connection.protocol.should_close:
            # Bytes came while it was idle; they would be read as the response to this call.
            connection.close()
            connection = await super().connect(req, traces, timeout)
        sending = current_sending.get()
        try:
            if sending is not None:
                sending.allow()
        except BaseException:
            connection.close()
            raise
        return connection


class HttpEndpoint(Endpoint):
    """What engine and plain service have in common. ``base_url`` has no path."""

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")
        self.kept_session = open_session(force_close=False)
        self.fresh_session = open_session(force_close=True)

    async def load(self, deadline: float) -> result.Result[LoadReport, errors.LoadReportError]:
        """Read ``GET /load``."""
        timeout = aiohttp.ClientTimeout(total=max(0.001, clocks.remaining_seconds(deadline)))
        try:
            async with self.kept_session.get(f"{self.base_url}/load", timeout=timeout) as response:
                body = await http_calls.read_body(response)
                if response.status != 200:
                    return result.Failure(errors.LoadReportError(f"status {response.status}"))
            return result.Success(msgspec.json.decode(body, type=LoadReport))
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError) as error:
            return result.Failure(errors.LoadReportError(describe(error)))

    async def close(self) -> None:
        """Close both sessions."""
        await self.kept_session.close()
        await self.fresh_session.close()

    async def exchange(
        self, request: EndpointRequest, total_seconds: float
    ) -> collections.abc.AsyncGenerator[attempts.ResponseHead | bytes, None]:
        """Send the call and yield the head, then the body as it arrives."""
        response = await self.send(request, total_seconds)
        try:
            check_run(response)
            yield attempts.ResponseHead(response.status, forwarded(response.headers))
            async for data in response.content.iter_any():
                yield data
            check_delimited(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.EndpointBrokenError(describe(error)) from error
        finally:
            if response.content.at_eof():
                response.release()
            else:
                # Closing the connection cancels the engine's stream.
                response.close()

    async def send(self, request: EndpointRequest, total_seconds: float) -> aiohttp.ClientResponse:
        """Send the call and return the response with its head read."""
        # The endpoint may close a kept-alive connection just as a call is sent on it; what became
        # of the call is then unknown. A call that must not be repeated gets a fresh connection.
        session = self.kept_session if request.idempotent else self.fresh_session
        sending = Sending(request.before_send)
        token = current_sending.set(sending)
        try:
            return await session.request(
                request.call.method,
                yarl.URL(self.base_url + request.call.path, encoded=True),
                data=request.call.body or None,
                headers=request_headers(request),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=max(0.001, total_seconds), sock_connect=CONNECT_TIMEOUT_SECONDS
                ),
            )
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            if sending.connected:
                raise errors.EndpointBrokenError(describe(error)) from error
            raise errors.EndpointNotStartedError(describe(error)) from error
        finally:
            current_sending.reset(token)


class EngineEndpoint(HttpEndpoint):
    """A language-model engine. Closing the iterator closes the connection and so the stream."""

    async def run(
        self, request: EndpointRequest
    ) -> collections.abc.AsyncGenerator[attempts.EndpointEvent, None]:
        """Run a call; the prompt's cost comes with the first chunk, a token's with its event."""
        counter = token_stream.TokenCounter()
        cost = token_stream.prompt_tokens(request.call.body) * request.prompt_token_weight
        head: attempts.ResponseHead | None = None
        exchange = self.exchange(request, clocks.remaining_seconds(request.call.deadline))
        try:
            async for part in exchange:
                if isinstance(part, attempts.ResponseHead):
                    head = part
                    yield part
                    continue
                cost += counter.feed(part) * request.output_token_weight
                yield attempts.ResponseChunk(part, cost)
                cost = 0.0
        finally:
            await exchange.aclose()
        if head is not None and is_event_stream(head) and not counter.done:
            raise errors.EndpointBrokenError("the event stream ended without its end mark")
        if cost:
            yield attempts.ResponseChunk(b"", cost)


class PlainEndpoint(HttpEndpoint):
    """A plain service. A call runs past its caller's deadline, but not without bound."""

    async def run(
        self, request: EndpointRequest
    ) -> collections.abc.AsyncGenerator[attempts.EndpointEvent, None]:
        """Run a call; its fixed cost comes with the first chunk."""
        seconds = clocks.remaining_seconds(request.call.deadline) + PLAIN_OVERRUN_SECONDS
        cost = request.fixed_cost
        exchange = self.exchange(request, seconds)
        try:
            async for part in exchange:
                if isinstance(part, attempts.ResponseHead):
                    yield part
                    continue
                yield attempts.ResponseChunk(part, cost)
                cost = 0.0
        finally:
            await exchange.aclose()
        if cost:
            yield attempts.ResponseChunk(b"", cost)


def open_session(force_close: bool) -> aiohttp.ClientSession:
    """Open a session that changes nothing in requests and responses and keeps no cookies."""
    return aiohttp.ClientSession(
        # The agent's admission limit bounds the connections.
        connector=CheckingConnector(limit=0, force_close=force_close),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=DEFAULT_HEADERS_NOT_SENT,
        timeout=aiohttp.ClientTimeout(total=None),
    )


def request_headers(request: EndpointRequest) -> multidict.CIMultiDict[str]:
    """Return the caller's headers that are passed on, and those that the agent sets."""
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict(drop_headers(request.call.headers))
    headers[ATTEMPT_ID_HEADER] = request.attempt_id
    headers[REQUEST_ID_HEADER] = request.call.request_id
    headers[TEAM_HEADER] = request.call.team
    return headers


def forwarded(headers: collections.abc.Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    """Return the response headers that are passed on."""
    return tuple(drop_headers(tuple(headers.items())))


def drop_headers(headers: tuple[tuple[str, str], ...]) -> list[tuple[str, str]]:
    """Leave out the headers that hold for one connection only."""
    return [(name, value) for name, value in headers if name.lower() not in DROPPED_HEADERS]


def check_run(response: aiohttp.ClientResponse) -> None:
    """Raise EndpointNotStartedError if the endpoint says that it did not run the call."""
    refused = response.headers.get(NOT_RUN_HEADER, "") == NOT_RUN_VALUE
    if response.status == SERVICE_UNAVAILABLE and refused:
        raise errors.EndpointNotStartedError("the endpoint refused the call", overloaded=True)


def check_delimited(response: aiohttp.ClientResponse) -> None:
    """Raise EndpointBrokenError if the end of the body cannot be told from a cut connection."""
    if response.method == "HEAD" or response.status in BODYLESS_STATUSES:
        return
    encoding = response.headers.get("Transfer-Encoding", "").lower()
    if "Content-Length" not in response.headers and "chunked" not in encoding:
        raise errors.EndpointBrokenError("the response has neither a length nor chunks")


def is_event_stream(head: attempts.ResponseHead) -> bool:
    """Tell whether the response is a stream of server-sent events."""
    return head.status == 200 and any(
        name.lower() == "content-type" and value.lower().startswith("text/event-stream")
        for name, value in head.headers
    )


def describe(error: BaseException) -> str:
    """Return the type and text of a library's error; it holds no part of the call."""
    if isinstance(error, TimeoutError):
        return f"{type(error).__name__}: the time was up"
    return f"{type(error).__name__}: {error}"
