"""Encoding of ledger snapshots, in full or as changes since one that the receiver has.

A full snapshot assigns a number to each team and agent incarnation; later changes refer to it.
"""

from masticward import errors
from masticward.state import ledger
from masticward.wire import masticward_pb2

# Number of latest snapshots that can serve as the base of changes. Candidates need only the last
# one; other agents get snapshots less often, and a full one if their base is no longer retained.
RETAINED_SNAPSHOTS = 8
# All numbers are reassigned once more than this many belong to removed teams and agents.
MAXIMUM_STALE_NUMBERS = 1000

AgentKey = tuple[str, int]


class IndexedSnapshot:
    """A snapshot with its values indexed for comparison.

    ``teams`` maps a team to its virtual time and mean cost, ``agents`` an agent incarnation to its
    included totals by team.
    """

    __slots__ = ("agents", "snapshot", "teams")

    def __init__(self, snapshot: ledger.Snapshot) -> None:
        self.snapshot = snapshot
        self.teams = {entry.team: (entry.virtual_time, entry.mean_cost) for entry in snapshot.teams}
        self.agents: dict[AgentKey, dict[str, float]] = {}
        for entry in snapshot.included:
            totals = self.agents.setdefault((entry.agent_id, entry.incarnation), {})
            totals[entry.team] = entry.total


class SnapshotWriter:
    """Encodes the snapshots of a dispatcher for all its agents."""

    __slots__ = ("agent_numbers", "messages", "retained", "sequence", "service", "team_numbers")

    def __init__(self, service: str) -> None:
        self.service = service
        self.sequence = 0
        self.retained: dict[int, IndexedSnapshot] = {}
        self.messages: dict[int, masticward_pb2.DispatcherToAgent] = {}
        self.team_numbers: dict[str, int] = {}
        self.agent_numbers: dict[AgentKey, int] = {}

    def add(self, snapshot: ledger.Snapshot) -> None:
        """Make a snapshot the newest one, which later messages transfer."""
        content = IndexedSnapshot(snapshot)
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
        """Return the newest snapshot as changes to the base, in full if it is not retained."""
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

    def write_changes(
        self, base: IndexedSnapshot, content: IndexedSnapshot
    ) -> masticward_pb2.Snapshot:
        """Return the changes that turn the base into the content."""
        changes = masticward_pb2.SnapshotChanges()
        for team, (virtual_time, mean_cost) in content.teams.items():
            number = self.team_numbers[team]
            base_values = base.teams.get(team)
            if base_values is None:
                changes.new_team_numbers.append(number)
                changes.new_teams.append(team)
            if base_values is None or base_values[0] != virtual_time:
                changes.time_teams.append(number)
                changes.virtual_times.append(virtual_time)
            if base_values is None or base_values[1] != mean_cost:
                changes.cost_teams.append(number)
                changes.mean_costs.append(mean_cost)
        removed_teams = base.teams.keys() - content.teams.keys()
        changes.removed_teams.extend(self.team_numbers[team] for team in removed_teams)
        for key, totals in content.agents.items():
            included = base.agents.get(key)
            if included is not None and not (
                included.keys() & content.teams.keys() <= totals.keys()
            ):
                # The base has a total of a remaining team that is gone now. Changes cannot remove
                # a single total, so the agent is sent like a new one, which replaces all of them.
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
        removed_agents = base.agents.keys() - content.agents.keys()
        changes.removed_agents.extend(self.agent_numbers[key] for key in removed_agents)
        return masticward_pb2.Snapshot(
            service=self.service,
            system_virtual_time=content.snapshot.system_virtual_time,
            included_total=content.snapshot.included_total,
            changes=changes,
        )


class SnapshotReceiver:
    """A receiver's copy of a dispatcher's newest snapshot, updated by full ones and changes."""

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
        # Sequence of the snapshot; 0 before the first one and after an invalid message.
        self.sequence = 0
        self.system_virtual_time = 0.0
        self.included_total = 0.0
        # Team names by team number.
        self.teams: dict[int, str] = {}
        # Agent ids and incarnations by agent number.
        self.agents: dict[int, AgentKey] = {}
        # Virtual time and mean cost by team number.
        self.values: dict[int, list[float]] = {}
        # Included totals by agent number and team number.
        self.totals: dict[int, dict[int, float]] = {}

    def apply(self, message: masticward_pb2.Snapshot) -> bool:
        """Apply a message. Return False, without any effect, if its base is not the present copy.

        Raises SessionMessageError if the message refers to undefined numbers or has lists of
        different lengths; after that, only a full snapshot is applied.
        """
        if message.base_sequence and message.base_sequence != self.sequence:
            return False
        self.sequence = 0
        try:
            if message.base_sequence:
                self.apply_changes(message.changes)
            else:
                self.apply_full(message)
        except (LookupError, ValueError) as error:
            raise errors.SessionMessageError(f"snapshot: {error!r}") from error
        self.sequence = message.sequence
        self.system_virtual_time = message.system_virtual_time
        self.included_total = message.included_total
        return True

    def apply_full(self, message: masticward_pb2.Snapshot) -> None:
        """Replace the copy by a full snapshot."""
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

    def apply_changes(self, changes: masticward_pb2.SnapshotChanges) -> None:
        """Apply changes to the present copy."""
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
        """Return the copy as a ledger snapshot."""
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
        """Return the copy as a full message, with numbers to which later changes can refer."""
        message = to_wire(service, self.snapshot())
        message.sequence = self.sequence
        message.team_numbers.extend(self.teams)
        # The message omits agents that had totals of removed teams only.
        message.agent_numbers.extend(number for number in self.agents if self.totals[number])
        return message


def to_wire(service: str, snapshot: ledger.Snapshot) -> masticward_pb2.Snapshot:
    """Return a snapshot as a full message, without numbers for later changes."""
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
    """Return the snapshot of a full message. Raises IndexError if a team index is out of range."""
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
