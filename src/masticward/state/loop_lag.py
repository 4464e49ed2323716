"""Overload detection from the event loop lag."""

# Clients abandon a connection that is not read within 1 s, and other delays take half of that time.
OVERLOAD_LAG_SECONDS = 0.2
RECOVERY_LAG_SECONDS = 0.05
# Clients with kept connections are sent to other instances from this lag on, because those that
# keep theirs do not notice that the instance has left the load balancer's rotation.
MOVE_CLIENTS_LAG_SECONDS = 0.1
# The load balancer moves clients after two failed readiness checks, 1 s apart; a shorter overload
# state would not move any.
MIN_OVERLOAD_SECONDS = 3.0
# Limits the effect of a single long pause, such as a process freeze. Only several late timers in a
# row are overload.
MAX_SAMPLE_SECONDS = 0.5
EWMA_WEIGHT = 0.2


class LoopLag:
    """Smoothed lag of the event loop's timers. Times are in seconds of ``clocks.boot_time``."""

    __slots__ = ("lag_seconds", "overloaded", "recovery_allowed_at")

    def __init__(self) -> None:
        self.lag_seconds = 0.0
        self.overloaded = False
        self.recovery_allowed_at = 0.0

    @property
    def moves_clients(self) -> bool:
        """Whether clients should open their next connection to another instance."""
        return self.overloaded or self.lag_seconds > MOVE_CLIENTS_LAG_SECONDS

    def record(self, late_seconds: float, now: float) -> bool:
        """Record how late a timer fired; return whether the overload state changed."""
        sample = min(MAX_SAMPLE_SECONDS, max(0.0, late_seconds))
        self.lag_seconds += EWMA_WEIGHT * (sample - self.lag_seconds)
        previous = self.overloaded
        if not self.overloaded and self.lag_seconds > OVERLOAD_LAG_SECONDS:
            self.overloaded = True
            self.recovery_allowed_at = now + MIN_OVERLOAD_SECONDS
        elif (
            self.overloaded
            and self.lag_seconds < RECOVERY_LAG_SECONDS
            and now >= self.recovery_allowed_at
        ):
            self.overloaded = False
        return self.overloaded != previous
