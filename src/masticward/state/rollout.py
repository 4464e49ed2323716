"""Which versions of a service get requests, and when an order to change the version is decided.

Times are in seconds of ``clocks.boot_time``. docs/design/rollouts.md has the reasons.
"""

import math

from masticward.models import gateway, rollouts
from masticward.state import rollout_evidence
from masticward.utils import identifiers

# Fraction of the canary share and slack that is used, because responses in flight and requests that
# clients give up are counted differently elsewhere.
SHARE_MARGIN = 0.9
SLACK_MARGIN = 0.7
# In the drain, the rates of the gateways vary; it is planned with the margins above.
DRAIN_PLAN_FRACTION = 0.75
DRAIN_SHARE_MARGIN = 0.98
DRAIN_SLACK_MARGIN = 0.95
# Part of the share that is used before the drain, in which the rest is needed.
CANARY_FRACTION = 0.6
# The slack becomes available up to this fraction of the duration, not in one burst.
SLACK_AVAILABLE_FRACTION = 0.3
# While the old endpoints get no new requests, their streams end.
MAX_DRAIN_SECONDS = 3.0
DRAIN_FRACTION = 0.08
# The drain ends by this fraction, so that there is time to write the status.
DRAINED_FRACTION = 0.95
# Fraction of the duration from which on a good version is completed.
DECIDE_FRACTION = 0.75
# A status that is due is written by the next gateway in rank after this time, and this part of the
# duration at most.
TAKEOVER_SECONDS = 1.0
TAKEOVER_FRACTION = 0.03
# Time for the status to be written, in which the old endpoints still get nothing.
WRITE_SECONDS = 2.0
# Canary requests are sent in phases, and to few endpoints in turn, so that these have the load that
# they will have later. The phases are the same at all gateways.
PHASES = 5
MIN_PHASE_SECONDS = 3.0
MIN_CANARIES = 2
# A gateway with fewer requests a second sends as many to the new version as it may.
LOW_RATE = 3.0
# Responses of an endpoint this soon after its cold start are not judged by their time.
WARM_SECONDS = 1.0
MIN_EXPECTED_SECONDS = 0.005


