"""What the stand-ins of engine and plain service have in common."""

import abc
import asyncio
import enum
import time
import typing

import msgspec
from aiohttp import web

from masticward.models import configuration as configuration_models
from masticward.standins import recording
from masticward.standins import web as web_server
from masticward.utils import clocks

MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
STOP_SECONDS = 1.0


class ReportMode(enum.StrEnum):
    """How the load report behaves."""

    NORMAL = "normal"
    LATE = "late"
    MISSING = "missing"


class DropPoint(enum.StrEnum):
    """Where the stand-in drops the caller's connection."""

    NONE = "none"
    BEFORE_WORK = "before-work"
    BEFORE_ANSWER = "before-answer"
    MIDDLE = "middle"
    AFTER_WORK = "after-work"


class Faults(msgspec.Struct, kw_only=True):
    """The state that ``POST /control`` changes. Limits count concurrent calls.

    ``cold_ms`` ends a cold start by itself; 0 leaves that to ``POST /control``.
    ``refuse`` answers 503 "not run". ``drop`` holds for the next ``drop_count`` calls.
    ``before-work`` drops a call before it is recorded, ``before-answer`` and ``after-work`` drop it
    when the work is begun and when it is done, with no byte of the response sent.
    """

    cold: bool = False
    cold_ms: float = 0.0
    cold_limit: int = 2
    warm_limit: int = 8
    token_ms: float = 5.0
    first_token_ms: float = 5.0
    cold_first_token_ms: float = 500.0
    service_ms: float = 5.0
    leaving: bool = False
    incarnation: int = 1
    report_mode: ReportMode = ReportMode.NORMAL
    report_lag_ms: float = 800.0
    refuse: bool = False
    drop: DropPoint = DropPoint.NONE
    drop_count: int = 0


class Call(msgspec.Struct, frozen=True):
    """One call that the stand-in has recorded and is to serve."""

    request: web.Request
    body: bytes
    record: recording.CallRecord
    drop: DropPoint


