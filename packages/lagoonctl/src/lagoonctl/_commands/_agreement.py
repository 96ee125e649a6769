"""Commands for agreements."""

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

NO_CAP = "none"
DEFAULT_WEIGHT = 1.0
_CAPS = ("max-concurrency", "max-requests-per-s", "max-tokens-per-s")

_ID = argument("id", "Id of the agreement")
_CAP_OPTIONS = [
    option("weight", None, "Share relative to the weights of other members", flag=False),
    option("max-concurrency", None, "Concurrent requests, or none for no cap", flag=False),
    option("max-requests-per-s", None, "Requests per second, or none for no cap", flag=False),
    option("max-tokens-per-s", None, "Tokens per second, or none for no cap", flag=False),
]


class AgreementCreate(ChangeCommand):
    """Creates an agreement."""

    name = "agreement create"
    description = "Create an agreement that limits the resources a member may use."
    arguments = [_ID]
    options = [
        *CHANGE_OPTIONS,
        option("member", None, "Id of the member", flag=False),
        *_CAP_OPTIONS,
    ]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Create the agreement; it must not exist yet."""
        member_id = self.text_option("member")
        if member_id is None:
            raise UsageError("--member is required")
        agreement = pb.Agreement(
            agreement_id=self.argument("id"), member_id=member_id, weight=DEFAULT_WEIGHT
        )
        _apply_options(self, agreement)
        expected_revision = self.int_option("expect-revision") or 0
        return self.submit_change(client, "CreateAgreement", expected_revision, agreement=agreement)


class AgreementChange(ChangeCommand):
    """Changes an agreement."""

    name = "agreement change"
    description = "Change an agreement; fields without an option keep their value."
    arguments = [_ID]
    options = [*CHANGE_OPTIONS, *_CAP_OPTIONS]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Change the agreement at the expected revision."""
        agreement = self.get_entity(client, "agreement", self.argument("id"))
        expected_revision = self.expected_revision_of(agreement)
        agreement.ClearField("revision")
        agreement.ClearField("state")
        _apply_options(self, agreement)
        return self.submit_change(client, "ChangeAgreement", expected_revision, agreement=agreement)


class AgreementRetire(RetireCommand):
    """Retires an agreement."""

    name = "agreement retire"
    description = "Retire an agreement permanently."
    arguments = [_ID]
    kind = "agreement"
    method = "RetireAgreement"


class AgreementGet(GetCommand):
    """Shows one agreement."""

    name = "agreement get"
    description = "Show one agreement."
    arguments = [_ID]
    kind = "agreement"


class AgreementList(ListCommand):
    """Lists agreements."""

    name = "agreement list"
    description = "List all agreements."
    kind = "agreement"


def _apply_options(command: ChangeCommand, agreement: pb.Agreement) -> None:
    """Set the fields whose options were given."""
    weight = command.float_option("weight")
    if weight is not None:
        agreement.weight = weight
    for name in _CAPS:
        field = name.replace("-", "_")
        if command.text_option(name) is None:
            continue
        if command.text_option(name) == NO_CAP:
            agreement.ClearField(field)
        elif name == "max-concurrency":
            setattr(agreement, field, command.int_option(name))
        else:
            setattr(agreement, field, command.float_option(name))
