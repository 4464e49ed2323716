"""Guards against silent responses that are given up for a replacement which does not serve."""

from masticward.gateway import overlap
from tests.functional import test_gateway
from tests.lib import platform_standins, scripted_arrivals

# Above the longest gap that a stream may have before another endpoint is looked for.
PAUSE_SECONDS = 1.8
PLAIN_PAUSE_SECONDS = 0.8
# Two endpoints may be at work on one stream for no longer.
TWICE_SECONDS = 0.4


class OverlapCase(test_gateway.GatewayCase):
    """Several endpoints that share one script."""

    async def start_script(
        self, *behaviours: platform_standins.Behaviour, endpoints: int = 2
    ) -> scripted_arrivals.ArrivalScript:
        script = scripted_arrivals.ArrivalScript(*behaviours)
        for number in range(endpoints):
            await self.add_endpoint(f"e{number}", script)
        await self.start()
        return script


class RefusedReplacementTest(OverlapCase):
    """Guards against requests lost with a sound endpoint because its replacement refused."""

    async def test_a_paused_stream_goes_on_after_its_replacement_refused(self) -> None:
        script = await self.start_script(
            scripted_arrivals.NumberedStream(pauses={2: PAUSE_SECONDS}, source="a"),
            platform_standins.shed_request,
        )
        response = await self.call("resume")
        self.assertEqual(
            (scripted_arrivals.expected_events("a", "a", "a"), True),
            (response.body, response.complete),
        )
        self.assertEqual(2, len(script.arrivals))

    async def test_a_silent_request_is_answered_after_three_replacements_refused(self) -> None:
        script = await self.start_script(
            scripted_arrivals.Pausing(
                PLAIN_PAUSE_SECONDS, platform_standins.send_complete_response
            ),
            platform_standins.shed_request,
            endpoints=4,
        )
        response = await self.call("status", method="GET", body=b"")
        self.assertEqual((200, b"answer"), (response.status, response.body))
        self.assertEqual(4, len(script.arrivals))

    async def test_a_refusal_is_no_run_and_another_replacement_may_serve(self) -> None:
        script = await self.start_script(
            scripted_arrivals.NumberedStream(pauses={2: 60.0}, source="a"),
            platform_standins.shed_request,
            scripted_arrivals.NumberedStream(source="c"),
            endpoints=3,
        )
        response = await self.call("resume")
        self.assertEqual(
            (scripted_arrivals.expected_events("a", "c", "c"), True),
            (response.body, response.complete),
        )
        self.assertEqual(["1", "1"], [item.last_event_id for item in script.arrivals[1:]])

    async def test_an_endpoint_that_refused_is_tried_again_while_the_other_is_silent(self) -> None:
        await self.start_script(
            scripted_arrivals.NumberedStream(pauses={2: 60.0}, source="a"),
            platform_standins.shed_request,
            scripted_arrivals.NumberedStream(source="b"),
        )
        response = await self.call("resume")
        self.assertEqual(
            (scripted_arrivals.expected_events("a", "b", "b"), True),
            (response.body, response.complete),
        )

    async def test_a_stream_whose_replacement_refused_late_is_placed_once_more(self) -> None:
        # In a soak at a load average of 18, a refusal took 0.23 s. Both endpoints were excluded for
        # the rest of the request, and the stream was cut with 5.9 s left.
        script = await self.start_script(
            scripted_arrivals.NumberedStream(pauses={2: 60.0}, source="a"),
            scripted_arrivals.Pausing(0.4, scripted_arrivals.refuse),
            scripted_arrivals.NumberedStream(source="b"),
        )
        response = await self.call("resume")
        self.assertEqual(
            (scripted_arrivals.expected_events("a", "b", "b"), True),
            (response.body, response.complete),
        )
        self.assertEqual(3, len(script.arrivals))

    async def test_refusals_leave_the_retry_budget_to_others(self) -> None:
        # A silent request tried each endpoint that had refused once a second.
        script = await self.start_script(
            scripted_arrivals.Pausing(60.0, platform_standins.send_complete_response),
            scripted_arrivals.refuse,
            endpoints=4,
        )
        self.fleet.budget("app").slack = 1000.0
        self.assertEqual(504, (await self.call("status", method="GET", body=b"")).status)
        # Three seconds: each of the others once, and two of them once more.
        self.assertEqual(6, len(script.arrivals))

    async def test_a_replacement_that_fails_or_breaks_off_ends_no_silent_response(self) -> None:
        behaviours: dict[str, platform_standins.Behaviour] = {
            "failure": platform_standins.ScriptedResponse(b"x", status=500, framing="length"),
            "no proof": platform_standins.ScriptedResponse(b"id: 2\n\n", fields=""),
            "no events": platform_standins.send_complete_response,
            "closed": platform_standins.close_without_response,
            "closed after the head": scripted_arrivals.NumberedStream(broken_before=2),
        }
        for name, behaviour in behaviours.items():
            with self.subTest(name):
                await self.asyncTearDown()
                await self.asyncSetUp()
                script = await self.start_script(
                    scripted_arrivals.NumberedStream(pauses={2: PAUSE_SECONDS}, source="a"),
                    behaviour,
                )
                response = await self.call("resume")
                self.assertEqual(
                    (scripted_arrivals.expected_events("a", "a", "a"), True),
                    (response.body, response.complete),
                )
                # Both runs count toward max_attempts, which is 2.
                self.assertEqual(2, len(script.arrivals))


