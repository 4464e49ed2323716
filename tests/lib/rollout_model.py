"""Model of a fleet of gateways that carry out an order, with simulated time and without a network.

The deciding code is the gateways' own; the model has requests, responses, datagrams and the store.
"""

import asyncio
import collections.abc
import heapq
import random
import typing

import msgspec

from masticward import errors
from masticward.gateway import fleet as fleet_module
from masticward.gateway import followers, rollout_keeper, sources
from masticward.models import gateway, rollouts
from tests.lib import gateway_builders as builders

STEP_SECONDS = 0.02
REPORT_SECONDS = 0.1
WATCH_SECONDS = 0.1
STREAM_SECONDS = 1.0
SERVICE = "app"
NEW, OLD = "v2", "v1"


class ModelStore(builders.UnusedStore):
    """Holds one order; writes of its status depend on its revision."""

    def __init__(self) -> None:
        super().__init__()
        self.order: rollouts.Order | None = None
        self.revision = 100
        self.available = True
        self.loses_responses = False
        self.written: list[tuple[str, rollouts.RolloutState]] = []
        self.conflicts = 0

    def put(self, target: str = NEW, duration_seconds: float = 30.0) -> None:
        """Write an order, as an operator does."""
        self.revision += 1
        self.order = rollouts.Order(
            service=SERVICE,
            target=target,
            duration_seconds=duration_seconds,
            revision=self.revision,
        )

    async def save_rollout_state(
        self, order: rollouts.Order, state: rollouts.RolloutState
    ) -> rollouts.Order | None:
        if not self.available:
            raise errors.StoreUnavailableError("rollouts")
        if self.order is None:
            return None
        if self.order.revision != order.revision:
            self.conflicts += 1
            return self.order
        self.revision += 1
        self.order = msgspec.structs.replace(order, state=state, revision=self.revision)
        self.written.append((order.target, state))
        if self.loses_responses:
            raise errors.StoreUnavailableError("rollouts")
        return self.order


class ModelGateway:
    """One gateway's state of the fleet and its keeper."""

    def __init__(self, name: str, store: ModelStore, now: float, bounds: gateway.Bounds) -> None:
        self.name = name
        self.incarnation = int(now * 1000) + 1
        self.fleet = fleet_module.FleetState(
            builders.make_settings(instance_id=name, bounds=bounds)
        )
        follower = followers.Follower(store, self.fleet, sources.ObjectKind.ROLLOUTS)
        self.keeper = rollout_keeper.RolloutKeeper(store, self.fleet, follower)
        self.alive = True
        # Gateways with which it exchanges no messages.
        self.cut_off: set[str] = set()


Behaviour = collections.abc.Callable[[gateway.Endpoint, str, float], tuple[bool, float]]


