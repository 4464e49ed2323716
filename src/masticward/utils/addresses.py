"""Addresses written as ``IP:port``."""


def split(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:port``; an IPv6 host is written in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def with_port(address: str, port: int) -> str:
    """Return the address with the port that is really in use."""
    return f"{address.rpartition(':')[0]}:{port}"