class Rollout:
    """One order, this gateway's counts and those of its peers."""

    __slots__ = (
        "affordable_seconds",
        "canary_part",
        "changed",
        "completed",
        "counts",
        "decided_at",
        "drain_until",
        "era",
        "has_old",
        "has_slack",
        "incidents",
        "judged",
        "key",
        "key_is_certain",
        "new_count",
        "old_incarnations",
        "order",
        "peer_affordable",
        "peer_counts",
        "references",
        "requests",
        "sends",
        "started_at",
        "stopped",
        "warm_at",
    )

    def __init__(self, order: rollouts.Order, has_slack: bool, now: float) -> None:
        self.order = order
        # The store's era of the order's revision.
        self.era = 0
        # The revision at which the order was written. Once it has a status, peers may know better.
        self.key = order.revision
        self.key_is_certain = order.state is None
        self.has_slack = has_slack
        self.started_at = now
        self.counts: dict[str, rollouts.RouteCounts] = {}
        # By gateway and its incarnation: those of an earlier incarnation stay evidence.
        self.peer_counts: dict[tuple[str, int], dict[str, rollouts.RouteCounts]] = {}
        # How long all requests may go to the new version, here and as gateways have reported it.
        self.affordable_seconds = 0.0
        self.peer_affordable: dict[str, float] = {}
        self.references: dict[str, rollout_evidence.TimeReference] = {}
        # By endpoint: when a failure of a connection was last counted.
        self.incidents: dict[str, float] = {}
        # Part of the requests that gives a canary the load of an old endpoint.
        self.canary_part = 1.0
        self.judged = rollout_evidence.Judge(now)
        # Endpoints of the new version that are usable.
        self.new_count = 0
        # Whether old endpoints are usable.
        self.has_old = True
        self.requests = 0
        self.sends = 0
        self.stopped = False
        self.completed = False
        # When the decision was first seen by this gateway's keeper.
        self.decided_at: float | None = None
        # End of the time in which the old endpoints get nothing, before the order is completed.
        self.drain_until = -math.inf
        # By endpoint: when responses are judged that it begins then or later.
        self.warm_at: dict[str, float] = {}
        self.old_incarnations: set[str] = set()
        # Whether peers should be told at once.
        self.changed = True

    @property
    def active(self) -> bool:
        """Whether the order is not decided."""
        return not self.stopped and not self.completed

    def elapsed_fraction(self, now: float) -> float:
        """Return the part of the duration that has passed."""
        return (now - self.started_at) / max(0.001, self.order.duration_seconds)

    def is_draining(self, now: float) -> bool:
        """Return whether the old endpoints get no new requests although nothing is decided."""
        return now < self.drain_until + WRITE_SECONDS

    def status_due_at(self) -> float:
        """Return since when the object should have another status."""
        if self.decided_at is not None:
            return self.decided_at
        if self.order.state is None:
            return self.started_at
        decided_from = self.started_at + DECIDE_FRACTION * self.order.duration_seconds
        return max(decided_from, self.drain_until)

    def takeover_seconds(self) -> float:
        """Return how long each gateway in rank waits for the one before it."""
        return min(TAKEOVER_SECONDS, TAKEOVER_FRACTION * self.order.duration_seconds)

    def stop(self) -> bool:
        """Send nothing more to the new version; return whether that is new."""
        if not self.active:
            return False
        self.stopped = self.changed = True
        return True

    def allowance(
        self, bounds: gateway.Bounds, gateway_count: int, now: float, part: float, slack_part: float
    ) -> float:
        """Return how many requests this gateway may have sent to the new version by now."""
        allowed = part * (bounds.canary_share or 0.0) * self.requests
        if self.has_slack:
            available = min(1.0, self.elapsed_fraction(now) / SLACK_AVAILABLE_FRACTION)
            allowed += available * slack_part * bounds.canary_slack / gateway_count
        return allowed

    def may_send(self, bounds: gateway.Bounds, gateway_count: int, now: float) -> bool:
        """Return whether another request is within the allowance."""
        if self.judged.suspected_since is not None:
            return False
        part, slack_part = SHARE_MARGIN * CANARY_FRACTION, SLACK_MARGIN
        if self.is_draining(now):
            part, slack_part = DRAIN_SHARE_MARGIN, DRAIN_SLACK_MARGIN
        return self.sends + 1 <= self.allowance(bounds, gateway_count, now, part, slack_part)

    def update_affordable(self, bounds: gateway.Bounds, gateway_count: int, now: float) -> None:
        """Set for how long the new version may get all requests within the allowance."""
        allowed = self.allowance(bounds, gateway_count, now, SHARE_MARGIN, SLACK_MARGIN)
        requests_per_second = self.requests / max(0.001, now - self.started_at)
        self.affordable_seconds = max(0.0, allowed - self.sends) / max(0.001, requests_per_second)

    def drain_seconds(self, live_ids: list[str], now: float) -> float:
        """Return how long the drain lasts: as long as the allowances of nearly all gateways.

        One that has just started has a small one; its requests then go on to the old version.
        """
        affordable = [self.peer_affordable.get(name, math.inf) for name in live_ids]
        shortest = max(min(affordable, default=math.inf), 0.5 * self.affordable_seconds)
        duration = self.order.duration_seconds
        left = max(0.0, self.started_at + DRAINED_FRACTION * duration - now)
        limit = min(MAX_DRAIN_SECONDS, DRAIN_FRACTION * duration, left)
        return min(limit, DRAIN_PLAN_FRACTION * min(self.affordable_seconds, shortest))

    def route_counts(self, route: str) -> rollouts.RouteCounts:
        """Return this gateway's counts of a route."""
        return self.counts.setdefault(route, rollouts.RouteCounts())

    def record_end(
        self,
        endpoint: gateway.Endpoint,
        route: str,
        failed: bool,
        broken: bool,
        sent_at: float,
        now: float,
    ) -> None:
        """Count a response, or a failure.

        A connection that breaks is part of an earlier incident if its request was already open at
        the endpoint then, because a crash breaks all of them.
        """
        is_new = endpoint.version == self.order.target
        if broken:
            if sent_at <= self.incidents.get(endpoint.id, -math.inf):
                return
            self.incidents[endpoint.id] = now
        counts = self.route_counts(route)
        side = counts.new if is_new else counts.old
        if failed:
            side.failures += 1
            self.changed |= is_new
        else:
            side.answers += 1

    def record_time(
        self,
        endpoint: gateway.Endpoint,
        route: str,
        seconds: float,
        expected_seconds: float,
        ended: bool,
    ) -> None:
        """Count the time to the first event; if it has not ``ended``, only one that is slow."""
        is_new = endpoint.version == self.order.target
        reference = self.references.setdefault(route, rollout_evidence.TimeReference())
        expected_seconds = max(MIN_EXPECTED_SECONDS, expected_seconds)
        if not is_new and ended:
            reference.record(seconds / expected_seconds)
        if not reference.known:
            if ended and len(reference.early) < rollout_evidence.REFERENCE_TIMES:
                reference.early.append((endpoint.id, is_new, seconds, expected_seconds))
            return
        if reference.early:
            early, reference.early = reference.early, []
            for time in early:
                self.count_time(reference, route, *time)
        if ended or reference.is_slow(seconds, expected_seconds):
            self.count_time(reference, route, endpoint.id, is_new, seconds, expected_seconds)

    def count_time(
        self,
        reference: rollout_evidence.TimeReference,
        route: str,
        endpoint_id: str,
        is_new: bool,
        seconds: float,
        expected_seconds: float,
    ) -> None:
        """Count a time that can be compared with the old version's."""
        slow = reference.is_slow(seconds, expected_seconds)
        counts = self.route_counts(route)
        side = counts.new if is_new else counts.old
        side.timed += 1
        side.slow += slow
        if is_new:
            counts.add_time(endpoint_id, 1, int(slow))
            self.changed |= slow

    def merged_counts(self) -> dict[str, rollouts.RouteCounts]:
        """Return the counts of all gateways by route."""
        merged: dict[str, rollouts.RouteCounts] = {}
        for by_route in (self.counts, *self.peer_counts.values()):
            for route, counts in by_route.items():
                merged.setdefault(route, rollouts.RouteCounts()).add(counts)
        return merged

    def judge(self, is_final: bool, now: float) -> rollout_evidence.Verdict:
        """Return the verdict on the counts of all gateways."""
        counts = self.merged_counts()
        verdict = self.judged.judge(counts, self.new_count > 1, is_final, now)
        old_responses = sum(item.old.responses for item in counts.values())
        # Nothing to compare with, and nothing else that could serve.
        if (
            verdict is rollout_evidence.Verdict.BAD
            and not self.has_old
            and old_responses < rollout_evidence.MIN_OLD_RESPONSES
        ):
            if is_final:
                return rollout_evidence.Verdict.GOOD
            return rollout_evidence.Verdict.UNDECIDED
        return verdict

    def phase_seconds(self) -> float:
        """Return the time from the start of a phase of canary requests to that of the next."""
        return max(MIN_PHASE_SECONDS, self.order.duration_seconds / PHASES)

    def is_in_phase(self, request_id: str, canary_share: float, now: float) -> bool:
        """Return whether a request is one of those that give the canaries their usual load."""
        elapsed_seconds = now - self.started_at
        if self.requests < LOW_RATE * elapsed_seconds or self.is_draining(now):
            return True
        part = SHARE_MARGIN * CANARY_FRACTION * canary_share
        phase_seconds = self.phase_seconds()
        if elapsed_seconds % phase_seconds * self.canary_part > part * phase_seconds:
            return False
        return identifiers.stable_hash(request_id) < self.canary_part * 2.0**64

    def describe(self) -> dict[str, str]:
        """Return the counts by route for a log line: responses, failures, times and slow ones."""

        def text(counts: rollouts.VersionCounts) -> str:
            responses = counts.answers + counts.failures
            return f"{counts.failures}/{responses} failed {counts.slow}/{counts.timed} slow"

        return {
            route: f"new {text(counts.new)}, old {text(counts.old)}"
            for route, counts in self.merged_counts().items()
        }

    def report(self, now: float) -> rollouts.RolloutReport:
        """Return what peers have to know; the counts only while they matter."""
        return rollouts.RolloutReport(
            service=self.order.service,
            target=self.order.target,
            key=self.key,
            elapsed_seconds=now - self.started_at,
            stopped=self.stopped,
            completed=self.completed,
            drain_seconds=max(0.0, self.drain_until - now),
            affordable_seconds=self.affordable_seconds,
            counts=self.counts if self.active else {},
        )
