"""Log lines about how clients' requests ended, with what decided it."""

import typing

from masticward import events, logs
from masticward.gateway import fleet as fleet_module
from masticward.gateway import gateway_metrics, sources
from masticward.models import gateway
from masticward.transport import http1_server
from masticward.utils import clocks

# Longer texts of clients are cut in log lines.
MAX_PATH_CHARACTERS = 120
MAX_HOST_CHARACTERS = 60
LOGGER = logs.get_logger(__name__)


def to_milliseconds(seconds: float) -> int:
    """Return whole milliseconds."""
    return round(seconds * clocks.MILLISECONDS_PER_SECOND)


def add_target(
    fields: dict[str, typing.Any],
    request: http1_server.Request,
    metadata: gateway.RequestMetadata | None,
) -> None:
    """Add the method and the path of a request, without its query."""
    path = metadata.path if metadata else request.target.partition(b"?")[0].decode("latin-1")
    fields["path"] = path[:MAX_PATH_CHARACTERS]
    fields["method"] = request.method.decode("latin-1")


def add_times(
    fields: dict[str, typing.Any],
    fleet: fleet_module.FleetState,
    metadata: gateway.RequestMetadata,
    now: float,
) -> None:
    """Add the milliseconds since the arrival, until the deadline and since the stop began."""
    fields["elapsed_ms"] = to_milliseconds(now - metadata.arrived_at)
    fields["left_ms"] = to_milliseconds(metadata.deadline - now)
    if fleet.stopping_at is not None:
        fields["stopping_ms"] = to_milliseconds(now - fleet.stopping_at)


def add_configuration(
    fields: dict[str, typing.Any], fleet: fleet_module.FleetState, now: float
) -> None:
    """Add the configuration in force, since when it is, and the age of its latest proof."""
    if fleet.configuration is None:
        fields["config"] = 0
        return
    fields["config"] = fleet.configuration.version
    fields["config_age_ms"] = to_milliseconds(now - fleet.configuration_applied_at)
    fields["proof_age_ms"] = to_milliseconds(fleet.proof_age(now))
    if fleet.newest_peer_version > fleet.configuration.version:
        fields["peer_config"] = fleet.newest_peer_version


def add_removal(
    fields: dict[str, typing.Any],
    fleet: fleet_module.FleetState,
    metadata: gateway.RequestMetadata,
    status: int,
    now: float,
) -> None:
    """Add which earlier configuration had the route or the API key that a request lacks."""
    if status == 404:
        removal = fleet.removals.find_route(metadata.host, metadata.path)
    elif status == 401:
        removal = fleet.removals.find_key(metadata.api_key)
    else:
        return
    fields["earlier_config"] = removal.version if removal else None
    if removal is not None:
        fields["removed_ms_ago"] = to_milliseconds(now - removal.removed_at)


class Cut:
    """A request that ended without a whole answer, and what is known of it.

    ``metadata`` and ``route`` are None if the request was not decoded or has none, ``responder``
    if it was not handed to a handler.
    """

    __slots__ = ("attempts", "metadata", "request", "responder", "route", "stage")

    def __init__(
        self,
        request: http1_server.Request | None,
        stage: http1_server.Stage,
        metadata: gateway.RequestMetadata | None = None,
        route: gateway.Route | None = None,
        responder: http1_server.Responder | None = None,
        attempts: dict[str, typing.Any] | None = None,
    ) -> None:
        self.request = request
        self.stage = stage
        self.metadata = metadata
        self.route = route
        self.responder = responder
        self.attempts = attempts or {}


class RequestReporter:
    """Counts and logs how requests ended."""

    __slots__ = ("codec", "fleet", "metrics")

    def __init__(
        self,
        fleet: fleet_module.FleetState,
        codec: sources.RequestCodec,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self.fleet = fleet
        self.codec = codec
        self.metrics = metrics

    def report_unreadable(
        self, request: http1_server.Request | None, status: int, detail: str
    ) -> None:
        """Count and log a request that was refused before it was read."""
        self.metrics.count_outcome("unreadable", status)
        fields: dict[str, typing.Any] = {"request_id": None, "status": status, "detail": detail}
        if request is not None:
            fields["request_id"] = self.codec.request_id(request.headers)
            add_target(fields, request, None)
            fields["elapsed_ms"] = to_milliseconds(clocks.boot_time() - request.arrived_at)
        LOGGER.log(events.Event.REQUEST_UNREADABLE, **fields)

    def report_cut(self, event: events.Event, cause: str, reason: str, cut: Cut) -> None:
        """Count and log a request that ended without a whole answer."""
        self.metrics.count_cut(cause, cut.stage.value)
        now = clocks.boot_time()
        request, metadata, responder = cut.request, cut.metadata, cut.responder
        fields: dict[str, typing.Any] = {"request_id": None, "cause": cause}
        fields["stage"] = cut.stage.value
        if request is not None:
            fields["request_id"] = self.codec.request_id(request.headers)
            add_target(fields, request, metadata)
        if metadata is not None:
            add_times(fields, self.fleet, metadata, now)
        elif self.fleet.stopping_at is not None:
            fields["stopping_ms"] = to_milliseconds(now - self.fleet.stopping_at)
        if cut.route is not None:
            fields["route"] = cut.route.name
        if responder is not None:
            fields["sent_status"] = responder.status
            fields["sent_bytes"] = responder.sent_bytes
            fields["unsent_bytes"] = responder.connection.channel.unsent_bytes
        LOGGER.log(event, **fields, **cut.attempts, reason=reason)

    def report_refusal(
        self,
        request: http1_server.Request,
        metadata: gateway.RequestMetadata | None,
        route: gateway.Route | None,
        status: int,
        reason: str,
        retry_after_seconds: float | None,
        attempts: dict[str, typing.Any],
    ) -> None:
        """Count and log an answer by the gateway itself.

        ``metadata`` is None if the request could not be decoded, ``route`` if it was not found.
        ``attempts`` are further fields of a request that was to be sent.
        """
        self.metrics.count_outcome("refused", status)
        now = clocks.boot_time()
        fleet = self.fleet
        fields: dict[str, typing.Any] = {
            "request_id": self.codec.request_id(request.headers),
            "status": status,
            "reason": reason,
        }
        add_configuration(fields, fleet, now)
        if metadata is not None:
            add_removal(fields, fleet, metadata, status, now)
        add_target(fields, request, metadata)
        if metadata is not None:
            fields["host"] = metadata.host[:MAX_HOST_CHARACTERS]
            if route is not None:
                fields["route"] = route.name
            fields["team"] = fleet.team_of(metadata.api_key)
            add_times(fields, fleet, metadata, now)
        fields["retry_after"] = (
            None if retry_after_seconds is None else round(retry_after_seconds, 3)
        )
        LOGGER.log(events.Event.GATEWAY_REQUEST_REFUSED, **fields, **attempts)
