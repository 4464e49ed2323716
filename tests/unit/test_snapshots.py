"""Guards against snapshots that are corrupted in transit or use too much control traffic."""

import asyncio
import random
import types
import unittest
import unittest.mock

from masticward import errors, settings
from masticward.coordination import dispatcher, offers, rendezvous
from masticward.protocol import dispatch_handler, dispatch_server, snapshots
from masticward.state import ledger
from masticward.wire import masticward_pb2
from tests.lib import dispatch_fleet


def apply_from_wire(
    receiver: snapshots.SnapshotReceiver, message: masticward_pb2.DispatcherToAgent
) -> bool:
    wire = message.SerializeToString()
    return receiver.apply(masticward_pb2.DispatcherToAgent.FromString(wire).snapshot)


def content(snapshot: ledger.Snapshot) -> tuple[object, ...]:
    """Return the content of a snapshot without the order of its entries."""
    return (
        snapshot.system_virtual_time,
        snapshot.included_total,
        set(snapshot.teams),
        set(snapshot.included),
    )


def random_snapshot(rng: random.Random, serial: int) -> ledger.Snapshot:
    """Return a snapshot with random teams, agents and agent incarnations."""
    teams = sorted(rng.sample([f"team-{n}" for n in range(8)], rng.randint(0, 8)))
    agents = [(f"agent-{n}", rng.choice((7, 8))) for n in range(4) if rng.random() < 0.8]
    return ledger.Snapshot(
        system_virtual_time=float(serial),
        teams=tuple(
            ledger.TeamVirtualTime(team, float(rng.randint(0, 3)), float(rng.randint(0, 2)))
            for team in teams
        ),
        included=tuple(
            ledger.IncludedCounter(agent_id, incarnation, team, float(rng.randint(1, 3)))
            for agent_id, incarnation in agents
            for team in teams
            if rng.random() < 0.6
        ),
        included_total=float(rng.randint(0, 9)),
    )


class PartialSnapshotTest(unittest.IsolatedAsyncioTestCase):
    def test_partial_snapshots_reproduce_the_full_snapshot(self) -> None:
        """Guards against lost changes, and removed teams or agents that return with old values."""
        rng = random.Random(5)
        with unittest.mock.patch.object(snapshots, "MAXIMUM_STALE_NUMBERS", 6):
            writer = snapshots.SnapshotWriter(dispatch_fleet.SERVICE)
            receivers = {period: snapshots.SnapshotReceiver() for period in (1, 2, 5, 20)}
            partial = 0
            for serial in range(1, 600):
                snapshot = random_snapshot(rng, serial)
                writer.add(snapshot)
                for period, receiver in receivers.items():
                    if serial % period == 0:
                        message = writer.message_since(receiver.sequence)
                        partial += message.snapshot.base_sequence > 0
                        self.assertTrue(apply_from_wire(receiver, message))
                        self.assertEqual(content(snapshot), content(receiver.snapshot()))
            self.assertGreater(partial, 300)

    def test_receiver_without_the_base_waits_for_a_full_snapshot(self) -> None:
        rng = random.Random(6)
        writer = snapshots.SnapshotWriter(dispatch_fleet.SERVICE)
        receiver = snapshots.SnapshotReceiver()
        first, second, third = (random_snapshot(rng, serial) for serial in (1, 2, 3))
        writer.add(first)
        self.assertTrue(apply_from_wire(receiver, writer.message_since(0)))
        writer.add(second)
        writer.add(third)
        self.assertFalse(apply_from_wire(receiver, writer.message_since(2)))
        self.assertFalse(apply_from_wire(snapshots.SnapshotReceiver(), writer.message_since(1)))
        self.assertEqual(content(first), content(receiver.snapshot()))
        self.assertTrue(apply_from_wire(receiver, writer.message_since(0)))
        self.assertEqual(content(third), content(receiver.snapshot()))

    def test_unknown_team_number_raises_and_requires_a_full_snapshot(self) -> None:
        """Guards against an invalid change that stops the session task or is partly applied.

        The error must be one that the session handles by reconnecting.
        """
        writer = snapshots.SnapshotWriter(dispatch_fleet.SERVICE)
        writer.add(random_snapshot(random.Random(1), 1))
        receiver = snapshots.SnapshotReceiver()
        receiver.apply(writer.message_since(0).snapshot)
        damaged = masticward_pb2.Snapshot(sequence=2, base_sequence=1)
        damaged.changes.removed_teams.append(10_000)
        with self.assertRaises(errors.SessionMessageError):
            receiver.apply(damaged)
        self.assertFalse(receiver.apply(masticward_pb2.Snapshot(sequence=3, base_sequence=1)))
        self.assertTrue(receiver.apply(writer.message_since(0).snapshot))

    def test_agent_receives_changes_and_periodically_a_full_snapshot(self) -> None:
        """Guards against full snapshots to agents that have the base, and against their absence.

        An agent without the base needs a full snapshot. Changes must not repeat names or unchanged
        totals.
        """
        writer = snapshots.SnapshotWriter(dispatch_fleet.SERVICE)
        peer = dispatch_fleet.agent_peer("agent-1")
        sizes, bases = [], []
        for serial in range(1, 8):
            writer.add(
                ledger.Snapshot(
                    system_virtual_time=float(serial),
                    teams=tuple(ledger.TeamVirtualTime(f"team-{n}", 1.0, 2.0) for n in range(50)),
                    included=tuple(
                        ledger.IncludedCounter("agent-1", 1, f"team-{n}", 3.0) for n in range(50)
                    ),
                    included_total=float(serial),
                )
            )
            dispatch_server.send_snapshot(peer, writer, now=100.0 + serial)
            message = peer.outbox.get_nowait().snapshot
            sizes.append(message.ByteSize())
            bases.append(message.base_sequence)
        self.assertEqual([0, 1, 2, 3, 4, 0, 6], bases)
        self.assertLess(max(sizes[1:5]), 50)

    async def test_local_dispatcher_receives_a_full_snapshot_when_the_sender_changes(self) -> None:
        """Guards against a standby without the snapshots that were sent before its session began.

        It would have to apply changes without the snapshot that they are based on.
        """
        agents = [dispatch_fleet.agent(f"agent-{n}") for n in range(3)]
        first, own, third = rendezvous.rank(dispatch_fleet.SERVICE, agents)
        loop = offers.OfferLoop(
            dispatch_fleet.FakeView(agents), None, dispatch_fleet.FakeSlotSource(1), own, 1
        )
        forwarded: list[masticward_pb2.Snapshot] = []
        session = offers.DispatcherSession(loop, own)
        session.link = types.SimpleNamespace(forward_snapshot=forwarded.append)
        loop.sessions = {("own", ""): session}
        rng = random.Random(7)
        at_standby = snapshots.SnapshotReceiver()
        for sender in (
            offers.DispatcherSession(loop, first),
            offers.DispatcherSession(loop, third),
        ):
            writer = snapshots.SnapshotWriter(dispatch_fleet.SERVICE)
            for serial in range(1, 6):
                newest = random_snapshot(rng, serial)
                newest = ledger.Snapshot(
                    system_virtual_time=1.0,
                    teams=newest.teams,
                    included=newest.included,
                    included_total=float(len(forwarded)),
                )
                writer.add(newest)
                message = writer.message_since(sender.snapshot_receiver.sequence)
                if serial == 3:
                    session.forwarded = None  # As after a reconnect.
                    at_standby = snapshots.SnapshotReceiver()
                sender.on_snapshot(message.snapshot)
                self.assertTrue(at_standby.apply(forwarded[-1]))
                self.assertEqual(content(newest), content(at_standby.snapshot()))
        partial = [message.base_sequence > 0 for message in forwarded]
        self.assertEqual([False, True, False, True, True] * 2, partial)


