"""Guards against an endpoint that works on because it has not read the body of a request yet."""

import asyncio
import select
import socket
import typing

from masticward.utils import clocks
from tests.functional import test_endless_bytes
from tests.lib import platform_standins

BODY = bytes(1_000_000)
BUFFER_BYTES = 64 * 1024
EVENT = b"id: 1\ndata: a\n\n"
# The specification grants an endpoint this time to end its work.
END_SECONDS = 0.4


class SilentWorker(platform_standins.EndpointStandin):
    """Begins its first response before it reads the body, and works in silence from then on.

    Later responses are those of ``behaviour``. ``ended_at`` is when its kernel knew of the end of
    the first connection, in seconds of ``clocks.boot_time``; ``events`` are sent before the
    silence.
    """

    def __init__(self, behaviour: platform_standins.Behaviour, events: bytes = b"") -> None:
        super().__init__(behaviour)
        self.events = events
        self.began = asyncio.Event()
        self.ended = asyncio.Event()
        self.ended_at = 0.0

    async def start(self) -> None:
        """Open a listener whose connections have small buffers."""
        await super().start()
        assert self.server is not None
        for sock in self.server.sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)

    async def early_response(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Work until the kernel knows that the caller has closed the connection."""
        if self.began.is_set():
            return False
        self.received.append(request)
        # The transport of uvloop is no asyncio.Transport.
        transport: typing.Any = writer.transport
        transport.pause_reading()
        if self.events:
            writer.write(
                f"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: {request.request_id}\r\n"
                f"{platform_standins.PROOF}Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
                + b"%x\r\n%b\r\n" % (len(self.events), self.events)
            )
        watched = select.poll()
        watched.register(writer.get_extra_info("socket").fileno(), select.POLLRDHUP)
        self.began.set()
        while not watched.poll(0):
            await asyncio.sleep(0.01)
        self.ended_at = clocks.boot_time()
        self.ended.set()
        return True


class UnreadRequestTest(test_endless_bytes.EndlessBytesCase):
    """Guards against the end of a connection that reaches its endpoint only behind a body."""

    async def start_with(self, *endpoints: SilentWorker) -> None:
        for number, endpoint in enumerate(endpoints):
            await endpoint.start()
            self.addAsyncCleanup(endpoint.stop)
            self.store.put_endpoint(f"e{number}", endpoint.address)
            self.endpoints.append(endpoint)
        document = platform_standins.configuration()
        document["limits"]["max_body_bytes"] = len(BODY)
        await self.start(limits=document["limits"])

    async def check_replacement(self, route: str, events: bytes) -> None:
        resumed_at = 0.0

        async def go_on(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            nonlocal resumed_at
            resumed_at = clocks.boot_time()
            number = int(request.headers.get("last-event-id", "0")) + 1
            event = b"id: %d\ndata: b\n\n" % number
            writer.write(
                platform_standins.complete_response(
                    request, event, "Content-Type: text/event-stream\r\n"
                )
            )
            return True

        workers = [SilentWorker(go_on, events) for _ in range(2)]
        await self.start_with(*workers)
        # Only the endpoint that is asked first is silent.
        call = asyncio.ensure_future(self.call(route, body=BODY))
        began = [asyncio.ensure_future(worker.began.wait()) for worker in workers]
        await asyncio.wait(began, return_when=asyncio.FIRST_COMPLETED)
        first = workers[0] if workers[0].began.is_set() else workers[1]
        for worker in workers:
            worker.began.set()
        response = await call
        self.assertEqual((200, True), (response.status, response.complete))
        async with asyncio.timeout(5.0):
            await first.ended.wait()
        self.assertLess(first.ended_at - resumed_at, END_SECONDS)

    async def test_a_stream_that_goes_on_elsewhere_ends_at_its_former_endpoint(self) -> None:
        await self.check_replacement("resume", EVENT)

    async def test_a_request_that_is_repeated_elsewhere_ends_at_its_former_endpoint(self) -> None:
        await self.check_replacement("status", b"")

    async def check_end(self, events: bytes, deadline_ms: int, closes: bool) -> None:
        worker = SilentWorker(platform_standins.send_complete_response, events)
        await self.start_with(worker)
        data = self.request("stream", body=BODY)
        data = data.replace(b"Deadline-Ms: 60000", b"Deadline-Ms: %d" % deadline_ms)
        ends_at = clocks.boot_time() + deadline_ms / 1000
        _, writer = await self.send(data)
        await writer.drain()
        async with asyncio.timeout(5.0):
            await worker.began.wait()
            if closes:
                await asyncio.sleep(0.3)
                ends_at = clocks.boot_time()
                writer.close()
            await worker.ended.wait()
        writer.close()
        self.assertLess(worker.ended_at - ends_at, END_SECONDS)

    async def test_a_request_whose_client_leaves_before_the_answer_ends(self) -> None:
        await self.check_end(b"", 60_000, True)

    async def test_a_request_whose_client_leaves_within_the_answer_ends(self) -> None:
        await self.check_end(EVENT, 60_000, True)

    async def test_a_request_whose_time_is_over_before_the_answer_ends(self) -> None:
        await self.check_end(b"", 1000, False)

    async def test_a_request_whose_time_is_over_within_the_answer_ends(self) -> None:
        await self.check_end(EVENT, 1000, False)
