"""Counters of the service that one agent incarnation has provided to each team."""


class ServiceCounters:
    """Cost units by team since the start of the incarnation. Counters never decrease."""

    __slots__ = ("totals",)

    def __init__(self) -> None:
        self.totals: dict[str, float] = {}

    def add(self, team: str, cost: float) -> None:
        """Add service in cost units to a team's counter. Raises ValueError if it is negative."""
        if cost < 0:
            raise ValueError(f"cost {cost} of team {team!r} is negative")
        if cost:
            self.totals[team] = self.totals.get(team, 0.0) + cost

    def snapshot(self) -> dict[str, float]:
        """Return a copy of all counters."""
        return dict(self.totals)
