"""``masticward explain-placement``: where a gateway would send a request now, and why."""

import asyncio
import pathlib
import typing

import msgspec
import typer

from masticward import errors
from masticward.cli import base
from masticward.protocol import placement_explanations as messages
from masticward.transport import http1
from masticward.utils import addresses, clocks

NO_EXPLANATION = "gives no explanation: no peer port of a gateway, or an older version"


class ExplainPlacementCommand(base.Command):
    """Asks one gateway where it would send a request."""

    def __init__(
        self, options: base.Options, address: tuple[str, int], query: messages.Query
    ) -> None:
        super().__init__(options)
        self.address = address
        self.query = query

    async def execute(self, deadline: float) -> base.Report:
        """Return the gateway's explanation. Raises PlacementExplanationError."""
        self.stage = "asking the gateway"
        explanation = await fetch_explanation(self.address, self.query, deadline)
        return base.Report(lines=explain_lines(explanation), data=msgspec.to_builtins(explanation))


async def fetch_explanation(
    address: tuple[str, int], query: messages.Query, deadline: float
) -> messages.Explanation:
    """Ask a gateway by a monotonic deadline; raise PlacementExplanationError if that fails."""
    name = f"{address[0]}:{address[1]}"
    channel = None
    try:
        channel = await http1.connect(address, clocks.remaining_seconds(deadline))
        async with asyncio.timeout(clocks.remaining_seconds(deadline)):
            body = msgspec.json.encode(query)
            exchange = http1.Exchange(channel)
            headers = [
                (b"Host", name.encode()),
                (b"Content-Type", b"application/json"),
                (b"Content-Length", str(len(body)).encode()),
            ]
            await exchange.send(b"POST", messages.PATH, headers, body)
            response = await exchange.read_head()
            answer = await exchange.read_body()
        if response.status == 200:
            return msgspec.json.decode(answer, type=messages.Explanation)
        failure = msgspec.json.decode(answer, type=messages.Failure)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.PlacementExplanationError(f"{name} {NO_EXPLANATION}") from error
    except (TimeoutError, errors.EndpointError) as error:
        raise errors.PlacementExplanationError(
            f"the gateway cannot be reached: {str(error) or 'no answer in time'}"
        ) from error
    finally:
        if channel is not None:
            channel.abort()
    raise errors.PlacementExplanationError(f"{name}: {failure.error}")


def explain_lines(explanation: messages.Explanation) -> list[str]:
    """Return an explanation as text."""
    lines = [
        f"gateway {explanation.gateway} in {explanation.zone}, configuration"
        f" {explanation.configuration_version} proven {explanation.proof_age_seconds:.1f} s ago,"
        f" {explanation.live_gateways} live gateways, {explanation.time}"
    ]
    if explanation.route:
        excess = explanation.team_excess
        share = f"{excess:.2f} times its fair share" if excess else "within its fair share"
        lines.append(
            f"route {explanation.route}, service {explanation.service}"
            f" ({explanation.service_share:.0%} of the route),"
            f" team {explanation.team or '-'} ({share});"
            f" {explanation.prompt_tokens} prompt tokens, {explanation.output_tokens} output tokens"
        )
    lines += outcome_lines(explanation)
    lines += [
        f"part {item.part} is {item.state}"
        + (f" for {item.seconds:.1f} s" if item.state == "quarantined" else "")
        for item in explanation.restricted_parts
    ]
    if explanation.shared_tokens:
        lines.append(
            f"shared part of {explanation.shared_tokens} tokens; recomputing it counts"
            f" {explanation.recompute_weight:.2f} times"
        )
    if explanation.prefill_window_seconds:
        window_ms = milliseconds(explanation.prefill_window_seconds)
        lines.append(f"engines take the request up to a prefill backlog of {window_ms} ms")
    if explanation.sample_size:
        lines.append(
            f"the gateway compares {explanation.sample_size} of the compared endpoints at random;"
            " all are shown, and the choice is the cheapest of all"
        )
    lines += [candidate_line(item) for item in explanation.candidates]
    lines += [
        f"excluded {item.endpoint_id} in {item.zone}: {'; '.join(item.reasons)}"
        for item in explanation.excluded
    ]
    return lines


def outcome_lines(explanation: messages.Explanation) -> list[str]:
    """Return what would happen to the request."""
    queue = (
        f"{explanation.waiting} requests wait, {explanation.place} of them before this one with"
        f" {explanation.tokens_ahead} tokens, expected wait"
        f" {milliseconds(explanation.expected_wait_seconds)} ms"
    )
    if explanation.opens_in_seconds:
        queue += f"; endpoints want requests in {explanation.opens_in_seconds:.2f} s"
    refusal = explanation.refusal
    if refusal is not None:
        retry = refusal.retry_after_seconds
        after = "none" if retry is None else f"about {retry:.2f} s"
        return [f"refused: {refusal.status} {refusal.reason}, Retry-After {after}", queue]
    if explanation.outcome == "sent":
        return [f"sent to {explanation.endpoint_id} at once", queue]
    if explanation.held_back:
        return ["waits: a part of the prompt is suspected, and tested by one request", queue]
    return ["waits: no endpoint takes it now", queue]


