"""A request with scripted endpoints, on an event loop whose time passes only while it waits."""

import asyncio
import collections.abc
import typing

import msgspec

from masticward import errors, metrics
from masticward.gateway import calls, gateway_metrics, placer, request_path
from masticward.models import gateway
from masticward.platform import headers
from masticward.state import body_memory, read_turns, retry_window
from masticward.transport import http1, http1_server
from tests.lib import gateway_builders as builders

LAST_EVENT = 4
MIN_PAUSE_SECONDS = 0.0001
FAULTS = {"refuse": 503, "fail": 500, "break": 0, "bug": 1}


class VirtualLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer instead of waiting for it; each pass takes ``pass_seconds``.

    ``on_pass`` is called with the number of each pass.
    """

    def __init__(self, pass_seconds: float) -> None:
        super().__init__()
        self.now = 1000.0
        self.pass_seconds = pass_seconds
        self.passes = 0
        self.on_pass: collections.abc.Callable[[int], object] = lambda _: None
        selector: typing.Any = self._selector  # type: ignore[attr-defined]
        self.poll = selector.select
        selector.select = self.select

    def time(self) -> float:
        return self.now

    def block(self, seconds: float) -> None:
        """Let nothing run for some time."""
        self.now += seconds

    def select(self, timeout: float | None) -> typing.Any:
        if timeout is None:
            raise AssertionError("nothing is left to wait for")
        self.now += max(0.0, timeout) + self.pass_seconds
        self.passes += 1
        self.on_pass(self.passes)
        return self.poll(0)


class Script:
    """How an endpoint responds. ``pauses`` has the seconds before the head, the events and the end.

    ``fault`` tells what comes in place of the step with the index ``fault_at``: "refuse" and "fail"
    stand for the head of such a response, "break" for the end of the connection; with "bug", an
    unexpected error is raised in place of the head. Comments come in the middle of each pause if
    ``comments`` is set. An ``unframed`` response ends with its connection.
    """

    def __init__(
        self,
        pauses: collections.abc.Sequence[float] = (),
        fault: str = "",
        fault_at: int = 0,
        comments: bool = False,
        unframed: bool = False,
    ) -> None:
        self.pauses = [*pauses, *([0.01] * (LAST_EVENT + 2 - len(pauses)))]
        self.fault = fault
        self.fault_at = fault_at if fault == "break" else 0
        self.comments = comments
        self.unframed = unframed


class FakeConnection:
    """Connection, protocol and exchange in one. What arrives is read in the next pass of the loop.

    Statuses stand for heads, 0 for a connection that breaks off and 1 for an unexpected error.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.number = 0
        self.channel = self.protocol = self
        self.usage = read_turns.Reader()
        self.unread_bytes = self.unsent_bytes = 0
        self.arrived: asyncio.Queue[bytes | int | None] = asyncio.Queue()
        # When the request was written, and when the endpoint stopped to work on it.
        self.sent_at: float | None = None
        self.ended_at: float | None = None
        self.refused = self.aborted = self.released = False
        self.unframed = self.reusable = self.ended = self.is_read = False
        self.timers: list[asyncio.TimerHandle] = []

    def has_unread_bytes(self) -> bool:
        return self.unread_bytes > 0

    def abort(self) -> None:
        self.aborted = True
        self.end()
        # What has arrived before may still be read.
        self.arrived.put_nowait(0)

    def reset(self) -> None:
        self.abort()

    def end(self) -> None:
        for timer in self.timers:
            timer.cancel()
        if self.ended_at is None:
            self.ended_at = asyncio.get_running_loop().time()

    def run(self, script: Script, first: int) -> None:
        """Let what the endpoint sends arrive."""
        loop = asyncio.get_running_loop()
        at = self.sent_at = loop.time()
        self.unframed = script.unframed
        for index in (0, *range(first, LAST_EVENT + 2)):
            # Timers of the same moment have no order.
            pause = max(MIN_PAUSE_SECONDS, script.pauses[index])
            if script.comments and index:
                self.timers.append(loop.call_at(at + pause / 2, self.receive, b": here\n\n"))
            at += pause
            item: bytes | int | None = f"id: {index}\ndata: {self.name}\n\n".encode()
            if script.fault and index >= script.fault_at:
                item = FAULTS[script.fault]
            elif index in (0, LAST_EVENT + 1):
                item = 200 if index == 0 else None
            self.timers.append(loop.call_at(at, self.receive, item))
            if item is None or item in FAULTS.values():
                return

    def receive(self, item: bytes | int | None) -> None:
        if item is None or item in FAULTS.values():
            self.refused = item == 503
            self.end()
        for part in (500, None) if item == 500 else (item,):
            self.unread_bytes += 1
            asyncio.get_running_loop().call_soon(self.arrived.put_nowait, part)

    async def read(self) -> bytes | int | None:
        assert not self.is_read, "a second reader"
        self.is_read = True
        try:
            item = await self.arrived.get()
        finally:
            self.is_read = False
        self.unread_bytes -= 1
        if item == 0:
            raise errors.EndpointBrokenError("closed")
        if item == 1:
            raise ValueError("unexpected")
        if item == 503:
            raise errors.EndpointNotStartedError("status 503", True)
        return item

    async def read_data(self) -> bytes | None:
        item = await self.read()
        self.reusable = self.ended = item is None
        return typing.cast(bytes | None, item)

    async def discard_body(self, *_: object) -> int:
        while await self.read_data() is not None:
            pass
        return 0

    def expected_length(self, _: http1.Answer) -> int:
        return 0


