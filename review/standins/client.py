"""Stand-in of a client."""

from __future__ import annotations

import secrets
from typing import Any

from standins.http import Message, async_request
from standins.operator import HOST, KEY


def new_attempt_id() -> str:
    """Return the id of a new attempt."""
    return secrets.token_hex(8)


def request_headers(attempt_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a request."""
    return {
        "Host": HOST,
        "X-Lagoonwing-Attempt-Id": attempt_id,
        "X-Lagoonwing-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }


async def async_send(
    front: str,
    method: str,
    path: str,
    record: Any,
    *,
    body: bytes = b"",
    deadline_ms: int = 4000,
    attempt_id: str | None = None,
    **headers: str,
) -> Message | None:
    """Send one attempt on a new connection; return the answer, or None without one."""
    attempt_id = attempt_id or new_attempt_id()
    sent = {**request_headers(attempt_id, deadline_ms), **headers}
    record("request", attempt=attempt_id, to=front, request=f"{method} {path}", **headers)
    try:
        answer = await async_request(front, method, path, sent, body, deadline_ms / 1_000 + 1.0)
    except (OSError, EOFError, TimeoutError) as error:
        record("no answer", attempt=attempt_id, error=type(error).__name__)
        return None
    record(
        "answer",
        attempt=attempt_id,
        status=answer.status,
        complete=answer.is_complete,
        body=answer.body[:200].decode("latin-1"),
    )
    return answer
