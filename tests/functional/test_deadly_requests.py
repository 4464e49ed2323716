"""A gateway before endpoints that one part of a prompt crashes, over real sockets."""

import asyncio
import typing

from masticward.gateway import fleet as fleet_module
from masticward.gateway import quarantine_keeper
from masticward.utils import clocks
from tests.functional import test_gateway
from tests.lib import platform_standins

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class DeadlyRequestTest(test_gateway.GatewayCase):
    """Guards against a request that crashes one endpoint after the other."""

    async def add_crashing_endpoint(self, name: str) -> platform_standins.EndpointStandin:
        """Add an endpoint that ends as it begins to answer a request with a deadly part."""

        async def respond(
            request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bool:
            if "deadly" not in request.headers["x-masticward-prefix-hash"]:
                writer.write(platform_standins.complete_response(request, EVENTS))
                return True
            writer.write(platform_standins.complete_response(request, EVENTS)[: -len(EVENTS)])
            await writer.drain()
            await endpoint.stop()
            return False

        endpoint = await self.add_endpoint(name, respond)
        return endpoint

    async def call_with_parts(self, parts: str) -> test_gateway.Response:
        return await self.call("stream", extra=f"X-Masticward-Prefix-Hash: {parts}\r\n")

    async def test_requests_that_crash_endpoints_are_refused_and_sound_ones_served(self) -> None:
        """Guards against a part of prompts that ends all endpoints (BUDGET, LOST)."""
        for name in ("e1", "e2", "e3", "e4", "e5"):
            await self.add_crashing_endpoint(name)
        await self.start()
        statuses = []
        for number in range(12):
            response = await self.call_with_parts(f"doc:5,deadly:5,own{number}:5")
            statuses.append(response.status)
            sound = await self.call_with_parts(f"doc:5,own-sound{number}:5")
            self.assertEqual((200, EVENTS), (sound.status, sound.body), statuses)
        deadly = sum(
            "deadly" in request.headers["x-masticward-prefix-hash"]
            for endpoint in self.endpoints
            for request in endpoint.received
        )
        self.assertLessEqual(deadly, 3, statuses)
        self.assertEqual([503] * 5, statuses[-5:])
        refusal = await self.call_with_parts("other:5,deadly:5,own:5")
        self.assertGreater(float(refusal.headers["retry-after"]), 5.0)

    async def test_a_single_broken_connection_is_no_evidence(self) -> None:
        """Guards against blaming parts for an endpoint that only drops connections."""
        await self.add_endpoint("e1", platform_standins.close_without_response)
        await self.start()
        for number in range(6):
            await self.call_with_parts(f"doc:5,own{number}:5")
        await self.wait_until(lambda: not self.program.crash_detector.checked)
        # Each check opens a connection besides that of the request.
        self.assertIn("e1", self.program.endpoint_client.pool.idle)
        self.assertEqual({}, dict(self.fleet.quarantine.parts))

    async def test_a_crash_after_the_client_has_left_is_evidence(self) -> None:
        """Guards against crashes that no request sees, because its client has left."""
        crashes: list[asyncio.Task[None]] = []
        for name in ("e1", "e2", "e3", "e4", "e5", "e6"):
            endpoint = await self.add_endpoint(name)

            async def crash(crashing: platform_standins.EndpointStandin = endpoint) -> None:
                await asyncio.sleep(0.1)
                await crashing.stop()

            async def respond(
                request: platform_standins.ReceivedRequest,
                writer: asyncio.StreamWriter,
                crash: typing.Callable[[], typing.Coroutine[None, None, None]] = crash,
            ) -> bool:
                if "deadly" not in request.headers["x-masticward-prefix-hash"]:
                    writer.write(platform_standins.complete_response(request, EVENTS))
                    return False
                crashes.append(asyncio.create_task(crash()))
                return await platform_standins.never_respond(request, writer)

            endpoint.behaviour = respond
        await self.start()
        for number in range(8):
            parts = f"X-Masticward-Prefix-Hash: doc:5,deadly:5,own{number}:5\r\n"
            _, writer = await self.send(self.request("stream", extra=parts))
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.1)
            sound = await self.call_with_parts(f"doc:5,own-sound{number}:5")
            self.assertEqual(200, sound.status)
        self.assertLess(len(crashes), 6)
        self.assertIn("deadly", self.fleet.quarantine.restricted)

    async def test_a_quarantine_outlives_all_gateways(self) -> None:
        """Guards against crashes that begin anew after all gateways have stopped at once."""
        await self.add_endpoint("e1")
        await self.start()
        quarantine = self.fleet.quarantine
        quarantine.quarantine(quarantine.get("deadly"), clocks.boot_time())
        await self.wait_until(lambda: not quarantine.decided)
        restarted = fleet_module.FleetState(self.program.settings)
        keeper = quarantine_keeper.QuarantineKeeper(self.program.source, restarted)
        await keeper.load()
        self.assertTrue(
            restarted.quarantine.restricted["deadly"].is_quarantined(clocks.boot_time())
        )
        quarantine.record_answer(["deadly"], clocks.boot_time())
        await self.wait_until(lambda: not quarantine.decided)
        self.assertFalse([key for key in self.store.objects if "quarantines" in key[0]])
