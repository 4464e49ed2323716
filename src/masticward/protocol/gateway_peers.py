"""Datagrams between gateways: each tells its figures; a lost one is replaced by the next.

Datagrams fit better than gRPC here: every message replaces the one before, nothing has to be sent
again, and a silent peer holds no connection. docs/platform.md has the measurement.
"""

import msgspec

MAXIMUM_DATAGRAM_BYTES = 60_000


class PeerReport(msgspec.Struct, array_like=True, frozen=True, tag="figures"):
    """What one gateway tells all others at regular times."""

    instance_id: str
    ip: str
    # Grows with each start of the process.
    incarnation: int
    configuration_version: int
    # Age of the proof that this version is the newest one, in seconds; negative without one.
    configuration_proof_age: float
    stopping: bool
    # Of the listed endpoints and the zones that are out; 0 while they are not known.
    listing_digest: int
    # Endpoint id to unread tokens, requests and tokens in memory.
    loads: dict[str, tuple[int, int, int]]
    # Team to tokens begun recently.
    usage: dict[str, float]
    # Team to tokens asked for recently, served or not.
    demand: dict[str, float]
    # Prompts that were sent to engines since the last messages: endpoint id, prefix keys.
    prompts: list[tuple[str, list[tuple[int, int]]]]
    # Some of the gateways that the sender knows: instance id and IP.
    members: list[tuple[str, str]]


class PeerChanges(msgspec.Struct, array_like=True, frozen=True, tag="changes"):
    """What has changed since the last message; sent at once, for gateways that choose meanwhile."""

    instance_id: str
    incarnation: int
    # Endpoint id to unread tokens, requests and tokens in memory; no requests: nothing is left.
    loads: dict[str, tuple[int, int, int]]
    prompts: list[tuple[str, list[tuple[int, int]]]]


class PeerMessage(msgspec.Struct, array_like=True, frozen=True):
    """Figures with the times that show how old they can be at most."""

    # Sender's boot time in seconds; the receiver returns it as ``echo``.
    sent_at: float
    # The newest ``sent_at`` that the sender has had from the receiver; 0 without one.
    echo: float
    # Incarnation of the receiver that ``echo`` belongs to.
    echo_incarnation: int
    content: msgspec.Raw


ENCODER = msgspec.msgpack.Encoder()
MESSAGE_DECODER = msgspec.msgpack.Decoder(PeerMessage)
CONTENT_DECODER = msgspec.msgpack.Decoder(PeerReport | PeerChanges)


def encode_content(figures: PeerReport | PeerChanges) -> msgspec.Raw:
    """Encode figures once for all receivers."""
    return msgspec.Raw(ENCODER.encode(figures))


def encode(message: PeerMessage) -> bytes:
    """Encode one datagram."""
    return ENCODER.encode(message)


def decode(data: bytes) -> tuple[PeerMessage, PeerReport | PeerChanges]:
    """Decode one datagram; raises msgspec.DecodeError."""
    message = MESSAGE_DECODER.decode(data)
    return message, CONTENT_DECODER.decode(message.content)
