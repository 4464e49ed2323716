"""Guards against slots and cost reservations that are lost, reused or never released."""

import time
import unittest

from masticward import settings
from masticward.coordination import dispatcher as dispatcher_module
from masticward.models import work
from masticward.protocol import dispatch_handler
from tests.lib import dispatch_fleet


class DispatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = dispatch_fleet.FakeView(
            [dispatch_fleet.agent(f"agent-{number}") for number in (1, 2)]
        )
        self.dispatcher = dispatcher_module.Dispatcher(
            self.view, dispatch_fleet.SERVICE, settings.QueuePolicyName.FAIR_SHARE
        )
        self.entry = dispatch_handler.EntryPeer("entry-1", 1)
        self.dispatcher.open_entry(self.entry)

    def open_agent(self, agent_id: str, incarnation: int = 1) -> dispatch_handler.AgentPeer:
        peer = dispatch_fleet.agent_peer(agent_id, incarnation)
        self.assertTrue(self.dispatcher.open_agent(peer, None))
        return peer

    def offer(self, peer: dispatch_handler.AgentPeer, *slot_ids: int, seconds: float = 2.0) -> None:
        self.dispatcher.offer(peer, slot_ids, time.monotonic() + seconds)

    def enqueue(self, *ticket_ids: str, **changes: object) -> None:
        for ticket_id in ticket_ids:
            ticket = dispatch_fleet.ticket(ticket_id, "red", **changes)
            self.dispatcher.enqueue(self.entry, ticket)

    def take_assignments(self) -> list[work.Assignment]:
        found = []
        while not self.entry.outbox.empty():
            item = self.entry.outbox.get_nowait()
            assert isinstance(item, work.Assignment)
            found.append(item)
        return found

    def decline(self, assignment: work.Assignment, slot_valid: bool) -> None:
        self.dispatcher.decline(
            dispatch_handler.DeclinedSlot(
                ticket_id=assignment.ticket_id,
                agent_id=assignment.slot.agent_id,
                agent_incarnation=assignment.slot.agent_incarnation,
                slot_id=assignment.slot.id,
                slot_valid=slot_valid,
            )
        )

    def reserved_cost(self) -> float:
        return self.dispatcher.ledger.account_of("red").reserved

    def test_declined_valid_slot_is_assigned_to_the_next_ticket(self) -> None:
        peer = self.open_agent("agent-1")
        self.enqueue("t1", "t2")
        self.offer(peer, 7)
        first = self.take_assignments()[0]
        self.decline(first, slot_valid=True)
        second = self.take_assignments()[0]
        self.assertEqual(("t1", 7, "t2", 7), (*ticket_and_slot(first), *ticket_and_slot(second)))
        self.decline(first, slot_valid=True)
        self.assertEqual(0, self.dispatcher.free_slots, "a slot was freed twice")

    def test_declined_invalid_slot_is_discarded(self) -> None:
        peer = self.open_agent("agent-1")
        self.enqueue("t1", "t2")
        self.offer(peer, 7)
        self.decline(self.take_assignments()[0], slot_valid=False)
        self.assertEqual([], self.take_assignments())
        self.assertEqual((0, 0.0), (self.dispatcher.free_slots, self.reserved_cost()))

    def test_slot_close_to_its_deadline_is_returned_and_not_assigned(self) -> None:
        peer = self.open_agent("agent-1")
        self.offer(peer, 7, seconds=0.4)
        self.enqueue("t1")
        self.assertEqual([], self.take_assignments())
        returned = peer.outbox.get_nowait().returned
        self.assertEqual([7], list(returned.slot_ids))

    def test_ticket_past_its_deadline_gets_no_slot(self) -> None:
        peer = self.open_agent("agent-1")
        self.enqueue("late", deadline=time.monotonic() - 0.001)
        self.enqueue("t1")
        self.offer(peer, 7)
        self.assertEqual([("t1", 7)], [ticket_and_slot(item) for item in self.take_assignments()])

    def test_unavailable_agent_keeps_its_slots_until_available_again(self) -> None:
        for unavailable in (self.view.out_of_service, self.view.leaving, self.view.suspected):
            with self.subTest(unavailable=unavailable):
                peer = self.open_agent("agent-1")
                unavailable.add("agent-1")
                self.dispatcher.tick()
                self.enqueue("t1")
                self.offer(peer, 7)
                self.assertEqual([], self.take_assignments())
                unavailable.clear()
                self.dispatcher.tick()
                self.assertEqual(
                    [("t1", 7)], [ticket_and_slot(item) for item in self.take_assignments()]
                )

    def test_slots_are_spread_over_agents(self) -> None:
        for agent_id in ("agent-1", "agent-2"):
            self.offer(self.open_agent(agent_id), 1, 2, 3)
        self.enqueue("t1", "t2", "t3", "t4")
        agents = [item.slot.agent_id for item in self.take_assignments()]
        self.assertEqual([2, 2], [agents.count("agent-1"), agents.count("agent-2")])

    def test_closed_agent_session_ends_reservations_and_drops_slots(self) -> None:
        peer = self.open_agent("agent-1")
        self.offer(peer, 1, 2)
        self.enqueue("t1")
        self.assertGreater(self.reserved_cost(), 0.0)
        self.dispatcher.close_agent(peer)
        self.assertEqual((0.0, 0), (self.reserved_cost(), self.dispatcher.free_slots))
        self.enqueue("t2")
        self.assertEqual(["t1"], [item.ticket_id for item in self.take_assignments()])

    def test_closed_entry_session_drops_tickets_and_frees_slots_of_unsent_assignments(self) -> None:
        peer = self.open_agent("agent-1")
        self.offer(peer, 7)
        self.enqueue("t1", "t2")
        self.dispatcher.close_entry(self.entry)
        self.assertEqual((0, 1), (self.dispatcher.waiting, self.dispatcher.free_slots))
        self.assertEqual(0, len(self.dispatcher.ledger.active))
        self.dispatcher.retract(peer)
        self.enqueue("t3")
        self.dispatcher.close_entry(self.entry)
        self.assertEqual(0, self.dispatcher.waiting)
        self.assertEqual(0.0, self.reserved_cost())

    def test_closing_a_replaced_agent_session_keeps_the_new_one(self) -> None:
        old = self.open_agent("agent-1")
        new = self.open_agent("agent-1", incarnation=2)
        self.dispatcher.close_agent(old)
        self.offer(old, 1)
        self.offer(new, 2)
        self.enqueue("t1", "t2")
        self.assertEqual([("t1", 2)], [ticket_and_slot(item) for item in self.take_assignments()])
        self.assertFalse(self.dispatcher.open_agent(old, None), "accepted an old incarnation")

    def test_a_late_session_of_an_earlier_entry_process_drops_no_ticket(self) -> None:
        """Guards against tickets that no dispatcher holds, which wait until their deadline."""
        restarted = dispatch_handler.EntryPeer("entry-1", 2)
        self.dispatcher.open_entry(restarted)
        self.dispatcher.enqueue(restarted, dispatch_fleet.ticket("t1", "red"))
        late = dispatch_handler.EntryPeer("entry-1", 1)
        accepted = self.dispatcher.open_entry(late)
        self.dispatcher.close_entry(late)
        self.assertEqual((False, 1), (accepted, self.dispatcher.waiting))
        self.offer(self.open_agent("agent-1"), 7)
        self.assertEqual("t1", restarted.outbox.get_nowait().ticket_id)

    def test_slot_of_a_ticket_cancelled_after_assignment_is_freed_by_the_decline(self) -> None:
        peer = self.open_agent("agent-1")
        self.offer(peer, 7)
        self.enqueue("t1")
        self.dispatcher.cancel(self.entry, "t1")
        self.assertEqual(0, self.dispatcher.free_slots)
        self.decline(self.take_assignments()[0], slot_valid=True)
        self.assertEqual((1, 0.0), (self.dispatcher.free_slots, self.reserved_cost()))

    def test_assignment_that_never_reaches_its_agent_is_ended(self) -> None:
        """Guards against reservations that are never released after an entry crashes.

        The entry crashes after it was assigned a slot, so that its agent never reports the ticket.
        """
        peer = self.open_agent("agent-1")
        self.offer(peer, 1, 2)
        self.enqueue("t1", "t2")
        report = dispatch_handler.AgentReport(
            counters={}, progress={"t2": 0.0}, finished={}, running=1, staged=0, limit=2
        )
        self.dispatcher.report(peer, report)
        for dispatched in self.dispatcher.dispatched.values():
            dispatched.start_deadline = time.monotonic() - 1.0
        self.dispatcher.tick()
        self.assertEqual(["t2"], list(self.dispatcher.dispatched))

    def test_retried_ticket_is_assigned_before_others_of_its_team(self) -> None:
        self.enqueue("t1")
        self.enqueue("t2", retried=True)
        self.offer(self.open_agent("agent-1"), 7)
        self.assertEqual([("t2", 7)], [ticket_and_slot(item) for item in self.take_assignments()])

    def test_equal_split_by_entry_alternates_between_entries(self) -> None:
        self.dispatcher = dispatcher_module.Dispatcher(
            self.view, dispatch_fleet.SERVICE, settings.QueuePolicyName.EQUAL_SPLIT_BY_ENTRY
        )
        self.dispatcher.open_entry(self.entry)
        self.enqueue("a1", "a2", "a3", entry_id="entry-1")
        self.enqueue("b1", "b2", entry_id="entry-2")
        self.offer(self.open_agent("agent-1"), 1, 2, 3, 4)
        names = [item.ticket_id for item in self.take_assignments()]
        self.assertEqual(["a1", "b1", "a2", "b2"], names)


def ticket_and_slot(assignment: work.Assignment) -> tuple[str, int]:
    return assignment.ticket_id, assignment.slot.id


if __name__ == "__main__":
    unittest.main()
