"""``masticward status``: the state of every process of the fleet."""

import typing

import typer

from masticward.cli import base, fleet_queries
from masticward.models import membership

NEWEST_TEAMS = 16


class StatusCommand(base.PlatformCommand):
    """Reads the instance list and asks every process for its state."""

    async def work(self, deadline: float) -> base.Report:
        """Ask all processes at once; one that does not answer is reported as silent."""
        self.stage = "asking every process for its state"
        instances = await fleet_queries.read_instances(self.instance_list, deadline)
        answers = await fleet_queries.ask_all(instances, "/status", deadline)
        data = {
            "instances": [
                {
                    "id": instance.id,
                    "role": instance.role.value,
                    "service": instance.service,
                    "availability_zone": instance.availability_zone,
                    "leaving": instance.leaving,
                    "status": answer,
                }
                for instance, answer in zip(instances, answers, strict=True)
            ]
        }
        return base.Report(lines=status_lines(instances, answers), data=data)


def status_lines(
    instances: list[membership.Instance], answers: list[dict[str, typing.Any] | None]
) -> list[str]:
    """Return the state of the fleet as text."""
    newest_config = max((int(answer["config_version"]) for answer in answers if answer), default=0)
    newest_operations = max(
        (int(answer["operations_version"]) for answer in answers if answer), default=0
    )
    lines = [f"configuration version {newest_config}, operations version {newest_operations}"]
    lines += zone_lines(answers, newest_operations)
    for instance, answer in zip(instances, answers, strict=True):
        lines.append(instance_line(instance, answer, newest_config, newest_operations))
    for answer in answers:
        lines += dispatch_lines(answer) if answer else []
    return lines


def zone_lines(answers: list[dict[str, typing.Any] | None], newest_operations: int) -> list[str]:
    """Return the zones and instances that are out, from a process with the newest version."""
    for answer in answers:
        if answer and answer["operations_version"] == newest_operations:
            zones, instances = answer["zones_out"], answer["instances_out"]
            return [
                f"availability zones out: {', '.join(zones) or 'none'};"
                f" instances out: {', '.join(instances) or 'none'}"
            ]
    return []


def instance_line(
    instance: membership.Instance,
    answer: dict[str, typing.Any] | None,
    newest_config: int,
    newest_operations: int,
) -> str:
    """Return one process as a line."""
    head = f"{instance.role.value:6} {instance.id:20} {instance.availability_zone:14}"
    if answer is None:
        return f"{head} does not answer"
    notes = ["leaving"] if instance.leaving or answer["stopping"] else []
    if answer["config_version"] < newest_config or answer["operations_version"] < newest_operations:
        notes.append(
            f"lags: configuration {answer['config_version']},"
            f" operations {answer['operations_version']}"
        )
    if "endpoint" in answer:
        figures = answer["endpoint"]
        notes.insert(
            0,
            f"{instance.service} {figures['state']} {figures['running']}/{figures['limit']}"
            f" running, {figures['staged']} staged" + (", out" if figures["out"] else ""),
        )
    else:
        figures = answer["requests"]
        notes.insert(0, f"{figures['held']} held, {figures['queued']} queued")
    return f"{head} {'; '.join(notes)}"


def dispatch_lines(answer: dict[str, typing.Any]) -> list[str]:
    """Return the dispatcher's figures of one agent, if entries use it."""
    figures = answer.get("dispatch")
    if not figures or not figures.get("entries"):
        return []
    head = (
        f"dispatcher of {answer['service']}: {answer['instance_id']},"
        f" {figures['waiting']} waiting, {figures['free_slots']} free slots"
    )
    teams = list(figures["teams"].items())[:NEWEST_TEAMS]
    return [head, *(team_line(name, team) for name, team in teams)]


def team_line(name: str, team: dict[str, typing.Any]) -> str:
    """Return one team's figures at a dispatcher."""
    return (
        f"  {name:20} waiting {team['waiting']:6}  served {team['served']:14.1f}"
        f"  virtual time {team['virtual_time']:14.1f}"
    )


@base.takes_options(*base.FLEET_OPTIONS)
def status(options: base.Options) -> None:
    """Show every process: versions, admission states, queues and dispatchers.

    Example: masticward status --instance-list http://10.0.0.5:7200
    """
    StatusCommand(options).run()


def register(app: typer.Typer) -> None:
    """Add the command to the program."""
    app.command()(status)
