"""Reads the endpoints' records from the stand-ins."""

import collections.abc

import aiohttp
import msgspec

from masticward.bench import history as history_module
from masticward.bench import plans

READ_TIMEOUT_SECONDS = 10.0


class RawRecord(msgspec.Struct, kw_only=True):
    """One record as a stand-in writes it (section 5.3 of the design)."""

    attempt_id: str
    request_id: str
    team: str
    body_digest: int | str
    started_at: float
    finished_at: float | None = None
    response_digest: int | str | None = None
    response_length: int = 0
    cost: float = 0.0


async def fetch(
    urls: collections.abc.Mapping[str, str], endpoints: collections.abc.Iterable[plans.EndpointPlan]
) -> list[history_module.EndpointRecord]:
    """Return the records of all endpoints; raises ClientError or ValidationError."""
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS)
    records: list[history_module.EndpointRecord] = []
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for endpoint in endpoints:
            async with session.get(f"{urls[endpoint.id]}/control/record") as response:
                response.raise_for_status()
                raw = msgspec.json.decode(await response.read(), type=list[RawRecord])
            records.extend(convert(endpoint, item) for item in raw)
    return records


def convert(endpoint: plans.EndpointPlan, raw: RawRecord) -> history_module.EndpointRecord:
    """Return a stand-in's record as part of a history."""
    return history_module.EndpointRecord(
        endpoint=endpoint.id,
        service=endpoint.service,
        availability_zone=endpoint.availability_zone,
        attempt_id=raw.attempt_id,
        request_id=raw.request_id,
        team=raw.team,
        request_digest=as_integer(raw.body_digest),
        started_at=raw.started_at,
        finished_at=raw.finished_at or 0.0,
        response_digest=as_integer(raw.response_digest),
        response_length=raw.response_length,
        cost=raw.cost,
    )


def with_costs(
    runs: collections.abc.Iterable[history_module.EndpointRecord],
    calls: collections.abc.Iterable[history_module.CallRecord],
) -> list[history_module.EndpointRecord]:
    """Return the runs with the true cost of their calls in cost units.

    The stand-ins record tokens without the weights of the configuration.
    """
    costs = {call.request_digest: call.cost for call in calls}
    return [
        msgspec.structs.replace(run, cost=costs.get(run.request_digest, run.cost)) for run in runs
    ]


def as_integer(digest: int | str | None) -> int:
    """Return a digest that may be written in hexadecimal; 0 if there is none."""
    if isinstance(digest, str):
        return int(digest, 16) if digest else 0
    return digest or 0
