"""Guards against requests without a whole answer whose cause the logs do not tell."""

import typing

import structlog.testing

from masticward import events
from tests.functional import test_gateway
from tests.lib import platform_standins


class RequestLinesCase(test_gateway.GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.lines = self.enterContext(structlog.testing.capture_logs())

    def lines_of(self, event: events.Event) -> list[typing.MutableMapping[str, typing.Any]]:
        return [line for line in self.lines if line["number"] == event.number]

    async def put_configuration(self, version: int, **changes: typing.Any) -> None:
        self.store.put("config", "main", platform_standins.configuration(version, **changes))
        await self.wait_until(lambda: self.fleet.configuration_version == version)


class RefusalLinesTest(RequestLinesCase):
    """Guards against a removed route that the logs can't tell from one that never existed.

    The record of an incident was full of "no route" without path, route or configuration.
    """

    async def refuse(
        self, route: str, **arguments: typing.Any
    ) -> typing.MutableMapping[str, typing.Any]:
        """Send a request that is refused and return its line."""
        response = await self.call(route, **arguments)
        line = self.lines_of(events.Event.GATEWAY_REQUEST_REFUSED)[-1]
        self.assertEqual(response.status, line["status"])
        return line

    async def test_a_missing_route_differs_from_one_that_was_removed(self) -> None:
        await self.start()
        routes = platform_standins.configuration()["routes"]
        await self.put_configuration(2, routes=routes[1:])
        line = await self.refuse("book")
        self.assertEqual(
            ("q1", 404, "/book/x", "POST", "api.example", 2, 1),
            tuple(
                line[name]
                for name in (
                    "request_id",
                    "status",
                    "path",
                    "method",
                    "host",
                    "config",
                    "earlier_config",
                )
            ),
        )
        self.assertLessEqual(line["removed_ms_ago"], line["config_age_ms"])
        self.assertGreaterEqual(line["proof_age_ms"], 0)
        self.assertNotIn("route", line)
        line = await self.refuse("nowhere")
        self.assertIsNone(line["earlier_config"])
        await self.put_configuration(3)
        await self.put_configuration(4, routes=routes[1:])
        self.assertEqual(3, (await self.refuse("book"))["earlier_config"])

    async def test_a_revoked_key_differs_from_an_unknown_one_and_is_not_logged(self) -> None:
        await self.start()
        await self.put_configuration(2, tenants=[{"name": "team-a", "api_keys": ["key-b"]}])
        revoked = await self.refuse("keyed", extra="Authorization: Bearer key-a\r\n")
        self.assertEqual(
            (401, 1, "keyed"), tuple(map(revoked.get, ("status", "earlier_config", "route")))
        )
        unknown = await self.refuse("keyed", extra="Authorization: Bearer other\r\n")
        self.assertIsNone(unknown["earlier_config"])
        self.assertNotIn("key-a", str(self.lines))

    async def test_a_refusal_after_an_attempt_names_the_endpoint_and_the_time_left(self) -> None:
        await self.add_endpoint("e1", platform_standins.close_without_response)
        await self.start()
        line = await self.refuse("book")
        self.assertEqual((502, "e1", 1), (line["status"], line["endpoint"], line["runs"]))
        self.assertGreater(line["left_ms"], line["elapsed_ms"])

    async def test_a_long_path_is_cut_in_the_line(self) -> None:
        await self.start()
        line = await self.refuse("nowhere" * 100)
        self.assertLess(len(line["path"]), 200)
