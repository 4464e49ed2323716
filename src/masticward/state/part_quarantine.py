"""Finds parts of prompts that crash the endpoints that answer them, and keeps them from endpoints.

Evidence against a part is each crash of an endpoint that held a request with the part and had not
begun to answer it. The beginning of an answer to any request with the part clears it of all earlier
crashes. Gateways exchange both, so that each decides on the evidence of the whole fleet:

- A part without an answer since the crashes of ``SUSPECT_CRASHES`` endpoints is suspected. Requests
  with it wait, but for one at a time in the fleet, which tests the part.
- A suspected part whose test crashed the endpoint is quarantined: requests with it are refused. The
  quarantine ends by itself, and the part is suspected again; each further one lasts longer.
"""

import collections
import collections.abc
import enum
import math

from masticward import events, logs
from masticward.models import part_reports
from masticward.utils import identifiers

SUSPECT_CRASHES = 2
# Evidence of crashes is dropped after this time.
CRASH_MEMORY_SECONDS = 60.0
QUARANTINE_SECONDS = 30.0
MAX_QUARANTINE_SECONDS = 600.0
# A part that was quarantined is remembered for this long after the end of the quarantine.
QUARANTINE_MEMORY_SECONDS = 600.0
# Peers' evidence and requests that were sent before the suspicion arrive within this time.
TEST_DELAY_SECONDS = 0.25
# Longest time to the beginning of an answer to a test; afterwards another gateway may test.
TEST_TIMEOUT_SECONDS = 5.0
# The endpoint may still crash on that request, which then is the outcome of the test.
OVERDUE_TEST_SECONDS = 30.0
# After each delay twice as many gateways may test a part, in the order of a hash. The first ones
# may have no request with the part.
TEST_RANK_DELAY_SECONDS = 0.5
# A crash does not tell which of several suspected parts caused it, so parts that can be tested
# alone come first. The delay applies for each further part and doubles with each such crash.
TEST_FURTHER_PART_DELAY_SECONDS = 3.0
# Peers report the same crash within this time, with the other requests that it hit.
VERDICT_DELAY_SECONDS = 0.15
# A part that was answered before is quarantined only after this many crashes in tests, because
# another cause is more likely.
FAILED_TESTS_OF_ANSWERED_PART = 2
# A part that was never answered is quarantined after this many crashes in tests beside others.
MAX_AMBIGUOUS_TESTS = 3
MAX_PARTS = 1024
MAX_CRASHES_PER_PART = 8
MAX_ANSWERED_PARTS = 4096
# Parts in one message to the peers.
MAX_REPORTED_PARTS = 40
# Clients choose the IDs of parts; longer ones are replaced by a hash.
MAX_ID_LENGTH = 32
# Peers' reports with longer endpoint IDs or larger counts are faulty.
MAX_ENDPOINT_ID_LENGTH = 200
MAX_QUARANTINES = 1000
LOGGER = logs.get_logger(__name__)


class TestOutcome(enum.IntEnum):
    """What a crash says of a part; higher values say more."""

    NO_TEST = 0
    # Other suspected parts were at the same endpoint.
    AMBIGUOUS = 1
    FAILED = 2


class Verdict(enum.Enum):
    """Whether a request may be sent to an endpoint."""

    SEND = "send"
    # It may be sent as the only one with its suspected parts.
    TEST = "test"
    WAIT = "wait"
    REFUSE = "refuse"


class Crash:
    """A crash as evidence against a part. Times are in seconds of ``clocks.boot_time``."""

    __slots__ = ("cleared", "expires_at", "outcome")

    def __init__(self, expires_at: float) -> None:
        self.expires_at = expires_at
        self.cleared = False
        self.outcome = TestOutcome.NO_TEST


