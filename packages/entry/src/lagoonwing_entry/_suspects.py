"""Records suspect requests in the replicated state before any of them is retried."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

from expression import Result

from lagoonwing_core.callback import callback
from lagoonwing_core.errors import Refusal
from lagoonwing_core.events import EventCode, log_event
from lagoonwing_core.ids import Fingerprint
from lagoonwing_entry.const import SUSPECT_REPORT_RETRY_DELAY_S
from lagoonwing_entry.ports import ControlPort
from lagoonwing_policy.models import ReportSuspects


class SuspectReporter:
    """Reports suspects to the replicated state, retrying until the report is accepted.

    Attributes:
        on_recorded: Called when a report has been recorded in the replicated state.
    """

    def __init__(self, control: ControlPort, timeout_s: float) -> None:
        self._control = control
        self._timeout_s = timeout_s
        self._tasks: set[asyncio.Task[None]] = set()
        self.on_recorded: Callable[[ReportSuspects], None] = lambda command: None

    @callback
    def report(self, command: ReportSuspects) -> None:
        """Report suspects in the background."""
        self._start_task(self._async_report(command))

    @callback
    def clear(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect in the background."""
        self._start_task(self._async_clear(fingerprint))

    @callback
    def close(self) -> None:
        """Cancel pending reports."""
        for task in self._tasks:
            task.cancel()

    async def async_record(self, command: ReportSuspects) -> None:
        """Report suspects and wait until the report is recorded."""
        await self._async_retry_until_accepted(
            lambda: self._control.async_report_suspects(
                command.fingerprints, command.endpoint_id, command.incarnation, self._timeout_s
            )
        )

    async def _async_report(self, command: ReportSuspects) -> None:
        """Report suspects, then notify the listener."""
        await self.async_record(command)
        self.on_recorded(command)

    async def _async_clear(self, fingerprint: Fingerprint) -> None:
        """Clear a suspect, retrying until the change is accepted."""
        await self._async_retry_until_accepted(
            lambda: self._control.async_clear_suspect(fingerprint, self._timeout_s)
        )

    async def _async_retry_until_accepted(
        self, async_call: Callable[[], Awaitable[Result[None, Refusal]]]
    ) -> None:
        """Retry a call until it is accepted."""
        while True:
            match await async_call():
                case Result(tag="ok"):
                    return
                case Result(error=refusal):
                    log_event(
                        EventCode.CHANGE_REFUSED,
                        code=refusal.code.value,
                        reason=refusal.detail,
                    )
            await asyncio.sleep(SUSPECT_REPORT_RETRY_DELAY_S)

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
