"""State of the fleet in one gateway process: configuration, endpoints, loads and peers."""

import collections.abc
import math

from masticward import events, logs
from masticward.gateway import sources
from masticward.models import gateway, rollouts
from masticward.state import (
    announcements,
    cold_start,
    endpoint_health,
    endpoint_table,
    load_shedding,
    load_table,
    part_quarantine,
    pauses,
    placement,
    prompt_cache,
    removal_history,
    retry_window,
    rollout_table,
    run_times,
    store_readers,
    team_usage,
)
from masticward.utils import clocks

# Covers the time from a check here to the start at an endpoint, and timers that fire late.
REVOKE_MARGIN_SECONDS = 0.5
# While the process stops, a request is taken to last this multiple of the slowest recent one of its
# route, plus the margin.
RUN_TIME_FACTOR = 1.5
RUN_TIME_MARGIN_SECONDS = 0.25
LOGGER = logs.get_logger(__name__)


class FleetState:
    """The state of the fleet in one gateway process. Times are in seconds of ``clocks.boot_time``.

    A proof is a read of the store which shows that the configuration in force is the newest one.
    API keys are accepted only while the latest proof, a peer's or this process's own, is recent
    enough.
    """

    def __init__(self, settings: gateway.GatewaySettings) -> None:
        self.settings = settings
        self.started_at = clocks.boot_time()
        self.configuration: gateway.FleetConfiguration | None = None
        # When it was put in force here.
        self.configuration_applied_at = 0.0
        self.removals = removal_history.RemovalHistory()
        # The latest time for which a proof shows that the configuration in force was the newest.
        self.configuration_proven_at = 0.0
        # Newest version that a peer reported; its content is read from the store.
        self.newest_peer_version = 0
        self.endpoints_known = False
        self.table = endpoint_table.EndpointTable()
        self.loads = load_table.LoadTable()
        self.caches = prompt_cache.PromptCaches()
        self.health = endpoint_health.HealthTracker()
        # Tokens of requests that were placed (usage) and of all that arrived (demand).
        self.usage = team_usage.TeamUsage()
        self.demand = team_usage.TeamUsage()
        self.cold_start_limiter = cold_start.ColdStartLimiter()
        self.budgets: dict[str, retry_window.WindowedRetryBudget] = {}
        self.view = placement.PlacementView(self.loads, self.caches, self.health)
        # IDs of this gateway and of those with a recent datagram that are not stopping.
        self.live_gateways: list[str] = [settings.instance_id]
        # All gateways discovered so far, live or not; fleet-wide budgets are divided among them.
        self.known_gateway_count = 1
        # IDs of the gateways that read the store; the others receive its changes from them.
        self.reader_ids: frozenset[str] = frozenset({settings.instance_id})
        # Revisions of the store up to which all changes of a kind are applied.
        self.revisions: dict[sources.ObjectKind, int] = {}
        # When a call to the store failed; None once one succeeded.
        self.store_failed_at: float | None = None
        self.routes_by_host: dict[str, list[gateway.Route]] = {}
        self.shedder = load_shedding.LoadShedder(self.started_at)
        self.announcements = announcements.Announcements()
        self.pauses = pauses.Pauses(self.started_at)
        self.quarantine = part_quarantine.PartQuarantine(settings.instance_id)
        self.run_times = run_times.RunTimes()
        self.rollouts = rollout_table.RolloutTable()
        # When the process began to stop; None while it serves.
        self.stopping_at: float | None = None
        # When the process ends and aborts what is not answered; infinite unless it is stopping.
        self.ends_at = math.inf

    def apply_settings(self, settings: gateway.GatewaySettings) -> None:
        """Apply changed settings."""
        self.settings = settings
        for budget in self.budgets.values():
            budget.ratio = settings.bounds.retry_ratio
            budget.slack = settings.bounds.retry_slack
            budget.window_seconds = settings.bounds.retry_window_seconds

    def apply_configuration(
        self, configuration: gateway.FleetConfiguration, proven_at: float, source: str
    ) -> bool:
        """Put a configuration in force unless it is older; return whether it changed."""
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
        now = clocks.boot_time()
        if current is not None:
            self.removals.record_change(current, configuration, now)
        self.configuration = configuration
        self.configuration_applied_at = now
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

    @property
    def relays_changes(self) -> bool:
        """Whether the fleet is so large that few gateways read the store for all."""
        return self.known_gateway_count > store_readers.MAX_INDEPENDENT_GATEWAYS

    @property
    def reads_store(self) -> bool:
        """Whether this process reads the store itself."""
        return not self.relays_changes or self.settings.instance_id in self.reader_ids

    def reaches_store(self, now: float) -> bool:
        """Return whether this process may be chosen to read the store."""
        failed_at = self.store_failed_at
        return failed_at is None or now - failed_at > store_readers.FAILED_READER_SECONDS

    def apply_objects(
        self,
        kind: sources.ObjectKind,
        items: collections.abc.Iterable[sources.StoredObject],
        complete: bool,
    ) -> None:
        """Apply a listing (``complete``) or changes of the endpoints, evacuations or rollouts."""
        if kind is sources.ObjectKind.ENDPOINTS:
            self.apply_endpoints(
                [(item.name, None if item.removed else item.value) for item in items], complete
            )
        elif kind is sources.ObjectKind.ROLLOUTS:
            self.apply_rollouts(
                [(item.name, None if item.removed else item.value) for item in items], complete
            )
        else:
            self.apply_evacuations([(item.name, not item.removed) for item in items], complete)

    def apply_changes(
        self,
        kind: sources.ObjectKind,
        from_revision: int,
        to_revision: int,
        items: list[sources.StoredObject],
    ) -> bool:
        """Apply all changes of a kind after one revision of the store and up to another one.

        Return False if this process lacks changes before ``from_revision``.
        """
        revision = self.revisions.get(kind)
        if revision is None or from_revision > revision:
            return False
        if to_revision > revision:
            self.apply_objects(kind, items, False)
            self.revisions[kind] = to_revision
        return True

    def find_route(self, host: str, path: str) -> gateway.Route | None:
        """Return the host's route with the longest prefix of a path, None without one."""
        routes = self.routes_by_host.get(host)
        if routes is None:
            routes = self.routes_by_host.get(host.partition(":")[0], [])
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 without one."""
        return self.configuration.version if self.configuration else 0

    @property
    def listing_digest(self) -> int:
        """Digest of the listed endpoints and the evacuated zones; 0 while unknown."""
        return self.table.digest() if self.endpoints_known else 0

    def proof_age(self, now: float) -> float:
        """Return the seconds since the latest proof; negative without a configuration."""
        return now - self.configuration_proven_at if self.configuration else -1.0

    def proof_is_fresh(self, now: float) -> bool:
        """Return whether the configuration was proven recently enough to accept its API keys."""
        allowed_age = self.settings.bounds.revoke_seconds - REVOKE_MARGIN_SECONDS
        return now - self.configuration_proven_at < allowed_age

    def team_of(self, api_key: str | None) -> str | None:
        """Return the team that owns an API key, None if there is none."""
        configuration = self.configuration
        if configuration is None or configuration.team_of_key is None or api_key is None:
            return None
        return configuration.team_of_key.get(api_key)

    def can_finish(
        self,
        route: gateway.Route,
        output_tokens: int,
        response_deadline: float,
        now: float,
        received_at: float,
    ) -> bool:
        """Return whether a request that is sent now will be answered before the process ends.

        That is expected of one like the recent ones of its route. Of one that was received whole
        after this process has left the load balancer's rotation it must be certain: its client
        reaches another gateway at once.
        """
        if response_deadline <= self.ends_at:
            return True
        if (
            self.stopping_at is not None
            and received_at > self.stopping_at + load_shedding.ROTATION_EXIT_SECONDS
        ):
            return False
        expected_seconds = self.run_times.expected_seconds(route.name, output_tokens, now)
        if expected_seconds is None:
            return False
        needed_seconds = RUN_TIME_FACTOR * expected_seconds + RUN_TIME_MARGIN_SECONDS
        return now + needed_seconds <= self.ends_at

    def budget(self, service: str) -> retry_window.WindowedRetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = self.budgets[service] = retry_window.WindowedRetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_seconds
            )
        return budget

    def apply_endpoints(
        self, items: list[tuple[str, gateway.Endpoint | None]], complete: bool
    ) -> None:
        """Apply a listing (``complete``) or changes of the endpoints; None stands for a removal."""
        self.endpoints_known = True
        for change in self.table.apply(items, complete, clocks.boot_time()):
            self.record_change(change)

    def apply_rollouts(
        self, items: list[tuple[str, rollouts.Order | None]], complete: bool
    ) -> None:
        """Apply a listing (``complete``) or changes of the rollouts; None stands for a removal."""
        for added in self.rollouts.apply(items, complete, clocks.boot_time()):
            LOGGER.log(
                events.Event.ROLLOUT_ORDERED,
                service=added.order.service,
                target=added.order.target,
                seconds=added.order.duration_seconds,
                revision=added.order.revision,
                state=added.order.state.value if added.order.state else None,
            )
        self.table.set_rollout_marks(self.rollouts.marks())

    def merge_rollouts(
        self, reports: list[rollouts.RolloutReport], sender: tuple[str, int], now: float
    ) -> None:
        """Apply a peer's evidence and decisions on rollouts."""
        if self.settings.bounds.canary_share is None:
            return
        for report in reports:
            if self.rollouts.merge(report, sender, now) is not None:
                LOGGER.log(
                    events.Event.ROLLOUT_STOPPED if report.stopped else events.Event.ROLLOUT_STATUS,
                    service=report.service,
                    target=report.target,
                    source=sender[0],
                    state=None if report.stopped else rollouts.RolloutState.COMPLETED.value,
                )

    def usable_endpoints(self, service: str, now: float) -> list[gateway.Endpoint]:
        """Return the endpoints of a service whose version may get new requests now."""
        usable = self.table.usable(service, now)
        canary_share = self.settings.bounds.canary_share
        if canary_share is None:
            return usable
        listed = [
            item
            for item in self.table.endpoints.values()
            if item.service == service and not item.draining
        ]
        return self.rollouts.select(service, usable, listed, canary_share, now)

    def drop_expired_endpoints(self) -> None:
        """Drop endpoints whose grace period after a store outage has ended."""
        changes: list[endpoint_table.Change] = []
        self.table.remove_expired(clocks.boot_time(), changes)
        for change in changes:
            self.record_change(change)

    def record_change(self, change: endpoint_table.Change) -> None:
        """Log a change of an endpoint and drop the state of its earlier incarnation."""
        LOGGER.log(
            events.Event.GATEWAY_ENDPOINT_CHANGED,
            endpoint=change.endpoint_id,
            state=change.state,
            detail=change.detail,
        )
        if change.state in ("added", "gone"):
            self.caches.remove(change.endpoint_id)
            self.health.remove(change.endpoint_id)
            self.cold_start_limiter.remove(change.endpoint_id)

    def apply_evacuations(self, items: list[tuple[str, bool]], complete: bool) -> None:
        """Apply a listing (``complete``) or changes of the zones that operators evacuated."""
        zones = set() if complete else set(self.table.evacuated_zones)
        for zone, evacuated in items:
            if evacuated:
                zones.add(zone)
            else:
                zones.discard(zone)
        services = self.configuration.services if self.configuration else {}
        if self.table.set_evacuated_zones(zones, clocks.boot_time(), services):
            LOGGER.log(events.Event.ZONES_OUT_CHANGED, zones=sorted(zones))
