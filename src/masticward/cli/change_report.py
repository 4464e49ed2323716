"""The report of a command that changed something, with the wait for its rollout."""

from masticward.cli import base, exit_codes
from masticward.publishing import change, rollout


async def report_change(
    command: base.PlatformCommand,
    accepted: change.Accepted,
    what: str,
    wait: bool,
    versions: tuple[int, int],
    deadline: float,
) -> base.Report:
    """Report a change and, with ``wait``, in which processes its ``versions`` are in force.

    ``versions`` are the configuration and the operations version to wait for; 0 waits for none.
    """
    state = "accepted" if accepted.changed else "already so, nothing changed"
    lines = [f"{what}: {state}, version {accepted.version}"]
    lines += [f"  {line}" for line in accepted.changes]
    data: dict[str, object] = {
        "version": accepted.version,
        "changed": accepted.changed,
        "changes": list(accepted.changes),
    }
    if not wait:
        return base.Report(lines=lines, data=data)
    command.stage = f"waiting until version {accepted.version} is in force"
    outcome = await rollout.wait_in_force(command.instance_list, *versions, deadline)
    data["in_force"] = sorted(outcome.in_force)
    data["missing"] = outcome.missing
    if outcome.complete:
        lines.append(f"in force in all {len(outcome.in_force)} processes")
        return base.Report(lines=lines, data=data)
    lines.append(f"accepted, but not seen in force in {len(outcome.missing)} places:")
    lines += [f"  {name}: {reason}" for name, reason in sorted(outcome.missing.items())]
    return base.Report(lines=lines, data=data, exit_code=exit_codes.OUTCOME_UNKNOWN)
