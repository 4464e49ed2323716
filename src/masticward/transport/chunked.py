"""Decoder of chunked response bodies.

h11 takes several events and state changes for each chunk, and a stream sends a chunk for each
event. This decoder takes one pass for all bytes that were read at once.
"""

import re

from masticward import errors

CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\Z")
# A chunk header without extensions, with the end of its line.
PLAIN_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})\r\n")
# Longest chunk header or trailer section; a faulty peer may send one without end.
MAX_LINE_BYTES = 1024
MAX_TRAILER_BYTES = 16 * 1024
LINE_END = b"\r\n"


class ChunkedDecoder:
    """Incremental decoder of one body. ``trailing`` holds the bytes after the end of the body."""

    __slots__ = ("buffered", "ended", "in_trailer", "remaining", "trailer_bytes")

    def __init__(self, received: bytes = b"") -> None:
        # Bytes that are received and not decoded: part of a line, or what follows the body.
        self.buffered = received
        # Bytes that are left of the current chunk, with the line end after its data.
        self.remaining = 0
        self.in_trailer = False
        self.trailer_bytes = 0
        self.ended = False

    @property
    def trailing(self) -> bytes:
        """The bytes that were received after the end of the body."""
        return self.buffered if self.ended else b""

    def decode(self, received: bytes) -> bytes:
        """Return the data in newly received bytes; raise EndpointBrokenError if malformed."""
        source = self.buffered + received if self.buffered else received
        position = 0
        data: list[bytes] = []
        while position < len(source) and not self.ended:
            if self.remaining:
                position = self.take_chunk_data(source, position, data)
                continue
            if not self.in_trailer and (match := PLAIN_CHUNK_SIZE.match(source, position)):
                # Most chunks are received whole.
                start = match.end()
                end = start + int(match[1], 16)
                if end > start and source.startswith(LINE_END, end):
                    data.append(source[start:end])
                    position = end + len(LINE_END)
                    continue
            end = source.find(LINE_END, position)
            if end < 0:
                break
            line = source[position:end]
            position = end + len(LINE_END)
            if self.in_trailer:
                self.take_trailer_line(line)
            else:
                self.take_chunk_size(line)
        self.buffered = source[position:]
        if not self.ended and len(self.buffered) > MAX_LINE_BYTES:
            raise errors.EndpointBrokenError("a line of the chunked body is too long")
        return b"".join(data)

    def take_chunk_data(self, source: bytes, position: int, data: list[bytes]) -> int:
        """Take bytes of the current chunk and return the position after them."""
        end = min(len(source), position + self.remaining)
        # The last two bytes of a chunk are the line end after its data.
        data_end = max(position, min(end, position + self.remaining - len(LINE_END)))
        if data_end > position:
            data.append(source[position:data_end])
        self.remaining -= data_end - position
        line_end = source[data_end:end]
        expected = LINE_END[len(LINE_END) - self.remaining :] if line_end else b""
        if not expected.startswith(line_end):
            raise errors.EndpointBrokenError("chunk data do not end where the chunk size says")
        self.remaining -= len(line_end)
        return end

    def take_chunk_size(self, line: bytes) -> None:
        """Begin the chunk of a chunk header, or the trailer after the last chunk."""
        match = CHUNK_SIZE.match(line)
        if match is None or len(line) > MAX_LINE_BYTES:
            raise errors.EndpointBrokenError(f"not a chunk size: {line[:40]!r}")
        size = int(match[1], 16)
        if size:
            self.remaining = size + len(LINE_END)
        else:
            self.in_trailer = True

    def take_trailer_line(self, line: bytes) -> None:
        """Take one line of the trailer; the body ends after an empty one."""
        self.trailer_bytes += len(line) + len(LINE_END)
        if not line:
            self.ended = True
        elif self.trailer_bytes > MAX_TRAILER_BYTES:
            raise errors.EndpointBrokenError(f"the trailer exceeds {MAX_TRAILER_BYTES} bytes")
