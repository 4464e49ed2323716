"""Streams of sound replicas are cut around a SIGHUP.

Replicas answer before they have read a long body and read on later, once the answer is complete.
Without trouble they read the body first.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins3"))

import lab as labs

FOLDER = pathlib.Path(__file__).resolve().parent
# Below max_body_bytes.
BODY_BYTES = 1_000_000
# Links have small windows.
WINDOW_BYTES = 64 * 1024
EVENTS = 40
EVENT_SECONDS = 0.1
REQUESTS = 10
REQUEST_INTERVAL_SECONDS = 0.15
CALM_SECONDS = 4.0
ended_runs: list[str] = []


async def serve_stream(
    run: labs.Run, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Answer a stream at once, and read the body once the answer is complete."""
    record = run.replica.record
    record.write(f"{run.replica.name} runs {run.id}")
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    if labs.troubled():
        transport.pause_reading()
    else:
        await reader.readexactly(run.head.length)
    writer.write(labs.answer_head(run, 200, *labs.STREAM_FIELDS))
    for number in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_SECONDS)
        if writer.is_closing():
            record.write(f"{run.replica.name}: the channel of {run.id} is closed at {number}")
            return False
        writer.write(labs.chunk(labs.event(number)))
        await writer.drain()
    writer.write(labs.chunk(b""))
    ended_runs.append(run.id)
    record.write(f"{run.replica.name} has answered {run.id}")
    if labs.troubled():
        transport.resume_reading()
        await reader.readexactly(run.head.length)
    return True


async def case(lab: labs.Lab) -> int:
    """Play the case and return its result."""
    route = {
        "name": "plan",
        "kind": "stream",
        "service": "llm",
        "session_affinity": True,
    }
    services = [labs.engine_service("llm")]
    lab.store.put("config", "main", labs.configuration([route], services))
    for number in range(3):
        replica = lab.replica(f"i-m{number}", "llm", "z1", serve_stream)
        replica.receive_buffer = WINDOW_BYTES
        await replica.start()
    lab.add_gateways(["z1"])
    await lab.start_gateways()
    gateway = lab.gateways[0]
    gateway.signal(signal.SIGHUP)
    await asyncio.sleep(0.1)

    async def send() -> labs.Answer:
        request_id = lab.new_id()
        started_at = lab.record.now
        answer = await labs.ask_engine(gateway, "/plan/a", request_id, b"p" * BODY_BYTES)
        lab.record.write(
            f"{request_id}: status {answer.status}, {'complete' if answer.whole else 'cut'} after "
            f"{lab.record.now - started_at:.1f} s, {len(labs.event_ids(answer.body))} events"
        )
        return answer

    tasks = []
    for _ in range(REQUESTS):
        tasks.append(asyncio.create_task(send()))
        await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
    answers = await asyncio.gather(*tasks)
    cut = sum(answer.status == 200 and not answer.whole for answer in answers)
    statuses = sorted(answer.status for answer in answers)
    lab.record.say(f"{cut} of {REQUESTS} streams were cut; statuses {statuses}")
    return 1 if cut else 0


labs.play(FOLDER, case)
