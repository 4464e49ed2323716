"""A stand-in for a language-model engine: deterministic tokens as server-sent events."""

import asyncio

import msgspec
import typer
from aiohttp import web

from masticward.standins import endpoint_server
from masticward.standins import web as web_server
from masticward.utils import clocks, identifiers

END_EVENT = b"data: [DONE]\n\n"


class GenerateRequest(msgspec.Struct):
    """The body of ``POST /v1/generate``."""

    prompt_tokens: int = 1
    output_tokens: int = 1
    text: str = ""


class EngineServer(endpoint_server.EndpointServer):
    """Streams tokens and stops a stream whose caller closes the connection."""

    stops_abandoned_calls = True

    async def serve(self, call: endpoint_server.Call) -> web.StreamResponse:
        """Stream the tokens of one request."""
        try:
            wanted = msgspec.json.decode(call.body, type=GenerateRequest)
        except msgspec.MsgspecError as error:
            return web.json_response({"message": str(error)}, status=400)
        if call.drop is endpoint_server.DropPoint.BEFORE_ANSWER:
            return self.abort(call.request)
        if call.drop is endpoint_server.DropPoint.AFTER_WORK:
            await self.wait_for_first_token()
            call.record.finish(answer_of(call.body), cost_of(wanted))
            return self.abort(call.request)
        return await self.stream(call, wanted)

    async def stream(
        self, call: endpoint_server.Call, wanted: GenerateRequest
    ) -> web.StreamResponse:
        """Send one event after another."""
        token_events = events_of(call.body, wanted.output_tokens)
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(call.request)
        half = len(token_events) // 2
        for index, event in enumerate(token_events):
            if index == half and call.drop is endpoint_server.DropPoint.MIDDLE:
                return self.abort(call.request)
            if index == 0:
                await self.wait_for_first_token()
            else:
                await asyncio.sleep(self.faults.token_ms / clocks.MILLISECONDS_PER_SECOND)
            await response.write(event)
        call.record.finish(b"".join(token_events) + END_EVENT, cost_of(wanted))
        await response.write(END_EVENT)
        await response.write_eof()
        return response

    async def wait_for_first_token(self) -> None:
        """Wait as long as the prompt takes, which is long while cold."""
        faults = self.faults
        wait_ms = faults.cold_first_token_ms if faults.cold else faults.first_token_ms
        await asyncio.sleep(wait_ms / clocks.MILLISECONDS_PER_SECOND)


def events_of(body: bytes, output_tokens: int) -> list[bytes]:
    """Return the token events of a request, which depend on its body only."""
    seed = f"{identifiers.body_digest(body):016x}"
    return [
        f"data: {identifiers.stable_hash(seed, str(index)):016x}\n\n".encode()
        for index in range(output_tokens)
    ]


def answer_of(body: bytes) -> bytes:
    """Return the whole response body of a valid request."""
    wanted = msgspec.json.decode(body, type=GenerateRequest)
    return b"".join(events_of(body, wanted.output_tokens)) + END_EVENT


def cost_of(wanted: GenerateRequest) -> float:
    """Return the tokens of a request, prompt and output, unweighted."""
    return float(wanted.prompt_tokens + wanted.output_tokens)


def main(
    address: str = "127.0.0.1:0",
    cold_limit: int = 2,
    warm_limit: int = 8,
    token_ms: float = 20.0,
    first_token_ms: float = 50.0,
    cold: bool = False,
) -> None:
    """Run the engine stand-in and print its port."""
    faults = endpoint_server.Faults(
        cold_limit=cold_limit,
        warm_limit=warm_limit,
        token_ms=token_ms,
        first_token_ms=first_token_ms,
        cold=cold,
    )
    web_server.serve_until_signal(EngineServer(faults), address, "{port}")


if __name__ == "__main__":
    typer.run(main)
