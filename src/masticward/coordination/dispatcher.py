"""The dispatcher of a service: assigns agent slots to the tickets that entries queue."""

import asyncio
import collections
import time
import typing

import sortedcontainers

from masticward import events, logs, settings
from masticward.coordination import fleet_view, rendezvous
from masticward.models import work
from masticward.protocol import dispatch_handler
from masticward.state import fair_queue, ledger
from masticward.utils import tasks

LOG = logs.get_logger(__name__)
# Slots closer to their deadline than this are not assigned, because the assignment still has to
# reach the entry, and the attempt the agent, before the slot expires.
SLOT_EXPIRY_MARGIN_SECONDS = 0.5
# A dispatched ticket that its agent does not report within this time after the slot's deadline is
# assumed never to have reached the agent. Agents report staged runs only once they start, so this
# exceeds the longest time that a run is staged.
START_REPORT_GRACE_SECONDS = 3.0
# After a snapshot is adopted, entries need up to a session timeout to queue their tickets again.
RESTORATION_SECONDS = 3.0
TICK_INTERVAL_SECONDS = 0.1
CANDIDATE_COUNT = 3
# Used while the configuration does not contain the service.
DEFAULT_MAXIMUM_COST = 10_000.0


class AgentSlots:
    """The slots and dispatched tickets of one agent session. Deadlines are monotonic seconds."""

    __slots__ = (
        "assigned",
        "counted_free",
        "free",
        "last_dispatch",
        "limit",
        "peer",
        "position",
        "reported_load",
        "tickets",
    )

    def __init__(self, peer: dispatch_handler.AgentPeer) -> None:
        self.peer = peer
        # Pairs of deadline and slot id, earliest deadline first.
        self.free: collections.deque[tuple[float, int]] = collections.deque()
        # Deadline and ticket id of each assigned slot that has not expired, by slot id.
        self.assigned: dict[int, tuple[float, str]] = {}
        self.tickets: set[str] = set()
        self.limit = 1
        self.reported_load = 0
        # Number of the latest dispatch to this agent. Between equal loads the lowest goes first.
        self.last_dispatch = 0
        # How many of the free slots are included in the dispatcher's ``free_slot_count``.
        self.counted_free = 0
        # The agent's item in the dispatcher's ``agent_order``, None if it is not in it.
        self.position: tuple[float, int, str] | None = None

    @property
    def load(self) -> float:
        """The number of dispatched tickets as a fraction of the agent's admission limit."""
        return len(self.tickets) / self.limit


class DispatchedTicket:
    """A ticket that has been assigned a slot and has not finished."""

    __slots__ = ("agent", "entry", "slot_id", "start_deadline")

    def __init__(
        self,
        entry: dispatch_handler.EntryPeer,
        agent: AgentSlots,
        slot_id: int,
        start_deadline: float,
    ) -> None:
        self.entry = entry
        self.agent = agent
        self.slot_id = slot_id
        self.start_deadline = start_deadline


