"""Guards against crossed or cut frames, and against cancelling what must run to its end."""

import asyncio
import typing
import unittest

import grpc.aio
import xxhash

from masticward import settings
from masticward.models import work
from masticward.protocol import attempt_server
from masticward.standins import endpoint_server, engine
from masticward.transport import channels
from masticward.wire import masticward_pb2, masticward_pb2_grpc
from tests.lib import agent_harness

SECURITY = settings.PeerSecurity(mode=settings.SecurityMode.SHARED_KEY, shared_key="k")


class AttemptServerCase(unittest.IsolatedAsyncioTestCase):
    async def open(self, kind: str, **faults: object) -> None:
        self.harness = await agent_harness.open_harness(self, kind, (2, 8), **faults)
        self.recorder = self.harness.server.recorder
        self.runner = await self.harness.start_agent()
        transport = channels.PeerTransport(SECURITY)
        server = transport.create_server()
        masticward_pb2_grpc.add_AttemptServicer_to_server(
            attempt_server.AttemptServicer(self.runner), server
        )
        port = transport.bind(server, "127.0.0.1:0")
        await server.start()
        self.addAsyncCleanup(server.stop, None)
        self.metadata = transport.metadata
        self.channel = transport.open_channel(f"127.0.0.1:{port}")
        self.addAsyncCleanup(self.channel.close)

    def start_call(self, body: bytes = b"", method: str = "POST", **changes: object) -> typing.Any:
        attempt = self.harness.attempt()
        values: dict[str, typing.Any] = {
            "attempt_id": attempt.attempt_id,
            "ticket_id": attempt.ticket_id,
            "request_id": "r",
            "agent_id": attempt.agent_id,
            "agent_incarnation": attempt.agent_incarnation,
            "slot_id": attempt.slot_id,
            "service": "svc",
            "operation": method,
            "team": "team-1",
            "config_version": 3,
            "operations_version": 2,
            "remaining_ms": 20_000,
            "method": method,
            "path": "/v1/generate",
            "body": body,
        }
        request = masticward_pb2.RunRequest(**(values | changes))
        self.last_request = request
        return masticward_pb2_grpc.AttemptStub(self.channel).Run(request, metadata=self.metadata)

    async def collect(self, call: typing.Any) -> list[masticward_pb2.RunFrame]:
        return [frame async for frame in call]

    def kinds(self, frames: list[masticward_pb2.RunFrame]) -> list[str]:
        return [frame.WhichOneof("frame") for frame in frames]


class ModelAttemptTest(AttemptServerCase):
    async def test_frames_of_concurrent_streams_are_whole_and_not_crossed(self) -> None:
        await self.open("language-model", token_ms=1, first_token_ms=1)
        bodies = [agent_harness.generate_body(10, 20) for _ in range(2)]
        calls, requests = [], []
        for body in bodies:
            calls.append(self.start_call(body))
            requests.append(self.last_request)
        for body, request, call in zip(bodies, requests, calls, strict=True):
            frames = await self.collect(call)
            self.assertEqual({request.attempt_id}, {frame.attempt_id for frame in frames})
            self.assertEqual(list(range(len(frames))), [frame.sequence for frame in frames])
            self.assertEqual(["accepted", "head"], self.kinds(frames)[:2])
            answer = b"".join(frame.chunk.data for frame in frames)
            self.assertEqual(engine.answer_of(body), answer)
            end = frames[-1].end
            self.assertEqual(
                (len(frames), len(answer), xxhash.xxh3_64_intdigest(answer)),
                (end.frame_count, end.length, end.digest),
            )
            self.assertAlmostEqual(10 * 0.1 + 20, end.cost)
        report = self.runner.report()
        self.assertAlmostEqual(2 * 21.0, report.counters["team-1"])
        self.assertEqual({request.ticket_id for request in requests}, set(report.finished))

    async def test_cancelling_the_attempt_cancels_the_stream(self) -> None:
        await self.open("language-model", token_ms=20)
        call = self.start_call(agent_harness.generate_body(10, 500))
        async for frame in call:
            if frame.sequence == 5:
                break
        self.assertEqual(1, len(self.runner.report().progress))
        call.cancel()
        await agent_harness.until(lambda: self.recorder.running == 0, 2.0)
        self.assertTrue(self.recorder.records[0].cancelled)
        await agent_harness.until(lambda: not self.runner.running)
        report = self.runner.report()
        self.assertLess(report.counters["team-1"], 100)
        self.assertEqual([report.counters["team-1"]], list(report.finished.values()))
        self.assertEqual(0, self.runner.capacity.awaiting_first_token)

    async def test_cancelling_before_the_first_step_frees_the_slot(self) -> None:
        await self.open("language-model")
        stream = self.runner.run(self.harness.attempt())
        await anext(stream)
        await stream.aclose()
        await asyncio.sleep(0.05)
        self.assertEqual((0, 0), (self.runner.capacity.in_flight.own, len(self.runner.running)))
        self.assertEqual(0, self.runner.capacity.awaiting_first_token)
        self.assertEqual(0, len(self.recorder.records))

    async def test_entry_that_does_not_read_loses_the_stream_at_its_deadline(self) -> None:
        await self.open("language-model", token_ms=0, first_token_ms=0)
        call = agent_harness.call_request(body=agent_harness.generate_body(1, 20_000), seconds=0.5)
        stream = self.runner.run(self.harness.attempt(call=call))
        await anext(stream)
        await agent_harness.until(lambda: not self.runner.running, 3.0)
        last = [event async for event in stream][-1]
        self.assertTrue(last.may_have_run)
        await agent_harness.until(lambda: self.recorder.running == 0)

    async def test_cut_stream_fails_and_never_ends(self) -> None:
        await self.open("language-model")
        for point in endpoint_server.DropPoint:
            if point is not endpoint_server.DropPoint.NONE:
                with self.subTest(point=point):
                    self.harness.server.faults.drop = point
                    self.harness.server.faults.drop_count = 1
                    frames = await self.collect(self.start_call(agent_harness.generate_body()))
                    self.assertEqual("failed", self.kinds(frames)[-1])
                    self.assertTrue(frames[-1].failed.may_have_run)
                    self.assertNotIn("end", self.kinds(frames))
                    await agent_harness.until(lambda: self.runner.capacity.in_flight.earlier < 2)


