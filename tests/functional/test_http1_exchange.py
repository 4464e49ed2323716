"""Guards against answers that look whole although the endpoint broke them off."""

import asyncio
import socket
import struct
import threading
import time
import unittest

import uvloop

from masticward import errors
from masticward.transport import http1

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


class UnframedAnswerTest(unittest.TestCase):
    def read_answer(self, reset: bool) -> bytes:
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
                return await call.read_body()
            finally:
                channel.abort()

        return uvloop.run(exchange())

    def test_reset_after_data_is_not_the_end_of_an_answer(self) -> None:
        # libuv reports the end of the stream instead of the reset when both are polled at once.
        with self.assertRaises(errors.EndpointBrokenError):
            self.read_answer(reset=True)

    def test_close_after_data_ends_an_answer_without_length(self) -> None:
        self.assertEqual(b"the first half", self.read_answer(reset=False))
