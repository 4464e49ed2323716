"""Which versions of a service get requests, and when an order to change the version is decided.

Times are in seconds of ``clocks.boot_time``. docs/design/rollouts.md has the reasons.
"""

import collections.abc
import math

from masticward.models import gateway, rollouts
from masticward.state import rollout_evidence
from masticward.utils import identifiers

# Fraction of the canary share and slack that is used, because responses in flight and requests that
# clients give up are counted differently elsewhere.
SHARE_MARGIN = 0.9
SLACK_MARGIN = 0.7
# Part of the share that is used before the drain, in which the rest is needed.
CANARY_FRACTION = 0.6
# The slack becomes available up to this fraction of the duration, not in one burst.
SLACK_AVAILABLE_FRACTION = 0.3
# Fractions of the duration: a good version is completed from the first one on; until the second
# one it waits for as many endpoints as the old version has; from the last one on, what is
# missing is no longer waited for.
DECIDE_FRACTION = 0.75
CAPACITY_FRACTION = 0.88
LAST_FRACTION = 0.92
# While the old endpoints get no new requests, their streams end.
MAX_DRAIN_SECONDS = 3.0
DRAIN_FRACTION = 0.08
# Time for the status to be written, in which the old endpoints still get nothing.
WRITE_SECONDS = 2.0
# The canary requests go to few endpoints, so that each has the load that it will have later.
MIN_CANARIES = 2
# Responses of an endpoint this soon after its cold start are not judged by their time.
WARM_SECONDS = 1.0
MIN_EXPECTED_SECONDS = 0.005


class Rollout:
    """One order, this gateway's counts and those of its peers."""

    __slots__ = (
        "changed",
        "completed",
        "counts",
        "drain_until",
        "has_slack",
        "incidents",
        "key",
        "key_is_certain",
        "old_incarnations",
        "order",
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
        # The revision at which the order was written. Once it has a status, peers may know better.
        self.key = order.revision
        self.key_is_certain = order.state is None
        self.has_slack = has_slack
        self.started_at = now
        self.counts: dict[str, rollouts.RouteCounts] = {}
        # By gateway and its incarnation: those of an earlier incarnation stay evidence.
        self.peer_counts: dict[tuple[str, int], dict[str, rollouts.RouteCounts]] = {}
        self.references: dict[str, rollout_evidence.TimeReference] = {}
        # By endpoint: when a failure of a connection was last counted.
        self.incidents: dict[str, float] = {}
        self.requests = 0
        self.sends = 0
        self.stopped = False
        self.completed = False
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

    def stop(self) -> bool:
        """Send nothing more to the new version; return whether that is new."""
        if not self.active:
            return False
        self.stopped = self.changed = True
        return True

    def allowance(
        self, bounds: gateway.Bounds, gateway_count: int, now: float, in_drain: bool
    ) -> float:
        """Return how many requests this gateway may have sent to the new version by now."""
        part = SHARE_MARGIN if in_drain else SHARE_MARGIN * CANARY_FRACTION
        allowed = part * (bounds.canary_share or 0.0) * self.requests
        if self.has_slack:
            available = min(1.0, self.elapsed_fraction(now) / SLACK_AVAILABLE_FRACTION)
            allowed += available * SLACK_MARGIN * bounds.canary_slack / gateway_count
        return allowed

    def drain_seconds(self, bounds: gateway.Bounds, gateway_count: int, now: float) -> float:
        """Return for how long the new version may get all requests within the allowance."""
        left = self.allowance(bounds, gateway_count, now, True) - self.sends
        requests_per_second = self.requests / max(0.001, now - self.started_at)
        affordable = max(0.0, left) / max(0.001, requests_per_second)
        limit = min(MAX_DRAIN_SECONDS, DRAIN_FRACTION * self.order.duration_seconds)
        return min(limit, affordable)

    def route_counts(self, route: str) -> rollouts.RouteCounts:
        """Return this gateway's counts of a route."""
        return self.counts.setdefault(route, rollouts.RouteCounts())

    def record_end(
        self, endpoint: gateway.Endpoint, route: str, failed: bool, broken: bool, now: float
    ) -> None:
        """Count a response, or a failure; several broken connections may be one incident."""
        is_new = endpoint.version == self.order.target
        if broken:
            previous = self.incidents.get(endpoint.id, -math.inf)
            if now - previous < rollout_evidence.INCIDENT_SECONDS:
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
        slow = reference.is_slow(seconds, expected_seconds)
        if reference.known and (slow or ended):
            counts = self.route_counts(route)
            side = counts.new if is_new else counts.old
            side.timed += 1
            side.slow += slow
            self.changed |= slow and is_new
        if not is_new and ended:
            reference.record(seconds / expected_seconds)

    def merged_counts(self) -> dict[str, rollouts.RouteCounts]:
        """Return the counts of all gateways by route."""
        merged: dict[str, rollouts.RouteCounts] = {}
        for by_route in (self.counts, *self.peer_counts.values()):
            for route, counts in by_route.items():
                merged.setdefault(route, rollouts.RouteCounts()).add(counts)
        return merged

    def judge(self, is_final: bool) -> rollout_evidence.Verdict:
        """Return the verdict on the counts of all gateways."""
        return rollout_evidence.judge(self.merged_counts().values(), is_final)

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
            counts=self.counts if self.active else {},
        )


