"""Describes what differs between two configurations, in short lines for people."""

import msgspec

from masticward.models import configuration as configuration_models

# Audit entries are kept in the manifest, so their size is bounded.
MAXIMUM_AUDIT_LINES = 20


def describe(
    before: configuration_models.Configuration | None,
    after: configuration_models.Configuration,
) -> list[str]:
    """Return one line for each difference. Credentials are not shown."""
    old = before or configuration_models.Configuration(
        version=0, availability_zones=(), services=(), teams=()
    )
    lines = [
        f"availability zone {zone} added"
        for zone in after.availability_zones
        if zone not in old.availability_zones
    ]
    lines += [
        f"availability zone {zone} removed"
        for zone in old.availability_zones
        if zone not in after.availability_zones
    ]
    lines += describe_named("service", old.services, after.services)
    lines += describe_named("team", old.teams, after.teams)
    if not lines and old.availability_zones != after.availability_zones:
        lines.append("order of availability zones changed")
    return lines


def describe_named(
    kind: str,
    before: tuple[configuration_models.Service | configuration_models.Team, ...],
    after: tuple[configuration_models.Service | configuration_models.Team, ...],
) -> list[str]:
    """Return the differences of services or teams, matched by name."""
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    lines = [f"{kind} {name} added" for name in sorted(new.keys() - old.keys())]
    lines += [f"{kind} {name} removed" for name in sorted(old.keys() - new.keys())]
    for name in sorted(old.keys() & new.keys()):
        if old[name] != new[name]:
            lines.append(f"{kind} {name}: {describe_fields(old[name], new[name])}")
    return lines


def describe_fields(
    before: configuration_models.Service | configuration_models.Team,
    after: configuration_models.Service | configuration_models.Team,
) -> str:
    """Return the changed fields of one service or team."""
    parts = []
    for field in msgspec.structs.fields(type(after)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new:
            continue
        if field.name == "credential_digests":
            parts.append("credentials changed")
        elif field.name == "operations":
            parts.append(describe_operations(old, new))
        else:
            parts.append(f"{field.name} {old} -> {new}")
    return ", ".join(parts)


def describe_operations(
    before: tuple[configuration_models.Operation, ...],
    after: tuple[configuration_models.Operation, ...],
) -> str:
    """Return which operations of a service differ."""
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    parts = [f"+{name}" for name in sorted(new.keys() - old.keys())]
    parts += [f"-{name}" for name in sorted(old.keys() - new.keys())]
    parts += [f"~{name}" for name in sorted(old.keys() & new.keys()) if old[name] != new[name]]
    return f"operations {' '.join(parts) or 'reordered'}"


def shorten(lines: list[str]) -> tuple[str, ...]:
    """Return the lines as an audit entry keeps them."""
    if len(lines) <= MAXIMUM_AUDIT_LINES:
        return tuple(lines)
    kept = lines[: MAXIMUM_AUDIT_LINES - 1]
    return (*kept, f"and {len(lines) - len(kept)} more changes")
