"""Stand-in for a replica: registers itself in the store, runs requests and records them."""

import asyncio
import contextlib
import time
import typing

from standins import http, store

PING_SECONDS = 1.2
SEAL = "X-Masticward-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"


class Run:
    """A request that a replica began to run. Times are in monotonic seconds."""

    __slots__ = ("began_at", "ended", "ended_at", "replica_id", "request")

    def __init__(self, replica_id: str, request: http.Request) -> None:
        self.replica_id = replica_id
        self.request = request
        self.began_at = time.monotonic()
        self.ended_at = 0.0
        self.ended = "at work"

    @property
    def request_id(self) -> str:
        """The ID of the client attempt."""
        return self.request.headers.get("x-masticward-request-id", "")

    def end(self, outcome: str) -> None:
        """Record the end of the work."""
        self.ended = outcome
        self.ended_at = time.monotonic()


class Replica(http.Server):
    """A sound replica. Plain requests take ``work_seconds``; streams have ``events``."""

    def __init__(
        self,
        platform_store: store.Store,
        replica_id: str,
        service: str,
        zone: str,
        work_seconds: float = 0.045,
        events: int = 34,
        gap_seconds: float = 0.1,
    ) -> None:
        super().__init__()
        self.store = platform_store
        self.id = replica_id
        self.service = service
        self.zone = zone
        self.work_seconds = work_seconds
        self.events = events
        self.gap_seconds = gap_seconds
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.refused = 0
        self.pings: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Listen, and write the entry regularly."""
        await self.start()
        self.report()
        self.pings = asyncio.create_task(self.ping())

    async def ping(self) -> None:
        """Write the entry every ``PING_SECONDS``."""
        while True:
            await asyncio.sleep(PING_SECONDS)
            self.report()

    def report(self) -> float:
        """Write the entry; return the time of the ack."""
        self.seq += 1
        entry: dict[str, typing.Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64 if "llm" in self.service else 6,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        return self.store.put("servers", self.id, entry)

    def drain(self) -> float:
        """Report that the replica is leaving; return the time of the ack."""
        self.state = "draining"
        return self.report()

    def unlist(self) -> float:
        """Remove the entry without having reported ``draining``; return the time of the ack."""
        if self.pings is not None:
            self.pings.cancel()
        return self.store.remove("servers", self.id)

    async def leave(self) -> None:
        """Remove the entry and end the process."""
        self.unlist()
        await self.stop()

    async def handle(self, request: http.Request, writer: asyncio.StreamWriter) -> bool:
        """Run one request, or reject it if it is meant for another replica."""
        if request.headers.get("x-masticward-expect-instance", self.id) != self.id:
            self.refused += 1
            writer.write(
                "HTTP/1.1 421 Misdirected Request\r\n"
                f"X-Masticward-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        run = Run(self.id, request)
        self.runs.append(run)
        try:
            await self.answer(run, writer)
        except (asyncio.CancelledError, OSError):
            run.end("caller left")
            raise
        run.end("done")
        return True

    async def answer(self, run: Run, writer: asyncio.StreamWriter) -> None:
        """Do the work and send the answer."""
        head = f"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: {run.request_id}\r\n{SEAL}"
        if "llm" not in self.service:
            await asyncio.sleep(self.work_seconds)
            body = f"{run.request_id}:".encode() * 8
            keep = "Keep-Alive: timeout=5\r\n"
            writer.write(f"{head}{keep}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            await writer.drain()
            return
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {run.request_id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_seconds)
        writer.write(b"0\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            await writer.drain()
