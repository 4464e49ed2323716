"""Fetches newer versions from peers."""

import asyncio

from returns import result

from masticward.coordination import version_keeper
from masticward.protocol import peers
from masticward.transport import channels as channels_module
from masticward.utils import clocks, tasks
from masticward.wire import masticward_pb2

CONFIGURATION_FETCH_TIMEOUT_SECONDS = 2.0
OPERATIONS_FETCH_TIMEOUT_SECONDS = 0.6


class VersionPuller:
    """Fetches newer configurations and operations states from peers for a version keeper."""

    def __init__(
        self,
        keeper: version_keeper.VersionKeeper,
        channels: channels_module.ChannelPool,
        task_group: tasks.TaskGroup,
    ) -> None:
        self.keeper = keeper
        self.channels = channels
        self.task_group = task_group
        # A configuration can have megabytes, so only one is fetched at a time.
        self.configuration_lock = asyncio.Lock()
        self.pulls_in_progress: set[tuple[str, int, int]] = set()

    def pull_in_background(
        self, address: str, config_version: int, operations_version: int
    ) -> None:
        """Pull versions from a peer in the background if they are newer.

        A pull of the same versions from the same peer is not started twice.
        """
        if not self.keeper.is_behind(config_version, operations_version) or not address:
            return
        key = (address, config_version, operations_version)
        if key in self.pulls_in_progress:
            return
        self.pulls_in_progress.add(key)
        task = self.task_group.spawn(
            self.catch_up(address, config_version, operations_version), "pull"
        )
        task.add_done_callback(lambda _: self.pulls_in_progress.discard(key))

    async def catch_up(self, address: str, config_version: int, operations_version: int) -> bool:
        """Pull the newer versions of a peer. Return whether none of them is newer afterwards."""
        if operations_version > self.keeper.versions.operations_version:
            await self.pull(address, version_keeper.OPERATIONS)
        if config_version > self.keeper.versions.config_version:
            await self.pull(address, version_keeper.CONFIGURATION)
        return not self.keeper.is_behind(config_version, operations_version)

    async def pull(self, address: str, kind: masticward_pb2.FetchRequest.Kind) -> None:
        """Fetch one kind of value from a peer and adopt it if it is newer."""
        if kind == version_keeper.OPERATIONS:
            reply = await self.fetch(address, kind, OPERATIONS_FETCH_TIMEOUT_SECONDS, None)
            if reply is not None:
                self.keeper.adopt(kind, reply.value, address)
            return
        async with self.configuration_lock:
            known_shards = list(self.keeper.reader.cached_shards)
            reply = await self.fetch(
                address, kind, CONFIGURATION_FETCH_TIMEOUT_SECONDS, known_shards
            )
            if reply is not None and reply.manifest:
                self.keeper.adopt_parts(reply, address)
            elif reply is not None:
                self.keeper.adopt(kind, reply.value, address)

    async def fetch(
        self,
        address: str,
        kind: masticward_pb2.FetchRequest.Kind,
        timeout: float,
        known_shards: list[str] | None,
    ) -> masticward_pb2.FetchReply | None:
        """Return a peer's newer value, None if it sends none within ``timeout`` seconds."""
        known_version = self.keeper.current_version(kind)
        deadline = clocks.deadline_after(timeout)
        answer = await peers.fetch(
            self.channels, address, kind, known_version, deadline, known_shards
        )
        if isinstance(answer, result.Failure) or answer.unwrap().version <= known_version:
            return None
        return answer.unwrap()
