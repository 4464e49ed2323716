"""Keeps the fleet state up to date with the platform's store by listings and watches.

In a large fleet only a few gateways watch; ``state/store_readers.py`` chooses them, and they relay
the changes to the others.
"""

import asyncio
import collections.abc
import math
import random

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import sources
from masticward.models import gateway
from masticward.utils import clocks

# Long, because each call counts against the store's rate limits. A hanging watch is detected sooner
# by the peers' reports (endpoints, zones) and by the prover (configuration).
WATCH_TIMEOUT_SECONDS = 15.0
# In a large fleet few gateways watch, so that a hanging watch has to be detected by its timeout.
READER_WATCH_TIMEOUT_SECONDS = 1.5
# Pause after the changes of a watch, so that the next ones come several a call.
WATCH_PAUSE_SECONDS = 0.1
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.6
# The store entry of an endpoint expires after three missed heartbeats, at the earliest 2.4 s after
# the start of an outage. Shorter outages need neither a new listing nor a grace period.
MIN_OUTAGE_SECONDS = 2.0
# While the store responds, readers renew the fleet's proof before it is that old.
MAX_PROOF_AGE_SECONDS = 3.0
# How often a gateway that starts checks whether its peers have a newer configuration.
PEERS_POLL_SECONDS = 0.05
LOGGER = logs.get_logger(__name__)


ChangeListener = collections.abc.Callable[[sources.ObjectKind, int, sources.Listing], None]


