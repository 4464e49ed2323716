"""Refusal of part of the new requests, and a pause in the load balancer's rotation, while late.

The load balancer assigns clients to gateways by a hash, so that one gateway may receive many times
the requests of another. Its clients reach other gateways only once it has left the rotation.
"""

import math

# Lag up to which no request is refused, and from which on most are.
MIN_LAG_SECONDS = 0.03
MAX_LAG_SECONDS = 0.15
# The remaining requests show when the load falls.
MAX_REFUSED_FRACTION = 0.95
# Time constant of the smoothed lag. It spans several passes of a late event loop.
LAG_DECAY_SECONDS = 0.1
# Limits the effect of a single long pause, such as a process freeze.
MAX_SAMPLE_WEIGHT = 0.3
MAX_SAMPLE_SECONDS = 0.5
# A gateway leaves the rotation when its lag, smoothed over a longer time, exceeds this.
PAUSE_LAG_SECONDS = 0.09
PAUSE_LAG_DECAY_SECONDS = 0.5
MAX_PAUSE_SAMPLE_WEIGHT = 0.15
# The load balancer checks readiness once per second and removes an instance after two failures.
ROTATION_EXIT_SECONDS = 2.8
# The same clients return with the gateway, so it stays away longer each time that it is late again
# soon after a pause.
MIN_PAUSE_SECONDS = 4.0
MAX_PAUSE_SECONDS = 32.0
RELAPSE_SECONDS = 10.0


class LoadShedder:
    """Decides which new requests are refused. Times are in seconds of ``clocks.boot_time``."""

    __slots__ = (
        "lag_seconds",
        "long_lag_seconds",
        "pause_seconds",
        "paused_until",
        "recorded_at",
        "unrefused",
    )

    def __init__(self, now: float) -> None:
        self.lag_seconds = 0.0
        self.long_lag_seconds = 0.0
        self.recorded_at = now
        # Sum of the refused fractions of the requests since the last refusal.
        self.unrefused = 0.0
        self.pause_seconds = 0.0
        self.paused_until = -math.inf

    def record(self, late_seconds: float, now: float) -> bool:
        """Record how late a timer fired; return whether a pause in the rotation begins."""
        elapsed = max(0.0, now - self.recorded_at)
        self.recorded_at = now
        sample = min(MAX_SAMPLE_SECONDS, max(0.0, late_seconds))
        weight = min(MAX_SAMPLE_WEIGHT, 1.0 - math.exp(-elapsed / LAG_DECAY_SECONDS))
        self.lag_seconds += weight * (sample - self.lag_seconds)
        weight = min(MAX_PAUSE_SAMPLE_WEIGHT, 1.0 - math.exp(-elapsed / PAUSE_LAG_DECAY_SECONDS))
        self.long_lag_seconds += weight * (sample - self.long_lag_seconds)
        if self.long_lag_seconds <= PAUSE_LAG_SECONDS or now < self.paused_until:
            return False
        if now < self.paused_until + RELAPSE_SECONDS:
            self.pause_seconds = min(MAX_PAUSE_SECONDS, 2.0 * self.pause_seconds)
        else:
            self.pause_seconds = MIN_PAUSE_SECONDS
        self.paused_until = now + self.pause_seconds
        return True

    @property
    def is_shedding(self) -> bool:
        """Whether requests are refused at present."""
        return self.lag_seconds > MIN_LAG_SECONDS

    def is_paused(self, now: float) -> bool:
        """Return whether new clients should be sent to other gateways."""
        return now < self.paused_until

    def has_left_rotation(self, now: float) -> bool:
        """Return whether clients that open another connection reach other gateways by now."""
        paused_since = self.paused_until - self.pause_seconds
        return paused_since + ROTATION_EXIT_SECONDS <= now < self.paused_until

    def refused_fraction(self, available_peers: float) -> float:
        """Return the fraction of new requests to refuse, from 0 to 1.

        ``available_peers`` is the fraction of the other gateways in the availability zone that
        refuse none. A refused request is of use only if its retry is served by one of those.
        """
        excess = (self.lag_seconds - MIN_LAG_SECONDS) / (MAX_LAG_SECONDS - MIN_LAG_SECONDS)
        return max(0.0, min(MAX_REFUSED_FRACTION, excess)) * available_peers

    def refuses(self, available_peers: float) -> bool:
        """Return whether to refuse one more request; refusals are spread evenly over requests."""
        fraction = self.refused_fraction(available_peers)
        if fraction <= 0.0:
            self.unrefused = 0.0
            return False
        self.unrefused += fraction
        if self.unrefused < 1.0:
            return False
        self.unrefused -= 1.0
        return True
