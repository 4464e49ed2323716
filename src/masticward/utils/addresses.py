"""Addresses written as ``IP:port``."""

import ipaddress
import os

MAX_PORT = 65535


def own_loopback_host() -> str:
    """Return an address of 127.0.0.0/8 that no other process of this machine listens on.

    Fleets that shared 127.0.0.1 took each other's ports, so that a process of one could reach a
    port that it knew in the other. Each process id up to 2**22 has an address of its own.
    """
    number = os.getpid()
    return f"127.{64 + number // 65536 % 64}.{number // 256 % 256}.{number % 256}"


def split(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:port``; an IPv6 host is written in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def is_ip(host: str) -> bool:
    """Return whether a text is the IP address of one host."""
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return False
    return not address.is_unspecified and not address.is_multicast


def is_usable(address: str) -> bool:
    """Return whether a connection can be opened to an address written as ``IP:port``."""
    host, _, port = address.rpartition(":")
    return (
        port.isascii()
        and port.isdecimal()
        and len(port) <= len(str(MAX_PORT))
        and 0 < int(port) <= MAX_PORT
        and is_ip(host.strip("[]"))
    )


def with_port(address: str, port: int) -> str:
    """Return the address with the port that is really in use."""
    return f"{address.rpartition(':')[0]}:{port}"