class OwnTest:
    """A test of a part by this gateway; ``decide_at`` is set once the endpoint has crashed."""

    __slots__ = ("abandoned", "decide_at", "endpoint_id", "ends_at", "request_id")

    def __init__(self, endpoint_id: str, request_id: str, ends_at: float) -> None:
        self.endpoint_id = endpoint_id
        self.request_id = request_id
        self.ends_at = ends_at
        self.decide_at: float | None = None
        # Whether its request was cancelled, so that only a crash shows its outcome.
        self.abandoned = False


class Part:
    """The evidence on one part. Times are in seconds of ``clocks.boot_time``."""

    __slots__ = (
        "cleared_quarantines",
        "crashes",
        "key",
        "overdue_tests",
        "own_test",
        "peer_tests",
        "quarantined_until",
        "quarantines",
        "rank",
        "ranked_gateways",
        "restricted",
        "testable_since",
    )

    def __init__(self, key: str) -> None:
        self.key = key
        # By endpoint ID, the oldest first.
        self.crashes: dict[str, Crash] = {}
        self.quarantines = 0
        self.cleared_quarantines = 0
        self.quarantined_until = 0.0
        # Whether requests with the part may not be sent freely, and since when it may be tested.
        self.restricted = False
        self.testable_since = 0.0
        # This gateway's place in the order of tests, among the gateways of that list.
        self.rank = 0
        self.ranked_gateways: list[str] | None = None
        self.own_test: OwnTest | None = None
        # By endpoint: own tests after which another one may follow, although they may still fail.
        self.overdue_tests: dict[str, OwnTest] = {}
        # By gateway: the endpoint of its test, and until when the test may last.
        self.peer_tests: dict[str, tuple[str, float]] = {}

    @property
    def open_crashes(self) -> int:
        """Number of crashes since which no request with the part was answered."""
        return sum(not crash.cleared for crash in self.crashes.values())

    @property
    def was_quarantined(self) -> bool:
        """Whether the part was quarantined and has not been answered since."""
        return self.quarantines > self.cleared_quarantines

    def is_quarantined(self, now: float) -> bool:
        """Return whether requests with the part are refused."""
        return self.was_quarantined and now < self.quarantined_until

    def is_tested(self, now: float) -> bool:
        """Return whether a request that tests the part has been sent and its outcome is open."""
        return self.own_test is not None or any(
            until > now for _, until in self.peer_tests.values()
        )

    def count_outcomes(self, outcome: TestOutcome) -> int:
        """Return the number of open crashes with at least this outcome."""
        return sum(
            not crash.cleared and crash.outcome >= outcome for crash in self.crashes.values()
        )


def find_test(part: Part, endpoint_id: str) -> OwnTest | None:
    """Return the own test of a part at an endpoint, None if there is none."""
    if part.own_test is not None and part.own_test.endpoint_id == endpoint_id:
        return part.own_test
    return part.overdue_tests.get(endpoint_id)


def part_key(part_id: str) -> str:
    """Return the key of a part: its ID, or a hash if the ID is long."""
    if len(part_id) <= MAX_ID_LENGTH:
        return part_id
    return f"{identifiers.stable_hash(part_id):016x}"


