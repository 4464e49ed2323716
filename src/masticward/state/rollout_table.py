"""The orders to roll out versions by service, and which endpoints get requests because of them.

Times are in seconds of ``clocks.boot_time``. docs/design/rollouts.md has the reasons.
"""

import collections.abc
import math

from masticward.models import gateway, rollouts
from masticward.state import rollout as rollout_module
from masticward.state import rollout_choice, rollout_evidence, rollout_restore

# Fractions of the duration: from DECIDE_FRACTION until the first one, a good version waits for as
# many endpoints as the old version has; from the second one on, what is missing is no longer waited
# for.
CAPACITY_FRACTION = 0.88
LAST_FRACTION = 0.92
# A gateway that has received no message for this time sends nothing more to the new version.
IN_TOUCH_SECONDS = 1.2
# Key of an order whose revision when it was written is unknown; any that a peer knows is lower.
UNKNOWN_KEY = 2**62


class RolloutTable:
    """The orders by service, and the versions that services run."""

    __slots__ = (
        "completed_targets",
        "era",
        "gateway_count",
        "in_touch",
        "in_touch_until",
        "known",
        "majority",
        "restored",
        "rollouts",
        "running",
    )

    def __init__(self) -> None:
        self.rollouts: dict[str, rollout_module.Rollout] = {}
        # By service; kept after an order was deleted.
        self.running: dict[str, str] = {}
        # By service: the target of the latest order that was completed.
        self.completed_targets: dict[str, str] = {}
        # The store's era of the listing, and what holds against a listing of a restored store.
        self.era = 0
        self.restored = rollout_restore.RestoredOrders()
        # Whether the orders were listed.
        self.known = False
        # Gateways among which the slack is divided.
        self.gateway_count = 1
        # Whether messages arrive from peers, if there are any, and whether from most of them.
        self.in_touch = True
        # When the latest message of a peer is too old; infinite without peers. It also holds in a
        # process that was frozen, before its next check.
        self.in_touch_until = math.inf
        self.majority = True

    def apply(
        self, items: list[tuple[str, rollouts.Order | None]], complete: bool, now: float
    ) -> list[rollout_module.Rollout]:
        """Apply a listing (``complete``) or changes of the orders; return the new ones."""
        added = []
        listed = {order.service if order else name for name, order in items}
        if complete:
            listed -= self.restored.begin_listing(items, self.rollouts, now)
            for service in [item for item in self.rollouts if item not in listed]:
                if service not in self.restored.missing:
                    self.remove(service, now)
        for name, order in items:
            if order is None:
                self.restored.apply_change(name, now)
                self.remove(name, now)
                continue
            service = order.service
            if complete and service not in listed:
                continue
            rollout = self.rollouts.get(service)
            was_missing = not complete and self.restored.apply_change(service, now)
            if rollout is None or not self.is_same_order(rollout, order, complete or was_missing):
                if rollout is not None:
                    self.remove(service, now)
                self.restored.accept(service, order.target)
                # An order of the first listing may be old, and its slack used up by this gateway's
                # earlier incarnation.
                rollout = rollout_module.Rollout(order, self.known, now)
                if not self.known and self.era:
                    # Peers may know it by a revision of the era in which it was written.
                    rollout.key, rollout.key_is_certain = UNKNOWN_KEY, False
                self.rollouts[service] = rollout
                added.append(rollout)
            rollout.order = order
            rollout.era = self.era
            # An order of what was completed, perhaps one whose status the store has lost.
            if order.state is None and self.completed_targets.get(service) == order.target:
                self.complete(rollout)
            if order.state is rollouts.RolloutState.COMPLETED:
                self.complete(rollout)
            elif order.state is rollouts.RolloutState.ROLLED_BACK:
                rollout.stop()
        self.known = True
        return added

    def remove(self, service: str, now: float) -> None:
        """Remove an order; that there was one of its target is kept."""
        rollout = self.rollouts.pop(service, None)
        if rollout is not None:
            self.restored.record_past(service, rollout.order.target, now)

    def enter_era(self, era: int, has_listing: bool, now: float) -> None:
        """Prepare for the first listing in an era; ``has_listing`` tells that there was one."""
        self.era = era
        if has_listing:
            self.restored.begin_era(now)

    def is_same_order(
        self, rollout: rollout_module.Rollout, order: rollouts.Order, complete: bool
    ) -> bool:
        """Return whether an object still holds the known order, perhaps with another status."""
        known = rollout.order
        if known.target != order.target or known.duration_seconds != order.duration_seconds:
            return False
        if order.state is not None:
            return True
        # The listing of a copy may lack the status.
        if rollout.era < self.era:
            return complete
        # An order that is written again has no status. The status of one that was decided before
        # the store was restored may not be written yet.
        was_decided = known.state is not None or (
            self.restored.entered and not complete and not rollout.active
        )
        return not (was_decided and order.revision > known.revision)

    def complete(self, rollout: rollout_module.Rollout) -> bool:
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
        endpoints = list(endpoints)
        listed = [item for item in endpoints if item.version and item.version != target]
        current = self.running.get(service, "")
        # Beside endpoints without a version, those that have one are new.
        if not current and any(not item.version for item in endpoints):
            return ""
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
        listed = list(listed)
        running = self.running_version(service, listed)
        rollout = self.rollouts.get(service)
        old = [item for item in endpoints if item.version in ("", running)]
        if rollout is None:
            return old or endpoints
        target = rollout.order.target
        has_others = any(item.version != target for item in listed)
        # An order for the version that runs already, of which nothing is to be moved.
        if rollout.active and running == target and endpoints and not has_others:
            self.complete(rollout)
        if rollout.completed:
            return rollout_choice.select_completed(rollout, endpoints)
        old = [item for item in old if item.version != target]
        new = [item for item in endpoints if item.version == target]
        others = [item for item in endpoints if item.version != target]
        if not rollout.active:
            return old or others or ([] if has_others else endpoints)
        rollout.old_incarnations.update(item.incarnation for item in others)
        rollout.has_old = bool(old)
        if not old:
            return new or others
        if not self.in_touch or now >= self.in_touch_until:
            return old
        rollout.new_count = len(new)
        if not rollout.is_draining(now):
            new = rollout_choice.choose_canaries(
                rollout,
                new,
                max(rollout_module.MIN_CANARIES, math.ceil(canary_share * len(old))),
                now,
            )
            rollout.canary_part = len(new) / (len(old) + len(new))
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

    def may_send(self, service: str, request_id: str, bounds: gateway.Bounds, now: float) -> bool:
        """Return whether a request may go to the new version."""
        rollout = self.rollouts.get(service)
        return (
            rollout is not None
            and rollout.active
            and rollout.is_in_phase(request_id, bounds.canary_share or 0.0, now)
            and rollout.may_send(bounds, self.gateway_count, now)
        )

    def allows(
        self, endpoint: gateway.Endpoint, selected: collections.abc.Sequence[gateway.Endpoint]
    ) -> bool:
        """Return whether a request that was placed may still be sent to its endpoint.

        ``selected`` are the endpoints of the service that requests may be placed at now.
        """
        rollout = self.rollouts.get(endpoint.service)
        if rollout is not None and rollout.completed:
            if endpoint.incarnation in rollout.old_incarnations:
                return False
        elif rollout is not None and rollout.stopped and not selected:
            return endpoint.version != rollout.order.target
        if not selected or any(item.version == endpoint.version for item in selected):
            return True
        return endpoint.version in ("", self.running.get(endpoint.service, ""))

    def active(self, service: str) -> rollout_module.Rollout | None:
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
            rollout.warm_at[endpoint.id] = now + rollout_module.WARM_SECONDS

    def record_end(
        self,
        endpoint: gateway.Endpoint,
        route: str,
        failed: bool,
        sent_at: float,
        now: float,
        broken: bool = False,
    ) -> None:
        """Count the end of a response; ``broken`` means that its connection may have broken."""
        if (rollout := self.active(endpoint.service)) is not None:
            rollout.record_end(endpoint, route, failed, broken, sent_at, now)

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
    ) -> rollout_module.Rollout | None:
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
        rollout.peer_affordable[sender[0]] = report.affordable_seconds
        if report.drain_seconds > 0.0:
            rollout.drain_until = max(rollout.drain_until, now + report.drain_seconds)
        if report.completed:
            return rollout if self.complete(rollout) else None
        return rollout if report.stopped and rollout.stop() else None

    def decide(
        self,
        rollout: rollout_module.Rollout,
        endpoints: collections.abc.Sequence[gateway.Endpoint],
        live_ids: list[str],
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
        if elapsed < rollout_module.DECIDE_FRACTION:
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
        verdict = rollout.judge(True, now)
        if verdict is rollout_evidence.Verdict.BAD:
            rollout.stop()
            return rollouts.RolloutState.ROLLED_BACK
        if verdict is not rollout_evidence.Verdict.GOOD:
            return rollouts.RolloutState.RUNNING
        if rollout.drain_until == -math.inf:
            rollout.drain_until = now
            if old_count and new_count >= old_count:
                rollout.drain_until += rollout.drain_seconds(live_ids, now)
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


def sum_of(by_route: dict[str, rollouts.RouteCounts]) -> int:
    """Return the sum of all counts."""
    return sum(counts.total for counts in by_route.values())
