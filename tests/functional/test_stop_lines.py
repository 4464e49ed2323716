"""Guards against stops that the logs can't tell apart, and against a stop that is planned late."""

import asyncio
import os
import signal

from masticward.daemons import gateway as gateway_daemon
from masticward.utils import clocks
from tests.functional import test_gateway
from tests.lib import platform_standins

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class LateSignalTest(test_gateway.GatewayCase):
    """Guards against requests that a late process begins although it will be killed before."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in STOP_SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))
            self.addCleanup(asyncio.get_running_loop().remove_signal_handler, number)

    async def test_the_grace_period_counts_from_the_arrival_of_the_signal(self) -> None:
        self.store.put("config", "main", platform_standins.configuration())
        running = asyncio.ensure_future(gateway_daemon.run_until_signal(self.program))
        await self.wait_until(lambda: self.fleet.configuration is not None)
        signalled_at = clocks.boot_time()
        os.kill(os.getpid(), signal.SIGTERM)
        while clocks.boot_time() < signalled_at + 0.7:
            pass
        await self.wait_until(lambda: self.fleet.stopping_at is not None)
        assert self.fleet.stopping_at is not None
        self.assertAlmostEqual(signalled_at, self.fleet.stopping_at, delta=0.1)
        cut_at = signalled_at + self.grace_s - gateway_daemon.STOP_MARGIN_SECONDS
        self.assertAlmostEqual(cut_at, self.fleet.ends_at, delta=0.1)
        self.assertEqual(0, await running)
