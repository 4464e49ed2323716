"""State of the fleet in one gateway process: configuration, endpoints, loads and peers."""

import collections.abc
import math

from masticward import events, logs
from masticward.gateway import sources
from masticward.models import gateway, rollouts
from masticward.state import (
    announcements,
    buffered_bytes,
    cold_start,
    endpoint_health,
    endpoint_speed,
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
    store_restore,
    team_usage,
)
from masticward.utils import clocks

# Covers the time from a check here to the start at an endpoint, and timers that fire late.
REVOKE_MARGIN_SECONDS = 0.5
# While the process stops, a request is taken to last this multiple of the slowest recent one of its
# route, plus the margin.
RUN_TIME_FACTOR = 1.5
RUN_TIME_MARGIN_SECONDS = 0.25
# While the store may list an older configuration than the peers have, a gateway that starts finds
# its peers and fetches a snapshot within this time. Without an answer it serves what is listed.
PEERS_FIRST_SECONDS = 1.5
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
        self.endpoint_bodies = buffered_bytes.EndpointBodies()
        self.caches = prompt_cache.PromptCaches()
        self.health = endpoint_health.HealthTracker()
        self.speeds = endpoint_speed.SpeedTable()
        # Tokens of requests that were placed (usage) and of all that arrived (demand).
        self.usage = team_usage.TeamUsage()
        self.demand = team_usage.TeamUsage()
        self.cold_start_limiter = cold_start.ColdStartLimiter()
        self.budgets: dict[str, retry_window.WindowedRetryBudget] = {}
        self.view = placement.PlacementView(self.loads, self.caches, self.health, self.speeds)
        # IDs of this gateway and of those with a recent datagram that are not stopping.
        self.live_gateways: list[str] = [settings.instance_id]
        # All gateways discovered so far, live or not; fleet-wide budgets are divided among them.
        self.known_gateway_count = 1
        # IDs of the gateways that read the store; the others receive its changes from them.
        self.reader_ids: frozenset[str] = frozenset({settings.instance_id})
        # Points in the store's history up to which all changes of a kind are applied.
        self.revisions: dict[sources.ObjectKind, sources.Position] = {}
        # The highest era of the store that an answer or a peer stated; None while unknown.
        self.store_era: int | None = None
        # Called when the store was restored from a copy.
        self.era_listeners: list[collections.abc.Callable[[], None]] = []
        # The latest era in which the store listed the configuration in force.
        self.configuration_era = 0
        # The latest era in which the store was seen to lack it.
        self.configuration_lost_era = 0
        self.held_zones = store_restore.HeldZones()
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

    @property
    def known_era(self) -> int:
        """The store's era as far as known, 0 without one."""
        return self.store_era or 0

    def learn_era(self, era: int) -> None:
        """Learn the store's era from an answer of the store or from a peer."""
        previous = self.store_era
        if (previous is not None and era <= previous) or (previous is None and era <= 0):
            return
        self.store_era = era
        if previous is not None:
            LOGGER.log(events.Event.STORE_ERA_CHANGED, era=era, previous=previous)
        for listener in self.era_listeners:
            listener()

    @property
    def listed_era(self) -> int:
        """The store's era of the endpoints and evacuations that are in force."""
        return min(
            self.revisions[kind].era if kind in self.revisions else 0
            for kind in (sources.ObjectKind.ENDPOINTS, sources.ObjectKind.EVACUATIONS)
        )

    def enter_era(self, kind: sources.ObjectKind, era: int) -> None:
        """Prepare for the first listing of a kind in an era.

        It may have endpoints that have left, and lack endpoints and evacuations.
        """
        position = self.revisions.get(kind)
        now = clocks.boot_time()
        if kind is sources.ObjectKind.ROLLOUTS and (position is None or era > position.era):
            self.rollouts.enter_era(era, position is not None, now)
        if position is None or era <= position.era:
            return
        if kind is sources.ObjectKind.ENDPOINTS:
            self.table.begin_era(now)
        elif kind is sources.ObjectKind.EVACUATIONS:
            self.held_zones.begin_era(self.table.evacuated_zones, now)

    def check_at(self, kind: sources.ObjectKind) -> float:
        """Return when a listing of a kind decides on what is held since a new era began."""
        if kind is sources.ObjectKind.ENDPOINTS:
            return self.table.departures.check_at
        if kind is sources.ObjectKind.EVACUATIONS:
            return self.held_zones.check_at
        if kind is sources.ObjectKind.ROLLOUTS:
            return self.rollouts.restored.check_at
        return math.inf

    def awaits_peers(self, version: int, era: int, now: float) -> bool:
        """Return whether a configuration that the store lists must not be put in force yet.

        A store that was restored from a copy may list an older one than the peers of a gateway that
        starts have in force. It applies a peer's snapshot first, which also states what the
        peers hold against the listing.
        """
        if self.configuration is not None or era == 0:
            return False
        if self.newest_peer_version > version and len(self.live_gateways) > 1:
            return True
        has_peers = self.known_gateway_count > 1 or any(
            ip != self.settings.ip for ip in self.settings.seed_ips
        )
        return has_peers and now < self.started_at + PEERS_FIRST_SECONDS

    def prove_lost_configuration(self, era: int, requested_at: float) -> bool:
        """Apply that the store lists no configuration, or older ones, in a new era.

        That is a proof that the one in force is still the newest, because a newer one would be
        listed: unless another gateway may have put one in force that the store has lost. Return
        whether it is a proof.
        """
        now = clocks.boot_time()
        proves = self.newest_peer_version <= self.configuration_version and (
            self.known_gateway_count == 1
            or (self.newest_peer_version > 0 and len(self.live_gateways) > 1)
            or self.proof_is_fresh(now)
        )
        if self.configuration_lost_era < era:
            self.configuration_lost_era = era
            LOGGER.log(
                events.Event.CONFIGURATION_LOST,
                version=self.configuration_version,
                era=era,
                proven=proves,
            )
        if proves:
            self.configuration_proven_at = max(self.configuration_proven_at, requested_at)
        return proves

    def apply_configuration(
        self,
        configuration: gateway.FleetConfiguration,
        proven_at: float,
        source: str,
        era: int = 0,
    ) -> bool:
        """Put a configuration in force unless it is older; return whether it changed.

        ``era`` is the store's era in which it was listed.
        """
        current = self.configuration
        if current is not None and configuration.version < current.version:
            LOGGER.log(
                events.Event.OLDER_CONFIGURATION_IGNORED,
                version=configuration.version,
                current=current.version,
                source=source,
            )
            return False
        self.configuration_era = max(self.configuration_era, era)
        if self.may_prove(configuration.version, era):
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

    def may_prove(self, version: int, era: int) -> bool:
        """Return whether a read of the store in an era proves that a version is the newest.

        A restored store may list it although a peer has or had a newer one in force.
        """
        return era == 0 or self.newest_peer_version <= version

    def prove_unchanged(self, era: int, proven_at: float) -> None:
        """Prove the configuration in force by a watch of the store that returned no change."""
        if self.may_prove(self.configuration_version, era):
            self.configuration_proven_at = max(self.configuration_proven_at, proven_at)

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
        era: int = 0,
    ) -> bool:
        """Apply all changes of a kind after one revision of the store and up to another one.

        Return False if this process lacks changes before ``from_revision`` or the listing of the
        era. Of an earlier era than the present one only departures and new evacuations count.
        """
        position = self.revisions.get(kind)
        if position is None or sources.Position(era, from_revision) > position:
            return False
        if era < position.era:
            if kind is sources.ObjectKind.ENDPOINTS:
                entries = [
                    (item.name, None if item.removed else item.value)
                    for item in items
                    if item.removed or item.value is not None
                ]
                for change in self.table.apply_departures(entries, clocks.boot_time()):
                    self.record_change(change)
            elif kind is sources.ObjectKind.EVACUATIONS:
                seconds = store_restore.STABLE_LISTING_SECONDS
                zones = {item.name: seconds for item in items if not item.removed}
                self.hold_zones(zones, clocks.boot_time())
        elif to_revision > position.revision:
            self.apply_objects(kind, items, False)
            self.revisions[kind] = sources.Position(era, to_revision)
        return True

    def has_limited_capacity(self, service: str) -> bool:
        """Return whether the settings, or figures of the endpoints, say that capacity is short."""
        return self.settings.limited_memory or self.speeds.is_reported(service)

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
        self.rollouts.in_touch_until = now + rollout_table.IN_TOUCH_SECONDS
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

    def allows_version(self, endpoint: gateway.Endpoint, now: float) -> bool:
        """Return whether a placed request may still be sent to an endpoint of that version."""
        if self.settings.bounds.canary_share is None:
            return True
        return self.rollouts.allows(endpoint, self.usable_endpoints(endpoint.service, now))

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
            self.speeds.remove(change.endpoint_id, clocks.boot_time())
            self.cold_start_limiter.remove(change.endpoint_id)

    def merge_speeds(self, speeds: dict[str, endpoint_speed.Evidence], now: float) -> None:
        """Record what a peer reports of the speed of listed endpoints."""
        for endpoint_id, evidence in speeds.items():
            endpoint = self.table.endpoints.get(endpoint_id)
            if endpoint is not None:
                self.speeds.merge(endpoint_id, evidence, now, endpoint.service)

    def apply_evacuations(self, items: list[tuple[str, bool]], complete: bool) -> None:
        """Apply a listing (``complete``) or changes of the zones that operators evacuated."""
        now = clocks.boot_time()
        zones = set() if complete else set(self.table.evacuated_zones)
        for zone, evacuated in items:
            if not complete:
                self.held_zones.apply_change(zone, evacuated, now)
            if evacuated:
                zones.add(zone)
            else:
                zones.discard(zone)
        if complete:
            zones = self.held_zones.apply_listing(zones, now)
        self.set_evacuated_zones(zones, now)

    def hold_zones(self, seconds_by_zone: dict[str, float], now: float) -> None:
        """Hold evacuated zones for some time although the restored store does not list them."""
        if seconds_by_zone:
            self.held_zones.adopt(seconds_by_zone, now)
            self.set_evacuated_zones(self.table.evacuated_zones | self.held_zones.held, now)

    def set_evacuated_zones(self, zones: set[str], now: float) -> None:
        """Set the zones that count as evacuated."""
        services = self.configuration.services if self.configuration else {}
        if self.table.set_evacuated_zones(zones, now, services):
            LOGGER.log(events.Event.ZONES_OUT_CHANGED, zones=sorted(zones))
