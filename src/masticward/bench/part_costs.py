"""What the shared state of one process costs: configuration, members, exchanges and claims.

Every slope is fitted through at least three points that are measured in the same run. Processor
time is that of this process (``time.process_time``), memory is what ``tracemalloc`` attributes.
"""

import asyncio
import collections.abc
import functools
import gc
import hashlib
import time
import tracemalloc
import typing

import msgspec

from masticward import settings as settings_module
from masticward.models import configuration as configuration_models
from masticward.models import membership as membership_models
from masticward.protocol import peers
from masticward.state import claims as claims_state
from masticward.state import membership as membership_state
from masticward.state import route_table, shards, versions
from masticward.transport import channels
from masticward.utils import clocks
from masticward.wire import masticward_pb2, masticward_pb2_grpc

TEAM_POINTS = (1_000, 4_000, 16_000, 31_000)
MEMBER_POINTS = (500, 2_000, 7_110)
EXCHANGE_POINTS = (500, 1_000, 2_000)
CLAIM_POINTS = (400, 800, 1_600)
CONCURRENT_EXCHANGES = 8
MICROSECONDS_PER_SECOND = 1e6


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """One measurement of something at a size."""

    size: int
    value: float


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A line through measured points: ``value = base + per_item * size``."""

    name: str
    unit: str
    per_item: float
    base: float
    points: tuple[Point, ...]


def fit(name: str, unit: str, points: list[Point]) -> Slope:
    """Return the least-squares line through the points."""
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean_value = sum(point.value for point in points) / count
    spread = sum((point.size - mean_size) ** 2 for point in points)
    joint = sum((point.size - mean_size) * (point.value - mean_value) for point in points)
    per_item = joint / spread
    return Slope(
        name=name,
        unit=unit,
        per_item=per_item,
        base=mean_value - per_item * mean_size,
        points=tuple(points),
    )


def allocated(
    build: collections.abc.Callable[[], typing.Any],
) -> tuple[float, typing.Any]:
    """Return the bytes that stay allocated after ``build`` and what it returned."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(size), built


def configuration_of(teams: int) -> configuration_models.Configuration:
    """Return a configuration with a number of teams and one service."""
    service = configuration_models.Service(
        name="drafting",
        kind=configuration_models.ServiceKind.LANGUAGE_MODEL,
        operations=(
            configuration_models.Operation(
                name="generate", method="POST", path="/v1/generate", idempotent=True
            ),
        ),
        cold_limit=2,
        warm_limit=8,
        endpoints=447,
    )
    return configuration_models.Configuration(
        version=1,
        availability_zones=("zone-1",),
        services=(service,),
        teams=tuple(
            configuration_models.Team(
                name=f"team-{number:05d}",
                share=1.0 + number % 7,
                credential_digests=(hashlib.sha256(str(number).encode()).hexdigest(),),
            )
            for number in range(teams)
        ),
    )


def configuration_slopes() -> list[Slope]:
    """Return wire bytes, memory and processor time of a configuration by number of teams."""
    wire, held, indexed, decode, split = [], [], [], [], []
    for teams in TEAM_POINTS:
        configuration = configuration_of(teams)
        raw = msgspec.json.encode(configuration)
        wire.append(Point(size=teams, value=len(raw)))
        started = time.process_time()
        shards.split(configuration.teams)
        split.append(Point(size=teams, value=elapsed_microseconds(started)))
        store = versions.VersionStore()
        started = time.process_time()
        store.adopt_configuration(raw)
        decode.append(Point(size=teams, value=elapsed_microseconds(started)))
        size, _ = allocated(functools.partial(take, raw))
        held.append(Point(size=teams, value=size))
        size, _ = allocated(functools.partial(route_table.RouteTable, configuration))
        indexed.append(Point(size=teams, value=size))
    return [
        fit("configuration on the wire", "bytes per team", wire),
        fit("configuration decoded", "microseconds per team", decode),
        fit("configuration split into shards", "microseconds per team", split),
        fit("configuration held by every process", "bytes per team", held),
        fit("index of credentials held by an entry", "bytes per team", indexed),
    ]


def take(raw: bytes) -> versions.VersionStore:
    """Return a version store that holds a configuration."""
    store = versions.VersionStore()
    store.adopt_configuration(bytes(raw))
    return store


def member(number: int) -> membership_models.Instance:
    """Return an agent with a number."""
    return membership_models.Instance(
        id=f"agent-{number:05d}",
        role=membership_models.Role.AGENT,
        service=f"model-{number % 15}",
        availability_zone=f"zone-{number % 7}",
        peer_address=f"10.0.{number // 250}.{number % 250}:7400",
        admin_address=f"10.0.{number // 250}.{number % 250}:7401",
    )


