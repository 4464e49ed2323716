"""Splitting of a configuration's teams into immutable, content-addressed shards."""

import hashlib

import msgspec

from masticward.models import configuration as configuration_models
from masticward.utils import identifiers

MAXIMUM_SHARD_BYTES = 512 * 1024
# A change to one team rewrites one shard, so small shards limit the traffic of each change.
TARGET_SHARD_BYTES = 64 * 1024
MAXIMUM_SHARDS = 4096
HASH_HEX_DIGITS = 32


def split(teams: tuple[configuration_models.Team, ...]) -> dict[str, bytes]:
    """Return the encoded shards, keyed by content hash.

    Teams are assigned by the hash of their name, so that a change to one team changes one shard.
    The number of shards is doubled until each is at most TARGET_SHARD_BYTES, up to MAXIMUM_SHARDS.
    Raises ValueError if a shard then still exceeds MAXIMUM_SHARD_BYTES.
    """
    count = 1
    while True:
        encoded = encode_buckets(teams, count)
        largest = max((len(content) for content in encoded), default=0)
        if largest <= TARGET_SHARD_BYTES:
            break
        if count >= MAXIMUM_SHARDS:
            if largest <= MAXIMUM_SHARD_BYTES:
                break
            raise ValueError(f"a shard of {largest} bytes exceeds {MAXIMUM_SHARD_BYTES}")
        count *= 2
    return {content_hash(content): content for content in encoded}


def encode_buckets(teams: tuple[configuration_models.Team, ...], count: int) -> list[bytes]:
    """Distribute the teams over ``count`` buckets and return the non-empty ones, encoded."""
    buckets: list[list[configuration_models.Team]] = [[] for _ in range(count)]
    for team in sorted(teams, key=lambda item: item.name):
        buckets[identifiers.stable_hash(team.name) % count].append(team)
    return [
        msgspec.json.encode(configuration_models.TeamShard(teams=tuple(bucket)))
        for bucket in buckets
        if bucket
    ]


def content_hash(content: bytes) -> str:
    """Return the truncated SHA-256 hex digest that names a shard."""
    return hashlib.sha256(content).hexdigest()[:HASH_HEX_DIGITS]


def decode(name: str, content: bytes) -> tuple[configuration_models.Team, ...]:
    """Return the teams of a shard.

    Raises ValueError if the content does not match the hash in its name, msgspec.DecodeError if it
    is malformed.
    """
    if content_hash(content) != name:
        raise ValueError(f"shard {name} does not match its hash")
    return msgspec.json.decode(content, type=configuration_models.TeamShard).teams


def join(
    manifest: configuration_models.Manifest,
    teams_by_shard: dict[str, tuple[configuration_models.Team, ...]],
) -> configuration_models.Configuration:
    """Return the configuration described by a manifest, with the teams sorted by name."""
    teams = [team for name in manifest.team_shards for team in teams_by_shard[name]]
    return configuration_models.Configuration(
        version=manifest.version,
        availability_zones=manifest.availability_zones,
        services=manifest.services,
        teams=tuple(sorted(teams, key=lambda item: item.name)),
    )
