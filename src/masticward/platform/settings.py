"""Settings file that the platform writes for each process.

The struct fields have the names of the file.
"""

import pathlib
import typing

import msgspec
import yaml

from masticward import errors
from masticward.models import gateway
from masticward.utils import addresses, clocks

MEGABYTE = 1_000_000
# The contract under which clients and endpoints read slowly and memory is limited.
PRESSURE_CONTRACT = "pressure"


class Listen(msgspec.Struct):
    """Addresses on which the process listens."""

    front: str  # client requests
    ready: str


class Store(msgspec.Struct):
    """Location of the platform's store."""

    address: str


class BoundsTable(msgspec.Struct):
    """Bounds of the deployment. The defaults are the values that all known sites use."""

    grace_s: float = 8
    revoke_ms: float = 5000
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 50
    cold_overage: float = 1.5
    cold_slack: float = 5
    canary_share: float | None = None
    canary_slack: float = 50
    rollback_ms: float = 5000
    max_stretch_ms: float = 0


class LimitsTable(msgspec.Struct):
    """Limits of the process. The default is less than all known sites give."""

    memory_mb: float = 200


class SettingsFile(msgspec.Struct):
    """The settings that the gateway uses; other fields are ignored."""

    node: str
    ip: str
    zone: str
    listen: Listen
    port_range: tuple[int, int]
    platform: Store
    bounds: BoundsTable
    seeds: list[str] = []
    limits: LimitsTable = msgspec.field(default_factory=LimitsTable)
    contracts: list[str] = []


def decode(text: str) -> gateway.GatewaySettings:
    """Decode settings; raise SettingsError with the path of an invalid field."""
    try:
        document: typing.Any = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
        file = msgspec.convert(document, SettingsFile)
    except (yaml.YAMLError, msgspec.ValidationError) as error:
        raise errors.SettingsError([f"platform settings: {error}"]) from error
    bounds = file.bounds
    return gateway.GatewaySettings(
        instance_id=file.node,
        ip=file.ip,
        availability_zone=file.zone,
        client_address=file.listen.front,
        ready_address=file.listen.ready,
        peer_port=file.port_range[0],
        seed_ips=tuple(addresses.split(seed)[0] for seed in file.seeds),
        store_address=file.platform.address,
        memory_bytes=int(file.limits.memory_mb * MEGABYTE),
        limited_memory=PRESSURE_CONTRACT in file.contracts,
        bounds=gateway.Bounds(
            revoke_seconds=bounds.revoke_ms / clocks.MILLISECONDS_PER_SECOND,
            stop_grace_seconds=bounds.grace_s,
            retry_ratio=bounds.retry_budget_ratio,
            retry_window_seconds=bounds.budget_window_s,
            retry_slack=bounds.budget_slack,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
            canary_share=bounds.canary_share,
            canary_slack=bounds.canary_slack,
            rollback_seconds=bounds.rollback_ms / clocks.MILLISECONDS_PER_SECOND,
            max_stretch_seconds=bounds.max_stretch_ms / clocks.MILLISECONDS_PER_SECOND,
        ),
    )


def load(path: pathlib.Path) -> gateway.GatewaySettings:
    """Read and decode the settings file; raise SettingsError if that fails."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError([f"{path}: {error}"]) from error
    return decode(text)
