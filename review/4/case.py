"""A gateway that reads the store freezes while a replica leaves, and then brings it back."""

import asyncio
import itertools
import pathlib
import signal
import sys
import time

from standins import fleet, http, record, replica

GATEWAYS = 10
# The bounds of grown/alcfm-route-grown.toml.
BOUNDS = {"contact_ms": 4000, "drain_ms": 3000, "config_ms": 3000, "recover_s": 15}
DRAIN_SECONDS = 3.0
CONTACT_SECONDS = 4.0
FREEZE_SECONDS = 3.5
LEAVES_AFTER_SECONDS = 0.2
# The replica goes on serving for drain_ms and "a little longer (at times many seconds)".
SERVES_SECONDS = 7.0
ROUNDS = 3
CLIENTS_PER_GATEWAY = 2


class Sent:
    """A request of a client: through which gateway, and how it was answered."""

    __slots__ = ("answer", "gateway")

    def __init__(self, gateway: fleet.Gateway, answer: http.Answer) -> None:
        self.gateway = gateway
        self.answer = answer


async def client(
    gateway: fleet.Gateway, serials: "itertools.count[int]", sent: dict[str, Sent]
) -> None:
    """Send one request after the other, on one channel while it lasts."""
    channel: http.Channel | None = None
    try:
        while True:
            await asyncio.sleep(0.08)
            request_id = f"{next(serials):016x}"
            try:
                channel = channel or await http.Channel.open(gateway.front)
            except (OSError, TimeoutError):
                continue
            headers = fleet.headers(request_id, 2500)
            sent[request_id] = Sent(gateway, http.Answer())
            answer = await channel.call("GET", "/order-status/2f", headers, seconds=2.5)
            sent[request_id].answer = answer
            if not channel.reusable(answer):
                channel.close()
                channel = None
    finally:
        if channel is not None:
            channel.close()


def current_reader(deployment: fleet.Fleet) -> fleet.Gateway:
    """Return the gateway that called the latest watch of the replicas."""
    watched_at = deployment.store.watched_at
    return max(deployment.gateways, key=lambda item: watched_at.get(item.store_address, 0.0))


async def play_round(
    deployment: fleet.Fleet, leaving: replica.Replica, sent: dict[str, Sent], log: record.Record
) -> int:
    """Freeze a reader while a replica leaves; return how many requests reached it too late."""
    frozen = current_reader(deployment)
    if record.trouble():
        log.add(f"{frozen.name} stands still", frozen.signal(signal.SIGSTOP))
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    acked_at = leaving.unlist()
    log.add(f"the store accepted that the entry of {leaving.id} is gone", acked_at)
    await asyncio.sleep(FREEZE_SECONDS - LEAVES_AFTER_SECONDS)
    if record.trouble():
        log.add(f"{frozen.name} goes on", frozen.signal(signal.SIGCONT))
    await asyncio.sleep(acked_at + DRAIN_SECONDS + SERVES_SECONDS - time.monotonic())
    await leaving.leave()
    log.add(f"{leaving.id} has left")
    late = 0
    for run in leaving.runs:
        seconds = run.began_at - acked_at
        gateway = sent[run.request_id].gateway
        if seconds > DRAIN_SECONDS:
            judged = gateway is not frozen
            late += judged
            log.add(
                f"{run.request_id} from {gateway.name} runs at {leaving.id}, {seconds:.2f} s "
                f"after the ack{'' if judged else ' (from the frozen machine: not judged)'}",
                run.began_at,
            )
    log.add(f"{late} requests of other machines ran more than {DRAIN_SECONDS} s after the ack")
    return late


async def case(log: record.Record) -> bool:
    """Return whether no calm gateway sent to a replica after its leaving was acknowledged."""
    deployment = fleet.Fleet(GATEWAYS, **BOUNDS)
    deployment.add_replicas(fleet.ENGINES, 2)
    deployment.add_replicas(fleet.BOOKING, 3 + ROUNDS)
    sent: dict[str, Sent] = {}
    tasks: list[asyncio.Task[None]] = []
    late = 0
    try:
        for gateway in deployment.gateways:
            gateway.store_address = await deployment.store.add_address()
        await deployment.start()
        log.add("all gateways are ready")
        serials = itertools.count(1)
        tasks = [
            asyncio.create_task(client(gateway, serials, sent))
            for gateway in deployment.gateways * CLIENTS_PER_GATEWAY
        ]
        booking = [item for item in deployment.replicas if item.service == fleet.BOOKING]
        for leaving in booking[:ROUNDS]:
            await asyncio.sleep(CONTACT_SECONDS + 2.0)
            late += await play_round(deployment, leaving, sent, log)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await deployment.close()
    outcomes: dict[str, int] = {}
    for item in sent.values():
        outcome = f"{item.answer.status} {item.answer.ended}"
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
    ran = sum(len(item.runs) for item in deployment.replicas)
    log.add(f"sent {len(sent)}, run {ran}, answers {outcomes}")
    return late == 0


if __name__ == "__main__":
    record.run(pathlib.Path(sys.argv[1]).resolve(), case)
