"""Conversions between remaining times on the wire and stored monotonic deadlines."""

import time

MILLISECONDS_PER_SECOND = 1000.0


def deadline_after(seconds: float) -> float:
    """Return the monotonic time in seconds that lies ``seconds`` ahead."""
    return time.monotonic() + seconds


def deadline_from_remaining_ms(remaining_ms: float) -> float:
    """Return the monotonic deadline for a remaining time received in milliseconds."""
    return time.monotonic() + remaining_ms / MILLISECONDS_PER_SECOND


def remaining_seconds(deadline: float) -> float:
    """Return the seconds left until a monotonic deadline, not below 0."""
    return max(0.0, deadline - time.monotonic())


def remaining_ms(deadline: float) -> int:
    """Return the whole milliseconds left until a monotonic deadline, not below 0."""
    return int(remaining_seconds(deadline) * MILLISECONDS_PER_SECOND)


def boot_time() -> float:
    """Return seconds of a clock that also runs while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
