"""Decides whether a history keeps the guarantees. Every rule is exact; there is no tolerance."""

import collections
import collections.abc
import enum

import msgspec

from masticward.bench import history as history_module
from masticward.models import work


class Rule(enum.StrEnum):
    """The guarantees that the checker decides."""

    AT_MOST_ONCE = "at-most-once"
    NOT_RUN_IS_TRUE = "not-run-is-true"
    WHOLE_ANSWER = "whole-answer"
    RIGHT_TEAM = "right-team"
    NO_START_AFTER_CUTOFF = "no-start-after-cutoff"
    VERSIONS_NEVER_FALL = "versions-never-fall"
    KNOWN_REQUEST = "known-request"
    COLD_LIMIT = "cold-limit"


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """One broken guarantee; ``subject`` is the call, endpoint or process that broke it."""

    rule: Rule
    subject: str
    detail: str


RunsByDigest = collections.abc.Mapping[int, list[history_module.EndpointRecord]]


def check(history: history_module.History) -> list[Violation]:
    """Return all violations of a history."""
    runs = history_module.runs_by_digest(history)
    return [
        *check_at_most_once(history, runs),
        *check_not_run(history, runs),
        *check_whole_answers(history, runs),
        *check_origin(history),
        *check_cutoffs(history),
        *check_versions(history),
        *check_overload(history),
    ]


def check_at_most_once(
    history: history_module.History, runs: RunsByDigest
) -> collections.abc.Iterator[Violation]:
    """Report non-idempotent calls, or keys, that ran more than once."""
    once: dict[tuple[str, str, str], set[int]] = collections.defaultdict(set)
    for call in history.calls:
        if not call.idempotent:
            identity = call.key if call.key else call.call_id
            once[(call.team, call.service, identity)].add(call.request_digest)
    for (team, _service, identity), digests in once.items():
        matching = [run for digest in digests for run in runs.get(digest, [])]
        if len(matching) > 1:
            yield Violation(
                rule=Rule.AT_MOST_ONCE,
                subject=identity,
                detail=f"team {team}: {len(matching)} runs on "
                + ", ".join(sorted(run.endpoint for run in matching)),
            )


def check_not_run(
    history: history_module.History, runs: RunsByDigest
) -> collections.abc.Iterator[Violation]:
    """Report calls told "not run" that an endpoint recorded.

    Calls that share a body (repeats of a key) are told "not run" truthfully if all runs of the
    body can belong to another call that was not told so.
    """
    told_otherwise = {
        call.request_digest for call in history.calls if call.outcome is not work.Outcome.NOT_RUN
    }
    for call in history.calls:
        if call.outcome is not work.Outcome.NOT_RUN or call.request_digest in told_otherwise:
            continue
        for run in runs.get(call.request_digest, []):
            yield Violation(
                rule=Rule.NOT_RUN_IS_TRUE,
                subject=call.call_id,
                detail=f"status {call.status} {call.detail}; ran on {run.endpoint}",
            )


def check_whole_answers(
    history: history_module.History, runs: RunsByDigest
) -> collections.abc.Iterator[Violation]:
    """Report complete answers that differ from what an endpoint sent for that request."""
    for call in history.calls:
        if call.outcome is not work.Outcome.COMPLETE:
            continue
        sent = {
            (run.response_digest, run.response_length) for run in runs.get(call.request_digest, [])
        }
        if call.cut or (call.response_digest, call.response_length) not in sent:
            yield Violation(
                rule=Rule.WHOLE_ANSWER,
                subject=call.call_id,
                detail=f"caller has {call.response_length} bytes (digest "
                f"{call.response_digest:x}), cut {call.cut}; endpoints sent {sorted(sent)}",
            )


def check_origin(history: history_module.History) -> collections.abc.Iterator[Violation]:
    """Report runs that no caller asked for, or that were charged to another team."""
    teams = {call.request_digest: call.team for call in history.calls}
    for run in history.runs:
        team = teams.get(run.request_digest)
        if team is None:
            yield Violation(
                rule=Rule.KNOWN_REQUEST,
                subject=run.attempt_id,
                detail=f"{run.endpoint} ran a request that no caller sent",
            )
        elif run.team and run.team != team:
            yield Violation(
                rule=Rule.RIGHT_TEAM,
                subject=run.attempt_id,
                detail=f"sent by team {team}, recorded for team {run.team}",
            )


def check_cutoffs(history: history_module.History) -> collections.abc.Iterator[Violation]:
    """Report runs that started after the cut-off of a zone, instance or leaving endpoint."""
    for period in history.restricted:
        for run in history.runs:
            concerned = run.endpoint == period.endpoint if period.endpoint else False
            if period.availability_zone:
                concerned = run.availability_zone == period.availability_zone
            if concerned and period.cutoff < run.started_at < period.until:
                yield Violation(
                    rule=Rule.NO_START_AFTER_CUTOFF,
                    subject=run.endpoint,
                    detail=f"{period.reason}: attempt {run.attempt_id} started "
                    f"{run.started_at - period.cutoff:.3f} s after the cut-off",
                )


def check_versions(history: history_module.History) -> collections.abc.Iterator[Violation]:
    """Report processes whose configuration or operations version fell."""
    highest: dict[tuple[str, int], tuple[int, int]] = {}
    for sample in history.versions:
        identity = (sample.process, sample.incarnation)
        known = highest.get(identity, (0, 0))
        current = (sample.config_version, sample.operations_version)
        if current[0] < known[0] or current[1] < known[1]:
            yield Violation(
                rule=Rule.VERSIONS_NEVER_FALL,
                subject=sample.process,
                detail=f"from {known} to {current} (configuration, operations)",
            )
        highest[identity] = (max(known[0], current[0]), max(known[1], current[1]))


def check_overload(history: history_module.History) -> collections.abc.Iterator[Violation]:
    """Report endpoints that received more calls than their limit."""
    for endpoint in history.overloaded:
        yield Violation(
            rule=Rule.COLD_LIMIT,
            subject=endpoint,
            detail="a call arrived above the limit of the cold endpoint",
        )
