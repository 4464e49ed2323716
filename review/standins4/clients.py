"""Stand-in for clients: each request has an ID of its own, and its own channel or a kept one."""

import asyncio
import secrets
import time

import gateways
import wire


class Outcome:
    """What a client has sent and got."""

    def __init__(self, gateway: str, route: str) -> None:
        self.request_id = secrets.token_hex(8)
        self.gateway = gateway
        self.route = route
        self.sent_at = 0.0
        self.ended_at = 0.0
        # Status of the whole answer; 0 without one.
        self.status = 0
        self.answer: wire.Message | None = None
        self.detail = ""


async def send(
    gateway: gateways.Gateway,
    method: str,
    target: str,
    headers: wire.Headers,
    body: bytes = b"",
    seconds: float = 2.5,
) -> Outcome:
    """Send one request on a new channel and wait for its answer, as long as its time lasts."""
    outcome = Outcome(gateway.name, target)
    all_headers = [
        ("Host", "shop.example"),
        ("X-Masticward-Request-Id", outcome.request_id),
        ("X-Masticward-Deadline-Ms", str(int(seconds * 1000))),
        *headers,
    ]
    outcome.sent_at = time.monotonic()
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.front_port)
            try:
                writer.write(
                    wire.encode(f"{method} {target} HTTP/1.1", all_headers, body, method == "POST")
                )
                outcome.answer = await wire.read_message(reader, True)
                outcome.status = outcome.answer.status
            finally:
                writer.close()
    except TimeoutError:
        outcome.detail = "no answer in time"
    except (OSError, EOFError) as error:
        outcome.detail = f"channel ended: {type(error).__name__}"
    outcome.ended_at = time.monotonic()
    return outcome
