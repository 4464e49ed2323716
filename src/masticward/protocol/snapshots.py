"""Ledger snapshots on the wire: in full, and as changes since one that the receiver has.

A full snapshot gives each team and agent incarnation a number, by which later changes name it.
"""

from masticward import errors
from masticward.state import ledger
from masticward.wire import masticward_pb2

# Snapshots from which changes can still be worked out. Candidates need the last one; the others get
# snapshots less often, and a full one if their base is no longer kept.
RETAINED_SNAPSHOTS = 8
# Numbers are given anew once this many are in use beyond those of the present teams and agents.
MAXIMUM_STALE_NUMBERS = 1000

AgentKey = tuple[str, int]


class Content:
    """Virtual time and mean cost by team, and included totals by agent incarnation and team."""

    __slots__ = ("agents", "snapshot", "teams")

    def __init__(self, snapshot: ledger.Snapshot) -> None:
        self.snapshot = snapshot
        self.teams = {entry.team: (entry.virtual_time, entry.mean_cost) for entry in snapshot.teams}
        self.agents: dict[AgentKey, dict[str, float]] = {}
        for entry in snapshot.included:
            totals = self.agents.setdefault((entry.agent_id, entry.incarnation), {})
            totals[entry.team] = entry.total


class SnapshotWriter:
    """The dispatcher's end, for all its agents."""

    __slots__ = ("agent_numbers", "messages", "retained", "sequence", "service", "team_numbers")

    def __init__(self, service: str) -> None:
        self.service = service
        self.sequence = 0
        self.retained: dict[int, Content] = {}
        self.messages: dict[int, masticward_pb2.DispatcherToAgent] = {}
        self.team_numbers: dict[str, int] = {}
        self.agent_numbers: dict[AgentKey, int] = {}

    def add(self, snapshot: ledger.Snapshot) -> None:
        """Let later messages bring their receivers to this snapshot."""
        content = Content(snapshot)
        used = len(self.team_numbers) + len(self.agent_numbers)
        if used > len(content.teams) + len(content.agents) + MAXIMUM_STALE_NUMBERS:
            self.retained.clear()
            self.team_numbers.clear()
            self.agent_numbers.clear()
        for team in content.teams:
            self.team_numbers.setdefault(team, len(self.team_numbers))
        for key in content.agents:
            self.agent_numbers.setdefault(key, len(self.agent_numbers))
        self.messages.clear()
        self.sequence += 1
        self.retained[self.sequence] = content
        if len(self.retained) > RETAINED_SNAPSHOTS:
            del self.retained[next(iter(self.retained))]

    def message_since(self, base_sequence: int) -> masticward_pb2.DispatcherToAgent:
        """Return a message for a receiver that has the base; a full one if it is not kept."""
        base_sequence = base_sequence if base_sequence in self.retained else 0
        message = self.messages.get(base_sequence)
        if message is None:
            content = self.retained[self.sequence]
            if base_sequence:
                wire = self.write_changes(self.retained[base_sequence], content)
            else:
                wire = to_wire(self.service, content.snapshot)
                wire.team_numbers.extend(self.team_numbers[team] for team in content.teams)
                wire.agent_numbers.extend(self.agent_numbers[key] for key in content.agents)
            wire.sequence = self.sequence
            wire.base_sequence = base_sequence
            message = masticward_pb2.DispatcherToAgent(snapshot=wire)
            self.messages[base_sequence] = message
        return message

    def write_changes(self, base: Content, content: Content) -> masticward_pb2.Snapshot:
        """Return what differs between two snapshots."""
        changes = masticward_pb2.SnapshotChanges()
        for team, (virtual_time, mean_cost) in content.teams.items():
            number = self.team_numbers[team]
            known = base.teams.get(team)
            if known is None:
                changes.new_team_numbers.append(number)
                changes.new_teams.append(team)
            if known is None or known[0] != virtual_time:
                changes.time_teams.append(number)
                changes.virtual_times.append(virtual_time)
            if known is None or known[1] != mean_cost:
                changes.cost_teams.append(number)
                changes.mean_costs.append(mean_cost)
        removed = base.teams.keys() - content.teams.keys()
        changes.removed_teams.extend(self.team_numbers[team] for team in removed)
        for key, totals in content.agents.items():
            included = base.agents.get(key)
            if included is not None and not (
                included.keys() & content.teams.keys() <= totals.keys()
            ):
                # A total of a team that stays is gone: the agent is sent as if it were new.
                included = None
            changed = {
                team: total
                for team, total in totals.items()
                if included is None or included.get(team) != total
            }
            if changed:
                agent = masticward_pb2.IncludedAgent(
                    team_indexes=[self.team_numbers[team] for team in changed],
                    totals=changed.values(),
                )
                if included is None:
                    agent.agent_id, agent.incarnation = key
                changes.agent_numbers.append(self.agent_numbers[key])
                changes.agents.append(agent)
        gone = base.agents.keys() - content.agents.keys()
        changes.removed_agents.extend(self.agent_numbers[key] for key in gone)
        return masticward_pb2.Snapshot(
            service=self.service,
            system_virtual_time=content.snapshot.system_virtual_time,
            included_total=content.snapshot.included_total,
            changes=changes,
        )


