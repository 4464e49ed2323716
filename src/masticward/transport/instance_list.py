"""The platform's instance list."""

import abc
import http
import typing

import aiohttp
import msgspec
from returns import result

from masticward import errors
from masticward.models import membership
from masticward.transport import http_calls


class ListedInstance(msgspec.Struct, kw_only=True, frozen=True):
    """One instance as the instance list writes it."""

    id: str
    role: membership.Role
    zone: str
    peer_address: str
    service: str = ""
    admin_address: str = ""
    state: typing.Literal["live", "leaving"] = "live"


class ListReply(msgspec.Struct, frozen=True):
    """The body of the list."""

    instances: list[ListedInstance]


class InstanceList(abc.ABC):
    """A client of the instance list."""

    @abc.abstractmethod
    async def fetch(
        self, deadline: float
    ) -> result.Result[list[membership.Instance], errors.InstanceListError]:
        """Read the whole list before a monotonic deadline in seconds."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class HttpInstanceList(InstanceList):
    """The instance list over HTTP.

    An unchanged list is not transferred again if the platform gives entity tags; ``fetch`` then
    returns the same list object as before, which callers must not change.
    """

    __slots__ = ("base_url", "latest", "session", "tag")

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")
        self.session: aiohttp.ClientSession | None = None
        self.tag = ""
        self.latest: list[membership.Instance] = []

    async def fetch(
        self, deadline: float
    ) -> result.Result[list[membership.Instance], errors.InstanceListError]:
        """Read the whole list before a monotonic deadline in seconds."""
        if self.session is None:
            # The list may be compressed, so Accept-Encoding stays; the platform ignores the others.
            self.session = aiohttp.ClientSession(
                trust_env=False, skip_auto_headers=("Accept", "User-Agent")
            )
        headers = {"If-None-Match": self.tag} if self.tag else {}
        try:
            async with self.session.get(
                f"{self.base_url}/v1/instances",
                headers=headers,
                timeout=http_calls.client_timeout(deadline),
            ) as response:
                body = await http_calls.read_body(response)
                if response.status == http.HTTPStatus.NOT_MODIFIED and self.tag:
                    return result.Success(self.latest)
                if response.status != http.HTTPStatus.OK:
                    return result.Failure(errors.InstanceListError(f"status {response.status}"))
            listed = msgspec.json.decode(body, type=ListReply).instances
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError) as error:
            return result.Failure(errors.InstanceListError(http_calls.describe(error)))
        self.latest = [as_instance(instance) for instance in listed]
        self.tag = response.headers.get("ETag", "")
        return result.Success(self.latest)

    async def close(self) -> None:
        """Close the connections."""
        if self.session is not None:
            await self.session.close()
            self.session = None


def as_instance(listed: ListedInstance) -> membership.Instance:
    """Return a listed instance in the terms of the fleet."""
    return membership.Instance(
        id=listed.id,
        role=listed.role,
        service=listed.service,
        availability_zone=listed.zone,
        peer_address=listed.peer_address,
        admin_address=listed.admin_address,
        leaving=listed.state == "leaving",
    )
