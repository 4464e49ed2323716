"""Bounds on what slow clients and endpoints make a gateway and the endpoints hold.

They apply under ``GatewaySettings.limited_memory``. Times are in seconds of ``clocks.boot_time``.
"""

import collections
import enum

# Bytes of one response that are read ahead of a client. Long enough for a token stream of any
# usual length; AnswerMemory bounds the sum.
READ_AHEAD_BYTES = 1024 * 1024
# With fewer unsent bytes, a client counts as one that takes them, which saves system calls.
MIN_PENDING_BYTES = 16 * 1024
# Of a response that is held whole anyway, its connection gets this much at a time.
WRITE_AHEAD_BYTES = 64 * 1024
# What the kernel may hold for one client, which counts in no other bound.
KERNEL_SEND_BYTES = 64 * 1024
# An endpoint cuts off a response that is not read for some seconds, taken to be two or more.
ENDPOINT_UNREAD_SECONDS = 1.5
# A client that takes nothing for this long is cut; for the shorter time while memory is scarce.
CLIENT_STALL_SECONDS = 5.0
SCARCE_STALL_SECONDS = 1.5
# Memory is scarce once less than this part of it is free; AnswerMemory keeps a quarter of it for
# small responses.
SCARCE_FRACTION = 1 / 2
# A client is cut for the memory that others need if it has taken nothing for this long.
EVICTION_STALL_SECONDS = 0.5
# Bodies in flight to one endpoint, of all gateways together. Nothing tells the memory of an
# endpoint. One that takes the longest body which the configuration allows holds a few of them; the
# least bound is 64 slots with bodies of 256 KiB, far above what token streams use.
ENDPOINT_BODIES = 4
MIN_ENDPOINT_BYTES = 16 * 1024 * 1024
# Bodies above this size leave a part of an endpoint's bound to the others.
SMALL_BODY_BYTES = 64 * 1024
LARGE_BODIES_FRACTION = 3 / 4


class Bound(enum.Enum):
    """The bounds that may act, as named in metrics and log lines."""

    CLIENT_STALLED = "client stalled"
    ENDPOINT_UNREAD = "endpoint unread"
    MEMORY = "memory"
    ENDPOINT_BODIES = "endpoint bodies"


class ClientPace:
    """When a client last took bytes of its response."""

    __slots__ = ("pending_bytes", "started_at", "taken_at")

    def __init__(self, now: float) -> None:
        # Bytes that were written and not taken so far.
        self.pending_bytes = 0
        self.started_at = now
        self.taken_at = now

    def record(self, pending_bytes: int, now: float) -> None:
        """Record the bytes that the client has not taken, before and after each write."""
        if not self.pending_bytes or pending_bytes < self.pending_bytes:
            self.taken_at = now
        self.pending_bytes = pending_bytes

    def stalled_seconds(self, now: float) -> float:
        """Return how long the client has taken nothing although bytes wait for it."""
        return now - self.taken_at if self.pending_bytes else 0.0

    def keeps_up(self, sent_bytes: int, total_bytes: int, deadline: float, now: float) -> bool:
        """Return whether a client at its pace so far has its response by the deadline.

        Of the ``total_bytes``, ``sent_bytes`` were written. The client's kernel may hold many that
        the client has not read, and take no others while it reads them.
        """
        taken_bytes = sent_bytes - self.pending_bytes
        elapsed_seconds = now - self.started_at
        allowed_seconds = max(deadline - self.started_at, elapsed_seconds)
        return taken_bytes * allowed_seconds >= total_bytes * elapsed_seconds


class EndpointBodies:
    """The bytes of the bodies that this process has in flight to each endpoint.

    A body is in flight from its placement until the endpoint's response has been read. Own sends
    alone are counted: each gateway gets an equal part of an endpoint's bound.
    """

    __slots__ = ("held",)

    def __init__(self) -> None:
        self.held: collections.Counter[str] = collections.Counter()

    @property
    def total_bytes(self) -> int:
        """Bytes in flight to all endpoints."""
        return sum(self.held.values())

    def add(self, endpoint_id: str, size: int) -> None:
        """Add a body that is about to be sent."""
        if size:
            self.held[endpoint_id] += size

    def remove(self, endpoint_id: str, size: int) -> None:
        """Remove a body whose endpoint does not hold it any more."""
        if size:
            self.held[endpoint_id] -= size
            if not self.held[endpoint_id]:
                del self.held[endpoint_id]

    def full_ids(self, size: int, max_body_bytes: int, gateways: int) -> set[str]:
        """Return the endpoints without room for a body of this size.

        ``max_body_bytes`` is the longest body that the configuration allows, ``gateways`` the
        number of live gateways. An endpoint to which nothing is in flight has room for any body,
        since the part of one gateway may be below the longest body.
        """
        limit = max(MIN_ENDPOINT_BYTES, ENDPOINT_BODIES * max_body_bytes) / max(1, gateways)
        if size > SMALL_BODY_BYTES:
            limit *= LARGE_BODIES_FRACTION
        return {endpoint_id for endpoint_id, held in self.held.items() if held + size > limit}
