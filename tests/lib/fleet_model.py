"""A model of many gateways and engines in memory, with a clock of its own.

The gateways' placement code is the product's. Only the clock, the messages between the gateways
and the engines belong to the model.
"""

import asyncio
import bisect
import collections
import heapq
import itertools
import random

from masticward.gateway import placer, request_path
from masticward.models import gateway
from masticward.state import load_table, placement, prompt_cache
from tests.lib import gateway_builders as builders

PREFILL_TOKENS_PER_SECOND = 64_000.0
STEP_SECONDS = 0.01
# As observed: engines are 2.5 times slower than usual in 15% of the time, for 0.6 s at a time.
MOMENT_FACTOR = 2.5
MOMENT_SECONDS = 0.6
MOMENT_FRACTION = 0.15
OUTPUT_SECONDS = 0.5


class ModelEngine:
    """An engine that prefills one prompt after another and caches all prompts, by last use.

    Work takes ``factor`` times the normal time, and ``MOMENT_FACTOR`` times longer in moments.
    """

    def __init__(self, cache_tokens: int, factor: float | None = None, seed: int = 0) -> None:
        # None if the engine is of normal speed and does not report how long work takes.
        self.factor = factor
        self.random = random.Random(seed)
        # Ends of alternating periods without and with slowness.
        self.period_ends: list[float] = [0.0]
        self.prefilled_tokens = 0
        self.cache = prompt_cache.EngineCache(cache_tokens)
        self.cache.capacity = cache_tokens
        self.busy_until = 0.0

    def factor_at(self, now: float) -> float:
        """Return how long work takes at a time, as a multiple of normal."""
        if self.factor is None:
            return 1.0
        while self.period_ends[-1] <= now:
            mean_seconds = MOMENT_SECONDS
            if len(self.period_ends) % 2:
                mean_seconds *= 1.0 / MOMENT_FRACTION - 1.0
            seconds = mean_seconds * self.random.uniform(0.5, 1.5)
            self.period_ends.append(self.period_ends[-1] + seconds)
        in_moment = bisect.bisect_right(self.period_ends, now) % 2 == 0
        return self.factor * (MOMENT_FACTOR if in_moment else 1.0)

    def prefill_end(self, tokens: int, now: float) -> float:
        """Return when a number of tokens is prefilled that begins at a time."""
        while tokens > 0:
            rate = PREFILL_TOKENS_PER_SECOND / self.factor_at(now)
            step_tokens = min(float(tokens), rate * STEP_SECONDS)
            now += step_tokens / rate
            tokens -= max(1, round(step_tokens))
        return now

    def begin(self, keys: list[tuple[int, int]], now: float) -> tuple[float, int]:
        """Take a prompt; return when its prefill ends and the tokens of its shared part read."""
        cached = self.cache.cached_tokens(keys)
        self.cache.record_prompt(keys)
        self.prefilled_tokens += keys[-1][1] - cached
        self.busy_until = max(now, self.busy_until)
        if self.factor is None:
            self.busy_until += (keys[-1][1] - cached) / PREFILL_TOKENS_PER_SECOND
        else:
            self.busy_until = self.prefill_end(keys[-1][1] - cached, self.busy_until)
        return self.busy_until, max(0, keys[-2][1] - cached)


class ModelGateway:
    """A gateway's state and queue, and its messages that the peers have not received yet."""

    def __init__(self, instance_id: str, endpoints: list[gateway.Endpoint], cache: int) -> None:
        self.instance_id = instance_id
        self.fleet = builders.make_fleet(*endpoints, now=0.0)
        configuration = self.fleet.configuration
        assert configuration is not None
        llm = configuration.services["llm"]
        self.fleet.configuration = builders.make_configuration(
            services={
                "llm": gateway.Service(
                    name="llm",
                    max_connections=llm.max_connections,
                    cold_start_seconds=0.0,
                    cold_requests_per_second=0.0,
                    engine=gateway.Engine(48, cache),
                )
            }
        )
        self.prompts: list[tuple[str, list[tuple[int, int]]]] = []
        self.evidence: dict[str, tuple[int, int, int]] = {}
        self.placer = placer.Placer(
            self.fleet, lambda endpoint, keys: self.prompts.append((endpoint, keys[:-1]))
        )

    def receive(self, sender: "ModelGateway", cache: int, now: float) -> None:
        """Apply a peer's loads and prompts."""
        loads = {
            endpoint_id: load_table.EndpointLoad(
                load.unread_tokens, load.requests, load.memory_tokens
            )
            for endpoint_id, load in sender.fleet.loads.own.items()
        }
        self.fleet.loads.set_peer_loads(sender.instance_id, loads, now)
        for endpoint_id, keys in sender.prompts:
            self.fleet.caches.get(endpoint_id, cache).record_prompt(keys)
        self.fleet.merge_speeds(sender.evidence, now)


