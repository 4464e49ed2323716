"""Guards against stops that the logs can't tell apart, and against a stop that is planned late."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest.mock

from masticward import events
from masticward.daemons import gateway as gateway_daemon
from masticward.transport import http1_server
from masticward.utils import clocks
from tests.functional import test_gateway, test_request_lines
from tests.lib import loops, platform_standins

ROOT = pathlib.Path(__file__).resolve().parents[2]
SCRIPT = ROOT / "deploy" / "gateway.py"
LAUNCHER = ROOT / "tests" / "lib" / "launch.py"
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class LateSignalTest(test_gateway.GatewayCase):
    """Guards against requests that a late process begins although it will be killed before."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in STOP_SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))
            self.addCleanup(asyncio.get_running_loop().remove_signal_handler, number)

    async def test_the_grace_period_counts_from_the_arrival_of_the_signal(self) -> None:
        self.store.put("config", "main", platform_standins.configuration())
        running = asyncio.ensure_future(gateway_daemon.run_until_signal(self.program))
        await self.wait_until(lambda: self.fleet.configuration is not None)
        signalled_at = clocks.boot_time()
        os.kill(os.getpid(), signal.SIGTERM)
        while clocks.boot_time() < signalled_at + 0.7:
            pass
        await self.wait_until(lambda: self.fleet.stopping_at is not None)
        assert self.fleet.stopping_at is not None
        self.assertAlmostEqual(signalled_at, self.fleet.stopping_at, delta=0.1)
        cut_at = signalled_at + self.grace_s - gateway_daemon.STOP_MARGIN_SECONDS
        self.assertAlmostEqual(cut_at, self.fleet.ends_at, delta=0.1)
        self.assertEqual(0, await running)


class UnreadRequestTest(test_gateway.GatewayCase):
    """Guards against a stop that ends before it has read a request that has arrived."""

    async def test_a_request_that_follows_an_answer_keeps_the_process(self) -> None:
        released = asyncio.Event()

        async def answer(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            await released.wait()
            return await platform_standins.send_complete_response(request, writer)

        await self.add_endpoint("e1", answer)
        await self.start()
        reader, writer = await self.send(self.request("book"))
        await self.wait_until(lambda: self.attempts() == 1)
        server = self.program.client_server
        (connection,) = server.connections
        # The head of an answer that has begun before the stop says nothing of its end.
        with unittest.mock.patch.object(
            http1_server.Responder, "closes_connection", new_callable=unittest.mock.PropertyMock
        ) as closes_connection:
            closes_connection.return_value = False
            server.stop_listening()
            # The kernel has bytes that the event loop has not seen yet.
            with unittest.mock.patch.object(
                http1_server.ServerConnection, "has_unread_request", return_value=True
            ):
                released.set()
                self.assertEqual(200, (await self.read(reader)).status)
                await self.wait_until(lambda: connection.reading is not None)
            self.assertEqual(1, server.busy)
        writer.write(self.request("book"))
        self.assertEqual(200, (await self.read(reader)).status)
        writer.close()


class RepeatedSignalTest(loops.UvloopTestCase):
    """Guards against a second signal that ends the process before its last log lines are out."""

    async def test_signals_until_the_end_do_not_kill_the_process(self) -> None:
        store = platform_standins.StoreStandin()
        await store.start()
        self.addAsyncCleanup(store.stop)
        directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        settings = directory / "node.yaml"
        settings.write_text(
            platform_standins.SETTINGS.format(
                ip="127.0.0.1", store=store.address, revoke_ms=5000, grace_s=8
            )
        )
        log = directory / "log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, str(LAUNCHER), str(SCRIPT)],
                env={**os.environ, "MASTICWARD_SETTINGS": str(settings)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.addCleanup(process.kill)
        deadline = time.monotonic() + 20.0
        while b'"number":8001' not in log.read_bytes() and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        while process.poll() is None and time.monotonic() < deadline:
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.005)
        self.assertEqual(0, process.wait(timeout=5))
        self.assertIn(b'"number":1003', log.read_bytes())


class StopLinesTest(test_request_lines.RequestLinesCase):
    """Guards against a process that is killed in its stop and whose log names no open request."""

    grace_s = 4

    async def test_open_requests_are_named_before_the_process_may_be_killed(self) -> None:
        await self.add_endpoint("e1", platform_standins.never_respond)
        routes = platform_standins.configuration()["routes"]
        await self.start(routes=[{**route, "timeout_ms": 9000} for route in routes])
        data = self.request("stream").replace(b"Ms: 3000", b"Ms: 9000")
        _, served = await self.send(data)
        _, half_read = await self.send(data.replace(b"Id: q1", b"Id: q2")[:-1])
        await self.wait_until(lambda: self.attempts() == 1)
        await self.wait_until(lambda: self.program.client_server.busy == 2)
        await self.program.stop()
        (begun,) = self.lines_of(events.Event.PROCESS_STOPPING)
        self.assert_fields(begun, grace_ms=4000, unfinished=2)
        self.assertAlmostEqual(3400, begun["ends_in_ms"], delta=100)
        (near_end,) = self.lines_of(events.Event.PROCESS_STOP_NEAR_END)
        self.assertAlmostEqual(1000, near_end["ends_in_ms"], delta=200)
        self.assert_fields(near_end, unfinished=2, unfinished_by_stage={"waiting": 1, "reading": 1})
        self.assertEqual({"q1", "q2"}, set(near_end["request_ids"]))
        (ended,) = self.lines_of(events.Event.PROCESS_STOPPED)
        self.assert_fields(ended, cut=1)
        served.close()
        half_read.close()

    async def test_a_late_stop_has_a_warning_and_one_without_requests_names_none(self) -> None:
        await self.start()
        stopping = asyncio.ensure_future(self.program.stop())
        await asyncio.sleep(0.1)
        busy_until = clocks.boot_time() + 0.5
        while clocks.boot_time() < busy_until:
            pass
        await stopping
        (late,) = self.lines_of(events.Event.PROCESS_STOP_LATE)
        self.assertAlmostEqual(450, late["late_ms"], delta=100)
        self.assertGreater(late["ends_in_ms"], 0)
        (ended,) = self.lines_of(events.Event.PROCESS_STOPPED)
        self.assertEqual(late["late_ms"], ended["late_ms"])
        self.assertEqual([], self.lines_of(events.Event.PROCESS_STOP_NEAR_END))
