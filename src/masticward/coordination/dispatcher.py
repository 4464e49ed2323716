"""Assigns the slots of a service's agents to the tickets of its entries."""

import asyncio
import collections
import time
import typing

import sortedcontainers

from masticward import events, logs, settings
from masticward.coordination import fleet_view, rendezvous
from masticward.models import work
from masticward.protocol import dispatch_role
from masticward.state import fair_queue, ledger
from masticward.utils import tasks

LOG = logs.get_logger(__name__)
# An assignment needs time to reach the entry and the attempt to reach the agent.
SLOT_MARGIN_SECONDS = 0.5
# A dispatched ticket that its agent has not reported by then was never sent to it. Staged runs are
# reported when they start, so this exceeds the longest wait in an agent's stage.
UNSTARTED_GRACE_SECONDS = 3.0
# After adopting a snapshot, entries need up to a session timeout to queue their tickets again.
RESTORATION_SECONDS = 3.0
TICK_SECONDS = 0.1
CANDIDATE_COUNT = 3
UNKNOWN_MAXIMUM_COST = 10_000.0


class AgentSlots:
    """The slots and dispatched tickets of one agent session."""

    __slots__ = (
        "assigned",
        "counted",
        "free",
        "limit",
        "peer",
        "position",
        "reported_load",
        "tickets",
        "turn",
    )

    def __init__(self, peer: dispatch_role.AgentPeer) -> None:
        self.peer = peer
        # Pairs of deadline and slot id, the earliest deadline first.
        self.free: collections.deque[tuple[float, int]] = collections.deque()
        # Deadline and ticket of each assigned slot that has not expired.
        self.assigned: dict[int, tuple[float, str]] = {}
        self.tickets: set[str] = set()
        self.limit = 1
        self.reported_load = 0
        self.turn = 0
        self.counted = 0
        self.position: tuple[float, int, str] | None = None

    @property
    def load(self) -> float:
        """Dispatched tickets as a share of the agent's limit."""
        return len(self.tickets) / self.limit


class Dispatched:
    """A ticket that was given a slot and has not finished."""

    __slots__ = ("agent", "entry", "slot_id", "start_deadline")

    def __init__(
        self,
        entry: dispatch_role.EntryPeer,
        agent: AgentSlots,
        slot_id: int,
        start_deadline: float,
    ) -> None:
        self.entry = entry
        self.agent = agent
        self.slot_id = slot_id
        self.start_deadline = start_deadline