class OverlapTest(OverlapCase):
    """Guards against events twice or left out, and against two endpoints at work for long."""

    def outcomes(self) -> dict[tuple[str, str], float]:
        """Return how often overlaps ended in each way."""
        samples = self.program.gateway_metrics.overlaps.collect()[0].samples
        return {
            (sample.labels["kept"], sample.labels["outcome"]): sample.value
            for sample in samples
            if sample.name.endswith("_total")
        }

    async def test_a_silent_stream_that_goes_on_first_is_served_and_the_other_closed(self) -> None:
        script = await self.start_script(
            scripted_arrivals.NumberedStream(pauses={2: 1.25, 3: 0.5}, source="a"),
            scripted_arrivals.Pausing(60.0, scripted_arrivals.NumberedStream(source="b")),
        )
        response = await self.call("resume")
        self.assertEqual(
            (scripted_arrivals.expected_events("a", "a", "a"), True),
            (response.body, response.complete),
        )
        first, second = script.arrivals
        # Closed when the second event came, not at the end of the stream.
        self.assertLess(second.ended_at, first.ended_at - 0.2)
        self.assertEqual({("first", "first continued"): 1.0}, self.outcomes())
        self.assertEqual({}, dict(self.fleet.loads.own))

    async def test_a_replacement_that_begins_serves_and_the_silent_one_is_closed(self) -> None:
        script = await self.start_script(
            scripted_arrivals.NumberedStream(pauses={2: 60.0}, source="a"),
            scripted_arrivals.NumberedStream(pauses={3: 0.5}, source="b"),
        )
        response = await self.call("resume")
        self.assertEqual(
            (scripted_arrivals.expected_events("a", "b", "b"), True),
            (response.body, response.complete),
        )
        first, second = script.arrivals
        self.assertLess(first.ended_at, second.at + overlap.OVERLAP_SECONDS)
        self.assertEqual({("second", "second began"): 1.0}, self.outcomes())
        self.assertEqual({}, dict(self.fleet.loads.own))

    async def test_a_silent_stream_is_closed_once_the_other_has_not_refused_in_time(self) -> None:
        script = await self.start_script(
            scripted_arrivals.NumberedStream(pauses={2: 60.0}, source="a"),
            scripted_arrivals.Pausing(0.8, scripted_arrivals.NumberedStream(source="b")),
        )
        response = await self.call("resume")
        self.assertEqual(
            (scripted_arrivals.expected_events("a", "b", "b"), True),
            (response.body, response.complete),
        )
        first, second = script.arrivals
        self.assertGreater(first.ended_at, second.at + overlap.OVERLAP_SECONDS - 0.05)
        self.assertLess(first.ended_at, second.at + TWICE_SECONDS)
        self.assertEqual({("second", "second did not refuse in time"): 1.0}, self.outcomes())

    async def test_comments_of_a_silent_stream_do_not_end_its_replacement(self) -> None:
        await self.start_script(
            scripted_arrivals.NumberedStream(pauses={2: 60.0}, comment_seconds=0.05, source="a"),
            scripted_arrivals.Pausing(0.5, scripted_arrivals.NumberedStream(source="b")),
        )
        response = await self.call("resume")
        self.assertEqual(
            (scripted_arrivals.expected_events("a", "b", "b"), True),
            (response.body.replace(b": still here\n\n", b""), response.complete),
        )

    async def test_the_replacement_goes_on_if_the_silent_stream_breaks_off(self) -> None:
        script = await self.start_script(
            scripted_arrivals.NumberedStream(pauses={2: 1.25}, broken_before=2, source="a"),
            scripted_arrivals.Pausing(0.3, scripted_arrivals.NumberedStream(source="b")),
        )
        response = await self.call("resume")
        self.assertEqual(
            (scripted_arrivals.expected_events("a", "b", "b"), True),
            (response.body, response.complete),
        )
        self.assertEqual(2, len(script.arrivals))
        self.assertEqual({("second", "first failed"): 1.0}, self.outcomes())

    async def test_a_client_that_leaves_frees_both_endpoints(self) -> None:
        script = await self.start_script(
            scripted_arrivals.Pausing(60.0, platform_standins.send_complete_response)
        )
        _, writer = await self.send(self.request("status", method="GET", body=b""))
        await self.wait_until(lambda: len(script.arrivals) == 2)
        writer.close()
        await self.wait_until(lambda: all(item.ended_at for item in script.arrivals))
        self.assertEqual({}, dict(self.fleet.loads.own))
        self.assertEqual({("none", "request ended"): 1.0}, self.outcomes())

    async def test_both_sends_count_toward_the_retry_budget(self) -> None:
        await self.start_script(
            scripted_arrivals.NumberedStream(pauses={2: PAUSE_SECONDS}, source="a"),
            platform_standins.shed_request,
        )
        await self.call("resume")
        self.assertEqual(1, len(self.fleet.budget("app").retries))
