"""Passes configuration and listings on to gateways that cannot read the store themselves."""

import asyncio

import msgspec

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import followers, peering, sources
from masticward.models import gateway
from masticward.protocol import gateway_snapshots
from masticward.transport import http1, http1_server
from masticward.utils import clocks

POLL_SECONDS = 0.2
# A store that works answers within this time; what it has not brought by then, a peer may have.
STORE_SECONDS = 0.7
CONNECT_TIMEOUT_SECONDS = 0.5
FETCH_TIMEOUT_SECONDS = 1.0
LOGGER = logs.get_logger(__name__)


class SnapshotHandler(http1_server.RequestHandler):
    """Serves this process's snapshot to other gateways."""

    def __init__(self, fleet: fleet_module.FleetState) -> None:
        self.fleet = fleet

    def limits(self) -> gateway.ClientLimits:
        """Return the default limits."""
        return gateway.ClientLimits()

    async def handle(
        self, request: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        """Answer with the snapshot, or with 503 while there is none."""
        snapshot = take_snapshot(self.fleet)
        if snapshot is None:
            await responder.send(503, [], b"")
            return
        content_type = (b"Content-Type", b"application/msgpack")
        await responder.send(200, [content_type], gateway_snapshots.encode(snapshot))


def take_snapshot(fleet: fleet_module.FleetState) -> gateway_snapshots.Snapshot | None:
    """Return what this process knows from the store, None while something is missing."""
    configuration = fleet.configuration
    if configuration is None or not fleet.endpoints_known:
        return None
    now = clocks.boot_time()
    return gateway_snapshots.Snapshot(
        configuration=configuration,
        proof_age=now - fleet.configuration_proven_at,
        endpoints=[
            msgspec.structs.replace(endpoint, cold_until=max(0.0, endpoint.cold_until - now))
            for endpoint in fleet.table.endpoints.values()
            if endpoint.id not in fleet.table.missing
        ],
        out_zones=sorted(fleet.table.out_zones),
    )


class SnapshotFetcher:
    """Fetches a peer's snapshot while this process is behind and the store does not answer."""

    def __init__(
        self,
        fleet: fleet_module.FleetState,
        peers: peering.Peering,
        by_kind: dict[sources.ObjectKind, followers.Follower],
    ) -> None:
        self.fleet = fleet
        self.peers = peers
        self.by_kind = by_kind
        # Most peers know another listing than this process.
        self.listing_differs = False
        self.behind_since: float | None = None

    async def run(self) -> None:
        """Look for what is missing until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            now = clocks.boot_time()
            if not self.behind():
                self.behind_since = None
            elif self.behind_since is None:
                self.behind_since = now
            elif now - self.behind_since > STORE_SECONDS:
                await self.catch_up()

    def behind(self) -> bool:
        """Whether peers know more from the store than this process."""
        fleet = self.fleet
        if fleet.configuration is None or not fleet.endpoints_known:
            return True
        if fleet.newest_peer_version > fleet.configuration.version:
            return True
        self.listing_differs &= self.by_kind[sources.ObjectKind.ENDPOINTS].lost
        return self.listing_differs

    async def catch_up(self) -> None:
        """Take over the snapshot of the peer with the newest configuration."""
        peer = self.best_peer()
        if peer is None:
            return
        asked_at = clocks.boot_time()
        try:
            snapshot = await fetch((peer.ip, self.fleet.settings.peer_port))
        except errors.PeerSnapshotError as error:
            LOGGER.log(events.Event.PEER_SNAPSHOT_FAILED, peer=peer.instance_id, error=str(error))
            return
        self.listing_differs = False
        apply_snapshot(self.fleet, snapshot, asked_at, peer.instance_id)
        for kind in (sources.ObjectKind.ENDPOINTS, sources.ObjectKind.EVACUATIONS):
            # The store's own listing replaces the peer's as soon as there is one.
            self.by_kind[kind].relist_requested.set()

    def best_peer(self) -> peering.Peer | None:
        """Return a live peer with the newest configuration and the newest proof of it."""
        found = [
            (
                peer.last_report.configuration_version,
                -peer.last_report.configuration_proof_age,
                peer,
            )
            for peer in self.peers.peers.values()
            if peer.live
            and peer.last_report is not None
            and peer.last_report.configuration_version > 0
        ]
        return max(found, key=lambda item: item[:2])[2] if found else None


async def fetch(address: tuple[str, int]) -> gateway_snapshots.Snapshot:
    """Fetch a peer's snapshot; raises PeerSnapshotError."""
    channel = None
    try:
        channel = await http1.connect(address, CONNECT_TIMEOUT_SECONDS)
        async with asyncio.timeout(FETCH_TIMEOUT_SECONDS):
            exchange = http1.Exchange(channel)
            await exchange.send(b"GET", b"/snapshot", [(b"Host", address[0].encode())], b"")
            answer = await exchange.read_head()
            body = await exchange.read_body()
        if answer.status != 200:
            raise errors.PeerSnapshotError(f"status {answer.status}")
        return gateway_snapshots.decode(body)
    except (TimeoutError, errors.EndpointError, msgspec.DecodeError) as error:
        raise errors.PeerSnapshotError(f"{type(error).__name__} {error}") from error
    finally:
        if channel is not None:
            channel.abort()


def apply_snapshot(
    fleet: fleet_module.FleetState, snapshot: gateway_snapshots.Snapshot, asked_at: float, peer: str
) -> None:
    """Take over a peer's snapshot.

    The peer stated the age of its proof after ``asked_at``, so the proof is not older than the age
    before that moment.
    """
    fleet.apply_configuration(snapshot.configuration, asked_at - snapshot.proof_age, peer)
    now = clocks.boot_time()
    fleet.apply_endpoints(
        [
            (item.id, msgspec.structs.replace(item, cold_until=now + item.cold_until))
            for item in snapshot.endpoints
        ],
        True,
    )
    fleet.apply_evacuations([(zone, True) for zone in snapshot.out_zones], True)
