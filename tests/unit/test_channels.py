"""Guards against peers that are let in without the right key or certificate."""

import pathlib
import tempfile
import unittest

import grpc
import grpc.aio
import trustme

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


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against peers without a certificate of the fleet's own authority."""

    async def asyncSetUp(self) -> None:
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.authority = trustme.CA()
        self.transport = channels.PeerTransport(self.tls("fleet", self.authority))
        self.server = self.transport.create_server()
        masticward_pb2_grpc.add_PeerServicer_to_server(EchoPeer(), self.server)
        self.address = f"127.0.0.1:{self.transport.bind(self.server, '127.0.0.1:0')}"
        await self.server.start()
        self.addAsyncCleanup(self.server.stop, 0)

    def tls(self, name: str, signer: trustme.CA) -> settings.PeerSecurity:
        """Return settings with a certificate of ``signer`` that trust the fleet's authority."""
        folder = pathlib.Path(self.directory.name)
        issued = signer.issue_cert("127.0.0.1")
        files = {
            "certificate_file": folder / f"{name}.crt",
            "private_key_file": folder / f"{name}.key",
            "authority_file": folder / f"{name}.ca",
        }
        issued.cert_chain_pems[0].write_to_path(str(files["certificate_file"]))
        issued.private_key_pem.write_to_path(str(files["private_key_file"]))
        self.authority.cert_pem.write_to_path(str(files["authority_file"]))
        return settings.PeerSecurity(
            mode=settings.SecurityMode.TLS, **{key: str(path) for key, path in files.items()}
        )

    async def exchange(self, security: settings.PeerSecurity) -> masticward_pb2.ViewDigest:
        transport = channels.PeerTransport(security)
        channel = transport.open_channel(self.address)
        try:
            stub = masticward_pb2_grpc.PeerStub(channel)
            return await stub.Exchange(
                masticward_pb2.ViewDigest(instance_id="a"), metadata=transport.metadata, timeout=3
            )
        finally:
            await channel.close()

    async def test_a_certificate_of_the_authority_is_served(self) -> None:
        answer = await self.exchange(self.tls("peer", self.authority))
        self.assertEqual("a", answer.instance_id)

    async def test_a_certificate_of_another_authority_is_refused(self) -> None:
        with self.assertRaises(grpc.aio.AioRpcError) as caught:
            await self.exchange(self.tls("stranger", trustme.CA()))
        self.assertEqual(grpc.StatusCode.UNAVAILABLE, caught.exception.code())

    async def test_a_peer_without_tls_is_refused(self) -> None:
        with self.assertRaises(grpc.aio.AioRpcError) as caught:
            await self.exchange(shared_key("any"))
        self.assertEqual(grpc.StatusCode.UNAVAILABLE, caught.exception.code())
