"""Raw sockets against an entry, because HTTP clients hide what is tested here."""

import asyncio

from masticward import settings
from masticward.transport import entry_http
from masticward.utils import addresses
from tests.lib import entry_fakes

HOST = addresses.own_loopback_host()


class ServerFixture:
    """An HTTP server in front of a router with fakes."""

    def __init__(
        self, *steps: entry_fakes.Step, limits: settings.EntryLimits | None = None
    ) -> None:
        self.entry = entry_fakes.EntryFixture(*steps, limits=limits)
        self.server = entry_http.EntryHttpServer(self.entry.router, f"{HOST}:0", self.entry.limits)
        self.port = 0

    async def __aenter__(self) -> "ServerFixture":
        self.port = await self.server.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.server.close()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(HOST, self.port)

    async def exchange(self, raw: bytes, seconds: float = 10.0) -> bytes:
        """Send bytes and return all that comes until the connection is closed."""
        reader, writer = await self.connect()
        try:
            writer.write(raw)
            async with asyncio.timeout(seconds):
                return await reader.read()
        finally:
            writer.close()


def request(
    path: str = "/v1/generate",
    body: bytes = b"{}",
    *,
    method: str = "POST",
    headers: dict[str, str] | None = None,
    credential: str = "mango-key",
    close: bool = True,
) -> bytes:
    """Return the bytes of a request."""
    fields = {
        "Host": "entry",
        "Authorization": f"Bearer {credential}",
        "Content-Length": str(len(body)),
        **({"Connection": "close"} if close else {}),
        **(headers or {}),
    }
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
