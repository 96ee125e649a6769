"""Commands for planned stops and quarantined requests."""

from __future__ import annotations

from cleo.helpers import argument, option

from lagoonctl._commands._base import (
    CHANGE_OPTIONS,
    ChangeCommand,
    GetCommand,
    ListCommand,
    RetireCommand,
)
from lagoonctl.client import OperatorClient
from lagoonctl.const import ExitCode
from lagoonctl.errors import UsageError
from lagoonwing_rpc import operator_pb2 as pb

_TARGETS = ("host", "endpoint", "failure-domain")
_ID = argument("id", "Id of the stop")


class StopOrder(ChangeCommand):
    """Orders a planned stop."""

    name = "stop order"
    description = "Order a planned stop; its state becomes safe once no work runs on the target."
    arguments = [_ID]
    options = [
        *CHANGE_OPTIONS,
        option("host", None, "Id of the host to stop", flag=False),
        option("endpoint", None, "Id of the endpoint to stop", flag=False),
        option("failure-domain", None, "Id of the failure domain to stop", flag=False),
    ]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Order the stop of the target named by the options."""
        given_targets = [
            (name, self.text_option(name))
            for name in _TARGETS
            if self.text_option(name) is not None
        ]
        if len(given_targets) != 1:
            raise UsageError("one of --host, --endpoint and --failure-domain is required")
        name, target_id = given_targets[0]
        stop = pb.PlannedStop(
            stop_id=self.argument("id"), target=name.replace("-", "_"), target_id=target_id
        )
        expected_revision = self.int_option("expect-revision") or 0
        return self.submit_change(client, "OrderStop", expected_revision, stop=stop)


class StopCancel(RetireCommand):
    """Cancels a planned stop."""

    name = "stop cancel"
    description = "Cancel a planned stop; the target accepts work again."
    arguments = [_ID]
    kind = "stop"
    method = "CancelStop"


class StopGet(GetCommand):
    """Shows one planned stop."""

    name = "stop get"
    description = "Show one planned stop."
    arguments = [_ID]
    kind = "stop"


class StopList(ListCommand):
    """Lists planned stops."""

    name = "stop list"
    description = "List all planned stops."
    kind = "stop"


class QuarantineList(ListCommand):
    """Lists suspected and quarantined requests."""

    name = "quarantine list"
    description = "List requests that are suspected of crashing endpoints."
    kind = "quarantine"


class QuarantineClear(RetireCommand):
    """Lifts a quarantine."""

    name = "quarantine clear"
    description = "Lift the quarantine of a request."
    arguments = [argument("id", "Fingerprint of the request")]
    kind = "quarantine"
    method = "ClearQuarantine"
