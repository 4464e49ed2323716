"""Exchanges figures with the other gateways."""

import asyncio
import collections.abc
import typing

import msgspec

from masticward import errors, events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import sources
from masticward.models import gateway
from masticward.protocol import gateway_peers
from masticward.state import load_table
from masticward.utils import clocks, identifiers

# Figures are this old at most with few gateways; with more, a process sends as many datagrams.
SHORTEST_INTERVAL_SECONDS = 0.1
DATAGRAMS_PER_SECOND = 60.0
# A gateway is live if it was heard within this time; links may lose single datagrams.
LIVE_SECONDS = 1.2
# Silent gateways are still sent to now and then, so that a healed partition is noticed.
SILENT_EVERY = 10
MEMBERS_EVERY = 5
# Watches bring changes to all gateways within this time, unless one of them hangs. What a listing
# then brings is in force within the bounds on draining and evacuation.
DIFFERENCE_SECONDS = 0.8
# Least time between two listings because of differences.
LISTING_SECONDS = 2.0
REGISTER_RETRY_SECONDS = 1.0
MEMBERS_LIST_SECONDS = 15.0
# Changes of loads are told this soon, so that gateways which choose at the same time do not all
# take the same engine; with many gateways, a process sends at most as many datagrams.
CHANGES_SECONDS = 0.02
CHANGES_DATAGRAMS_PER_SECOND = 600.0
LOGGER = logs.get_logger(__name__)


class Peer:
    """Another gateway. Times are seconds of ``clocks.boot_time`` of this process."""

    __slots__ = (
        "echo",
        "incarnation",
        "instance_id",
        "ip",
        "last_report",
        "listing_since",
        "live",
        "received_at",
    )

    def __init__(self, instance_id: str, ip: str) -> None:
        self.instance_id = instance_id
        self.ip = ip
        self.incarnation = 0
        self.received_at = -1e9
        # The newest send time that the peer told, on the peer's clock.
        self.echo = 0.0
        self.live = False
        # Since when the peer has told the same digest of its listing.
        self.listing_since = 0.0
        self.last_report: gateway_peers.PeerFigures | None = None


