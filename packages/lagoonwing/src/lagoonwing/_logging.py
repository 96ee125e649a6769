"""Log lines of a process: time, severity, host, numbered event and its fields."""

from __future__ import annotations

import logging as python_logging
import time

from absl import logging

from lagoonwing_core.settings import HostSettings, LogLevel

_VERBOSITY_BY_LEVEL = {
    LogLevel.INFO: logging.INFO,
    LogLevel.WARNING: logging.WARNING,
    LogLevel.ERROR: logging.ERROR,
}


class _LineFormatter(python_logging.Formatter):
    """Formats a record as one line of `key=value` fields."""

    def __init__(self, settings: HostSettings) -> None:
        super().__init__()
        self._origin = f"host={settings.host_id} role={settings.role.value}"

    def format(self, record: python_logging.LogRecord) -> str:
        """Return the line of one record."""
        seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        stamp = f"{seconds}.{int(record.msecs):03d}Z"
        line = f"{stamp} {record.levelname.lower()} {self._origin} {record.getMessage()}"
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line


def set_up_logging(settings: HostSettings) -> None:
    """Send log lines to standard error in one format, from the level of the settings on."""
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(_LineFormatter(settings))
    logging.set_verbosity(_VERBOSITY_BY_LEVEL[settings.log_level])
    logging.set_stderrthreshold(logging.INFO)