class Fleet:
    """Gateways, endpoints of two versions, and the load between them."""

    def __init__(self, behaviour: Behaviour, gateways: int = 4, rate: float = 100.0) -> None:
        self.behaviour = behaviour
        self.rate = rate
        self.random = random.Random(7)
        self.now = 1000.0
        self.store = ModelStore()
        self.bounds = msgspec.structs.replace(builders.make_bounds(), canary_share=0.1)
        self.gateways: dict[str, ModelGateway] = {}
        self.endpoints: dict[str, gateway.Endpoint] = {}
        for number in range(4):
            self.add_endpoint(f"old{number}", OLD)
        self.routes = ["r1"] * 6 + ["r2"] * 3 + ["r3"]
        for number in range(gateways):
            self.start(f"g{number}")
        self.sent = {NEW: 0, OLD: 0}
        self.requests = 0
        self.unserved = 0
        self.bad_answers_at: list[float] = []
        self.sent_new_at: list[float] = []
        self.sent_old_at: list[float] = []
        self.responses: list[typing.Any] = []
        self.seen_revision = -1
        self.next_report_at = 0.0
        self.loss = 0.0

    def start(self, name: str) -> None:
        """Start a gateway, or another incarnation of one."""
        self.gateways[name] = ModelGateway(name, self.store, self.now, self.bounds)
        self.list_endpoints()
        if self.store.order is not None:
            self.gateways[name].fleet.rollouts.apply([(SERVICE, self.store.order)], True, self.now)
        else:
            self.gateways[name].fleet.rollouts.apply([], True, self.now)

    def add_endpoint(self, name: str, version: str, **changes: typing.Any) -> None:
        """Start an endpoint."""
        self.endpoints[name] = builders.make_endpoint(
            name, service=SERVICE, version=version, **{"born": len(self.endpoints) + 1, **changes}
        )
        self.list_endpoints()

    def start_new(self, **changes: typing.Any) -> None:
        """Start as many endpoints of the new version as there are old ones."""
        for number in range(4):
            self.add_endpoint(f"new{number}", NEW, **changes)

    def remove_endpoints(self, version: str) -> None:
        """Stop the endpoints of a version."""
        self.endpoints = {k: v for k, v in self.endpoints.items() if v.version != version}
        self.list_endpoints()

    def list_endpoints(self) -> None:
        """Let all gateways know the endpoints."""
        for item in self.gateways.values():
            item.fleet.apply_endpoints(list(self.endpoints.items()), True)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self.step()

    def step(self) -> None:
        """Serve the requests of one step, exchange datagrams and check the orders."""
        self.now += STEP_SECONDS
        due = self.rate * STEP_SECONDS
        for _ in range(int(due) + (self.random.random() < due % 1)):
            self.request()
        while self.responses and self.responses[0][0] <= self.now:
            _, _, item, endpoint, route, failed, sent_at = heapq.heappop(self.responses)
            item.fleet.rollouts.record_end(endpoint, route, failed, sent_at, self.now)
            if not failed:
                item.fleet.rollouts.record_time(endpoint, route, self.now - sent_at, 0.1, self.now)
        self.watch()
        self.exchange()
        for item in self.live():
            item.keeper.check(self.now)
            for service, state in list(item.keeper.wanted.items()):
                try:
                    asyncio.run(item.keeper.write(service, state))
                except errors.StoreError:
                    continue

    def live(self) -> list[ModelGateway]:
        """Return the gateways that run."""
        return [item for item in self.gateways.values() if item.alive]

    def request(self) -> None:
        """Send one request to an endpoint, as the placer chooses it."""
        item = self.random.choice(self.live())
        table, bounds = item.fleet.rollouts, self.bounds
        self.requests += 1
        table.record_request(SERVICE)
        usable = item.fleet.usable_endpoints(SERVICE, self.now)
        canaries = table.canary_ids(SERVICE, usable)
        chosen = [endpoint for endpoint in usable if endpoint.id not in canaries]
        if canaries and table.may_send(SERVICE, f"q{self.requests}", bounds, self.now):
            chosen = [endpoint for endpoint in usable if endpoint.id in canaries]
        if not chosen:
            self.unserved += 1
            return
        endpoint = self.random.choice(chosen)
        table.record_send(endpoint, endpoint.cold_until > self.now, self.now)
        self.sent[endpoint.version] = self.sent.get(endpoint.version, 0) + 1
        sent_at = self.sent_new_at if endpoint.version == NEW else self.sent_old_at
        sent_at.append(self.now)
        route = self.random.choice(self.routes)
        failed, seconds = self.behaviour(endpoint, route, self.now)
        if endpoint.version == NEW and (failed or seconds > 0.3):
            self.bad_answers_at.append(self.now + seconds)
        response = (self.now + seconds, self.requests, item, endpoint, route, failed, self.now)
        heapq.heappush(self.responses, response)

    def watch(self) -> None:
        """Let the gateways know changes of the order."""
        order = self.store.order
        revision = order.revision if order else 0
        if self.store.available and revision != self.seen_revision:
            self.seen_revision = revision
            for item in self.live():
                known = item.fleet.rollouts.rollouts.get(SERVICE)
                if order is None or known is None or known.order.revision < revision:
                    item.fleet.rollouts.apply([(SERVICE, order)], False, self.now)

    def exchange(self) -> None:
        """Exchange reports, some of which are lost."""
        live = self.live()
        periodic = self.now >= self.next_report_at
        if periodic:
            self.next_report_at = self.now + REPORT_SECONDS
        for item in live:
            heard = [peer for peer in live if peer.name not in item.cut_off or peer is item]
            item.fleet.live_gateways = [peer.name for peer in heard]
            item.fleet.known_gateway_count = len(self.gateways)
            table = item.fleet.rollouts
            reports = table.reports(self.now) if periodic else table.pop_changed(self.now)
            encoded = msgspec.msgpack.encode(reports)
            for peer in heard:
                if peer is not item and reports and self.random.random() >= self.loss:
                    peer.fleet.merge_rollouts(
                        msgspec.msgpack.decode(encoded, type=list[rollouts.RolloutReport]),
                        (item.name, item.incarnation),
                        self.now,
                    )

    @property
    def state(self) -> rollouts.RolloutState | None:
        """The stored state."""
        return self.store.order.state if self.store.order else None

    def late_sends(self) -> int:
        """Return the requests sent to the new version 5 s after its 50th bad response."""
        bad = sorted(self.bad_answers_at)
        return sum(at > bad[49] + 5.0 for at in self.sent_new_at) if len(bad) >= 50 else 0