class Dispatcher(dispatch_role.DispatchRole):
    """The dispatcher of one service. It holds soft state only and never blocks."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        service: str,
        policy_name: settings.QueuePolicyName,
    ) -> None:
        self.view = view
        self.service = service
        self.ledger = ledger.VirtualTimeLedger(self.read_terms())
        policy = fair_queue.create_policy(policy_name, self.ledger)
        self.queue = fair_queue.FairQueue(policy, self.ledger)
        self.entries: dict[str, dispatch_role.EntryPeer] = {}
        self.ticket_entries: dict[str, dispatch_role.EntryPeer] = {}
        self.agents: dict[str, AgentSlots] = {}
        self.order: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.eligible: frozenset[str] = frozenset()
        self.dispatched: dict[str, Dispatched] = {}
        self.unstarted: dict[str, Dispatched] = {}
        self.served: collections.Counter[str] = collections.Counter()
        self.turn = 0
        self.restoration_deadline = 0.0
        self.snapshot_basis: tuple[float, int] = (0.0, 0)
        self.expired_tickets = 0
        self.declined_slots = 0
        self.free_total = 0
        self.configuration = view.configuration
        self.background = tasks.TaskGroup()
        view.subscribe(self.follow_view)
        self.refresh_eligible()

    async def start(self) -> None:
        """Begin to discard what expires."""
        self.background.spawn(self.tick_periodically(), "dispatcher-tick")

    async def close(self) -> None:
        """Stop the background task; sessions end with the server."""
        await self.background.cancel()

    async def tick_periodically(self) -> None:
        """Call ``tick`` every 100 ms."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.tick()

    # Entry sessions

    def open_entry(self, peer: dispatch_role.EntryPeer) -> None:
        """Accept an entry's session in place of an earlier one of the same entry."""
        earlier = self.entries.get(peer.entry_id)
        if earlier is not None:
            self.close_entry(earlier)
        self.entries[peer.entry_id] = peer

    def close_entry(self, peer: dispatch_role.EntryPeer) -> None:
        """Drop the waiting tickets of the session and free the slots it was never told of."""
        if self.entries.get(peer.entry_id) is peer:
            del self.entries[peer.entry_id]
        for ticket_id in list(peer.tickets):
            self.queue.remove(ticket_id)
            self.forget_ticket(ticket_id)
        while not peer.outbox.empty():
            item = peer.outbox.get_nowait()
            if isinstance(item, work.Assignment):
                self.take_back(item)
        self.match()

    def enqueue(self, peer: dispatch_role.EntryPeer, ticket: work.Ticket) -> None:
        """Queue a ticket. A ticket that is queued again ends its earlier dispatch."""
        self.end_dispatch(ticket.id)
        earlier = self.ticket_entries.get(ticket.id)
        if earlier is not None and earlier is not peer:
            self.queue.remove(ticket.id)
            self.forget_ticket(ticket.id)
        candidate = self.ledger.pending_snapshot
        if self.queue.add(ticket):
            if candidate is not None and self.ledger.pending_snapshot is None:
                self.note_adoption(candidate)
            self.ticket_entries[ticket.id] = peer
            peer.tickets.add(ticket.id)
            self.match()

    def cancel(self, peer: dispatch_role.EntryPeer, ticket_id: str) -> None:
        """Forget a waiting ticket of this session.

        A ticket whose assignment is on its way is left: the entry declines the assignment.
        """
        if self.ticket_entries.get(ticket_id) is peer:
            self.queue.remove(ticket_id)
            self.forget_ticket(ticket_id)

    def decline(self, declined: dispatch_role.DeclinedSlot) -> None:
        """End the dispatch, and free the slot if it is valid and not about to expire."""
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
            self.place(agent)
            self.match()

    def take_back(self, assignment: work.Assignment) -> None:
        """Free the slot of an assignment that was not delivered."""
        self.decline(
            dispatch_role.DeclinedSlot(
                ticket_id=assignment.ticket_id,
                agent_id=assignment.slot.agent_id,
                agent_incarnation=assignment.slot.agent_incarnation,
                slot_id=assignment.slot.id,
                slot_valid=True,
            )
        )

    def forget_ticket(self, ticket_id: str) -> None:
        """Forget to which session a ticket belongs."""
        peer = self.ticket_entries.pop(ticket_id, None)
        if peer is not None:
            peer.tickets.discard(ticket_id)

    # Agent sessions

    def open_agent(self, peer: dispatch_role.AgentPeer, snapshot: ledger.Snapshot | None) -> bool:
        """Accept an agent's session in place of an earlier one of the same agent."""
        earlier = self.agents.get(peer.agent_id)
        if earlier is not None:
            if earlier.peer.incarnation > peer.incarnation:
                return False
            self.close_agent(earlier.peer)
        self.agents[peer.agent_id] = AgentSlots(peer)
        if snapshot is not None:
            self.offer_snapshot(snapshot)
        self.refresh_eligible()
        return True

    def close_agent(self, peer: dispatch_role.AgentPeer) -> None:
        """Drop the free slots and end the reservations of the agent's tickets."""
        agent = self.agents.get(peer.agent_id)
        if agent is None or agent.peer is not peer:
            return
        agent.free.clear()
        self.place(agent)
        del self.agents[peer.agent_id]
        for ticket_id in list(agent.tickets):
            self.end_dispatch(ticket_id)

    def offer(
        self, peer: dispatch_role.AgentPeer, slot_ids: tuple[int, ...], deadline: float
    ) -> None:
        """Add free slots and assign them at once if tickets wait."""
        agent = self.agents.get(peer.agent_id)
        if agent is None or agent.peer is not peer:
            return
        agent.free.extend((deadline, slot_id) for slot_id in slot_ids)
        self.place(agent)
        self.match()

    def retract(self, peer: dispatch_role.AgentPeer) -> None:
        """Discard every free slot of the agent and tell it which ones."""
        agent = self.agents.get(peer.agent_id)
        if agent is None or agent.peer is not peer or not agent.free:
            return
        slot_ids = [slot_id for _, slot_id in agent.free]
        agent.free.clear()
        self.place(agent)
        peer.return_slots(slot_ids)

    def report(self, peer: dispatch_role.AgentPeer, report: dispatch_role.AgentReport) -> None:
        """Charge the agent's counters and settle the tickets it finished."""
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
        self.place(agent)

    def agent_peers(self) -> list[dispatch_role.AgentPeer]:
        """Return the open agent sessions."""
        return [agent.peer for agent in self.agents.values()]

    def candidates(self) -> frozenset[str]:
        """Return the first three candidates: this dispatcher and the two that follow it."""
        ranked = rendezvous.rank(self.service, self.view.available_agents(self.service))
        return frozenset(agent.id for agent in ranked[:CANDIDATE_COUNT])

    # Matching

    def match(self) -> None:
        """Assign free slots to waiting tickets until one of them runs out."""
        if not self.order or not len(self.queue):
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
        """Return the least loaded agent that has a usable slot and may receive work."""
        while self.order:
            agent = self.agents[self.order[0][2]]
            self.discard_expired_slots(agent, now)
            if agent.free and self.may_receive(agent):
                return agent
            if agent.free:
                # Out of the order until tick() finds it eligible again.
                self.order.remove(agent.position)
                agent.position = None
        return None

    def assign(self, taken: fair_queue.TakenTicket, agent: AgentSlots, now: float) -> None:
        """Give a slot of the agent to a ticket and tell its entry."""
        ticket = taken.ticket
        entry = self.ticket_entries[ticket.id]
        self.forget_ticket(ticket.id)
        deadline, slot_id = agent.free.popleft()
        agent.assigned[slot_id] = (deadline, ticket.id)
        agent.tickets.add(ticket.id)
        dispatched = Dispatched(entry, agent, slot_id, deadline + UNSTARTED_GRACE_SECONDS)
        self.dispatched[ticket.id] = dispatched
        self.unstarted[ticket.id] = dispatched
        self.turn += 1
        agent.turn = self.turn
        self.place(agent)
        self.served[ticket.team] += 1
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
        """Forget a dispatched ticket and end its reservation."""
        dispatched = self.dispatched.pop(ticket_id, None)
        if dispatched is None:
            return
        self.unstarted.pop(ticket_id, None)
        dispatched.agent.tickets.discard(ticket_id)
        self.queue.end_reservation(ticket_id)
        if self.agents.get(dispatched.agent.peer.agent_id) is dispatched.agent:
            self.place(dispatched.agent)

    def place(self, agent: AgentSlots) -> None:
        """Move an agent to its place in the order of agents with free slots."""
        self.free_total += len(agent.free) - agent.counted
        agent.counted = len(agent.free)
        position = (agent.load, agent.turn, agent.peer.agent_id) if agent.free else None
        if position == agent.position:
            return
        if agent.position is not None:
            self.order.remove(agent.position)
        agent.position = position
        if position is not None:
            self.order.add(position)

    def may_receive(self, agent: AgentSlots) -> bool:
        """Tell whether the view allows new work for the agent."""
        peer = agent.peer
        return (
            peer.agent_id in self.eligible
            and not self.view.is_out_of_service(peer.agent_id, peer.availability_zone)
            and not self.view.is_leaving(peer.agent_id)
        )

    # Time and view

    def tick(self) -> None:
        """Discard what has expired, follow the view and assign what became possible."""
        now = time.monotonic()
        self.refresh_eligible()
        self.drop_expired_tickets(now)
        for agent in self.agents.values():
            self.discard_expired_slots(agent, now)
            self.place(agent)
            for slot_id in [key for key, (end, _) in agent.assigned.items() if end <= now]:
                del agent.assigned[slot_id]
        late = [key for key, item in self.unstarted.items() if item.start_deadline <= now]
        for ticket_id in late:
            self.end_dispatch(ticket_id)
        if now >= self.restoration_deadline:
            self.ledger.end_restoration()
        self.match()

    def discard_expired_slots(self, agent: AgentSlots, now: float) -> None:
        """Discard slots too near their deadline, and tell the agent so that it issues new ones."""
        discarded = []
        while agent.free and agent.free[0][0] - SLOT_MARGIN_SECONDS <= now:
            discarded.append(agent.free.popleft()[1])
        if discarded:
            agent.peer.return_slots(discarded)
            self.place(agent)

    def drop_expired_tickets(self, now: float) -> None:
        """Drop tickets whose caller no longer waits."""
        for ticket in self.queue.drop_expired(now):
            self.expired_tickets += 1
            self.forget_ticket(ticket.id)

    def follow_view(self) -> None:
        """Use the newest configuration and members."""
        if self.view.configuration is not self.configuration:
            self.configuration = self.view.configuration
            self.ledger.set_parameters(self.read_terms())
        self.refresh_eligible()
        self.match()

    def refresh_eligible(self) -> None:
        """Read from the view which agents may receive work."""
        eligible = frozenset(agent.id for agent in self.view.available_agents(self.service))
        if eligible != self.eligible:
            self.eligible = eligible
        for agent in self.agents.values():
            if agent.position is None and agent.free:
                self.place(agent)

    def read_terms(self) -> ledger.FairShareParameters:
        """Return shares and limits from the newest configuration.

        The debt cap is what one team can owe when it holds every slot with requests of the
        maximum cost; a lower cap would forgive ordinary underestimates over and over.
        """
        configuration = self.view.configuration
        services = configuration.services if configuration is not None else ()
        teams = configuration.teams if configuration is not None else ()
        service = next((item for item in services if item.name == self.service), None)
        maximum_cost = service.maximum_cost if service is not None else UNKNOWN_MAXIMUM_COST
        slots = max(1, service.endpoints * service.warm_limit) if service is not None else 1
        return ledger.FairShareParameters(
            shares={team.name: team.share for team in teams},
            maximum_cost=maximum_cost,
            debt_cap=maximum_cost * slots,
        )

    # Snapshots and figures

    def offer_snapshot(self, snapshot: ledger.Snapshot) -> None:
        """Adopt a snapshot that includes more service than this dispatcher knows."""
        if self.ledger.offer_snapshot(snapshot) and self.ledger.pending_snapshot is None:
            self.note_adoption(snapshot)

    def note_adoption(self, snapshot: ledger.Snapshot) -> None:
        """Log an adopted snapshot and wait for the teams that it names."""
        self.restoration_deadline = time.monotonic() + RESTORATION_SECONDS
        LOG.log(
            events.Event.SNAPSHOT_ADOPTED,
            service=self.service,
            teams=len(snapshot.teams),
            included_total=snapshot.included_total,
        )

    def take_snapshot(self) -> ledger.Snapshot | None:
        """Return a snapshot if service was included or tickets were dispatched since the last."""
        basis = (self.ledger.included_total, self.turn)
        if basis == self.snapshot_basis or not self.ledger.active:
            return None
        self.snapshot_basis = basis
        self.ledger.drop_departed_agents({member.id for member in self.view.members()})
        return self.ledger.snapshot()

    @property
    def waiting(self) -> int:
        """The number of waiting tickets."""
        return len(self.queue)

    @property
    def free_slots(self) -> int:
        """The number of free slots."""
        return self.free_total

    def status(self) -> dict[str, typing.Any]:
        """Return figures for operators; virtual times are in cost units divided by share."""
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
                    "served": self.served[team],
                    "virtual_time": accounts[team].effective,
                }
                for team in active
            },
            "served": dict(self.served),
        }
