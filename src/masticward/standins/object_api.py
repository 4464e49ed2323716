"""Stand-in for the platform's object API, with faults that a test can switch on."""

import asyncio
import collections
import time
import typing

import msgspec
import typer
from aiohttp import web

from masticward.standins import web as web_server
from masticward.utils import clocks

MAXIMUM_VALUE_BYTES = 1024 * 1024
RATE_WINDOW_SECONDS = 1.0


class StoreFaults(msgspec.Struct, kw_only=True):
    """Faults of the stand-in. Counts fall to 0 as the faults occur.

    ``mode``: up, down (503, no effect), cut (connection closed, no effect), slow (``delay_ms``
    before every call). ``lose_answers``: so many writes take effect without an answer.
    ``lose_requests``: so many writes get no answer and have no effect. ``late_writes``: so many
    writes get no answer and take effect after ``delay_ms`` if their condition holds by then.
    """

    mode: typing.Literal["up", "down", "cut", "slow"] = "up"
    delay_ms: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    late_writes: int = 0


class StoredValue(msgspec.Struct, frozen=True):
    """A value with its version."""

    version: int
    value: bytes


class WriteConflictError(Exception):
    """Raised when a conditional write does not match; holds the current version or 0."""

    def __init__(self, current_version: int) -> None:
        super().__init__(current_version)
        self.current_version = current_version


