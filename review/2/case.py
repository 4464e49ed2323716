"""A stopping gateway takes a long request on a channel that it left open, and cuts it."""

import asyncio
import pathlib
import signal
import sys
import time

from standins import fleet, http, record

GRACE_SECONDS = 8.0
# The platform sends no new channel to a machine after two misses, one second apart.
LAST_CHANNEL_SECONDS = 1.0
# Later than the 3 s after the SIGTERM for which the rule excuses a cut.
SENT_AFTER_SECONDS = (4.0, 4.5, 5.0)


class Stream:
    """One stream of a client."""

    def __init__(self, request_id: str, channel: http.Channel) -> None:
        self.request_id = request_id
        self.channel = channel
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.answer = http.Answer()

    async def send(self, delay: float) -> None:
        """Send the request after a delay and read its answer."""
        await asyncio.sleep(delay)
        self.sent_at = time.monotonic()
        headers = fleet.headers(self.request_id, 10000, engine=True)
        self.answer = await self.channel.call(
            "POST", "/driver-ask/2f", headers, b"x" * 1500, seconds=10.0
        )
        self.ended_at = time.monotonic()


async def case(log: record.Record) -> bool:
    """Return whether no request that was passed on was cut."""
    deployment = fleet.Fleet(gateways=2)
    # 34 events with a pause of 0.15 s: a stream of 5.1 s, within its time budget of 10 s.
    deployment.add_replicas(fleet.ENGINES, 3, gap_seconds=0.15)
    deployment.add_replicas(fleet.BOOKING, 1)
    streams: list[Stream] = []
    try:
        await deployment.start()
        # Longer than contact_ms, so that the machine is in touch.
        await asyncio.sleep(4.0)
        gateway = deployment.gateways[0]
        tasks = []
        # A stream that is sent shortly before the SIGTERM and ends 5.1 s later.
        streams.append(Stream("a000000000000001", await http.Channel.open(gateway.front)))
        tasks.append(asyncio.create_task(streams[0].send(0.0)))
        for number in range(len(SENT_AFTER_SECONDS)):
            channel = await http.Channel.open(gateway.front)
            streams.append(Stream(f"b00000000000000{number + 1}", channel))
        opened_at = time.monotonic()
        log.add("the channels of all requests are open", opened_at)
        await asyncio.sleep(LAST_CHANNEL_SECONDS)
        stopped_at = time.monotonic()
        if record.trouble():
            stopped_at = gateway.signal(signal.SIGTERM)
            log.add(f"SIGTERM to {gateway.name}", stopped_at)
        for stream, seconds in zip(streams[1:], SENT_AFTER_SECONDS, strict=True):
            tasks.append(asyncio.create_task(stream.send(seconds)))
        await asyncio.sleep(GRACE_SECONDS)
        if record.trouble() and gateway.process is not None and gateway.process.poll() is None:
            gateway.signal(signal.SIGKILL)
            log.add(f"SIGKILL to {gateway.name}")
        await asyncio.gather(*tasks)
    finally:
        for stream in streams:
            stream.channel.close()
        await deployment.close()
    return check(deployment, streams, stopped_at, log)


def check(
    deployment: fleet.Fleet, streams: list[Stream], stopped_at: float, log: record.Record
) -> bool:
    """Compare what the clients got with what the replicas ran."""
    runs = {run.request_id: run for item in deployment.replicas for run in item.runs}
    broken = 0
    for stream in streams:
        run = runs.get(stream.request_id)
        log.add(
            f"{stream.request_id} sent, {stream.sent_at - stopped_at:.2f} s after the SIGTERM",
            stream.sent_at,
        )
        if run is not None:
            log.add(f"{stream.request_id} runs at {run.replica_id}", run.began_at)
            log.add(f"{stream.request_id} at {run.replica_id}: {run.ended}", run.ended_at)
        answer = stream.answer
        log.add(
            f"{stream.request_id} ended for its client after "
            f"{stream.ended_at - stream.sent_at:.2f} s: status {answer.status}, {answer.ended}, "
            f"{answer.body.count(b'id: ')} events",
            stream.ended_at,
        )
        # Only a request that was sent later than 3 s after the SIGTERM has no excuse.
        late = stream.sent_at > stopped_at + 3.0
        if late and run is not None and answer.ended != "whole":
            broken += 1
    log.add(f"{broken} requests were passed on to a replica and cut")
    return broken == 0


if __name__ == "__main__":
    record.run(pathlib.Path(sys.argv[1]).resolve(), case)
