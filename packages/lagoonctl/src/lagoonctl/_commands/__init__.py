"""Command classes of `lagoonctl`."""

from __future__ import annotations

from cleo.commands.command import Command

from lagoonctl._commands._agreement import (
    AgreementChange,
    AgreementCreate,
    AgreementGet,
    AgreementList,
    AgreementRetire,
)
from lagoonctl._commands._config import ConfigGet, ConfigList, ConfigSet
from lagoonctl._commands._member import (
    MemberChange,
    MemberCreate,
    MemberGet,
    MemberList,
    MemberRetire,
)
from lagoonctl._commands._state import History, HostDeclareLost, Status, Watch
from lagoonctl._commands._stop import (
    QuarantineClear,
    QuarantineList,
    StopCancel,
    StopGet,
    StopList,
    StopOrder,
)
from lagoonctl.explain.command import ExplainCommand
from lagoonctl.load.command import LoadCommand

COMMANDS: tuple[type[Command], ...] = (
    MemberCreate,
    MemberChange,
    MemberRetire,
    MemberGet,
    MemberList,
    AgreementCreate,
    AgreementChange,
    AgreementRetire,
    AgreementGet,
    AgreementList,
    ConfigSet,
    ConfigGet,
    ConfigList,
    StopOrder,
    StopCancel,
    StopGet,
    StopList,
    QuarantineList,
    QuarantineClear,
    HostDeclareLost,
    Status,
    Watch,
    History,
    LoadCommand,
    ExplainCommand,
)
