"""Conversion of ledger snapshots to and from their wire form."""

from masticward.state import ledger
from masticward.wire import masticward_pb2


def to_wire(service: str, snapshot: ledger.Snapshot) -> masticward_pb2.Snapshot:
    """Return the wire form of a snapshot."""
    return masticward_pb2.Snapshot(
        service=service,
        system_virtual_time=snapshot.system_virtual_time,
        teams=[
            masticward_pb2.TeamVirtualTime(
                team=entry.team, virtual_time=entry.virtual_time, mean_cost=entry.mean_cost
            )
            for entry in snapshot.teams
        ],
        included=[
            masticward_pb2.IncludedCounter(
                agent_id=entry.agent_id,
                incarnation=entry.incarnation,
                team=entry.team,
                total=entry.total,
            )
            for entry in snapshot.included
        ],
        included_total=snapshot.included_total,
    )


def from_wire(message: masticward_pb2.Snapshot) -> ledger.Snapshot:
    """Return the snapshot of a wire message."""
    return ledger.Snapshot(
        system_virtual_time=message.system_virtual_time,
        teams=tuple(
            ledger.TeamTime(entry.team, entry.virtual_time, entry.mean_cost)
            for entry in message.teams
        ),
        included=tuple(
            ledger.CounterEntry(entry.agent_id, entry.incarnation, entry.team, entry.total)
            for entry in message.included
        ),
        included_total=message.included_total,
    )
