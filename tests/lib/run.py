"""Runs all tests with nose2, except exactly those listed in KNOWN-RED.txt, which are printed."""

import sys

import nose2

from tests.lib import known_red, outcome_counter


class Program(nose2.main):  # type: ignore[misc]
    """nose2's program with the known failures removed from the loaded suite."""

    def createTests(self) -> None:  # noqa: N802
        super().createTests()
        # A test that is named on the command line is run even if it is listed.
        listed = known_red.listed_tests() if len(sys.argv) == 1 else []
        before = self.test.countTestCases()
        self.test = known_red.without_listed(self.test, frozenset(listed))
        removed = before - self.test.countTestCases()
        for name in listed:
            print(f"known red, not run: {name}", flush=True)
        if removed != len(listed):
            sys.exit(f"KNOWN-RED.txt lists {len(listed)} tests, but {removed} were found")


def main() -> None:
    """Run the tests and end with a line that counts them."""
    program = Program(module=None, exit=False, argv=["nose2", "-v", *sys.argv[1:]])
    outcomes = outcome_counter.OutcomeCounter.outcomes
    failed = outcomes["failed"] + outcomes["error"]
    passed = outcomes["passed"]
    print(f"{passed} passed, {failed} failed, {outcomes['skipped']} skipped", flush=True)
    sys.exit(0 if program.result.wasSuccessful() and passed > 0 else 1)


if __name__ == "__main__":
    main()
