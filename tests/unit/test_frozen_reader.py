"""Guards against an endpoint that has left and is used again after a gateway stood still.

The pattern (review/4): a gateway that reads the store is frozen for 3.5 s while an endpoint leaves,
takes its own time-outs for an outage of the store, and the others adopt what it lists.
"""

import unittest
import unittest.mock

from masticward import errors
from masticward.gateway import followers, snapshots, sources
from masticward.utils import clocks
from tests.lib import gateway_builders as builders

FREEZE_SECONDS = 3.5
TICK_SECONDS = 0.02


class ClockCase(unittest.TestCase):
    """Sets the clock by ``now``."""

    def setUp(self) -> None:
        self.now = 1000.0
        patcher = unittest.mock.patch.object(clocks, "boot_time", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)


class FrozenReaderTest(ClockCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = builders.make_fleet(
            builders.make_endpoint("e1"), builders.make_endpoint("e2"), now=self.now
        )
        self.follower = followers.Follower(
            builders.UnusedStore(), self.fleet, sources.ObjectKind.ENDPOINTS
        )
        self.follower.record_response()

    def run_for(self, seconds: float) -> None:
        """Let time pass while the process runs."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            self.fleet.pauses.tick(self.now)

    def fail_call(self, detail: str) -> None:
        self.follower.record_failure(errors.StoreUnavailableError("/objects", detail))

    def respond_without_e1(self) -> None:
        """The store responds, and e1 is gone."""
        self.follower.record_response()
        removed = sources.StoredObject("e1", None, removed=True)
        self.follower.apply_listing(sources.Listing((removed,), 9, False), self.now)

    def usable(self) -> list[str]:
        return [item.id for item in self.fleet.table.usable("llm", self.now)]

    def test_a_removal_during_a_freeze_counts_at_once(self) -> None:
        self.run_for(1.0)
        self.now += FREEZE_SECONDS
        self.fail_call("the watch timed out")
        self.run_for(0.2)
        self.respond_without_e1()
        self.assertEqual(["e2"], self.usable())

    def test_a_call_that_failed_before_the_freeze_makes_no_outage(self) -> None:
        self.run_for(0.5)
        self.fail_call("one call was lost")
        self.run_for(0.1)
        self.now += FREEZE_SECONDS
        self.run_for(0.1)
        self.respond_without_e1()
        self.assertEqual(["e2"], self.usable())

    def test_endpoints_stay_usable_after_an_outage_that_the_process_saw(self) -> None:
        self.fail_call("the store is down")
        self.run_for(FREEZE_SECONDS)
        self.respond_without_e1()
        self.assertEqual(["e1", "e2"], self.usable())
        self.run_for(2.1)
        self.fleet.drop_expired_endpoints()
        self.assertEqual(["e2"], self.usable())

    def test_an_outage_before_a_freeze_still_counts(self) -> None:
        self.fail_call("the store is down")
        self.run_for(2.5)
        self.now += FREEZE_SECONDS
        self.run_for(0.1)
        self.respond_without_e1()
        self.assertEqual(["e1", "e2"], self.usable())


class SnapshotOfMissingEndpointsTest(ClockCase):
    """A peer's snapshot holds e1 and e2; it keeps e1 for a grace period only."""

    def setUp(self) -> None:
        super().setUp()
        peer = builders.make_fleet(
            builders.make_endpoint("e1"), builders.make_endpoint("e2"), now=self.now
        )
        peer.table.start_relist_grace(self.now)
        peer.apply_endpoints([("e1", None)], False)
        peer.revisions[sources.ObjectKind.ENDPOINTS] = sources.Position(0, 20)
        snapshot = snapshots.build_snapshot(peer)
        assert snapshot is not None
        self.snapshot = snapshot

    def usable_after_snapshot(self, fleet: snapshots.fleet_module.FleetState) -> list[str]:
        fleet.revisions[sources.ObjectKind.ENDPOINTS] = sources.Position(0, 19)
        snapshots.apply_snapshot(fleet, self.snapshot, self.now, "g2")
        return [item.id for item in fleet.table.usable("llm", self.now)]

    def test_an_endpoint_that_is_gone_is_not_brought_back(self) -> None:
        fleet = builders.make_fleet(builders.make_endpoint("e2"), now=self.now)
        self.assertEqual(["e2"], self.usable_after_snapshot(fleet))

    def test_a_draining_endpoint_does_not_become_usable_again(self) -> None:
        draining = builders.make_endpoint("e1", draining=True)
        fleet = builders.make_fleet(draining, builders.make_endpoint("e2"), now=self.now)
        self.assertEqual(["e2"], self.usable_after_snapshot(fleet))

    def test_an_earlier_incarnation_does_not_replace_the_later_one(self) -> None:
        reborn = builders.make_endpoint("e1", born=7)
        fleet = builders.make_fleet(reborn, builders.make_endpoint("e2"), now=self.now)
        self.assertEqual(["e2"], self.usable_after_snapshot(fleet))

    def test_an_endpoint_that_was_still_listed_is_kept_for_the_grace_period(self) -> None:
        fleet = builders.make_fleet(
            builders.make_endpoint("e1"), builders.make_endpoint("e2"), now=self.now
        )
        self.assertEqual(["e1", "e2"], self.usable_after_snapshot(fleet))
        self.now += 2.1
        self.assertEqual(["e2"], [item.id for item in fleet.table.usable("llm", self.now)])

    def test_a_gateway_that_starts_takes_what_its_peer_keeps(self) -> None:
        fleet = snapshots.fleet_module.FleetState(builders.make_settings())
        self.assertEqual(["e1", "e2"], self.usable_after_snapshot(fleet))
