"""The platform's object API: versions, conditional updates and watches."""

import abc
import http
import types
import typing
import urllib.parse

import aiohttp
import msgspec
import yarl
from returns import result

from masticward import errors
from masticward.transport import http_calls, single_send
from masticward.utils import clocks

# The store answers a watch this much before the client gives up on it.
WATCH_ANSWER_MARGIN_MS = 200
WRITE_CONNECTIONS = 64
MAXIMUM_VALUE_BYTES = 1024 * 1024
# Headers that aiohttp adds and the object API does not use. They are half of a small call's bytes,
# which count as control traffic. A reply to a read may be compressed, so Accept-Encoding stays.
OMITTED_READ_HEADERS = ("Accept", "User-Agent")
OMITTED_WRITE_HEADERS = (*OMITTED_READ_HEADERS, "Accept-Encoding", "Content-Type")


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """A value with the version that the object API gave it."""

    name: str
    version: int
    value: bytes


class Reply(msgspec.Struct, frozen=True):
    """A complete HTTP reply. ``version`` is None if it carried no entity tag."""

    status: int
    version: int | None
    body: bytes

    @classmethod
    async def from_response(cls, response: aiohttp.ClientResponse) -> "Reply":
        """Read the reply to its end."""
        version = parse_version(response.headers.get("ETag"))
        return cls(response.status, version, await http_calls.read_body(response))


class NameList(msgspec.Struct, frozen=True):
    """The body of a listing."""

    names: list[str]


class WriteProgress:
    """Whether a write may have been sent: ``connected`` is True once its connection is open."""

    __slots__ = ("connected",)

    def __init__(self) -> None:
        self.connected = False


