"""An aiohttp middleware that keeps a request from being sent twice."""

import aiohttp


class ConnectionBrokenError(aiohttp.ClientError):
    """Raised when a connection broke after the request may have been sent."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Turn a broken connection into ConnectionBrokenError.

    aiohttp 3.14 sends GET, PUT and DELETE a second time after ClientOSError or
    ServerDisconnectedError, on fresh connections too, so ``force_close`` is not enough.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(str(error)) from error
