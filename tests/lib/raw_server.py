"""A small HTTP server that closes connections at chosen points and counts what arrives."""

import asyncio
import collections.abc

OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RawServer:
    """Answers every call whose path is not in ``faults``; those it treats as the fault says.

    ``close-on-head`` closes when the head has arrived, perhaps while the body is still being sent;
    ``close`` when the whole call has arrived; any other text is sent as it is, then it closes.
    """

    def __init__(self, faults: collections.abc.Mapping[str, bytes] | None = None) -> None:
        self.faults = dict(faults or {})
        self.arrivals: list[tuple[str, str]] = []
        self.heads: list[bytes] = []
        self.connections = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        assert self.server is not None
        self.server.close()
        await self.server.wait_closed()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        method, path, _ = head.split(b"\r\n")[0].decode().split(" ")
        self.arrivals.append((method, path))
        self.heads.append(head)
        fault = self.faults.get(path)
        if fault == b"close-on-head":
            return False
        await reader.readexactly(self.length_of(head))
        if fault is None:
            writer.write(OK_ANSWER if method != "HEAD" else OK_ANSWER[:-2])
            return True
        if fault != b"close":
            writer.write(fault)
            await writer.drain()
        return False

    def length_of(self, head: bytes) -> int:
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return int(line.split(b":")[1])
        return 0
