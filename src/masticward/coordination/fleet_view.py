"""What a process knows of the fleet: versions, members and how fresh that knowledge is."""

import abc
import collections.abc

from masticward.models import configuration as configuration_models
from masticward.models import membership


class FleetView(abc.ABC):
    """The view of one process. Versions in it never fall."""

    @property
    @abc.abstractmethod
    def configuration(self) -> configuration_models.Configuration | None:
        """The newest configuration, None before the first one arrived."""

    @property
    @abc.abstractmethod
    def operations(self) -> configuration_models.OperationsState:
        """The newest operations state; version 0 before the first one arrived."""

    @abc.abstractmethod
    def members(self) -> list[membership.Instance]:
        """Return every instance known, whether or not it responds."""

    @abc.abstractmethod
    def available_agents(self, service: str) -> list[membership.Instance]:
        """Return the agents of a service that may receive work.

        They are listed, not leaving, in service (zone and instance) and not suspected.
        """

    @abc.abstractmethod
    def is_out_of_service(self, instance_id: str, availability_zone: str) -> bool:
        """Tell whether operators have taken the instance or its zone out of service."""

    @abc.abstractmethod
    def is_leaving(self, instance_id: str) -> bool:
        """Tell whether the instance is listed or has announced itself as leaving."""

    @abc.abstractmethod
    def is_suspected(self, instance_id: str) -> bool:
        """Tell whether the instance did not respond to this process and has not since."""

    @abc.abstractmethod
    def fresh_until(self) -> float:
        """Return the monotonic time until which the view counts as fresh.

        It lies 2 s after the sending of the latest exchange that was answered.
        """

    @abc.abstractmethod
    def suspect(self, instance_id: str) -> None:
        """Leave an instance out of ``available_agents`` until it answers an exchange again."""

    @abc.abstractmethod
    def pull_newer_versions(
        self, config_version: int, operations_version: int, peer_address: str
    ) -> None:
        """Pull from the peer at once if it has a newer version."""

    @abc.abstractmethod
    def announce_leaving(self) -> None:
        """Tell the peers from now on that this instance is leaving."""

    @abc.abstractmethod
    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Call back after each change of configuration, operations state or members."""
