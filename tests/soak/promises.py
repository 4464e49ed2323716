"""Checks of what callers and endpoints saw against what the pages promise."""

import collections
import itertools
import time

from tests.soak import callers, endpoints, world

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Time in which an answer that is due must have reached its caller.
ANSWER_SLACK_SECONDS = 0.5
# Differences of moments that were taken in different places.
CLOCK_SLACK_SECONDS = 0.25
# A stopping gateway closes the connection of a request that it doesn't pass on within this time.
LOSS_SECONDS = 0.2
# The rules excuse a request that was sent up to this long after a SIGTERM and on which an endpoint
# still worked in the last part of the grace. Only streams of these routes can be so long.
LONG_ROUTES = ("story", "serial")
LATE_REQUEST_SECONDS = 3.0
# The rule on lost requests ends this long after the grace.
AFTER_GRACE_SECONDS = 1.0
LAST_WORK_SECONDS = world.GRACE_SECONDS * 5 / 6
# Two endpoints may be at work on one stream for no longer.
TWICE_SECONDS = 0.4
# A gateway may have sent requests before it reads that an endpoint wants nothing.
PAUSE_SLACK_SECONDS = 0.5
MOST_IN_PAUSE = 2
LIMIT_REACHED = "time limit reached"
COLD_OVERAGE = 1.5
COLD_SLACK = 5