class FleetModel:
    """Gateways that receive requests with shared prefixes and place them at engines.

    The clock ``now`` is in seconds and starts at 100. ``waits`` has the time from the arrival of
    each request to its first event, in seconds.
    """

    def __init__(
        self,
        gateways: int,
        engines: int,
        cache_tokens: int,
        seed: int = 1,
        factors: collections.abc.Sequence[float] = (),
    ) -> None:
        self.now = 100.0
        self.random = random.Random(seed)
        self.cache_tokens = cache_tokens
        endpoints = [builders.make_endpoint(f"e{number}", slots=48) for number in range(engines)]
        self.endpoints = endpoints
        self.engines = {
            item.id: ModelEngine(
                cache_tokens, factors[number % len(factors)] if factors else None, number
            )
            for number, item in enumerate(endpoints)
        }
        self.gateways = [self.make_gateway(number) for number in range(gateways)]
        self.events: list[tuple[float, int, collections.abc.Callable[[], None]]] = []
        self.serials = itertools.count()
        self.waits: list[float] = []
        self.refused = 0
        # Whether engines with a factor state it in their responses.
        self.reports_speed = True
        self.read_before: set[int] = set()
        self.shared_tokens = 0
        self.shared_tokens_read_again = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def make_gateway(self, number: int) -> ModelGateway:
        """Return a gateway that has just started."""
        return ModelGateway(f"g{number}", self.endpoints, self.cache_tokens)

    def restart(self, number: int) -> None:
        """Replace a gateway by one with empty state."""
        self.gateways[number] = self.make_gateway(number)

    def at(self, when: float, action: collections.abc.Callable[[], None]) -> None:
        """Call an action at a time of the model's clock."""
        heapq.heappush(self.events, (when, next(self.serials), action))

    async def serve(self, owner: ModelGateway, metadata: gateway.RequestMetadata) -> None:
        """Place one request and let its engine serve it."""
        keys = prompt_cache.prefix_keys(metadata.parts)
        route = builders.make_route()
        refuse_at = metadata.arrived_at + placer.MAX_WAIT_FRACTION * route.target_latency_seconds
        request = placer.WaitingRequest(metadata, route, "llm", "a", refuse_at)
        placed = await owner.placer.place(request)
        if not isinstance(placed, placement.Choice):
            self.refused += 1
            return
        engine_id, memory = placed.endpoint.id, metadata.prompt_tokens + metadata.output_tokens
        prefilled_at, shared_read = self.engines[engine_id].begin(keys, self.now)
        self.shared_tokens += keys[-2][1]
        if keys[-2][0] in self.read_before:
            self.shared_tokens_read_again += shared_read
        self.read_before.add(keys[-2][0])
        loads = owner.fleet.loads

        sent_at = self.now

        def finish_prefill() -> None:
            self.waits.append(self.now - metadata.arrived_at)
            loads.finish_prefill(engine_id, placed.unread_tokens)
            engine = self.engines[engine_id]
            if engine.factor is not None and self.reports_speed:
                percent = 100.0 * engine.factor_at(self.now)
                owner.fleet.speeds.record_reported(engine_id, percent, self.now, "llm")
            if engine.factor is not None:
                request_path.record_first_event(owner.fleet, placed, sent_at, self.now)

        self.at(prefilled_at, finish_prefill)
        self.at(prefilled_at + OUTPUT_SECONDS, lambda: loads.finish_request(engine_id, memory, 0))

    def arrive(self, prefix: str, shared_tokens: int, own_tokens: int) -> None:
        """Let a request arrive at a random gateway."""
        metadata = builders.make_metadata(
            f"q{next(self.serials)}", prefix, shared_tokens, own_tokens, self.now
        )
        owner = self.random.choice(self.gateways)
        task = asyncio.get_running_loop().create_task(self.serve(owner, metadata))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def exchange(self) -> None:
        """Deliver each gateway's loads and prompts to all others."""
        for sender in self.gateways:
            sender.evidence = sender.fleet.speeds.pop_evidence(self.now)
            for receiver in self.gateways:
                if receiver is not sender:
                    receiver.receive(sender, self.cache_tokens, self.now)
            sender.prompts.clear()

    async def run(
        self, seconds: float, step: collections.abc.Callable[[], None], interval_seconds: float
    ) -> None:
        """Run for a time; ``step`` is called each 10 ms, messages pass at an interval."""
        end = self.now + seconds
        exchange_at = self.now
        while self.now < end:
            self.now += STEP_SECONDS
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            if self.now >= exchange_at:
                self.exchange()
                exchange_at = self.now + interval_seconds
            step()
            await asyncio.sleep(0)
            for item in self.gateways:
                item.placer.process_queue("llm")
            for _ in range(3):
                await asyncio.sleep(0)

    def clock(self) -> float:
        """Return the time of the model, in place of ``clocks.boot_time``."""
        return self.now
