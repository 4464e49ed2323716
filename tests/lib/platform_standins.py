"""Stand-ins for the deployment platform: a store and endpoints with scripted behaviour."""

import asyncio
import collections.abc
import json
import socket
import struct
import typing
import urllib.parse

PROOF = "X-Masticward-Response-Seal: proof\r\n"


class ReceivedRequest:
    """A request as received by an endpoint."""

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
        """The request ID, which a response echoes."""
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
        """Open a listener on a free port and set ``address``."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener."""
        if self.server is not None:
            self.server.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until the client or a response closes it."""
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
        """Handle a request; cancel the handling if the client disconnects.

        Return whether the connection stays open.
        """
        handling = asyncio.ensure_future(self.handle(request, writer))
        disconnect = asyncio.ensure_future(reader.read(1))
        await asyncio.wait([handling, disconnect], return_when=asyncio.FIRST_COMPLETED)
        disconnected = not handling.done()
        (handling if disconnected else disconnect).cancel()
        # A reset by the client makes the read fail, which is not an error here.
        await asyncio.gather(handling, disconnect, return_exceptions=True)
        return False if disconnected else handling.result()

    async def early_response(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Respond before the body has arrived; return whether a response was sent."""
        return False

    async def handle(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Handle one request; return whether the connection stays open."""
        raise NotImplementedError


class EndpointStandin(SocketServer):
    """An endpoint with a behaviour that the test sets. It records the received requests."""

    def __init__(self, behaviour: Behaviour | None = None) -> None:
        super().__init__()
        self.received: list[ReceivedRequest] = []
        self.behaviour = behaviour or send_complete_response

    async def handle(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Record a request and run the behaviour."""
        self.received.append(request)
        return await self.behaviour(request, writer)


def complete_response(request: ReceivedRequest, body: bytes = b"answer", extra: str = "") -> bytes:
    """Return the bytes of a complete response with the endpoint's signature."""
    head = (
        f"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: {request.request_id}\r\n{PROOF}{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; without the linger time, it would end as one that is closed."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class ScriptedResponse:
    """Sends a signed response in parts, with a framing and an end that the test chooses.

    ``framing`` is "chunked", "length" or "none", which ends with the connection. ``end`` is
    "whole"; "closed" and "reset" leave out the last chunk or ``missing_bytes``.
    """

    missing_bytes = 10

    def __init__(
        self,
        *parts: bytes,
        framing: str = "chunked",
        end: str = "whole",
        status: int = 200,
        fields: str = PROOF,
    ) -> None:
        self.parts = parts
        self.framing = framing
        self.end = end
        self.status = status
        self.fields = fields

    async def __call__(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Send the response; return whether the connection stays open."""
        missing = 0 if self.end == "whole" else self.missing_bytes
        framing_field = {
            "chunked": "Transfer-Encoding: chunked\r\n",
            "length": f"Content-Length: {len(b''.join(self.parts)) + missing}\r\n",
            "none": "",
        }[self.framing]
        writer.write(
            f"HTTP/1.1 {self.status} X\r\nX-Masticward-Request-Id: {request.request_id}\r\n"
            f"{self.fields}{framing_field}\r\n".encode()
        )
        for number, part in enumerate(self.parts):
            if number:
                # Let the gateway read each part by itself.
                await asyncio.sleep(0.02)
            chunk = b"%x\r\n%b\r\n" % (len(part), part)
            writer.write(chunk if self.framing == "chunked" else part)
        if self.framing == "chunked" and self.end == "whole":
            writer.write(b"0\r\n\r\n")
        if self.end == "reset":
            await asyncio.sleep(0.02)
            reset_connection(writer)
        return self.framing != "none" and self.end == "whole"


class CutHead:
    """Sends the first bytes of a response and closes or resets the connection."""

    def __init__(self, kept: bytes = b"", reset: bool = False) -> None:
        self.kept = kept
        self.reset = reset

    async def __call__(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Send the bytes; return whether the connection stays open."""
        writer.write(self.kept)
        if self.reset:
            await asyncio.sleep(0.02)
            reset_connection(writer)
        return False


class LateRefusal:
    """Writes the refusal of an earlier request once more on a connection that was kept.

    ``moment`` is "at once", with the earlier response, "idle" or "sent", when the next request was
    received. ``refused_id`` is the ID in the refusal, None for none.
    """

    def __init__(self) -> None:
        self.moment = "at once"
        self.head = b"503 X\r\nX-Masticward-Not-Executed: 1\r\n"
        self.refused_id: str | None = "q0"
        self.used: set[asyncio.StreamWriter] = set()

    def refusal(self) -> bytes:
        """Return the bytes of the refusal."""
        field = f"X-Masticward-Request-Id: {self.refused_id}\r\n" if self.refused_id else ""
        return b"HTTP/1.1 " + self.head + field.encode() + b"Content-Length: 0\r\n\r\n"

    async def __call__(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Run the request; return whether the connection stays open."""
        if writer in self.used and self.moment == "sent":
            writer.write(self.refusal())
            await asyncio.sleep(0.03)
        first = writer not in self.used
        self.used.add(writer)
        late = self.refusal() if first and self.moment == "at once" else b""
        writer.write(complete_response(request, b"id: 1\ndata: a\n\n") + late)
        if first and self.moment == "idle":
            asyncio.get_running_loop().call_later(0.03, writer.write, self.refusal())
        return True


class ResumedStream:
    """Answers a stream's first request with one behaviour and a resumption with another."""

    def __init__(self, first: Behaviour, resumed: Behaviour) -> None:
        self.first = first
        self.resumed = resumed

    async def __call__(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
        """Respond; return whether the connection stays open."""
        behaviour = self.resumed if "last-event-id" in request.headers else self.first
        return await behaviour(request, writer)


async def send_complete_response(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    """Respond as a healthy endpoint."""
    writer.write(complete_response(request))
    return True


async def close_without_response(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    """Close the connection without a response."""
    return False


async def shed_request(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    """Refuse a request as not executed."""
    writer.write(
        b"HTTP/1.1 503 Service Unavailable\r\nX-Masticward-Not-Executed: 1\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    return True


async def never_respond(request: ReceivedRequest, writer: asyncio.StreamWriter) -> bool:
    """Keep the connection open without a response."""
    await asyncio.sleep(60.0)
    return False


class RawSpec:
    """The text of an object's spec, which another writer left as it is."""

    def __init__(self, text: bytes) -> None:
        self.text = text


DEEP = b"[" * 50_000 + b"]" * 50_000
ENTRY = b'"service":"app","zone":"z1","state":"ready","address":"127.0.0.1:9"'
# Specs of endpoints' entries that cannot be read.
ODD_SPECS = (
    DEEP,
    b'{%b,"other":%b}' % (ENTRY, DEEP),
    b'{%b,"born":%b}' % (ENTRY, b"9" * 5_000),
    b'{%b,"cold_remaining_ms":1e999}' % ENTRY,
    b"{%b}" % ENTRY.replace(b"z1", b"z\xe9"),
    b"{%b}" % ENTRY.replace(b"z1", b"z\\udce9"),
)


def encode_document(document: typing.Any) -> bytes:
    """Encode a response body as JSON, with the text of each ``RawSpec`` in it."""
    texts: list[bytes] = []

    def reserve(spec: typing.Any) -> str:
        texts.append(spec.text)
        return f"raw spec {len(texts) - 1}"

    data = json.dumps(document, default=reserve).encode()
    for number, text in enumerate(texts):
        data = data.replace(f'"raw spec {number}"'.encode(), text)
    return data


class StoreCopy:
    """A copy of a store's objects, with its revision at that time."""

    def __init__(
        self, objects: dict[tuple[str, str], dict[str, typing.Any]], revision: int
    ) -> None:
        self.objects = objects
        self.revision = revision


class StoreStandin(SocketServer):
    """The platform's store: objects by kind and name, with a revision, listings and watches."""

    def __init__(self) -> None:
        super().__init__()
        self.objects: dict[tuple[str, str], dict[str, typing.Any]] = {}
        self.history: list[tuple[int, str, dict[str, typing.Any], bool]] = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.unavailable = False
        # Watches of these kinds keep their connection open without a response.
        self.hanging_watches: set[str] = set()
        # Listings of these kinds have an empty page, with further ones announced.
        self.empty_pages: set[str] = set()
        self.oldest_revision = 0
        self.calls: list[str] = []
        # Stated in all responses; None leaves the header out, as older versions of the store do.
        self.era: int | None = None
        # Objects in one page of a listing.
        self.page_size = 10_000

    def copy(self) -> StoreCopy:
        """Return a copy, from which the store can be restored."""
        return StoreCopy(dict(self.objects), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: a new era begins, and later revisions are given out again."""
        self.objects = dict(copy.objects)
        self.history = [item for item in self.history if item[0] <= copy.revision]
        self.revision = copy.revision
        self.era = (self.era or 0) + 1
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: typing.Any) -> None:
        """Create or replace an object, as an operator or an endpoint does."""
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        self.objects[kind, name] = item
        self.history.append((self.revision, kind, item, False))
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if there is one."""
        if (kind, name) not in self.objects:
            return
        self.revision += 1
        item = self.objects.pop((kind, name))
        self.history.append((self.revision, kind, item, True))
        self.changed.set()
        self.changed = asyncio.Event()

    def put_endpoint(self, name: str, address: str, **changes: typing.Any) -> None:
        """Create or replace an endpoint's registration."""
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
        """Handle one call."""
        self.calls.append(f"{request.method} {request.target}")
        status, data = 503, b""
        if not self.unavailable:
            status, body = await self.respond(request)
            data = encode_document(body)
        era = "" if self.era is None else f"Store-Era: {self.era}\r\n"
        head = f"HTTP/1.1 {status} X\r\n{era}Content-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        return True

    async def respond(self, request: ReceivedRequest) -> tuple[int, typing.Any]:
        """Return the status and body for a call."""
        parts = urllib.parse.urlsplit(request.target)
        kind = parts.path.split("/")[2]
        query = dict(urllib.parse.parse_qsl(parts.query))
        if request.method == "POST":
            document = json.loads(request.body)
            self.put(kind, document["metadata"]["name"], document["spec"])
            return 200, document
        if request.method == "PUT" and parts.path.endswith("/status"):
            return self.write_status(kind, parts.path.split("/")[3], json.loads(request.body))
        if request.method == "DELETE":
            self.remove(kind, parts.path.split("/")[3])
            return 200, {}
        if "watch" in query and kind in self.hanging_watches:
            await asyncio.sleep(60.0)
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        if kind in self.empty_pages:
            return 200, {"items": [], "has_more": True, "current_rev": self.revision}
        items = [
            item
            for (item_kind, name), item in sorted(self.objects.items())
            if item_kind == kind and name > query.get("after", "")
        ]
        page = items[: self.page_size]
        has_more = len(items) > len(page)
        return 200, {"items": page, "has_more": has_more, "current_rev": self.revision}

    def write_status(
        self, kind: str, name: str, document: dict[str, typing.Any]
    ) -> tuple[int, typing.Any]:
        """Write an object's status if the object still has the revision of the document."""
        item = self.objects.get((kind, name))
        if item is None:
            return 404, {}
        if item["metadata"]["revision"] != document["metadata"]["revision"]:
            return 409, item
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        written = {**item, "metadata": metadata, "status": document["status"]}
        self.objects[kind, name] = written
        self.history.append((self.revision, kind, written, False))
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, written

    async def watch(self, kind: str, revision: int, wait: float) -> tuple[int, typing.Any]:
        """Return status and body of a watch: the changes after a revision."""
        if revision < self.oldest_revision:
            return 410, {}
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            if revision > self.revision:
                return 410, {}
            changed = self.changed
            events = [
                {"object": item, "removed": removed}
                for number, item_kind, item, removed in self.history
                if number > revision and item_kind == kind
            ]
            remaining = deadline - asyncio.get_running_loop().time()
            if events or remaining <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                async with asyncio.timeout(remaining):
                    await changed.wait()
            except TimeoutError:
                continue


def configuration(version: int = 1, **changes: typing.Any) -> dict[str, typing.Any]:
    """Return a configuration document of the platform."""

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
