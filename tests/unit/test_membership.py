"""Model-based tests of the membership view.

They guard against work for instances that are gone, leaving or unresponsive. The oracle derives the
expected members from the complete history of lists, exchanges and suspicions.
"""

import unittest

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as strategies
import msgspec

from masticward.models import membership as membership_models
from masticward.state import membership
from tests.lib import platforms

IDS = ("a1", "a2", "a3")
INSTANCE_IDS = strategies.sampled_from(IDS)
START_SECONDS = 100.0
# Shorter than RECORD_RETENTION_SECONDS, so that the oracle need not model deleted records.
MAXIMUM_DURATION_SECONDS = membership.RECORD_RETENTION_SECONDS - 15.0
WAITS_SECONDS = strategies.sampled_from((0.1, 1.0, 4.0, 9.9, 10.0, 11.0))


class MembershipMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Applies lists, exchanges and suspicions, and compares the view with the whole history."""

    def __init__(self) -> None:
        super().__init__()
        self.view = membership.MembershipView(platforms.make_entry("own"))
        self.now = START_SECONDS
        self.lists: list[tuple[float, dict[str, bool]]] = []
        self.contacts: dict[str, list[float]] = {name: [] for name in IDS}
        self.announcements: dict[str, list[tuple[int, bool]]] = {name: [] for name in IDS}
        self.members_by_revision: dict[int, tuple[str, ...]] = {}
        self.suspected: dict[str, float] = {}
        self.answered_sent_at: dict[str, list[float]] = {name: [] for name in IDS}

    @hypothesis.stateful.precondition(
        lambda self: self.now < START_SECONDS + MAXIMUM_DURATION_SECONDS
    )
    @hypothesis.stateful.rule(seconds=WAITS_SECONDS)
    def wait(self, seconds: float) -> None:
        self.now += seconds

    def advance_clock(self) -> None:
        """Give each event a distinct time, so that the history is totally ordered."""
        self.now += 0.001

    @hypothesis.stateful.rule(listed=strategies.dictionaries(INSTANCE_IDS, strategies.booleans()))
    def read_list(self, listed: dict[str, bool]) -> None:
        self.advance_clock()
        self.lists.append((self.now, listed))
        self.view.apply_list(
            [platforms.make_agent(name, leaving=leaving) for name, leaving in listed.items()],
            self.now,
        )

    @hypothesis.stateful.rule(
        name=INSTANCE_IDS,
        incarnation=strategies.integers(min_value=1, max_value=3),
        leaving=strategies.booleans(),
        round_trip_seconds=strategies.sampled_from((0.0, 0.5, 3.0)),
    )
    def answer_exchange(
        self, name: str, incarnation: int, leaving: bool, round_trip_seconds: float
    ) -> None:
        self.advance_clock()
        latest = max((number for number, _ in self.announcements[name]), default=0)
        self.view.record_exchange(
            platforms.make_agent(name, leaving=leaving),
            incarnation,
            self.now - round_trip_seconds,
            self.now,
        )
        if incarnation < latest:
            return
        self.announcements[name].append((incarnation, leaving))
        self.contacts[name].append(self.now)
        self.answered_sent_at[name].append(self.now - round_trip_seconds)
        if name in self.suspected and self.now - round_trip_seconds >= self.suspected[name]:
            del self.suspected[name]

    @hypothesis.stateful.rule(name=INSTANCE_IDS)
    def suspect(self, name: str) -> None:
        self.advance_clock()
        suspected_before = self.view.is_suspected(name)
        newly_suspected = self.view.suspect(name, self.now)
        if newly_suspected or suspected_before:
            self.suspected[name] = self.now

    @hypothesis.stateful.rule()
    def expire(self) -> None:
        """Apply time-outs and check that two sets of members never share a revision."""
        self.view.expire(self.now)
        ids = tuple(instance.id for instance in self.view.members(self.now))
        assert ids == self.members_by_revision.setdefault(self.view.revision, ids)

    def expected_present(self, name: str) -> bool:
        if self.lists and name in self.lists[-1][1]:
            return True
        if not self.contacts[name] or self.now >= self.contacts[name][-1] + 10.0:
            return False
        absent_since = None
        for read_at, listed in self.lists:
            if name in listed:
                absent_since = None
            elif absent_since is None and self.was_recorded(name, read_at):
                absent_since = read_at
        return absent_since is None or self.now < absent_since + 10.0

    def was_recorded(self, name: str, time: float) -> bool:
        """Return whether the instance was listed or had answered an exchange by then."""
        listed = any(name in names for read_at, names in self.lists if read_at <= time)
        return listed or any(contact <= time for contact in self.contacts[name])

    def expected_leaving(self, name: str) -> bool:
        latest = max((number for number, _ in self.announcements[name]), default=0)
        announced = any(leaving for number, leaving in self.announcements[name] if number == latest)
        listed = [names[name] for _, names in self.lists if name in names]
        return announced or bool(listed and listed[-1] and self.lists[-1][1].get(name, False))

    @hypothesis.stateful.invariant()
    def view_matches_the_history(self) -> None:
        members = {instance.id: instance for instance in self.view.members(self.now)}
        assert "own" in members
        for name in IDS:
            assert (name in members) == self.expected_present(name), name
            assert self.view.is_suspected(name) == (name in self.suspected), name
            if name in members and (not self.lists or name in self.lists[-1][1]):
                assert members[name].leaving == self.expected_leaving(name), name


class MembershipViewTest(MembershipMachine.TestCase):  # type: ignore[misc,name-defined]
    settings = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=150)


class OwnInstanceTest(unittest.TestCase):
    def test_own_instance_keeps_its_addresses(self) -> None:
        """Fails if an outdated list replaces the address that a process announces to its peers."""
        own = platforms.make_agent("own", peer_address="127.0.0.1:5")
        view = membership.MembershipView(own)
        view.apply_list([platforms.make_agent("own", leaving=True)], 1.0)
        expected: list[membership_models.Instance] = [msgspec.structs.replace(own, leaving=True)]
        self.assertEqual(expected, view.members(1.0))
        self.assertFalse(view.suspect("own", 2.0))

    def test_records_of_absent_instances_are_deleted(self) -> None:
        """Fails if the records of replaced instances accumulate in memory."""
        view = membership.MembershipView(platforms.make_entry("own"))
        for number in range(5):
            view.apply_list([platforms.make_agent(f"a{number}")], 100.0 * number)
        view.apply_list([], 1000.0)
        view.apply_list([], 1000.0 + membership.RECORD_RETENTION_SECONDS)
        self.assertEqual({"own"}, set(view.records))
