"""Counts tokens in an engine's requests and server-sent events."""

import msgspec

DATA_PREFIX = b"data:"
END_MARK = b"[DONE]"
# A line longer than this is counted by its start only, so an endless line cannot fill the memory.
LONGEST_LINE_KEPT = 64
# Used for the charge if a request does not say how many tokens its prompt has.
BYTES_PER_TOKEN = 4


class PromptSize(msgspec.Struct):
    """The part of a generation request that the charge depends on."""

    prompt_tokens: float


class TokenCounter:
    """Counts ``data:`` events in a stream that arrives in arbitrary pieces."""

    __slots__ = ("done", "line")

    def __init__(self) -> None:
        self.line = b""
        self.done = False

    def feed(self, data: bytes) -> int:
        """Return how many token events ended in this piece."""
        *complete, rest = data.split(b"\n")
        tokens = 0
        for piece in complete:
            tokens += self.end_line(self.line + piece)
            self.line = b""
        self.line = (self.line + rest)[:LONGEST_LINE_KEPT]
        return tokens

    def end_line(self, line: bytes) -> int:
        """Return 1 if the line is a token event; note the end mark."""
        if not line.startswith(DATA_PREFIX):
            return 0
        if line[len(DATA_PREFIX) :].strip() == END_MARK:
            self.done = True
            return 0
        return 1


def prompt_tokens(body: bytes) -> float:
    """Return the prompt tokens that a request names, or an estimate from its size."""
    try:
        named = msgspec.json.decode(body, type=PromptSize).prompt_tokens
    except msgspec.MsgspecError:
        named = -1.0
    return named if named >= 0 else len(body) / BYTES_PER_TOKEN
