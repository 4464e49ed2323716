"""The entry's tickets at the dispatchers of all services."""

import abc

from masticward.models import work


class TicketExchange(abc.ABC):
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
