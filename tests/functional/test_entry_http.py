"""Guards the HTTP front: cut streams that look whole, and callers that harm others."""

import asyncio
import json
import socket

from masticward import settings
from tests.lib import entry_fakes, entry_http_client, loops

LIMITS = settings.EntryLimits(request_body_bytes=1000, request_read_seconds=0.3)
MEGABYTE = 1024 * 1024


def parse(raw: bytes) -> tuple[int, dict[str, str], bytes]:
    head, _, body = raw.partition(b"\r\n\r\n")
    status, *fields = head.decode().split("\r\n")
    headers = dict(field.split(": ", 1) for field in fields)
    return int(status.split()[1]), headers, body


class ResponseTest(loops.UvloopTestCase):
    async def test_two_servers_in_one_process_answer_with_their_own_responses(self) -> None:
        async with (
            entry_http_client.ServerFixture(entry_fakes.answer(b"first")) as first,
            entry_http_client.ServerFixture(entry_fakes.answer(b"se", b"cond")) as second,
        ):
            status, headers, body = parse(
                await first.exchange(entry_http_client.request("/v1/book"))
            )
            self.assertEqual((200, b"first"), (status, body))
            self.assertEqual("complete", headers["masticward-outcome"])
            self.assertIn(headers["masticward-request-id"], first.entry.router.explain_log.records)
            self.assertEqual("text/plain", headers["content-type"])
            _, _, body = parse(await second.exchange(entry_http_client.request()))
            self.assertEqual(b"2\r\nse\r\n4\r\ncond\r\n0\r\n\r\n", body)

    async def test_cut_stream_has_no_clean_end(self) -> None:
        """Fails if a truncated stream ends with the final chunk, which callers take for whole."""
        cut = entry_fakes.answer(b"token", b"", cut=True)
        async with entry_http_client.ServerFixture(cut) as server:
            status, _, body = parse(await server.exchange(entry_http_client.request(close=False)))
            self.assertEqual((200, b"5\r\ntoken\r\n"), (status, body))
            status, headers, body = parse(
                await server.exchange(entry_http_client.request("/v1/book"))
            )
            self.assertEqual((502, "unknown"), (status, headers["masticward-outcome"]))
            self.assertEqual("attempt-failed", json.loads(body)["type"])

    async def test_private_headers_are_not_passed_to_the_endpoint(self) -> None:
        async with entry_http_client.ServerFixture() as server:
            raw = entry_http_client.request(
                headers={
                    "Masticward-Deadline": "3000",
                    "Connection": "close, X-Hop",
                    "X-Hop": "1",
                    "X-Kept": "2",
                }
            )
            await server.exchange(raw)
            call = server.entry.attempts.runs[0].call
            self.assertEqual((("x-kept", "2"),), call.headers)


