"""Reads the settings file that the platform writes for each process."""

import pathlib
import typing

import msgspec
import yaml

from masticward import errors
from masticward.models import gateway
from masticward.utils import addresses, clocks


class Listen(msgspec.Struct):
    """Addresses that this process serves."""

    front: str  # for clients
    ready: str


class Store(msgspec.Struct):
    """The platform's store."""

    address: str


class BoundsTable(msgspec.Struct):
    """Bounds of the installation. Missing ones take the values that all known sites use."""

    grace_s: float = 8
    revoke_ms: float = 5000
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10
    budget_slack: float = 50
    cold_overage: float = 1.5
    cold_slack: float = 5


class SettingsFile(msgspec.Struct):
    """The fields that the gateway uses; others are ignored."""

    node: str
    ip: str
    zone: str
    listen: Listen
    port_range: tuple[int, int]
    platform: Store
    bounds: BoundsTable
    seeds: list[str] = []


def decode(text: str) -> gateway.GatewaySettings:
    """Decode settings; raises SettingsError with the path of the wrong field."""
    try:
        document: typing.Any = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
        found = msgspec.convert(document, SettingsFile)
    except (yaml.YAMLError, msgspec.ValidationError) as error:
        raise errors.SettingsError([f"platform settings: {error}"]) from error
    bounds = found.bounds
    return gateway.GatewaySettings(
        instance_id=found.node,
        ip=found.ip,
        availability_zone=found.zone,
        client_address=found.listen.front,
        ready_address=found.listen.ready,
        peer_port=found.port_range[0],
        seed_ips=tuple(addresses.split(seed)[0] for seed in found.seeds),
        store_address=found.platform.address,
        bounds=gateway.Bounds(
            revoke_seconds=bounds.revoke_ms / clocks.MILLISECONDS_PER_SECOND,
            stop_grace_seconds=bounds.grace_s,
            retry_ratio=bounds.retry_budget_ratio,
            retry_window_seconds=bounds.budget_window_s,
            retry_slack=bounds.budget_slack,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
        ),
    )


def load(path: pathlib.Path) -> gateway.GatewaySettings:
    """Read and decode the settings file; raises SettingsError."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError([f"{path}: {error}"]) from error
    return decode(text)
