"""The entry's waiting requests and the tickets that stand for them at the dispatchers."""

import asyncio

from masticward import errors
from masticward.coordination import tickets as tickets_module
from masticward.models import work
from masticward.state import ticket_window


class Waiter:
    """A ticket with the future of the request that waits for its slot."""

    __slots__ = ("future", "ticket")

    def __init__(self, ticket: work.Ticket) -> None:
        self.ticket = ticket
        self.future: asyncio.Future[work.Assignment] = asyncio.get_running_loop().create_future()


class TicketSubmitter:
    """Submits tickets in order, a bounded number per team and service, and hands out slots."""

    __slots__ = ("limit", "ticket_client", "waiters", "windows")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.ticket_client: tickets_module.TicketClient | None = None
        self.waiters: dict[str, Waiter] = {}
        self.windows: dict[tuple[str, str], ticket_window.TicketWindow] = {}

    async def wait(self, ticket: work.Ticket) -> work.Assignment:
        """Wait for the ticket's slot. Raises what ``fail`` was given.

        If the waiting task is cancelled, the ticket is withdrawn or its slot given back.
        """
        waiter = Waiter(ticket)
        self.waiters[ticket.id] = waiter
        self.window_of(ticket).add(ticket.id, front=ticket.retried)
        self.submit_next(ticket.team, ticket.service)
        try:
            return await waiter.future
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                self.give_back(waiter.future)
            raise
        finally:
            self.forget(ticket)

    def give_back(self, future: asyncio.Future[work.Assignment]) -> None:
        """Decline the slot that a cancelled request was given."""
        if future.exception() is None:
            self.decline(future.result(), slot_valid=True)

    def on_assign(self, assignment: work.Assignment) -> bool:
        """Hand a slot to its ticket's request; returns False if it no longer waits."""
        waiter = self.waiters.get(assignment.ticket_id)
        if waiter is None or waiter.future.done():
            return False
        waiter.future.set_result(assignment)
        self.remove_from_window(waiter.ticket)
        return True

    def fail(self, ticket_id: str, error: errors.MasticwardError) -> None:
        """End the wait of a ticket with an error, if it still waits."""
        waiter = self.waiters.get(ticket_id)
        if waiter is not None and not waiter.future.done():
            waiter.future.set_exception(error)

    def decline(self, assignment: work.Assignment, *, slot_valid: bool) -> None:
        """Give a slot back to the dispatcher."""
        if self.ticket_client is not None:
            self.ticket_client.decline(assignment, slot_valid)

    def dispatcher_of(self, service: str) -> str:
        """Return the id of the service's dispatcher, or an empty string."""
        return self.ticket_client.dispatcher_of(service) if self.ticket_client is not None else ""

    def forget(self, ticket: work.Ticket) -> None:
        """Drop a ticket; it is withdrawn from the dispatcher if it is still queued there."""
        self.waiters.pop(ticket.id, None)
        if self.remove_from_window(ticket) and self.ticket_client is not None:
            self.ticket_client.withdraw(ticket.id)

    def remove_from_window(self, ticket: work.Ticket) -> bool:
        """Remove a ticket from its window and submit the next; True if it was outstanding."""
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
        """Return the window of a ticket's team and service."""
        key = (ticket.team, ticket.service)
        window = self.windows.get(key)
        if window is None:
            window = ticket_window.TicketWindow(self.limit)
            self.windows[key] = window
        return window

    def submit_next(self, team: str, service: str) -> None:
        """Submit the tickets that the window of a team and service has room for."""
        window = self.windows.get((team, service))
        if window is None or self.ticket_client is None:
            return
        for ticket_id in window.pop_submittable():
            self.ticket_client.submit(self.waiters[ticket_id].ticket)
