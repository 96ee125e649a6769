"""Commands about replicas, hosts and the course of changes."""

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
    """Shows what each replica knows."""

    name = "status"
    description = "Show role, revision, lag, quorum and margin of each replica asked."

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Ask every replica and print what answered."""
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
        answered = any("replica_id" in row for row in rows)
        return ExitCode.OK if answered else ExitCode.NO_ANSWER


class HostDeclareLost(LagoonCommand):
    """Declares a host lost."""

    name = "host declare-lost"
    description = (
        "Declare that a host is down for good or switched off, at every replica that answers."
    )
    arguments = [argument("id", "Id of the host")]
    options = [*COMMON_OPTIONS, option("withdraw", None, "Take the declaration back")]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Record the declaration at each replica that answers."""
        request = pb.DeclareHostLostRequest(
            host_id=self.argument("id"), withdraw=bool(self.option("withdraw"))
        )
        rows: list[Row] = []
        unanswered: list[str] = []
        for address in client.addresses:
            try:
                rows.append(to_row(client.call_at(address, "DeclareHostLost", request)))
            except CommandError as error:
                if error.exit_code is not ExitCode.NO_ANSWER:
                    raise
                unanswered.append(str(error))
        self.print_rows(rows)
        for detail in unanswered:
            self.line_error(f"not recorded at {detail}")
        return ExitCode.OK if rows else ExitCode.NO_ANSWER


class Watch(LagoonCommand):
    """Prints changes as they are accepted."""

    name = "watch"
    description = "Print each accepted change until interrupted."
    options = [
        *COMMON_OPTIONS,
        option("after-revision", None, "Begin with the changes after this revision", flag=False),
        option("count", None, "End after this many changes", flag=False),
    ]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Print changes, resuming at another replica when one is lost."""
        left = self.whole("count")
        for event in self._events(client):
            if event.HasField("entity"):
                self.line(_event_text(event, bool(self.option("json"))))
                left = None if left is None else left - 1
            if left is not None and left <= 0:
                break
        return ExitCode.OK

    def _events(self, client: OperatorClient) -> Iterator[Any]:
        """Yield events and remember where to resume."""
        after = self.whole("after-revision") or 0

        def make_request() -> Any:
            return pb.WatchRequest(after_revision=after)

        for event in client.stream("Watch", make_request):
            after = max(after, event.revision)
            yield event


class History(LagoonCommand):
    """Prints the last accepted changes."""

    name = "history"
    description = "Print the accepted changes that are still kept."
    options = [
        *COMMON_OPTIONS,
        option("after-revision", None, "Begin with the changes after this revision", flag=False),
        option("limit", None, "Print at most this many changes", flag=False),
    ]

    def run_with(self, client: OperatorClient) -> ExitCode:
        """Print one batch of changes."""
        request = pb.HistoryRequest(
            after_revision=self.whole("after-revision") or 0, limit=self.whole("limit") or 0
        )
        reply = client.call("History", request)
        for event in reply.events:
            self.line(_event_text(event, bool(self.option("json"))))
        return ExitCode.OK


def _event_text(event: Any, as_json: bool) -> str:
    """Return the line of one change."""
    kind = event.entity.WhichOneof("entity")
    row = {"revision": event.revision, "kind": kind, **entity_row(event.entity)}
    if as_json:
        return to_json(row)
    fields = " ".join(f"{name}={value}" for name, value in row.items())
    return fields.replace("<", "\\<")
