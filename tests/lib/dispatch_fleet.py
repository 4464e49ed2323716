"""Builders and fakes for tests of dispatchers, entry sessions and agent sessions."""

import asyncio
import collections.abc
import time

import grpc.aio

from masticward import settings
from masticward.coordination import dispatcher, fleet_view, offers
from masticward.models import configuration as configuration_models
from masticward.models import membership, work
from masticward.protocol import dispatch_handler, dispatch_server
from masticward.transport import channels
from masticward.utils import addresses
from masticward.wire import masticward_pb2_grpc

HOST = addresses.own_loopback_host()
SERVICE = "drafting"
ZONE = "bayern-nord"


def service(
    maximum_cost: float = 100.0, endpoints: int = 2, warm_limit: int = 2
) -> configuration_models.Service:
    return configuration_models.Service(
        name=SERVICE,
        kind=configuration_models.ServiceKind.LANGUAGE_MODEL,
        operations=(),
        cold_limit=1,
        warm_limit=warm_limit,
        endpoints=endpoints,
        maximum_cost=maximum_cost,
    )


def agent(agent_id: str, peer_address: str = "127.0.0.1:1") -> membership.Instance:
    return membership.Instance(
        id=agent_id,
        role=membership.Role.AGENT,
        service=SERVICE,
        availability_zone=ZONE,
        peer_address=peer_address,
    )


def ticket(ticket_id: str, team: str, **changes: object) -> work.Ticket:
    fields: dict[str, object] = {
        "id": ticket_id,
        "team": team,
        "service": SERVICE,
        "entry_id": "entry-1",
        "cost_hint": 10.0,
        "arrived_at": time.monotonic(),
        "deadline": time.monotonic() + 60.0,
    }
    return work.Ticket(**{**fields, **changes})  # type: ignore[arg-type]


class FakeView(fleet_view.FleetView):
    """A fleet view whose content the test sets. A suspected agent stays suspected."""

    def __init__(
        self,
        agents: collections.abc.Iterable[membership.Instance] = (),
        shares: dict[str, float] | None = None,
        maximum_cost: float = 100.0,
    ) -> None:
        self.agents = {item.id: item for item in agents}
        self.suspected: set[str] = set()
        self.out_of_service: set[str] = set()
        self.leaving: set[str] = set()
        self.callbacks: list[collections.abc.Callable[[], None]] = []
        self.fixed_configuration = configuration_models.Configuration(
            version=1,
            availability_zones=(ZONE,),
            services=(service(maximum_cost),),
            teams=tuple(
                configuration_models.Team(name=name, share=share, credential_digests=())
                for name, share in (shares or {}).items()
            ),
        )

    @property
    def configuration(self) -> configuration_models.Configuration | None:
        return self.fixed_configuration

    @property
    def operations(self) -> configuration_models.OperationsState:
        return configuration_models.OperationsState(version=0)

    def members(self) -> list[membership.Instance]:
        return list(self.agents.values())

    def available_agents(self, service: str) -> list[membership.Instance]:
        unavailable = self.suspected | self.out_of_service | self.leaving
        return [item for item in self.agents.values() if item.id not in unavailable]

    def is_out_of_service(self, instance_id: str, availability_zone: str) -> bool:
        return instance_id in self.out_of_service

    def is_leaving(self, instance_id: str) -> bool:
        return instance_id in self.leaving

    def is_suspected(self, instance_id: str) -> bool:
        return False

    def fresh_until(self) -> float:
        return time.monotonic() + 2.0

    def suspect(self, instance_id: str) -> None:
        if instance_id not in self.suspected:
            self.suspected.add(instance_id)
            self.notify_subscribers()

    def pull_newer_versions(
        self, config_version: int, operations_version: int, peer_address: str
    ) -> None:
        pass

    def announce_leaving(self) -> None:
        pass

    def subscribe(self, callback: collections.abc.Callable[[], None]) -> None:
        self.callbacks.append(callback)

    def notify_subscribers(self) -> None:
        for callback in self.callbacks:
            callback()


