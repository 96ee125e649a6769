"""Own load that a summary still contains after the gateway has changed to another replica."""

from __future__ import annotations

import math

import msgspec

from lagoonwing_catalog.messages import EndpointLoad, LoadReport, LoadSummary
from lagoonwing_core.callback import callback
from lagoonwing_core.clock import Clock
from lagoonwing_core.ids import EndpointId
from lagoonwing_gateway.const import REPLICA_LOAD_TTL_S


class OwnEcho:
    """Removes own load from the summaries of a new replica.

    A replica leaves the report of a gateway out of the summary for it. A lost replica can't
    withdraw the report, so the others count it until the loads of that replica expire.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._report = LoadReport({})
        self._echo_by_id: dict[EndpointId, EndpointLoad] = {}
        self._echo_until = -math.inf

    @callback
    def record_report(self, report: LoadReport) -> None:
        """Record a report that is sent to the current replica."""
        self._report = report

    @callback
    def record_lost_replica(self, last_message_at: float) -> None:
        """Record that the replica is lost that got the last report."""
        if not self._report.load_by_id:
            # A replica that refused the subscription got none.
            return
        self._echo_by_id = self._report.load_by_id
        self._echo_until = last_message_at + REPLICA_LOAD_TTL_S
        self._report = LoadReport({})

    def without_echo(self, summary: LoadSummary) -> LoadSummary:
        """Return a summary without own load."""
        if not self._echo_by_id or self._clock.now() >= self._echo_until:
            return summary
        load_by_id = dict(summary.load_by_id)
        for endpoint_id, echo in self._echo_by_id.items():
            load = load_by_id.get(endpoint_id)
            if load is not None:
                load_by_id[endpoint_id] = EndpointLoad(
                    max(0, load.sequences - echo.sequences),
                    max(0, load.kv_token_layers - echo.kv_token_layers),
                    max(0, load.prefill_ms - echo.prefill_ms),
                )
        return msgspec.structs.replace(summary, load_by_id=load_by_id)