class SnapshotReceiver:
    """One receiver's copy of a dispatcher's newest snapshot."""

    __slots__ = (
        "agents",
        "included_total",
        "sequence",
        "system_virtual_time",
        "teams",
        "totals",
        "values",
    )

    def __init__(self) -> None:
        # 0 while no snapshot is known to be complete.
        self.sequence = 0
        self.system_virtual_time = 0.0
        self.included_total = 0.0
        # By number: names, identities, pairs of virtual time and mean cost, totals by team number.
        self.teams: dict[int, str] = {}
        self.agents: dict[int, AgentKey] = {}
        self.values: dict[int, list[float]] = {}
        self.totals: dict[int, dict[int, float]] = {}

    def apply(self, message: masticward_pb2.Snapshot) -> bool:
        """Take a message over; False, without any effect, if its base is not here.

        Raises SessionMessageError if the message names what its session never numbered; only a
        full snapshot is taken over after that.
        """
        if message.base_sequence and message.base_sequence != self.sequence:
            return False
        self.sequence = 0
        try:
            if message.base_sequence:
                self.change(message.changes)
            else:
                self.load(message)
        except (LookupError, ValueError) as error:
            raise errors.SessionMessageError(f"snapshot: {error!r}") from error
        self.sequence = message.sequence
        self.system_virtual_time = message.system_virtual_time
        self.included_total = message.included_total
        return True

    def load(self, message: masticward_pb2.Snapshot) -> None:
        """Replace everything by a full snapshot."""
        numbers = list(message.team_numbers)
        pairs = list(zip(numbers, message.teams, strict=True))
        self.teams = {number: entry.team for number, entry in pairs}
        self.values = {number: [entry.virtual_time, entry.mean_cost] for number, entry in pairs}
        agents = list(zip(message.agent_numbers, message.included_agents, strict=True))
        self.agents = {number: (agent.agent_id, agent.incarnation) for number, agent in agents}
        self.totals = {
            number: {
                numbers[index]: total
                for index, total in zip(agent.team_indexes, agent.totals, strict=True)
            }
            for number, agent in agents
        }

    def change(self, changes: masticward_pb2.SnapshotChanges) -> None:
        """Apply the changes since the snapshot that is here."""
        for number in changes.removed_teams:
            del self.teams[number], self.values[number]
            for totals in self.totals.values():
                totals.pop(number, None)
        for number in changes.removed_agents:
            del self.agents[number], self.totals[number]
        for number, team in zip(changes.new_team_numbers, changes.new_teams, strict=True):
            self.teams[number] = team
            self.values[number] = [0.0, 0.0]
        for number, virtual_time in zip(changes.time_teams, changes.virtual_times, strict=True):
            self.values[number][0] = virtual_time
        for number, mean_cost in zip(changes.cost_teams, changes.mean_costs, strict=True):
            self.values[number][1] = mean_cost
        for number, agent in zip(changes.agent_numbers, changes.agents, strict=True):
            if agent.agent_id:
                self.agents[number] = (agent.agent_id, agent.incarnation)
                self.totals[number] = {}
            self.totals[number].update(zip(agent.team_indexes, agent.totals, strict=True))

    def snapshot(self) -> ledger.Snapshot:
        """Return the whole snapshot."""
        return ledger.Snapshot(
            system_virtual_time=self.system_virtual_time,
            teams=tuple(
                ledger.TeamVirtualTime(team, *self.values[number])
                for number, team in self.teams.items()
            ),
            included=tuple(
                ledger.IncludedCounter(*key, self.teams[team], total)
                for number, key in self.agents.items()
                for team, total in self.totals[number].items()
            ),
            included_total=self.included_total,
        )

    def write(self, service: str) -> masticward_pb2.Snapshot:
        """Return the whole snapshot in wire form, to which later changes may be applied."""
        message = to_wire(service, self.snapshot())
        message.sequence = self.sequence
        message.team_numbers.extend(self.teams)
        # An agent whose totals were all of removed teams is not in the wire form.
        message.agent_numbers.extend(number for number in self.agents if self.totals[number])
        return message


def to_wire(service: str, snapshot: ledger.Snapshot) -> masticward_pb2.Snapshot:
    """Return the wire form of a snapshot, without numbers for later changes."""
    indexes = {entry.team: index for index, entry in enumerate(snapshot.teams)}
    agents: dict[AgentKey, masticward_pb2.IncludedAgent] = {}
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
    """Return a full snapshot's content. Raises IndexError if an index names no team."""
    names = [entry.team for entry in message.teams]
    return ledger.Snapshot(
        system_virtual_time=message.system_virtual_time,
        teams=tuple(
            ledger.TeamVirtualTime(entry.team, entry.virtual_time, entry.mean_cost)
            for entry in message.teams
        ),
        included=tuple(
            ledger.IncludedCounter(agent.agent_id, agent.incarnation, names[index], total)
            for agent in message.included_agents
            for index, total in zip(agent.team_indexes, agent.totals, strict=False)
        ),
        included_total=message.included_total,
    )
