"""Guards against a load generator that records cut or refused calls as something else, and against
a meter that does not see messages."""

import asyncio
import random
import unittest

import aiohttp
import grpc.aio
import msgspec
from aiohttp import web

from masticward import settings
from masticward.bench import (
    calls,
    fairness,
    history,
    load,
    mixes,
    restrictions,
    traffic,
    zone_service,
)
from masticward.models import work
from masticward.transport import channels
from masticward.utils import identifiers
from masticward.wire import masticward_pb2, masticward_pb2_grpc
from tests.lib import fleets

PARTS = (b"data: a\n\n", b"data: b\n\n")
HEADERS = {"Masticward-Outcome": "complete", "Masticward-Request-Id": "r1"}


class LoadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cut = False
        self.plan = fleets.build(entries=1, writers=1, bookings=1)
        application = web.Application()
        application.router.add_post("/v1/bookings", self.answer)
        self.runner = web.AppRunner(application)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        self.history = history.History()
        targets = [
            load.Target(id="up", url=f"http://{host}:{port}", weight=0.001),
            load.Target(id="down", url="http://127.0.0.1:1", weight=1000.0),
        ]
        self.generator = load.LoadGenerator(self.history, load.Balancer(targets), 1, 10)
        await self.generator.__aenter__()

    async def asyncTearDown(self) -> None:
        await self.generator.__aexit__()
        await self.runner.cleanup()

    async def answer(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers=HEADERS)
        await response.prepare(request)
        await response.write(PARTS[0])
        await asyncio.sleep(0.05)
        if self.cut:
            assert request.transport is not None
            request.transport.close()
            return response
        await response.write(PARTS[1])
        await response.write_eof()
        return response

    async def call(self, only_entry: str = "") -> history.CallRecord:
        team = mixes.booking_loads(self.plan, 1)[0]
        spec = team.mix.make(random.Random(1), "c1")
        self.assertIsInstance(spec, calls.CallSpec)
        return await self.generator.call(team, spec, "c1", random.Random(1), only_entry)

    async def test_whole_answer_from_the_entry_that_accepts(self) -> None:
        record = await self.call()
        self.assertEqual("up", record.entry)
        self.assertIs(work.Outcome.COMPLETE, record.outcome)
        self.assertEqual(identifiers.body_digest(b"".join(PARTS)), record.response_digest)

    async def test_cut_stream_is_not_complete(self) -> None:
        self.cut = True
        record = await self.call("up")
        self.assertTrue(record.cut)
        self.assertIs(work.Outcome.UNKNOWN, record.outcome)

    async def test_no_connection_means_not_run(self) -> None:
        record = await self.call("down")
        self.assertIs(work.Outcome.NOT_RUN, record.outcome)

    async def test_open_load_does_not_wait_for_earlier_calls(self) -> None:
        """Fails if slow answers thin out the load, which hides the wait they cause."""
        self.generator.balancer.targets.pop("down")
        load_of_team = msgspec.structs.replace(
            mixes.booking_loads(self.plan, 1)[0], calls_per_second=1000.0
        )
        await self.generator.run([load_of_team], 60.0)
        sent = [record.sent_at for record in self.history.calls]
        first_end = min(record.ended_at for record in self.history.calls)
        self.assertEqual(10, len(sent), "the bound on calls holds")
        self.assertGreater(sum(1 for at in sent if at < first_end), 1)


class ZoneServiceTest(unittest.TestCase):
    def test_calls_count_for_the_phase_in_which_they_were_sent(self) -> None:
        """Fails if the slow calls of a zone's leaving are counted for a calm phase."""
        calls_made = [
            history.CallRecord(
                call_id=f"c{sent_at}",
                team="t",
                service="writer",
                operation="generate",
                idempotent=True,
                request_digest=0,
                sent_at=sent_at,
                first_byte_at=sent_at + wait,
                outcome=work.Outcome.COMPLETE,
            )
            for sent_at, wait in ((1.0, 0.1), (2.0, 0.9), (4.0, 0.3))
        ]
        made = history.History(calls=calls_made)
        leaving = [fairness.Interval(2.0, 3.0), fairness.Interval(4.0, 5.0)]
        figures = zone_service.first_token_figures(made, "writer", leaving)
        self.assertAlmostEqual(300.0, figures[50.0], delta=1.0)
        self.assertAlmostEqual(900.0, figures[99.0], delta=1.0)
        self.assertEqual(0.0, zone_service.first_token_figures(made, "other", leaving)[99.0])


class BalancerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.answers = [200]
        self.answered = 0
        application = web.Application()
        application.router.add_get("/ready", self.answer)
        self.runner = web.AppRunner(application, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        self.target = load.Target(id="e", url="", readiness_url=f"http://{host}:{port}/ready")
        self.balancer = load.Balancer([self.target])
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self) -> None:
        await self.session.close()
        await self.runner.cleanup()

    async def answer(self, request: web.Request) -> web.StreamResponse:
        """Answer with the next status, 0 meaning not in time."""
        self.answered += 1
        status = self.answers.pop(0)
        if not status:
            await asyncio.sleep(3600.0)
        return web.Response(status=status)

    async def probe(self, *answers: int) -> list[bool]:
        """Return the readiness after each of the answers."""
        self.answers = list(answers)
        found = []
        for _ in answers:
            await self.balancer.probe(self.session, self.target)
            found.append(self.target.ready)
        return found

    async def test_a_pause_of_the_balancer_does_not_empty_it(self) -> None:
        """Fails if calls are "not run" because one probe of each entry timed out together."""
        self.assertEqual([True, True, True], await self.probe(200, 0, 200))
        self.assertEqual([True, True, False, True], await self.probe(0, 0, 0, 200))

    async def test_an_entry_that_is_not_ready_or_gone_gets_no_calls(self) -> None:
        """Fails if an entry is used after it said that it drains, or when nothing listens."""
        self.assertEqual([False, True], await self.probe(503, 200))
        await self.runner.cleanup()
        await self.balancer.probe(self.session, self.target)
        self.assertFalse(self.target.ready)


class MeterTest(unittest.IsolatedAsyncioTestCase):
    async def test_counts_serialized_messages(self) -> None:
        class Servicer(masticward_pb2_grpc.PeerServicer):  # type: ignore[misc]
            async def Fetch(  # noqa: N802
                self, request: masticward_pb2.FetchRequest, context: grpc.aio.ServicerContext
            ) -> masticward_pb2.FetchReply:
                return masticward_pb2.FetchReply(version=1, value=b"v" * 1000)

        security = settings.PeerSecurity(mode=settings.SecurityMode.SHARED_KEY, shared_key="k")
        transport = channels.PeerTransport(security)
        server = transport.create_server()
        masticward_pb2_grpc.add_PeerServicer_to_server(Servicer(), server)
        port = transport.bind(server, "127.0.0.1:0")
        await server.start()
        meter = traffic.Meter()
        request = masticward_pb2.FetchRequest(known_version=7)
        with traffic.metered_channels(meter):
            channel = transport.open_channel(f"127.0.0.1:{port}")
            stub = masticward_pb2_grpc.PeerStub(channel)
            reply = await stub.Fetch(request, metadata=transport.metadata)
            await channel.close()
        await server.stop(0)
        self.assertEqual(request.ByteSize() + reply.ByteSize(), meter.control_bytes())


class RestrictionsTest(unittest.TestCase):
    def test_period_ends_when_work_is_allowed_again(self) -> None:
        kept = restrictions.Restrictions()
        kept.begin_zone("east", 10.0)
        kept.begin_endpoint("writer-1", "leaving", 20.0)
        kept.end("east", 30.0)
        ends = {
            period.availability_zone or period.endpoint: period.until for period in kept.periods()
        }
        self.assertEqual({"east": 30.0, "writer-1": restrictions.NEVER}, ends)
