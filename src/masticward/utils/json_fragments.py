"""Splits JSON text into its parts without decoding them.

Unlike a decoder, it takes text whose parts cannot be decoded: values nested too deeply, numbers out
of range, strings in another encoding. Each part is left to the caller.
"""

import re

import msgspec

WHITESPACE = b" \t\r\n"
# Brackets come in runs, so that deep nesting costs few steps.
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|\[+|\]+|\{+|\}+|[,"]', re.DOTALL)
MEMBER = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:', re.DOTALL)


def split(text: bytes) -> list[bytes]:
    """Return the parts between the commas of an array or object; raise ValueError for others."""
    parts: list[bytes] = []
    depth = 0
    start = 0
    for token in TOKEN.finditer(text):
        first = token[0][:1]
        if first in b"[{":
            if depth == 0:
                start = token.start() + 1
            depth += len(token[0])
        elif token[0] == b'"':
            break
        elif first == b"," and depth == 1:
            parts.append(text[start : token.start()])
            start = token.end()
        elif first in b"]}":
            if len(token[0]) >= depth:
                last = text[start : token.start() + depth - 1]
                return [*parts, last] if parts or last.strip(WHITESPACE) else []
            depth -= len(token[0])
    raise ValueError("the text is no complete JSON array or object")


def elements(text: bytes) -> list[bytes]:
    """Return the elements of a JSON array as text; raise ValueError if it is none."""
    if text.lstrip(WHITESPACE)[:1] != b"[":
        raise ValueError("the text is no JSON array")
    return split(text)


def members(text: bytes) -> dict[str, bytes]:
    """Return the members of a JSON object as text, those whose name cannot be read left out.

    Raise ValueError if the text is no JSON object.
    """
    if text.lstrip(WHITESPACE)[:1] != b"{":
        raise ValueError("the text is no JSON object")
    found: dict[str, bytes] = {}
    for part in split(text):
        member = MEMBER.match(part)
        if member is None:
            continue
        try:
            name = msgspec.json.decode(member[1], type=str)
        except msgspec.DecodeError:
            continue
        found[name] = part[member.end() :].strip(WHITESPACE)
    return found
