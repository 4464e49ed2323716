"""Endpoints that send a refusal once more where the response to the next request is due."""

import asyncio
import time

from tests.lib import platform_standins


class FullEndpoint:
    """Refuses requests while it is full, and runs them otherwise.

    With ``copies``, each refusal comes once more, before the response to the next request on the
    same connection. ``runs`` are the IDs of the requests that were run.
    """

    def __init__(self, copies: bool) -> None:
        self.copies = copies
        self.full_until = 0.0
        self.runs: list[str] = []
        self.late: dict[asyncio.StreamWriter, bytes] = {}
        self.copied = 0

    async def __call__(
        self, request: platform_standins.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        """Respond; return whether the connection stays open."""
        late = self.late.pop(writer, b"")
        if late:
            self.copied += 1
            writer.write(late)
        if time.monotonic() < self.full_until:
            refusal = (
                f"HTTP/1.1 503 X\r\nX-Masticward-Request-Id: {request.request_id}\r\n"
                "X-Masticward-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            ).encode()
            if self.copies:
                self.late[writer] = refusal
            writer.write(refusal)
            return True
        self.runs.append(request.request_id)
        await asyncio.sleep(0.1)
        body = b"id: 1\ndata: a\n\n"
        writer.write(platform_standins.complete_response(request, body))
        return True