def membership_slopes() -> list[Slope]:
    """Return memory and processor time of the instance list by number of instances."""
    held, applied, listed = [], [], []
    own = member(0)
    for count in MEMBER_POINTS:

        def build(count: int = count) -> membership_state.MembershipView:
            view = membership_state.MembershipView(own)
            view.apply_list([member(number) for number in range(count)], time.monotonic())
            return view

        size, view = allocated(build)
        held.append(Point(size=count, value=size))
        instances = [member(number) for number in range(count)]
        started = time.process_time()
        view.apply_list(instances, time.monotonic())
        applied.append(Point(size=count, value=elapsed_microseconds(started)))
        listed.append(Point(size=count, value=len(msgspec.json.encode(instances))))
    return [
        fit("members held by every process", "bytes per instance", held),
        fit("instance list applied", "microseconds per instance", applied),
        fit("instance list on the wire", "bytes per instance", listed),
    ]


class AnsweringPeer(peers.PeerHandler):
    """Answers exchanges with a fixed digest."""

    def digest(self) -> masticward_pb2.ViewDigest:
        """Return a digest of usual size."""
        instance = member(1)
        return masticward_pb2.ViewDigest(
            instance_id=instance.id,
            incarnation=time.time_ns(),
            role=instance.role.value,
            service=instance.service,
            availability_zone=instance.availability_zone,
            peer_address=instance.peer_address,
            admin_address=instance.admin_address,
            config_version=100_000,
            operations_version=1_000,
        )

    def receive_digest(self, digest: masticward_pb2.ViewDigest) -> None:
        """Ignore the digest."""

    def newest(self, kind: int) -> tuple[int, bytes]:
        """Return nothing newer."""
        return 0, b""

    def receive_delivery(self, delivery: masticward_pb2.Delivery) -> None:
        """Ignore the delivery."""


async def exchange_slopes() -> list[Slope]:
    """Return processor time (both sides) and message bytes by number of exchanges."""
    transport = channels.PeerTransport(
        settings_module.PeerSecurity(mode=settings_module.SecurityMode.SHARED_KEY, shared_key="k")
    )
    handler = AnsweringPeer()
    server = transport.create_server()
    masticward_pb2_grpc.add_PeerServicer_to_server(peers.PeerServicer(handler), server)
    address = f"127.0.0.1:{transport.bind(server, '127.0.0.1:0')}"
    await server.start()
    pool = channels.ChannelPool(transport)
    spent, sent = [], []
    digest = handler.digest()

    async def exchange_many(count: int) -> None:
        for _ in range(count):
            await peers.exchange(
                pool, address, digest, clocks.deadline_after(10.0), wait_for_connection=True
            )

    await exchange_many(CONCURRENT_EXCHANGES)
    for count in EXCHANGE_POINTS:
        share = count // CONCURRENT_EXCHANGES
        started = time.process_time()
        await asyncio.gather(*(exchange_many(share) for _ in range(CONCURRENT_EXCHANGES)))
        spent.append(Point(size=share * CONCURRENT_EXCHANGES, value=elapsed_microseconds(started)))
        sent.append(Point(size=count, value=2.0 * digest.ByteSize() * count))
    await pool.close()
    await server.stop(0)
    return [
        fit("exchange between two peers, both sides", "microseconds per exchange", spent),
        fit("exchange between two peers, messages", "bytes per exchange", sent),
    ]


def claim_slopes() -> list[Slope]:
    """Return bytes in a shard object and processor time by number of claims."""
    stored, spent = [], []
    for count in CLAIM_POINTS:
        shard = claims_state.ClaimShard.empty()
        started = time.process_time()
        for number in range(count):
            claim = claims_state.Claim(
                key_digest=claims_state.key_digest("team", "booking", str(number)),
                request_digest=claims_state.request_digest("POST", "/v1/bookings", b"{}"),
                nonce=f"nonce-{number}",
            )
            shard.claim(claim, time.time())
        spent.append(Point(size=count, value=elapsed_microseconds(started)))
        stored.append(Point(size=count, value=len(shard.encode())))
    return [
        fit("claims in a shard object", "bytes per claim", stored),
        fit("claims added to a shard", "microseconds per claim", spent),
    ]


def elapsed_microseconds(started: float) -> float:
    """Return the processor time since ``started`` (seconds) in microseconds."""
    return (time.process_time() - started) * MICROSECONDS_PER_SECOND


async def measure() -> list[Slope]:
    """Return all slopes."""
    return [
        *configuration_slopes(),
        *membership_slopes(),
        *await exchange_slopes(),
        *claim_slopes(),
    ]


def main() -> None:
    """Measure and print JSON."""
    slopes = asyncio.run(measure())
    print(msgspec.json.format(msgspec.json.encode(slopes)).decode())


if __name__ == "__main__":
    main()
