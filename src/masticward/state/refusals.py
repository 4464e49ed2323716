"""Error responses that callers receive for refused and failed requests."""

import math

import msgspec

from masticward import errors

MILLISECONDS_PER_SECOND = 1000
CAPACITY_RETRY_MS = 1000
QUEUE_RETRY_MS = 500


class RefusalBody(msgspec.Struct, frozen=True):
    """The JSON body of a response that was not produced by an endpoint."""

    type: str
    message: str
    retry_after_ms: int


def encode(error: errors.RequestError) -> tuple[tuple[tuple[str, str], ...], bytes]:
    """Return the headers and the JSON body of the response for an error."""
    headers = [("content-type", "application/json")]
    if error.retry_after_ms:
        seconds = math.ceil(error.retry_after_ms / MILLISECONDS_PER_SECOND)
        headers.append(("retry-after", str(seconds)))
    if error.status == 401:
        headers.append(("www-authenticate", "Bearer"))
    body = RefusalBody(error.kind, error.message, error.retry_after_ms)
    return tuple(headers), msgspec.json.encode(body)


def bad_request(message: str) -> errors.RequestRefusedError:
    """Return the error for a malformed request."""
    return errors.RequestRefusedError(400, "bad-request", message)


def http_version(version: str) -> errors.RequestRefusedError:
    """Return the error for a request in an HTTP version other than 1.1."""
    return errors.RequestRefusedError(505, "http-version", f"HTTP {version} is not served")


def unknown_team() -> errors.RequestRefusedError:
    """Return the error for a request without a known credential."""
    return errors.RequestRefusedError(401, "unknown-team", "the credential is missing or unknown")


def unknown_service(method: str, path: str) -> errors.RequestRefusedError:
    """Return the error for a request that matches no operation."""
    return errors.RequestRefusedError(
        404, "unknown-service", f"no service declares {method} {path}"
    )


def too_large(limit_bytes: int) -> errors.RequestRefusedError:
    """Return the error for a request body above the size limit."""
    return errors.RequestRefusedError(
        413, "request-too-large", f"the request body exceeds {limit_bytes} bytes"
    )


def read_too_slow(seconds: float) -> errors.RequestRefusedError:
    """Return the error for a request body that was not received in time."""
    return errors.RequestRefusedError(
        408, "request-too-slow", f"the request body did not arrive within {seconds:g} s"
    )


def queue_full(error: errors.QueueFullError) -> errors.RequestRefusedError:
    """Return the error for a request that exceeds a limit of the entry queue."""
    return errors.RequestRefusedError(429, f"{error.scope}-queue-full", str(error), QUEUE_RETRY_MS)


def evicted() -> errors.RequestRefusedError:
    """Return the error for a waiting request evicted in favor of a team that holds less."""
    return errors.RequestRefusedError(
        429,
        "team-queue-full",
        "the entry is full and the team holds the largest part of it",
        QUEUE_RETRY_MS,
    )


def no_configuration() -> errors.RequestRefusedError:
    """Return the error for a request received before the first configuration."""
    return errors.RequestRefusedError(
        503, "no-configuration", "the entry has no configuration yet", CAPACITY_RETRY_MS
    )


def no_capacity(message: str) -> errors.RequestRefusedError:
    """Return the error for a request that was not assigned a slot in time."""
    return errors.RequestRefusedError(503, "no-capacity", message, CAPACITY_RETRY_MS)


def claim_unavailable(error: errors.ClaimUnavailableError) -> errors.RequestRefusedError:
    """Return the error for a call whose idempotency key could not be claimed."""
    return errors.RequestRefusedError(503, "claim-unavailable", str(error), error.retry_after_ms)


def key_of_other_request() -> errors.RequestRefusedError:
    """Return the error for an idempotency key that was used with another request."""
    return errors.RequestRefusedError(
        422, "key-of-other-request", "the idempotency key was used with another request"
    )


def key_unfinished() -> errors.OutcomeUnknownError:
    """Return the error for a repeated idempotency key that has no recorded outcome."""
    return errors.OutcomeUnknownError(
        409,
        "key-unfinished",
        "a call with this idempotency key runs or has an unknown outcome",
        CAPACITY_RETRY_MS,
    )


def outcome_not_kept() -> errors.OutcomeUnknownError:
    """Return the error for a repeat of a call whose response was too large to be recorded."""
    return errors.OutcomeUnknownError(
        409, "outcome-not-kept", "the call was completed; its response was too large to be kept"
    )


def attempt_failed(detail: str) -> errors.OutcomeUnknownError:
    """Return the error for a call that may have run but has no complete response."""
    return errors.OutcomeUnknownError(502, "attempt-failed", detail)


def deadline_passed() -> errors.OutcomeUnknownError:
    """Return the error for a deadline that passed after the call may have started."""
    return errors.OutcomeUnknownError(
        504, "deadline-passed", "the deadline passed after the call may have started"
    )
