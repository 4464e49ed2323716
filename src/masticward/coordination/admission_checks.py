"""Checks whether an agent may start a call. A failed check means that the call has not run."""

import collections.abc
import time

from masticward.coordination import fleet_view
from masticward.models import attempts, membership, work
from masticward.models import configuration as configuration_models

Reason = work.RefusalReason
# After a newer configuration arrives, attempts routed with an earlier one are admitted for this
# time. An entry that still uses an earlier one after that is assumed to be partitioned, because a
# configuration is in force everywhere within 8 s.
SUPERSEDED_GRACE_SECONDS = 4.0


class AdmissionChecks:
    """The admission checks of one agent incarnation that depend on its view, not on its load.

    ``is_stopping`` returns whether the endpoint or the agent itself is about to stop.
    """

    __slots__ = (
        "incarnation",
        "instance",
        "is_stopping",
        "last_config_version",
        "service_name",
        "superseded_deadline",
        "view",
    )

    def __init__(
        self,
        view: fleet_view.FleetView,
        instance: membership.Instance,
        incarnation: int,
        service_name: str,
        is_stopping: collections.abc.Callable[[], bool],
    ) -> None:
        self.view = view
        self.instance = instance
        self.incarnation = incarnation
        self.service_name = service_name
        self.is_stopping = is_stopping
        self.last_config_version = self.config_version
        # Monotonic time until which attempts routed with an earlier configuration are admitted.
        self.superseded_deadline = 0.0

    def track_configuration(self, now: float) -> None:
        """Start the grace period if the configuration changed. Call after each view change."""
        if self.config_version != self.last_config_version:
            self.last_config_version = self.config_version
            self.superseded_deadline = now + SUPERSEDED_GRACE_SECONDS

    @property
    def service(self) -> configuration_models.Service | None:
        """The agent's service in the newest configuration, None if it is not configured."""
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

    def check_on_arrival(self, request: attempts.AttemptRequest) -> Reason | None:
        """Run all checks of an arriving attempt, and pull newer versions from its sender."""
        self.pull_from_sender(request)
        return (
            self.check_target(request)
            or self.check_on_start(request.call.deadline)
            or self.check_operation_definition(request)
        )

    def check_on_start(self, deadline: float) -> Reason | None:
        """Check what can change while a call is staged. Repeated right before the call starts."""
        if time.monotonic() >= deadline:
            return Reason.DEADLINE_PASSED
        return self.check_may_start()

    def check_may_start(self) -> Reason | None:
        """Check whether this agent may start any call."""
        if self.service is None:
            return Reason.NO_CONFIGURATION
        if time.monotonic() > self.view.fresh_until():
            return Reason.STALE_VIEW
        return self.check_out_of_service()

    def check_out_of_service(self) -> Reason | None:
        """Check whether this agent was taken out of service or is about to stop."""
        zone = self.instance.availability_zone
        if self.view.is_out_of_service(self.instance.id, zone):
            zone_out = zone in self.view.operations.zones_out
            return Reason.ZONE_OUT if zone_out else Reason.INSTANCE_OUT
        if self.is_stopping() or self.view.is_leaving(self.instance.id):
            return Reason.LEAVING
        return None

    def check_target(self, request: attempts.AttemptRequest) -> Reason | None:
        """Check whether the attempt is addressed to this incarnation and service."""
        same = (request.agent_id, request.agent_incarnation, request.call.service) == (
            self.instance.id,
            self.incarnation,
            self.service_name,
        )
        return None if same else Reason.WRONG_INCARNATION

    def pull_from_sender(self, request: attempts.AttemptRequest) -> None:
        """Pull the configuration or operations state if the sender has a newer version."""
        newer = (
            request.config_version > self.config_version
            or request.operations_version > self.view.operations.version
        )
        if newer:
            self.view.pull_newer_versions(
                request.config_version, request.operations_version, request.entry_peer_address
            )

    def check_operation_definition(self, request: attempts.AttemptRequest) -> Reason | None:
        """Check that the entry routed the call with the same definition of its operation.

        Configuration versions may differ, because most changes do not affect the call. Requiring
        equal versions would refuse attempts in the whole fleet until a change has spread.
        Operations versions are not compared either: the agent's own operations state has been
        checked, and an entry with a newer state has checked this agent against it.
        """
        service = self.service
        operation = find_operation(service, request.call.operation) if service else None
        same = (
            service is not None
            and operation is not None
            and configuration_models.call_digest(service, operation) == request.call_digest
        )
        if request.config_version > self.config_version:
            return None if same else Reason.NEWER_CONFIGURATION
        if request.config_version < self.config_version:
            in_grace_period = time.monotonic() < self.superseded_deadline
            return None if same and in_grace_period else Reason.OLDER_CONFIGURATION
        if operation is None:
            return Reason.NO_CONFIGURATION
        # The entry routed the call before it received the configuration that it now reports.
        return None if same else Reason.OLDER_CONFIGURATION


def find_operation(
    service: configuration_models.Service, name: str
) -> configuration_models.Operation | None:
    """Return the operation with the given name, None if the service has none."""
    for operation in service.operations:
        if operation.name == name:
            return operation
    return None
