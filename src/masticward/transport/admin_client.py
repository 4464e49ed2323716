"""A client of the admin ports of other processes."""

import types
import typing

import aiohttp
import msgspec
from returns import result

from masticward import errors
from masticward.transport import http_calls

AnswerT = typing.TypeVar("AnswerT")


class AdminClient:
    """Reads from admin ports; used as an asynchronous context manager."""

    __slots__ = ("session",)

    def __init__(self) -> None:
        self.session = aiohttp.ClientSession(trust_env=False)

    async def __aenter__(self) -> "AdminClient":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        await self.session.close()

    async def get(
        self, admin_address: str, path: str, kind: type[AnswerT], deadline: float
    ) -> result.Result[AnswerT, errors.AdminPortError]:
        """Return the JSON value at a path, whatever the HTTP status, by a monotonic deadline."""
        if not admin_address:
            return result.Failure(errors.AdminPortError("no admin address is listed"))
        try:
            async with self.session.get(
                f"http://{admin_address}{path}", timeout=http_calls.client_timeout(deadline)
            ) as response:
                return result.Success(
                    msgspec.json.decode(await http_calls.read_body(response), type=kind)
                )
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as error:
            return result.Failure(errors.AdminPortError(http_calls.describe(error)))
