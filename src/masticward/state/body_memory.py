"""Bounds on the memory that requests and answers take in one process."""

from masticward import errors

# The rest is for all else, and for the second copy of a body while its parts are joined.
REQUEST_FRACTION = 1 / 3
ANSWER_FRACTION = 1 / 6
# The kernel may hold several times as many for the same connections.
UNREAD_FRACTION = 1 / 16
# An answer may take at most this many times what it leaves free for others. One by itself may be
# long, and many together stay within the limit.
ANSWER_SHARE = 2
# Answers up to this size may also use the part of the memory that others leave free.
SMALL_ANSWER_BYTES = 16 * 1024
SMALL_ANSWER_FRACTION = 1 / 4


class BodyMemory:
    """The bytes of bodies that are being read or held, and the most that may be."""

    __slots__ = ("held_bytes", "limit_bytes")

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    @property
    def free_bytes(self) -> float:
        """Number of bytes that may still be taken, not below 0."""
        return max(0.0, self.limit_bytes - self.held_bytes)

    def fits(self, held: int, size: int) -> bool:
        """Return whether a body of which ``held`` bytes are held may grow to ``size`` bytes."""
        return size - held <= self.free_bytes


class AnswerMemory(BodyMemory):
    """Memory of which each body may take only so much that others still get a part.

    Bodies without end thereby break off the earlier the more of them there are. A part of the
    memory is for small bodies alone.
    """

    __slots__ = ()

    def fits(self, held: int, size: int) -> bool:
        """Return whether a body of which ``held`` bytes are held may grow to ``size`` bytes."""
        if size <= SMALL_ANSWER_BYTES:
            return super().fits(held, size)
        left_bytes = self.free_bytes - (size - held) - SMALL_ANSWER_FRACTION * self.limit_bytes
        return size <= ANSWER_SHARE * left_bytes


class HeldBody:
    """The memory that one body takes."""

    __slots__ = ("memory", "reserved_bytes")

    def __init__(self, memory: BodyMemory) -> None:
        self.memory = memory
        self.reserved_bytes = 0

    def require(self, size: int) -> None:
        """Raise BodyMemoryError unless the body may grow to ``size`` bytes."""
        if size > self.reserved_bytes and not self.memory.fits(self.reserved_bytes, size):
            raise errors.BodyMemoryError(f"no memory for a body of {size} bytes")

    def resize(self, size: int) -> None:
        """Hold this many bytes; raise BodyMemoryError if they do not fit."""
        self.require(size)
        self.memory.held_bytes += size - self.reserved_bytes
        self.reserved_bytes = size

    def release(self) -> None:
        """Give the memory back."""
        self.resize(0)


def requests_limit(process_bytes: int) -> int:
    """Return the bytes of requests' bodies that a process with this much memory may hold."""
    return int(process_bytes * REQUEST_FRACTION)


def answers_limit(process_bytes: int) -> int:
    """Return the bytes of answers' bodies that a process with this much memory may hold."""
    return int(process_bytes * ANSWER_FRACTION)


def unread_limit(process_bytes: int) -> int:
    """Return the bytes that clients may send ahead of the answers of such a process."""
    return int(process_bytes * UNREAD_FRACTION)
