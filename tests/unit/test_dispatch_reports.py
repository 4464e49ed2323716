"""Tests the encoding of service reports, which replaces names of teams and tickets by numbers.

Guards against reports that charge the wrong team or end the wrong ticket.
"""

import unittest

from masticward import errors
from masticward.protocol import dispatch_handler, dispatch_reports
from masticward.wire import masticward_pb2


def report(
    counters: dict[str, float], progress: dict[str, float], finished: dict[str, float]
) -> dispatch_handler.AgentReport:
    return dispatch_handler.AgentReport(
        counters=counters, progress=progress, finished=finished, running=1, staged=2, limit=3
    )


class ReportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.writer = dispatch_reports.ReportWriter()
        self.reader = dispatch_reports.ReportReader()

    def send(self, sent: dispatch_handler.AgentReport) -> bytes:
        wire: bytes = self.writer.write(sent).SerializeToString()
        self.assertEqual(sent, self.reader.read(masticward_pb2.ServiceReport.FromString(wire)))
        return wire

    def test_names_are_sent_once_and_keep_their_numbers(self) -> None:
        self.send(report({"red": 1.5, "blue": 2.0}, {"t1": 0.0, "t2": 4.0}, {}))
        wire = self.send(report({"blue": 3.0}, {"t2": 5.0}, {"t1": 7.0}))
        self.assertFalse([name for name in (b"blue", b"t1", b"t2") if name in wire])
        self.send(report({"green": 1.0, "red": 2.0}, {"t3": 1.0}, {"t2": 9.0, "t4": 0.0}))
        self.send(report({}, {"t1": 1.0}, {"t3": 2.0}))

    def test_finished_tickets_are_removed_from_the_tables(self) -> None:
        """Fails if the tables of a session grow with every ticket."""
        for number in range(500):
            self.send(report({}, {f"t{number}": 1.0}, {}))
            self.send(report({}, {}, {f"t{number}": 1.0}))
        self.assertEqual(({}, {}), (self.writer.ticket_numbers, self.reader.tickets))

    def test_undefined_number_is_rejected(self) -> None:
        for message in (
            masticward_pb2.ServiceReport(counter_teams=[0], counter_totals=[1.0]),
            masticward_pb2.ServiceReport(finished_tickets=[7], finished_costs=[1.0]),
            masticward_pb2.ServiceReport(new_teams=["red"], counter_teams=[0]),
        ):
            with self.assertRaises(errors.SessionMessageError):
                self.reader.read(message)


if __name__ == "__main__":
    unittest.main()
