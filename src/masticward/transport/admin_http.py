"""The admin port of both programs: liveness, readiness, metrics, status and explanations."""

import abc
import typing

import msgspec
import sanic
import sanic.response

from masticward import metrics as metrics_module
from masticward.transport import listeners
from masticward.utils import identifiers

# Admin answers are small and made from memory; a slower client is not worth a connection.
ADMIN_TIMEOUT_SECONDS = 5


class AdminSource(abc.ABC):
    """The program behind the admin port."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Tell whether the program takes new work."""

    @abc.abstractmethod
    def status(self) -> dict[str, typing.Any]:
        """Return the state of the program as JSON values."""

    @abc.abstractmethod
    def explain(self, request_id: str) -> dict[str, typing.Any] | None:
        """Return the record of a recent request, None if it is not known here."""


class AdminServer:
    """Serves ``/live``, ``/ready``, ``/metrics``, ``/status`` and ``/explain/<request id>``."""

    __slots__ = ("address", "metrics", "port", "server", "source")

    def __init__(
        self, address: str, source: AdminSource, metrics: metrics_module.ProcessMetrics
    ) -> None:
        self.address = address
        self.source = source
        self.metrics = metrics
        self.port = 0
        self.server: typing.Any = None

    async def start(self) -> int:
        """Listen and return the port in use."""
        listener = listeners.listen(self.address)
        self.port = listener.getsockname()[1]
        self.server = await self.create_app().create_server(
            sock=listener, return_asyncio_server=True, access_log=False
        )
        await self.server.startup()
        await self.server.before_start()
        await self.server.after_start()
        await self.server.start_serving()
        return self.port

    async def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            await self.server.before_stop()
            self.server.close()
            await self.server.wait_closed()
            await self.server.after_stop()
            self.server = None

    def create_app(self) -> "sanic.Sanic[typing.Any, typing.Any]":
        """Return the sanic application; its name must be unique within the interpreter."""
        app: sanic.Sanic[typing.Any, typing.Any] = sanic.Sanic(
            f"admin-{identifiers.new_identifier()}", configure_logging=False
        )
        # The rewriting of sanic's classes fails for the second application of a process.
        app.config.TOUCHUP = False
        app.config.REQUEST_TIMEOUT = ADMIN_TIMEOUT_SECONDS
        app.config.RESPONSE_TIMEOUT = ADMIN_TIMEOUT_SECONDS
        app.add_route(self.handle_live, "/live", name="live")
        app.add_route(self.handle_ready, "/ready", name="ready")
        app.add_route(self.handle_metrics, "/metrics", name="metrics")
        app.add_route(self.handle_status, "/status", name="status")
        app.add_route(self.handle_explain, "/explain/<request_id:str>", name="explain")
        return app

    async def handle_live(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Answer 200 as long as the event loop runs."""
        return sanic.response.text("live\n")

    async def handle_ready(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Answer 200 while the program takes new work, else 503."""
        if self.source.is_ready():
            return sanic.response.text("ready\n")
        return sanic.response.text("not ready\n", status=503)

    async def handle_metrics(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Answer with the metrics in the text format of prometheus."""
        return sanic.response.raw(
            self.metrics.render(), content_type="text/plain; version=0.0.4; charset=utf-8"
        )

    async def handle_status(self, request: sanic.Request) -> sanic.HTTPResponse:
        """Answer with the program's state."""
        return json_response(self.source.status())

    async def handle_explain(self, request: sanic.Request, request_id: str) -> sanic.HTTPResponse:
        """Answer with the record of one request, or 404."""
        record = self.source.explain(request_id)
        if record is None:
            return json_response({"type": "request-not-known", "request_id": request_id}, 404)
        return json_response(record)


def json_response(value: typing.Any, status: int = 200) -> sanic.HTTPResponse:
    """Return a JSON answer."""
    return sanic.response.raw(
        msgspec.json.encode(value), status=status, content_type="application/json"
    )
