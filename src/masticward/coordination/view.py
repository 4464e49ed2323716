"""One process's view of the fleet: its members, and the parts that keep the view."""

import collections.abc
import functools
import time

from masticward import events, logs
from masticward import settings as settings_module
from masticward.coordination import (
    background,
    configuration_reader,
    list_follower,
    peer_exchange,
    store_follower,
    version_keeper,
    version_puller,
)
from masticward.models import configuration as configuration_models
from masticward.models import membership as membership_models
from masticward.models import objects
from masticward.protocol import peers
from masticward.state import membership
from masticward.transport import channels as channels_module
from masticward.transport import instance_list as instance_list_module
from masticward.transport import object_api
from masticward.utils import tasks
from masticward.wire import masticward_pb2

FRESH_SECONDS = 2.0

logger = logs.get_logger(__name__)


class PlatformFleetView(peer_exchange.ExchangeOwner):
    """The view of one process, kept by background tasks between ``start`` and ``close``.

    A process with ``watches_object_api`` follows the object API. Every other process receives
    versions from peers; it reads the object API at a low rate, and at the start only if no peer
    has a configuration.
    """

    def __init__(
        self,
        instance: membership_models.Instance,
        incarnation: int,
        platform: settings_module.PlatformSettings,
        channels: channels_module.ChannelPool,
        store: object_api.ObjectStore,
        instance_list: instance_list_module.InstanceList,
        watches_object_api: bool,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.watches_object_api = watches_object_api
        self.channels = channels
        # Connections of their own: a reset after a silent partition must not break running calls.
        self.exchange_channels = channels_module.ChannelPool(channels.transport)
        self.membership = membership.MembershipView(instance)
        self.reader = configuration_reader.ConfigurationReader(store)
        self.keeper = version_keeper.VersionKeeper(self.reader, self.spread)
        self.versions = self.keeper.versions
        self.store_follower = store_follower.StoreFollower(
            store, self.keeper, self, platform.call_timeout_seconds
        )
        self.agents_key = (-1, -1)
        self.agents_by_service: dict[str, list[membership_models.Instance]] = {}
        self.callbacks: list[collections.abc.Callable[[], None]] = []
        self.notified_revision = -1
        self.list_follower = list_follower.ListFollower(instance_list, platform, self.apply_list)
        self.logged_members: set[str] = {instance.id}
        self.logged_leaving: set[str] = set()
        self.tasks = tasks.TaskGroup()
        self.puller = version_puller.VersionPuller(self.keeper, self.exchange_channels, self.tasks)
        self.exchanges = peer_exchange.PeerExchange(
            self, self.membership, self.exchange_channels, self.puller, self.tasks
        )

    # FleetView

    @property
    def configuration(self) -> configuration_models.Configuration | None:
        """The newest configuration, None before the first one arrived."""
        return self.versions.configuration

    @property
    def operations(self) -> configuration_models.OperationsState:
        """The newest operations state; version 0 before the first one arrived."""
        return self.versions.operations

    def members(self) -> list[membership_models.Instance]:
        """Return every instance known, this one included, whether or not it responds."""
        return self.membership.members(time.monotonic())

    def available_agents(self, service: str) -> list[membership_models.Instance]:
        """Return the agents of a service that may receive work, sorted by id."""
        key = (self.membership.revision, self.versions.operations_version)
        if key != self.agents_key:
            self.agents_by_service = self.usable_agents(time.monotonic())
            self.agents_key = key
        return list(self.agents_by_service.get(service, ()))

    def usable_agents(self, now: float) -> dict[str, list[membership_models.Instance]]:
        """Return the agents that may receive work, by service."""
        usable: dict[str, list[membership_models.Instance]] = {}
        for instance in self.membership.members(now):
            if (
                instance.role is membership_models.Role.AGENT
                and not instance.leaving
                and not self.membership.is_suspected(instance.id)
                and not self.is_out_of_service(instance.id, instance.availability_zone)
            ):
                usable.setdefault(instance.service, []).append(instance)
        return usable

    def is_out_of_service(self, instance_id: str, availability_zone: str) -> bool:
        """Tell whether operators have taken the instance or its zone out of service."""
        operations = self.versions.operations
        return availability_zone in operations.zones_out or instance_id in operations.instances_out

    def is_leaving(self, instance_id: str) -> bool:
        """Tell whether the instance is listed or has announced itself as leaving."""
        return self.membership.is_leaving(instance_id)

    def is_suspected(self, instance_id: str) -> bool:
        """Tell whether the instance did not respond to this process and has not since."""
        return self.membership.is_suspected(instance_id)

    def fresh_until(self) -> float:
        """Return the monotonic time until which the view counts as fresh."""
        return self.exchanges.latest_answered_send + FRESH_SECONDS

    def suspect(self, instance_id: str) -> None:
        """Leave an instance out of ``available_agents`` until it answers an exchange again."""
        if self.membership.suspect(instance_id, time.monotonic()):
            logger.log(events.Event.MEMBER_SUSPECTED, instance=instance_id)
            self.notify()
        self.exchanges.round_wanted.set()

    def pull_newer_versions(
        self, config_version: int, operations_version: int, peer_address: str
    ) -> None:
        """Pull from the peer at once if it has a newer version."""
        self.puller.pull_soon(peer_address, config_version, operations_version)

    def announce_leaving(self) -> None:
        """Tell the peers from now on that this instance is leaving."""
        self.membership.mark_own_leaving()
        self.notify()
        for peer in self.exchanges.rotation.all_partners():
            self.exchanges.start(peer)

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Call back after each change of configuration, operations state or members."""
        self.callbacks.append(callback)

    # PeerHandler

    def digest(self) -> masticward_pb2.ViewDigest:
        """Return who this process is and which versions it holds."""
        return masticward_pb2.ViewDigest(
            instance_id=self.instance.id,
            incarnation=self.incarnation,
            role=self.instance.role.value,
            service=self.instance.service,
            availability_zone=self.instance.availability_zone,
            peer_address=self.instance.peer_address,
            admin_address=self.instance.admin_address,
            config_version=self.versions.config_version,
            operations_version=self.versions.operations_version,
            leaving=self.membership.is_leaving(self.instance.id),
        )

    def receive_digest(self, digest: masticward_pb2.ViewDigest) -> None:
        """Note the digest of a peer that has called; call back a peer that seemed unreachable."""
        try:
            instance = peers.as_instance(digest)
        except ValueError:
            return
        member = self.membership.record_announcement(instance, digest.incarnation)
        self.notify_members()
        if member is None:
            return
        self.pull_newer_versions(
            digest.config_version, digest.operations_version, digest.peer_address
        )
        unknown = not member.listed and member.last_contact_at is None
        if unknown or instance.id in self.exchanges.failures or member.suspected_at is not None:
            self.exchanges.start(instance)

    def newest(self, kind: int) -> tuple[int, bytes]:
        """Return version and bytes of the newest value of a ``FetchRequest.Kind``; 0 if none."""
        return self.keeper.newest(kind)

    def parts(self) -> peers.ConfigurationParts | None:
        """Return the parts of the newest configuration, None if only its bytes are held."""
        return self.keeper.parts()

    def receive_delivery(self, delivery: masticward_pb2.Delivery) -> None:
        """Take an operations state from an operator's command if it is newer and valid."""
        if delivery.version > self.versions.operations_version:
            self.keeper.take(version_keeper.OPERATIONS, delivery.value, "delivery")

    # Life cycle

    async def start(self) -> None:
        """Read the list, ask the peers once, and keep the view from then on.

        Returns within a few call timeouts even if nothing answers.
        """
        await self.list_follower.read()
        await self.exchanges.ask_first_peers()
        if not self.versions.config_version:
            await self.store_follower.read()
        loops = [
            (self.list_follower.poll, "poll-list"),
            (self.exchanges.run_rounds, "exchange-rounds"),
        ]
        if self.watches_object_api:
            watch = self.store_follower.watch
            loops.append((functools.partial(watch, objects.MANIFEST), "watch-manifest"))
            loops.append((functools.partial(watch, objects.OPERATIONS), "watch-operations"))
        else:
            loops.append((self.store_follower.read_rarely, "read-store"))
        for loop, name in loops:
            self.tasks.spawn(background.keep_running(loop, name), name)

    async def close(self) -> None:
        """Stop the background tasks and close the connections of the exchanges."""
        await self.tasks.cancel()
        await self.exchange_channels.close()

    # Members

    async def apply_list(self, listed: list[membership_models.Instance] | None) -> None:
        """Apply an instance list; only the time if there is no new one."""
        self.update_members(listed)
        # gRPC tries for ever to reach the address of a channel that is open but not connected.
        known = {member.instance.peer_address for member in self.membership.records.values()}
        await self.channels.prune(known)
        await self.exchange_channels.prune(known)

    def update_members(self, listed: list[membership_models.Instance] | None) -> None:
        """Update the members, log which ones came and went, and tell the subscribers."""
        now = time.monotonic()
        if listed is None:
            self.membership.expire(now)
        else:
            self.membership.apply_list(listed, now)
        if self.membership.revision == self.notified_revision:
            return
        ids = {instance.id for instance in self.membership.members(now)}
        for instance_id in sorted(ids - self.logged_members):
            logger.log(events.Event.MEMBER_ADDED, instance=instance_id)
        for instance_id in sorted(self.logged_members - ids):
            logger.log(events.Event.MEMBER_REMOVED, instance=instance_id)
        self.logged_members = ids
        self.notify()

    # Notification

    def spread(self) -> None:
        """Tell the subscribers and the peers of a newer value."""
        self.exchanges.spread()
        self.notify()

    def notify_members(self) -> None:
        """Tell the subscribers if the members have changed."""
        if self.membership.revision != self.notified_revision:
            self.notify()

    def notify(self) -> None:
        """Tell the subscribers."""
        self.notified_revision = self.membership.revision
        leaving = self.membership.leaving_ids()
        for instance_id in sorted(leaving - self.logged_leaving):
            logger.log(events.Event.MEMBER_LEAVING, instance=instance_id)
        self.logged_leaving = leaving
        for callback in list(self.callbacks):
            try:
                callback()
            except Exception as error:
                # One subscriber must not keep the others, or the view, from a new version.
                logger.log(events.Event.TASK_FAILED, task="view-subscriber", error=repr(error))
