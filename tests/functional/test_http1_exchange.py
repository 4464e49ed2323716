"""Guards against answers that look whole although the endpoint broke them off."""

import asyncio
import errno
import math
import socket
import struct
import threading
import time
import unittest
import unittest.mock

import uvloop

from masticward import errors
from masticward.transport import http1
from masticward.utils import clocks

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def serve_once(listener: socket.socket, answer: bytes, reset: bool, done: threading.Event) -> None:
    """Take one connection, read its request, answer and close it at once."""
    connection, _ = listener.accept()
    connection.recv(65536)
    if reset:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.sendall(answer)
    connection.close()
    done.set()


CHUNKED_BODY = b"5\r\nhello\r\n0\r\n\r\n"


class ReuseTest(unittest.TestCase):
    """Guards against a request on a connection that its peer ends or has sent other bytes on."""

    def is_reusable(self, head_lines: bytes, body: bytes) -> bool:
        """Return whether a connection may be used again after an answer; the peer keeps it."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        finished = threading.Event()
        self.addCleanup(finished.set)

        def serve() -> None:
            connection, _ = listener.accept()
            connection.recv(65536)
            connection.sendall(b"HTTP/1.1 200 OK\r\n" + head_lines + b"\r\n" + body)
            finished.wait(5.0)
            connection.close()

        threading.Thread(target=serve, daemon=True).start()

        async def exchange() -> bool:
            channel = await http1.connect(listener.getsockname(), 1.0)
            call = http1.Exchange(channel)
            try:
                await call.send(b"GET", b"/", [(b"host", b"test")], b"")
                await call.read_head()
                self.assertEqual(b"hello", await call.read_body())
                return call.reusable
            finally:
                channel.abort()

        return uvloop.run(exchange())

    def test_a_connection_is_used_again_after_a_whole_answer(self) -> None:
        self.assertTrue(self.is_reusable(b"Content-Length: 5\r\n", b"hello"))
        self.assertTrue(self.is_reusable(b"Transfer-Encoding: chunked\r\n", CHUNKED_BODY))

    def test_a_connection_that_the_peer_ends_is_not_used_again(self) -> None:
        close = b"Connection: close\r\n"
        self.assertFalse(self.is_reusable(close + b"Content-Length: 5\r\n", b"hello"))
        self.assertFalse(self.is_reusable(close + b"Transfer-Encoding: chunked\r\n", CHUNKED_BODY))

    def test_a_connection_with_bytes_after_the_answer_is_not_used_again(self) -> None:
        extra = b"HTTP/1.1 200 OK\r\n"
        self.assertFalse(self.is_reusable(b"Content-Length: 5\r\n", b"hello" + extra))
        self.assertFalse(self.is_reusable(b"Transfer-Encoding: chunked\r\n", CHUNKED_BODY + extra))


class SilentPeerTest(unittest.TestCase):
    """Guards against an event loop that is held when a peer with unread bytes has become silent."""

    def test_a_connection_that_timed_out_is_no_wait_that_ended(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        polls = 0
        has_unread_bytes = http1.Channel.has_unread_bytes

        def count_poll(channel: http1.Channel) -> bool:
            nonlocal polls
            polls += 1
            self.assertLess(polls, 10)
            return has_unread_bytes(channel)

        async def read() -> None:
            channel = await http1.connect(listener.getsockname(), 1.0)
            peer, _ = listener.accept()
            self.addCleanup(peer.close)
            size = channel.usage.read_bytes + 1
            peer.sendall(bytes(size))
            while channel.protocol.unread_bytes < size:
                await asyncio.sleep(0.01)
            try:
                await channel.read_until(math.inf)
                channel.protocol.connection_lost(OSError(errno.ETIMEDOUT, "timed out"))
                self.assertIs(http1.ConnectionEnd.KERNEL, channel.end)
                with self.assertRaises(ConnectionError):
                    await channel.read_until(math.inf)
            finally:
                channel.abort()

        with unittest.mock.patch.object(http1.Channel, "has_unread_bytes", count_poll):
            uvloop.run(read())


class DiscardedBodyTest(unittest.TestCase):
    """Guards against a discarded body that keeps the processor busy while it waits for a turn."""

    def test_a_wait_for_a_turn_ends_at_the_deadline(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        async def discard() -> None:
            channel = await http1.connect(listener.getsockname(), 1.0)
            peer, _ = listener.accept()
            self.addCleanup(peer.close)
            call = http1.Exchange(channel)
            try:
                await call.send(b"GET", b"/", [(b"host", b"test")], b"")
                peer.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 9\r\n\r\n")
                await call.read_head()
                peer.sendall(b"12345")
                while not channel.protocol.unread_bytes:
                    await asyncio.sleep(0.01)
                channel.turn_queue.stop()
                channel.usage.limited = True
                channel.turn_queue.turns.next_turn_at = time.perf_counter() + 60.0
                async with asyncio.timeout(5.0):
                    self.assertEqual(0, await call.discard_body(clocks.boot_time()))
                self.assertFalse(call.ended)
                self.assertFalse(call.reusable)
                self.assertEqual(0, channel.turn_queue.turns.waiting_count)
            finally:
                channel.abort()

        uvloop.run(discard())


class InformationalAnswersTest(unittest.TestCase):
    """Guards against a peer that holds the event loop with informational answers without end."""

    def read_status(self, informational_answers: int) -> int:
        """Return the status of a final answer after a number of informational ones."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        answer = b"HTTP/1.1 102 Processing\r\n\r\n" * informational_answers + HEAD
        arguments = (listener, answer, False, threading.Event())
        threading.Thread(target=serve_once, args=arguments, daemon=True).start()

        async def exchange() -> int:
            channel = await http1.connect(listener.getsockname(), 1.0)
            call = http1.Exchange(channel)
            try:
                await call.send(b"GET", b"/", [(b"host", b"test")], b"")
                return (await call.read_head()).status
            finally:
                channel.abort()

        return uvloop.run(exchange())

    def test_the_final_answer_follows_a_few(self) -> None:
        self.assertEqual(200, self.read_status(http1.MAX_INFORMATIONAL_ANSWERS))

    def test_more_of_them_break_the_answer(self) -> None:
        with self.assertRaisesRegex(errors.EndpointBrokenError, "informational"):
            self.read_status(http1.MAX_INFORMATIONAL_ANSWERS + 1)


