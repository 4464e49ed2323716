"""Guards against one unexpected error that ends a whole gateway or is not told."""

import asyncio
import socket
import unittest.mock

from masticward import events
from masticward.daemons import gateway as gateway_daemon
from masticward.gateway import peering
from tests.functional import test_gateway


class UnexpectedErrorTest(test_gateway.GatewayCase):
    async def test_a_datagram_whose_handling_fails_is_logged_and_the_next_one_is_applied(
        self,
    ) -> None:
        await self.add_endpoint("e1")
        await self.start()
        transport = self.program.peering.transport
        assert transport is not None
        address = transport.get_extra_info("sockname")
        handled = []

        def fail_once(_: peering.Peering, data: bytes, sender: tuple[str, int]) -> None:
            handled.append(data)
            if len(handled) == 1:
                raise KeyError("unexpected")

        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)
        log = unittest.mock.patch.object(gateway_daemon, "LOGGER")
        with (
            unittest.mock.patch.object(peering.Peering, "datagram_received", fail_once),
            log as logger,
        ):
            for data in (b"first", b"second"):
                sender.sendto(data, address)
                await asyncio.sleep(0.05)
            await self.wait_until(lambda: len(handled) == 2)
        self.assertEqual([b"first", b"second"], handled)
        logged = [call.args[0] for call in logger.log.call_args_list]
        self.assertEqual([events.Event.CALLBACK_FAILED], logged)
        self.assertIn(
            b"masticward_gateway_failed_callbacks_total 1.0", self.program.metrics.render()
        )
        self.assertEqual(200, (await self.call("book")).status)
