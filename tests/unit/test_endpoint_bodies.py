"""Guards against an endpoint that crashes because it holds too many bytes of requests."""

import asyncio

from masticward.gateway import placer
from masticward.state import buffered_bytes, placement
from tests.lib import gateway_builders as builders
from tests.unit import test_gateway_waiting

# A gateway that is alone has the whole bound of an endpoint: 16 MiB, of which large bodies 12 MiB.
HUGE_BYTES = 7 * 1024 * 1024
SMALL_BYTES = 10_000


class EndpointBodiesTest(test_gateway_waiting.WaitingCase):
    def setUp(self) -> None:
        super().setUp()
        self.bounds: list[tuple[buffered_bytes.Bound, str]] = []
        self.placer.on_bound = lambda bound, request_id, *_: self.bounds.append((bound, request_id))

    async def place(
        self, request_id: str, size: int, prompt_tokens: int = 100
    ) -> tuple[placer.WaitingRequest, asyncio.Task[placement.Choice | placer.PlacementRefusal]]:
        """Place a request with a body of this size."""
        metadata = builders.make_metadata(request_id, request_id, 0, prompt_tokens, self.now)
        request = placer.WaitingRequest(
            metadata, builders.make_route(), "llm", "a", refuse_at=self.now + 0.5
        )
        request.body_bytes = size
        task = asyncio.get_running_loop().create_task(self.placer.place(request))
        self.tasks.append(task)
        await asyncio.sleep(0)
        self.placer.process_queue("llm")
        await asyncio.sleep(0)
        return request, task

    async def test_a_body_without_room_goes_elsewhere_then_waits_then_is_refused(self) -> None:
        self.fleet.apply_endpoints([("e2", builders.make_endpoint("e2"))], False)
        placed = [(await self.place(f"q{number}", HUGE_BYTES))[1] for number in range(2)]
        chosen = {task.result().endpoint.id for task in placed}  # type: ignore[union-attr]
        self.assertEqual({"e1", "e2"}, chosen)
        _, waiting = await self.place("q2", HUGE_BYTES)
        _, refused = await self.place("q3", HUGE_BYTES)
        self.assertEqual((False, False), (waiting.done(), refused.done()))
        self.assertEqual(
            [
                (buffered_bytes.Bound.ENDPOINT_BODIES, "q2"),
                (buffered_bytes.Bound.ENDPOINT_BODIES, "q3"),
            ],
            self.bounds,
        )
        # Small requests go on.
        for number in range(20):
            _, small = await self.place(f"s{number}", SMALL_BYTES)
            self.assertIsInstance(small.result(), placement.Choice)
        self.fleet.endpoint_bodies.remove("e1", HUGE_BYTES)
        self.placer.process_queue("llm")
        await asyncio.sleep(0)
        self.assertEqual("e1", waiting.result().endpoint.id)  # type: ignore[union-attr]
        self.now += 0.6
        self.placer.process_queue("llm")
        await asyncio.sleep(0)
        refusal = refused.result()
        assert isinstance(refusal, placer.PlacementRefusal)
        self.assertEqual("no endpoint has room for the body", refusal.reason)

    async def test_the_bound_is_divided_over_gateways_and_leaves_each_one_body(self) -> None:
        self.fleet.live_gateways = [f"g{number}" for number in range(8)]
        _, first = await self.place("q1", HUGE_BYTES)
        self.assertIsInstance(first.result(), placement.Choice)
        _, second = await self.place("q2", 2 * buffered_bytes.SMALL_BODY_BYTES)
        self.assertFalse(second.done())

    async def test_a_cancelled_request_gives_its_room_back(self) -> None:
        request, task = await self.place("q1", HUGE_BYTES)
        self.placer.release(request, task.result())
        self.assertEqual(0, self.fleet.endpoint_bodies.total_bytes)
