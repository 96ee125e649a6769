"""The `lagoonctl load` command."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from cleo.commands.command import Command
from cleo.helpers import option
from expression import Error, Ok, Result

from lagoonctl.load._render import report_json, table_headers, table_rows
from lagoonctl.load._run import async_run_load
from lagoonctl.load.const import (
    DEFAULT_DURATION_S,
    DEFAULT_LONG_TOKENS,
    DEFAULT_MODEL,
    DEFAULT_SEED,
    DEFAULT_SHORT_TOKENS,
    DEFAULT_TIMEOUT_S,
)
from lagoonctl.load.models import LoadPlan, MemberLoad, Surge, Target
from lagoonwing_core.ids import MemberId

EXIT_OK = 0
EXIT_USAGE = 2


@dataclass(frozen=True, slots=True)
class InvalidOption:
    """An invalid option value."""

    option: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"--{self.option}: found {self.found!r}; allowed: {self.allowed}"


class LoadCommand(Command):
    """Generates load and prints the results for each member."""

    name = "load"
    description = "Send chat completions at a given rate and print the results for each member."
    options = [
        option("target", None, "Caller port of an entry host, ADDRESS:PORT.", False, True),
        option("member", None, "Load of a member, NAME:KEY:REQUESTS_PER_S.", False, True),
        option("surge", None, "Surge of a member's rate, NAME:FACTOR:START_S:END_S.", False, True),
        option("model", None, "Model to request.", False, default=DEFAULT_MODEL),
        option(
            "duration",
            None,
            "Duration of the load in seconds.",
            False,
            default=str(DEFAULT_DURATION_S),
        ),
        option(
            "deadline",
            None,
            "Timeout of a request in seconds.",
            False,
            default=str(DEFAULT_TIMEOUT_S),
        ),
        option("long-share", None, "Fraction of long requests, 0 to 1.", False, default="0"),
        option("short-tokens", None, "Tokens.", False, default=str(DEFAULT_SHORT_TOKENS)),
        option("long-tokens", None, "Tokens.", False, default=str(DEFAULT_LONG_TOKENS)),
        option("seed", None, "Seed of the random generators.", False, default=str(DEFAULT_SEED)),
        option("whole", None, "Request complete responses instead of streams."),
        option("json", None, "Print JSON."),
    ]

    def handle(self) -> int:
        """Run the load and print the report."""
        match self._parse_plan():
            case Result(tag="ok", ok=plan):
                pass
            case Result(error=invalid_option):
                self.line_error(str(invalid_option))
                return EXIT_USAGE
        report = asyncio.run(async_run_load(plan))
        if self.option("json"):
            self.line(report_json(report))
            return EXIT_OK
        table = self.table(table_headers(), table_rows(report))  # type: ignore[arg-type]
        table.render()
        return EXIT_OK

    def _parse_plan(self) -> Result[LoadPlan, InvalidOption]:
        """Build the load plan from the options."""
        try:
            surges = dict(parse_surge(text) for text in self.option("surge"))
            members = tuple(parse_member(text, surges) for text in self.option("member"))
            targets = tuple(parse_target(text) for text in self.option("target"))
            plan = LoadPlan(
                targets=targets,
                members=members,
                model=self.option("model"),
                duration_s=float(self.option("duration")),
                timeout_s=float(self.option("deadline")),
                long_share=float(self.option("long-share")),
                short_tokens=int(self.option("short-tokens")),
                long_tokens=int(self.option("long-tokens")),
                streamed=not self.option("whole"),
                seed=int(self.option("seed")),
            )
        except UsageError as error:
            return Error(error.invalid_option)
        except ValueError as error:
            return Error(InvalidOption("...", str(error), "a number"))
        if not targets:
            return Error(InvalidOption("target", "", "one or more"))
        if not members:
            return Error(InvalidOption("member", "", "one or more"))
        return Ok(plan)


class UsageError(ValueError):
    """An option value is invalid."""

    def __init__(self, invalid_option: InvalidOption) -> None:
        super().__init__(str(invalid_option))
        self.invalid_option = invalid_option


def parse_target(text: str) -> Target:
    """Parse a target option.

    Raises:
        UsageError: The text is not a valid target.
    """
    address, separator, port = text.rpartition(":")
    if not separator or not port.isdigit():
        raise UsageError(InvalidOption("target", text, "ADDRESS:PORT"))
    return Target(address, int(port))


def parse_member(text: str, surges: dict[str, Surge]) -> MemberLoad:
    """Parse a member option.

    Raises:
        UsageError: The text is not a valid member load.
    """
    try:
        name, key, rate = text.split(":")
        return MemberLoad(MemberId(name), key, float(rate), surges.get(name))
    except ValueError as error:
        raise UsageError(InvalidOption("member", text, "NAME:KEY:REQUESTS_PER_S")) from error


def parse_surge(text: str) -> tuple[str, Surge]:
    """Parse a surge option into a member id and its surge.

    Raises:
        UsageError: The text is not a valid surge.
    """
    try:
        name, factor, start, end = text.split(":")
        return name, Surge(float(factor), float(start), float(end))
    except ValueError as error:
        raise UsageError(InvalidOption("surge", text, "NAME:FACTOR:START_S:END_S")) from error
