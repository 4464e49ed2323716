"""Guards against tickets lost, doubled or starved when dispatcher sessions fail, over real gRPC."""

import asyncio
import unittest

from masticward.coordination import rendezvous, tickets
from masticward.models import work
from masticward.transport import channels
from tests.lib import dispatch_fleet


class DispatchSessionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.agents = [dispatch_fleet.AgentProcess(f"agent-{n}") for n in range(3)]
        self.view = dispatch_fleet.FakeView([agent.instance for agent in self.agents])
        for agent in self.agents:
            await agent.start(self.view)
            self.addAsyncCleanup(agent.stop)
        self.by_id = {agent.agent_id: agent for agent in self.agents}
        self.assigned: list[str] = []
        self.started: dict[str, int] = {}
        self.serve = True
        self.pool = channels.ChannelPool(dispatch_fleet.transport())
        self.exchange = tickets.DispatchTicketExchange(
            self.view, self.pool, "entry-1", 1, self.on_assign
        )
        await self.exchange.start()
        self.addAsyncCleanup(self.pool.close)
        self.addAsyncCleanup(self.exchange.close)

    def on_assign(self, assignment: work.Assignment) -> bool:
        self.assigned.append(assignment.ticket_id)
        if not self.serve:
            return False
        source = self.by_id[assignment.slot.agent_id].source
        if source.begin(assignment.ticket_id, "red", assignment.slot.id):
            self.started[assignment.ticket_id] = self.started.get(assignment.ticket_id, 0) + 1
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, source.end, assignment.ticket_id, 5.0)
        else:
            self.exchange.decline(assignment, slot_valid=False)
            self.exchange.submit(dispatch_fleet.ticket(assignment.ticket_id, "red", retried=True))
        return True

    def primary(self) -> dispatch_fleet.AgentProcess:
        ranked = rendezvous.rank(
            dispatch_fleet.SERVICE, self.view.agents_of(dispatch_fleet.SERVICE)
        )
        return self.by_id[ranked[0].id]

    async def test_every_ticket_is_assigned_once(self) -> None:
        for number in range(60):
            self.exchange.submit(dispatch_fleet.ticket(f"t{number}", "red"))
        self.assertTrue(await dispatch_fleet.wait_until(lambda: len(self.started) == 60))
        self.assertEqual([1] * 60, list(self.started.values()))
        ledger = self.primary().dispatcher.ledger
        self.assertTrue(await dispatch_fleet.wait_until(lambda: ledger.included_total == 300.0))

    async def test_standby_takes_over_without_losing_or_doubling_a_ticket(self) -> None:
        first = self.primary()
        for number in range(100):
            self.exchange.submit(dispatch_fleet.ticket(f"t{number}", "red"))
        await dispatch_fleet.wait_until(lambda: len(self.started) >= 20)
        await first.stop()
        self.assertTrue(await dispatch_fleet.wait_until(lambda: len(self.started) == 100))
        self.assertEqual({1}, set(self.started.values()))
        self.assertNotEqual(first.agent_id, self.exchange.dispatcher_of(dispatch_fleet.SERVICE))


if __name__ == "__main__":
    unittest.main()
