"""Guards against tickets that are lost, run twice or starved when dispatcher sessions fail.

The sessions run over real gRPC connections.
"""

import asyncio
import collections
import time
import typing
import unittest

import grpc.aio

from masticward.coordination import rendezvous, tickets
from masticward.models import work
from masticward.transport import channels
from masticward.wire import masticward_pb2, masticward_pb2_grpc
from tests.lib import dispatch_fleet

SERVICE = dispatch_fleet.SERVICE


class UnresponsiveServicer(masticward_pb2_grpc.DispatchServicer):
    """Accepts sessions and never answers, like a paused process."""

    async def EntrySession(self, request_iterator: object, context: typing.Any) -> None:  # noqa: N802
        await asyncio.sleep(30.0)

    async def AgentSession(self, request_iterator: object, context: typing.Any) -> None:  # noqa: N802
        await asyncio.sleep(30.0)


class SessionTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs an entry and agents in one process. Agents and entry may have different views."""

    async def start_fleet(self, count: int, limit: int = 2) -> None:
        self.agents = [dispatch_fleet.InProcessAgent(f"agent-{n}", limit) for n in range(count)]
        instances = [agent.instance for agent in self.agents]
        self.agent_view = dispatch_fleet.FakeView(instances)
        self.entry_view = dispatch_fleet.FakeView(instances)
        self.by_id = {agent.agent_id: agent for agent in self.agents}
        self.started: collections.Counter[str] = collections.Counter()
        self.service_seconds = 0.02
        self.declines_left = 0

    async def start_agent(
        self, agent: dispatch_fleet.InProcessAgent, **changes: typing.Any
    ) -> None:
        await agent.start(self.agent_view, **changes)
        self.addAsyncCleanup(agent.stop)

    async def start_agents(self) -> None:
        for agent in self.agents:
            await self.start_agent(agent)

    async def start_entry(self) -> None:
        self.pool = channels.ChannelPool(dispatch_fleet.transport())
        self.ticket_client = tickets.DispatcherTicketClient(
            self.entry_view, self.pool, "entry-1", 1, self.on_assign
        )
        await self.ticket_client.start()
        self.addAsyncCleanup(self.pool.close)
        self.addAsyncCleanup(self.ticket_client.close)

    def on_assign(self, assignment: work.Assignment) -> bool:
        """Run the ticket as the router does. Retry it if the agent refuses its slot."""
        if self.declines_left:
            self.declines_left -= 1
            self.submit(assignment.ticket_id)
            return False
        source = self.by_id[assignment.slot.agent_id].source
        if source.begin(assignment.ticket_id, "red", assignment.slot.id):
            self.started[assignment.ticket_id] += 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.service_seconds, source.end, assignment.ticket_id, 5.0)
        else:
            self.ticket_client.decline(assignment, slot_valid=False)
            self.submit(assignment.ticket_id, retried=True)
        return True

    def submit(self, *ticket_ids: str, **changes: object) -> None:
        for ticket_id in ticket_ids:
            self.ticket_client.submit(dispatch_fleet.ticket(ticket_id, "red", **changes))

    def ranked(self) -> list[dispatch_fleet.InProcessAgent]:
        instances = [agent.instance for agent in self.agents]
        return [self.by_id[item.id] for item in rendezvous.rank(SERVICE, instances)]

    async def assert_started_once(self, count: int) -> None:
        await dispatch_fleet.wait_until(lambda: len(self.started) == count)
        await asyncio.sleep(0.2)  # Time for an erroneous second assignment to arrive.
        self.assertEqual([1] * count, list(self.started.values()))


class SessionsTest(SessionTestCase):
    async def test_every_ticket_is_assigned_once_and_charged(self) -> None:
        await self.start_fleet(3)
        await self.start_agents()
        await self.start_entry()
        self.submit(*(f"t{number}" for number in range(60)))
        await self.assert_started_once(60)
        ledger = self.ranked()[0].dispatcher.ledger
        self.assertTrue(await dispatch_fleet.wait_until(lambda: ledger.included_total == 300.0))
        self.assertGreater(self.agents[0].source.one_way_delay_seconds, 0.0)

    async def test_declined_slots_are_assigned_to_other_tickets(self) -> None:
        await self.start_fleet(1, limit=1)
        await self.start_agents()
        await self.start_entry()
        self.declines_left = 3
        self.submit("t1", "t2")
        await self.assert_started_once(2)
        self.assertEqual(3, self.agents[0].dispatcher.declined_slots)

    async def test_idle_agent_keeps_usable_slots_and_reports_nothing(self) -> None:
        """Guards against slots that expire without replacement, and reports without changes."""
        await self.start_fleet(1)
        await self.start_agents()
        agent = self.agents[0]
        await dispatch_fleet.wait_until(lambda: agent.dispatcher.free_slots == 2)
        first = agent.source.next_slot
        sent = []
        link = agent.offers.primary.link
        link.report = sent.append
        await dispatch_fleet.wait_until(lambda: agent.source.next_slot >= first + 4)
        self.assertEqual([], sent)
        await self.start_entry()
        self.submit("t1", "t2")
        await self.assert_started_once(2)

    async def test_expired_slots_are_not_assigned(self) -> None:
        """Guards against assigning slots that the agent refuses because they have expired."""
        await self.start_fleet(1)
        await self.start_agents()
        agent = self.agents[0]
        await dispatch_fleet.wait_until(lambda: agent.dispatcher.free_slots == 2)
        agent.source.limit = 0
        await dispatch_fleet.wait_until(lambda: agent.dispatcher.free_slots == 0)
        await self.start_entry()
        self.submit("t1")
        await asyncio.sleep(0.3)
        self.assertEqual({}, dict(self.started))
        agent.source.limit = 1
        agent.source.changed.set()
        await self.assert_started_once(1)

    async def test_short_calls_are_not_delayed_by_timers(self) -> None:
        """Guards against offers or assignments that wait for a timer of 200 ms or 500 ms."""
        await self.start_fleet(1, limit=1)
        await self.start_agents()
        await self.start_entry()
        self.service_seconds = 0.0
        started_at = time.monotonic()
        for number in range(100):
            self.submit(f"t{number}")
            await dispatch_fleet.wait_until(lambda count=number: len(self.started) > count)
        self.assertLess(time.monotonic() - started_at, 100 * 0.1)

    async def test_withdrawn_ticket_is_not_assigned(self) -> None:
        await self.start_fleet(1, limit=1)
        await self.start_agents()
        await self.start_entry()
        self.submit("t1", "t2", "t3")
        self.ticket_client.withdraw("t2")
        await self.assert_started_once(2)
        self.assertEqual({"t1", "t3"}, set(self.started))

    async def test_retracted_agent_is_assigned_no_work(self) -> None:
        await self.start_fleet(2, limit=1)
        await self.start_agents()
        retracted = self.agents[0]
        dispatcher = self.ranked()[0].dispatcher
        await dispatch_fleet.wait_until(lambda: dispatcher.free_slots == 2)
        retracted.source.retracted = True
        retracted.source.changed.set()
        await dispatch_fleet.wait_until(lambda: dispatcher.free_slots == 1)
        await self.start_entry()
        self.submit(*(f"t{number}" for number in range(10)))
        await self.assert_started_once(10)
        self.assertEqual({}, retracted.source.counters)


class FailoverTest(SessionTestCase):
    async def test_failover_to_the_standby_starts_every_ticket_exactly_once(self) -> None:
        await self.start_fleet(3)
        await self.start_agents()
        await self.start_entry()
        self.submit(*(f"t{number}" for number in range(100)))
        await dispatch_fleet.wait_until(lambda: len(self.started) >= 20)
        first, second, _ = self.ranked()
        await first.stop()
        await self.assert_started_once(100)
        self.assertEqual(second.agent_id, self.ticket_client.dispatcher_of(SERVICE))

    async def test_standby_continues_the_virtual_times(self) -> None:
        """Guards against a standby that starts from zero or charges earlier service again."""
        await self.start_fleet(3)
        await self.start_agents()
        await self.start_entry()
        first, second, _ = self.ranked()
        self.submit(*(f"t{number}" for number in range(400)))
        await dispatch_fleet.wait_until(
            lambda: second.dispatcher.ledger.pending_snapshot is not None
        )
        await first.stop()
        await dispatch_fleet.wait_until(lambda: second.dispatcher.dispatch_total > 0)
        await self.assert_started_once(400)
        ledger = second.dispatcher.ledger
        provided = sum(agent.source.counters.get("red", 0.0) for agent in self.agents)
        # The stopped agent does not report the service it provided after its last report.
        unreported = first.source.counters.get("red", 0.0)
        await dispatch_fleet.wait_until(lambda: ledger.included_total >= provided - unreported)
        self.assertLessEqual(provided - unreported, ledger.included_total)
        self.assertLessEqual(ledger.included_total, provided)

    async def test_new_dispatcher_receives_the_snapshot_with_hello(self) -> None:
        """Guards against a newly started dispatcher that starts from zero.

        It never had a session with its predecessors, so agents must send it the snapshot.
        """
        await self.start_fleet(3)
        first, second, third = self.ranked()
        for agent in (second, third):
            await self.start_agent(agent)
        self.agent_view.suspect(first.agent_id)
        self.entry_view.suspect(first.agent_id)
        await self.start_entry()
        self.submit(*(f"t{number}" for number in range(100)))
        await dispatch_fleet.wait_until(lambda: third.offers.snapshot is not None)
        await self.start_agent(first)
        included = third.offers.snapshot.included_total
        for view in (self.agent_view, self.entry_view):
            view.suspected.clear()
            view.notify_subscribers()
        await self.assert_started_once(100)
        self.assertGreaterEqual(first.dispatcher.ledger.included_total, included)
        self.assertGreater(first.dispatcher.restoration_deadline, 0.0, "no snapshot adopted")

    async def test_slots_are_offered_to_the_standby_if_only_it_has_tickets(self) -> None:
        """Guards against slots that stay idle at a primary that the entries cannot reach."""
        await self.start_fleet(2)
        await self.start_agents()
        first, second = self.ranked()
        await dispatch_fleet.wait_until(lambda: first.dispatcher.free_slots == 4)
        self.entry_view.suspect(first.agent_id)
        await self.start_entry()
        self.submit(*(f"t{number}" for number in range(20)))
        await self.assert_started_once(20)
        self.assertEqual(second.agent_id, self.ticket_client.dispatcher_of(SERVICE))

    async def test_dispatcher_taken_out_of_service_returns_free_slots(self) -> None:
        """Guards against free slots that stay with a dispatcher whose zone is out of service.

        The new dispatcher then has no slots to assign until they expire, for up to 2 s, although
        work must continue in the other zones (P4).
        """
        await self.start_fleet(4)
        await self.start_agents()
        first, second, *_ = self.ranked()
        await dispatch_fleet.wait_until(lambda: first.dispatcher.free_slots == 8)
        # No slot expires within the test, so that slots are freed only when they are returned.
        for agent in self.agents:
            agent.source.slots = dict.fromkeys(agent.source.slots, time.monotonic() + 60.0)
        first.source.limit = 0
        self.agent_view.out_of_service.add(first.agent_id)
        self.agent_view.notify_subscribers()
        self.assertTrue(
            await dispatch_fleet.wait_until(lambda: second.dispatcher.free_slots == 6, 5.0)
        )
        self.assertEqual(0, first.dispatcher.free_slots)
        self.assertTrue(
            await dispatch_fleet.wait_until(lambda: not first.dispatcher.agent_peers()),
            "the agent sessions are still open",
        )

    async def test_unresponsive_dispatcher_is_replaced(self) -> None:
        """Guards against an entry or agent that waits forever for pongs of a dispatcher."""
        await self.start_fleet(2)
        first, second = self.ranked()
        masticward_pb2_grpc.add_DispatchServicer_to_server(UnresponsiveServicer(), first.server)
        await first.server.start()
        self.addAsyncCleanup(first.server.stop, None)
        await self.start_agent(second)
        await self.start_entry()
        self.submit("t1", "t2")
        await self.assert_started_once(2)
        self.assertIn(first.agent_id, self.entry_view.suspected)
        self.assertIn(first.agent_id, self.agent_view.suspected)

    async def test_session_is_kept_until_another_dispatcher_has_answered(self) -> None:
        """Guards against tickets that wait at a dispatcher that is new and unresponsive."""
        await self.start_fleet(3)
        first, *others = self.ranked()
        masticward_pb2_grpc.add_DispatchServicer_to_server(UnresponsiveServicer(), first.server)
        await first.server.start()
        self.addAsyncCleanup(first.server.stop, None)
        views = self.agent_view, self.entry_view
        for view in views:
            del view.agents[first.agent_id]
        for agent in others:
            await self.start_agent(agent)
        await self.start_entry()
        self.submit("t0")
        await self.assert_started_once(1)
        for view in views:
            view.agents[first.agent_id] = first.instance
            view.notify_subscribers()
        self.submit(*(f"t{number}" for number in range(1, 6)))
        await dispatch_fleet.wait_until(lambda: len(self.started) == 6)
        # Before the session with the unresponsive one fails after 1.5 s.
        self.assertNotIn(first.agent_id, self.entry_view.suspected)
        await self.assert_started_once(6)
        await dispatch_fleet.wait_until(lambda: first.agent_id in self.entry_view.suspected)
        self.assertEqual(others[0].agent_id, self.ticket_client.dispatcher_of(SERVICE))

    async def test_session_moves_once_another_dispatcher_has_answered(self) -> None:
        """Guards against sessions that stay apart, and against tickets lost between them."""
        await self.start_fleet(3)
        first, *_ = self.ranked()
        views = self.agent_view, self.entry_view
        for view in views:
            del view.agents[first.agent_id]
        await self.start_agents()
        await self.start_entry()
        self.submit(*(f"t{number}" for number in range(40)))
        for view in views:
            view.agents[first.agent_id] = first.instance
            view.notify_subscribers()
        await dispatch_fleet.wait_until(
            lambda: self.ticket_client.dispatcher_of(SERVICE) == first.agent_id
        )
        self.submit(*(f"t{number}" for number in range(40, 60)))
        await self.assert_started_once(60)

    async def test_session_is_kept_while_the_view_has_no_candidates(self) -> None:
        """Guards against a partitioned entry that ends a session that still works."""
        await self.start_fleet(1)
        await self.start_agents()
        await self.start_entry()
        self.submit("t1")
        await self.assert_started_once(1)
        self.entry_view.suspect(self.agents[0].agent_id)
        self.submit("t2")
        await self.assert_started_once(2)

    async def test_tickets_of_an_unresponsive_entry_are_dropped(self) -> None:
        """Guards against tickets of a paused entry that stay in the queue."""
        await self.start_fleet(1)
        await self.start_agents()
        agent = self.agents[0]
        agent.source.limit = 0
        pool = channels.ChannelPool(dispatch_fleet.transport())
        self.addAsyncCleanup(pool.close)
        stub = masticward_pb2_grpc.DispatchStub(pool.get(agent.instance.peer_address))
        call = stub.EntrySession(metadata=pool.transport.metadata)
        hello = masticward_pb2.EntryHello(entry_id="entry-9", service=SERVICE)
        await call.write(masticward_pb2.EntryMessage(hello=hello))
        ticket = masticward_pb2.Enqueue(ticket_id="t1", team="red", remaining_ms=60_000)
        await call.write(masticward_pb2.EntryMessage(enqueue=ticket))
        self.assertTrue(await dispatch_fleet.wait_until(lambda: agent.dispatcher.waiting == 1))
        self.assertTrue(await dispatch_fleet.wait_until(lambda: agent.dispatcher.waiting == 0))
        self.assertEqual(grpc.StatusCode.DEADLINE_EXCEEDED, await call.code())

    async def test_a_session_that_was_replaced_by_mistake_is_opened_anew(self) -> None:
        """Guards against tickets and slots of sessions that a paused dispatcher accepts late."""
        await self.start_fleet(1)
        await self.start_agents()
        agent = self.agents[0]
        agent.source.limit = 0
        await self.start_entry()
        self.submit("t1")
        self.assertTrue(await dispatch_fleet.wait_until(lambda: agent.dispatcher.waiting == 1))
        stub = masticward_pb2_grpc.DispatchStub(self.pool.get(agent.instance.peer_address))
        metadata = self.pool.transport.metadata
        entry_call = stub.EntrySession(metadata=metadata)
        hello = masticward_pb2.EntryHello(entry_id="entry-1", incarnation=1, service=SERVICE)
        await entry_call.write(masticward_pb2.EntryMessage(hello=hello))
        agent_call = stub.AgentSession(metadata=metadata)
        agent_peer = agent.dispatcher.agents[agent.agent_id].peer
        agent_hello = masticward_pb2.AgentHello(
            agent_id=agent.agent_id,
            incarnation=agent_peer.incarnation,
            service=SERVICE,
        )
        await agent_call.write(masticward_pb2.AgentMessage(hello=agent_hello))
        self.assertTrue(await dispatch_fleet.wait_until(lambda: agent.dispatcher.waiting == 0))
        self.assertTrue(
            await dispatch_fleet.wait_until(
                lambda: agent.dispatcher.agents[agent.agent_id].peer is not agent_peer
            )
        )
        entry_call.cancel()
        agent_call.cancel()
        views = self.entry_view, self.agent_view
        ended = await dispatch_fleet.wait_until(lambda: all(view.suspected for view in views))
        self.assertTrue(ended, "a session without effect goes on")
        for view in views:
            view.suspected.clear()
            view.notify_subscribers()
        agent.source.limit = 2
        agent.source.changed.set()
        await self.assert_started_once(1)

    async def test_session_for_another_service_is_refused(self) -> None:
        await self.start_fleet(1)
        await self.start_agents()
        pool = channels.ChannelPool(dispatch_fleet.transport())
        self.addAsyncCleanup(pool.close)
        stub = masticward_pb2_grpc.DispatchStub(pool.get(self.agents[0].instance.peer_address))
        call = stub.EntrySession(metadata=pool.transport.metadata)
        hello = masticward_pb2.EntryHello(entry_id="entry-9", service="booking")
        await call.write(masticward_pb2.EntryMessage(hello=hello))
        self.assertEqual(grpc.StatusCode.INVALID_ARGUMENT, await call.code())
        self.assertEqual({}, self.agents[0].dispatcher.entries)


if __name__ == "__main__":
    unittest.main()
