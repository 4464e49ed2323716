"""``masticward explain``: what happened to one recent request."""

import typing

import typer

from masticward.cli import base, exit_codes, fleet_queries
from masticward.models import membership


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
            for instance in await fleet_queries.read_instances(self.instance_list, deadline)
            if instance.role is membership.Role.ENTRY
        ]
        answers = await fleet_queries.ask_all(instances, f"/explain/{self.request_id}", deadline)
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
def explain(
    options: base.Options,
    request_id: typing.Annotated[str, typer.Argument(help="Value of Masticward-Request-Id.")],
) -> None:
    """Show what happened to one recent request: queue time, attempts, refusals, outcome.

    Example: masticward explain 3fJ0k2 --instance-list http://10.0.0.5:7200
    """
    ExplainCommand(options, request_id).run()


def register(app: typer.Typer) -> None:
    """Add the command to the program."""
    app.command()(explain)
