"""Takes availability zones and instances out of service and brings them back."""

import msgspec
from returns import result

from masticward import errors
from masticward.models import configuration as configuration_models
from masticward.models import membership, objects
from masticward.publishing import change, publisher
from masticward.transport import instance_list as instance_list_module
from masticward.transport import object_api

EMPTY_OPERATIONS = configuration_models.OperationsState(version=0)

ChangeResult = result.Result[change.Accepted, errors.PublishingError]


class OperationsChange:
    """Changes the operations state for one operator.

    Every change is conditional on the state that it was checked against; an operator whose change
    loses a race gets ChangeConflictError with the other's audit entry. Deadlines are monotonic
    seconds. The errors are those of ``change.Change.commit``.
    """

    __slots__ = ("instance_list", "operator", "store")

    def __init__(
        self,
        store: object_api.ObjectStore,
        instance_list: instance_list_module.InstanceList,
        operator: str,
    ) -> None:
        self.store = store
        self.instance_list = instance_list
        self.operator = operator

    async def take_out_zone(self, zone: str, force: bool, deadline: float) -> ChangeResult:
        """Take a zone out of service.

        ChangeRefusedError if the zone is unknown, or if a service would lose its last zone and
        ``force`` is not given.
        """
        return await self.move(zone, "zone", True, force, deadline)

    async def bring_in_zone(self, zone: str, deadline: float) -> ChangeResult:
        """Bring a zone back into service."""
        return await self.move(zone, "zone", False, False, deadline)

    async def take_out_instance(
        self, instance_id: str, force: bool, deadline: float
    ) -> ChangeResult:
        """Take an instance out of service; refused as for a zone."""
        return await self.move(instance_id, "instance", True, force, deadline)

    async def bring_in_instance(self, instance_id: str, deadline: float) -> ChangeResult:
        """Bring an instance back into service."""
        return await self.move(instance_id, "instance", False, False, deadline)

    async def move(
        self, target: str, kind: str, out: bool, force: bool, deadline: float
    ) -> ChangeResult:
        """Take a zone or instance out or bring it in."""
        read = await change.read_current(self.store, objects.OPERATIONS, EMPTY_OPERATIONS, deadline)
        if isinstance(read, result.Failure):
            return result.Failure(read.failure())
        current = read.unwrap()
        wanted = with_target(current.document, target, kind, out)
        if wanted == current.document:
            return result.Success(
                change.Accepted(
                    version=current.document.version,
                    changed=False,
                    document=msgspec.json.encode(current.document),
                )
            )
        if out:
            refusal = await self.check_out(current.document, wanted, target, kind, force, deadline)
            if refusal is not None:
                return result.Failure(refusal)
        direction = "out" if out else "in"
        entry = change.new_entry(
            self.operator,
            f"{kind} {direction}",
            current.document.version,
            (f"{kind} {target} {direction}{' (forced)' if force else ''}",),
        )
        document = msgspec.structs.replace(
            wanted, version=entry.to_version, audit=(*wanted.audit, entry)
        )
        return await change.Change(
            self.store, objects.OPERATIONS, EMPTY_OPERATIONS, document, current.stored_version
        ).commit(deadline)

    async def check_out(
        self,
        before: configuration_models.OperationsState,
        after: configuration_models.OperationsState,
        target: str,
        kind: str,
        force: bool,
        deadline: float,
    ) -> errors.PublishingError | None:
        """Return why taking the target out is refused, None if it is allowed."""
        if kind == "zone":
            refusal = await self.check_zone(after, target, force, deadline)
            if refusal is not None:
                return refusal
        if force:
            return None
        answer = await self.instance_list.fetch(change.call_deadline(deadline))
        if isinstance(answer, result.Failure):
            return errors.ChangeRefusedError(
                f"the instance list could not be read ({answer.failure()}), so it is not known"
                " which services would lose their last endpoint; use --force to go on"
            )
        instances = answer.unwrap()
        if kind == "instance" and target not in {instance.id for instance in instances}:
            return errors.ChangeRefusedError(
                f"instance {target!r} is not listed; check the id or use --force"
            )
        lost = sorted(serving(instances, before) - serving(instances, after))
        if lost:
            return errors.ChangeRefusedError(
                f"{kind} {target!r} is the last one in service for: {', '.join(lost)};"
                " use --force to take it out nevertheless"
            )
        return None

    async def check_zone(
        self,
        after: configuration_models.OperationsState,
        zone: str,
        force: bool,
        deadline: float,
    ) -> errors.PublishingError | None:
        """Return why a zone may not be taken out according to the configuration."""
        read = await change.read_current(
            self.store, objects.MANIFEST, publisher.EMPTY_MANIFEST, deadline
        )
        if isinstance(read, result.Failure):
            return errors.ChangeNotMadeError(str(read.failure()))
        zones = read.unwrap().document.availability_zones
        if zone not in zones:
            return errors.ChangeRefusedError(
                f"availability zone {zone!r} is not configured; known: {', '.join(zones) or 'none'}"
            )
        if not force and all(known in after.zones_out for known in zones):
            return errors.ChangeRefusedError(
                f"zone {zone!r} is the last one in service; use --force to take it out nevertheless"
            )
        return None


def with_target(
    state: configuration_models.OperationsState, target: str, kind: str, out: bool
) -> configuration_models.OperationsState:
    """Return the state with a zone or instance out or in, of the same version."""
    before = state.zones_out if kind == "zone" else state.instances_out
    names = set(before) | {target} if out else set(before) - {target}
    if names == set(before):
        return state
    after = tuple(sorted(names))
    if kind == "zone":
        return msgspec.structs.replace(state, zones_out=after)
    return msgspec.structs.replace(state, instances_out=after)


def serving(
    instances: list[membership.Instance], state: configuration_models.OperationsState
) -> set[str]:
    """Return the services that have an agent in service."""
    return {
        instance.service
        for instance in instances
        if instance.role is membership.Role.AGENT
        and not instance.leaving
        and instance.availability_zone not in state.zones_out
        and instance.id not in state.instances_out
    }
