"""Guards against peers that are let in without the shared key or with a wrong one."""

import unittest

import grpc
import grpc.aio

from masticward import settings
from masticward.transport import channels
from masticward.wire import masticward_pb2, masticward_pb2_grpc


def shared_key(key: str) -> settings.PeerSecurity:
    return settings.PeerSecurity(mode=settings.SecurityMode.SHARED_KEY, shared_key=key)


class EchoPeer(masticward_pb2_grpc.PeerServicer):
    async def Exchange(  # noqa: N802
        self, request: masticward_pb2.ViewDigest, context: grpc.aio.ServicerContext
    ) -> masticward_pb2.ViewDigest:
        return request


class SharedKeyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        transport = channels.PeerTransport(shared_key("right"))
        self.server = transport.create_server()
        masticward_pb2_grpc.add_PeerServicer_to_server(EchoPeer(), self.server)
        self.address = f"127.0.0.1:{transport.bind(self.server, '127.0.0.1:0')}"
        await self.server.start()

    async def asyncTearDown(self) -> None:
        await self.server.stop(0)

    async def exchange(self, key: str) -> masticward_pb2.ViewDigest:
        transport = channels.PeerTransport(shared_key(key))
        channel = transport.open_channel(self.address)
        try:
            stub = masticward_pb2_grpc.PeerStub(channel)
            return await stub.Exchange(
                masticward_pb2.ViewDigest(instance_id="a"), metadata=transport.metadata, timeout=5
            )
        finally:
            await channel.close()

    async def test_the_right_key_is_served(self) -> None:
        self.assertEqual("a", (await self.exchange("right")).instance_id)

    async def test_a_wrong_or_empty_key_is_refused(self) -> None:
        for key in ("wrong", ""):
            with self.subTest(key=key), self.assertRaises(grpc.aio.AioRpcError) as caught:
                await self.exchange(key)
            self.assertEqual(grpc.StatusCode.UNAUTHENTICATED, caught.exception.code())
