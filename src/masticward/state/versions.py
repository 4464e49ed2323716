"""The newest configuration and operations state that a process has received."""

import typing

import msgspec
from returns import result

from masticward import errors
from masticward.models import configuration as configuration_models

ValueT = typing.TypeVar(
    "ValueT", configuration_models.Configuration, configuration_models.OperationsState
)


class VersionStore:
    """Holds the newest value of each kind, decoded and encoded. Versions never decrease."""

    __slots__ = ("configuration", "encoded_configuration", "operations", "operations_bytes")

    def __init__(self) -> None:
        self.configuration: configuration_models.Configuration | None = None
        self.encoded_configuration = b""
        self.operations = configuration_models.OperationsState(version=0)
        self.operations_bytes = b""

    @property
    def config_version(self) -> int:
        """The version of the configuration, 0 if there is none."""
        return self.configuration.version if self.configuration is not None else 0

    @property
    def operations_version(self) -> int:
        """The version of the operations state, 0 if there is none."""
        return self.operations.version

    @property
    def configuration_bytes(self) -> bytes:
        """The configuration as JSON, encoded on first use; empty if there is none."""
        if not self.encoded_configuration and self.configuration is not None:
            self.encoded_configuration = msgspec.json.encode(self.configuration)
        return self.encoded_configuration

    def adopt_configuration(self, raw: bytes) -> result.Result[bool, errors.VersionRefusedError]:
        """Adopt an encoded configuration if it is newer; return whether it was adopted."""
        decoded = decode(raw, configuration_models.Configuration)
        if isinstance(decoded, result.Failure):
            return result.Failure(decoded.failure())
        return result.Success(self.adopt_decoded_configuration(decoded.unwrap()))

    def adopt_decoded_configuration(self, value: configuration_models.Configuration) -> bool:
        """Adopt a decoded configuration if it is newer; return whether it was adopted."""
        if value.version <= self.config_version:
            return False
        self.configuration, self.encoded_configuration = value, b""
        return True

    def adopt_operations(self, raw: bytes) -> result.Result[bool, errors.VersionRefusedError]:
        """Adopt an encoded operations state if it is newer; return whether it was adopted."""
        decoded = decode(raw, configuration_models.OperationsState)
        if isinstance(decoded, result.Failure):
            return result.Failure(decoded.failure())
        value = decoded.unwrap()
        if value.version <= self.operations_version:
            return result.Success(False)
        self.operations, self.operations_bytes = value, raw
        return result.Success(True)


def decode(raw: bytes, kind: type[ValueT]) -> result.Result[ValueT, errors.VersionRefusedError]:
    """Decode a value of the given type. Fails unless its version is above 0."""
    try:
        value = msgspec.json.decode(raw, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Failure(errors.VersionRefusedError(f"{kind.__name__}: {error}"))
    if value.version <= 0:
        return result.Failure(
            errors.VersionRefusedError(f"{kind.__name__}: version {value.version} is not above 0")
        )
    return result.Success(value)
