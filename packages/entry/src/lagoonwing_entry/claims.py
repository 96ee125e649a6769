"""Claims on calls that may run only once, as the follower speaks of them."""

from __future__ import annotations

import msgspec

from lagoonwing_core.ids import Fingerprint, IdempotencyKey, MemberId, RequestId
from lagoonwing_core.result_codes import Outcome, ResultCode


class StoredAnswer(msgspec.Struct, frozen=True):
    """Answer of a claimed request, kept for replay."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    outcome: Outcome
    code: ResultCode


class TakeClaim(msgspec.Struct, frozen=True):
    """Claims the right to dispatch a request that is not idempotent."""

    member_id: MemberId
    key: IdempotencyKey
    fingerprint: Fingerprint
    request_id: RequestId


class ClaimGranted(msgspec.Struct, frozen=True):
    """The caller, and nobody else, may dispatch."""


class ClaimReplay(msgspec.Struct, frozen=True):
    """The request ran before; this is its answer."""

    answer: StoredAnswer


class ClaimInProgress(msgspec.Struct, frozen=True):
    """Another request holds the claim; whether it ran is not known."""


class ClaimMismatch(msgspec.Struct, frozen=True):
    """The key was used with another body."""


ClaimDecision = ClaimGranted | ClaimReplay | ClaimInProgress | ClaimMismatch
