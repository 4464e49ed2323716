"""Guards against arguments that end in a traceback, ids that a command takes for an option, and a
closing line of the test run that hides failures."""

import collections
import typing
import unittest
from unittest import mock

import typer.testing

from masticward import logs
from masticward.cli import exit_codes, main
from masticward.utils import identifiers
from tests.lib import outcome_counter


def run(*arguments: str) -> typing.Any:
    """Run the program with arguments in this process, whose logs stay as they are."""
    with mock.patch.object(logs, "configure"):
        return typer.testing.CliRunner().invoke(main.app, arguments)


class CommandLineTest(unittest.TestCase):
    def test_unknown_deployment_is_wrong_usage(self) -> None:
        answer = run("bench", "fairness", "--deployment", "atlantis")
        self.assertEqual(exit_codes.USAGE, answer.exit_code)
        self.assertIn("atlantis", answer.output)

    def test_defaults_are_described_as_they_are_written(self) -> None:
        answer = run("settings", "--describe", "agent")
        self.assertIn('default "fair-share"', answer.output)

    def test_identifier_is_never_taken_for_an_option(self) -> None:
        with mock.patch("secrets.token_urlsafe", return_value="-Qh"):
            self.assertEqual("_Qh", identifiers.new_identifier())


class OutcomeCounterTest(unittest.TestCase):
    def test_failed_subtest_counts_as_failed(self) -> None:
        counter = mock.Mock(outcomes=collections.Counter())
        for outcome, exc_info in (
            ("subtest", None),
            ("subtest", (None, None, None)),
            ("passed", None),
        ):
            event = mock.Mock(outcome=outcome, exc_info=exc_info)
            outcome_counter.OutcomeCounter.testOutcome(counter, event)
        self.assertEqual((1, 1), (counter.outcomes["failed"], counter.outcomes["passed"]))
