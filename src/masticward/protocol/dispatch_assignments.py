"""Encoding of assignments on an entry's session.

An agent's identity is sent once and replaced by a number in later assignments. Agent incarnations
are numbered from 0 in the order in which they first appear on the session.
"""

from masticward import errors
from masticward.models import work
from masticward.utils import clocks
from masticward.wire import masticward_pb2


class AssignmentWriter:
    """Encodes the assignments of one session, on the dispatcher."""

    __slots__ = ("agent_numbers",)

    def __init__(self) -> None:
        self.agent_numbers: dict[tuple[str, int, str, str], int] = {}

    def write(self, assignment: work.Assignment) -> masticward_pb2.Assign:
        """Return the wire form of an assignment."""
        slot = assignment.slot
        identity = (
            slot.agent_id,
            slot.agent_incarnation,
            slot.agent_address,
            slot.availability_zone,
        )
        number = self.agent_numbers.get(identity)
        agent = None
        if number is None:
            number = self.agent_numbers[identity] = len(self.agent_numbers)
            agent = masticward_pb2.AgentIdentity(
                agent_id=slot.agent_id,
                incarnation=slot.agent_incarnation,
                peer_address=slot.agent_address,
                availability_zone=slot.availability_zone,
            )
        return masticward_pb2.Assign(
            ticket_id=assignment.ticket_id,
            slot_id=slot.id,
            slot_remaining_ms=clocks.remaining_ms(slot.deadline),
            virtual_time=assignment.virtual_time,
            queue_ms=assignment.queue_ms,
            agent_number=number,
            agent=agent,
        )


class AssignmentReader:
    """Decodes the assignments of one session, on the entry."""

    __slots__ = ("agents",)

    def __init__(self) -> None:
        self.agents: dict[int, masticward_pb2.AgentIdentity] = {}

    def read(self, message: masticward_pb2.Assign) -> work.Assignment:
        """Return the assignment of a message.

        Raises SessionMessageError if the session has not defined the agent's number.
        """
        if message.HasField("agent"):
            self.agents[message.agent_number] = message.agent
        agent = self.agents.get(message.agent_number)
        if agent is None:
            raise errors.SessionMessageError(f"assignment to unknown agent {message.agent_number}")
        return work.Assignment(
            ticket_id=message.ticket_id,
            slot=work.Slot(
                id=message.slot_id,
                agent_id=agent.agent_id,
                agent_incarnation=agent.incarnation,
                agent_address=agent.peer_address,
                availability_zone=agent.availability_zone,
                deadline=clocks.deadline_from_remaining_ms(message.slot_remaining_ms),
            ),
            virtual_time=message.virtual_time,
            queue_ms=message.queue_ms,
        )
