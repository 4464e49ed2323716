"""gRPC channels and servers between the processes of the system."""

import collections.abc
import hmac
import pathlib
import typing

import grpc
import grpc.aio

from masticward import settings as settings_module

MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024
KEY_METADATA = "masticward-key"
# A shorter time would break the calls of a process that is paused for a moment.
PING_TIMEOUT_MS = 5000
UNAUTHENTICATED_DETAIL = "the shared key is missing or wrong"

COMMON_OPTIONS: tuple[tuple[str, int], ...] = (
    ("grpc.max_send_message_length", MAXIMUM_MESSAGE_BYTES),
    ("grpc.max_receive_message_length", MAXIMUM_MESSAGE_BYTES),
    # Keep-alive pings notice a partition that drops packets silently while a call runs. Idle
    # connections need none: every exchange has a deadline of its own. grpcio 1.85 waits 60 s for
    # the answer to a ping unless ping_timeout_ms is set; keepalive_timeout_ms has no effect on it.
    ("grpc.keepalive_timeout_ms", PING_TIMEOUT_MS),
    ("grpc.http2.ping_timeout_ms", PING_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.http2.max_pings_without_data", 0),
)
CHANNEL_OPTIONS: tuple[tuple[str, int], ...] = (
    *COMMON_OPTIONS,
    ("grpc.keepalive_time_ms", 1000),
    # A transparent retry could run a call twice.
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    # The default back-off grows to 120 s; a rejoined peer must be reached within 1 s.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 300),
    ("grpc.max_reconnect_backoff_ms", 500),
)
SERVER_OPTIONS: tuple[tuple[str, int], ...] = (
    *COMMON_OPTIONS,
    # The client notices first; the server only frees what a vanished peer left behind.
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
)


class SharedKeyServerInterceptor(grpc.aio.ServerInterceptor):  # type: ignore[misc]
    """Refuses calls that do not carry the shared key."""

    def __init__(self, shared_key: str) -> None:
        self.shared_key = shared_key.encode()

        async def refuse(request: typing.Any, context: typing.Any) -> None:
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, UNAUTHENTICATED_DETAIL)

        async def refuse_stream(
            request: typing.Any, context: typing.Any
        ) -> collections.abc.AsyncIterator[typing.Any]:
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, UNAUTHENTICATED_DETAIL)
            yield None

        self.refusals = {
            (False, False): grpc.unary_unary_rpc_method_handler(refuse),
            (False, True): grpc.unary_stream_rpc_method_handler(refuse_stream),
            (True, False): grpc.stream_unary_rpc_method_handler(refuse),
            (True, True): grpc.stream_stream_rpc_method_handler(refuse_stream),
        }

    async def intercept_service(self, continuation: typing.Any, details: typing.Any) -> typing.Any:
        """Pass the call on if the key matches, compared in constant time."""
        handler = await continuation(details)
        if handler is None:
            return None
        metadata = dict(details.invocation_metadata)
        given = str(metadata.get(KEY_METADATA, "")).encode()
        if hmac.compare_digest(given, self.shared_key):
            return handler
        return self.refusals[(handler.request_streaming, handler.response_streaming)]


class PeerTransport:
    """Opens channels to peers and creates servers with the same security settings."""

    __slots__ = ("security",)

    # Set by measurements to count the bytes of messages on each channel.
    wrap_channel: typing.ClassVar[
        collections.abc.Callable[[grpc.aio.Channel], grpc.aio.Channel] | None
    ] = None

    def __init__(self, security: settings_module.PeerSecurity) -> None:
        self.security = security

    @property
    def metadata(self) -> tuple[tuple[str, str], ...]:
        """The metadata that every call to a peer must carry."""
        if self.security.mode is settings_module.SecurityMode.SHARED_KEY:
            return ((KEY_METADATA, self.security.shared_key),)
        return ()

    def open_channel(self, address: str) -> grpc.aio.Channel:
        """Open a channel to ``host:port``; calls on it must pass ``metadata``."""
        channel = self.open_plain_channel(address)
        wrap = PeerTransport.wrap_channel
        return channel if wrap is None else wrap(channel)

    def open_plain_channel(self, address: str) -> grpc.aio.Channel:
        """Open a channel to ``host:port`` that is not measured."""
        if self.security.mode is settings_module.SecurityMode.TLS:
            credentials = grpc.ssl_channel_credentials(
                read_file(self.security.authority_file),
                read_file(self.security.private_key_file),
                read_file(self.security.certificate_file),
            )
            return grpc.aio.secure_channel(address, credentials, options=CHANNEL_OPTIONS)
        return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)

    def create_server(self) -> grpc.aio.Server:
        """Create a server; servicers are added to it before ``bind``."""
        interceptors = []
        if self.security.mode is settings_module.SecurityMode.SHARED_KEY:
            interceptors.append(SharedKeyServerInterceptor(self.security.shared_key))
        return grpc.aio.server(interceptors=interceptors, options=SERVER_OPTIONS)

    def bind(self, server: grpc.aio.Server, address: str) -> int:
        """Bind the server to ``host:port`` and return the port in use."""
        if self.security.mode is settings_module.SecurityMode.TLS:
            credentials = grpc.ssl_server_credentials(
                [
                    (
                        read_file(self.security.private_key_file),
                        read_file(self.security.certificate_file),
                    )
                ],
                root_certificates=read_file(self.security.authority_file),
                require_client_auth=True,
            )
            return int(server.add_secure_port(address, credentials))
        return int(server.add_insecure_port(address))


class ChannelPool:
    """Keeps one channel to each peer address."""

    __slots__ = ("channels", "transport")

    def __init__(self, transport: PeerTransport) -> None:
        self.transport = transport
        self.channels: dict[str, grpc.aio.Channel] = {}

    def get(self, address: str) -> grpc.aio.Channel:
        """Return the channel to a peer, opened on first use."""
        channel = self.channels.get(address)
        if channel is None:
            channel = self.transport.open_channel(address)
            self.channels[address] = channel
        return channel

    async def retain(self, addresses: collections.abc.Set[str]) -> None:
        """Close the channels to all other addresses."""
        for address in [known for known in self.channels if known not in addresses]:
            await self.channels.pop(address).close()

    async def prune(self, addresses: collections.abc.Set[str]) -> None:
        """Close the channels to all other addresses that are not connected.

        A connected one may carry calls of an instance that is no longer listed but still works.
        """
        for address, channel in list(self.channels.items()):
            if address in addresses:
                continue
            if channel.get_state(try_to_connect=False) is not grpc.ChannelConnectivity.READY:
                del self.channels[address]
                await channel.close()

    async def close(self) -> None:
        """Close all channels."""
        await self.retain(frozenset())


def read_file(path: str) -> bytes:
    """Return the content of a PEM file."""
    return pathlib.Path(path).read_bytes()
