"""What every command shares."""

from __future__ import annotations

import os
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from lagoonctl._output import Row, entity_row, table_cells, to_json
from lagoonctl.client import OperatorClient, new_change_id
from lagoonctl.const import (
    DEFAULT_ADDRESS,
    DEFAULT_TIMEOUT_S,
    ENTITY_KIND_BY_NAME,
    ENV_ADDRESS,
    ENV_TOKEN,
    PAGE_SIZE,
    ExitCode,
)
from lagoonctl.errors import CommandError, UsageError
from lagoonwing_core.result_codes import ResultCode
from lagoonwing_rpc import operator_pb2 as pb

COMMON_OPTIONS = [
    option(
        "address",
        "a",
        "IP number and port of a control replica; repeat it for each replica",
        flag=False,
        multiple=True,
    ),
    option("token", None, "Operator's token; better given in LAGOONCTL_TOKEN", flag=False),
    option("timeout", "t", "Seconds to go on asking replicas", flag=False),
    option("json", None, "Print JSON, one document a line"),
]

CHANGE_OPTIONS = [
    *COMMON_OPTIONS,
    option("change-id", None, "Change id of an earlier try, to resend it", flag=False),
    option(
        "expect-revision",
        None,
        "Revision that the entity must have now; read from a replica if absent",
        flag=False,
    ),
]


class LagoonCommand(Command):
    """Command that calls control replicas."""

    options = COMMON_OPTIONS

    def handle(self) -> int:
        """Run the command and translate its errors into exit codes."""
        try:
            with self._client() as client:
                return int(self.run_with(client))
        except CommandError as error:
            self._print_error(error)
            return int(error.exit_code)

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Do what the command is for."""
        raise NotImplementedError

    def text(self, name: str) -> str | None:
        """Return an option's text, or `None` if it is absent."""
        value = self.option(name)
        return None if value is None else str(value)

    def number(self, name: str) -> float | None:
        """Return an option's number, or `None` if it is absent."""
        value = self.text(name)
        if value is None:
            return None
        try:
            return float(value)
        except ValueError:
            raise UsageError(f"--{name} is a number, not {value!r}") from None

    def whole(self, name: str) -> int | None:
        """Return an option's whole number, or `None` if it is absent."""
        value = self.text(name)
        if value is None:
            return None
        if not value.isdecimal():
            raise UsageError(f"--{name} is a whole number, not {value!r}")
        return int(value)

    def print_rows(self, rows: list[Row]) -> None:
        """Print rows as a table or as JSON lines."""
        if self.option("json"):
            for row in rows:
                self.line(to_json(row))
            return
        if not rows:
            self.line("none")
            return
        headers, cells = table_cells(rows)
        table: Any = self.table(style="compact")
        table.set_headers(headers)
        table.set_rows(cells)
        table.render()

    def get_entity(self, client: OperatorClient, kind: str, entity_id: str) -> Any:
        """Return one entity."""
        request = pb.GetRequest(kind=ENTITY_KIND_BY_NAME[kind], id=entity_id)
        return getattr(client.call("Get", request).entity, kind)

    def _client(self) -> OperatorClient:
        """Return a client made from the options."""
        timeout = self.number("timeout")
        return OperatorClient(
            addresses=self.addresses(),
            token=self.text("token") or os.environ.get(ENV_TOKEN, ""),
            timeout=DEFAULT_TIMEOUT_S if timeout is None else timeout,
        )

    def addresses(self) -> list[str]:
        """Return the replicas' addresses."""
        given = [str(address) for address in self.option("address") or []]
        from_environment = os.environ.get(ENV_ADDRESS, "").split()
        return given or from_environment or [DEFAULT_ADDRESS]

    def _print_error(self, error: CommandError) -> None:
        """Print an error on standard error."""
        name = _code_name(error.result_code)
        if self.option("json"):
            document = {"error": str(error), "result_code": error.result_code, "name": name}
            self.line_error(to_json(document))
            return
        suffix = "" if error.result_code is None else f" (result code {error.result_code} {name})"
        self.line_error(f"error: {error}{suffix}")


class ChangeCommand(LagoonCommand):
    """Command that changes one entity."""

    options = CHANGE_OPTIONS

    def submit(self, client: OperatorClient, method: str, expected: int, **body: Any) -> ExitCode:
        """Send a change and print its revision and change id."""
        change_id = self.text("change-id") or new_change_id()
        header = pb.ChangeHeader(change_id=change_id, expected_revision=expected)
        request = _REQUEST_BY_METHOD[method](header=header, **body)
        try:
            reply = client.call(method, request)
        except CommandError as error:
            self._print_resend(error, change_id, expected)
            raise
        row = {
            "revision": reply.revision,
            "change_id": reply.change_id,
            "replayed": reply.replayed,
            **{
                name: value
                for name, value in entity_row(reply.entity).items()
                if name != "revision"
            },
        }
        self.print_rows([row])
        return ExitCode.OK

    def expected(self, client: OperatorClient, kind: str, entity_id: str) -> int:
        """Return the revision given, or the entity's own."""
        given = self.whole("expect-revision")
        if given is not None:
            return given
        revision: int = self.get_entity(client, kind, entity_id).revision
        return revision

    def _print_resend(self, error: CommandError, change_id: str, expected: int) -> None:
        """Tell how to resend a change that may have been accepted."""
        if error.exit_code is ExitCode.NO_ANSWER:
            self.line_error(
                "not known whether the change was accepted; resend it with "
                f"--change-id {change_id} --expect-revision {expected}"
            )


class ListCommand(LagoonCommand):
    """Command that lists the entities of one kind."""

    kind = ""

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Print every entity, page by page."""
        rows: list[Row] = []
        token = ""
        while True:
            request = pb.ListRequest(
                kind=ENTITY_KIND_BY_NAME[self.kind], page_size=PAGE_SIZE, page_token=token
            )
            reply = client.call("List", request)
            rows.extend(entity_row(entity) for entity in reply.entities)
            token = reply.next_page_token
            if not token:
                self.print_rows(rows)
                return ExitCode.OK


class GetCommand(LagoonCommand):
    """Command that shows one entity."""

    kind = ""

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Print the entity."""
        request = pb.GetRequest(kind=ENTITY_KIND_BY_NAME[self.kind], id=self.argument("id"))
        self.print_rows([entity_row(client.call("Get", request).entity)])
        return ExitCode.OK


_REQUEST_BY_METHOD: dict[str, Any] = {
    "CreateMember": pb.MemberChange,
    "ChangeMember": pb.MemberChange,
    "RetireMember": pb.RetireChange,
    "CreateAgreement": pb.AgreementChange,
    "ChangeAgreement": pb.AgreementChange,
    "RetireAgreement": pb.RetireChange,
    "SetConfiguration": pb.ConfigurationChange,
    "OrderStop": pb.StopChange,
    "CancelStop": pb.RetireChange,
    "ClearQuarantine": pb.RetireChange,
}


def _code_name(number: int | None) -> str:
    """Return the name of a result code."""
    if number is None:
        return ""
    try:
        return ResultCode(number).name.lower()
    except ValueError:
        return ""
