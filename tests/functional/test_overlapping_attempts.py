"""Guards against silent responses that are given up for a replacement which does not serve."""

from tests.functional import test_gateway
from tests.lib import platform_standins, scripted_arrivals

# Above the longest gap that a stream may have before another endpoint is looked for.
PAUSE_SECONDS = 1.8
PLAIN_PAUSE_SECONDS = 0.8


class OverlapCase(test_gateway.GatewayCase):
    """Several endpoints that share one script."""

    async def start_script(
        self, *behaviours: platform_standins.Behaviour, endpoints: int = 2
    ) -> scripted_arrivals.ArrivalScript:
        script = scripted_arrivals.ArrivalScript(*behaviours)
        for number in range(endpoints):
            await self.add_endpoint(f"e{number}", script)
        await self.start()
        return script


class RefusedReplacementTest(OverlapCase):
    """Guards against requests lost with a sound endpoint because its replacement refused."""

    async def test_a_paused_stream_goes_on_after_its_replacement_refused(self) -> None:
        script = await self.start_script(
            scripted_arrivals.NumberedStream(pauses={2: PAUSE_SECONDS}, source="a"),
            platform_standins.shed_request,
        )
        response = await self.call("resume")
        self.assertEqual(
            (scripted_arrivals.expected_events("a", "a", "a"), True),
            (response.body, response.complete),
        )
        self.assertEqual(2, len(script.arrivals))

    async def test_a_silent_request_is_answered_after_three_replacements_refused(self) -> None:
        script = await self.start_script(
            scripted_arrivals.Pausing(
                PLAIN_PAUSE_SECONDS, platform_standins.send_complete_response
            ),
            platform_standins.shed_request,
            endpoints=4,
        )
        response = await self.call("status", method="GET", body=b"")
        self.assertEqual((200, b"answer"), (response.status, response.body))
        self.assertEqual(4, len(script.arrivals))
