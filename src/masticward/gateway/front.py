"""Handles clients' requests: determines route and team, then forwards or refuses them."""

import asyncio
import collections.abc
import random

from masticward import errors, events, logs
from masticward.gateway import request_path, request_reports
from masticward.models import gateway
from masticward.state import load_shedding
from masticward.transport import http1, http1_server
from masticward.utils import clocks

NO_CONFIGURATION_RETRY_AFTER_SECONDS = 0.5
ERROR_RETRY_AFTER_SECONDS = 0.5
# A retry reaches another gateway, so it need not wait; the spread keeps retries apart.
STOPPING_RETRY_JITTER_SECONDS = 0.2
MIN_PEERS_FOR_RETRY = 0.5
SHED_RETRY_JITTER_SECONDS = 0.4
# A client with little time left should return while its request can still be served.
SHED_RETRY_DEADLINE_FRACTION = 0.5
# Events and causes of requests without a whole answer.
CLIENT_LEFT = (events.Event.CLIENT_LEFT, "client left")
CLIENT_SILENT = (events.Event.CLIENT_SILENT, "client silent")
CUT_BY_STOP = (events.Event.REQUEST_CUT_BY_STOP, "cut by stop")
CUT_BY_RESET = (events.Event.STREAM_CUT, "cut by reset")
BROKEN_OFF = (events.Event.ANSWER_BROKEN_OFF, "cut by error")
ENDS_BY_CONNECTION = {
    http1.ConnectionEnd.NONE: CUT_BY_STOP,
    http1.ConnectionEnd.PEER: CLIENT_LEFT,
    http1.ConnectionEnd.KERNEL: CLIENT_SILENT,
    http1.ConnectionEnd.PROCESS: (events.Event.ANSWER_BROKEN_OFF, "closed here"),
}
LOGGER = logs.get_logger(__name__)


def find_end(connection: http1_server.ServerConnection) -> tuple[events.Event, str, str]:
    """Return event, cause and reason of a request that ends with its connection or the process."""
    protocol = connection.channel.protocol
    if connection.server.aborted or protocol.end is http1.ConnectionEnd.NONE:
        return *CUT_BY_STOP, "the process ended"
    if connection.reset_cause:
        return *CUT_BY_RESET, connection.reset_cause
    return *ENDS_BY_CONNECTION[protocol.end], protocol.end_reason


