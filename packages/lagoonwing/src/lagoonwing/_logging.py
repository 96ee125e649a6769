"""JSON log output with a rate limit and non-blocking writes."""

from __future__ import annotations

import logging as python_logging
import os
import sys
import time
from enum import Enum

import msgspec
from absl import logging

from lagoonwing_core.events import EventCode, EventFields, log_event
from lagoonwing_core.settings import HostSettings, LogLevel

_VERBOSITY_BY_LEVEL = {
    LogLevel.INFO: logging.INFO,
    LogLevel.WARNING: logging.WARNING,
    LogLevel.ERROR: logging.ERROR,
}
# Burst capacity of the rate limit, in seconds of output.
_BURST_S = 2.0
_REPORT_INTERVAL_S = 1.0

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class JsonFormatter(python_logging.Formatter):
    """Formats log records as JSON objects."""

    def __init__(self, settings: HostSettings) -> None:
        super().__init__()
        self._process_fields = {"host": settings.host_id, "role": settings.role.value}

    def format(self, record: python_logging.LogRecord) -> str:
        """Return a record as one JSON line."""
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        line: dict[str, object] = {
            "time": f"{timestamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            **self._process_fields,
        }
        event = record.args[0] if isinstance(record.args, tuple) and record.args else None
        if isinstance(event, EventFields):
            line["event"] = event.code.value
            line["name"] = event.code.name.lower()
            line.update((name, _to_json_value(value)) for name, value in event.values.items())
        else:
            line["message"] = record.getMessage()
        if record.exc_info:
            line["trace"] = self.formatException(record.exc_info)
        return _ENCODER.encode(line).decode()


class RateLimitedHandler(python_logging.Handler):
    """Rate-limited handler; drops and counts lines above the limit or that would block."""

    def __init__(self, descriptor: int, lines_per_s: float) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._tokens = lines_per_s * _BURST_S
        self._refilled_at = time.monotonic()
        self._reported_at = self._refilled_at

    def emit(self, record: python_logging.LogRecord) -> None:
        """Write a record unless the rate limit is exceeded; errors are always written."""
        now = time.monotonic()
        refilled = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._lines_per_s * _BURST_S, self._tokens + refilled)
        self._refilled_at = now
        if self._tokens < 1.0 and record.levelno < python_logging.ERROR:
            self.dropped += 1
            return
        self._tokens -= 1.0
        try:
            os.write(self._descriptor, self.format(record).encode() + b"\n")
        except OSError:
            # There is no other place to report a failed write.
            self.dropped += 1
            return
        if self.dropped and now > self._reported_at + _REPORT_INTERVAL_S:
            self._reported_at = now
            dropped, self.dropped = self.dropped, 0
            log_event(EventCode.LOG_LINES_DROPPED, lines=dropped)


def set_up_logging(settings: HostSettings) -> None:
    """Log to standard output at the configured level."""
    descriptor = sys.stdout.fileno()
    try:
        os.set_blocking(descriptor, False)
    except OSError as error:
        print(f"cannot set standard output to non-blocking mode: {error}", file=sys.stderr)
    handler = RateLimitedHandler(descriptor, settings.log_lines_per_s)
    handler.setFormatter(JsonFormatter(settings))
    root = python_logging.getLogger()
    for default_handler in list(root.handlers):
        root.removeHandler(default_handler)
    root.addHandler(handler)
    logger = logging.get_absl_logger()
    logger.propagate = True
    for default_handler in list(logger.handlers):
        logger.removeHandler(default_handler)
    logging.set_verbosity(_VERBOSITY_BY_LEVEL[settings.log_level])


def _to_json_value(value: object) -> object:
    """Convert a value to a JSON-compatible scalar."""
    if value is None or isinstance(value, str | int | float | bool):
        return value.value if isinstance(value, Enum) else value
    return str(value)
