"""Base classes and options shared by commands."""

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
        "IP address and port of a control replica; repeat for each replica",
        flag=False,
        multiple=True,
    ),
    option(
        "token",
        None,
        "Operator's token; prefer the LAGOONCTL_TOKEN environment variable",
        flag=False,
    ),
    option("timeout", "t", "Seconds to keep trying replicas", flag=False),
    option("json", None, "Print JSON, one document per line"),
]

CHANGE_OPTIONS = [
    *COMMON_OPTIONS,
    option("change-id", None, "Change id of an earlier attempt, to resend that change", flag=False),
    option(
        "expect-revision",
        None,
        "Revision the entity must currently have; read from a replica if omitted",
        flag=False,
    ),
]


class LagoonCommand(Command):
    """Command that calls control replicas."""

    options = COMMON_OPTIONS

    def handle(self) -> int:
        """Run the command and map its errors to exit codes."""
        try:
            with self._client() as client:
                return int(self.run_with(client))
        except CommandError as error:
            self._print_error(error)
            return int(error.exit_code)

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Run the command with a connected client."""
        raise NotImplementedError

    def text_option(self, name: str) -> str | None:
        """Return an option as text, or `None` if it is absent."""
        value = self.option(name)
        return None if value is None else str(value)

    def float_option(self, name: str) -> float | None:
        """Return an option as a float, or `None` if it is absent."""
        value = self.text_option(name)
        if value is None:
            return None
        try:
            return float(value)
        except ValueError:
            raise UsageError(f"--{name} must be a number, got {value!r}") from None

    def int_option(self, name: str) -> int | None:
        """Return an option as a non-negative integer, or `None` if it is absent."""
        value = self.text_option(name)
        if value is None:
            return None
        if not value.isdecimal():
            raise UsageError(f"--{name} must be a non-negative integer, got {value!r}")
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
        """Fetch one entity."""
        request = pb.GetRequest(kind=ENTITY_KIND_BY_NAME[kind], id=entity_id)
        return getattr(client.call("Get", request).entity, kind)

    def _client(self) -> OperatorClient:
        """Return a client configured from the options and the environment."""
        timeout = self.float_option("timeout")
        return OperatorClient(
            addresses=self.addresses(),
            token=self.text_option("token") or os.environ.get(ENV_TOKEN, ""),
            timeout=DEFAULT_TIMEOUT_S if timeout is None else timeout,
        )

    def addresses(self) -> list[str]:
        """Return the replica addresses from the options, the environment or the default."""
        from_options = [str(address) for address in self.option("address") or []]
        from_environment = os.environ.get(ENV_ADDRESS, "").split()
        return from_options or from_environment or [DEFAULT_ADDRESS]

    def _print_error(self, error: CommandError) -> None:
        """Print an error to standard error."""
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

    def submit_change(
        self, client: OperatorClient, method: str, expected_revision: int, **body: Any
    ) -> ExitCode:
        """Submit a change and print its revision and change id."""
        change_id = self.text_option("change-id") or new_change_id()
        header = pb.ChangeHeader(change_id=change_id, expected_revision=expected_revision)
        request = _REQUEST_BY_METHOD[method](header=header, **body)
        try:
            reply = client.call(method, request)
        except CommandError as error:
            self._print_resend_hint(error, change_id, expected_revision)
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

    def expected_revision(self, client: OperatorClient, kind: str, entity_id: str) -> int:
        """Return the `--expect-revision` option, or the entity's current revision."""
        given_revision = self.int_option("expect-revision")
        if given_revision is not None:
            return given_revision
        revision: int = self.get_entity(client, kind, entity_id).revision
        return revision

    def expected_revision_of(self, entity: Any) -> int:
        """Return the `--expect-revision` option, or the revision of a fetched entity."""
        given_revision = self.int_option("expect-revision")
        revision: int = entity.revision if given_revision is None else given_revision
        return revision

    def _print_resend_hint(
        self, error: CommandError, change_id: str, expected_revision: int
    ) -> None:
        """Print how to resend a change whose outcome is unknown."""
        if error.exit_code is ExitCode.NO_ANSWER:
            self.line_error(
                "the outcome of the change is unknown; resend it with "
                f"--change-id {change_id} --expect-revision {expected_revision}"
            )


class RetireCommand(ChangeCommand):
    """Command that ends one entity."""

    kind = ""
    method = ""

    def run_with(self, client: OperatorClient) -> ExitCode:
        """End the entity at the expected revision."""
        entity_id = self.argument("id")
        expected_revision = self.expected_revision(client, self.kind, entity_id)
        return self.submit_change(client, self.method, expected_revision, id=entity_id)


class ListCommand(LagoonCommand):
    """Command that lists the entities of one kind."""

    kind = ""

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Fetch all pages and print the entities."""
        rows: list[Row] = []
        page_token = ""
        while True:
            request = pb.ListRequest(
                kind=ENTITY_KIND_BY_NAME[self.kind], page_size=PAGE_SIZE, page_token=page_token
            )
            reply = client.call("List", request)
            rows.extend(entity_row(entity) for entity in reply.entities)
            page_token = reply.next_page_token
            if not page_token:
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


def _code_name(result_code: int | None) -> str:
    """Return the name of a result code, or an empty string if it is unknown."""
    if result_code is None:
        return ""
    try:
        return ResultCode(result_code).name.lower()
    except ValueError:
        return ""
