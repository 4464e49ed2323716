"""Encoding and decoding of the platform's request and response headers."""

import re
import urllib.parse

import msgspec

from masticward import errors
from masticward.gateway import sources
from masticward.models import gateway
from masticward.platform import names
from masticward.utils import clocks

REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,200}\Z")
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"(?:^|[ ,;])timeout=(\d+)", re.IGNORECASE)
# Deadline of a request that has none: the longest one that the platform's clients use.
DEFAULT_DEADLINE_SECONDS = 10.0
# Up to nine digits: no endpoint has more requests, and no work takes that many percent.
LOAD_FIGURE_PATTERN = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
# Running, waiting, slots, percentage; later ones are ignored.
LOAD_FIGURES = 4
RETRY_AFTER_PATTERN = re.compile(r"\d+(\.\d+)?", re.ASCII)
# Larger numbers are not exact as floating-point numbers, and the largest cannot be converted, or
# sent to other gateways.
MAX_NUMBER = 2**53


def header_text(headers: dict[bytes, bytes], name: bytes) -> str | None:
    """Return a header's value without surrounding whitespace; None if it is missing."""
    value = headers.get(name)
    return None if value is None else value.decode("latin-1").strip()


def parse_number(text: str) -> int:
    """Return a whole number; raise ValueError if it is none or above ``MAX_NUMBER``."""
    number = int(text)
    if abs(number) > MAX_NUMBER:
        raise ValueError(f"{text[:60]} is out of range")
    return number


def parse_token_counts(text: str | None) -> tuple[int, int]:
    """Return prompt tokens and maximum output tokens; zeros if the header is missing.

    Raise BadRequestError if a count is not a usable number.
    """
    if text is None:
        return 0, 0
    try:
        prompt, _, output = text.partition(",")
        return max(0, parse_number(prompt)), max(0, parse_number(output or "0"))
    except ValueError as error:
        raise errors.BadRequestError(f"token counts {text[:60]!r} are not numbers") from error


def parse_prompt_parts(text: str | None) -> tuple[gateway.PromptPart, ...]:
    """Return the parts of a prompt; raise BadRequestError if a part has no size."""
    if not text:
        return ()
    parts = []
    for item in text.split(","):
        part_id, _, tokens = item.strip().partition(":")
        try:
            parts.append(gateway.PromptPart(part_id, parse_number(tokens)))
        except ValueError as error:
            raise errors.BadRequestError(f"prompt part {item[:60]!r} has no size") from error
    return tuple(parts)


def parse_api_key(text: str | None) -> str | None:
    """Return the API key of an authorization header.

    The key is None without a header and empty for a scheme other than bearer.
    """
    if text is None:
        return None
    scheme, _, key = text.partition(" ")
    return key.strip() if scheme.lower() == names.BEARER_SCHEME else ""


