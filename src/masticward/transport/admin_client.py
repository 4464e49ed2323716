"""A client of the admin ports of other processes."""

import types
import typing

import aiohttp
import msgspec

from masticward.utils import clocks


class AdminClient:
    """Asks admin ports; used as an asynchronous context manager."""

    __slots__ = ("session",)

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "AdminClient":
        self.session = aiohttp.ClientSession(trust_env=False)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        if self.session is not None:
            await self.session.close()

    async def get(
        self, admin_address: str, path: str, deadline: float
    ) -> dict[str, typing.Any] | None:
        """Return the JSON object at a path, None if the process gave none by the deadline."""
        if self.session is None or not admin_address:
            return None
        timeout = aiohttp.ClientTimeout(total=clocks.remaining_seconds(deadline))
        try:
            url = f"http://{admin_address}{path}"
            async with self.session.get(url, timeout=timeout) as response:
                answer = msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return None
        return answer if isinstance(answer, dict) else None
