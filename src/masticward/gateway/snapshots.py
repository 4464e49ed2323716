"""Snapshots of configuration and listings, for gateways that cannot read the store."""

import asyncio
import random

import msgspec

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import followers, peering, placement_explanation, sources
from masticward.models import gateway
from masticward.protocol import gateway_snapshots, placement_explanations
from masticward.state import store_restore
from masticward.transport import http1, http1_server
from masticward.utils import clocks

POLL_SECONDS = 0.2
# A working store responds within this time. After it, missing data is fetched from a peer.
PEER_FALLBACK_SECONDS = 0.7
CONNECT_TIMEOUT_SECONDS = 0.5
FETCH_TIMEOUT_SECONDS = 1.0
LOGGER = logs.get_logger(__name__)


class SnapshotHandler(http1_server.RequestHandler):
    """Serves this process's snapshot to other gateways, and explanations to operators."""

    def __init__(
        self,
        fleet: fleet_module.FleetState,
        explainer: placement_explanation.Explainer | None = None,
    ) -> None:
        self.fleet = fleet
        self.explainer = explainer

    def limits(self) -> gateway.ClientLimits:
        """Return the default limits."""
        return gateway.ClientLimits()

    async def handle(
        self, request: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        """Answer with the snapshot, or with 503 while there is none, or with an explanation."""
        if self.explainer is not None and request.target == placement_explanations.PATH:
            status, body = self.explainer.answer(request.body)
            await responder.send(status, [(b"Content-Type", b"application/json")], body)
            return
        snapshot = build_snapshot(self.fleet)
        if snapshot is None:
            await responder.send(503, [], b"")
            return
        content_type = (b"Content-Type", b"application/msgpack")
        await responder.send(200, [content_type], gateway_snapshots.encode(snapshot))


def build_snapshot(fleet: fleet_module.FleetState) -> gateway_snapshots.Snapshot | None:
    """Return the data that this process has from the store, None while it is incomplete."""
    configuration = fleet.configuration
    if configuration is None or not fleet.endpoints_known:
        return None
    now = clocks.boot_time()
    return gateway_snapshots.Snapshot(
        configuration=configuration,
        proof_age=fleet.proof_age(now),
        endpoints=[endpoint.to_relative(now) for endpoint in fleet.table.endpoints.values()],
        out_zones=sorted(fleet.table.evacuated_zones),
        revisions={
            kind.value: fleet.revisions[kind].revision
            for kind in sources.LISTED_KINDS
            if kind in fleet.revisions
        },
        missing={name: max(0.0, until - now) for name, until in fleet.table.missing.items()},
        eras={
            kind.value: fleet.revisions[kind].era
            for kind in sources.LISTED_KINDS
            if kind in fleet.revisions
        },
        store_era=fleet.known_era,
        configuration_era=fleet.configuration_era,
        doubted=dict(fleet.table.departures.doubted),
        doubt_seconds=max(0.0, fleet.table.departures.doubted_until - now),
        held_zones={zone: max(0.0, fleet.held_zones.until - now) for zone in fleet.held_zones.held},
        left=fleet.table.departures.left_lately(now),
        orders=[rollout.order for rollout in fleet.rollouts.rollouts.values()],
    )


class SnapshotFetcher:
    """Fetches a peer's snapshot while this process is behind and the store does not respond."""

    def __init__(
        self,
        fleet: fleet_module.FleetState,
        gateway_peering: peering.Peering,
        followers_by_kind: dict[sources.ObjectKind, followers.Follower],
    ) -> None:
        self.fleet = fleet
        self.peering = gateway_peering
        self.followers_by_kind = followers_by_kind
        # Whether at least half of the live peers have another listing than this process.
        self.listing_differs = False
        self.behind_since: float | None = None

    async def run(self) -> None:
        """Check for missing data periodically and fetch it, until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            now = clocks.boot_time()
            if not self.is_behind():
                self.behind_since = None
            elif self.behind_since is None:
                self.behind_since = now
            if self.behind_since is not None and now >= self.behind_since + self.wait_seconds():
                await self.catch_up()

    def wait_seconds(self) -> float:
        """Return how long the store's own changes are waited for before a peer is asked."""
        fleet = self.fleet
        if fleet.configuration is None and fleet.known_era > 0:
            return 0.0  # the store's own configuration waits for the peers' one
        listed = fleet.configuration is not None and fleet.endpoints_known
        return 0.0 if listed and not fleet.reads_store else PEER_FALLBACK_SECONDS

    def is_behind(self) -> bool:
        """Return whether peers have newer data from the store than this process."""
        fleet = self.fleet
        if fleet.configuration is None or not fleet.endpoints_known:
            return True
        if fleet.newest_peer_version > fleet.configuration.version:
            return True
        if self.peers_of_later_era() and (
            not fleet.reads_store
            or self.followers_by_kind[sources.ObjectKind.ENDPOINTS].store_unavailable
        ):
            return True
        if fleet.reads_store:
            # While the store responds, the follower's own listing resolves the difference.
            self.listing_differs &= self.followers_by_kind[
                sources.ObjectKind.ENDPOINTS
            ].store_unavailable
        return self.listing_differs

    async def catch_up(self) -> None:
        """Fetch and apply the snapshot of the peer with the newest configuration."""
        peer = self.best_peer()
        if peer is None:
            return
        requested_at = clocks.boot_time()
        try:
            snapshot = await fetch_snapshot((peer.ip, self.fleet.settings.peer_port))
        except errors.PeerSnapshotError as error:
            LOGGER.log(events.Event.PEER_SNAPSHOT_FAILED, peer=peer.instance_id, error=str(error))
            differs = self.listing_differs or bool(self.peers_of_later_era())
            if differs and not self.fleet.reads_store:
                self.request_listings()
            return
        self.listing_differs = False
        apply_snapshot(self.fleet, snapshot, requested_at, peer.instance_id)
        if self.fleet.reads_store:
            # The store's listing replaces the peer's as soon as the store responds.
            self.request_listings()

    def request_listings(self) -> None:
        """List endpoints and evacuations from the store."""
        for kind in sources.LISTED_KINDS:
            self.followers_by_kind[kind].relist_requested.set()

    def peers_of_later_era(self) -> list[peering.Peer]:
        """Return the live peers that have listed the store since it was restored from a copy."""
        own_era = self.fleet.listed_era
        return [
            peer
            for peer in self.peering.peers.values()
            if peer.live and peer.configuration_version > 0 and peer.listed_era > own_era
        ]

    def best_peer(self) -> peering.Peer | None:
        """Return the live peer to read from.

        If a peer has relayed changes that do not follow on the own ones, that is one of those, or
        else one that reads the store and whose listing differs. Otherwise it is one with the
        newest configuration, in the own availability zone if possible, and among those the one with
        the newest proof.
        """
        fleet = self.fleet
        later = self.peers_of_later_era()
        if (
            later
            and fleet.configuration is not None
            and fleet.newest_peer_version <= fleet.configuration.version
        ):
            return random.choice(later)
        if self.listing_differs and not fleet.reads_store:
            readers = self.peering.leading_peers() or [
                peer
                for peer in self.peering.differing_peers()
                if peer.instance_id in fleet.reader_ids
            ]
            if readers:
                return random.choice(readers)
        candidates = [
            (
                (
                    peer.configuration_version,
                    peer.availability_zone == fleet.settings.availability_zone,
                    -peer.configuration_proof_age,
                ),
                peer,
            )
            for peer in self.peering.peers.values()
            if peer.live and peer.configuration_version > 0
        ]
        return max(candidates, key=lambda item: item[0])[1] if candidates else None


async def fetch_snapshot(address: tuple[str, int]) -> gateway_snapshots.Snapshot:
    """Fetch a peer's snapshot; raise PeerSnapshotError if that fails."""
    channel = None
    try:
        channel = await http1.connect(address, CONNECT_TIMEOUT_SECONDS)
        async with asyncio.timeout(FETCH_TIMEOUT_SECONDS):
            exchange = http1.Exchange(channel)
            await exchange.send(b"GET", b"/snapshot", [(b"Host", address[0].encode())], b"")
            response = await exchange.read_head()
            body = await exchange.read_body()
        if response.status != 200:
            raise errors.PeerSnapshotError(f"status {response.status}")
        return gateway_snapshots.decode(body)
    except (TimeoutError, errors.EndpointError, msgspec.DecodeError, RecursionError) as error:
        raise errors.PeerSnapshotError(f"{type(error).__name__} {error}") from error
    finally:
        if channel is not None:
            channel.abort()


def apply_snapshot(
    fleet: fleet_module.FleetState,
    snapshot: gateway_snapshots.Snapshot,
    requested_at: float,
    peer: str,
) -> None:
    """Apply a peer's snapshot.

    Endpoints that the peer keeps although the store no longer lists them are taken only if this
    process has not learned of their departure itself.

    The peer determined the age of its proof after ``requested_at``, so the proof dates at the
    earliest from that time minus the age.
    """
    if fleet.configuration is None:
        adopt_former_era(fleet, snapshot)
    fleet.learn_era(snapshot.store_era)
    fleet.apply_configuration(
        snapshot.configuration,
        requested_at - snapshot.proof_age,
        peer,
        snapshot.configuration_era,
    )
    now = clocks.boot_time()
    if apply_revision(fleet, snapshot, sources.ObjectKind.ENDPOINTS):
        fleet.apply_endpoints(
            [
                (item.id, item.to_absolute(now))
                for item in snapshot.endpoints
                if item.id not in snapshot.missing
                or not fleet.endpoints_known
                or not fleet.table.knows_departure(item)
            ],
            True,
        )
        fleet.table.mark_missing({name: now + left for name, left in snapshot.missing.items()})
    if apply_revision(fleet, snapshot, sources.ObjectKind.EVACUATIONS):
        fleet.apply_evacuations([(zone, True) for zone in snapshot.out_zones], True)
    if sources.ObjectKind.ROLLOUTS.value in snapshot.revisions and apply_revision(
        fleet, snapshot, sources.ObjectKind.ROLLOUTS
    ):
        fleet.apply_rollouts([(order.service, order) for order in snapshot.orders], True)
    for change in fleet.table.adopt_doubts(snapshot.doubted, snapshot.doubt_seconds, now):
        fleet.record_change(change)
    fleet.hold_zones(snapshot.held_zones, now)


def adopt_former_era(fleet: fleet_module.FleetState, snapshot: gateway_snapshots.Snapshot) -> None:
    """Hold what a peer knows from before the store was restored, in a process that starts.

    This process may have listed the restored store before, or list it before, the peer does.
    """
    now = clocks.boot_time()
    for endpoint_id, born in snapshot.left.items():
        if endpoint_id not in fleet.table.endpoints:
            fleet.table.departures.left[endpoint_id] = (born, now)
    # Where rollouts are off, the peer has no listing of them.
    if any(snapshot.eras.get(kind, 0) < fleet.listed_era for kind in snapshot.revisions):
        draining = {item.id: item.born for item in snapshot.endpoints if item.draining}
        changes = fleet.table.adopt_doubts(
            {**snapshot.left, **draining}, store_restore.DOUBT_SECONDS, now
        )
        endpoints = [item.to_absolute(now) for item in snapshot.endpoints]
        for change in [*changes, *fleet.table.adopt_starts(endpoints, now)]:
            fleet.record_change(change)
        seconds = store_restore.STABLE_LISTING_SECONDS
        fleet.hold_zones(dict.fromkeys(snapshot.out_zones, seconds), now)


def apply_revision(
    fleet: fleet_module.FleetState,
    snapshot: gateway_snapshots.Snapshot,
    kind: sources.ObjectKind,
) -> bool:
    """Set the position of a kind to the snapshot's; return False if that one is older.

    A snapshot without a revision is of a peer that has not listed the kind. It is used only if this
    process has not listed it either.
    """
    revision = snapshot.revisions.get(kind.value)
    if revision is None:
        return kind not in fleet.revisions
    position = sources.Position(snapshot.eras.get(kind.value, 0), revision)
    known = fleet.revisions.get(kind)
    if known is not None and position < known:
        return False
    fleet.enter_era(kind, position.era)
    fleet.revisions[kind] = position
    return True
