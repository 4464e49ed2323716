"""The entry's tickets at the dispatchers of all services."""

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
    """Keeps tickets queued at the right dispatcher until they are assigned or withdrawn.

    Assignments reach the router through the callback ``on_assign(assignment)`` given at
    construction; it returns False if the ticket no longer waits, and the slot is then declined.
    """

    @abc.abstractmethod
    def submit(self, ticket: work.Ticket) -> None:
        """Queue a ticket; it is queued again whenever the dispatcher of its service changes."""

    @abc.abstractmethod
    def withdraw(self, ticket_id: str) -> None:
        """Forget a ticket, for example because its caller vanished or its deadline passed."""

    @abc.abstractmethod
    def decline(self, assignment: work.Assignment, slot_valid: bool) -> None:
        """Give an unused slot back; ``slot_valid`` is False if the agent refused it."""

    @abc.abstractmethod
    def dispatcher_of(self, service: str) -> str:
        """Return the id of the agent that dispatches the service now, or an empty string."""


AssignCallback = collections.abc.Callable[[work.Assignment], bool]


class ServiceSession(dispatch_client.EntryListener):
    """The waiting tickets of one service and the session with its dispatcher."""

    def __init__(self, client: "DispatcherTicketClient", service: str) -> None:
        self.client = client
        self.service = service
        self.waiting: dict[str, work.Ticket] = {}
        self.target: membership.Instance | None = None
        self.link: dispatch_client.EntryLink | None = None
        self.link_task: asyncio.Task[None] | None = None
        self.changed = asyncio.Event()
        self.backoff_seconds = INITIAL_BACKOFF_SECONDS

    def choose(self) -> membership.Instance | None:
        """Return the first candidate for dispatcher, None if there is none."""
        ranked = rendezvous.rank(self.service, self.client.view.available_agents(self.service))
        return ranked[0] if ranked else None

    def follow_view(self) -> None:
        """Leave the session if another agent has become the first candidate.

        It is kept while no candidate is known: the view may only be cut off.
        """
        self.changed.set()
        chosen = self.choose()
        if chosen is None or self.link_task is None:
            return
        if identity(chosen) != identity(self.target):
            self.link_task.cancel()

    async def run(self) -> None:
        """Keep a session with the service's dispatcher until cancelled."""
        while True:
            self.changed.clear()
            target = self.choose()
            if target is None:
                await self.wait_for_change()
                continue
            if identity(target) != identity(self.target):
                LOG.log(events.Event.DISPATCHER_CHANGED, service=self.service, dispatcher=target.id)
            self.target = target
            if await self.serve(target):
                continue
            await asyncio.sleep(self.backoff_seconds)
            self.backoff_seconds = min(MAXIMUM_BACKOFF_SECONDS, 2 * self.backoff_seconds)

    async def serve(self, target: membership.Instance) -> bool:
        """Hold one session; True if it ended because another dispatcher was chosen."""
        hello = masticward_pb2.EntryHello(
            entry_id=self.client.entry_id,
            incarnation=self.client.incarnation,
            service=self.service,
        )
        link = dispatch_client.EntryLink(self.client.channels, target.peer_address, hello, self)
        for ticket in sorted(self.waiting.values(), key=lambda item: item.arrived_at):
            link.enqueue(ticket)
        self.link = link
        self.link_task = asyncio.get_running_loop().create_task(
            link.run(), name=f"entry-session-{self.service}"
        )
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
        """Wait until the view changes, or for the longest back-off."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAXIMUM_BACKOFF_SECONDS):
                await self.changed.wait()

    def has_tickets(self) -> bool:
        """Tell whether tickets wait for an assignment."""
        return bool(self.waiting)

    def on_established(self) -> None:
        """Start later back-offs from the beginning."""
        self.backoff_seconds = INITIAL_BACKOFF_SECONDS

    def on_assign(self, assignment: work.Assignment) -> None:
        """Pass an assignment to the router, or decline it if its ticket no longer waits."""
        self.client.agent_services[assignment.slot.agent_id] = self.service
        ticket = self.waiting.pop(assignment.ticket_id, None)
        self.client.ticket_services.pop(assignment.ticket_id, None)
        if (ticket is None or not self.client.on_assign(assignment)) and self.link is not None:
            self.link.decline(assignment, slot_valid=True)


class DispatcherTicketClient(TicketClient):
    """Holds one session for each service that the configuration names or a ticket needs."""

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
        """Open the sessions of all configured services."""
        self.view.subscribe(self.follow_view)
        self.follow_view()

    async def close(self) -> None:
        """Close all sessions; the dispatchers drop the tickets."""
        self.closed = True
        for task in list(self.session_tasks.values()):
            await tasks.cancel_and_wait(task)
        self.session_tasks.clear()

    def follow_view(self) -> None:
        """Open sessions of new services and move sessions whose dispatcher changed."""
        if self.closed:
            return
        configuration = self.view.configuration
        for service in configuration.services if configuration is not None else ():
            self.session_of(service.name)
        for session in self.sessions.values():
            session.follow_view()

    def session_of(self, service: str) -> ServiceSession:
        """Return the session of a service, opened on first use."""
        session = self.sessions.get(service)
        if session is None:
            session = self.sessions[service] = ServiceSession(self, service)
            self.session_tasks[service] = asyncio.get_running_loop().create_task(
                session.run(), name=f"tickets-{service}"
            )
        return session

    def submit(self, ticket: work.Ticket) -> None:
        """Queue a ticket now, and again whenever the dispatcher of its service changes."""
        session = self.session_of(ticket.service)
        session.waiting[ticket.id] = ticket
        self.ticket_services[ticket.id] = ticket.service
        if session.link is not None:
            session.link.enqueue(ticket)

    def withdraw(self, ticket_id: str) -> None:
        """Forget a ticket, here and at the dispatcher."""
        service = self.ticket_services.pop(ticket_id, None)
        if service is None:
            return
        session = self.sessions[service]
        del session.waiting[ticket_id]
        if session.link is not None:
            session.link.cancel(ticket_id)

    def decline(self, assignment: work.Assignment, slot_valid: bool) -> None:
        """Give an unused slot back to the dispatcher of its service."""
        service = self.agent_services.get(assignment.slot.agent_id)
        session = self.sessions.get(service) if service is not None else None
        if session is not None and session.link is not None:
            session.link.decline(assignment, slot_valid)

    def dispatcher_of(self, service: str) -> str:
        """Return the agent that answers as the service's dispatcher, or an empty string."""
        session = self.sessions.get(service)
        if session is None or session.link is None or not session.link.established:
            return ""
        return session.target.id if session.target is not None else ""


def identity(instance: membership.Instance | None) -> tuple[str, str] | None:
    """Return what distinguishes two places of a dispatcher: its id and its address."""
    return None if instance is None else (instance.id, instance.peer_address)
