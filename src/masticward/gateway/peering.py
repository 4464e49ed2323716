"""Exchanges status reports with the other gateways."""

import asyncio
import collections.abc
import contextlib
import random
import typing

import msgspec

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import sources
from masticward.models import gateway
from masticward.protocol import gateway_peers
from masticward.state import load_table, store_readers
from masticward.utils import addresses, clocks, identifiers

# Reports are sent at this interval while there are few gateways. With more of them, the interval
# grows so that a process stays within its rate of datagrams.
MIN_REPORT_INTERVAL_SECONDS = 0.1
REPORT_DATAGRAMS_PER_SECOND = 60.0
# A gateway counts as live for this long after its last datagram, as links lose single datagrams.
LIVENESS_TIMEOUT_SECONDS = 1.2
# Gateways that are not live, and the seed addresses, are sent every n-th report, so that the end of
# a partition is detected.
ROUNDS_PER_REPORT_TO_SILENT_PEERS = 10
ROUNDS_PER_MEMBER_LIST = 5
# Watches deliver changes to all gateways within this time unless a watch hangs. A listing requested
# after this time is still early enough for the bounds on draining and evacuation.
LISTING_MISMATCH_SECONDS = 0.8
# Changes that another reader relays, or that were overtaken, arrive within this time.
MISSED_CHANGES_SECONDS = 0.3
# Shortest time between two listings that are requested because of a mismatch.
MIN_RELIST_INTERVAL_SECONDS = 2.0
# Shortest time between two snapshots that are requested because of a mismatch.
MIN_SNAPSHOT_INTERVAL_SECONDS = 0.5
REGISTRATION_RETRY_SECONDS = 1.0
# Gateways register again over this time when the store was restored from a copy.
REGISTRATION_SPREAD_SECONDS = 0.5
MEMBER_LIST_POLL_SECONDS = 15.0
# Live gateways report their members, so that the list in the store is read rarely.
MEMBER_LIST_POLL_WITH_PEERS_SECONDS = 60.0
# Load changes are sent at this short interval so that gateways which place requests at the same
# time do not all choose the same engine. With many gateways, the interval grows so that a process
# stays within the rate of datagrams.
MIN_CHANGES_INTERVAL_SECONDS = 0.02
CHANGES_DATAGRAMS_PER_SECOND = 600.0
# A message is sent at least this often, also without changes, so that liveness and the age of the
# configuration's proof do not depend on the rate of reports.
MAX_CHANGES_INTERVAL_SECONDS = 0.5
# Of one sender. Reports, changes and relayed changes together stay far below it.
MAX_DATAGRAMS_PER_SECOND = 500
# A log line costs more processor time than the datagram that it is about.
MIN_UNREADABLE_LOG_INTERVAL_SECONDS = 1.0
LOGGER = logs.get_logger(__name__)


class Peer:
    """Another gateway. Times are in seconds of this process's ``clocks.boot_time``."""

    __slots__ = (
        "availability_zone",
        "can_relay",
        "configuration_proof_age",
        "configuration_version",
        "incarnation",
        "instance_id",
        "ip",
        "is_shedding",
        "listed_era",
        "listing_digest",
        "listing_digest_since",
        "live",
        "missed",
        "missed_since",
        "newest_sent_at",
        "received_at",
        "stopping",
    )

    def __init__(self, instance_id: str, ip: str) -> None:
        self.instance_id = instance_id
        self.ip = ip
        self.incarnation = 0
        self.received_at = -1e9
        # Newest send time received from the peer, on the peer's clock.
        self.newest_sent_at = 0.0
        self.live = False
        self.availability_zone = ""
        self.can_relay = False
        # Version and age of its proof as last received; 0 and negative while unknown.
        self.configuration_version = 0
        self.configuration_proof_age = -1.0
        # The peer's latest listing digest, 0 while unknown, and when it was first received.
        self.listing_digest = 0
        self.listing_digest_since = 0.0
        # Positions before changes that it has relayed, of the kinds for which this process did not
        # have the changes up to there, and when the first of these was received.
        self.missed: dict[sources.ObjectKind, sources.Position] = {}
        self.missed_since = 0.0
        # The store's era of its listings.
        self.listed_era = 0
        self.stopping = False
        self.is_shedding = False


