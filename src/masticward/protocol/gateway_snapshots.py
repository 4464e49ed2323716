"""Configuration and endpoint list that a gateway serves to one that cannot read the store."""

import msgspec

from masticward.models import gateway, rollouts


class Snapshot(msgspec.Struct, frozen=True, omit_defaults=True):
    """The state of a gateway that originates from the store."""

    configuration: gateway.FleetConfiguration
    # Age in seconds of the proof that this version is the newest one.
    proof_age: float
    # ``cold_until`` holds remaining seconds here, because clocks differ between processes.
    endpoints: list[gateway.Endpoint]
    out_zones: list[str]
    # Revisions of the store of endpoints and evacuations, by kind.
    revisions: dict[str, int] = {}
    # Endpoints missing after an outage of the store: remaining seconds until they are removed.
    missing: dict[str, float] = {}
    # The store's eras of these revisions, by kind; 0 where absent.
    eras: dict[str, int] = {}
    # Highest era of the store that the sender knows of, and the latest one in which the store
    # listed the configuration.
    store_era: int = 0
    configuration_era: int = 0
    # Endpoints (ID and ``born``) whose entries in a restored copy are not accepted for the next
    # ``doubt_seconds``, and evacuated zones that it lacks, with the seconds that they are held.
    doubted: dict[str, int] = {}
    doubt_seconds: float = 0.0
    held_zones: dict[str, float] = {}
    # Endpoints (ID and ``born``) that have left lately.
    left: dict[str, int] = {}
    # Orders of rollouts.
    orders: list[rollouts.Order] = []


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Snapshot)


def encode(snapshot: Snapshot) -> bytes:
    """Encode a snapshot as MessagePack."""
    return ENCODER.encode(snapshot)


def decode(data: bytes | bytearray) -> Snapshot:
    """Decode a snapshot from MessagePack. Raises msgspec.DecodeError."""
    return DECODER.decode(data)
