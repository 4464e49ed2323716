"""A process's view of the fleet: configuration, operations state, members and freshness."""

import abc
import collections.abc

from masticward.models import configuration as configuration_models
from masticward.models import membership


class FleetView(abc.ABC):
    """The view of one process. Its configuration and operations versions never decrease."""

    @property
    @abc.abstractmethod
    def configuration(self) -> configuration_models.Configuration | None:
        """The newest configuration, None before the first one arrives."""

    @property
    @abc.abstractmethod
    def operations(self) -> configuration_models.OperationsState:
        """The newest operations state, with version 0 before the first one arrives."""

    @abc.abstractmethod
    def members(self) -> list[membership.Instance]:
        """Return all member instances, whether or not they respond."""

    @abc.abstractmethod
    def available_agents(self, service: str) -> list[membership.Instance]:
        """Return the agents of a service that may be assigned work.

        An available agent is in the instance list, is not leaving and not suspected, and neither
        it nor its availability zone is out of service.
        """

    @abc.abstractmethod
    def is_out_of_service(self, instance_id: str, availability_zone: str) -> bool:
        """Return whether operators have taken the instance or its zone out of service."""

    @abc.abstractmethod
    def is_leaving(self, instance_id: str) -> bool:
        """Return whether the instance is listed as leaving or has announced that it is."""

    @abc.abstractmethod
    def is_suspected(self, instance_id: str) -> bool:
        """Return whether the instance failed to respond to this process after its last answer."""

    @abc.abstractmethod
    def fresh_until(self) -> float:
        """Return the monotonic time, in seconds, until which the view counts as fresh.

        This is 2 s after the sending of the latest peer exchange that was answered.
        """

    @abc.abstractmethod
    def suspect(self, instance_id: str) -> None:
        """Exclude an instance from ``available_agents`` until it answers a peer exchange."""

    @abc.abstractmethod
    def pull_newer_versions(
        self, config_version: int, operations_version: int, peer_address: str
    ) -> None:
        """Pull the configuration or operations state from a peer that has a newer version."""

    @abc.abstractmethod
    def announce_leaving(self) -> None:
        """Announce in all further peer exchanges that this instance is leaving."""

    @abc.abstractmethod
    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        """Call ``callback`` after each change of configuration, operations state or members."""