class Peering(asyncio.DatagramProtocol):
    """Sends this process's status to all gateways and applies theirs.

    Complete reports are sent periodically; changes of the load are sent in between.
    """

    def __init__(
        self,
        fleet: fleet_module.FleetState,
        source: sources.FleetSource,
        on_listing_mismatch: collections.abc.Callable[[], None] = lambda: None,
        on_reader_change: collections.abc.Callable[[bool], None] = lambda reads_store: None,
    ) -> None:
        self.fleet = fleet
        self.source = source
        # Called when at least half of the live gateways list other endpoints or zones.
        self.on_listing_mismatch = on_listing_mismatch
        # Called with whether this process reads the store, each time that changes.
        self.on_reader_change = on_reader_change
        self.reads_store = True
        self.changes_sent_at = 0.0
        self.relist_requested_at = 0.0
        self.incarnation = identifiers.new_incarnation()
        self.peers: dict[str, Peer] = {}
        self.seed_ips: list[str] = []
        self.apply_settings(fleet.settings)
        self.transport: asyncio.DatagramTransport | None = None
        # Set when the store was restored from a copy, which lacks what was written since.
        self.era_changed = asyncio.Event()
        fleet.era_listeners.append(self.era_changed.set)
        self.report_rounds = 0
        self.stopping = False
        self.unsent_prompts: list[tuple[str, list[tuple[int, int]]]] = []
        # Whether a request was placed since the last message.
        self.has_unsent_request = False
        # Datagrams by sender in the present second.
        self.datagram_counts: dict[tuple[str | typing.Any, int], int] = {}
        self.counts_end_at = 0.0
        # Datagrams that were dropped since the last log line about one.
        self.unreadable_datagrams = 0
        self.next_unreadable_log_at = 0.0
        # Prompts already sent once, repeated in the next report because datagrams may be lost.
        self.prompts_to_repeat: list[tuple[str, list[tuple[int, int]]]] = []

    def apply_settings(self, settings: gateway.GatewaySettings) -> None:
        """Apply changed seed addresses of other gateways."""
        self.seed_ips = [ip for ip in settings.seed_ips if ip != settings.ip]

    async def start(self) -> None:
        """Open the UDP port."""
        loop = asyncio.get_running_loop()
        address = (self.fleet.settings.ip, self.fleet.settings.peer_port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of single datagrams; the liveness timeout covers unreachable peers."""

    def announce_prompt(self, endpoint_id: str, keys: list[tuple[int, int]]) -> None:
        """Queue a placed prompt for the next message to the peers.

        ``keys`` holds key and tokens of each prefix; the last one covers the request's own part,
        which no other request shares, and is left out.
        """
        self.has_unsent_request = True
        if len(keys) > 1:
            self.unsent_prompts.append((endpoint_id, keys[:-1]))

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            self.update_liveness()
            self.compare_listings()
            self.send_reports()
            live_peer_count = max(1, len(self.fleet.live_gateways) - 1)
            await asyncio.sleep(
                max(MIN_REPORT_INTERVAL_SECONDS, live_peer_count / REPORT_DATAGRAMS_PER_SECOND)
            )

    async def run_changes(self) -> None:
        """Send changes of this process's load shortly after they happen, until cancelled."""
        while True:
            live_peer_count = max(1, len(self.fleet.live_gateways) - 1)
            await asyncio.sleep(
                max(MIN_CHANGES_INTERVAL_SECONDS, live_peer_count / CHANGES_DATAGRAMS_PER_SECOND)
            )
            # Finished requests alone cause no message; the next report or placed request has them.
            due_at = self.changes_sent_at + MAX_CHANGES_INTERVAL_SECONDS
            has_changes = (
                self.unsent_prompts
                or self.has_unsent_request
                or self.fleet.quarantine.changed
                or self.fleet.rollouts.has_changed
            )
            if has_changes or clocks.boot_time() >= due_at:
                self.send_changes()

    def send_changes(self) -> None:
        """Send the changes since the last message to each live gateway."""
        self.has_unsent_request = False
        fleet = self.fleet
        now = self.changes_sent_at = clocks.boot_time()
        loads = fleet.loads.pop_changed()
        changes = gateway_peers.PeerChanges(
            instance_id=self.fleet.settings.instance_id,
            incarnation=self.incarnation,
            loads={
                endpoint_id: (load.unread_tokens, load.requests, load.memory_tokens)
                for endpoint_id, load in loads.items()
            },
            prompts=self.unsent_prompts,
            configuration_version=fleet.configuration_version,
            configuration_proof_age=fleet.proof_age(now),
            listing_digest=fleet.listing_digest,
            is_shedding=fleet.shedder.is_shedding,
            parts=fleet.quarantine.pop_changed(now),
            speeds=fleet.speeds.pop_evidence(now),
            store_era=fleet.known_era,
            listed_era=fleet.listed_era,
            rollout_reports=fleet.rollouts.pop_changed(now),
        )
        self.prompts_to_repeat += self.unsent_prompts
        self.unsent_prompts = []
        self.send_to_live_peers(changes)

    def send_to_live_peers(self, content: gateway_peers.Content) -> None:
        """Send one content to each live gateway."""
        encoded = gateway_peers.encode_content(content)
        for peer in self.peers.values():
            if peer.live:
                self.send_message(peer, encoded)

    def relay_changes(
        self, kind: sources.ObjectKind, from_revision: int, listing: sources.Listing
    ) -> None:
        """Send changes that this process has read from the store to the other gateways."""
        if not self.fleet.relays_changes:
            return
        if kind is sources.ObjectKind.CONFIGURATION:
            # The peers read the configuration itself from a snapshot.
            self.send_changes()
            return
        now = clocks.boot_time()
        items = []
        for item in listing.items:
            is_endpoint = isinstance(item.value, gateway.Endpoint)
            items.append(
                (item.name, item.removed, item.value.to_relative(now) if is_endpoint else None)
            )
        self.send_to_live_peers(
            gateway_peers.StoreChanges(
                instance_id=self.fleet.settings.instance_id,
                incarnation=self.incarnation,
                kind=kind.value,
                from_revision=from_revision,
                to_revision=listing.revision,
                items=items,
                grace_seconds=max(0.0, self.fleet.table.grace_until - now),
                era=listing.era,
                orders=[item.value for item in listing.items]
                if kind is sources.ObjectKind.ROLLOUTS
                else [],
            )
        )

    async def run_registration(self) -> None:
        """Register this process and read the member list periodically, until cancelled.

        It registers once in each era of the store. A registration counts for the era that was
        known before the call: a store that is restored meanwhile has lost it.
        """
        settings = self.fleet.settings
        registered_era: int | None = None
        while True:
            self.era_changed.clear()
            registered = registered_era is not None and registered_era >= self.fleet.known_era
            wait_seconds = REGISTRATION_RETRY_SECONDS
            try:
                if not registered:
                    era = self.fleet.store_era
                    await self.source.register(sources.Member(settings.instance_id, settings.ip))
                    # The answer may be the first one that states the era.
                    registered_era = self.fleet.known_era if era is None else era
                    registered = registered_era == self.fleet.known_era
                listing = await self.source.list_objects(sources.ObjectKind.MEMBERS)
                for item in listing.items:
                    if isinstance(item.value, sources.Member):
                        self.add_peer(item.value.instance_id, item.value.ip)
                wait_seconds = MEMBER_LIST_POLL_SECONDS
                if len(self.fleet.live_gateways) > 1:
                    wait_seconds = MEMBER_LIST_POLL_WITH_PEERS_SECONDS
                if not registered:
                    wait_seconds = REGISTRATION_RETRY_SECONDS
            except errors.StoreError as error:
                LOGGER.log(
                    events.Event.MEMBER_LIST_UNAVAILABLE, registered=registered, error=str(error)
                )
            if registered_era == self.fleet.known_era:
                self.era_changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.era_changed.wait(), wait_seconds)
                await asyncio.sleep(random.uniform(0.0, REGISTRATION_SPREAD_SECONDS))

    def add_peer(self, instance_id: str, ip: str) -> Peer | None:
        """Return the peer with this ID, creating it if needed.

        Return None for this process and for an address to which nothing can be sent. A peer that
        was heard lately keeps its address: what others say of it may be out of date.
        """
        if instance_id == self.fleet.settings.instance_id or not addresses.is_ip(ip):
            return None
        peer = self.peers.get(instance_id)
        if peer is None or (peer.ip != ip and not self.was_heard_lately(peer)):
            peer = self.put_peer(instance_id, ip)
        return peer

    def put_peer(self, instance_id: str, ip: str) -> Peer:
        """Create a peer, or replace one that has another address."""
        peer = self.peers[instance_id] = Peer(instance_id, ip)
        self.fleet.known_gateway_count = len(self.peers) + 1
        return peer

    def was_heard_lately(self, peer: Peer) -> bool:
        """Return whether a datagram of the peer has come within the liveness timeout."""
        return clocks.boot_time() - peer.received_at <= LIVENESS_TIMEOUT_SECONDS

    def update_liveness(self) -> None:
        """Update the list of live gateways and drop the loads of peers that are not live."""
        now = clocks.boot_time()
        self.fleet.loads.remove_stale_peers(now)
        live_ids = [self.fleet.settings.instance_id]
        for peer in self.peers.values():
            recently_seen = now - peer.received_at <= LIVENESS_TIMEOUT_SECONDS
            if recently_seen != peer.live:
                peer.live = recently_seen
                event = events.Event.PEER_HEARD if recently_seen else events.Event.PEER_LOST
                LOGGER.log(
                    event, peer=peer.instance_id, silent_seconds=round(now - peer.received_at, 2)
                )
            if recently_seen and not peer.stopping:
                live_ids.append(peer.instance_id)
        self.fleet.live_gateways = live_ids
        self.update_readers(now)

    def update_readers(self, now: float) -> None:
        """Choose the gateways that read the store, and report if this process's role changes."""
        fleet = self.fleet
        own = fleet.settings
        live_ids = set(fleet.live_gateways)
        candidates = [
            store_readers.Candidate(peer.instance_id, peer.availability_zone, peer.can_relay)
            for peer in self.peers.values()
            if peer.instance_id in live_ids
        ]
        candidates.append(
            store_readers.Candidate(
                own.instance_id, own.availability_zone, fleet.reaches_store(now)
            )
        )
        fleet.reader_ids = store_readers.choose_readers(candidates)
        if fleet.reads_store != self.reads_store:
            self.reads_store = fleet.reads_store
            LOGGER.log(
                events.Event.STORE_READER_CHANGED,
                reads_store=self.reads_store,
                readers=sorted(fleet.reader_ids),
                live_gateways=len(live_ids),
            )
            self.on_reader_change(self.reads_store)

    def available_peers(self) -> float:
        """Return the fraction of the zone's other gateways that accept all requests.

        Live gateways that stop count as not available, those that are not live are left out.
        """
        zone = self.fleet.settings.availability_zone
        peers = [
            peer for peer in self.peers.values() if peer.live and peer.availability_zone == zone
        ]
        available = sum(not peer.is_shedding and not peer.stopping for peer in peers)
        return available / len(peers) if peers else 0.0

    def compare_listings(self) -> None:
        """Request a new listing if this process seems to lack changes of the store.

        For a gateway that reads the store, that is when the listings of at least half of the live
        peers have differed from its own for ``LISTING_MISMATCH_SECONDS``; fewer may themselves be
        behind. For another gateway, one peer that reads the store is enough, or changes which a
        peer has relayed and others before them that are missing here.
        """
        now = clocks.boot_time()
        reads_store = self.fleet.reads_store
        interval_seconds = (
            MIN_RELIST_INTERVAL_SECONDS if reads_store else MIN_SNAPSHOT_INTERVAL_SECONDS
        )
        if not self.fleet.endpoints_known or now - self.relist_requested_at < interval_seconds:
            return
        differing = self.differing_peers()
        if not reads_store:
            differs = any(peer.instance_id in self.fleet.reader_ids for peer in differing)
            differs = differs or bool(self.leading_peers())
        else:
            live_count = sum(peer.live for peer in self.peers.values())
            differs = bool(differing) and 2 * len(differing) >= live_count
        if differs:
            self.relist_requested_at = now
            self.on_listing_mismatch()

    def differing_peers(self) -> list[Peer]:
        """Return the live peers whose listing has differed for ``LISTING_MISMATCH_SECONDS``."""
        now = clocks.boot_time()
        own_digest = self.fleet.table.digest()
        return [
            peer
            for peer in self.peers.values()
            if peer.live
            and peer.listing_digest not in (0, own_digest)
            # What the store listed before it was restored from a copy is of no use.
            and peer.listed_era >= self.fleet.listed_era
            and now - peer.listing_digest_since > LISTING_MISMATCH_SECONDS
        ]

    def leading_peers(self) -> list[Peer]:
        """Return the live peers that have relayed changes which do not follow on the own ones.

        Their listings tell nothing while replicas come and go: they differ all the time, from each
        other as well.
        """
        now = clocks.boot_time()
        leading = []
        for peer in self.peers.values():
            peer.missed = {
                kind: position
                for kind, position in peer.missed.items()
                if not self.has_position(kind, position)
            }
            if peer.missed and peer.live and now - peer.missed_since > MISSED_CHANGES_SECONDS:
                leading.append(peer)
        return leading

    def has_position(self, kind: sources.ObjectKind, position: sources.Position) -> bool:
        """Return whether this process has all changes of a kind up to a position."""
        own = self.fleet.revisions.get(kind)
        return own is not None and own >= position

    def send_reports(self) -> None:
        """Send a report to each live gateway, and periodically to the others and the seeds."""
        transport = self.transport
        if transport is None:
            return
        self.report_rounds += 1
        content = gateway_peers.encode_content(self.build_report())
        include_silent = self.report_rounds % ROUNDS_PER_REPORT_TO_SILENT_PEERS == 1
        for peer in self.peers.values():
            if peer.live or include_silent:
                self.send_message(peer, content)
        if include_silent:
            known_ips = {peer.ip for peer in self.peers.values()}
            message = gateway_peers.PeerMessage(clocks.boot_time(), 0.0, 0, content)
            for ip in self.seed_ips:
                if ip not in known_ips:
                    self.send_to(ip, gateway_peers.encode(message))

    def send_message(self, peer: Peer, content: msgspec.Raw) -> None:
        """Send one datagram that echoes the newest send time received from the peer."""
        message = gateway_peers.PeerMessage(
            clocks.boot_time(), peer.newest_sent_at, peer.incarnation, content
        )
        self.send_to(peer.ip, gateway_peers.encode(message))

    def send_to(self, ip: str, data: bytes) -> None:
        """Send one datagram unless it exceeds the size limit."""
        if self.transport is not None and len(data) <= gateway_peers.MAXIMUM_DATAGRAM_BYTES:
            self.transport.sendto(data, (ip, self.fleet.settings.peer_port))

    def build_report(self) -> gateway_peers.PeerReport:
        """Return the current status report and clear the pending changes that it covers."""
        fleet = self.fleet
        now = clocks.boot_time()
        fleet.usage.decay(now)
        fleet.demand.decay(now)
        prompts = self.prompts_to_repeat + self.unsent_prompts
        # Prompts that no change message carried are repeated in the next report, too.
        self.prompts_to_repeat, self.unsent_prompts = self.unsent_prompts, []
        fleet.loads.changed.clear()
        members: list[tuple[str, str]] = []
        if self.report_rounds % ROUNDS_PER_MEMBER_LIST == 0:
            members = [(peer.instance_id, peer.ip) for peer in self.peers.values()]
        return gateway_peers.PeerReport(
            instance_id=fleet.settings.instance_id,
            ip=fleet.settings.ip,
            incarnation=self.incarnation,
            configuration_version=fleet.configuration_version,
            configuration_proof_age=fleet.proof_age(now),
            stopping=self.stopping,
            listing_digest=fleet.listing_digest,
            loads={
                endpoint_id: (load.unread_tokens, load.requests, load.memory_tokens)
                for endpoint_id, load in fleet.loads.own.items()
            },
            usage=fleet.usage.reportable_totals(),
            demand=fleet.demand.reportable_totals(),
            prompts=prompts,
            members=members,
            availability_zone=fleet.settings.availability_zone,
            can_relay=fleet.reaches_store(now) and fleet.endpoints_known,
            is_shedding=fleet.shedder.is_shedding,
            parts=fleet.quarantine.build_reports(now),
            leaving=fleet.announcements.build_report(fleet.table.endpoints.values()),
            speeds=fleet.speeds.pop_evidence(now),
            store_era=fleet.known_era,
            listed_era=fleet.listed_era,
            rollout_reports=fleet.rollouts.reports(now),
        )

    def datagram_received(self, data: bytes, addr: tuple[str | typing.Any, int]) -> None:
        """Apply a peer's report or changes."""
        if self.is_flooding(addr):
            self.note_unreadable(str(addr[0]), "too many datagrams")
            return
        try:
            message, content = gateway_peers.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            self.note_unreadable(str(addr[0]), str(error))
            return
        now = clocks.boot_time()
        if isinstance(content, gateway_peers.PeerChanges):
            self.apply_changes(message, content, now)
        elif isinstance(content, gateway_peers.StoreChanges):
            self.apply_store_changes(content, now)
        else:
            self.apply_report(message, content, now)

    def is_flooding(self, sender: tuple[str | typing.Any, int]) -> bool:
        """Count a datagram; return whether its sender has sent too many in the present second."""
        now = clocks.boot_time()
        if now >= self.counts_end_at:
            self.counts_end_at = now + 1.0
            self.datagram_counts.clear()
        count = self.datagram_counts.get(sender, 0) + 1
        self.datagram_counts[sender] = count
        return count > MAX_DATAGRAMS_PER_SECOND

    def note_unreadable(self, sender: str, error: str) -> None:
        """Count a datagram that was dropped; log the latest one, not more often than allowed."""
        self.unreadable_datagrams += 1
        now = clocks.boot_time()
        if now < self.next_unreadable_log_at:
            return
        self.next_unreadable_log_at = now + MIN_UNREADABLE_LOG_INTERVAL_SECONDS
        LOGGER.log(
            events.Event.PEER_MESSAGE_UNREADABLE,
            sender=sender,
            error=error,
            count=self.unreadable_datagrams,
        )
        self.unreadable_datagrams = 0

    def apply_changes(
        self, message: gateway_peers.PeerMessage, changes: gateway_peers.PeerChanges, now: float
    ) -> None:
        """Apply load changes of a peer that has sent a report."""
        peer = self.peers.get(changes.instance_id)
        if peer is None or changes.incarnation != peer.incarnation:
            return
        if message.sent_at <= peer.newest_sent_at:
            return  # reordered: a newer datagram was already applied
        peer.newest_sent_at = message.sent_at
        peer.received_at = now
        peer.is_shedding = changes.is_shedding
        loads = {key: load_table.EndpointLoad(*value) for key, value in changes.loads.items()}
        self.fleet.loads.update_peer_loads(peer.instance_id, loads, now)
        self.apply_eras(peer, changes.store_era, changes.listed_era)
        self.apply_prompts(changes.prompts)
        for part in changes.parts:
            self.fleet.quarantine.merge(part, peer.instance_id, now)
        self.fleet.merge_speeds(changes.speeds, now)
        self.fleet.merge_rollouts(
            changes.rollout_reports, (peer.instance_id, peer.incarnation), now
        )
        if changes.configuration_version > 0:
            self.apply_status(
                peer,
                message,
                changes.configuration_version,
                changes.configuration_proof_age,
                changes.listing_digest,
                now,
            )

    def apply_store_changes(self, changes: gateway_peers.StoreChanges, now: float) -> None:
        """Apply changes of the store that a peer relays, unless this process reads it itself."""
        peer = self.peers.get(changes.instance_id)
        if peer is None or changes.incarnation != peer.incarnation or self.fleet.reads_store:
            return
        kind = next((item for item in sources.LISTED_KINDS if item.value == changes.kind), None)
        if kind is None:
            self.note_unreadable(peer.ip, f"unknown kind of object {changes.kind!r}")
            return
        items = [
            sources.StoredObject(name, endpoint.to_absolute(now) if endpoint else None, removed)
            for name, removed, endpoint in changes.items
        ]
        if kind is sources.ObjectKind.ROLLOUTS:
            items = [
                sources.StoredObject(name, order, removed)
                for (name, removed, _), order in zip(changes.items, changes.orders, strict=False)
            ]
        if changes.grace_seconds > 0.0:
            self.fleet.table.share_relist_grace(changes.grace_seconds, now)
        self.fleet.learn_era(changes.era)
        if not self.fleet.apply_changes(
            kind, changes.from_revision, changes.to_revision, items, changes.era
        ):
            LOGGER.log(
                events.Event.STORE_CHANGES_MISSED,
                kind=kind.value,
                peer=peer.instance_id,
                position=msgspec.to_builtins(self.fleet.revisions.get(kind)),
                from_revision=changes.from_revision,
                era=changes.era,
            )
            if not peer.missed:
                peer.missed_since = now
            peer.missed[kind] = sources.Position(changes.era, changes.from_revision)

    def apply_eras(self, peer: Peer, store_era: int, listed_era: int) -> None:
        """Apply what a peer says of the store's era."""
        peer.listed_era = listed_era
        self.fleet.learn_era(store_era)

    def apply_status(
        self,
        peer: Peer,
        message: gateway_peers.PeerMessage,
        version: int,
        proof_age: float,
        listing_digest: int,
        now: float,
    ) -> None:
        """Apply what a peer says of its configuration and its listing."""
        peer.configuration_version = version
        peer.configuration_proof_age = proof_age
        if peer.listing_digest != listing_digest:
            peer.listing_digest = listing_digest
            peer.listing_digest_since = now
        fleet = self.fleet
        fleet.newest_peer_version = max(fleet.newest_peer_version, version)
        self.apply_proof(message, version, proof_age, now)

    def apply_report(
        self, message: gateway_peers.PeerMessage, report: gateway_peers.PeerReport, now: float
    ) -> None:
        """Apply a peer's complete report."""
        peer = self.add_peer(report.instance_id, report.ip)
        if peer is None:
            return
        # A peer that restarts after its wall clock was set back has a lower incarnation; it is
        # accepted once the earlier one has been silent for the liveness timeout.
        if report.incarnation < peer.incarnation and self.was_heard_lately(peer):
            return
        if report.incarnation == peer.incarnation and message.sent_at <= peer.newest_sent_at:
            return  # reordered: a newer datagram was already applied
        if peer.ip != report.ip:
            peer = self.put_peer(report.instance_id, report.ip)
        peer.incarnation = report.incarnation
        peer.newest_sent_at = message.sent_at
        peer.received_at = now
        peer.availability_zone = report.availability_zone
        peer.can_relay = report.can_relay
        peer.stopping = report.stopping
        peer.is_shedding = report.is_shedding
        fleet = self.fleet
        fleet.loads.set_peer_loads(
            peer.instance_id,
            {key: load_table.EndpointLoad(*value) for key, value in report.loads.items()},
            now,
        )
        fleet.usage.set_peer_usage(peer.instance_id, report.usage, now)
        fleet.demand.set_peer_usage(peer.instance_id, report.demand, now)
        self.apply_eras(peer, report.store_era, report.listed_era)
        self.apply_prompts(report.prompts)
        for part in report.parts:
            fleet.quarantine.merge(part, peer.instance_id, now)
        fleet.merge_speeds(report.speeds, now)
        fleet.merge_rollouts(report.rollout_reports, (peer.instance_id, peer.incarnation), now)
        for key in report.leaving:
            if fleet.announcements.merge_leaving(key, now):
                LOGGER.log(
                    events.Event.ENDPOINT_ANNOUNCED_LEAVING,
                    request_id=None,
                    endpoint=key,
                    source=peer.instance_id,
                )
        self.apply_status(
            peer,
            message,
            report.configuration_version,
            report.configuration_proof_age,
            report.listing_digest,
            now,
        )
        for instance_id, ip in report.members:
            self.add_peer(instance_id, ip)

    def apply_prompts(self, prompts: list[tuple[str, list[tuple[int, int]]]]) -> None:
        """Add the prompts that a peer placed to the engines' cache models."""
        fleet = self.fleet
        for endpoint_id, keys in prompts:
            endpoint = fleet.table.endpoints.get(endpoint_id)
            configuration = fleet.configuration
            if endpoint is None or configuration is None:
                continue
            service = configuration.services.get(endpoint.service)
            if service is not None and service.engine is not None:
                fleet.caches.get(endpoint_id, service.engine.cache_tokens).record_prompt(
                    [(key, tokens) for key, tokens in keys]
                )

    def apply_proof(
        self, message: gateway_peers.PeerMessage, version: int, proof_age: float, now: float
    ) -> None:
        """Apply a peer's proof that the configuration in force is the newest one.

        The peer built its message after it had received the one that it echoes, so the proof is
        not older than the echoed send time minus the stated age. The time of receipt is no such
        bound, because a datagram may have been queued while this process was suspended.
        """
        configuration = self.fleet.configuration
        if (
            configuration is None
            or message.echo_incarnation != self.incarnation
            or proof_age < 0
            or version != configuration.version
            or not 0 < message.echo <= now
        ):
            return
        proven_at = message.echo - proof_age
        self.fleet.configuration_proven_at = max(self.fleet.configuration_proven_at, proven_at)