class ClientRequestHandler(http1_server.RequestHandler):
    """Handles the requests of clients."""

    def __init__(
        self,
        dependencies: request_path.RequestDependencies,
        available_peers: collections.abc.Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.dependencies = dependencies
        self.fleet = dependencies.fleet
        # Returns the fraction of the zone's other gateways that accept all requests.
        self.available_peers = available_peers

    def limits(self) -> gateway.ClientLimits:
        """Return the limits on requests in the configuration in force."""
        configuration = self.fleet.configuration
        return configuration.limits if configuration else gateway.ClientLimits()

    def note_protocol_error(
        self, request: http1_server.Request | None, status: int, detail: str
    ) -> None:
        """Count and log a request that was refused before it was read."""
        self.dependencies.reporter.report_unreadable(request, status, detail)

    def note_unfinished(
        self,
        request: http1_server.Request | None,
        stage: http1_server.Stage,
        reason: str,
        end: http1.ConnectionEnd | None,
    ) -> None:
        """Count and log a request whose connection ended before or after it was handled."""
        event, cause = CUT_BY_STOP if end is None else ENDS_BY_CONNECTION[end]
        self.dependencies.reporter.report_cut(
            event, cause, reason, request_reports.Cut(request, stage)
        )

    async def handle(
        self, request: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        """Handle one request."""
        metadata = None
        request_id = None
        proxied = None
        try:
            metadata = self.dependencies.codec.decode_request(
                request.method, request.target, request.headers, request.arrived_at
            )
            request_id = metadata.request_id
            route, team = self.authorize(metadata)
            self.require_time_to_finish(metadata, route)
            self.shed_load(metadata, route)
            proxied = request_path.ProxiedRequest(
                self.dependencies, metadata, route, team, request, responder
            )
            await proxied.run()
        except errors.BadRequestError as error:
            final = request_path.RefusalError(400, str(error))
            await self.refuse(request, responder, metadata, proxied, final)
        except request_path.RefusalError as refusal:
            await self.refuse(request, responder, metadata, proxied, refusal)
        except asyncio.CancelledError:
            event, cause, reason = find_end(responder.connection)
            cut = self.describe_cut(request, responder, metadata, proxied)
            self.dependencies.reporter.report_cut(event, cause, reason, cut)
            raise
        except Exception as error:
            # Without an answer, a client cannot tell whether its request was run.
            if responder.started:
                event, cause = BROKEN_OFF
                if isinstance(error, OSError) and responder.connection.channel.peer_gone:
                    event, cause, _ = find_end(responder.connection)
                cut = self.describe_cut(request, responder, metadata, proxied)
                self.dependencies.reporter.report_cut(event, cause, f"{error!r}", cut)
                raise
            LOGGER.log(events.Event.TASK_FAILED, task=f"request {request_id}", error=f"{error!r}")
            if proxied is None:
                final = request_path.RefusalError(503, "internal error", ERROR_RETRY_AFTER_SECONDS)
            else:
                final = proxied.final_refusal("internal error", ERROR_RETRY_AFTER_SECONDS)
            await self.refuse(request, responder, metadata, proxied, final)

    def describe_cut(
        self,
        request: http1_server.Request,
        responder: http1_server.Responder,
        metadata: gateway.RequestMetadata | None,
        proxied: request_path.ProxiedRequest | None,
    ) -> request_reports.Cut:
        """Return what is known of a request if it ends now without a whole answer."""
        if proxied is not None:
            return proxied.describe_cut()
        return request_reports.Cut(request, responder.stage, metadata, responder=responder)

    def require_time_to_finish(
        self, metadata: gateway.RequestMetadata, route: gateway.Route
    ) -> None:
        """Raise RefusalError if the process ends before the request can be answered."""
        now = clocks.boot_time()
        deadline = min(metadata.deadline, metadata.arrived_at + route.timeout_seconds)
        if self.fleet.can_finish(route, metadata.output_tokens, deadline, now, now):
            return
        delay = STOPPING_RETRY_JITTER_SECONDS * self.draw()
        if self.available_peers() < MIN_PEERS_FOR_RETRY:
            delay += self.leave_rotation_seconds(metadata.deadline - now)
        raise request_path.RefusalError(
            503, request_path.STOPPING_REASON, delay, closes_connection=True
        )

    def draw(self) -> float:
        """Return a random number from 0 to 1, by which retry delays are spread."""
        return random.random()

    def leave_rotation_seconds(self, remaining_seconds: float) -> float:
        """Return how long a client waits until gateways that leave get no new connections.

        ``remaining_seconds`` is the time that the client has left.
        """
        return min(
            load_shedding.ROTATION_EXIT_SECONDS,
            SHED_RETRY_DEADLINE_FRACTION * max(0.0, remaining_seconds),
        )

    def shed_load(self, metadata: gateway.RequestMetadata, route: gateway.Route) -> None:
        """Raise RefusalError if another gateway should serve the request because this one is late.

        Only streams are refused: other requests take little processor time.
        """
        shedder = self.fleet.shedder
        if (
            shedder.is_shedding
            and route.kind is gateway.RequestKind.STREAM
            and shedder.refuses(self.available_peers())
        ):
            remaining_seconds = metadata.deadline - clocks.boot_time()
            # Clients that return before the gateway has left the rotation reach it again.
            delay = min(
                load_shedding.ROTATION_EXIT_SECONDS + SHED_RETRY_JITTER_SECONDS * self.draw(),
                SHED_RETRY_DEADLINE_FRACTION * max(0.0, remaining_seconds),
            )
            raise request_path.RefusalError(503, "gateway is late", delay, closes_connection=True)

    async def refuse(
        self,
        request: http1_server.Request,
        responder: http1_server.Responder,
        metadata: gateway.RequestMetadata | None,
        proxied: request_path.ProxiedRequest | None,
        refusal: request_path.RefusalError,
    ) -> None:
        """Answer a request with a refusal by the gateway itself."""
        request_id = metadata.request_id if metadata else None
        route = self.fleet.find_route(metadata.host, metadata.path) if metadata else None
        self.dependencies.reporter.report_refusal(
            request,
            metadata,
            proxied.route if proxied else route,
            refusal.status,
            refusal.reason,
            refusal.retry_after_seconds,
            proxied.describe_attempts() if proxied else {},
        )
        if refusal.closes_connection:
            responder.ends_connection = True
        headers = self.dependencies.codec.refusal_headers(request_id, refusal.retry_after_seconds)
        await responder.send(refusal.status, headers, b"")

    def authorize(self, metadata: gateway.RequestMetadata) -> tuple[gateway.Route, str | None]:
        """Return the route and the team of a request; raise RefusalError if it is not allowed."""
        fleet = self.fleet
        configuration = fleet.configuration
        if configuration is None or not fleet.endpoints_known:
            raise request_path.RefusalError(
                503, "no configuration yet", NO_CONFIGURATION_RETRY_AFTER_SECONDS
            )
        route = fleet.find_route(metadata.host, metadata.path)
        proof_is_fresh = fleet.proof_is_fresh(clocks.boot_time())
        if route is None:
            if not proof_is_fresh:
                raise request_path.RefusalError(
                    503, "configuration too old", request_path.STALE_PROOF_RETRY_AFTER_SECONDS
                )
            raise request_path.RefusalError(404, "no route")
        team = fleet.team_of(metadata.api_key)
        if configuration.team_of_key is not None and not route.public:
            request_path.require_fresh_proof(fleet)
            if team is None:
                raise request_path.RefusalError(401, "unknown key")
        return route, team
