"""Model-based tests of VersionStore.

They guard against versions that decrease and against adopting corrupted values. The oracle is the
maximum of the valid versions.
"""

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as strategies
import msgspec
from returns import result

from masticward.models import configuration
from masticward.state import versions
from tests.lib import platforms

VERSIONS = strategies.integers(min_value=-1, max_value=6)


class VersionMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Offers versions in any order. The oracle is the greatest valid version of each kind."""

    def __init__(self) -> None:
        super().__init__()
        self.store = versions.VersionStore()
        self.greatest_configuration = 0
        self.greatest_operations = 0

    @hypothesis.stateful.rule(version=VERSIONS)
    def offer_configuration(self, version: int) -> None:
        value = msgspec.structs.replace(platforms.make_configuration(), version=version)
        adopted = self.store.adopt_configuration(msgspec.json.encode(value))
        if version <= 0:
            assert isinstance(adopted, result.Failure)
            return
        assert adopted.unwrap() == (version > self.greatest_configuration)
        self.greatest_configuration = max(self.greatest_configuration, version)

    @hypothesis.stateful.rule(version=VERSIONS)
    def offer_operations(self, version: int) -> None:
        value = configuration.OperationsState(version=version, zones_out=(f"zone-{version}",))
        adopted = self.store.adopt_operations(msgspec.json.encode(value))
        if version <= 0:
            assert isinstance(adopted, result.Failure)
            return
        assert adopted.unwrap() == (version > self.greatest_operations)
        self.greatest_operations = max(self.greatest_operations, version)

    @hypothesis.stateful.rule(length=strategies.integers(min_value=0, max_value=40))
    def offer_corrupted(self, length: int) -> None:
        encoded = msgspec.json.encode(
            msgspec.structs.replace(platforms.make_configuration(), version=100)
        )
        assert isinstance(self.store.adopt_configuration(encoded[:length]), result.Failure)
        assert isinstance(
            self.store.adopt_operations(b'{"version": "100"}'[: length + 1]), result.Failure
        )

    @hypothesis.stateful.invariant()
    def greatest_version_is_held(self) -> None:
        assert self.store.config_version == self.greatest_configuration
        assert self.store.operations_version == self.greatest_operations
        if self.store.configuration is not None:
            held = msgspec.json.decode(
                self.store.configuration_bytes, type=configuration.Configuration
            )
            assert held == self.store.configuration
        if self.store.operations_version:
            held_operations = msgspec.json.decode(
                self.store.operations_bytes, type=configuration.OperationsState
            )
            assert held_operations == self.store.operations


class VersionStoreTest(VersionMachine.TestCase):  # type: ignore[misc,name-defined]
    settings = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=60)
