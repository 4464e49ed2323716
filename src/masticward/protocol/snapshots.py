"""Conversion of ledger snapshots to and from their wire form."""

from masticward.state import ledger
from masticward.wire import masticward_pb2


def to_wire(service: str, snapshot: ledger.Snapshot) -> masticward_pb2.Snapshot:
    """Return the wire form of a snapshot."""
    indexes = {entry.team: index for index, entry in enumerate(snapshot.teams)}
    agents: dict[tuple[str, int], masticward_pb2.IncludedAgent] = {}
    for entry in snapshot.included:
        key = (entry.agent_id, entry.incarnation)
        agent = agents.get(key)
        if agent is None:
            agent = agents[key] = masticward_pb2.IncludedAgent(
                agent_id=entry.agent_id, incarnation=entry.incarnation
            )
        agent.team_indexes.append(indexes[entry.team])
        agent.totals.append(entry.total)
    return masticward_pb2.Snapshot(
        service=service,
        system_virtual_time=snapshot.system_virtual_time,
        teams=[
            masticward_pb2.TeamVirtualTime(
                team=entry.team, virtual_time=entry.virtual_time, mean_cost=entry.mean_cost
            )
            for entry in snapshot.teams
        ],
        included_agents=agents.values(),
        included_total=snapshot.included_total,
    )


def from_wire(message: masticward_pb2.Snapshot) -> ledger.Snapshot:
    """Return the snapshot of a wire message. Raises IndexError if an index names no team."""
    names = [entry.team for entry in message.teams]
    return ledger.Snapshot(
        system_virtual_time=message.system_virtual_time,
        teams=tuple(
            ledger.TeamTime(entry.team, entry.virtual_time, entry.mean_cost)
            for entry in message.teams
        ),
        included=tuple(
            ledger.CounterEntry(agent.agent_id, agent.incarnation, names[index], total)
            for agent in message.included_agents
            for index, total in zip(agent.team_indexes, agent.totals, strict=False)
        ),
        included_total=message.included_total,
    )
