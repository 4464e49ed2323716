"""Guards against settings errors that are reported one at a time or without their place."""

import unittest

from masticward import settings
from masticward.utils import checked_json


class CheckedJsonTest(unittest.TestCase):
    def test_reports_every_problem_with_its_path(self) -> None:
        raw = b"""{"instance_id": 7, "peer_address": "localhost", "endpoint": {"kind": "x"},
                   "colour": 1}"""
        value, problems = checked_json.decode(raw, settings.AgentSettings)
        self.assertIsNone(value)
        paths = {problem.path for problem in problems}
        self.assertLessEqual(
            {
                "$.instance_id",
                "$.peer_address",
                "$.endpoint.kind",
                "$.endpoint.url",
                "$.colour",
                "$.platform",
            },
            paths,
        )

    def test_invalid_json_is_one_problem(self) -> None:
        value, problems = checked_json.decode(b"{", settings.AgentSettings)
        self.assertIsNone(value)
        self.assertEqual(["$"], [problem.path for problem in problems])
