"""Waiting requests of an entry, and the tickets that are queued for them at dispatchers."""

import asyncio

from masticward import errors
from masticward.coordination import tickets as tickets_module
from masticward.models import work
from masticward.state import ticket_window


class Waiter:
    """A ticket and the future on which its request waits for a slot."""

    __slots__ = ("future", "ticket")

    def __init__(self, ticket: work.Ticket) -> None:
        self.ticket = ticket
        self.future: asyncio.Future[work.Assignment] = asyncio.get_running_loop().create_future()


class TicketSubmitter:
    """Submits tickets in order and passes the assigned slots to the waiting requests.

    At most ``limit`` tickets per team and service are queued at the dispatcher at a time.
    """

    __slots__ = ("limit", "ticket_client", "waiters", "windows")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.ticket_client: tickets_module.TicketClient | None = None
        self.waiters: dict[str, Waiter] = {}
        self.windows: dict[tuple[str, str], ticket_window.TicketWindow] = {}

    async def wait(self, ticket: work.Ticket) -> work.Assignment:
        """Submit the ticket and wait for its slot. Raises the error passed to ``fail``.

        If the waiting task is cancelled, the ticket is withdrawn or its slot is declined.
        """
        waiter = Waiter(ticket)
        self.waiters[ticket.id] = waiter
        self.window_of(ticket).add(ticket.id, front=ticket.retried)
        self.submit_next(ticket.team, ticket.service)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                self.decline_unused(waiter.future)
            raise
        finally:
            self.remove(ticket)

    def decline_unused(self, future: asyncio.Future[work.Assignment]) -> None:
        """Decline the slot that was assigned to a cancelled request."""
        if future.exception() is None:
            self.decline(future.result(), slot_valid=True)

    def on_assign(self, assignment: work.Assignment) -> bool:
        """Pass a slot to its ticket's request. Return False if the request no longer waits."""
        waiter = self.waiters.get(assignment.ticket_id)
        if waiter is None or waiter.future.done():
            return False
        waiter.future.set_result(assignment)
        self.remove_from_window(waiter.ticket)
        return True

    def fail(self, ticket_id: str, error: errors.MasticwardError) -> None:
        """Raise an error in the request that waits for a ticket, if it still waits."""
        waiter = self.waiters.get(ticket_id)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_exception(error)

    def decline(self, assignment: work.Assignment, *, slot_valid: bool) -> None:
        """Return a slot to the dispatcher. ``slot_valid`` is False if the agent refused it."""
        if self.ticket_client is not None:
            self.ticket_client.decline(assignment, slot_valid)

    def dispatcher_of(self, service: str) -> str:
        """Return the id of the service's dispatcher, or an empty string."""
        return self.ticket_client.dispatcher_of(service) if self.ticket_client is not None else ""

    def remove(self, ticket: work.Ticket) -> None:
        """Remove a ticket, and withdraw it from the dispatcher if it is still queued there."""
        self.waiters.pop(ticket.id, None)
        if self.remove_from_window(ticket) and self.ticket_client is not None:
            self.ticket_client.withdraw(ticket.id)

    def remove_from_window(self, ticket: work.Ticket) -> bool:
        """Remove a ticket from its window and submit the next.

        Returns whether the ticket was outstanding at the dispatcher.
        """
        key = (ticket.team, ticket.service)
        window = self.windows.get(key)
        if window is None:
            return False
        outstanding = window.remove(ticket.id)
        self.submit_next(*key)
        if window.empty:
            del self.windows[key]
        return outstanding

    def window_of(self, ticket: work.Ticket) -> ticket_window.TicketWindow:
        """Return the window of a ticket's team and service, creating it on first use."""
        key = (ticket.team, ticket.service)
        window = self.windows.get(key)
        if window is None:
            window = ticket_window.TicketWindow(self.limit)
            self.windows[key] = window
        return window

    def submit_next(self, team: str, service: str) -> None:
        """Submit waiting tickets of a team and service up to the window's limit."""
        window = self.windows.get((team, service))
        if window is None or self.ticket_client is None:
            return
        for ticket_id in window.pop_submittable():
            self.ticket_client.submit(self.waiters[ticket_id].ticket)
