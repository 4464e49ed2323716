"""Stand-in for the replicas of a plain service."""

import asyncio
import time
import typing

import wire

Reply = typing.Callable[
    ["Replica", wire.Message, asyncio.StreamWriter], typing.Awaitable[bool | None]
]


class Arrival:
    """A request as a replica has received it."""

    def __init__(self, at: float, replica_id: str, request: wire.Message) -> None:
        self.at = at
        self.replica_id = replica_id
        self.request_id = request.get("x-masticward-request-id") or ""
        self.request = request
        self.outcome = "rejected"


class Replica:
    """Serves requests one after the other on each channel, as PROTOCOL.md has it.

    ``reply`` may answer in place of the usual answer; it returns None to leave that to the replica,
    or whether the channel is kept.
    """

    def __init__(self, replica_id: str, service: str, zone: str, work_seconds: float) -> None:
        self.id = replica_id
        self.service = service
        self.zone = zone
        self.work_seconds = work_seconds
        self.born = int(time.time() * 1000)
        self.address = ""
        self.state = "ready"
        # Until when it is cold, on the monotonic clock.
        self.cold_until = 0.0
        self.arrivals: list[Arrival] = []
        self.reply: Reply | None = None
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.has_ended = False

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on an address."""
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def entry(self) -> dict[str, typing.Any]:
        """Return what the replica writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "cold_remaining_ms": round(1000.0 * max(0.0, self.cold_until - time.monotonic())),
            "seq": 1,
            "born": self.born,
        }

    def find(self, request_id: str) -> Arrival:
        """Return the arrival of a request."""
        return next(item for item in self.arrivals if item.request_id == request_id)

    def end(self) -> None:
        """Exit: close the listener and reset all channels."""
        self.has_ended = True
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one channel."""
        self.writers.add(writer)
        try:
            while await self.answer(await wire.read_message(reader), writer):
                pass
        except (EOFError, OSError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request: wire.Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether the channel is kept."""
        arrival = Arrival(time.monotonic(), self.id, request)
        self.arrivals.append(arrival)
        request_id = arrival.request_id
        if request.get("x-masticward-expect-instance") != self.id:
            headers = [("X-Masticward-Instance-Id", self.id)]
            headers.append(("X-Masticward-Request-Id", request_id))
            writer.write(wire.encode("HTTP/1.1 421 Misdirected Request", headers))
            await writer.drain()
            return True
        arrival.outcome = "begun"
        if self.reply is not None:
            kept = await self.reply(self, request, writer)
            if kept is not None:
                return kept
        await asyncio.sleep(self.work_seconds)
        if self.has_ended:
            return False
        body = f"{self.id} {request_id}".encode()
        headers = [("X-Masticward-Request-Id", request_id)]
        headers += [("X-Masticward-Response-Seal", seal(body)), ("Keep-Alive", "timeout=8")]
        writer.write(wire.encode("HTTP/1.1 200 OK", headers, body))
        await writer.drain()
        arrival.outcome = "answered"
        return True


def seal(body: bytes) -> str:
    """Return the proof of an answer."""
    return f"{sum(body):x}.{len(body):x}"