class UnframedAnswerTest(unittest.TestCase):
    def read_answer(self, reset: bool, write_fails: bool = False) -> bytes:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        done = threading.Event()
        arguments = (listener, HEAD + b"the first half", reset, done)
        threading.Thread(target=serve_once, args=arguments, daemon=True).start()

        async def exchange() -> bytes:
            channel = await http1.connect(listener.getsockname(), 1.0)
            call = http1.Exchange(channel)
            try:
                await call.send(b"GET", b"/", [(b"host", b"test")], b"")
                await asyncio.sleep(0.01)  # uvloop writes at the end of a loop iteration
                # The data and the end of the connection are polled together, as under load.
                done.wait(5.0)
                time.sleep(0.02)
                await call.read_head()
                if write_fails:
                    while not channel.peer_gone:
                        await asyncio.sleep(0.01)
                    # As after a write that fails in the pass in which the end was received.
                    channel.transport.abort()
                return await call.read_body()
            finally:
                channel.abort()

        return uvloop.run(exchange())

    def test_end_beside_a_failed_write_is_not_the_end_of_an_answer(self) -> None:
        with self.assertRaises(errors.EndpointBrokenError):
            self.read_answer(reset=False, write_fails=True)

    def test_reset_after_data_is_not_the_end_of_an_answer(self) -> None:
        # libuv reports the end of the stream instead of the reset when both are polled at once.
        with self.assertRaises(errors.EndpointBrokenError):
            self.read_answer(reset=True)

    def test_close_after_data_ends_an_answer_without_length(self) -> None:
        self.assertEqual(b"the first half", self.read_answer(reset=False))
