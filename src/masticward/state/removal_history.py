"""Routes and API keys that earlier configurations of this process had."""

import collections

from masticward.models import gateway

MAX_REMOVED_ROUTES = 500
MAX_REMOVED_KEYS = 2000
MAX_PREFIX_CHARACTERS = 120


class Removal:
    """The end of a route or an API key at this process.

    ``version`` is the last configuration that had it, ``removed_at`` the time in seconds of
    ``clocks.boot_time`` at which the next one was applied here.
    """

    __slots__ = ("removed_at", "version")

    def __init__(self, version: int, removed_at: float) -> None:
        self.version = version
        self.removed_at = removed_at


class RemovalHistory:
    """The latest removals; the oldest ones are dropped."""

    __slots__ = ("keys", "routes")

    def __init__(self) -> None:
        # By host and path prefix.
        self.routes: collections.OrderedDict[tuple[str, str], Removal] = collections.OrderedDict()
        self.keys: collections.OrderedDict[str, Removal] = collections.OrderedDict()

    def record_change(
        self,
        previous: gateway.FleetConfiguration,
        current: gateway.FleetConfiguration,
        now: float,
    ) -> None:
        """Record what a change of the configuration removed, and forget what it restored."""
        removal = Removal(previous.version, now)
        current_routes = {(route.host, route.path_prefix) for route in current.routes}
        current_keys = current.team_of_key or {}
        for place in current_routes & self.routes.keys():
            del self.routes[place]
        for key in current_keys.keys() & self.keys.keys():
            del self.keys[key]
        for route in previous.routes:
            if (route.host, route.path_prefix) not in current_routes:
                self.routes[route.host, route.path_prefix] = removal
        for key in previous.team_of_key or {}:
            if key not in current_keys:
                self.keys[key] = removal
        while len(self.routes) > MAX_REMOVED_ROUTES:
            self.routes.popitem(last=False)
        while len(self.keys) > MAX_REMOVED_KEYS:
            self.keys.popitem(last=False)

    def find_route(self, host: str, path: str) -> Removal | None:
        """Return the removal of the route with the longest prefix of a path, None without one.

        Longer prefixes than ``MAX_PREFIX_CHARACTERS`` are not found.
        """
        if not self.routes:
            return None
        # A refusal must stay cheap however many routes were removed.
        for name in dict.fromkeys((host, host.partition(":")[0])):
            for length in range(min(len(path), MAX_PREFIX_CHARACTERS), -1, -1):
                removal = self.routes.get((name, path[:length]))
                if removal is not None:
                    return removal
        return None

    def find_key(self, api_key: str | None) -> Removal | None:
        """Return the removal of an API key, None if it is none."""
        return None if api_key is None else self.keys.get(api_key)
