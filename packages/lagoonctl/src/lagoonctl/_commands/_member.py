"""Commands about members."""

from __future__ import annotations

import hashlib

from cleo.helpers import argument, option

from lagoonctl._commands._base import (
    CHANGE_OPTIONS,
    ChangeCommand,
    GetCommand,
    ListCommand,
)
from lagoonctl.client import OperatorClient
from lagoonctl.const import ExitCode
from lagoonwing_rpc import operator_pb2 as pb

_ID = argument("id", "Id of the member")
_MEMBER_OPTIONS = [
    *CHANGE_OPTIONS,
    option("name", None, "Name for people", flag=False),
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
        """Create the member; it must not exist."""
        member_id = self.argument("id")
        member = pb.Member(
            member_id=member_id,
            name=self.text("name") or member_id,
            key_hashes=_key_hashes(self),
        )
        expected = self.whole("expect-revision") or 0
        return self.submit(client, "CreateMember", expected, member=member)


class MemberChange(ChangeCommand):
    """Changes a member."""

    name = "member change"
    description = "Change a member; options that are absent leave their value as it is."
    arguments = [_ID]
    options = _MEMBER_OPTIONS

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Change the member at the expected revision."""
        current = self.get_entity(client, "member", self.argument("id"))
        given = self.whole("expect-revision")
        member = pb.Member(
            member_id=self.argument("id"),
            name=self.text("name") or current.name,
            key_hashes=_key_hashes(self) or list(current.key_hashes),
        )
        expected = current.revision if given is None else given
        return self.submit(client, "ChangeMember", expected, member=member)


class MemberRetire(ChangeCommand):
    """Retires a member."""

    name = "member retire"
    description = "Retire a member for good; no more of its requests are taken."
    arguments = [_ID]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Retire the member at the expected revision."""
        member_id = self.argument("id")
        expected = self.expected(client, "member", member_id)
        return self.submit(client, "RetireMember", expected, id=member_id)


class MemberGet(GetCommand):
    """Shows one member."""

    name = "member get"
    description = "Show one member."
    arguments = [_ID]
    kind = "member"


class MemberList(ListCommand):
    """Lists members."""

    name = "member list"
    description = "List every member."
    kind = "member"


def _key_hashes(command: ChangeCommand) -> list[str]:
    """Return the digests of the keys given."""
    digests = [hashlib.sha256(key.encode()).hexdigest() for key in command.option("key") or []]
    return [*digests, *(command.option("key-hash") or [])]
