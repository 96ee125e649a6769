"""Commands for replica status, hosts and the change history."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from cleo.helpers import argument, option

from lagoonctl._commands._base import COMMON_OPTIONS, LagoonCommand
from lagoonctl._output import Row, entity_row, to_json, to_row
from lagoonctl.client import OperatorClient
from lagoonctl.const import ExitCode
from lagoonctl.errors import CommandError
from lagoonwing_rpc import operator_pb2 as pb


class Status(LagoonCommand):
    """Shows the status of each replica."""

    name = "status"
    description = "Show role, revision, lag, quorum and margin of each replica."

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Query every replica and print the replies; fail only if none replied."""
        rows: list[Row] = []
        entry_rows: list[Row] = []
        for address in client.addresses:
            try:
                reply = client.call_at(address, "Status", pb.StatusRequest())
            except CommandError as error:
                rows.append({"address": address, "role": f"no answer: {error}"})
                continue
            row = to_row(reply)
            entries = row.pop("entries", [])
            replicas = row.pop("replicas", [])
            row["lag"] = reply.commit_index - reply.applied_index
            row["voters"] = [item["host_id"] for item in replicas if item["voter"]]
            row["learners"] = [item["host_id"] for item in replicas if not item["voter"]]
            row["declared_lost"] = [item["host_id"] for item in replicas if item["declared_lost"]]
            rows.append({"address": address, **row})
            entry_rows = [{"entry_" + name: item[name] for name in item} for item in entries] or (
                entry_rows
            )
        self.print_rows(rows)
        if entry_rows:
            self.print_rows(entry_rows)
        has_reply = any("replica_id" in row for row in rows)
        return ExitCode.OK if has_reply else ExitCode.NO_ANSWER


class HostDeclareLost(LagoonCommand):
    """Declares a host lost."""

    name = "host declare-lost"
    description = "Declare a host permanently down or powered off, at every replica that responds."
    arguments = [argument("id", "Id of the host")]
    options = [*COMMON_OPTIONS, option("withdraw", None, "Withdraw the declaration")]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Record the declaration at each replica that responds."""
        request = pb.DeclareHostLostRequest(
            host_id=self.argument("id"), withdraw=bool(self.option("withdraw"))
        )
        rows: list[Row] = []
        failures: list[str] = []
        for address in client.addresses:
            try:
                rows.append(to_row(client.call_at(address, "DeclareHostLost", request)))
            except CommandError as error:
                if error.exit_code is not ExitCode.NO_ANSWER:
                    raise
                failures.append(str(error))
        self.print_rows(rows)
        for detail in failures:
            self.line_error(f"declaration not recorded at {detail}")
        return ExitCode.OK if rows else ExitCode.NO_ANSWER


class Watch(LagoonCommand):
    """Streams accepted changes."""

    name = "watch"
    description = "Print each accepted change until interrupted."
    options = [
        *COMMON_OPTIONS,
        option("after-revision", None, "Start after this revision", flag=False),
        option("count", None, "Exit after this many changes", flag=False),
    ]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Print changes, resuming at another replica if the connection is lost."""
        remaining = self.int_option("count")
        for event in self._events(client):
            if event.HasField("entity"):
                self.line(_format_event(event, bool(self.option("json"))))
                remaining = None if remaining is None else remaining - 1
            if remaining is not None and remaining <= 0:
                break
        return ExitCode.OK

    def _events(self, client: OperatorClient) -> Iterator[Any]:
        """Yield events, tracking the last revision for resumption."""
        after = self.int_option("after-revision") or 0

        def make_request() -> Any:
            return pb.WatchRequest(after_revision=after)

        for event in client.stream("Watch", make_request):
            after = max(after, event.revision)
            yield event


class History(LagoonCommand):
    """Prints retained changes."""

    name = "history"
    description = "Print the accepted changes that are still retained."
    options = [
        *COMMON_OPTIONS,
        option("after-revision", None, "Start after this revision", flag=False),
        option("limit", None, "Print at most this many changes", flag=False),
    ]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Print one batch of changes."""
        request = pb.HistoryRequest(
            after_revision=self.int_option("after-revision") or 0,
            limit=self.int_option("limit") or 0,
        )
        reply = client.call("History", request)
        for event in reply.events:
            self.line(_format_event(event, bool(self.option("json"))))
        return ExitCode.OK


def _format_event(event: Any, as_json: bool) -> str:
    """Return one change as a line of text or JSON."""
    kind = event.entity.WhichOneof("entity")
    row = {"revision": event.revision, "kind": kind, **entity_row(event.entity)}
    if as_json:
        return to_json(row)
    fields = " ".join(f"{name}={value}" for name, value in row.items())
    return fields.replace("<", "\\<")
