"""Stand-in for the platform's store: objects by kind and name, listings and watches."""

import asyncio
import contextlib
import copy
import json
import time
import typing
import urllib.parse

import wire

Document = dict[str, typing.Any]
ANSWER_SECONDS = 0.004
PAGE_OBJECTS = 500
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}
AWAY_STATUS = 503


class Change:
    """One change of an object."""

    def __init__(self, revision: int, kind: str, document: Document, removed: bool) -> None:
        self.revision = revision
        self.kind = kind
        self.document = document
        self.removed = removed


class Copy:
    """The objects of a store at one time."""

    def __init__(self, objects: dict[str, dict[str, Document]], revision: int) -> None:
        self.objects = objects
        self.revision = revision


class Store:
    """Keeps objects in memory; one revision counter numbers all changes."""

    def __init__(self) -> None:
        self.revision = 100
        self.objects: dict[str, dict[str, Document]] = {}
        self.history: list[Change] = []
        self.changed = asyncio.Event()
        # Rises each time the store comes back from a copy; None leaves it out of the answers.
        self.era: int | None = None
        # Whether the store turns all calls away.
        self.away = False
        self.calls: list[tuple[float, str, str]] = []
        self.server: asyncio.Server | None = None

    async def start(self, host: str) -> str:
        """Listen on a free port and return the address."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        return f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def put(self, kind: str, name: str, spec: typing.Any) -> float:
        """Create or replace an object's content; return when the store accepted it."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return time.monotonic()
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": known["metadata"]["created"] if known else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        document = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind][name] = document
        self.note(Change(self.revision, kind, document, False))
        return time.monotonic()

    def delete(self, kind: str, name: str) -> float:
        """Remove an object; return when the store accepted it."""
        document = self.objects.get(kind, {}).pop(name, None)
        if document is not None:
            self.revision += 1
            self.note(Change(self.revision, kind, document, True))
        return time.monotonic()

    def take_copy(self) -> "Copy":
        """Return a copy of all objects."""
        return Copy(copy.deepcopy(self.objects), self.revision)

    def leave(self) -> None:
        """Turn all calls away, and those that wait."""
        self.away = True
        self.wake()

    def come_back(self, taken: "Copy") -> None:
        """Go on from a copy: what was written since is gone, and revisions are given out again."""
        self.objects = copy.deepcopy(taken.objects)
        self.revision = taken.revision
        self.history = [item for item in self.history if item.revision <= taken.revision]
        self.era = (self.era or 0) + 1
        self.away = False

    def note(self, change: Change) -> None:
        """Keep a change for watches and wake those that wait."""
        self.history.append(change)
        self.wake()

    def wake(self) -> None:
        """Let the watches that wait look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one channel."""
        try:
            while True:
                request = await wire.read_message(reader)
                method, target, _ = request.start.split(" ")
                self.calls.append((time.monotonic(), method, target))
                status, answer = await self.answer(method, target, request.body, reader)
                await asyncio.sleep(ANSWER_SECONDS)
                body = json.dumps(answer).encode()
                headers = [("Content-Type", "application/json")]
                if self.era is not None:
                    headers.append(("Store-Era", str(self.era)))
                start = f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}"
                writer.write(wire.encode(start, headers, body))
                await writer.drain()
        except (EOFError, OSError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(
        self, method: str, target: str, body: bytes, reader: asyncio.StreamReader
    ) -> tuple[int, Document]:
        """Carry out one call."""
        if self.away:
            return AWAY_STATUS, {}
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        _, _, kind, *names = url.path.split("/")
        name = urllib.parse.unquote(names[0]) if names else ""
        if method == "GET" and "watch" in query:
            wait_seconds = int(query.get("wait_ms", "0")) / 1000.0
            return await self.watch(kind, int(query["watch"]), wait_seconds)
        if method == "GET" and not name:
            return 200, self.list(kind, query.get("after", ""))
        known = self.objects.get(kind, {}).get(name)
        if method == "GET":
            return (200, known) if known else (404, {})
        document = json.loads(body) if body else {}
        if method == "POST":
            name = document["metadata"]["name"]
            if name in self.objects.get(kind, {}):
                return 409, self.objects[kind][name]
            self.put(kind, name, document["spec"])
            return 201, self.objects[kind][name]
        if known is None:
            return 404, {}
        if method == "DELETE":
            self.delete(kind, name)
            return 200, known
        self.put(kind, name, document["spec"])
        return 200, self.objects[kind][name]

    def list(self, kind: str, after: str) -> Document:
        """Return one page of a kind's objects."""
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        page = [self.objects[kind][name] for name in names[:PAGE_OBJECTS]]
        has_more = len(names) > PAGE_OBJECTS
        return {"items": page, "has_more": has_more, "current_rev": self.revision}

    async def watch(self, kind: str, revision: int, wait_seconds: float) -> tuple[int, Document]:
        """Return the changes after a revision as soon as there is one."""
        if revision > self.revision:
            return 410, {}
        until = time.monotonic() + wait_seconds
        while not self.away:
            changed = self.changed
            events = [
                {"object": change.document, "removed": change.removed}
                for change in self.history
                if change.kind == kind and change.revision > revision
            ]
            left = until - time.monotonic()
            if events or left <= 0.0:
                return 200, {"events": events, "current_rev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)
        return AWAY_STATUS, {}
