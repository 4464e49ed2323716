"""Guards against channels that are kept for ever, or closed under running calls."""

import unittest

from masticward.transport import channels
from tests.lib import platforms


class ChannelPoolTest(unittest.IsolatedAsyncioTestCase):
    async def test_prune_keeps_connected_channels_of_unlisted_instances(self) -> None:
        transport = channels.PeerTransport(platforms.SECURITY)
        server = transport.create_server()
        address = f"{platforms.HOST}:{transport.bind(server, platforms.ANY_PORT)}"
        await server.start()
        pool = channels.ChannelPool(transport)
        await pool.get(address).channel_ready()
        pool.get("127.0.0.1:9")
        pool.get("127.0.0.2:9")
        await pool.prune({"127.0.0.2:9"})
        self.assertEqual({address, "127.0.0.2:9"}, set(pool.channels))
        await pool.close()
        await server.stop(None)
