"""Periodic exchanges with a few peers, which propagate versions and detect unresponsive peers."""

import abc
import asyncio
import time

from returns import result

from masticward import events, logs
from masticward.coordination import background, fleet_view, peer_rotation, version_puller
from masticward.models import membership as membership_models
from masticward.protocol import peers
from masticward.state import membership as membership_module
from masticward.transport import channels as channels_module
from masticward.utils import tasks
from masticward.wire import masticward_pb2

EXCHANGE_PERIOD_SECONDS = 0.5
EXCHANGE_TIMEOUT_SECONDS = 0.6
# Rounds that follow a new version without waiting for the period. With one extra round, some of 13
# processes received the version only in the next regular round, up to 0.47 s later.
EXTRA_ROUNDS = 3
MINIMUM_ROUND_INTERVAL_SECONDS = 0.05
# Time without an answer after which a round includes more peers. It is longer than a round. If
# several peers fail together, rounds with one peer each could select only failed ones until the
# view is stale.
EXTRA_PEERS_AFTER_SECONDS = 0.8
# A single failure may be a pause of a busy machine.
FAILURES_BEFORE_SUSPICION = 2

LOGGER = logs.get_logger(__name__)


class ExchangingView(fleet_view.FleetView, peers.PeerHandler):
    """The fleet view that a ``PeerExchange`` updates."""

    @abc.abstractmethod
    def notify_if_members_changed(self) -> None:
        """Notify the subscribers if the members have changed since the last notification."""


class PeerExchange:
    """Exchanges digests with peers in rounds and pulls newer versions from them.

    A digest states an instance and its versions. Peers that repeatedly fail to answer are
    suspected.
    """

    def __init__(
        self,
        view: ExchangingView,
        membership: membership_module.MembershipView,
        channels: channels_module.ChannelPool,
        puller: version_puller.VersionPuller,
        task_group: tasks.TaskGroup,
    ) -> None:
        self.view = view
        self.membership = membership
        self.channels = channels
        self.puller = puller
        self.task_group = task_group
        self.rotation = peer_rotation.PeerRotation(membership.own_id)
        self.rotation_revision = -1
        self.latest_answered_sent_at = float("-inf")
        self.consecutive_failures: dict[str, int] = {}
        self.peers_in_exchange: set[str] = set()
        self.round_requested = asyncio.Event()
        self.extra_rounds = 0

    async def run_first_round(self) -> None:
        """Exchange with as many peers as in an extra round, and wait until all are done."""
        self.update_rotation()
        first_peers = self.rotation.choose_peers(frozenset(), peer_rotation.PEERS_PER_EXTRA_ROUND)
        await asyncio.gather(*(self.exchange_with(peer) for peer in first_peers))

    def start_extra_rounds(self) -> None:
        """Start the extra rounds that propagate a new version."""
        self.extra_rounds = EXTRA_ROUNDS
        self.round_requested.set()

    async def run_rounds(self) -> None:
        """Exchange with a few peers once per period, and in extra rounds after a new version."""
        while True:
            self.update_rotation()
            self.round_requested.clear()
            unresponsive_ids = self.membership.suspected_ids() | self.consecutive_failures.keys()
            for peer in self.rotation.choose_peers(unresponsive_ids, self.round_size()):
                self.start_exchange(peer)
            await asyncio.sleep(MINIMUM_ROUND_INTERVAL_SECONDS)
            if self.extra_rounds > 0:
                self.extra_rounds -= 1
                continue
            remaining_seconds = (
                background.jittered(EXCHANGE_PERIOD_SECONDS) - MINIMUM_ROUND_INTERVAL_SECONDS
            )
            try:
                await asyncio.wait_for(self.round_requested.wait(), remaining_seconds)
            except TimeoutError:
                continue

    def round_size(self) -> int:
        """Return the number of peers of the next round.

        It is higher in extra rounds and if no peer has answered recently.
        """
        seconds_since_answer = time.monotonic() - self.latest_answered_sent_at
        if self.extra_rounds > 0 or seconds_since_answer > EXTRA_PEERS_AFTER_SECONDS:
            return peer_rotation.PEERS_PER_EXTRA_ROUND
        return peer_rotation.PEERS_PER_ROUND

    def update_rotation(self) -> None:
        """Update the rotation and the failure counts if the members have changed."""
        if self.rotation_revision == self.membership.revision:
            return
        self.rotation_revision = self.membership.revision
        members = self.view.members()
        self.rotation.set_members(members)
        present = {instance.id for instance in members}
        for instance_id in [key for key in self.consecutive_failures if key not in present]:
            del self.consecutive_failures[instance_id]

    def start_exchange(self, peer: membership_models.Instance) -> None:
        """Exchange with a peer in the background, unless such an exchange is in progress."""
        if peer.id not in self.peers_in_exchange and peer.id != self.membership.own_id:
            self.task_group.spawn(self.exchange_with(peer), f"exchange-{peer.id}")

    async def exchange_with(self, peer: membership_models.Instance) -> None:
        """Exchange digests with a peer and pull its newer versions."""
        self.peers_in_exchange.add(peer.id)
        try:
            # Freshness counts from the sending: while this process is paused, an answer can wait
            # in a buffer and no longer shows the present state when it is read.
            sent_at = time.monotonic()
            answer = await peers.exchange(
                self.channels,
                peer.peer_address,
                self.view.digest(),
                sent_at + EXCHANGE_TIMEOUT_SECONDS,
                wait_for_connection=peer.id in self.consecutive_failures,
            )
        finally:
            self.peers_in_exchange.discard(peer.id)
        if isinstance(answer, result.Failure):
            await self.record_failure(peer)
            return
        digest = answer.unwrap()
        if digest.instance_id == self.membership.own_id:
            return
        if digest.instance_id != peer.id:
            # Another instance uses the address now.
            await self.record_failure(peer)
        self.record_answer(digest, sent_at)
        versions_of_peer = (digest.config_version, digest.operations_version)
        if await self.puller.catch_up(peer.peer_address, *versions_of_peer):
            self.latest_answered_sent_at = max(self.latest_answered_sent_at, sent_at)

    def record_answer(self, digest: masticward_pb2.ViewDigest, sent_at: float) -> None:
        """Record that a peer answered an exchange."""
        try:
            instance = peers.as_instance(digest)
        except ValueError:
            return
        was_suspected = self.membership.is_suspected(instance.id)
        self.consecutive_failures.pop(instance.id, None)
        self.membership.record_exchange(instance, digest.incarnation, sent_at, time.monotonic())
        if was_suspected and not self.membership.is_suspected(instance.id):
            LOGGER.log(events.Event.MEMBER_RESPONDS, instance=instance.id)
        self.view.notify_if_members_changed()

    async def record_failure(self, peer: membership_models.Instance) -> None:
        """Count a failed exchange with a peer, and suspect the peer after repeated failures."""
        self.consecutive_failures[peer.id] = self.consecutive_failures.get(peer.id, 0) + 1
        if self.consecutive_failures[peer.id] != FAILURES_BEFORE_SUSPICION:
            return
        self.view.suspect(peer.id)
        # After a partition that drops packets, the old connection would wait for TCP's back-off.
        channel = self.channels.channels.pop(peer.peer_address, None)
        if channel is not None:
            await channel.close()