class ObjectStore(abc.ABC):
    """A client of the object API. Deadlines are monotonic seconds.

    Every call may return StoreUnavailableError; it then had no effect.
    """

    @abc.abstractmethod
    async def get(
        self, name: str, deadline: float
    ) -> result.Result[StoredObject, errors.StoreError]:
        """Read one object; ObjectNotFoundError if there is none."""

    @abc.abstractmethod
    async def put(
        self, name: str, value: bytes, expected_version: int, deadline: float
    ) -> result.Result[int, errors.StoreError]:
        """Write one object if it has ``expected_version`` (0: does not exist); the new version.

        VersionConflictError if it has another version, StoreAnswerLostError if the write may have
        taken effect.
        """

    @abc.abstractmethod
    async def watch(
        self, name: str, known_version: int, deadline: float
    ) -> result.Result[StoredObject | None, errors.StoreError]:
        """Wait for a version above ``known_version``; None if there was none by the deadline."""

    @abc.abstractmethod
    async def delete(
        self, name: str, expected_version: int, deadline: float
    ) -> result.Result[None, errors.StoreError]:
        """Delete one object if it has ``expected_version``; errors as for ``put``."""

    @abc.abstractmethod
    async def list_names(
        self, prefix: str, deadline: float
    ) -> result.Result[list[str], errors.StoreError]:
        """List the names that start with ``prefix``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class HttpObjectStore(ObjectStore):
    """The object API over HTTP.

    Reads share kept-alive connections. Every write has a connection of its own and is sent once.
    """

    __slots__ = ("base_url", "read_session", "write_session")

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")
        self.read_session: aiohttp.ClientSession | None = None
        self.write_session: aiohttp.ClientSession | None = None

    async def get(
        self, name: str, deadline: float
    ) -> result.Result[StoredObject, errors.StoreError]:
        """Read one object; ObjectNotFoundError if there is none."""
        answer = await self.read(name, self.object_url(name), {}, deadline)
        return answer.bind(lambda reply: as_stored_object(name, reply))

    async def watch(
        self, name: str, known_version: int, deadline: float
    ) -> result.Result[StoredObject | None, errors.StoreError]:
        """Wait for a version above ``known_version``; None if there was none by the deadline."""
        wait_ms = max(0, clocks.remaining_ms(deadline) - WATCH_ANSWER_MARGIN_MS)
        query = {"watch": str(known_version), "timeout_ms": str(wait_ms)}
        answer = await self.read(name, self.object_url(name), query, deadline)
        if isinstance(answer, result.Failure):
            return result.Failure(answer.failure())
        reply = answer.unwrap()
        if reply.status == http.HTTPStatus.NOT_MODIFIED:
            return result.Success(None)
        stored = as_stored_object(name, reply)
        if isinstance(stored, result.Failure):
            return result.Failure(stored.failure())
        return result.Success(stored.unwrap())

    async def list_names(
        self, prefix: str, deadline: float
    ) -> result.Result[list[str], errors.StoreError]:
        """List the names that start with ``prefix``."""
        url = f"{self.base_url}/v1/objects"
        answer = await self.read(prefix, url, {"prefix": prefix}, deadline)
        return answer.bind(lambda reply: as_names(prefix, reply))

    async def put(
        self, name: str, value: bytes, expected_version: int, deadline: float
    ) -> result.Result[int, errors.StoreError]:
        """Write one object if it has ``expected_version`` (0: does not exist); the new version."""
        condition = (
            {"If-None-Match": "*"}
            if expected_version == 0
            else {"If-Match": format_version(expected_version)}
        )
        answer = await self.write("PUT", name, value, condition, deadline)
        return answer.bind(lambda reply: as_written_version(name, reply))

    async def delete(
        self, name: str, expected_version: int, deadline: float
    ) -> result.Result[None, errors.StoreError]:
        """Delete one object if it has ``expected_version``; errors as for ``put``."""
        condition = {"If-Match": format_version(expected_version)}
        answer = await self.write("DELETE", name, None, condition, deadline)
        return answer.map(lambda _: None)

    async def read(
        self, name: str, url: str | yarl.URL, query: dict[str, str], deadline: float
    ) -> result.Result[Reply, errors.StoreError]:
        """Send one GET; every failure but a missing object is StoreUnavailableError."""
        if self.read_session is None:
            self.read_session = aiohttp.ClientSession(
                trust_env=False, skip_auto_headers=OMITTED_READ_HEADERS
            )
        try:
            async with self.read_session.get(
                url, params=query, timeout=http_calls.client_timeout(deadline)
            ) as response:
                reply = await Reply.from_response(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return result.Failure(errors.StoreUnavailableError(name, http_calls.describe(error)))
        if reply.status == http.HTTPStatus.NOT_FOUND:
            return result.Failure(errors.ObjectNotFoundError(name))
        if reply.status not in (http.HTTPStatus.OK, http.HTTPStatus.NOT_MODIFIED):
            return result.Failure(errors.StoreUnavailableError(name, f"status {reply.status}"))
        return result.Success(reply)

    async def write(
        self, method: str, name: str, value: bytes | None, headers: dict[str, str], deadline: float
    ) -> result.Result[Reply, errors.StoreError]:
        """Send one PUT or DELETE on a fresh connection and classify its failure."""
        if self.write_session is None:
            self.write_session = new_write_session()
        progress = WriteProgress()
        if clocks.remaining_seconds(deadline) <= 0:
            return result.Failure(errors.StoreUnavailableError(name, "deadline passed"))
        try:
            async with self.write_session.request(
                method,
                self.object_url(name),
                data=value,
                headers=headers,
                timeout=http_calls.client_timeout(deadline),
                trace_request_ctx=progress,
            ) as response:
                reply = await Reply.from_response(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if progress.connected:
                return result.Failure(errors.StoreAnswerLostError(name, http_calls.describe(error)))
            return result.Failure(errors.StoreUnavailableError(name, http_calls.describe(error)))
        return classify_write(name, reply)

    async def close(self) -> None:
        """Close the connections."""
        for session in (self.read_session, self.write_session):
            if session is not None:
                await session.close()
        self.read_session = self.write_session = None

    def object_url(self, name: str) -> yarl.URL:
        """Return the URL of one object."""
        quoted = urllib.parse.quote(name, safe="/")
        return yarl.URL(f"{self.base_url}/v1/objects/{quoted}", encoded=True)


def new_write_session() -> aiohttp.ClientSession:
    """Return a session that opens a connection for each request and notes when it is open."""

    async def note_connected(
        session: aiohttp.ClientSession, context: types.SimpleNamespace, params: typing.Any
    ) -> None:
        context.trace_request_ctx.connected = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(note_connected)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True, limit=WRITE_CONNECTIONS),
        trace_configs=[trace],
        middlewares=(single_send.send_once,),
        skip_auto_headers=OMITTED_WRITE_HEADERS,
        trust_env=False,
    )


def classify_write(name: str, reply: Reply) -> result.Result[Reply, errors.StoreError]:
    """Return the reply of a write that succeeded, else what its status means for the write."""
    if reply.status in (http.HTTPStatus.OK, http.HTTPStatus.CREATED, http.HTTPStatus.NO_CONTENT):
        return result.Success(reply)
    if reply.status == http.HTTPStatus.PRECONDITION_FAILED:
        return result.Failure(errors.VersionConflictError(name, reply.version or 0))
    detail = f"status {reply.status}"
    # Any other 5xx may come from something between client and store, after the write.
    if reply.status < 500 or reply.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        return result.Failure(errors.StoreUnavailableError(name, detail))
    return result.Failure(errors.StoreAnswerLostError(name, detail))


def as_stored_object(name: str, reply: Reply) -> result.Result[StoredObject, errors.StoreError]:
    """Return the object in a reply to a read."""
    if reply.version is None:
        return result.Failure(errors.StoreUnavailableError(name, "reply without version"))
    return result.Success(StoredObject(name=name, version=reply.version, value=reply.body))


def as_written_version(name: str, reply: Reply) -> result.Result[int, errors.StoreError]:
    """Return the new version in a reply to a write."""
    if reply.version is None:
        return result.Failure(errors.StoreAnswerLostError(name, "reply without version"))
    return result.Success(reply.version)


def as_names(prefix: str, reply: Reply) -> result.Result[list[str], errors.StoreError]:
    """Return the names in a reply to a listing."""
    try:
        return result.Success(msgspec.json.decode(reply.body, type=NameList).names)
    except msgspec.DecodeError as error:
        return result.Failure(errors.StoreUnavailableError(prefix, str(error)))


def format_version(version: int) -> str:
    """Return a version as an entity tag."""
    return f'"{version}"'


def parse_version(tag: str | None) -> int | None:
    """Return the version in an entity tag, None if there is none."""
    text = (tag or "").strip('"')
    return int(text) if text.isdecimal() else None