class HeaderCodec(sources.RequestCodec):
    """Codec for the platform's headers."""

    def request_id(self, headers: list[tuple[bytes, bytes]]) -> str | None:
        """Return the ID of a client's request, None without a valid one."""
        for name, value in headers:
            if name.lower() == names.REQUEST_ID and REQUEST_ID_PATTERN.match(value):
                return value.decode("latin-1")
        return None

    def decode_request(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        arrived_at: float,
    ) -> gateway.RequestMetadata:
        """Return the metadata of a request; raise BadRequestError if it is invalid."""
        lowercase = [(name.lower(), value) for name, value in headers]
        by_name = dict(lowercase)
        request_id = by_name.get(names.REQUEST_ID)
        if request_id is None or not REQUEST_ID_PATTERN.match(request_id):
            raise errors.BadRequestError("the request id is missing or not printable")
        if names.TRANSFER_ENCODING in by_name and names.CONTENT_LENGTH in by_name:
            raise errors.BadRequestError("both content-length and transfer-encoding")
        deadline_text = header_text(by_name, names.DEADLINE_MS)
        remaining_seconds = DEFAULT_DEADLINE_SECONDS
        if deadline_text is not None:
            try:
                remaining_seconds = parse_number(deadline_text) / clocks.MILLISECONDS_PER_SECOND
            except ValueError as error:
                raise errors.BadRequestError("the deadline is not a whole number") from error
        prompt_tokens, output_tokens = parse_token_counts(header_text(by_name, names.TOKEN_COUNTS))
        removed_names = (
            names.SYSTEM_HEADERS
            | names.CONNECTION_HEADERS
            | {names.AUTHORIZATION, names.DEADLINE_MS, names.LAST_EVENT_ID}
            | {
                item.strip().lower()
                for name, value in lowercase
                if name == names.CONNECTION
                for item in value.split(b",")
            }
        )
        # Endpoints need these in each request; a client's Connection header must not remove them.
        removed_names -= {
            names.HOST,
            names.REQUEST_ID,
            names.MODEL,
            names.TOKEN_COUNTS,
            names.PROMPT_PARTS,
        }
        path = target.split(b"?", 1)[0].decode("latin-1")
        if not path.startswith("/"):
            path = urllib.parse.urlsplit(path).path
        return gateway.RequestMetadata(
            request_id=request_id.decode("latin-1"),
            method=method,
            target=target,
            host=(header_text(by_name, names.HOST) or "").lower(),
            path=path,
            deadline=arrived_at + remaining_seconds,
            api_key=parse_api_key(header_text(by_name, names.AUTHORIZATION)),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            parts=parse_prompt_parts(header_text(by_name, names.PROMPT_PARTS)),
            last_event_id=header_text(by_name, names.LAST_EVENT_ID),
            forwarded_headers=tuple(
                item for item in headers if item[0].lower() not in removed_names
            ),
            arrived_at=arrived_at,
        )

    def encode_request(
        self,
        metadata: gateway.RequestMetadata,
        endpoint: gateway.Endpoint,
        team: str | None,
        remaining_ms: int,
        body_bytes: int,
        last_event_id: str | None,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of the request to an endpoint."""
        headers = list(metadata.forwarded_headers)
        headers.append((names.DEADLINE_MS, str(remaining_ms).encode()))
        headers.append((names.EXPECTED_ENDPOINT, endpoint.id.encode()))
        if team is not None:
            headers.append((names.TEAM, team.encode()))
        if last_event_id is not None:
            headers.append((names.LAST_EVENT_ID, last_event_id.encode("latin-1")))
        if body_bytes or metadata.method not in (b"GET", b"HEAD"):
            headers.append((names.CONTENT_LENGTH, str(body_bytes).encode()))
        return headers

    def decode_response_head(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> gateway.ResponseMetadata:
        """Return the metadata of an endpoint's response."""
        by_name = {name.lower(): value for name, value in headers}
        timeout = KEEP_ALIVE_TIMEOUT_PATTERN.search(by_name.get(names.KEEP_ALIVE, b""))
        load = parse_load(header_text(by_name, names.LOAD))
        encoding = by_name.get(names.CONTENT_ENCODING, b"identity").lower()
        return gateway.ResponseMetadata(
            request_id=header_text(by_name, names.REQUEST_ID),
            signed=names.PROOF in by_name,
            # 421 is Misdirected Request: the request was meant for another endpoint.
            not_run=names.NOT_RUN in by_name or status == 421,
            encoded=encoding != b"identity",
            keep_alive_seconds=float(timeout[1]) if timeout else None,
            closes=b"close" in by_name.get(names.CONNECTION, b"").lower(),
            wanted_pause_seconds=parse_pause(status, header_text(by_name, names.RETRY_AFTER)),
            leaving=by_name.get(names.LEAVING, b"").strip() == b"1",
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            work_percent=load.work_percent,
        )

    def response_headers(self, headers: list[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
        """Return the headers of an endpoint's response that are sent to the client."""
        return [item for item in headers if item[0].lower() not in names.CONNECTION_HEADERS]

    def refusal_headers(
        self, request_id: str | None, retry_after_seconds: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a response that the gateway generates itself."""
        headers: list[tuple[bytes, bytes]] = []
        if request_id is not None:
            headers.append((names.REQUEST_ID, request_id.encode("latin-1")))
        if retry_after_seconds is not None:
            headers.append((names.RETRY_AFTER, f"{retry_after_seconds:.2f}".encode()))
        return headers


def parse_pause(status: int, retry_after: str | None) -> float | None:
    """Return the seconds for which an endpoint wants no request, None if it does not say so.

    A date or another text that is no plain number counts as nothing.
    """
    # 503 is Service Unavailable: with other statuses the field concerns the client alone.
    if status != 503 or retry_after is None or not RETRY_AFTER_PATTERN.fullmatch(retry_after):
        return None
    return min(float(retry_after), float(MAX_NUMBER))


class ReportedLoad(msgspec.Struct, frozen=True):
    """The figures of a load header; None for each that is missing or invalid."""

    running: int | None
    waiting: int | None
    slots: int | None
    work_percent: float | None


def parse_load(text: str | None) -> ReportedLoad:
    """Return the figures of a load header. One that is invalid does not affect the others."""
    figures = [
        float(item.strip()) if LOAD_FIGURE_PATTERN.fullmatch(item.strip()) else None
        for item in (text or "").split(",", LOAD_FIGURES)[:LOAD_FIGURES]
    ]
    figures += [None] * (LOAD_FIGURES - len(figures))
    running, waiting, slots = (
        None if figure is None or not figure.is_integer() else int(figure) for figure in figures[:3]
    )
    return ReportedLoad(running, waiting, slots, figures[3] or None)
