"""Counts the bytes of messages between the processes of a fleet, by gRPC method.

The sizes are those of the serialized messages that were really sent or received over a channel.
Framing of HTTP/2 and TCP is not included.
"""

import collections
import collections.abc
import contextlib
import typing

import grpc.aio

from masticward.transport import channels

# Attempt.Run carries callers' requests and answers; all other methods are control traffic.
DATA_METHODS = frozenset({"/masticward.v1.Attempt/Run"})


class Meter:
    """Bytes of messages by method, both directions of all metered channels added up."""

    __slots__ = ("received", "sent")

    def __init__(self) -> None:
        self.sent: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()

    def control_bytes(self) -> int:
        """Return the bytes of all methods except those that carry calls."""
        counted = self.sent + self.received
        return sum(size for method, size in counted.items() if method not in DATA_METHODS)

    def by_method(self) -> dict[str, dict[str, int]]:
        """Return the bytes that clients of each method sent and received."""
        return {
            method.rpartition(".")[2]: {
                "to_server": self.sent[method],
                "to_client": self.received[method],
            }
            for method in sorted(self.sent + self.received)
        }


class MeteredChannel:
    """A channel whose serializers count message sizes; everything else is passed on."""

    def __init__(self, channel: grpc.aio.Channel, meter: Meter) -> None:
        self.channel = channel
        self.meter = meter

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self.channel, name)

    def unary_unary(self, method: str, *args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        """Return a metered callable."""
        return self.channel.unary_unary(method, *self.metered(method, args, kwargs), **kwargs)

    def unary_stream(self, method: str, *args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        """Return a metered callable."""
        return self.channel.unary_stream(method, *self.metered(method, args, kwargs), **kwargs)

    def stream_unary(self, method: str, *args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        """Return a metered callable."""
        return self.channel.stream_unary(method, *self.metered(method, args, kwargs), **kwargs)

    def stream_stream(self, method: str, *args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        """Return a metered callable."""
        return self.channel.stream_stream(method, *self.metered(method, args, kwargs), **kwargs)

    def metered(
        self, method: str, args: tuple[typing.Any, ...], kwargs: dict[str, typing.Any]
    ) -> list[typing.Any]:
        """Return the two serializers with counting; they are removed from ``kwargs``."""
        given = list(args)
        serialize = given[0] if given else kwargs.pop("request_serializer")
        parse = given[1] if len(given) > 1 else kwargs.pop("response_deserializer")

        def count_sent(message: typing.Any) -> bytes:
            data: bytes = serialize(message)
            self.meter.sent[method] += len(data)
            return data

        def count_received(data: bytes) -> typing.Any:
            self.meter.received[method] += len(data)
            return parse(data)

        return [count_sent, count_received, *given[2:]]


@contextlib.contextmanager
def metered_channels(meter: Meter) -> collections.abc.Iterator[None]:
    """Meter all channels to peers that this process opens within the context."""
    previous = channels.PeerTransport.wrap_channel
    channels.PeerTransport.wrap_channel = lambda channel: typing.cast(
        grpc.aio.Channel, MeteredChannel(channel, meter)
    )
    try:
        yield
    finally:
        channels.PeerTransport.wrap_channel = previous
