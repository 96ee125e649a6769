"""Endpoints that answer twice, the second time late, and the check on what callers get."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

SECOND_ANSWERS_S = 15.0

_SECOND_ANSWER_SHARE = 0.25
_FAILURE_SHARE = 0.15
_REFUSAL_SHARE = 0.1
# Time after the first answer; zero puts both into one segment.
_DELAYS_S = (0.0, 0.0005, 0.002, 0.005, 0.02, 0.05, 0.2, 0.8)
_MAX_WORK_S = 0.12


@dataclass(frozen=True, slots=True)
class AnswerRecord:
    """What an endpoint answered to one request.

    Attributes:
        body: The whole body.
    """

    attempt_id: str
    status: int
    endpoint_id: str
    body: bytes


@dataclass
class AnswerRecords:
    """The first answers of all endpoints.

    Attributes:
        by_signature: Each answer by the signature that it carries.
    """

    by_signature: dict[str, AnswerRecord] = field(default_factory=dict)

    def sign(self, endpoint_id: str, attempt_id: str, status: int, body: bytes = b"") -> str:
        """Record an answer and return its signature."""
        signature = f"signed-{endpoint_id}-{len(self.by_signature)}"
        self.by_signature[signature] = AnswerRecord(attempt_id, status, endpoint_id, body)
        return signature

    def find_violation(self, attempt_id: str, status: int, signature: str | None) -> str | None:
        """Return what is wrong with a signed answer that a caller got, if anything."""
        if signature is None:
            return None
        record = self.by_signature.get(signature)
        if record is not None and (record.attempt_id, record.status) == (attempt_id, status):
            return None
        return f"{attempt_id}: got {status} with signature {signature} of {record}"


@dataclass
class SecondAnswers:
    """Decides which answers an endpoint repeats on one connection, and when.

    Attributes:
        held_back: Answer that comes again at the place of the next one.
    """

    rng: random.Random
    writer: asyncio.StreamWriter
    held_back: bytes = b""

    async def async_work(self) -> None:
        """Take a while for a request."""
        await asyncio.sleep(self.rng.uniform(0.0, _MAX_WORK_S))

    def draw_status(self) -> int:
        """Return the status of the next answer; 503 is a refusal."""
        drawn = self.rng.random()
        if drawn < _REFUSAL_SHARE:
            return 503
        return 500 if drawn < _REFUSAL_SHARE + _FAILURE_SHARE else 200

    def write(self, answer: bytes) -> None:
        """Write an answer, after one that was held back; sometimes it comes again later."""
        self.writer.write(self.held_back + answer)
        self.held_back = b""
        if self.rng.random() >= _SECOND_ANSWER_SHARE:
            return
        if self.rng.random() < 0.5:
            self.held_back = answer
            return
        delay_s = self.rng.choice(_DELAYS_S)
        if delay_s == 0.0:
            self.writer.write(answer)
        else:
            asyncio.get_running_loop().call_later(delay_s, self._write_again, answer)

    def _write_again(self, answer: bytes) -> None:
        """Write an answer once more, unless the connection has ended."""
        if not self.writer.transport.is_closing():
            self.writer.write(answer)