class PlainAttemptTest(AttemptServerCase):
    async def test_cancelled_call_runs_to_its_end_and_is_counted(self) -> None:
        await self.open("plain", service_ms=200)
        call = self.start_call(b"book")
        await agent_harness.until(lambda: self.recorder.running == 1)
        call.cancel()
        await asyncio.sleep(0.05)
        self.assertEqual(1, self.runner.report().running)
        await self.channel.close()
        await self.runner.drained()
        (record,) = self.recorder.records
        self.assertIsNotNone(record.finished_at)
        self.assertFalse(record.cancelled)
        report = self.runner.report()
        self.assertEqual(
            ({"team-1": 3.0}, [3.0]), (report.counters, list(report.finished.values()))
        )

    async def test_every_method_is_run_once_and_answered_exactly(self) -> None:
        await self.open("plain")
        for method in agent_harness.METHODS:
            frames = await self.collect(self.start_call(b"", method))
            self.assertEqual("end", self.kinds(frames)[-1])
            answer = b"".join(frame.chunk.data for frame in frames)
            record = self.recorder.records[-1]
            self.assertEqual(
                (self.last_request.attempt_id, method), (record.attempt_id, record.method)
            )
            if method != "HEAD":
                self.assertEqual(record.response_digest, xxhash.xxh3_64_intdigest(answer))
        self.assertEqual(len(agent_harness.METHODS), len(self.recorder.records))

    async def test_cut_answers_fail_for_every_method_and_arrive_once(self) -> None:
        await self.open("plain")
        points = [point for point in endpoint_server.DropPoint if point.value != "none"]
        for point in points:
            for method in agent_harness.METHODS:
                if (point.value, method) == ("middle", "HEAD"):
                    continue
                with self.subTest(point=point, method=method):
                    self.harness.server.faults.drop = point
                    self.harness.server.faults.drop_count = 1
                    before = len(self.recorder.records)
                    frames = await self.collect(self.start_call(b"", method))
                    self.assertEqual("failed", self.kinds(frames)[-1])
                    self.assertNotIn("end", self.kinds(frames))
                    arrived = len(self.recorder.records) - before
                    self.assertEqual(int(point.value != "before-work"), arrived)
                    await agent_harness.until(lambda: self.runner.capacity.in_flight.earlier < 2)

    async def test_refusal_is_one_frame_with_the_reason(self) -> None:
        await self.open("plain")
        frames = await self.collect(self.start_call(agent_incarnation=1))
        self.assertEqual(["refused"], self.kinds(frames))
        self.assertEqual(work.RefusalReason.WRONG_INCARNATION.value, frames[0].refused.reason)

    async def test_undelimited_answer_fails(self) -> None:
        await self.open("plain", undelimited=True)
        frames = await self.collect(self.start_call(b"x"))
        self.assertEqual("failed", self.kinds(frames)[-1])

    async def test_wrong_key_runs_nothing(self) -> None:
        await self.open("plain")
        self.metadata = ((channels.KEY_METADATA, "other"),)
        with self.assertRaises(grpc.aio.AioRpcError):
            await self.collect(self.start_call(b"x"))
        self.assertEqual(0, len(self.recorder.records))
