"""A control state machine with the commands that tests apply to it."""

from __future__ import annotations

from lagoonwing_control import ControlStateMachine
from lagoonwing_control._state_machine import decode_results, encode_batch
from lagoonwing_control.models import (
    Batch,
    Claim,
    OperatorChange,
    SetConfiguration,
)
from lagoonwing_core.ids import (
    ChangeId,
    EndpointId,
    Fingerprint,
    HostId,
    IdempotencyKey,
    Incarnation,
    LogIndex,
    MemberId,
    RequestId,
    Revision,
)
from lagoonwing_core.result_codes import Outcome, ResultCode
from lagoonwing_wire.control_messages import (
    Refused,
    ReleaseClaim,
    ReportSuspects,
    StoredResponse,
    StoreOutcome,
    TakeClaim,
)

START_MS = 1_700_000_000_000
ANSWER = StoredResponse(
    200, (("content-type", "text/plain"),), b"done", Outcome.DONE, ResultCode.OK
)


class MachineReplica:
    """A state machine with its log index and the proposer's clock."""

    def __init__(self) -> None:
        self.machine = ControlStateMachine()
        self.index = 0
        self.now_ms = START_MS

    def apply(self, *commands):
        """Apply one batch and return its results, or the only result of a single command."""
        self.index += 1
        payload = encode_batch(Batch(self.now_ms, commands))
        results = decode_results(self.machine.apply(LogIndex(self.index), payload))
        return results[0] if len(commands) == 1 else results

    def set(self, key: str, value: str, expected: int, change_id: str | None = None):
        """Set a configuration key."""
        change_id = change_id or f"{self.now_ms}-{self.index}"
        change = SetConfiguration(key, value)
        return self.apply(OperatorChange("ana", ChangeId(change_id), Revision(expected), change))

    def change(self, change, expected: int = 0):
        """Submit a change under a new change id."""
        change_id = ChangeId(f"{self.now_ms}-{self.index}")
        return self.apply(OperatorChange("ana", change_id, Revision(expected), change))

    def claim(self, request: str, host: str = "e1", fingerprint: str = "f", key: str = "k"):
        """Take a claim."""
        message = TakeClaim(
            MemberId("m"), IdempotencyKey(key), Fingerprint(fingerprint), RequestId(request)
        )
        return self.apply(Claim(HostId(host), message))

    def store(self, request: str, answer: StoredResponse = ANSWER):
        """Store an outcome."""
        message = StoreOutcome(MemberId("m"), IdempotencyKey("k"), RequestId(request), answer)
        return self.apply(message)

    def release(self, request: str):
        """Release a claim."""
        return self.apply(ReleaseClaim(MemberId("m"), IdempotencyKey("k"), RequestId(request)))

    def copy(self) -> MachineReplica:
        """Return another replica restored from a snapshot of this one."""
        other = MachineReplica()
        other.machine.restore(self.machine.snapshot())
        other.index = self.index
        other.now_ms = self.now_ms
        return other


def refusal_code(result) -> ResultCode:
    """Assert that a result is a refusal and return its code."""
    assert isinstance(result, Refused), result
    return result.code


def suspect_report(endpoint: str, *fingerprints: str, incarnation: int = 1) -> ReportSuspects:
    """Return a report of the requests that ran when an endpoint died."""
    return ReportSuspects(
        tuple(Fingerprint(item) for item in fingerprints),
        EndpointId(endpoint),
        Incarnation(incarnation),
    )
