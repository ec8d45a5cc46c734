"""Logs as JSON lines on standard error, written through ``absl.logging``."""

from __future__ import annotations

import logging as standard_logging
import sys
from typing import TYPE_CHECKING

import msgspec
from absl import flags, logging

from sycamorehaven.telemetry.request_context import get_request_id, get_trace_id

if TYPE_CHECKING:
    from sycamorehaven.settings import RouterSettings

WARNING_ONLY_LOGGERS = (
    "mode",
    "sycamorehaven",
    "aiohttp",
    "asyncio",
    "opentelemetry",
    "urllib3",
)
"""
Loggers whose records below the level of a warning are dropped.

``sycamorehaven`` is one of them because ``mode`` logs the start and stop of
each service under the name of the service's module. The project's own records
use absl's logger and are not affected.
"""


class JsonFormatter(standard_logging.Formatter):
    """
    Formats a log record as one line of JSON.

    The line of a record that belongs to a request has its ``request_id`` and,
    if the request is traced, its ``trace_id``.

    :param host: name of the router's host, which is part of each line.
    """

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return a record as one line of JSON."""
        line: dict[str, object] = {
            "time": round(record.created, 6),
            "level": record.levelname.lower(),
            "host": self._host,
            "logger": record.name,
            "module": record.module,
            "message": record.getMessage(),
        }
        if request_id := get_request_id():
            line["request_id"] = request_id
        if trace_id := get_trace_id():
            line["trace_id"] = trace_id
        if record.exc_info and record.exc_info[1] is not None:
            line["exception"] = self._describe_exception(record.exc_info[1])
            line["traceback"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()

    def _describe_exception(self, error: BaseException) -> dict[str, str]:
        fields = {"type": type(error).__name__, "message": str(error)}
        if code := getattr(error, "code", ""):
            fields["code"] = str(code)
        return fields


def configure_logging(settings: RouterSettings) -> None:
    """Configure the process to log JSON lines to standard error."""
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(settings.host))
    handler.python_handler.stream = sys.stderr
    logging.use_absl_handler()
    logging.set_verbosity(settings.level)
    for name in WARNING_ONLY_LOGGERS:
        standard_logging.getLogger(name).setLevel(standard_logging.WARNING)
