"""Guards the splitting of JSON text that cannot be decoded as a whole."""

import json
import unittest

import hypothesis
import hypothesis.strategies as st

from masticward.utils import json_fragments

SETTINGS = hypothesis.settings(max_examples=200, deadline=None, derandomize=True, database=None)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text('ab,:[]{}"\\ \u00e9\n', max_size=6),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=8,
)
STYLES = st.sampled_from([(",", ":"), (", ", ": "), (" ,\n", " : ")])


class JsonFragmentsTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(st.lists(VALUES, max_size=5), STYLES)
    def test_elements_are_those_of_a_decoder(self, value: list[object], style: tuple[str, str]):  # type: ignore[no-untyped-def]
        text = json.dumps(value, separators=style, ensure_ascii=False).encode()
        self.assertEqual(value, [json.loads(item) for item in json_fragments.elements(text)])

    @SETTINGS
    @hypothesis.given(st.dictionaries(st.text(max_size=4), VALUES, max_size=5), STYLES)
    def test_members_are_those_of_a_decoder(self, value: dict[str, object], style: tuple[str, str]):  # type: ignore[no-untyped-def]
        text = json.dumps(value, separators=style, ensure_ascii=False).encode()
        found = json_fragments.members(text)
        self.assertEqual(value, {name: json.loads(item) for name, item in found.items()})

    def test_parts_that_cannot_be_decoded_are_returned_as_they_are(self) -> None:
        for odd in (
            b"[" * 50_000 + b"]" * 50_000,
            b'{"a":' * 50_000 + b"1" + b"}" * 50_000,
            b"9" * 5_000,
            b"1e999",
            b"NaN",
            b'"\xff"',
            b'"\\udce9"',
            b'"\x01"',
        ):
            with self.subTest(odd[:20]):
                self.assertEqual([b"1", odd, b"2"], json_fragments.elements(b"[1,%b,2]" % odd))
                self.assertEqual({"a": odd}, json_fragments.members(b'{"a":%b}' % odd))

    def test_other_text_is_an_error(self) -> None:
        for text in (b"", b"1", b"[1", b'{"a":1', b'["a]', b"[[1]"):
            with self.subTest(text):
                self.assertRaises(ValueError, json_fragments.elements, text)
                self.assertRaises(ValueError, json_fragments.members, text)
