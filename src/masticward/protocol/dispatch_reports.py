"""Encoding of service reports on an agent's session.

The name of a team or ticket is sent once and replaced by a number in later reports. Both sides
number teams and tickets from 0 in the order in which they first appear on the session. A new
session starts with empty tables.
"""

import collections.abc

from masticward import errors
from masticward.protocol import dispatch_handler
from masticward.wire import masticward_pb2


class ReportWriter:
    """Encodes the service reports of one session, on the agent."""

    __slots__ = ("next_ticket_number", "team_numbers", "ticket_numbers")

    def __init__(self) -> None:
        self.team_numbers: dict[str, int] = {}
        # Contains only unfinished tickets, so that it does not grow with the session.
        self.ticket_numbers: dict[str, int] = {}
        self.next_ticket_number = 0

    def write(self, report: dispatch_handler.AgentReport) -> masticward_pb2.ServiceReport:
        """Return the wire form of a report."""
        message = masticward_pb2.ServiceReport(
            running=report.running, staged=report.staged, limit=report.limit
        )
        for team, total in report.counters.items():
            if team not in self.team_numbers:
                self.team_numbers[team] = len(self.team_numbers)
                message.new_teams.append(team)
            message.counter_teams.append(self.team_numbers[team])
            message.counter_totals.append(total)
        for ticket_id, cost in report.progress.items():
            message.progress_tickets.append(self.ticket_number(ticket_id, message))
            message.progress_costs.append(cost)
        for ticket_id, cost in report.finished.items():
            message.finished_tickets.append(self.ticket_number(ticket_id, message))
            message.finished_costs.append(cost)
            del self.ticket_numbers[ticket_id]
        return message

    def ticket_number(self, ticket_id: str, message: masticward_pb2.ServiceReport) -> int:
        """Return the number of a ticket; add the id of a new ticket to the message."""
        number = self.ticket_numbers.get(ticket_id)
        if number is None:
            number = self.ticket_numbers[ticket_id] = self.next_ticket_number
            self.next_ticket_number += 1
            message.new_tickets.append(ticket_id)
        return number


class ReportReader:
    """Decodes the service reports of one session, on the dispatcher."""

    __slots__ = ("next_ticket_number", "teams", "tickets")

    def __init__(self) -> None:
        self.teams: list[str] = []
        self.tickets: dict[int, str] = {}
        self.next_ticket_number = 0

    def read(self, message: masticward_pb2.ServiceReport) -> dispatch_handler.AgentReport:
        """Return the report of a message.

        Raises SessionMessageError on undefined numbers and on lists of different lengths.
        """
        self.teams.extend(message.new_teams)
        for ticket_id in message.new_tickets:
            self.tickets[self.next_ticket_number] = ticket_id
            self.next_ticket_number += 1
        try:
            report = dispatch_handler.AgentReport(
                counters=values_by_name(self.teams, message.counter_teams, message.counter_totals),
                progress=values_by_name(
                    self.tickets, message.progress_tickets, message.progress_costs
                ),
                finished=values_by_name(
                    self.tickets, message.finished_tickets, message.finished_costs
                ),
                running=message.running,
                staged=message.staged,
                limit=message.limit,
            )
        except (LookupError, ValueError) as error:
            raise errors.SessionMessageError(f"service report: {error!r}") from error
        for number in message.finished_tickets:
            del self.tickets[number]
        return report


def values_by_name(
    names: list[str] | dict[int, str],
    numbers: collections.abc.Iterable[int],
    values: collections.abc.Iterable[float],
) -> dict[str, float]:
    """Return values by name.

    Raises LookupError on an undefined number, ValueError if the lengths differ.
    """
    return {names[number]: value for number, value in zip(numbers, values, strict=True)}
