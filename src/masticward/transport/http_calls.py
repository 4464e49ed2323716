"""What the HTTP clients of the platform and of admin ports share."""

import time

import aiohttp

# aiohttp takes a timeout of 0 as none.
MINIMUM_TIMEOUT_SECONDS = 0.001


def client_timeout(deadline: float) -> aiohttp.ClientTimeout:
    """Return the timeout that ends a call at a deadline in monotonic seconds."""
    return aiohttp.ClientTimeout(total=max(MINIMUM_TIMEOUT_SECONDS, deadline - time.monotonic()))


def describe(error: BaseException) -> str:
    """Return an error as text, by its type if it has no message."""
    return str(error) or type(error).__name__
