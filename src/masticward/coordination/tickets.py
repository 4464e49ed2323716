"""The client with which an entry queues tickets at the dispatchers of all services."""

import abc
import asyncio
import collections.abc
import contextlib

from masticward import events, logs
from masticward.coordination import fleet_view, rendezvous
from masticward.models import membership, work
from masticward.protocol import dispatch_client
from masticward.transport import channels as channels_module
from masticward.utils import tasks
from masticward.wire import masticward_pb2

LOG = logs.get_logger(__name__)
INITIAL_BACKOFF_SECONDS = 0.05
MAXIMUM_BACKOFF_SECONDS = 0.5


class TicketClient(abc.ABC):
    """Keeps tickets queued at their service's dispatcher until they are assigned or withdrawn.

    Assignments are passed to the callback ``on_assign(assignment)``, which is given at
    construction. If it returns False because the ticket no longer waits, the slot is declined.
    """

    @abc.abstractmethod
    def submit(self, ticket: work.Ticket) -> None:
        """Queue a ticket. It is queued again whenever its service's dispatcher changes."""

    @abc.abstractmethod
    def withdraw(self, ticket_id: str) -> None:
        """Remove a ticket, for example after its caller disconnected or its deadline passed."""

    @abc.abstractmethod
    def decline(self, assignment: work.Assignment, slot_valid: bool) -> None:
        """Return an unused slot. ``slot_valid`` is False if the agent refused the slot."""

    @abc.abstractmethod
    def dispatcher_of(self, service: str) -> str:
        """Return the id of the service's current dispatcher, or an empty string."""


AssignCallback = collections.abc.Callable[[work.Assignment], bool]


class Successor:
    """A session that is opened with another dispatcher while the present one goes on."""

    __slots__ = ("link", "target", "task")

    def __init__(
        self,
        target: membership.Instance,
        link: dispatch_client.EntryLink,
        task: asyncio.Task[None],
    ) -> None:
        self.target = target
        self.link = link
        self.task = task


