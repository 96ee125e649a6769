"""Requests of callers and announcements of endpoints, sent to an entry host."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from entry_const import ADDRESS, ENDPOINT_KEY, MEMBER_KEY
from tornado.httpclient import AsyncHTTPClient, HTTPResponse


@dataclass(frozen=True)
class StreamedResponse:
    """Parsed streamed response.

    Attributes:
        complete: Whether the chunked framing ended properly.
    """

    status: int
    headers: dict[str, str]
    events: list[Any]
    complete: bool

    @property
    def text(self) -> str:
        """Text of all tokens."""
        deltas = [event["choices"][0] for event in self.events if _has_choice(event)]
        return "".join(
            choice.get("text", "") or choice.get("delta", {}).get("content", "")
            for choice in deltas
        )

    @property
    def done(self) -> bool:
        """Whether the `[DONE]` event was received."""
        return "[DONE]" in self.events

    @property
    def last(self) -> Any:
        """Last event before `[DONE]`."""
        return [event for event in self.events if event != "[DONE]"][-1]


async def async_fetch(
    port: int,
    path: str,
    body: Any = None,
    method: str = "POST",
    headers: dict[str, str] | None = None,
    key: str = MEMBER_KEY,
) -> HTTPResponse:
    """Send a request to a caller port and return the complete response."""
    data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    return await AsyncHTTPClient().fetch(
        f"http://{ADDRESS}:{port}{path}",
        method=method,
        body=data,
        headers={"Authorization": f"Bearer {key}", **(headers or {})},
        raise_error=False,
        allow_nonstandard_methods=True,
    )


async def async_announce(address: str, record: dict[str, Any]) -> None:
    """Announce a record to a host."""
    response = await AsyncHTTPClient().fetch(
        f"http://{address}/announce",
        method="POST",
        body=json.dumps(record),
        headers={"Authorization": f"Bearer {ENDPOINT_KEY}"},
    )
    assert response.code == 200


def chat(prompt: str, **fields: Any) -> dict[str, Any]:
    """Return the body of a chat completion."""
    return {"model": "m1", "messages": [{"role": "user", "content": prompt}], **fields}


def chat_prompt(prompt: str) -> str:
    """Return the prompt as the endpoints receive it."""
    return f"user: {prompt}"


def request_bytes(path: str, body: bytes, *headers: str, key: str = MEMBER_KEY) -> bytes:
    """Return a request that closes its connection."""
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: x",
        "Connection: close",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def parse_streamed_response(raw: bytes) -> StreamedResponse:
    """Return a parsed raw response."""
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
    complete = True
    if headers.get("transfer-encoding") == "chunked":
        body, complete = _dechunk(body)
    events = [
        payload if payload == "[DONE]" else json.loads(payload)
        for payload in (
            line[len("data: ") :] for line in body.decode().split("\n") if line.startswith("data: ")
        )
    ]
    return StreamedResponse(int(lines[0].split()[1]), headers, events, complete)


def _dechunk(body: bytes) -> tuple[bytes, bool]:
    """Return the data of a chunked body and whether the framing ended properly."""
    data = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        if int(size, 16) == 0:
            return data, body == b"\r\n"
        data += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return data, False


def _has_choice(event: Any) -> bool:
    """Return whether an event has a choice."""
    return isinstance(event, dict) and bool(event.get("choices"))
