"""Builders of the gateway's objects for tests."""

from masticward.gateway import fleet as fleet_module
from masticward.gateway import sources
from masticward.models import gateway, rollouts

CACHE_TOKENS = 500_000
# Long enough that a gateway has received reports from its peers.
UPTIME_SECONDS = 60.0


def make_settings(**changes: object) -> gateway.GatewaySettings:
    """Return settings of a gateway on the loopback interface."""
    values: dict[str, object] = {
        "instance_id": "g1",
        "ip": "127.0.0.1",
        "availability_zone": "z1",
        "client_address": "127.0.0.1:0",
        "ready_address": "127.0.0.1:0",
        "peer_port": 0,
        "seed_ips": (),
        "store_address": "127.0.0.1:1",
        "bounds": make_bounds(),
    }
    return gateway.GatewaySettings(**{**values, **changes})  # type: ignore[arg-type]


def make_bounds() -> gateway.Bounds:
    """Return the bounds of the users' first site: the defaults with a larger ``retry_slack``."""
    return gateway.Bounds(
        revoke_seconds=5.0,
        stop_grace_seconds=8.0,
        retry_ratio=0.2,
        retry_window_seconds=10.0,
        retry_slack=58.0,
        cold_overage=1.5,
        cold_slack=5.0,
    )


def make_route(**changes: object) -> gateway.Route:
    """Return a route of an engine service."""
    values: dict[str, object] = {
        "name": "r1",
        "host": "api.example",
        "path_prefix": "/plan/",
        "kind": gateway.RequestKind.STREAM,
        "timeout_seconds": 8.0,
        "target_latency_seconds": 0.8,
        "max_attempts": 1,
        "shares": (gateway.ServiceShare("llm", 1.0),),
    }
    return gateway.Route(**{**values, **changes})  # type: ignore[arg-type]


def make_configuration(version: int = 1, **changes: object) -> gateway.FleetConfiguration:
    """Return a configuration with one engine service, one plain service and two teams."""
    values: dict[str, object] = {
        "version": version,
        "routes": (
            make_route(),
            make_route(
                name="r2",
                path_prefix="/book/",
                kind=gateway.RequestKind.NON_IDEMPOTENT,
                public=True,
                shares=(gateway.ServiceShare("app", 1.0),),
            ),
            make_route(
                name="r3",
                path_prefix="/status/",
                kind=gateway.RequestKind.IDEMPOTENT,
                public=True,
                max_attempts=2,
                shares=(gateway.ServiceShare("app", 1.0),),
            ),
            make_route(
                name="r4", path_prefix="/resume/", max_attempts=2, resumable=True, public=True
            ),
        ),
        "services": {
            "llm": gateway.Service(
                name="llm",
                max_connections=370,
                cold_start_seconds=3.0,
                cold_requests_per_second=8.0,
                engine=gateway.Engine(64, CACHE_TOKENS),
            ),
            "app": gateway.Service(
                name="app",
                max_connections=110,
                cold_start_seconds=0.0,
                cold_requests_per_second=0.0,
            ),
        },
        "limits": gateway.ClientLimits(),
        "team_of_key": {"key-a": "a", "key-b": "b"},
    }
    return gateway.FleetConfiguration(**{**values, **changes})  # type: ignore[arg-type]


def make_endpoint(endpoint_id: str, **changes: object) -> gateway.Endpoint:
    """Return a ready engine."""
    values: dict[str, object] = {
        "id": endpoint_id,
        "service": "llm",
        "address": "127.0.0.1:1",
        "availability_zone": "z1",
        "slots": 64,
    }
    return gateway.Endpoint(**{**values, **changes})  # type: ignore[arg-type]


def make_fleet(*endpoints: gateway.Endpoint, now: float = 0.0) -> fleet_module.FleetState:
    """Return the fleet state of a gateway with the given endpoints, proven at ``now``."""
    fleet = fleet_module.FleetState(make_settings())
    fleet.started_at = now - UPTIME_SECONDS
    fleet.apply_configuration(make_configuration(), now, "test")
    fleet.apply_endpoints([(item.id, item) for item in endpoints], True)
    return fleet


def make_metadata(
    request_id: str = "q1",
    shared: str = "doc",
    shared_tokens: int = 13_000,
    own_tokens: int = 3_700,
    arrived_at: float = 0.0,
    seconds: float = 8.0,
) -> gateway.RequestMetadata:
    """Return a request whose prompt has a shared part and a part of its own."""
    return gateway.RequestMetadata(
        request_id=request_id,
        method=b"POST",
        target=b"/plan/x",
        host="api.example",
        path="/plan/x",
        deadline=arrived_at + seconds,
        api_key="key-a",
        prompt_tokens=shared_tokens + own_tokens,
        output_tokens=100,
        parts=(
            gateway.PromptPart(shared, shared_tokens),
            gateway.PromptPart(f"own-{request_id}", own_tokens),
        ),
        last_event_id=None,
        forwarded_headers=(),
        arrived_at=arrived_at,
    )


class UnusedStore(sources.FleetSource):
    """A store that must not be called."""

    async def list_objects(self, kind: sources.ObjectKind) -> sources.Listing:
        raise NotImplementedError

    async def watch(
        self, kind: sources.ObjectKind, revision: int, wait_seconds: float
    ) -> sources.Listing:
        raise NotImplementedError

    async def register(self, member: sources.Member) -> None:
        raise NotImplementedError

    async def save_quarantine(self, quarantine: sources.StoredQuarantine) -> None:
        raise NotImplementedError

    async def delete_quarantine(self, key: str) -> None:
        raise NotImplementedError

    async def save_rollout_state(
        self, order: rollouts.Order, state: rollouts.RolloutState
    ) -> rollouts.Order | None:
        raise NotImplementedError
