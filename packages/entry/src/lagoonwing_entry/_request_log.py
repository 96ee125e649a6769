"""Log events for scheduling decisions."""

from __future__ import annotations

from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import Attempt
from lagoonwing_core.result_codes import Outcome
from lagoonwing_policy.models import AttemptFailed, RequestProfile


def log_admission_refused(profile: RequestProfile, refusal: Refusal) -> None:
    """Log that a request was refused admission."""
    log_event(
        EventCode.ADMISSION_DECIDED,
        request=profile.request_id,
        member=profile.member_id,
        decision="refused",
        code=refusal.code.value,
        reason=refusal.detail,
    )


def log_attempt_failed(profile: RequestProfile, attempt: Attempt, failed: AttemptFailed) -> None:
    """Log a failed attempt with its dispatch state."""
    log_event(
        EventCode.ATTEMPT_FAILED,
        request=profile.request_id,
        attempt=attempt,
        endpoint=failed.stage.endpoint_id,
        dispatch=failed.dispatch.value,
        died=failed.endpoint_crashed,
        code=failed.refusal.code.value,
        reason=failed.refusal.detail,
    )


def log_refused(profile: RequestProfile, outcome: Outcome, refusal: Refusal) -> None:
    """Log that a request was refused after admission."""
    log_event(
        EventCode.ROUTE_REFUSED,
        request=profile.request_id,
        member=profile.member_id,
        outcome=outcome.value,
        code=refusal.code.value,
        reason=refusal.detail,
    )