class ServiceSession(dispatch_client.EntryListener):
    """The waiting tickets of one service and the session with its dispatcher."""

    def __init__(self, client: "DispatcherTicketClient", service: str) -> None:
        self.client = client
        self.service = service
        self.waiting: dict[str, work.Ticket] = {}
        self.target: membership.Instance | None = None
        self.link: dispatch_client.EntryLink | None = None
        self.link_task: asyncio.Task[None] | None = None
        self.successor: Successor | None = None
        self.changed = asyncio.Event()
        self.backoff_seconds = INITIAL_BACKOFF_SECONDS

    def choose_dispatcher(self) -> membership.Instance | None:
        """Return the first dispatcher candidate, None if there is none."""
        ranked = rendezvous.rank(self.service, self.client.view.available_agents(self.service))
        return ranked[0] if ranked else None

    def on_view_change(self) -> None:
        """Change the session if another agent has become the first dispatcher candidate.

        The session is kept while there is no candidate: this instance may just be partitioned from
        its peers. One that works is kept until the other dispatcher has answered.
        """
        self.changed.set()
        chosen = self.choose_dispatcher()
        if chosen is None or self.link_task is None:
            return
        if session_key(chosen) == session_key(self.target):
            self.drop_successor()
        elif self.works():
            self.open_successor(chosen)
        else:
            self.link_task.cancel()

    def works(self) -> bool:
        """Return whether the dispatcher has answered and is still a candidate."""
        candidates = self.client.view.available_agents(self.service)
        return (
            self.link is not None
            and self.link.established
            and session_key(self.target) in map(session_key, candidates)
        )

    def open_link(
        self, target: membership.Instance
    ) -> tuple[dispatch_client.EntryLink, asyncio.Task[None]]:
        """Open a session without tickets; return it with the task that runs it."""
        hello = masticward_pb2.EntryHello(
            entry_id=self.client.entry_id,
            incarnation=self.client.incarnation,
            service=self.service,
        )
        link = dispatch_client.EntryLink(self.client.channels, target.peer_address, hello, self)
        task = asyncio.get_running_loop().create_task(
            link.run(), name=f"entry-session-{self.service}"
        )
        return link, task

    def open_successor(self, target: membership.Instance) -> None:
        """Open a session with another dispatcher that takes over once it has answered."""
        if self.successor is not None:
            if session_key(self.successor.target) == session_key(target):
                return
            self.drop_successor()
        link, task = self.open_link(target)
        self.successor = Successor(target, link, task)
        link.on_established = self.take_over
        task.add_done_callback(self.on_successor_ended)

    def take_over(self) -> None:
        """End the present session; ``run`` goes on with the successor."""
        if self.link_task is not None:
            self.link_task.cancel()

    def on_successor_ended(self, task: asyncio.Task[None]) -> None:
        """Suspect a dispatcher that has not answered; nothing to do if it has taken over."""
        failed = not task.cancelled() and task.exception() is not None
        if self.successor is not None and self.successor.task is task:
            target, self.successor = self.successor.target, None
            if failed:
                self.client.view.suspect(target.id)

    def drop_successor(self) -> None:
        """Give up the session with another dispatcher if it has not taken over."""
        if self.successor is not None:
            task, self.successor = self.successor.task, None
            task.cancel()

    async def run(self) -> None:
        """Keep a session open with the service's current dispatcher until cancelled."""
        try:
            await self.run_sessions()
        finally:
            self.drop_successor()

    async def run_sessions(self) -> None:
        """Open one session after another until cancelled."""
        while True:
            self.changed.clear()
            target = self.choose_dispatcher()
            if target is None:
                await self.wait_for_change()
                continue
            if session_key(target) != session_key(self.target):
                LOG.log(events.Event.DISPATCHER_CHANGED, service=self.service, dispatcher=target.id)
            self.target = target
            if await self.run_session(target):
                continue
            await asyncio.sleep(self.backoff_seconds)
            self.backoff_seconds = min(MAXIMUM_BACKOFF_SECONDS, 2 * self.backoff_seconds)

    async def run_session(self, target: membership.Instance) -> bool:
        """Run one session until it ends. Return True if another dispatcher was chosen."""
        successor = self.successor
        if (
            successor is not None
            and successor.link.established
            and session_key(successor.target) == session_key(target)
        ):
            self.successor = None
            link, self.link_task = successor.link, successor.task
        else:
            self.drop_successor()
            link, self.link_task = self.open_link(target)
        for ticket in sorted(self.waiting.values(), key=lambda item: item.arrived_at):
            link.enqueue(ticket)
        self.link = link
        try:
            await asyncio.wait([self.link_task])
        finally:
            task, self.link, self.link_task = self.link_task, None, None
            await tasks.cancel_and_wait(task)
        if task.cancelled():
            return True
        if link.established or self.backoff_seconds == INITIAL_BACKOFF_SECONDS:
            LOG.log(
                events.Event.DISPATCH_SESSION_LOST,
                service=self.service,
                dispatcher=target.id,
                error=str(task.exception()),
            )
        self.client.view.suspect(target.id)
        return False

    async def wait_for_change(self) -> None:
        """Wait until the fleet view changes, at most for the longest back-off."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAXIMUM_BACKOFF_SECONDS):
                await self.changed.wait()

    def has_tickets(self) -> bool:
        """Return whether any ticket waits for an assignment."""
        return bool(self.waiting)

    def on_pong(self) -> None:
        """Reset the back-off."""
        self.backoff_seconds = INITIAL_BACKOFF_SECONDS

    def on_assign(self, assignment: work.Assignment) -> None:
        """Pass an assignment to the callback, or decline it if its ticket no longer waits."""
        self.client.agent_services[assignment.slot.agent_id] = self.service
        ticket = self.waiting.pop(assignment.ticket_id, None)
        self.client.ticket_services.pop(assignment.ticket_id, None)
        if (ticket is None or not self.client.on_assign(assignment)) and self.link is not None:
            self.link.decline(assignment, slot_valid=True)


class DispatcherTicketClient(TicketClient):
    """Keeps one session for each configured service and each service that has had a ticket."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        channels: channels_module.ChannelPool,
        entry_id: str,
        incarnation: int,
        on_assign: AssignCallback,
    ) -> None:
        self.view = view
        self.channels = channels
        self.entry_id = entry_id
        self.incarnation = incarnation
        self.on_assign = on_assign
        self.sessions: dict[str, ServiceSession] = {}
        self.session_tasks: dict[str, asyncio.Task[None]] = {}
        self.ticket_services: dict[str, str] = {}
        self.agent_services: dict[str, str] = {}
        self.closed = False

    async def start(self) -> None:
        """Open a session for each configured service."""
        self.view.subscribe(self.on_view_change)
        self.on_view_change()

    async def close(self) -> None:
        """Close all sessions. The dispatchers then drop the tickets."""
        self.closed = True
        for task in list(self.session_tasks.values()):
            await tasks.cancel_and_wait(task)
        self.session_tasks.clear()

    def on_view_change(self) -> None:
        """Open sessions for new services, and replace sessions whose dispatcher changed."""
        if self.closed:
            return
        configuration = self.view.configuration
        for service in configuration.services if configuration is not None else ():
            self.ensure_session(service.name)
        for session in self.sessions.values():
            session.on_view_change()

    def ensure_session(self, service: str) -> ServiceSession:
        """Return the session of a service, opening it on first use."""
        session = self.sessions.get(service)
        if session is None:
            session = self.sessions[service] = ServiceSession(self, service)
            self.session_tasks[service] = asyncio.get_running_loop().create_task(
                session.run(), name=f"tickets-{service}"
            )
        return session

    def submit(self, ticket: work.Ticket) -> None:
        """Queue a ticket now, and again whenever its service's dispatcher changes."""
        session = self.ensure_session(ticket.service)
        session.waiting[ticket.id] = ticket
        self.ticket_services[ticket.id] = ticket.service
        if session.link is not None:
            session.link.enqueue(ticket)

    def withdraw(self, ticket_id: str) -> None:
        """Remove a ticket locally and at the dispatcher."""
        service = self.ticket_services.pop(ticket_id, None)
        if service is None:
            return
        session = self.sessions[service]
        del session.waiting[ticket_id]
        if session.link is not None:
            session.link.cancel(ticket_id)

    def decline(self, assignment: work.Assignment, slot_valid: bool) -> None:
        """Return an unused slot to its service's dispatcher."""
        service = self.agent_services.get(assignment.slot.agent_id)
        session = self.sessions.get(service) if service is not None else None
        if session is not None and session.link is not None:
            session.link.decline(assignment, slot_valid)

    def dispatcher_of(self, service: str) -> str:
        """Return the id of the dispatcher with an established session, or an empty string."""
        session = self.sessions.get(service)
        if session is None or session.link is None or not session.link.established:
            return ""
        return session.target.id if session.target is not None else ""


def session_key(instance: membership.Instance | None) -> tuple[str, str] | None:
    """Return the id and peer address. A dispatcher with a new address needs a new session."""
    return None if instance is None else (instance.id, instance.peer_address)