class SnapshotTest(unittest.IsolatedAsyncioTestCase):
    def test_round_trip_through_protobuf_preserves_the_snapshot(self) -> None:
        teams = tuple(ledger.TeamVirtualTime(f"team-{n}", 1.5 * n, 2.0 + n) for n in range(3))
        included = (
            ledger.IncludedCounter("agent-1", 2**60 + 1, "team-2", 7.25),
            ledger.IncludedCounter("agent-1", 2**60 + 1, "team-0", 1e12),
            ledger.IncludedCounter("agent-2", 5, "team-1", 3.0),
        )
        snapshot = ledger.Snapshot(
            system_virtual_time=1.25, teams=teams, included=included, included_total=99.5
        )
        wire = snapshots.to_wire(dispatch_fleet.SERVICE, snapshot).SerializeToString()
        self.assertEqual(snapshot, snapshots.from_wire(masticward_pb2.Snapshot.FromString(wire)))

    async def test_only_candidates_receive_every_large_snapshot(self) -> None:
        """Guards against snapshots of many teams that exceed an agent's control traffic budget."""
        agents = [dispatch_fleet.agent(f"agent-{n}") for n in range(5)]
        role = dispatcher.Dispatcher(
            dispatch_fleet.FakeView(agents),
            dispatch_fleet.SERVICE,
            settings.QueuePolicyName.FAIR_SHARE,
        )
        entry = dispatch_handler.EntryPeer("entry-1", 1)
        role.open_entry(entry)
        for number in range(500):
            role.enqueue(entry, dispatch_fleet.ticket(f"t{number}", f"team-{number}"))
        peers = {agent.id: dispatch_fleet.agent_peer(agent.id) for agent in agents}
        for peer in peers.values():
            role.open_agent(peer, None)
        sender = asyncio.create_task(dispatch_server.DispatchServicer(role).send_snapshots())
        self.addCleanup(sender.cancel)
        ranked = [agent.id for agent in rendezvous.rank(dispatch_fleet.SERVICE, agents)]
        for total in range(1, 400):
            if peers[ranked[2]].outbox.qsize() >= 3:
                break
            report = dispatch_handler.AgentReport(
                counters={"team-1": float(total)},
                progress={},
                finished={},
                running=0,
                staged=0,
                limit=1,
            )
            role.report(peers[ranked[0]], report)
            await asyncio.sleep(0.05)
        counts = [peers[agent_id].outbox.qsize() for agent_id in ranked]
        self.assertEqual([3, 3, 3, 1, 1], counts)


if __name__ == "__main__":
    unittest.main()
