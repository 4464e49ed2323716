"""``masticward status`` and ``masticward explain``: ask the processes of the fleet."""

import asyncio
import typing

import typer

from masticward.cli import base, exit_codes
from masticward.models import membership
from masticward.transport import admin_client
from masticward.transport import instance_list as instance_list_module

NEWEST_TEAMS = 16


class StatusCommand(base.PlatformCommand):
    """Reads the instance list and asks every process for its state."""

    async def work(self, deadline: float) -> base.Report:
        """Ask all processes at once; one that does not answer is reported as silent."""
        self.stage = "asking every process for its state"
        instances = await read_instances(self.instance_list, deadline)
        answers = await ask_all(instances, "/status", deadline)
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


class ExplainCommand(base.PlatformCommand):
    """Asks every entry for the record of one request."""

    def __init__(self, options: base.Options, request_id: str) -> None:
        super().__init__(options)
        self.request_id = request_id

    async def work(self, deadline: float) -> base.Report:
        """Return the record from the entry that has it."""
        self.stage = "asking every entry for the request"
        instances = [
            instance
            for instance in await read_instances(self.instance_list, deadline)
            if instance.role is membership.Role.ENTRY
        ]
        answers = await ask_all(instances, f"/explain/{self.request_id}", deadline)
        for instance, answer in zip(instances, answers, strict=True):
            if answer is not None and "team" in answer:
                return base.Report(
                    lines=explain_lines(instance.id, answer), data={"entry": instance.id, **answer}
                )
        silent = sum(1 for answer in answers if answer is None)
        message = (
            f"no entry has a record of request {self.request_id!r}"
            f" ({len(instances)} asked, {silent} did not answer); records are kept in memory only"
        )
        return base.Report(lines=[message], data={"error": message}, exit_code=exit_codes.FAILURE)


async def read_instances(
    instance_list: instance_list_module.InstanceList, deadline: float
) -> list[membership.Instance]:
    """Return the listed instances in a stable order. Raises InstanceListError."""
    instances = base.value_or_raise(await instance_list.fetch(deadline))
    return sorted(instances, key=lambda instance: (instance.role, instance.service, instance.id))


async def ask_all(
    instances: list[membership.Instance], path: str, deadline: float
) -> list[dict[str, typing.Any] | None]:
    """Return each process's answer, None for one that did not answer."""
    async with admin_client.AdminClient() as client:
        answers = await asyncio.gather(
            *(
                client.get(instance.admin_address, path, dict[str, typing.Any], deadline)
                for instance in instances
            )
        )
    return [answer.value_or(None) for answer in answers]


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


def explain_lines(entry_id: str, record: dict[str, typing.Any]) -> list[str]:
    """Return the record of a request as text."""
    lines = [
        f"request {record['request_id']} at {entry_id}: team {record['team']},"
        f" {record['service']}/{record['operation']}",
        f"queued {record['queue_ms']:.1f} ms, {record['total_ms']:.1f} ms in all,"
        f" outcome {record['outcome'] or 'still held'} ({record['detail'] or '-'})",
    ]
    for number, attempt in enumerate(record["attempts"], start=1):
        lines.append(
            f"attempt {number}: {attempt['agent_id']} in {attempt['availability_zone']},"
            f" dispatched by {attempt['dispatcher_id'] or 'unknown'} at virtual time"
            f" {attempt['virtual_time']:.1f} after {attempt['queue_ms']:.1f} ms,"
            f" because {attempt['reason_chosen']}; {attempt['result'] or 'running'}"
        )
    if record["refusals"]:
        lines.append(f"refusals: {', '.join(record['refusals'])}")
    return lines


@base.takes_options(*base.FLEET_OPTIONS)
def status(options: base.Options) -> None:
    """Show every process: versions, admission states, queues and dispatchers.

    Example: masticward status --instance-list http://10.0.0.5:7200
    """
    StatusCommand(options).run()


@base.takes_options(*base.FLEET_OPTIONS)
def explain(
    options: base.Options,
    request_id: typing.Annotated[str, typer.Argument(help="Value of Masticward-Request-Id.")],
) -> None:
    """Tell how one recent request fared: queue time, attempts, refusals, outcome.

    Example: masticward explain 3fJ0k2 --instance-list http://10.0.0.5:7200
    """
    ExplainCommand(options, request_id).run()


def register(app: typer.Typer) -> None:
    """Add the commands."""
    app.command()(status)
    app.command()(explain)
