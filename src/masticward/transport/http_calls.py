"""What the HTTP clients of the platform and of admin ports share."""

import time

import aiohttp

# aiohttp takes a timeout of 0 as none.
MINIMUM_TIMEOUT_SECONDS = 0.001
# Longest body that is held in memory; a faulty peer may send bytes without end.
MAX_BODY_BYTES = 16 * 1024 * 1024


def client_timeout(deadline: float) -> aiohttp.ClientTimeout:
    """Return the timeout that ends a call at a deadline in monotonic seconds."""
    return aiohttp.ClientTimeout(total=max(MINIMUM_TIMEOUT_SECONDS, deadline - time.monotonic()))


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the whole body; raise aiohttp.ClientPayloadError above ``MAX_BODY_BYTES``."""
    body = bytearray()
    async for data in response.content.iter_any():
        if len(body) + len(data) > MAX_BODY_BYTES:
            raise aiohttp.ClientPayloadError(f"the body exceeds {MAX_BODY_BYTES} bytes")
        body += data
    return bytes(body)


def describe(error: BaseException) -> str:
    """Return an error as text, by its type if it has no message."""
    return str(error) or type(error).__name__
