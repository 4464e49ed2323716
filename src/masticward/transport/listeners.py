"""Listening sockets of the HTTP servers."""

import socket

from masticward.utils import addresses


def listen(address: str, backlog: int | None = None) -> socket.socket:
    """Return a non-blocking listener on ``IP:port`` (port 0: any free one); raises OSError.

    Sanic replaces port 0 by its default port, so its servers get a socket that is bound here.
    """
    host, port = addresses.split(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server((host, port), family=family, backlog=backlog)
    listener.setblocking(False)
    return listener
