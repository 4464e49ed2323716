"""A late copy of a refusal makes a gateway send a request on that runs already."""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2 import fleet  # noqa: E402

REQUESTS = 6
# How long both replicas are full after each of these requests was sent.
FULL_SECONDS = 0.9
# Between the requests, so that the fault stays within its length and share.
PAUSE_SECONDS = 1.0
WORK_SECONDS = 3.0
DEADLINE_MS = 8000
# Requests a second that the second gateway gets meanwhile, which both replicas answer.
OTHER_REQUESTS_PER_SECOND = 60
# Of the faulty replica's answers, the largest part that comes twice, and for how long (``garble``).
MAX_COPIED_SHARE = 0.03
FAULT_SECONDS = 5.0
# The fault begins this long before the request that it hits.
LEAD_SECONDS = 1.5


class Replicas:
    """The work of two replicas, of which the first may send copies of its refusals."""

    def __init__(self, record: fleet.Record) -> None:
        self.record = record
        self.faulty = ""
        self.faulty_until = 0.0
        self.full_until = 0.0
        self.answers = 0
        self.copies = 0
        # The answer that comes once more where the next one is due, by connection.
        self.late: dict[asyncio.StreamWriter, bytes] = {}

    def begin_fault(self, name: str) -> None:
        """Let a replica send copies of some of its answers for a while."""
        self.record.line(f"replica {name} sends some answers twice, for {FAULT_SECONDS} s")
        self.faulty = name
        self.faulty_until = self.record.now() + FAULT_SECONDS
        self.answers = self.copies = 0
        self.late.clear()

    async def work(
        self,
        replica: fleet.Replica,
        request: fleet.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Refuse a stream while full, run it otherwise; run other requests at once."""
        faulty = replica.name == self.faulty and self.record.now() < self.faulty_until
        if faulty:
            self.answers += 1
            late = self.late.pop(writer, b"")
            if late and (self.copies + 1) <= MAX_COPIED_SHARE * self.answers:
                self.copies += 1
                self.record.line(
                    f"replica {replica.name} sends its earlier refusal once more "
                    f"({self.copies} copies of {self.answers} answers)"
                )
                writer.write(late)
        if not request.target.startswith("/plan/"):
            body = b"done"
            writer.write(replica.head(request, 200, fleet.SEAL, len(body)) + body)
            return True
        if self.record.now() < self.full_until:
            refusal = replica.head(request, 503, "X-Masticward-Not-Executed: 1\r\n", 0)
            self.record.line(f"replica {replica.name} is full and refuses {request.request_id}")
            if faulty:
                self.late[writer] = refusal
            writer.write(refusal)
            return True
        replica.note_run(request)
        events = f"id: 1\ndata: {replica.name}\n\nid: 2\ndata: end\n\n".encode()
        fields = f"{fleet.SEAL}Content-Type: text/event-stream\r\n"
        await asyncio.sleep(WORK_SECONDS)
        self.record.line(f"replica {replica.name} has run {request.request_id}")
        writer.write(replica.head(request, 200, fields, len(events)) + events)
        return True


async def send_others(replicas: fleet.Fleet) -> None:
    """Send idempotent requests through the second gateway until cancelled."""
    number = 0
    tasks: set[asyncio.Task[None]] = set()

    async def send(request_id: str) -> None:
        headers = {"X-Masticward-Request-Id": request_id, "X-Masticward-Deadline-Ms": "2000"}
        with contextlib.suppress(OSError):
            await fleet.call(replicas.gateways[1].front, "GET", "/status/1", headers, 3.0)

    try:
        while True:
            number += 1
            task = asyncio.create_task(send(f"other-{number}"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / OTHER_REQUESTS_PER_SECOND)
    finally:
        for task in list(tasks):
            task.cancel()


async def case(started: fleet.Fleet, trouble: bool) -> bool:
    """Return whether each stream ran once at most, and not at all if its client was refused."""
    await started.start_store()
    plan = fleet.route("plan", "stream", timeout_ms=8000, target_latency_ms=3000)
    status = fleet.route("status", "idempotent", max_attempts=2)
    started.store.put("config", "main", fleet.configuration(3, [plan, status]))
    replicas = Replicas(started.record)
    first = await started.add_replica("i-1", "ebene", replicas.work)
    second = await started.add_replica("i-2", "curepipe", replicas.work)
    await started.start_gateways(2)
    others = asyncio.create_task(send_others(started))
    # The second gateway knows the replicas before the fault begins.
    await asyncio.sleep(2.0)
    held = True
    for number in range(REQUESTS):
        request_id = f"plan-{number}"
        if trouble:
            replicas.begin_fault(first.name)
        await asyncio.sleep(LEAD_SECONDS)
        replicas.full_until = started.record.now() + FULL_SECONDS
        started.record.line(f"client sends {request_id} to {started.gateways[0].name}")
        headers = {
            "X-Masticward-Request-Id": request_id,
            "X-Masticward-Deadline-Ms": str(DEADLINE_MS),
        }
        front = started.gateways[0].front
        answer = await fleet.call(front, "POST", "/plan/1", headers, 9.0, b"plan")
        await asyncio.sleep(PAUSE_SECONDS)
        runs = sum(len(item.runs.get(request_id, ())) for item in (first, second))
        started.record.line(
            f"client got {answer.status}{'' if answer.whole else ', broken off'}; "
            f"{request_id} ran {runs} times"
        )
        if answer.status == 0:
            raise fleet.CannotRunError("a request was not answered")
        held = held and runs <= 1 and not (answer.status in (408, 421, 429, 503) and runs)
    others.cancel()
    return held


if __name__ == "__main__":
    sys.exit(fleet.run_case(FOLDER, case))