class RolloutTable:
    """The orders by service, and the versions that services run."""

    __slots__ = (
        "completed_targets",
        "gateway_count",
        "in_touch",
        "known",
        "majority",
        "rollouts",
        "running",
    )

    def __init__(self) -> None:
        self.rollouts: dict[str, Rollout] = {}
        # By service; kept after an order was deleted.
        self.running: dict[str, str] = {}
        # By service: the target of the latest order that was completed.
        self.completed_targets: dict[str, str] = {}
        # Whether the orders were listed.
        self.known = False
        # Gateways among which the slack is divided.
        self.gateway_count = 1
        # Whether peers are heard, if there are any, and whether it is most of them.
        self.in_touch = True
        self.majority = True

    def apply(
        self, items: list[tuple[str, rollouts.Order | None]], complete: bool, now: float
    ) -> list[Rollout]:
        """Apply a listing (``complete``) or changes of the orders; return the new ones."""
        added = []
        listed = {order.service if order else name for name, order in items}
        if complete:
            for service in [item for item in self.rollouts if item not in listed]:
                del self.rollouts[service]
        for name, order in items:
            if order is None:
                self.rollouts.pop(name, None)
                continue
            rollout = self.rollouts.get(order.service)
            if rollout is None or not is_same_order(rollout.order, order):
                # An order of the first listing may be old, and its slack used up by this gateway's
                # earlier incarnation.
                rollout = Rollout(order, self.known, now)
                self.rollouts[order.service] = rollout
                added.append(rollout)
            rollout.order = order
            # An order of what was completed, perhaps one whose status the store has lost.
            if order.state is None and self.completed_targets.get(order.service) == order.target:
                self.complete(rollout)
            if order.state is rollouts.RolloutState.COMPLETED:
                self.complete(rollout)
            elif order.state is rollouts.RolloutState.ROLLED_BACK:
                rollout.stop()
        self.known = True
        return added

    def complete(self, rollout: Rollout) -> bool:
        """Put a completed order in force; return whether that is new."""
        if rollout.completed:
            return False
        # The written status is final, whatever this gateway counted.
        rollout.stopped = False
        rollout.completed = rollout.changed = True
        self.running[rollout.order.service] = rollout.order.target
        self.completed_targets[rollout.order.service] = rollout.order.target
        return True

    def running_version(
        self, service: str, endpoints: collections.abc.Iterable[gateway.Endpoint]
    ) -> str:
        """Return the version that a service runs, "" if its endpoints have none.

        It stays while an endpoint has it. Otherwise it is the version of the oldest endpoint, as
        new versions are started beside the running one.
        """
        rollout = self.rollouts.get(service)
        target = rollout.order.target if rollout is not None and not rollout.completed else None
        listed = [item for item in endpoints if item.version and item.version != target]
        current = self.running.get(service, "")
        if not listed or any(item.version == current for item in listed):
            return current
        self.running[service] = min(listed, key=lambda item: (item.born, item.id)).version
        return self.running[service]

    def select(
        self,
        service: str,
        endpoints: list[gateway.Endpoint],
        listed: collections.abc.Iterable[gateway.Endpoint],
        canary_share: float,
        now: float,
    ) -> list[gateway.Endpoint]:
        """Return the usable endpoints that may get requests, canaries among them.

        ``listed`` are all endpoints of the service that are not draining.
        """
        running = self.running_version(service, listed)
        rollout = self.rollouts.get(service)
        old = [item for item in endpoints if item.version in ("", running)]
        if rollout is None:
            return old or endpoints
        target = rollout.order.target
        if rollout.completed:
            return select_completed(rollout, endpoints)
        old = [item for item in old if item.version != target]
        new = [item for item in endpoints if item.version == target]
        others = [item for item in endpoints if item.version != target]
        if not rollout.active:
            return old or others
        rollout.old_incarnations.update(item.incarnation for item in others)
        if not old:
            return new or others
        if not self.in_touch:
            return old
        if not rollout.is_draining(now):
            count = max(MIN_CANARIES, math.ceil(canary_share * len(old)))
            new.sort(key=lambda item: (item.cold_until > now, identifiers.stable_hash(item.id)))
            new = new[:count]
        return old + new

    def canary_ids(
        self, service: str, endpoints: collections.abc.Sequence[gateway.Endpoint]
    ) -> frozenset[str]:
        """Return which of the selected endpoints get requests only within the canary share."""
        rollout = self.rollouts.get(service)
        if rollout is None or not rollout.active:
            return frozenset()
        target = rollout.order.target
        canaries = frozenset(item.id for item in endpoints if item.version == target)
        # Without other endpoints, those of the new version serve all requests.
        return canaries if len(canaries) < len(endpoints) else frozenset()

    def may_send(self, service: str, bounds: gateway.Bounds, now: float) -> bool:
        """Return whether the next request may go to the new version."""
        rollout = self.rollouts.get(service)
        return (
            rollout is not None
            and rollout.active
            and rollout.sends + 1
            <= rollout.allowance(bounds, self.gateway_count, now, rollout.is_draining(now))
        )

    def allows(self, endpoint: gateway.Endpoint) -> bool:
        """Return whether a request that was placed may still be sent to its endpoint."""
        rollout = self.rollouts.get(endpoint.service)
        if rollout is None or rollout.active:
            return True
        if rollout.completed:
            return endpoint.incarnation not in rollout.old_incarnations
        return endpoint.version != rollout.order.target

    def active(self, service: str) -> Rollout | None:
        """Return the undecided order of a service."""
        rollout = self.rollouts.get(service)
        return rollout if rollout is not None and rollout.active else None

    def record_request(self, service: str) -> None:
        """Count a request that has arrived."""
        if (rollout := self.active(service)) is not None:
            rollout.requests += 1

    def record_send(self, endpoint: gateway.Endpoint, is_cold: bool, now: float) -> None:
        """Count a request that is assigned to an endpoint."""
        if (rollout := self.active(endpoint.service)) is None:
            return
        rollout.sends += endpoint.version == rollout.order.target
        if is_cold:
            rollout.warm_at[endpoint.id] = now + WARM_SECONDS

    def record_end(
        self, endpoint: gateway.Endpoint, route: str, failed: bool, now: float, broken: bool = False
    ) -> None:
        """Count the end of a response."""
        if (rollout := self.active(endpoint.service)) is not None:
            rollout.record_end(endpoint, route, failed, broken, now)

    def record_time(
        self,
        endpoint: gateway.Endpoint,
        route: str,
        seconds: float,
        expected_seconds: float,
        now: float,
        ended: bool = True,
    ) -> None:
        """Count the time to a first event or whole response, unless the endpoint was cold."""
        rollout = self.active(endpoint.service)
        if rollout is not None and now - seconds > rollout.warm_at.get(endpoint.id, -math.inf):
            rollout.record_time(endpoint, route, seconds, expected_seconds, ended)

    def merge(
        self, report: rollouts.RolloutReport, sender: tuple[str, int], now: float
    ) -> Rollout | None:
        """Apply a peer's report; return the order if the report decides it."""
        rollout = self.rollouts.get(report.service)
        if rollout is None or rollout.order.target != report.target:
            return None
        if report.key < rollout.key and not rollout.key_is_certain:
            rollout.key = report.key
        if report.key != rollout.key:
            return None
        rollout.started_at = min(rollout.started_at, now - report.elapsed_seconds)
        known = rollout.peer_counts.get(sender, {})
        if sum_of(report.counts) >= sum_of(known):
            rollout.peer_counts[sender] = report.counts
        if report.drain_seconds > 0.0:
            rollout.drain_until = max(rollout.drain_until, now + report.drain_seconds)
        if report.completed:
            return rollout if self.complete(rollout) else None
        return rollout if report.stopped and rollout.stop() else None

    def decide(
        self,
        rollout: Rollout,
        endpoints: collections.abc.Sequence[gateway.Endpoint],
        bounds: gateway.Bounds,
        now: float,
    ) -> rollouts.RolloutState:
        """Return the state that an order should have; to be asked by the gateway that writes it.

        ``endpoints`` are the usable ones of the service.
        """
        if rollout.completed:
            return rollouts.RolloutState.COMPLETED
        if rollout.stopped:
            return rollouts.RolloutState.ROLLED_BACK
        target = rollout.order.target
        new_count = sum(item.version == target for item in endpoints)
        old_count = len(endpoints) - new_count
        elapsed = rollout.elapsed_fraction(now)
        if elapsed < DECIDE_FRACTION:
            return rollouts.RolloutState.RUNNING
        if not new_count:
            if elapsed >= LAST_FRACTION:
                rollout.stop()
                return rollouts.RolloutState.ROLLED_BACK
            return rollouts.RolloutState.RUNNING
        if (new_count < old_count and elapsed < CAPACITY_FRACTION) or (
            not self.majority and elapsed < LAST_FRACTION
        ):
            return rollouts.RolloutState.RUNNING
        if rollout.judge(True) is rollout_evidence.Verdict.BAD:
            rollout.stop()
            return rollouts.RolloutState.ROLLED_BACK
        if rollout.drain_until == -math.inf:
            rollout.drain_until = now
            if old_count and new_count >= old_count:
                rollout.drain_until += rollout.drain_seconds(bounds, self.gateway_count, now)
            rollout.changed = True
        if now < rollout.drain_until:
            return rollouts.RolloutState.RUNNING
        return rollouts.RolloutState.COMPLETED

    def reports(self, now: float) -> list[rollouts.RolloutReport]:
        """Return the reports on all orders."""
        return [rollout.report(now) for rollout in self.rollouts.values()]

    def pop_changed(self, now: float) -> list[rollouts.RolloutReport]:
        """Return the reports that peers should get at once."""
        changed = [rollout for rollout in self.rollouts.values() if rollout.changed]
        for rollout in changed:
            rollout.changed = False
        return [rollout.report(now) for rollout in changed]

    @property
    def has_changed(self) -> bool:
        """Whether there are reports that peers should get at once."""
        return any(rollout.changed for rollout in self.rollouts.values())

    def marks(self) -> list[str]:
        """Return what the digest of the listing has to cover."""
        return [f"{name} {item.order.revision}" for name, item in sorted(self.rollouts.items())]


def is_same_order(known: rollouts.Order, order: rollouts.Order) -> bool:
    """Return whether an object still holds the known order, perhaps with another status."""
    return (
        known.target == order.target
        and known.duration_seconds == order.duration_seconds
        # An order that is written again has no status.
        and not (known.state and not order.state and order.revision > known.revision)
    )


def select_completed(rollout: Rollout, endpoints: list[gateway.Endpoint]) -> list[gateway.Endpoint]:
    """Return the endpoints that get requests after an order was completed.

    The old ones get none. Endpoints of a third version have replaced the target's since, if those
    are gone.
    """
    target, old = rollout.order.target, rollout.old_incarnations
    selected = [item for item in endpoints if item.version == target]
    if not selected:
        selected = [item for item in endpoints if item.incarnation not in old]
    return selected


def sum_of(by_route: dict[str, rollouts.RouteCounts]) -> int:
    """Return the sum of all counts."""
    return sum(counts.total for counts in by_route.values())


def chooses_writer(service: str, instance_id: str, live_ids: list[str]) -> bool:
    """Return whether a gateway ranks first among the live ones for an order's status."""
    return instance_id == max(live_ids, key=lambda item: identifiers.stable_hash(service, item))
