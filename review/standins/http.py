"""Plain HTTP/1.1 over asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

_HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class Message:
    """A request or a response.

    Attributes:
        start: Words of the start line.
        headers: Headers by name in lower case.
        is_complete: Whether all of the body arrived.
    """

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def async_read_message(reader: asyncio.StreamReader, *, is_response: bool) -> Message:
    """Read a message; of a body that ends early, return what there is.

    Raises:
        EOFError: The connection ended before the end of the head.
    """
    head = (await reader.readuntil(_HEAD_END)).decode("latin-1")
    first, *lines = head[: -len(_HEAD_END)].split("\r\n")
    words = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    start = (words[0], words[1], words[2] if len(words) > 2 else "")
    body, is_complete = await _async_read_body(reader, headers, is_response=is_response)
    return Message(start, headers, body, is_complete)


async def _async_read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, is_response: bool
) -> tuple[bytes, bool]:
    """Read a body; return it and whether it is complete."""
    parts: list[bytes] = []
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                parts.append((await reader.readexactly(size + 2))[:-2])
            await reader.readexactly(2)
        elif "content-length" in headers:
            parts.append(await reader.readexactly(int(headers["content-length"])))
        elif is_response:
            parts.append(await reader.read())
    except asyncio.IncompleteReadError as error:
        return b"".join([*parts, error.partial]), False
    except (ConnectionError, ValueError):
        return b"".join(parts), False
    return b"".join(parts), True


def encode_head(first: str, headers: dict[str, str]) -> bytes:
    """Return the head of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a body of known length."""
    return encode_head(first, {**headers, "Content-Length": str(len(body))}) + body


async def async_request(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Message:
    """Send a request on a new connection and return the response.

    Raises:
        OSError: The connection failed.
        EOFError: The connection ended before a response.
        TimeoutError: There was no response in time.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1", {"Host": host, **headers}, body))
            return await async_read_message(reader, is_response=True)
        finally:
            writer.close()
