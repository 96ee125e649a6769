"""Final response to a request that was not served."""

from __future__ import annotations

import random
from dataclasses import replace

from lagoonwing_core.callback import callback
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_gateway._refusals import (
    limit_refusal,
    not_admitted_refusal,
    not_run_refusal,
    unknown_outcome_refusal,
)
from lagoonwing_gateway.const import DEADLINE_MARGIN_S
from lagoonwing_gateway.models import (
    AttemptOutcome,
    CompleteResponse,
    Failed,
    GatewayRefusal,
    NotAdmitted,
    NotRun,
    RequestContext,
)
from lagoonwing_gateway.ports import Responder
from lagoonwing_http import HeldBytes, ResponseBudget


def more_telling_failure(known: Failed | None, outcome: AttemptOutcome) -> Failed | None:
    """Return what tells most about a request that may have run, over all of its attempts.

    A later attempt that was not executed does not undo that an earlier one may have been.

    Args:
        known: The most telling failure of the attempts before.
        outcome: Outcome of the next attempt.
    """
    if not isinstance(outcome, Failed):
        return known
    has_less = known is not None and known.response is not None and outcome.response is None
    return known if has_less else outcome


class KeptFailure:
    """The most telling failure of a request, kept while it is attempted again."""

    def __init__(self, budget: ResponseBudget) -> None:
        self._budget = budget
        self._failure: Failed | None = None
        self._held: HeldBytes | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have been executed."""
        return self._failure is not None

    @callback
    def record(self, outcome: AttemptOutcome) -> AttemptOutcome:
        """Record the outcome of an attempt; return it without its response, which is kept here."""
        failure = more_telling_failure(self._failure, outcome)
        if failure is not self._failure:
            self.take()
            self._keep(failure)
        return replace(outcome, response=None) if isinstance(outcome, Failed) else outcome

    @callback
    def take(self) -> Failed | None:
        """Return the failure, if any; it isn't kept any longer."""
        failure, self._failure = self._failure, None
        if self._held is not None:
            self._held.close()
            self._held = None
        return failure

    def _keep(self, failure: Failed | None) -> None:
        """Keep a failure; the bytes of its response count in the budget."""
        self._failure = failure
        if failure is not None and failure.response is not None:
            self._held = self._budget.open(self._drop_response)
            self._held.resize(len(failure.response.body))

    def _drop_response(self) -> None:
        """Forget the response; that the request may have run is still known."""
        if self._failure is not None:
            self._failure = replace(self._failure, response=None)


def respond_unserved(
    context: RequestContext,
    outcome: AttemptOutcome,
    responder: Responder,
    *,
    was_sent: bool,
    not_admitted: NotAdmitted | None,
    limit_wait_s: float | None,
    now: float,
    rng: random.Random,
) -> GatewayRefusal | None:
    """Forward an endpoint's error response, or return the refusal to send.

    Args:
        context: The request.
        outcome: Its most telling failure, or the outcome of its last attempt if none may have run.
        responder: Sends the response to the caller.
        was_sent: Whether the request was sent to any endpoint.
        not_admitted: Why there was no capacity for it, if that kept it from being sent.
        limit_wait_s: Expected wait for the limits of the endpoints, if these were the reason.
        now: Current time in seconds.
        rng: Random source for the Retry-After jitter.
    """
    match outcome:
        case Failed(response=CompleteResponse() as response):
            responder.send_response(response.info.status, response.headers, response.body)
            return None
        case Failed(reason=reason):
            is_late = now >= context.deadline - 2 * DEADLINE_MARGIN_S
            code = ResultCode.DEADLINE_EXCEEDED if is_late else ResultCode.ENDPOINT_LOST
            return unknown_outcome_refusal(code, reason)
        case NotRun(reason=reason) if was_sent:
            return not_run_refusal(ResultCode.ENDPOINT_REFUSED, reason, rng)
        case _ if limit_wait_s is not None:
            return limit_refusal(limit_wait_s, rng)
        case _ if not_admitted is not None:
            return not_admitted_refusal(not_admitted)
        case NotRun(reason=reason):
            return not_run_refusal(ResultCode.NO_ENDPOINT, reason, rng)
        case _:
            return not_run_refusal(ResultCode.NO_ENDPOINT, "no endpoint has capacity", rng)
