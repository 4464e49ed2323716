"""Instances as described by the instance list and by exchanges between peers."""

import enum

import msgspec


class Role(enum.StrEnum):
    """The program that runs on an instance."""

    ENTRY = "entry"
    AGENT = "agent"


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One instance of the fleet. ``service`` is empty for entries; addresses are ``host:port``."""

    id: str
    role: Role
    service: str
    availability_zone: str
    peer_address: str
    admin_address: str = ""
    leaving: bool = False
