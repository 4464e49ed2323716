"""Tests the encoding of assignments, which replaces agent identities by numbers.

Guards against assignments that are decoded for another agent or incarnation than the dispatcher
chose.
"""

import time
import unittest

from masticward import errors
from masticward.models import work
from masticward.protocol import dispatch_assignments
from masticward.wire import masticward_pb2


def assignment(agent_id: str, incarnation: int, slot_id: int) -> work.Assignment:
    return work.Assignment(
        ticket_id=f"ticket-{slot_id}",
        slot=work.Slot(
            id=slot_id,
            agent_id=agent_id,
            agent_incarnation=incarnation,
            agent_address=f"{agent_id}.address:{incarnation}",
            availability_zone=f"zone-of-{agent_id}",
            deadline=time.monotonic() + 2.0,
        ),
        virtual_time=1.25,
        queue_ms=2.5,
    )


class AssignmentTest(unittest.TestCase):
    def test_identity_is_sent_once_per_incarnation(self) -> None:
        writer = dispatch_assignments.AssignmentWriter()
        reader = dispatch_assignments.AssignmentReader()
        agents = [("a", 2**60), ("b", 1), ("a", 2**60), ("a", 2**60 + 1), ("b", 1)]
        for number, (agent_id, incarnation) in enumerate(agents):
            sent = assignment(agent_id, incarnation, number)
            wire = writer.write(sent).SerializeToString()
            received = reader.read(masticward_pb2.Assign.FromString(wire))
            self.assertLess(abs(received.slot.deadline - sent.slot.deadline), 1.0)
            received.slot.deadline = sent.slot.deadline
            self.assertEqual(sent, received)
            first = (agent_id, incarnation) not in agents[:number]
            self.assertEqual(first, f"zone-of-{agent_id}".encode() in wire)

    def test_undefined_agent_number_is_rejected(self) -> None:
        with self.assertRaises(errors.SessionMessageError):
            dispatch_assignments.AssignmentReader().read(masticward_pb2.Assign(agent_number=1))


if __name__ == "__main__":
    unittest.main()