class ScriptedClient:
    """Answers the first send of a request by the first script, and so on; the last repeats."""

    def __init__(self, scripts: collections.abc.Sequence[Script]) -> None:
        self.scripts = scripts
        self.pool = self
        self.memory = body_memory.AnswerMemory(1e6)
        self.connections: list[FakeConnection] = []

    @property
    def sent(self) -> list[FakeConnection]:
        return [item for item in self.connections if item.sent_at is not None]

    def release(self, _: gateway.Endpoint, connection: FakeConnection, __: object) -> None:
        connection.released = True

    async def connect(
        self, endpoint: gateway.Endpoint, excluded: collections.abc.Collection[object]
    ) -> calls.Connection:
        self.connections.append(FakeConnection(f"{len(self.connections)} at {endpoint.id}"))
        return calls.Connection(typing.cast(http1.Channel, self.connections[-1]), 0.0)

    async def call(self, *arguments: typing.Any) -> calls.EndpointCall:
        last_event_id, connection = arguments[5], arguments[6].channel
        script = self.scripts[min(len(self.sent), len(self.scripts) - 1)]
        try:
            connection.run(script, int(last_event_id or 0) + 1)
            status = await connection.read()
        except BaseException:
            connection.abort()
            raise
        metadata = headers.HeaderCodec().decode_response_head(
            status, [(b"X-Masticward-Response-Seal", b"proof")]
        )
        held_body = body_memory.HeldBody(self.memory)
        pool: typing.Any = self.pool
        answer = http1.Answer(status, [])
        return calls.EndpointCall(pool, arguments[0], connection, answer, metadata, held_body)


class FakeResponder:
    """Collects what a client receives. Each write takes ``write_seconds``."""

    stage = http1_server.Stage.ANSWERING
    unsent_bytes = 0

    def __init__(self, write_seconds: float) -> None:
        self.write_seconds = write_seconds
        self.connection = self.channel = self
        self.status = self.sent_bytes = 0
        self.body = b""
        self.ended = False

    async def start(self, status: int, _: object) -> None:
        self.status = status

    async def write(self, data: bytes) -> None:
        self.body += data
        await asyncio.sleep(self.write_seconds)

    async def end(self) -> None:
        self.ended = True

    async def send(self, status: int, _: object, body: bytes) -> None:
        self.status, self.body, self.ended = status, bytes(body), True


class Model:
    """One resumable stream through a gateway with four plain endpoints."""

    def __init__(
        self,
        scripts: collections.abc.Sequence[Script],
        max_attempts: int,
        write_seconds: float,
        retry_slack: float,
    ) -> None:
        now = asyncio.get_running_loop().time()
        endpoints = [builders.make_endpoint(f"e{number}", service="app") for number in range(4)]
        self.fleet = builders.make_fleet(*endpoints, now=now)
        self.fleet.budgets["app"] = retry_window.WindowedRetryBudget(0.0, retry_slack, 10.0)
        self.client = ScriptedClient(scripts)
        self.metrics = gateway_metrics.GatewayMetrics(metrics.ProcessMetrics())
        self.placer = placer.Placer(self.fleet, lambda *_: None)
        self.responder = FakeResponder(write_seconds)
        # Passes of the loop until the request had ended.
        self.passes = 0
        client: typing.Any = self.client
        responder: typing.Any = self.responder
        self.request = request_path.ProxiedRequest(
            request_path.RequestDependencies(
                self.fleet, headers.HeaderCodec(), self.placer, client, self.metrics
            ),
            # Without shared parts, whose loss would be checked by a connection.
            msgspec.structs.replace(builders.make_metadata(arrived_at=now), parts=()),
            builders.make_route(
                max_attempts=max_attempts,
                resumable=True,
                public=True,
                shares=(gateway.ServiceShare("app", 1.0),),
            ),
            None,
            http1_server.Request(b"POST", b"/plan/x", [], now, body_memory.BodyMemory(1e6)),
            responder,
        )

    async def serve(self) -> None:
        """Serve the request to its end; one that is refused keeps status 0."""
        scans = asyncio.create_task(self.placer.run())
        try:
            await self.request.run()
        except request_path.RefusalError:
            self.responder.status = 0
        finally:
            scans.cancel()
            # What was cancelled ends in the next passes.
            for _ in range(5):
                await asyncio.sleep(0)

    def outcomes(self) -> dict[tuple[str, str], float]:
        """Return how often overlaps ended in each way."""
        return {
            (sample.labels["kept"], sample.labels["outcome"]): sample.value
            for sample in self.metrics.overlaps.collect()[0].samples
            if sample.name.endswith("_total")
        }
