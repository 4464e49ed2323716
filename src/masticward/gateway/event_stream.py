"""Finds the ends of events in a stream of server-sent events."""

import re

EVENT_END = re.compile(rb"\r?\n\r?\n")
MAX_EVENT_END_BYTES = 4
# A line that is not a comment, in a block of event lines.
EVENT_FIELD = re.compile(rb"(?:^|\n)[^:\r\n]")
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


def find_ids(events: bytes) -> list[str]:
    """Return the IDs of the events in a part of a stream."""
    return [item.decode("latin-1") for item in EVENT_ID.findall(events)]


def is_event_stream(headers: list[tuple[bytes, bytes]]) -> bool:
    """Return whether a stream's response has events, as far as its headers tell."""
    content_types = [value for name, value in headers if name.lower() == b"content-type"]
    return all(value.strip().lower().startswith(b"text/event-stream") for value in content_types)


def follows(event_id: str, previous_id: str) -> bool:
    """Return whether an event may come after another one; numeric IDs increase."""
    if event_id.isdecimal() and previous_id.isdecimal():
        return int(event_id) > int(previous_id)
    return event_id != previous_id


class EventBuffer:
    """The bytes after the last complete event of a stream, as ``incomplete``."""

    __slots__ = ("incomplete",)

    def __init__(self) -> None:
        self.incomplete = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Take the next bytes of the stream and return the events that are complete now."""
        # What was searched before is not searched again: an event may come in many small parts.
        start = max(0, len(self.incomplete) - MAX_EVENT_END_BYTES + 1)
        self.incomplete += data
        end = 0
        for match in EVENT_END.finditer(self.incomplete, start):
            end = match.end()
        complete = bytes(self.incomplete[:end])
        del self.incomplete[:end]
        return complete

    def keep_last(self, size: int) -> None:
        """Drop the bytes before the last ``size`` of an incomplete event."""
        del self.incomplete[:-size]

    @property
    def ends_in_event(self) -> bool:
        """Whether a stream that ends here ends within an event or a line."""
        if not self.incomplete:
            return False
        return bool(EVENT_FIELD.search(self.incomplete)) or not self.incomplete.endswith(b"\n")
