"""Stand-ins of the users' platform: a store and endpoints that answer as a test tells them."""

import asyncio
import collections.abc
import json
import typing
import urllib.parse

PROOF = "X-Masticward-Response-Seal: proof\r\n"


class ReceivedRequest:
    """One request as an endpoint got it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ", 2)
        self.headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        self.body = body

    @property
    def request_id(self) -> str:
        """The id that the answer echoes."""
        return self.headers.get("x-masticward-request-id", "")


Behaviour = collections.abc.Callable[
    [ReceivedRequest, asyncio.StreamWriter], collections.abc.Awaitable[bool]
]


class SocketServer:
    """Serves raw HTTP/1.1 on a loopback port."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.address = ""
        self.open_connections = 0

    async def start(self) -> None:
        """Open the port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the port."""
        if self.server is not None:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends or a request's answer ends it."""
        self.open_connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = ReceivedRequest(head, b"")
                length = int(request.headers.get("content-length", "0"))
                if await self.early_response(request, writer):
                    return
                request.body = await reader.readexactly(length)
                if not await self.handle_until_disconnect(request, reader, writer):
                    return
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            return
        finally:
            self.open_connections -= 1
            writer.close()

    async def handle_until_disconnect(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; an answer that has not begun ends when the caller leaves."""
        work = asyncio.ensure_future(self.handle(request, writer))
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait([work, gone], return_when=asyncio.FIRST_COMPLETED)
        left = not work.done()
        (work if left else gone).cancel()
        # A reset by the caller ends the watching read with an error, which is no failure here.
        await asyncio.gather(work, gone, return_exceptions=True)
        return False if left else work.result()

    async def early_response(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer before the body has come; returns whether it did."""
        return False

    async def handle(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; returns whether the connection stays open."""
        raise NotImplementedError


class EndpointStandin(SocketServer):
    """An endpoint whose behaviour a test sets."""

    def __init__(self, behaviour: Behaviour | None = None) -> None:
        super().__init__()
        self.received: list[ReceivedRequest] = []
        self.behaviour = behaviour or send_complete_response

    async def handle(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer one request."""
        self.received.append(request)
        return await self.behaviour(request, writer)


def complete_response(request: ReceivedRequest, body: bytes = b"answer", extra: str = "") -> bytes:
    """Return the bytes of a whole answer with its proof."""
    head = (
        f"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: {request.request_id}\r\n{PROOF}{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def send_complete_response(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    """Answer a request as a sound endpoint."""
    writer.write(complete_response(request))
    return True


async def close_without_response(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    """Close the connection without an answer."""
    return False


async def shed_request(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    """Refuse a request as not run."""
    writer.write(
        b"HTTP/1.1 503 Service Unavailable\r\nX-Masticward-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    return True


async def never_respond(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    """Keep a request without an answer."""
    await asyncio.sleep(60.0)
    return False


class StoreStandin(SocketServer):
    """The platform's store: kinds of objects, a revision, listings and watches."""

    def __init__(self) -> None:
        super().__init__()
        self.objects: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self.history: list[tuple[int, str, dict[str, typing.Any], bool]] = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.unavailable = False
        # Watches of these kinds hang: the connection stays open and nothing comes.
        self.hanging_watches: set[str] = set()
        self.oldest_revision = 0
        self.calls: list[str] = []

    def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Write an object as the operator or an endpoint does."""
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        self.objects[kind, name] = item
        self.history.append((self.revision, kind, item, False))
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        item = self.objects.pop((kind, name))
        self.history.append((self.revision, kind, item, True))
        self.changed.set()
        self.changed = asyncio.Event()

    def put_endpoint(self, name: str, address: str, **changes: typing.Any) -> None:
        """Write an endpoint's entry."""
        entry = {
            "service": "app",
            "address": address,
            "zone": "z1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
        }
        self.put("servers", name, {**entry, **changes})

    async def handle(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer one call."""
        self.calls.append(f"{request.method} {request.target}")
        if self.unavailable:
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return True
        status, body = await self.respond(request)
        data = json.dumps(body).encode()
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
        return True

    async def respond(self, request: ReceivedRequest) -> tuple[int, typing.Any]:
        """Return status and body of a call."""
        parts = urllib.parse.urlsplit(request.target)
        kind = parts.path.split("/")[2]
        query = dict(urllib.parse.parse_qsl(parts.query))
        if request.method == "POST":
            document = json.loads(request.body)
            self.put(kind, document["metadata"]["name"], document["spec"])
            return 200, document
        if "watch" in query and kind in self.hanging_watches:
            await asyncio.sleep(60.0)
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        items = [item for (found, _), item in sorted(self.objects.items()) if found == kind]
        return 200, {"items": items, "has_more": False, "current_rev": self.revision}

    async def watch(self, kind: str, revision: int, wait: float) -> tuple[int, typing.Any]:
        """Return the changes after a revision."""
        if revision < self.oldest_revision:
            return 410, {}
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            changed = self.changed
            found = [
                {"object": item, "removed": removed}
                for number, item_kind, item, removed in self.history
                if number > revision and item_kind == kind
            ]
            left = deadline - asyncio.get_running_loop().time()
            if found or left <= 0:
                return 200, {"events": found, "current_rev": self.revision}
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue


def configuration(version: int = 1, **changes: typing.Any) -> dict[str, typing.Any]:
    """Return a configuration in the platform's form."""

    def route(name: str, kind: str, **more: typing.Any) -> dict[str, typing.Any]:
        return {
            "name": name,
            "host": "api.example",
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": 3000,
            "target_latency_ms": 800,
            "priority": 1,
            "service": "app",
            "max_attempts": 1,
            "public": True,
            **more,
        }

    document: dict[str, typing.Any] = {
        "version": version,
        "routes": [
            route("book", "non_idempotent"),
            route("status", "idempotent", max_attempts=2),
            route("keyed", "idempotent", public=False),
            route("stream", "stream"),
            route("resume", "stream", max_attempts=2, resumable=True),
            route("short", "non_idempotent", timeout_ms=300),
        ],
        "services": [{"name": "app", "max_connections": 100}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000},
        "tenants": [{"name": "team-a", "api_keys": ["key-a"]}],
    }
    return {**document, **changes}


SETTINGS = """\
node: "g1"
ip: "{ip}"
zone: "z1"
listen: {{front: "127.0.0.1:0", ready: "127.0.0.1:0"}}
port_range: [0, 0]
seeds: []
platform: {{address: "{store}"}}
bounds: {{revoke_ms: {revoke_ms}, grace_s: {grace_s}}}
"""
