"""Keeps the periods in which a zone or an endpoint must not start work."""

import msgspec

from masticward.bench import history as history_module

# JSON has no infinity; no run starts as late as this many seconds.
NEVER = 1e15


class Restrictions:
    """Periods that have begun; times are monotonic seconds."""

    __slots__ = ("closed", "opened")

    def __init__(self) -> None:
        self.opened: dict[str, history_module.RestrictedPeriod] = {}
        self.closed: list[history_module.RestrictedPeriod] = []

    def begin_zone(self, zone: str, cutoff: float) -> None:
        """Allow no start in a zone after ``cutoff``."""
        self.opened[zone] = history_module.RestrictedPeriod(
            reason=f"zone {zone} out", availability_zone=zone, cutoff=cutoff, until=NEVER
        )

    def begin_endpoint(self, endpoint: str, reason: str, cutoff: float) -> None:
        """Allow no start on an endpoint after ``cutoff``."""
        self.opened[endpoint] = history_module.RestrictedPeriod(
            reason=reason, endpoint=endpoint, cutoff=cutoff, until=NEVER
        )

    def end(self, target: str, at: float) -> None:
        """Allow starts in a zone or on an endpoint again from ``at`` on."""
        period = self.opened.pop(target, None)
        if period is not None:
            self.closed.append(msgspec.structs.replace(period, until=at))

    def periods(self) -> list[history_module.RestrictedPeriod]:
        """Return all periods, those without an end included."""
        return [*self.closed, *self.opened.values()]
