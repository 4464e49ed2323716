"""Guards against a gateway that is killed because the bodies of requests take its memory."""

import asyncio

from tests.functional import test_gateway
from tests.lib import platform_standins

BODY = bytes(60_000)


class HeldStream:
    """Begins a stream on one event and ends it on another."""

    def __init__(self) -> None:
        self.begins = asyncio.Event()
        self.ends = asyncio.Event()

    async def __call__(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        await self.begins.wait()
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: {request.request_id}\r\n"
            f"{platform_standins.PROOF}Transfer-Encoding: chunked\r\n\r\n"
            "10\r\nid: 1\ndata: aa\n\n\r\n".encode()
        )
        await self.ends.wait()
        writer.write(b"0\r\n\r\n")
        return True


class BodyMemoryTest(test_gateway.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.behaviour = HeldStream()
        await self.add_endpoint("e1", self.behaviour)
        await self.start()
        self.memory = self.program.body_memory
        # Room for one body, not for two.
        self.memory.limit_bytes = 100_000

    def chunked_request(self, route: str) -> bytes:
        head, _, body = self.request(route, body=BODY).partition(b"\r\n\r\n")
        head = head.replace(b"Content-Length: %d" % len(BODY), b"Transfer-Encoding: chunked")
        return head + b"\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)

    async def hold_one(self, route: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request whose endpoint does not answer yet."""
        connection = await self.send(self.request(route, body=BODY))
        await self.wait_until(lambda: self.attempts() > 0)
        return connection

    async def assert_refused(self, data: bytes) -> None:
        reader, writer = await self.send(data)
        response = await self.read(reader)
        self.assertEqual((503, "close"), (response.status, response.headers["connection"]))
        self.assertIn("retry-after", response.headers)
        writer.close()

    async def test_a_body_that_does_not_fit_is_refused_and_not_run(self) -> None:
        reader, writer = await self.hold_one("stream")
        await self.assert_refused(self.request("stream", body=BODY))
        await self.assert_refused(self.chunked_request("stream"))
        # The head alone is enough to refuse.
        await self.assert_refused(self.request("stream", body=BODY)[:-50_000])
        self.assertEqual(1, self.attempts())
        self.behaviour.begins.set()
        self.behaviour.ends.set()
        self.assertEqual(200, (await self.read(reader)).status)
        await self.wait_until(lambda: self.memory.held_bytes == 0)
        writer.close()

    async def test_a_body_that_is_not_sent_again_is_freed_when_the_answer_begins(self) -> None:
        for route, freed in (("stream", True), ("resume", False)):
            with self.subTest(route):
                _, writer = await self.hold_one(route)
                self.assertEqual(len(BODY), self.memory.held_bytes)
                self.behaviour.begins.set()
                await asyncio.sleep(0.2)
                self.assertEqual(0 if freed else len(BODY), self.memory.held_bytes)
                writer.close()
                await self.wait_until(lambda: self.memory.held_bytes == 0)
                self.endpoints[0].received.clear()

    async def test_nothing_stays_reserved_for_requests_that_never_arrive(self) -> None:
        _, writer = await self.send(self.request("stream", body=BODY)[:-1])
        await self.wait_until(lambda: self.memory.held_bytes == len(BODY))
        writer.close()
        await self.wait_until(lambda: self.memory.held_bytes == 0)
        reader, writer = await self.send(self.chunked_request("stream").replace(b"ea60", b"zz"))
        self.assertEqual(400, (await self.read(reader)).status)
        writer.close()
        self.assertEqual(0, self.memory.held_bytes)
