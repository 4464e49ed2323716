"""Minimal HTTP/1.1 for the stand-ins: reading and writing of whole messages."""

import asyncio

Headers = list[tuple[str, str]]


class Message:
    """The head and the body of a request or an answer."""

    def __init__(self, start: str, headers: Headers, body: bytes = b"") -> None:
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name: str) -> str | None:
        """Return the value of a header; None if it is missing."""
        return next((value for key, value in self.headers if key.lower() == name), None)

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(" ", 2)[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head; raise EOFError or OSError if the connection ends before or within it."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = text[:-4].split("\r\n")
    pairs = [line.partition(":") for line in lines]
    return Message(start, [(name.strip(), value.strip()) for name, _, value in pairs])


async def read_body(reader: asyncio.StreamReader, message: Message, is_answer: bool) -> None:
    """Read the body that the head declares."""
    if (message.get("transfer-encoding") or "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while (await reader.readuntil(b"\r\n")) != b"\r\n":
            pass
        message.body = b"".join(parts)
    elif (length := message.get("content-length")) is not None:
        message.body = await reader.readexactly(int(length))
    elif is_answer:
        message.body = await reader.read()


async def read_message(reader: asyncio.StreamReader, is_answer: bool = False) -> Message:
    """Read a whole message."""
    message = await read_head(reader)
    await read_body(reader, message, is_answer)
    return message


def encode(start: str, headers: Headers, body: bytes = b"", with_length: bool = True) -> bytes:
    """Return the bytes of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    if with_length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
