"""Adopts newer configurations and operations states from all sources of a process."""

import collections.abc

from returns import result

from masticward import events, logs
from masticward.coordination import configuration_reader
from masticward.models import configuration as configuration_models
from masticward.protocol import peers
from masticward.state import versions as versions_module
from masticward.wire import masticward_pb2

CONFIGURATION = masticward_pb2.FetchRequest.Kind.CONFIGURATION
OPERATIONS = masticward_pb2.FetchRequest.Kind.OPERATIONS

LOGGER = logs.get_logger(__name__)


class VersionKeeper:
    """Adopts a received value if it is valid and newer than the current one.

    Invalid values are logged and ignored. ``on_adopted`` is called after each adoption.
    """

    __slots__ = ("on_adopted", "reader", "versions")

    def __init__(
        self,
        reader: configuration_reader.ConfigurationReader,
        on_adopted: collections.abc.Callable[[], None],
    ) -> None:
        self.reader = reader
        self.on_adopted = on_adopted
        self.versions = versions_module.VersionStore()

    def current_version(self, kind: masticward_pb2.FetchRequest.Kind) -> int:
        """Return the current version of one kind of value, 0 if there is none."""
        if kind == CONFIGURATION:
            return self.versions.config_version
        return self.versions.operations_version

    def newest(self, kind: int) -> tuple[int, bytes]:
        """Return the version and bytes of a ``FetchRequest.Kind``, version 0 if there is none."""
        if kind == CONFIGURATION:
            return self.versions.config_version, self.versions.configuration_bytes
        return self.versions.operations_version, self.versions.operations_bytes

    def parts(self) -> peers.ConfigurationParts | None:
        """Return the parts of the newest configuration, None if they are not cached."""
        reader = self.reader
        if not reader.version or reader.version != self.versions.config_version:
            return None
        return peers.ConfigurationParts(reader.version, reader.manifest, reader.cached_shards)

    def is_behind(self, config_version: int, operations_version: int) -> bool:
        """Return whether one of the versions is newer than that of this process."""
        return (
            config_version > self.versions.config_version
            or operations_version > self.versions.operations_version
        )

    def adopt(self, kind: masticward_pb2.FetchRequest.Kind, raw: bytes, source: str) -> None:
        """Adopt an encoded value if it is valid and newer."""
        if kind == CONFIGURATION:
            adopted = self.versions.adopt_configuration(raw)
        else:
            adopted = self.versions.adopt_operations(raw)
        if isinstance(adopted, result.Failure):
            LOGGER.log(events.Event.VERSION_REFUSED, source=source, reason=str(adopted.failure()))
        elif adopted.unwrap():
            self.report_adoption(kind, source)

    def adopt_parts(self, reply: masticward_pb2.FetchReply, source: str) -> None:
        """Adopt a configuration that a peer sent as a manifest and those shards missing here."""
        received = {shard.name: shard.content for shard in reply.shards}
        assembled = self.reader.assemble_received(reply.manifest, received)
        if isinstance(assembled, result.Failure):
            LOGGER.log(events.Event.VERSION_REFUSED, source=source, reason=str(assembled.failure()))
            return
        self.adopt_configuration(assembled.unwrap(), source)

    def adopt_configuration(
        self, configuration: configuration_models.Configuration, source: str
    ) -> None:
        """Adopt a decoded configuration if it is newer."""
        if self.versions.adopt_decoded_configuration(configuration):
            self.report_adoption(CONFIGURATION, source)

    def report_adoption(self, kind: masticward_pb2.FetchRequest.Kind, source: str) -> None:
        """Log the adoption of a value and call ``on_adopted``."""
        event = events.Event.OPERATIONS_TAKEN
        if kind == CONFIGURATION:
            event = events.Event.CONFIGURATION_TAKEN
        LOGGER.log(event, version=self.current_version(kind), source=source)
        self.on_adopted()
