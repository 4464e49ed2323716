"""Guards against a fairness gap or utilization that is computed wrongly from the records."""

import unittest

from masticward.bench import fairness, history

WINDOW = fairness.Interval(0.0, 20.0)


def call(team: str, digest: int, sent_at: float, ended_at: float) -> history.CallRecord:
    return history.CallRecord(
        call_id=str(digest),
        team=team,
        service="draft",
        operation="generate",
        idempotent=True,
        request_digest=digest,
        sent_at=sent_at,
        ended_at=ended_at,
    )


def run(team: str, digest: int, start: float, end: float, cost: float) -> history.EndpointRecord:
    return history.EndpointRecord(
        endpoint="draft-1",
        service="draft",
        availability_zone="east",
        attempt_id=str(digest),
        request_id=str(digest),
        team=team,
        request_digest=digest,
        started_at=start,
        finished_at=end,
        response_digest=0,
        response_length=0,
        cost=cost,
    )


def one_sided() -> history.History:
    """Return 10 s in which team a is served 10 units each second and team b waits."""
    return history.History(
        calls=[
            call("a", 1, 0.0, 10.0),
            call("a", 2, 0.0, 12.0),
            call("b", 3, 0.0, 12.0),
        ],
        runs=[
            run("a", 1, 0.0, 10.0, 100.0),
            run("a", 2, 10.0, 12.0, 20.0),
            run("b", 3, 10.0, 12.0, 20.0),
        ],
    )


class FairnessTest(unittest.TestCase):
    def test_gap_counts_only_time_in_which_both_wait(self) -> None:
        gap = fairness.largest_gap(one_sided(), "draft", {"a": 1.0, "b": 1.0}, WINDOW)
        self.assertAlmostEqual(100.0, gap.value)
        self.assertEqual(("a", "b"), gap.teams)

    def test_gap_is_normalized_by_share(self) -> None:
        gap = fairness.largest_gap(one_sided(), "draft", {"a": 4.0, "b": 1.0}, WINDOW)
        self.assertAlmostEqual(25.0, gap.value)

    def test_no_gap_without_common_backlog(self) -> None:
        records = one_sided()
        records.calls[2] = call("b", 3, 10.0, 12.0)
        gap = fairness.largest_gap(records, "draft", {"a": 1.0, "b": 1.0}, WINDOW)
        self.assertEqual(0.0, gap.value)

    def test_gap_finds_an_excursion_inside_the_interval(self) -> None:
        records = one_sided()
        records.calls.append(call("a", 4, 0.0, 20.0))
        records.calls.append(call("b", 5, 0.0, 20.0))
        records.runs.append(run("b", 6, 12.0, 20.0, 100.0))
        records.calls.append(call("b", 6, 0.0, 20.0))
        gap = fairness.largest_gap(records, "draft", {"a": 1.0, "b": 1.0}, WINDOW)
        self.assertAlmostEqual(100.0, gap.value)

    def test_utilization_counts_idle_slots_only_while_work_waits(self) -> None:
        window = fairness.Interval(0.0, 12.0)
        self.assertAlmostEqual(0.5, fairness.utilization(one_sided(), "draft", 2, window))

    def test_bound_of_the_design(self) -> None:
        self.assertAlmostEqual(2 * 12 * 50.0 / 0.5, fairness.gap_bound(10, 2, 50.0, 0.5, 0.0))