class ObjectApiStandin:
    """Keeps objects in memory. One counter numbers all writes, so no version ever repeats."""

    def __init__(self, calls_per_second: int = 0) -> None:
        self.objects: dict[str, StoredValue] = {}
        self.last_version = 0
        self.faults = StoreFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.calls_per_second = calls_per_second
        self.call_times: collections.deque[float] = collections.deque()
        # Set and replaced at each change, so that every pending watch sees it.
        self.changed = asyncio.Event()
        # How many watches of each object wait for a change now.
        self.pending_watches: collections.Counter[str] = collections.Counter()
        self.late_tasks: set[asyncio.Task[None]] = set()
        self.server = web_server.WebServer(2 * MAXIMUM_VALUE_BYTES)
        router = self.server.application.router
        router.add_get("/v1/objects", self.handle_list)
        router.add_get("/v1/objects/{name:.+}", self.handle_get, allow_head=False)
        router.add_put("/v1/objects/{name:.+}", self.handle_write)
        router.add_delete("/v1/objects/{name:.+}", self.handle_write)
        router.add_post("/control/faults", self.handle_faults)
        router.add_get("/control/calls", self.handle_calls)

    async def start(self, address: str) -> int:
        """Listen on ``host:port`` and return the port in use."""
        return await self.server.start(address)

    async def close(self) -> None:
        """Stop; the objects stay for another start."""
        for task in list(self.late_tasks):
            task.cancel()
        await self.server.close()

    async def handle_list(self, request: web.Request) -> web.StreamResponse:
        """List names by prefix."""
        refusal = await self.admit(request, "list")
        if refusal is not None:
            return refusal
        prefix = request.query.get("prefix", "")
        names = sorted(name for name in self.objects if name.startswith(prefix))
        return web.json_response({"names": names})

    async def handle_get(self, request: web.Request) -> web.StreamResponse:
        """Read one object or wait for a newer version."""
        watching = "watch" in request.query
        refusal = await self.admit(request, "watch" if watching else "get")
        if refusal is not None:
            return refusal
        name = request.match_info["name"]
        if not watching:
            stored = self.objects.get(name)
            if stored is None:
                return web.Response(status=404, text=f"no object {name}")
            return object_response(stored)
        known = int(request.query["watch"])
        deadline = clocks.deadline_from_remaining_ms(float(request.query.get("timeout_ms", "0")))
        return await self.wait_for_newer(request, name, known, deadline)

    async def wait_for_newer(
        self, request: web.Request, name: str, known_version: int, deadline: float
    ) -> web.StreamResponse:
        """Answer a watch at a newer version, at its deadline or when the store goes down."""
        while True:
            changed = self.changed
            refusal = self.refusal(request)
            if refusal is not None:
                return refusal
            stored = self.objects.get(name)
            if stored is not None and stored.version > known_version:
                return object_response(stored)
            self.pending_watches[name] += 1
            try:
                await asyncio.wait_for(changed.wait(), clocks.remaining_seconds(deadline))
            except TimeoutError:
                return web.Response(status=304)
            finally:
                self.pending_watches[name] -= 1

    async def handle_write(self, request: web.Request) -> web.StreamResponse:
        """Write or delete one object under its condition."""
        refusal = await self.admit(request, request.method.lower())
        if refusal is not None:
            return refusal
        value = await request.read()
        if len(value) > MAXIMUM_VALUE_BYTES:
            return web.Response(status=413, text=f"more than {MAXIMUM_VALUE_BYTES} bytes")
        if self.faults.lose_requests > 0:
            self.faults.lose_requests -= 1
            return no_answer(request)
        if self.faults.late_writes > 0:
            self.faults.late_writes -= 1
            self.write_late(request, value)
            return no_answer(request)
        try:
            version = self.apply(request, value)
        except WriteConflictError as conflict:
            return web.Response(
                status=412, headers={"ETag": f'"{conflict.current_version}"'}, text="conflict"
            )
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return no_answer(request)
        return web.Response(headers={"ETag": f'"{version}"'})

    def write_late(self, request: web.Request, value: bytes) -> None:
        """Apply a write after the fault's delay, although its caller has no answer."""
        delay_ms = self.faults.delay_ms

        async def apply_later() -> None:
            await asyncio.sleep(delay_ms / clocks.MILLISECONDS_PER_SECOND)
            try:
                self.apply(request, value)
            except WriteConflictError:
                return

        task = asyncio.get_running_loop().create_task(apply_later())
        self.late_tasks.add(task)
        task.add_done_callback(self.late_tasks.discard)

    def apply(self, request: web.Request, value: bytes) -> int:
        """Carry out a write and wake the watches. Raises WriteConflictError."""
        name = request.match_info["name"]
        stored = self.objects.get(name)
        current = stored.version if stored is not None else 0
        if current != expected_version(request):
            raise WriteConflictError(current)
        self.last_version += 1
        if request.method == "DELETE":
            self.objects.pop(name, None)
        else:
            self.objects[name] = StoredValue(self.last_version, value)
        self.wake()
        return self.last_version

    async def handle_faults(self, request: web.Request) -> web.StreamResponse:
        """Switch faults; fields that are not given return to their defaults."""
        self.faults = msgspec.json.decode(await request.read(), type=StoreFaults)
        self.wake()
        return web.json_response(msgspec.to_builtins(self.faults))

    async def set_faults(self, faults: StoreFaults) -> None:
        """Switch faults from the same process."""
        self.faults = faults
        self.wake()

    def wake(self) -> None:
        """Let pending watches see a change of the objects or the faults."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle_calls(self, request: web.Request) -> web.StreamResponse:
        """Count the calls since the start, by kind."""
        return web.json_response(dict(self.calls))

    async def admit(self, request: web.Request, kind: str) -> web.StreamResponse | None:
        """Count a call and return the refusal that faults or the rate limit call for."""
        self.calls[kind] += 1
        if self.faults.mode == "slow":
            await asyncio.sleep(self.faults.delay_ms / clocks.MILLISECONDS_PER_SECOND)
        refusal = self.refusal(request)
        if refusal is not None:
            return refusal
        if self.over_rate_limit():
            self.calls["refused"] += 1
            return web.Response(status=429, text="too many calls")
        return None

    def refusal(self, request: web.Request) -> web.StreamResponse | None:
        """Return the answer of a store that is down, None if it is up."""
        if self.faults.mode == "down":
            return web.Response(status=503, text="the object API is down")
        if self.faults.mode == "cut":
            return no_answer(request)
        return None

    def over_rate_limit(self) -> bool:
        """Tell whether a call exceeds the limit of calls per second."""
        if self.calls_per_second == 0:
            return False
        now = time.monotonic()
        while self.call_times and self.call_times[0] < now - RATE_WINDOW_SECONDS:
            self.call_times.popleft()
        if len(self.call_times) >= self.calls_per_second:
            return True
        self.call_times.append(now)
        return False


def expected_version(request: web.Request) -> int:
    """Return the version in the condition of a write; a write must have one."""
    if request.headers.get("If-None-Match") == "*":
        return 0
    tag = request.headers.get("If-Match", "").strip('"')
    if not tag.isdecimal():
        raise web.HTTPPreconditionRequired(text="If-Match or If-None-Match: * is required")
    return int(tag)


def object_response(stored: StoredValue) -> web.Response:
    """Return the response that carries one object."""
    return web.Response(
        body=stored.value,
        headers={"ETag": f'"{stored.version}"'},
        content_type="application/octet-stream",
    )


def no_answer(request: web.Request) -> web.Response:
    """Close the connection; the returned response never reaches the caller."""
    web_server.drop_connection(request)
    return web.Response(status=500)


def main(
    address: typing.Annotated[str, typer.Option(help="IP:port to listen on")] = "127.0.0.1:7100",
    calls_per_second: typing.Annotated[int, typer.Option(help="0: no limit")] = 0,
) -> None:
    """Run the object API stand-in."""
    web_server.serve_until_signal(
        ObjectApiStandin(calls_per_second), address, "object API listens on {address}"
    )


if __name__ == "__main__":
    typer.run(main)
