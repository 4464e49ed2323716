"""Tests the attempt server with an agent's runner and a stand-in endpoint.

Guards against mixing the frames of concurrent attempts, against passing on a truncated response as
complete, and against cancelling plain calls, which must run to completion.
"""

import asyncio
import typing
import unittest

import xxhash

from masticward import settings
from masticward.protocol import attempt_server
from masticward.standins import endpoint_server, engine
from masticward.transport import channels
from masticward.wire import masticward_pb2, masticward_pb2_grpc
from tests.lib import agent_harness

SECURITY = settings.PeerSecurity(mode=settings.SecurityMode.SHARED_KEY, shared_key="k")
DROP_POINTS = [point for point in endpoint_server.DropPoint if point.value != "none"]


class AttemptServerTest(unittest.IsolatedAsyncioTestCase):
    async def open(self, kind: str, **faults: object) -> None:
        self.harness = await agent_harness.open_harness(self, kind, (2, 8), **faults)
        self.recorder = self.harness.server.recorder
        self.runner = await self.harness.start_agent()
        transport = channels.PeerTransport(SECURITY)
        server = transport.create_server()
        servicer = attempt_server.AttemptServicer(self.runner)
        masticward_pb2_grpc.add_AttemptServicer_to_server(servicer, server)
        port = transport.bind(server, "127.0.0.1:0")
        await server.start()
        self.addAsyncCleanup(server.stop, None)
        self.metadata = transport.metadata
        self.channel = transport.open_channel(f"127.0.0.1:{port}")
        self.addAsyncCleanup(self.channel.close)

    def start_call(self, body: bytes = b"", method: str = "POST") -> typing.Any:
        attempt = self.harness.attempt(agent_harness.call_request(method))
        names = (
            "attempt_id",
            "ticket_id",
            "agent_id",
            "agent_incarnation",
            "slot_id",
            "call_digest",
        )
        self.last_request = masticward_pb2.RunRequest(
            **{name: getattr(attempt, name) for name in names},
            request_id="r",
            service="svc",
            operation=method,
            team="team-1",
            config_version=3,
            operations_version=2,
            remaining_ms=20_000,
            method=method,
            path="/v1/generate",
            body=body,
        )
        stub = masticward_pb2_grpc.AttemptStub(self.channel)
        return stub.Run(self.last_request, metadata=self.metadata)

    async def collect(self, call: typing.Any) -> tuple[list[typing.Any], list[str], bytes]:
        """Return the frames, their kinds and the body."""
        frames = [frame async for frame in call]
        kinds = [frame.WhichOneof("frame") for frame in frames]
        return frames, kinds, b"".join(frame.chunk.data for frame in frames)

    async def test_frames_of_concurrent_streams_are_complete_and_not_mixed(self) -> None:
        await self.open("language-model", token_ms=1, first_token_ms=1)
        bodies = [agent_harness.generate_body(10, 20) for _ in range(2)]
        calls = [(body, self.start_call(body), self.last_request) for body in bodies]
        for body, call, request in calls:
            frames, kinds, response_body = await self.collect(call)
            self.assertEqual({request.attempt_id}, {frame.attempt_id for frame in frames})
            self.assertEqual(list(range(len(frames))), [frame.sequence for frame in frames])
            self.assertEqual(["accepted", "head"], kinds[:2])
            self.assertEqual(engine.answer_of(body), response_body)
            expected = (len(frames), len(response_body), xxhash.xxh3_64_intdigest(response_body))
            end = frames[-1].end
            self.assertEqual(expected, (end.frame_count, end.length, end.digest))
            self.assertAlmostEqual(10 * 0.1 + 20, end.cost)
        report = self.runner.report()
        self.assertAlmostEqual(2 * 21.0, report.counters["team-1"])
        self.assertEqual({request.ticket_id for _, _, request in calls}, set(report.finished))

    async def test_cancelling_the_attempt_cancels_the_endpoint_stream(self) -> None:
        await self.open("language-model", token_ms=20)
        call = self.start_call(agent_harness.generate_body(10, 500))
        async for frame in call:
            if frame.sequence == 5:
                break
        call.cancel()
        await agent_harness.until(lambda: self.recorder.running == 0, 2.0)
        self.assertTrue(self.recorder.records[0].cancelled)
        await agent_harness.until(lambda: not self.runner.running)
        report = self.runner.report()
        self.assertLess(report.counters["team-1"], 100)
        self.assertEqual([report.counters["team-1"]], list(report.finished.values()))

    async def test_cancelling_before_the_first_step_frees_the_slot(self) -> None:
        await self.open("language-model")
        stream = self.runner.run(self.harness.attempt())
        await anext(stream)
        await stream.aclose()
        await asyncio.sleep(0.05)
        capacity = self.runner.capacity
        self.assertEqual((0, 0), (capacity.in_flight.own_calls, capacity.awaiting_first_token))
        self.assertEqual(0, len(self.recorder.records))

    async def test_stream_to_an_entry_that_does_not_read_ends_at_the_deadline(self) -> None:
        await self.open("language-model", token_ms=0, first_token_ms=0)
        body = agent_harness.generate_body(1, 20_000)
        call = agent_harness.call_request(body=body, seconds=0.5)
        stream = self.runner.run(self.harness.attempt(call))
        await anext(stream)
        await agent_harness.until(lambda: not self.runner.running)
        self.assertTrue([event async for event in stream][-1].may_have_run)
        await agent_harness.until(lambda: self.recorder.running == 0)

    async def test_cancelled_plain_call_runs_to_completion_and_is_charged(self) -> None:
        await self.open("plain", service_ms=200)
        call = self.start_call(b"book")
        await agent_harness.until(lambda: self.recorder.running == 1)
        call.cancel()
        await self.channel.close()
        await asyncio.sleep(0.05)
        self.assertEqual(1, self.runner.report().running)
        await self.runner.drained()
        (record,) = self.recorder.records
        self.assertEqual((False, False), (record.finished_at is None, record.cancelled))
        report = self.runner.report()
        self.assertEqual({"team-1": 3.0}, report.counters)
        self.assertEqual([3.0], list(report.finished.values()))

    async def test_truncated_responses_fail_and_the_call_arrives_once(self) -> None:
        for kind, methods in (("language-model", ("POST",)), ("plain", agent_harness.METHODS)):
            await self.open(kind)
            for method in methods:
                _, kinds, response_body = await self.collect(self.start_call(b"{}", method))
                self.assertEqual("end", kinds[-1])
                digest = 0 if method == "HEAD" else self.recorder.records[-1].response_digest
                self.assertIn(digest, (0, xxhash.xxh3_64_intdigest(response_body)))
                # A response to HEAD has no body that could be truncated.
                for point in DROP_POINTS if method != "HEAD" else DROP_POINTS[:2]:
                    with self.subTest(point=point, method=method):
                        await self.check_drop(point, method)
        # Each call that may have run is charged, even if its response is truncated: 3 cost units
        # for each method and drop point.
        calls = len(agent_harness.METHODS) * (1 + len(DROP_POINTS)) - len(DROP_POINTS[2:])
        self.assertEqual({"team-1": 3.0 * calls}, self.runner.report().counters)

    async def check_drop(self, point: endpoint_server.DropPoint, method: str) -> None:
        self.harness.control(drop=point, drop_count=1)
        before = len(self.recorder.records)
        frames, kinds, _ = await self.collect(self.start_call(b"{}", method))
        self.assertEqual("failed", kinds[-1])
        self.assertTrue(frames[-1].failed.may_have_run)
        self.assertNotIn("end", kinds)
        arrived = len(self.recorder.records) - before
        self.assertEqual(int(point is not endpoint_server.DropPoint.BEFORE_WORK), arrived)
        await agent_harness.until(lambda: self.runner.capacity.in_flight.earlier_calls < 2)
