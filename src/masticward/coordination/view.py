"""The fleet view of a process on the platform, from the instance list, object API and peers."""

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

# How long the view counts as fresh after the sending of an exchange that was answered.
FRESHNESS_SECONDS = 2.0

LOGGER = logs.get_logger(__name__)


class PlatformFleetView(peer_exchange.ExchangingView):
    """The view of one process, updated by background tasks between ``start`` and ``close``.

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
        # Separate connections: closing one after a partition that drops packets must not break
        # calls in progress.
        self.exchange_channels = channels_module.ChannelPool(channels.transport)
        self.membership = membership.MembershipView(instance)
        self.reader = configuration_reader.ConfigurationReader(store)
        self.keeper = version_keeper.VersionKeeper(self.reader, self.handle_newer_version)
        self.versions = self.keeper.versions
        self.store_follower = store_follower.StoreFollower(
            store, self.keeper, self, platform.call_timeout_seconds
        )
        self.agents_cache_key = (-1, -1)
        self.cached_agents: dict[str, list[membership_models.Instance]] = {}
        self.callbacks: list[collections.abc.Callable[[], None]] = []
        self.notified_revision = -1
        self.list_follower = list_follower.ListFollower(instance_list, platform, self.apply_list)
        self.logged_members: set[str] = {instance.id}
        self.logged_leaving: set[str] = set()
        self.task_group = tasks.TaskGroup()
        self.puller = version_puller.VersionPuller(
            self.keeper, self.exchange_channels, self.task_group
        )
        self.exchanges = peer_exchange.PeerExchange(
            self, self.membership, self.exchange_channels, self.puller, self.task_group
        )

    # FleetView

    @property
    def configuration(self) -> configuration_models.Configuration | None:
        """The newest configuration, None before the first one arrives."""
        return self.versions.configuration

    @property
    def operations(self) -> configuration_models.OperationsState:
        """The newest operations state, with version 0 before the first one arrives."""
        return self.versions.operations

    def members(self) -> list[membership_models.Instance]:
        """Return all member instances, this one included, whether or not they respond."""
        return self.membership.members(time.monotonic())

    def available_agents(self, service: str) -> list[membership_models.Instance]:
        """Return the agents of a service that may be assigned work, sorted by id."""
        key = (self.membership.revision, self.versions.operations_version)
        if key != self.agents_cache_key:
            self.cached_agents = self.compute_available_agents(time.monotonic())
            self.agents_cache_key = key
        return list(self.cached_agents.get(service, ()))

    def compute_available_agents(self, now: float) -> dict[str, list[membership_models.Instance]]:
        """Return the agents that may be assigned work at the time ``now``, by service."""
        available: dict[str, list[membership_models.Instance]] = {}
        for instance in self.membership.members(now):
            if (
                instance.role is membership_models.Role.AGENT
                and not instance.leaving
                and not self.membership.is_suspected(instance.id)
                and not self.is_out_of_service(instance.id, instance.availability_zone)
            ):
                available.setdefault(instance.service, []).append(instance)
        return available

    def is_out_of_service(self, instance_id: str, availability_zone: str) -> bool:
        """Return whether operators have taken the instance or its zone out of service."""
        operations = self.versions.operations
        return availability_zone in operations.zones_out or instance_id in operations.instances_out

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether the instance is listed as leaving or has announced that it is."""
        return self.membership.is_leaving(instance_id)

    def is_suspected(self, instance_id: str) -> bool:
        """Return whether the instance failed to respond to this process after its last answer."""
        return self.membership.is_suspected(instance_id)

    def fresh_until(self) -> float:
        """Return the monotonic time, in seconds, until which the view counts as fresh."""
        return self.exchanges.latest_answered_sent_at + FRESHNESS_SECONDS

    def suspect(self, instance_id: str) -> None:
        """Exclude an instance from ``available_agents`` until it answers a peer exchange."""
        if self.membership.suspect(instance_id, time.monotonic()):
            LOGGER.log(events.Event.MEMBER_SUSPECTED, instance=instance_id)
            self.notify_subscribers()
        self.exchanges.round_requested.set()

    def pull_newer_versions(
        self, config_version: int, operations_version: int, peer_address: str
    ) -> None:
        """Pull the configuration or operations state from a peer that has a newer version."""
        self.puller.pull_in_background(peer_address, config_version, operations_version)

    def announce_leaving(self) -> None:
        """Announce in all further peer exchanges that this instance is leaving."""
        self.membership.mark_own_leaving()
        self.notify_subscribers()
        for peer in self.exchanges.rotation.all_partners():
            self.exchanges.start_exchange(peer)

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Call ``callback`` after each change of configuration, operations state or members."""
        self.callbacks.append(callback)

    # PeerHandler

    def digest(self) -> masticward_pb2.ViewDigest:
        """Return the instance, incarnation and versions of this process."""
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
        """Record the digest of a peer that has called, and pull its newer versions.

        Starts an exchange with the peer if it was unknown or seemed unreachable.
        """
        try:
            instance = peers.as_instance(digest)
        except ValueError:
            return
        member = self.membership.record_announcement(instance, digest.incarnation)
        self.notify_if_members_changed()
        if member is None:
            return
        self.pull_newer_versions(
            digest.config_version, digest.operations_version, digest.peer_address
        )
        unknown = not member.listed and member.last_contact_at is None
        if (
            unknown
            or instance.id in self.exchanges.consecutive_failures
            or member.suspected_at is not None
        ):
            self.exchanges.start_exchange(instance)

    def newest(self, kind: int) -> tuple[int, bytes]:
        """Return the version and bytes of a ``FetchRequest.Kind``, version 0 if there is none."""
        return self.keeper.newest(kind)

    def parts(self) -> peers.ConfigurationParts | None:
        """Return the parts of the newest configuration, None if they are not cached."""
        return self.keeper.parts()

    def receive_delivery(self, delivery: masticward_pb2.Delivery) -> None:
        """Adopt the operations state of an operator's command if it is valid and newer."""
        if delivery.version > self.versions.operations_version:
            self.keeper.adopt(version_keeper.OPERATIONS, delivery.value, "delivery")

    # Life cycle

    async def start(self) -> None:
        """Read the instance list, exchange with a few peers, and start the background tasks.

        Returns within a few call timeouts even if nothing answers.
        """
        await self.list_follower.read()
        await self.exchanges.run_first_round()
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
            loops.append((self.store_follower.run_fallback_reads, "read-store"))
        for loop, name in loops:
            self.task_group.spawn(background.run_with_restarts(loop, name), name)

    async def close(self) -> None:
        """Stop the background tasks and close the connections for peer exchanges."""
        await self.task_group.cancel()
        await self.exchange_channels.close()

    # Members

    async def apply_list(self, listed: list[membership_models.Instance] | None) -> None:
        """Apply an instance list, or only the time-outs of members if there is no new list."""
        self.update_members(listed)
        # Channels to former members are closed, as gRPC tries without end to connect an open one.
        known_addresses = {
            member.instance.peer_address for member in self.membership.records.values()
        }
        await self.channels.prune(known_addresses)
        await self.exchange_channels.prune(known_addresses)

    def update_members(self, listed: list[membership_models.Instance] | None) -> None:
        """Update the members, log the changes and notify the subscribers."""
        now = time.monotonic()
        if listed is None:
            self.membership.expire(now)
        else:
            self.membership.apply_list(listed, now)
        if self.membership.revision == self.notified_revision:
            return
        member_ids = {instance.id for instance in self.membership.members(now)}
        for instance_id in sorted(member_ids - self.logged_members):
            LOGGER.log(events.Event.MEMBER_ADDED, instance=instance_id)
        for instance_id in sorted(self.logged_members - member_ids):
            LOGGER.log(events.Event.MEMBER_REMOVED, instance=instance_id)
        self.logged_members = member_ids
        self.notify_subscribers()

    # Notification

    def handle_newer_version(self) -> None:
        """Propagate a newly adopted version to peers and notify the subscribers."""
        self.exchanges.start_extra_rounds()
        self.notify_subscribers()

    def notify_if_members_changed(self) -> None:
        """Notify the subscribers if the members have changed since the last notification."""
        if self.membership.revision != self.notified_revision:
            self.notify_subscribers()

    def notify_subscribers(self) -> None:
        """Call all subscribers, and log the members that have started to leave."""
        self.notified_revision = self.membership.revision
        leaving = self.membership.leaving_ids()
        for instance_id in sorted(leaving - self.logged_leaving):
            LOGGER.log(events.Event.MEMBER_LEAVING, instance=instance_id)
        self.logged_leaving = leaving
        for callback in list(self.callbacks):
            try:
                callback()
            except Exception as error:
                # A failing subscriber must not keep a new version from the others or from the view.
                LOGGER.log(events.Event.TASK_FAILED, task="view-subscriber", error=repr(error))