class Follower:
    """Follows one kind of stored object by a listing and subsequent watches."""

    def __init__(
        self,
        source: sources.FleetSource,
        fleet: fleet_module.FleetState,
        kind: sources.ObjectKind,
        on_changes: ChangeListener = lambda kind, from_revision, listing: None,
    ) -> None:
        self.source = source
        self.fleet = fleet
        self.kind = kind
        # Called after changes of a watch were applied, with the revision that they follow.
        self.on_changes = on_changes
        self.store_unavailable = False
        # During an outage: the latest time at which the store responded to any gateway.
        self.unavailable_since = 0.0
        self.last_response_at = clocks.boot_time()
        # Where to watch from; not before the last applied change.
        self.watched = sources.Position(0, 0)
        # Set when the store was restored from a copy: what a watch returns from then on may lack
        # changes.
        self.era_changed = asyncio.Event()
        fleet.era_listeners.append(self.era_changed.set)
        # Set when peers have changes that this process lacks, because its watch may hang.
        self.relist_requested = asyncio.Event()
        # Set while this process reads the store itself.
        self.active = asyncio.Event()
        self.active.set()

    def set_active(self, active: bool) -> None:
        """Start or stop to watch; a watch in progress is completed."""
        if active:
            if not self.active.is_set():
                self.assume_outage()
            self.active.set()
        elif self.active.is_set():
            self.active.clear()
            self.store_unavailable = False

    def assume_outage(self) -> None:
        """Take the store as unavailable until now if no gateway has had a response lately.

        This process has not called the store itself, and its first call may be the first one that
        succeeds after an outage.
        """
        proven_at = self.fleet.configuration_proven_at
        if clocks.boot_time() - proven_at > MAX_PROOF_AGE_SECONDS:
            self.store_unavailable = True
            self.unavailable_since = max(self.last_response_at, proven_at)

    async def run(self) -> None:
        """List and watch the objects until cancelled."""
        retry_seconds = MIN_RETRY_SECONDS
        while True:
            await self.wait_for_turn()
            self.era_changed.clear()
            requested_at = clocks.boot_time()
            known_position = self.fleet.revisions.get(self.kind)
            position = None if self.must_list(known_position) else known_position
            try:
                if position is None:
                    self.relist_requested.clear()
                    listing = await self.source.list_objects(self.kind)
                else:
                    changes = await self.watch(max(position, self.watched).revision)
                    if changes is None:
                        continue
                    listing = changes
            except errors.HistoryLostError:
                LOGGER.log(
                    events.Event.STORE_HISTORY_LOST,
                    kind=self.kind.value,
                    revision=position.revision if position else None,
                )
                self.relist_requested.set()
                continue
            except errors.StoreUnavailableError as error:
                self.record_failure(error)
                await asyncio.sleep(retry_seconds * random.uniform(0.6, 1.0))
                retry_seconds = min(MAX_RETRY_SECONDS, retry_seconds * 2)
                # After an outage a listing covers every change; the history of a watch may be lost.
                if position is None or requested_at - self.unavailable_since > MIN_OUTAGE_SECONDS:
                    self.relist_requested.set()
                continue
            self.record_response()
            self.fleet.learn_era(listing.era)
            if position is not None and listing.era > position.era:
                continue  # part of the changes of a new era; the next call lists
            if self.is_overtaken(listing, known_position):
                outdated = listing.era < self.fleet.known_era
                if outdated:
                    LOGGER.log(
                        events.Event.STORE_ANSWER_OUTDATED,
                        kind=self.kind.value,
                        era=listing.era,
                        known_era=self.fleet.known_era,
                    )
                if listing.complete or outdated:
                    await asyncio.sleep(retry_seconds * random.uniform(0.6, 1.0))
                    retry_seconds = min(MAX_RETRY_SECONDS, retry_seconds * 2)
                    self.relist_requested.set()
                continue
            retry_seconds = MIN_RETRY_SECONDS
            await self.wait_for_peers(listing)
            self.apply_listing(listing, requested_at)
            if self.fleet.relays_changes and listing.items and not listing.complete:
                await asyncio.sleep(WATCH_PAUSE_SECONDS)

    def must_list(self, position: sources.Position | None) -> bool:
        """Return whether a watch from a position would not return all that has changed."""
        return (
            position is None
            or self.relist_requested.is_set()
            or position.era < self.fleet.known_era
            or clocks.boot_time() >= self.fleet.check_at(self.kind)
        )

    async def wait_for_peers(self, listing: sources.Listing) -> None:
        """Wait while peers may have a newer configuration than a restored store lists."""
        for item in listing.items:
            if isinstance(item.value, gateway.FleetConfiguration):
                while self.fleet.awaits_peers(item.value.version, listing.era, clocks.boot_time()):
                    await asyncio.sleep(PEERS_POLL_SECONDS)

    async def wait_for_turn(self) -> None:
        """Wait until this process has to read the store."""
        while not self.active.is_set() and self.kind in self.fleet.revisions:
            if self.relist_requested.is_set():
                return
            waits = [
                asyncio.ensure_future(self.active.wait()),
                asyncio.ensure_future(self.relist_requested.wait()),
            ]
            try:
                await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for wait in waits:
                    wait.cancel()

    async def watch(self, revision: int) -> sources.Listing | None:
        """Return the changes after a revision; None if a new listing is needed."""
        timeout_seconds = WATCH_TIMEOUT_SECONDS
        if self.fleet.relays_changes:
            timeout_seconds = READER_WATCH_TIMEOUT_SECONDS
        watch = asyncio.ensure_future(self.source.watch(self.kind, revision, timeout_seconds))
        relist = asyncio.ensure_future(self.relist_requested.wait())
        restored = asyncio.ensure_future(self.era_changed.wait())
        check_seconds = self.fleet.check_at(self.kind) - clocks.boot_time()
        try:
            await asyncio.wait(
                (watch, relist, restored),
                timeout=max(0.0, check_seconds) if math.isfinite(check_seconds) else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not watch.done() and not relist.done():
                return None
            if not watch.done():
                LOGGER.log(events.Event.WATCH_GIVEN_UP, kind=self.kind.value, revision=revision)
                return None
            return watch.result()
        finally:
            watch.cancel()
            relist.cancel()
            restored.cancel()

    def record_failure(self, error: errors.StoreError) -> None:
        """Record a failed call and log the start of an outage once."""
        self.fleet.store_failed_at = clocks.boot_time()
        if not self.store_unavailable:
            self.store_unavailable = True
            self.unavailable_since = max(self.last_response_at, self.fleet.configuration_proven_at)
            LOGGER.log(
                events.Event.GATEWAY_STORE_UNAVAILABLE, kind=self.kind.value, error=str(error)
            )

    def record_response(self) -> None:
        """Record a successful call; after an outage, log its end and start the grace period.

        Time in which this process did not run is no outage: the store may have served the others.
        """
        now = clocks.boot_time()
        self.fleet.store_failed_at = None
        if self.store_unavailable:
            paused_seconds = self.fleet.pauses.seconds_within(self.unavailable_since, now)
            outage_seconds = now - self.unavailable_since - paused_seconds
            LOGGER.log(
                events.Event.GATEWAY_STORE_RESTORED,
                kind=self.kind.value,
                seconds=round(outage_seconds, 2),
                paused_seconds=round(paused_seconds, 2),
            )
            self.store_unavailable = False
            if self.kind is sources.ObjectKind.ENDPOINTS and outage_seconds > MIN_OUTAGE_SECONDS:
                self.fleet.table.start_relist_grace(now)
        self.last_response_at = now

    def is_overtaken(
        self, listing: sources.Listing, known_position: sources.Position | None
    ) -> bool:
        """Return whether a peer has sent newer objects since the store was called.

        ``known_position`` is that of the objects at that time. The store's own answer counts if
        nothing has come since, and the store was not restored from a copy meanwhile.
        """
        if listing.era < self.fleet.known_era:
            return True
        position = self.fleet.revisions.get(self.kind)
        return position is not None and position != known_position and listing.position < position

    def apply_listing(self, listing: sources.Listing, requested_at: float) -> None:
        """Apply a listing or the changes of a watch to the fleet state."""
        self.watched = listing.position
        fleet = self.fleet
        position = fleet.revisions.get(self.kind, listing.position)
        previous_digest = fleet.table.digest()
        if self.kind is sources.ObjectKind.CONFIGURATION:
            self.apply_configuration_listing(listing, requested_at)
        elif listing.complete or listing.items:
            fleet.enter_era(self.kind, listing.era)
            fleet.apply_objects(self.kind, listing.items, listing.complete)
        # The revision stays that of the last change, so that other gateways, which have the same
        # objects, can apply the next one.
        listed_anew = listing.complete and fleet.table.digest() != previous_digest
        changed = listed_anew or (listing.items and not listing.complete)
        if changed or self.kind not in fleet.revisions or listing.era > position.era:
            fleet.revisions[self.kind] = listing.position
        if listing.items and not listing.complete:
            self.on_changes(self.kind, position.revision, listing)

    def apply_configuration_listing(self, listing: sources.Listing, requested_at: float) -> None:
        """Apply a configuration; a watch without changes proves that the current one is newest.

        So does, in a new era, that an older one is listed or none at all.
        """
        self.fleet.learn_era(listing.era)
        if listing.era < self.fleet.known_era:
            return
        configurations = [
            item.value
            for item in listing.items
            if isinstance(item.value, gateway.FleetConfiguration)
        ]
        newest = max((item.version for item in configurations), default=0)
        # The in-force one was written before the store was restored, and not yet again.
        is_lost = (
            self.fleet.configuration is not None
            and listing.era > self.fleet.configuration_era
            and newest < self.fleet.configuration_version
            and (bool(configurations) or not listing.items)
        )
        for configuration in configurations:
            if configuration.version >= self.fleet.configuration_version or not is_lost:
                self.fleet.apply_configuration(configuration, requested_at, "store", listing.era)
        if is_lost:
            self.fleet.prove_lost_configuration(listing.era, requested_at)
        elif not configurations and not listing.items and not listing.complete:
            self.fleet.prove_unchanged(listing.era, requested_at)


def create_followers(
    source: sources.FleetSource,
    fleet: fleet_module.FleetState,
    on_changes: ChangeListener = lambda kind, from_revision, listing: None,
) -> dict[sources.ObjectKind, Follower]:
    """Return one follower for each kind of object that has to be followed."""
    return {
        kind: Follower(source, fleet, kind, on_changes)
        for kind in (
            sources.ObjectKind.CONFIGURATION,
            sources.ObjectKind.ENDPOINTS,
            sources.ObjectKind.EVACUATIONS,
            # Run only where the settings call for it.
            sources.ObjectKind.ROLLOUTS,
        )
    }
