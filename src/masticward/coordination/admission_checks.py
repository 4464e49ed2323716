"""Why an agent must not start a call. Every reason means that the call has not run."""

import collections.abc
import time

from masticward.coordination import fleet_view
from masticward.models import attempts, membership, work
from masticward.models import configuration as configuration_models

Reason = work.RefusalReason


class AdmissionChecks:
    """The checks of one agent incarnation that depend on its view, not on its load.

    ``is_endpoint_leaving`` tells whether the endpoint or the agent itself is about to stop.
    """

    __slots__ = ("incarnation", "instance", "is_endpoint_leaving", "service_name", "view")

    def __init__(
        self,
        view: fleet_view.FleetView,
        instance: membership.Instance,
        incarnation: int,
        service_name: str,
        is_endpoint_leaving: collections.abc.Callable[[], bool],
    ) -> None:
        self.view = view
        self.instance = instance
        self.incarnation = incarnation
        self.service_name = service_name
        self.is_endpoint_leaving = is_endpoint_leaving

    @property
    def service(self) -> configuration_models.Service | None:
        """The agent's service in the newest configuration."""
        configuration = self.view.configuration
        if configuration is None:
            return None
        for service in configuration.services:
            if service.name == self.service_name:
                return service
        return None

    @property
    def config_version(self) -> int:
        """The version of the newest configuration, 0 without one."""
        configuration = self.view.configuration
        return 0 if configuration is None else configuration.version

    def on_arrival(self, request: attempts.AttemptRequest) -> Reason | None:
        """Check everything that is checked when an attempt arrives; pull newer versions."""
        self.pull_newer(request)
        return (
            self.check_addressee(request)
            or self.on_start(request.call.deadline)
            or self.check_versions(request)
        )

    def on_start(self, deadline: float) -> Reason | None:
        """Check what can change while a call waits; must pass again right before it starts."""
        if time.monotonic() >= deadline:
            return Reason.DEADLINE_PASSED
        return self.check_standing()

    def check_standing(self) -> Reason | None:
        """Check whether this agent may start any call at all."""
        if self.service is None:
            return Reason.NO_CONFIGURATION
        if time.monotonic() > self.view.fresh_until():
            return Reason.STALE_VIEW
        return self.check_out_of_service()

    def check_out_of_service(self) -> Reason | None:
        """Check whether operators took this agent out or it is about to stop."""
        zone = self.instance.availability_zone
        if self.view.is_out(self.instance.id, zone):
            zone_out = zone in self.view.operations.zones_out
            return Reason.ZONE_OUT if zone_out else Reason.INSTANCE_OUT
        if self.is_endpoint_leaving() or self.view.is_leaving(self.instance.id):
            return Reason.LEAVING
        return None

    def check_addressee(self, request: attempts.AttemptRequest) -> Reason | None:
        """Check whether the attempt is meant for this incarnation and service."""
        same = (request.agent_id, request.agent_incarnation, request.call.service) == (
            self.instance.id,
            self.incarnation,
            self.service_name,
        )
        return None if same else Reason.WRONG_INCARNATION

    def pull_newer(self, request: attempts.AttemptRequest) -> None:
        """Pull at once what the sender has in a newer version."""
        newer = (
            request.config_version > self.config_version
            or request.operations_version > self.view.operations.version
        )
        if newer:
            self.view.note_versions(
                request.config_version, request.operations_version, request.entry_peer_address
            )

    def check_versions(self, request: attempts.AttemptRequest) -> Reason | None:
        """Compare the sender's versions with the own ones, which must be the same."""
        operations_version = self.view.operations.version
        if request.config_version != self.config_version:
            newer = request.config_version > self.config_version
            return Reason.NEWER_CONFIGURATION if newer else Reason.OLDER_CONFIGURATION
        if request.operations_version != operations_version:
            newer = request.operations_version > operations_version
            return Reason.NEWER_OPERATIONS if newer else Reason.OLDER_OPERATIONS
        return None


def find_operation(
    service: configuration_models.Service, name: str
) -> configuration_models.Operation | None:
    """Return the named operation of a service."""
    for operation in service.operations:
        if operation.name == name:
            return operation
    return None
