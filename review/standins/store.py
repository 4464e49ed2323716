"""Stand-in for the platform's store: objects by kind and name, listings and watches."""

import asyncio
import json
import time
import typing
import urllib.parse

from standins import http

PAGE_ITEMS = 500


class Store(http.Server):
    """Keeps the content of each object as the bytes of its JSON text, whoever wrote them."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 100
        # By kind and name: the bytes of the whole object.
        self.objects: dict[tuple[str, str], bytes] = {}
        # Revision, kind, object and whether it was removed.
        self.history: list[tuple[int, str, bytes, bool]] = []
        self.changed = asyncio.Event()
        # By address of this store: when a watch of replicas was last called there.
        self.watched_at: dict[str, float] = {}
        self.further: list[asyncio.Server] = []

    async def add_address(self) -> str:
        """Listen on one more port, so that the callers can be told apart; return the address."""
        listener = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=http.LIMIT_BYTES)
        self.further.append(listener)
        host, port = listener.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and reset all channels."""
        for listener in self.further:
            listener.close()
        await super().stop()

    def put(self, kind: str, name: str, spec: typing.Any) -> float:
        """Create or replace an object; return the time of the ack (monotonic seconds)."""
        return self.put_bytes(kind, name, json.dumps(spec).encode())

    def put_bytes(self, kind: str, name: str, spec: bytes) -> float:
        """Create or replace an object whose content is given as bytes."""
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
        item = b'{"metadata":%b,"spec":%b,"status":null}' % (json.dumps(metadata).encode(), spec)
        self.objects[kind, name] = item
        self.note_change(kind, item, removed=False)
        return time.monotonic()

    def remove(self, kind: str, name: str) -> float:
        """Remove an object; return the time of the ack (monotonic seconds)."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self.note_change(kind, item, removed=True)
        return time.monotonic()

    def note_change(self, kind: str, item: bytes, removed: bool) -> None:
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, kind, item, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request: http.Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one call."""
        parts = urllib.parse.urlsplit(request.target)
        _, _, kind, *rest = parts.path.split("/")
        query = dict(urllib.parse.parse_qsl(parts.query))
        status, body = 200, b"{}"
        if request.method == "GET" and rest:
            found = self.objects.get((kind, rest[0]))
            status, body = (200, found) if found is not None else (404, b"{}")
        elif request.method == "GET" and "watch" in query:
            if kind == "servers":
                host, port = writer.get_extra_info("sockname")[:2]
                self.watched_at[f"{host}:{port}"] = time.monotonic()
            body = await self.watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        elif request.method == "GET":
            body = self.list(kind, query.get("after", ""))
        elif request.method == "DELETE":
            self.remove(kind, rest[0])
        else:
            document = json.loads(request.body)
            name = rest[0] if rest else document["metadata"]["name"]
            if request.method == "POST" and (kind, name) in self.objects:
                status = 409
            else:
                self.put(kind, name, document["spec"])
            body = self.objects[kind, name]
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return True

    def list(self, kind: str, after: str) -> bytes:
        """Return one page of the objects of a kind."""
        names = sorted(name for item, name in self.objects if item == kind and name > after)
        items = b",".join(self.objects[kind, name] for name in names[:PAGE_ITEMS])
        more = b"true" if len(names) > PAGE_ITEMS else b"false"
        return b'{"items":[%b],"has_more":%b,"current_rev":%d}' % (items, more, self.revision)

    async def watch(self, kind: str, revision: int, seconds: float) -> bytes:
        """Return the changes of a kind after a revision, none after ``seconds``."""
        until = time.monotonic() + seconds
        while True:
            changed = self.changed
            found = [
                b'{"object":%b,"removed":%b}' % (item, b"true" if removed else b"false")
                for number, item_kind, item, removed in self.history
                if number > revision and item_kind == kind
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return b'{"events":[%b],"current_rev":%d}' % (b",".join(found), self.revision)
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue
