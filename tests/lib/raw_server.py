"""A small HTTP server that closes connections at chosen points and counts what arrives."""

import asyncio
import re
import typing

OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RawServer:
    """Answers every call whose path is not in ``faults``; those it treats as the fault says.

    ``close-on-head`` closes when the head has arrived, perhaps while the body is still being sent;
    any other text is sent when the whole call has arrived, then it closes.
    """

    def __init__(self, faults: dict[str, bytes]) -> None:
        self.faults = faults
        self.arrivals: list[tuple[str, str]] = []
        self.head = b""
        self.connections = 0
        # Sent while the connection is idle after a response.
        self.idle_bytes = b""
        self.server: typing.Any = None

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

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
        self.head = await reader.readuntil(b"\r\n\r\n")
        method, path, _ = self.head.split(b"\r\n")[0].decode().split(" ")
        self.arrivals.append((method, path))
        fault = self.faults.get(path)
        if fault == b"close-on-head":
            return False
        length = re.search(rb"(?i)content-length: (\d+)", self.head)
        await reader.readexactly(int(length[1]) if length else 0)
        answer = OK_ANSWER if method != "HEAD" else OK_ANSWER[:-2]
        writer.write(answer if fault is None else fault)
        await writer.drain()
        if self.idle_bytes:
            asyncio.get_running_loop().call_later(0.02, writer.write, self.idle_bytes)
        return fault is None
