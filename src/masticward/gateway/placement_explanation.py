"""Explains to operators where a request would go now, and why, without sending it."""

import datetime

import msgspec

from masticward import errors, events, logs
from masticward.gateway import dry_run, front, placement_report, request_path, sources
from masticward.models import gateway
from masticward.protocol import placement_explanations as messages
from masticward.utils import clocks

# An explanation costs about as much as one scan of the queue.
MIN_INTERVAL_SECONDS = 0.25
# The ID decides on the service of routes with several; a fixed one repeats the same answer.
DEFAULT_REQUEST_ID = "explain-placement"
LOGGER = logs.get_logger(__name__)


class Explainer:
    """Answers queries for explanations. It changes no state of the gateway."""

    def __init__(self, handler: front.ClientRequestHandler) -> None:
        self.handler = handler
        self.fleet = handler.fleet
        self.placer = handler.dependencies.placer
        self.codec: sources.RequestCodec = handler.dependencies.codec
        self.next_answer_at = 0.0

    def answer(self, body: bytes) -> tuple[int, bytes]:
        """Return status and body of the answer to an encoded query."""
        now = clocks.boot_time()
        if now < self.next_answer_at:
            limit = f"a gateway gives at most {1.0 / MIN_INTERVAL_SECONDS:.0f} a second"
            return 429, encode_failure(f"too many explanations: {limit}; try again")
        self.next_answer_at = now + MIN_INTERVAL_SECONDS
        try:
            query = msgspec.json.decode(body, type=messages.Query)
            return 200, msgspec.json.encode(self.explain(query, now))
        except (msgspec.DecodeError, RecursionError) as error:
            return 400, encode_failure(f"the query cannot be read: {error}")
        except errors.BadRequestError as error:
            return 400, encode_failure(f"the gateway would answer 400: {error}")
        except errors.PlacementExplanationError as error:
            return 404, encode_failure(str(error))
        except Exception as error:
            LOGGER.log(events.Event.TASK_FAILED, task="explain placement", error=f"{error!r}")
            return 500, encode_failure("internal error; the gateway's log has it")

    def explain(self, query: messages.Query, now: float) -> messages.Explanation:
        """Return what would happen to a request that arrives now.

        Raise PlacementExplanationError without a route, a team or a configuration.
        """
        fleet = dry_run.copy_fleet(self.fleet)
        handler = dry_run.DryFront(self.handler, fleet)
        explanation = messages.Explanation(
            gateway=fleet.settings.instance_id,
            zone=fleet.settings.availability_zone,
            time=datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds"),
            configuration_version=fleet.configuration_version,
            proof_age_seconds=round(fleet.proof_age(now), 3),
            live_gateways=len(fleet.live_gateways),
        )
        if fleet.configuration is None or not fleet.endpoints_known:
            raise errors.PlacementExplanationError("the gateway has no configuration yet")
        metadata = self.build_metadata(query, fleet.configuration, now)
        explanation.prompt_tokens = metadata.prompt_tokens
        explanation.output_tokens = metadata.output_tokens
        try:
            route, team = handler.authorize(metadata)
        except request_path.RefusalError as refusal:
            if refusal.status == 404:
                where = f"{metadata.host}{metadata.path}"
                raise errors.PlacementExplanationError(f"no route for {where}") from None
            if refusal.status == 401:
                raise errors.PlacementExplanationError(
                    "the gateway would answer 401: the request's API key is of no team"
                    if query.method or query.team
                    else "the route needs a team"
                ) from None
            explanation.outcome = "refused"
            explanation.refusal = describe_refusal(refusal)
            return explanation
        if query.route and route.name != query.route:
            raise errors.PlacementExplanationError(
                f"requests of route {query.route} are taken by route {route.name}"
            )
        explanation.route = route.name
        explanation.team = team or ""
        service = request_path.choose_service(route, metadata.request_id)
        explanation.service = service
        total = sum(share.weight for share in route.shares)
        explanation.service_share = next(
            share.weight / total for share in route.shares if share.service == service
        )
        request = request_path.build_waiting_request(
            metadata, route, service, team, request_path.find_response_deadline(metadata, route)
        )
        dry_placer = dry_run.DryPlacer(self.placer, fleet, request, now)
        placement_report.PlacementReport(dry_placer, explanation).fill()
        try:
            handler.require_time_to_finish(metadata, route)
            handler.shed_load(metadata, route)
        except request_path.RefusalError as refusal:
            explanation.outcome = "refused"
            explanation.refusal = describe_refusal(refusal)
        return explanation

    def build_metadata(
        self, query: messages.Query, configuration: gateway.FleetConfiguration, now: float
    ) -> gateway.RequestMetadata:
        """Return the metadata of the request that a query describes.

        Raise BadRequestError for a saved request that the gateway would not take.
        """
        if query.method:
            headers = [
                (name.encode("latin-1", "replace"), value.encode("latin-1", "replace"))
                for name, value in query.headers
            ]
            target = query.target.encode("latin-1", "replace")
            method = query.method.encode("latin-1", "replace")
            return self.codec.decode_request(method, target, headers, now)
        host, path = query.host.lower(), query.path
        if query.route:
            routes = {route.name: route for route in configuration.routes}
            if query.route not in routes:
                raise errors.PlacementExplanationError(f"unknown route {query.route!r}")
            host, path = routes[query.route].host, routes[query.route].path_prefix
        parts = tuple(gateway.PromptPart(name, tokens) for name, tokens in query.parts)
        prompt_tokens = query.prompt_tokens
        if prompt_tokens is None:
            prompt_tokens = sum(part.tokens for part in parts)
        return gateway.RequestMetadata(
            request_id=query.request_id or DEFAULT_REQUEST_ID,
            method=b"POST",
            target=path.encode("latin-1", "replace"),
            host=host,
            path=path,
            # The route's timeout is shorter.
            deadline=now + max((item.timeout_seconds for item in configuration.routes), default=0),
            api_key=find_key(configuration, query.team),
            prompt_tokens=prompt_tokens,
            output_tokens=query.output_tokens,
            parts=parts,
            last_event_id=None,
            forwarded_headers=(),
            arrived_at=now,
        )


def find_key(configuration: gateway.FleetConfiguration, team: str) -> str | None:
    """Return an API key of a team, None without a team; it serves to decide as for a request.

    Raise PlacementExplanationError if the team has none.
    """
    if not team:
        return None
    keys = configuration.team_of_key or {}
    key = next((key for key, owner in keys.items() if owner == team), None)
    if key is None:
        raise errors.PlacementExplanationError(f"unknown team {team!r}")
    return key


def describe_refusal(refusal: request_path.RefusalError) -> messages.Refusal:
    """Return a refusal by the gateway as a message."""
    return messages.Refusal(
        status=refusal.status,
        reason=refusal.reason,
        retry_after_seconds=refusal.retry_after_seconds,
    )


def encode_failure(text: str) -> bytes:
    """Return an answer without an explanation."""
    return msgspec.json.encode(messages.Failure(text))
