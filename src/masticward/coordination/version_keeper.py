"""The versions that one process holds, and what it takes from any source."""

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

logger = logs.get_logger(__name__)


class VersionKeeper:
    """Takes what is newer and valid; ``on_taken()`` is called after each newer value."""

    __slots__ = ("on_taken", "reader", "versions")

    def __init__(
        self,
        reader: configuration_reader.ConfigurationReader,
        on_taken: collections.abc.Callable[[], None],
    ) -> None:
        self.reader = reader
        self.on_taken = on_taken
        self.versions = versions_module.VersionStore()

    def held_version(self, kind: masticward_pb2.FetchRequest.Kind) -> int:
        """Return the version held of one kind, 0 if none."""
        if kind == CONFIGURATION:
            return self.versions.config_version
        return self.versions.operations_version

    def newest(self, kind: int) -> tuple[int, bytes]:
        """Return version and bytes of the newest value of a ``FetchRequest.Kind``; 0 if none."""
        if kind == CONFIGURATION:
            return self.versions.config_version, self.versions.configuration_bytes
        return self.versions.operations_version, self.versions.operations_bytes

    def parts(self) -> peers.ConfigurationParts | None:
        """Return the parts of the newest configuration, None if only its bytes are held."""
        reader = self.reader
        if not reader.version or reader.version != self.versions.config_version:
            return None
        return peers.ConfigurationParts(reader.version, reader.manifest, reader.known_shards)

    def is_behind(self, config_version: int, operations_version: int) -> bool:
        """Tell whether one of the versions is newer than this process's own."""
        return (
            config_version > self.versions.config_version
            or operations_version > self.versions.operations_version
        )

    def take(self, kind: masticward_pb2.FetchRequest.Kind, raw: bytes, source: str) -> None:
        """Take an encoded value if it is newer."""
        if kind == CONFIGURATION:
            taken = self.versions.adopt_configuration(raw)
        else:
            taken = self.versions.adopt_operations(raw)
        if isinstance(taken, result.Failure):
            logger.log(events.Event.VERSION_REFUSED, source=source, reason=str(taken.failure()))
        elif taken.unwrap():
            self.note_taken(kind, source)

    def take_parts(self, reply: masticward_pb2.FetchReply, source: str) -> None:
        """Take a configuration that a peer sent as a manifest and the shards unknown here."""
        received = {shard.name: shard.content for shard in reply.shards}
        assembled = self.reader.assemble_received(reply.manifest, received)
        if isinstance(assembled, result.Failure):
            logger.log(events.Event.VERSION_REFUSED, source=source, reason=str(assembled.failure()))
            return
        self.take_configuration(assembled.unwrap(), source)

    def take_configuration(
        self, configuration: configuration_models.Configuration, source: str
    ) -> None:
        """Take a configuration if it is newer."""
        if self.versions.adopt_decoded_configuration(configuration):
            self.note_taken(CONFIGURATION, source)

    def note_taken(self, kind: masticward_pb2.FetchRequest.Kind, source: str) -> None:
        """Log a newer value and call ``on_taken``."""
        event = events.Event.OPERATIONS_TAKEN
        if kind == CONFIGURATION:
            event = events.Event.CONFIGURATION_TAKEN
        logger.log(event, version=self.held_version(kind), source=source)
        self.on_taken()
