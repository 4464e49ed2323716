"""Bound on the memory that the bodies of clients' requests take in one process."""

# The rest is for all else, and for the second copy of a body while its parts are joined.
BODY_FRACTION = 1 / 3


def limit_for(process_bytes: int) -> int:
    """Return the bytes of bodies that a process may hold that has this much memory in all."""
    return int(process_bytes * BODY_FRACTION)


class BodyMemory:
    """The bytes of bodies that are being read or held, and the most that may be."""

    __slots__ = ("held_bytes", "limit_bytes")

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    def take(self, size: int) -> bool:
        """Reserve bytes and return True, or return False if they don't fit."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        self.held_bytes += size
        return True

    def give_back(self, size: int) -> None:
        """Give reserved bytes back."""
        self.held_bytes -= size
