"""Tests the attempt client against an agent with scripted responses.

Guards against treating an attempt as not run although an agent received it: the entry would send
the call again, and it could run twice.
"""

import asyncio
import unittest

from masticward import errors
from masticward.protocol import attempt_client
from masticward.standins import forwarder
from masticward.state import frames
from masticward.wire import masticward_pb2
from tests.lib import attempt_fakes, entry_fakes


async def collect(
    client: attempt_client.AttemptClient, attempt: attempt_client.AttemptRequest
) -> list[frames.AttemptEvent]:
    return [event async for event in client.run(attempt)]


class GrpcAttemptClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_complete_response_and_fields_of_the_sent_request(self) -> None:
        async with attempt_fakes.ScriptedAgent() as agent:
            agent.frames = attempt_fakes.complete_frames()
            events = await collect(agent.client, attempt_fakes.build_attempt(agent.address))
            self.assertIsInstance(events[-1], frames.ResponseEnd)
            sent = agent.requests[0]
            self.assertEqual(
                ("a-1", 3, 7, 4, 5, b"{}", "127.0.0.1:8"),
                (sent.attempt_id, sent.agent_incarnation, sent.slot_id, sent.config_version,
                 sent.operations_version, sent.body, sent.entry_peer_address),
            )  # fmt: skip

    async def test_truncated_stream_may_have_run(self) -> None:
        async with attempt_fakes.ScriptedAgent() as agent:
            complete = attempt_fakes.complete_frames()
            for position in range(len(complete)):
                agent.frames = complete[:position]
                with self.assertRaises(errors.AttemptFailedError):
                    await collect(agent.client, attempt_fakes.build_attempt(agent.address))

    async def test_refusal_means_not_run(self) -> None:
        async with attempt_fakes.ScriptedAgent() as agent:
            refused = masticward_pb2.Refused(reason="stale-view", retry_after_ms=30)
            agent.frames = [masticward_pb2.RunFrame(attempt_id="a-1", refused=refused)]
            with self.assertRaises(errors.AttemptRefusedError) as caught:
                await collect(agent.client, attempt_fakes.build_attempt(agent.address))
            self.assertEqual("stale-view", caught.exception.reason)
            self.assertEqual(30, caught.exception.retry_after_ms)

    async def test_unreachable_agent_means_not_run(self) -> None:
        async with attempt_fakes.ScriptedAgent() as agent:
            attempt = attempt_fakes.build_attempt("127.0.0.1:9", seconds=0.2)
            with self.assertRaises(errors.AttemptRefusedError) as caught:
                await collect(agent.client, attempt)
            self.assertEqual("unreachable", caught.exception.reason)
            self.assertFalse(attempt.sent)

    async def test_connection_lost_before_the_first_frame_may_have_run(self) -> None:
        """Fails if UNAVAILABLE before the first frame is treated as a call that was not sent."""
        async with attempt_fakes.ScriptedAgent() as agent:
            agent.hold = True
            run = asyncio.ensure_future(
                collect(agent.client, attempt_fakes.build_attempt(agent.address))
            )
            await entry_fakes.until(lambda: agent.requests)
            await agent.server.stop(0)
            with self.assertRaises(errors.AttemptFailedError):
                await run

    async def test_closed_channel_may_have_run_and_does_not_cancel_the_caller(self) -> None:
        """Fails if the CancelledError that grpc.aio raises for a closed channel ends the task."""
        async with attempt_fakes.ScriptedAgent() as agent:
            agent.hold = True
            run = asyncio.ensure_future(
                collect(agent.client, attempt_fakes.build_attempt(agent.address))
            )
            await entry_fakes.until(lambda: agent.requests)
            await agent.pool.close()
            with self.assertRaises(errors.AttemptFailedError):
                await run

    async def test_call_on_a_dead_connection_fails_long_before_its_deadline(self) -> None:
        """Fails if a call on a connection that drops all data waits until its deadline."""
        async with attempt_fakes.ScriptedAgent() as agent:
            agent.hold = True
            relay = forwarder.Forwarder(attempt_fakes.HOST, int(agent.address.rpartition(":")[2]))
            port = await relay.start(f"{attempt_fakes.HOST}:0")
            attempt = attempt_fakes.build_attempt(f"{attempt_fakes.HOST}:{port}", seconds=60.0)
            run = asyncio.ensure_future(collect(agent.client, attempt))
            await entry_fakes.until(lambda: agent.requests)
            relay.set_mode(forwarder.ForwarderMode.DROP)
            with self.assertRaisesRegex(errors.AttemptFailedError, "UNAVAILABLE"):
                await run
            await relay.close()

    async def test_attempt_is_not_sent_twice(self) -> None:
        async with attempt_fakes.ScriptedAgent() as agent:
            agent.frames = attempt_fakes.complete_frames()
            attempt = attempt_fakes.build_attempt(agent.address)
            await collect(agent.client, attempt)
            with self.assertRaises(errors.AttemptFailedError):
                await collect(agent.client, attempt)
            self.assertEqual(1, len(agent.requests))

    async def test_frames_of_a_cancelled_attempt_do_not_reach_the_next(self) -> None:
        async with attempt_fakes.ScriptedAgent() as agent:
            agent.frames, agent.hold = attempt_fakes.complete_frames()[:3], True
            stream = agent.client.run(attempt_fakes.build_attempt(agent.address))
            await anext(stream)
            await stream.aclose()
            await entry_fakes.until(lambda: agent.cancelled)
            agent.frames, agent.hold = attempt_fakes.complete_frames("a-2", (b"new",)), False
            events = await collect(agent.client, attempt_fakes.build_attempt(agent.address, "a-2"))
            self.assertEqual([b"new"], [e.data for e in events if hasattr(e, "data")])

    async def test_frames_of_another_attempt_may_have_run(self) -> None:
        async with attempt_fakes.ScriptedAgent() as agent:
            agent.frames = attempt_fakes.complete_frames("a-2")
            with self.assertRaises(errors.AttemptFailedError):
                await collect(agent.client, attempt_fakes.build_attempt(agent.address))