class Peering(asyncio.DatagramProtocol):
    """Sends this process's figures to all gateways and takes over theirs."""

    def __init__(
        self,
        fleet: fleet_module.FleetState,
        source: sources.FleetSource,
        on_difference: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.fleet = fleet
        self.source = source
        # Called when most gateways list other endpoints or zones than this one.
        self.on_difference = on_difference
        self.compared_at = 0.0
        self.incarnation = identifiers.new_incarnation()
        self.peers: dict[str, Peer] = {}
        self.seeds: list[str] = []
        self.apply_settings(fleet.settings)
        self.transport: asyncio.DatagramTransport | None = None
        self.rounds = 0
        self.stopping = False
        self.new_prompts: list[tuple[str, list[tuple[int, int]]]] = []
        # A request was sent since the last message.
        self.new_work = False
        # Told in changes; told once more with the next figures, because datagrams get lost.
        self.told_prompts: list[tuple[str, list[tuple[int, int]]]] = []

    def apply_settings(self, settings: gateway.GatewaySettings) -> None:
        """Take over the addresses at which other gateways may be found."""
        self.seeds = [ip for ip in settings.seed_ips if ip != settings.ip]

    async def start(self) -> None:
        """Open the port."""
        loop = asyncio.get_running_loop()
        address = (self.fleet.settings.ip, self.fleet.settings.peer_port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = typing.cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore what the network says of single datagrams; silence shows a lost peer."""

    def announce_prompt(self, endpoint_id: str, keys: list[tuple[int, int]]) -> None:
        """Tell the peers of a prompt that was sent to an engine; its last part is not shared."""
        self.new_work = True
        if len(keys) > 1:
            self.new_prompts.append((endpoint_id, keys[:-1]))

    async def run(self) -> None:
        """Send figures until cancelled."""
        while True:
            self.update_liveness()
            self.compare_listings()
            self.send_reports()
            live = max(1, len(self.fleet.live_gateways) - 1)
            await asyncio.sleep(max(SHORTEST_INTERVAL_SECONDS, live / DATAGRAMS_PER_SECOND))

    async def run_changes(self) -> None:
        """Send changes of the own loads soon after they happen, until cancelled."""
        while True:
            live = max(1, len(self.fleet.live_gateways) - 1)
            await asyncio.sleep(max(CHANGES_SECONDS, live / CHANGES_DATAGRAMS_PER_SECOND))
            # Ends of requests alone wait for the next figures or the next new request.
            if self.new_prompts or self.new_work:
                self.send_changes()

    def send_changes(self) -> None:
        """Send the changes since the last message to each live gateway."""
        self.new_work = False
        loads = self.fleet.loads.pop_changed()
        changes = gateway_peers.PeerChanges(
            instance_id=self.fleet.settings.instance_id,
            incarnation=self.incarnation,
            loads={
                endpoint_id: (load.unread_tokens, load.requests, load.memory_tokens)
                for endpoint_id, load in loads.items()
            },
            prompts=self.new_prompts,
        )
        self.told_prompts += self.new_prompts
        self.new_prompts = []
        raw = gateway_peers.encode_content(changes)
        for peer in self.peers.values():
            if peer.live:
                self.send_message(peer, raw)

    async def run_registration(self) -> None:
        """Register this process once and read the list of the others now and then."""
        settings = self.fleet.settings
        registered = False
        while True:
            wait = MEMBERS_LIST_SECONDS if registered else REGISTER_RETRY_SECONDS
            try:
                if not registered:
                    await self.source.register(sources.Member(settings.instance_id, settings.ip))
                    registered = True
                listing = await self.source.list_objects(sources.ObjectKind.MEMBERS)
                for item in listing.items:
                    if isinstance(item.value, sources.Member):
                        self.add(item.value.instance_id, item.value.ip)
            except errors.StoreError as error:
                LOGGER.log(
                    events.Event.MEMBER_LIST_UNAVAILABLE, registered=registered, error=str(error)
                )
            await asyncio.sleep(wait)

    def add(self, instance_id: str, ip: str) -> Peer | None:
        """Return the peer of that name, new if it was not known; None for this process."""
        if instance_id == self.fleet.settings.instance_id:
            return None
        peer = self.peers.get(instance_id)
        if peer is None or peer.ip != ip:
            peer = self.peers[instance_id] = Peer(instance_id, ip)
            self.fleet.known_gateways = len(self.peers) + 1
        return peer

    def update_liveness(self) -> None:
        """Bring the list of live gateways up to date."""
        now = clocks.boot_time()
        self.fleet.loads.remove_stale_peers(now)
        live = [self.fleet.settings.instance_id]
        for peer in self.peers.values():
            heard = now - peer.received_at <= LIVE_SECONDS
            if heard != peer.live:
                peer.live = heard
                event = events.Event.PEER_HEARD if heard else events.Event.PEER_LOST
                LOGGER.log(
                    event, peer=peer.instance_id, silent_seconds=round(now - peer.received_at, 2)
                )
            stopping = peer.last_report is not None and peer.last_report.stopping
            if heard and not stopping:
                live.append(peer.instance_id)
        self.fleet.live_gateways = live

    def compare_listings(self) -> None:
        """Have everything listed again if most peers have known another listing for a while."""
        now = clocks.boot_time()
        if not self.fleet.endpoints_known or now - self.compared_at < LISTING_SECONDS:
            return
        own = self.fleet.table.digest()
        live = [peer for peer in self.peers.values() if peer.live and peer.last_report is not None]
        others = [
            peer
            for peer in live
            if peer.last_report is not None
            and peer.last_report.listing_digest not in (0, own)
            and now - peer.listing_since > DIFFERENCE_SECONDS
        ]
        if others and 2 * len(others) >= len(live):
            self.compared_at = now
            self.on_difference()

    def send_reports(self) -> None:
        """Send one datagram to each live gateway, now and then also to the others."""
        transport = self.transport
        if transport is None:
            return
        self.rounds += 1
        raw = gateway_peers.encode_content(self.build_report())
        every = self.rounds % SILENT_EVERY == 1
        for peer in self.peers.values():
            if peer.live or every:
                self.send_message(peer, raw)
        if every:
            known = {peer.ip for peer in self.peers.values()}
            message = gateway_peers.PeerMessage(clocks.boot_time(), 0.0, 0, raw)
            for ip in self.seeds:
                if ip not in known:
                    self.send_to(ip, gateway_peers.encode(message))

    def send_message(self, peer: Peer, content: msgspec.Raw) -> None:
        """Send one datagram that echoes the peer's newest send time."""
        message = gateway_peers.PeerMessage(
            clocks.boot_time(), peer.echo, peer.incarnation, content
        )
        self.send_to(peer.ip, gateway_peers.encode(message))

    def send_to(self, ip: str, data: bytes) -> None:
        """Send one datagram."""
        if self.transport is not None and len(data) <= gateway_peers.MAXIMUM_DATAGRAM_BYTES:
            self.transport.sendto(data, (ip, self.fleet.settings.peer_port))

    def build_report(self) -> gateway_peers.PeerFigures:
        """Return what this process tells."""
        fleet = self.fleet
        now = clocks.boot_time()
        fleet.usage.decay(now)
        fleet.demand.decay(now)
        prompts = self.told_prompts + self.new_prompts
        # What no change has told yet is told twice, too.
        self.told_prompts, self.new_prompts = self.new_prompts, []
        fleet.loads.changed.clear()
        members: list[tuple[str, str]] = []
        if self.rounds % MEMBERS_EVERY == 0:
            members = [(peer.instance_id, peer.ip) for peer in self.peers.values()]
        configuration = fleet.configuration
        return gateway_peers.PeerFigures(
            instance_id=fleet.settings.instance_id,
            ip=fleet.settings.ip,
            incarnation=self.incarnation,
            configuration_version=configuration.version if configuration else 0,
            configuration_proof_age=now - fleet.configuration_proven_at if configuration else -1.0,
            stopping=self.stopping,
            listing_digest=fleet.table.digest() if fleet.endpoints_known else 0,
            loads={
                endpoint_id: (load.unread_tokens, load.requests, load.memory_tokens)
                for endpoint_id, load in fleet.loads.own.items()
            },
            usage=fleet.usage.reportable_totals(),
            asked=fleet.demand.reportable_totals(),
            prompts=prompts,
            members=members,
        )

    def datagram_received(self, data: bytes, addr: tuple[str | typing.Any, int]) -> None:
        """Take over a peer's figures."""
        try:
            message, content = gateway_peers.decode(data)
        except msgspec.DecodeError as error:
            LOGGER.log(events.Event.PEER_MESSAGE_UNREADABLE, sender=str(addr[0]), error=str(error))
            return
        now = clocks.boot_time()
        if isinstance(content, gateway_peers.PeerChanges):
            self.apply_changes(message, content, now)
        else:
            self.apply_report(message, content, now)

    def apply_changes(
        self, message: gateway_peers.PeerMessage, changes: gateway_peers.PeerChanges, now: float
    ) -> None:
        """Take over changes of a peer whose figures are known."""
        peer = self.peers.get(changes.instance_id)
        if peer is None or changes.incarnation != peer.incarnation:
            return
        if message.sent_at <= peer.echo:
            return  # overtaken by a newer datagram
        peer.echo = message.sent_at
        peer.received_at = now
        loads = {key: load_table.EndpointLoad(*value) for key, value in changes.loads.items()}
        self.fleet.loads.update_peer_loads(peer.instance_id, loads, now)
        self.apply_prompts(changes.prompts)

    def apply_report(
        self, message: gateway_peers.PeerMessage, figures: gateway_peers.PeerFigures, now: float
    ) -> None:
        """Take over all figures of a peer."""
        peer = self.add(figures.instance_id, figures.ip)
        if peer is None:
            return
        # A start after the time of day was set back has a lower number than the one before it.
        heard_lately = now - peer.received_at <= LIVE_SECONDS
        if figures.incarnation < peer.incarnation and heard_lately:
            return
        if figures.incarnation == peer.incarnation and message.sent_at <= peer.echo:
            return  # overtaken by a newer datagram
        peer.incarnation = figures.incarnation
        peer.echo = message.sent_at
        peer.received_at = now
        before = peer.last_report
        if before is None or before.listing_digest != figures.listing_digest:
            peer.listing_since = now
        peer.last_report = figures
        fleet = self.fleet
        fleet.newest_peer_version = max(fleet.newest_peer_version, figures.configuration_version)
        fleet.loads.set_peer_loads(
            peer.instance_id,
            {key: load_table.EndpointLoad(*value) for key, value in figures.loads.items()},
            now,
        )
        fleet.usage.set_peer_usage(peer.instance_id, figures.usage, now)
        fleet.demand.set_peer_usage(peer.instance_id, figures.asked, now)
        self.apply_prompts(figures.prompts)
        self.note_proof(message, figures, now)
        for instance_id, ip in figures.members:
            self.add(instance_id, ip)

    def apply_prompts(self, prompts: list[tuple[str, list[tuple[int, int]]]]) -> None:
        """Remember which engines have read a peer's prompts."""
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

    def note_proof(
        self, message: gateway_peers.PeerMessage, figures: gateway_peers.PeerFigures, now: float
    ) -> None:
        """Take over a peer's proof that the configuration in force is the newest one.

        The peer wrote its message after it had received the one that it echoes, so that the proof
        is not older than the echoed send time less the age that the peer states. The time of
        receipt shows nothing: a datagram may have waited while this process was frozen.
        """
        configuration = self.fleet.configuration
        if (
            configuration is None
            or message.echo_incarnation != self.incarnation
            or figures.configuration_proof_age < 0
            or figures.configuration_version != configuration.version
            or not 0 < message.echo <= now
        ):
            return
        proven_at = message.echo - figures.configuration_proof_age
        self.fleet.configuration_proven_at = max(self.fleet.configuration_proven_at, proven_at)
