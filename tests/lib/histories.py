"""Builds correct histories from a seed, into which tests put violations."""

import random

from masticward.bench import history
from masticward.models import work
from masticward.utils import identifiers

ZONES = ("east", "west")


def build(seed: int, calls: int) -> history.History:
    """Return a history of distinct calls without any violation."""
    rng = random.Random(seed)
    built = history.History(seed=seed)
    for number in range(calls):
        call, run = build_call(rng, number)
        built.calls.append(call)
        if run is not None:
            built.runs.append(run)
    built.versions = [sample("entry-1", number, number + 1, 1) for number in range(4)]
    return built


def build_call(
    rng: random.Random, number: int
) -> tuple[history.CallRecord, history.EndpointRecord | None]:
    """Return one call with its run, or without one if it was told "not run"."""
    outcome = rng.choice([work.Outcome.COMPLETE, work.Outcome.NOT_RUN, work.Outcome.UNKNOWN])
    sent_at = rng.uniform(0.0, 10.0)
    call = history.CallRecord(
        call_id=f"call-{number}",
        team=f"team-{rng.randrange(4)}",
        service="booking",
        operation="book",
        idempotent=False,
        key=f"key-{number}" if rng.random() < 0.5 else "",
        request_digest=identifiers.body_digest(f"request {number}".encode()),
        sent_at=sent_at,
        ended_at=sent_at + 1.0,
        outcome=outcome,
        entry="entry-1",
    )
    if outcome is work.Outcome.NOT_RUN:
        return call, None
    body = f"response {number}".encode()
    run = history.EndpointRecord(
        endpoint=f"booking-{rng.randrange(3)}",
        service="booking",
        availability_zone=ZONES[number % 2],
        attempt_id=f"attempt-{number}",
        request_id=f"request-{number}",
        team=call.team,
        request_digest=call.request_digest,
        started_at=sent_at + 0.1,
        finished_at=sent_at + 0.9,
        response_digest=identifiers.body_digest(body),
        response_length=len(body),
        cost=1.0,
    )
    if outcome is work.Outcome.COMPLETE:
        call.response_digest = run.response_digest
        call.response_length = run.response_length
    return call, run


def sample(process: str, at: float, config: int, operations: int) -> history.VersionSample:
    """Return the versions of one process at a time."""
    return history.VersionSample(
        process=process, incarnation=1, at=at, config_version=config, operations_version=operations
    )
