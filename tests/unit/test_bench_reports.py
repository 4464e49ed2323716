"""Guards against demo figures that lose a field, and against deployment files that do not load."""

import unittest

import msgspec

from masticward.bench import deployment_files, mixes, reports
from masticward.cli import demo

DEMO_FIELDS = {
    "sent",
    "complete",
    "not_run",
    "unknown",
    "executed_twice",
    "cut",
    "fairness_gap",
    "fairness_bound",
    "utilization",
    "control_bytes_per_node_second",
}


class ReportTest(unittest.TestCase):
    def test_demo_prints_exactly_the_agreed_fields(self) -> None:
        fields = {field.encode_name for field in msgspec.structs.fields(demo.DemoFigures)}
        self.assertEqual(DEMO_FIELDS, fields)

    def test_deployments_have_the_planned_sizes(self) -> None:
        for name, endpoints in (("mauritius", 8), ("bavaria", 9)):
            with self.subTest(name):
                plan = deployment_files.load(name, 2)
                self.assertEqual(endpoints, len(plan.endpoints))
                self.assertEqual(16, len(plan.shares()))
                self.assertTrue(mixes.text_loads(plan, 1))
                self.assertTrue(mixes.booking_loads(plan, 1))

    def test_all_measurements_are_registered(self) -> None:
        self.assertEqual(
            {
                "fairness",
                "utilization",
                "zone-move",
                "zone-service",
                "control",
                "recovery",
                "overload",
                "changes",
            },
            set(reports.MEASUREMENTS),
        )
