"""JSON-lines logs through ``absl.logging``, on standard error."""

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
Loggers whose lines below a warning are left out.

``mode`` logs each service's start and stop under the name of its module, so
``sycamorehaven`` is one of them; our own lines go through absl's logger.
"""


class JsonFormatter(standard_logging.Formatter):
    """
    Formats a record as one line of JSON.

    A line that belongs to a request bears its ``request_id`` and, if it is
    traced, its ``trace_id``.

    :param host: the router's host.
    """

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return one line of JSON."""
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
    """Send every log record to standard error as JSON lines."""
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(settings.host))
    handler.python_handler.stream = sys.stderr
    logging.use_absl_handler()
    logging.set_verbosity(settings.level)
    for name in WARNING_ONLY_LOGGERS:
        standard_logging.getLogger(name).setLevel(standard_logging.WARNING)
