"""Guards against chunked bodies that are read wrongly, cut short unnoticed, or without end."""

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from masticward import errors
from masticward.transport import chunked

MEBIBYTE = 1024 * 1024


def encode(parts: list[bytes], extension: bytes = b"", trailer: bytes = b"") -> bytes:
    chunks = b"".join(b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts)
    return chunks + b"0\r\n" + trailer + b"\r\n"


class ChunkedDecoderTest(unittest.TestCase):
    def decode(self, pieces: list[bytes]) -> tuple[bytes, chunked.ChunkedDecoder]:
        decoder = chunked.ChunkedDecoder()
        return b"".join(decoder.decode(piece) for piece in pieces), decoder

    @given(
        st.lists(st.binary(min_size=1, max_size=300), max_size=6),
        st.sampled_from([b"", b";a", b'; name="value"', b" "]),
        st.sampled_from([b"", b"A: b\r\n", b"A: b\r\nC: d\r\n"]),
        st.binary(max_size=20),
        st.lists(st.integers(min_value=0, max_value=2500), max_size=12),
    )
    def test_a_body_is_decoded_wherever_its_bytes_are_split(
        self,
        parts: list[bytes],
        extension: bytes,
        trailer: bytes,
        after: bytes,
        cuts: list[int],
    ) -> None:
        encoded = encode(parts, extension, trailer) + after
        positions = sorted({0, len(encoded), *(cut for cut in cuts if cut < len(encoded))})
        pieces = [encoded[start:end] for start, end in itertools.pairwise(positions)]
        data, decoder = self.decode(pieces)
        self.assertEqual((b"".join(parts), True), (data, decoder.ended))
        self.assertEqual(after, decoder.trailing)

    def test_a_body_cut_at_any_byte_has_not_ended(self) -> None:
        encoded = encode([b"first", b"second"], b";x", b"A: b\r\n")
        for length in range(len(encoded)):
            with self.subTest(length=length):
                self.assertFalse(self.decode([encoded[:length]])[1].ended)

    def test_malformed_bytes_are_an_error_at_any_split(self) -> None:
        for text in (
            b"\r\n",
            b"x\r\n",
            b"-1\r\na\r\n",
            b"+1\r\na\r\n",
            b"0x1\r\na\r\n",
            b"1_0\r\n",
            b"5\r\nhelloworld\r\n0\r\n\r\n",
            b"5\r\nhello\n\n0\r\n\r\n",
            b"5\r\nhello\r0\r\n\r\n",
            b"fffffffffffffffff\r\n",
            b"1;\x00\r\na\r\n",
        ):
            for pieces in ([text], [text[at : at + 1] for at in range(len(text))]):
                with self.subTest(pieces=pieces), self.assertRaises(errors.EndpointBrokenError):
                    self.decode(pieces)

    def test_lines_and_trailers_without_end_are_an_error_in_bounded_memory(self) -> None:
        flood = b"1" * 65536
        for start, piece in (
            (b"", flood),
            (b"1;", flood),
            (b"1\r\na\r\n", flood),
            (b"0\r\n", b"name: " + flood),
            (b"0\r\n", b"name: value\r\n" * 5000),
            (b"1;" + b"a" * 2000 + b"\r\n", b""),
        ):
            with self.subTest(start=start[:8]):
                decoder = chunked.ChunkedDecoder()
                with self.assertRaises(errors.EndpointBrokenError):
                    decoder.decode(start)
                    for _ in range(MEBIBYTE // len(piece) if piece else 0):
                        decoder.decode(piece)
                self.assertLess(len(decoder.buffered), 2 * len(flood))


if __name__ == "__main__":
    unittest.main()
