"""Selects the peers of each exchange round."""

import collections.abc

from masticward.models import membership
from masticward.utils import identifiers

# An exchange takes about 1 ms of processor time on either side, so a regular round has only one.
# Three per round took 1.5% of a core, out of the 2.2% that control work may use.
PEERS_PER_ROUND = 1
# After a new version, rounds include more peers, so that it reaches all within a few rounds.
PEERS_PER_EXTRA_ROUND = 3
# Unresponsive peers are probed in addition, so that the end of a partition is detected within one
# round. A failed probe costs one small packet.
PROBES_PER_ROUND = 8
# In a large fleet each process exchanges only with a fixed pseudorandom subset of the others, its
# partners, which bounds its connections. The subsets overlap enough that a version reaches every
# process in a few rounds.
MAXIMUM_ENTRY_PARTNERS = 16
MAXIMUM_AGENT_PARTNERS = 32
# Every other regular round includes an entry, or fewer where the agents together would otherwise
# exceed the limit of exchanges per entry. Versions reach the other processes through those peers
# that have exchanged with an entry.
MAXIMUM_ENTRY_ROUND_FRACTION = 0.5
ROUNDS_PER_SECOND = 2.0
MAXIMUM_EXCHANGES_PER_ENTRY_PER_SECOND = 8.0


class PeerRotation:
    """Selects the peers of each round in rotation among the partners of one process."""

    __slots__ = (
        "agent_partners",
        "entry_credit",
        "entry_partners",
        "entry_position",
        "entry_round_fraction",
        "own_id",
        "position",
        "probe_position",
    )

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self.entry_partners: list[membership.Instance] = []
        self.agent_partners: list[membership.Instance] = []
        self.entry_round_fraction = 1.0
        self.entry_credit = 0.0
        self.entry_position = 0
        self.position = 0
        self.probe_position = 0

    def set_members(self, members: collections.abc.Iterable[membership.Instance]) -> None:
        """Choose the partners among the members, which may include this process."""
        others = [instance for instance in members if instance.id != self.own_id]
        entries = [item for item in others if item.role is membership.Role.ENTRY]
        agents = [item for item in others if item.role is not membership.Role.ENTRY]
        self.entry_round_fraction = entry_round_fraction(len(entries), len(agents))
        self.entry_partners = self.choose_partners(entries, MAXIMUM_ENTRY_PARTNERS)
        self.agent_partners = self.choose_partners(agents, MAXIMUM_AGENT_PARTNERS)

    def choose_partners(
        self, candidates: list[membership.Instance], limit: int
    ) -> list[membership.Instance]:
        """Return at most ``limit`` candidates, selected by rendezvous hashing."""
        if len(candidates) <= limit:
            return candidates
        ranked = sorted(candidates, key=lambda item: identifiers.stable_hash(self.own_id, item.id))
        return ranked[:limit]

    def all_partners(self) -> list[membership.Instance]:
        """Return the entries and agents that this process exchanges with."""
        return [*self.entry_partners, *self.agent_partners]

    def choose_peers(
        self, unresponsive_ids: collections.abc.Container[str], count: int = PEERS_PER_ROUND
    ) -> list[membership.Instance]:
        """Return up to ``count`` responsive peers for the next round, and peers to probe.

        ``unresponsive_ids`` holds the ids of the instances that are suspected or whose last
        exchange failed. Up to PROBES_PER_ROUND of these are added to the ``count`` others.
        """
        entries = [item for item in self.entry_partners if item.id not in unresponsive_ids]
        agents = [item for item in self.agent_partners if item.id not in unresponsive_ids]
        unresponsive = [item for item in self.all_partners() if item.id in unresponsive_ids]
        rate_limited = self.entry_round_fraction < MAXIMUM_ENTRY_ROUND_FRACTION
        self.entry_credit += 1.0 if count > 1 and not rate_limited else self.entry_round_fraction
        chosen = self.next_entry(entries)
        candidates = agents or [item for item in entries if item not in chosen]
        remaining = count - len(chosen)
        chosen.extend(round_robin(candidates, self.position, remaining))
        self.position += remaining
        chosen.extend(round_robin(unresponsive, self.probe_position, PROBES_PER_ROUND))
        self.probe_position += PROBES_PER_ROUND
        return chosen

    def next_entry(self, entries: list[membership.Instance]) -> list[membership.Instance]:
        """Return the entry of this round in a list, which is empty if the round has none."""
        if self.entry_credit < 1.0:
            return []
        self.entry_credit -= 1.0
        self.entry_position += 1
        return round_robin(entries, self.entry_position, 1)


def entry_round_fraction(entries: int, agents: int) -> float:
    """Return the fraction of the rounds of a process that include an entry."""
    if agents == 0:
        return 1.0
    allowed = entries * MAXIMUM_EXCHANGES_PER_ENTRY_PER_SECOND / (agents * ROUNDS_PER_SECOND)
    return min(MAXIMUM_ENTRY_ROUND_FRACTION, allowed)


def round_robin(
    candidates: list[membership.Instance], start: int, count: int
) -> list[membership.Instance]:
    """Return up to ``count`` candidates from position ``start`` on, with wrap-around."""
    size = len(candidates)
    return [candidates[(start + offset) % size] for offset in range(min(count, size))]