class FakeSlotSource(offers.SlotSource):
    """An endpoint with a fixed limit, whose calls the test begins and ends."""

    def __init__(self, limit: int) -> None:
        self.changed = asyncio.Event()
        self.limit = limit
        self.slots: dict[int, float] = {}
        self.next_slot = 0
        self.running: dict[str, str] = {}
        self.counters: dict[str, float] = {}
        self.finished: dict[str, float] = {}
        self.reports = 0
        self.one_way_delay_seconds = 0.0
        self.retracted = False

    def issue_slots(self) -> offers.SlotOffer:
        now = time.monotonic()
        self.slots = {key: value for key, value in self.slots.items() if value > now}
        count = self.limit - len(self.slots) - len(self.running)
        fresh = tuple(range(self.next_slot, self.next_slot + max(0, count)))
        self.next_slot += len(fresh)
        self.slots.update(dict.fromkeys(fresh, now + 2.0))
        return offers.SlotOffer(slot_ids=fresh, deadline=now + 2.0)

    def reclaim_slots(self, slot_ids: tuple[int, ...]) -> None:
        for slot_id in slot_ids:
            self.slots.pop(slot_id, None)

    def begin(self, ticket_id: str, team: str, slot_id: int) -> bool:
        """Begin a call with a slot. Return False if the slot is unknown or has expired."""
        if self.slots.pop(slot_id, 0.0) <= time.monotonic():
            return False
        self.running[ticket_id] = team
        return True

    def end(self, ticket_id: str, cost: float) -> None:
        team = self.running.pop(ticket_id)
        self.counters[team] = self.counters.get(team, 0.0) + cost
        self.finished[ticket_id] = cost
        self.changed.set()

    def report(self) -> offers.UsageReport:
        self.reports += 1
        finished, self.finished = self.finished, {}
        return offers.UsageReport(
            counters=dict(self.counters),
            progress=dict.fromkeys(self.running, 0.0),
            finished=finished,
            running=len(self.running),
            staged=0,
            limit=self.limit,
            admission_state="warm",
        )

    def is_retracted(self) -> bool:
        return self.retracted

    def record_one_way_delay(self, seconds: float) -> None:
        self.one_way_delay_seconds = seconds


def transport() -> channels.PeerTransport:
    return channels.PeerTransport(
        settings.PeerSecurity(mode=settings.SecurityMode.SHARED_KEY, shared_key="test-key")
    )


class InProcessAgent:
    """An agent's dispatcher, gRPC server and offer loop, run in the test's process."""

    def __init__(self, agent_id: str, limit: int = 2) -> None:
        self.agent_id = agent_id
        self.transport = transport()
        self.pool = channels.ChannelPool(self.transport)
        self.source = FakeSlotSource(limit)
        self.server: grpc.aio.Server = self.transport.create_server()
        self.port = self.transport.bind(self.server, f"{HOST}:0")
        self.instance = agent(agent_id, f"{HOST}:{self.port}")
        self.stopped = False

    async def start(self, view: FakeView, incarnation: int = 1) -> None:
        self.dispatcher = dispatcher.Dispatcher(view, SERVICE, settings.QueuePolicyName.FAIR_SHARE)
        servicer = dispatch_server.DispatchServicer(self.dispatcher)
        masticward_pb2_grpc.add_DispatchServicer_to_server(servicer, self.server)
        await self.server.start()
        await self.dispatcher.start()
        self.offers = offers.OfferLoop(view, self.pool, self.source, self.instance, incarnation)
        await self.offers.start()

    async def stop(self) -> None:
        if not self.stopped:
            self.stopped = True
            await self.offers.close()
            await self.dispatcher.close()
            await self.server.stop(None)
            await self.pool.close()


def agent_peer(agent_id: str, incarnation: int = 1) -> dispatch_handler.AgentPeer:
    return dispatch_handler.AgentPeer(agent_id, incarnation, "127.0.0.1:1", ZONE)


async def wait_until(condition: collections.abc.Callable[[], bool], seconds: float = 10.0) -> bool:
    """Wait until the condition holds, and return whether it does.

    The time-out of ``seconds`` is only reached by failing tests.
    """
    deadline = time.monotonic() + seconds
    while not condition() and time.monotonic() < deadline:
        await asyncio.sleep(0.01)
    return condition()
