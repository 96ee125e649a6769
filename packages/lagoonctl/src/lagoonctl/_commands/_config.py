"""Commands for the configuration."""

from __future__ import annotations

from cleo.helpers import argument

from lagoonctl._commands._base import ChangeCommand, GetCommand, ListCommand
from lagoonctl.client import OperatorClient
from lagoonctl.const import ExitCode
from lagoonctl.errors import CommandError
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_rpc import operator_pb2 as pb


class ConfigSet(ChangeCommand):
    """Sets one key of the configuration."""

    name = "config set"
    description = "Set one key of the configuration."
    arguments = [argument("key", "Key"), argument("value", "Value")]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Set the key at the expected revision."""
        key = self.argument("key")
        entry = pb.ConfigurationEntry(key=key, value=self.argument("value"))
        try:
            expected_revision = self.expected_revision(client, "configuration", key)
        except CommandError as error:
            if error.result_code != ResultCode.UNKNOWN_ENTITY:
                raise
            expected_revision = 0
        return self.submit_change(client, "SetConfiguration", expected_revision, entry=entry)


class ConfigGet(GetCommand):
    """Shows one key of the configuration."""

    name = "config get"
    description = "Show one key of the configuration."
    arguments = [argument("id", "Key")]
    kind = "configuration"


class ConfigList(ListCommand):
    """Lists the configuration."""

    name = "config list"
    description = "List the configuration."
    kind = "configuration"
