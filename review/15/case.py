"""Streams are cut while sound replicas read a long body slowly and answer meanwhile."""

import asyncio
import pathlib
import secrets
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins4"))

import clients  # noqa: E402
import deployment  # noqa: E402
import gateways  # noqa: E402
import slow_readers  # noqa: E402
import wire  # noqa: E402

# Bounds of the site where they differ from those of gateways.BOUNDS.
SITE_BOUNDS = {"contact_ms": 4000, "config_ms": 3000, "drain_ms": 3000, "budget_slack": 80}
STREAMS = 12
STREAM_GAP_SECONDS = 0.1
BODY_BYTES = 100_000
TIME_SECONDS = 8.0
# 20 KB a second: the body is read after 5 s, the answer has ended after 6 s.
PIECE_BYTES = 1024
PIECE_SECONDS = 0.05
# More than three count.
MOST_CUT = 3


def head_of(request_id: str) -> wire.Headers:
    """Return the headers of a client's request."""
    return [
        ("Host", "shop.example"),
        ("X-Masticward-Request-Id", request_id),
        ("X-Masticward-Deadline-Ms", str(int(TIME_SECONDS * 1000))),
        ("Authorization", f"Bearer {deployment.API_KEY}"),
    ]


async def stream_on_kept_channel(
    gateway: gateways.Gateway, signalled: asyncio.Event, delay: float
) -> clients.Outcome:
    """Send a short request, keep the channel, and send a stream's request after the signal."""
    reader, writer = await asyncio.open_connection(gateway.ip, gateway.front_port)
    try:
        body = b"x" * 100
        writer.write(wire.encode("POST /plan/short HTTP/1.1", head_of(secrets.token_hex(8)), body))
        if (await wire.read_message(reader, True)).status != 200:
            raise deployment.CaseNotRunError("the short request was not served")
        await signalled.wait()
        await asyncio.sleep(delay)
        outcome = clients.Outcome(gateway.name, "/plan/long")
        body = b"x" * BODY_BYTES
        outcome.sent_at = time.monotonic()
        writer.write(wire.encode("POST /plan/long HTTP/1.1", head_of(outcome.request_id), body))
        try:
            async with asyncio.timeout(TIME_SECONDS):
                outcome.answer = await wire.read_message(reader, True)
                outcome.status = outcome.answer.status
                events = outcome.answer.body.count(b"\n\n")
                outcome.detail = f"complete, {events} events"
        except TimeoutError:
            outcome.detail = "no complete answer in time"
        except (EOFError, OSError) as error:
            outcome.detail = f"channel ended: {type(error).__name__}"
        outcome.ended_at = time.monotonic()
        return outcome
    finally:
        writer.close()


async def cut_streams(case: deployment.Deployment) -> int:
    """Send streams with long bodies right after a SIGHUP, to replicas that read them slowly."""
    store_address = await case.store.start(case.host)
    routes = [
        deployment.route("plan", "stream", "llm", timeout_ms=8000, target_latency_ms=800),
    ]
    services = [deployment.service("llm", max_connections=440)]
    case.store.put("config", "main", deployment.configuration(7, routes, services))
    slow = deployment.has_trouble()
    piece_bytes, piece_seconds = (PIECE_BYTES, PIECE_SECONDS) if slow else (BODY_BYTES, 0.0)
    readers = []
    for index in range(1, 4):
        replica = slow_readers.SlowReader(f"i-{index}", "llm", piece_bytes, piece_seconds)
        await replica.start(case.host)
        case.store.put("servers", replica.id, replica.entry())
        readers.append(replica)
    case.note(f"three replicas read at most {piece_bytes} bytes every {piece_seconds} s")
    case.changes = {
        "bounds": {**gateways.BOUNDS, **SITE_BOUNDS},
        "contracts": [*gateways.CONTRACTS, "health", "pool", "pressure"],
        "limits": {"cpu_share": 0.387, "cores": 1, "memory_mb": 200, "max_fds": 4100},
    }
    await case.start_gateways(store_address)
    gateway = case.fleet[0]
    signalled = asyncio.Event()
    waits = [
        asyncio.create_task(stream_on_kept_channel(gateway, signalled, number * STREAM_GAP_SECONDS))
        for number in range(STREAMS)
    ]
    # The short requests are answered, and contact_ms passes without any disturbance.
    await asyncio.sleep(slow_readers.EVENTS * slow_readers.EVENT_SECONDS + 1.5)
    gateway.signal(signal.SIGHUP)
    case.note(f"SIGHUP to {gateway.name}")
    signalled.set()
    case.outcomes = await asyncio.gather(*waits)
    await asyncio.sleep(1.0)
    for replica in readers:
        for arrival in replica.arrivals:
            read = replica.read_bytes[arrival.request_id]
            failure = replica.failures.get(arrival.request_id, "")
            case.note(f"{replica.id} read {read} bytes of {arrival.request_id} {failure}")
    arrived = {item.request_id for replica in readers for item in replica.arrivals}
    cut = [
        item
        for item in case.outcomes
        if item.request_id in arrived and item.detail.startswith("channel ended")
    ]
    whole = sum(item.status == 200 for item in case.outcomes)
    case.replica_arrivals = [item for replica in readers for item in replica.arrivals]
    for replica in readers:
        replica.end()
    if gateway.process is None or gateway.process.poll() is not None or len(cut) + whole < STREAMS:
        raise deployment.CaseNotRunError(f"{whole} whole and {len(cut)} cut of {STREAMS} streams")
    case.note(f"{len(cut)} of {STREAMS} streams were cut at the gateway, {whole} are complete")
    return deployment.BROKEN if len(cut) > MOST_CUT else deployment.HELD


if __name__ == "__main__":
    deployment.run(cut_streams, ["z1", "z2"], FOLDER)
