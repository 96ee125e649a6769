"""Whether this host accepts work."""

from __future__ import annotations

from lagoonwing_core.errors import Refusal
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_entry.ports import ControlPort


class HostReadiness:
    """Tracks the reasons for which this host refuses new work.

    Attributes:
        draining: Whether the process is shutting down.
        stop_ordered: Whether a planned stop covers this host.
    """

    def __init__(self, control: ControlPort) -> None:
        self._control = control
        self.draining = False
        self.stop_ordered = False

    def refusal(self) -> Refusal | None:
        """Return why new work is refused, if it is."""
        if self.draining or self.stop_ordered:
            return Refusal(ResultCode.HOST_DRAINING, "this host is being stopped", 1.0)
        return self.lease_refusal()

    def lease_refusal(self) -> Refusal | None:
        """Return why nothing may be dispatched, if the configuration lease is invalid."""
        if not self._control.may_take_work():
            detail = "this host has lost touch with the durable state"
            return Refusal(ResultCode.CONFIGURATION_LEASE_LAPSED, detail, 1.0)
        return None
