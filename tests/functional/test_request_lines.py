"""Guards against requests without a whole answer whose cause the logs do not tell."""

import asyncio
import errno
import socket
import typing
import unittest.mock

import msgspec

from masticward import events, logs
from masticward.state import load_shedding
from masticward.transport import http1_server
from masticward.utils import clocks
from tests.functional import test_gateway
from tests.lib import lost_peers, platform_standins


class RequestLinesCase(test_gateway.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.lines: list[dict[str, typing.Any]] = []
        self.enterContext(
            unittest.mock.patch.object(logs.EventLogger, "log", side_effect=self.record_line)
        )

    def record_line(self, event: events.Event, **fields: typing.Any) -> None:
        self.lines.append({"number": event.number, **fields})

    def lines_of(self, event: events.Event) -> list[dict[str, typing.Any]]:
        return [line for line in self.lines if line["number"] == event.number]

    def assert_fields(self, line: dict[str, typing.Any], **expected: typing.Any) -> None:
        self.assertEqual(expected, {name: line.get(name) for name in expected})

    async def put_configuration(self, version: int, **changes: typing.Any) -> None:
        self.store.put("config", "main", platform_standins.configuration(version, **changes))
        await self.wait_until(lambda: self.fleet.configuration_version == version)


class RefusalLinesTest(RequestLinesCase):
    """Guards against a removed route that the logs can't tell from one that never existed.

    The record of an incident was full of "no route" without path, route or configuration.
    """

    async def refuse(self, route: str, **arguments: typing.Any) -> dict[str, typing.Any]:
        """Send a request that is refused and return its line."""
        response = await self.call(route, **arguments)
        line = self.lines_of(events.Event.GATEWAY_REQUEST_REFUSED)[-1]
        self.assertEqual(response.status, line["status"])
        return line

    async def test_a_missing_route_differs_from_one_that_was_removed(self) -> None:
        await self.start()
        routes = platform_standins.configuration()["routes"]
        await self.put_configuration(2, routes=routes[1:])
        line = await self.refuse("book")
        self.assert_fields(
            line,
            request_id="q1",
            path="/book/x",
            method="POST",
            host="api.example",
            config=2,
            earlier_config=1,
        )
        self.assertLessEqual(line["removed_ms_ago"], line["config_age_ms"])
        self.assertGreaterEqual(line["proof_age_ms"], 0)
        self.assertNotIn("route", line)
        line = await self.refuse("nowhere")
        self.assertIsNone(line["earlier_config"])
        await self.put_configuration(3)
        await self.put_configuration(4, routes=routes[1:])
        self.assertEqual(3, (await self.refuse("book"))["earlier_config"])

    async def test_a_revoked_key_differs_from_an_unknown_one_and_is_not_logged(self) -> None:
        await self.start()
        await self.put_configuration(2, tenants=[{"name": "team-a", "api_keys": ["key-b"]}])
        revoked = await self.refuse("keyed", extra="Authorization: Bearer key-a\r\n")
        self.assertEqual(
            (401, 1, "keyed"), tuple(map(revoked.get, ("status", "earlier_config", "route")))
        )
        unknown = await self.refuse("keyed", extra="Authorization: Bearer other\r\n")
        self.assertIsNone(unknown["earlier_config"])
        self.assertNotIn("key-a", str(self.lines))

    async def test_a_refusal_after_an_attempt_names_the_endpoint_and_the_time_left(self) -> None:
        await self.add_endpoint("e1", platform_standins.close_without_response)
        await self.start()
        line = await self.refuse("book")
        self.assertEqual((502, "e1", 1), (line["status"], line["endpoint"], line["runs"]))
        self.assertGreater(line["left_ms"], line["elapsed_ms"])

    async def test_a_long_path_is_cut_in_the_line(self) -> None:
        await self.start()
        line = await self.refuse("nowhere" * 100)
        self.assertLess(len(line["path"]), 200)

    async def test_a_request_with_an_invalid_header_is_named(self) -> None:
        await self.start()
        line = await self.refuse("book", extra="X-Masticward-Token-Counts: none\r\n")
        self.assert_fields(line, request_id="q1", status=400, path="/book/x")


class CutLinesTest(RequestLinesCase):
    """Guards against requests that end without a whole answer and without a line that says why."""

    event = b"id: 1\ndata: a\n\n"

    async def send_one_event(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Begin a stream and send nothing further."""
        await platform_standins.ScriptedResponse(self.event, end="closed")(request, writer)
        return await platform_standins.never_respond(request, writer)

    async def start_with(self, behaviour: platform_standins.Behaviour) -> None:
        await self.add_endpoint("e1", behaviour)
        await self.start(routes=self.routes(9000))

    def routes(self, timeout_ms: int) -> list[dict[str, typing.Any]]:
        routes = platform_standins.configuration()["routes"]
        return [{**item, "timeout_ms": timeout_ms} for item in routes]

    def make_request(self, route: str, request_id: str = "q1", deadline_ms: int = 9000) -> bytes:
        data = self.request(route).replace(b"Id: q1", f"Id: {request_id}".encode())
        return data.replace(b"Ms: 3000", f"Ms: {deadline_ms}".encode())

    async def wait_for_heads(self, count: int) -> None:
        """Wait until the heads of so many requests were read."""
        connections = self.program.client_server.connections
        await self.wait_until(
            lambda: sum(item.request is not None for item in connections) == count
        )

    async def line_of(self, event: events.Event, request_id: str = "q1") -> dict[str, typing.Any]:
        """Wait for the line of an event that names a request, and return it."""
        found: list[dict[str, typing.Any]] = []

        def find() -> bool:
            found[:] = [line for line in self.lines_of(event) if line["request_id"] == request_id]
            return bool(found)

        await self.wait_until(find)
        (line,) = found
        return line

    async def test_a_stream_that_the_end_of_the_process_cuts_names_its_cause(self) -> None:
        await self.start_with(self.send_one_event)
        # A writer that is not referenced closes its connection.
        reader, self.writer = await self.send(self.make_request("stream"))
        await reader.readuntil(self.event)
        late_reader, self.late_writer = await self.send(self.make_request("book", "q2")[:-1])
        await self.wait_for_heads(2)
        self.program.settings = msgspec.structs.replace(
            self.program.settings,
            bounds=msgspec.structs.replace(self.program.settings.bounds, stop_grace_seconds=1.2),
        )
        with unittest.mock.patch.object(load_shedding, "ROTATION_EXIT_SECONDS", 0.1):
            await self.program.stop()
        self.assertEqual(503, (await self.read(late_reader)).status)
        line = await self.line_of(events.Event.REQUEST_CUT_BY_STOP)
        self.assert_fields(
            line,
            cause="cut by stop",
            stage="answering",
            path="/stream/x",
            route="stream",
            endpoint="e1",
            sent_status=200,
            sent_bytes=len(self.event),
        )
        self.assertGreaterEqual(line["stopping_ms"], 600)
        self.assertGreater(line["left_ms"], 0)
        line = await self.line_of(events.Event.REQUEST_UNREADABLE, "q2")
        self.assert_fields(line, status=503, path="/book/x")
        (line,) = self.lines_of(events.Event.PROCESS_STOPPED)
        self.assert_fields(line, cut=1, cut_by_stage={"answering": 1})
        counter = self.program.gateway_metrics.cut_requests.labels("cut by stop", "answering")
        self.assertEqual(1, counter._value.get())

    async def test_a_stop_that_begins_late_cuts_in_time_to_name_the_request(self) -> None:
        await self.start_with(self.send_one_event)
        reader, self.writer = await self.send(self.make_request("stream"))
        await reader.readuntil(self.event)
        # Less is left than a load balancer needs to notice the stop.
        await self.program.stop(clocks.boot_time() - self.grace_s + 1.1)
        self.assertLess(clocks.boot_time(), self.fleet.ends_at + 0.3)
        await self.line_of(events.Event.REQUEST_CUT_BY_STOP)

    async def test_an_answer_that_was_not_written_out_is_named_at_the_end(self) -> None:
        # Its 8102 says that it was answered.
        await self.start_with(platform_standins.ScriptedResponse(bytes(60000), framing="length"))
        listener = self.program.client_server.listener
        assert listener is not None
        listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(("127.0.0.1", self.port))
        client.sendall(self.request("book"))
        await self.line_of(events.Event.GATEWAY_REQUEST_ANSWERED)
        self.assertEqual(1, self.program.client_server.abort().total())
        line = await self.line_of(events.Event.REQUEST_CUT_BY_STOP)
        self.assert_fields(line, stage="writing")

    async def test_the_deadline_of_the_caller_differs_from_the_timeout_of_the_route(self) -> None:
        await self.start_with(self.send_one_event)
        for request_id, deadline_ms, cause in (
            ("q1", 1500, "cut at deadline"),
            ("q2", 9000, "cut at route timeout"),
        ):
            reader, _ = await self.send(self.make_request("stream", request_id, deadline_ms))
            self.assertFalse((await self.read(reader)).complete)
            line = await self.line_of(events.Event.STREAM_CUT, request_id)
            self.assert_fields(line, cause=cause, endpoint="e1", sent_status=200)
            self.assertLess(line["left_ms"], deadline_ms)
            await self.put_configuration(2, routes=self.routes(1500))

    async def test_a_stream_that_an_endpoint_cuts_names_it(self) -> None:
        await self.start_with(platform_standins.ScriptedResponse(self.event, end="reset"))
        self.assertFalse((await self.call("stream")).complete)
        line = await self.line_of(events.Event.STREAM_CUT)
        self.assert_fields(line, cause="cut by endpoint", endpoint="e1", stage="answering")
        line = await self.line_of(events.Event.GATEWAY_ATTEMPT_FAILED)
        self.assert_fields(line, route="stream")

    async def test_an_error_of_an_endpoint_that_is_passed_on_has_a_line(self) -> None:
        # Only 8101 was logged.
        await self.start_with(platform_standins.ScriptedResponse(b"failed", status=500))
        self.assertEqual(500, (await self.call("book")).status)
        line = await self.line_of(events.Event.GATEWAY_REQUEST_ANSWERED)
        self.assert_fields(line, status=500, route="book", endpoint="e1")

    async def test_a_client_that_leaves_differs_from_one_that_resets(self) -> None:
        await self.start_with(self.send_one_event)
        for request_id, leave, reason in (
            ("q1", asyncio.StreamWriter.close, "closed by the peer"),
            ("q2", platform_standins.reset_connection, "Connection reset by peer"),
        ):
            reader, writer = await self.send(self.make_request("stream", request_id))
            await reader.readuntil(self.event)
            leave(writer)
            line = await self.line_of(events.Event.CLIENT_LEFT, request_id)
            self.assertIn(reason, line["reason"])
            self.assert_fields(line, stage="answering", endpoint="e1")

    async def test_a_client_that_resets_while_its_request_is_read_is_named(self) -> None:
        # Nothing was logged.
        await self.start()
        _, writer = await self.send(self.request("book")[:-1])
        await self.wait_for_heads(1)
        platform_standins.reset_connection(writer)
        line = await self.line_of(events.Event.CLIENT_LEFT)
        self.assert_fields(line, stage="reading", path="/book/x")

    async def test_an_unexpected_error_within_an_answer_names_the_request(self) -> None:
        await self.start_with(platform_standins.ScriptedResponse(self.event))
        with unittest.mock.patch.object(
            http1_server.Responder, "end", side_effect=RuntimeError("fault")
        ):
            self.assertFalse((await self.call("stream")).complete)
        line = await self.line_of(events.Event.ANSWER_BROKEN_OFF)
        self.assert_fields(line, cause="cut by error", reason="RuntimeError('fault')")

    async def test_a_connection_that_the_kernel_gives_up_is_not_a_client_that_left(self) -> None:
        await self.start_with(platform_standins.ScriptedResponse(bytes(4_000_000)))
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(("127.0.0.1", self.port))
        client.sendall(self.make_request("stream"))
        server = self.program.client_server
        await self.wait_until(lambda: any(item.channel.unsent_bytes for item in server.connections))
        lost_peers.drop_packets(client)
        line = await self.line_of(events.Event.CLIENT_SILENT)
        self.assert_fields(line, stage="answering", reason="[Errno 110] Connection timed out")


class UnsentEndTest(RequestLinesCase):
    """Guards against the end of an answer that is lost after 8102 without a line."""

    async def test_a_client_that_turns_silent_before_the_end_is_sent_is_named(self) -> None:
        await self.start_with_held_answer(bytes(40_000))
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(("127.0.0.1", self.port))
        client.sendall(self.request("book", extra="Connection: close\r\n"))
        await self.wait_until(lambda: self.attempts() > 0)
        (connection,) = self.program.client_server.connections
        kernel_socket = connection.channel.protocol.socket
        assert kernel_socket is not None
        kernel_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        lost_peers.drop_packets(client)
        self.released.set()
        await self.wait_until(lambda: bool(self.lines_of(events.Event.CLIENT_SILENT)))
        (line,) = self.lines_of(events.Event.CLIENT_SILENT)
        self.assert_fields(line, request_id="q1", stage="writing")
        self.assertEqual(1, len(self.lines_of(events.Event.GATEWAY_REQUEST_ANSWERED)))

    async def start_with_held_answer(self, body: bytes) -> None:
        """Start a gateway whose endpoint answers once ``released`` is set."""
        self.released = asyncio.Event()

        async def answer(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            await self.released.wait()
            writer.write(platform_standins.complete_response(request, body))
            return True

        await self.add_endpoint("e1", answer)
        await self.start()


class ResetLinesTest(RequestLinesCase):
    """Guards against a request that the gateway itself cut and logged as a client that left."""

    async def test_a_reset_for_unread_bytes_is_not_the_clients(self) -> None:
        await self.add_endpoint("e1", platform_standins.never_respond)
        await self.start()
        _, writer = await self.send(self.request("book"))
        await self.wait_until(lambda: self.attempts() > 0)
        writer.write(b"x" * 100)
        server = self.program.client_server
        await self.wait_until(lambda: server.unread_bytes > 0)
        server.limit_unread(0)
        await self.wait_until(lambda: bool(self.lines_of(events.Event.STREAM_CUT)))
        (line,) = self.lines_of(events.Event.STREAM_CUT)
        self.assert_fields(line, request_id="q1", cause="cut by reset", reason="unread bytes")
        self.assertEqual([], self.lines_of(events.Event.CLIENT_LEFT))
        writer.close()

    async def test_a_connection_that_is_closed_here_is_not_the_clients(self) -> None:
        await self.add_endpoint("e1", platform_standins.never_respond)
        await self.start()
        _, writer = await self.send(self.request("book"))
        await self.wait_until(lambda: self.attempts() > 0)
        (connection,) = self.program.client_server.connections
        connection.channel.abort()
        await self.wait_until(lambda: bool(self.lines_of(events.Event.ANSWER_BROKEN_OFF)))
        (line,) = self.lines_of(events.Event.ANSWER_BROKEN_OFF)
        self.assert_fields(line, request_id="q1", cause="closed here", stage="waiting")
        self.assertEqual([], self.lines_of(events.Event.CLIENT_LEFT))
        writer.close()

    async def test_an_unreachable_client_is_not_one_that_left(self) -> None:
        await self.add_endpoint("e1", platform_standins.never_respond)
        await self.start()
        _, writer = await self.send(self.request("book"))
        await self.wait_until(lambda: self.attempts() > 0)
        (connection,) = self.program.client_server.connections
        connection.channel.protocol.connection_lost(OSError(errno.EHOSTUNREACH, "no route"))
        await self.wait_until(lambda: bool(self.lines_of(events.Event.CLIENT_SILENT)))
        (line,) = self.lines_of(events.Event.CLIENT_SILENT)
        self.assert_fields(line, request_id="q1", reason="[Errno 113] no route")
        writer.close()
