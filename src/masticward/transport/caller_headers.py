"""What the entry reads from a caller's headers and which headers it passes on."""

import collections.abc
import math
import re

from masticward.state import refusals
from masticward.transport import connection_headers
from masticward.utils import clocks

BEARER_PREFIX = "bearer "
AUTHORIZATION = "authorization"
DEADLINE = "masticward-deadline"
COST_HINT = "masticward-cost-hint"
IDEMPOTENCY_KEY = "idempotency-key"
OWN_PREFIX = "masticward-"
LONGEST_KEY_CHARACTERS = 255

NOT_FORWARDED = (
    connection_headers.HOP_BY_HOP | connection_headers.FRAMING | {"alt-svc", AUTHORIZATION}
)
FORBIDDEN_IN_VALUES = frozenset("\r\n\0")
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9a-z-]+")
DOT_SEGMENTS = frozenset((".", ".."))

Headers = tuple[tuple[str, str], ...]


def checked(items: collections.abc.Iterable[tuple[str, str]]) -> Headers:
    """Return a request's headers with names in lower case. Raises RequestRefusedError.

    A name that is no token is refused, because other servers on the way may read it differently.
    """
    headers = tuple((name.lower(), value) for name, value in items)
    for name, value in headers:
        if not TOKEN.fullmatch(name):
            raise refusals.bad_request("a header name has characters that are not allowed")
        if not FORBIDDEN_IN_VALUES.isdisjoint(value) or not is_text(value):
            raise refusals.bad_request(f"header {name} has characters that are not allowed")
    return headers


def is_text(value: str) -> bool:
    """Tell whether the value was valid UTF-8 on the wire."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def single(headers: Headers, name: str) -> str:
    """Return the only value of a header, or an empty string. Raises RequestRefusedError."""
    values = [value for key, value in headers if key == name]
    if len(values) > 1:
        raise refusals.bad_request(f"header {name} is given {len(values)} times")
    return values[0].strip() if values else ""


def credential(headers: Headers) -> str:
    """Return the bearer credential, or an empty string."""
    value = single(headers, AUTHORIZATION)
    if value[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return ""
    return value[len(BEARER_PREFIX) :].strip()


def number(headers: Headers, name: str) -> float:
    """Return a header as a finite number above 0, or 0 if it is absent."""
    text = single(headers, name)
    if not text:
        return 0.0
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value <= 0:
        raise refusals.bad_request(f"header {name} must be a number above 0")
    return value


def deadline_seconds(headers: Headers) -> float:
    """Return the remaining time in seconds that the caller gives, or 0 if it gives none."""
    return number(headers, DEADLINE) / clocks.MILLISECONDS_PER_SECOND


def idempotency_key(headers: Headers) -> str:
    """Return the idempotency key, or an empty string."""
    key = single(headers, IDEMPOTENCY_KEY)
    if len(key) > LONGEST_KEY_CHARACTERS:
        raise refusals.bad_request(
            f"header {IDEMPOTENCY_KEY} exceeds {LONGEST_KEY_CHARACTERS} characters"
        )
    return key


def checked_target(raw: bytes) -> tuple[str, str]:
    """Return the path and the whole target (path with query) of a request line.

    Raises RequestRefusedError for a target that an endpoint could resolve to another path than
    the one that was matched, such as one with dot segments.
    """
    try:
        target = raw.decode("ascii")
    except UnicodeDecodeError:
        raise refusals.bad_request("the request target is not ASCII") from None
    path = target.partition("?")[0]
    if not path.startswith("/") or "#" in target or "\\" in path:
        raise refusals.bad_request("the request target is not an absolute path")
    lowered = path.lower()
    if "%2f" in lowered or "%5c" in lowered or "%00" in lowered:
        raise refusals.bad_request("the request path has an encoded separator")
    if not DOT_SEGMENTS.isdisjoint(lowered.replace("%2e", ".").split("/")):
        raise refusals.bad_request("the request path has dot segments")
    return path, target


def forwarded(headers: collections.abc.Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that are passed on, of a request or a response.

    Left out are hop-by-hop headers, those named by Connection, message framing, the caller's
    credential and the system's own headers.
    """
    listed = [(name.lower(), value) for name, value in headers]
    named = {
        token.strip().lower()
        for name, value in listed
        if name == "connection"
        for token in value.split(",")
    }
    dropped = NOT_FORWARDED | named
    return tuple(
        (name, value)
        for name, value in listed
        if name not in dropped
        and not name.startswith(OWN_PREFIX)
        and FORBIDDEN_IN_VALUES.isdisjoint(value)
    )
