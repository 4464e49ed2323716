"""Guards against endless responses that take a gateway's processor time, or end by being slowed."""

import asyncio
import math
import unittest
import unittest.mock

from masticward.gateway import request_path
from masticward.state import read_turns
from masticward.transport import http1_server, turn_queue
from tests.functional import test_gateway
from tests.lib import endless_responses, platform_standins

KINDS = ("stream-chunked", "stream-events", "stream-length", "stream-unframed", "small-chunks")
READ_BYTES = 256 * 1024
PIPELINED_REQUESTS = 50
TURN_GAP_SECONDS = 0.4
SILENCE_SECONDS = 0.3


class ReadTurnsCase(test_gateway.GatewayCase):
    """A gateway whose connections are limited from their first use on."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # Neither the sizes of reads nor the lengths of waits depend on the machine's speed.
        for name, value in (
            ("BURST_SECONDS", 0.0),
            ("CONTENDED_BURST_SECONDS", 0.0),
            ("MAX_USE_SECONDS", math.inf),
            ("READER_SHARE", 0.0),
            ("TURNS_SHARE", 1.0),
        ):
            patch = unittest.mock.patch.object(read_turns, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.turns = turn_queue.current().turns


class EndlessResponseTest(ReadTurnsCase):
    """Guards against endless responses whose relay never lets other requests go on."""

    async def answer(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        return await endless_responses.KINDS[self.kind]()(request, writer)

    async def test_they_are_relayed_in_turns(self) -> None:
        await self.add_endpoint("e1", self.answer)
        await self.start()
        for self.kind in KINDS:
            with self.subTest(self.kind):
                waited_before, used_before = self.turns.waited_seconds, self.turns.turn_seconds
                reader, writer = await self.send(self.request("stream"))
                async with asyncio.timeout(test_gateway.READ_TIMEOUT_SECONDS):
                    while (
                        self.turns.waited_seconds == waited_before
                        or self.turns.turn_seconds == used_before
                    ):
                        self.assertTrue(await reader.read(READ_BYTES))
                writer.close()
        # The last of them leaves no turn behind.
        await self.wait_until(lambda: self.turns.holder is None and not self.turns.waiting_count)


class PipelinedRequestsTest(test_gateway.GatewayCase):
    """Guards against a client that holds the event loop with requests that it sends at once."""

    async def test_other_tasks_run_between_them(self) -> None:
        await self.start()
        loop = asyncio.get_running_loop()
        passes: list[int] = [0]
        handled: list[int] = []
        handle = self.program.front.handle

        def count_pass() -> None:
            passes[0] += 1
            loop.call_soon(count_pass)

        async def record(request: http1_server.Request, responder: http1_server.Responder) -> None:
            handled.append(passes[0])
            await handle(request, responder)

        count_pass()
        with unittest.mock.patch.object(self.program.front, "handle", record):
            _, writer = await self.send(self.request("unknown") * PIPELINED_REQUESTS)
            await self.wait_until(lambda: len(handled) == PIPELINED_REQUESTS)
        writer.close()
        self.assertEqual(PIPELINED_REQUESTS, len(set(handled)))


class SlowedResponseTest(ReadTurnsCase):
    """Guards against a sound response that is abandoned because it waited for its turns."""

    async def test_a_wait_for_a_turn_is_no_silence_of_the_endpoint(self) -> None:
        queue = turn_queue.current()

        def delay_next_turn() -> None:
            self.turns.next_turn_at = self.turns.running_since + TURN_GAP_SECONDS
            queue.schedule()

        self.turns.on_turn_end = delay_next_turn
        # Each event takes several reads.
        events = b"".join(b"id: %d\ndata: %s\n\n" % (number, b"x" * 130_000) for number in (1, 2))
        for name in ("e1", "e2"):
            await self.add_endpoint(name, platform_standins.ScriptedResponse(events))
        await self.start()
        with unittest.mock.patch.object(request_path, "READ_TIMEOUT_SECONDS", SILENCE_SECONDS):
            response = await self.call("resume")
        self.assertEqual((200, events, True), (response.status, response.body, response.complete))
        self.assertGreater(self.turns.waited_seconds, SILENCE_SECONDS)
        self.assertEqual(1, self.attempts())


if __name__ == "__main__":
    unittest.main()
