"""Client and server of the Peer service, by which processes exchange views and versions.

Any two processes exchange digests and fetch newer configurations and operations states from each
other; operators' commands deliver accepted operations states.
"""

import abc
import collections.abc
import typing

import grpc
import grpc.aio
import msgspec
from returns import result

from masticward import errors
from masticward.models import membership
from masticward.transport import channels
from masticward.utils import clocks
from masticward.wire import masticward_pb2, masticward_pb2_grpc


class ConfigurationParts(msgspec.Struct, frozen=True):
    """A configuration as its encoded manifest and its encoded shards by content hash."""

    version: int
    manifest: bytes
    shards: dict[str, bytes]

    def reply(self, request: masticward_pb2.FetchRequest) -> masticward_pb2.FetchReply:
        """Return the parts that the requester lacks; version 0 if it has this version or later."""
        if self.version <= request.known_version:
            return masticward_pb2.FetchReply(version=0)
        known = set(request.known_shards)
        return masticward_pb2.FetchReply(
            version=self.version,
            manifest=self.manifest,
            shards=[
                masticward_pb2.Shard(name=name, content=content)
                for name, content in self.shards.items()
                if name not in known
            ],
        )


class PeerHandler(abc.ABC):
    """Interface of a process's view to the Peer servicer."""

    @abc.abstractmethod
    def digest(self) -> masticward_pb2.ViewDigest:
        """Return this process's identity and the versions that it has."""

    @abc.abstractmethod
    def receive_digest(self, digest: masticward_pb2.ViewDigest) -> None:
        """Process the digest of a calling peer."""

    @abc.abstractmethod
    def newest(self, kind: int) -> tuple[int, bytes]:
        """Return version and bytes of the newest value of a ``FetchRequest.Kind``.

        The version is 0 if there is none.
        """

    def parts(self) -> ConfigurationParts | None:
        """Return the parts of the newest configuration, None if only its bytes are available."""
        return None

    @abc.abstractmethod
    def receive_delivery(self, delivery: masticward_pb2.Delivery) -> None:
        """Adopt an operations state sent by an operator's command if it is newer and valid."""


class PeerServicer(masticward_pb2_grpc.PeerServicer):
    """Serves the calls of peers from the process's view."""

    def __init__(self, view: PeerHandler) -> None:
        self.view = view

    async def Exchange(  # noqa: N802
        self, request: masticward_pb2.ViewDigest, context: typing.Any
    ) -> masticward_pb2.ViewDigest:
        """Process the caller's digest and return this process's own."""
        self.view.receive_digest(request)
        return self.view.digest()

    async def Fetch(  # noqa: N802
        self, request: masticward_pb2.FetchRequest, context: typing.Any
    ) -> masticward_pb2.FetchReply:
        """Return the newest value, version 0 if it is not newer than the caller's."""
        if request.accepts_shards and request.kind == masticward_pb2.FetchRequest.CONFIGURATION:
            parts = self.view.parts()
            if parts is not None:
                return parts.reply(request)
        version, value = self.view.newest(request.kind)
        if version <= request.known_version:
            return masticward_pb2.FetchReply(version=0)
        return masticward_pb2.FetchReply(version=version, value=value)

    async def Deliver(  # noqa: N802
        self, request: masticward_pb2.Delivery, context: typing.Any
    ) -> masticward_pb2.ViewDigest:
        """Adopt a delivered state if it is newer and valid; return this process's digest."""
        self.view.receive_delivery(request)
        return self.view.digest()


async def exchange(
    pool: channels.ChannelPool,
    address: str,
    digest: masticward_pb2.ViewDigest,
    deadline: float,
    wait_for_connection: bool = False,
) -> result.Result[masticward_pb2.ViewDigest, errors.PeerUnavailableError]:
    """Send a digest to a peer and return the peer's, before a deadline in monotonic seconds.

    With ``wait_for_connection`` the call waits for a lost connection, at most until the deadline,
    instead of failing at once. The exchange then takes place as soon as the peer is reachable
    again, without the delay of a connection back-off.
    """
    stub = masticward_pb2_grpc.PeerStub(pool.get(address))
    return await call(pool, address, stub.Exchange, digest, deadline, wait_for_connection)


async def fetch(
    pool: channels.ChannelPool,
    address: str,
    kind: int,
    known_version: int,
    deadline: float,
    known_shards: collections.abc.Iterable[str] | None = None,
) -> result.Result[masticward_pb2.FetchReply, errors.PeerUnavailableError]:
    """Fetch a value newer than ``known_version`` from a peer; version 0 if it has none.

    Unless ``known_shards`` is None the reply may hold a manifest and the other shards.
    """
    stub = masticward_pb2_grpc.PeerStub(pool.get(address))
    request = masticward_pb2.FetchRequest(
        kind=typing.cast(masticward_pb2.FetchRequest.Kind, kind),
        known_version=known_version,
        accepts_shards=known_shards is not None,
        known_shards=known_shards,
    )
    return await call(pool, address, stub.Fetch, request, deadline)


async def deliver(
    pool: channels.ChannelPool, address: str, version: int, value: bytes, deadline: float
) -> result.Result[int, errors.PeerUnavailableError]:
    """Send an accepted operations state to a process and return the version it then has."""
    stub = masticward_pb2_grpc.PeerStub(pool.get(address))
    delivery = masticward_pb2.Delivery(version=version, value=value)
    answer = await call(pool, address, stub.Deliver, delivery, deadline)
    return answer.map(lambda digest: int(digest.operations_version))


async def call(
    pool: channels.ChannelPool,
    address: str,
    method: typing.Any,
    request: typing.Any,
    deadline: float,
    wait_for_connection: bool = False,
) -> result.Result[typing.Any, errors.PeerUnavailableError]:
    """Make one unary call to a peer, with a deadline in monotonic seconds."""
    try:
        return result.Success(
            await method(
                request,
                timeout=clocks.remaining_seconds(deadline),
                metadata=pool.transport.metadata,
                wait_for_ready=wait_for_connection,
            )
        )
    except grpc.aio.AioRpcError as error:
        detail = f"{address}: {error.code().name} {error.details()}"
        return result.Failure(errors.PeerUnavailableError(detail))
    except grpc.aio.UsageError as error:
        # The pool closes the channel of a peer that is no longer a member.
        return result.Failure(errors.PeerUnavailableError(f"{address}: {error}"))


def as_instance(digest: masticward_pb2.ViewDigest) -> membership.Instance:
    """Return the sender of a digest. Raises ValueError if its role is unknown."""
    return membership.Instance(
        id=digest.instance_id,
        role=membership.Role(digest.role),
        service=digest.service,
        availability_zone=digest.availability_zone,
        peer_address=digest.peer_address,
        admin_address=digest.admin_address,
        leaving=digest.leaving,
    )