class Dispatcher(dispatch_handler.DispatchHandler):
    """The dispatcher of one service.

    All state is in memory and is rebuilt from sessions and snapshots after a failover. Calls from
    sessions never block.
    """

    def __init__(
        self,
        view: fleet_view.FleetView,
        service: str,
        policy_name: settings.QueuePolicyName,
    ) -> None:
        self.view = view
        self.service = service
        self.ledger = ledger.VirtualTimeLedger(self.read_parameters())
        policy = fair_queue.create_policy(policy_name, self.ledger)
        self.queue = fair_queue.FairQueue(policy, self.ledger)
        self.entries: dict[str, dispatch_handler.EntryPeer] = {}
        # The session that queued each waiting ticket, by ticket id.
        self.ticket_entries: dict[str, dispatch_handler.EntryPeer] = {}
        self.agents: dict[str, AgentSlots] = {}
        # Load, latest dispatch and id of each agent that has free slots, in the order of choice.
        self.agent_order: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.available: frozenset[str] = frozenset()
        self.dispatched: dict[str, DispatchedTicket] = {}
        # The dispatched tickets that their agents have not reported yet.
        self.unstarted: dict[str, DispatchedTicket] = {}
        self.dispatched_by_team: collections.Counter[str] = collections.Counter()
        self.dispatch_total = 0
        self.restoration_deadline = 0.0
        self.snapshot_state: tuple[float, int] = (0.0, 0)
        self.expired_tickets = 0
        self.declined_slots = 0
        self.free_slot_count = 0
        self.configuration = view.configuration
        self.background = tasks.TaskGroup()
        view.subscribe(self.on_view_change)
        self.refresh_available()

    async def start(self) -> None:
        """Start the periodic task that discards expired slots and tickets."""
        self.background.spawn(self.tick_periodically(), "dispatcher-tick")

    async def close(self) -> None:
        """Stop the periodic task. Sessions are closed by the gRPC server."""
        await self.background.cancel()

    async def tick_periodically(self) -> None:
        """Call ``tick`` every 100 ms."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            self.tick()

    # Entry sessions

    def open_entry(self, peer: dispatch_handler.EntryPeer) -> bool:
        """Register an entry's session. Replaces an earlier session of the same entry.

        Returns False if a later incarnation of the entry already has a session.
        """
        previous = self.entries.get(peer.entry_id)
        if previous is not None:
            if previous.incarnation > peer.incarnation:
                return False
            self.close_entry(previous)
            previous.replaced = True
        self.entries[peer.entry_id] = peer
        return True

    def close_entry(self, peer: dispatch_handler.EntryPeer) -> None:
        """Drop the session's waiting tickets and free the slots of its unsent assignments."""
        if self.entries.get(peer.entry_id) is peer:
            del self.entries[peer.entry_id]
        for ticket_id in list(peer.tickets):
            self.queue.remove(ticket_id)
            self.detach_ticket(ticket_id)
        while not peer.outbox.empty():
            item = peer.outbox.get_nowait()
            if isinstance(item, work.Assignment):
                self.release_undelivered(item)
        self.match()

    def enqueue(self, peer: dispatch_handler.EntryPeer, ticket: work.Ticket) -> None:
        """Queue a ticket. If the ticket was dispatched before, that dispatch is ended."""
        self.end_dispatch(ticket.id)
        previous = self.ticket_entries.get(ticket.id)
        if previous is not None and previous is not peer:
            self.queue.remove(ticket.id)
            self.detach_ticket(ticket.id)
        pending_snapshot = self.ledger.pending_snapshot
        if self.queue.add(ticket):
            if pending_snapshot is not None and self.ledger.pending_snapshot is None:
                self.begin_restoration(pending_snapshot)
            self.ticket_entries[ticket.id] = peer
            peer.tickets.add(ticket.id)
            self.match()

    def cancel(self, peer: dispatch_handler.EntryPeer, ticket_id: str) -> None:
        """Remove a waiting ticket of this session.

        A ticket that is already assigned is left alone: the entry declines its assignment.
        """
        if self.ticket_entries.get(ticket_id) is peer:
            self.queue.remove(ticket_id)
            self.detach_ticket(ticket_id)

    def decline(self, declined: dispatch_handler.DeclinedSlot) -> None:
        """End the dispatch of a declined assignment, and free its slot if it is still valid."""
        self.declined_slots += 1
        agent = self.agents.get(declined.agent_id)
        if agent is None or agent.peer.incarnation != declined.agent_incarnation:
            return
        dispatched = self.dispatched.get(declined.ticket_id)
        if dispatched is not None and dispatched.slot_id == declined.slot_id:
            self.end_dispatch(declined.ticket_id)
        deadline, ticket_id = agent.assigned.get(declined.slot_id, (0.0, ""))
        if ticket_id != declined.ticket_id:
            return
        del agent.assigned[declined.slot_id]
        if declined.slot_valid:
            agent.free.appendleft((deadline, declined.slot_id))
            self.update_position(agent)
            self.match()

    def release_undelivered(self, assignment: work.Assignment) -> None:
        """Free the slot of an assignment that was not sent to its entry."""
        self.decline(
            dispatch_handler.DeclinedSlot(
                ticket_id=assignment.ticket_id,
                agent_id=assignment.slot.agent_id,
                agent_incarnation=assignment.slot.agent_incarnation,
                slot_id=assignment.slot.id,
                slot_valid=True,
            )
        )

    def detach_ticket(self, ticket_id: str) -> None:
        """Remove the association between a ticket and its entry session."""
        peer = self.ticket_entries.pop(ticket_id, None)
        if peer is not None:
            peer.tickets.discard(ticket_id)

    # Agent sessions

    def open_agent(
        self, peer: dispatch_handler.AgentPeer, snapshot: ledger.Snapshot | None
    ) -> bool:
        """Register an agent's session. Replaces an earlier session of the same agent.

        Returns False if a later incarnation of the agent already has a session.
        """
        previous = self.agents.get(peer.agent_id)
        if previous is not None:
            if previous.peer.incarnation > peer.incarnation:
                return False
            self.close_agent(previous.peer)
            previous.peer.replaced = True
        self.agents[peer.agent_id] = AgentSlots(peer)
        if snapshot is not None:
            self.offer_snapshot(snapshot)
        self.refresh_available()
        return True

    def close_agent(self, peer: dispatch_handler.AgentPeer) -> None:
        """Drop the agent's free slots and end the dispatch of its tickets."""
        agent = self.agents.get(peer.agent_id)
        if agent is None or agent.peer is not peer:
            return
        agent.free.clear()
        self.update_position(agent)
        del self.agents[peer.agent_id]
        for ticket_id in list(agent.tickets):
            self.end_dispatch(ticket_id)

    def offer(
        self, peer: dispatch_handler.AgentPeer, slot_ids: tuple[int, ...], deadline: float
    ) -> None:
        """Add free slots, valid until ``deadline``, and assign them to waiting tickets."""
        agent = self.agents.get(peer.agent_id)
        if agent is None or agent.peer is not peer:
            return
        agent.free.extend((deadline, slot_id) for slot_id in slot_ids)
        self.update_position(agent)
        self.match()

    def retract(self, peer: dispatch_handler.AgentPeer) -> None:
        """Discard every free slot of the agent and return the slot ids to it."""
        agent = self.agents.get(peer.agent_id)
        if agent is None or agent.peer is not peer or not agent.free:
            return
        slot_ids = [slot_id for _, slot_id in agent.free]
        agent.free.clear()
        self.update_position(agent)
        peer.return_slots(slot_ids)

    def report(
        self, peer: dispatch_handler.AgentPeer, report: dispatch_handler.AgentReport
    ) -> None:
        """Charge the costs that an agent reports and end the dispatch of finished tickets."""
        agent = self.agents.get(peer.agent_id)
        if agent is None or agent.peer is not peer:
            return
        agent.limit = max(1, report.limit)
        agent.reported_load = report.running + report.staged
        progress = {key: cost for key, cost in report.progress.items() if key in agent.tickets}
        finished = {key: cost for key, cost in report.finished.items() if key in agent.tickets}
        for ticket_id in progress:
            self.unstarted.pop(ticket_id, None)
        self.queue.apply_report(
            peer.agent_id, peer.incarnation, report.counters, progress, finished
        )
        for ticket_id in finished:
            agent.assigned.pop(self.dispatched[ticket_id].slot_id, None)
            self.end_dispatch(ticket_id)
        self.update_position(agent)

    def agent_peers(self) -> list[dispatch_handler.AgentPeer]:
        """Return the open agent sessions."""
        return [agent.peer for agent in self.agents.values()]

    def candidates(self) -> frozenset[str]:
        """Return the ids of the three highest-ranked dispatcher candidates.

        Normally these are this dispatcher and the two agents next in line for failover.
        """
        ranked = rendezvous.rank(self.service, self.view.available_agents(self.service))
        return frozenset(agent.id for agent in ranked[:CANDIDATE_COUNT])

    # Matching

    def match(self) -> None:
        """Assign free slots to waiting tickets until either runs out."""
        if not self.agent_order or not len(self.queue):
            return
        now = time.monotonic()
        self.drop_expired_tickets(now)
        while len(self.queue):
            agent = self.choose_agent(now)
            if agent is None:
                return
            taken = self.queue.take(now)
            if taken is None:
                return
            self.assign(taken, agent, now)

    def choose_agent(self, now: float) -> AgentSlots | None:
        """Return the least loaded agent that has a usable slot and may be assigned work."""
        while self.agent_order:
            agent = self.agents[self.agent_order[0][2]]
            self.discard_expired_slots(agent, now)
            if agent.free and self.accepts_work(agent):
                return agent
            if agent.free:
                # Not a candidate until refresh_available() adds it again.
                self.agent_order.remove(agent.position)
                agent.position = None
        return None

    def assign(self, taken: fair_queue.TakenTicket, agent: AgentSlots, now: float) -> None:
        """Assign a slot of the agent to a ticket and send the assignment to the entry."""
        ticket = taken.ticket
        entry = self.ticket_entries[ticket.id]
        self.detach_ticket(ticket.id)
        deadline, slot_id = agent.free.popleft()
        agent.assigned[slot_id] = (deadline, ticket.id)
        agent.tickets.add(ticket.id)
        dispatched = DispatchedTicket(entry, agent, slot_id, deadline + START_REPORT_GRACE_SECONDS)
        self.dispatched[ticket.id] = dispatched
        self.unstarted[ticket.id] = dispatched
        self.dispatch_total += 1
        agent.last_dispatch = self.dispatch_total
        self.update_position(agent)
        self.dispatched_by_team[ticket.team] += 1
        slot = work.Slot(
            id=slot_id,
            agent_id=agent.peer.agent_id,
            agent_incarnation=agent.peer.incarnation,
            agent_address=agent.peer.address,
            availability_zone=agent.peer.availability_zone,
            deadline=deadline,
        )
        entry.outbox.put_nowait(
            work.Assignment(
                ticket_id=ticket.id,
                slot=slot,
                virtual_time=taken.virtual_time,
                queue_ms=max(0.0, now - ticket.arrived_at) * 1000.0,
            )
        )

    def end_dispatch(self, ticket_id: str) -> None:
        """Remove a dispatched ticket and release the cost reserved for it."""
        dispatched = self.dispatched.pop(ticket_id, None)
        if dispatched is None:
            return
        self.unstarted.pop(ticket_id, None)
        dispatched.agent.tickets.discard(ticket_id)
        self.queue.end_reservation(ticket_id)
        if self.agents.get(dispatched.agent.peer.agent_id) is dispatched.agent:
            self.update_position(dispatched.agent)

    def update_position(self, agent: AgentSlots) -> None:
        """Update an agent's position among the agents with free slots, and the slot count."""
        self.free_slot_count += len(agent.free) - agent.counted_free
        agent.counted_free = len(agent.free)
        position = (agent.load, agent.last_dispatch, agent.peer.agent_id) if agent.free else None
        if position == agent.position:
            return
        if agent.position is not None:
            self.agent_order.remove(agent.position)
        agent.position = position
        if position is not None:
            self.agent_order.add(position)

    def accepts_work(self, agent: AgentSlots) -> bool:
        """Return whether the fleet view allows new work for the agent."""
        peer = agent.peer
        return (
            peer.agent_id in self.available
            and not self.view.is_out_of_service(peer.agent_id, peer.availability_zone)
            and not self.view.is_leaving(peer.agent_id)
        )

    # Expiry and fleet view

    def tick(self) -> None:
        """Discard expired state, apply changes of the fleet view and assign free slots."""
        now = time.monotonic()
        self.refresh_available()
        self.drop_expired_tickets(now)
        for agent in self.agents.values():
            self.discard_expired_slots(agent, now)
            self.update_position(agent)
            for slot_id in [key for key, (end, _) in agent.assigned.items() if end <= now]:
                del agent.assigned[slot_id]
        overdue = [key for key, item in self.unstarted.items() if item.start_deadline <= now]
        for ticket_id in overdue:
            self.end_dispatch(ticket_id)
        if now >= self.restoration_deadline:
            self.ledger.end_restoration()
        self.match()

    def discard_expired_slots(self, agent: AgentSlots, now: float) -> None:
        """Return slots too close to their deadline to the agent, so that it issues new ones."""
        discarded = []
        while agent.free and agent.free[0][0] - SLOT_EXPIRY_MARGIN_SECONDS <= now:
            discarded.append(agent.free.popleft()[1])
        if discarded:
            agent.peer.return_slots(discarded)
            self.update_position(agent)

    def drop_expired_tickets(self, now: float) -> None:
        """Drop waiting tickets whose deadline has passed."""
        for ticket in self.queue.drop_expired(now):
            self.expired_tickets += 1
            self.detach_ticket(ticket.id)

    def on_view_change(self) -> None:
        """Apply the newest configuration and membership."""
        if self.view.configuration is not self.configuration:
            self.configuration = self.view.configuration
            self.ledger.set_parameters(self.read_parameters())
        self.refresh_available()
        self.match()

    def refresh_available(self) -> None:
        """Update the set of available agents from the fleet view."""
        available = frozenset(agent.id for agent in self.view.available_agents(self.service))
        if available != self.available:
            self.available = available
        for agent in self.agents.values():
            if agent.position is None and agent.free:
                self.update_position(agent)

    def read_parameters(self) -> ledger.FairShareParameters:
        """Return team shares and cost limits from the newest configuration.

        The debt cap is the cost of one request of the maximum cost in every slot. With a lower cap,
        ordinary underestimates of request costs would repeatedly not be charged in full.
        """
        configuration = self.view.configuration
        services = configuration.services if configuration is not None else ()
        teams = configuration.teams if configuration is not None else ()
        service = next((item for item in services if item.name == self.service), None)
        maximum_cost = service.maximum_cost if service is not None else DEFAULT_MAXIMUM_COST
        slots = max(1, service.endpoints * service.warm_limit) if service is not None else 1
        return ledger.FairShareParameters(
            shares={team.name: team.share for team in teams},
            maximum_cost=maximum_cost,
            debt_cap=maximum_cost * slots,
        )

    # Snapshots and status

    def offer_snapshot(self, snapshot: ledger.Snapshot) -> None:
        """Adopt a snapshot if it includes more service than this dispatcher has recorded."""
        if self.ledger.offer_snapshot(snapshot) and self.ledger.pending_snapshot is None:
            self.begin_restoration(snapshot)

    def begin_restoration(self, snapshot: ledger.Snapshot) -> None:
        """Log an adopted snapshot and start the time for its teams to queue tickets again."""
        self.restoration_deadline = time.monotonic() + RESTORATION_SECONDS
        LOG.log(
            events.Event.SNAPSHOT_ADOPTED,
            service=self.service,
            teams=len(snapshot.teams),
            included_total=snapshot.included_total,
        )

    def take_snapshot(self) -> ledger.Snapshot | None:
        """Return a snapshot, None if neither service nor dispatches were added since the last."""
        state = (self.ledger.included_total, self.dispatch_total)
        if state == self.snapshot_state or not self.ledger.active:
            return None
        self.snapshot_state = state
        self.ledger.drop_departed_agents({member.id for member in self.view.members()})
        return self.ledger.snapshot()

    @property
    def waiting(self) -> int:
        """The number of waiting tickets."""
        return len(self.queue)

    @property
    def free_slots(self) -> int:
        """The number of free slots."""
        return self.free_slot_count

    def status(self) -> dict[str, typing.Any]:
        """Return the operator status. Virtual times are in cost units divided by share."""
        accounts = self.ledger.accounts
        active = sorted(self.ledger.active)
        return {
            "service": self.service,
            "waiting": self.waiting,
            "free_slots": self.free_slots,
            "dispatched": len(self.dispatched),
            "entries": len(self.entries),
            "agents": len(self.agents),
            "expired_tickets": self.expired_tickets,
            "declined_slots": self.declined_slots,
            "system_virtual_time": self.ledger.system_time,
            "teams": {
                team: {
                    "waiting": accounts[team].waiting,
                    "running": accounts[team].running,
                    "served": self.dispatched_by_team[team],
                    "virtual_time": accounts[team].effective,
                }
                for team in active
            },
            "served": dict(self.dispatched_by_team),
        }
