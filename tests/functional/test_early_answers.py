"""Tests of responses that begin before the request has been received, and of invalid statuses."""

import asyncio
import itertools
import socket
import struct

from tests.functional import test_gateway
from tests.lib import platform_standins

# More than the kernel's buffers of both sides hold, so that the upload is still being written.
LONG_BODY = b"x" * 8_000_000
# The shorter one was seen to fail first; the endpoint's kernel alone does not hold it either.
BODY_SIZES = (900_000, len(LONG_BODY))
PART = b"the first half"


class EarlyCloser(platform_standins.SocketServer):
    """Answers at the head of a request without a length, and closes without reading the body.

    With ``orderly``, the end of the response arrives before the reset.
    """

    def __init__(self, orderly: bool) -> None:
        super().__init__()
        self.orderly = orderly

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        request = platform_standins.ReceivedRequest(head, b"")
        writer.transport.pause_reading()
        lines = (
            "HTTP/1.1 200 OK",
            f"X-Masticward-Request-Id: {request.request_id}",
            platform_standins.PROOF.strip(),
            "",
            "",
        )
        writer.write("\r\n".join(lines).encode() + PART)
        await writer.drain()
        await asyncio.sleep(0.02)
        sock = writer.get_extra_info("socket")
        if self.orderly:
            writer.write_eof()
            await asyncio.sleep(0.1)
        else:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


class EarlyAnswerTest(test_gateway.GatewayCase):
    """Guards against a success made of what an endpoint sent before it reset the upload."""

    async def start_with(self, orderly: bool) -> None:
        endpoint = EarlyCloser(orderly)
        await endpoint.start()
        self.addAsyncCleanup(endpoint.stop)
        self.store.put_endpoint("e1", endpoint.address)
        document = platform_standins.configuration()
        document["limits"]["max_body_bytes"] = len(LONG_BODY)
        self.endpoints = [endpoint]  # type: ignore[list-item]
        await self.start(limits=document["limits"])

    async def check(self, orderly: bool) -> None:
        await self.start_with(orderly)
        for route, size in itertools.product(("book", "status", "stream"), BODY_SIZES):
            with self.subTest(route=route, size=size):
                self.fleet.budgets.clear()
                response = await self.call(route, body=LONG_BODY[:size])
                self.assertNotIn(PART, response.body if response.complete else b"")
                self.assertTrue(response.status == 502 or not response.complete)

    async def test_an_orderly_end_during_the_upload_is_no_whole_response(self) -> None:
        await self.check(orderly=True)

    async def test_a_reset_during_the_upload_is_no_whole_response(self) -> None:
        await self.check(orderly=False)


class InvalidStatusTest(test_gateway.GatewayCase):
    """Guards against a response whose status is none of HTTP's classes."""

    async def test_a_status_outside_100_to_599_is_a_bad_gateway(self) -> None:
        # RFC 9110, section 15: other values are invalid.
        status = b""

        async def respond(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            whole = platform_standins.complete_response(request)
            writer.write(whole.replace(b" 200 ", b" " + status + b" ", 1))
            return False

        await self.add_endpoint("e1", respond)
        await self.start()
        for status, route in itertools.product(
            (b"000", b"099", b"1000", b"20", b"+20", b"2x0", b"600", b"999"),
            ("book", "status", "stream"),
        ):
            with self.subTest(status=status, route=route):
                self.fleet.budgets.clear()
                response = await self.call(route)
                self.assertEqual((502, b""), (response.status, response.body))
