"""Guards clients against endpoints that send more, less or other bytes than one answer.

Covers late copies of an answer on a connection that is used again, bytes without end, and streams
that are slow or stalled.
"""

import asyncio
import time
import typing

from tests.functional import test_gateway
from tests.lib import platform_standins

MEBIBYTE = 1024 * 1024
# More than any buffer between the two processes and the largest body that is held.
ENDLESS_LIMIT_BYTES = 64 * MEBIBYTE
FLOOD = b"x" * 65536


def copy_without_id(request: platform_standins.ReceivedRequest, body: bytes) -> bytes:
    """Return a signed response without a request ID."""
    anonymous = platform_standins.ReceivedRequest(b"POST / HTTP/1.1\r\n", b"")
    head = platform_standins.complete_response(anonymous, body)
    return head.replace(b"X-Masticward-Request-Id: \r\n", b"")


class LateCopyTest(test_gateway.GatewayCase):
    """Guards against the answer to one client's request that reaches the next client."""

    async def call_as(self, request_id: str) -> test_gateway.Response:
        data = self.request("book").replace(b"Id: q1", f"Id: {request_id}".encode())
        reader, writer = await self.send(data)
        try:
            return await self.read(reader)
        finally:
            writer.close()

    async def start_copying(
        self, copy: typing.Callable[[platform_standins.ReceivedRequest], bytes], moment: str
    ) -> None:
        """Start with an endpoint that sends a copy of its first answer at a moment."""
        first: list[platform_standins.ReceivedRequest] = []

        async def behave(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            answer = platform_standins.complete_response(request, request.request_id.encode())
            if not first:
                first.append(request)
                writer.write(answer)
                if moment == "while idle":
                    asyncio.get_running_loop().call_later(0.05, writer.write, copy(request))
                return True
            if moment == "in one segment with the next answer" and request is not first[0]:
                answer = copy(first[0]) + answer
            elif moment == "before the next answer":
                writer.write(copy(first[0]))
                await asyncio.sleep(0.05)
            writer.write(answer)
            return True

        await self.add_endpoint("e1", behave)
        await self.start()

    async def check_no_foreign_answer(self, second: test_gateway.Response) -> None:
        if second.status == 200:
            self.assertEqual(b"q2", second.body)
        else:
            # The request ran, so nothing may be promised and it may not be sent again.
            self.assertEqual((502, b""), (second.status, second.body))

    async def test_a_copy_that_arrives_while_the_connection_is_idle(self) -> None:
        await self.start_copying(
            lambda request: platform_standins.complete_response(request, b"q1"), "while idle"
        )
        await self.call_as("q1")
        await asyncio.sleep(0.15)
        second = await self.call_as("q2")
        self.assertEqual((200, b"q2"), (second.status, second.body))

    async def test_a_copy_without_an_id_that_arrives_while_the_connection_is_idle(self) -> None:
        await self.start_copying(lambda request: copy_without_id(request, b"q1"), "while idle")
        await self.call_as("q1")
        await asyncio.sleep(0.15)
        second = await self.call_as("q2")
        self.assertEqual((200, b"q2"), (second.status, second.body))

    async def test_a_copy_before_the_next_answer(self) -> None:
        await self.start_copying(
            lambda request: platform_standins.complete_response(request, b"q1"),
            "before the next answer",
        )
        await self.call_as("q1")
        await self.check_no_foreign_answer(await self.call_as("q2"))

    async def test_a_copy_without_an_id_before_the_next_answer(self) -> None:
        await self.start_copying(
            lambda request: copy_without_id(request, b"q1"), "before the next answer"
        )
        await self.call_as("q1")
        await self.check_no_foreign_answer(await self.call_as("q2"))

    async def test_a_copy_without_an_id_in_one_segment_with_the_next_answer(self) -> None:
        await self.start_copying(
            lambda request: copy_without_id(request, b"q1"), "in one segment with the next answer"
        )
        await self.call_as("q1")
        await self.check_no_foreign_answer(await self.call_as("q2"))

    async def test_a_connection_with_a_stray_answer_is_not_used_again(self) -> None:
        await self.start_copying(
            lambda request: platform_standins.complete_response(request, b"q1"),
            "in one segment with the next answer",
        )
        await self.call_as("q1")
        await self.check_no_foreign_answer(await self.call_as("q2"))
        opened = self.program.endpoint_client.pool.opened
        await self.call_as("q3")
        self.assertEqual(opened + 1, self.program.endpoint_client.pool.opened)


class EndlessBytesTest(test_gateway.GatewayCase):
    """Guards against memory that grows with what a faulty endpoint sends until it is closed."""

    async def start_flooding(self, beginning: bytes, pause_seconds: float = 0.0) -> None:
        """Start with an endpoint that sends a beginning and then bytes without end."""
        self.flooded = 0
        self.closed = asyncio.Event()

        async def flood(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            try:
                writer.write(beginning.replace(b"ID", request.request_id.encode()))
                while self.flooded < ENDLESS_LIMIT_BYTES:
                    writer.write(FLOOD)
                    await writer.drain()
                    self.flooded += len(FLOOD)
                    await asyncio.sleep(pause_seconds)
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                self.closed.set()
            return False

        await self.add_endpoint("e1", flood)
        await self.start()

    async def check_ended(self, max_bytes: int) -> None:
        started = time.monotonic()
        response = await self.call("book")
        self.assertLess(time.monotonic() - started, 3.5)
        self.assertNotEqual(200, response.status)
        async with asyncio.timeout(5.0):
            await self.closed.wait()
        self.assertLess(self.flooded, max_bytes)

    async def test_a_status_line_without_end(self) -> None:
        await self.start_flooding(b"HTTP/1.1 200 ")
        await self.check_ended(8 * MEBIBYTE)

    async def test_a_header_without_end(self) -> None:
        await self.start_flooding(b"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: ")
        await self.check_ended(8 * MEBIBYTE)

    async def test_a_chunk_size_without_end(self) -> None:
        await self.start_flooding(
            b"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: ID\r\n"
            b"X-Masticward-Response-Seal: proof\r\nTransfer-Encoding: chunked\r\n\r\n1;a="
        )
        await self.check_ended(8 * MEBIBYTE)

    async def test_a_body_without_end(self) -> None:
        await self.start_flooding(
            b"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: ID\r\n"
            b"X-Masticward-Response-Seal: proof\r\nConnection: close\r\n\r\n"
        )
        await self.check_ended(ENDLESS_LIMIT_BYTES)

    async def test_a_slow_head_without_end(self) -> None:
        await self.start_flooding(b"HTTP/1.1 200 OK\r\nX-A: ", pause_seconds=0.02)
        await self.check_ended(8 * MEBIBYTE)

    async def test_bytes_without_end_after_an_answer(self) -> None:
        await self.start_flooding(
            b"HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: ID\r\n"
            b"X-Masticward-Response-Seal: proof\r\nContent-Length: 2\r\n\r\nok"
        )
        response = await self.call("book")
        self.assertEqual((200, b"ok"), (response.status, response.body))
        async with asyncio.timeout(5.0):
            await self.closed.wait()
        self.assertLess(self.flooded, 8 * MEBIBYTE)


class StalledStreamTest(test_gateway.GatewayCase):
    """Guards against slow but sound streams that are cut, and stalled ones that never end."""

    HEAD = (
        "HTTP/1.1 200 OK\r\nX-Masticward-Request-Id: {}\r\n"
        + platform_standins.PROOF
        + "Transfer-Encoding: chunked\r\n\r\n"
    )

    def stream(self, pieces: list[bytes], pause_seconds: float) -> platform_standins.Behaviour:
        """Return a behaviour that sends one piece after each pause; a resumed one ends at once."""

        async def behave(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(self.HEAD.format(request.request_id).encode())
            resumed = "last-event-id" in request.headers
            for piece in [b"id: 9\ndata: z\n\n"] if resumed else pieces:
                writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
                await writer.drain()
                await asyncio.sleep(0.0 if resumed else pause_seconds)
            writer.write(b"0\r\n\r\n")
            return True

        return behave

    async def call_patiently(self) -> test_gateway.Response:
        data = self.request("resume").replace(b"Deadline-Ms: 3000", b"Deadline-Ms: 8000")
        reader, writer = await self.send(data)
        try:
            return await self.read(reader)
        finally:
            writer.close()

    async def test_a_slow_stream_of_complete_events_is_not_cut(self) -> None:
        pieces = [f"id: {number}\ndata: a\n\n".encode() for number in range(1, 4)]
        await self.add_endpoint("e1", self.stream(pieces, 0.9))
        await self.start()
        response = await self.call_patiently()
        self.assertEqual((True, b"".join(pieces)), (response.complete, response.body))

    async def test_an_event_in_many_slow_parts_counts_when_it_is_complete(self) -> None:
        pieces = [b"id: 1\nda", b"ta: a", b"\n\n", b"id: 2\ndat", b"a: b\n", b"\n"]
        await self.add_endpoint("e1", self.stream(pieces, 0.3))
        await self.start()
        response = await self.call_patiently()
        self.assertEqual((True, b"".join(pieces)), (response.complete, response.body))

    async def check_resumed(self, filler: bytes) -> None:
        pieces = [b"id: 1\ndata: a\n\n", *[filler] * 20]
        for name in ("e1", "e2"):
            await self.add_endpoint(name, self.stream(pieces, 0.4))
        await self.start()
        started = time.monotonic()
        response = await self.call_patiently()
        # The stated time without a complete event, and some for the second attempt.
        self.assertLess(time.monotonic() - started, 4.0)
        self.assertTrue(response.complete)
        self.assertTrue(response.body.endswith(b"id: 9\ndata: z\n\n"), response.body)

    async def test_a_stream_of_comments_only_is_resumed_at_another_endpoint(self) -> None:
        await self.check_resumed(b": ping\n\n")

    async def test_a_stream_of_single_bytes_is_resumed_at_another_endpoint(self) -> None:
        await self.check_resumed(b"d")
