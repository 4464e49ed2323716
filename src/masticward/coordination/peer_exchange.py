"""Rounds of exchanges with a few peers, which spread versions and show who responds."""

import abc
import asyncio
import time

from returns import result

from masticward import events, logs
from masticward.coordination import background as background_module
from masticward.coordination import fleet_view, peer_rotation, version_puller
from masticward.models import membership as membership_models
from masticward.protocol import peers
from masticward.state import membership as membership_module
from masticward.transport import channels as channels_module
from masticward.utils import tasks
from masticward.wire import masticward_pb2

EXCHANGE_PERIOD_SECONDS = 0.5
EXCHANGE_TIMEOUT_SECONDS = 0.6
# Extra rounds spread a new version at once. With one, some of 13 processes learned of it only in
# the next regular round, up to 0.47 s later.
EXTRA_ROUNDS = 3
MINIMUM_ROUND_GAP_SECONDS = 0.05
# Longer than a round. When several peers die at once, the one peer of each round may be among them
# until the view is stale, so the rounds ask more peers before that.
WIDEN_AFTER_SECONDS = 0.8
# One lost exchange may be a pause of a busy machine.
FAILURES_BEFORE_SUSPICION = 2

logger = logs.get_logger(__name__)


class ExchangeOwner(fleet_view.FleetView, peers.PeerHandler):
    """The view for which exchanges are made."""

    @abc.abstractmethod
    def notify_members(self) -> None:
        """Tell the subscribers if the members have changed."""


class PeerExchange:
    """Exchanges digests with peers and has what they hold newer pulled."""

    def __init__(
        self,
        owner: ExchangeOwner,
        membership: membership_module.MembershipView,
        channels: channels_module.ChannelPool,
        puller: version_puller.VersionPuller,
        background: tasks.TaskGroup,
    ) -> None:
        self.owner = owner
        self.membership = membership
        self.channels = channels
        self.puller = puller
        self.background = background
        self.rotation = peer_rotation.PeerRotation(membership.own_id)
        self.rotation_revision = -1
        self.latest_answered_send = float("-inf")
        self.failures: dict[str, int] = {}
        self.exchanging: set[str] = set()
        self.round_wanted = asyncio.Event()
        self.extra_rounds = 0

    async def ask_first_peers(self) -> None:
        """Exchange with as many peers as an extra round asks, and wait for them."""
        self.update_rotation()
        first = self.rotation.pick(frozenset(), peer_rotation.PEERS_PER_EXTRA_ROUND)
        await asyncio.gather(*(self.exchange_with(peer) for peer in first))

    def spread(self) -> None:
        """Begin the rounds that spread a new version."""
        self.extra_rounds = EXTRA_ROUNDS
        self.round_wanted.set()

    async def run_rounds(self) -> None:
        """Exchange with a few peers per period, and in extra rounds after a new version."""
        while True:
            self.update_rotation()
            self.round_wanted.clear()
            unanswered = self.membership.suspected_ids() | self.failures.keys()
            for peer in self.rotation.pick(unanswered, self.peers_of_round()):
                self.start(peer)
            await asyncio.sleep(MINIMUM_ROUND_GAP_SECONDS)
            if self.extra_rounds > 0:
                self.extra_rounds -= 1
                continue
            rest = background_module.jittered(EXCHANGE_PERIOD_SECONDS) - MINIMUM_ROUND_GAP_SECONDS
            try:
                await asyncio.wait_for(self.round_wanted.wait(), rest)
            except TimeoutError:
                continue

    def peers_of_round(self) -> int:
        """Return how many peers the next round asks: more if a version is new or none answered."""
        unanswered_seconds = time.monotonic() - self.latest_answered_send
        if self.extra_rounds > 0 or unanswered_seconds > WIDEN_AFTER_SECONDS:
            return peer_rotation.PEERS_PER_EXTRA_ROUND
        return peer_rotation.PEERS_PER_ROUND

    def update_rotation(self) -> None:
        """Choose the partners again if the members have changed."""
        if self.rotation_revision == self.membership.revision:
            return
        self.rotation_revision = self.membership.revision
        members = self.owner.members()
        self.rotation.set_members(members)
        present = {instance.id for instance in members}
        for instance_id in [known for known in self.failures if known not in present]:
            del self.failures[instance_id]

    def start(self, peer: membership_models.Instance) -> None:
        """Exchange with a peer in the background, unless an exchange with it is under way."""
        if peer.id not in self.exchanging and peer.id != self.membership.own_id:
            self.background.spawn(self.exchange_with(peer), f"exchange-{peer.id}")

    async def exchange_with(self, peer: membership_models.Instance) -> None:
        """Exchange digests with a peer and pull what it has newer."""
        self.exchanging.add(peer.id)
        try:
            # The time of sending counts: an answer that waited in a buffer while this process was
            # paused says nothing about the present.
            sent_at = time.monotonic()
            answer = await peers.exchange(
                self.channels,
                peer.peer_address,
                self.owner.digest(),
                sent_at + EXCHANGE_TIMEOUT_SECONDS,
                wait_for_connection=peer.id in self.failures,
            )
        finally:
            self.exchanging.discard(peer.id)
        if isinstance(answer, result.Failure):
            await self.note_silence(peer)
            return
        digest = answer.unwrap()
        if digest.instance_id == self.membership.own_id:
            return
        if digest.instance_id != peer.id:
            # Another instance has taken over the address.
            await self.note_silence(peer)
        self.note_answer(digest, sent_at)
        versions_of_peer = (digest.config_version, digest.operations_version)
        if await self.puller.catch_up(peer.peer_address, *versions_of_peer):
            self.latest_answered_send = max(self.latest_answered_send, sent_at)

    def note_answer(self, digest: masticward_pb2.ViewDigest, sent_at: float) -> None:
        """Record that a peer answered an exchange."""
        try:
            instance = peers.as_instance(digest)
        except ValueError:
            return
        was_suspected = self.membership.is_suspected(instance.id)
        self.failures.pop(instance.id, None)
        self.membership.record_exchange(instance, digest.incarnation, sent_at, time.monotonic())
        if was_suspected and not self.membership.is_suspected(instance.id):
            logger.log(events.Event.MEMBER_RESPONDS, instance=instance.id)
        self.owner.notify_members()

    async def note_silence(self, peer: membership_models.Instance) -> None:
        """Record that a peer did not answer, and suspect it if that repeats."""
        self.failures[peer.id] = self.failures.get(peer.id, 0) + 1
        if self.failures[peer.id] != FAILURES_BEFORE_SUSPICION:
            return
        self.owner.suspect(peer.id)
        # After a silent partition the old connection would wait for TCP's back-off.
        channel = self.channels.channels.pop(peer.peer_address, None)
        if channel is not None:
            await channel.close()
