"""Guards against snapshots that change on the wire or crowd out other control traffic."""

import asyncio
import unittest

from masticward import settings
from masticward.coordination import dispatcher, rendezvous
from masticward.protocol import dispatch_role, dispatch_server, snapshots
from masticward.state import ledger
from masticward.wire import masticward_pb2
from tests.lib import dispatch_fleet


class SnapshotTest(unittest.IsolatedAsyncioTestCase):
    def test_survives_the_wire(self) -> None:
        teams = tuple(ledger.TeamTime(f"team-{n}", 1.5 * n, 2.0 + n) for n in range(3))
        included = (
            ledger.CounterEntry("agent-1", 2**60 + 1, "team-2", 7.25),
            ledger.CounterEntry("agent-1", 2**60 + 1, "team-0", 1e12),
            ledger.CounterEntry("agent-2", 5, "team-1", 3.0),
        )
        snapshot = ledger.Snapshot(
            system_virtual_time=1.25, teams=teams, included=included, included_total=99.5
        )
        wire = snapshots.to_wire(dispatch_fleet.SERVICE, snapshot).SerializeToString()
        self.assertEqual(snapshot, snapshots.from_wire(masticward_pb2.Snapshot.FromString(wire)))

    async def test_only_candidates_get_every_large_snapshot(self) -> None:
        """Fails if snapshots of many teams take more than an agent's control traffic."""
        agents = [dispatch_fleet.agent(f"agent-{n}") for n in range(5)]
        role = dispatcher.Dispatcher(
            dispatch_fleet.FakeView(agents),
            dispatch_fleet.SERVICE,
            settings.QueuePolicyName.FAIR_SHARE,
        )
        entry = dispatch_role.EntryPeer("entry-1", 1)
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
            report = dispatch_role.AgentReport(
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
