"""Guards requests that arrive while a busy process decides to close their connection.

A loop that is late handles the bytes of a request and the timer, or the stop, that closes its
connection in the same pass. The load: many clients on kept connections, one weak gateway.
"""

import asyncio
import collections.abc
import socket
import threading
import time
import unittest

import uvloop

from masticward.models import gateway
from masticward.transport import http1_server
from masticward.utils import clocks

CLIENTS = 20
IDLE_TIMEOUT_SECONDS = 0.5
HOLD_SECONDS = 0.8
SOCKET_TIMEOUT_SECONDS = 10.0
REQUEST = b"GET / HTTP/1.1\r\nHost: test\r\n\r\n"
LOOPS: dict[str, collections.abc.Callable[[], asyncio.AbstractEventLoop]] = {
    "asyncio": asyncio.new_event_loop,
    "uvloop": uvloop.new_event_loop,
}


class OkHandler(http1_server.RequestHandler):
    """Answers each request with 200 and counts them."""

    def __init__(self) -> None:
        self.handled = 0

    def limits(self) -> gateway.ClientLimits:
        return gateway.ClientLimits(idle_timeout_seconds=IDLE_TIMEOUT_SECONDS)

    async def handle(
        self, request: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        self.handled += 1
        await responder.send(200, [], b"ok")


class Clients:
    """Clients in threads, which send while the loop of the server is held."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.answers: list[bytes] = []
        self.connected = threading.Barrier(CLIENTS + 1)
        self.send_at = threading.Event()
        self.sent = threading.Barrier(CLIENTS + 1)
        self.threads = [threading.Thread(target=self.run, daemon=True) for _ in range(CLIENTS)]

    def start(self) -> None:
        for thread in self.threads:
            thread.start()

    def run(self) -> None:
        with socket.create_connection(("127.0.0.1", self.port)) as connection:
            connection.settimeout(SOCKET_TIMEOUT_SECONDS)
            self.connected.wait(SOCKET_TIMEOUT_SECONDS)
            self.send_at.wait(SOCKET_TIMEOUT_SECONDS)
            try:
                connection.sendall(REQUEST)
                self.sent.wait(SOCKET_TIMEOUT_SECONDS)
                self.answers.append(connection.recv(65536))
            except (OSError, threading.BrokenBarrierError) as error:
                self.sent.abort()
                self.answers.append(repr(error).encode())

    async def wait_until_sent(self) -> None:
        try:
            await asyncio.to_thread(self.sent.wait, SOCKET_TIMEOUT_SECONDS)
        except threading.BrokenBarrierError:
            return

    def join(self) -> None:
        for thread in self.threads:
            thread.join(SOCKET_TIMEOUT_SECONDS)

    @property
    def served(self) -> int:
        return sum(answer.startswith(b"HTTP/1.1 200") for answer in self.answers)


async def stop_server(server: http1_server.Server) -> None:
    """Stop as the gateway does: no new connection, then abort once nothing is served."""
    server.stop_listening()
    await end_server(server)


async def end_server(server: http1_server.Server) -> None:
    """Abort the connections once nothing is served."""
    async with asyncio.timeout(SOCKET_TIMEOUT_SECONDS):
        while server.busy:
            await asyncio.sleep(0.02)
    server.abort()


class LateLoopTest(unittest.TestCase):
    def run_on_each_loop(
        self,
        scenario: collections.abc.Callable[
            [http1_server.Server], collections.abc.Coroutine[None, None, Clients]
        ],
    ) -> None:
        for name, factory in LOOPS.items():
            with self.subTest(loop=name):

                async def main() -> Clients:
                    server = http1_server.Server(("127.0.0.1", 0), OkHandler())
                    clients = await scenario(server)
                    await asyncio.to_thread(clients.join)
                    server.abort()
                    return clients

                with asyncio.Runner(loop_factory=factory) as runner:
                    clients = runner.run(main())
                self.assertEqual(CLIENTS, clients.served, clients.answers)

    def test_requests_that_arrive_with_the_idle_timeout_are_answered(self) -> None:
        async def scenario(server: http1_server.Server) -> Clients:
            clients = Clients(await server.start())
            clients.start()
            await asyncio.to_thread(clients.connected.wait, SOCKET_TIMEOUT_SECONDS)
            await asyncio.sleep(IDLE_TIMEOUT_SECONDS / 2)
            clients.send_at.set()
            clients.sent.wait(SOCKET_TIMEOUT_SECONDS)
            # Holds the loop past the idle timeout, with the requests already received.
            time.sleep(HOLD_SECONDS)
            return clients

        self.run_on_each_loop(scenario)

    def test_requests_received_before_a_stop_are_answered(self) -> None:
        async def scenario(server: http1_server.Server) -> Clients:
            clients = Clients(await server.start())
            clients.start()
            await asyncio.to_thread(clients.connected.wait, SOCKET_TIMEOUT_SECONDS)
            await asyncio.sleep(IDLE_TIMEOUT_SECONDS / 10)
            clients.send_at.set()
            clients.sent.wait(SOCKET_TIMEOUT_SECONDS)
            time.sleep(IDLE_TIMEOUT_SECONDS / 10)
            await stop_server(server)
            return clients

        self.run_on_each_loop(scenario)

    def test_connections_not_yet_accepted_at_a_stop_are_answered(self) -> None:
        async def scenario(server: http1_server.Server) -> Clients:
            clients = Clients(await server.start())
            clients.start()
            # Blocks the loop, so that the connections wait in the listener's backlog.
            clients.connected.wait(SOCKET_TIMEOUT_SECONDS)
            clients.send_at.set()
            clients.sent.wait(SOCKET_TIMEOUT_SECONDS)
            time.sleep(IDLE_TIMEOUT_SECONDS / 10)
            await stop_server(server)
            return clients

        self.run_on_each_loop(scenario)

    def test_first_requests_received_when_their_time_ends_are_answered(self) -> None:
        # A stop closes unused connections; the process ended before it read these requests.
        async def scenario(server: http1_server.Server) -> Clients:
            clients = Clients(await server.start())
            clients.start()
            await asyncio.to_thread(clients.connected.wait, SOCKET_TIMEOUT_SECONDS)
            server.stop_listening()
            server.first_requests_until = clocks.boot_time()
            clients.send_at.set()
            clients.sent.wait(SOCKET_TIMEOUT_SECONDS)
            server.close_unused()
            await end_server(server)
            return clients

        self.run_on_each_loop(scenario)

    def test_connections_without_a_request_yet_are_served_after_a_stop(self) -> None:
        async def scenario(server: http1_server.Server) -> Clients:
            clients = Clients(await server.start())
            clients.start()
            clients.connected.wait(SOCKET_TIMEOUT_SECONDS)
            stopping = asyncio.ensure_future(stop_server(server))
            # The clients' bytes are on their way when the server stops.
            await asyncio.sleep(IDLE_TIMEOUT_SECONDS / 10)
            clients.send_at.set()
            await clients.wait_until_sent()
            await stopping
            return clients

        self.run_on_each_loop(scenario)
