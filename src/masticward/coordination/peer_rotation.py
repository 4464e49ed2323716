"""Chooses the peers of each exchange round."""

import collections.abc

from masticward.models import membership
from masticward.utils import identifiers

# A lone exchange costs about 1 ms of processor time on either side, so a quiet round has one; three
# took 1.5% of a core from the 2.2% that control may use.
PEERS_PER_ROUND = 1
# After a new version each round asks more peers, so that it spreads within a few rounds.
PEERS_PER_EXTRA_ROUND = 3
# Peers that did not answer are tried in addition, so that a healed partition is noticed within
# one round; a failed try costs one small packet.
PROBES_PER_ROUND = 8
# In a large fleet each process exchanges with a fixed random part of the others, which bounds its
# connections; the parts of all processes overlap enough to reach everyone in a few rounds.
ENTRY_PARTNERS = 16
OTHER_PARTNERS = 32
# Every other round asks an entry, unless the agents together would then exceed this rate at an
# entry; versions reach the others through the peers that did.
ENTRY_ROUNDS = 0.5
ROUNDS_PER_SECOND = 2.0
AGENT_EXCHANGES_PER_ENTRY_SECOND = 8.0


class PeerRotation:
    """Rotates through the partners of one process."""

    __slots__ = (
        "entry_credit",
        "entry_fraction",
        "entry_turn",
        "own_id",
        "partner_entries",
        "partner_others",
        "probe_turn",
        "turn",
    )

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        self.partner_entries: list[membership.Instance] = []
        self.partner_others: list[membership.Instance] = []
        self.entry_fraction = 1.0
        self.entry_credit = 0.0
        self.entry_turn = 0
        self.turn = 0
        self.probe_turn = 0

    def set_members(self, members: collections.abc.Iterable[membership.Instance]) -> None:
        """Choose the partners among the members."""
        others = [instance for instance in members if instance.id != self.own_id]
        entries = [item for item in others if item.role is membership.Role.ENTRY]
        agents = [item for item in others if item.role is not membership.Role.ENTRY]
        self.entry_fraction = entry_fraction(len(entries), len(agents))
        self.partner_entries = self.partners(entries, ENTRY_PARTNERS)
        self.partner_others = self.partners(agents, OTHER_PARTNERS)

    def partners(
        self, candidates: list[membership.Instance], limit: int
    ) -> list[membership.Instance]:
        """Return at most ``limit`` candidates, chosen by rendezvous hashing."""
        if len(candidates) <= limit:
            return candidates
        ranked = sorted(candidates, key=lambda item: identifiers.stable_hash(self.own_id, item.id))
        return ranked[:limit]

    def all_partners(self) -> list[membership.Instance]:
        """Return all partners."""
        return [*self.partner_entries, *self.partner_others]

    def pick(
        self, unanswered: collections.abc.Container[str], count: int = PEERS_PER_ROUND
    ) -> list[membership.Instance]:
        """Return ``count`` peers for the next round: entries that answer and others in turn.

        ``unanswered`` holds the ids of the instances whose last exchange failed.
        """
        entries = [item for item in self.partner_entries if item.id not in unanswered]
        others = [item for item in self.partner_others if item.id not in unanswered]
        silent = [item for item in self.all_partners() if item.id in unanswered]
        limited = self.entry_fraction < ENTRY_ROUNDS
        self.entry_credit += 1.0 if count > 1 and not limited else self.entry_fraction
        chosen = self.next_entry(entries)
        rest = others or [item for item in entries if item not in chosen]
        missing = count - len(chosen)
        chosen.extend(take_turn(rest, self.turn, missing))
        self.turn += missing
        chosen.extend(take_turn(silent, self.probe_turn, PROBES_PER_ROUND))
        self.probe_turn += PROBES_PER_ROUND
        return chosen

    def next_entry(self, entries: list[membership.Instance]) -> list[membership.Instance]:
        """Return the entry of this round, none if it is not yet an entry's turn."""
        if self.entry_credit < 1.0:
            return []
        self.entry_credit -= 1.0
        self.entry_turn += 1
        return take_turn(entries, self.entry_turn, 1)


def entry_fraction(entries: int, agents: int) -> float:
    """Return the part of the rounds in which a process exchanges with an entry."""
    if agents == 0:
        return 1.0
    allowed = entries * AGENT_EXCHANGES_PER_ENTRY_SECOND / (agents * ROUNDS_PER_SECOND)
    return min(ENTRY_ROUNDS, allowed)


def take_turn(
    candidates: list[membership.Instance], start: int, count: int
) -> list[membership.Instance]:
    """Return up to ``count`` candidates from position ``start`` on, around the end."""
    size = len(candidates)
    return [candidates[(start + offset) % size] for offset in range(min(count, size))]
