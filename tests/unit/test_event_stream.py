"""Guards against an event in many small parts that takes the processor, and against lost bytes."""

import itertools
import re
import typing
import unittest
import unittest.mock

from masticward.gateway import event_stream

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n\r\n\n\ndata: d\n\n\nid: 3\ndata"


class CountedPattern:
    """A pattern that counts the bytes that it searches."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self.pattern = pattern
        self.searched_bytes = 0

    def finditer(self, data: bytes, start: int = 0) -> typing.Iterator[re.Match[bytes]]:
        self.searched_bytes += len(data) - start
        return self.pattern.finditer(data, start)


class EventBufferTest(unittest.TestCase):
    """Guards against work for each part of an event that grows with the parts before it."""

    def test_any_split_returns_the_same_bytes(self) -> None:
        whole = event_stream.EventBuffer()
        expected = whole.feed(STREAM)
        for first, second in itertools.combinations(range(len(STREAM) + 1), 2):
            buffer = event_stream.EventBuffer()
            parts = (STREAM[:first], STREAM[first:second], STREAM[second:])
            complete = b"".join(buffer.feed(part) for part in parts)
            self.assertEqual(STREAM, complete + bytes(buffer.incomplete))
            self.assertEqual(expected.rstrip(b"\r\n"), complete.rstrip(b"\r\n"))

    def test_each_byte_is_searched_a_few_times_at_most(self) -> None:
        pattern = CountedPattern(event_stream.EVENT_END)
        buffer = event_stream.EventBuffer()
        with unittest.mock.patch.object(event_stream, "EVENT_END", pattern):
            for _ in range(1000):
                self.assertEqual(b"", buffer.feed(b"x" * 10))
        self.assertLess(pattern.searched_bytes, 2 * 1000 * 10)


if __name__ == "__main__":
    unittest.main()