class BadCallerTest(loops.UvloopTestCase):
    async def test_refusals_are_json_with_outcome_not_run(self) -> None:
        request = entry_http_client.request
        chunked = request(body=b"", headers={"Transfer-Encoding": "chunked"})
        chunked = chunked.replace(b"Content-Length: 0\r\n", b"")
        cases = {
            "unknown team": (401, request(credential="nobody")),
            "two credentials": (400, request().replace(b"\r\n", b"\r\nAuthorization: x\r\n", 1)),
            "unknown service": (404, request("/v1/none")),
            "declared too large": (413, request(body=b"x" * 1001)),
            "chunked too large": (413, chunked + b"7d0\r\n" + b"x" * 2000 + b"\r\n0\r\n\r\n"),
            "bad chunk": (400, chunked + b"zz\r\n"),
            "bytes in the credential": (400, request().replace(b"mango-key", b"mango-k\xe9y")),
            "space in a header name": (400, request().replace(b"\r\n", b"\r\nX-Y : z\r\n", 1)),
            "zero byte in a header": (400, request().replace(b"\r\n", b"\r\nX: \0\r\n", 1)),
            "malformed header": (400, b"POST /v1/book HTTP/1.1\r\nmalformed\r\n\r\n"),
            "negative length": (400, request(headers={"Content-Length": "-1"})),
            "deadline": (400, request(headers={"Masticward-Deadline": "nan"})),
            "path that leaves the matched prefix": (400, request("/v1/look/%2E%2e/book")),
            "half a body": (408, request(headers={"Content-Length": "9"})),
            "version without chunks": (505, request().replace(b"HTTP/1.1", b"HTTP/1.0")),
        }
        async with entry_http_client.ServerFixture(limits=LIMITS) as server:
            for name, (expected, raw) in cases.items():
                with self.subTest(name):
                    status, headers, body = parse(await server.exchange(raw))
                    self.assertEqual((expected, "not-run"), (status, headers["masticward-outcome"]))
                    self.assertEqual({"type", "message", "retry_after_ms"}, set(json.loads(body)))
            self.assertEqual([], server.entry.attempts.runs)
            self.assertEqual(0, server.entry.router.queue.body_bytes)
            await server.entry.router.drained()

    async def test_head_sent_byte_by_byte_ends_in_bounded_time(self) -> None:
        """Fails if each byte restarts the time-out, so that slow senders stay forever."""
        async with entry_http_client.ServerFixture(limits=LIMITS) as server:
            reader, writer = await server.connect()

            async def trickle() -> None:
                for byte in entry_http_client.request():
                    writer.write(bytes([byte]))
                    await asyncio.sleep(0.05)

            sender = asyncio.ensure_future(trickle())
            try:
                async with asyncio.timeout(5):
                    await asyncio.gather(reader.read(), return_exceptions=True)
                self.assertFalse(sender.done())
            finally:
                sender.cancel()
                writer.close()

    async def test_idle_connections_make_room_and_busy_ones_stay(self) -> None:
        """Fails if callers that only connect can use up the entry's connections."""
        limits = settings.EntryLimits(queue_requests=1)
        gate = asyncio.Event()
        async with entry_http_client.ServerFixture(
            entry_fakes.answer(b"x", gate=gate), limits=limits
        ) as server:
            busy, busy_writer = await server.connect()
            busy_writer.write(entry_http_client.request("/v1/book"))
            await entry_fakes.until(lambda: server.entry.attempts.runs)
            idle = [await server.connect() for _ in range(4)]
            for reader, _ in idle[:-1]:
                self.assertEqual(b"", await asyncio.wait_for(reader.read(), 5))
            gate.set()
            self.assertEqual(200, parse(await busy.read())[0])
            for writer in (busy_writer, *(writer for _, writer in idle)):
                writer.close()

    async def test_vanished_caller_cancels_only_a_model_attempt(self) -> None:
        gate = asyncio.Event()
        slow = entry_fakes.answer(b"x", gate=gate)
        async with entry_http_client.ServerFixture(slow) as server:
            for path in ("/v1/generate", "/v1/book"):
                _, writer = await server.connect()
                writer.write(entry_http_client.request(path))
                runs = len(server.entry.attempts.runs)
                await entry_fakes.until(lambda known=runs: len(server.entry.attempts.runs) > known)
                writer.close()
            await entry_fakes.until(lambda: server.entry.attempts.closed == 1)
            self.assertEqual(1, len(server.entry.router.lifecycles))
            gate.set()
            await server.entry.router.drained()
            outcomes = [r.outcome for r in server.entry.router.explain_log.newest(2)]
            self.assertEqual(["complete", "unknown"], outcomes)

    async def test_slow_reader_holds_back_its_own_stream(self) -> None:
        """Fails if the entry reads an attempt faster than its caller takes it."""
        parts = 200
        async with entry_http_client.ServerFixture(
            entry_fakes.answer(*[b"x" * (MEGABYTE // 4)] * parts)
        ) as server:
            slow = socket.socket()
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            slow.connect((entry_http_client.HOST, server.port))
            slow.sendall(entry_http_client.request())
            await entry_fakes.until(lambda: server.entry.attempts.runs)
            await asyncio.sleep(0.2)
            connection = next(iter(server.server.server.connections))
            self.assertLess(connection.transport.get_write_buffer_size(), 2 * MEGABYTE)
            self.assertEqual(0, server.entry.attempts.closed)
            slow.close()
            await server.entry.router.drained()


class DrainTest(loops.UvloopTestCase):
    async def test_drain_finishes_what_was_accepted_and_closes_kept_connections(self) -> None:
        gate = asyncio.Event()
        async with entry_http_client.ServerFixture(entry_fakes.answer(b"x", gate=gate)) as server:
            _, idle_writer = idle = await server.connect()
            reader, writer = await server.connect()
            writer.write(entry_http_client.request("/v1/book", close=False))
            await entry_fakes.until(lambda: server.entry.attempts.runs)
            server.entry.router.begin_drain()
            server.server.stop_listening()
            self.assertEqual(b"", await asyncio.wait_for(idle[0].read(), 5))
            with self.assertRaises(OSError):
                await server.connect()
            gate.set()
            await server.entry.router.drained()
            status, headers, body = parse(await asyncio.wait_for(reader.read(), 5))
            self.assertEqual((200, b"x"), (status, body))
            self.assertEqual("close", headers["connection"])
            for used in (writer, idle_writer):
                used.close()
