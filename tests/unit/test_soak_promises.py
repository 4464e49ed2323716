"""Guards against soak checks that let a broken promise pass, or count a sound request as lost."""

import math
import shutil
import unittest

from tests.lib import platform_standins
from tests.soak import callers, endpoints, promises, stops, world

STOP_AT = 1000.0


class PromisesCase(unittest.TestCase):
    """One gateway and two endpoints that are never started."""

    def setUp(self) -> None:
        self.fleet = world.World(1)
        self.addCleanup(shutil.rmtree, self.fleet.directory)
        self.gateway = world.Gateway("g0", "127.0.0.1", "z1")
        self.gateway.stops.append(STOP_AT)
        self.fleet.gateways.append(self.gateway)
        for name in ("e1", "e2"):
            self.fleet.endpoints[name] = endpoints.SoakEndpoint(name, "serial", "z1", 1)

    def add_run(self, name: str, start: float, end: float) -> None:
        """Add a run of the request, with moments in seconds after the stop."""
        head = b"POST /serial/1 HTTP/1.1\r\nX-Masticward-Request-Id: q1\r\n\r\n"
        endpoint = self.fleet.endpoints[name]
        arrival = endpoints.Arrival(endpoint, platform_standins.ReceivedRequest(head, b""))
        arrival.at, arrival.ended_at = STOP_AT + start, STOP_AT + end
        endpoint.arrivals.append(arrival)

    def cut_call(self, sent: float, ended: float) -> callers.Call:
        """Return the request, cut after its first event, with moments after the stop."""
        call = callers.Call("q1", "serial", self.gateway)
        call.outcome, call.status, call.body = callers.Outcome.CUT, 200, b"id: 1\ndata: q1\n\n"
        call.sent_at = call.sent_whole_at = STOP_AT + sent
        call.ended_at = STOP_AT + ended
        return call

    def report(self, call: callers.Call) -> stops.CutReport:
        """Return the report on the seed."""
        report = stops.CutReport()
        report.add(self.fleet, promises.Promises(self.fleet, [call]))
        return report


class StreamChecksTest(PromisesCase):
    def test_a_stream_at_work_at_two_endpoints_for_too_long_is_found(self) -> None:
        call = self.cut_call(-2.0, 2.0)
        self.add_run("e1", -2.0, 0.45)
        self.add_run("e2", 0.0, 2.0)
        checks = promises.Promises(self.fleet, [call])
        checks.checked_at = math.inf
        self.assertEqual(["q1 ran at two endpoints for 0.45 s"], checks.one_endpoint_at_work())
        self.fleet.endpoints["e1"].arrivals[0].ended_at = STOP_AT + 0.35
        self.assertEqual([], checks.one_endpoint_at_work())
        # Both go on when the soak ends, right after the second one began.
        for endpoint in self.fleet.endpoints.values():
            endpoint.arrivals[0].ended_at = math.inf
        checks.checked_at = STOP_AT + 0.2
        self.assertEqual([], checks.one_endpoint_at_work())
        checks.checked_at = STOP_AT + 0.5
        self.assertEqual(["q1 ran at two endpoints for 0.50 s"], checks.one_endpoint_at_work())

    def test_events_of_a_cut_stream_that_come_twice_or_are_left_out_are_found(self) -> None:
        call = self.cut_call(-2.0, 2.0)
        checks = promises.Promises(self.fleet, [call])
        self.assertEqual([], checks.parts_of_cut_answers())
        for body in (call.body * 2, call.body + b"id: 3\ndata: q1\n\n", b"id: 1\ndata: q2\n\n"):
            call.body = body
            self.assertEqual(1, len(checks.parts_of_cut_answers()))


class AnnouncedLeavingTest(PromisesCase):
    def test_only_the_endpoint_that_announced_its_leaving_gets_nothing_new(self) -> None:
        self.gateway.started_at.append(0.0)
        told, later = self.cut_call(-9.0, -8.0), self.cut_call(-1.0, 1.0)
        told.outcome, told.headers = callers.Outcome.ANSWERED, {b"server-leaving": b"1"}
        later.request_id = "q2"
        for name in ("e1", "e2"):
            self.add_run(name, -9.0, -8.0)
            self.add_run(name, -1.0, 1.0)
            self.fleet.endpoints[name].arrivals[1].request_id = "q2"
        self.fleet.endpoints["e1"].says_leaving = True
        checks = promises.Promises(self.fleet, [told, later])
        self.assertEqual(["q2 was sent 7.00 s after an announcement"], checks.announced_leaving())


class NextStopTest(PromisesCase):
    def test_what_one_stop_excuses_is_not_lost_at_the_others(self) -> None:
        call = self.cut_call(-0.3, 7.4)
        self.gateway.stops += [STOP_AT - 7.5, STOP_AT + 9.2]
        self.add_run("e1", -0.3, 7.4)
        self.assertEqual([], promises.Promises(self.fleet, [call]).stops_cut_nothing())
        self.fleet.endpoints["e1"].arrivals[0].ended_at = STOP_AT + 6.0
        found = promises.Promises(self.fleet, [call]).stops_cut_nothing()
        self.assertEqual(3, len(found))


class CutReportTest(PromisesCase):
    def test_a_request_cut_by_a_stop_is_lost_and_its_log_lines_are_named(self) -> None:
        (self.fleet.directory / "g0.1.log").write_text(
            '{"number":8106,"request_id":"q1","level":"info"}\n{"number":1003,"level":"info"}\n'
        )
        self.add_run("e1", -0.5, 2.0)
        report = self.report(self.cut_call(-0.5, 2.0))
        self.assertEqual("stops 1: 1 lost, 0 cut otherwise, 0 excused", report.summary)
        self.assertIn("sent -0.50 s after SIGTERM, ended 2.00 s, status 200", report.lines[0])
        self.assertTrue(report.lines[0].endswith("named by 8106 info"))

    def test_what_the_rules_excuse_is_not_lost(self) -> None:
        self.add_run("e1", 2.5, 7.4)
        report = self.report(self.cut_call(2.5, 7.4))
        self.assertEqual("stops 1: 0 lost, 0 cut otherwise, 1 excused", report.summary)
        late = self.report(self.cut_call(3.5, 7.4))
        self.assertEqual("stops 1: 1 lost, 0 cut otherwise, 0 excused", late.summary)
        long = self.report(self.cut_call(-5.0, 5.1))
        self.assertEqual("stops 1: 0 lost, 0 cut otherwise, 1 excused", long.summary)

    def test_a_request_cut_away_from_stops_is_counted_by_itself(self) -> None:
        self.add_run("e1", -5.0, -2.0)
        report = self.report(self.cut_call(-5.0, -2.0))
        self.assertEqual("stops 1: 0 lost, 1 cut otherwise, 0 excused", report.summary)
