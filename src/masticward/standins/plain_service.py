"""A stand-in for a plain service: each call gets the next serial number, as a booking would."""

import asyncio

import msgspec
import typer
from aiohttp import web

from masticward.standins import endpoint_server
from masticward.standins import web as web_server
from masticward.utils import clocks, identifiers


class PlainServer(endpoint_server.EndpointServer):
    """Runs every call to its end, whether or not its caller still waits."""

    stops_abandoned_calls = False

    def __init__(self, faults: endpoint_server.Faults | None = None) -> None:
        super().__init__(faults)
        self.serial = 0

    async def serve(self, call: endpoint_server.Call) -> web.StreamResponse:
        """Do one piece of work and answer with its serial number."""
        if call.drop is endpoint_server.DropPoint.BEFORE_ANSWER:
            return self.abort(call.request)
        await asyncio.sleep(self.faults.service_ms / clocks.MILLISECONDS_PER_SECOND)
        self.serial += 1
        request = call.request
        answer = answer_of(self.serial, request.method, request.path_qs, call.body)
        call.record.finish(answer, 1.0)
        if call.drop is endpoint_server.DropPoint.AFTER_WORK:
            return self.abort(request)
        if call.drop is endpoint_server.DropPoint.MIDDLE:
            return await self.cut(request, answer)
        return web.Response(body=answer, content_type="application/json")

    async def cut(self, request: web.Request, answer: bytes) -> web.StreamResponse:
        """Send half of the answer that the header announces, then drop the connection."""
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.content_length = len(answer)
        await response.prepare(request)
        await response.write(answer[: len(answer) // 2])
        # The first half must have left before the connection is dropped.
        await asyncio.sleep(0.05)
        return self.abort(request)


def answer_of(serial: int, method: str, path: str, body: bytes) -> bytes:
    """Return the response body of one call."""
    return msgspec.json.encode(
        {
            "serial": serial,
            "method": method,
            "path": path,
            "body_digest": f"{identifiers.body_digest(body):016x}",
        }
    )


def main(
    address: str = "127.0.0.1:0",
    cold_limit: int = 2,
    warm_limit: int = 8,
    service_ms: float = 20.0,
    cold: bool = False,
) -> None:
    """Run the plain service stand-in and print its port."""
    faults = endpoint_server.Faults(
        cold_limit=cold_limit, warm_limit=warm_limit, service_ms=service_ms, cold=cold
    )
    web_server.serve_until_signal(PlainServer(faults), address, "{port}")


if __name__ == "__main__":
    typer.run(main)
