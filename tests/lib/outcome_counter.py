"""A nose2 plugin that counts outcomes for the closing line of a run."""

import collections

import nose2.events


class OutcomeCounter(nose2.events.Plugin):  # type: ignore[misc]
    """Counts passed, failed, error and skipped tests of the process."""

    configSection = "outcome-counter"  # noqa: N815
    alwaysOn = True  # noqa: N815
    outcomes: collections.Counter[str] = collections.Counter()

    def testOutcome(self, event: nose2.events.TestOutcomeEvent) -> None:  # noqa: N802
        # nose2 tells of a subtest only that it ended; without this a failed one was not counted.
        failed_subtest = event.outcome == "subtest" and event.exc_info is not None
        self.outcomes["failed" if failed_subtest else event.outcome] += 1