class PartQuarantine:
    """The parts with evidence against them. Times are in seconds of ``clocks.boot_time``."""

    __slots__ = ("answered", "changed", "decided", "own_id", "parts", "restricted")

    def __init__(self, own_id: str) -> None:
        self.own_id = own_id
        # Those without a recent crash first.
        self.parts: collections.OrderedDict[str, Part] = collections.OrderedDict()
        self.restricted: dict[str, Part] = {}
        # Parts with an answered request, the least recently answered first.
        self.answered: collections.OrderedDict[str, None] = collections.OrderedDict()
        # Keys of parts with changes that the peers have not been sent.
        self.changed: set[str] = set()
        # Keys of parts whose quarantine this gateway began or ended, until that is stored.
        self.decided: set[str] = set()

    def verdict(
        self, keys: collections.abc.Sequence[str], gateways: list[str], now: float
    ) -> tuple[Verdict, float]:
        """Return whether a request with these parts may be sent, and until when it is refused.

        ``gateways`` has the IDs of all live gateways; a change needs another list.
        """
        parts = [self.restricted[key] for key in keys if key in self.restricted]
        if not parts:
            return Verdict.SEND, 0.0
        refused_until = max(part.quarantined_until for part in parts)
        if any(part.is_quarantined(now) for part in parts):
            return Verdict.REFUSE, refused_until
        if any(part.is_tested(now) for part in parts):
            return Verdict.WAIT, 0.0
        testable_at = max(max(part.testable_since, part.quarantined_until) for part in parts)
        testable_at += TEST_DELAY_SECONDS
        # If the test crashes the endpoint, parts that were never answered are blamed before others.
        to_blame = sum(part.key not in self.answered for part in parts) or len(parts)
        ambiguous_tests = max(part.count_outcomes(TestOutcome.AMBIGUOUS) for part in parts)
        testable_at += (
            TEST_FURTHER_PART_DELAY_SECONDS * (to_blame - 1) * math.pow(2.0, ambiguous_tests)
        )
        if now >= testable_at:
            testable_at += self.rank_delay(min(part.key for part in parts), gateways)
        return (Verdict.TEST if now >= testable_at else Verdict.WAIT), 0.0

    def rank_delay(self, key: str, gateways: list[str]) -> float:
        """Return how much later than the first gateway this one may test a part, in seconds."""
        part = self.restricted[key]
        if part.ranked_gateways is not gateways:
            own_hash = identifiers.stable_hash(key, self.own_id)
            part.rank = sum(identifiers.stable_hash(key, item) < own_hash for item in gateways)
            part.ranked_gateways = gateways
        return TEST_RANK_DELAY_SECONDS * math.log2(part.rank + 1)

    def endpoints_to_avoid(self, now: float) -> set[str]:
        """Return the endpoints that get no test: those with one, and those that have crashed."""
        endpoint_ids: set[str] = set()
        for part in self.restricted.values():
            endpoint_ids.update(part.crashes)
            endpoint_ids.update(part.overdue_tests)
            if part.own_test is not None:
                endpoint_ids.add(part.own_test.endpoint_id)
            endpoint_ids.update(item for item, until in part.peer_tests.values() if until > now)
        return endpoint_ids

    def may_still_send(self, keys: collections.abc.Sequence[str], request_id: str) -> bool:
        """Return whether a placed request may be sent although parts may have become suspected."""
        for key in keys:
            part = self.restricted.get(key)
            if part is not None and (
                part.own_test is None or part.own_test.request_id != request_id
            ):
                return False
        return True

    def start_test(
        self, keys: collections.abc.Sequence[str], endpoint_id: str, request_id: str, now: float
    ) -> None:
        """Record and log that a request with suspected parts is sent to an endpoint as test."""
        tested = self.mark_tested(keys, endpoint_id, request_id, now)
        LOGGER.log(
            events.Event.PART_TESTED, parts=tested, endpoint=endpoint_id, request_id=request_id
        )

    def mark_tested(
        self, keys: collections.abc.Sequence[str], endpoint_id: str, request_id: str, now: float
    ) -> list[str]:
        """Record the test of suspected parts at an endpoint; return their keys."""
        tested = [key for key in keys if key in self.restricted]
        for key in tested:
            self.restricted[key].own_test = OwnTest(
                endpoint_id, request_id, now + TEST_TIMEOUT_SECONDS
            )
            self.changed.add(key)
        return tested

    def end_test(
        self, keys: collections.abc.Iterable[str], request_id: str, endpoint_id: str
    ) -> None:
        """End a test whose request ended at an endpoint without an answer and without a crash.

        The same request may test the parts at another endpoint meanwhile, which goes on.
        """
        for key in keys:
            part = self.restricted.get(key)
            test = find_test(part, endpoint_id) if part is not None else None
            if (
                part is not None
                and test is not None
                and test.request_id == request_id
                and test.decide_at is None
                and not test.abandoned
            ):
                self.finish_test(part, test)

    def abandon_test(
        self,
        keys: collections.abc.Iterable[str],
        request_id: str,
        endpoint_id: str,
        crashes_until: float,
    ) -> None:
        """Allow the next test after one whose request was cancelled.

        A crash of its endpoint until ``crashes_until`` still is its outcome.
        """
        for key in keys:
            part = self.restricted.get(key)
            test = part.own_test if part is not None else None
            if (
                part is not None
                and test is not None
                and test.request_id == request_id
                and test.endpoint_id == endpoint_id
                and test.decide_at is None
            ):
                self.finish_test(part, test)
                test.abandoned = True
                test.ends_at = crashes_until
                part.overdue_tests[endpoint_id] = test

    def finish_test(self, part: Part, test: OwnTest) -> None:
        """Drop a test of a part, and allow the next one."""
        if part.own_test is test:
            part.own_test = None
            self.changed.add(part.key)
        else:
            part.overdue_tests.pop(test.endpoint_id, None)

    def record_answer(self, keys: collections.abc.Iterable[str], now: float) -> None:
        """Clear parts of all crashes so far: an endpoint has begun to answer a request."""
        for key in keys:
            self.answered[key] = None
            self.answered.move_to_end(key)
            part = self.parts.get(key)
            if part is not None and (part.open_crashes or part.was_quarantined):
                for crash in part.crashes.values():
                    crash.cleared = True
                if part.was_quarantined:
                    self.decided.add(key)
                part.cleared_quarantines = part.quarantines
                self.changed.add(key)
                self.update(part, now)
        while len(self.answered) > MAX_ANSWERED_PARTS:
            self.answered.popitem(last=False)

    def record_crash(
        self, endpoint_id: str, keys: collections.abc.Iterable[str], now: float
    ) -> None:
        """Record a crash of an endpoint that had not begun to answer requests with these parts."""
        for key in keys:
            part = self.get(key)
            if endpoint_id not in part.crashes:
                self.add_crash(part, endpoint_id, now + CRASH_MEMORY_SECONDS, now)
                self.parts.move_to_end(key)
            test = find_test(part, endpoint_id)
            if test is not None and test.decide_at is None:
                test.decide_at = now + VERDICT_DELAY_SECONDS
            self.changed.add(key)
            self.update(part, now)
        self.evict()

    def get(self, key: str) -> Part:
        """Return the record of a part; create it if needed."""
        part = self.parts.get(key)
        if part is None:
            part = self.parts[key] = Part(key)
        return part

    def add_crash(self, part: Part, endpoint_id: str, expires_at: float, now: float) -> Crash:
        """Add a crash to a part's evidence; drop the oldest beyond the limit."""
        part.testable_since = now
        crash = part.crashes[endpoint_id] = Crash(expires_at)
        while len(part.crashes) > MAX_CRASHES_PER_PART:
            del part.crashes[min(part.crashes, key=lambda item: part.crashes[item].expires_at)]
        return crash

    def update(self, part: Part, now: float) -> None:
        """Derive from the evidence whether a part is restricted, and log a change."""
        restricted = part.was_quarantined or part.open_crashes >= SUSPECT_CRASHES
        if restricted == part.restricted:
            return
        part.restricted = restricted
        if restricted:
            part.testable_since = now
            self.restricted[part.key] = part
            LOGGER.log(events.Event.PART_SUSPECTED, part=part.key, endpoints=sorted(part.crashes))
        else:
            del self.restricted[part.key]
            part.own_test = None
            part.overdue_tests.clear()
            part.peer_tests.clear()
            LOGGER.log(events.Event.PART_CLEARED, part=part.key, quarantines=part.quarantines)

    def advance(self, now: float) -> None:
        """Decide on tests whose endpoint crashed; end those that lasted too long."""
        for part in list(self.restricted.values()):
            tests = list(part.overdue_tests.values())
            if part.own_test is not None:
                tests.append(part.own_test)
            for test in tests:
                if test.decide_at is not None:
                    if now >= test.decide_at:
                        self.decide(part, test, now)
                elif now >= test.ends_at:
                    overdue = part.own_test is test
                    self.finish_test(part, test)
                    if overdue:
                        test.ends_at = now + OVERDUE_TEST_SECONDS
                        part.overdue_tests[test.endpoint_id] = test

    def decide(self, part: Part, test: OwnTest, now: float) -> None:
        """Judge a part whose test crashed the endpoint."""
        was_answered = part.key in self.answered
        others = any(
            other is not part
            and test.endpoint_id in other.crashes
            and not other.crashes[test.endpoint_id].cleared
            and (was_answered or other.key not in self.answered)
            for other in self.restricted.values()
        )
        crash = part.crashes.get(test.endpoint_id)
        if crash is not None and not crash.cleared:
            crash.outcome = TestOutcome.AMBIGUOUS if others else TestOutcome.FAILED
        self.finish_test(part, test)
        failed_tests = part.count_outcomes(TestOutcome.FAILED)
        if was_answered:
            guilty = failed_tests >= FAILED_TESTS_OF_ANSWERED_PART
        else:
            guilty = bool(failed_tests) or (
                part.count_outcomes(TestOutcome.AMBIGUOUS) >= MAX_AMBIGUOUS_TESTS
            )
        if guilty:
            self.quarantine(part, now)

    def quarantine(self, part: Part, now: float) -> None:
        """Refuse requests with a part for a time that doubles with each further quarantine."""
        further = part.quarantines - part.cleared_quarantines
        part.quarantines = min(part.quarantines + 1, MAX_QUARANTINES)
        seconds = min(MAX_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2.0 ** min(further, 16))
        part.quarantined_until = now + seconds
        self.decided.add(part.key)
        LOGGER.log(
            events.Event.PART_QUARANTINED,
            part=part.key,
            seconds=seconds,
            endpoints=sorted(part.crashes),
            source="test",
        )

    def expire(self, now: float) -> None:
        """Drop evidence and parts that are too old to matter."""
        for part in list(self.parts.values()):
            part.peer_tests = {
                gateway: test for gateway, test in part.peer_tests.items() if test[1] > now
            }
            if part.is_tested(now):
                # The evidence is the reason for a test whose outcome is open.
                continue
            for endpoint_id, crash in list(part.crashes.items()):
                if now >= crash.expires_at:
                    del part.crashes[endpoint_id]
            remembered = now < part.quarantined_until + QUARANTINE_MEMORY_SECONDS
            if not remembered:
                part.cleared_quarantines = part.quarantines
            self.update(part, now)
            # A cleared part is kept, or peers that have not been told would restore it.
            if not part.crashes and not (part.quarantines and remembered):
                del self.parts[part.key]
                self.changed.discard(part.key)

    def evict(self) -> None:
        """Drop parts beyond the limit: quarantined ones last, then suspected ones, then by age."""
        excess = len(self.parts) - MAX_PARTS
        if excess <= 0:
            return
        # Sorting keeps the order of age within each group.
        by_importance = sorted(
            self.parts.values(),
            key=lambda part: (part.was_quarantined, part.restricted, bool(part.open_crashes)),
        )
        for part in by_importance[:excess]:
            self.restricted.pop(part.key, None)
            self.changed.discard(part.key)
            del self.parts[part.key]

    def build_reports(self, now: float) -> list[part_reports.PartReport]:
        """Return reports on the parts that matter most, for a complete message to the peers."""
        newest_first = list(reversed(self.parts.values()))
        newest_first.sort(key=lambda part: not part.restricted)
        reported = newest_first[:MAX_REPORTED_PARTS]
        self.changed.difference_update(part.key for part in reported)
        return [self.build_report(part, now) for part in reported]

    def pop_changed(self, now: float) -> list[part_reports.PartReport]:
        """Return reports on parts that changed since the last message; the rest stay queued."""
        keys = sorted(self.changed, key=lambda key: key not in self.restricted)
        keys = keys[:MAX_REPORTED_PARTS]
        self.changed.difference_update(keys)
        return [self.build_report(self.parts[key], now) for key in keys]

    def build_report(self, part: Part, now: float) -> part_reports.PartReport:
        """Return the evidence on a part with ages and durations in place of times."""
        return part_reports.PartReport(
            key=part.key,
            crashes=[
                part_reports.CrashReport(
                    endpoint_id,
                    round(CRASH_MEMORY_SECONDS - (crash.expires_at - now), 3),
                    crash.cleared,
                    int(crash.outcome),
                )
                for endpoint_id, crash in part.crashes.items()
            ],
            quarantines=part.quarantines,
            cleared_quarantines=part.cleared_quarantines,
            quarantine_seconds=round(part.quarantined_until - now, 3) if part.quarantines else 0.0,
            test_seconds=max(0.0, part.own_test.ends_at - now) if part.own_test else 0.0,
            test_endpoint_id=part.own_test.endpoint_id if part.own_test else "",
        )

    def restore(self, key: str, quarantines: int, seconds: float, now: float) -> None:
        """Restore a quarantine that was stored, with ``seconds`` left, or ended for so long."""
        report = part_reports.PartReport(
            key=key,
            crashes=[],
            quarantines=quarantines,
            cleared_quarantines=0,
            quarantine_seconds=seconds,
            test_seconds=0.0,
            test_endpoint_id="",
        )
        self.merge(report, "store", now)

    def merge(self, report: part_reports.PartReport, sender: str, now: float) -> None:
        """Add a peer's evidence on a part.

        The result does not depend on the order of messages or on how often one arrives.
        """
        if len(report.key) > MAX_ID_LENGTH or not math.isfinite(report.quarantine_seconds):
            return
        recent = [
            item
            for item in report.crashes[:MAX_CRASHES_PER_PART]
            if item.age_seconds < CRASH_MEMORY_SECONDS
            and len(item.endpoint_id) <= MAX_ENDPOINT_ID_LENGTH
        ]
        remembered = report.quarantine_seconds > -QUARANTINE_MEMORY_SECONDS
        if report.key not in self.parts and not recent and not (report.quarantines and remembered):
            return
        part = self.get(report.key)
        for item in recent:
            self.merge_crash(part, item, now)
        quarantined = part.is_quarantined(now)
        quarantines = min(report.quarantines, MAX_QUARANTINES)
        if quarantines > part.quarantines:
            part.quarantines = quarantines
            part.quarantined_until = now + min(report.quarantine_seconds, MAX_QUARANTINE_SECONDS)
        cleared = min(report.cleared_quarantines, MAX_QUARANTINES)
        part.cleared_quarantines = max(part.cleared_quarantines, cleared)
        if report.test_seconds > 0.0:
            ends_at = now + min(report.test_seconds, TEST_TIMEOUT_SECONDS)
            part.peer_tests[sender] = report.test_endpoint_id, ends_at
        else:
            part.peer_tests.pop(sender, None)
        if part.is_quarantined(now) and not quarantined:
            LOGGER.log(
                events.Event.PART_QUARANTINED,
                part=part.key,
                seconds=round(part.quarantined_until - now, 3),
                endpoints=sorted(part.crashes),
                source=sender,
            )
        self.update(part, now)
        self.evict()

    def merge_crash(self, part: Part, item: part_reports.CrashReport, now: float) -> None:
        """Add a crash that a peer reports to a part's evidence."""
        expires_at = now + CRASH_MEMORY_SECONDS - max(0.0, item.age_seconds)
        crash = part.crashes.get(item.endpoint_id)
        if crash is None:
            crash = self.add_crash(part, item.endpoint_id, expires_at, now)
        crash.expires_at = min(crash.expires_at, expires_at)
        crash.cleared = crash.cleared or item.cleared
        try:
            crash.outcome = max(crash.outcome, TestOutcome(item.outcome))
        except ValueError:
            return  # of a newer version