class Promises:
    """Checks one played seed; every method returns what it found broken."""

    def __init__(self, fleet: world.World, calls: list[callers.Call]) -> None:
        self.fleet = fleet
        self.calls = calls
        # Work that goes on has lasted until now.
        self.checked_at = time.monotonic()
        self.by_id = {call.request_id: call for call in calls}
        self.arrivals: list[endpoints.Arrival] = sorted(
            (
                arrival
                for endpoint in [*fleet.endpoints.values(), *fleet.gone_endpoints]
                for arrival in endpoint.arrivals
            ),
            key=lambda item: item.at,
        )
        self.runs: dict[str, list[endpoints.Arrival]] = collections.defaultdict(list)
        for arrival in self.arrivals:
            if arrival.run:
                self.runs[arrival.request_id].append(arrival)

    def check(self) -> list[str]:
        """Return every broken promise."""
        found = list(self.fleet.findings)
        for check in (
            self.whole_and_own_answers,
            self.parts_of_cut_answers,
            self.at_most_once,
            self.one_endpoint_at_work,
            self.true_refusals,
            self.own_team,
            self.revoked_keys,
            self.leaving_endpoints,
            self.announced_leaving,
            self.wanted_pauses,
            self.zones_out,
            self.configuration_in_force,
            self.answers_in_time,
            self.stops_cut_nothing,
            self.nothing_else_is_cut,
            self.repeat_budget,
            self.cold_endpoints,
        ):
            found += [f"{check.__name__}: {item}" for item in check()]
        return found

    def whole_and_own_answers(self) -> list[str]:
        """A success is the whole answer of the request's own endpoint, with its proof."""
        found = []
        for call in self.calls:
            if call.outcome is not callers.Outcome.ANSWERED or call.status != 200:
                continue
            if call.body != callers.expected_body(call):
                found.append(f"{call.request_id} got {call.body[:60]!r}")
            if b"x-masticward-response-seal" not in call.headers:
                found.append(f"{call.request_id} got a success without proof")
        return found

    def parts_of_cut_answers(self) -> list[str]:
        """What came of a success that was cut or left is the beginning of its whole answer."""
        return [
            f"{call.request_id} got {call.body[-80:]!r} before it was cut"
            for call in self.calls
            if call.outcome is not callers.Outcome.ANSWERED
            and call.status == 200
            and not callers.expected_body(call).startswith(call.body)
        ]

    def one_endpoint_at_work(self) -> list[str]:
        """A stream that goes on at another endpoint ends at the one before within the bound."""
        found = []
        for request_id, runs in self.runs.items():
            call = self.by_id[request_id]
            if call.route not in callers.KEYED_ROUTES:
                continue
            for before, after in itertools.pairwise(runs):
                over_at = after.at + TWICE_SECONDS
                both_until = min(before.ended_at, after.ended_at, self.checked_at)
                if (
                    both_until > over_at
                    and call.gateway.calm(after.at, over_at)
                    and before.endpoint.calm(after.at, over_at)
                    and after.endpoint.calm(after.at, over_at)
                ):
                    found.append(
                        f"{request_id} ran at two endpoints for {both_until - after.at:.2f} s"
                    )
        return found

    def at_most_once(self) -> list[str]:
        """What must not be repeated runs once; the others run twice at most."""
        return [
            f"{request_id} ran {len(runs)} times"
            for request_id, runs in self.runs.items()
            if len(runs) > (2 if self.by_id[request_id].repeatable else 1)
        ]

    def true_refusals(self) -> list[str]:
        """A refusal that says "not run" is true."""
        return [
            f"{call.request_id} was answered {call.status} and ran"
            for call in self.calls
            if call.status in NOT_RUN_STATUSES
            and not call.repeatable
            and call.request_id in self.runs
        ]

    def own_team(self) -> list[str]:
        """An endpoint gets the name of the key's team and never the key."""
        found = []
        for arrival in self.arrivals:
            call = self.by_id[arrival.request_id]
            if "authorization" in arrival.headers:
                found.append(f"{arrival.request_id} passed its key on")
            if arrival.headers.get("x-masticward-tenant", "") != call.team:
                found.append(f"{arrival.request_id} ran for another team")
        return found

    def revoked_keys(self) -> list[str]:
        """A key that was taken away lets nothing run after the bound, at any gateway."""
        found = []
        for request_id in self.runs:
            call = self.by_id[request_id]
            taken_at = self.fleet.revoked_at.get(call.key)
            if taken_at is not None and call.sent_at > taken_at + world.REVOKE_SECONDS:
                found.append(
                    f"{request_id} ran {call.sent_at - taken_at:.2f} s after {call.key} was taken"
                )
        return found

    def leaving_endpoints(self) -> list[str]:
        """An endpoint that leaves gets nothing new after the bound."""
        found = []
        for arrival in self.arrivals:
            left_at = arrival.endpoint.left_at
            call = self.by_id[arrival.request_id]
            if left_at is None or arrival.at <= left_at + world.DRAIN_SECONDS:
                continue
            if call.gateway.calm(left_at, arrival.at):
                late = arrival.at - left_at
                found.append(f"{arrival.request_id} reached a leaving endpoint {late:.2f} s late")
        return found

    def announced_leaving(self) -> list[str]:
        """A gateway that has passed an announcement on sends nothing new there after the bound."""
        told_at: dict[tuple[str, str, int], float] = {}
        found = []
        for arrival in self.arrivals:
            call = self.by_id[arrival.request_id]
            place = (arrival.endpoint.id, call.gateway.name, incarnation_of(call))
            # A request may have reached other endpoints than the one that announced it.
            announced = arrival.endpoint.says_leaving and b"server-leaving" in call.headers
            if call.outcome is callers.Outcome.ANSWERED and announced:
                told_at[place] = min(call.ended_at, told_at.get(place, call.ended_at))
        for arrival in self.arrivals:
            call = self.by_id[arrival.request_id]
            place = (arrival.endpoint.id, call.gateway.name, incarnation_of(call))
            late = call.sent_at - told_at.get(place, call.sent_at)
            if late > world.DRAIN_SECONDS:
                found.append(f"{arrival.request_id} was sent {late:.2f} s after an announcement")
        return found

    def wanted_pauses(self) -> list[str]:
        """While an endpoint wants nothing, it gets at most two requests of a gateway."""
        found = []
        for endpoint in [*self.fleet.endpoints.values(), *self.fleet.gone_endpoints]:
            for request_id, (refused_at, until) in endpoint.pauses.items():
                call = self.by_id[request_id]
                place = (call.gateway.name, incarnation_of(call))
                late = 0
                for arrival in endpoint.arrivals:
                    other = self.by_id[arrival.request_id]
                    if (
                        (other.gateway.name, incarnation_of(other)) == place
                        and refused_at + PAUSE_SLACK_SECONDS < arrival.at < until
                        and call.gateway.calm(refused_at, arrival.at)
                    ):
                        late += 1
                if late > MOST_IN_PAUSE:
                    found.append(f"{late} requests of {place[0]} in a pause of {endpoint.id}")
        return found

    def zones_out(self) -> list[str]:
        """A zone that is out gets nothing new after the bound."""
        found = []
        for zone, out_at, in_at in self.fleet.out:
            for arrival in self.arrivals:
                if arrival.endpoint.zone != zone:
                    continue
                if not out_at + world.EVACUATE_SECONDS < arrival.at < in_at:
                    continue
                call = self.by_id[arrival.request_id]
                if call.gateway.calm(out_at, arrival.at):
                    found.append(f"{arrival.request_id} reached {zone} while it was out")
        return found

    def configuration_in_force(self) -> list[str]:
        """A version is in force within the bound, and an older one never comes back."""
        found = []
        seen: dict[tuple[str, int], int] = {}
        moves = self.fleet.moves
        for arrival in self.arrivals:
            call = self.by_id[arrival.request_id]
            if call.route != "moving":
                continue
            newest = newest_move_of(arrival.endpoint.service, moves, arrival.at)
            if newest is None:
                found.append(f"{arrival.request_id} ran at {arrival.endpoint.service}")
                continue
            place = (call.gateway.name, incarnation_of(call))
            if newest < seen.get(place, 0) and calm_since(call, moves, newest):
                found.append(f"{arrival.request_id} ran by an older configuration again")
            seen[place] = max(seen.get(place, 0), newest)
            following = [at for _, _, at in moves[newest + 1 :]]
            if not following or call.sent_at <= following[0] + world.CONFIGURATION_SECONDS:
                continue
            if call.gateway.calm(following[0], call.sent_at):
                late = call.sent_at - following[0]
                found.append(f"{arrival.request_id} ran by a configuration {late:.2f} s too old")
        return found

    def answers_in_time(self) -> list[str]:
        """A calm gateway answers each request by its caller's deadline."""
        return [
            f"{call.request_id} at {call.gateway.name} ({call.outcome.value}) "
            f"had no answer after {call.ended_at - call.sent_at:.2f} s"
            for call in self.calls
            if call.sent_at
            and call.outcome is not callers.Outcome.LEFT
            and call.ended_at - (call.sent_whole_at or call.sent_at)
            > call.deadline_seconds + ANSWER_SLACK_SECONDS
            and call.gateway.calm(call.sent_at, call.ended_at)
        ]

    def stops_cut_nothing(self) -> list[str]:
        """Between SIGTERM and the exit, requests at sound endpoints are answered whole.

        One that was not passed on may cross the close of its connection, but is not kept waiting.
        """
        found = []
        for call in self.calls:
            if call.outcome is not callers.Outcome.CUT:
                continue
            outlasted = any(
                self.outlasts_stop(call, stop_at)
                for stop_at in call.gateway.stops
                if stop_at < call.ended_at
            )
            for stop_at in call.gateway.stops:
                # A stop that cut it with an excuse excuses it for stops that it did not end around.
                over_at = stop_at + world.GRACE_SECONDS + AFTER_GRACE_SECONDS
                if outlasted and not stop_at < call.ended_at < over_at:
                    continue
                if (
                    not stop_at - call.deadline_seconds
                    < call.sent_at
                    < (stop_at + world.GRACE_SECONDS)
                ):
                    continue
                if not self.excuse(call, stop_at):
                    sent, ended = call.sent_whole_at - stop_at, call.ended_at - stop_at
                    found.append(
                        f"{call.request_id} was sent {sent:.2f} s after a SIGTERM and cut "
                        f"{ended:.2f} s after it: {call.detail}"
                    )
        return found

    def excuse(self, call: callers.Call, stop_at: float | None) -> str:
        """Return why a cut request does not count as lost, around a stop or not, "" if it does."""
        runs = self.runs.get(call.request_id, [])
        held = call.sent_whole_at and call.ended_at > call.sent_whole_at + LOSS_SECONDS
        if call.limit_reached:
            return LIMIT_REACHED
        if not runs and not held:
            return "not passed on"
        if not call.gateway.calm(call.sent_at, call.ended_at):
            return "gateway disturbed"
        if not all(run.endpoint.calm(run.at, call.ended_at) for run in runs):
            return "endpoint disturbed"
        if stop_at is not None and self.outlasts_stop(call, stop_at):
            return "at work at the end of the grace"
        return ""

    def outlasts_stop(self, call: callers.Call, stop_at: float) -> bool:
        """Whether a long one was at work in the last part of the grace, and sent early enough."""
        return (
            call.route in LONG_ROUTES
            and call.sent_whole_at <= stop_at + LATE_REQUEST_SECONDS
            and any(
                run.at < stop_at + LAST_WORK_SECONDS <= run.ended_at
                for run in self.runs.get(call.request_id, [])
            )
        )

    def nothing_else_is_cut(self) -> list[str]:
        """While nothing is stopped or disturbed, what was passed on is answered whole."""
        found = []
        for call in self.calls:
            if call.outcome is not callers.Outcome.CUT or call.limit_reached:
                continue
            runs = self.runs.get(call.request_id, [])
            stopping = any(
                stop_at < call.ended_at < stop_at + world.GRACE_SECONDS + AFTER_GRACE_SECONDS
                for stop_at in call.gateway.stops
            )
            if (
                runs
                and not stopping
                and call.gateway.calm(call.sent_at, call.ended_at)
                and all(run.endpoint.calm(run.at, call.ended_at) for run in runs)
            ):
                found.append(
                    f"{call.request_id} was cut {call.ended_at - call.sent_at:.3f} s after it was "
                    f"sent, of {call.deadline_seconds} s: {call.detail}"
                )
        return found

    def repeat_budget(self) -> list[str]:
        """Repeated sends to a service stay within the budget of the whole fleet."""
        found = []
        for service in world.SERVICES:
            first: set[str] = set()
            repeats: list[float] = []
            for arrival in self.arrivals:
                if arrival.endpoint.service == service:
                    if arrival.request_id in first:
                        repeats.append(arrival.at)
                    first.add(arrival.request_id)
            sent = [self.by_id[request_id].sent_at for request_id in first]
            for index, start in enumerate(repeats):
                end = start + world.REPEAT_WINDOW_SECONDS
                count = sum(1 for at in repeats[index:] if at < end)
                asked = sum(1 for at in sent if start <= at < end)
                if count > world.REPEAT_RATIO * asked + world.REPEAT_SLACK:
                    found.append(f"{service}: {count} repeats of {asked} requests in 10 s")
                    break
        return found

    def cold_endpoints(self) -> list[str]:
        """A cold endpoint gets no more in a second than it can bear, from all gateways."""
        found = []
        most = world.COLD_PER_SECOND * COLD_OVERAGE + COLD_SLACK
        by_endpoint: dict[str, list[float]] = collections.defaultdict(list)
        for arrival in self.arrivals:
            if arrival.cold:
                by_endpoint[arrival.endpoint.id].append(arrival.at)
        for name, times in by_endpoint.items():
            for index, start in enumerate(times):
                count = sum(1 for at in times[index:] if at < start + 1.0)
                if count > most:
                    found.append(f"{name} got {count} requests in a second while cold")
                    break
        return found


def incarnation_of(call: callers.Call) -> int:
    """Return the number of the start of the gateway process that a request was sent to."""
    return sum(1 for at in call.gateway.started_at if at <= call.sent_at)


def newest_move_of(service: str, moves: list[tuple[int, str, float]], at: float) -> int | None:
    """Return the index of the newest accepted move to a service, None if there was none."""
    for index in range(len(moves) - 1, -1, -1):
        if moves[index][1] == service and moves[index][2] <= at + CLOCK_SLACK_SECONDS:
            return index
    return None


def calm_since(call: callers.Call, moves: list[tuple[int, str, float]], index: int) -> bool:
    """Whether a request was sent clearly after the move that follows ``index`` was accepted."""
    return (
        index + 1 < len(moves)
        and call.sent_at > moves[index + 1][2] + CLOCK_SLACK_SECONDS
        and call.gateway.calm(call.sent_at, call.ended_at)
    )
