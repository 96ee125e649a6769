"""Commands about agreements."""

from __future__ import annotations

from cleo.helpers import argument, option

from lagoonctl._commands._base import (
    CHANGE_OPTIONS,
    ChangeCommand,
    GetCommand,
    ListCommand,
)
from lagoonctl.client import OperatorClient
from lagoonctl.const import ExitCode
from lagoonctl.errors import UsageError
from lagoonwing_rpc import operator_pb2 as pb

UNLIMITED = "none"
DEFAULT_WEIGHT = 1.0
_CAPS = ("max-concurrency", "max-requests-per-s", "max-tokens-per-s")

_ID = argument("id", "Id of the agreement")
_CAP_OPTIONS = [
    option("weight", None, "Share relative to the weights of other members", flag=False),
    option("max-concurrency", None, "Requests at once, or none for no cap", flag=False),
    option("max-requests-per-s", None, "Requests a second, or none for no cap", flag=False),
    option("max-tokens-per-s", None, "Tokens a second, or none for no cap", flag=False),
]


class AgreementCreate(ChangeCommand):
    """Creates an agreement."""

    name = "agreement create"
    description = "Create an agreement that caps what a member may take."
    arguments = [_ID]
    options = [
        *CHANGE_OPTIONS,
        option("member", None, "Id of the member", flag=False),
        *_CAP_OPTIONS,
    ]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Create the agreement; it must not exist."""
        member_id = self.text("member")
        if member_id is None:
            raise UsageError("--member is needed")
        agreement = pb.Agreement(
            agreement_id=self.argument("id"), member_id=member_id, weight=DEFAULT_WEIGHT
        )
        _apply_options(self, agreement)
        expected = self.whole("expect-revision") or 0
        return self.submit(client, "CreateAgreement", expected, agreement=agreement)


class AgreementChange(ChangeCommand):
    """Changes an agreement."""

    name = "agreement change"
    description = "Change an agreement; options that are absent leave their value as it is."
    arguments = [_ID]
    options = [*CHANGE_OPTIONS, *_CAP_OPTIONS]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Change the agreement at the expected revision."""
        agreement = self.get_entity(client, "agreement", self.argument("id"))
        given = self.whole("expect-revision")
        expected = agreement.revision if given is None else given
        agreement.ClearField("revision")
        agreement.ClearField("state")
        _apply_options(self, agreement)
        return self.submit(client, "ChangeAgreement", expected, agreement=agreement)


class AgreementRetire(ChangeCommand):
    """Retires an agreement."""

    name = "agreement retire"
    description = "Retire an agreement for good."
    arguments = [_ID]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Retire the agreement at the expected revision."""
        agreement_id = self.argument("id")
        expected = self.expected(client, "agreement", agreement_id)
        return self.submit(client, "RetireAgreement", expected, id=agreement_id)


class AgreementGet(GetCommand):
    """Shows one agreement."""

    name = "agreement get"
    description = "Show one agreement."
    arguments = [_ID]
    kind = "agreement"


class AgreementList(ListCommand):
    """Lists agreements."""

    name = "agreement list"
    description = "List every agreement."
    kind = "agreement"


def _apply_options(command: ChangeCommand, agreement: pb.Agreement) -> None:
    """Set the fields for which an option is given."""
    weight = command.number("weight")
    if weight is not None:
        agreement.weight = weight
    for name in _CAPS:
        field = name.replace("-", "_")
        if command.text(name) is None:
            continue
        if command.text(name) == UNLIMITED:
            agreement.ClearField(field)
        elif name == "max-concurrency":
            setattr(agreement, field, command.whole(name))
        else:
            setattr(agreement, field, command.number(name))