def candidate_line(item: messages.Candidate) -> str:
    """Return a candidate as a line."""
    age, speed_age = item.peer_load_age_seconds, item.time_factor_age_seconds
    facts = [
        f"{item.requests}/{item.slots} requests",
        f"{item.unread_tokens} unread and {item.memory_tokens} held tokens"
        + ("" if age is None else f" (peers' {milliseconds(age)} ms old)"),
        f"time factor {item.time_factor:.2f}"
        + (" (not reported)" if speed_age is None else f" ({milliseconds(speed_age)} ms old)"),
        f"slowness {item.slowness:.2f}",
        f"failures {item.failure_ratio:.0%}",
    ]
    if item.cached_tokens is not None:
        facts.append(f"{item.cached_tokens} tokens cached")
    if item.owner_rank is not None:
        facts.append(f"owner rank {item.owner_rank}")
    if item.cold_seconds:
        facts.append(f"cold for {item.cold_seconds:.1f} s")
    if item.missing_seconds is not None:
        facts.append(f"missing, dropped in {item.missing_seconds:.1f} s")
    cost = item.cost
    if cost is None:
        verdict = f"not compared: {item.not_compared}"
    else:
        terms = {
            "work": cost.work_seconds,
            "failures": cost.failure_seconds,
            "recomputing": cost.recompute_seconds,
            "rank": cost.rank_seconds,
            "zone": cost.zone_seconds,
        }
        shown = [f"{name} {milliseconds(value)}" for name, value in terms.items() if value]
        verdict = f"cost {milliseconds(cost.cost_seconds)} ms ({', '.join(shown)})"
        verdict += "" if item.has_capacity else ", full"
    return f"candidate {item.endpoint_id} in {item.zone}: {verdict}; {', '.join(facts)}"


def milliseconds(seconds: float) -> str:
    """Return seconds as a number of milliseconds."""
    return f"{seconds * clocks.MILLISECONDS_PER_SECOND:.0f}"


def parse_part(text: str) -> tuple[str, int]:
    """Return ID and tokens of a part of a prompt given as ID:TOKENS."""
    name, _, tokens = text.partition(":")
    if not name or not tokens.isdecimal():
        raise typer.BadParameter(f"{text!r} is not ID:TOKENS")
    return name, int(tokens)


def parse_address(text: str) -> tuple[str, int]:
    """Return the parts of an address given as IP:PORT."""
    try:
        return addresses.split(text)
    except ValueError as error:
        raise typer.BadParameter(f"{text!r} is not IP:PORT") from error


def read_request(path: pathlib.Path) -> messages.Query:
    """Return a saved request: its method line and headers, and nothing after an empty line."""
    try:
        head = path.read_text(encoding="latin-1").replace("\r\n", "\n").split("\n\n")[0]
    except OSError as error:
        raise typer.BadParameter(f"{path}: {error.strerror}") from error
    first, *rest = head.strip().split("\n")
    words = first.split(" ")
    headers = [line.partition(":") for line in rest]
    if len(words) not in (2, 3) or any(not colon for _, colon, _ in headers):
        raise typer.BadParameter(f"{path} has no method line and headers")
    return messages.Query(
        method=words[0],
        target=words[1],
        headers=tuple((name.strip(), value.strip()) for name, _, value in headers),
    )


@base.takes_options("deadline_seconds", "json")
def explain_placement(
    options: base.Options,
    gateway: typing.Annotated[str, typer.Argument(help="IP:PORT of the gateway's peer port.")],
    route: typing.Annotated[str, typer.Option("--route", help="Name of the route.")] = "",
    host: typing.Annotated[str, typer.Option("--host", help="Host, in place of a route.")] = "",
    path: typing.Annotated[str, typer.Option("--path", help="Path at the host.")] = "",
    team: typing.Annotated[str, typer.Option("--team", help="Team of the request.")] = "",
    part: typing.Annotated[
        list[str] | None,
        typer.Option("--part", help="Part of the prompt as ID:TOKENS, repeated in order."),
    ] = None,
    prompt_tokens: typing.Annotated[
        int | None,
        typer.Option("--prompt-tokens", min=0, help="Tokens of the prompt if not of its parts."),
    ] = None,
    output_tokens: typing.Annotated[
        int, typer.Option("--output-tokens", min=0, help="Most tokens of the answer.")
    ] = 0,
    request_id: typing.Annotated[
        str, typer.Option("--request-id", help="ID that decides on the service of a split route.")
    ] = "",
    request: typing.Annotated[
        pathlib.Path | None,
        typer.Option("--request", help="File with method line and headers of a request."),
    ] = None,
) -> None:
    """Show where a gateway would send a request now, and why, without sending it.

    Example: masticward explain-placement 10.0.0.5:7400 --route chat --team planning
    """
    if sum((bool(route), bool(host and path), request is not None)) != 1:
        raise typer.BadParameter("give --route, or --host and --path, or --request")
    if request is not None:
        query = read_request(request)
    else:
        query = messages.Query(
            route=route,
            host=host,
            path=path,
            team=team,
            parts=tuple(parse_part(item) for item in part or ()),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            request_id=request_id,
        )
    ExplainPlacementCommand(options, parse_address(gateway), query).run()


def register(app: typer.Typer) -> None:
    """Add the command to the program."""
    app.command(name="explain-placement")(explain_placement)
