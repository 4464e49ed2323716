"""Guards against an endpoint's answer that is given up for an attempt which is not granted."""

from masticward.state import body_memory
from tests.functional import test_overlapping_attempts
from tests.lib import platform_standins

FAILURE = platform_standins.ScriptedResponse(
    b"failed", status=500, framing="length", fields=f"{platform_standins.PROOF}X-Other: kept\r\n"
)


class KeptFailureTest(test_overlapping_attempts.OverlapCase):
    """Guards against 502 or 504 by the gateway for a request that an endpoint has answered."""

    async def call_restarted(
        self, *behaviours: platform_standins.Behaviour, endpoints: int = 1
    ) -> tuple[int, bytes]:
        await self.asyncTearDown()
        await self.asyncSetUp()
        await self.start_script(*behaviours, endpoints=endpoints)
        response = await self.call("status", method="GET", body=b"")
        self.assertEqual(0, self.program.endpoint_client.answer_memory.held_bytes)
        if response.status < 502:
            self.assertEqual("proof", response.headers.get("x-masticward-response-seal"))
        return response.status, response.body

    async def test_a_failure_is_passed_on_if_no_further_attempt_serves(self) -> None:
        await self.start_script(FAILURE, endpoints=1)
        response = await self.call("resume")
        self.assertEqual((500, b"failed"), (response.status, response.body))
        self.assertEqual("proof", response.headers["x-masticward-response-seal"])
        self.assertEqual("kept", response.headers["x-other"])
        self.assertEqual({}, dict(self.fleet.loads.own))
        for behaviour in (
            platform_standins.close_without_response,
            platform_standins.shed_request,
            platform_standins.never_respond,
        ):
            with self.subTest(behaviour.__name__):
                answer = await self.call_restarted(FAILURE, behaviour, endpoints=2)
                self.assertEqual((500, b"failed"), answer)

    async def test_a_failure_is_not_passed_on_if_another_attempt_serves(self) -> None:
        answer = await self.call_restarted(
            FAILURE, platform_standins.send_complete_response, endpoints=2
        )
        self.assertEqual((200, b"answer"), answer)

    async def test_a_failure_that_is_not_whole_small_and_proven_is_not_kept(self) -> None:
        failures = {
            "no proof": platform_standins.ScriptedResponse(b"x", status=500, fields=""),
            "status that promises no run": platform_standins.ScriptedResponse(b"x", status=503),
            "too long": platform_standins.ScriptedResponse(
                b"x" * (body_memory.SMALL_ANSWER_BYTES + 1), status=500
            ),
            "broken off": platform_standins.ScriptedResponse(b"x", status=500, end="reset"),
        }
        for name, behaviour in failures.items():
            with self.subTest(name):
                self.assertEqual((502, b""), await self.call_restarted(behaviour))
