"""Stand-in for the platform's instance list, which can lag or be down."""

import collections
import time
import typing

import msgspec
import typer
from aiohttp import web

from masticward.standins import web as web_server
from masticward.utils import clocks, identifiers

HISTORY_SECONDS = 120.0
COMPRESSED_FROM_BYTES = 4096


class ListFaults(msgspec.Struct, kw_only=True):
    """``lag_ms``: answers show the list as it was so long ago. ``mode`` down: 503."""

    lag_ms: float = 0.0
    mode: typing.Literal["up", "down"] = "up"


class ListedInstance(msgspec.Struct, kw_only=True, frozen=True):
    """One instance as the platform lists it."""

    id: str
    role: typing.Literal["entry", "agent"]
    zone: str
    peer_address: str
    service: str = ""
    admin_address: str = ""
    state: typing.Literal["live", "leaving"] = "live"


class InstanceListStandin:
    """Keeps the list and its past states in memory."""

    def __init__(self) -> None:
        self.instances: dict[str, ListedInstance] = {}
        self.history: collections.deque[tuple[float, list[ListedInstance]]] = collections.deque()
        self.faults = ListFaults()
        self.record()
        self.server = web_server.WebServer()
        router = self.server.application.router
        router.add_get("/v1/instances", self.handle_list)
        router.add_put("/control/instances/{id}", self.handle_put)
        router.add_delete("/control/instances/{id}", self.handle_delete)
        router.add_post("/control/faults", self.handle_faults)

    async def start(self, address: str) -> int:
        """Listen on ``host:port`` and return the port in use."""
        return await self.server.start(address)

    async def close(self) -> None:
        """Stop; the list stays for another start."""
        await self.server.close()

    def set_instance(self, instance: ListedInstance) -> None:
        """Add or change one instance."""
        self.instances[instance.id] = instance
        self.record()

    def remove_instance(self, instance_id: str) -> None:
        """Remove one instance."""
        self.instances.pop(instance_id, None)
        self.record()

    def record(self) -> None:
        """Keep the current state for answers that lag."""
        now = time.monotonic()
        self.history.append((now, list(self.instances.values())))
        while len(self.history) > 1 and self.history[1][0] < now - HISTORY_SECONDS:
            self.history.popleft()

    def visible(self) -> list[ListedInstance]:
        """Return the list as it was ``lag_ms`` ago."""
        moment = time.monotonic() - self.faults.lag_ms / clocks.MILLISECONDS_PER_SECOND
        shown: list[ListedInstance] = []
        for recorded_at, instances in self.history:
            if recorded_at > moment:
                break
            shown = instances
        return shown

    async def handle_list(self, request: web.Request) -> web.StreamResponse:
        """Answer with the visible list."""
        if self.faults.mode == "down":
            return web.Response(status=503, text="the instance list is down")
        body = msgspec.json.encode({"instances": self.visible()})
        tag = f'"{identifiers.body_digest(body):x}"'
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        response = web.Response(body=body, content_type="application/json", headers={"ETag": tag})
        if len(body) > COMPRESSED_FROM_BYTES:
            response.enable_compression()
        return response

    async def handle_put(self, request: web.Request) -> web.StreamResponse:
        """Add or change one instance."""
        try:
            fields = msgspec.json.decode(await request.read(), type=dict[str, typing.Any])
            fields["id"] = request.match_info["id"]
            self.set_instance(msgspec.convert(fields, ListedInstance))
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        return web.Response()

    async def handle_delete(self, request: web.Request) -> web.StreamResponse:
        """Remove one instance."""
        self.remove_instance(request.match_info["id"])
        return web.Response()

    async def handle_faults(self, request: web.Request) -> web.StreamResponse:
        """Switch faults."""
        self.faults = msgspec.json.decode(await request.read(), type=ListFaults)
        return web.json_response(msgspec.to_builtins(self.faults))


def main(
    address: typing.Annotated[str, typer.Option(help="IP:port to listen on")] = "127.0.0.1:7200",
) -> None:
    """Run the instance list stand-in."""
    web_server.serve_until_signal(
        InstanceListStandin(), address, "instance list listens on {address}"
    )


if __name__ == "__main__":
    typer.run(main)
