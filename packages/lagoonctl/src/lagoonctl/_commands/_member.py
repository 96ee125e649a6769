"""Commands for members."""

from __future__ import annotations

import hashlib

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
from lagoonwing_rpc import operator_pb2 as pb

_ID = argument("id", "Id of the member")
_MEMBER_OPTIONS = [
    *CHANGE_OPTIONS,
    option("name", None, "Display name", flag=False),
    option("key", None, "Bearer key; only its digest is sent", flag=False, multiple=True),
    option("key-hash", None, "SHA-256 digest of a bearer key, in hex", flag=False, multiple=True),
]


class MemberCreate(ChangeCommand):
    """Creates a member."""

    name = "member create"
    description = "Create a member."
    arguments = [_ID]
    options = _MEMBER_OPTIONS

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Create the member; it must not exist yet."""
        member_id = self.argument("id")
        member = pb.Member(
            member_id=member_id,
            name=self.text_option("name") or member_id,
            key_hashes=_key_hashes(self),
        )
        expected_revision = self.int_option("expect-revision") or 0
        return self.submit_change(client, "CreateMember", expected_revision, member=member)


class MemberChange(ChangeCommand):
    """Changes a member."""

    name = "member change"
    description = "Change a member; fields without an option keep their value."
    arguments = [_ID]
    options = _MEMBER_OPTIONS

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Change the member at the expected revision."""
        current = self.get_entity(client, "member", self.argument("id"))
        member = pb.Member(
            member_id=self.argument("id"),
            name=self.text_option("name") or current.name,
            key_hashes=_key_hashes(self) or list(current.key_hashes),
        )
        expected_revision = self.expected_revision_of(current)
        return self.submit_change(client, "ChangeMember", expected_revision, member=member)


class MemberRetire(RetireCommand):
    """Retires a member."""

    name = "member retire"
    description = "Retire a member permanently; its requests are no longer accepted."
    arguments = [_ID]
    kind = "member"
    method = "RetireMember"


class MemberGet(GetCommand):
    """Shows one member."""

    name = "member get"
    description = "Show one member."
    arguments = [_ID]
    kind = "member"


class MemberList(ListCommand):
    """Lists members."""

    name = "member list"
    description = "List all members."
    kind = "member"


def _key_hashes(command: ChangeCommand) -> list[str]:
    """Return the digests of the keys and key hashes given as options."""
    digests = [hashlib.sha256(key.encode()).hexdigest() for key in command.option("key") or []]
    return [*digests, *(command.option("key-hash") or [])]
