"""Why an agent must not start a call. Every reason means that the call has not run."""

import collections.abc
import time

from masticward.coordination import fleet_view
from masticward.models import attempts, membership, work
from masticward.models import configuration as configuration_models

Reason = work.RefusalReason
# An entry that still has an earlier configuration so long after this agent has a newer one is cut
# off; 8 s is the time within which a configuration is in force everywhere.
SUPERSEDED_SECONDS = 4.0


class AdmissionChecks:
    """The checks of one agent incarnation that depend on its view, not on its load.

    ``is_endpoint_leaving`` tells whether the endpoint or the agent itself is about to stop.
    """

    __slots__ = (
        "incarnation",
        "instance",
        "is_endpoint_leaving",
        "noted_version",
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
        is_endpoint_leaving: collections.abc.Callable[[], bool],
    ) -> None:
        self.view = view
        self.instance = instance
        self.incarnation = incarnation
        self.service_name = service_name
        self.is_endpoint_leaving = is_endpoint_leaving
        self.noted_version = self.config_version
        # Until then attempts of entries with an earlier configuration may be admitted.
        self.superseded_deadline = 0.0

    def note_view(self, now: float) -> None:
        """Note when a newer configuration arrives; call this after each change of the view."""
        if self.config_version != self.noted_version:
            self.noted_version = self.config_version
            self.superseded_deadline = now + SUPERSEDED_SECONDS

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
            self.check_target(request)
            or self.on_start(request.call.deadline)
            or self.check_definition(request)
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
        if self.view.is_out_of_service(self.instance.id, zone):
            zone_out = zone in self.view.operations.zones_out
            return Reason.ZONE_OUT if zone_out else Reason.INSTANCE_OUT
        if self.is_endpoint_leaving() or self.view.is_leaving(self.instance.id):
            return Reason.LEAVING
        return None

    def check_target(self, request: attempts.AttemptRequest) -> Reason | None:
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
            self.view.pull_newer_versions(
                request.config_version, request.operations_version, request.entry_peer_address
            )

    def check_definition(self, request: attempts.AttemptRequest) -> Reason | None:
        """Check that the entry routed the call by the same definition of its operation.

        Versions may differ, because most changes do not concern the call: to require the same one
        would refuse attempts in the whole fleet until a change has spread. Operations versions are
        not compared either. The agent's own state has been checked, and an entry with a newer one
        has checked this agent against that.
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
            in_time = time.monotonic() < self.superseded_deadline
            return None if same and in_time else Reason.OLDER_CONFIGURATION
        if operation is None:
            return Reason.NO_CONFIGURATION
        # The entry has this configuration now but routed the call by an earlier one.
        return None if same else Reason.OLDER_CONFIGURATION


def find_operation(
    service: configuration_models.Service, name: str
) -> configuration_models.Operation | None:
    """Return the named operation of a service."""
    for operation in service.operations:
        if operation.name == name:
            return operation
    return None
