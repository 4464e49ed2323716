"""What one gateway process believes: configuration, endpoints, loads and peers."""

from masticward import events, logs
from masticward.models import gateway
from masticward.state import (
    cold_start,
    endpoint_health,
    endpoint_table,
    load_table,
    placement,
    prompt_cache,
    retry_window,
    team_usage,
)
from masticward.utils import clocks

# Time between a check here and the run at an endpoint, and for timers that fire late.
REVOKE_MARGIN_SECONDS = 0.5
LOGGER = logs.get_logger(__name__)


class FleetState:
    """The beliefs of one process. Times are seconds of ``clocks.boot_time``."""

    def __init__(self, settings: gateway.GatewaySettings) -> None:
        self.settings = settings
        self.started_at = clocks.boot_time()
        self.configuration: gateway.FleetConfiguration | None = None
        # The configuration in force was the newest at this moment, as the store said.
        self.configuration_proven_at = 0.0
        # The newest version that a peer has; its content comes from the store.
        self.newest_peer_version = 0
        self.endpoints_known = False
        self.table = endpoint_table.EndpointTable()
        self.loads = load_table.LoadTable()
        self.caches = prompt_cache.PromptCaches()
        self.health = endpoint_health.HealthTracker()
        # Tokens of the requests that began, and of all that arrived.
        self.usage = team_usage.TeamUsage()
        self.demand = team_usage.TeamUsage()
        self.pace = cold_start.ColdStartLimiter()
        self.budgets: dict[str, retry_window.WindowedRetryBudget] = {}
        self.view = placement.PlacementView(self.loads, self.caches, self.health)
        # Gateways that were heard lately, this one included.
        self.live_gateways: list[str] = [settings.instance_id]
        # Gateways known at all; fleet-wide budgets are divided among them.
        self.known_gateways = 1
        self.routes_by_host: dict[str, list[gateway.Route]] = {}

    def apply_settings(self, settings: gateway.GatewaySettings) -> None:
        """Take over changed settings."""
        self.settings = settings
        for budget in self.budgets.values():
            budget.ratio = settings.bounds.retry_ratio
            budget.slack = settings.bounds.retry_slack
            budget.window_seconds = settings.bounds.retry_window_seconds

    def apply_configuration(
        self, configuration: gateway.FleetConfiguration, proven_at: float, source: str
    ) -> bool:
        """Put a configuration in force unless it is older; returns whether it changed."""
        current = self.configuration
        if current is not None and configuration.version < current.version:
            LOGGER.log(
                events.Event.OLDER_CONFIGURATION_IGNORED,
                version=configuration.version,
                current=current.version,
                source=source,
            )
            return False
        self.configuration_proven_at = max(self.configuration_proven_at, proven_at)
        if current is not None and configuration.version == current.version:
            return False
        self.configuration = configuration
        self.routes_by_host = {}
        for route in configuration.routes:
            self.routes_by_host.setdefault(route.host, []).append(route)
        for routes in self.routes_by_host.values():
            routes.sort(key=lambda item: len(item.path_prefix), reverse=True)
        LOGGER.log(
            events.Event.GATEWAY_CONFIGURATION_TAKEN,
            version=configuration.version,
            source=source,
            routes=len(configuration.routes),
        )
        return True

    def find_route(self, host: str, path: str) -> gateway.Route | None:
        """Return the route with the longest prefix of a path."""
        routes = self.routes_by_host.get(host)
        if routes is None:
            routes = self.routes_by_host.get(host.partition(":")[0], [])
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def proof_is_fresh(self, now: float) -> bool:
        """Whether the known keys were valid recently enough to let a request run."""
        allowed_age = self.settings.bounds.revoke_seconds - REVOKE_MARGIN_SECONDS
        return now - self.configuration_proven_at < allowed_age

    def team_of(self, api_key: str | None) -> str | None:
        """Return the team that holds a key."""
        configuration = self.configuration
        if configuration is None or configuration.team_of_key is None or api_key is None:
            return None
        return configuration.team_of_key.get(api_key)

    def budget(self, service: str) -> retry_window.WindowedRetryBudget:
        """Return the budget for repeated sends to a service."""
        found = self.budgets.get(service)
        if found is None:
            bounds = self.settings.bounds
            found = self.budgets[service] = retry_window.WindowedRetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_seconds
            )
        return found

    def apply_endpoints(
        self, found: list[tuple[str, gateway.Endpoint | None]], complete: bool
    ) -> None:
        """Take over a listing or changes of the endpoints."""
        self.endpoints_known = True
        for change in self.table.apply(found, complete, clocks.boot_time()):
            self.note_change(change)

    def drop_expired_endpoints(self) -> None:
        """Drop endpoints whose grace after an outage is over."""
        changes: list[endpoint_table.Change] = []
        self.table.remove_expired(clocks.boot_time(), changes)
        for change in changes:
            self.note_change(change)

    def note_change(self, change: endpoint_table.Change) -> None:
        """Log a change of an endpoint and drop what was known of the one before."""
        LOGGER.log(
            events.Event.GATEWAY_ENDPOINT_CHANGED,
            endpoint=change.endpoint_id,
            state=change.state,
            detail=change.detail,
        )
        if change.state in ("added", "gone"):
            self.caches.remove(change.endpoint_id)
            self.health.remove(change.endpoint_id)
            self.pace.remove(change.endpoint_id)

    def apply_evacuations(self, found: list[tuple[str, bool]], complete: bool) -> None:
        """Take over the zones that operators have taken out."""
        zones = set() if complete else set(self.table.out_zones)
        for zone, out in found:
            if out:
                zones.add(zone)
            else:
                zones.discard(zone)
        services = self.configuration.services if self.configuration else {}
        if self.table.set_out_zones(zones, clocks.boot_time(), services):
            LOGGER.log(events.Event.ZONES_OUT_CHANGED, zones=sorted(zones))