class EndpointServer(abc.ABC):
    """An endpoint on aiohttp that records its calls and can be given faults.

    The cold limit holds for the calls that start while it is cold: those that run when it becomes
    cold are carried to their end. A call beyond the limit makes a cold endpoint crash: it drops
    all calls and serves nothing until ``POST /control`` changes ``incarnation``.
    """

    # Whether a call is stopped when its caller closes the connection.
    stops_abandoned_calls: bool

    def __init__(self, faults: Faults | None = None) -> None:
        self.faults = faults or Faults()
        self.recorder = recording.Recorder()
        self.overloaded = False
        self.crashed = False
        self.refused = 0
        self.started_while_cold = 0
        self.cold_epoch = 0
        self.warming_timer: asyncio.TimerHandle | None = None
        self.transports: set[asyncio.Transport] = set()
        self.server = web_server.WebServer(
            MAXIMUM_BODY_BYTES,
            cancels_handlers=self.stops_abandoned_calls,
            shutdown_seconds=STOP_SECONDS,
        )
        router = self.server.application.router
        router.add_get("/load", self.handle_load)
        router.add_post("/control", self.handle_control)
        router.add_get("/control/record", self.handle_record)
        router.add_get("/control/state", self.handle_state)
        router.add_route("*", "/v1/{rest:.*}", self.handle_call)

    # Life cycle

    async def start(self, address: str) -> int:
        """Listen on ``host:port`` and return the port in use."""
        port = await self.server.start(address)
        self.arm_warming(self.faults)
        self.note_state()
        return port

    async def close(self) -> None:
        """Stop listening and drop what runs."""
        if self.warming_timer is not None:
            self.warming_timer.cancel()
        await self.server.close()

    # Calls

    @abc.abstractmethod
    async def serve(self, call: Call) -> web.StreamResponse:
        """Do the work of one call and answer it."""

    async def handle_call(self, request: web.Request) -> web.StreamResponse:
        """Run, refuse or drop a call."""
        body = await request.read()
        drop = self.take_drop()
        if self.crashed or drop is DropPoint.BEFORE_WORK:
            return self.abort(request)
        if self.faults.refuse:
            self.refused += 1
            return web.Response(status=503, headers={"Masticward-Endpoint": "not-run"})
        record = self.recorder.begin(request.method, request.path_qs, request.headers, body)
        while_cold, cold_epoch = self.faults.cold, self.cold_epoch
        self.started_while_cold += while_cold
        self.note_state()
        if request.transport is not None:
            self.transports.add(request.transport)
        try:
            if while_cold and self.started_while_cold > self.faults.cold_limit:
                return self.crash(request)
            return await self.serve(Call(request, body, record, drop))
        except (asyncio.CancelledError, ConnectionError):
            record.cancelled = True
            raise
        finally:
            self.recorder.end()
            if while_cold and cold_epoch == self.cold_epoch:
                self.started_while_cold -= 1
            if request.transport is not None:
                self.transports.discard(request.transport)
            self.note_state()

    def take_drop(self) -> DropPoint:
        """Return where to drop this call."""
        if self.faults.drop_count <= 0:
            return DropPoint.NONE
        self.faults.drop_count -= 1
        return self.faults.drop

    def crash(self, request: web.Request) -> web.StreamResponse:
        """Drop all calls, and all further ones until a new incarnation."""
        self.overloaded = True
        self.crashed = True
        for transport in list(self.transports):
            transport.abort()
        return self.abort(request)

    def abort(self, request: web.Request) -> web.StreamResponse:
        """Reset the caller's connection without a response."""
        if isinstance(request.transport, asyncio.Transport):
            request.transport.abort()
        return web.Response()

    # Load report and control

    def load(self) -> dict[str, object]:
        """Return the load as it is now."""
        return {
            "running": self.recorder.running,
            "limit_hint": 0,
            "cold": self.faults.cold,
            "leaving": self.faults.leaving,
            "incarnation": self.faults.incarnation,
        }

    def note_state(self) -> None:
        """Note the load as it is now, for reports that lag."""
        self.recorder.note_state(self.load())

    async def handle_load(self, _request: web.Request) -> web.Response:
        """Answer ``GET /load``."""
        if self.crashed or self.faults.report_mode is ReportMode.MISSING:
            return web.Response(status=500)
        report: dict[str, object] | None = self.load()
        if self.faults.report_mode is ReportMode.LATE:
            lag_seconds = self.faults.report_lag_ms / clocks.MILLISECONDS_PER_SECOND
            report = self.recorder.state_before(time.monotonic() - lag_seconds)
        return web.Response(status=500) if report is None else answer_json(report)

    async def handle_control(self, request: web.Request) -> web.Response:
        """Change some of the faults."""
        try:
            changes = msgspec.json.decode(await request.read(), type=dict[str, typing.Any])
            merged = msgspec.structs.asdict(self.faults) | changes
            unknown = set(changes) - set(self.faults.__struct_fields__)
            if unknown:
                raise msgspec.ValidationError(f"unknown: {', '.join(sorted(unknown))}")
            faults = msgspec.convert(merged, Faults)
        except msgspec.MsgspecError as error:
            return web.json_response({"message": str(error)}, status=400)
        self.set_faults(faults)
        return answer_json(faults)

    def set_faults(self, faults: Faults) -> None:
        """Apply new faults; a new incarnation ends a crash."""
        if faults.incarnation != self.faults.incarnation:
            self.crashed = False
        if faults.cold != self.faults.cold:
            self.started_while_cold = 0
            self.cold_epoch += 1
            self.arm_warming(faults)
        self.faults = faults
        self.note_state()

    def arm_warming(self, faults: Faults) -> None:
        """End the cold start after ``cold_ms``."""
        if self.warming_timer is not None:
            self.warming_timer.cancel()
            self.warming_timer = None
        if faults.cold and faults.cold_ms > 0:
            self.warming_timer = asyncio.get_running_loop().call_later(
                faults.cold_ms / clocks.MILLISECONDS_PER_SECOND, self.become_warm
            )

    def become_warm(self) -> None:
        """End the cold start."""
        self.set_faults(msgspec.structs.replace(self.faults, cold=False))

    async def handle_record(self, _request: web.Request) -> web.Response:
        """Answer with all records."""
        return answer_json(list(self.recorder.records))

    async def handle_state(self, _request: web.Request) -> web.Response:
        """Answer with the totals."""
        return answer_json(
            {
                "overloaded": self.overloaded,
                "fallen": self.crashed,
                "refused": self.refused,
                "running": self.recorder.running,
                "peak_running": self.recorder.peak_running,
                "calls": len(self.recorder.records),
            }
        )


def answer_json(value: object) -> web.Response:
    """Return a JSON answer."""
    return web.Response(body=msgspec.json.encode(value), content_type="application/json")


def limits_of(service: configuration_models.Service) -> Faults:
    """Return a warm state with the limits of a configured service."""
    return Faults(cold_limit=service.cold_limit, warm_limit=service.warm_limit)
